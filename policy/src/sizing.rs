//! Which model size answers a request: a small one first, and a larger one if the small model's own
//! opinion of its answer is too low, while the caller has nothing of it yet.

/// Opinion, from 0 to 100, from which a smaller model's answer is passed on, if settings name none.
pub const DEFAULT_ACCEPTED_CONFIDENCE: u8 = 55;

/// The same where the larger model's answer would come too late for the objective.
const ACCEPTED_IF_LATE: u8 = 35;

/// Part of the objective within which a dropped answer still leaves time for another one.
const DROP_WITHIN: f64 = 0.6;

/// Where a request stands between the sizes of its route.
#[derive(Clone, Copy, Debug)]
pub struct SizingQuery {
    /// Sizes on the route, smallest first.
    pub sizes: usize,
    /// Attempts that are left, this one included.
    pub attempts_left: u32,
    /// Whether the answer goes on after events that the caller has.
    pub is_resumed: bool,
    /// Opinion from which a smaller model's answer is passed on.
    pub accepted_confidence: u8,
}

/// The size of the first attempt.
pub fn first_size(query: &SizingQuery) -> usize {
    let largest = query.sizes.saturating_sub(1);
    // A run that cannot be repeated must be right at once.
    if query.attempts_left < 2 { largest } else { 0 }
}

/// The size that follows an answer of `size`, or none if the answer is passed on.
///
/// `elapsed_part` of the objective has passed; `expected_part` is what the larger model needs to read
/// the prompt.
pub fn next_size(
    query: &SizingQuery,
    size: usize,
    confidence: Option<u8>,
    elapsed_part: f64,
    expected_part: f64,
) -> Option<usize> {
    let largest = query.sizes.saturating_sub(1);
    let accepted = if elapsed_part + expected_part > 1.0 {
        query.accepted_confidence.min(ACCEPTED_IF_LATE)
    } else {
        query.accepted_confidence
    };
    let is_poor = confidence.is_some_and(|confidence| confidence < accepted);
    let can_drop = query.attempts_left >= 1 && !query.is_resumed && elapsed_part < DROP_WITHIN;
    (size < largest && is_poor && can_drop).then_some(largest)
}
