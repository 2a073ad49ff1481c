//! Odd datagrams and views of other hosts: the host goes on, and so do its tasks.

mod route;

use std::{
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use clementinearch_policy::{names::FastHasher, placement::affinity_rank};
use flate2::{Compression, write::ZlibEncoder};
use route::{Host, Platform, ok, send_request, wait_until};
use serde_json::{Value, json};

/// Hash of a server's name, as hosts use it.
fn name_hash(name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = FastHasher::default();
    hasher.write(name.as_bytes());
    affinity_rank(hasher.finish(), 0)
}

/// The report of a host of another zone.
fn report(from: &str) -> Value {
    json!({"from": from, "zone": "far", "address": "127.9.9.9:7070", "store_revision": 1, "rollouts": [], "suspects": [], "part_evidence": [], "server_limits": []})
}

fn rollout() -> Value {
    json!({"service": "orders", "target": "v2", "elapsed_ms": 5, "new": {"good": 1, "bad": 0}, "old": {"good": 1, "bad": 0}, "old_running": 0, "has_moved": false, "is_bad": false, "evidence": [], "zone_evidence": []})
}

/// A report with another value in one place.
fn odd(path: &str, value: &str) -> String {
    let mut report = report("odd");
    report["rollouts"] = json!([rollout()]);
    *report.pointer_mut(path).unwrap() = "REPLACED".into();
    let text = json!({"Word": report}).to_string();
    text.replace("\"REPLACED\"", value)
}

fn datagrams() -> Vec<String> {
    const MAX: &str = "18446744073709551615";
    let server = name_hash("i-1");
    let most = u32::MAX;
    let row = format!("[[65535,7,[{}]]]", vec![most.to_string(); 12].join(","));
    let early = format!("[[0,7,[{}]]]", vec![most.to_string(); 12].join(","));
    let counts = format!("{{\"good\":{MAX},\"bad\":{MAX}}}");
    let limits = |limit: &str| format!("[[{server},{limit},0]]");
    let mut datagrams = vec![
        odd("/rollouts/0/evidence", &row),
        odd("/rollouts/0/zone_evidence", &row),
        odd("/rollouts/0/zone_evidence", &row.replace("65535", "65534")),
        odd("/rollouts/0/zone_evidence", &early),
        odd("/rollouts/0/elapsed_ms", MAX),
        odd("/rollouts/0/new", &counts),
        odd("/rollouts/0/old", &counts),
        odd("/rollouts/0/old_running", "4294967295"),
        odd("/rollouts/0/old_running", "-1"),
        odd("/store_revision", MAX),
        odd("/store_revision", "-1"),
        odd("/store_revision", "1e300"),
        odd("/address", "\"0.0.0.0:0\""),
        odd("/address", "\"255.255.255.255:7070\""),
        odd("/address", "\"127.0.0.1:70000\""),
        odd("/from", "\"\""),
        odd("/zone", &"[".repeat(20_000)),
        odd("/server_limits", &limits("1e308")),
        odd("/server_limits", &limits("-1e308")),
        odd("/server_limits", &limits("1e400")),
        odd("/server_limits", &format!("[[{server},1.0,{MAX}]]")),
        odd(
            "/suspects",
            &format!(
                "[{{\"content\":{MAX},\"crashes\":4294967295,\"age\":{{\"secs\":{MAX},\"nanos\":4294967295}}}}]"
            ),
        ),
        odd(
            "/suspects",
            &format!(
                "[{{\"content\":7,\"crashes\":0,\"age\":{{\"secs\":0,\"nanos\":0}},\"servers\":[[1,{MAX}],[2,0]],\"completed_ms\":{MAX}}}]"
            ),
        ),
        odd(
            "/part_evidence",
            &format!("[{{\"p\":{MAX},\"s\":[[1,{MAX}],[2,0],[2,{MAX}]],\"a\":{MAX},\"b\":{MAX}}}]"),
        ),
        format!(
            "{{\"Readings\":[{{\"s\":{server},\"t\":4294967295,\"z\":{MAX},\"p\":[{MAX},0]}}]}}"
        ),
        format!("{{\"Readings\":[{{\"s\":{server},\"t\":-1,\"z\":0,\"p\":[]}}]}}"),
        "{\"Sessions\":[{\"k\":4294967295,\"v\":4294967296}]}".to_owned(),
        "{\"Newer\":{\"a\":1}}".to_owned(),
        "{\"Loads\":{\"r\":\"not base64\",\"newer\":1}}".to_owned(),
        "{\"Loads\":{\"r\":\"Af////////////////\"}}".to_owned(),
        odd("/store_revision", "1,\"reads_loads\":7"),
        "[".repeat(30_000),
        String::new(),
        "\u{0}\u{1}".to_owned(),
    ];
    // All counts at once, twice over, so that sums overflow.
    let mut full = report("full");
    let mut odd_rollout = rollout();
    let rows: Vec<Value> = (0..40)
        .map(|route| json!([1, route, vec![most; 12]]))
        .collect();
    odd_rollout["evidence"] = json!(rows);
    odd_rollout["zone_evidence"] = json!(rows);
    full["rollouts"] = json!([odd_rollout.clone(), odd_rollout]);
    datagrams.push(json!({"Word": full}).to_string());
    datagrams
}

fn send(host: &Host, datagram: &str) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(datagram.as_bytes(), host.peers()).unwrap();
}

/// After each odd datagram the host hears reports, steps its rollouts, follows the store and serves.
#[test]
fn odd_datagrams_end_neither_gossip_nor_rollouts() {
    let datagrams = datagrams();
    let mut failed = Vec::new();
    for datagram in &datagrams {
        let mut platform = Platform::new();
        platform.add_backend("orders", "v1", |_, received| ok(received));
        platform.add_backend("orders", "v2", |_, received| ok(received));
        platform.start_hosts(1);
        let order = |service: &str| {
            let order = json!({"service": service, "target": "v2", "durationS": 600});
            platform
                .store
                .put(&format!("op/rollout/{service}"), order.to_string());
        };
        let is_begun = |service: &str| {
            platform
                .store
                .get(&format!("status/rollout/{service}"))
                .is_some()
        };
        order("orders");
        wait_until("the rollout is begun", || is_begun("orders"));
        let host = &platform.hosts[0];
        send(host, datagram);
        // Reports come in the order in which they are sent; a datagram may get lost.
        let fresh = json!({"Word": report("fresh")}).to_string();
        let is_heard = || {
            send(host, &fresh);
            host.metrics().lines().any(|line| {
                line.strip_prefix("clementinearch_hosts_heard ")
                    .is_some_and(|hosts| hosts.trim() != "1")
            })
        };
        let mut checks = vec![("gossip", holds(is_heard))];
        order("pool");
        checks.push(("rollouts", holds(|| is_begun("pool"))));
        checks.push((
            "calls",
            send_request(host, "POST /look/1", "id-1", "", "").status == 200,
        ));
        let status = platform.store.get("status/rollout/orders").unwrap();
        let status: Value = serde_json::from_slice(&status).unwrap();
        checks.push(("the rollout's time", status["state"] == "in_progress"));
        checks.push(("panics", host.logged("panicked").is_empty()));
        let wrong: Vec<&str> = checks.iter().filter(|it| !it.1).map(|it| it.0).collect();
        if !wrong.is_empty() {
            let shown: String = datagram.chars().take(200).collect();
            failed.push(format!("{wrong:?} after {shown}"));
        }
    }
    let (count, all) = (failed.len(), datagrams.len());
    assert!(
        failed.is_empty(),
        "{count} of {all} failed:\n{}",
        failed.join("\n")
    );
}

/// Whether a condition holds before the wait for it is given up.
fn holds(condition: impl FnMut() -> bool) -> bool {
    let wait = std::panic::AssertUnwindSafe(|| wait_until("it holds", condition));
    std::panic::catch_unwind(wait).is_ok()
}

fn packed(json: &str) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json.as_bytes()).unwrap();
    encoder.finish().unwrap()
}

/// An odd view: what a peer answers a host that asks it for changes.
struct OddView {
    headers: &'static str,
    body: Vec<u8>,
}

fn views() -> Vec<OddView> {
    const NOW: &str = "Store-Revision: 3\r\nStore-Age-Ms: 0\r\n";
    const NOTHING: &str = r#"{"is_whole":false,"items":[],"removed":[]}"#;
    let view = |headers, json: &str| OddView {
        headers,
        body: packed(json),
    };
    let row = |row: &str| format!(r#"{{"is_whole":false,"items":[{row}],"removed":[]}}"#);
    vec![
        view(
            "Store-Revision: 18446744073709551615\r\nStore-Age-Ms: 0\r\n",
            NOTHING,
        ),
        view(
            "Store-Revision: 18446744073709551616\r\nStore-Age-Ms: 0\r\n",
            NOTHING,
        ),
        view("Store-Revision: -1\r\nStore-Age-Ms: 0\r\n", NOTHING),
        view("Store-Revision: odd\r\nStore-Age-Ms: 0\r\n", NOTHING),
        view(
            "Store-Revision: 3\r\nStore-Age-Ms: 18446744073709551615\r\n",
            NOTHING,
        ),
        view("Store-Revision: 3\r\n", NOTHING),
        view("", NOTHING),
        view(NOW, ""),
        view(NOW, &"[".repeat(1 << 20)),
        view(NOW, &"x".repeat(64 << 20)),
        OddView {
            headers: NOW,
            body: b"not packed".to_vec(),
        },
        view(
            NOW,
            &row(r#"{"key":"op/config","value":{"Base64":"%%%"},"revision":9}"#),
        ),
        view(
            NOW,
            &row(r#"{"key":"op/config","value":{"Text":"{}"},"revision":18446744073709551615}"#),
        ),
        view(
            NOW,
            &row(r#"{"key":"op/config","value":{"Text":"{}"},"revision":18446744073709551616}"#),
        ),
        view(
            NOW,
            &row(r#"{"key":"op/config","value":{"Newer":"{}"},"revision":9}"#),
        ),
        view(NOW, &row(r#"{"key":"op/config","value":{"Text":"{}"}}"#)),
        view(
            NOW,
            r#"{"is_whole":false,"items":[],"removed":[["op/config",18446744073709551615]]}"#,
        ),
        view(NOW, r#"{"is_whole":false,"items":[]}"#),
    ]
}

/// Serves the odd view to every request. Returns where, and counts the requests.
fn serve_view(ip: IpAddr, view: OddView) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((ip, 7070)).unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            count.fetch_add(1, Ordering::Relaxed);
            let mut buf = [0; 4_096];
            // What is asked does not matter, nor whether the answer arrives.
            let _ = stream.read(&mut buf);
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}Connection: close\r\nContent-Length: {}\r\n\r\n",
                view.headers,
                view.body.len()
            );
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&view.body);
        }
    });
    (address, asked)
}

/// A host whose relay sends odd views follows the store all the same.
#[test]
fn odd_views_of_a_relay_do_not_end_the_following_of_the_store() {
    let mut failed = Vec::new();
    let all = views().len();
    for (number, view) in views().into_iter().enumerate() {
        let mut platform = Platform::new();
        platform.add_backend("orders", "v1", |_, received| ok(received));
        platform.start_hosts(1);
        let host = &platform.hosts[0];
        let (address, asked) = serve_view(platform.spare_ip(), view);
        // Of many names one ranks first as the relay of the zone.
        let is_asked = || {
            for relay in 0..16 {
                let mut report = report(&format!("relay-{relay}"));
                report["zone"] = "a".into();
                report["address"] = address.to_string().into();
                send(host, &json!({"Word": report}).to_string());
            }
            asked.load(Ordering::Relaxed) >= 3
        };
        wait_until("the relay is asked", is_asked);
        platform.configure(2, &json!([]));
        if !holds(|| host.status()["routing_version"] == 2) {
            failed.push(number);
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {all} failed: {failed:?}",
        failed.len()
    );
}
