//! Retries of all hosts together stay within the fleet-wide limit in every window.

use std::time::Duration;

use clementinearch_policy::{
    retry_budget::{RetryBudget, RetryLimit},
    time::Millis,
};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.9,
    slack: 54.0,
    window: Duration::from_secs(10),
};

/// Requests are spread unevenly over the hosts, and each takes as many retries as the budget
/// allows.
#[test]
fn hosts_with_uneven_traffic_stay_within_the_fleet_wide_limit() {
    const HOSTS: usize = 7;
    let mut budgets = vec![RetryBudget::default(); HOSTS];
    let mut first_attempts = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..60_000_u64).step_by(10) {
        let now = Millis(ms);
        // A burst of three times the traffic in the middle, nearly half of it at host 0.
        let requests = if (20_000..30_000).contains(&ms) { 3 } else { 1 };
        for request in 0..requests {
            let host = if request == 0 {
                0
            } else {
                (ms as usize / 10 + request) % HOSTS
            };
            budgets[host].record_first_attempt(&LIMIT, now);
            first_attempts.push(ms);
            while budgets[host].try_take(&LIMIT, HOSTS, now) {
                retries.push(ms);
            }
        }
    }
    let window = LIMIT.window.as_millis() as u64;
    for begin in (0..50_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|ms| (begin..begin + window).contains(*ms))
                .count() as f64
        };
        let allowed = LIMIT.ratio * within(&first_attempts) + LIMIT.slack;
        let taken = within(&retries);
        assert!(
            taken <= allowed,
            "{taken} retries from {begin} ms, {allowed} allowed"
        );
    }
    assert!(retries.len() as f64 > 0.5 * LIMIT.ratio * first_attempts.len() as f64);
}

#[test]
fn a_host_without_traffic_has_only_its_share_of_the_slack() {
    let mut budget = RetryBudget::default();
    let now = Millis(5_000);
    let taken = (0..100).filter(|_| budget.try_take(&LIMIT, 6, now)).count();
    assert!((1..=9).contains(&taken), "{taken} retries");
}
