//! Readiness for the balancer, and metrics and status for operators.

use std::{future::ready, sync::Arc, time::Duration};

use clementinearch_policy::time::Millis;
use hyper::{StatusCode, body::Bytes};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{
    board::Board,
    internal_http::{self, InternalResponse, with_status},
};

/// Idle time of a probe's connection.
const IDLE: Duration = Duration::from_secs(10);

/// What operators see of a host.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    is_ready: bool,
    is_stopping: bool,
    routing_version: u64,
    /// Revision of the store that the host's view is complete up to.
    store_revision: u64,
    store_age_ms: u64,
    servers: usize,
    hosts: usize,
}

/// Answers every path of the balancer's probes with whether the host is ready.
pub(crate) async fn serve_readiness(listener: TcpListener, board: Arc<Board>) {
    let answer = move |_| {
        let status = if board.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        ready(with_status(status, Bytes::new()))
    };
    internal_http::serve(listener, IDLE, answer).await;
}

/// Answers operators.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    board: Arc<Board>,
    metrics: PrometheusHandle,
) {
    let answer = move |path: String| ready(answer_operator(&board, &metrics, &path));
    internal_http::serve(listener, IDLE, answer).await;
}

fn answer_operator(board: &Board, metrics: &PrometheusHandle, path: &str) -> InternalResponse {
    match path {
        "/metrics" => {
            set_gauges(board, board.now());
            with_status(StatusCode::OK, metrics.render())
        }
        "/status" => match serde_json::to_vec(&status(board)) {
            Ok(body) => with_status(StatusCode::OK, body),
            Err(_) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        _ => with_status(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn status(board: &Board) -> Status {
    let now = board.now();
    Status {
        name: board.settings.name.to_string(),
        is_ready: board.is_ready(),
        is_stopping: board.is_stopping(),
        routing_version: board.table_version(),
        store_revision: board.view.lock().store_revision(),
        store_age_ms: now.since(board.store_heard()).as_millis() as u64,
        servers: board.servers.names().len(),
        hosts: board.fleet.lock().size(now),
    }
}

/// Sets what is read off the board at a scrape.
fn set_gauges(board: &Board, now: Millis) {
    let servers = board.servers.all();
    let running: u32 = servers.iter().map(|server| server.local_running()).sum();
    let paused = servers.iter().filter(|server| server.is_ejected(now));
    metrics::gauge!("clementinearch_requests_running").set(f64::from(running));
    metrics::gauge!("clementinearch_servers").set(servers.len() as f64);
    metrics::gauge!("clementinearch_servers_left_alone").set(paused.count() as f64);
    metrics::gauge!("clementinearch_hosts_heard").set(board.fleet.lock().size(now) as f64);
    let store_age = now.since(board.store_heard());
    metrics::gauge!("clementinearch_store_age_seconds").set(store_age.as_secs_f64());
    for (service, used) in board.repeats_used(now) {
        metrics::gauge!("clementinearch_repeat_budget_used", "service" => service.to_string())
            .set(used);
    }
}
