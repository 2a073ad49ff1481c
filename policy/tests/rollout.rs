//! Simulated rollouts: good versions complete in time, and bad ones are rolled back with little
//! exposure.

use std::time::Duration;

use clementinearch_policy::rollout::{
    RolloutStep, VersionCounts, canary_share, is_worse, next_step,
};

const LIMIT: Duration = Duration::from_secs(24);

/// Simulates a rollout at `rate` requests per second. `old_bad` is the old version's rate of bad
/// answers, and `new_bad` the new version's at the elapsed time. Returns the last step, its time,
/// and the number of requests that the new version got.
fn simulate(
    rate: f64,
    old_bad: f64,
    new_bad: impl Fn(Duration) -> f64,
    seed: u64,
) -> (RolloutStep, Duration, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut new, mut old) = (VersionCounts::default(), VersionCounts::default());
    let mut exposed = 0;
    let tick = Duration::from_millis(250);
    let mut elapsed = Duration::ZERO;
    loop {
        let step = next_step(elapsed, LIMIT, canary_share(7), new, old);
        let RolloutStep::Share(share) = step else {
            return (step, elapsed, exposed);
        };
        for _ in 0..(rate * tick.as_secs_f64()) as u64 {
            let is_new = rng.f64() < share;
            let bad_rate = if is_new { new_bad(elapsed) } else { old_bad };
            let counts = if is_new { &mut new } else { &mut old };
            exposed += u64::from(is_new);
            if rng.f64() < bad_rate {
                counts.bad += 1;
            } else {
                counts.good += 1;
            }
        }
        elapsed += tick;
        assert!(
            elapsed <= LIMIT,
            "neither completed nor rolled back in time"
        );
    }
}

#[test]
fn a_good_version_is_completed_in_time() {
    for seed in 0..50 {
        let (step, at, _) = simulate(60.0, 0.005, |_| 0.005, seed);
        assert_eq!(step, RolloutStep::Complete, "seed {seed}");
        assert!(at < LIMIT);
    }
}

#[test]
fn a_good_version_of_a_service_that_often_fails_is_completed() {
    for seed in 0..50 {
        let (step, _, _) = simulate(60.0, 0.08, |_| 0.08, seed);
        assert_eq!(step, RolloutStep::Complete, "seed {seed}");
    }
}

#[test]
fn a_bad_version_is_rolled_back_within_the_bound_on_exposure() {
    // Required bound: 15 % of the service's requests within the time limit, plus 30.
    let bound = 0.15 * 60.0 * LIMIT.as_secs_f64() + 30.0;
    for seed in 0..50 {
        let (step, _, exposed) = simulate(60.0, 0.005, |_| 0.35, seed);
        assert_eq!(step, RolloutStep::RollBack, "seed {seed}");
        assert!((exposed as f64) < bound, "seed {seed}: {exposed} requests");
    }
}

#[test]
fn a_version_that_turns_bad_late_is_rolled_back_within_the_bound() {
    let bound = 0.15 * 60.0 * LIMIT.as_secs_f64() + 30.0;
    for seed in 0..50 {
        for turns in [3, 6, 9] {
            let bad_rate = move |elapsed: Duration| {
                if elapsed >= Duration::from_secs(turns) {
                    0.5
                } else {
                    0.005
                }
            };
            let (step, _, exposed) = simulate(60.0, 0.005, bad_rate, seed);
            assert_eq!(
                step,
                RolloutStep::RollBack,
                "seed {seed}, turns bad after {turns} s"
            );
            assert!((exposed as f64) < bound, "seed {seed}: {exposed} requests");
        }
    }
}

#[test]
fn a_version_without_enough_answers_is_not_completed() {
    let untested = VersionCounts { good: 1, bad: 0 };
    let old = VersionCounts { good: 900, bad: 4 };
    let step = next_step(LIMIT, LIMIT, canary_share(7), untested, old);
    assert!(matches!(step, RolloutStep::Share(_)), "{step:?}");
}

#[test]
fn the_share_does_not_grow_while_the_version_looks_worse() {
    let old = VersionCounts { good: 900, bad: 4 };
    let busy_old = VersionCounts {
        good: 3_000,
        bad: 660,
    };
    let few_bad = VersionCounts { good: 8, bad: 4 };
    let often_bad = VersionCounts { good: 24, bad: 16 };
    let canary = canary_share(7);
    for (doubtful, old) in [(few_bad, old), (often_bad, busy_old)] {
        assert!(!is_worse(doubtful, old));
        for elapsed in [0.55, 0.7, 0.8, 1.0] {
            let step = next_step(LIMIT.mul_f64(elapsed), LIMIT, canary, doubtful, old);
            assert_eq!(step, RolloutStep::Share(canary), "{doubtful:?}");
        }
    }
    let cleared = VersionCounts { good: 200, bad: 4 };
    let step = next_step(LIMIT.mul_f64(0.8), LIMIT, canary, cleared, old);
    assert_eq!(step, RolloutStep::Complete);
}

#[test]
fn few_failures_are_not_conclusive() {
    let new = VersionCounts { good: 3, bad: 3 };
    assert!(!is_worse(new, VersionCounts { good: 300, bad: 1 }));
}
