//! HTTP endpoints for operators and probes: liveness, readiness, metrics, status, and ratings of
//! answers.

use std::{sync::Arc, time::Duration};

use clementinearch_border::Rating;
use clementinearch_policy::plan::parse_model_reference;
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::{
    ListeningServer, Server,
    model::{Body, Method, Request, Response, StatusCode},
};
use tokio::runtime::Handle;

use crate::{
    controllers::status::fleet_status, error::Error, host_state::HostState,
    peers::clients::PeerClients, shared::cascades, shared::state::SharedState,
};

/// Most connections that operators and probes may have open at once.
const MAX_CONNECTIONS: usize = 32;

/// How long a client may send or read nothing. Each connection has a thread, so that without a limit
/// a few silent ones would stop the readiness answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of the admin endpoints.
pub(crate) struct AdminServer {
    pub(crate) state: Arc<HostState>,
    pub(crate) clients: Arc<PeerClients>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: PrometheusHandle,
    /// Runs the calls to peers, since the admin endpoints are served on blocking threads.
    pub(crate) runtime: Handle,
}

/// Starts to serve `/livez`, `/readyz`, `/metrics`, `/status` and `/ratings` at the admin address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn serve(admin: AdminServer) -> Result<ListeningServer, Error> {
    let address = admin.state.settings.admin;
    let server = Server::new(move |req| admin.respond(req));
    let server = server
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .with_global_timeout(CLIENT_TIMEOUT)
        .bind(address);
    server
        .spawn()
        .map_err(Error::io(format!("listen for operators at {address}")))
}

impl AdminServer {
    fn respond(&self, req: &mut Request<Body>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/livez") => text(StatusCode::OK, "live\n"),
            (&Method::GET, "/readyz") => match self.state.readiness() {
                Ok(()) => text(StatusCode::OK, "ready\n"),
                Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
            },
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/status") => {
                let status = self
                    .runtime
                    .block_on(fleet_status(&self.state, &self.clients));
                text(
                    StatusCode::OK,
                    serde_json::to_string(&status).unwrap_or_default(),
                )
            }
            (&Method::POST, "/ratings") => {
                let body = std::mem::take(req.body_mut())
                    .to_string()
                    .unwrap_or_default();
                self.accept_rating(&body)
            }
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    /// Counts a rating of an answer. Responds with 400 if it is malformed or names no version.
    fn accept_rating(&self, body: &str) -> Response<Body> {
        let rating = match serde_json::from_str::<Rating>(body) {
            Ok(rating) => rating,
            Err(e) => return text(StatusCode::BAD_REQUEST, format!("rating: {e}\n")),
        };
        match parse_model_reference(&rating.model) {
            Ok((_, Some(_))) => {
                self.shared.quality.record_rating(&rating.model, rating.bad);
                if let Some(label) = rating.cascade.filter(|label| cascades::is_label(label)) {
                    self.shared
                        .quality
                        .record_cascade_rating(&label, rating.bad);
                }
                text(StatusCode::ACCEPTED, "")
            }
            Ok((_, None)) => text(
                StatusCode::BAD_REQUEST,
                "rating: model must be MODEL@VERSION\n",
            ),
            Err(e) => text(StatusCode::BAD_REQUEST, format!("rating: {e}\n")),
        }
    }
}

fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Body::from(text.into()));
    *response.status_mut() = status;
    response
}
