//! Suspicion, trial, blocking and clearing of request contents.

use std::time::Duration;

use clementinearch_policy::{
    crash_suspects::{ContentStatus, CrashSuspects, SUSPICION_LIFETIME},
    names::Name,
    time::Millis,
};

const NOW: Millis = Millis(1_000_000);

#[test]
fn a_crash_makes_a_suspect_and_a_crash_on_trial_blocks_for_a_limited_time() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.status(1, NOW), ContentStatus::Clear);
    assert_eq!(suspects.record_crash(1, false, NOW), ContentStatus::Suspect);
    assert_eq!(suspects.record_crash(1, false, NOW), ContentStatus::Suspect);
    let until = NOW.after(SUSPICION_LIFETIME);
    assert_eq!(
        suspects.record_crash(1, true, NOW),
        ContentStatus::Blocked(until)
    );
    assert_eq!(
        suspects.status(1, until.after(Duration::from_millis(1))),
        ContentStatus::Clear
    );
}

#[test]
fn two_trials_never_share_a_server() {
    let mut suspects = CrashSuspects::default();
    let server = Name::from("s1");
    assert!(suspects.begin_trial(1, &server, NOW));
    assert!(suspects.begin_trial(2, &Name::from("s2"), NOW));
    assert!(!suspects.begin_trial(3, &server, NOW));
    suspects.end_trial(3, &server);
    assert!(
        !suspects.begin_trial(3, &server, NOW),
        "only the content on trial can end the trial"
    );
    suspects.end_trial(1, &server);
    assert!(suspects.begin_trial(3, &server, NOW));
}

#[test]
fn clearing_ends_a_suspicion_but_not_a_block() {
    let (mut one, mut two) = (CrashSuspects::default(), CrashSuspects::default());
    one.record_crash(7, false, NOW);
    assert!(two.merge(&one.rows(NOW), NOW));
    assert_eq!(two.status(7, NOW), ContentStatus::Suspect);
    let later = NOW.after(Duration::from_secs(1));
    two.clear(7, later);
    assert!(one.merge(&two.rows(later), later));
    assert_eq!(one.status(7, later), ContentStatus::Clear);
    one.record_crash(7, true, later);
    two.clear(7, later.after(Duration::from_secs(1)));
    assert!(!one.merge(&two.rows(later), later));
    assert!(matches!(one.status(7, later), ContentStatus::Blocked(_)));
}
