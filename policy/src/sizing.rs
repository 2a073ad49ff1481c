//! Choice of the model size for a request: the smallest first, then the largest if the small model
//! reports too low a confidence in its answer before any of it has reached the caller.

/// Default for the confidence, from 0 to 100, from which a smaller model's answer is accepted.
pub const DEFAULT_ACCEPTED_CONFIDENCE: u8 = 55;

/// Upper bound on the accepted confidence if the larger model's answer would miss the latency
/// objective.
const LATE_ACCEPTED_CONFIDENCE: u8 = 35;

/// Fraction of the latency objective after which an answer is no longer replaced, because too
/// little time is left for another one.
const MAX_REPLACE_FRACTION: f64 = 0.6;

/// State of a request with regard to the sizes of its route.
#[derive(Clone, Copy, Debug)]
pub struct SizingQuery {
    /// Number of sizes on the route; size 0 is the smallest.
    pub sizes: usize,
    /// Number of attempts left, including the current one.
    pub attempts_left: u32,
    /// Whether the answer resumes after events that the caller already has.
    pub is_resumed: bool,
    /// Confidence, from 0 to 100, from which a smaller model's answer is accepted.
    pub accepted_confidence: u8,
}

/// Returns the size for the first attempt.
pub fn first_size(query: &SizingQuery) -> usize {
    let largest = query.sizes.saturating_sub(1);
    // With a single attempt there is no second chance for a better answer.
    if query.attempts_left < 2 { largest } else { 0 }
}

/// Returns the size that should replace an answer of `size`, or `None` if the answer is accepted.
///
/// `elapsed_fraction` is the part of the latency objective that has passed, and `expected_fraction`
/// the part that the larger model needs to prefill the prompt.
pub fn next_size(
    query: &SizingQuery,
    size: usize,
    confidence: Option<u8>,
    elapsed_fraction: f64,
    expected_fraction: f64,
) -> Option<usize> {
    let largest = query.sizes.saturating_sub(1);
    let accepted = if elapsed_fraction + expected_fraction > 1.0 {
        query.accepted_confidence.min(LATE_ACCEPTED_CONFIDENCE)
    } else {
        query.accepted_confidence
    };
    let is_rejected = confidence.is_some_and(|confidence| confidence < accepted);
    let can_replace =
        query.attempts_left >= 1 && !query.is_resumed && elapsed_fraction < MAX_REPLACE_FRACTION;
    (size < largest && is_rejected && can_replace).then_some(largest)
}
