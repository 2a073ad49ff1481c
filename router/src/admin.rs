//! HTTP endpoints for the load balancer's readiness probes and for operators' metrics and status.

use std::{future::ready, sync::Arc, time::Duration};

use clementinearch_policy::{memory_shares::BodyOwner, names::Name, time::Millis};
use hyper::{
    Request, StatusCode,
    body::{Bytes, Incoming},
};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{
    host_state::HostState,
    internal_http::{self, InternalResponse, with_status},
    server_loads::load_ages,
};

/// Time that an idle connection of a probe or an operator is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of servers that the status lists by what is held for them.
const LISTED_HOLDERS: usize = 5;

/// Response to operators at `/status`.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    is_ready: bool,
    is_stopping: bool,
    routing_version: u64,
    /// Store revision up to which the host's view is complete.
    store_revision: u64,
    /// Era of that revision; zero if the store names none.
    store_era: u64,
    /// Time since the store last answered, milliseconds.
    store_age_ms: u64,
    servers: usize,
    /// Whether the host reaches backend servers.
    reaches_servers: bool,
    /// Servers that want nothing from this host now.
    resting_servers: usize,
    /// Servers that are taken for cold.
    cold_servers: usize,
    /// Zones whose servers get no new requests.
    evacuated_zones: Vec<Name>,
    /// Live entry hosts, this one included.
    hosts: usize,
    /// Contents of requests that ran on a crashed server.
    suspect_contents: usize,
    /// Contents of requests that are refused because they crash servers.
    blocked_contents: usize,
    /// Prompt parts that may crash servers.
    suspect_parts: usize,
    /// Prompt parts that are refused because they crash servers.
    blocked_parts: usize,
    /// Connections of callers.
    caller_connections: usize,
    /// Bytes of bodies that are held until they are complete or written.
    held_bytes: usize,
    /// Who holds most of them.
    largest_holders: Vec<HolderStatus>,
}

/// Bytes that are held for the bodies of one server, or of callers if it has no name.
#[derive(Debug, Serialize)]
struct HolderStatus {
    service: String,
    server: String,
    bytes: usize,
}

impl HolderStatus {
    fn new((owner, bytes): (BodyOwner, usize)) -> Self {
        let (service, server) = match owner {
            BodyOwner::Callers => Default::default(),
            BodyOwner::Server { service, server } => (service.to_string(), server.to_string()),
        };
        Self {
            service,
            server,
            bytes,
        }
    }
}

/// Serves readiness probes: 200 if the host is ready and 503 otherwise, at any path.
pub(crate) async fn serve_readiness(listener: Arc<TcpListener>, state: Arc<HostState>) {
    let of = state.clone();
    let respond = move |_| {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        ready(with_status(status, Bytes::new()))
    };
    internal_http::serve(
        &of,
        &listener,
        &of.connections.readiness,
        IDLE_TIMEOUT,
        respond,
    )
    .await;
}

/// Serves `/metrics` and `/status` to operators.
pub(crate) async fn serve_operators(
    listener: Arc<TcpListener>,
    state: Arc<HostState>,
    metrics: PrometheusHandle,
) {
    let of = state.clone();
    let respond =
        move |req: Request<Incoming>| ready(operator_response(&state, &metrics, req.uri().path()));
    internal_http::serve(
        &of,
        &listener,
        &of.connections.operators,
        IDLE_TIMEOUT,
        respond,
    )
    .await;
}

fn operator_response(
    state: &HostState,
    metrics: &PrometheusHandle,
    path: &str,
) -> InternalResponse {
    match path {
        "/metrics" => {
            set_gauges(state, state.now());
            with_status(StatusCode::OK, metrics.render())
        }
        "/status" => match serde_json::to_vec(&status(state)) {
            Ok(body) => with_status(StatusCode::OK, body),
            Err(_) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        _ => with_status(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn status(state: &HostState) -> Status {
    let now = state.now();
    let (suspect_contents, blocked_contents) = state.crash_evidence.lock().counts(now);
    let (suspect_parts, blocked_parts) = state.part_evidence.lock().counts(now);
    let position = state.view.lock().position();
    let largest = state.body_memory.largest(LISTED_HOLDERS);
    Status {
        name: state.settings.name.to_string(),
        is_ready: state.is_ready(),
        is_stopping: state.is_stopping(),
        routing_version: state.table_version(),
        store_revision: position.revision,
        store_era: position.era,
        store_age_ms: now.since(state.last_store_contact()).as_millis() as u64,
        servers: state.servers.names().len(),
        reaches_servers: !state.has_lost_servers(),
        resting_servers: state.resting_servers(now),
        cold_servers: state.cold_servers(now),
        evacuated_zones: state.evacuations.zones(),
        hosts: state.fleet.lock().live_hosts(now),
        suspect_contents,
        blocked_contents,
        suspect_parts,
        blocked_parts,
        caller_connections: state.connections.callers.count(),
        held_bytes: state.body_memory.held(),
        largest_holders: largest.into_iter().map(HolderStatus::new).collect(),
    }
}

/// Sets the gauges that are sampled at each scrape.
fn set_gauges(state: &HostState, now: Millis) {
    let servers = state.servers.all();
    let running: u32 = servers.iter().map(|server| server.local_running()).sum();
    let ejected = servers.iter().filter(|server| server.is_ejected(now));
    metrics::gauge!("clementinearch_requests_running").set(f64::from(running));
    metrics::gauge!("clementinearch_held_bytes").set(state.body_memory.held() as f64);
    for account in state.connections.all() {
        let listener = account.listener();
        metrics::gauge!("clementinearch_connections", "listener" => listener)
            .set(account.count() as f64);
        metrics::gauge!("clementinearch_connection_head_bytes", "listener" => listener)
            .set(account.head_bytes() as f64);
    }
    metrics::gauge!("clementinearch_servers").set(servers.len() as f64);
    metrics::gauge!("clementinearch_servers_left_alone").set(ejected.count() as f64);
    metrics::gauge!("clementinearch_servers_resting").set(state.resting_servers(now) as f64);
    metrics::gauge!("clementinearch_servers_cold").set(state.cold_servers(now) as f64);
    metrics::gauge!("clementinearch_servers_ramping").set(state.ramping_servers(now) as f64);
    metrics::gauge!("clementinearch_zones_evacuated").set(state.evacuations.zones().len() as f64);
    let (load_age, unknown) = load_ages(&servers, now);
    metrics::gauge!("clementinearch_load_age_seconds").set(load_age.as_secs_f64());
    metrics::gauge!("clementinearch_servers_load_unknown").set(unknown as f64);
    metrics::gauge!("clementinearch_reaches_servers")
        .set(f64::from(u8::from(!state.has_lost_servers())));
    metrics::gauge!("clementinearch_hosts_heard").set(state.fleet.lock().live_hosts(now) as f64);
    let (suspects, blocked) = state.crash_evidence.lock().counts(now);
    metrics::gauge!("clementinearch_contents_suspect").set(suspects as f64);
    metrics::gauge!("clementinearch_contents_blocked").set(blocked as f64);
    let (suspects, blocked) = state.part_evidence.lock().counts(now);
    metrics::gauge!("clementinearch_parts_suspect").set(suspects as f64);
    metrics::gauge!("clementinearch_parts_blocked").set(blocked as f64);
    let store_age = now.since(state.last_store_contact());
    metrics::gauge!("clementinearch_store_age_seconds").set(store_age.as_secs_f64());
    for (service, used) in state.retry_budget_used(now) {
        metrics::gauge!("clementinearch_repeat_budget_used", "service" => service.to_string())
            .set(used);
    }
}
