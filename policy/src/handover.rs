//! When a server counts as having taken over a request from another one.

use std::time::Duration;

use crate::time::Millis;

/// Time for which a server has a request without refusing it after which it counts as running it.
/// It is far shorter than a request may run on two servers, and longer than a refusal takes.
const TAKEOVER_TIME: Duration = Duration::from_millis(200);

/// Time between the end of a hand-over in vain and the next one for the same request.
pub const HANDOVER_PAUSE: Duration = Duration::from_millis(500);

/// Whether a server that got a request at `sent_at` and has not refused it runs it at `now`, so that
/// the server before it must be left.
pub fn has_taken_over(sent_at: Millis, now: Millis) -> bool {
    now.since(sent_at) >= TAKEOVER_TIME
}
