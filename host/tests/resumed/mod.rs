//! Streams that break off at their first server and go on at the next ones, each in a way that the
//! test scripts.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

use std::{
    collections::HashMap,
    ops::RangeInclusive,
    sync::{Arc, Mutex},
    time::Duration,
};

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, stream_head, token_event,
};
use serde_json::{Value, json};

use crate::route::{Answer, Host, Platform, send_request};

/// Number of events of a whole stream.
pub const EVENTS: u64 = 6;

/// Number of servers, which is also the route's maximum of attempts.
const SERVERS: usize = 3;

/// Statuses that promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Longer than a host waits for a silent server.
const LONG: Duration = Duration::from_secs(20);

/// How an attempt breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    Reset,
    Close,
    Silence,
    /// Half an event, then a reset.
    InsideEvent,
    /// Half an event, then the end of the chunks.
    EndInsideEvent,
}

impl Break {
    pub const AT_ONCE: [Self; 4] = [
        Self::Reset,
        Self::Close,
        Self::InsideEvent,
        Self::EndInsideEvent,
    ];

    fn steps(self, next: u64) -> Vec<Step> {
        let event = token_event(next);
        let half = Step::Send(chunk(&event[..event.len() / 2]));
        match self {
            Self::Reset => vec![Step::Wait(Duration::from_millis(10)), Step::Reset],
            Self::Close => vec![Step::Close],
            Self::Silence => vec![Step::Wait(LONG)],
            Self::InsideEvent => vec![half, Step::Close],
            Self::EndInsideEvent => vec![half, Step::Send(LAST_CHUNK.to_owned())],
        }
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Connection];
}

/// Bytes of the longest head of [`response`] that is cut.
const HEAD_BYTES: usize = 160;

/// What is sent of a complete response whose server closes or resets the connection after `length`
/// bytes of the head; of a shorter head, one byte less than all.
pub fn broken_head(response: &[Step], length: usize, end: Step) -> Vec<Step> {
    let Some(Step::Send(text)) = response.first() else {
        unreachable!("a response begins with its head")
    };
    let head = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
    vec![Step::Send(text[..length.min(head - 1)].to_owned()), end]
}

/// The rest of a stream in each framing, cut at each byte of its head.
pub fn broken_heads() -> Vec<Variant> {
    let mut variants = Vec::new();
    for framing in Framing::ALL {
        for length in 1..=HEAD_BYTES {
            let end = if length % 2 == 0 {
                Step::Close
            } else {
                Step::Reset
            };
            let name = format!("{framing:?} cut after {length} bytes, {end:?}");
            variants.push(Variant::new(name, move |received| {
                let body = events(last_id(received) + 1..=EVENTS);
                let whole = response(received, "200 OK", SEAL, framing, &body);
                broken_head(&whole, length, end.clone())
            }));
        }
    }
    variants
}

/// A complete response with the id of its attempt; `extra` holds more header lines, each ending in
/// `\r\n`.
pub fn response(
    received: &ReceivedRequest,
    status: &str,
    extra: &str,
    framing: Framing,
    body: &str,
) -> Vec<Step> {
    let id = received.header("attempt-id");
    let head = format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{extra}");
    match framing {
        Framing::Length => vec![Step::Send(format!(
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))],
        Framing::Chunks => {
            let body = if body.is_empty() {
                String::new()
            } else {
                chunk(body)
            };
            let head = head + "Transfer-Encoding: chunked\r\n\r\n";
            vec![Step::Send(head + &body + LAST_CHUNK)]
        }
        Framing::Connection => vec![Step::Send(format!("{head}\r\n{body}")), Step::Close],
    }
}

/// Header line with a server's signature.
pub const SEAL: &str = "Server-Seal: seal\r\n";

pub fn events(range: RangeInclusive<u64>) -> String {
    range.map(token_event).collect()
}

/// Id of the last event that the caller has, as a server or another host is told.
pub fn last_id(received: &ReceivedRequest) -> u64 {
    let forwarded = received.header("clementinearch-forwarded");
    if let Ok(forwarded) = serde_json::from_str::<Value>(forwarded) {
        return forwarded["resume_after"].as_u64().unwrap_or(0);
    }
    received.header("last-event-id").parse().unwrap_or(0)
}

/// The rest of the stream as a sound server sends it.
pub fn sound(received: &ReceivedRequest) -> Vec<Step> {
    let rest = events(last_id(received) + 1..=EVENTS);
    let body = if rest.is_empty() {
        String::new()
    } else {
        chunk(&rest)
    };
    vec![Step::Send(stream_head(received, "") + &body + LAST_CHUNK)]
}

/// What a server sends for a request.
pub type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync>;

/// A way in which a stream goes on after it broke off.
#[derive(Clone)]
pub struct Variant {
    pub name: String,
    pub script: Script,
}

impl Variant {
    pub fn new(
        name: impl Into<String>,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.into(),
            script: Arc::new(script),
        }
    }

    /// A signed response with status 200 and a body that depends on the last id, in each framing.
    pub fn of_body(
        name: &str,
        body: impl Fn(u64) -> String + Clone + Send + Sync + 'static,
    ) -> Vec<Self> {
        let of_framing = |framing| {
            let body = body.clone();
            Self::new(format!("{name}, {framing:?}"), move |received| {
                response(received, "200 OK", SEAL, framing, &body(last_id(received)))
            })
        };
        Framing::ALL.into_iter().map(of_framing).collect()
    }
}

/// Which attempts follow the variant's script. The first one breaks off otherwise, and all others are
/// sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoiled {
    /// The first one.
    AtOnce,
    /// The second one.
    Once,
    /// Each.
    Always,
}

/// One request: its first attempt breaks off after `events` events.
struct Case {
    name: String,
    events: u64,
    how: Break,
    spoiled: Spoiled,
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
        match (self.spoiled, number) {
            (Spoiled::Once | Spoiled::Always, 0) => self.break_off(received),
            (Spoiled::AtOnce, 0) | (Spoiled::Once, 1) | (Spoiled::Always, _) => {
                (self.script)(received)
            }
            _ => sound(received),
        }
    }

    fn break_off(&self, received: &ReceivedRequest) -> Vec<Step> {
        let after = last_id(received);
        let mut steps = vec![Step::Send(stream_head(received, ""))];
        if self.events > 0 {
            let sent = events(after + 1..=after + self.events);
            steps.push(Step::Send(chunk(&sent)));
        }
        steps.extend(self.how.steps(after + self.events + 1));
        steps
    }
}

/// Cases of one route, which are played one after the other.
pub struct Cases {
    path: &'static str,
    /// Id of the last event that the caller has already.
    resume_after: u64,
    cases: HashMap<String, Arc<Case>>,
    order: Vec<String>,
}

impl Cases {
    pub fn new() -> Self {
        Self {
            path: "/draft/",
            resume_after: 0,
            cases: HashMap::new(),
            order: Vec::new(),
        }
    }

    /// Plays the cases on a route that leaves silent servers soon.
    pub fn of_short_gaps(mut self) -> Self {
        self.path = "/short/";
        self
    }

    /// Plays the cases on a route whose streams must not be sent again.
    pub fn without_resumption(mut self) -> Self {
        self.path = "/note/";
        self
    }

    /// Plays the cases for a caller that goes on after this event itself.
    pub fn resumed_after(mut self, id: u64) -> Self {
        self.resume_after = id;
        self
    }

    pub fn add(&mut self, variants: &[Variant], events: u64, how: Break, spoiled: Spoiled) {
        for variant in variants {
            let id = format!("id-{}", self.order.len());
            let name = format!("{events} events, {how:?}, {spoiled:?}: {}", variant.name);
            let case = Case {
                name,
                events,
                how,
                spoiled,
                script: variant.script.clone(),
                attempts: Mutex::new(0),
            };
            self.cases.insert(id.clone(), Arc::new(case));
            self.order.push(id);
        }
    }

    /// What a server or another host sends for a request, if it is one of the cases.
    pub fn responder(
        &self,
    ) -> impl Fn(&ReceivedRequest) -> Option<Vec<Step>> + Send + Sync + 'static {
        let cases = self.cases.clone();
        move |received| Some(cases.get(received.header("attempt-id"))?.respond(received))
    }

    /// Plays all cases on a host before servers that follow them, and fails with those that
    /// `is_right` does not accept.
    pub fn check(self, is_right: impl Fn(&Outcome) -> bool) {
        let platform = start(&self);
        self.check_at(&platform.hosts[0], is_right);
    }

    /// Plays all cases at this host, and fails with those that `is_right` does not accept.
    pub fn check_at(&self, host: &Host, is_right: impl Fn(&Outcome) -> bool) {
        let mut wrong = Vec::new();
        for id in &self.order {
            let case = &self.cases[id];
            let answer = self.send(host, id);
            let outcome = Outcome {
                spoiled: case.spoiled,
                events: case.events,
                how: case.how,
                resume_after: self.resume_after,
                answer,
            };
            if !is_right(&outcome) {
                let got = &outcome.answer;
                wrong.push(format!(
                    "{}: {} whole={} {:?}",
                    case.name, got.status, got.is_whole, got.body
                ));
            }
        }
        let (count, all) = (wrong.len(), self.order.len());
        assert!(
            wrong.is_empty(),
            "{count} of {all} wrong:\n{}",
            wrong.join("\n")
        );
    }

    fn send(&self, host: &Host, id: &str) -> Answer {
        let mut extra =
            "Model: small\r\nToken-Usage: 100,50\r\nPrompt-Prefix: a1:80,b2:20\r\n".to_owned();
        if self.resume_after > 0 {
            extra += &format!("Last-Event-Id: {}\r\n", self.resume_after);
        }
        let line = format!("POST {}1", self.path);
        send_request(host, &line, id, &extra, id)
    }
}

fn start(cases: &Cases) -> Platform {
    let mut platform = Platform::new();
    platform.configure(
        2,
        &json!([{"name": "short", "host": "a.example", "pathPrefix": "/short/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "service": "pool", "maxAttempts": SERVERS, "sessionAffinity": true, "streamResume": true, "gapTargetMs": 200}, {"name": "note", "host": "a.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "service": "pool", "maxAttempts": SERVERS, "sessionAffinity": true, "streamResume": false, "gapTargetMs": 1000}]),
    );
    for _ in 0..SERVERS {
        let respond = cases.responder();
        platform.add_backend("pool", "v1", move |_, received| {
            respond(received).unwrap_or_default()
        });
    }
    platform.start_hosts(1);
    platform
}

/// What the caller of a case got.
pub struct Outcome {
    pub spoiled: Spoiled,
    /// Number of events before the break.
    pub events: u64,
    pub how: Break,
    pub resume_after: u64,
    pub answer: Answer,
}

impl Outcome {
    /// Whether the caller got all events once and in order.
    pub fn is_whole_stream(&self) -> bool {
        let expected = events(self.resume_after + 1..=EVENTS);
        self.answer.status == 200 && self.answer.is_whole && self.answer.body == expected
    }

    /// Whether the caller got the first events only, and sees that the rest is missing.
    pub fn is_visibly_broken(&self) -> bool {
        let answer = &self.answer;
        let sent = events(self.resume_after + 1..=self.resume_after + self.events);
        // A reset may overtake the events before it.
        let may_lack_events = self.how == Break::Reset;
        if !(200..300).contains(&answer.status) {
            let is_promise = PROMISES.contains(&answer.status);
            return answer.status != 0 && !is_promise && (sent.is_empty() || may_lack_events);
        }
        let has_first = if may_lack_events {
            !answer.body.is_empty() && sent.starts_with(&answer.body)
        } else {
            !answer.body.is_empty() && sent == answer.body
        };
        answer.status == 200 && !answer.is_whole && has_first
    }

    /// Whether the stream is whole if another server was left, and else visibly broken.
    pub fn is_whole_or_broken(&self) -> bool {
        match self.spoiled {
            Spoiled::Once => self.is_whole_stream(),
            Spoiled::AtOnce | Spoiled::Always => self.is_visibly_broken(),
        }
    }
}
