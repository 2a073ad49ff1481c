//! Requests that come late in the grace of a planned stop, and those under way at its end.

mod route;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, signed_response,
};
use route::{
    Answer, Connection, Host, Platform, ok, paced_stream, request, send_request, wait_until,
};

/// Time limits of a request of the scaffold and of a short one.
const LIMIT: &str = "Deadline-Ms: 5000\r\n";
const SHORT_LIMIT: &str = "Deadline-Ms: 1000\r\n";

/// Time from the signal within which a short request surely ends before the stop does.
const SURE: Duration = Duration::from_millis(1_500);

/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(150);

/// Time that a server works on a request without an answer.
const ENDLESS: Duration = Duration::from_secs(600);

const LINES: [&str; 3] = ["POST /pay/1", "GET /look/1", "POST /draft/1"];

/// A stream that is under way during the whole stop, so that the host does not exit before its end.
const LONG_STREAM: &str = "POST /draft/long";

fn start(
    grace: &str,
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + Clone + 'static,
) -> (Platform, Vec<Arc<ScriptedServer>>) {
    let mut platform = Platform::new();
    let servers = ["orders", "pool"].map(|service| {
        let script = script.clone();
        let (_, server) = platform.add_backend(service, "v1", move |_, it| script(it));
        server
    });
    platform.launch_host_with(grace);
    wait_until("the host is ready", || platform.hosts[0].is_ready());
    (platform, servers.into())
}

fn work(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line == LONG_STREAM {
        paced_stream(received, 600, Duration::from_millis(100))
    } else if received.request_line.starts_with("POST /draft") {
        paced_stream(received, 3, Duration::from_millis(20))
    } else {
        ok(received)
    }
}

/// A request during the stop.
struct Late {
    line: &'static str,
    id: String,
    is_short: bool,
    /// Time from the signal until it was sent.
    sent_after: Duration,
    /// None if it could not be sent.
    answer: Option<Answer>,
}

/// Sends requests of each kind with short and long time limits, on a new or a kept connection
/// each, until the host has exited.
fn send_until_exit(host: &mut Host, kept: Vec<Connection>) -> Vec<Late> {
    let mut kept = kept.into_iter();
    let signalled_at = Instant::now();
    host.signal("TERM");
    let mut late = Vec::new();
    for round in 0.. {
        for line in LINES {
            for is_short in [true, false] {
                let id = format!("{round}-{is_short}-{line}");
                let limit = if is_short { SHORT_LIMIT } else { LIMIT };
                let bytes = request(line, &id, "Model: small\r\n", "").replace(LIMIT, limit);
                let connection = match kept.next() {
                    Some(connection) => Some(connection),
                    None => Connection::try_open(host.callers()),
                };
                let sent_after = signalled_at.elapsed();
                let answer = connection.and_then(|mut connection| {
                    let is_sent = connection.try_send(&bytes);
                    is_sent.then(|| connection.read())
                });
                late.push(Late {
                    line,
                    id,
                    is_short,
                    sent_after,
                    answer,
                });
            }
        }
        if host.has_exited() {
            break;
        }
        thread::sleep(ROUND);
    }
    late
}

#[test]
fn late_requests_in_the_grace_are_served_if_they_surely_end_and_refused_truly_otherwise() {
    let (mut platform, servers) = start("grace_s = 4\n", work);
    let host = &mut platform.hosts[0];
    let mut long = Connection::open(host.callers());
    long.send(&request(LONG_STREAM, "long", "Model: small\r\n", ""));
    assert_eq!(long.read_head().status, 200);
    let kept = (0..12).map(|_| Connection::open(host.callers())).collect();
    let late = send_until_exit(host, kept);
    let has_run = |id: &str| {
        let requests = servers.iter().flat_map(|server| server.requests());
        requests.filter(|it| it.header("attempt-id") == id).count() > 0
    };
    let mut served = 0;
    for request in &late {
        let Late {
            line,
            id,
            sent_after,
            ..
        } = request;
        let what = format!("{id} sent after {sent_after:?}");
        let status = request.answer.as_ref().map_or(0, |answer| answer.status);
        if has_run(id) {
            let answer = request.answer.as_ref().unwrap();
            assert!(answer.status != 0 && answer.is_whole, "cut: {what}");
            assert!(answer.status != 503, "refused though it ran: {what}");
        } else {
            assert!(
                [0, 503].contains(&status),
                "{status} though it did not run: {what}"
            );
        }
        if request.is_short && *sent_after < SURE {
            assert_eq!(status, 200, "{what}");
            served += 1;
        }
        if !request.is_short && *line == "POST /pay/1" {
            assert!(
                status == 503 || status == 0 || *sent_after < SURE,
                "{what}: {status}"
            );
        }
    }
    assert!(served > LINES.len());
}

#[test]
fn requests_under_way_at_the_end_of_a_stop_get_an_answer() {
    let (mut platform, servers) = start("grace_s = 2\n", |received| {
        vec![
            Step::Wait(ENDLESS),
            Step::Send(signed_response(received, "200 OK", "", "done")),
        ]
    });
    let host = &platform.hosts[0];
    let answers = thread::scope(|scope| {
        let sent = LINES.map(|line| {
            scope.spawn(move || send_request(host, line, line, "Model: small\r\n", ""))
        });
        wait_until("all run", || {
            servers
                .iter()
                .map(|server| server.requests().len())
                .sum::<usize>()
                >= LINES.len()
        });
        host.signal("TERM");
        sent.map(|sent| sent.join().unwrap())
    });
    for (line, answer) in LINES.into_iter().zip(answers) {
        assert_eq!((answer.status, answer.is_whole), (502, true), "{line}");
        assert_eq!(answer.header("connection"), "close");
    }
    assert!(platform.hosts[0].wait(), "the host exits with success");
}
