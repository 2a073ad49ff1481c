//! Bytes that a server sends on a kept connection beside its answer: none is taken for the answer to
//! the next request, unless it bears that request's id.

mod extra_bytes;
mod route;

use std::{sync::Arc, thread, time::Duration};

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk, stream_head, token_event,
};
use extra_bytes::{Moment, PROMISES, Planned, refusal, report};
use route::{Answer, Platform, ok, send_request, wait_until};

/// Time for which each of the requests that are sent together runs.
const RUN: Duration = Duration::from_millis(300);

const PROOF: &str = "Not-Executed: 1\r\n";

/// A kind of request that may be sent on a kept connection.
#[derive(Clone, Copy, Debug)]
struct Kind {
    service: &'static str,
    line: &'static str,
    headers: &'static str,
}

const CALL: Kind = Kind {
    service: "orders",
    line: "GET /look/",
    headers: "",
};

const STREAM: Kind = Kind {
    service: "pool",
    line: "POST /draft/",
    headers: "Model: small\r\n",
};

fn answer(kind: Kind, received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = whole_answer(kind, received);
    if received.request_line.ends_with("together") {
        steps.insert(0, Step::Wait(RUN));
    }
    steps
}

fn whole_answer(kind: Kind, received: &ReceivedRequest) -> Vec<Step> {
    if kind.service == "orders" {
        return ok(received);
    }
    let mut text = stream_head(received, "Confidence: 90\r\n");
    text.extend((1..=3).map(|id| chunk(&token_event(id))));
    text.push_str(LAST_CHUNK);
    vec![Step::Send(text)]
}

fn is_right(kind: Kind, answer: &Answer) -> bool {
    let body = if kind.service == "orders" {
        "done".to_owned()
    } else {
        (1..=3).map(token_event).collect()
    };
    answer.status == 200 && answer.is_whole && answer.body == body
}

/// A host with servers, which send extra bytes on kept connections as they are told. Most tests use
/// one.
struct Setup {
    platform: Platform,
    servers: Vec<(Arc<ScriptedServer>, Arc<Planned>)>,
    kind: Kind,
    sent: usize,
}

impl Setup {
    fn new(kind: Kind) -> Self {
        Self::beside(kind, 0)
    }

    /// Starts `others` servers beside the first one.
    fn beside(kind: Kind, others: usize) -> Self {
        let mut platform = Platform::new();
        let mut servers = Vec::new();
        for _ in 0..=others {
            let planned = Arc::<Planned>::default();
            let plan = planned.clone();
            let (_, server) = platform.add_backend(kind.service, "v1", move |_, received| {
                let is_probe = received.request_line.ends_with("probe");
                plan.apply(received, is_probe, answer(kind, received))
            });
            servers.push((server, planned));
        }
        platform.start_hosts(1);
        Self {
            platform,
            servers,
            kind,
            sent: 0,
        }
    }

    /// Sends probes until one server has sent `extra` beside one, and returns that server. Only one at
    /// a time may send it: a probe that is sent again gets its answer from the other.
    fn probe_any(&mut self, extra: &str) -> Arc<ScriptedServer> {
        let mut turns = (0..self.servers.len()).cycle();
        let mut sender = None;
        wait_until("the extra bytes were sent", || {
            let turn = turns.next().unwrap();
            let (server, planned) = self.servers[turn].clone();
            planned.set(Moment::WithRequest, extra.to_owned());
            self.send("first");
            assert!(is_right(self.kind, &self.send("probe")));
            sender = (!planned.is_left()).then_some(server);
            planned.forget();
            sender.is_some()
        });
        sender.unwrap()
    }

    fn send(&mut self, path: &str) -> Answer {
        self.sent += 1;
        let (line, id) = (
            format!("{}{path}", self.kind.line),
            format!("id-{}", self.sent),
        );
        let extra = self.kind.headers;
        send_request(&self.platform.hosts[0], &line, &id, extra, "")
    }

    /// Sends requests that run at the same time, so that they are dealt to all servers that are not
    /// taken for full.
    fn send_together(&self, count: usize) {
        let (line, extra) = (format!("{}together", self.kind.line), self.kind.headers);
        thread::scope(|scope| {
            for number in 0..count {
                let (line, id) = (&line, format!("id-together-{number}"));
                scope.spawn(move || {
                    let answer = send_request(&self.platform.hosts[0], line, &id, extra, "");
                    assert!(is_right(self.kind, &answer));
                });
            }
        });
    }

    /// Id of the next probe.
    fn next_id(&self) -> String {
        format!("id-{}", self.sent + 2)
    }

    /// Lets a connection be kept, then sends a request beside which `extra` comes at `moment`.
    fn probe(&mut self, moment: Moment, extra: String) -> Answer {
        wait_until("the server is used", || self.is_served());
        // The request that was just served left a connection; the next one uses it.
        self.sent = self.sent.next_multiple_of(2);
        self.servers[0].1.set(moment, extra);
        self.send("first");
        moment.pass();
        let answer = self.send("probe");
        self.servers[0].1.check_sent();
        answer
    }

    fn is_served(&self) -> bool {
        let (line, extra) = (format!("{}wait", self.kind.line), self.kind.headers);
        let answer = send_request(&self.platform.hosts[0], &line, "id-wait", extra, "");
        is_right(self.kind, &answer)
    }
}

/// Plays extra bytes of each kind. Returns the variants with a wrong answer, and the number of all.
fn play(variants: impl Fn(&str) -> Vec<(Moment, String)>) -> (Vec<String>, usize) {
    let (mut wrong, mut played) = (Vec::new(), 0);
    for kind in [CALL, STREAM] {
        let mut setup = Setup::new(kind);
        let count = variants("").len();
        for number in 0..count {
            setup.sent = setup.sent.next_multiple_of(2);
            let (moment, extra) = variants(&setup.next_id()).swap_remove(number);
            let answer = setup.probe(moment, extra.clone());
            played += 1;
            if !is_right(kind, &answer) {
                wrong.push(format!(
                    "{} {moment:?} {extra:?}: {}",
                    kind.line, answer.status
                ));
            }
        }
    }
    (wrong, played)
}

fn check(variants: impl Fn(&str) -> Vec<(Moment, String)>) {
    let (wrong, played) = play(variants);
    report(&wrong, played);
}

/// The server runs the request, so the caller must not be told that it did not run.
#[test]
fn a_refusal_without_an_id_says_nothing_of_a_request_on_a_kept_connection() {
    check(|_| {
        let mut variants = Vec::new();
        for status in PROMISES {
            for proof in ["", PROOF] {
                for interim in [
                    "",
                    "HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\n\r\n",
                ] {
                    let extra = format!("{interim}{}", refusal(status, proof));
                    variants.push((Moment::WithRequest, extra));
                }
            }
        }
        variants
    });
}

#[test]
fn a_refusal_with_an_earlier_id_says_nothing_of_a_request_on_a_kept_connection() {
    check(|_| {
        let mut variants = Vec::new();
        for status in PROMISES {
            for proof in ["", PROOF] {
                let headers = format!("Attempt-Id: id-earlier\r\n{proof}");
                variants.push((Moment::WithRequest, refusal(status, &headers)));
            }
        }
        variants
    });
}

#[test]
fn a_refusal_with_two_ids_says_nothing_of_a_request_on_a_kept_connection() {
    check(|own| {
        let mut variants = Vec::new();
        for status in PROMISES {
            for proof in ["", PROOF] {
                for (first, second) in [(own, "id-earlier"), ("id-earlier", own)] {
                    let ids = format!("Attempt-Id: {first}\r\nAttempt-Id: {second}\r\n");
                    let headers = format!("{ids}{proof}");
                    variants.push((Moment::WithRequest, refusal(status, &headers)));
                }
            }
        }
        variants
    });
}

#[test]
fn bytes_on_an_idle_connection_say_nothing_of_the_next_request() {
    let earlier_id = "Attempt-Id: id-wait\r\n";
    check(|_| {
        let mut variants = Vec::new();
        for moment in [Moment::WithEarlierAnswer, Moment::Idle] {
            for status in PROMISES {
                variants.push((moment, refusal(status, PROOF)));
                variants.push((moment, refusal(status, &format!("{earlier_id}{PROOF}"))));
            }
            variants.push((moment, refusal("200 OK", earlier_id)));
            variants.push((moment, "\r\n".to_owned()));
            variants.push((moment, "noise".to_owned()));
        }
        variants
    });
}

/// The only server refuses, as its answer with the request's id states.
#[test]
fn a_refusal_with_the_requests_id_is_believed_on_a_kept_connection() {
    for kind in [CALL, STREAM] {
        let mut setup = Setup::new(kind);
        for status in ["408 Request Timeout", "429 Too Many Requests", "503 Full"] {
            setup.sent = setup.sent.next_multiple_of(2);
            let id = setup.next_id();
            let twice = refusal(status, &format!("Attempt-Id: {id}\r\n{PROOF}")).repeat(2);
            let answer = setup.probe(Moment::WithRequest, twice);
            assert_eq!(answer.status, 503, "{status}");
        }
        assert!(setup.servers[0].0.requests().len() >= 9);
    }
}

/// What a server says of itself counts only in an answer that is its answer to this request.
#[test]
fn an_answer_that_is_not_believed_says_nothing_of_its_server() {
    let marks = [
        "Retry-After: 3",
        "Server-Leaving: 1",
        "Server-Limit: 0.1",
        "Server-Brittle: 0",
    ];
    let (mut wrong, mut played) = (Vec::new(), 0);
    for kind in [CALL, STREAM] {
        for mark in marks {
            for ids in 0..3 {
                let mut setup = Setup::new(kind);
                let own = setup.next_id();
                let ids = [
                    String::new(),
                    "Attempt-Id: id-earlier\r\n".to_owned(),
                    format!("Attempt-Id: {own}\r\nAttempt-Id: id-earlier\r\n"),
                ][ids]
                    .clone();
                let extra = refusal(PROMISES[3], &format!("{ids}{PROOF}{mark}\r\n"));
                let first = setup.probe(Moment::WithRequest, extra.clone());
                let mut answers = vec![first];
                answers.extend((0..6).map(|_| setup.send("next")));
                played += 1;
                if !answers.iter().all(|answer| is_right(kind, answer)) {
                    wrong.push(format!("{} {extra:?}", kind.line));
                }
            }
        }
    }
    report(&wrong, played);
}

/// A server is avoided by the load that it reports, so a report in an answer to another request must
/// not count.
#[test]
fn an_answer_that_is_not_believed_says_nothing_of_its_servers_load() {
    let (mut wrong, mut played) = (Vec::new(), 0);
    for kind in [CALL, STREAM] {
        for id in ["", "Attempt-Id: id-earlier\r\n"] {
            for status in [PROMISES[3], "200 OK"] {
                let mut setup = Setup::beside(kind, 1);
                let extra = refusal(status, &format!("{id}{PROOF}Server-Load: 16,900,16\r\n"));
                let server = setup.probe_any(&extra);
                let earlier = server.requests().len();
                setup.send_together(12);
                played += 1;
                if server.requests().len() == earlier {
                    wrong.push(format!("{} {extra:?}", kind.line));
                }
            }
        }
    }
    report(&wrong, played);
}
