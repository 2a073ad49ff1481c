//! Fleets in which hosts of several versions run side by side, while they are replaced one after
//! the other.

mod older;
mod route;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, signed_response, token_event},
};
use older::{
    OLDER,
    Version::{self, Present},
};
use route::{
    Answer, Connection, Host, Platform, ok, paced_stream, request, send_request, wait_until,
};
use serde_json::{Value, json};

/// Log events of a host that cannot read what another one says or has stored.
const UNREADABLE: [&str; 4] = [
    "word_unreadable",
    "peer_view_unreadable",
    "peer_view_failed",
    "item_unreadable",
];

/// Starts hosts of these versions in one zone, and waits until they know each other.
fn start(platform: &mut Platform, versions: &[Version]) {
    platform.binaries = versions.iter().map(|version| version.binary()).collect();
    platform.start_hosts(versions.len());
    wait_until_acquainted(platform);
}

fn wait_until_acquainted(platform: &Platform) {
    let count = platform.hosts.len();
    wait_until("the hosts know each other", || {
        let mut hosts = platform.hosts.iter();
        hosts.all(|host| host.status()["hosts"] == count)
    });
}

/// Checks that each host could read what the others say.
fn check_readable(platform: &Platform, versions: &[Version]) {
    for (host, version) in platform.hosts.iter().zip(versions) {
        for event in UNREADABLE {
            let logged = host.logged(event);
            assert!(logged.is_empty(), "{versions:?}: {version:?}: {logged:?}");
        }
    }
}

fn wait_for_version(host: &Host, version: u64) {
    wait_until("the configuration is in force", || {
        host.status()["routing_version"] == version
    });
}

/// Enough routes for a configuration that takes several parts of a link's second.
fn many_routes() -> Value {
    let route = |number: usize| json!({"name": format!("r-{number}"), "host": format!("h{number}.example"), "pathPrefix": format!("/p{number}/"), "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 2});
    let mut routes: Vec<Value> = (0..1_500).map(route).collect();
    routes.push(json!({"name": "new", "host": "a.example", "pathPrefix": "/new/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 2}));
    json!(routes)
}

/// One host after the other is the only one that reaches the store: the others have all of it by
/// way of a host of each version, whichever the zone's relay is.
#[test]
fn changes_of_the_store_reach_hosts_of_every_version_by_way_of_each() {
    let turns = [
        [Present, OLDER[0], OLDER[1]],
        [OLDER[1], Present, OLDER[0]],
        [OLDER[0], OLDER[1], Present],
    ];
    for versions in turns {
        let mut platform = Platform::new();
        let brittle = "Server-Brittle: 3\r\nServer-Limit: 90000\r\n";
        for _ in 0..2 {
            platform.add_backend("orders", "v1", move |_, received| {
                vec![Step::Send(signed_response(
                    received, "200 OK", brittle, "done",
                ))]
            });
        }
        start(&mut platform, &versions);
        let mut version = 1;
        for reader in 0..versions.len() {
            for (number, host) in platform.hosts.iter().enumerate() {
                let mode = if number == reader {
                    EndpointMode::Normal
                } else {
                    EndpointMode::Refusing
                };
                host.store_endpoint.set_mode(mode);
            }
            for (routes, status) in [(many_routes(), 200), (json!([]), 404)] {
                version += 1;
                platform.configure(version, &routes);
                for host in &platform.hosts {
                    wait_for_version(host, version);
                    let id = format!("id-{version}");
                    let answer = send_request(host, "GET /new/1", &id, "", "");
                    assert_eq!(
                        answer.status, status,
                        "{versions:?}, reader {reader}: {}",
                        answer.body
                    );
                }
            }
            let servers = platform.hosts[0].status()["servers"].as_u64().unwrap();
            let (name, added) = platform.add_backend("orders", "v1", |_, received| ok(received));
            for host in &platform.hosts {
                wait_until("the new server is known", || {
                    host.status()["servers"] == servers + 1
                });
            }
            let address = platform.address(&name);
            platform.write_entry(&name, "orders", "v1", address, "draining");
            for host in &platform.hosts {
                wait_until("the host knows that the server drains", || {
                    let logged = host.logged("server_draining");
                    logged.iter().any(|line| line["server"] == name)
                });
            }
            let before = added.requests().len();
            for host in &platform.hosts {
                for number in 0..8 {
                    let id = format!("drain-{reader}-{number}");
                    let answer = send_request(host, "GET /look/1", &id, "", "");
                    assert_eq!(answer.status, 200, "{versions:?}: {}", answer.body);
                }
            }
            assert_eq!(added.requests().len(), before, "{versions:?}");
        }
        let unreadable = ["word_unreadable", "peer_view_unreadable"];
        for host in &platform.hosts {
            for event in unreadable {
                assert_eq!(host.logged(event), Vec::<Value>::new(), "{versions:?}");
            }
        }
    }
}

/// Content of a request and part of a prompt that crash servers.
const CRASHING: &str = "crashing";
const CRASHING_PART: &str = "Model: small\r\nToken-Usage: 90,5\r\nPrompt-Prefix: bad0:50,";

fn is_crashing(received: &ReceivedRequest) -> bool {
    received.body == CRASHING || received.header("prompt-prefix").contains("bad0")
}

fn add_crashing_servers(platform: &mut Platform, service: &str) -> Vec<Arc<ScriptedServer>> {
    let add = |_| {
        let (_, server) = platform.add_backend(service, "v1", |_, received| {
            if is_crashing(received) {
                vec![Step::Wait(Duration::from_millis(15)), Step::Crash]
            } else if received.request_line.starts_with("POST /draft") {
                paced_stream(received, 2, Duration::from_millis(5))
            } else {
                ok(received)
            }
        });
        server
    };
    (0..10).map(add).collect()
}

fn crashing_requests(servers: &[Arc<ScriptedServer>]) -> usize {
    let count = |server: &Arc<ScriptedServer>| {
        let requests = server.requests();
        requests.iter().filter(|it| is_crashing(it)).count()
    };
    servers.iter().map(count).sum()
}

/// Sends crashing requests to a host until it refuses them.
fn crash_until_blocked(host: &Host, field: &str, send: &dyn Fn(&Host, &str) -> Answer) {
    let mut number = 0;
    wait_until("the host blocks what crashes servers", || {
        number += 1;
        send(host, &format!("crash-{number}"));
        thread::sleep(Duration::from_millis(350));
        host.status()[field] == 1
    });
}

/// What one version found to crash servers is refused by the other, and stays so while the hosts
/// are replaced, and after all have stopped at once.
fn check_blocks(field: &str, service: &str, prefix: &str, send: &dyn Fn(&Host, &str) -> Answer) {
    for older in OLDER {
        for versions in [[older, Present], [Present, older]] {
            let mut platform = Platform::new();
            let servers = add_crashing_servers(&mut platform, service);
            start(&mut platform, &versions);
            crash_until_blocked(&platform.hosts[0], field, send);
            wait_until("the other host blocks it too", || {
                platform.hosts[1].status()[field] == 1
            });
            wait_until("the block is in the store", || {
                !platform.store.keys(prefix).is_empty()
            });
            let before = crashing_requests(&servers);
            let check_refused = |platform: &Platform, when: &str| {
                for host in &platform.hosts {
                    wait_until("the host knows the block", || host.status()[field] == 1);
                    let answer = send(host, when);
                    assert_eq!(answer.status, 503, "{versions:?} {when}");
                }
                assert_eq!(crashing_requests(&servers), before, "{versions:?} {when}");
            };
            check_refused(&platform, "at once");
            for host in [0, 1] {
                platform.hosts[host].replace(&versions[1 - host].binary());
                let replaced = &platform.hosts[host];
                wait_until("the host is ready", || replaced.is_ready());
                check_refused(&platform, "after a replacement");
            }
            check_readable(&platform, &versions);
            platform.hosts.iter_mut().for_each(Host::kill);
            platform.hosts.iter_mut().for_each(Host::restart);
            for host in &platform.hosts {
                wait_until("the host is ready", || host.is_ready());
            }
            check_refused(&platform, "after a loss of all hosts");
        }
    }
}

#[test]
fn contents_that_crash_servers_are_blocked_by_hosts_of_every_version() {
    let send = |host: &Host, id: &str| send_request(host, "POST /pay/1", id, "", CRASHING);
    let prefix = "clementinearch/blocked/";
    check_blocks("blocked_contents", "orders", prefix, &send);
}

#[test]
fn prompt_parts_that_crash_servers_are_blocked_by_hosts_of_every_version() {
    // No two requests are alike.
    let number = AtomicUsize::new(1);
    let send = |host: &Host, id: &str| {
        let own = number.fetch_add(1, Ordering::Relaxed);
        let extra = format!("{CRASHING_PART}{own:x}:40\r\n");
        send_request(
            host,
            "POST /draft/1",
            &format!("{id}-{own}"),
            &extra,
            &own.to_string(),
        )
    };
    let prefix = "clementinearch/blocked-parts/";
    check_blocks("blocked_parts", "pool", prefix, &send);
}

/// A request of a caller and its answer.
struct Sample {
    line: &'static str,
    id: String,
    answer: Answer,
}

/// Events in a stream, and the pause before each.
const EVENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(40);

const KINDS: [&str; 3] = ["POST /pay/1", "GET /look/1", "POST /draft/1"];

/// Sends requests of a kind to one of the hosts that are ready, on a connection that is kept open
/// as long as the host keeps it.
fn call(
    hosts: &[(SocketAddr, AtomicBool)],
    line: &'static str,
    caller: usize,
    is_over: &AtomicBool,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut kept: Option<Connection> = None;
    let mut number = caller;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let (address, is_up) = &hosts[number % hosts.len()];
        let opened = || {
            let connection = is_up.load(Ordering::Relaxed).then_some(*address);
            connection.and_then(Connection::try_open)
        };
        let Some(mut connection) = kept.take().or_else(opened) else {
            continue;
        };
        let kind = line.split('/').nth(1).unwrap_or_default();
        let id = format!("{kind}-{caller}-{number}");
        let session = format!("Model: small\r\nSession: s-{caller}\r\n");
        let answer = if connection.try_send(&request(line, &id, &session, "")) {
            connection.read()
        } else {
            Answer::default()
        };
        let is_kept = answer.is_whole && answer.header("connection") != "close";
        kept = Some(connection).filter(|_| is_kept);
        samples.push(Sample { line, id, answer });
        thread::sleep(Duration::from_millis(7));
    }
    samples
}

/// Returns what a caller may not see: an answer that is cut short or not the server's, a request
/// that ran twice, or one that ran though its refusal or the lack of any answer says otherwise.
fn findings(samples: &[Sample], servers: &[Arc<ScriptedServer>]) -> Vec<String> {
    let mut arrivals = std::collections::HashMap::<String, usize>::new();
    for received in servers.iter().flat_map(|server| server.requests()) {
        let id = received.header("attempt-id").to_owned();
        *arrivals.entry(id).or_default() += 1;
    }
    let stream: String = (1..=EVENTS).map(token_event).collect();
    let mut findings = Vec::new();
    for Sample { line, id, answer } in samples {
        let ran = arrivals.get(id).copied().unwrap_or(0);
        let body = if line.contains("/draft/") {
            stream.as_str()
        } else {
            "done"
        };
        let is_right = match answer.status {
            200 => answer.is_whole && answer.body == body && ran >= 1,
            // The host has closed the connection before it read the request.
            0 | 503 => ran == 0,
            _ => false,
        };
        let may_repeat = !line.contains("/pay/");
        if !is_right || ran > 1 && !may_repeat {
            findings.push(format!(
                "{line} {id}: {}, ran {ran} times, {} bytes",
                answer.status,
                answer.body.len()
            ));
        }
    }
    findings
}

/// Returns the configurations that came into force after a later one in the same start of a host.
fn regressions(host: &Host) -> Vec<String> {
    let mut latest = 0.0;
    let mut found = Vec::new();
    for line in host.log.lock().unwrap().iter() {
        let version = line["inputs"][0][1].as_f64().unwrap_or_default();
        if line["event"] == "started" {
            latest = 0.0;
        } else if line["event"] == "routing_in_force" {
            if version < latest {
                found.push(format!("configuration {version} after {latest}"));
            }
            latest = version;
        }
    }
    found
}

/// Replaces the hosts one after the other, as the platform does, while callers call and the
/// configuration changes. Returns how many answers came and what is wrong with them.
fn replace_all(from: Version, to: Version) -> (usize, Vec<String>) {
    const HOSTS: usize = 3;
    let mut platform = Platform::new();
    let mut servers = Vec::new();
    for service in ["orders", "pool"] {
        for _ in 0..3 {
            let script = move |_: usize, received: &ReceivedRequest| match service {
                "pool" => paced_stream(received, EVENTS, PAUSE),
                _ => ok(received),
            };
            servers.push(platform.add_backend(service, "v1", script).1);
        }
    }
    start(&mut platform, &[from; HOSTS]);
    let addresses: Vec<_> = platform
        .hosts
        .iter()
        .map(|host| (host.callers(), AtomicBool::new(true)))
        .collect();
    let is_over = AtomicBool::new(false);
    let samples = Mutex::new(Vec::new());
    let mut wrong = Vec::new();
    thread::scope(|scope| {
        for caller in 0..9 {
            let (addresses, is_over, samples) = (&addresses, &is_over, &samples);
            scope.spawn(move || {
                let own = call(addresses, KINDS[caller % 3], caller, is_over);
                samples.lock().unwrap().extend(own);
            });
        }
        let mut version = 1;
        for (number, (_, is_up)) in addresses.iter().enumerate() {
            thread::sleep(Duration::from_millis(300));
            let host = &mut platform.hosts[number];
            host.signal("TERM");
            wait_until("the host is no longer ready", || !host.is_ready());
            is_up.store(false, Ordering::Relaxed);
            // A change comes while the host drains.
            version += 1;
            platform.configure(version, &many_routes());
            platform.hosts[number].succeed_with(&to.binary());
            let host = &platform.hosts[number];
            wait_until("the host is ready", || host.is_ready());
            is_up.store(true, Ordering::Relaxed);
            version += 1;
            platform.configure(version, &json!([]));
            for host in &platform.hosts {
                wait_for_version(host, version);
            }
        }
        is_over.store(true, Ordering::Relaxed);
    });
    wrong.extend(platform.hosts.iter().flat_map(regressions));
    check_readable(&platform, &[to; HOSTS]);
    let samples = samples.into_inner().unwrap();
    wrong.extend(findings(&samples, &servers));
    (samples.len(), wrong)
}

#[test]
fn callers_lose_nothing_while_hosts_are_replaced_one_after_the_other() {
    let mut failed = Vec::new();
    for older in OLDER {
        for (from, to) in [(older, Present), (Present, older)] {
            let (answers, wrong) = replace_all(from, to);
            println!("{from:?} to {to:?}: {} of {answers} wrong", wrong.len());
            failed.extend(wrong.iter().map(|it| format!("{from:?} to {to:?}: {it}")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
