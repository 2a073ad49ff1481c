//! Zones whose servers get no new requests, by the operators' orders in the store.

use clementinearch_policy::{
    names::{FastSet, Name},
    time::Millis,
};
use parking_lot::RwLock;

use crate::{host_state::HostState, server::Server};

/// Reason of a refusal, and of an attempt that is not sent, because the server's zone is evacuated.
pub(crate) const ZONE_EVACUATED: &str = "zone evacuated";

/// Zones that are evacuated.
#[derive(Debug, Default)]
pub(crate) struct Evacuations(RwLock<FastSet<Name>>);

impl Evacuations {
    /// Whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        self.0.read().contains(zone)
    }

    /// Returns the evacuated zones, sorted.
    pub(crate) fn zones(&self) -> Vec<Name> {
        let mut zones: Vec<Name> = self.0.read().iter().cloned().collect();
        zones.sort_unstable();
        zones
    }
}

impl HostState {
    /// Whether a server takes new requests: it does not leave, and its zone is not evacuated.
    pub(crate) fn takes_requests(&self, server: &Server) -> bool {
        server.accepts_requests() && !self.evacuations.contains(&server.entry.zone)
    }

    /// Sends nothing more to the servers of a zone.
    pub(crate) fn evacuate(&self, zone: Name) {
        if self.evacuations.0.write().insert(zone.clone()) {
            let servers = self.servers.count_in_zone(&zone);
            self.log_event("zone_evacuated", &zone, "", &[("servers", servers as f64)]);
        }
    }

    /// Uses the servers of a zone again. They may have become cold without an entry that says so.
    pub(crate) fn end_evacuation(&self, zone: &str, now: Millis) {
        if !self.evacuations.contains(zone) {
            return;
        }
        // Before the zone is used again: a request on another thread would find its servers warm.
        let all = self.servers.all();
        let of_zone = all.iter().filter(|server| *server.entry.zone == *zone);
        for server in of_zone {
            self.presume_cold(server, now);
        }
        self.evacuations.0.write().remove(zone);
        let servers = self.servers.count_in_zone(zone);
        self.log_event("zone_restored", zone, "", &[("servers", servers as f64)]);
    }
}
