//! The border towards a key store with prefixes, transactions and leases.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::store::StoreError;

/// What a call is made for; calls are counted by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyStorePurpose {
    /// The first read of everything.
    Start,
    /// Changes since the last read.
    Changes,
    /// This host's own entry.
    Membership,
    /// The status of a roll-out.
    Rollout,
}

impl KeyStorePurpose {
    /// The label of counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Changes => "changes",
            Self::Membership => "membership",
            Self::Rollout => "rollout",
        }
    }
}

/// How new a read's answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Everything acknowledged before the read.
    Fresh,
    /// It may be seconds old; such reads are cheap and not limited.
    Stale,
}

/// An item as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A page of items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<StoredItem>,
    /// Whether more items follow behind the last key.
    pub is_truncated: bool,
    /// Revision of the store.
    pub store_revision: u64,
}

/// A change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// It was written.
    Written(StoredItem),
    /// It was removed.
    Removed {
        /// Its key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Changes under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes since the revision that was asked for.
    Since {
        /// The changes, the oldest first.
        changes: Vec<ItemChange>,
        /// Where to go on.
        store_revision: u64,
    },
    /// The store no longer has this history: read everything again.
    Compacted,
}

/// A change of several items that takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; zero stands for a key that does not exist.
    pub expected: Vec<(String, u64)>,
    /// Items to write.
    pub writes: Vec<(String, Vec<u8>)>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect.
    Done {
        /// Its revision.
        revision: u64,
    },
    /// A key had another revision: nothing was changed.
    Conflict,
}

/// A store of keys with prefix reads, prefix watches and transactions.
pub trait KeyStore: Send + Sync {
    /// Reads the items under `prefix` behind the key `after`.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        freshness: Freshness,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<Page, StoreError>>;

    /// Waits for changes under `prefix` after a revision, at most for `wait`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Commits a transaction.
    fn commit<'a>(
        &'a self,
        transaction: Transaction,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;
}
