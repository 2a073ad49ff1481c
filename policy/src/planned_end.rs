//! Planned ends of servers after a rollout, which are no crashes.

use std::time::Duration;

use crate::{crash_set::Crash, time::Millis};

/// Time after the end of a rollout within which servers of the losing version stop. They stop at
/// once, and their entries are removed shortly after.
pub const PLANNED_END_SPAN: Duration = Duration::from_secs(10);

/// Tolerance for the time of a rollout's end, which hosts derive from the time since the order:
/// they may have read the order up to this long after one another.
pub const PLANNED_END_TOLERANCE: Duration = Duration::from_secs(1);

/// Time during which ends of servers are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedWindow {
    /// First moment.
    pub from: Millis,
    /// Last moment.
    pub until: Millis,
}

impl PlannedWindow {
    /// The window of a rollout that ended at `ended_at` and whose status was read at `read_at`.
    pub fn new(ended_at: Millis, read_at: Millis) -> Self {
        Self {
            from: ended_at.before(PLANNED_END_TOLERANCE),
            until: read_at.max(ended_at).after(PLANNED_END_SPAN),
        }
    }

    /// Whether a server that ended at some time from `from` to `to` may have ended in the window.
    pub fn overlaps(&self, from: Millis, to: Millis) -> bool {
        from <= self.until && to >= self.from
    }
}

/// The planned end of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedEnd {
    /// Hash of the server's name and incarnation, as in [`Crash::server`].
    pub server: u32,
    /// When the server may end.
    pub window: PlannedWindow,
}

impl PlannedEnd {
    /// Whether what looked like this crash was the planned end.
    pub(crate) fn covers(&self, crash: &Crash) -> bool {
        self.server == crash.server && self.window.overlaps(crash.at, crash.at)
    }
}
