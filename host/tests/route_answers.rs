//! Callers get complete answers to their own requests despite faulty backend servers, and
//! non-idempotent calls run at most once.

mod route;

use std::time::Duration;

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, signed_response, stream_head, token_event,
};
use route::{Connection, Platform, check_payments, ok, request, send_request, wait_until};

fn send(text: String) -> Step {
    Step::Send(text)
}

/// Script for a resumable stream up to event `last`, from the event after `Last-Event-Id`.
fn all_events(received: &ReceivedRequest, last: u64) -> Vec<Step> {
    let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let mut steps = vec![send(stream_head(received, ""))];
    steps.extend((after + 1..=last).map(|id| send(chunk(&token_event(id)))));
    steps.push(send(LAST_CHUNK.to_owned()));
    steps
}

fn events(last: u64) -> String {
    (1..=last).map(token_event).collect()
}

#[test]
fn a_request_passes_unchanged_and_only_the_host_sets_internal_headers() {
    let mut platform = Platform::new();
    let (name, server) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let forged = "Tenant: other\r\nHold: h1\r\nPin-Ms: 900\r\nKv-From: 1.2.3.4:5/6\r\nKv-Backup: 1.2.3.4:5\r\nExpect-Instance: i-x\r\nRequest-Priority: 0\r\nX-Own: kept\r\nConnection: keep-alive, x-hop\r\nX-Hop: dropped\r\n";
    let answer = send_request(
        &platform.hosts[0],
        "POST /pay/7?a=b%20c",
        "id-1",
        forged,
        "body {}",
    );
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(answer.header("server-seal"), "seal-id-1");
    let seen = &server.requests()[0];
    assert_eq!(seen.request_line, "POST /pay/7?a=b%20c");
    assert_eq!(seen.body, "body {}");
    for (header, value) in [
        ("host", "a.example"),
        ("tenant", "one"),
        ("expect-instance", name.as_str()),
        ("request-priority", "3"),
        ("x-own", "kept"),
        ("hold", ""),
        ("pin-ms", ""),
        ("kv-from", ""),
        ("kv-backup", ""),
        ("x-hop", ""),
        ("authorization", ""),
    ] {
        assert_eq!(seen.header(header), value, "{header}");
    }
    let left: u64 = seen.header("deadline-ms").parse().unwrap();
    assert!(
        (2_000..=3_000).contains(&left),
        "the route's timeout applies: {left} ms left"
    );
}

#[test]
fn an_extra_response_on_a_kept_alive_connection_is_not_taken_for_the_next_one() {
    let mut platform = Platform::new();
    // The extra response arrives while the next request is under way.
    let (_, server) = platform.add_backend("orders", "v1", |number, received| {
        let mut steps = ok(received);
        if number == 0 {
            steps.push(Step::Wait(Duration::from_millis(30)));
            steps.push(send(signed_response(received, "200 OK", "", "late")));
        }
        steps
    });
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..4 {
        let answer = send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
        assert_eq!(answer.header("attempt-id"), format!("id-{number}"));
    }
    assert!(server.requests().len() >= 4);
}

/// The server may have run the call before the reset. A retry could run it twice, and a refusal
/// would wrongly state that it did not run.
#[test]
fn a_non_idempotent_call_that_was_reset_is_neither_retried_nor_refused() {
    let mut platform = Platform::new();
    let reset = |_: usize, _: &ReceivedRequest| vec![Step::Reset];
    let (_, one) = platform.add_backend("orders", "v1", reset);
    let (_, two) = platform.add_backend("orders", "v1", reset);
    platform.start_hosts(1);
    let answer = send_request(&platform.hosts[0], "POST /pay/1", "id-1", "", "x");
    assert_eq!(answer.status, 502, "the call may have run");
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

#[test]
fn a_non_idempotent_call_is_retried_only_with_proof_that_it_did_not_run() {
    let mut platform = Platform::new();
    let full = |_: usize, received: &ReceivedRequest| {
        let proof = "Not-Executed: 1\r\n";
        vec![send(signed_response(
            received,
            "503 Service Unavailable",
            proof,
            "",
        ))]
    };
    let (_, refusing) = platform.add_backend("orders", "v1", full);
    let (_, serving) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    check_payments(&platform.hosts[0], 6, 200);
    assert_eq!(serving.requests().len(), 6);
    assert!(!refusing.requests().is_empty());
}

/// A caller would take a 503 as a statement that the call did not run, which the server has not
/// proved.
#[test]
fn a_refusal_without_proof_is_not_passed_on() {
    let mut platform = Platform::new();
    let unproved = |_: usize, received: &ReceivedRequest| {
        vec![send(signed_response(
            received,
            "503 Service Unavailable",
            "",
            "",
        ))]
    };
    let (_, server) = platform.add_backend("orders", "v1", unproved);
    platform.add_backend("orders", "v1", unproved);
    platform.start_hosts(1);
    let answer = send_request(&platform.hosts[0], "POST /pay/1", "id-1", "", "x");
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("server-seal"), "");
    assert!(server.requests().len() <= 1);
}

#[test]
fn refusals_by_all_servers_yield_503_with_retry_after() {
    let mut platform = Platform::new();
    for _ in 0..2 {
        platform.add_backend("orders", "v1", |_, received| {
            let proof = "Not-Executed: 1\r\n";
            vec![send(signed_response(
                received,
                "503 Service Unavailable",
                proof,
                "",
            ))]
        });
    }
    platform.start_hosts(1);
    let answer = send_request(&platform.hosts[0], "POST /pay/1", "id-1", "", "x");
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("retry-after").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 1.5);
}

#[test]
fn a_signed_500_is_passed_on_with_its_body_and_seal() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| {
        vec![send(signed_response(
            received,
            "500 Internal Server Error",
            "",
            "broken",
        ))]
    });
    platform.start_hosts(1);
    let answer = send_request(&platform.hosts[0], "POST /pay/1", "id-1", "", "x");
    assert_eq!((answer.status, answer.body.as_str()), (500, "broken"));
    assert_eq!(answer.header("server-seal"), "seal-id-1");
}

#[test]
fn a_reset_response_without_length_is_not_passed_on_as_complete() {
    let mut platform = Platform::new();
    let unframed = |number: usize, received: &ReceivedRequest| {
        let id = received.header("attempt-id");
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\nhalf");
        if number == 0 {
            vec![
                send(head),
                Step::Wait(Duration::from_millis(20)),
                Step::Reset,
            ]
        } else {
            vec![send(format!("{head} and half")), Step::Close]
        }
    };
    platform.add_backend("orders", "v1", unframed);
    platform.add_backend("orders", "v1", unframed);
    platform.start_hosts(1);
    // Each server resets the connection during its first response.
    let answer = send_request(&platform.hosts[0], "GET /look/1", "id-1", "", "");
    if answer.status == 200 {
        assert_eq!(answer.body, "half and half");
    }
    let again = send_request(&platform.hosts[0], "GET /look/1", "id-2", "", "");
    assert_eq!((again.status, again.body.as_str()), (200, "half and half"));
}

#[test]
fn an_encoded_or_unsigned_success_is_not_passed_on() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| {
        let encoded = "Content-Encoding: gzip\r\n";
        vec![send(signed_response(received, "200 OK", encoded, "zzz"))]
    });
    platform.add_backend("orders", "v1", |_, received| {
        let id = received.header("attempt-id");
        vec![send(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 4\r\n\r\nfake"
        ))]
    });
    platform.start_hosts(1);
    check_payments(&platform.hosts[0], 4, 502);
}

#[test]
fn a_stream_cut_within_an_event_resumes_elsewhere_after_the_last_whole_event() {
    let mut platform = Platform::new();
    // The first server to get the request resets the connection within event 3.
    let cut = |_: usize, received: &ReceivedRequest| {
        if received.header("last-event-id").is_empty() {
            let mut steps = vec![send(stream_head(received, "X-Run: first\r\n"))];
            steps.push(send(chunk(&token_event(1))));
            steps.push(send(chunk(&(token_event(2) + "id: 3\nda"))));
            steps.push(Step::Wait(Duration::from_millis(20)));
            steps.push(Step::Reset);
            return steps;
        }
        all_events(received, 5)
    };
    let (_, one) = platform.add_backend("pool", "v1", cut);
    let (_, two) = platform.add_backend("pool", "v1", cut);
    platform.start_hosts(1);
    let answer = send_request(
        &platform.hosts[0],
        "POST /draft/1",
        "id-1",
        "Model: small\r\n",
        "{}",
    );
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(5));
    assert_eq!(
        answer.header("x-run"),
        "first",
        "the response head of the first attempt stays"
    );
    let seen = [one.requests(), two.requests()].concat();
    assert_eq!(seen.len(), 2);
    let resumed: Vec<&str> = seen.iter().map(|it| it.header("last-event-id")).collect();
    assert!(resumed.contains(&"2"), "{resumed:?}");
}

#[test]
fn a_stream_that_cannot_resume_ends_as_broken() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", |_, received| {
        let steps = [stream_head(received, ""), chunk(&token_event(1))].map(send);
        let mut steps = steps.to_vec();
        steps.push(Step::Wait(Duration::from_millis(20)));
        steps.push(Step::Close);
        steps
    });
    platform.start_hosts(1);
    let answer = send_request(
        &platform.hosts[0],
        "POST /draft/1",
        "id-1",
        "Model: small\r\n",
        "{}",
    );
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, token_event(1));
    assert!(!answer.is_whole);
}

#[test]
fn a_low_confidence_answer_is_escalated_to_the_large_model() {
    let mut platform = Platform::new();
    let by_size = |_: usize, received: &ReceivedRequest| {
        let (confidence, last) = if received.header("model") == "small" {
            ("Confidence: 12\r\n", 2)
        } else {
            ("Confidence: 90\r\n", 4)
        };
        let mut steps = vec![send(stream_head(received, confidence))];
        steps.extend((1..=last).map(|id| send(chunk(&token_event(id)))));
        steps.push(Step::Wait(Duration::from_millis(10)));
        steps.push(send(LAST_CHUNK.to_owned()));
        steps
    };
    let (_, server) = platform.add_backend("pool", "v1", by_size);
    platform.start_hosts(1);
    let sizes = "Model: *\r\nToken-Usage: 100,40\r\nPrompt-Prefix: 1a:60,2b:40\r\n";
    let answer = send_request(&platform.hosts[0], "POST /draft/1", "id-1", sizes, "{}");
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(4));
    let models: Vec<String> = server
        .requests()
        .iter()
        .map(|it| it.header("model").to_owned())
        .collect();
    assert_eq!(models, ["small", "large"]);
    let named = "Model: small\r\nToken-Usage: 100,40\r\n";
    let answer = send_request(&platform.hosts[0], "POST /draft/1", "id-2", named, "{}");
    assert_eq!(
        answer.body,
        events(2),
        "a model that the caller names is not changed"
    );
}

#[test]
fn a_disconnect_of_the_caller_closes_the_connection_to_the_server() {
    let mut platform = Platform::new();
    let hour = Duration::from_secs(3_600);
    let (_, silent) = platform.add_backend("orders", "v1", move |_, _| vec![Step::Wait(hour)]);
    let (_, streaming) = platform.add_backend("pool", "v1", move |_, received| {
        let begin = [stream_head(received, ""), chunk(&token_event(1))].map(send);
        let mut steps = begin.to_vec();
        steps.push(Step::Wait(hour));
        steps
    });
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let mut waiting = Connection::open(host.callers());
    waiting.send(&request("POST /pay/1", "id-1", "", "x"));
    wait_until("the call reached its server", || {
        silent.requests().len() == 1
    });
    drop(waiting);
    wait_until("its server noticed the disconnect", || {
        silent.disconnects() == 1
    });
    let mut reading = Connection::open(host.callers());
    reading.send(&request("POST /draft/1", "id-2", "Model: small\r\n", "{}"));
    assert_eq!(reading.read_head().status, 200);
    assert_eq!(reading.read_chunk().unwrap(), token_event(1));
    drop(reading);
    wait_until("its server noticed the disconnect", || {
        streaming.disconnects() == 1
    });
}

/// A `Content-Length` beside `Transfer-Encoding: chunked` leaves the end of the body ambiguous, so
/// that a second request can hide in the body of the first.
#[test]
fn a_smuggled_request_never_runs() {
    let mut platform = Platform::new();
    let (_, server) = platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let hidden = request("POST /pay/hidden", "id-hidden", "", "x");
    let ambiguous = format!(
        "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 900\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5,
    );
    let mut connection = Connection::open(platform.hosts[0].callers());
    connection.send(&ambiguous);
    connection.read();
    assert_eq!(connection.read().status, 0, "the connection is closed");
    assert!(
        server
            .requests()
            .iter()
            .all(|it| it.request_line != "POST /pay/hidden")
    );
    for malformed in [
        "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    ] {
        let mut connection = Connection::open(platform.hosts[0].callers());
        connection.send(malformed);
        assert_eq!(connection.read().status, 400, "{malformed}");
    }
}
