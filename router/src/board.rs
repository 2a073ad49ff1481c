//! The blackboard of one host: what its controllers and its data path read and write.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{
    connections::max_idle_connections,
    crash_suspects::CrashSuspects,
    names::{FastMap, Name},
    prefill_time::PrefillTime,
    retry_budget::{RetryBudget, RetryLimit},
    routes::{Route, RoutingTable},
    time::Millis,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc};

use crate::{
    clock::Clock,
    decision_log::{Decision, DecisionLog, Severity},
    dialect::{Dialect, StoreItem, StoreSchema},
    fleet::Fleet,
    hooks::RequestHooks,
    news::News,
    request_metrics::RequestMetrics,
    rollouts::Rollouts,
    server::MAX_IDLE_CONNECTIONS,
    servers::{EntryChange, Servers},
    settings::Settings,
    view::{Update, View},
};

/// Weight of the latest answer in the running mean of a route's latencies.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time after the beginning of a planned stop from which streams are sent elsewhere: the balancer
/// has noticed by then.
const LAST_STREAM: Duration = Duration::from_millis(2_700);

/// Time before the end of a planned stop by which every request must be answered.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// What the parts of a host share.
pub(crate) struct Board {
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) schema: Arc<dyn StoreSchema>,
    pub(crate) hooks: Arc<dyn RequestHooks>,
    pub(crate) clock: Clock,
    pub(crate) log: DecisionLog,
    pub(crate) servers: Servers,
    pub(crate) rollouts: Rollouts,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) view: Mutex<View>,
    pub(crate) suspects: Mutex<CrashSuspects>,
    pub(crate) request_metrics: RequestMetrics,
    repeats: Mutex<FastMap<Name, RetryBudget>>,
    /// Usual time to the first event by route and model size, milliseconds.
    latencies: Mutex<FastMap<(Name, usize), f64>>,
    /// Time to read a prompt token by service.
    paces: Mutex<FastMap<Name, PrefillTime>>,
    /// What peers are to be told soon.
    news: mpsc::UnboundedSender<News>,
    table: RwLock<Option<Arc<RoutingTable>>>,
    table_came: Notify,
    view_changed: Notify,
    /// Last answer of the store, steady milliseconds; zero before the first.
    store_heard: AtomicU64,
    /// When a planned stop began, steady milliseconds; zero before.
    stopping_since: AtomicU64,
}

impl Board {
    /// An empty board.
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        schema: Arc<dyn StoreSchema>,
        hooks: Arc<dyn RequestHooks>,
        log: DecisionLog,
        news: mpsc::UnboundedSender<News>,
    ) -> Self {
        let me = settings.name.clone();
        Self {
            paces: Mutex::default(),
            news,
            view_changed: Notify::new(),
            rollouts: Rollouts::new(settings.bounds.session),
            dialect,
            schema,
            hooks,
            clock: Clock::new(),
            log,
            servers: Servers::default(),
            fleet: Mutex::new(Fleet::new(me, settings.zone.clone())),
            settings,
            view: Mutex::default(),
            suspects: Mutex::default(),
            request_metrics: RequestMetrics::default(),
            repeats: Mutex::default(),
            latencies: Mutex::default(),
            table: RwLock::default(),
            table_came: Notify::new(),
            store_heard: AtomicU64::new(0),
            stopping_since: AtomicU64::new(0),
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The routing table in force.
    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.read().clone()
    }

    /// The routing table in force, waited for if there is none yet.
    pub(crate) async fn first_table(&self, wait: Duration) -> Option<Arc<RoutingTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let told = self.table_came.notified();
        let mut told = std::pin::pin!(told);
        // From here on no table can come unnoticed.
        told.as_mut().enable();
        if self.table().is_none() {
            let _ = tokio::time::timeout(wait, told).await;
        }
        self.table()
    }

    /// Version of the routing table in force; zero before the first.
    pub(crate) fn table_version(&self) -> u64 {
        self.table.read().as_ref().map_or(0, |table| table.version)
    }

    /// Whether the host takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.read().is_some() && !self.servers.is_empty()
    }

    /// Requests of this host that run on other versions of a service than `target`.
    pub(crate) fn running_on_others(&self, service: &str, target: &str) -> u32 {
        let pool = self.servers.pool(service);
        let others = pool
            .iter()
            .filter(|server| *server.entry.version != *target);
        others.map(|server| server.local_running()).sum()
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&self) {
        self.stopping_since.store(self.now().0, Ordering::Relaxed);
    }

    /// Whether a request that begins now might outlast a planned stop.
    pub(crate) fn might_outlast_stop(&self, route: &Route, now: Millis) -> bool {
        let since = self.stopping_since.load(Ordering::Relaxed);
        if since == 0 {
            return false;
        }
        let spent = now.since(Millis(since));
        if route.kind.is_stream() {
            return spent >= LAST_STREAM;
        }
        spent + route.timeout + STOP_MARGIN >= self.settings.limits.grace
    }

    /// Whether a planned stop began.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.load(Ordering::Relaxed) != 0
    }

    /// Notes an answer of the store.
    pub(crate) fn note_store_heard(&self, now: Millis) {
        self.store_heard.store(now.0, Ordering::Relaxed);
    }

    /// When the store answered last.
    pub(crate) fn store_heard(&self) -> Millis {
        Millis(self.store_heard.load(Ordering::Relaxed))
    }

    /// Works with a service's budget of repeats, the fleet's bound and the hosts that share it.
    pub(crate) fn with_repeats<T>(
        &self,
        service: &Name,
        now: Millis,
        work: impl FnOnce(&mut RetryBudget, &RetryLimit, usize) -> T,
    ) -> T {
        let hosts = self.fleet.lock().size(now);
        let mut repeats = self.repeats.lock();
        let budget = repeats.entry(service.clone()).or_default();
        work(budget, &self.settings.bounds.repeats, hosts)
    }

    /// Idle connections that this host may keep to a server of a service.
    pub(crate) fn max_idle_connections(&self, service: &str) -> usize {
        let table = self.table();
        let spec = table.as_ref().and_then(|table| table.services.get(service));
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let hosts = self.fleet.lock().known();
        max_idle_connections(max_connections, hosts, MAX_IDLE_CONNECTIONS)
    }

    /// Part of each service's budget of repeats that is used.
    pub(crate) fn repeats_used(&self, now: Millis) -> Vec<(Name, f64)> {
        let hosts = self.fleet.lock().size(now);
        let bound = &self.settings.bounds.repeats;
        let mut repeats = self.repeats.lock();
        let used = |(service, budget): (&Name, &mut RetryBudget)| {
            (service.clone(), budget.used_fraction(bound, hosts, now))
        };
        repeats.iter_mut().map(used).collect()
    }

    /// Time to read a prompt token with a size of a service's models, milliseconds.
    pub(crate) fn ms_per_token(&self, service: &str, size: usize) -> f64 {
        let paces = self.paces.lock();
        let pace = paces.get(service);
        pace.map_or_else(
            || PrefillTime::new(size + 1).ms_per_token(size),
            |pace| pace.ms_per_token(size),
        )
    }

    /// Takes in how long a prompt took, on a service with `sizes` sizes.
    pub(crate) fn note_reading(
        &self,
        service: &Name,
        sizes: usize,
        size: usize,
        unread_tokens: f64,
        latency: Duration,
    ) {
        let mut paces = self.paces.lock();
        let pace = paces
            .entry(service.clone())
            .or_insert_with(|| PrefillTime::new(sizes));
        pace.record(size, unread_tokens, latency);
    }

    /// Has peers told soon.
    pub(crate) fn tell(&self, news: News) {
        // Nobody listens only while the process ends.
        let _ = self.news.send(news);
    }

    /// Usual time to the first event or the whole answer, on any size of a route's models.
    pub(crate) fn usual_latency(&self, route: &str) -> Duration {
        let latencies = self.latencies.lock();
        let of_route = latencies.iter().filter(|((name, _), _)| **name == *route);
        let slowest = of_route.map(|(_, ms)| *ms).fold(0.0, f64::max);
        Duration::from_secs_f64(slowest / 1_000.0)
    }

    /// The same on one size; none before the first answer.
    pub(crate) fn usual_latency_of(&self, route: &Name, size: usize) -> Option<Duration> {
        let latencies = self.latencies.lock();
        let ms = latencies.get(&(route.clone(), size))?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Takes in a latency.
    pub(crate) fn note_latency(&self, route: &Name, size: usize, latency: Duration) {
        let ms = latency.as_secs_f64() * 1_000.0;
        let mut latencies = self.latencies.lock();
        let mean = latencies.entry((route.clone(), size)).or_insert(ms);
        *mean += LATENCY_WEIGHT * (ms - *mean);
    }

    /// Writes a change of what this host believes.
    pub(crate) fn log_belief(&self, event: &str, subject: &str, why: &str, inputs: &[(&str, f64)]) {
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

    /// Waits until something that matters changes after `revision`, at most for `wait`.
    pub(crate) async fn wait_for_news(&self, revision: u64, wait: Duration) {
        let told = self.view_changed.notified();
        let mut told = std::pin::pin!(told);
        // From here on no change can come unnoticed.
        told.as_mut().enable();
        if !self.view.lock().has_news(revision) {
            let _ = tokio::time::timeout(wait, told).await;
        }
    }

    /// Carries changes of the store's items out.
    pub(crate) fn carry_out(&self, updates: Vec<Update>) {
        let mut has_news = false;
        for update in updates {
            has_news |= self.carry_out_one(update);
        }
        self.servers.refresh();
        if has_news {
            self.view_changed.notify_waiters();
        }
    }

    /// Carries a change out. Returns whether it matters to peers.
    fn carry_out_one(&self, update: Update) -> bool {
        match update {
            Update::Written { key, value } => match self.schema.read(&key, &value) {
                Ok(item) => {
                    let is_material = self.take_in(item);
                    if is_material {
                        self.view.lock().note_material(&key);
                    }
                    is_material
                }
                Err(why) => {
                    // An entry that cannot be read names no server to use.
                    if let Some(name) = self.schema.server_name(&key) {
                        self.servers.remove(name);
                    }
                    self.log_belief("item_unreadable", &key, &why, &[]);
                    self.view.lock().note_material(&key);
                    true
                }
            },
            Update::Lapsed { key } => {
                if let Some(name) = self.schema.server_name(&key) {
                    self.servers.mark_lapsed(name);
                    self.log_belief("server_doubtful", name, "entry lapsed", &[]);
                }
                false
            }
            Update::Removed { key } => {
                if let Some(name) = self.schema.server_name(&key)
                    && self.servers.remove(name)
                {
                    self.log_belief("server_gone", name, "entry removed", &[]);
                }
                true
            }
        }
    }

    /// Takes an item in. Returns whether it matters to peers: a mere heartbeat does not.
    fn take_in(&self, item: StoreItem) -> bool {
        let now = self.now();
        match item {
            StoreItem::Routing(table) => self.offer_table(table),
            StoreItem::Server(entry) => {
                let name = entry.name.clone();
                let version = entry.version.clone();
                let change = self.servers.update(entry);
                match change {
                    EntryChange::New => self.log_belief("server_ready", &name, &version, &[]),
                    EntryChange::Draining => {
                        self.log_belief("server_draining", &name, &version, &[])
                    }
                    EntryChange::Updated | EntryChange::Unchanged => {}
                }
                return change != EntryChange::Unchanged;
            }
            StoreItem::RolloutOrder(order) => {
                let (service, target) = (order.service.clone(), order.target.clone());
                if self.rollouts.order(order, now) {
                    self.log_belief("rollout_ordered", &service, &target, &[]);
                }
            }
            StoreItem::RolloutStatus(status) => {
                if self.rollouts.note_status(&status, now) {
                    let state = format!("{:?}", status.state);
                    self.log_belief("rollout_status", &status.service, &state, &[]);
                }
            }
            StoreItem::Host { name, address } => {
                let hosts = self.fleet.lock().learn(name, address);
                self.rollouts.set_fleet_size(hosts);
            }
            StoreItem::Other => return false,
        }
        true
    }

    /// Puts a routing table in force unless a newer one is.
    pub(crate) fn offer_table(&self, table: Arc<RoutingTable>) {
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
        self.table_came.notify_waiters();
        metrics::gauge!("clementinearch_routing_version").set(version as f64);
        self.log_belief("routing_in_force", "", "", &[("version", version as f64)]);
    }
}
