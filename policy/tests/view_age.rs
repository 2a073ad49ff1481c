//! The age of the view of a host that reads the store for others.

use std::time::Duration;

use clementinearch_policy::view_age::{MAX_VIEW_AGE, watch_wait};

/// Longest pause between two reads: the usual period with its jitter.
const MAX_PAUSE: Duration = Duration::from_millis(770);

/// Longest time that a sound store takes for an answer.
const MAX_LATENCY: Duration = Duration::from_millis(200);

/// The store is by turns busy, so that reads return at once, and idle.
#[test]
fn followers_of_a_sound_relay_never_find_its_view_too_old() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..10_000 {
        let pause = MAX_PAUSE.mul_f64(rng.f64());
        let wait = watch_wait(pause);
        let spent = if rng.bool() {
            wait
        } else {
            wait.mul_f64(rng.f64())
        };
        let age = pause + spent + MAX_LATENCY.mul_f64(rng.f64());
        assert!(age <= MAX_VIEW_AGE, "{age:?} after a pause of {pause:?}");
    }
}

#[test]
fn an_idle_store_is_asked_no_more_than_once_a_second() {
    assert_eq!(watch_wait(Duration::ZERO), Duration::from_secs(1));
}
