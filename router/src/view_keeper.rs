//! Keeps this host's view of the store: reads everything once, then changes in a steady period,
//! and asks peers while the store is out of reach.
//!
//! The first read may be stale: hosts that all start at once would ask for more pages than the store
//! gives out in a minute. What it brought counts only with the changes since, from the store or a peer.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{names::FastSet, time::Millis};
use clementinearch_storage::{
    Changes, Freshness, KeyStore, KeyStorePurpose, StoreError, StoredItem, Transaction,
};

use crate::{
    board::Board,
    dialect::StoreItem,
    relayed::{PeerView, RelayClient},
    view::Update,
};

/// Longest that the store is asked to wait for changes; a silent store is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// First pause after a failed read; later ones double.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest such pause: within it a host hears of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Age of a relay's word above which the store is asked directly: a relay reads more often.
const RELAY_AGE: Duration = Duration::from_millis(900);

/// Time without the store after which entries may have lapsed there.
const AWAY_AFTER: Duration = Duration::from_millis(2_500);

/// Time after the store's return in which missing entries may still come back.
const RETURN_WINDOW: Duration = Duration::from_millis(2_200);

/// Pause between two tries to write this host's own entry.
const OWN_ENTRY_PERIOD: Duration = Duration::from_secs(3);

/// Keeps the view of one host.
pub(crate) struct ViewKeeper {
    board: Arc<Board>,
    store: Arc<dyn KeyStore>,
    pause: Duration,
    returned_at: Option<Millis>,
    is_lost: bool,
    /// Whether a peer showed that the store went on without this host.
    is_store_up: bool,
    own_entry_tried: Option<Millis>,
    relays: RelayClient,
    /// Updates of a stale read, which wait for the changes since.
    unconfirmed: Vec<Update>,
}

impl ViewKeeper {
    /// A keeper that has read nothing yet.
    pub(crate) fn new(board: Arc<Board>, store: Arc<dyn KeyStore>) -> Self {
        Self {
            board,
            store,
            pause: FIRST_PAUSE,
            returned_at: None,
            is_lost: false,
            is_store_up: false,
            own_entry_tried: None,
            relays: RelayClient::default(),
            unconfirmed: Vec::new(),
        }
    }

    /// Keeps the view until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.follow_relay().await {
                self.read_store().await;
            }
        }
    }

    /// Reads from the zone's relay. Returns whether that was enough.
    async fn follow_relay(&mut self) -> bool {
        let (now, revision) = (self.board.now(), self.board.view.lock().store_revision());
        let relay = self.board.fleet.lock().relay(now);
        let Some(relay) = relay.filter(|_| revision != 0 && !self.is_lost) else {
            return false;
        };
        let Ok(view) = self.relays.changes(relay, revision).await else {
            return false;
        };
        let age = view.age;
        if age > RELAY_AGE {
            return false;
        }
        let now = self.board.now();
        self.take_in(view);
        self.board
            .note_store_heard(Millis(now.0.saturating_sub(age.as_millis() as u64)));
        self.expire(now);
        self.write_own_entry(now).await;
        true
    }

    /// Reads from the store itself.
    async fn read_store(&mut self) {
        let began = self.board.now();
        let revision = self.board.view.lock().store_revision();
        if revision == 0 {
            return self.read_stale().await;
        }
        let read = self.read_changes(revision).await;
        let now = self.board.now();
        match read {
            Ok(updates) => {
                self.note_answer(now);
                self.carry_out(updates);
                self.expire(now);
                self.write_own_entry(now).await;
                if self.board.fleet.lock().relay(now).is_none() {
                    let spent = self.board.now().since(began);
                    tokio::time::sleep(self.period().saturating_sub(spent)).await;
                }
            }
            Err(e) => self.go_without(&e).await,
        }
    }

    /// Reads everything as it may have been seconds ago.
    async fn read_stale(&mut self) {
        match self.read_all(Freshness::Stale).await {
            Ok(updates) => {
                self.learn_hosts(&updates);
                self.unconfirmed = updates;
            }
            Err(e) => self.go_without(&e).await,
        }
    }

    /// Learns of peers at once: one of them may tell the changes since.
    fn learn_hosts(&self, updates: &[Update]) {
        for update in updates {
            let Update::Written { key, value } = update else {
                continue;
            };
            if let Ok(StoreItem::Host { name, address }) = self.board.schema.read(key, value) {
                self.board.fleet.lock().learn(name, address);
            }
        }
    }

    /// Carries out what a stale read brought, then `updates`, which are newer.
    fn carry_out(&mut self, updates: Vec<Update>) {
        let mut all = std::mem::take(&mut self.unconfirmed);
        let newer: FastSet<&str> = updates.iter().map(Update::key).collect();
        all.retain(|old| !newer.contains(old.key()));
        all.extend(updates);
        self.board.carry_out(all);
    }

    /// Hosts that start together, or watch together, do not ask in step.
    fn period(&self) -> Duration {
        self.board
            .settings
            .limits
            .view_period
            .mul_f64(0.9 + 0.2 * fastrand::f64())
    }

    fn note_answer(&mut self, now: Millis) {
        let heard = self.board.store_heard();
        if heard != Millis::default() && now.since(heard) > AWAY_AFTER && !self.is_store_up {
            self.returned_at = Some(now);
        }
        self.is_store_up = false;
        if self.is_lost {
            self.is_lost = false;
            let away_ms = now.since(heard).as_millis() as f64;
            self.board
                .log_belief("store_regained", "", "", &[("away_ms", away_ms)]);
        }
        self.pause = FIRST_PAUSE;
        self.board.note_store_heard(now);
    }

    /// The time since which lapsed entries may come back, if the store was away just now.
    fn grace_from(&self, now: Millis) -> Option<Millis> {
        let heard = self.board.store_heard();
        if heard != Millis::default() && now.since(heard) > AWAY_AFTER && !self.is_store_up {
            return Some(now);
        }
        self.returned_at
            .filter(|at| now.since(*at) <= RETURN_WINDOW)
    }

    async fn read_all(&self, freshness: Freshness) -> Result<Vec<Update>, StoreError> {
        let mut items: Vec<StoredItem> = Vec::new();
        let mut revision = u64::MAX;
        for prefix in self.board.schema.prefixes() {
            let mut after: Option<String> = None;
            loop {
                let page = self
                    .store
                    .range(&prefix, after.as_deref(), freshness, KeyStorePurpose::Start)
                    .await?;
                // Pages are no snapshot: changes are read from the earliest one on.
                revision = revision.min(page.store_revision);
                after = page.items.last().map(|item| item.key.clone());
                items.extend(page.items);
                if !page.is_truncated || after.is_none() {
                    break;
                }
            }
        }
        let now = self.board.now();
        let grace = self.grace_from(now);
        let mut view = self.board.view.lock();
        Ok(view.replace(items, revision, grace))
    }

    async fn read_changes(&self, revision: u64) -> Result<Vec<Update>, StoreError> {
        // A host that knows nothing for sure does not wait for news.
        let wait = if self.unconfirmed.is_empty() {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let mut updates = Vec::new();
        for prefix in self.board.schema.prefixes() {
            let read = self
                .store
                .changes(&prefix, revision, wait, KeyStorePurpose::Changes)
                .await?;
            match read {
                Changes::Compacted => {
                    self.board.log_belief("history_compacted", "", "", &[]);
                    return self.read_all(Freshness::Fresh).await;
                }
                Changes::Since {
                    changes,
                    store_revision,
                } => {
                    let grace = self.grace_from(self.board.now());
                    let mut view = self.board.view.lock();
                    updates.extend(view.apply(changes, store_revision, grace));
                }
            }
        }
        Ok(updates)
    }

    fn expire(&self, now: Millis) {
        let updates = self.board.view.lock().expire(now);
        self.board.carry_out(updates);
    }

    /// The store did not answer: pauses, and asks a peer that knows more.
    async fn go_without(&mut self, e: &StoreError) {
        if !self.is_lost {
            self.is_lost = true;
            self.board.log_belief("store_lost", "", &e.to_string(), &[]);
        }
        let now = self.board.now();
        let revision = self.board.view.lock().store_revision();
        let ahead = self.board.fleet.lock().ahead_of(revision, now);
        // The store serves others: what is removed there meanwhile is gone.
        self.is_store_up |= ahead.is_some();
        if let Some(peer) = ahead {
            self.learn_from(peer).await;
        }
        let jitter = 0.75 + 0.5 * fastrand::f64();
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    async fn learn_from(&mut self, peer: std::net::SocketAddr) {
        let revision = self.board.view.lock().store_revision();
        match self.relays.changes(peer, revision).await {
            Ok(view) => self.take_in(view),
            Err(e) => self
                .board
                .log_belief("peer_view_failed", "", &e.to_string(), &[]),
        }
    }

    fn take_in(&mut self, peer: PeerView) {
        let mut view = self.board.view.lock();
        let merged = view.merge(peer.rows, peer.store_revision);
        drop(view);
        match merged {
            Ok(updates) => self.carry_out(updates),
            Err(e) => self
                .board
                .log_belief("peer_view_unreadable", "", &e.to_string(), &[]),
        }
    }

    /// Lets other hosts find this one.
    async fn write_own_entry(&mut self, now: Millis) {
        let settings = &self.board.settings;
        let (key, value) = self
            .board
            .schema
            .host_item(&settings.name, settings.listen.peers);
        let is_written = self.board.view.lock().holds(&key, &value);
        let tried_lately = self
            .own_entry_tried
            .is_some_and(|at| now.since(at) < OWN_ENTRY_PERIOD);
        if is_written || tried_lately || self.board.is_stopping() {
            return;
        }
        self.own_entry_tried = Some(now);
        let transaction = Transaction {
            writes: vec![(key, value)],
            ..Transaction::default()
        };
        if let Err(e) = self
            .store
            .commit(transaction, KeyStorePurpose::Membership)
            .await
        {
            self.board
                .log_belief("own_entry_not_written", "", &e.to_string(), &[]);
        }
    }
}
