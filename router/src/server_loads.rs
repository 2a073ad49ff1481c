//! The servers' load, as this host tells its peers and hears it from them.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    load_rows::{LoadRow, pack, server_key, unpack},
    names::{FastMap, Name},
    shared_load::MAX_ROWS,
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{host_state::HostState, server::Server};

/// A message on the servers' load.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    /// Packed rows by the zone whose hosts' prompts they count.
    #[serde(rename = "r")]
    rows: Vec<(Name, String)>,
}

/// Returns what has become known of the servers' load after `since`; none if nothing has. If that is
/// more than one message holds, it is a random part.
pub(crate) fn load_message(state: &HostState, since: Millis, now: Millis) -> Option<LoadMessage> {
    let servers = state.servers.all();
    let rows = servers
        .iter()
        .flat_map(|server| server.load_rows(since, now));
    let rows = fastrand::choose_multiple(rows, MAX_ROWS);
    let mut by_zone: FastMap<Name, Vec<LoadRow>> = FastMap::default();
    for (zone, row) in rows {
        let zone = zone.unwrap_or_else(|| state.settings.zone.clone());
        by_zone.entry(zone).or_default().push(row);
    }
    let rows: Vec<(Name, String)> = by_zone
        .into_iter()
        .map(|(zone, rows)| (zone, pack(&rows)))
        .collect();
    (!rows.is_empty()).then_some(LoadMessage { rows })
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
    for (zone, rows) in &message.rows {
        let zone = Some(zone).filter(|zone| **zone != state.settings.zone);
        for row in unpack(rows) {
            if let Some(Some(server)) = by_key.get(&row.server) {
                server.merge_load(zone, &row, now);
            }
        }
    }
}

/// Mean age of the latest load reports that count, and the number of servers without one.
pub(crate) fn load_ages(servers: &[Arc<Server>], now: Millis) -> (Duration, usize) {
    let ages: Vec<Duration> = servers.iter().filter_map(|it| it.load_age(now)).collect();
    let total: Duration = ages.iter().sum();
    (total / ages.len().max(1) as u32, servers.len() - ages.len())
}
