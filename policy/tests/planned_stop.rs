//! Which requests are taken during planned stops.

use std::time::Duration;

use clementinearch_policy::{planned_stop::PlannedStop, routes::RouteKind, time::Millis};

const BEGIN: Millis = Millis(1_000_000);

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

/// Time from one request to the next.
const STEP: Duration = Duration::from_millis(50);

/// Goes through a stop, and calls `check` with the stop, its grace and the time spent of it.
fn for_each_moment(check: impl Fn(PlannedStop, Duration, Duration)) {
    for grace_s in [1, 4, 8, 30] {
        let grace = Duration::from_secs(grace_s);
        let mut spent = Duration::ZERO;
        while spent <= grace {
            check(PlannedStop::new(BEGIN, grace), grace, spent);
            spent += STEP;
        }
    }
}

#[test]
fn requests_that_end_in_time_are_taken_and_others_are_not_once_the_stop_is_noticed() {
    for_each_moment(|stop, grace, spent| {
        let left = stop.responses_due().since(BEGIN.after(spent));
        for kind in KINDS {
            let takes = |limit: Duration| stop.takes(kind, limit, BEGIN.after(spent));
            if left > STEP {
                assert!(
                    takes(left.saturating_sub(STEP)),
                    "{kind:?} {grace:?} {spent:?}"
                );
            }
            if spent >= grace / 2 {
                assert!(!takes(left), "{kind:?} {grace:?} {spent:?}");
            }
        }
    });
}

#[test]
fn a_call_that_may_not_be_repeated_is_never_taken_if_it_might_be_cut() {
    for_each_moment(|stop, grace, spent| {
        let now = BEGIN.after(spent);
        let left = stop.responses_due().since(now);
        for limit in [left, left + STEP, grace, Duration::MAX] {
            assert!(
                !stop.takes(RouteKind::NonIdempotent, limit, now),
                "{grace:?} {spent:?}"
            );
        }
    });
}

#[test]
fn long_requests_that_may_be_repeated_are_taken_until_callers_can_know_of_the_stop() {
    let stop = PlannedStop::new(BEGIN, Duration::from_secs(8));
    let takes = |kind, spent_ms| {
        let now = BEGIN.after(Duration::from_millis(spent_ms));
        stop.takes(kind, Duration::from_secs(20), now)
    };
    for kind in KINDS {
        assert_eq!(takes(kind, 2_000), kind != RouteKind::NonIdempotent);
        assert!(!takes(kind, 3_000));
    }
}
