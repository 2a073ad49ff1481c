//! How often this host sends to a server, and until when it takes the server for cold. All records of a
//! server share it: entries are replaced, removed and written again while requests connect.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use clementinearch_policy::{
    cold_pace::SentWindow, places::HeldPlaces, server_limit::Pacer, slow_start::HostPlace,
    time::Millis,
};
use parking_lot::Mutex;

use crate::{host_state::HostState, server::Server};

/// The pace of this host's requests to a server, whichever record of it they were chosen by.
#[derive(Debug, Default)]
pub(crate) struct ServerPace {
    state: Mutex<State>,
    /// Requests of this host that run on the server, whichever record they were chosen by.
    running: AtomicU32,
}

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
    /// This host's place in the order for the server, as last computed.
    place: Option<HostPlace>,
    /// This host's places at the server while it must hardly turn requests away.
    places: HeldPlaces,
    /// Until when requests that were given up may still run there, oldest first.
    abandoned: VecDeque<Millis>,
}

/// Time within which a server stops working on a request whose connection was closed.
const ABANDONED_SPAN: Duration = Duration::from_millis(500);

/// Difference from which a time named by a newer entry is told to peers. Entries are read up to a
/// second apart.
const MIN_CHANGE: Duration = Duration::from_secs(3);

impl ServerPace {
    /// Counts a request of this host.
    pub(crate) fn begin_request(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops counting a request of this host.
    pub(crate) fn end_request(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a request was given up before its response was complete.
    pub(crate) fn record_abandoned(&self, now: Millis) {
        let mut state = self.state.lock();
        state.abandoned.retain(|until| *until > now);
        state.abandoned.push_back(now.after(ABANDONED_SPAN));
    }

    /// Number of requests of this host that may run on the server: it does not stop at once when a
    /// request is given up.
    pub(crate) fn may_run(&self, now: Millis) -> usize {
        let state = self.state.lock();
        let recent = state.abandoned.iter().rev();
        let abandoned = recent.take_while(|until| **until > now).count();
        self.running.load(Ordering::Relaxed) as usize + abandoned
    }

    /// Takes the places that this host's view gives it. Returns how many it may use.
    pub(crate) fn update_places(&self, dealt: u32, now: Millis) -> u32 {
        self.state.lock().places.update(dealt, now)
    }

    /// Time until the next request may be chosen for the server.
    pub(crate) fn wait(&self, now: Millis) -> Duration {
        self.state.lock().pacer.wait(now)
    }

    /// Counts a request that is chosen for the server. Returns whether it may be.
    pub(crate) fn try_take(&self, interval: Duration, now: Millis) -> bool {
        self.state.lock().pacer.try_take(interval, now)
    }

    /// Counts a request that leaves for the cold server, of at most `max` in a window. Returns whether
    /// it may leave.
    pub(crate) fn try_send_cold(&self, max: usize, now: Millis) -> bool {
        self.state.lock().sent_cold.try_send(max, now)
    }

    /// Whether the server is taken for cold.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        let state = self.state.lock();
        state.cold_by_entry.max(state.presumed_cold) > now
    }

    /// Takes the server for cold until `until` by its newest entry. Returns whether that differs
    /// notably from what the earlier entry said.
    pub(crate) fn set_cold_by_entry(&self, until: Millis, now: Millis) -> bool {
        let mut state = self.state.lock();
        let earlier = std::mem::replace(&mut state.cold_by_entry, until);
        let became_cold = earlier <= now && until > now;
        became_cold || earlier.since(until.max(now)) >= MIN_CHANGE
    }

    /// Presumes that the server is cold until `until`; an earlier, later end holds. Returns whether it
    /// was taken for warm.
    pub(crate) fn presume_cold(&self, until: Millis, now: Millis) -> bool {
        let mut state = self.state.lock();
        let was_warm = state.cold_by_entry.max(state.presumed_cold) <= now;
        state.presumed_cold = state.presumed_cold.max(until);
        was_warm && until > now
    }
}

impl HostState {
    /// This host's place in the order for a server. All known hosts count, whether they are live or
    /// not: parts of a fleet that are cut off from each other agree on it. Hosts are never forgotten,
    /// so that their number tells whether the place is still the same.
    pub(crate) fn place_for(&self, server: &Server) -> HostPlace {
        let fleet = self.fleet.lock();
        let hosts = fleet.known_hosts();
        let mut state = server.pace.state.lock();
        match state.place {
            Some(place) if place.hosts == hosts => place,
            _ => *state.place.insert(HostPlace {
                rank: fleet.rank_among_known_for(server.name_hash),
                hosts,
            }),
        }
    }
}
