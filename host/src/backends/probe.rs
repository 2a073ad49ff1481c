//! Collects the load reports of backend servers.

use std::{sync::Arc, time::Duration};

use clementinearch_border::LoadReport;

use crate::{backends::servers::Server, clock, host_state::HostState};

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for a report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the controller.
pub(crate) async fn run(state: Arc<HostState>) {
    for round in 0.. {
        if let Some(server) = state.servers.next_probe(round) {
            server.note_probed(clock::now());
            tokio::spawn(probe(state.clone(), server));
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Asks one server for its load and takes the report in.
pub(crate) async fn probe(state: Arc<HostState>, server: Arc<Server>) {
    metrics::counter!("clementinearch_probes_total").increment(1);
    let report = tokio::time::timeout(PROBE_TIMEOUT, fetch_report(&server)).await;
    let now = clock::now();
    match report {
        Ok(Ok(report)) => {
            if state.servers.set_report(&server, &report, now) {
                log::info!("backend server {} leaves", server.name);
                state.gossip_trigger.notify_one();
            }
        }
        _ => server.note_failure(now),
    }
}

async fn fetch_report(server: &Server) -> std::io::Result<LoadReport> {
    let body = server.probes.lock().await.read("/load").await?;
    serde_json::from_slice(&body).map_err(std::io::Error::other)
}
