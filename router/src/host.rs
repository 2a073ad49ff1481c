//! Runs one entry host on the data path: starts its controllers, waits for SIGTERM, stops as planned.

use std::{io, sync::Arc, thread, time::Duration};

use clementinearch_storage::{KeyStore, KeyStorePurpose, Transaction};
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
    admin, attempt,
    board::Board,
    decision_log::DecisionLog,
    dialect::{Dialect, StoreSchema},
    gossip::Gossip,
    hooks::DefaultHooks,
    ingress::Ingress,
    news::News,
    relayed, request_metrics,
    rollouts::DueStatus,
    settings::Settings,
    view_keeper::ViewKeeper,
};

/// Time that the balancer takes to notice that a host is not ready: two probes, and some.
const DRAIN_NOTICE: Duration = Duration::from_millis(3_200);

/// Time before the end of a planned stop at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Time between two steps of roll-outs.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(250);

/// Time by which each host lets the hosts before it write a status first.
const WRITER_DELAY: Duration = Duration::from_millis(800);

/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Why a host could not start.
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

/// Runs the host until a planned stop has ended.
///
/// # Errors
///
/// Returns what could not be started.
pub fn run(
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    schema: Arc<dyn StoreSchema>,
    store: Arc<dyn KeyStore>,
) -> Result<(), StartError> {
    let metrics = request_metrics::install_metrics()
        .map_err(|e| StartError::at("set up metrics")(io::Error::other(e)))?;
    let log = DecisionLog::start(settings.limits.log_lines_per_s)
        .map_err(StartError::at("start the log"))?;
    let (news, told_news) = mpsc::unbounded_channel();
    let board = Arc::new(Board::new(
        settings,
        dialect,
        schema,
        Arc::new(DefaultHooks),
        log,
        news,
    ));
    let signals = signals().map_err(StartError::at("wait for signals"))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::at("start the runtime"))?;
    runtime.block_on(serve(board, store, metrics, signals, told_news))
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

async fn listen(address: std::net::SocketAddr, what: &str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(StartError::at(format!("listen for {what} at {address}")))
}

async fn serve(
    board: Arc<Board>,
    store: Arc<dyn KeyStore>,
    metrics: PrometheusHandle,
    mut signals: mpsc::UnboundedReceiver<Signal>,
    news: mpsc::UnboundedReceiver<News>,
) -> Result<(), StartError> {
    let at = board.settings.listen.clone();
    let callers = listen(at.callers, "callers").await?;
    let readiness = listen(at.readiness, "readiness probes").await?;
    let peers = listen(at.peers, "peers").await?;
    let operators = listen(at.admin, "operators").await?;
    let datagrams = UdpSocket::bind(at.peers)
        .await
        .map_err(StartError::at(format!("listen for words at {}", at.peers)))?;
    board.log_belief("started", &board.settings.name, &board.settings.zone, &[]);
    tokio::spawn(admin::serve_readiness(readiness, board.clone()));
    tokio::spawn(admin::serve_operators(
        operators,
        board.clone(),
        metrics.clone(),
    ));
    tokio::spawn(relayed::serve(board.clone(), peers));
    tokio::spawn(Gossip::new(board.clone(), datagrams, news).run());
    tokio::spawn(ViewKeeper::new(board.clone(), store.clone()).run());
    tokio::spawn(step_rollouts(board.clone(), store));
    tokio::spawn(sweep(board.clone(), metrics));
    tokio::spawn(attempt::probe_unreachable(board.clone()));
    let (ingress, drain) = Ingress::new(board.clone());
    tokio::spawn(ingress.run(callers));
    while let Some(signal) = signals.recv().await {
        if signal == Signal::Stop {
            break;
        }
        board.log_belief("reload", "", "settings are read at each start", &[]);
    }
    board.stop();
    let began = board.now();
    let connections = |count: usize| [("connections", count as f64)];
    board.log_belief("stopping", "", "planned stop", &connections(drain.open()));
    // The balancer goes on sending until it notices; those requests are served.
    let grace = board.settings.limits.grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep(DRAIN_NOTICE.min(grace)).await;
    let left = drain.run(began.after(grace)).await;
    board.log_belief("stopped", "", "planned stop", &connections(left));
    Ok(())
}

async fn sweep(board: Arc<Board>, metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        metrics.run_upkeep();
        let now = board.now();
        for server in board.servers.all() {
            server.close_expired_connections(now);
        }
        board.suspects.lock().expire(now);
        board.rollouts.forget_sessions(now);
    }
}

async fn step_rollouts(board: Arc<Board>, store: Arc<dyn KeyStore>) {
    let mut due_since: Option<clementinearch_policy::time::Millis> = None;
    loop {
        tokio::time::sleep(ROLLOUT_PERIOD).await;
        let now = board.now();
        let has_target = |service: &str, target: &str| {
            let pool = board.servers.pool(service);
            pool.iter()
                .any(|server| *server.entry.version == *target && server.accepts_requests())
        };
        let due = board.rollouts.step(now, has_target, |service, target| {
            board.running_on_others(service, target)
        });
        if due.is_empty() || board.is_stopping() {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        let rank = board.fleet.lock().rank(now);
        if now.since(since) < WRITER_DELAY * rank as u32 {
            continue;
        }
        for status in due {
            write_status(&board, &*store, status).await;
        }
        due_since = None;
    }
}

/// Writes a status unless another host wrote one since this one read the store.
async fn write_status(board: &Board, store: &dyn KeyStore, due: DueStatus) {
    let (key, value) = board.schema.status_item(&due.status);
    let revision = board.view.lock().revision_of(&key);
    let transaction = Transaction {
        expected: vec![(key.clone(), revision)],
        writes: vec![(key, value)],
        removals: Vec::new(),
    };
    let committed = store.commit(transaction, KeyStorePurpose::Rollout).await;
    let state = format!("{:?}", due.status.state);
    let why = match committed {
        Ok(committed) => {
            let done = matches!(
                committed,
                clementinearch_storage::CommitOutcome::Done { .. }
            );
            if done {
                let now = board.now();
                board.rollouts.note_status(&due.status, now);
            }
            format!("{state}: {committed:?}")
        }
        Err(e) => format!("{state}: {e}"),
    };
    let elapsed = due.status.elapsed.as_millis() as f64;
    board.log_belief(
        "rollout_status_written",
        &due.status.service,
        &why,
        &[("elapsed_ms", elapsed)],
    );
}
