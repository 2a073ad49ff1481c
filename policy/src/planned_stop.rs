//! Which requests a host takes during a planned stop.
//!
//! Load pattern: callers keep coming until their load balancer has noticed that the host is no
//! longer ready, and some with kept connections for longer. What is taken must have its response
//! before the process ends; what is refused has to find another host.

use std::time::Duration;

use crate::{routes::RouteKind, time::Millis};

/// Time before the end of a planned stop by which every request must have its response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Longest time that a load balancer needs to notice that a host is not ready.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(2_700);

/// Divides a short grace: after one part, the rest is left to the requests taken so far.
const GRACE_PARTS: u32 = 3;

/// A planned stop of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    began_at: Millis,
    grace: Duration,
}

impl PlannedStop {
    /// A stop that begins at `began_at` and ends the process after `grace`.
    pub fn new(began_at: Millis, grace: Duration) -> Self {
        Self { began_at, grace }
    }

    /// Time by which every request must have its response.
    pub fn responses_due(&self) -> Millis {
        self.began_at
            .after(self.grace.saturating_sub(RESPONSE_MARGIN))
    }

    /// Whether a request that comes at `now` with `time_limit` left is taken: it surely ends in
    /// time, or it may be repeated elsewhere if it does not and callers cannot know of the stop yet.
    pub fn takes(&self, kind: RouteKind, time_limit: Duration, now: Millis) -> bool {
        let ends_in_time = now.after(time_limit) < self.responses_due();
        let notice_time = MAX_NOTICE_TIME.min(self.grace / GRACE_PARTS);
        let is_unnoticed = now.since(self.began_at) < notice_time;
        ends_in_time || (is_unnoticed && kind != RouteKind::NonIdempotent)
    }
}
