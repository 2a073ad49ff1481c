//! Which responses of another host may begin or continue a stream, at a host that reaches no server
//! itself.

mod resumed;
mod route;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{ScriptedServer, Step},
};
use resumed::{
    Break, Cases, EVENTS, Framing, Outcome, SEAL, Spoiled, Variant, broken_heads, events, last_id,
    response,
};
use route::{Host, Platform, send_request, wait_until};
use serde_json::json;

/// Period of the reports by which a host takes the stand-in for one of its peers.
const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// A stand-in for another host, which serves forwarded requests as the cases say.
struct Peer {
    is_stopped: Arc<AtomicBool>,
    reports: Option<JoinHandle<()>>,
}

impl Peer {
    fn start(host: SocketAddr, cases: &Cases) -> Self {
        let respond = cases.responder();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = ScriptedServer::start(any, move |_, received| {
            respond(received).unwrap_or_else(|| {
                let id = received.header("attempt-id");
                let head = format!("404 Not Found\r\nAttempt-Id: {id}\r\nContent-Length: 0");
                vec![Step::Send(format!("HTTP/1.1 {head}\r\n\r\n"))]
            })
        });
        let report = json!({"Word": {"from": "peer", "zone": "b", "address": server.unwrap().address(), "store_revision": 0, "rollouts": [], "suspects": [], "serves_forwarded": true}});
        let socket = UdpSocket::bind(any).unwrap();
        let is_stopped = Arc::<AtomicBool>::default();
        let stopped = is_stopped.clone();
        let reports = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                // A lost report is made up for by the next one.
                let _ = socket.send_to(report.to_string().as_bytes(), host);
                thread::sleep(REPORT_PERIOD);
            }
        });
        Self {
            is_stopped,
            reports: Some(reports),
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(reports) = self.reports.take() {
            let _ = reports.join();
        }
    }
}

fn lose_servers(host: &Host) {
    wait_until("the host knows that it is cut off", || {
        send_request(host, "POST /draft/1", "first", "", "");
        host.status()["reaches_servers"] == false
    });
}

/// Plays the cases at a host that reaches no server and has one peer.
fn check(cases: &Cases, is_right: impl Fn(&Outcome) -> bool) {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", |_, _| Vec::new());
    platform.start_linked_hosts(1);
    platform.set_links(0, LinkState::Resetting);
    let host = &platform.hosts[0];
    let _peer = Peer::start(host.peers(), cases);
    lose_servers(host);
    wait_until("the host knows its peer", || host.status()["hosts"] == 2);
    cases.check_at(host, is_right);
}

fn spoiled_cases(variants: &[Variant], events: &[u64]) -> Cases {
    let mut cases = Cases::new();
    for how in [Break::Close, Break::EndInsideEvent] {
        for events in events {
            for spoiled in [Spoiled::Once, Spoiled::Always] {
                cases.add(variants, *events, how, spoiled);
            }
        }
    }
    cases
}

/// Events that follow, by which the caller would take a joined body for the rest of the stream.
fn forged(after: u64) -> String {
    let event = |id: u64| format!("id: {id}\ndata: forged {id}\n\n");
    (after + 1..=EVENTS).map(event).collect()
}

/// Bodies of forged events under this status, in each framing, with `extra` header lines.
fn forged_variants(status: &'static str, extra: &'static str) -> Vec<Variant> {
    let of_framing = |framing| {
        Variant::new(format!("{status} {extra:?} {framing:?}"), move |received| {
            response(received, status, extra, framing, &forged(last_id(received)))
        })
    };
    Framing::ALL.into_iter().map(of_framing).collect()
}

#[test]
fn responses_of_a_peer_without_signature_do_not_join_a_stream() {
    let variants = forged_variants("200 OK", "");
    check(
        &spoiled_cases(&variants, &[0, 1, 3]),
        Outcome::is_whole_or_broken,
    );
}

#[test]
fn encoded_responses_of_a_peer_do_not_join_a_stream() {
    let variants = forged_variants("200 OK", "Server-Seal: seal\r\nContent-Encoding: gzip\r\n");
    check(
        &spoiled_cases(&variants, &[0, 1, 3]),
        Outcome::is_whole_or_broken,
    );
}

#[test]
fn responses_of_a_peer_to_another_request_do_not_join_a_stream() {
    let variants = [Variant::new("another id", |received| {
        let mut other = received.clone();
        for (name, value) in &mut other.headers {
            if name == "attempt-id" {
                *value = "other".to_owned();
            }
        }
        response(
            &other,
            "200 OK",
            SEAL,
            Framing::Chunks,
            &forged(last_id(received)),
        )
    })];
    check(
        &spoiled_cases(&variants, &[0, 1, 3]),
        Outcome::is_whole_or_broken,
    );
}

/// A peer has used up the attempts of a request that it fails, so that no other is asked.
#[test]
fn failures_of_a_peer_do_not_join_a_stream() {
    let mut variants = Vec::new();
    for status in [
        "404 Not Found",
        "500 Internal Server Error",
        "502 Bad Gateway",
        "503 Service Unavailable",
    ] {
        for seal in [SEAL, ""] {
            variants.extend(forged_variants(status, seal));
        }
    }
    check(
        &spoiled_cases(&variants, &[1, 3]),
        Outcome::is_visibly_broken,
    );
}

#[test]
fn text_of_an_error_of_a_peer_does_not_join_a_stream() {
    let mut variants = Vec::new();
    for text in [
        "upstream connect error",
        "upstream connect error\n\n",
        "event: error\ndata: overloaded\n\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "id: 0\ndata: earlier\n\n",
    ] {
        variants.extend(Variant::of_body(&format!("{text:?}"), move |_| {
            text.to_owned()
        }));
    }
    // The first of a stream may have any number.
    check(
        &spoiled_cases(&variants, &[1, 3]),
        Outcome::is_whole_or_broken,
    );
}

#[test]
fn a_peer_that_sends_no_event_has_not_completed_a_stream() {
    let variants = Variant::of_body("empty", |_| String::new());
    check(&spoiled_cases(&variants, &[0]), Outcome::is_whole_or_broken);
}

#[test]
fn a_stream_of_a_peer_that_breaks_off_after_its_last_event_is_complete() {
    let variants = Variant::of_body("nothing left", |after| events(after + 1..=EVENTS));
    let mut cases = Cases::new();
    cases.add(&variants, EVENTS, Break::Close, Spoiled::Always);
    check(&cases, Outcome::is_whole_stream);
}

/// The caller may have broken off between the last event and the end itself.
#[test]
fn a_stream_of_a_peer_that_the_caller_resumes_after_its_last_event_is_complete() {
    let variants = Variant::of_body("nothing left", |after| events(after + 1..=EVENTS));
    let mut cases = Cases::new().resumed_after(EVENTS);
    cases.add(&variants, 0, Break::Close, Spoiled::Always);
    check(&cases, Outcome::is_whole_stream);
}

/// Continuations at a peer that breaks off inside the head.
fn cases_of_broken_heads() -> Cases {
    let mut cases = Cases::new();
    for spoiled in [Spoiled::Once, Spoiled::Always] {
        cases.add(&broken_heads(), 2, Break::Close, spoiled);
    }
    cases
}

#[test]
fn a_head_of_a_peer_that_breaks_off_does_not_end_a_stream_as_whole() {
    check(&cases_of_broken_heads(), |outcome| {
        outcome.is_whole_stream() || outcome.is_visibly_broken()
    });
}

#[test]
fn a_stream_goes_on_at_the_only_peer_after_it_broke_off_inside_a_head() {
    check(&cases_of_broken_heads(), Outcome::is_whole_or_broken);
}
