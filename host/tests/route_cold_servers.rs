//! Servers that have just started and fall over above a rate of requests.

mod route;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, signed_response,
};
use parking_lot::Mutex;
use route::{Answer, Platform, wait_until};
use serde_json::{Value, json};

const COLD_PER_S: f64 = 4.0;
const WINDOW: Duration = Duration::from_secs(1);

/// Requests that a cold server bears in a window.
const ALLOWED: usize = (COLD_PER_S * 1.5 + 5.0) as usize;

/// Times of arrivals at a server.
#[derive(Default)]
struct Arrivals(Mutex<Vec<Instant>>);

impl Arrivals {
    fn since(&self, from: Instant) -> Vec<Instant> {
        let times = self.0.lock();
        times.iter().copied().filter(|at| *at >= from).collect()
    }

    /// Most arrivals in a window that begins at `from` or later.
    fn most_in_window(&self, from: Instant) -> usize {
        let late = self.since(from);
        let in_window = |first: &Instant| {
            let after = late.iter().filter(|at| **at >= *first);
            after.filter(|at| **at < *first + WINDOW).count()
        };
        late.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Writes a configuration whose service `orders` has cold servers.
fn configure(platform: &Platform, version: u64, cold_per_s: &Value, cold_start_s: u64) {
    let config = json!({
        "version": version,
        "routes": [{"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 3}],
        "services": [{"name": "orders", "maxConnections": 100, "coldStartS": cold_start_s, "coldPerS": cold_per_s}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "one", "apiKeys": ["key-1"], "priority": 3}],
    });
    platform.store.put("op/config", config.to_string());
}

/// Script of a server that records when requests arrive.
fn recording(
    arrivals: &Arc<Arrivals>,
) -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static {
    let seen = arrivals.clone();
    move |_, received| {
        seen.0.lock().push(Instant::now());
        vec![Step::Send(signed_response(received, "200 OK", "", "done"))]
    }
}

fn add_server(platform: &mut Platform) -> (String, Arc<Arrivals>) {
    let arrivals = Arc::default();
    let (name, _) = platform.add_backend("orders", "v1", recording(&arrivals));
    (name, arrivals)
}

/// Writes a server's entry; `cold` is its `coldRemainingMs` as JSON.
fn write_entry(platform: &Platform, name: &str, born: u64, sequence: u64, cold: &str) {
    let address = platform.address(name);
    let entry = format!(
        r#"{{"service":"orders","address":"{address}","zone":"a","version":"v1","slots":16,"state":"ready","coldRemainingMs":{cold},"sequence":{sequence},"born":{born}}}"#
    );
    platform.store.put(&format!("servers/{name}"), entry);
}

/// Lets callers send to all hosts for `span`, far more often than cold servers bear.
fn call(platform: &Platform, span: Duration) -> Vec<Answer> {
    platform.call_hosts(16, Duration::from_millis(20), span)
}

/// Starts hosts that leave no line out of their logs.
fn launch(platform: &mut Platform, hosts: usize) {
    for _ in 0..hosts {
        platform.launch_host_with("log_lines_per_s = 100000\n");
    }
    for host in &platform.hosts {
        wait_until("the host is ready", || host.is_ready());
    }
}

fn start(platform: &mut Platform, hosts: usize) {
    launch(platform, hosts);
    wait_until("the hosts know each other", || {
        let mut all = platform.hosts.iter();
        all.all(|host| host.status()["hosts"] == hosts)
    });
}

fn wait_for_cold(platform: &Platform, servers: usize) {
    for host in &platform.hosts {
        wait_until("the host knows the cold servers", || {
            host.status()["cold_servers"] == servers
        });
    }
}

/// Guards against hosts that each keep the pace for themselves, and against entries that replace the
/// pace: the server writes its heartbeats all the time.
#[test]
fn a_cold_server_stays_within_its_bound_until_it_is_warm() {
    let mut platform = Platform::new();
    configure(&platform, 2, &json!(COLD_PER_S), 8);
    let (cold, arrivals) = add_server(&mut platform);
    let (_, warm) = add_server(&mut platform);
    start(&mut platform, 4);
    write_entry(&platform, &cold, 2, 1, "8000");
    wait_for_cold(&platform, 1);
    let began_at = Instant::now();
    let answers = call(&platform, Duration::from_secs(5));
    let most = arrivals.most_in_window(began_at);
    let got = arrivals.since(began_at).len();
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(got >= 5, "{got} requests to the cold server in 5 s");
    assert!(answers.iter().all(|it| it.status == 200));
    assert!(warm.since(began_at).len() > got);
    // A restart, or an entry that is removed and written again, does not begin a new second.
    let again_at = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| call(&platform, Duration::from_secs(4)));
        for born in 3..19 {
            thread::sleep(Duration::from_millis(200));
            if born % 3 == 0 {
                platform.store.remove(&format!("servers/{cold}"));
            }
            write_entry(&platform, &cold, born, 1, "8000");
        }
    });
    let most = arrivals.most_in_window(again_at);
    assert!(most <= ALLOWED, "{most} requests in a second");
    // The presumed time of the last start has passed too.
    wait_for_cold(&platform, 0);
    let warm_at = Instant::now();
    call(&platform, Duration::from_secs(2));
    assert!(arrivals.most_in_window(warm_at) > ALLOWED, "it is warm");
}

/// Guards against a queue that never ends and against an untrue refusal while all servers are cold.
#[test]
fn requests_beyond_the_pace_of_cold_servers_are_refused_as_not_run() {
    let mut platform = Platform::new();
    configure(&platform, 2, &json!(COLD_PER_S), 60);
    let (cold, arrivals) = add_server(&mut platform);
    write_entry(&platform, &cold, 1, 2, "60000");
    start(&mut platform, 2);
    wait_for_cold(&platform, 1);
    // Hosts that have just started leave cold servers alone.
    thread::sleep(Duration::from_secs(3));
    let began_at = Instant::now();
    let answers = call(&platform, Duration::from_secs(5));
    let served = answers.iter().filter(|it| it.status == 200).count();
    let most = arrivals.most_in_window(began_at);
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(served >= 10, "{served} served in 5 s");
    assert_eq!(served, arrivals.since(began_at).len());
    assert!(answers.iter().all(|it| matches!(it.status, 200 | 503)));
}

/// Guards against values that take a configuration or a server out of force, or leave a server cold
/// for ever.
#[test]
fn odd_cold_values_harm_nobody() {
    let mut platform = Platform::new();
    configure(&platform, 2, &json!(COLD_PER_S), 1);
    let (name, arrivals) = add_server(&mut platform);
    start(&mut platform, 1);
    let host = &platform.hosts[0];
    for (number, odd) in [json!(-1), json!(1e9), json!("fast"), json!(null)]
        .iter()
        .enumerate()
    {
        configure(&platform, 3 + number as u64, odd, 1);
        wait_until("the finding is logged", || {
            host.logged("item_unreadable").len() > number
        });
        assert_eq!(host.status()["routing_version"], 2, "{odd}");
    }
    let finding = host.logged("item_unreadable")[0]["why"].to_string();
    assert!(finding.contains("coldPerS"), "{finding}");
    let odd_times = ["-5", "1e400", "\"soon\"", "null", "{}", "[]", "true"];
    for (sequence, odd) in (2..).zip(odd_times) {
        write_entry(&platform, &name, 1, sequence, odd);
    }
    // A time that is far too long holds until the next entry.
    write_entry(&platform, &name, 1, 20, "3600000");
    wait_for_cold(&platform, 1);
    write_entry(&platform, &name, 1, 21, "0");
    wait_for_cold(&platform, 0);
    let answers = call(&platform, Duration::from_secs(1));
    assert!(answers.iter().all(|it| it.status == 200));
    assert!(arrivals.0.lock().len() >= answers.len());
}

/// Guards against hosts that start together and do not know each other: each would take itself for
/// the only sender.
#[test]
fn hosts_leave_cold_servers_to_others_when_they_start() {
    const SETTLING_TIME: Duration = Duration::from_secs(2);
    let mut platform = Platform::new();
    configure(&platform, 2, &json!(COLD_PER_S), 60);
    let (cold, arrivals) = add_server(&mut platform);
    write_entry(&platform, &cold, 1, 2, "60000");
    let launched_at = Instant::now();
    launch(&mut platform, 4);
    let early = call(&platform, Duration::from_millis(500));
    // The first host reads the store after its launch.
    if let Some(first) = arrivals.since(launched_at).first() {
        assert!(*first >= launched_at + SETTLING_TIME);
    }
    assert!(early.iter().all(|it| matches!(it.status, 200 | 503)));
    wait_until("the hosts use the cold server", || {
        call(&platform, Duration::from_millis(200));
        !arrivals.since(launched_at).is_empty()
    });
    let first = arrivals.since(launched_at)[0];
    assert!(first >= launched_at + SETTLING_TIME);
    let began_at = Instant::now();
    call(&platform, Duration::from_secs(3));
    assert!(arrivals.most_in_window(began_at) <= ALLOWED);
}

/// Lets hosts find a server out of reach, and starts it then.
fn start_late(platform: &Platform, arrivals: &Arc<Arrivals>) -> Arc<ScriptedServer> {
    let address = std::net::SocketAddr::new(platform.spare_ip(), 8000);
    let entry = json!({"service": "orders", "address": address.to_string(), "zone": "a", "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1});
    platform.store.put("servers/late", entry.to_string());
    wait_until("all hosts find the server out of reach", || {
        call(platform, Duration::from_millis(200));
        let is_left_alone = |metrics: String| {
            let mut lines = metrics.lines();
            lines.any(|line| line == "clementinearch_servers_left_alone 1")
        };
        let mut all = platform.hosts.iter();
        all.all(|host| is_left_alone(host.metrics()))
    });
    ScriptedServer::start(address, recording(arrivals)).unwrap()
}

/// Guards against a flood of a server that comes back without an entry that says so.
#[test]
fn a_server_that_comes_into_reach_counts_as_cold() {
    let mut platform = Platform::new();
    configure(&platform, 2, &json!(COLD_PER_S), 6);
    let (_, warm) = add_server(&mut platform);
    start(&mut platform, 2);
    let arrivals = Arc::default();
    let began_at = Instant::now();
    let _server = start_late(&platform, &arrivals);
    wait_for_cold(&platform, 1);
    let answers = call(&platform, Duration::from_secs(4));
    assert!(answers.iter().all(|it| it.status == 200));
    let most = arrivals.most_in_window(began_at);
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(arrivals.since(began_at).len() >= 5);
    assert!(warm.since(began_at).len() > ALLOWED);
    for host in &platform.hosts {
        let logged = host.logged("server_cold");
        assert!(logged.iter().all(|line| line["why"] == "presumed"));
        assert!(!logged.is_empty());
    }
    wait_for_cold(&platform, 0);
    let warm_at = Instant::now();
    call(&platform, Duration::from_secs(2));
    assert!(arrivals.most_in_window(warm_at) > ALLOWED, "it is warm");
}

/// Guards against an entry, a start or a test connection that slows servers of a service that names no
/// pace, as all did before.
#[test]
fn servers_of_a_service_without_a_pace_are_never_cold() {
    for pace in [None, Some(json!(0))] {
        let mut platform = Platform::new();
        if let Some(pace) = &pace {
            configure(&platform, 2, pace, 60);
        }
        let (name, arrivals) = add_server(&mut platform);
        write_entry(&platform, &name, 1, 2, "60000");
        launch(&mut platform, 1);
        let early = call(&platform, Duration::from_millis(500));
        assert!(early.iter().all(|it| it.status == 200), "{pace:?}");
        let late = Arc::default();
        let _server = start_late(&platform, &late);
        write_entry(&platform, &name, 2, 1, "60000");
        let host = &platform.hosts[0];
        wait_until("the host knows of both starts", || {
            host.logged("server_in_reach").len() == 1 && host.logged("server_ready").len() == 3
        });
        let began_at = Instant::now();
        let answers = call(&platform, Duration::from_secs(2));
        assert!(answers.iter().all(|it| it.status == 200), "{pace:?}");
        assert!(arrivals.most_in_window(began_at) > ALLOWED, "{pace:?}");
        assert!(late.most_in_window(began_at) > ALLOWED, "{pace:?}");
        assert_eq!(host.status()["cold_servers"], 0);
        assert!(host.logged("server_cold").is_empty(), "{pace:?}");
    }
}
