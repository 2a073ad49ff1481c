//! Idle connections stay within what a server takes from all hosts together.

use clementinearch_policy::connections::max_idle_connections;
use quickcheck::{TestResult, quickcheck};

const MOST: usize = 8;

#[test]
fn many_hosts_before_few_servers_leave_room_for_requests_that_run() {
    // All hosts come back at once before a service whose servers take 100 connections each: with 8
    // kept by each host every server was full of idle ones, and reset what came.
    for hosts in [7, 30, 102, 320] {
        let idle = hosts * max_idle_connections(100, hosts, MOST);
        assert!(idle <= 50, "{hosts} hosts keep {idle}");
    }
    assert_eq!(max_idle_connections(100, 7, MOST), 7);
    assert_eq!(max_idle_connections(100, 102, MOST), 0);
}

#[test]
fn a_server_without_a_bound_is_kept_by_the_hosts_own() {
    assert_eq!(max_idle_connections(0, 320, MOST), MOST);
}

quickcheck! {
    fn idle_connections_never_take_more_than_half(max: u32, hosts: usize) -> TestResult {
        if max == 0 || hosts == 0 || hosts > 1_000_000 {
            return TestResult::discard();
        }
        let idle = hosts as f64 * max_idle_connections(max, hosts, MOST) as f64;
        TestResult::from_bool(idle <= f64::from(max) / 2.0)
    }
}
