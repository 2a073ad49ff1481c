//! Runs one entry host: starts its controllers, serves callers until SIGTERM or SIGINT, and shuts
//! down gracefully.

use std::{sync::Arc, thread, time::Duration};

use clementinearch_policy::{names::FastMap, retry_budget::RetryLimit, routes::CallerLimits};
use clementinearch_router::{
    Bounds, ConnectionAccount, DataPath, Limits, Listen, Settings as PathSettings,
};
use clementinearch_storage::{HostSource, Store};
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::{net::TcpListener, runtime::Builder, sync::oneshot};

use crate::{
    backends::host_list,
    backends::probe,
    clock,
    controllers::admin,
    controllers::config_sync,
    controllers::gossip,
    controllers::orders,
    controllers::peer_server::{self, PeerServer},
    error::Error,
    host_state::HostState,
    peers::clients::PeerClients,
    requests::admission::{self, AdmissionControl},
    requests::callers::App,
    requests::claims::Claims,
    requests::dialect::NativeDialect,
    requests::hooks::NativeHooks,
    settings::Settings,
    shared::announcements::Announcements,
    shared::cascades::Cascades,
    shared::ledger::Ledger,
    shared::quality::QualityMonitor,
    shared::sessions::{self, Sessions},
    shared::state::SharedState,
    shared::trials::Trials,
    supervisor::{run_task, spawn_thread},
    telemetry::Telemetry,
};

/// Threads that serve callers and peers.
const WORKER_THREADS: usize = 4;

/// Largest head of a request.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Bytes of a megabyte.
const BYTES_PER_MB: u64 = 1_000_000;

/// Log lines per second above which details of successful requests are left out.
const LOG_LINES_PER_S: u64 = 200;

/// Limit on retries in each window: a tenth of the first attempts, plus ten so that retries are
/// possible at low traffic.
const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.1,
    slack: 10.0,
    window: Duration::from_secs(10),
};

/// Time between two removals of idle connections and two aggregations of histogram samples.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time that the runtime's tasks are given to end at exit.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the host until its graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if a thread, the runtime or a listener can't be started.
pub(crate) fn run(
    settings: Settings,
    store: Arc<dyn Store>,
    hosts: Arc<dyn HostSource>,
    telemetry: &Telemetry,
) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = runtime.map_err(Error::io("start the runtime"))?;
    let state = Arc::new(HostState::new(settings, clock::now()));
    let clients = Arc::new(PeerClients::new(state.clone()));
    let sync = (state.clone(), store.clone());
    spawn_thread("keeper", move || config_sync::run(&sync.0, &*sync.1))?;
    let listed = state.clone();
    spawn_thread("listing", move || host_list::run(&listed, &*hosts))?;
    let (announcements, requests) = Announcements::new();
    let trials = Trials::new(state.clone(), clients.clone(), announcements);
    let shared = Arc::new(SharedState {
        trials: Arc::new(trials),
        quality: QualityMonitor::new(state.clone()),
        cascades: Cascades::new(state.clone()),
    });
    runtime.spawn(gossip::run_announcements(
        state.clone(),
        clients.clone(),
        shared.clone(),
        requests,
    ));
    let admin = admin::AdminServer {
        state: state.clone(),
        clients: clients.clone(),
        shared: shared.clone(),
        metrics: telemetry.metrics.clone(),
        runtime: runtime.handle().clone(),
    };
    let _admin = admin::serve(admin)?;
    let stop = stop_signal()?;
    let ledger = Arc::new(Ledger::new(state.clone(), clients.clone()));
    let writer = (ledger.clone(), store.clone(), runtime.handle().clone());
    spawn_thread("ledger", move || writer.0.run(&*writer.1, &writer.2))?;
    let orders = (state.clone(), store.clone(), runtime.handle().clone());
    spawn_thread("orders", move || {
        orders::run(&orders.0, &*orders.1, &orders.2)
    })?;
    let app = Arc::new(App {
        sessions: Arc::new(Sessions::new(state.clone(), clients.clone())),
        claims: Claims::new(store.clone()),
        shared: shared.clone(),
        admission: Arc::new(AdmissionControl::new(state.clone())),
        ledger,
        state,
    });
    runtime.block_on(serve(
        app.clone(),
        clients.clone(),
        telemetry.metrics.clone(),
        stop,
    ))?;
    // Write all pages now, also those that another host is responsible for.
    app.ledger.write_due(&*store, runtime.handle(), true);
    runtime.block_on(leave(&app, &clients));
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    Ok(())
}

/// Returns a receiver that resolves on SIGTERM or SIGINT.
fn stop_signal() -> Result<oneshot::Receiver<()>, Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::io("wait for signals"))?;
    let (tx, rx) = oneshot::channel();
    let wait = move || {
        signals.forever().next();
        let _ = tx.send(());
    };
    let spawned = thread::Builder::new()
        .name("signals".to_owned())
        .spawn(wait);
    spawned.map_err(Error::io("start the signals thread"))?;
    Ok(rx)
}

/// Serves callers and peers until `stop` resolves, and then until the running requests have ended or
/// the drain limit has passed.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the data path can't be started.
async fn serve(
    app: Arc<App>,
    clients: Arc<PeerClients>,
    metrics: PrometheusHandle,
    stop: oneshot::Receiver<()>,
) -> Result<(), Error> {
    let state = app.state.clone();
    let peers_at = state.settings.peers;
    let server = PeerServer {
        state: state.clone(),
        sessions: app.sessions.clone(),
        ledger: app.ledger.clone(),
        shared: app.shared.clone(),
    };
    let peers = peer_server::serve(server, peer_connections(&state.settings))
        .await
        .map_err(Error::io(format!("listen for peers at {peers_at}")))?;
    tokio::spawn(peers);
    run_controllers(&app, clients);
    let callers_at = state.settings.callers;
    let bound = TcpListener::bind(callers_at).await;
    let listener = bound.map_err(Error::io(format!("listen for callers at {callers_at}")))?;
    log::info!(
        "entry host {} serves callers at {callers_at}",
        state.settings.name
    );
    let path = data_path(&app).map_err(Error::io("start the data path"))?;
    let path = Arc::new(path);
    let swept = (state.clone(), path.clone());
    tokio::spawn(run_task("sweep", move || {
        sweep(swept.0.clone(), swept.1.clone(), metrics.clone())
    }));
    let stopping = state.clone();
    let stop = async move {
        let _ = stop.await;
        log::info!("graceful shutdown: no longer ready");
        stopping.stop();
        // The load balancer keeps sending requests until it notices the failing readiness probe; they
        // are served.
        tokio::time::sleep(stopping.settings.drain_notice).await;
    };
    let left = path.serve(listener, stop).await;
    if left > 0 {
        let limit_ms = state.settings.drain_limit.as_millis();
        log::warn!("graceful shutdown: {left} connections were still open after {limit_ms} ms");
    }
    Ok(())
}

/// Starts the tasks that keep the host's state up to date.
fn run_controllers(app: &Arc<App>, clients: Arc<PeerClients>) {
    let of = app.clone();
    tokio::spawn(run_task("gossip", move || {
        gossip::run(of.state.clone(), clients.clone(), of.shared.clone())
    }));
    let of = app.clone();
    tokio::spawn(run_task("sessions", move || {
        sweep_sessions(of.sessions.clone())
    }));
    let of = app.clone();
    tokio::spawn(run_task("admission", move || {
        refresh_admission_limits(of.admission.clone())
    }));
    let of = app.state.clone();
    tokio::spawn(run_task("probes", move || probe::run(of.clone())));
}

/// Creates the data path that serves this host's callers.
fn data_path(app: &Arc<App>) -> std::io::Result<DataPath> {
    let settings = &app.state.settings;
    let limits = CallerLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        max_body_bytes: settings.max_body_bytes as usize,
        header_timeout: settings.caller_timeout,
        body_timeout: settings.caller_timeout,
        idle_timeout: Duration::ZERO,
        stall_timeout: Some(settings.caller_timeout),
    };
    DataPath::new(
        path_settings(settings),
        limits,
        Arc::new(NativeDialect::new(app.clone())),
        Arc::new(NativeHooks::new(app.clone())),
    )
}

/// Returns the account of the peers' connections.
fn peer_connections(settings: &Settings) -> Arc<ConnectionAccount> {
    ConnectionAccount::of_peers(&path_settings(settings).limits)
}

fn path_settings(settings: &Settings) -> PathSettings {
    PathSettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        listen: Listen {
            callers: settings.callers,
            readiness: settings.admin,
            peers: settings.peers,
            admin: settings.admin,
        },
        store: settings.store,
        limits: Limits {
            grace: settings.drain_limit,
            log_lines_per_s: LOG_LINES_PER_S,
            view_period: settings.gossip_period,
            gossip_period: settings.gossip_period,
            link_mbps: None,
            memory_bytes: settings.memory_mb * BYTES_PER_MB,
            descriptors: settings.descriptors,
            caller_connections: settings.caller_connections,
            evacuation: None,
            ramp_up: false,
        },
        bounds: Bounds {
            retries: RETRY_LIMIT,
            session_timeout: Duration::ZERO,
            max_exposure: 1.0,
            exposure_slack: 0.0,
        },
        accepted_confidence: Vec::new(),
        regions: FastMap::default(),
    }
}

/// Closes idle connections to backend servers in each [`SWEEP_PERIOD`], and aggregates the samples of
/// histograms, which would otherwise accumulate.
async fn sweep(state: Arc<HostState>, path: Arc<DataPath>, metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        metrics.run_upkeep();
        for server in state.servers.all() {
            server
                .data_path_server
                .close_expired_connections(path.now());
        }
    }
}

async fn sweep_sessions(sessions: Arc<Sessions>) {
    loop {
        tokio::time::sleep(sessions::SWEEP_INTERVAL).await;
        sessions.sweep(clock::now());
    }
}

async fn refresh_admission_limits(control: Arc<AdmissionControl>) {
    loop {
        tokio::time::sleep(admission::LIMIT_PERIOD).await;
        control.refresh_limits();
    }
}

/// Hands over sessions and bills to other hosts, and announces that this host has left.
async fn leave(app: &App, clients: &Arc<PeerClients>) {
    app.sessions.hand_over().await;
    let left = app.ledger.hand_over().await;
    if left > 0 {
        log::error!(
            "graceful shutdown: {left} bills could neither be written nor handed over to another host"
        );
    }
    gossip::announce_departure(&app.state, clients, &app.shared).await;
    log::info!("graceful shutdown: done");
}
