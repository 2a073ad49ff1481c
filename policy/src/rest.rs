//! Times for which servers want nothing from a host.

use std::time::Duration;

use crate::time::nearest_span;

/// Longest rest that is kept; after it, one refusal tells whether the server still wants rest.
pub const MAX_REST: Duration = Duration::from_secs(300);

/// Parses a time of rest in seconds. Returns `None` if it is not a positive number: a date says
/// nothing to a host whose clock is not the server's.
pub fn parse_rest(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| nearest_span(seconds).min(MAX_REST))
}
