//! Extreme values in the headers of callers and servers: every call gets an answer, and the next ones
//! too.

mod route;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step, signed_response};
use route::{Connection, Host, Platform, paced_stream, send_request, wait_until};

/// Header lines of a server's answer.
const OF_SERVERS: [&str; 28] = [
    "Server-Load: 4294967295,4294967295,4294967295",
    "Server-Load: 4294967295,1,0",
    "Server-Load: 4294967296,1,1",
    "Server-Load: -1,-1,-1",
    "Server-Load: 1e300,1,1",
    "Server-Load: ,,",
    "Server-Limit: 1e300",
    "Server-Limit: 1e400",
    "Server-Limit: -1",
    "Server-Limit: NaN",
    "Server-Limit: inf",
    "Server-Brittle: 1e300",
    "Server-Brittle: 18446744073709551616",
    "Server-Brittle: -1",
    "Server-Brittle: NaN",
    "Retry-After: 1e300",
    "Retry-After: NaN",
    "Retry-After: -1e300",
    "Retry-After: 18446744073709551616",
    "Keep-Alive: timeout=18446744073709551615",
    "Keep-Alive: timeout=18446744073709551616",
    "Keep-Alive: timeout=-1",
    "Keep-Alive: timeout=1e300",
    "Keep-Alive: timeout=0",
    "Confidence: 300",
    "Confidence: -1",
    "Server-Leaving: 18446744073709551616",
    "Weight-Versions: 1e300",
];

/// Header lines of a caller's request.
const OF_CALLERS: [&str; 20] = [
    "Deadline-Ms: 18446744073709551615",
    "Deadline-Ms: 18446744073709551616",
    "Deadline-Ms: 1e300",
    "Deadline-Ms: -1",
    "Token-Usage: 4294967295,4294967295",
    "Token-Usage: 4294967296,4294967296",
    "Token-Usage: -1,-1",
    "Token-Usage: 10,10\r\nPrompt-Prefix: f1:4294967295,f2:4294967295,f3:4294967295,f4:1",
    "Token-Usage: 4294967295,1\r\nPrompt-Prefix: f1:4294967295,f2:4294967295,f3:4294967295,f4:1",
    "Token-Usage: 10,10\r\nPrompt-Prefix: ffffffffffffffff:1,10000000000000000:1,-1:1,f1:-1",
    "Token-Usage: 10,10\r\nPrompt-Prefix: ,,,:::,",
    "Token-Usage: 10,10\r\nLength-Hint: 4294967296",
    "Token-Usage: 10,10\r\nLength-Hint: -1",
    "Last-Event-Id: 18446744073709551615",
    "Last-Event-Id: 18446744073709551616",
    "Last-Event-Id: -1",
    "Session: \u{e9}",
    "Model: *",
    "Request-Priority: 300",
    "Connection: close, \u{1},,;",
];

/// A request with these header lines.
fn request(line: &str, id: &str, headers: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nAuthorization: Bearer key-1\r\n{headers}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a request twice. Returns whether both are answered.
fn is_answered(host: &Host, line: &str, headers: &str) -> bool {
    (0..2).all(|number| {
        let mut connection = Connection::open(host.callers());
        let id = format!("id-{number}");
        connection.try_send(&request(line, &id, headers)) && connection.read().status != 0
    })
}

/// Whether the host counts no request as running.
fn is_idle(host: &Host) -> bool {
    let metrics = host.metrics();
    metrics
        .lines()
        .any(|line| line == "clementinearch_requests_running 0")
}

fn check(platform: &Platform, line: &str, headers: &str) -> bool {
    let host = &platform.hosts[0];
    let is_answered = is_answered(host, line, headers);
    let later = send_request(host, "GET /look/later", "id-9", "", "");
    let idle = catch_unwind(AssertUnwindSafe(|| {
        wait_until("no request is counted as running", || is_idle(host));
    }));
    is_answered && later.status == 200 && idle.is_ok() && host.logged("panicked").is_empty()
}

fn start(headers: &'static str) -> Platform {
    let mut platform = Platform::new();
    let respond = move |_, received: &ReceivedRequest| {
        let is_odd = !received.request_line.contains("later");
        let (status, extra) = match headers {
            "" => ("200 OK", String::new()),
            _ if !is_odd => ("200 OK", String::new()),
            _ if headers.starts_with("Retry-After") => (
                "503 Service Unavailable",
                format!("Not-Executed: 1\r\n{headers}\r\n"),
            ),
            _ => ("200 OK", format!("{headers}\r\n")),
        };
        vec![Step::Send(signed_response(
            received, status, &extra, "done",
        ))]
    };
    platform.add_backend("orders", "v1", respond);
    // A rest is kept by the server that asks for it alone.
    platform.add_backend("orders", "v1", |_, received| {
        vec![Step::Send(signed_response(received, "200 OK", "", "done"))]
    });
    platform.add_backend("pool", "v1", |_, received| {
        paced_stream(received, 3, Duration::ZERO)
    });
    platform.start_hosts(1);
    platform
}

#[test]
fn extreme_values_of_servers_leave_later_calls_answered() {
    let all = OF_SERVERS.into_iter();
    let failed: Vec<&str> = all
        .filter(|headers| !check(&start(headers), "GET /look/1", headers_of_caller()))
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        OF_SERVERS.len()
    );
}

fn headers_of_caller() -> &'static str {
    "Deadline-Ms: 5000"
}

#[test]
fn extreme_values_of_callers_leave_later_calls_answered() {
    let mut failed = Vec::new();
    for headers in OF_CALLERS {
        for line in ["GET /look/1", "POST /pay/1", "POST /draft/1"] {
            if !check(&start(""), line, headers) {
                failed.push((line, headers));
            }
        }
    }
    let all = 3 * OF_CALLERS.len();
    assert!(failed.is_empty(), "{} of {all}: {failed:?}", failed.len());
}

/// A call that ends in the middle of its work frees what it holds.
#[test]
fn many_extreme_calls_leave_nothing_counted() {
    let platform = start("Server-Load: 4294967295,4294967295,0");
    let host = &platform.hosts[0];
    let parts =
        "Token-Usage: 10,10\r\nPrompt-Prefix: f1:4294967295,f2:4294967295,f3:4294967295,f4:1";
    let mut unanswered = 0;
    for _ in 0..30 {
        unanswered += usize::from(!is_answered(host, "GET /look/1", headers_of_caller()));
        unanswered += usize::from(!is_answered(host, "POST /draft/1", parts));
    }
    wait_until("no request is counted as running", || is_idle(host));
    assert_eq!(unanswered, 0, "pairs of calls without an answer, of 60");
    assert!(host.logged("panicked").is_empty());
}
