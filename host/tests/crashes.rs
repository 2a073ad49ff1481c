//! A request that crashes each server that runs it: few servers fall, innocents are answered.

mod fleet;

use clementinearch_standins::engine::{CRASH_MARK, whole_answer};
use fleet::{Fleet, chat, chat_body, send, try_get, wait_until};

const ENGINES: usize = 8;
const INNOCENTS: usize = 24;
const TOKENS: u32 = 150;

fn fleet_of(zones: &[&str]) -> Fleet {
    let fleet = Fleet::serving("", ENGINES, zones);
    for host in 0..zones.len() {
        wait_until("all engines are known", || {
            fleet.hosts[host].counter("clementinearch_probes_total") > 2 * ENGINES as u64
        });
    }
    fleet
}

fn crashed(fleet: &Fleet) -> usize {
    (0..ENGINES)
        .filter(|number| try_get_alive(fleet, *number).is_none())
        .count()
}

fn try_get_alive(fleet: &Fleet, number: usize) -> Option<()> {
    std::net::TcpStream::connect(fleet.backend_address(number)).ok()?;
    try_get(fleet.backend_address(number), "/load").map(|_| ())
}

#[test]
fn one_request_crashes_two_servers_at_most_and_no_innocent_is_lost() {
    let fleet = fleet_of(&["a", "a", "b"]);
    let innocent = |number: usize| {
        let callers = fleet.hosts[number % 3].callers();
        let body = chat_body(&format!("innocent {number}"), TOKENS, true);
        let headers = [("authorization", "Bearer one")];
        std::thread::spawn(move || send("POST", callers, "/v1/chat/completions", &headers, &body))
    };
    let innocents: Vec<_> = (0..INNOCENTS).map(innocent).collect();
    let running = || -> usize {
        let starts = |number| fleet.started_requests(number);
        (0..ENGINES).map(starts).sum()
    };
    wait_until("the innocents run", || running() >= INNOCENTS);
    let deadly = chat_body(&format!("{CRASH_MARK} {}", "x".repeat(10)), 5, true);
    let answer = chat(&fleet.hosts[0], "one", &[], &deadly);
    assert_eq!(
        (answer.status, answer.error().code.as_str()),
        (422, "crashes_servers"),
        "{answer:?}"
    );
    assert!(answer.error().retry_after_ms.is_some());
    assert_eq!(crashed(&fleet), 2);
    // The caller sends it again, under a new id and through every host.
    for host in [1, 2, 0, 1, 2] {
        wait_until("the verdict is known", || {
            chat(&fleet.hosts[host], "one", &[], &deadly).status == 422
        });
    }
    assert_eq!(crashed(&fleet), 2, "the same content crashed more servers");
    for (number, innocent) in innocents.into_iter().enumerate() {
        let answer = innocent.join().unwrap().unwrap();
        assert!(answer.is_whole(), "innocent {number}: {answer:?}");
        assert_eq!(
            answer.content(),
            whole_answer("review@v1", &format!("innocent {number}"), TOKENS)
        );
    }
}
