//! Choice of the model size: the smallest first, and the largest after an answer of low confidence.

use clementinearch_policy::sizing::{SizingQuery, first_size, next_size};

const QUERY: SizingQuery = SizingQuery {
    sizes: 3,
    attempts_left: 2,
    is_resumed: false,
    accepted_confidence: 60,
};

#[test]
fn the_smallest_size_is_first_if_its_answer_can_be_replaced() {
    assert_eq!(first_size(&QUERY), 0);
    let last = SizingQuery {
        attempts_left: 1,
        ..QUERY
    };
    assert_eq!(
        first_size(&last),
        2,
        "without a second attempt, the largest is first"
    );
}

#[test]
fn an_answer_of_low_confidence_is_replaced_by_the_largest_models() {
    assert_eq!(next_size(&QUERY, 0, Some(59), 0.1, 0.1), Some(2));
    assert_eq!(next_size(&QUERY, 0, Some(60), 0.1, 0.1), None);
    assert_eq!(
        next_size(&QUERY, 2, Some(1), 0.1, 0.1),
        None,
        "there is no larger size"
    );
    assert_eq!(
        next_size(&QUERY, 0, None, 0.1, 0.1),
        None,
        "the model reports no confidence"
    );
}

#[test]
fn no_answer_is_rejected_that_cannot_be_replaced() {
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
        "the caller already has a part of the answer"
    );
    assert_eq!(
        next_size(&QUERY, 0, Some(1), 0.9, 0.1),
        None,
        "no time is left for another answer"
    );
}

#[test]
fn an_answer_whose_replacement_would_be_late_is_replaced_only_at_very_low_confidence() {
    assert_eq!(next_size(&QUERY, 0, Some(50), 0.2, 0.9), None);
    assert_eq!(next_size(&QUERY, 0, Some(20), 0.2, 0.9), Some(2));
}

/// A good answer is worth one, the costs of all runs are deducted, and the reported confidence is
/// roughly right.
#[test]
fn smallest_first_beats_each_fixed_size() {
    const LARGE_COST: f64 = 0.2;
    const SMALL_COST: f64 = 0.015;
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut cascade, mut small, mut large) = (0.0, 0.0, 0.0);
    const REQUESTS: u32 = 20_000;
    for _ in 0..REQUESTS {
        let is_easy = rng.f64() < 0.58;
        let confidence = if is_easy { 75.0 } else { 30.0 } + 30.0 * (rng.f64() - 0.5);
        small += f64::from(u8::from(is_easy)) - SMALL_COST;
        large += 1.0 - LARGE_COST;
        cascade += match next_size(&QUERY, 0, Some(confidence as u8), 0.1, 0.1) {
            Some(_) => 1.0 - LARGE_COST - SMALL_COST,
            None => f64::from(u8::from(is_easy)) - SMALL_COST,
        };
    }
    let ideal = f64::from(REQUESTS) * (0.58 * (1.0 - SMALL_COST) + 0.42 * (1.0 - LARGE_COST));
    assert!(cascade > small && cascade > large);
    assert!(cascade > 0.97 * ideal, "{cascade} of {ideal}");
}
