//! Answers that the store sends once more: none is taken for the answer to another call.

mod extra_bytes;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use clementinearch_platform::PlatformStore;
use clementinearch_standins::scripted_server::{ReceivedRequest, ScriptedServer, Step};
use clementinearch_storage::{
    Changes, CommitOutcome, Freshness, KeyStore, KeyStorePurpose, StoreError, StorePosition,
    Transaction,
};
use extra_bytes::{Moment, Planned, report};
use serde_json::json;

const PURPOSE: KeyStorePurpose = KeyStorePurpose::Membership;

/// Revision after which changes are asked for, and the present one.
const KNOWN: u64 = 40;
const PRESENT: u64 = 50;

/// Tries of a call that comes before the probe.
const MAX_TRIES: u32 = 100;

const DONE: &str = "200 OK";
const CONFLICT: &str = "412 Precondition Failed";
const UNAVAILABLE: &str = "503 Service Unavailable";

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// State of a store that names no era.
fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn page(keys: &[&str], revision: u64) -> String {
    let item = |key: &&str| json!({"key": key, "value": "", "revision": revision, "created": 1, "lease": 0});
    let items: Vec<_> = keys.iter().map(item).collect();
    json!({"items": items, "truncated": false, "storeRevision": revision}).to_string()
}

fn events(keys: &[&str], revision: u64, store_revision: u64) -> String {
    let event = |key: &&str| json!({"key": key, "value": "", "revision": revision});
    let events: Vec<_> = keys.iter().map(event).collect();
    json!({"events": events, "storeRevision": store_revision}).to_string()
}

fn lease() -> String {
    json!({"lease": 1, "ttlMs": 5_000}).to_string()
}

fn committed(revision: u64) -> String {
    json!({"revision": revision}).to_string()
}

/// A store of one process, its client, and the status of the next transactions.
struct Setup {
    store: PlatformStore,
    planned: Arc<Planned>,
    status: Arc<Mutex<&'static str>>,
    runtime: tokio::runtime::Runtime,
    server: Arc<ScriptedServer>,
}

impl Setup {
    fn new() -> Self {
        let planned = Arc::<Planned>::default();
        let status = Arc::new(Mutex::new(DONE));
        let (plan, state) = (planned.clone(), status.clone());
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = ScriptedServer::start(any_port, move |_, received| {
            let text = format!("{}{}", received.request_line, received.body);
            let is_probe = text.contains("probe") || text.contains("ttlMs\":7000");
            let own = answer(received, *state.lock().unwrap());
            plan.apply(received, is_probe, vec![Step::Send(own)])
        })
        .unwrap();
        Self {
            store: PlatformStore::new(server.address()),
            planned,
            status,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap(),
            server,
        }
    }

    fn commit(&self, key: &str, lifetime: Option<Duration>) -> Result<CommitOutcome, StoreError> {
        let transaction = Transaction {
            writes: vec![(key.to_owned(), Vec::new())],
            lifetime,
            ..Transaction::default()
        };
        self.runtime
            .block_on(self.store.commit(transaction, PURPOSE))
    }

    /// Repeats a call that comes before the probe until it succeeds.
    fn retry<T>(&self, call: impl Fn() -> Result<T, StoreError>) {
        let succeeded = (0..MAX_TRIES).any(|_| call().is_ok());
        assert!(succeeded, "the store is not reached");
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> Result<Vec<String>, StoreError> {
        let read = self.store.range(prefix, after, Freshness::Fresh, PURPOSE);
        let page = self.runtime.block_on(read)?;
        Ok(page.items.into_iter().map(|item| item.key).collect())
    }

    fn changes(&self, prefix: &str) -> Result<Changes, StoreError> {
        let known = position(KNOWN);
        let read = self.store.changes(prefix, known, Duration::ZERO, PURPOSE);
        self.runtime.block_on(read)
    }
}

fn answer(received: &ReceivedRequest, status: &str) -> String {
    let target = received.request_line.as_str();
    if target.contains("kv-lease") {
        return response(DONE, &lease());
    }
    if target.contains("kv-txn") {
        return response(status, &committed(PRESENT));
    }
    let is_probe = target.contains("probe");
    let key = if is_probe { "probe/b" } else { "first/b" };
    if target.contains("kv-range") {
        return response(DONE, &page(&[key], PRESENT));
    }
    response(DONE, &events(&[key], PRESENT, PRESENT))
}

/// Answers to other calls, each of which the store may send once more.
fn other_answers() -> Vec<String> {
    vec![
        response(DONE, &committed(PRESENT - 1)),
        response(DONE, &lease()),
        response(CONFLICT, &page(&[], KNOWN)),
        response("404 Not Found", "{}"),
        response("410 Gone", ""),
        response("429 Too Many Requests", ""),
        response(UNAVAILABLE, ""),
        response(DONE, &page(&["other/a"], KNOWN)),
        response(DONE, &page(&["probe/a"], KNOWN)),
        response(DONE, &events(&["other/a"], PRESENT, PRESENT)),
        response(DONE, &events(&["probe/a"], KNOWN, PRESENT)),
        response(DONE, &events(&[], KNOWN, KNOWN - 1)),
    ]
}

/// A write that was taken for done, refused or conflicting by the answer to another one would be
/// given up or repeated wrongly.
#[test]
fn no_answer_to_another_call_decides_a_write() {
    let setup = Setup::new();
    let (mut wrong, mut played) = (Vec::new(), 0);
    for lifetime in [None, Some(Duration::from_secs(7))] {
        for status in [DONE, CONFLICT, UNAVAILABLE] {
            for moment in [Moment::WithEarlierAnswer, Moment::WithRequest] {
                for extra in other_answers() {
                    *setup.status.lock().unwrap() = DONE;
                    setup.retry(|| setup.commit("first", None));
                    setup.planned.set(moment, extra.clone());
                    if moment == Moment::WithEarlierAnswer {
                        setup.retry(|| setup.commit("first", None));
                    }
                    *setup.status.lock().unwrap() = status;
                    let outcome = setup.commit("probe", lifetime);
                    setup.planned.forget();
                    played += 1;
                    let is_right = match status {
                        DONE => {
                            outcome
                                == Ok(CommitOutcome::Done {
                                    position: position(PRESENT),
                                })
                        }
                        CONFLICT => outcome == Ok(CommitOutcome::Conflict),
                        _ => matches!(outcome, Err(StoreError::NotReached { .. })),
                    };
                    if !is_right {
                        wrong.push(format!(
                            "{status} {lifetime:?} {moment:?} {extra:?}: {outcome:?}"
                        ));
                    }
                }
            }
        }
    }
    assert!(!setup.server.requests().is_empty());
    report(&wrong, played);
}

/// A read may fail and be repeated, but what it returns is its own.
#[test]
fn no_read_returns_what_another_call_asked_for() {
    let setup = Setup::new();
    let (mut wrong, mut played) = (Vec::new(), 0);
    for moment in [Moment::WithEarlierAnswer, Moment::WithRequest] {
        for extra in other_answers() {
            for is_watch in [false, true] {
                setup.retry(|| setup.page("first/", None));
                setup.planned.set(moment, extra.clone());
                if moment == Moment::WithEarlierAnswer {
                    setup.retry(|| setup.page("first/", None));
                }
                let read = if is_watch {
                    setup
                        .changes("probe/")
                        .map(|changes| format!("{changes:?}"))
                } else {
                    setup
                        .page("probe/", Some("probe/a"))
                        .map(|keys| keys.concat())
                };
                setup.planned.forget();
                played += 1;
                // After an error, or a history that is said to be gone, the host reads again.
                if read
                    .as_ref()
                    .is_ok_and(|read| !read.contains("probe/b") && read != "Compacted")
                {
                    wrong.push(format!("{is_watch} {moment:?} {extra:?}: {read:?}"));
                }
            }
        }
    }
    report(&wrong, played);
}
