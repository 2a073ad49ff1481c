//! Repeats of all hosts together keep to the fleet's bound in every window.

use std::time::Duration;

use clementinearch_policy::{
    retry_budget::{RetryBudget, RetryLimit},
    time::Millis,
};

const BOUND: RetryLimit = RetryLimit {
    ratio: 0.9,
    slack: 54.0,
    window: Duration::from_secs(10),
};

/// Every request asks for as many repeats as it gets; requests come unevenly to the hosts.
#[test]
fn hosts_with_uneven_traffic_keep_to_the_fleets_bound() {
    const HOSTS: usize = 7;
    let mut budgets = vec![RetryBudget::default(); HOSTS];
    let mut firsts = Vec::new();
    let mut repeats = Vec::new();
    for ms in (0..60_000_u64).step_by(10) {
        let now = Millis(ms);
        // A burst of three times the traffic in the middle, half of it at one host.
        let requests = if (20_000..30_000).contains(&ms) { 3 } else { 1 };
        for request in 0..requests {
            let host = if request == 0 {
                0
            } else {
                (ms as usize / 10 + request) % HOSTS
            };
            budgets[host].record_first_attempt(&BOUND, now);
            firsts.push(ms);
            while budgets[host].try_take(&BOUND, HOSTS, now) {
                repeats.push(ms);
            }
        }
    }
    let window = BOUND.window.as_millis() as u64;
    for begin in (0..50_000).step_by(500) {
        let within = |moments: &[u64]| {
            moments
                .iter()
                .filter(|ms| (begin..begin + window).contains(*ms))
                .count() as f64
        };
        let allowed = BOUND.ratio * within(&firsts) + BOUND.slack;
        let seen = within(&repeats);
        assert!(
            seen <= allowed,
            "{seen} repeats from {begin} ms, {allowed} allowed"
        );
    }
    assert!(repeats.len() as f64 > 0.5 * BOUND.ratio * firsts.len() as f64);
}

#[test]
fn a_host_without_traffic_has_its_part_of_the_slack_only() {
    let mut budget = RetryBudget::default();
    let now = Millis(5_000);
    let taken = (0..100).filter(|_| budget.try_take(&BOUND, 6, now)).count();
    assert!((1..=9).contains(&taken), "{taken} repeats");
}
