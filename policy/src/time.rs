//! The present time as an argument.

use std::time::Duration;

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` after `self`.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}
