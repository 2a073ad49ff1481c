//! How old a host's view of the store may get.
//!
//! Load pattern: one host of each zone reads the store for the others there. All of them read it
//! themselves, at the same time, when that host's view is too old for them.

use std::time::Duration;

/// Age of a relay's view above which its followers read the store themselves.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_250);

/// Longest time from one answer of the store until it is asked for an answer without changes.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Returns how long the store may wait for changes when it answered `age` ago. An idle store so
/// answers before the view is too old for followers, with a quarter of a second to spare.
pub fn watch_wait(age: Duration) -> Duration {
    MAX_IDLE_TIME.saturating_sub(age)
}
