//! Point in time, passed to the functions of this crate as an argument.

use std::time::Duration;

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
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}
