//! State of one host, shared by its controllers and its data path.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{
    connections::max_idle_connections,
    crash_evidence::CrashEvidence,
    memory_shares::body_memory,
    names::{FastMap, Name},
    part_evidence::PartEvidence,
    planned_stop::PlannedStop,
    prefill_time::PrefillTime,
    retry_budget::{RetryBudget, RetryLimit},
    rollout_evidence::Outcome,
    routes::{Route, RoutingTable},
    running_clock::RunningClock,
    server_limit::ReturnSchedule,
    time::Millis,
};
use clementinearch_storage::StorePosition;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    body_memory::BodyMemory,
    call::{Call, hash_bytes},
    clock::Clock,
    connection_account::ListenerAccounts,
    connectivity::ServerPath,
    decision_log::{Decision, DecisionLog, Severity},
    dialect::{Dialect, StoreSchema},
    evacuations::Evacuations,
    fleet::Fleet,
    gossip_event::GossipEvent,
    hooks::RequestHooks,
    moving_averages::MovingAverages,
    request_metrics::RequestMetrics,
    rollout::ObservedResponse,
    rollouts::Rollouts,
    server::{MAX_IDLE_CONNECTIONS, Server},
    servers::Servers,
    settings::Settings,
    stored_blocks::StoredBlocks,
    unfinished_attempts::UnfinishedAttempts,
    view::View,
    view_reads::ViewReads,
};

/// Weight of the latest response in the mean latency of a route.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight of the latest stream in the usual time between events.
const USUAL_GAP_WEIGHT: f64 = 0.01;

/// State that the controllers and the data path of a host share.
pub(crate) struct HostState {
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) schema: Arc<dyn StoreSchema>,
    pub(crate) hooks: Arc<dyn RequestHooks>,
    pub(crate) clock: Clock,
    pub(crate) running_clock: Mutex<RunningClock>,
    pub(crate) log: DecisionLog,
    pub(crate) body_memory: Arc<BodyMemory>,
    pub(crate) connections: ListenerAccounts,
    pub(crate) servers: Servers,
    pub(crate) evacuations: Evacuations,
    pub(crate) server_path: ServerPath,
    /// Number of requests that peers forwarded to this host and that it serves.
    pub(crate) forwarded_requests: AtomicUsize,
    pub(crate) rollouts: Rollouts,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) view: Mutex<View>,
    pub(crate) crash_evidence: Mutex<CrashEvidence>,
    pub(crate) part_evidence: Mutex<PartEvidence>,
    pub(crate) unfinished_attempts: UnfinishedAttempts,
    pub(crate) stored_blocks: StoredBlocks,
    pub(crate) request_metrics: RequestMetrics,
    /// When refused callers return, by service.
    pub(crate) return_schedules: Mutex<FastMap<Name, ReturnSchedule>>,
    /// Retry budgets by service.
    retry_budgets: Mutex<FastMap<Name, RetryBudget>>,
    /// Time to the first event or the complete response by route, milliseconds.
    pub(crate) latencies_ms: MovingAverages,
    /// Logarithm of the seconds between two events of a stream by service. Unlike the seconds, its
    /// average is hardly raised by a few preempted streams.
    pub(crate) event_gap_logs: MovingAverages,
    /// Prefill time per prompt token by service.
    prefill_times: Mutex<FastMap<Name, PrefillTime>>,
    /// Events that wait to be gossiped to peers.
    gossip: mpsc::UnboundedSender<GossipEvent>,
    table: RwLock<Option<Arc<RoutingTable>>>,
    table_changed: Notify,
    pub(crate) view_changed: Notify,
    /// Whether a server has named how long work takes there at the moment.
    pub(crate) has_named_slowdown: AtomicBool,
    /// Number of servers chosen so far, by which equal servers are chosen in turn.
    pub(crate) placements: AtomicUsize,
    pub(crate) view_reads: ViewReads,
    /// Time of the last answer of the store, milliseconds of the host's clock; zero before the
    /// first.
    last_store_contact_ms: AtomicU64,
    /// The planned stop, once it has begun.
    planned_stop: watch::Sender<Option<PlannedStop>>,
}

impl HostState {
    /// Starts without a routing table, servers or peers.
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        schema: Arc<dyn StoreSchema>,
        hooks: Arc<dyn RequestHooks>,
        log: DecisionLog,
        gossip: mpsc::UnboundedSender<GossipEvent>,
    ) -> Self {
        let own_name = settings.name.clone();
        let link_mbps = settings.limits.link_mbps.unwrap_or_default() as u32;
        Self {
            prefill_times: Mutex::default(),
            gossip,
            view_changed: Notify::new(),
            rollouts: Rollouts::new(
                settings.bounds.session_timeout,
                settings.bounds.max_exposure,
                settings.bounds.exposure_slack,
            ),
            dialect,
            schema,
            hooks,
            clock: Clock::new(),
            running_clock: Mutex::default(),
            log,
            body_memory: BodyMemory::new(body_memory(settings.limits.memory_bytes)),
            connections: ListenerAccounts::new(&settings.limits),
            servers: Servers::default(),
            evacuations: Evacuations::default(),
            server_path: ServerPath::default(),
            forwarded_requests: AtomicUsize::new(0),
            fleet: Mutex::new(Fleet::new(own_name, settings.zone.clone()).with_link(link_mbps)),
            settings,
            view: Mutex::default(),
            crash_evidence: Mutex::default(),
            part_evidence: Mutex::default(),
            unfinished_attempts: UnfinishedAttempts::default(),
            stored_blocks: StoredBlocks::default(),
            request_metrics: RequestMetrics::default(),
            return_schedules: Mutex::default(),
            retry_budgets: Mutex::default(),
            latencies_ms: MovingAverages::with_weight(LATENCY_WEIGHT),
            event_gap_logs: MovingAverages::with_weight(USUAL_GAP_WEIGHT),
            table: RwLock::default(),
            table_changed: Notify::new(),
            has_named_slowdown: AtomicBool::new(false),
            placements: AtomicUsize::new(0),
            view_reads: ViewReads::default(),
            last_store_contact_ms: AtomicU64::new(0),
            planned_stop: watch::Sender::new(None),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the routing table in force, if there is one.
    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.read().clone()
    }

    /// Returns the routing table in force, after waiting up to `wait` for the first one.
    pub(crate) async fn wait_for_table(&self, wait: Duration) -> Option<Arc<RoutingTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let changed = self.table_changed.notified();
        let mut changed = std::pin::pin!(changed);
        // Registers before the check below, so that a table installed in between wakes the wait.
        changed.as_mut().enable();
        if self.table().is_none() {
            let _ = tokio::time::timeout(wait, changed).await;
        }
        self.table()
    }

    /// Version of the routing table in force; zero before the first.
    pub(crate) fn table_version(&self) -> u64 {
        self.table.read().as_ref().map_or(0, |table| table.version)
    }

    /// Name of the route with this hash.
    pub(crate) fn route_name(&self, hash: u32) -> Option<Name> {
        let table = self.table()?;
        let mut names = table.routes().map(|route| &route.name);
        let found = names.find(|name| hash_bytes(name.as_bytes()) as u32 == hash);
        found.cloned()
    }

    /// Whether callers should come to this host: it has a routing table and servers, is not
    /// stopping, and serves what other hosts would serve.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.table.read().is_some()
            && !self.servers.is_empty()
            && !self.should_be_avoided(self.now())
    }

    /// Number of this host's requests that run on versions of a service other than `target`.
    pub(crate) fn running_on_other_versions(&self, service: &str, target: &str) -> u32 {
        let pool = self.servers.pool(service);
        let others = pool
            .iter()
            .filter(|server| *server.entry.version != *target);
        others.map(|server| server.local_running()).sum()
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&self) {
        let stop = PlannedStop::new(self.now(), self.settings.limits.grace);
        self.planned_stop.send_replace(Some(stop));
    }

    /// Whether a request that comes at `now` with `time_limit` left is taken, as far as a planned
    /// stop is concerned.
    pub(crate) fn takes_during_stop(
        &self,
        route: &Route,
        time_limit: Duration,
        now: Millis,
    ) -> bool {
        let stop = *self.planned_stop.borrow();
        stop.is_none_or(|stop| stop.takes(route.kind, time_limit, now))
    }

    /// Waits until a planned stop requires that every request has its response; forever without
    /// one.
    pub(crate) async fn wait_for_stop_responses(&self) {
        let mut stops = self.planned_stop.subscribe();
        let stop = stops.wait_for(Option::is_some).await.map(|stop| *stop);
        let Ok(Some(stop)) = stop else {
            return std::future::pending().await;
        };
        tokio::time::sleep(stop.responses_due().since(self.now())).await;
    }

    /// Whether the planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.planned_stop.borrow().is_some()
    }

    /// Records that the store answered at `now`.
    pub(crate) fn record_store_contact(&self, now: Millis) {
        self.last_store_contact_ms.store(now.0, Ordering::Relaxed);
    }

    /// Returns when the store last answered, or zero if it never has.
    pub(crate) fn last_store_contact(&self) -> Millis {
        Millis(self.last_store_contact_ms.load(Ordering::Relaxed))
    }

    /// Calls `work` with a service's retry budget, the fleet's limit and the number of hosts that
    /// share it.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &Name,
        now: Millis,
        work: impl FnOnce(&mut RetryBudget, &RetryLimit, usize) -> T,
    ) -> T {
        let hosts = self.fleet.lock().live_hosts(now);
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets.entry(service.clone()).or_default();
        work(budget, &self.settings.bounds.retries, hosts)
    }

    /// Returns how many idle connections this host may keep to one server of a service.
    pub(crate) fn max_idle_connections(&self, service: &str) -> usize {
        let table = self.table();
        let spec = table.as_ref().and_then(|table| table.services.get(service));
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let hosts = self.fleet.lock().known_hosts();
        max_idle_connections(max_connections, hosts, MAX_IDLE_CONNECTIONS)
    }

    /// Returns the used fraction of each service's retry budget.
    pub(crate) fn retry_budget_used(&self, now: Millis) -> Vec<(Name, f64)> {
        let hosts = self.fleet.lock().live_hosts(now);
        let limit = &self.settings.bounds.retries;
        let mut budgets = self.retry_budgets.lock();
        let used = |(service, budget): (&Name, &mut RetryBudget)| {
            (service.clone(), budget.used_fraction(limit, hosts, now))
        };
        budgets.iter_mut().map(used).collect()
    }

    /// Returns the prefill time per prompt token for a model size of a service, milliseconds.
    pub(crate) fn ms_per_token(&self, service: &str, size: usize) -> f64 {
        let times = self.prefill_times.lock();
        let time = times.get(service);
        time.map_or_else(
            || PrefillTime::new(size + 1).ms_per_token(size),
            |time| time.ms_per_token(size),
        )
    }

    /// Records that a prompt with `uncached_tokens` to prefill took `latency`, on a service with
    /// `sizes` model sizes.
    pub(crate) fn record_prefill(
        &self,
        service: &Name,
        sizes: usize,
        size: usize,
        uncached_tokens: f64,
        latency: Duration,
    ) {
        let mut times = self.prefill_times.lock();
        let time = times
            .entry(service.clone())
            .or_insert_with(|| PrefillTime::new(sizes));
        time.record(size, uncached_tokens, latency);
    }

    /// Queues an event for peers.
    pub(crate) fn enqueue_gossip(&self, event: GossipEvent) {
        // The receiver is dropped only if this host does not gossip, or when the process ends.
        let _ = self.gossip.send(event);
    }

    /// Logs a change of this host's state. Written even if details are dropped to bound the log.
    pub(crate) fn log_event(&self, event: &str, subject: &str, why: &str, inputs: &[(&str, f64)]) {
        let decision = Decision {
            ms: self.now().0,
            event,
            server: subject,
            why,
            inputs,
            ..Decision::default()
        };
        self.log.write(Severity::Important, &decision);
    }

    /// Records the version that a request of a session runs on, or has run on until `now`.
    pub(crate) fn record_session(&self, call: &Call, version: &str, now: Millis) {
        if call.head.session.is_none() {
            return;
        }
        let hash = call.rollout_hash();
        let session = self
            .rollouts
            .record_session(&call.service, hash, version, now);
        if let Some(session) = session {
            self.enqueue_gossip(GossipEvent::Session(session));
        }
    }

    /// Counts an outcome of a response for the version of the server that gave it.
    pub(crate) fn count_outcome(
        &self,
        call: &Call,
        server: &Server,
        outcome: Outcome,
        now: Millis,
    ) {
        let response = ObservedResponse {
            route: &call.head.route.name,
            version: &server.entry.version,
            outcome,
            has_prompt: call.head.prompt.is_some(),
            is_server_loaded: server.has_notable_load(now),
        };
        self.rollouts.count_response(&call.service, &response, now);
    }

    /// Waits up to `wait` for a change after `position` that is relevant to peers.
    pub(crate) async fn wait_for_change(&self, position: StorePosition, wait: Duration) {
        let changed = self.view_changed.notified();
        let mut changed = std::pin::pin!(changed);
        // Registers before the check below, as in `wait_for_table`.
        changed.as_mut().enable();
        if !self.view.lock().has_relevant_change(position) {
            let _ = tokio::time::timeout(wait, changed).await;
        }
    }

    /// Installs a routing table, unless the one in force is at least as new.
    pub(crate) fn install_table(&self, table: Arc<RoutingTable>) {
        let mut current = self.table.write();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= table.version)
        {
            return;
        }
        let version = table.version;
        *current = Some(table);
        drop(current);
        self.table_changed.notify_waiters();
        metrics::gauge!("clementinearch_routing_version").set(version as f64);
        self.log_event("routing_in_force", "", "", &[("version", version as f64)]);
    }
}
