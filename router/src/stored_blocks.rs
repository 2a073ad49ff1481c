//! Blocks of contents and prompt parts in the store, where they outlive the hosts.
//!
//! The host that sees the last crash writes the block at once. If it cannot, another host that
//! knows of the block by gossip does; with a chance by which about one host in the fleet tries in
//! each period.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    crash_evidence::EVIDENCE_LIFETIME,
    crash_suspects::ContentStatus,
    names::{FastMap, FastSet},
    part_evidence::BLOCK_LIFETIME,
    time::Millis,
};
use clementinearch_storage::{KeyStore, KeyStorePurpose, Transaction};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{dialect::Block, host_state::HostState};

/// Time between two comparisons of the blocks in force with those in the store.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Time after a write until it is repeated if the block does not show in the store.
const RETRY_PERIOD: Duration = Duration::from_secs(3);

/// Most transactions in a period.
const MAX_TRANSACTIONS: usize = 8;

#[derive(Debug, Default)]
struct Blocks {
    /// Blocks in the store.
    stored: FastSet<Block>,
    /// What this host found to crash servers.
    own: FastSet<Block>,
    /// Last write or removal by this host.
    tried_at: FastMap<Block, Millis>,
}

/// The blocks of a host, as far as the store is concerned.
#[derive(Debug, Default)]
pub(crate) struct StoredBlocks {
    blocks: Mutex<Blocks>,
    changed: Notify,
}

impl StoredBlocks {
    /// Records that a block is in the store.
    pub(crate) fn record_stored(&self, block: Block) {
        self.blocks.lock().stored.insert(block);
    }

    /// Records that a block is no longer in the store.
    pub(crate) fn record_removed(&self, block: Block) {
        self.blocks.lock().stored.remove(&block);
    }

    /// Records that this host found a content or part to crash servers, and has its block written.
    pub(crate) fn record_own(&self, block: Block) {
        self.blocks.lock().own.insert(block);
        self.changed.notify_one();
    }

    /// Chooses the blocks out of `candidates` that this host writes or removes now.
    fn choose(&self, candidates: Vec<Block>, hosts: usize, now: Millis) -> Vec<Block> {
        let mut blocks = self.blocks.lock();
        let Blocks { own, tried_at, .. } = &mut *blocks;
        tried_at.retain(|_, at| now.since(*at) < RETRY_PERIOD);
        let mut chosen = candidates;
        chosen.retain(|block| {
            let is_due = !tried_at.contains_key(block);
            is_due && (own.contains(block) || fastrand::usize(..hosts.max(1)) == 0)
        });
        chosen.truncate(MAX_TRANSACTIONS);
        tried_at.extend(chosen.iter().map(|block| (*block, now)));
        chosen
    }

    /// Returns the blocks in force that are not in the store, and those in the store that are
    /// cleared.
    fn differences(&self, state: &HostState, now: Millis) -> (Vec<Block>, Vec<Block>) {
        let parts: FastSet<u64> = state.part_evidence.lock().blocked().clone();
        let contents = state.crash_evidence.lock();
        let mut blocks = self.blocks.lock();
        let blocked_contents = contents.blocked(now).map(Block::Content);
        let blocked_parts = parts.iter().copied().map(Block::Part);
        let blocked: FastSet<Block> = blocked_contents.chain(blocked_parts).collect();
        blocks.own.retain(|block| blocked.contains(block));
        let missing = blocked.difference(&blocks.stored).copied().collect();
        let is_cleared = |block: &Block| match block {
            Block::Content(content) => contents.status(*content, now) == ContentStatus::Clear,
            Block::Part(part) => !parts.contains(part),
        };
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
        for block in blocks.choose(missing, hosts, now) {
            let (key, value) = state.schema.block_item(block);
            let lifetime = match block {
                Block::Content(_) => EVIDENCE_LIFETIME,
                Block::Part(_) => BLOCK_LIFETIME,
            };
            let transaction = Transaction {
                expected: vec![(key.clone(), 0)],
                writes: vec![(key, value)],
                lifetime: Some(lifetime),
                ..Transaction::default()
            };
            commit(&state, &*store, transaction, "block_written", block).await;
        }
        for block in blocks.choose(cleared, hosts, now) {
            let (key, _) = state.schema.block_item(block);
            let transaction = Transaction {
                removals: vec![key],
                ..Transaction::default()
            };
            commit(&state, &*store, transaction, "block_removed", block).await;
        }
    }
}

async fn commit(
    state: &HostState,
    store: &dyn KeyStore,
    transaction: Transaction,
    event: &str,
    block: Block,
) {
    let committed = store.commit(transaction, KeyStorePurpose::Blocks).await;
    match committed {
        Ok(outcome) => {
            let revision = outcome.revision().map(|it| ("revision", it as f64));
            state.log_block_with(event, block, outcome.label(), revision.as_slice());
        }
        Err(e) => state.log_block(event, block, &e.to_string()),
    }
}
