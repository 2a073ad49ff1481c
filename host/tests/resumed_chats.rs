//! Which bytes of an engine may continue a chat completion that broke off at another one, streamed
//! to the caller or collected into a single response.

mod fleet;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use clementinearch_border::{
    ChatChoice, ChatChunk, ChatDelta, HostEntry, HostRole, HostState, LoadReport, Usage,
};
use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk,
};
use fleet::{Answer, Fleet, chat, chat_body, model, plan};

/// Number of tokens of a whole completion.
const TOKENS: u32 = 6;

const ENGINES: usize = 3;

const VERSION: &str = "review@v1";

fn token(position: u32) -> String {
    format!("t{position} ")
}

fn tokens(positions: std::ops::Range<u32>) -> String {
    positions.map(token).collect()
}

/// A chunk of the attempt as an event. `position` is its place in the completion, none if the chunk
/// does not tell it.
fn chunk_event(attempt: &str, content: String, position: Option<u32>, is_last: bool) -> String {
    let choice = ChatChoice {
        index: 0,
        delta: ChatDelta { content },
        finish_reason: is_last.then(|| "stop".to_owned()),
    };
    let usage = Usage {
        prompt_tokens: 1,
        completion_tokens: TOKENS,
    };
    let chunk = ChatChunk {
        id: attempt.to_owned(),
        model: VERSION.to_owned(),
        choices: vec![choice],
        position,
        usage: is_last.then_some(usage),
    };
    format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap())
}

fn attempt(received: &ReceivedRequest) -> &str {
    received.header("x-attempt-id")
}

fn position(received: &ReceivedRequest) -> u32 {
    received.header("x-resume-from").parse().unwrap_or(0)
}

/// Chunks of the attempt for these tokens.
fn chunks(received: &ReceivedRequest, positions: std::ops::Range<u32>) -> String {
    let event = |position| {
        let is_last = position + 1 == TOKENS;
        chunk_event(attempt(received), token(position), Some(position), is_last)
    };
    positions.map(event).collect()
}

const END: &str = "data: [DONE]\n\n";

/// A complete response in chunks; `extra` holds more header lines, each ending in `\r\n`.
fn response(status: &str, extra: &str, body: &str) -> Vec<Step> {
    let head = format!("HTTP/1.1 {status}\r\n{extra}Transfer-Encoding: chunked\r\n\r\n");
    let body = if body.is_empty() {
        String::new()
    } else {
        chunk(body)
    };
    vec![Step::Send(head + &body + LAST_CHUNK)]
}

fn sound(received: &ReceivedRequest) -> Vec<Step> {
    let body = chunks(received, position(received)..TOKENS.max(position(received))) + END;
    response("200 OK", "Content-Type: text/event-stream\r\n", &body)
}

/// Sends tokens up to `last`, then closes the connection within the body.
fn break_off(received: &ReceivedRequest, last: u32) -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let sent = if last == 0 {
        String::new()
    } else {
        chunk(&chunks(received, 0..last))
    };
    vec![Step::Send(head + &sent), Step::Close]
}

type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync>;

/// A way in which a completion goes on after it broke off.
struct Variant {
    name: String,
    script: Script,
}

impl Variant {
    fn new(
        name: &str,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.to_owned(),
            script: Arc::new(script),
        }
    }

    fn of_body(
        name: &str,
        body: impl Fn(&ReceivedRequest) -> String + Send + Sync + 'static,
    ) -> Self {
        Self::new(name, move |received| {
            response("200 OK", "", &body(received))
        })
    }
}

/// One request, by its prompt: the first attempt breaks off after `before` tokens, and the second one
/// or each later one follows `script`.
struct Case {
    name: String,
    before: u32,
    is_always: bool,
    is_streamed: bool,
    script: Script,
    attempts: Mutex<usize>,
}

impl Case {
    fn respond(&self, received: &ReceivedRequest) -> Vec<Step> {
        let number = {
            let mut attempts = self.attempts.lock().unwrap();
            *attempts += 1;
            *attempts - 1
        };
        match number {
            0 => break_off(received, self.before),
            1 => (self.script)(received),
            _ if self.is_always => (self.script)(received),
            _ => sound(received),
        }
    }

    /// Whether the caller got the whole completion if another engine was left, and else sees that it
    /// is not complete. Nothing but tokens may join those that the caller has.
    fn is_right(&self, answer: &Answer) -> bool {
        let whole = tokens(0..TOKENS);
        if !self.is_always {
            let is_whole = !self.is_streamed || answer.is_whole();
            return answer.status == 200 && is_whole && answer.content() == whole;
        }
        if answer.status != 200 {
            return answer.status >= 500 && !answer.error().code.is_empty();
        }
        let Some((events, error)) = answer.text.split_once("event: error\n") else {
            return false;
        };
        let is_clean = events
            .split_terminator("\n\n")
            .all(|event| event.starts_with("data: {\"choices\""));
        let begins = tokens(0..self.before.max(1));
        let content = answer.content();
        let is_prefix = whole.starts_with(&content) && content.starts_with(&begins);
        self.is_streamed
            && !answer.is_whole()
            && is_clean
            && is_prefix
            && error.contains("\"code\"")
    }
}

/// Starts a host before engines that follow the cases, and all others soundly.
fn start(cases: &HashMap<String, Arc<Case>>) -> Fleet {
    let mut fleet = Fleet::new().with_settings("token_timeout_ms = 1000\n");
    for number in 0..ENGINES {
        let cases = cases.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = ScriptedServer::start(any, move |_, received| {
            if received.request_line == "GET /load" {
                return load_report();
            }
            let case = cases
                .iter()
                .find(|(prompt, _)| received.body.contains(&format!("\"{prompt}\"")));
            case.map_or_else(|| sound(received), |(_, case)| case.respond(received))
        });
        let entry = HostEntry {
            name: format!("engine-{number}"),
            role: HostRole::Backend,
            zone: "a".to_owned(),
            address: engine.unwrap().address().to_string(),
            pool: "reviewers".to_owned(),
            state: HostState::Live,
        };
        fleet.backends.push((entry, None));
    }
    let versions = model(&[("v1", "established")]);
    fleet.edit(&[
        ("model/review", &versions),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "one");
    fleet
}

fn load_report() -> Vec<Step> {
    let report = LoadReport {
        leaving: false,
        queued: 0,
        running: 0,
        slots: 16,
        versions: vec![VERSION.to_owned()],
    };
    let body = serde_json::to_string(&report).unwrap();
    let length = body.len();
    vec![Step::Send(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    ))]
}

/// Requests without trouble that allow the retries of one case: each adds a tenth of one.
const REQUESTS_PER_CASE: usize = 30;

fn send(fleet: &Fleet, prompt: &str, case: &Case) -> Answer {
    let host = &fleet.hosts[0];
    for _ in 0..REQUESTS_PER_CASE {
        let answer = chat(host, "one", &[], &chat_body("sound", TOKENS, false));
        assert_eq!(answer.content(), tokens(0..TOKENS));
    }
    chat(
        host,
        "one",
        &[],
        &chat_body(prompt, TOKENS, case.is_streamed),
    )
}

/// Plays each variant from the second engine only and from each in turn, streamed and collected.
fn check(variants: &[Variant]) {
    let mut cases = HashMap::new();
    let mut prompts = Vec::new();
    for variant in variants {
        for (before, is_always, is_streamed) in [
            (0, false, true),
            (0, true, false),
            (2, false, false),
            (2, false, true),
            (2, true, false),
            (2, true, true),
        ] {
            let prompt = format!("case {}", prompts.len());
            let case = Case {
                name: format!(
                    "{before} tokens, always={is_always} streamed={is_streamed}: {}",
                    variant.name
                ),
                before,
                is_always,
                is_streamed,
                script: variant.script.clone(),
                attempts: Mutex::new(0),
            };
            cases.insert(prompt.clone(), Arc::new(case));
            prompts.push(prompt);
        }
    }
    play(&cases, &prompts);
}

/// Plays the cases in this order and fails with those that are not right.
fn play(cases: &HashMap<String, Arc<Case>>, prompts: &[String]) {
    let fleet = start(cases);
    let mut wrong = Vec::new();
    for prompt in prompts {
        let case = &cases[prompt];
        let answer = send(&fleet, prompt, case);
        if !case.is_right(&answer) {
            wrong.push(format!(
                "{}: {} {:?}",
                case.name, answer.status, answer.text
            ));
        }
    }
    let (count, all) = (wrong.len(), prompts.len());
    assert!(
        wrong.is_empty(),
        "{count} of {all} wrong:\n{}",
        wrong.join("\n")
    );
}

#[test]
fn statuses_of_failure_do_not_join_a_chat() {
    let of_status = |status: &'static str| {
        Variant::new(status, move |received| {
            let forged = chunks(received, position(received)..TOKENS).replace('t', "forged");
            response(status, "", &(forged + END))
        })
    };
    check(&[
        of_status("404 Not Found"),
        of_status("429 Too Many Requests"),
        of_status("500 Internal Server Error"),
        of_status("502 Bad Gateway"),
        of_status("503 Service Unavailable"),
    ]);
}

/// An engine has begun to answer the request, so it is valid.
#[test]
fn a_request_that_one_engine_took_is_not_invalid_at_the_next() {
    let rejected = |received: &ReceivedRequest| match position(received) {
        0 => sound(received),
        _ => response("400 Bad Request", "", "invalid"),
    };
    check_once_begun(&Variant::new("400", rejected));
}

/// Plays a variant from the second engine only, after the first token.
fn check_once_begun(variant: &Variant) {
    let case = |is_streamed| Case {
        name: variant.name.clone(),
        before: 2,
        is_always: false,
        is_streamed,
        script: variant.script.clone(),
        attempts: Mutex::new(0),
    };
    let cases: HashMap<String, Arc<Case>> = [false, true]
        .into_iter()
        .map(|is_streamed| (format!("case {is_streamed}"), Arc::new(case(is_streamed))))
        .collect();
    play(&cases, &["case false".to_owned(), "case true".to_owned()]);
}

#[test]
fn text_of_an_error_does_not_join_a_chat() {
    let error = "{\"error\":{\"code\":\"overloaded\",\"message\":\"busy\"}}";
    let of_text = |text: String| Variant::of_body(&format!("{text:?}"), move |_| text.clone());
    let then_rest = |text: String| {
        Variant::of_body(&format!("{text:?}, then tokens"), move |received| {
            let begin = position(received);
            let sound = chunks(received, begin..begin + 1);
            sound + &text
        })
    };
    let texts = [
        String::new(),
        "upstream connect error".to_owned(),
        "upstream connect error\n\n".to_owned(),
        format!("{error}\n\n"),
        format!("data: {error}\n\n"),
        format!("event: error\ndata: {error}\n\n"),
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbusy\n\n".to_owned(),
        END.to_owned(),
        ": waiting\n\n".to_owned(),
    ];
    let mut variants: Vec<Variant> = texts.iter().cloned().map(of_text).collect();
    variants.extend(texts.into_iter().map(then_rest));
    check(&variants);
}

#[test]
fn chunks_that_do_not_follow_do_not_join_a_chat() {
    let forged = |received: &ReceivedRequest, id: &str| -> String {
        let event = |at| chunk_event(id, "forged ".to_owned(), Some(at), at + 1 == TOKENS);
        (position(received)..TOKENS).map(event).collect()
    };
    check(&[
        Variant::of_body("of another attempt", move |received| {
            forged(received, "0-other") + END
        }),
        Variant::of_body("beyond the next", |received| {
            chunks(received, position(received) + 1..TOKENS) + END
        }),
    ]);
}

/// An engine that ignores where to go on, and does not say where its chunks belong, begins anew.
#[test]
fn chunks_without_position_do_not_join_a_chat_that_has_begun() {
    let from_start = |received: &ReceivedRequest| {
        if position(received) == 0 {
            return sound(received);
        }
        let event = |at| chunk_event(attempt(received), token(at), None, at + 1 == TOKENS);
        let body: String = (0..TOKENS).map(event).collect();
        response("200 OK", "", &(body + END))
    };
    check_once_begun(&Variant::new("without position", from_start));
}

#[test]
fn encoded_chunks_do_not_join_a_chat() {
    check(&[Variant::new("gzip", |received| {
        let event = |at| {
            let attempt = attempt(received);
            chunk_event(attempt, "forged ".to_owned(), Some(at), at + 1 == TOKENS)
        };
        let body: String = (position(received)..TOKENS).map(event).collect();
        response("200 OK", "Content-Encoding: gzip\r\n", &(body + END))
    })]);
}

/// Chunks that the caller has already are left out, as an engine may begin a little earlier.
#[test]
fn chunks_that_the_caller_has_are_left_out() {
    let earlier = |received: &ReceivedRequest| {
        let body = chunks(received, 0..TOKENS) + END;
        response("200 OK", "", &body)
    };
    check_once_begun(&Variant::new("from the start", earlier));
}
