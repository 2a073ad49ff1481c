//! Servers that have just started, as this host knows of them, and its part of their pace.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{cold_pace::ColdPace, slow_start::HostPlace, time::Millis};

use crate::{host_state::HostState, server::Server};

/// Reason of an attempt on a cold server that this host may not send to now.
pub(crate) const SERVER_COLD: &str = "server cold";

/// Time after a host's first read of the store in which it leaves cold servers to others: hosts that
/// start at once do not know each other before, so that each would take itself for one of few.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A sending host's part of a cold server's pace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdShare {
    /// Time between two requests.
    pub(crate) interval: Duration,
    /// Most requests that leave within a second.
    max_in_window: usize,
}

impl HostState {
    /// Pace of a service's cold servers, if they have one.
    fn cold_pace(&self, service: &str) -> Option<ColdPace> {
        let table = self.table()?;
        table.services.get(service)?.cold_pace
    }

    /// Pace of a server that is cold; none if it is warm.
    pub(crate) fn pace_while_cold(&self, server: &Server, now: Millis) -> Option<ColdPace> {
        if !server.pace.is_cold(now) {
            return None;
        }
        self.cold_pace(&server.entry.service)
    }

    /// Returns this host's part of a cold server's pace, or none if other hosts send to it.
    pub(crate) fn cold_share(&self, server: &Server, pace: ColdPace) -> Option<ColdShare> {
        if !self.view_reads.have_lasted(SETTLING_TIME, self.now()) {
            return None;
        }
        let HostPlace { rank, hosts } = self.place_for(server);
        let is_sender = rank < pace.senders(hosts);
        is_sender.then(|| ColdShare {
            interval: pace.interval(hosts),
            max_in_window: pace.max_in_window(hosts),
        })
    }

    /// Counts a request that leaves for a server, which may have become cold since it was chosen.
    /// Returns whether it may leave.
    pub(crate) fn may_leave_for(&self, server: &Server, now: Millis) -> bool {
        let Some(pace) = self.pace_while_cold(server, now) else {
            return true;
        };
        let share = self.cold_share(server, pace);
        share.is_some_and(|share| server.pace.try_send_cold(share.max_in_window, now))
    }

    /// Takes a server for cold that was unreachable and accepts a connection: it may have started
    /// again.
    pub(crate) fn presume_cold_if_unreachable(&self, server: &Server, now: Millis) {
        if server.is_unreachable() {
            self.presume_cold(server, now);
        }
    }

    /// Takes a server for cold that may have started again without a word.
    pub(crate) fn presume_cold(&self, server: &Server, now: Millis) {
        if let Some(pace) = self.cold_pace(&server.entry.service)
            && server.pace.presume_cold(now.after(pace.duration()), now)
        {
            self.log_cold(server, pace, "presumed", pace.duration());
        }
    }

    /// Logs a server whose entry says that it is cold. One that `has_restarted` is cold whatever it
    /// says.
    pub(crate) fn record_entry_cold(&self, server: &Server, has_restarted: bool, now: Millis) {
        if has_restarted {
            self.presume_cold(server, now);
        }
        let remaining = server.entry.cold_remaining;
        if let Some(pace) = self.pace_while_cold(server, now)
            && !has_restarted
        {
            self.log_cold(server, pace, "entry", remaining);
        }
    }

    fn log_cold(&self, server: &Server, pace: ColdPace, why: &str, remaining: Duration) {
        let inputs = [
            ("remaining_ms", remaining.as_millis() as f64),
            ("per_s", pace.per_s()),
        ];
        self.log_event("server_cold", &server.entry.name, why, &inputs);
    }

    /// Number of servers that are taken for cold.
    pub(crate) fn cold_servers(&self, now: Millis) -> usize {
        let servers = self.servers.all();
        let is_cold = |server: &&Arc<Server>| self.pace_while_cold(server, now).is_some();
        servers.iter().filter(is_cold).count()
    }
}
