//! The servers' load, as this host tells its peers and hears it from them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clementinearch_policy::{
    load_rows::{pack, server_key, unpack},
    names::{FastMap, Name},
    placement::ServerView,
    shared_load::{MAX_ROWS, sample_size, settled_running},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    health_tracking::failure_rate,
    host_state::HostState,
    server::{LoadEstimate, LoadReport, Server},
};

/// A message on the servers' load.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    /// Packed rows.
    #[serde(rename = "r")]
    rows: String,
}

impl HostState {
    /// Whether hosts share what they know of the servers' load: where servers name how long work
    /// takes at the moment, or are cold after a start, they are too uneven for a host that hears of
    /// each once in ten seconds. Other fleets are spared the messages.
    pub(crate) fn shares_loads(&self) -> bool {
        self.has_named_slowdown.load(Ordering::Relaxed) || self.has_cold_pace()
    }

    /// Whether a service names a pace for its cold servers.
    pub(crate) fn has_cold_pace(&self) -> bool {
        self.table().is_some_and(|table| table.has_cold_pace)
    }

    /// Records the load that a server reported with a response, and whether that was a failure.
    pub(crate) fn record_load(
        &self,
        server: &Server,
        load: LoadReport,
        has_failed: Option<bool>,
        now: Millis,
    ) {
        if load.slowdown.is_some() {
            self.has_named_slowdown.store(true, Ordering::Relaxed);
        }
        server.record_load(load, has_failed, now);
    }
}

/// Returns what has become known of the servers' load after `since`; none if nothing has. If that is
/// more than one message holds, it is a random part.
pub(crate) fn load_message(state: &HostState, since: Millis, now: Millis) -> Option<LoadMessage> {
    let servers = state.servers.all();
    let row = |server: &Arc<Server>| {
        let is_tracker = server.has_prefill_news(since, now) && {
            let fleet = state.fleet.lock();
            fleet.trackers(&server.entry.zone, server.name_hash, now).1
        };
        server.load_row(is_tracker, since, now)
    };
    let rows = fastrand::choose_multiple(servers.iter().filter_map(row), MAX_ROWS);
    (!rows.is_empty()).then(|| LoadMessage { rows: pack(&rows) })
}

/// Records what a peer tells of the servers' load. Rows on servers that this host does not know, or
/// cannot tell apart, are passed over.
pub(crate) fn merge_loads(state: &HostState, message: &LoadMessage, now: Millis) {
    let servers = state.servers.all();
    let mut by_key: FastMap<u32, Option<&Arc<Server>>> = FastMap::default();
    for server in &servers {
        by_key
            .entry(server_key(server.name_hash))
            .and_modify(|it| *it = None)
            .or_insert(Some(server));
    }
    let mut pool_rates: FastMap<Name, f64> = FastMap::default();
    for row in unpack(&message.rows) {
        if let Some(Some(server)) = by_key.get(&row.server) {
            let service = &server.entry.service;
            let pool_rate = *pool_rates
                .entry(service.clone())
                .or_insert_with(|| failure_rate(&state.servers.pool(service)));
            server.merge_load(&row, pool_rate, now);
        }
    }
}

/// Returns the estimated load of servers of one pool. If peers reported any, running requests count
/// by the age of the report. Without peers the estimates are those of the servers alone.
pub(crate) fn load_estimates(servers: &[Arc<Server>], now: Millis) -> Vec<LoadEstimate> {
    let mut loads: Vec<LoadEstimate> = servers.iter().map(|server| server.load(now)).collect();
    let known = loads
        .iter()
        .zip(servers)
        .filter(|(load, _)| load.age.is_some());
    let (total, count) = known.fold((0.0, 0_u32), |(total, count), (load, server)| {
        // A server that names more than its slots must not make the others look busy.
        let running = load.running.min(f64::from(server.entry.slots));
        (total + running, count + 1)
    });
    if loads.iter().any(|load| load.is_shared) {
        let mean = total / f64::from(count.max(1));
        for (load, server) in loads.iter_mut().zip(servers) {
            let running = settled_running(load.running, mean, load.age);
            load.running = running.max(f64::from(server.local_running()));
        }
    }
    loads
}

/// Leaves a random part of the servers and those that may have a part of the prompt cached, if peers
/// reported the load of any and the fleet is large.
pub(crate) fn sample_servers(
    state: &HostState,
    servers: &mut Vec<Arc<Server>>,
    views: &mut Vec<ServerView>,
    now: Millis,
) {
    let size = sample_size(state.fleet.lock().known_hosts());
    if servers.len() <= size || !servers.iter().any(|server| server.is_load_shared(now)) {
        return;
    }
    let mut is_kept: Vec<bool> = views.iter().map(|view| view.cached_tokens > 0.0).collect();
    for index in fastrand::choose_multiple(0..servers.len(), size) {
        is_kept[index] = true;
    }
    let mut kept = is_kept.iter();
    servers.retain(|_| kept.next() == Some(&true));
    let mut kept = is_kept.iter();
    views.retain(|_| kept.next() == Some(&true));
}

/// Mean age of the latest load reports that count, and the number of servers without one.
pub(crate) fn load_ages(servers: &[Arc<Server>], now: Millis) -> (Duration, usize) {
    let ages = servers.iter().filter_map(|server| server.load(now).age);
    let ages: Vec<Duration> = ages.collect();
    let total: Duration = ages.iter().sum();
    let mean = total / ages.len().max(1) as u32;
    (mean, servers.len() - ages.len())
}
