//! Suspicions, verdicts and trials.

use std::time::Duration;

use clementinearch_policy::{
    names::Name,
    suspect::{LIFETIME, Standing, Suspects},
    time::Millis,
};

const NOW: Millis = Millis(1_000_000);

#[test]
fn a_crash_makes_a_suspect_and_a_crash_on_trial_convicts_for_a_time() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.standing(1, NOW), Standing::Clear);
    assert_eq!(suspects.note_crash(1, false, NOW), Standing::Suspect);
    assert_eq!(suspects.note_crash(1, false, NOW), Standing::Suspect);
    let until = NOW.after(LIFETIME);
    assert_eq!(
        suspects.note_crash(1, true, NOW),
        Standing::Convicted(until)
    );
    assert_eq!(
        suspects.standing(1, until.after(Duration::from_millis(1))),
        Standing::Clear
    );
}

#[test]
fn two_suspects_never_share_a_server() {
    let mut suspects = Suspects::default();
    let server = Name::from("s1");
    assert!(suspects.begin_trial(1, &server, NOW));
    assert!(suspects.begin_trial(2, &Name::from("s2"), NOW));
    assert!(!suspects.begin_trial(3, &server, NOW));
    suspects.end_trial(3, &server);
    assert!(
        !suspects.begin_trial(3, &server, NOW),
        "only the suspect on trial ends it"
    );
    suspects.end_trial(1, &server);
    assert!(suspects.begin_trial(3, &server, NOW));
}

#[test]
fn a_verdict_outlives_a_clearing_that_comes_later_and_a_clearing_ends_a_suspicion() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.note_crash(7, false, NOW);
    assert!(two.merge(&one.rows(NOW), NOW));
    assert_eq!(two.standing(7, NOW), Standing::Suspect);
    let later = NOW.after(Duration::from_secs(1));
    two.clear(7, later);
    assert!(one.merge(&two.rows(later), later));
    assert_eq!(one.standing(7, later), Standing::Clear);
    one.note_crash(7, true, later);
    two.clear(7, later.after(Duration::from_secs(1)));
    assert!(!one.merge(&two.rows(later), later));
    assert!(matches!(one.standing(7, later), Standing::Convicted(_)));
}
