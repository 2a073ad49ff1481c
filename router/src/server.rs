//! The record of a backend server on one host: its published entry and what the host observed.

use std::{any::Any, collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{
    load_rows::{LoadRow, ServerLoad, server_key},
    names::{FastMap, Name},
    placement::PREFIX_CACHE_LIFETIME,
    relative_latency::RelativeLatency,
    server_health::{AttemptOutcome, ServerHealth},
    shared_load::{OwnLoad, SharedLoad, slowdown_factor},
    slow_start::Ramp,
    time::Millis,
};
use parking_lot::Mutex;

use crate::{
    call::{Prompt, PromptPart, hash_bytes},
    connections::Connection,
    server_pace::ServerPace,
};

/// Maximum number of idle connections from one host to one server.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 8;

/// Age beyond which a server's load report is ignored in favour of this host's own count.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Part of its slots from which on a server has notable load.
const NOTABLE_LOAD: f64 = 0.3;

/// Maximum number of prompt parts remembered for one server; the oldest are forgotten first.
const MAX_PARTS: usize = 2_000;

/// The lifecycle state that a server publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server only finishes the requests that it has.
    Draining,
}

/// The entry that a backend server publishes in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server, to which requests are addressed.
    pub name: Name,
    /// Name of the service that it runs.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: Name,
    /// Version of the service's software.
    pub version: Name,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Number that distinguishes the starts of servers under one name.
    pub incarnation: u64,
    /// Number of the entry within the incarnation; it grows with each heartbeat.
    pub sequence: u64,
    /// How much longer the server was cold when it wrote the entry.
    pub cold_remaining: Duration,
}

impl ServerEntry {
    /// Whether the entries are equal but for what each heartbeat changes.
    pub(crate) fn is_same_but_for_heartbeat(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: self.sequence,
            cold_remaining: self.cold_remaining,
            ..other.clone()
        };
        *self == renumbered
    }
}

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Duration of work relative to normal, percent; none if the server does not name it.
    pub slowdown: Option<u32>,
}

/// What this host has observed of a server.
#[derive(Debug, Default)]
struct Observations {
    health: ServerHealth,
    /// Requests of this host that run on the server.
    local_running: u32,
    /// Whether the response with the latest load report was a failure; none if nothing ran.
    has_failed: Option<bool>,
    /// The latest load report, `local_running` at that time, and the time.
    report: Option<(LoadReport, u32, Millis)>,
    /// The load as peers reported it.
    shared: SharedLoad,
    /// Remaining prefill time of this host's prompts, milliseconds.
    local_prefill_ms: f64,
    /// When the server is expected to finish prefill for the peers' prompts.
    peer_prefill_until: Millis,
    /// When bytes last came from the server.
    last_contact: Millis,
    /// Last use of each prompt part by model size; the prefix cache is per model.
    parts: FastMap<(u64, usize), Millis>,
    /// The keys of `parts`, oldest first.
    parts_in_order: VecDeque<(u64, usize)>,
    latency: RelativeLatency,
    /// Whether the server has said that it leaves.
    is_leaving: bool,
    /// Until when the server wants nothing from this host.
    resting_until: Millis,
    /// Whether the server's entry lapsed while the store was unavailable.
    has_lapsed_entry: bool,
    /// Number of the latest entry.
    sequence: u64,
    /// The limit that the server named last, or that it names none any more.
    limit: Option<NamedLimit>,
    /// The refusals per second that the server bears, as it said last.
    refusal_limit: Option<NamedLimit>,
    /// The slow start of the server, from its begin to its end.
    ramp: Option<Ramp>,
}

/// A limit that all servers of a service share.
pub(crate) type SharedLimit = Arc<Mutex<Option<NamedLimit>>>;

/// What a server said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NamedLimit {
    /// Requests or refusals per second; none if the server is no longer in need.
    pub(crate) per_s: Option<f64>,
    /// When the server said so.
    pub(crate) named_at: Millis,
}

impl Observations {
    /// Time until the prompts that this host itself knows of are prefilled, milliseconds.
    fn known_prefill_ms(&self, now: Millis) -> f64 {
        self.local_prefill_ms + self.peer_prefill_until.since(now).as_secs_f64() * 1_000.0
    }

    /// Load and its time by the last response to this host.
    fn own_load(&self) -> Option<(ServerLoad, Millis)> {
        let (report, _, at) = self.report?;
        let load = ServerLoad {
            running: report.running,
            waiting: report.waiting,
            slowdown: report.slowdown,
            has_failed: self.has_failed,
        };
        Some((load, at))
    }

    fn record_parts(&mut self, parts: impl Iterator<Item = u64>, size: usize, now: Millis) {
        for part in parts {
            if self.parts.insert((part, size), now).is_none() {
                self.parts_in_order.push_back((part, size));
            }
        }
        while self.parts_in_order.len() > MAX_PARTS {
            if let Some(oldest) = self.parts_in_order.pop_front() {
                self.parts.remove(&oldest);
            }
        }
    }
}

/// A backend server with the host's observations and idle connections.
#[derive(Debug)]
pub struct Server {
    /// The entry that the server last published.
    pub(crate) entry: ServerEntry,
    /// Hash of the name, equal on all hosts.
    pub(crate) name_hash: u64,
    pub(crate) pace: Arc<ServerPace>,
    /// What the servers of its service said last of the refusals that they bear.
    service_refusal_limit: SharedLimit,
    observed: Mutex<Observations>,
    idle_connections: Mutex<Vec<Connection>>,
}

/// A host's estimate of a server's current load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Number of running requests.
    pub(crate) running: f64,
    /// Number of queued requests.
    pub(crate) waiting: f64,
    /// Time until the prefill of all prompts sent so far is done, milliseconds.
    pub(crate) pending_ms: f64,
    /// Latency as a multiple of the mean latency; 1.0 if unknown.
    pub(crate) latency_ratio: f64,
    /// Factor on the duration of work at the moment; 1.0 if unknown.
    pub(crate) slowdown: f64,
    /// Age of the load report; none if no report counts.
    pub(crate) age: Option<Duration>,
    /// Whether peers reported the load.
    pub(crate) is_shared: bool,
}

impl Server {
    /// Creates the record of a server without observations.
    pub fn new(entry: ServerEntry) -> Self {
        let name_hash = hash_bytes(entry.name.as_bytes());
        let observed = Observations {
            sequence: entry.sequence,
            ..Observations::default()
        };
        Self {
            entry,
            name_hash,
            pace: Arc::default(),
            service_refusal_limit: Arc::default(),
            observed: Mutex::new(observed),
            idle_connections: Mutex::default(),
        }
    }

    /// Shares the pace of another record of the server.
    pub(crate) fn with_pace(mut self, pace: Arc<ServerPace>) -> Self {
        self.pace = pace;
        self
    }

    /// Shares what the servers of the service said last of the refusals that they bear.
    pub(crate) fn with_service_refusal_limit(mut self, limit: SharedLimit) -> Self {
        self.service_refusal_limit = limit;
        self
    }

    /// Creates a record for a new entry of the same incarnation. Health, load report, latency and
    /// cached prompt parts move to it; requests in flight, pending prefills and idle connections
    /// stay with the old record.
    pub(crate) fn with_entry(&self, entry: ServerEntry) -> Self {
        let next = Self::new(entry).with_pace(self.pace.clone());
        let mut observed = self.observed.lock();
        *next.observed.lock() = Observations {
            health: observed.health,
            report: observed.report,
            has_failed: observed.has_failed,
            shared: observed.shared.without_requests(),
            last_contact: observed.last_contact,
            parts: std::mem::take(&mut observed.parts),
            parts_in_order: std::mem::take(&mut observed.parts_in_order),
            latency: observed.latency,
            is_leaving: observed.is_leaving,
            resting_until: observed.resting_until,
            limit: observed.limit,
            refusal_limit: observed.refusal_limit,
            ramp: observed.ramp,
            sequence: next.entry.sequence,
            ..Observations::default()
        };
        drop(observed);
        next
    }

    /// Number of the latest entry of this incarnation.
    pub(crate) fn sequence(&self) -> u64 {
        self.observed.lock().sequence
    }

    /// Records the number of the latest entry.
    pub(crate) fn record_sequence(&self, sequence: u64) {
        self.observed.lock().sequence = sequence;
    }

    /// Sets whether the server's entry lapsed while the store was unavailable.
    pub(crate) fn set_lapsed_entry(&self, has_lapsed: bool) {
        self.observed.lock().has_lapsed_entry = has_lapsed;
    }

    /// Whether the server accepts new requests: neither its entry nor its answers say that it
    /// leaves.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.observed.lock().is_leaving
    }

    /// Marks the server as leaving and closes its idle connections. Returns whether it was not
    /// marked before.
    pub(crate) fn mark_leaving(&self) -> bool {
        self.idle_connections.lock().clear();
        !std::mem::replace(&mut self.observed.lock().is_leaving, true)
    }

    /// Leaves the server alone until `until`. An earlier, longer rest holds.
    pub(crate) fn rest_until(&self, until: Millis) {
        let mut observed = self.observed.lock();
        observed.resting_until = observed.resting_until.max(until);
    }

    /// Time for which the server still wants nothing from this host.
    pub(crate) fn rest_left(&self, now: Millis) -> Duration {
        self.observed.lock().resting_until.since(now)
    }

    /// Whether the server wants nothing from this host now.
    pub(crate) fn is_resting(&self, now: Millis) -> bool {
        !self.rest_left(now).is_zero()
    }

    /// Reads or changes the server's slow start.
    pub(crate) fn with_ramp<T>(&self, f: impl FnOnce(&mut Option<Ramp>) -> T) -> T {
        f(&mut self.observed.lock().ramp)
    }

    /// Whether the server's entry lapsed while the store was unavailable, so that it may be gone.
    pub(crate) fn has_lapsed_entry(&self) -> bool {
        self.observed.lock().has_lapsed_entry
    }

    /// Whether the server is ejected from selection because it fails too often or is unreachable.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.observed.lock().health.is_ejected(now)
    }

    /// Whether the server is marked as unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.observed.lock().health.is_unreachable()
    }

    /// Marks the server as unreachable. Returns whether it was not marked before.
    pub(crate) fn mark_unreachable(&self, now: Millis) -> bool {
        let mut observed = self.observed.lock();
        let is_new = !observed.health.is_unreachable();
        observed.health.record_unreachable(now);
        is_new
    }

    /// Returns whether a connection probe of an unreachable server is due; if so, the caller makes
    /// it.
    pub(crate) fn begin_probe(&self, now: Millis) -> bool {
        self.observed.lock().health.begin_probe(now)
    }

    /// Records that the server accepted a connection.
    pub(crate) fn record_connected(&self, now: Millis) {
        let mut observed = self.observed.lock();
        observed.health.record_reachable();
        observed.last_contact = observed.last_contact.max(now);
    }

    /// Leaves the server alone, since another one has its address.
    pub(crate) fn mark_replaced(&self, now: Millis) {
        self.observed.lock().health.record_replaced(now);
    }

    /// Stops taking the server for unreachable.
    pub(crate) fn forget_unreachable(&self) {
        self.observed.lock().health.record_reachable();
    }

    /// Whether the next request decides if the server is used again.
    pub(crate) fn is_trial_due(&self, now: Millis) -> bool {
        self.observed.lock().health.is_trial_due(now)
    }

    /// The entry that the server last published.
    pub fn entry(&self) -> &ServerEntry {
        &self.entry
    }

    /// Describes the server as the target of an attempt.
    pub(crate) fn attempt_target(&self, is_trial: bool) -> AttemptTarget<'_> {
        AttemptTarget {
            name: &self.entry.name,
            address: self.entry.address,
            incarnation: self.entry.incarnation,
            is_trial,
        }
    }

    /// Counts a request of this host, whose prompt takes `prefill_ms` to prefill.
    pub(crate) fn begin_request(&self, prefill_ms: f64, now: Millis) {
        self.pace.begin_request();
        let mut observed = self.observed.lock();
        observed.local_running += 1;
        observed.local_prefill_ms += prefill_ms;
        observed.shared.begin_request(prefill_ms, now);
        if observed.health.is_trial_due(now) {
            observed.health.begin_trial(now);
        }
    }

    /// Stops counting `prefill_ms` of prefill time of this host's requests.
    pub(crate) fn end_prefill(&self, prefill_ms: f64) {
        let mut observed = self.observed.lock();
        observed.local_prefill_ms = (observed.local_prefill_ms - prefill_ms).max(0.0);
    }

    /// Stops counting a request of this host.
    pub(crate) fn end_request(&self) {
        self.pace.end_request();
        let mut observed = self.observed.lock();
        observed.local_running -= 1;
        observed.shared.end_request();
    }

    /// Number of requests of this host that run on the server.
    pub fn local_running(&self) -> u32 {
        self.observed.lock().local_running
    }

    /// Moving average of the share of failed attempts, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.observed.lock().health.failure_rate()
    }

    /// Records that bytes came from the server.
    pub(crate) fn record_contact(&self, now: Millis) {
        let mut observed = self.observed.lock();
        observed.last_contact = observed.last_contact.max(now);
    }

    /// Time at which bytes last came from the server.
    pub(crate) fn last_contact(&self) -> Millis {
        self.observed.lock().last_contact
    }

    /// Records the limit that an answer at `named_at` named, or that it named none. Returns whether
    /// that is a change.
    pub(crate) fn record_limit(&self, per_s: Option<f64>, named_at: Millis) -> bool {
        record_named(&mut self.observed.lock().limit, per_s, named_at)
    }

    /// Records the refusals per second that the server bears by an answer at `named_at`, or that it
    /// named none. Returns whether that is a change.
    pub(crate) fn record_refusal_limit(&self, per_s: Option<f64>, named_at: Millis) -> bool {
        record_named(&mut self.service_refusal_limit.lock(), per_s, named_at);
        record_named(&mut self.observed.lock().refusal_limit, per_s, named_at)
    }

    /// What the server said last of the refusals that it bears, or a server of its service since: all
    /// of them are brittle at the same time. None if none has ever named any.
    pub(crate) fn named_refusal_limit(&self) -> Option<NamedLimit> {
        let own = self.observed.lock().refusal_limit;
        let of_service = *self.service_refusal_limit.lock();
        match (own, of_service) {
            (Some(own), Some(of_service)) => {
                let is_older = own.per_s.is_none() && own.named_at < of_service.named_at;
                Some(if is_older { of_service } else { own })
            }
            (own, of_service) => own.or(of_service),
        }
    }

    /// Refusals per second above which the server falls over, if it names them.
    pub(crate) fn refusal_limit(&self) -> Option<f64> {
        self.named_refusal_limit().and_then(|limit| limit.per_s)
    }

    /// What the server said last of its limit; none if it has never named one.
    pub(crate) fn named_limit(&self) -> Option<NamedLimit> {
        self.observed.lock().limit
    }

    /// Rate that the server takes from all hosts together, if it names one.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.named_limit().and_then(|limit| limit.per_s)
    }

    /// Records the load that the server reported with a response, and whether that was a failure.
    pub(crate) fn record_load(&self, report: LoadReport, has_failed: Option<bool>, now: Millis) {
        let mut observed = self.observed.lock();
        observed.has_failed = has_failed;
        let local_running = observed.local_running;
        observed.report = Some((report, local_running, now));
    }

    /// Records the outcome of an attempt. Returns whether it ejects the server from selection.
    pub(crate) fn record_outcome(
        &self,
        outcome: AttemptOutcome,
        pool_rate: f64,
        now: Millis,
    ) -> bool {
        let mut observed = self.observed.lock();
        let was_ejected = observed.health.is_ejected(now);
        observed.health.record(outcome, pool_rate, now);
        observed.health.is_ejected(now) && !was_ejected
    }

    /// Records the latency of a response on a route with the given mean, both in milliseconds.
    pub(crate) fn record_latency(&self, latency_ms: f64, mean_ms: f64) {
        self.observed.lock().latency.record(latency_ms, mean_ms);
    }

    /// Estimates the current load from the latest report, to this host or to a peer, and the requests
    /// that this host sent or finished since.
    pub(crate) fn load(&self, now: Millis) -> LoadEstimate {
        let observed = self.observed.lock();
        let local = f64::from(observed.local_running);
        let report = observed
            .report
            .filter(|(_, _, at)| now.since(*at) <= REPORT_LIFETIME);
        let own = report.map(|(report, local_then, at)| {
            let change = local - f64::from(local_then);
            let total = f64::from(report.running) + f64::from(report.waiting) + change;
            (total, report.slots, report.slowdown, at)
        });
        let shared = observed.shared.load(now).map(|(load, at, change)| {
            let total = f64::from(load.running) + f64::from(load.waiting) + change;
            (total, self.entry.slots, load.slowdown, at)
        });
        // Of two reports of the same time, the one to this host has the server's own slots.
        let newest = [shared, own].into_iter().flatten().max_by_key(|it| it.3);
        let (running, waiting) = newest.map_or((local, 0.0), |(total, slots, _, _)| {
            let total = total.max(local);
            let waiting = (total - f64::from(slots)).max(0.0);
            (total - waiting, waiting)
        });
        let slowdown = newest.and_then(|(_, _, percent, at)| {
            percent.map(|percent| slowdown_factor(percent, now.since(at)))
        });
        LoadEstimate {
            running,
            waiting,
            pending_ms: observed
                .shared
                .pending_ms(observed.known_prefill_ms(now), now),
            latency_ratio: observed.latency.ratio(),
            slowdown: slowdown.unwrap_or(1.0),
            age: newest.map(|it| now.since(it.3)),
            is_shared: shared.is_some(),
        }
    }

    /// Whether so many of the slots are in use that a version which does not bear load fails.
    pub(crate) fn has_notable_load(&self, now: Millis) -> bool {
        let load = self.load(now);
        load.running + load.waiting >= NOTABLE_LOAD * f64::from(self.entry.slots)
    }

    /// Records a row that a peer sent.
    pub(crate) fn merge_load(&self, row: &LoadRow, pool_rate: f64, now: Millis) {
        let mut observed = self.observed.lock();
        if let Some(has_failed) = observed.shared.merge(row, now) {
            observed.health.record_heard(has_failed, pool_rate, now);
        }
    }

    /// Whether peers reported the server's load.
    pub(crate) fn is_load_shared(&self, now: Millis) -> bool {
        self.observed.lock().shared.is_reported(now)
    }

    /// Whether a prompt for the server was counted after `since`.
    pub(crate) fn has_prefill_news(&self, since: Millis, now: Millis) -> bool {
        let observed = self.observed.lock();
        observed.shared.has_new_prompt(since) || observed.known_prefill_ms(now) > 0.0
    }

    /// Returns the row on what has become known of the load after `since`, for peers.
    pub(crate) fn load_row(&self, is_tracker: bool, since: Millis, now: Millis) -> Option<LoadRow> {
        let observed = self.observed.lock();
        let own = OwnLoad {
            report: observed.own_load(),
            pending_ms: is_tracker.then(|| observed.known_prefill_ms(now)),
        };
        let key = server_key(self.name_hash);
        observed.shared.row(key, &own, since, now)
    }

    /// Records that a peer sent a prompt with the `shared` parts, whose prefill takes `span`.
    pub(crate) fn record_peer_prefill(
        &self,
        shared: &[u64],
        size: usize,
        span: Duration,
        now: Millis,
    ) {
        let mut observed = self.observed.lock();
        observed.peer_prefill_until = observed.peer_prefill_until.max(now).after(span);
        let prefill_ms = span.as_secs_f64() * 1_000.0;
        observed.shared.record_peer_prompt(prefill_ms, now);
        observed.record_parts(shared.iter().copied(), size, now);
    }

    /// Estimates how many leading tokens of a prompt are in the server's prefix cache for a model
    /// size.
    pub(crate) fn cached_tokens(&self, prompt: &Prompt, size: usize, now: Millis) -> f64 {
        let observed = self.observed.lock();
        let is_cached = |part: &&PromptPart| {
            let used_at = observed.parts.get(&(part.id, size));
            used_at.is_some_and(|at| now.since(*at) <= PREFIX_CACHE_LIFETIME)
        };
        let cached = prompt.parts.iter().take_while(is_cached);
        cached.map(|part| f64::from(part.tokens)).sum()
    }

    /// Records that the server caches the parts of a prompt for a model size.
    pub(crate) fn record_parts(&self, prompt: &Prompt, size: usize, now: Millis) {
        let parts = prompt.parts.iter().map(|part| part.id);
        self.observed.lock().record_parts(parts, size, now);
    }

    /// Takes an idle connection that can still be used, the latest one first.
    pub(crate) fn take_idle_connection(&self, now: Millis) -> Option<Connection> {
        let mut idle_connections = self.idle_connections.lock();
        while let Some(connection) = idle_connections.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps an idle connection for a later request, or closes it if `max_idle` are kept already.
    pub(crate) fn keep_idle_connection(&self, connection: Connection, max_idle: usize) {
        let mut idle_connections = self.idle_connections.lock();
        if idle_connections.len() < max_idle {
            idle_connections.push(connection);
        }
    }

    /// Closes the idle connections that can no longer be reused.
    pub fn close_expired_connections(&self, now: Millis) {
        self.idle_connections
            .lock()
            .retain(|connection| connection.is_usable(now));
    }
}

/// Replaces what a server said if the new word is as late. Returns whether it says another number.
fn record_named(known: &mut Option<NamedLimit>, per_s: Option<f64>, named_at: Millis) -> bool {
    let earlier = *known;
    let is_news = earlier.map_or(per_s.is_some(), |earlier| named_at >= earlier.named_at);
    if !is_news {
        return false;
    }
    *known = Some(NamedLimit { per_s, named_at });
    earlier.and_then(|earlier| earlier.per_s) != per_s
}

/// A resource that a request holds while it runs; dropping it releases the resource.
pub type Permit = Box<dyn Any + Send + Sync>;

/// The server that an attempt goes to, as [`RequestHooks`](crate::RequestHooks) see it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget<'a> {
    /// Name of the server.
    pub name: &'a str,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Number that distinguishes the starts of servers under one name.
    pub incarnation: u64,
    /// Whether the attempt is the trial of a suspect request.
    pub is_trial: bool,
}
