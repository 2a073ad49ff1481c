//! Answers that end with their connection, streams that end inside an event, and bytes without end.

mod route;

use std::sync::Arc;

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk, stream_head, token_event,
    unframed_head,
};
use route::{Answer, Host, Platform, ok, send_request};
use serde_json::json;

const EVENTS: u64 = 5;

/// Largest number of bytes that a host reads of an answer without end, with what the kernel buffers.
const MOST_MEMORY_KB: u64 = 64 << 10;

type Server = Arc<ScriptedServer>;

/// Starts a host before a server that follows `first` for its first request, and then `later`.
fn start(
    service: &str,
    first: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    later: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (Platform, Server) {
    let mut platform = Platform::new();
    let (_, server) = platform.add_backend(service, "v1", move |number, received| {
        if number == 0 {
            first(received)
        } else {
            later(received)
        }
    });
    platform.start_hosts(1);
    (platform, server)
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(token_event).collect()
}

fn half_event(id: u64) -> String {
    let event = token_event(id);
    event[..event.len() / 2].to_owned()
}

/// The rest of a stream, in chunks.
fn resume(received: &ReceivedRequest) -> Vec<Step> {
    let after = received.header("last-event-id").parse().unwrap_or(0);
    let rest = events(after + 1..=EVENTS);
    let body = stream_head(received, "") + &chunk(&rest) + LAST_CHUNK;
    vec![Step::Send(body)]
}

fn send_stream(host: &Host, line: &str, id: &str) -> Answer {
    let extra = "Model: small\r\nToken-Usage: 100,50\r\nPrompt-Prefix: a1:80,b2:20\r\n";
    send_request(host, line, id, extra, "")
}

/// Checks that the caller got each event once and that the second attempt went on after `last`.
fn check_resumed(answer: &Answer, server: &Server, last: &str) {
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=EVENTS));
    let requests = server.requests();
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[1].header("last-event-id"), last);
}

#[test]
fn an_answer_without_length_is_whole_when_its_connection_is_closed() {
    let unframed = |received: &ReceivedRequest| {
        vec![Step::Send(unframed_head(received) + "done"), Step::Close]
    };
    let (platform, server) = start("orders", unframed, unframed);
    for (number, line) in ["POST /pay/1", "GET /look/1", "GET /look/1"]
        .into_iter()
        .enumerate()
    {
        let answer = send_request(&platform.hosts[0], line, &format!("id-{number}"), "", "");
        assert_eq!(answer.status, 200);
        assert!(answer.is_whole);
        assert_eq!(answer.body, "done");
    }
    let connections: Vec<u64> = server.requests().iter().map(|it| it.connection).collect();
    assert_eq!(connections, [0, 1, 2], "none is used again");
}

#[test]
fn an_answer_without_length_that_is_reset_is_broken_off() {
    let reset =
        |received: &ReceivedRequest| vec![Step::Send(unframed_head(received) + "do"), Step::Reset];
    let (platform, server) = start("orders", reset, ok);
    let host = &platform.hosts[0];
    assert_eq!(
        send_request(host, "POST /pay/1", "once", "", "").status,
        502
    );
    assert_eq!(server.requests().len(), 1);
    let (platform, _) = start("orders", reset, ok);
    let answer = send_request(&platform.hosts[0], "GET /look/1", "again", "", "");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
}

#[test]
fn a_stream_without_length_is_whole_at_the_end_of_an_event() {
    let unframed = |received: &ReceivedRequest| {
        vec![
            Step::Send(unframed_head(received) + &events(1..=EVENTS)),
            Step::Close,
        ]
    };
    let (platform, server) = start("pool", unframed, resume);
    let answer = send_stream(&platform.hosts[0], "POST /draft/1", "id");
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=EVENTS));
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn a_stream_that_ends_inside_an_event_goes_on_after_the_last_whole_one() {
    let unframed = |received: &ReceivedRequest| {
        let body = events(1..=2) + &half_event(3);
        vec![Step::Send(unframed_head(received) + &body), Step::Close]
    };
    let (platform, server) = start("pool", unframed, resume);
    let answer = send_stream(&platform.hosts[0], "POST /draft/1", "id");
    check_resumed(&answer, &server, "2");
    // Even if the framing says that the body is complete.
    let chunked = |received: &ReceivedRequest| {
        let body = chunk(&(events(1..=3) + &half_event(4))) + LAST_CHUNK;
        vec![Step::Send(stream_head(received, "") + &body)]
    };
    let (platform, server) = start("pool", chunked, resume);
    let answer = send_stream(&platform.hosts[0], "POST /draft/1", "id");
    check_resumed(&answer, &server, "3");
}

#[test]
fn a_stream_that_ends_inside_an_event_and_must_not_be_resumed_looks_broken_off() {
    let unframed = |received: &ReceivedRequest| {
        let body = events(1..=2) + &half_event(3);
        vec![Step::Send(unframed_head(received) + &body), Step::Close]
    };
    let mut platform = Platform::new();
    platform.configure(
        2,
        &json!([{"name": "note", "host": "a.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "service": "pool", "maxAttempts": 3, "sessionAffinity": true, "streamResume": false, "gapTargetMs": 1000}]),
    );
    let (_, server) = platform.add_backend("pool", "v1", move |_, received| unframed(received));
    platform.start_hosts(1);
    let answer = send_stream(&platform.hosts[0], "POST /note/1", "id");
    assert!(!answer.is_whole);
    assert_eq!(answer.body, events(1..=2));
    assert_eq!(server.requests().len(), 1);
}

/// A process that ends closes its connections as if its answer were complete.
#[test]
fn a_stream_without_length_of_a_server_that_has_ended_goes_on_elsewhere() {
    let mut platform = Platform::new();
    for _ in 0..2 {
        platform.add_backend("pool", "v1", |_, received| {
            if received.header("last-event-id").is_empty() {
                let body = unframed_head(received) + &events(1..=2);
                vec![Step::Send(body), Step::CrashCleanly]
            } else {
                resume(received)
            }
        });
    }
    platform.start_hosts(1);
    let answer = send_stream(&platform.hosts[0], "POST /draft/1", "id");
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=EVENTS));
}

/// Peak memory of a host's process, KB.
fn peak_memory_kb(host: &Host) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", host.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|number| number.parse().ok()).unwrap()
}

fn check_endless(head: fn(&ReceivedRequest) -> String, endless: &str) {
    let endless = endless.repeat(1_000);
    let first = move |received: &ReceivedRequest| {
        vec![
            Step::Send(head(received)),
            Step::SendForever(endless.clone()),
        ]
    };
    let (platform, _) = start("orders", first.clone(), ok);
    let host = &platform.hosts[0];
    let answer = send_request(host, "GET /look/1", "again", "", "");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert!(peak_memory_kb(host) < MOST_MEMORY_KB);
    let (platform, server) = start("orders", first.clone(), ok);
    let answer = send_request(&platform.hosts[0], "POST /pay/1", "once", "", "");
    assert_eq!(answer.status, 502);
    assert_eq!(server.requests().len(), 1);
    let (platform, server) = start("pool", first, resume);
    let answer = send_stream(&platform.hosts[0], "POST /draft/1", "id");
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=EVENTS));
    assert_eq!(server.requests().len(), 2);
    assert!(peak_memory_kb(&platform.hosts[0]) < MOST_MEMORY_KB);
}

#[test]
fn bytes_without_end_in_place_of_a_head_are_given_up() {
    check_endless(|_| String::new(), "no answer ");
}

#[test]
fn a_head_without_end_is_given_up() {
    check_endless(
        |_| "HTTP/1.1 200 OK\r\n".to_owned(),
        "X-More: of the same\r\n",
    );
}

/// Guards against hosts that do nothing but read interim heads, and answer nobody meanwhile.
#[test]
fn interim_heads_without_end_are_given_up() {
    check_endless(|_| String::new(), "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn a_body_without_end_is_given_up() {
    check_endless(unframed_head, "no event ");
}
