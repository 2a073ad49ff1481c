//! Callers that do not read for a while, although their server is at work.

mod route;

use std::{
    io::{BufRead, BufReader, Read, Write},
    thread,
    time::Duration,
};

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, signed_response, stream_head,
};
use route::{Platform, request};
use serde_json::json;

/// How long the caller reads nothing: longer than the kernel used to wait for its acknowledgement.
const PAUSE: Duration = Duration::from_secs(4);

/// Events of a stream and the size of each, bytes: together more than the buffers of all sockets on
/// the way.
const EVENTS: usize = 200;
const EVENT_BYTES: usize = 100_000;

/// Size of an answer that is no stream, bytes.
const PLAIN_BYTES: usize = 8_000_000;

fn event(id: usize) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES))
}

fn script(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line.starts_with("GET /look") {
        let body = "x".repeat(PLAIN_BYTES);
        return vec![Step::Send(signed_response(received, "200 OK", "", &body))];
    }
    let mut steps = vec![Step::Send(stream_head(received, ""))];
    steps.extend((1..=EVENTS).map(|id| Step::Send(chunk(&event(id)))));
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

/// Sends a request, reads its first line, then nothing for [`PAUSE`], then the rest until the host
/// closes the connection.
fn read_late(platform: &Platform, line: &str) -> Vec<u8> {
    let mut connection = route::Connection::open(platform.hosts[0].callers());
    let extra = "Connection: close\r\nModel: small\r\n";
    let text = request(line, line, extra, "").replace("Deadline-Ms: 5000", "Deadline-Ms: 30000");
    connection.stream.write_all(text.as_bytes()).unwrap();
    let mut reader = BufReader::new(connection.stream.try_clone().unwrap());
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
    assert!(first.contains("200"), "{first}");
    thread::sleep(PAUSE);
    let mut rest = Vec::new();
    // A connection that breaks off ends it early.
    let _ = reader.read_to_end(&mut rest);
    rest
}

fn count_events(answer: &[u8]) -> usize {
    let lines = answer.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(b"id: ")).count()
}

#[test]
fn callers_that_do_not_read_for_a_while_get_their_whole_answer() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", |_, it| script(it));
    platform.add_backend("orders", "v1", |_, it| script(it));
    platform.configure(
        2,
        &json!([{"name": "once", "host": "a.example", "pathPrefix": "/once/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "service": "pool", "maxAttempts": 3, "streamResume": false, "gapTargetMs": 1000}]),
    );
    platform.start_hosts(1);
    let lines = ["POST /draft/1", "POST /once/1", "GET /look/1"];
    let answers = thread::scope(|scope| {
        let calls = lines.map(|line| {
            let platform = &platform;
            scope.spawn(move || read_late(platform, line))
        });
        calls.map(|call| call.join().unwrap())
    });
    let mut failed = Vec::new();
    for (line, answer) in lines.into_iter().zip(answers) {
        let is_whole = if line.starts_with("GET") {
            answer.len() > PLAIN_BYTES
        } else {
            count_events(&answer) == EVENTS && answer.ends_with(LAST_CHUNK.as_bytes())
        };
        if !is_whole {
            failed.push(format!("{line}: {} bytes", answer.len()));
        }
    }
    println!("failed {} of {}", failed.len(), lines.len());
    assert!(failed.is_empty(), "{failed:?}");
}
