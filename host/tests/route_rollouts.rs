//! Rollouts of bad versions whose faults are hard to see.

mod route;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, signed_response, stream_head, token_event,
};
use route::{Platform, send_request, wait_until};
use serde_json::{Value, json};

/// Slots of each backend server, as its entry says.
const SLOTS: usize = 16;

/// Events of each stream, enough to judge its pace.
const EVENTS: u64 = 12;

/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(20);

fn stream(received: &ReceivedRequest, extra: &str, pause: Duration) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(received, extra))];
    for id in 1..=EVENTS {
        steps.push(Step::Send(chunk(&token_event(id))));
        steps.push(Step::Wait(pause));
    }
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

fn failure(received: &ReceivedRequest) -> Vec<Step> {
    let status = "500 Internal Server Error";
    vec![Step::Send(signed_response(received, status, "", ""))]
}

/// Whether the request with this number is one of the half that a bad version fails.
fn is_unlucky(number: usize) -> bool {
    number.is_multiple_of(2)
}

fn is_photo(received: &ReceivedRequest) -> bool {
    received.request_line.contains("/photo/")
}

/// A platform whose service `pool` has a second route, with a fifth of the sessions.
fn new_platform() -> Platform {
    let platform = Platform::new();
    platform.configure(2, &json!([{"name": "photo", "host": "a.example", "pathPrefix": "/photo/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "sizes": ["small", "large"], "service": "pool", "maxAttempts": 3, "sessionAffinity": true, "streamResume": true, "gapTargetMs": 1000}]));
    platform
}

fn status(platform: &Platform) -> Value {
    let status = platform.store.get("status/rollout/pool");
    serde_json::from_slice(&status.unwrap_or_default()).unwrap_or_default()
}

/// How a rollout ended.
struct Ended {
    state: String,
    /// Share of the pool's requests since the order that ran on the new version.
    exposure: f64,
}

/// Orders a rollout of `v2` within `limit_s` seconds and lets `callers` send stream after stream
/// until it has ended or its time is up. `count` returns the requests so far of the old and the new
/// version.
fn roll_out(
    platform: &Platform,
    limit_s: u64,
    callers: usize,
    count: impl Fn() -> (usize, usize),
) -> Ended {
    let is_over = AtomicBool::new(false);
    let number = AtomicUsize::new(0);
    let before = count();
    thread::scope(|scope| {
        for _ in 0..callers {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let host = &platform.hosts[number % platform.hosts.len()];
                    let session = format!("Model: small\r\nSession: s-{number}\r\n");
                    let line = if number % 5 == 4 {
                        "POST /photo/1"
                    } else {
                        "POST /draft/1"
                    };
                    send_request(host, line, &format!("r-{number}"), &session, "{}");
                }
            });
        }
        // The hosts know the old version's usual pace before the order comes.
        wait_until("the old version has served", || {
            number.load(Ordering::Relaxed) > callers * 8
        });
        let order = json!({"service": "pool", "target": "v2", "durationS": limit_s});
        platform.store.put("op/rollout/pool", order.to_string());
        let ordered_at = Instant::now();
        let limit = Duration::from_secs(limit_s);
        wait_until("the rollout has ended", || {
            let state = status(platform)["state"].to_string();
            state.contains("completed")
                || state.contains("rolled_back")
                || ordered_at.elapsed() > limit
        });
        is_over.store(true, Ordering::Relaxed);
    });
    let after = count();
    let (old, new) = (after.0 - before.0, after.1 - before.1);
    Ended {
        state: status(platform)["state"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        exposure: new as f64 / (old + new).max(1) as f64,
    }
}

/// Largest share of the requests that a bad version may get.
const MAX_EXPOSURE: f64 = 0.15;

/// Starts two servers of each version and two hosts. `is_failed` decides on a request of the new
/// version from its number, the request and the requests that run on its server; `old` is the
/// script of the old version.
fn run(
    limit_s: u64,
    callers: usize,
    old: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
    is_failed: impl Fn(usize, &ReceivedRequest, usize) -> bool + Clone + Send + Sync + 'static,
) -> Ended {
    let mut platform = new_platform();
    let mut servers = (Vec::new(), Vec::new());
    for _ in 0..2 {
        servers
            .0
            .push(platform.add_backend("pool", "v1", old.clone()).1);
    }
    let mut started = Vec::new();
    for _ in 0..2 {
        let is_failed = is_failed.clone();
        let running = Arc::new(AtomicUsize::new(0));
        let (name, server) = platform.add_backend("pool", "v2", move |number, received| {
            let guard = Running::enter(&running);
            let load = format!("Server-Load: {},0,{SLOTS}\r\n", guard.now);
            if is_failed(number, received, guard.now) {
                return failure(received);
            }
            guard.leave_after(PAUSE * EVENTS as u32);
            stream(received, &load, PAUSE)
        });
        // Without a rollout the new version would be like any other.
        platform.store.remove(&format!("servers/{name}"));
        started.push(name);
        servers.1.push(server);
    }
    platform.start_hosts(2);
    let names = started.clone();
    let total = |servers: &[Arc<clementinearch_standins::scripted_server::ScriptedServer>]| {
        servers.iter().map(|it| it.requests().len()).sum::<usize>()
    };
    let order_watch = platform.store.clone();
    let entries: Vec<_> = names
        .iter()
        .map(|name| (name.clone(), platform.address(name)))
        .collect();
    // The new version's servers start with the order.
    thread::spawn(move || {
        wait_until("the rollout is ordered", || {
            order_watch.get("op/rollout/pool").is_some()
        });
        for (name, address) in entries {
            route::put_entry(&order_watch, 1, &name, "pool", "v2", address, "ready");
        }
    });
    roll_out(&platform, limit_s, callers, || {
        (total(&servers.0), total(&servers.1))
    })
}

/// A request that runs on a server, counted until it is dropped.
struct Running {
    count: Arc<AtomicUsize>,
    /// Requests that run, this one included.
    now: usize,
}

impl Running {
    fn enter(count: &Arc<AtomicUsize>) -> Self {
        let now = count.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            count: count.clone(),
            now,
        }
    }

    fn leave_after(self, span: Duration) {
        thread::spawn(move || {
            thread::sleep(span);
            drop(self);
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// In use each server runs six requests of sixteen; the version fails from nine on.
#[test]
fn a_version_that_fails_under_load_is_rolled_back_before_it_is_loaded() {
    let old = |_: usize, received: &ReceivedRequest| stream(received, "", PAUSE);
    let ended = run(12, 12, old, |number, _, running| {
        running > SLOTS / 2 && is_unlucky(number)
    });
    assert_eq!(ended.state, "rolled_back");
    assert!(ended.exposure <= MAX_EXPOSURE, "{}", ended.exposure);
}

/// Until its fault shows, the version must not get more requests than it may.
#[test]
fn a_version_that_fails_under_load_stays_within_the_bound_on_exposure() {
    let old = |_: usize, received: &ReceivedRequest| stream(received, "", PAUSE);
    let ended = run(12, 12, old, |number, _, running| {
        running > SLOTS / 2 && is_unlucky(number)
    });
    assert!(ended.exposure <= MAX_EXPOSURE, "{}", ended.exposure);
}

/// Old and new version stream a quarter of their answers slowly, so that failures of a route with a
/// fifth of the requests hardly change the rate of bad answers.
#[test]
fn a_version_that_fails_on_one_route_is_rolled_back() {
    let old = |number: usize, received: &ReceivedRequest| {
        let is_slow = number.is_multiple_of(4);
        stream(received, "", if is_slow { PAUSE * 4 } else { PAUSE })
    };
    let ended = run(20, 36, old, |number, received, _| {
        is_photo(received) && is_unlucky(number / 5)
    });
    assert_eq!(ended.state, "rolled_back");
    assert!(ended.exposure <= MAX_EXPOSURE, "{}", ended.exposure);
}

/// Script of an old version that fails most requests for the first half of the rollout.
fn troubled_script() -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Clone + Send + Sync {
    const TROUBLE: Duration = Duration::from_secs(8);
    let started_at = Instant::now();
    move |number, received| {
        if started_at.elapsed() < TROUBLE && !number.is_multiple_of(5) {
            return failure(received);
        }
        stream(received, "", PAUSE)
    }
}

#[test]
fn trouble_of_the_old_version_does_not_hide_a_bad_one() {
    let ended = run(16, 12, troubled_script(), |number, _, _| is_unlucky(number));
    assert_eq!(ended.state, "rolled_back");
    assert!(ended.exposure <= MAX_EXPOSURE, "{}", ended.exposure);
}

#[test]
fn a_good_version_is_completed_while_the_old_one_is_in_trouble() {
    let ended = run(12, 12, troubled_script(), |_, _, _| false);
    assert_eq!(ended.state, "completed");
}
