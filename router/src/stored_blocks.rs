//! Blocks of contents in the store, where they outlive the hosts.
//!
//! The host that sees the last crash writes the block at once. If it cannot, another host that
//! knows of the block by gossip does; with a chance by which about one host in the fleet tries in
//! each period.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    crash_evidence::EVIDENCE_LIFETIME,
    crash_suspects::ContentStatus,
    names::{FastMap, FastSet},
    time::Millis,
};
use clementinearch_storage::{KeyStore, KeyStorePurpose, Transaction};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::host_state::HostState;

/// Time between two comparisons of the blocks in force with those in the store.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Time after a write until it is repeated if the block does not show in the store.
const RETRY_PERIOD: Duration = Duration::from_secs(3);

/// Most transactions in a period.
const MAX_TRANSACTIONS: usize = 8;

#[derive(Debug, Default)]
struct Blocks {
    /// Contents whose block is in the store.
    stored: FastSet<u64>,
    /// Contents that this host found to crash servers.
    own: FastSet<u64>,
    /// Last write or removal by this host.
    tried_at: FastMap<u64, Millis>,
}

/// The blocks of a host, as far as the store is concerned.
#[derive(Debug, Default)]
pub(crate) struct StoredBlocks {
    blocks: Mutex<Blocks>,
    changed: Notify,
}

impl StoredBlocks {
    /// Records that a block is in the store.
    pub(crate) fn record_stored(&self, content: u64) {
        self.blocks.lock().stored.insert(content);
    }

    /// Records that a block is no longer in the store.
    pub(crate) fn record_removed(&self, content: u64) {
        self.blocks.lock().stored.remove(&content);
    }

    /// Records that this host found a content to crash servers, and has its block written.
    pub(crate) fn record_own(&self, content: u64) {
        self.blocks.lock().own.insert(content);
        self.changed.notify_one();
    }

    /// Chooses the contents out of `candidates` that this host writes or removes now.
    fn choose(&self, candidates: Vec<u64>, hosts: usize, now: Millis) -> Vec<u64> {
        let mut blocks = self.blocks.lock();
        let Blocks { own, tried_at, .. } = &mut *blocks;
        tried_at.retain(|_, at| now.since(*at) < RETRY_PERIOD);
        let mut chosen = candidates;
        chosen.retain(|content| {
            let is_due = !tried_at.contains_key(content);
            is_due && (own.contains(content) || fastrand::usize(..hosts.max(1)) == 0)
        });
        chosen.truncate(MAX_TRANSACTIONS);
        tried_at.extend(chosen.iter().map(|content| (*content, now)));
        chosen
    }

    /// Returns the blocks in force that are not in the store, and those in the store that are
    /// cleared.
    fn differences(&self, state: &HostState, now: Millis) -> (Vec<u64>, Vec<u64>) {
        let evidence = state.crash_evidence.lock();
        let mut blocks = self.blocks.lock();
        let blocked: FastSet<u64> = evidence.blocked(now).collect();
        blocks.own.retain(|content| blocked.contains(content));
        let missing = blocked.difference(&blocks.stored).copied().collect();
        let is_cleared = |content: &u64| evidence.status(*content, now) == ContentStatus::Clear;
        let stored = blocks.stored.iter().copied();
        (missing, stored.filter(is_cleared).collect())
    }
}

/// Keeps the blocks in the store up to date until the process ends.
pub(crate) async fn keep(state: Arc<HostState>, store: Arc<dyn KeyStore>) {
    let blocks = &state.stored_blocks;
    loop {
        let changed = tokio::time::timeout(SYNC_PERIOD, blocks.changed.notified());
        // Either way the blocks are compared.
        let _ = changed.await;
        if state.is_stopping() || state.table().is_none() {
            continue;
        }
        let now = state.now();
        let hosts = state.fleet.lock().live_hosts(now);
        let (missing, cleared) = blocks.differences(&state, now);
        for content in blocks.choose(missing, hosts, now) {
            let (key, value) = state.schema.block_item(content);
            let transaction = Transaction {
                expected: vec![(key.clone(), 0)],
                writes: vec![(key, value)],
                lifetime: Some(EVIDENCE_LIFETIME),
                ..Transaction::default()
            };
            commit(&state, &*store, transaction, "block_written", content).await;
        }
        for content in blocks.choose(cleared, hosts, now) {
            let (key, _) = state.schema.block_item(content);
            let transaction = Transaction {
                removals: vec![key],
                ..Transaction::default()
            };
            commit(&state, &*store, transaction, "block_removed", content).await;
        }
    }
}

async fn commit(
    state: &HostState,
    store: &dyn KeyStore,
    transaction: Transaction,
    event: &str,
    content: u64,
) {
    let committed = store.commit(transaction, KeyStorePurpose::Blocks).await;
    let why = match committed {
        Ok(outcome) => format!("{outcome:?}"),
        Err(e) => e.to_string(),
    };
    state.log_content(event, content, &why);
}
