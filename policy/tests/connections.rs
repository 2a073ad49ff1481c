//! Limit on idle connections to servers that accept a bounded number from all hosts together.

use clementinearch_policy::connections::max_idle_connections;
use quickcheck::{TestResult, quickcheck};

const UPPER_BOUND: usize = 8;

#[test]
fn idle_connections_of_many_hosts_leave_room_for_running_requests() {
    // The servers accept 100 connections each. If all hosts of a large fleet return at once and
    // each keeps 8 idle connections, idle ones fill every server, which then resets new
    // connections.
    for hosts in [7, 30, 102, 320] {
        let idle = hosts * max_idle_connections(100, hosts, UPPER_BOUND);
        assert!(idle <= 50, "{hosts} hosts keep {idle}");
    }
    assert_eq!(max_idle_connections(100, 7, UPPER_BOUND), 7);
    assert_eq!(max_idle_connections(100, 102, UPPER_BOUND), 0);
}

#[test]
fn without_a_server_limit_the_upper_bound_applies() {
    assert_eq!(max_idle_connections(0, 320, UPPER_BOUND), UPPER_BOUND);
}

quickcheck! {
    fn idle_connections_use_at_most_half(max: u32, hosts: usize) -> TestResult {
        if max == 0 || hosts == 0 || hosts > 1_000_000 {
            return TestResult::discard();
        }
        let idle = hosts as f64 * max_idle_connections(max, hosts, UPPER_BOUND) as f64;
        TestResult::from_bool(idle <= f64::from(max) / 2.0)
    }
}
