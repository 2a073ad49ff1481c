//! Estimates of the load of servers of one pool.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    load_rows::{LoadRow, ServerLoad, server_key},
    time::Millis,
};

use crate::{
    server::{LoadReport, Server, ServerEntry, ServerState},
    server_loads::load_estimates,
};

const NOW: Millis = Millis(1_000_000);

fn server(name: &str) -> Arc<Server> {
    Arc::new(Server::new(ServerEntry {
        name: name.into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 16,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: 0,
        incarnation: 1,
    }))
}

/// Guards against a server that makes all others look full by what it says of itself: their running
/// requests approach the mean of the pool.
#[test]
fn a_server_that_names_more_than_its_slots_does_not_change_the_others() {
    let [odd, other] = ["i-1", "i-2"].map(server);
    let report = LoadReport {
        running: 4_000,
        waiting: 0,
        slots: 4_000_000,
        slowdown: None,
    };
    odd.record_load(report, None, NOW);
    let load = ServerLoad {
        running: 2,
        waiting: 0,
        slowdown: None,
        has_failed: None,
    };
    let row = LoadRow {
        server: server_key(other.name_hash),
        load: Some((load, Duration::from_millis(300))),
        pending: None,
    };
    other.merge_load(&row, 0.0, NOW);
    let loads = load_estimates(&[odd, other], NOW);
    assert!(loads[0].running > 16.0, "{loads:?}");
    assert!((2.0..9.0).contains(&loads[1].running), "{loads:?}");
}
