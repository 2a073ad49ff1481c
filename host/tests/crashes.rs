//! A request that crashes every engine that runs it is refused after two crashes, and other requests
//! on these engines still get complete answers.

mod fleet;

use clementinearch_standins::engine::{CRASH_MARK, whole_answer};
use fleet::{Fleet, chat, chat_body, send, try_get, wait_until};

const ENGINES: usize = 8;
const OTHER_REQUESTS: usize = 24;
const TOKENS: u32 = 150;

fn start_fleet(zones: &[&str]) -> Fleet {
    let fleet = Fleet::serving("", ENGINES, zones);
    for host in 0..zones.len() {
        wait_until("the host has probed all engines", || {
            fleet.hosts[host].counter("clementinearch_probes_total") > 2 * ENGINES as u64
        });
    }
    fleet
}

fn crashed_engines(fleet: &Fleet) -> usize {
    (0..ENGINES)
        .filter(|number| !is_alive(fleet, *number))
        .count()
}

fn is_alive(fleet: &Fleet, number: usize) -> bool {
    std::net::TcpStream::connect(fleet.backend_address(number)).is_ok()
        && try_get(fleet.backend_address(number), "/load").is_some()
}

/// When an engine crashes, every request on it becomes a suspect. The hosts have to refuse the one at
/// fault and complete the others.
#[test]
fn a_request_crashes_at_most_two_servers_and_no_other_request_is_lost() {
    let fleet = start_fleet(&["a", "a", "b"]);
    let send_other = |number: usize| {
        let callers = fleet.hosts[number % 3].callers();
        let body = chat_body(&format!("innocent {number}"), TOKENS, true);
        let headers = [("authorization", "Bearer one")];
        std::thread::spawn(move || send("POST", callers, "/v1/chat/completions", &headers, &body))
    };
    let others: Vec<_> = (0..OTHER_REQUESTS).map(send_other).collect();
    let started = || -> usize {
        (0..ENGINES)
            .map(|number| fleet.started_requests(number))
            .sum()
    };
    wait_until("the other requests run", || started() >= OTHER_REQUESTS);
    let crashing = chat_body(&format!("{CRASH_MARK} {}", "x".repeat(10)), 5, true);
    let answer = chat(&fleet.hosts[0], "one", &[], &crashing);
    assert_eq!(
        (answer.status, answer.error().code.as_str()),
        (422, "crashes_servers"),
        "{answer:?}"
    );
    assert!(answer.error().retry_after_ms.is_some());
    assert_eq!(crashed_engines(&fleet), 2);
    // The caller retries under new ids and through every host.
    for host in [1, 2, 0, 1, 2] {
        wait_until("the host refuses the content", || {
            chat(&fleet.hosts[host], "one", &[], &crashing).status == 422
        });
    }
    assert_eq!(
        crashed_engines(&fleet),
        2,
        "the refused content crashed more servers"
    );
    for (number, other) in others.into_iter().enumerate() {
        let answer = other.join().unwrap().unwrap();
        assert!(answer.is_whole(), "request {number}: {answer:?}");
        assert_eq!(
            answer.content(),
            whole_answer("review@v1", &format!("innocent {number}"), TOKENS)
        );
    }
}

/// The hosts of the zone are killed as soon as the caller has its answer.
#[test]
fn a_block_outlives_the_hosts_of_its_zone() {
    let mut fleet = start_fleet(&["a", "a", "b"]);
    let crashing = chat_body(CRASH_MARK, 5, true);
    assert_eq!(chat(&fleet.hosts[0], "one", &[], &crashing).status, 422);
    fleet.hosts[0].process.kill();
    fleet.hosts[1].process.kill();
    assert_eq!(chat(&fleet.hosts[2], "one", &[], &crashing).status, 422);
    assert_eq!(crashed_engines(&fleet), 2);
}
