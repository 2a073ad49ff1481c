//! Requests at a host that reaches no server, in fleets of hosts of several versions.

mod older;
mod route;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, token_event},
};
use older::Version::{self, Present, WithForwarding, WithoutForwarding};
use route::{Answer, Connection, Host, Platform, get, ok, paced_stream, send_request, wait_until};
use serde_json::json;

/// Events in a stream, and the pause before each.
const EVENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(10);

/// Requests of each kind to a host that is cut off.
const ROUND: usize = 6;

/// Kinds of requests: not idempotent, idempotent, a resumable stream, and one whose path is that of
/// a request between hosts.
const KINDS: [&str; 4] = [
    "POST /pay/1",
    "GET /look/1",
    "POST /draft/1",
    "POST /changes/0",
];

/// Length of a body that does not arrive with its head, bytes.
const BODY_BYTES: usize = 40_000;

/// How a host may be cut off.
const ALL_CUTS: [LinkState; 3] = [
    LinkState::Hanging,
    LinkState::Resetting,
    LinkState::RefusingNew,
];

/// Servers and hosts of the given versions, which reach the servers over links of their own.
struct Fleet {
    platform: Platform,
    servers: Vec<Arc<ScriptedServer>>,
}

impl Fleet {
    /// Starts a fleet.
    fn start(versions: &[Version]) -> Self {
        let mut platform = Platform::new();
        platform.configure(1, &json!([{"name": "changes", "host": "a.example", "pathPrefix": "/changes/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 2}]));
        let mut servers = Vec::new();
        for service in ["orders", "pool"] {
            let script = move |_: usize, received: &ReceivedRequest| -> Vec<Step> {
                match service {
                    "pool" => paced_stream(received, EVENTS, PAUSE),
                    _ => ok(received),
                }
            };
            for _ in 0..2 {
                servers.push(platform.add_backend(service, "v1", script).1);
            }
        }
        platform.binaries = versions.iter().map(|version| version.binary()).collect();
        platform.start_linked_hosts(versions.len());
        Self { platform, servers }
    }

    /// Starts a fleet and cuts off the first host and `others`.
    fn start_cut(versions: &[Version], how: LinkState, others: &[usize]) -> Self {
        let fleet = Self::start(versions);
        let cut = || others.iter().copied().chain([0]);
        for host in cut() {
            fleet.platform.set_links(host, how);
        }
        for host in cut().filter(|host| versions[*host] != WithoutForwarding) {
            lose_servers(&fleet.platform.hosts[host]);
        }
        fleet
    }

    /// Number of times that each request reached a server.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut arrivals = BTreeMap::new();
        for received in self.servers.iter().flat_map(|server| server.requests()) {
            let id = received.header("attempt-id").to_owned();
            *arrivals.entry(id).or_default() += 1;
        }
        arrivals
    }

    /// Sends requests of all kinds to the first host and returns what is wrong with their answers.
    fn findings(&self, is_served: bool) -> Vec<String> {
        let host = &self.platform.hosts[0];
        let body = "x".repeat(BODY_BYTES);
        let mut findings = Vec::new();
        for (kind, line) in KINDS.iter().enumerate() {
            for number in 0..ROUND {
                let id = format!("{kind}-{number}");
                let answer = send_request(host, line, &id, "Model: small\r\n", &body);
                let arrivals = self.arrivals().get(&id).copied().unwrap_or(0);
                if !is_right(&answer, line, &id, arrivals, is_served) {
                    let shown: String = answer.body.chars().take(60).collect();
                    findings.push(format!(
                        "{line} {number}: {} {shown:?}, sent {arrivals} times",
                        answer.status
                    ));
                }
            }
        }
        findings
    }
}

/// Sends requests until the host knows that it is cut off.
fn lose_servers(host: &Host) {
    wait_until("the host knows that it is cut off", || {
        send_request(host, "GET /look/first", "first", "", "");
        host.status()["reaches_servers"] == false
    });
}

/// Whether the answer is the server's own, or a refusal that promises truly that nothing ran.
fn is_right(answer: &Answer, line: &str, id: &str, arrivals: usize, is_served: bool) -> bool {
    if !is_served {
        let has_delay = answer.header("retry-after").parse::<f64>().is_ok();
        return answer.status == 503 && has_delay && arrivals == 0;
    }
    let body = if line.starts_with("POST /draft") {
        (1..=EVENTS).map(token_event).collect()
    } else {
        "done".to_owned()
    };
    let is_own = answer.header("server-seal") == format!("seal-{id}");
    answer.status == 200 && answer.is_whole && answer.body == body && is_own && arrivals == 1
}

/// Plays hosts of these versions, of which the first and `others` are cut off, in each way.
fn check(versions: &[Version], others: &[usize], is_served: bool) {
    let mut failed = Vec::new();
    for how in ALL_CUTS {
        let fleet = Fleet::start_cut(versions, how, others);
        for finding in fleet.findings(is_served) {
            failed.push(format!("{versions:?}, {others:?}, {how:?}: {finding}"));
        }
    }
    let sent = ALL_CUTS.len() * KINDS.len() * ROUND;
    println!("{versions:?}, {others:?}: {} of {sent} wrong", failed.len());
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn a_cut_off_host_refuses_truly_when_its_only_peer_knows_no_forwarding() {
    check(&[Present, WithoutForwarding], &[], false);
}

#[test]
fn a_cut_off_host_refuses_truly_when_no_peer_knows_forwarding() {
    let versions = [
        Present,
        WithoutForwarding,
        WithoutForwarding,
        WithoutForwarding,
    ];
    check(&versions, &[], false);
}

#[test]
fn a_cut_off_host_finds_the_one_peer_that_knows_forwarding() {
    let versions = [Present, WithoutForwarding, WithoutForwarding, Present];
    check(&versions, &[], true);
}

/// Its reports do not tell it from hosts that know no forwarding.
#[test]
fn a_cut_off_host_finds_the_first_version_that_knows_forwarding() {
    let versions = [
        Present,
        WithoutForwarding,
        WithoutForwarding,
        WithForwarding,
    ];
    check(&versions, &[], true);
}

#[test]
fn a_cut_off_host_is_served_by_the_first_version_that_knows_forwarding() {
    check(&[Present, WithForwarding], &[], true);
}

#[test]
fn a_cut_off_host_of_the_first_version_that_knows_forwarding_is_served() {
    check(&[WithForwarding, Present], &[], true);
}

#[test]
fn a_cut_off_host_passes_over_another_that_is_cut_off() {
    let versions = [Present, WithForwarding, Present, WithoutForwarding];
    check(&versions, &[1], true);
}

#[test]
fn a_cut_off_host_refuses_truly_when_only_hosts_that_know_no_forwarding_reach_servers() {
    let versions = [Present, WithForwarding, Present, WithoutForwarding];
    check(&versions, &[1, 2], false);
}

/// The balancer sends callers to the hosts that do serve them.
#[test]
fn a_cut_off_host_without_a_peer_that_knows_forwarding_is_not_ready() {
    let versions = [Present, WithoutForwarding];
    let fleet = Fleet::start_cut(&versions, LinkState::Resetting, &[]);
    let host = &fleet.platform.hosts[0];
    for number in 0..40 {
        let answer = send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
        assert_eq!(answer.status, 503, "{number}");
        assert!(!host.is_ready(), "{number}");
    }
    fleet.platform.set_links(0, LinkState::Up);
    wait_until("the host serves again", || {
        host.is_ready() && send_request(host, "GET /look/1", "again", "", "").status == 200
    });
}

/// Each of the others is asked once, however many requests come.
#[test]
fn peers_that_know_no_forwarding_are_not_asked_again_and_again() {
    let versions = [Present, WithoutForwarding, WithoutForwarding, Present];
    let fleet = Fleet::start_cut(&versions, LinkState::Resetting, &[]);
    let host = &fleet.platform.hosts[0];
    for number in 0..40 {
        let answer = send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
        assert_eq!(answer.status, 200, "{number}");
    }
    let asked = host.metrics();
    let asked = asked.lines().find_map(|line| {
        line.strip_prefix("clementinearch_forwarded_total{outcome=\"peer knows no forwarding\"} ")
    });
    let asked: usize = asked.map_or(0, |count| count.parse().unwrap());
    assert!(asked <= 2, "asked {asked} times");
}

/// A peer that is replaced by one of the present version is found without delay.
#[test]
fn a_peer_that_is_replaced_by_one_that_knows_forwarding_is_asked() {
    for from in [WithoutForwarding, WithForwarding] {
        let mut fleet = Fleet::start_cut(&[Present, from], LinkState::Resetting, &[]);
        fleet.findings(from == WithForwarding);
        fleet.platform.hosts[1].replace(&Present.binary());
        wait_until("the peer serves", || {
            send_request(&fleet.platform.hosts[0], "GET /look/1", "later", "", "").status == 200
        });
    }
}

/// A replacement is taken back: the peer that knew forwarding knows none any more.
#[test]
fn a_peer_that_is_replaced_by_one_that_knows_no_forwarding_gives_no_untrue_answer() {
    for from in [Present, WithForwarding] {
        let mut fleet = Fleet::start_cut(&[Present, from], LinkState::Resetting, &[]);
        let findings = fleet.findings(true);
        assert!(findings.is_empty(), "{from:?}: {findings:?}");
        fleet.platform.hosts[1].replace(&WithoutForwarding.binary());
        let peer = &fleet.platform.hosts[1];
        wait_until("the peer is back", || peer.is_ready());
        for number in 0..ROUND {
            let id = format!("later-{number}");
            let answer = send_request(&fleet.platform.hosts[0], "POST /pay/1", &id, "", "");
            assert!(is_right(&answer, "", &id, 0, false), "{from:?}: {answer:?}");
        }
    }
}

/// What tells the versions apart, as long as either runs.
#[test]
fn hosts_show_whether_they_know_forwarding() {
    for (version, is_known) in [
        (WithoutForwarding, false),
        (WithForwarding, true),
        (Present, true),
    ] {
        let fleet = Fleet::start(&[version]);
        let peers = fleet.platform.hosts[0].peers();
        let answer = get_with(peers, "Clementinearch-Forwarded: ?\r\n");
        assert_eq!(answer.header("clementinearch-declined") == "1", is_known);
        assert_eq!(get(peers, "/").unwrap().status, 404);
    }
}

fn get_with(address: SocketAddr, header: &str) -> Answer {
    let mut connection = Connection::open(address);
    connection.send(&format!("GET / HTTP/1.1\r\nHost: x\r\n{header}\r\n"));
    connection.read()
}
