//! Bytes that a backend server sends beside its answers: no caller gets them, and no caller is told by
//! them that its request did not run.

mod extra_bytes;
mod fleet;

use std::sync::Arc;

use clementinearch_border::{ChatChoice, ChatChunk, ChatDelta, ChatRequest, LoadReport, Usage};
use clementinearch_policy::request_id::RequestId;
use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk,
};
use extra_bytes::{Moment, PROMISES, Planned, refusal, report};
use fleet::{Answer, Fleet, call_service, chat, chat_body, model, now, plan, send, wait_until};

/// A kind of request of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// A call that only reads, which may be repeated.
    Read,
    /// A call that runs at most once, by its claim.
    Claimed,
    /// A chat completion, which may be resumed.
    Chat,
}

const ALL: [Kind; 3] = [Kind::Read, Kind::Claimed, Kind::Chat];

/// Statuses of other answers.
const OTHERS: [&str; 4] = [
    "200 OK",
    "400 Bad Request",
    "404 Not Found",
    "500 Internal Server Error",
];

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn load() -> Vec<Step> {
    let report = LoadReport {
        versions: vec!["review@v1".to_owned()],
        running: 0,
        queued: 0,
        slots: 64,
        leaving: false,
    };
    let body = serde_json::to_string(&report).unwrap();
    vec![Step::Send(response("200 OK", &body))]
}

/// A completion of one token.
fn completion(received: &ReceivedRequest) -> Vec<Step> {
    let request: ChatRequest = serde_json::from_str(&received.body).unwrap();
    let choice = ChatChoice {
        index: 0,
        delta: ChatDelta {
            content: "own".to_owned(),
        },
        finish_reason: Some("stop".to_owned()),
    };
    let token = ChatChunk {
        id: received.header("x-attempt-id").to_owned(),
        model: request.model,
        choices: vec![choice],
        position: Some(0),
        usage: Some(Usage {
            prompt_tokens: 1,
            completion_tokens: 1,
        }),
    };
    let event = format!("data: {}\n\n", serde_json::to_string(&token).unwrap());
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = [head, &chunk(&event), &chunk("data: [DONE]\n\n"), LAST_CHUNK].concat();
    vec![Step::Send(text)]
}

fn answer(received: &ReceivedRequest) -> Vec<Step> {
    match received.request_line.as_str() {
        "GET /load" => load(),
        "POST /v1/chat/completions" => completion(received),
        _ => vec![Step::Send(response("200 OK", "own"))],
    }
}

/// A host with one server of a kind, which sends extra bytes as it is told.
struct Setup {
    fleet: Fleet,
    server: Arc<ScriptedServer>,
    planned: Arc<Planned>,
    kind: Kind,
}

impl Setup {
    fn new(kind: Kind) -> Self {
        let mut fleet = Fleet::new();
        let planned = Arc::<Planned>::default();
        let plan_of = planned.clone();
        let pool = if kind == Kind::Chat {
            "reviewers"
        } else {
            "queue"
        };
        let server = fleet.start_scripted(pool, move |received| {
            if received.request_line == "GET /load" {
                return load();
            }
            let text = format!("{}{}", received.request_line, received.body);
            plan_of.apply(received, text.contains("probe"), answer(received))
        });
        fleet.edit(&[
            ("model/review", &model(&[("v1", "established")])),
            ("service/queue", "pool = \"queue\"\n"),
            ("plan/one", &plan("one", &["v1"])),
        ]);
        fleet.start_hosts(&["a"]);
        Self {
            fleet,
            server,
            planned,
            kind,
        }
    }

    fn send(&self, kind: Kind, name: &str) -> Answer {
        let host = &self.fleet.hosts[0];
        match kind {
            Kind::Chat => chat(host, "one", &[], &chat_body(name, 1, false)),
            Kind::Claimed => {
                let id = RequestId::new(now()).simple();
                let headers = [("idempotency-key", id.as_str())];
                call_service(host, "one", &format!("queue/{name}"), &headers, "{}")
            }
            Kind::Read => {
                let path = format!("/services/queue/{name}");
                let headers = [("authorization", "Bearer one")];
                send("GET", host.callers(), &path, &headers, "").unwrap()
            }
        }
    }

    /// Sends a request that may leave a kept connection.
    fn send_first(&self) -> Answer {
        let kind = if self.kind == Kind::Chat {
            Kind::Chat
        } else {
            Kind::Read
        };
        self.send(kind, "first")
    }

    fn is_right(&self, answer: &Answer) -> bool {
        let text = if self.kind == Kind::Chat && answer.status == 200 {
            answer.content()
        } else {
            answer.text.clone()
        };
        answer.status == 200 && text == "own"
    }

    /// Sends a request beside which `extra` comes at `moment`, if a connection was kept.
    fn probe(&self, moment: Moment, extra: String) -> Answer {
        wait_until("the server is used", || self.send_first().status == 200);
        self.planned.set(moment, extra);
        self.send_first();
        moment.pass();
        let answer = self.send(self.kind, "probe");
        self.planned.forget();
        answer
    }
}

#[test]
fn no_answer_of_another_request_reaches_a_caller() {
    let (mut wrong, mut played) = (Vec::new(), 0);
    for kind in ALL {
        let setup = Setup::new(kind);
        for moment in [Moment::WithEarlierAnswer, Moment::Idle, Moment::WithRequest] {
            for status in PROMISES.iter().chain(&OTHERS) {
                for extra in [refusal(status, ""), response(status, "other")] {
                    let answer = setup.probe(moment, extra.clone());
                    played += 1;
                    if !setup.is_right(&answer) {
                        let got = (answer.status, answer.text);
                        wrong.push(format!("{kind:?} {moment:?} {extra:?}: {got:?}"));
                    }
                }
            }
        }
        assert!(!setup.server.requests().is_empty());
    }
    report(&wrong, played);
}
