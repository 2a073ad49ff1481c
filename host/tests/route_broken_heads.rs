//! Servers that close or reset the connection in the middle of their response's head.

mod resumed;
mod route;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step, token_event};
use resumed::{Framing, SEAL, broken_head, response, sound};
use route::{Answer, Connection, Platform, request, wait_until};

/// Bytes of the longest head that is cut.
const HEAD_BYTES: usize = 160;

/// How a response is cut: its framing, the bytes of the head that are sent, and the end.
#[derive(Clone, Debug)]
struct Cut {
    framing: Framing,
    length: usize,
    end: Step,
}

/// All cuts, in the order of their requests.
fn cuts() -> Vec<Cut> {
    let mut cuts = Vec::new();
    for framing in Framing::ALL {
        for length in 1..HEAD_BYTES {
            for end in [Step::Close, Step::Reset] {
                cuts.push(Cut {
                    framing,
                    length,
                    end,
                });
            }
        }
    }
    cuts
}

/// Sends a request for each cut, all on one connection if it stays open, and checks the answers.
/// `is_broken` says which of a server's requests for a cut gets the cut head.
fn check(
    service: &str,
    line: &str,
    is_broken: impl Fn(&ReceivedRequest) -> bool + Send + Sync + 'static,
    is_right: impl Fn(&Answer) -> bool,
) {
    let cuts = Arc::new(cuts());
    let broken = Arc::new(AtomicUsize::new(0));
    let mut platform = Platform::new();
    let (of_server, sent) = (cuts.clone(), broken.clone());
    let (_, server) = platform.add_backend(service, "v1", move |_, received| {
        let number = received.header("attempt-id").parse::<usize>().ok();
        let whole = if service_is_stream(received) {
            sound(received)
        } else {
            response(received, "200 OK", SEAL, Framing::Length, "done")
        };
        match number.and_then(|number| of_server.get(number)) {
            Some(cut) if is_broken(received) => {
                sent.fetch_add(1, Ordering::Relaxed);
                let whole = response(received, "200 OK", SEAL, cut.framing, "done");
                broken_head(&whole, cut.length, cut.end.clone())
            }
            _ => whole,
        }
    });
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let mut wrong = Vec::new();
    for (number, cut) in cuts.iter().enumerate() {
        // A sound answer first leaves a kept connection for the cut one in every other case.
        let ids = [format!("sound-{number}"), number.to_string()];
        for id in &ids[number % 2..] {
            let mut connection = Connection::open(host.callers());
            connection.send(&request(line, id, "Model: small\r\n", id));
            let answer = connection.read();
            if *id == ids[1] && !is_right(&answer) {
                wrong.push(format!("{cut:?}: {answer:?}"));
            }
        }
    }
    assert!(
        wrong.is_empty(),
        "{} wrong:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
    assert!(
        broken.load(Ordering::Relaxed) >= cuts.len(),
        "not all cuts were played"
    );
    let requests = server.requests();
    let mut connections: Vec<u64> = requests.iter().map(|it| it.connection).collect();
    connections.dedup();
    let is_reused = connections.len() < requests.len();
    // A call that may not be repeated gets a new connection.
    assert_eq!(is_reused, !line.starts_with("POST /pay"));
    wait_until("the host still serves", || host.is_ready());
}

fn service_is_stream(received: &ReceivedRequest) -> bool {
    received.request_line.contains("/draft/")
}

/// Whether this is the first of a server's requests with its id.
fn is_first() -> impl Fn(&ReceivedRequest) -> bool + Send + Sync + 'static {
    let seen = parking_lot::Mutex::new(std::collections::BTreeSet::new());
    move |received| seen.lock().insert(received.header("attempt-id").to_owned())
}

#[test]
fn a_broken_head_of_a_call_that_may_not_be_repeated_is_a_failure_that_may_have_run() {
    check(
        "orders",
        "POST /pay/1",
        |_| true,
        |answer| answer.status == 502 && answer.is_whole,
    );
}

#[test]
fn a_broken_head_of_a_call_is_answered_by_another_attempt() {
    check("orders", "GET /look/1", is_first(), |answer| {
        answer.status == 200 && answer.is_whole && answer.body == "done"
    });
}

#[test]
fn a_broken_head_of_a_stream_is_never_a_whole_stream() {
    let whole: String = (1..=resumed::EVENTS).map(token_event).collect();
    check("pool", "POST /draft/1", is_first(), move |answer| {
        answer.status == 200 && answer.is_whole && answer.body == whole
    });
}

#[test]
fn a_call_whose_every_head_breaks_off_fails() {
    check(
        "orders",
        "GET /look/1",
        |_| true,
        |answer| answer.status >= 500 && answer.is_whole,
    );
}
