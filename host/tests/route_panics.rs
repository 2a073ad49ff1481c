//! Tasks and requests of a host that panic: the host goes on following, and answers what it can.
//!
//! The host runs in the test's process, with a dialect and a schema that panic on demand.

mod route;

use std::{
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use clementinearch_platform::{PlatformDialect, PlatformStore, PlatformStoreSchema};
use clementinearch_policy::{event_stream::StreamError, routes::RoutingTable};
use clementinearch_router::{
    AttemptContext, Block, Call, CallHead, Dialect, EventReader, Refusal, ResponseBody,
    ResponseHead, RolloutStatus, Settings, StoreItem, StoreSchema,
};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Bytes,
    http::{request, response},
};
use route::{Connection, Host, Platform, ok, paced_stream, request, wait_until};
use serde_json::json;

/// Panics that are still to come, by place.
#[derive(Default)]
struct Panics {
    prefixes: AtomicUsize,
    host_item: AtomicUsize,
    status_item: AtomicUsize,
    block_item: AtomicUsize,
}

/// Panics if one is to come.
fn panic_if_due(due: &AtomicUsize) {
    let taken = due.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |due| {
        due.checked_sub(1)
    });
    assert!(taken.is_err(), "a panic of the test");
}

struct PanickingSchema {
    inner: PlatformStoreSchema,
    panics: Arc<Panics>,
}

impl StoreSchema for PanickingSchema {
    fn prefixes(&self) -> Vec<String> {
        panic_if_due(&self.panics.prefixes);
        self.inner.prefixes()
    }

    fn read(&self, key: &str, value: &Bytes) -> Result<StoreItem, String> {
        assert!(!key.contains("panic"), "a panic of the test");
        self.inner.read(key, value)
    }

    fn server_name<'a>(&self, key: &'a str) -> Option<&'a str> {
        self.inner.server_name(key)
    }

    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        self.inner.evacuated_zone(key)
    }

    fn host_item(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>) {
        panic_if_due(&self.panics.host_item);
        self.inner.host_item(name, address)
    }

    fn status_item(&self, status: &RolloutStatus) -> (String, Vec<u8>) {
        panic_if_due(&self.panics.status_item);
        self.inner.status_item(status)
    }

    fn status_service<'a>(&self, key: &'a str) -> Option<&'a str> {
        self.inner.status_service(key)
    }

    fn block_item(&self, block: Block) -> (String, Vec<u8>) {
        panic_if_due(&self.panics.block_item);
        self.inner.block_item(block)
    }

    fn block(&self, key: &str) -> Option<Block> {
        self.inner.block(key)
    }
}

/// Panics where the path of a request says so.
struct PanickingDialect(PlatformDialect);

fn panic_at(path: &str, place: &str) {
    assert!(!path.contains(place), "a panic of the test");
}

struct PanickingReader;

impl EventReader for PanickingReader {
    fn push(&mut self, _bytes: &[u8]) -> Result<Bytes, StreamError> {
        panic!("a panic of the test");
    }

    fn failure(&self) -> Option<StreamError> {
        None
    }

    fn last_id(&self) -> Option<u64> {
        None
    }

    fn event_count(&self) -> u64 {
        0
    }

    fn is_complete(&self, _is_clean: bool) -> bool {
        false
    }
}

impl Dialect for PanickingDialect {
    fn request_id<'a>(&self, head: &'a request::Parts) -> Option<&'a str> {
        self.0.request_id(head)
    }

    fn read_call(&self, head: &request::Parts, table: &RoutingTable) -> Result<CallHead, Refusal> {
        panic_at(head.uri.path(), "panic-head");
        self.0.read_call(head, table)
    }

    fn attempt_headers(&self, attempt: &AttemptContext<'_>) -> HeaderMap {
        panic_at(attempt.call.target.path(), "panic-attempt");
        self.0.attempt_headers(attempt)
    }

    fn has_response_ids(&self) -> bool {
        self.0.has_response_ids()
    }

    fn read_response(&self, head: &response::Parts, call: &Call) -> ResponseHead {
        panic_at(call.target.path(), "panic-response");
        self.0.read_response(head, call)
    }

    fn response_headers(&self, headers: HeaderMap, call: &Call) -> HeaderMap {
        panic_at(call.target.path(), "panic-end");
        self.0.response_headers(headers, call)
    }

    fn refusal_response(
        &self,
        refusal: &Refusal,
        head: Option<&CallHead>,
    ) -> Response<ResponseBody> {
        self.0.refusal_response(refusal, head)
    }

    fn event_reader(&self, attempt: &AttemptContext<'_>) -> Option<Box<dyn EventReader>> {
        if attempt.call.target.path().contains("panic-stream") {
            return Some(Box::new(PanickingReader));
        }
        self.0.event_reader(attempt)
    }

    fn promises_not_run(&self, status: StatusCode) -> bool {
        self.0.promises_not_run(status)
    }
}

/// A metric's value; zero if there is none.
fn metric(host: &Host, name: &str) -> f64 {
    let metrics = host.metrics();
    let mut lines = metrics.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == name);
    found.map_or(0.0, |(_, value)| value.parse().unwrap())
}

fn restarts(host: &Host, task: &str) -> f64 {
    let name = format!("clementinearch_task_restarts_total{{task=\"{task}\"}}");
    metric(host, &name)
}

/// Whether a call is served.
fn is_served(host: &Host, line: &str) -> bool {
    let mut connection = Connection::open(host.callers());
    connection.send(&request(line, "id-1", "", ""));
    connection.read().status == 200
}

fn check_items(platform: &mut Platform, host: &Host) {
    let address = platform.address("i-1");
    platform.write_entry("panic", "orders", "v1", address, "ready");
    platform.configure(2, &json!([]));
    wait_until("later items are in force", || {
        host.status()["routing_version"] == 2
    });
    assert_eq!(host.status()["servers"], 2);
}

/// Whether a condition holds before the wait for it is given up.
fn holds(condition: impl FnMut() -> bool) -> bool {
    let wait = AssertUnwindSafe(|| wait_until("it holds", condition));
    catch_unwind(wait).is_ok()
}

/// Lets tasks panic. Returns those that do not go on.
fn failures_of_tasks(platform: &Platform, host: &Host, panics: &Panics) -> Vec<String> {
    panics.status_item.store(2, Ordering::Relaxed);
    let order = json!({"service": "orders", "target": "v2", "durationS": 600});
    platform.store.put("op/rollout/orders", order.to_string());
    let are_stepped = holds(|| platform.store.get("status/rollout/orders").is_some());
    panics.prefixes.store(3, Ordering::Relaxed);
    let is_followed = holds(|| restarts(host, "view_sync") >= 3.0);
    panics.host_item.store(1, Ordering::Relaxed);
    platform.configure(3, &json!([]));
    let is_in_force = holds(|| host.status()["routing_version"] == 3);
    let checks = [
        ("rollouts", are_stepped && restarts(host, "rollouts") == 2.0),
        ("following", is_followed),
        ("changes after", is_in_force && host.is_ready()),
    ];
    let failed = checks.into_iter().filter(|check| !check.1);
    failed.map(|check| check.0.to_owned()).collect()
}

/// Lets calls panic. Returns those that do not get what they should, a failure that promises nothing
/// on a connection that is closed.
fn failures_of_calls(host: &Host) -> Vec<String> {
    let mut failed = Vec::new();
    let places = ["panic-head", "panic-attempt", "panic-response", "panic-end"];
    let everywhere = ["/look/", "/pay/", "/draft/"];
    let places = places.map(|place| (place, &everywhere[..]));
    for (place, routes) in places
        .into_iter()
        .chain([("panic-stream", &["/draft/"][..])])
    {
        for route in routes {
            let mut connection = Connection::open(host.callers());
            let line = format!("POST {route}{place}");
            connection.send(&request(&line, "id-1", "", ""));
            let answer = connection.read();
            let is_idle = holds(|| metric(host, "clementinearch_requests_running") == 0.0);
            if answer.status != 502 || answer.header("connection") != "close" || !is_idle {
                failed.push(line);
            }
        }
    }
    failed
}

#[test]
fn a_panic_ends_neither_a_task_nor_the_count_of_a_request() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.add_backend("pool", "v1", |_, received| {
        paced_stream(received, 3, std::time::Duration::ZERO)
    });
    let panics: Arc<Panics> = Arc::default();
    let (host, settings) = platform.host_of_test();
    let settings = settings.replace("[limits]\n", "[limits]\ngrace_s = 3600\n");
    let schema = Arc::new(PanickingSchema {
        inner: PlatformStoreSchema,
        panics: panics.clone(),
    });
    let running = thread::spawn(move || {
        let settings = Settings::parse("settings", &settings).unwrap();
        let store = Arc::new(PlatformStore::new(settings.store));
        let dialect = Arc::new(PanickingDialect(PlatformDialect));
        clementinearch_router::run(settings, dialect, schema, store)
    });
    wait_until("the host is ready", || host.is_ready());
    check_items(&mut platform, &host);
    let mut failed = failures_of_tasks(&platform, &host, &panics);
    failed.extend(failures_of_calls(&host));
    assert!(failed.is_empty(), "{} of 16: {failed:?}", failed.len());
    for line in ["POST /look/1", "POST /pay/1", "POST /draft/1"] {
        assert!(is_served(&host, line), "{line}");
    }
    assert!(metric(&host, "clementinearch_panics_total") >= 20.0);
    // With a connection that is still counted, the host would wait for its end.
    host.signal("TERM");
    wait_until("the host has stopped", || running.is_finished());
    running.join().unwrap().unwrap();
}
