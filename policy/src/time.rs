//! Point in time, passed to the functions of this crate as an argument.

use std::time::Duration;

/// Longest span that a number may stand for.
pub const MAX_SPAN: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Converts a number of seconds.
///
/// # Errors
///
/// Returns why the number is no span of time: it is not finite, negative or above [`MAX_SPAN`].
pub fn span_from_secs(seconds: f64) -> Result<Duration, String> {
    match Duration::try_from_secs_f64(seconds) {
        Ok(span) if span <= MAX_SPAN => Ok(span),
        _ => Err(format!("{seconds} s is no span of time up to a year")),
    }
}

/// Converts a number of milliseconds.
///
/// # Errors
///
/// As for [`span_from_secs`].
pub fn span_from_millis(ms: f64) -> Result<Duration, String> {
    span_from_secs(ms / 1_000.0)
}

/// Converts a computed number of seconds to the nearest span from zero to [`MAX_SPAN`]; a number
/// that is undefined counts as zero.
pub fn nearest_span(seconds: f64) -> Duration {
    // `max` and `min` return the other number if one is undefined.
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_SPAN.as_secs_f64()))
}

/// Point in time, milliseconds since the epoch of the caller's clock.
///
/// Times in request ids, ledger pages and stored records are since the Unix epoch. Other times are
/// only compared with each other and may come from a monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` after `self`, with fractions of a millisecond dropped.
    pub fn after(self, span: Duration) -> Self {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }

    /// Returns the time `span` before `self`, with fractions of a millisecond dropped; zero if that is
    /// before the epoch.
    pub fn before(self, span: Duration) -> Self {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(ms))
    }
}
