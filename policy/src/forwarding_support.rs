//! Whether a peer serves the requests that are forwarded to it, as far as a host knows.
//!
//! Hosts of several versions run side by side while they are replaced. The present one says in its
//! reports that it serves forwarded requests; of the earlier versions some do, and none says so.

use std::time::Duration;

use crate::time::Millis;

/// How long a peer that knew no forwarded requests is not asked again. One that is replaced
/// meanwhile says in its reports what it serves.
const DENIAL_LIFETIME: Duration = Duration::from_secs(60);

/// What a host knows of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardingSupport {
    /// The peer says nothing, and has not been asked yet.
    #[default]
    Unknown,
    /// The peer says in its reports that it serves forwarded requests.
    Told,
    /// The peer's answers show that it does.
    Shown,
    /// The peer's last answer, at this time, shows that it does not.
    Denied(Millis),
}

impl ForwardingSupport {
    /// Records a report. `says_so` is whether the peer says there that it serves forwarded
    /// requests.
    pub fn record_report(&mut self, says_so: bool) {
        *self = match (*self, says_so) {
            (_, true) => Self::Told,
            // Another version runs under the peer's name.
            (Self::Told, false) => Self::Unknown,
            (known, false) => known,
        };
    }

    /// Records whether an answer of the peer shows that it serves forwarded requests.
    pub fn record_answer(&mut self, is_shown: bool, now: Millis) {
        *self = match (*self, is_shown) {
            (Self::Told, true) => Self::Told,
            (_, true) => Self::Shown,
            (_, false) => Self::Denied(now),
        };
    }

    /// Whether the peer is known to serve forwarded requests.
    pub fn is_known(self) -> bool {
        matches!(self, Self::Told | Self::Shown)
    }

    /// Whether the peer may serve forwarded requests.
    pub fn is_possible(self, now: Millis) -> bool {
        match self {
            Self::Denied(at) => now.since(at) >= DENIAL_LIFETIME,
            Self::Unknown | Self::Told | Self::Shown => true,
        }
    }
}
