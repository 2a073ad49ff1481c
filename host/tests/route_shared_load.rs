//! Load of servers that hosts learn from their peers, and what peers of other versions are sent.

mod route;

use std::{
    collections::BTreeSet,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step, signed_response};
use route::{Host, Platform, paced_stream, send_request, wait_until};
use serde_json::{Value, json};

/// Value of a gauge of a host.
fn gauge(host: &Host, name: &str) -> Option<f64> {
    let metrics = host.metrics();
    let mut lines = metrics.lines();
    lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

const LOAD_UNKNOWN: &str = "clementinearch_servers_load_unknown ";

/// Adds a server of the service `orders` with this `Server-Load`, and starts two hosts.
fn start_two_hosts(platform: &mut Platform, load: &'static str) {
    platform.add_backend("orders", "v1", move |_, received: &ReceivedRequest| {
        let header = format!("Server-Load: {load}\r\n");
        vec![Step::Send(signed_response(
            received, "200 OK", &header, "done",
        ))]
    });
    platform.start_hosts(2);
    wait_until("the hosts know each other", || {
        let mut all = platform.hosts.iter();
        all.all(|host| host.status()["hosts"] == 2)
    });
}

/// Checks that a host learns the load that a server names to the other one, and forgets it.
fn check_load_is_learned(platform: &Platform) {
    let [asked, other] = &platform.hosts[..] else {
        panic!("two hosts");
    };
    assert_eq!(gauge(other, LOAD_UNKNOWN), Some(1.0));
    let mut number = 0;
    wait_until("the other host knows the load", || {
        number += 1;
        let id = format!("id-{number}");
        assert_eq!(send_request(asked, "GET /look/1", &id, "", "").status, 200);
        gauge(other, LOAD_UNKNOWN) == Some(0.0)
    });
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(gauge(other, LOAD_UNKNOWN), Some(1.0), "the word has ended");
    assert!(other.logged("word_unreadable").is_empty());
}

/// A host that has sent nothing to a server would otherwise take it for idle. An odd fourth figure
/// must not cost the other three; a service with a pace for cold servers makes the hosts share loads.
#[test]
fn a_host_learns_the_load_of_a_server_from_a_peer() {
    let mut platform = Platform::new();
    let config = platform.store.get("op/config").unwrap();
    let mut config: Value = serde_json::from_slice(&config).unwrap();
    config["version"] = json!(2);
    config["services"][0]["coldStartS"] = json!(1);
    config["services"][0]["coldPerS"] = json!(4);
    platform.store.put("op/config", config.to_string());
    start_two_hosts(&mut platform, "5,1,16,odd");
    check_load_is_learned(&platform);
}

/// A fleet without cold servers shares loads once a server names how long work takes.
#[test]
fn a_host_learns_the_load_of_a_server_that_names_its_slowdown() {
    let mut platform = Platform::new();
    start_two_hosts(&mut platform, "5,1,16,250");
    // Only the host that was answered knows at first that loads are shared.
    wait_until("both hosts were answered", || {
        platform
            .hosts
            .iter()
            .all(|host| send_request(host, "GET /look/1", "id-first", "", "").status == 200)
    });
    thread::sleep(Duration::from_secs(4));
    check_load_is_learned(&platform);
}

/// A peer that reports and listens, and sends nothing else.
struct Peer {
    socket: UdpSocket,
    report: String,
}

impl Peer {
    /// A peer in a zone that reports with these `fields`.
    fn new(host: &Host, number: u8, zone: &str, fields: &Value) -> Self {
        let IpAddr::V4(ip) = host.ip else {
            panic!("no IPv4 address")
        };
        let [first, second, third, _] = ip.octets();
        let ip = Ipv4Addr::new(first, second, third, 240 + number);
        let address = SocketAddr::new(ip.into(), host.peers().port());
        let socket = UdpSocket::bind(address).unwrap();
        socket.set_nonblocking(true).unwrap();
        let mut report = json!({"from": format!("peer-{number}"), "zone": zone, "address": address, "store_revision": 0, "rollouts": [], "suspects": []});
        let fields = fields.as_object().unwrap().clone();
        report.as_object_mut().unwrap().extend(fields);
        Self {
            socket,
            report: json!({ "Word": report }).to_string(),
        }
    }

    fn report(&self, host: &Host) {
        self.socket
            .send_to(self.report.as_bytes(), host.peers())
            .unwrap();
    }

    /// Returns the datagrams that came since the last call, with their lengths.
    fn datagrams(&self) -> Vec<(Value, usize)> {
        let mut buf = vec![0; 64 << 10];
        let mut datagrams = Vec::new();
        while let Ok((length, _)) = self.socket.recv_from(&mut buf) {
            datagrams.push((serde_json::from_slice(&buf[..length]).unwrap(), length));
        }
        datagrams
    }
}

fn kind(datagram: &Value) -> &str {
    datagram.as_object().unwrap().keys().next().unwrap()
}

/// Whether the receiver of a datagram is to tell its zone of a prompt.
fn is_to_relay(datagram: &Value) -> bool {
    let rows = datagram["Readings"].as_array();
    rows.is_some_and(|rows| rows.iter().any(|row| row["r"] == true))
}

/// A server of each service. Answers name a slowdown while `names_slowdown` is set.
fn add_servers(platform: &mut Platform, names_slowdown: &Arc<AtomicBool>) {
    let is_named = names_slowdown.clone();
    platform.add_backend("orders", "v1", move |_, received: &ReceivedRequest| {
        let fourth = if is_named.load(Ordering::Relaxed) {
            ",250"
        } else {
            ""
        };
        let header = format!("Server-Load: 5,1,16{fourth}\r\n");
        vec![Step::Send(signed_response(
            received, "200 OK", &header, "done",
        ))]
    });
    platform.add_backend("pool", "v1", |_, received: &ReceivedRequest| {
        paced_stream(received, 1, Duration::from_millis(1))
    });
}

/// Sends a call, and a stream with a prompt whose prefill takes long, and reports from all peers.
fn talk(host: &Host, peers: &[&Peer], number: usize) {
    for peer in peers {
        peer.report(host);
    }
    let id = format!("id-{number}");
    assert_eq!(send_request(host, "GET /look/1", &id, "", "").status, 200);
    let prompt = format!(
        "Model: large\r\nToken-Usage: 90000,5\r\nPrompt-Prefix: c0ffee:50,{number:x}:89950\r\n"
    );
    let id = format!("draft-{number}");
    let answer = send_request(host, "POST /draft/1", &id, &prompt, "x");
    assert_eq!(answer.status, 200);
    thread::sleep(Duration::from_millis(20));
}

/// Guards against messages, and a choice by them, in fleets whose servers are even: earlier
/// deployments are served as before.
#[test]
fn hosts_of_an_even_fleet_share_no_loads() {
    let mut platform = Platform::new();
    let names_slowdown = Arc::new(AtomicBool::new(false));
    add_servers(&mut platform, &names_slowdown);
    platform.start_hosts(2);
    let host = &platform.hosts[0];
    let peer = Peer::new(host, 1, "far", &json!({"reads_loads": true}));
    wait_until("the hosts know each other", || {
        peer.report(host);
        host.status()["hosts"] == 3
    });
    let began_at = Instant::now();
    let mut kinds = BTreeSet::new();
    let mut number = 0;
    while began_at.elapsed() < Duration::from_secs(3) {
        number += 1;
        talk(host, &[&peer], number);
        for (datagram, _) in peer.datagrams() {
            assert_ne!(kind(&datagram), "Loads");
            assert!(!is_to_relay(&datagram), "{datagram}");
            if let Some(report) = datagram.get("Word") {
                assert_eq!(report["reads_loads"], false);
            }
            kinds.insert(kind(&datagram).to_owned());
        }
    }
    assert!(kinds.contains("Word") && kinds.contains("Readings"));
    // The host that sent nothing chooses by what it knows itself.
    assert_eq!(gauge(&platform.hosts[1], LOAD_UNKNOWN), Some(2.0));
    assert_eq!(gauge(host, "clementinearch_load_bytes_total "), None);
    // The same peer is told once a server names a slowdown.
    names_slowdown.store(true, Ordering::Relaxed);
    wait_until("the peer is told of loads", || {
        number += 1;
        talk(host, &[&peer], number);
        let datagrams = peer.datagrams();
        datagrams.iter().any(|(it, _)| kind(it) == "Loads")
    });
}

/// Datagrams that hosts of earlier versions sent, and thus read, by kind.
fn recorded_datagrams(version: &str) -> Value {
    let dir = env!("CARGO_MANIFEST_DIR");
    let path = format!("{dir}/tests/recorded/{version}/datagrams.json");
    let recorded: Vec<Value> = serde_json::from_slice(&fs::read(path).unwrap()).unwrap();
    let mut by_kind = json!({});
    for datagram in recorded {
        let fields = datagram.as_object().unwrap().clone();
        by_kind.as_object_mut().unwrap().extend(fields);
    }
    by_kind
}

/// Names of the fields of a report or of the first row of a list.
fn fields(content: &Value) -> BTreeSet<&str> {
    let object = content.get(0).unwrap_or(content).as_object();
    object
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
        .collect()
}

/// Fields of reports that may be absent in both earlier versions.
const OPTIONAL: [&str; 4] = [
    "has_lost_servers",
    "refusal_limits",
    "part_evidence",
    "server_limits",
];

/// Guards against datagrams that a host of an earlier version would log as unreadable, or of which it
/// would miss a part, while a peer that reads all of them is beside it.
#[test]
fn hosts_of_earlier_versions_get_only_what_they_read() {
    let older = ["WithoutForwarding", "WithForwarding"].map(recorded_datagrams);
    let mut platform = Platform::new();
    let names_slowdown = Arc::new(AtomicBool::new(true));
    add_servers(&mut platform, &names_slowdown);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let reader = Peer::new(host, 1, "far", &json!({"reads_loads": true}));
    let earlier = [
        Peer::new(host, 2, "far", &json!({})),
        Peer::new(host, 3, "a", &json!({"has_lost_servers": false})),
    ];
    let all = [&reader, &earlier[0], &earlier[1]];
    let (mut has_loads, mut has_relayed) = (false, false);
    let mut kinds = BTreeSet::new();
    let mut number = 0;
    wait_until("all kinds were sent", || {
        number += 1;
        talk(host, &all, number);
        for (datagram, _) in reader.datagrams() {
            has_loads |= kind(&datagram) == "Loads";
            has_relayed |= is_to_relay(&datagram);
        }
        for (datagram, length) in earlier.iter().flat_map(Peer::datagrams) {
            let name = kind(&datagram);
            for version in &older {
                let (sent, read) = (&datagram[name], &version[name]);
                assert!(!read.is_null(), "{name} is not known");
                if name == "Word" {
                    let mut needed = fields(read);
                    needed.retain(|field| !OPTIONAL.contains(field));
                    assert!(needed.is_subset(&fields(sent)), "{datagram}");
                } else {
                    assert!(length <= 1_400, "{length} bytes of {name}");
                    assert_eq!(fields(sent), fields(read), "{datagram}");
                }
            }
            kinds.insert(name.to_owned());
        }
        has_loads && has_relayed && kinds.len() >= 2 && number >= 50
    });
    assert!(kinds.contains("Readings"), "{kinds:?}");
}
