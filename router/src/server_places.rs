//! This host's places at servers that must hardly turn requests away.

use std::sync::Arc;

use clementinearch_policy::{
    places::{pause_until, places, unplaced_interval},
    time::Millis,
};

use crate::{call::Call, host_state::HostState, server::Server};

/// Leaves only the servers that may get a request as far as the refusals that they bear go: brittle
/// ones must have a free place of this host. `pool` holds all servers of the service.
pub(crate) fn retain_placed(
    state: &HostState,
    pool: &[Arc<Server>],
    eligible: &mut Vec<Arc<Server>>,
    now: Millis,
) {
    if eligible.iter().all(|it| it.refusal_limit().is_none()) {
        return;
    }
    let own = state.places(pool, now);
    let has_places = own.iter().any(|places| *places > 0);
    eligible.retain(|server| {
        if server.refusal_limit().is_none() {
            return true;
        }
        if !has_places {
            return server.pace.wait(now).is_zero();
        }
        let index = pool.iter().position(|it| it.name_hash == server.name_hash);
        index.is_some_and(|index| server.pace.may_run(now) < own[index] as usize)
    });
}

impl HostState {
    /// Places of this host at each server of a pool.
    fn places(&self, pool: &[Arc<Server>], now: Millis) -> Vec<u32> {
        let slots: Vec<u32> = pool.iter().map(|server| server.entry.slots).collect();
        let fleet = self.fleet.lock();
        let dealt = places(&slots, fleet.rank_among_known(), fleet.known_hosts());
        drop(fleet);
        let servers = pool.iter().zip(dealt);
        servers
            .map(|(server, dealt)| server.pace.update_places(dealt, now))
            .collect()
    }

    /// Counts a request to a server that names the refusals that it bears.
    pub(crate) fn take_place(&self, pool: &[Arc<Server>], server: &Server, now: Millis) {
        let Some(limit) = server.refusal_limit() else {
            return;
        };
        if self.places(pool, now).iter().all(|places| *places == 0) {
            let hosts = self.fleet.lock().known_hosts();
            server.pace.try_take(unplaced_interval(limit, hosts), now);
        }
    }

    /// Whether a server takes this request once a place of this host is free.
    pub(crate) fn has_places(&self, call: &Call, now: Millis) -> bool {
        let pool = self.servers.pool(&call.service);
        pool.iter().any(|server| {
            let is_cold = self.pace_while_cold(server, now).is_some();
            let is_held = server.refusal_limit().is_some() || is_cold;
            self.may_serve(server, call) && !server.is_resting(now) && is_held
        })
    }

    /// Leaves a brittle server alone for a while that had no room for a request at `now`.
    pub(crate) fn record_no_room(&self, server: &Server, now: Millis) {
        if let Some(limit) = server.refusal_limit() {
            let hosts = self.fleet.lock().known_hosts();
            server.rest_until(pause_until(limit, hosts, now));
        }
    }
}
