//! Servers that have just started, as this host knows of them, and its part of their pace.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{cold_pace::ColdPace, time::Millis};

use crate::{host_state::HostState, server::Server};

impl HostState {
    /// Pace of a service's cold servers, if they have one.
    fn cold_pace(&self, service: &str) -> Option<ColdPace> {
        let table = self.table()?;
        table.services.get(service)?.cold_pace
    }

    /// Pace of a server that is cold; none if it is warm.
    pub(crate) fn pace_while_cold(&self, server: &Server, now: Millis) -> Option<ColdPace> {
        if !server.is_cold(now) {
            return None;
        }
        self.cold_pace(&server.entry.service)
    }

    /// Returns the interval at which this host sends to a cold server, or none if other hosts do. All
    /// known hosts are ranked, whether they are live or not: parts of a fleet that are cut off from
    /// each other agree on who sends.
    pub(crate) fn cold_interval(&self, server: &Server, pace: ColdPace) -> Option<Duration> {
        let fleet = self.fleet.lock();
        let hosts = fleet.known_hosts();
        let is_sender = fleet.rank_among_known_for(server.name_hash) < pace.senders(hosts);
        is_sender.then(|| pace.interval(hosts))
    }

    /// Takes a server for cold that may have started again without a word.
    pub(crate) fn presume_cold(&self, server: &Server, now: Millis) {
        if let Some(pace) = self.cold_pace(&server.entry.service)
            && server.set_cold_until(now.after(pace.duration()), now)
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
