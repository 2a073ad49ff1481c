//! Bodies of many requests at once, on hosts whose memory is limited: what they hold together stays
//! within the memory, and other services go on.

mod route;

use std::time::Duration;

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, stream_head, unframed_head,
};
use route::{Connection, Host, Platform, check_payments, ok, request, wait_until};
use serde_json::Value;

/// Memory of a host, MB.
const MEMORY_MB: u64 = 64;

/// How long a server leaves an answer unfinished; the requests' time limits are shorter.
const HELD: Duration = Duration::from_secs(60);

/// Calls that may run once, at servers without fault.
const PAYMENTS: usize = 20;

/// What a connection takes besides the body of its request, bytes: read buffer, head and task.
const CONNECTION_BYTES: usize = 128 << 10;

/// Peak memory of a host's process, KB.
fn peak_memory_kb(host: &Host) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", host.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|number| number.parse().ok()).unwrap()
}

fn check_memory(host: &Host) {
    let peak = peak_memory_kb(host);
    assert!(peak < MEMORY_MB * 1_000, "peak memory {peak} KB");
}

/// Starts a host with limited memory before servers that answer streams as `script` says, and one
/// without fault for payments.
fn start(
    servers: usize,
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> Platform {
    let mut platform = Platform::new();
    for _ in 0..servers {
        let script = script.clone();
        platform.add_backend("pool", "v1", move |_, received| script(received));
    }
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.launch_host_with(&format!("memory_mb = \"{MEMORY_MB}\"\n"));
    wait_until("the host is ready", || platform.hosts[0].is_ready());
    platform
}

/// Opens a stream, and leaves it to the test to read.
fn open_stream(host: &Host, number: usize) -> Connection {
    let extra = "Model: small\r\nToken-Usage: 100,50\r\nPrompt-Prefix: a1:80,b2:20\r\n";
    let mut connection = Connection::open(host.callers());
    connection.send(&request(
        "POST /draft/1",
        &format!("stream-{number}"),
        extra,
        "",
    ));
    connection
}

fn failure_head(received: &ReceivedRequest, framing: &str) -> String {
    let id = received.header("attempt-id");
    format!("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\n{framing}\r\n")
}

/// Guards against a host that keeps each chunk of a failure as a buffer of its own, some 30 bytes for
/// one byte, and runs out of memory by one faulty server.
#[test]
fn a_failure_in_chunks_of_one_byte_without_end_is_given_up() {
    let platform = start(1, |received| {
        vec![
            Step::Send(failure_head(received, "Transfer-Encoding: chunked\r\n")),
            Step::SendForever(chunk(".").repeat(4_096)),
        ]
    });
    let host = &platform.hosts[0];
    let mut streams: Vec<Connection> = (0..8).map(|number| open_stream(host, number)).collect();
    check_payments(host, PAYMENTS, 200);
    for stream in &mut streams {
        assert_eq!(stream.read().status, 502);
    }
    check_memory(host);
    let broken = host.logged("answer_broken");
    assert!(!broken.is_empty());
    assert!(broken.iter().all(|line| line["why"] == "too large"));
}

/// Guards against failures of a whole service that together take more than the host has, although
/// none is larger than a single answer may be.
#[test]
fn failures_of_all_servers_of_a_service_leave_room_for_others() {
    let platform = start(4, |received| {
        let half = "x".repeat(1 << 20);
        vec![
            Step::Send(failure_head(received, "Connection: close\r\n")),
            Step::Send(half),
            Step::Wait(HELD),
        ]
    });
    let host = &platform.hosts[0];
    let streams: Vec<Connection> = (0..96).map(|number| open_stream(host, number)).collect();
    check_payments(host, PAYMENTS, 200);
    for mut stream in streams {
        assert_eq!(stream.read().status, 502);
    }
    check_memory(host);
}

/// Guards against large answers of one service that leave no room for the answers of others.
#[test]
fn large_answers_that_do_not_end_leave_room_for_others() {
    let mut platform = Platform::new();
    platform.configure(
        2,
        &serde_json::json!([{"name": "fetch", "host": "a.example", "pathPrefix": "/fetch/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "service": "pool", "maxAttempts": 2}]),
    );
    for _ in 0..4 {
        platform.add_backend("pool", "v1", |_, received| {
            vec![
                Step::Send(unframed_head(received) + &"x".repeat(2 << 20)),
                Step::Wait(HELD),
            ]
        });
    }
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.launch_host_with(&format!("memory_mb = \"{MEMORY_MB}\"\n"));
    let host = &platform.hosts[0];
    wait_until("the host is ready", || host.is_ready());
    let fetch = |number: usize| {
        let mut connection = Connection::open(host.callers());
        connection.send(&request("GET /fetch/1", &format!("fetch-{number}"), "", ""));
        connection
    };
    let fetches: Vec<Connection> = (0..48).map(fetch).collect();
    wait_until("memory is short", || {
        let broken = host.logged("answer_broken");
        broken.iter().any(|line| line["why"] == "no memory left")
    });
    let status = host.status();
    assert_eq!(status["largest_holders"][0]["service"], "pool", "{status}");
    check_payments(host, PAYMENTS, 200);
    for mut fetch in fetches {
        let answer = fetch.read();
        assert!(matches!(answer.status, 502 | 504), "{}", answer.status);
    }
    check_memory(host);
    wait_until("all is given back", || host.status()["held_bytes"] == 0);
}

/// Guards against large events that hosts hold for callers who do not read.
#[test]
fn large_events_for_callers_that_do_not_read_leave_room_for_others() {
    let platform = start(4, |received| {
        let events = (1..=40).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(200_000)));
        let mut steps = vec![Step::Send(stream_head(received, ""))];
        steps.extend(events.map(|event| Step::Send(chunk(&event))));
        steps.push(Step::Wait(HELD));
        steps
    });
    let host = &platform.hosts[0];
    let streams: Vec<Connection> = (0..160).map(|number| open_stream(host, number)).collect();
    wait_until("the servers have answered", || {
        host.metrics().contains("clementinearch_requests_running")
            && host.status()["held_bytes"] != 0
    });
    check_payments(host, PAYMENTS, 200);
    check_memory(host);
    drop(streams);
    wait_until("all is given back", || host.status()["held_bytes"] == 0);
}

/// Gives requests and their bodies time enough on a busy machine.
fn extend_time_limits(platform: &Platform) {
    let config = platform.store.get("op/config").unwrap();
    let mut config: Value = serde_json::from_slice(&config).unwrap();
    config["version"] = 2.into();
    config["limits"]["headerTimeoutMs"] = 60_000.into();
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 60_000.into();
    }
    platform.store.put("op/config", config.to_string());
    wait_until("it is in force", || {
        platform.hosts[0].status()["routing_version"] == 2
    });
}

/// Sends the head of an upload and these chunks, but for the last one.
fn begin_upload(host: &Host, number: usize, chunks: &str) -> Connection {
    let mut connection = Connection::open(host.callers());
    let head = request("POST /pay/1", &format!("upload-{number}"), "", "");
    let head = head
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
        .replace("Deadline-Ms: 5000", "Deadline-Ms: 60000");
    connection.send(&(head + chunks));
    connection
}

/// Guards against callers' bodies that take many times their size.
#[test]
fn requests_in_chunks_of_one_byte_take_no_more_than_their_size() {
    const UPLOADS: usize = 8;
    const UPLOAD_BYTES: usize = 20_000;
    let platform = start(1, |_| Vec::new());
    extend_time_limits(&platform);
    let host = &platform.hosts[0];
    assert_eq!(send_upload(host, "first"), 200);
    let before = peak_memory_kb(host);
    let chunks = chunk(".").repeat(UPLOAD_BYTES);
    let uploads: Vec<Connection> = (0..UPLOADS)
        .map(|number| begin_upload(host, number, &chunks))
        .collect();
    wait_until("all but the ends has come", || {
        host.status()["held_bytes"].as_u64() >= Some((UPLOADS * UPLOAD_BYTES) as u64)
    });
    for mut upload in uploads {
        upload.send(LAST_CHUNK);
        assert_eq!(upload.read().status, 200);
    }
    // Each connection has buffers of its own.
    let most = UPLOADS * (2 * UPLOAD_BYTES + CONNECTION_BYTES) / 1_000;
    let grown = peak_memory_kb(host) - before;
    assert!(grown < most as u64, "{grown} KB");
}

fn send_upload(host: &Host, id: &str) -> u16 {
    let body = "x".repeat(60_000);
    route::send_request(host, "POST /pay/1", id, "", &body).status
}

/// A request that finds no memory is refused as not run, and finds some when another one has ended.
#[test]
fn requests_without_room_are_refused_until_there_is_some() {
    const UPLOADS: usize = 5;
    const UPLOAD_BYTES: usize = 60_000;
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.launch_host_with("memory_mb = \"1\"\n");
    let host = &platform.hosts[0];
    wait_until("the host is ready", || host.is_ready());
    extend_time_limits(&platform);
    let chunks = chunk(&"x".repeat(UPLOAD_BYTES));
    let held: Vec<Connection> = (0..UPLOADS)
        .map(|number| begin_upload(host, number, &chunks))
        .collect();
    wait_until("the memory is taken", || {
        host.status()["held_bytes"].as_u64() >= Some((UPLOADS * UPLOAD_BYTES) as u64)
    });
    let body = "x".repeat(UPLOAD_BYTES);
    let refused = route::send_request(host, "POST /pay/1", "refused", "", &body);
    assert_eq!(refused.status, 503);
    assert!(!refused.header("retry-after").is_empty());
    for mut upload in held {
        upload.send(LAST_CHUNK);
        assert_eq!(upload.read().status, 200);
    }
    assert_eq!(send_upload(host, "later"), 200);
}
