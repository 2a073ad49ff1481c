//! Small models first, larger ones where the small model's own opinion is low.

use clementinearch_policy::sizing::{SizingQuery, first_size, next_size};

const QUERY: SizingQuery = SizingQuery {
    sizes: 3,
    attempts_left: 2,
    is_resumed: false,
    accepted_confidence: 60,
};

#[test]
fn the_smallest_size_is_asked_first_if_it_can_be_dropped() {
    assert_eq!(first_size(&QUERY), 0);
    let last = SizingQuery {
        attempts_left: 1,
        ..QUERY
    };
    assert_eq!(
        first_size(&last),
        2,
        "a run that cannot be repeated is right at once"
    );
}

#[test]
fn an_answer_that_its_model_doubts_is_made_again_by_the_largest() {
    assert_eq!(next_size(&QUERY, 0, Some(59), 0.1, 0.1), Some(2));
    assert_eq!(next_size(&QUERY, 0, Some(60), 0.1, 0.1), None);
    assert_eq!(
        next_size(&QUERY, 2, Some(1), 0.1, 0.1),
        None,
        "there is no larger one"
    );
    assert_eq!(
        next_size(&QUERY, 0, None, 0.1, 0.1),
        None,
        "the model says nothing"
    );
}

#[test]
fn no_answer_is_dropped_that_could_not_be_made_again() {
    let spent = SizingQuery {
        attempts_left: 0,
        ..QUERY
    };
    assert_eq!(next_size(&spent, 0, Some(1), 0.1, 0.1), None);
    let resumed = SizingQuery {
        is_resumed: true,
        ..QUERY
    };
    assert_eq!(
        next_size(&resumed, 0, Some(1), 0.1, 0.1),
        None,
        "the caller has a part of it"
    );
    assert_eq!(
        next_size(&QUERY, 0, Some(1), 0.9, 0.1),
        None,
        "no time is left for another"
    );
}

#[test]
fn an_answer_that_could_only_come_too_late_is_made_again_only_if_it_is_very_poor() {
    assert_eq!(next_size(&QUERY, 0, Some(50), 0.2, 0.9), None);
    assert_eq!(next_size(&QUERY, 0, Some(20), 0.2, 0.9), Some(2));
}

/// Two models, an opinion that is roughly right: cost of both runs counted, per request worth one.
#[test]
fn small_first_beats_each_fixed_size() {
    const LARGE_COST: f64 = 0.2;
    const SMALL_COST: f64 = 0.015;
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut cascade, mut small, mut large) = (0.0, 0.0, 0.0);
    const REQUESTS: u32 = 20_000;
    for _ in 0..REQUESTS {
        let is_easy = rng.f64() < 0.58;
        let opinion = if is_easy { 75.0 } else { 30.0 } + 30.0 * (rng.f64() - 0.5);
        small += f64::from(u8::from(is_easy)) - SMALL_COST;
        large += 1.0 - LARGE_COST;
        cascade += match next_size(&QUERY, 0, Some(opinion as u8), 0.1, 0.1) {
            Some(_) => 1.0 - LARGE_COST - SMALL_COST,
            None => f64::from(u8::from(is_easy)) - SMALL_COST,
        };
    }
    let ideal = f64::from(REQUESTS) * (0.58 * (1.0 - SMALL_COST) + 0.42 * (1.0 - LARGE_COST));
    assert!(cascade > small && cascade > large);
    assert!(cascade > 0.97 * ideal, "{cascade} of {ideal}");
}
