//! Servers that fail, hang or become unreachable are ejected, and return.

use clementinearch_policy::{
    server_health::{AttemptOutcome, ServerHealth},
    time::Millis,
};

const NOW: Millis = Millis(100_000);

fn later(ms: u64) -> Millis {
    Millis(NOW.0 + ms)
}

#[test]
fn an_unreachable_server_gets_no_request_until_it_accepts_a_connection() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Unreachable, 0.0, NOW);
    for seconds in 0..60 {
        assert!(health.is_ejected(later(seconds * 1_000)));
        assert!(!health.is_trial_due(later(seconds * 1_000)));
    }
    assert!(health.begin_probe(later(1_000)));
    assert!(!health.begin_probe(later(1_001)), "one probe at a time");
    health.record_reachable();
    assert!(!health.is_ejected(later(1_002)));
}

#[test]
fn a_server_that_fails_no_more_often_than_its_pool_stays_in_use() {
    let mut health = ServerHealth::default();
    for step in 0..200 {
        let outcome = if step % 7 == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Good
        };
        health.record(outcome, 1.0 / 7.0, later(step * 10));
        assert!(!health.is_ejected(later(step * 10)));
    }
}

#[test]
fn a_failing_server_is_ejected_and_returns_after_a_trial() {
    let mut health = ServerHealth::default();
    let mut step = 0;
    while !health.is_ejected(later(step * 10)) {
        health.record(AttemptOutcome::Failed, 0.02, later(step * 10));
        step += 1;
        assert!(step < 5, "ejected too late");
    }
    let mut now = later(step * 10);
    while health.is_ejected(now) {
        now = Millis(now.0 + 10);
    }
    assert!(health.is_trial_due(now));
    health.begin_trial(now);
    assert!(health.is_ejected(now), "no other requests during the trial");
    health.record(AttemptOutcome::Good, 0.02, Millis(now.0 + 50));
    assert!(!health.is_ejected(Millis(now.0 + 50)));
}

#[test]
fn simultaneous_failures_extend_the_ejection_once() {
    let mut health = ServerHealth::default();
    for _ in 0..50 {
        health.record(AttemptOutcome::Failed, 0.0, NOW);
    }
    assert!(health.is_ejected(later(500)));
    assert!(!health.is_ejected(later(700)));
}
