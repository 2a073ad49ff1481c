//! The operators' side: liveness, readiness, metrics and status.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::{
    ListeningServer, Server,
    model::{Body, Response, StatusCode},
};
use tokio::runtime::Handle;

use crate::{board::Board, error::Error, peers, peers::PeerClients};

/// Connections that operators and probes may hold at once.
const MAX_CONNECTIONS: usize = 32;

/// Serves `/livez`, `/readyz`, `/metrics` and `/status`.
pub(crate) fn serve(
    board: Arc<Board>,
    clients: Arc<PeerClients>,
    metrics: PrometheusHandle,
    runtime: Handle,
) -> Result<ListeningServer, Error> {
    let address = board.settings.admin;
    let server = Server::new(move |req| match req.uri().path() {
        "/livez" => text(StatusCode::OK, "live\n".to_owned()),
        "/readyz" => match board.readiness() {
            Ok(()) => text(StatusCode::OK, "ready\n".to_owned()),
            Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/metrics" => text(StatusCode::OK, metrics.render()),
        "/status" => {
            let status = runtime.block_on(peers::fleet_status(&board, &clients));
            text(
                StatusCode::OK,
                serde_json::to_string(&status).unwrap_or_default(),
            )
        }
        _ => text(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    });
    let server = server
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address);
    server
        .spawn()
        .map_err(Error::io(format!("listen for operators at {address}")))
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut answer = Response::new(Body::from(text));
    *answer.status_mut() = status;
    answer
}
