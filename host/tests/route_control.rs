//! Configuration, draining servers, rollouts, graceful shutdown, logs and metrics of entry hosts.

mod route;

use std::time::{Duration, Instant};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{
        LAST_CHUNK, ReceivedRequest, Step, chunk, signed_response, stream_head, token_event,
    },
};
use route::{Connection, Platform, check_payments, get, ok, request, send_request, wait_until};
use serde_json::{Value, json};

/// Starts ready hosts and one backend server for plain calls.
fn start_platform(hosts: usize) -> Platform {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(hosts);
    platform
}

/// Launches a host whose store has no configuration.
fn start_unconfigured_platform() -> Platform {
    let mut platform = Platform::new();
    platform.store.remove("op/config");
    platform.launch_host();
    wait_until("the host listens", || {
        std::net::TcpStream::connect(platform.hosts[0].callers()).is_ok()
    });
    platform
}

fn new_route() -> Value {
    json!([{"name": "new", "host": "a.example", "pathPrefix": "/new/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "service": "orders", "maxAttempts": 2}])
}

/// Without configuration the host knows no keys or routes, so it must not refuse a request with 401
/// or 404.
#[test]
fn a_host_without_configuration_responds_with_503() {
    let platform = start_unconfigured_platform();
    let host = &platform.hosts[0];
    let answer = send_request(host, "GET /look/1", "id-1", "", "");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    assert!(!host.is_ready());
}

#[test]
fn routes_follow_the_newest_configuration_and_unknown_keys_are_refused() {
    let platform = start_platform(1);
    let host = &platform.hosts[0];
    assert_eq!(send_request(host, "GET /new/1", "id-1", "", "").status, 404);
    platform.configure(2, &new_route());
    wait_until("the route is in force", || {
        send_request(host, "GET /new/1", "id-2", "", "").status == 200
    });
    let mut connection = Connection::open(host.callers());
    connection.send("GET /look/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-3\r\nAuthorization: Bearer unknown\r\n\r\n");
    assert_eq!(connection.read().status, 401);
    // An older version of the configuration is ignored; the marker shows that the host has read
    // past it.
    platform.configure(1, &json!([]));
    platform.store.put("servers/i-marker", "{");
    wait_until("the host has read past the old configuration", || {
        !host.logged("item_unreadable").is_empty()
    });
    assert_eq!(send_request(host, "GET /new/1", "id-4", "", "").status, 200);
}

#[test]
fn malformed_items_are_logged_and_ignored() {
    let mut platform = Platform::new();
    let (name, _) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    platform
        .store
        .put("op/config", "{\"version\": 9, \"routes\": 3}");
    platform.store.put("servers/i-ill", [0xff, 0xfe]);
    let foreign = json!({"service": "orders", "address": "x", "zone": "a", "version": "v1", "slots": "many", "state": "ready"});
    platform.store.put("servers/i-foreign", foreign.to_string());
    wait_until("all three are logged", || {
        host.logged("item_unreadable").len() >= 3
    });
    let keys: Vec<String> = host
        .logged("item_unreadable")
        .iter()
        .map(|line| line["server"].as_str().unwrap().to_owned())
        .collect();
    for key in ["op/config", "servers/i-ill", "servers/i-foreign"] {
        assert!(keys.iter().any(|it| it == key), "{keys:?}");
    }
    assert_eq!(
        send_request(host, "GET /look/1", "id-1", "", "").status,
        200,
        "{name} still serves"
    );
}

#[test]
fn a_host_cut_off_from_the_store_gets_the_configuration_from_peers() {
    let platform = start_platform(2);
    wait_until("the hosts know each other", || {
        platform
            .hosts
            .iter()
            .all(|host| host.status()["hosts"] == 2)
    });
    for mode in [EndpointMode::Refusing, EndpointMode::Silent] {
        platform.hosts[1].store_endpoint.set_mode(mode);
        let version = platform.hosts[0].status()["routing_version"]
            .as_u64()
            .unwrap()
            + 1;
        platform.configure(version, &new_route());
        wait_until("the configuration came from a peer", || {
            platform.hosts[1].status()["routing_version"] == version
        });
        platform.hosts[1]
            .store_endpoint
            .set_mode(EndpointMode::Normal);
    }
    assert_eq!(
        send_request(&platform.hosts[1], "GET /new/1", "id-1", "", "").status,
        200
    );
}

/// Most bytes that one of 23 followers may cost its relay per change: the configuration changes
/// every 0.3 s at worst, and the slowest link of a host carries 10 Mbit/s.
const MAX_CHANGE_BYTES: usize = 10_000_000 / 8 * 3 / 10 / 23;

#[test]
fn a_large_configuration_fits_a_relays_link() {
    let platform = start_platform(1);
    let host = &platform.hosts[0];
    let known = host.status()["store_revision"].as_u64().unwrap();
    let routes: Vec<Value> = (0..350)
        .map(|number| json!({"name": format!("r-{number}"), "host": format!("h{number}.example"), "pathPrefix": format!("/p{number}/"), "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 2}))
        .collect();
    platform.configure(2, &json!(routes));
    wait_until("the configuration is in force", || {
        host.status()["routing_version"] == 2
    });
    let changes = get(host.peers(), &format!("/changes/{known}")).unwrap();
    assert_eq!(changes.status, 200);
    let length: usize = changes.header("content-length").parse().unwrap();
    assert!(length > 0 && length <= MAX_CHANGE_BYTES, "{length} bytes");
}

/// The store's rate limit is used up, so that it responds to fresh prefix reads with 429.
#[test]
fn hosts_become_ready_while_the_store_rejects_fresh_reads() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.store.set_rate_limited(true);
    platform.start_hosts(3);
    for host in &platform.hosts {
        assert_eq!(
            send_request(host, "GET /look/1", "id-1", "", "").status,
            200
        );
    }
}

#[test]
fn a_stale_first_read_never_puts_an_old_configuration_in_force() {
    let mut platform = Platform::new();
    let (gone, _) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.store.freeze_stale_reads();
    platform.configure(2, &new_route());
    platform.store.remove(&format!("servers/{gone}"));
    let (_, server) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    assert_eq!(send_request(host, "GET /new/1", "id-1", "", "").status, 200);
    assert_eq!(server.requests().len(), 1);
    wait_until("the log names the configuration in force", || {
        !host.logged("routing_in_force").is_empty()
    });
    let versions = host.logged("routing_in_force");
    assert_eq!(versions[0]["inputs"][0][1], 2.0, "{versions:?}");
}

#[test]
fn a_compacted_history_causes_a_full_read() {
    let mut platform = Platform::new();
    let (_, server) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    platform.hosts[0]
        .store_endpoint
        .set_mode(EndpointMode::Silent);
    platform.store.remove("servers/i-1");
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.store.compact();
    platform.configure(2, &new_route());
    let host = &platform.hosts[0];
    host.store_endpoint.set_mode(EndpointMode::Normal);
    wait_until("the new server is known", || {
        send_request(host, "GET /new/1", "id-1", "", "").status == 200
            && host.status()["servers"] == 1
    });
    assert!(server.requests().is_empty());
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut platform = Platform::new();
    let (name, leaving) = platform.add_backend("orders", "v1", |_, received| ok(received));
    let (_, staying) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    platform.write_entry(&name, "orders", "v1", platform.address(&name), "draining");
    wait_until("the host knows that the server drains", || {
        !host.logged("server_draining").is_empty()
    });
    let before = leaving.requests().len();
    for number in 0..10 {
        assert_eq!(
            send_request(host, "GET /look/1", &format!("id-{number}"), "", "").status,
            200
        );
    }
    assert_eq!(leaving.requests().len(), before);
    assert_eq!(staying.requests().len(), 10);
}

/// The address in the entry now belongs to another server, which refuses requests with 421.
#[test]
fn a_call_refused_by_another_server_at_the_address_is_retried() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, _| {
        let refusal =
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-other\r\nContent-Length: 0\r\n\r\n";
        vec![Step::Send(refusal.to_owned())]
    });
    let (_, right) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    check_payments(&platform.hosts[0], 4, 200);
    assert_eq!(right.requests().len(), 4);
}

/// Hosts recognise a request that crashes servers by its content and report crashes to each other.
/// They have to refuse it before the caller's retries crash every server.
#[test]
fn a_request_sent_to_two_hosts_is_refused_after_at_most_three_crashes() {
    let mut platform = Platform::new();
    let servers: Vec<_> = (0..6)
        .map(|_| {
            let (_, server) = platform.add_backend("orders", "v1", |_, received| {
                if received.body.contains("poison") {
                    vec![Step::Crash]
                } else {
                    ok(received)
                }
            });
            server
        })
        .collect();
    platform.start_hosts(2);
    wait_until("the hosts know each other", || {
        platform
            .hosts
            .iter()
            .all(|host| host.status()["hosts"] == 2)
    });
    let mut answers = Vec::new();
    for number in 0..8 {
        let host = &platform.hosts[number % 2];
        let answer = send_request(host, "POST /pay/1", &format!("id-{number}"), "", "poison");
        answers.push(answer.status);
        // Peers learn of a crash from the next report.
        std::thread::sleep(Duration::from_millis(120));
    }
    let poisoned: usize = servers
        .iter()
        .map(|server| {
            server
                .requests()
                .iter()
                .filter(|it| it.body == "poison")
                .count()
        })
        .sum();
    assert!(poisoned <= 3, "{poisoned} servers crashed: {answers:?}");
    assert_eq!(answers.last(), Some(&503));
    let answer = send_request(
        &platform.hosts[0],
        "POST /pay/1",
        "id-innocent",
        "",
        "sound",
    );
    assert_eq!(answer.status, 200);
}

/// Script of a server that streams one event, or always fails if `is_bad`.
fn version_script(is_bad: bool) -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync {
    move |_, received| {
        if is_bad {
            return vec![Step::Send(signed_response(
                received,
                "500 Internal Server Error",
                "",
                "",
            ))];
        }
        let steps = [
            stream_head(received, ""),
            chunk(&token_event(1)),
            LAST_CHUNK.to_owned(),
        ];
        steps.map(Step::Send).to_vec()
    }
}

fn rollout_state(platform: &Platform) -> String {
    let status = platform
        .store
        .get("status/rollout/pool")
        .unwrap_or_default();
    let status: Value = serde_json::from_slice(&status).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// Orders a rollout of `v2` within `duration_s` seconds and sends streams until it has ended.
/// Returns its final state.
fn run_rollout(platform: &Platform, duration_s: u64) -> String {
    let order = json!({"service": "pool", "target": "v2", "durationS": duration_s});
    platform.store.put("op/rollout/pool", order.to_string());
    let mut number = 0;
    wait_until("the rollout has ended", || {
        let host = &platform.hosts[number % platform.hosts.len()];
        let session = format!("Model: small\r\nSession: s-{number}\r\n");
        send_request(
            host,
            "POST /draft/1",
            &format!("r-{number}"),
            &session,
            "{}",
        );
        number += 1;
        matches!(
            rollout_state(platform).as_str(),
            "completed" | "rolled_back"
        )
    });
    rollout_state(platform)
}

#[test]
fn a_bad_version_is_rolled_back_and_gets_no_more_requests() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", version_script(false));
    let (_, bad) = platform.add_backend("pool", "v2", version_script(true));
    platform.start_hosts(2);
    assert_eq!(run_rollout(&platform, 60), "rolled_back");
    // The host that wrote the status may not have read it back.
    let knows_rollback = |host: &route::Host| {
        let events = ["rollout_status", "rollout_status_written"];
        let lines = events.iter().flat_map(|event| host.logged(event));
        let mut reasons = lines.map(|line| line["why"].to_string());
        reasons.any(|why| why.contains("rolled_back"))
    };
    wait_until("both hosts know of the rollback", || {
        platform.hosts.iter().all(knows_rollback)
    });
    let before = bad.requests().len();
    for number in 0..60 {
        let session = format!("Model: small\r\nSession: t-{number}\r\n");
        let host = &platform.hosts[number % 2];
        let answer = send_request(
            host,
            "POST /draft/1",
            &format!("t-{number}"),
            &session,
            "{}",
        );
        assert_eq!(answer.status, 200);
    }
    assert_eq!(bad.requests().len(), before);
}

/// Script of a server that streams twelve events with this pause between them.
fn paced_script(
    pause: Duration,
) -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static {
    move |_, received| {
        let mut steps = vec![Step::Send(stream_head(received, ""))];
        for id in 1..=12 {
            steps.push(Step::Send(chunk(&token_event(id))));
            steps.push(Step::Wait(pause));
        }
        steps.push(Step::Send(LAST_CHUNK.to_owned()));
        steps
    }
}

/// Each first event comes in time; only the pace of the events shows that the version is slow.
#[test]
fn a_version_that_answers_several_times_slower_is_rolled_back() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", paced_script(Duration::from_millis(10)));
    platform.add_backend("pool", "v2", paced_script(Duration::from_millis(60)));
    platform.start_hosts(2);
    assert_eq!(run_rollout(&platform, 20), "rolled_back");
}

/// Lets sessions begin on the old version with long streams, orders a rollout meanwhile, and sends
/// their next requests later than the session time-out after the start of the streams, but not
/// after their end. Returns how many of them the new version got, or none if that took too long.
fn continue_sessions_after_long_streams() -> Option<usize> {
    const SESSIONS: usize = 60;
    const MAX_OTHER_SESSIONS: usize = 400;
    const PAUSE: Duration = Duration::from_millis(350);
    const STREAM: Duration = Duration::from_millis(12 * 350);
    const SESSION_TIMEOUT: Duration = Duration::from_secs(5);
    let mut platform = Platform::new();
    for _ in 0..5 {
        platform.add_backend("pool", "v1", paced_script(PAUSE));
    }
    let (name, new) = platform.add_backend("pool", "v2", paced_script(Duration::from_millis(1)));
    // Without a rollout the new version would be like any other.
    platform.store.remove(&format!("servers/{name}"));
    platform.start_hosts(2);
    let send = |number: usize, host: usize, id: &str, sessions: &str| {
        let session = format!("Model: small\r\nSession: {sessions}-{number}\r\n");
        let id = format!("{id}-{number}");
        send_request(&platform.hosts[host], "POST /draft/1", &id, &session, "{}");
    };
    let began = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..SESSIONS {
            let send = &send;
            scope.spawn(move || send(number, number % 2, "first", "s"));
        }
        wait_until("the sessions have begun", || {
            let metrics = platform.hosts[0].metrics();
            metrics.contains("clementinearch_requests_running 30")
        });
        let order = json!({"service": "pool", "target": "v2", "durationS": 120});
        platform.store.put("op/rollout/pool", order.to_string());
        wait_until("the rollout has started", || {
            rollout_state(&platform) == "in_progress"
        });
        platform.write_entry(&name, "pool", "v2", platform.address(&name), "ready");
        wait_until("the hosts know the new version", || {
            let mut hosts = platform.hosts.iter();
            hosts.all(|host| host.status()["servers"] == 6)
        });
        let mut number = 0;
        wait_until("the new version serves other sessions", || {
            let send = &send;
            let other = number;
            number += 1;
            if other < MAX_OTHER_SESSIONS {
                scope.spawn(move || send(other, other % 2, "other", "t"));
            }
            !new.requests().is_empty()
        });
    });
    let since_start = began.elapsed();
    std::thread::sleep((SESSION_TIMEOUT + PAUSE).saturating_sub(since_start));
    let got = || {
        let requests = new.requests();
        let of_sessions = requests
            .iter()
            .filter(|it| it.header("session").starts_with("s-"));
        of_sessions.count()
    };
    std::thread::scope(|scope| {
        for number in 0..SESSIONS {
            let send = &send;
            scope.spawn(move || send(number, (number + 1) % 2, "next", "s"));
        }
    });
    // Streams on the old version take this long, so that each began at least as much earlier.
    let is_in_time = began.elapsed() < STREAM + SESSION_TIMEOUT + STREAM;
    is_in_time.then(got)
}

#[test]
fn a_session_stays_on_its_version_after_a_long_stream() {
    let mut got = None;
    wait_until("the requests of sessions follow in time", || {
        got = continue_sessions_after_long_streams();
        got.is_some()
    });
    assert_eq!(got, Some(0));
}

#[test]
fn a_rejected_version_gets_no_requests_during_the_next_rollout() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", version_script(false));
    let (_, bad) = platform.add_backend("pool", "v2", version_script(true));
    platform.start_hosts(1);
    assert_eq!(run_rollout(&platform, 60), "rolled_back");
    // The rejected version's servers are still listed at the next order.
    platform.add_backend("pool", "v3", version_script(false));
    let order = json!({"service": "pool", "target": "v3", "durationS": 60});
    platform.store.put("op/rollout/pool", order.to_string());
    wait_until("the next rollout has started", || {
        rollout_state(&platform) == "in_progress"
    });
    let before = bad.requests().len();
    let serve = |host: &route::Host, name: &str| {
        for number in 0..60 {
            let session = format!("Model: small\r\nSession: {name}-{number}\r\n");
            let id = format!("{name}-{number}");
            assert_eq!(
                send_request(host, "POST /draft/1", &id, &session, "{}").status,
                200
            );
        }
    };
    serve(&platform.hosts[0], "t");
    assert_eq!(bad.requests().len(), before);
    // A host that has just started knows the rejected version from the status.
    platform.start_hosts(1);
    serve(&platform.hosts[1], "u");
    assert_eq!(bad.requests().len(), before);
}

#[test]
fn a_rollout_completes_despite_a_killed_host_and_lost_store_responses() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", version_script(false));
    platform.add_backend("pool", "v2", version_script(false));
    platform.start_hosts(2);
    platform.hosts[0]
        .store_endpoint
        .set_mode(EndpointMode::LosingResponses);
    let started_at = Instant::now();
    let order = json!({"service": "pool", "target": "v2", "durationS": 4});
    platform.store.put("op/rollout/pool", order.to_string());
    wait_until("the rollout has started", || {
        rollout_state(&platform) == "in_progress"
    });
    platform.hosts[0].signal("KILL");
    platform.hosts.remove(0);
    assert_eq!(run_rollout(&platform, 4), "completed");
    assert!(started_at.elapsed() < Duration::from_secs(60));
    let answer = send_request(
        &platform.hosts[0],
        "POST /draft/1",
        "u-1",
        "Model: small\r\n",
        "{}",
    );
    assert_eq!(answer.status, 200);
}

#[test]
fn a_graceful_shutdown_finishes_streams_and_closes_connections() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", |_, received| {
        let mut steps = vec![Step::Send(stream_head(received, ""))];
        for id in 1..=8 {
            steps.push(Step::Send(chunk(&token_event(id))));
            steps.push(Step::Wait(Duration::from_millis(300)));
        }
        steps.push(Step::Send(LAST_CHUNK.to_owned()));
        steps
    });
    platform.start_hosts(1);
    let mut host = platform.hosts.remove(0);
    let mut connection = Connection::open(host.callers());
    connection.send(&request("POST /draft/1", "id-1", "Model: small\r\n", "{}"));
    let mut answer = connection.read_head();
    assert_eq!(answer.status, 200);
    host.signal("TERM");
    wait_until("the host is no longer ready", || !host.is_ready());
    let during = send_request(&host, "POST /draft/1", "id-2", "Model: small\r\n", "{}");
    assert!(
        during.is_whole,
        "requests are served until the load balancer notices"
    );
    assert_eq!(during.header("connection"), "close");
    while let Some(chunk) = connection.read_chunk() {
        if chunk.is_empty() {
            answer.is_whole = true;
            break;
        }
    }
    assert!(answer.is_whole);
    assert!(host.wait(), "the host exits with success");
}

#[test]
fn a_blocked_log_reader_does_not_block_requests() {
    let platform = start_platform(1);
    let host = &platform.hosts[0];
    {
        // While the log is locked its reader blocks, and the pipe fills.
        let _unread = host.log.lock().unwrap();
        for number in 0..1_500 {
            let answer = send_request(host, "GET /absent/1", &format!("id-{number}"), "", "");
            assert_eq!(answer.status, 404);
        }
    }
    assert_eq!(
        send_request(host, "GET /look/1", "id-last", "", "").status,
        200
    );
    wait_until("a line counts the dropped ones", || {
        send_request(host, "GET /look/1", "id-more", "", "");
        !host.logged("log_lines_left_out").is_empty()
    });
}

#[test]
fn a_lost_attempt_is_logged_with_server_and_reason() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, _| vec![Step::Reset]);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    send_request(host, "POST /pay/1", "id-lost", "", "x");
    wait_until("the end is logged", || {
        let ended = host.logged("ended");
        ended.iter().any(|line| line["id"] == "id-lost")
    });
    let lost = host.logged("attempt_lost");
    let line = lost.iter().find(|line| line["id"] == "id-lost").unwrap();
    assert_eq!(line["server"], "i-1");
    assert_eq!(line["why"], "connection broke before an answer");
    assert!(host.metrics().contains("clementinearch_requests_total"));
}

#[test]
fn metrics_count_refusals_by_reason_and_latencies_by_route_and_phase() {
    let platform = start_platform(1);
    let host = &platform.hosts[0];
    assert_eq!(
        send_request(host, "GET /look/1", "id-1", "", "").status,
        200
    );
    assert_eq!(
        send_request(host, "GET /nowhere/1", "id-2", "", "").status,
        404
    );
    assert_eq!(
        send_request(host, "GET /draft/1", "id-3", "", "").status,
        503
    );
    let metrics = host.metrics();
    let expected = [
        "clementinearch_request_seconds_count{route=\"look\",phase=\"wait\"} 1",
        "clementinearch_request_seconds_count{route=\"look\",phase=\"connect\"} 1",
        "clementinearch_request_seconds_count{route=\"look\",phase=\"answer\"} 1",
        "clementinearch_request_seconds_count{route=\"look\",phase=\"whole\"} 1",
        "clementinearch_refusals_total{reason=\"no route\"} 1",
        "clementinearch_refusals_total{reason=\"not run: no server left\"} 1",
        "clementinearch_attempts_total{end=\"answered\"} 1",
        "clementinearch_requests_running 0",
        "clementinearch_servers 1",
        "clementinearch_servers_left_alone 0",
    ];
    for line in expected {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
    for name in [
        "clementinearch_store_age_seconds",
        "clementinearch_repeat_budget_used{service=\"orders\"}",
        "clementinearch_store_calls_total{purpose=\"start\",outcome=\"answered\"}",
    ] {
        assert!(metrics.contains(name), "{name} is not in\n{metrics}");
    }
}

/// Most lines for the histograms of one host, whatever the configuration: 41 routes, 5 phases, 15
/// lines each.
const MAX_HISTOGRAM_LINES: usize = 41 * 5 * 15;

#[test]
fn many_routes_leave_the_metrics_bounded() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    let routes: Vec<Value> = (0..60)
        .map(|number| json!({"name": format!("r-{number}"), "host": "a.example", "pathPrefix": format!("/p{number}/"), "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "service": "orders"}))
        .collect();
    platform.configure(2, &json!(routes));
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..60 {
        let answer = send_request(host, &format!("GET /p{number}/1"), "id-1", "", "");
        assert_eq!(answer.status, 200);
    }
    let metrics = host.metrics();
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with("clementinearch_request_seconds"));
    assert!(lines.count() <= MAX_HISTOGRAM_LINES);
    assert!(metrics.contains("route=\"other\""));
}

#[test]
fn a_request_refused_without_configuration_is_logged_with_its_id() {
    let platform = start_unconfigured_platform();
    let host = &platform.hosts[0];
    assert_eq!(
        send_request(host, "GET /look/1", "id-early", "", "").status,
        503
    );
    wait_until("the refusal is logged", || {
        let refused = host.logged("request_refused");
        refused.iter().any(|line| line["server"] == "id-early")
    });
}
