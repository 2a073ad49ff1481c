//! Runs one entry host: starts its tasks, waits for a signal to stop, and shuts down gracefully.

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use clementinearch_policy::time::Millis;
use clementinearch_storage::{CommitOutcome, KeyStore, KeyStorePurpose, Transaction};
use derive_more::{Display, Error};
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    sync::mpsc,
};

use crate::{
    admin, connectivity,
    decision_log::DecisionLog,
    dialect::{Dialect, StoreSchema},
    gossip::Gossip,
    gossip_event::GossipEvent,
    health_tracking,
    hooks::DefaultHooks,
    host_state::HostState,
    ingress::Ingress,
    loop_stalls, peer_view, request_metrics,
    rollout::{PendingStatus, VerdictRecord},
    settings::Settings,
    stored_blocks, supervisor,
    view_sync::ViewSync,
};

/// Time within which the load balancer notices that a host is not ready: a little over two probes.
const DRAIN_NOTICE: Duration = Duration::from_millis(3_200);

/// Time before the end of a graceful shutdown at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// How long a start waits for an address that another socket has, and how often it tries.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);
const BIND_PERIOD: Duration = Duration::from_millis(50);

/// Time between two steps of rollouts.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(250);

/// Delay per rank in the zone before a host writes a due status, so that hosts do not write it all at once.
const WRITER_DELAY: Duration = Duration::from_millis(800);

/// Time between two removals of expired connections, suspects and sessions.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// A failure to start a host.
#[derive(Debug, Display, Error)]
#[display("cannot {action}: {source}")]
pub struct StartError {
    action: String,
    source: io::Error,
}

impl StartError {
    fn at(action: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let action = action.into();
        move |source| Self { action, source }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Stop,
    Reload,
}

/// Runs the host until it has shut down after SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if metrics, log, signal handlers, runtime or listeners cannot be set up.
pub fn run(
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    schema: Arc<dyn StoreSchema>,
    store: Arc<dyn KeyStore>,
) -> Result<(), StartError> {
    let metrics = request_metrics::install_metrics()
        .map_err(|e| StartError::at("install the metrics recorder")(io::Error::other(e)))?;
    let log = DecisionLog::start(settings.limits.log_lines_per_s)
        .map_err(StartError::at("start the log thread"))?;
    let (gossip, gossip_events) = mpsc::unbounded_channel();
    let state = Arc::new(HostState::new(
        settings,
        dialect,
        schema,
        Arc::new(DefaultHooks),
        log,
        gossip,
    ));
    let signals = signals().map_err(StartError::at("install signal handlers"))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::at("start the async runtime"))?;
    runtime.block_on(serve(state, store, metrics, signals, gossip_events))
}

fn signals() -> io::Result<mpsc::UnboundedReceiver<Signal>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = mpsc::unbounded_channel();
    let wait = move || {
        for signal in signals.forever() {
            let signal = if signal == SIGHUP {
                Signal::Reload
            } else {
                Signal::Stop
            };
            if tx.send(signal).is_err() {
                return;
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(wait)?;
    Ok(rx)
}

/// Binds an address, again and again for a while if another socket has it: a process that was just
/// stopped, or an outgoing connection.
async fn bind<T, F>(
    state: &HostState,
    address: SocketAddr,
    what: &str,
    open: impl Fn(SocketAddr) -> F,
) -> Result<T, StartError>
where
    F: Future<Output = io::Result<T>>,
{
    let end = state.now().after(BIND_TIMEOUT);
    let mut is_reported = false;
    loop {
        match open(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && state.now() < end => {
                if !std::mem::replace(&mut is_reported, true) {
                    state.log_event("address_in_use", &address.to_string(), what, &[]);
                }
                tokio::time::sleep(BIND_PERIOD).await;
            }
            bound => {
                let action = format!("listen for {what} at {address}");
                return bound.map_err(StartError::at(action));
            }
        }
    }
}

/// Binds all addresses of a host.
async fn bind_all(state: &HostState) -> Result<(Listeners, UdpSocket), StartError> {
    let at = &state.settings.listen;
    let listen = |address, what| bind(state, address, what, TcpListener::bind);
    let listeners = Listeners {
        callers: Arc::new(listen(at.callers, "callers").await?),
        readiness: Arc::new(listen(at.readiness, "readiness probes").await?),
        peers: Arc::new(listen(at.peers, "peers").await?),
        operators: Arc::new(listen(at.admin, "operators").await?),
    };
    let datagrams = bind(state, at.peers, "gossip", UdpSocket::bind).await?;
    Ok((listeners, datagrams))
}

/// Waits for the signal to stop; signals to reload change nothing.
async fn wait_for_stop(state: &HostState, signals: &mut mpsc::UnboundedReceiver<Signal>) {
    while let Some(signal) = signals.recv().await {
        if signal == Signal::Stop {
            return;
        }
        state.log_event("reload", "", "settings are read at each start", &[]);
    }
}

async fn serve(
    state: Arc<HostState>,
    store: Arc<dyn KeyStore>,
    metrics: PrometheusHandle,
    mut signals: mpsc::UnboundedReceiver<Signal>,
    gossip_events: mpsc::UnboundedReceiver<GossipEvent>,
) -> Result<(), StartError> {
    let (listeners, datagrams) = tokio::select! {
        bound = bind_all(&state) => bound?,
        () = wait_for_stop(&state, &mut signals) => return Ok(()),
    };
    state.log_event("started", &state.settings.name, &state.settings.zone, &[]);
    supervisor::report_panics(state.clone());
    let (ingress, drain) = Ingress::new(state.clone());
    serve_listeners(&state, ingress, listeners, metrics.clone());
    let gossip = Gossip::new(state.clone(), datagrams, gossip_events);
    run_controllers(&state, gossip, store, metrics);
    wait_for_stop(&state, &mut signals).await;
    state.stop();
    let started_at = state.now();
    let connections = |count: usize| [("connections", count as f64)];
    state.log_event("stopping", "", "planned stop", &connections(drain.open()));
    // The load balancer sends requests until it notices; they are still served.
    let grace = state.settings.limits.grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep(DRAIN_NOTICE.min(grace)).await;
    let left = drain.run(started_at.after(grace)).await;
    state.log_event("stopped", "", "planned stop", &connections(left));
    Ok(())
}

/// The listeners of a host.
struct Listeners {
    callers: Arc<TcpListener>,
    readiness: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    operators: Arc<TcpListener>,
}

/// Starts the tasks that accept connections.
fn serve_listeners(
    state: &Arc<HostState>,
    ingress: Ingress,
    listeners: Listeners,
    metrics: PrometheusHandle,
) {
    let Listeners {
        callers,
        readiness,
        peers,
        operators,
    } = listeners;
    let ingress = Arc::new(ingress);
    supervisor::spawn(state, "ingress", move || {
        let (ingress, callers) = (ingress.clone(), callers.clone());
        async move { ingress.run(&callers).await }
    });
    let of = state.clone();
    supervisor::spawn(state, "readiness", move || {
        admin::serve_readiness(readiness.clone(), of.clone())
    });
    let of = state.clone();
    supervisor::spawn(state, "operators", move || {
        admin::serve_operators(operators.clone(), of.clone(), metrics.clone())
    });
    let of = state.clone();
    supervisor::spawn(state, "peers", move || {
        peer_view::serve(of.clone(), peers.clone())
    });
}

/// Starts the tasks that keep the host's state up to date.
fn run_controllers(
    state: &Arc<HostState>,
    gossip: Gossip,
    store: Arc<dyn KeyStore>,
    metrics: PrometheusHandle,
) {
    let gossip = Arc::new(tokio::sync::Mutex::new(gossip));
    supervisor::spawn(state, "gossip", move || {
        let gossip = gossip.clone();
        async move { gossip.lock().await.run().await }
    });
    let of = state.clone();
    supervisor::spawn(state, "loop_stalls", move || loop_stalls::watch(of.clone()));
    let (of, from) = (state.clone(), store.clone());
    supervisor::spawn(state, "view_sync", move || {
        ViewSync::new(of.clone(), from.clone()).run()
    });
    let (of, from) = (state.clone(), store.clone());
    supervisor::spawn(state, "stored_blocks", move || {
        stored_blocks::keep(of.clone(), from.clone())
    });
    let of = state.clone();
    supervisor::spawn(state, "rollouts", move || {
        step_rollouts(of.clone(), store.clone())
    });
    let of = state.clone();
    supervisor::spawn(state, "sweep", move || sweep(of.clone(), metrics.clone()));
    let of = state.clone();
    supervisor::spawn(state, "probes", move || {
        health_tracking::probe_unreachable(of.clone())
    });
    let of = state.clone();
    supervisor::spawn(state, "connectivity", move || {
        connectivity::watch(of.clone())
    });
}

/// Removes outdated state and runs the metrics' upkeep, until the process ends.
async fn sweep(state: Arc<HostState>, metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        metrics.run_upkeep();
        let now = state.now();
        for server in state.servers.all() {
            server.close_expired_connections(now);
        }
        let listed = |zone: &str| state.servers.count_in_zone(zone);
        state.record_crashes(state.unfinished_attempts.confirm(now, listed));
        state.crash_evidence.lock().expire(now);
        state.part_evidence.lock().expire(now);
        state.rollouts.expire_sessions(now);
    }
}

/// Advances the rollouts and writes statuses that are due, until the process ends.
async fn step_rollouts(state: Arc<HostState>, store: Arc<dyn KeyStore>) {
    let mut due_since: Option<Millis> = None;
    loop {
        tokio::time::sleep(ROLLOUT_PERIOD).await;
        let now = state.now();
        let has_target = |service: &str, target: &str| {
            let pool = state.servers.pool(service);
            pool.iter()
                .any(|server| *server.entry.version == *target && server.accepts_requests())
        };
        let due = state.rollouts.step(now, has_target, |service, target| {
            state.running_on_other_versions(service, target)
        });
        for change in &due.verdicts {
            log_verdict(&state, change);
        }
        if due.statuses.is_empty() || state.is_stopping() {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        let rank = state.fleet.lock().rank_in_zone(now);
        if now.since(since) < WRITER_DELAY * rank as u32 {
            continue;
        }
        for status in due.statuses {
            write_status(&state, &*store, status).await;
        }
        due_since = None;
    }
}

/// Logs a verdict on a version, with the outcomes that it rests on.
fn log_verdict(state: &HostState, record: &VerdictRecord) {
    let VerdictRecord {
        assessment, total, ..
    } = record;
    let scope = assessment.route.map_or("all routes".to_owned(), |route| {
        state
            .route_name(route)
            .map_or("gone route".to_owned(), |name| name.to_string())
    });
    let (verdict, kind) = (assessment.verdict.label(), assessment.kind.label());
    let why = format!("{verdict}: {kind} on {scope}");
    let counts = [
        ("new_ok", total.new.responses.good),
        ("new_failed", total.new.responses.bad),
        ("new_loaded_ok", record.loaded.good),
        ("new_loaded_failed", record.loaded.bad),
        ("new_in_time", total.new.pace.good),
        ("new_slow", total.new.pace.bad),
        ("new_very_slow", total.new.stalls.bad),
        ("old_ok", total.old.responses.good),
        ("old_failed", total.old.responses.bad),
        ("old_in_time", total.old.pace.good),
        ("old_slow", total.old.pace.bad),
        ("old_very_slow", total.old.stalls.bad),
    ];
    let mut inputs = vec![
        ("elapsed_ms", record.elapsed.as_millis() as f64),
        ("share", record.share),
        ("log_ratio", assessment.log_ratio),
        ("loaded_log_ratio", assessment.loaded_log_ratio),
    ];
    inputs.extend(counts.map(|(name, count)| (name, count as f64)));
    state.log_event("rollout_verdict", &record.service, &why, &inputs);
}

/// Writes a rollout's status, unless another host has written one since this host's last read.
async fn write_status(state: &HostState, store: &dyn KeyStore, due: PendingStatus) {
    let (key, value) = state.schema.status_item(&due.status);
    let (revision, era) = {
        let view = state.view.lock();
        (view.revision_of(&key), view.position().era)
    };
    let transaction = Transaction {
        expected: vec![(key.clone(), revision)],
        writes: vec![(key, value)],
        ..Transaction::default()
    };
    let committed = store.commit(transaction, KeyStorePurpose::Rollout).await;
    let rollout_state = due.status.state.label();
    let (new, old) = (due.verdict.total.new.total(), due.verdict.total.old.total());
    let mut inputs = vec![
        ("elapsed_ms", due.status.elapsed.as_millis() as f64),
        ("share", due.verdict.share),
        ("new_good", new.good as f64),
        ("new_bad", new.bad as f64),
        ("old_good", old.good as f64),
        ("old_bad", old.bad as f64),
    ];
    let why = match committed {
        Ok(committed) => {
            // In another era the expected revision may have been that of another status.
            let is_done =
                matches!(committed, CommitOutcome::Done { position } if position.era == era);
            if is_done {
                let now = state.now();
                state.record_rollout_status(&due.status, now);
                log_verdict(state, &due.verdict);
            }
            inputs.extend(committed.revision().map(|it| ("revision", it as f64)));
            format!("{rollout_state}: {}", committed.label())
        }
        Err(e) => format!("{rollout_state}: {e}"),
    };
    state.log_event("rollout_status_written", &due.status.service, &why, &inputs);
}
