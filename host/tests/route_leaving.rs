//! Servers that say in their answers that they leave.

mod route;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use clementinearch_standins::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, signed_response,
};
use route::{Answer, Host, Platform, ok, send_request, wait_until};
use serde_json::json;

const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Requests after which each of two servers has got some.
const ROUND: usize = 20;

/// A server whose answers can be told to say that it leaves.
struct Leaver {
    name: String,
    server: Arc<ScriptedServer>,
    is_leaving: Arc<AtomicBool>,
}

impl Leaver {
    /// Adds a server that answers with `status` and `extra` header lines while it leaves.
    fn add(platform: &mut Platform, status: &'static str, extra: &'static str) -> Self {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let leaves = is_leaving.clone();
        let (name, server) = platform.add_backend("orders", "v1", move |_, received| {
            if leaves.load(Ordering::Relaxed) {
                vec![Step::Send(signed_response(received, status, extra, "done"))]
            } else {
                ok(received)
            }
        });
        Self {
            name,
            server,
            is_leaving,
        }
    }

    fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    fn requests(&self) -> usize {
        self.server.requests().len()
    }

    /// Sends requests until one has reached this server. Returns its answer.
    fn answer(&self, host: &Host) -> Answer {
        let before = self.requests();
        let mut answer = None;
        let mut number = 0;
        wait_until("a request reaches the server", || {
            number += 1;
            let id = format!("{}-{before}-{number}", self.name);
            answer = Some(send_request(host, "GET /look/1", &id, "", ""));
            self.requests() > before
        });
        answer.unwrap()
    }

    /// Sends a round of requests and checks that none of them reaches this server.
    fn check_unused(&self, host: &Host, round: &str) {
        let before = self.requests();
        let statuses = send_round(host, round);
        assert_eq!(self.requests(), before, "{round}");
        assert_eq!(statuses, [200; ROUND]);
    }
}

/// Sends a request of either kind by turns. Returns the status of each answer.
fn send_round(host: &Host, round: &str) -> Vec<u16> {
    let send = |number: usize| {
        let line = ["GET /look/1", "POST /pay/1"][number % 2];
        send_request(host, line, &format!("{round}-{number}"), "", "").status
    };
    (0..ROUND).map(send).collect()
}

fn start(status: &'static str, extra: &'static str) -> (Platform, Leaver) {
    let mut platform = Platform::new();
    let leaver = Leaver::add(&mut platform, status, extra);
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    (platform, leaver)
}

#[test]
fn a_server_gets_no_request_after_it_said_that_it_leaves() {
    let (platform, leaver) = start("200 OK", LEAVING);
    let host = &platform.hosts[0];
    leaver.answer(host);
    leaver.leave();
    let answer = leaver.answer(host);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("server-leaving"), "");
    leaver.check_unused(host, "later");
    wait_until("the host logs it once", || {
        host.logged("server_leaving").len() == 1
    });
}

#[test]
fn a_server_that_leaves_says_so_in_failures_and_refusals_too() {
    for (status, extra) in [
        ("500 Internal Server Error", LEAVING),
        (
            "503 Service Unavailable",
            "Not-Executed: 1\r\nServer-Leaving: 1\r\n",
        ),
    ] {
        let (platform, leaver) = start(status, extra);
        let host = &platform.hosts[0];
        leaver.leave();
        assert_eq!(leaver.answer(host).status, 200, "served by the other");
        leaver.check_unused(host, status);
    }
}

/// What a server said of its leaving holds until it starts anew, whatever becomes of its entry.
#[test]
fn a_leaving_server_stays_unused_when_its_entry_changes_or_returns() {
    let (platform, leaver) = start("200 OK", LEAVING);
    let host = &platform.hosts[0];
    leaver.leave();
    leaver.answer(host);
    let key = format!("servers/{}", leaver.name);
    let address = platform.address(&leaver.name);
    let knows_version = |version: &str| {
        host.logged("server_ready")
            .iter()
            .any(|line| line["server"] == leaver.name && line["why"] == version)
    };
    let entry = |sequence: u64| {
        json!({"service": "orders", "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 17, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": 1})
    };
    let revision = || host.status()["store_revision"].as_u64().unwrap();
    let before = revision();
    platform.store.put(&key, entry(2).to_string());
    wait_until("the host reads the change", || revision() > before);
    leaver.check_unused(host, "changed");
    platform.store.remove(&key);
    wait_until("the host drops the entry", || {
        !host.logged("server_gone").is_empty()
    });
    let known = host.logged("server_ready").len();
    platform.store.put(&key, entry(3).to_string());
    wait_until("the host reads the entry", || {
        host.logged("server_ready").len() > known
    });
    leaver.check_unused(host, "returned");
    leaver.is_leaving.store(false, Ordering::Relaxed);
    platform.write_entry_of_start(2, &leaver.name, "orders", "v2", address, "ready");
    wait_until("the host knows the new start", || knows_version("v2"));
    assert_eq!(leaver.answer(host).status, 200);
}

/// A server that has announced its end may cut off what it still runs.
#[test]
fn the_announced_end_of_a_server_is_no_crash_of_its_requests() {
    let mut platform = Platform::new();
    for _ in 0..3 {
        platform.add_backend("orders", "v1", |_, received| {
            let extra = format!("{LEAVING}Content-Length: 100\r\n");
            let head = signed_response(received, "200 OK", &extra, "");
            let head = head.replace("Content-Length: 0\r\n", "");
            vec![Step::Send(head), Step::Crash]
        });
    }
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..3 {
        let id = format!("cut-{number}");
        assert_eq!(send_request(host, "POST /pay/1", &id, "", "").status, 502);
    }
    let status = host.status();
    assert_eq!(status["suspect_contents"], 0);
    assert_eq!(status["blocked_contents"], 0);
}

/// Another server at the same address speaks for itself alone.
#[test]
fn a_misdirected_answer_does_not_say_that_the_addressed_server_leaves() {
    let mut platform = Platform::new();
    let is_other = Arc::new(AtomicBool::new(true));
    let other = is_other.clone();
    let (_, server) = platform.add_backend("orders", "v1", move |_, received: &ReceivedRequest| {
        if other.load(Ordering::Relaxed) {
            vec![Step::Send(signed_response(
                received,
                "421 Misdirected Request",
                LEAVING,
                "",
            ))]
        } else {
            ok(received)
        }
    });
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    send_request(host, "POST /pay/1", "misdirected", "", "");
    assert_eq!(server.requests().len(), 1);
    is_other.store(false, Ordering::Relaxed);
    let mut number = 0;
    wait_until("the server is used again", || {
        number += 1;
        send_request(host, "POST /pay/1", &format!("id-{number}"), "", "").status == 200
    });
}

/// Nothing is left to wait for: the caller learns at once that nothing has run.
#[test]
fn a_request_is_refused_at_once_when_all_servers_leave() {
    let mut platform = Platform::new();
    let leaver = Leaver::add(&mut platform, "200 OK", LEAVING);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    leaver.leave();
    leaver.answer(host);
    let answer = send_request(host, "POST /pay/1", "refused", "", "");
    assert_eq!(answer.status, 503);
    assert_ne!(answer.header("retry-after"), "");
    assert_eq!(leaver.requests(), 1);
}
