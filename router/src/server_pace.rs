//! How often this host sends to a server, and until when it takes the server for cold. All records of a
//! server share it: entries are replaced, removed and written again while requests connect.

use std::time::Duration;

use clementinearch_policy::{cold_pace::SentWindow, server_limit::Pacer, time::Millis};
use parking_lot::Mutex;

/// The pace of this host's requests to a server, whichever record of it they were chosen by.
#[derive(Debug, Default)]
pub(crate) struct ServerPace(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Spaces this host's requests while the server names a limit or is cold.
    pacer: Pacer,
    /// Requests that left while the server was cold.
    sent_cold: SentWindow,
    /// Until when the server is cold by its newest entry.
    cold_by_entry: Millis,
    /// Until when the server is presumed to be cold.
    presumed_cold: Millis,
    /// Number of known hosts, and this host's rank among them for the server.
    rank: Option<(usize, usize)>,
}

/// Difference from which a time named by a newer entry is told to peers. Entries are read up to a
/// second apart.
const MIN_CHANGE: Duration = Duration::from_secs(3);

impl ServerPace {
    /// Time until the next request may be chosen for the server.
    pub(crate) fn wait(&self, now: Millis) -> Duration {
        self.0.lock().pacer.wait(now)
    }

    /// Counts a request that is chosen for the server. Returns whether it may be.
    pub(crate) fn try_take(&self, interval: Duration, now: Millis) -> bool {
        self.0.lock().pacer.try_take(interval, now)
    }

    /// Counts a request that leaves for the cold server, of at most `max` in a window. Returns whether
    /// it may leave.
    pub(crate) fn try_send_cold(&self, max: usize, now: Millis) -> bool {
        self.0.lock().sent_cold.try_send(max, now)
    }

    /// Whether the server is taken for cold.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        let state = self.0.lock();
        state.cold_by_entry.max(state.presumed_cold) > now
    }

    /// Takes the server for cold until `until` by its newest entry. Returns whether that differs
    /// notably from the earlier entry's word.
    pub(crate) fn set_cold_by_entry(&self, until: Millis, now: Millis) -> bool {
        let mut state = self.0.lock();
        let earlier = std::mem::replace(&mut state.cold_by_entry, until);
        let became_cold = earlier <= now && until > now;
        became_cold || earlier.since(until.max(now)) >= MIN_CHANGE
    }

    /// Presumes that the server is cold until `until`; an earlier, later end holds. Returns whether it
    /// was taken for warm.
    pub(crate) fn presume_cold(&self, until: Millis, now: Millis) -> bool {
        let mut state = self.0.lock();
        let was_warm = state.cold_by_entry.max(state.presumed_cold) <= now;
        state.presumed_cold = state.presumed_cold.max(until);
        was_warm && until > now
    }

    /// This host's rank among `hosts` known hosts, by `rank` unless it is known. Hosts are never
    /// forgotten, so that their number tells whether there are others.
    pub(crate) fn rank(&self, hosts: usize, rank: impl FnOnce() -> usize) -> usize {
        let mut state = self.0.lock();
        match state.rank {
            Some((of, rank)) if of == hosts => rank,
            _ => state.rank.insert((hosts, rank())).1,
        }
    }
}
