//! Messages and stored items of earlier versions, recorded from their hosts, and what the present
//! one makes of them.
//!
//! The files in `recorded/` are written by hand, from the history:
//! `cargo test -p clementinearch --test route_upgrade_messages -- --ignored record`. They are not
//! recorded again when a field comes or goes: hosts that send them may still run.

mod older;
mod route;

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    thread,
    time::Duration,
};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{ReceivedRequest, Step, signed_response},
};
use older::{OLDER, Version};
use route::{Connection, Host, Platform, paced_stream, send_request, wait_until};
use serde_json::{Value, json};

const PEERS_PORT: u16 = 7070;

/// Kind of a datagram with the report of a host.
const REPORT: &str = "Word";

/// Name of the peer that listens, or says what was recorded.
const PEER: &str = "peer";

/// Content of a request, and header lines with a part of a prompt, that crash servers.
const CRASHING: &str = "crashing";
const CRASHING_PART: &str = "Model: small\r\nToken-Usage: 90,5\r\nPrompt-Prefix: bad0:50,";

fn recorded(version: Version, file: &str) -> PathBuf {
    let tests = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded");
    tests.join(format!("{version:?}")).join(file)
}

fn read_json(version: Version, file: &str) -> Value {
    serde_json::from_slice(&fs::read(recorded(version, file)).unwrap()).unwrap()
}

/// An address in the network of a platform that none of its processes has.
fn peer_address(host: &Host) -> SocketAddr {
    let IpAddr::V4(ip) = host.ip else {
        unreachable!()
    };
    let [first, second, third, _] = ip.octets();
    SocketAddr::from(([first, second, third, 250], PEERS_PORT))
}

/// Begin of the contents that end all servers.
const END: &str = "end";

/// Adds the servers that the recorded messages tell of.
fn add_servers(platform: &mut Platform) {
    for _ in 0..4 {
        platform.add_backend("orders", "v1", |_, received| {
            if received.body == CRASHING || received.body.starts_with(END) {
                return vec![Step::Crash];
            }
            let named = "Server-Limit: 90000\r\nServer-Brittle: 3\r\n";
            vec![Step::Send(signed_response(received, "200 OK", named, ""))]
        });
    }
    for _ in 0..8 {
        platform.add_backend("pool", "v1", |_, received: &ReceivedRequest| {
            let is_crashing = received.header("prompt-prefix").contains("bad0");
            if is_crashing || received.body.starts_with(END) {
                return vec![Step::Wait(Duration::from_millis(15)), Step::Crash];
            }
            paced_stream(received, 3, Duration::from_millis(5))
        });
    }
}

fn order_rollout(platform: &Platform) {
    let order = json!({"service": "pool", "target": "v2", "durationS": 300});
    platform.store.put("op/rollout/pool", order.to_string());
}

/// Lets a host of an earlier version say and store what it can, and keeps it in files.
fn record_version(version: Version) {
    let mut platform = Platform::new();
    add_servers(&mut platform);
    let (bad, _) = platform.add_backend("pool", "v2", |_, received| {
        if received.body.starts_with(END) {
            return vec![Step::Crash];
        }
        let status = "500 Internal Server Error";
        vec![Step::Send(signed_response(received, status, "", ""))]
    });
    platform.binaries = vec![version.binary()];
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let address = peer_address(host);
    let mut listener = Listener::new(address);
    let entry = json!({"address": address}).to_string();
    let key = format!("clementinearch/hosts/{PEER}");
    platform.store.put(&key, entry);
    send_request(host, "GET /look/1", "sound", "", "");
    send_request(host, "GET /look/1", "crash", "", CRASHING);
    let mut number = 0;
    let mut stream = |host: &Host, prompt: &str| {
        number += 1;
        let session = format!("Session: s-{number}\r\n");
        let extra = format!("{prompt}{number:x}:40\r\n{session}");
        let body = number.to_string();
        send_request(
            host,
            "POST /draft/1",
            &format!("id-{number}"),
            &extra,
            &body,
        );
    };
    wait_until("a part is blocked", || {
        stream(host, CRASHING_PART);
        thread::sleep(Duration::from_millis(350));
        host.status()["blocked_parts"] == 1
    });
    order_rollout(&platform);
    let status = || platform.store.get("status/rollout/pool");
    wait_until("the rollout is in progress", || status().is_some());
    let in_progress = status().unwrap();
    host.store_endpoint.set_mode(EndpointMode::Refusing);
    let sound = CRASHING_PART.replace("bad0", "c0ffee");
    wait_until("the host reports a bad version", || {
        stream(host, &sound);
        let report = listener.report();
        report["rollouts"][0]["is_bad"] == true && report["server_limits"] != json!([])
    });
    let mut words = listener.words();
    host.store_endpoint.set_mode(EndpointMode::Normal);
    wait_until("the rollout is rolled back", || {
        status() != Some(in_progress.clone())
    });
    let mut items = vec![json!({"key": "status/rollout/pool", "value": text(&in_progress)})];
    for key in platform.store.keys("") {
        if key.starts_with("status/") || key.starts_with("clementinearch/") && !key.ends_with(PEER)
        {
            let value = platform.store.get(&key).unwrap();
            items.push(json!({"key": key, "value": text(&value)}));
        }
    }
    let mut connection = Connection::open(host.peers());
    connection.send("GET /changes/0 HTTP/1.1\r\nHost: x\r\n\r\n");
    let head = connection.read_head();
    let length = head.header("content-length").parse().unwrap();
    let view = connection.read_bytes(length);
    if version != Version::WithoutForwarding {
        platform.store.remove(&format!("servers/{bad}"));
        let mut number = 0;
        wait_until("the host reports that it reaches no server", || {
            for line in ["GET /look/1", "POST /draft/1"] {
                number += 1;
                let id = format!("{END}-{number}");
                send_request(host, line, &id, "Model: small\r\n", &id);
            }
            listener.report()["has_lost_servers"] == true
        });
        words.push(json!({REPORT: listener.report()}));
    }
    let view_headers = json!({"store-revision": head.header("store-revision"), "store-age-ms": head.header("store-age-ms")});
    fs::create_dir_all(recorded(version, "")).unwrap();
    let write = |file: &str, bytes: Vec<u8>| fs::write(recorded(version, file), bytes).unwrap();
    let pretty = |value: &Value| serde_json::to_vec_pretty(value).unwrap();
    write("datagrams.json", pretty(&json!(words)));
    write("items.json", pretty(&json!(items)));
    write("view.json", pretty(&view_headers));
    write("view.zlib", view);
}

fn text(value: &[u8]) -> String {
    String::from_utf8(value.to_vec()).unwrap()
}

/// A peer that keeps the last datagram of each kind that has come.
struct Listener {
    socket: UdpSocket,
    last: serde_json::Map<String, Value>,
}

impl Listener {
    fn new(address: SocketAddr) -> Self {
        let socket = UdpSocket::bind(address).unwrap();
        socket.set_nonblocking(true).unwrap();
        Self {
            socket,
            last: serde_json::Map::new(),
        }
    }

    /// Returns the last report.
    fn report(&mut self) -> Value {
        let mut buf = vec![0; 64 << 10];
        while let Ok((length, _)) = self.socket.recv_from(&mut buf) {
            let word: Value = serde_json::from_slice(&buf[..length]).unwrap();
            self.last.extend(word.as_object().unwrap().clone());
        }
        self.last.get(REPORT).cloned().unwrap_or_default()
    }

    /// Returns the last datagram of each kind, the report at the end.
    fn words(&self) -> Vec<Value> {
        let (reports, others): (Vec<_>, Vec<_>) =
            self.last.iter().partition(|(kind, _)| *kind == REPORT);
        let words = others.into_iter().chain(reports);
        words
            .map(|(kind, content)| json!({kind: content}))
            .collect()
    }
}

#[test]
#[ignore = "writes the files of earlier versions"]
fn record() {
    OLDER.into_iter().for_each(record_version);
}

/// Sends recorded datagrams to a host, with the reports from a peer at `address`.
fn say(host: &Host, words: &Value, address: SocketAddr, socket: &UdpSocket) {
    for word in words.as_array().unwrap() {
        let mut word = word.clone();
        if let Some(report) = word.get_mut(REPORT) {
            report["from"] = PEER.into();
            report["address"] = address.to_string().into();
        }
        socket
            .send_to(word.to_string().as_bytes(), host.peers())
            .unwrap();
    }
}

/// Checks that a host has taken over what the recorded datagrams say.
fn check_taken_over(platform: &Platform, version: Version) {
    let host = &platform.hosts[0];
    let is_taken_over = |host: &Host| {
        let status = host.status();
        let is_blocked = status["blocked_contents"].as_u64() > Some(0);
        status["hosts"] == 2 && is_blocked && status["blocked_parts"] == 1
    };
    wait_until("the host has heard it", || is_taken_over(host));
    wait_until("the host knows a limit", || {
        !host.logged("server_limit_named").is_empty()
    });
    if version != Version::WithoutForwarding {
        wait_until("the host knows that servers are brittle", || {
            !host.logged("server_brittle").is_empty()
        });
    }
    wait_until("the rollout is rolled back by the peer's word", || {
        let status = platform.store.get("status/rollout/pool");
        text(&status.unwrap_or_default()).contains("rolled_back")
    });
    assert_eq!(host.logged("word_unreadable"), Vec::<Value>::new());
}

#[test]
fn datagrams_of_earlier_versions_are_understood() {
    for version in OLDER {
        let mut platform = Platform::new();
        add_servers(&mut platform);
        order_rollout(&platform);
        platform.start_hosts(1);
        let address = peer_address(&platform.hosts[0]);
        let socket = UdpSocket::bind(address).unwrap();
        let words = read_json(version, "datagrams.json");
        say(&platform.hosts[0], &words, address, &socket);
        check_taken_over(&platform, version);
    }
}

/// What a later version may add: fields anywhere, and kinds of datagrams. The rest counts.
#[test]
fn fields_and_datagrams_of_later_versions_are_passed_over() {
    let mut platform = Platform::new();
    add_servers(&mut platform);
    order_rollout(&platform);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let address = peer_address(host);
    let socket = UdpSocket::bind(address).unwrap();
    let mut words = read_json(Version::WithForwarding, "datagrams.json");
    add_fields(&mut words);
    say(host, &json!([{"Later": [{"a": 1}]}]), address, &socket);
    say(host, &words, address, &socket);
    wait_until("the host has heard it", || {
        let status = host.status();
        let is_blocked = status["blocked_contents"].as_u64() > Some(0);
        status["hosts"] == 2 && is_blocked && status["blocked_parts"] == 1
    });
    wait_until("the kind that it does not know is logged", || {
        host.logged("word_unreadable").len() == 1
    });
    // The host goes on gossiping.
    socket
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    assert!(socket.recv_from(&mut vec![0; 64 << 10]).is_ok());
}

/// Adds an unknown field to each object within datagrams.
fn add_fields(value: &mut Value) {
    match value {
        Value::Array(values) => values.iter_mut().for_each(add_fields),
        Value::Object(fields) => {
            fields.values_mut().for_each(add_fields);
            // The kind of a datagram is no field, and spans of time are of a foreign type.
            let is_fixed = fields.len() == 1 || fields.contains_key("nanos");
            if !is_fixed {
                fields.insert("later".to_owned(), json!({"a": [1]}));
            }
        }
        _ => {}
    }
}

#[test]
fn items_that_earlier_versions_stored_count() {
    for version in OLDER {
        let items = read_json(version, "items.json");
        let items = items.as_array().unwrap();
        let value_of = |item: &Value, name: &str| item[name].as_str().unwrap().to_owned();
        let mut platform = Platform::new();
        add_servers(&mut platform);
        let (_, bad) = platform.add_backend("pool", "v2", |_, received| {
            paced_stream(received, 3, Duration::from_millis(5))
        });
        order_rollout(&platform);
        // The last of an item's values is in force.
        for item in items {
            let key = value_of(item, "key").replace("host-0", PEER);
            platform.store.put(&key, value_of(item, "value"));
        }
        platform.start_hosts(1);
        let host = &platform.hosts[0];
        wait_until("the blocks are in force", || {
            let status = host.status();
            status["blocked_contents"].as_u64() > Some(0) && status["blocked_parts"] == 1
        });
        let answer = send_request(host, "GET /look/1", "id-1", "", CRASHING);
        assert_eq!(answer.status, 503, "{version:?}");
        for number in 0..20 {
            let id = format!("id-{number}");
            let answer = send_request(host, "POST /draft/1", &id, "Model: small\r\n", "");
            assert_eq!(answer.status, 200, "{version:?}");
        }
        assert_eq!(bad.requests().len(), 0, "{version:?}: it is rolled back");
        assert_eq!(host.logged("item_unreadable"), Vec::<Value>::new());
        let in_progress = &items[0]["value"];
        assert!(in_progress.as_str().unwrap().contains("in_progress"));
        platform
            .store
            .put("status/rollout/pool", in_progress.as_str().unwrap());
        wait_until("the rollout goes on from the stored status", || {
            let logged = host.logged("rollout_status");
            logged
                .iter()
                .any(|line| line["why"].to_string().contains("in_progress"))
        });
    }
}

/// Serves the recorded view to whoever asks, as a host of the earlier version does.
fn serve_view(address: SocketAddr, version: Version) {
    let listener = TcpListener::bind(address).unwrap();
    let headers = read_json(version, "view.json");
    let view = fs::read(recorded(version, "view.zlib")).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream);
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
                line.clear();
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nstore-revision: {}\r\nstore-age-ms: 0\r\ncontent-length: {}\r\n\r\n",
                headers["store-revision"].as_str().unwrap(),
                view.len()
            );
            let stream = reader.get_mut();
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&view);
        }
    });
}

/// The host itself reaches no store: all that it knows is the recorded view.
#[test]
fn views_of_earlier_versions_are_read() {
    for version in OLDER {
        let mut platform = Platform::new();
        platform.launch_host();
        let host = &platform.hosts[0];
        host.store_endpoint.set_mode(EndpointMode::Refusing);
        let address = peer_address(host);
        serve_view(address, version);
        let socket = UdpSocket::bind(address).unwrap();
        let words = read_json(version, "datagrams.json");
        wait_until("the view is in force", || {
            say(host, &words, address, &socket);
            let status = route::get(SocketAddr::new(host.ip, 8082), "/status");
            let status: Value = status
                .and_then(|answer| serde_json::from_str(&answer.body).ok())
                .unwrap_or_default();
            status["routing_version"] == 1 && status["servers"].as_u64() > Some(0)
        });
        for event in ["peer_view_unreadable", "item_unreadable", "word_unreadable"] {
            assert_eq!(host.logged(event), Vec::<Value>::new(), "{version:?}");
        }
    }
}
