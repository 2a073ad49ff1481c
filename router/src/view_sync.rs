//! Keeps this host's view of the store up to date: reads all items once, then changes periodically,
//! and asks peers while the store is unavailable.
//!
//! The first read may be stale, because hosts that all start at once would exceed the store's limit
//! on fresh pages per minute. Its items take effect only together with the changes since, which
//! come from the store or a peer.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::FastSet,
    time::Millis,
    view_age::{MAX_VIEW_AGE, watch_wait},
};
use clementinearch_storage::{
    Changes, Freshness, KeyStore, KeyStorePurpose, StoreError, StorePosition, StoredItem,
    Transaction,
};

use crate::{
    dialect::StoreItem,
    host_state::HostState,
    peer_view::{PeerClient, PeerView},
    view::Update,
};

/// Pause after the first failed read; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after a failed read, which bounds the time until a host notices the store's
/// return.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time without an answer of the store after which entries may have lapsed there.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// Time after the store's return in which lapsed entries may still be written again.
const RETURN_WINDOW: Duration = Duration::from_millis(2_200);

/// Time that the zone's relay has to read a store that came back from a copy before its followers do.
const RELAY_HEAD_START: Duration = Duration::from_millis(150);

/// Longest time for which a host follows a relay that names no era without a look at the store.
const MAX_UNNAMED_ERA_AGE: Duration = Duration::from_secs(2);

/// Shortest time between two attempts to write this host's own entry.
const OWN_ENTRY_PERIOD: Duration = Duration::from_secs(3);

/// Synchronises the view of one host with the store.
pub(crate) struct ViewSync {
    state: Arc<HostState>,
    store: Arc<dyn KeyStore>,
    /// Pause before the next read if this one fails.
    backoff: Duration,
    /// When this host last saw the store return from an outage.
    returned_at: Option<Millis>,
    is_lost: bool,
    /// Whether a peer's newer view showed that the store works and only this host is cut off.
    is_store_up: bool,
    /// Time of the last attempt to write this host's own entry.
    own_entry_tried_at: Option<Millis>,
    peer_client: PeerClient,
    /// When this host last read the store itself.
    store_read_at: Millis,
    /// Updates of a stale read that take effect with the changes since.
    unconfirmed: Vec<Update>,
}

impl ViewSync {
    /// Starts with nothing read.
    pub(crate) fn new(state: Arc<HostState>, store: Arc<dyn KeyStore>) -> Self {
        Self {
            state,
            store,
            backoff: MIN_BACKOFF,
            returned_at: None,
            is_lost: false,
            is_store_up: false,
            own_entry_tried_at: None,
            peer_client: PeerClient::default(),
            store_read_at: Millis::default(),
            unconfirmed: Vec::new(),
        }
    }

    /// Keeps the view up to date until the process ends. What the view holds from a run that has
    /// panicked takes effect once more with the next read, as its last changes may not have.
    pub(crate) async fn run(mut self) {
        self.unconfirmed = self.state.view.lock().all();
        self.state.drop_unlisted_servers(&self.unconfirmed);
        loop {
            if !self.follow_relay().await {
                self.read_store().await;
            }
        }
    }

    /// Reads changes from the zone's relay. Returns whether it gave recent ones.
    async fn follow_relay(&mut self) -> bool {
        let (now, position) = (self.state.now(), self.state.view.lock().position());
        let relay = self.state.fleet.lock().relay(now);
        let may_wait = !self.is_lost && !self.state.is_view_outdated(now);
        let Some(relay) = relay.filter(|_| position.revision != 0 && may_wait) else {
            return false;
        };
        let Ok(view) = self.peer_client.changes(relay, position).await else {
            return false;
        };
        if view.age > MAX_VIEW_AGE || view.position.era < position.era {
            return false;
        }
        let is_era_known = view.names_era || position.era == 0;
        if !is_era_known && now.since(self.store_read_at) > MAX_UNNAMED_ERA_AGE {
            return false;
        }
        let age = view.age + view.transfer;
        self.merge(view);
        self.state.view_reads.record(now);
        let now = self.state.now();
        self.state.record_store_contact(now.before(age));
        self.expire(now);
        self.write_own_entry(now).await;
        true
    }

    /// Reads changes from the store, or all items if nothing has been read yet.
    async fn read_store(&mut self) {
        let started_at = self.state.now();
        let position = self.state.view.lock().position();
        if position.revision == 0 {
            return self.read_stale().await;
        }
        let read = self.read_changes(position).await;
        let now = self.state.now();
        match read {
            Ok(updates) => {
                self.store_read_at = now;
                self.record_success(now);
                self.apply_updates(updates);
                self.state.view_reads.record(started_at);
                self.expire(now);
                self.write_own_entry(now).await;
                // Also if there is a relay: all its followers would else read on and on while it
                // cannot answer.
                let spent = self.state.now().since(started_at);
                tokio::time::sleep(self.jittered_period().saturating_sub(spent)).await;
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    /// Reads all items, perhaps seconds old, and keeps them unconfirmed.
    async fn read_stale(&mut self) {
        match self.read_all(Freshness::Stale).await {
            Ok(updates) => {
                self.add_hosts(&updates);
                self.unconfirmed = updates;
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    /// Adds the hosts among the updates at once: one of them may have the changes since.
    fn add_hosts(&self, updates: &[Update]) {
        for update in updates {
            let Update::Written { key, value } = update else {
                continue;
            };
            if let Ok(StoreItem::Host { name, address }) = self.state.schema.read(key, value) {
                self.state.fleet.lock().add_host(name, address);
            }
        }
    }

    /// Applies the unconfirmed updates of a stale read, then `updates`, which are newer.
    fn apply_updates(&mut self, updates: Vec<Update>) {
        let mut all = std::mem::take(&mut self.unconfirmed);
        let newer: FastSet<&str> = updates.iter().map(Update::key).collect();
        all.retain(|update| !newer.contains(update.key()));
        all.extend(updates);
        self.state.apply_updates(all);
    }

    /// Time between two reads, with a tenth of jitter so that hosts do not read in step.
    fn jittered_period(&self) -> Duration {
        self.state
            .settings
            .limits
            .view_period
            .mul_f64(0.9 + 0.2 * fastrand::f64())
    }

    /// Records that the store answered, which ends an outage if there was one.
    fn record_success(&mut self, now: Millis) {
        let last_contact = self.state.last_store_contact();
        if last_contact != Millis::default()
            && now.since(last_contact) > OUTAGE_THRESHOLD
            && !self.is_store_up
        {
            self.returned_at = Some(now);
        }
        self.is_store_up = false;
        if self.is_lost {
            self.is_lost = false;
            let away_ms = now.since(last_contact).as_millis() as f64;
            self.state
                .log_event("store_regained", "", "", &[("away_ms", away_ms)]);
        }
        self.backoff = MIN_BACKOFF;
        self.state.record_store_contact(now);
    }

    /// End of the store's last outage, if it was recent enough that lapsed entries may be written
    /// again.
    fn grace_from(&self, now: Millis) -> Option<Millis> {
        let last_contact = self.state.last_store_contact();
        if last_contact != Millis::default()
            && now.since(last_contact) > OUTAGE_THRESHOLD
            && !self.is_store_up
        {
            return Some(now);
        }
        self.returned_at
            .filter(|at| now.since(*at) <= RETURN_WINDOW)
    }

    async fn read_all(&mut self, freshness: Freshness) -> Result<Vec<Update>, StoreError> {
        let mut items: Vec<StoredItem> = Vec::new();
        let mut position: Option<StorePosition> = None;
        for prefix in self.state.schema.prefixes() {
            let mut after: Option<String> = None;
            loop {
                let page = self
                    .store
                    .range(&prefix, after.as_deref(), freshness, KeyStorePurpose::Start)
                    .await?;
                // Pages are not a snapshot: changes are read from the earliest page's revision on.
                let earliest = position.get_or_insert(page.position);
                if earliest.era != page.position.era {
                    let reason = "the store came back from a copy between two pages".to_owned();
                    return Err(StoreError::Unknown { reason });
                }
                *earliest = page.position.min(*earliest);
                after = page.last_key().map(str::to_owned);
                self.state.log_unreadable(&page.unreadable);
                items.extend(page.items);
                if !page.is_truncated || after.is_none() {
                    break;
                }
            }
        }
        let now = self.state.now();
        let position = position.unwrap_or_default();
        self.record_era(position, now);
        let grace = self.grace_from(now);
        let mut view = self.state.view.lock();
        Ok(view.replace(items, position, grace))
    }

    /// Records that the store has come back from a copy if a state is of a later era than the view.
    /// What it lost has been written again soon afterwards, or is gone.
    fn record_era(&mut self, position: StorePosition, now: Millis) {
        let known = self.state.view.lock().position();
        if known.revision == 0 || position.era <= known.era {
            return;
        }
        self.returned_at = Some(now);
        let inputs = [
            ("era", position.era as f64),
            ("revision", position.revision as f64),
            ("last_revision", known.revision as f64),
        ];
        self.state.log_event("store_restored", "", "", &inputs);
    }

    /// Reads all items after the store has come back from a copy: from the zone's relay if that has
    /// read them already, else from the store.
    async fn read_restored(&mut self) -> Result<Vec<Update>, StoreError> {
        let (now, position) = (self.state.now(), self.state.view.lock().position());
        let relay = self.state.fleet.lock().relay(now);
        if let Some(relay) = relay {
            tokio::time::sleep(RELAY_HEAD_START).await;
            if let Ok(view) = self.peer_client.changes(relay, position).await
                && view.position.era > position.era
            {
                self.merge(view);
                return Ok(Vec::new());
            }
        }
        self.read_all(Freshness::Fresh).await
    }

    async fn read_changes(&mut self, position: StorePosition) -> Result<Vec<Update>, StoreError> {
        // Unconfirmed items take effect with this read, and requests wait for it after a freeze, so it
        // does not wait for changes then.
        let is_awaited = self.state.is_view_outdated(self.state.now());
        let wait = if self.unconfirmed.is_empty() && !is_awaited {
            watch_wait(self.state.now().since(self.state.last_store_contact()))
        } else {
            Duration::ZERO
        };
        let mut updates = Vec::new();
        for prefix in self.state.schema.prefixes() {
            let read = self
                .store
                .changes(&prefix, position, wait, KeyStorePurpose::Changes)
                .await?;
            match read {
                Changes::Compacted => {
                    self.state.log_event("history_compacted", "", "", &[]);
                    return self.read_all(Freshness::Fresh).await;
                }
                Changes::Restored => return self.read_restored().await,
                Changes::Since {
                    changes,
                    unreadable,
                    position,
                } => {
                    self.state.log_unreadable(&unreadable);
                    let grace = self.grace_from(self.state.now());
                    let mut view = self.state.view.lock();
                    updates.extend(view.apply(changes, position, grace));
                }
            }
        }
        Ok(updates)
    }

    fn expire(&self, now: Millis) {
        let updates = self.state.view.lock().expire(now);
        self.state.apply_updates(updates);
    }

    /// Handles a failed read: asks a peer with a newer view, then backs off.
    async fn handle_failure(&mut self, e: &StoreError) {
        if !self.is_lost {
            self.is_lost = true;
            self.state.log_event("store_lost", "", &e.to_string(), &[]);
        }
        let now = self.state.now();
        let position = self.state.view.lock().position();
        let ahead = self.state.fleet.lock().peer_ahead_of(position, now);
        // The store serves others, so what is removed meanwhile has not lapsed in an outage.
        self.is_store_up |= ahead.is_some();
        if let Some(peer) = ahead {
            self.read_from_peer(peer).await;
        }
        let jitter = 0.75 + 0.5 * fastrand::f64();
        tokio::time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    async fn read_from_peer(&mut self, peer: std::net::SocketAddr) {
        let began_at = self.state.now();
        let position = self.state.view.lock().position();
        match self.peer_client.changes(peer, position).await {
            Ok(view) => {
                self.merge(view);
                self.state.view_reads.record(began_at);
            }
            Err(e) => self
                .state
                .log_event("peer_view_failed", "", &e.to_string(), &[]),
        }
    }

    fn merge(&mut self, peer: PeerView) {
        let now = self.state.now();
        self.record_era(peer.position, now);
        let mut view = self.state.view.lock();
        let (updates, unreadable) = view.merge(peer.delta, peer.position, now);
        drop(view);
        for item in unreadable {
            self.state
                .log_event("peer_view_unreadable", &item.key, &item.why, &[]);
        }
        self.apply_updates(updates);
    }

    /// Writes this host's entry to the store, by which other hosts find it.
    async fn write_own_entry(&mut self, now: Millis) {
        let settings = &self.state.settings;
        let (key, value) = self
            .state
            .schema
            .host_item(&settings.name, settings.listen.peers);
        let is_written = self.state.view.lock().holds(&key, &value);
        let was_tried_recently = self
            .own_entry_tried_at
            .is_some_and(|at| now.since(at) < OWN_ENTRY_PERIOD);
        if is_written || was_tried_recently || self.state.is_stopping() {
            return;
        }
        self.own_entry_tried_at = Some(now);
        let transaction = Transaction {
            writes: vec![(key, value)],
            ..Transaction::default()
        };
        if let Err(e) = self
            .store
            .commit(transaction, KeyStorePurpose::Membership)
            .await
        {
            self.state
                .log_event("own_entry_not_written", "", &e.to_string(), &[]);
        }
    }
}
