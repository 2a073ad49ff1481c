//! A host that shuts down completes its requests, and a backend server that is leaving gets no new
//! ones.

mod fleet;

use std::{io, thread::JoinHandle};

use clementinearch_border::LedgerPage;
use clementinearch_standins::{engine::whole_answer, memory_store::Faults};
use fleet::{Answer, Fleet, chat, chat_body, send, try_get, wait_until};

const TOKENS: u32 = 100;
const STREAMS: usize = 10;

/// Opens streams at a host and waits until all of them run.
fn open_streams(fleet: &Fleet, host: usize) -> Vec<JoinHandle<io::Result<Answer>>> {
    let callers = fleet.hosts[host].callers();
    let started = || fleet.started_requests(0);
    let before = started();
    let stream = |number: usize| {
        let body = chat_body(&format!("stream {number}"), TOKENS, true);
        let headers = [("authorization", "Bearer one")];
        std::thread::spawn(move || send("POST", callers, "/v1/chat/completions", &headers, &body))
    };
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    wait_until("all streams run", || started() >= before + STREAMS);
    streams
}

fn assert_complete(streams: Vec<JoinHandle<io::Result<Answer>>>) {
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream.join().unwrap().unwrap();
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(
            answer.content(),
            whole_answer("review@v1", &format!("stream {number}"), TOKENS)
        );
    }
}

/// Streams that run when a host gets SIGTERM must end complete before it exits.
#[test]
fn two_hosts_of_a_zone_shut_down_at_once_without_cutting_streams() {
    let mut fleet = Fleet::serving("", 1, &["a", "a", "a"]);
    let first = open_streams(&fleet, 0);
    let second = open_streams(&fleet, 1);
    fleet.hosts[0].process.signal("TERM");
    fleet.hosts[1].process.signal("TERM");
    wait_until("the hosts are no longer ready", || {
        !fleet.hosts[0].is_ready() && !fleet.hosts[1].is_ready()
    });
    assert_complete(first);
    assert_complete(second);
    assert!(fleet.hosts[0].process.wait() && fleet.hosts[1].process.wait());
    wait_until("the remaining host knows that they left", || {
        fleet.hosts[2].status().unwrap().hosts.len() == 1
    });
    assert_eq!(
        chat(&fleet.hosts[2], "one", &[], &chat_body("x", 1, false)).status,
        200
    );
}

/// The two hosts that shut down may be those that hold both copies of a bill.
#[test]
fn hosts_that_shut_down_during_a_store_outage_transfer_all_bills_to_the_remaining_host() {
    let mut fleet = Fleet::serving("", 1, &["a", "a", "a"]);
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Some streams end before the shutdown and some during it.
    let finished_before = open_streams(&fleet, 0);
    assert_complete(finished_before);
    let streams = open_streams(&fleet, 0);
    fleet.hosts[0].process.signal("TERM");
    fleet.hosts[1].process.signal("TERM");
    assert_complete(streams);
    assert!(fleet.hosts[0].process.wait() && fleet.hosts[1].process.wait());
    fleet.store.set_faults(Faults::default());
    let stored_bills = || {
        let pages = fleet.store.dump("ledger/");
        let pages = pages
            .iter()
            .map(|(_, text)| serde_json::from_str::<LedgerPage>(text).unwrap());
        pages
            .flat_map(|page| page.records)
            .filter(|record| record.completion_tokens == TOKENS)
            .count()
    };
    wait_until("the remaining host writes the bills", || {
        stored_bills() == 2 * STREAMS
    });
}

/// A server reports that it is leaving before the host list says so.
#[test]
fn a_leaving_server_gets_no_new_requests_though_listed_as_live() {
    let fleet = Fleet::serving("", 2, &["a", "a"]);
    let started = || fleet.started_requests(0);
    fleet.set_backend_faults(0, "announces=1");
    // The server reports that it is leaving but still accepts requests, so that any request which a
    // host sends it is counted.
    let knows_leaving_server = |host: usize| {
        let (_, text) = try_get(fleet.hosts[host].admin(), "/metrics").unwrap();
        text.lines()
            .any(|line| line.starts_with("clementinearch_servers_leaving 1"))
    };
    for host in 0..2 {
        wait_until("the host knows that the server is leaving", || {
            assert_eq!(
                chat(&fleet.hosts[host], "one", &[], &chat_body("x", 1, false)).status,
                200
            );
            knows_leaving_server(host)
        });
    }
    let before = started();
    // A load spike at the same time must not change that.
    let spike: Vec<_> = (0..40)
        .map(|number| {
            let callers = fleet.hosts[number % 2].callers();
            let body = chat_body(&format!("spike {number}"), 20, false);
            let headers = [("authorization", "Bearer one")];
            std::thread::spawn(move || {
                send("POST", callers, "/v1/chat/completions", &headers, &body)
            })
        })
        .collect();
    for answer in spike {
        assert_eq!(answer.join().unwrap().unwrap().status, 200);
    }
    assert_eq!(started(), before, "a leaving server got new requests");
}
