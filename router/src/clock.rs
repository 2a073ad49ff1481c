//! The monotonic clock behind all decisions; wall-clock time is never used.

use std::time::Instant;

use clementinearch_policy::time::Millis;

/// First reading of a clock, milliseconds: moments before the start of the process remain
/// representable.
const FIRST_READING_MS: u64 = 1_000_000;

/// A monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at `FIRST_READING_MS`.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        Millis(FIRST_READING_MS + self.started.elapsed().as_millis() as u64)
    }
}
