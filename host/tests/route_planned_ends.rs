//! Servers of the version that lost a rollout stop at once, which is no crash of the requests that
//! ran there.

mod route;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{ReceivedRequest, ScriptedServer, Step};
use route::{Answer, Connection, Platform, paced_stream, send_request, wait_until};
use serde_json::{Value, json};

/// Time limit of the rollouts, seconds.
const LIMIT_S: u64 = 16;

/// Time from the removal of an entry until hosts have judged the end of the server: they wait for
/// two seconds.
const REMOVAL_JUDGED: Duration = Duration::from_millis(3_500);

/// Body of requests whose streams still run when the rollout ends.
const LONG: &str = "long";

/// Body of requests that crash the server that runs them.
const CRASHING: &str = "crashing";

/// Streams for four seconds for [`LONG`], crashes for [`CRASHING`], and stops for a request that
/// comes straight from the test.
fn script(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line.contains("/stop") || received.body == CRASHING {
        return vec![Step::Crash];
    }
    if received.body == LONG {
        return paced_stream(received, 40, Duration::from_millis(100));
    }
    paced_stream(received, 10, Duration::from_millis(10))
}

/// Stops a server as the operators do: it resets its connections and refuses new ones.
fn stop(server: &ScriptedServer) {
    let mut connection = Connection::open(server.address());
    connection.send("GET /stop HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(connection.read().status, 0, "the server stops");
}

/// Ends the other threads of a test if this one panics, which would otherwise wait for them.
struct EndOnPanic<'a>(&'a AtomicBool);

impl Drop for EndOnPanic<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.store(true, Ordering::Relaxed);
        }
    }
}

type Servers = Vec<(String, Arc<ScriptedServer>)>;

fn add_servers(platform: &mut Platform, version: &str) -> Servers {
    let add = |_| platform.add_backend("pool", version, script);
    (0..2).map(add).collect()
}

fn send(platform: &Platform, number: usize, body: &str) -> Answer {
    let host = &platform.hosts[number % platform.hosts.len()];
    let headers = format!("Model: small\r\nSession: s-{number}\r\n");
    let id = format!("{body}-{number}");
    send_request(host, "POST /draft/1", &id, &headers, body)
}

fn long_requests(server: &ScriptedServer) -> usize {
    let requests = server.requests();
    requests.iter().filter(|it| it.body == LONG).count()
}

fn order(platform: &Platform) {
    let order = json!({"service": "pool", "target": "v2", "durationS": LIMIT_S});
    platform.store.put("op/rollout/pool", order.to_string());
}

fn state(platform: &Platform) -> String {
    let status = platform.store.get("status/rollout/pool");
    let status: Value = serde_json::from_slice(&status.unwrap_or_default()).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// Writes the status of a rollout that ended this long after the order, as a host does.
fn put_status(platform: &Platform, state: &str, elapsed: Duration) {
    let elapsed_ms = elapsed.as_millis() as u64;
    let status = json!({"state": state, "target": "v2", "elapsedMs": elapsed_ms, "rejected": []});
    platform
        .store
        .put("status/rollout/pool", status.to_string());
}

fn crashes(platform: &Platform) -> Vec<Value> {
    let hosts = platform.hosts.iter();
    hosts
        .flat_map(|host| host.logged("server_crashed"))
        .collect()
}

fn remove_entries(platform: &Platform, servers: &Servers) {
    for (name, _) in servers {
        platform.store.remove(&format!("servers/{name}"));
    }
}

/// Checks that no host blames a content.
fn check_blameless(platform: &Platform) {
    for host in &platform.hosts {
        let status = host.status();
        assert_eq!(status["blocked_contents"], 0);
        assert_eq!(status["suspect_contents"], 0);
        assert_eq!(host.logged("content_blocked"), Vec::<Value>::new());
    }
}

/// The streams that ran on the old servers were taken for their cause of death and refused.
#[test]
fn old_servers_that_stop_after_a_rollout_have_not_crashed() {
    let mut platform = Platform::new();
    let old = add_servers(&mut platform, "v1");
    platform.start_hosts(2);
    add_servers(&mut platform, "v2");
    order(&platform);
    let ordered_at = Instant::now();
    let platform = &platform;
    let is_over = AtomicBool::new(false);
    let is_over = &is_over;
    let number = AtomicUsize::new(100);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let _end = EndOnPanic(is_over);
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let answer = send(platform, number, &format!("short-{number}"));
                    assert_eq!(answer.status, 200);
                    assert!(answer.is_whole);
                }
            });
        }
        let _end = EndOnPanic(is_over);
        // Before the share grows, so that they run on the old version and past the completion.
        thread::sleep(Duration::from_millis(LIMIT_S * 780));
        let send_long = |number| scope.spawn(move || send(platform, number, LONG));
        let long: Vec<_> = (0..8).map(send_long).collect();
        wait_until("the rollout is completed", || {
            state(platform) == "completed"
        });
        assert!(ordered_at.elapsed() < Duration::from_secs(LIMIT_S));
        assert!(old.iter().all(|(_, server)| long_requests(server) > 0));
        for (_, server) in &old {
            stop(server);
        }
        thread::sleep(Duration::from_millis(500));
        remove_entries(platform, &old);
        for answer in long {
            let answer = answer.join().unwrap();
            assert_eq!(answer.status, 200);
            assert!(answer.is_whole, "{}", answer.body);
        }
        thread::sleep(REMOVAL_JUDGED);
        is_over.store(true, Ordering::Relaxed);
    });
    assert_eq!(crashes(platform), Vec::<Value>::new());
    check_blameless(platform);
}

/// Sends long requests and waits until both servers of `losing` run one.
fn run_long_requests<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    platform: &'scope Platform,
    losing: &Servers,
) -> Vec<thread::ScopedJoinHandle<'scope, Answer>> {
    let mut running = Vec::new();
    wait_until("both servers run a long request", || {
        let number = running.len();
        running.push(scope.spawn(move || send(platform, number, LONG)));
        thread::sleep(Duration::from_millis(20));
        losing.iter().all(|(_, server)| long_requests(server) > 0)
    });
    running
}

/// A host that reads the status late has recorded crashes, and withdraws them.
#[test]
fn crashes_recorded_before_the_status_was_read_are_withdrawn() {
    let mut platform = Platform::new();
    let old = add_servers(&mut platform, "v1");
    platform.start_hosts(2);
    order(&platform);
    let ordered_at = Instant::now();
    let platform = &platform;
    thread::scope(|scope| {
        let _long = run_long_requests(scope, platform, &old);
        let completed_after = ordered_at.elapsed();
        for (_, server) in &old {
            stop(server);
        }
        wait_until("the hosts take the ends for crashes", || {
            !crashes(platform).is_empty()
        });
        put_status(platform, "completed", completed_after);
        wait_until("the crashes are withdrawn", || {
            let mut hosts = platform.hosts.iter();
            hosts.all(|host| {
                let status = host.status();
                status["blocked_contents"] == 0 && status["suspect_contents"] == 0
            })
        });
    });
}

/// The current version is the new one after a completion, and the old one after a rollback.
#[test]
fn a_crash_of_the_current_version_is_reported_after_a_rollout() {
    for (end, current) in [("completed", "v2"), ("rolled_back", "v1")] {
        let mut platform = Platform::new();
        let old = add_servers(&mut platform, "v1");
        let new = add_servers(&mut platform, "v2");
        platform.start_hosts(1);
        order(&platform);
        put_status(&platform, end, Duration::from_millis(100));
        wait_until("the host has read the status", || {
            let logged = platform.hosts[0].logged("rollout_status");
            logged.iter().any(|line| line["why"] == end)
        });
        let losing = if current == "v2" { &old } else { &new };
        for (_, server) in losing {
            stop(server);
        }
        remove_entries(&platform, losing);
        send(&platform, 0, CRASHING);
        wait_until("the crash is logged", || !crashes(&platform).is_empty());
        let servers: Vec<Value> = crashes(&platform)
            .iter()
            .map(|line| line["server"].clone())
            .collect();
        for server in servers {
            let is_losing = losing.iter().any(|(name, _)| server == **name);
            assert!(!is_losing, "{end}: {server}");
        }
        let status = platform.hosts[0].status();
        let found = |field: &str| status[field].as_u64().unwrap_or_default();
        assert!(found("suspect_contents") + found("blocked_contents") > 0);
    }
}
