//! Probes backend servers for their load reports.

use std::{sync::Arc, time::Duration};

use clementinearch_border::LoadReport;

use crate::{backends::servers::Server, clock, host_state::HostState};

/// Time between the starts of two probes.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes one server after another, without end.
pub(crate) async fn run(state: Arc<HostState>) {
    for round in 0.. {
        if let Some(server) = state.servers.next_probe(round) {
            server.record_probe(clock::now());
            tokio::spawn(probe(state.clone(), server));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Probes one server and stores its report, or counts a failure.
pub(crate) async fn probe(state: Arc<HostState>, server: Arc<Server>) {
    metrics::counter!("clementinearch_probes_total").increment(1);
    let report = tokio::time::timeout(PROBE_TIMEOUT, fetch_report(&server)).await;
    let now = clock::now();
    match report {
        Ok(Ok(report)) => {
            if state.servers.set_report(&server, &report, now) {
                log::info!("backend server {} is leaving", server.name);
                state.gossip_trigger.notify_one();
            }
        }
        _ => server.record_failure(now),
    }
}

async fn fetch_report(server: &Server) -> std::io::Result<LoadReport> {
    let body = server.probe_connection.lock().await.get("/load").await?;
    serde_json::from_slice(&body).map_err(std::io::Error::other)
}
