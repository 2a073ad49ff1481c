//! Interface of a key-value store with prefix reads, change watches and transactions.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::store::StoreError;

/// Purpose of a [`KeyStore`] call, by which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyStorePurpose {
    /// Full read of all items.
    Start,
    /// Watch for changes since the last read.
    Changes,
    /// Write of this host's own entry.
    Membership,
    /// Write of a rollout's status.
    Rollout,
    /// Write or removal of the block of a request content.
    Blocks,
}

impl KeyStorePurpose {
    /// Value of the `purpose` label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Changes => "changes",
            Self::Membership => "membership",
            Self::Rollout => "rollout",
            Self::Blocks => "blocks",
        }
    }
}

/// Largest revision that a store can have: the largest whole number up to which JSON numbers are
/// exact for every reader.
pub const MAX_REVISION: u64 = 1 << 53;

/// Checks a revision that a store or a host names.
///
/// # Errors
///
/// Returns why it can be none: following the changes after it would never show any.
pub fn check_revision(revision: u64) -> Result<u64, String> {
    if revision > MAX_REVISION {
        return Err(format!("revision {revision} is too large"));
    }
    Ok(revision)
}

/// A state of the store. When the store comes back from an older copy of itself, its revisions go back
/// and are given out again in another era; so a revision alone does not tell which state is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of times that the store has come back from a copy; zero if it does not say.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// Consistency required of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Includes every write acknowledged before the read.
    Fresh,
    /// May be seconds old; such reads are cheap and not rate-limited.
    Stale,
}

/// Key, value and revision of an item in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// Full key, including the prefix.
    pub key: String,
    /// Raw bytes of the value.
    pub value: Vec<u8>,
    /// Store revision of the last change of the item.
    pub revision: u64,
}

/// An item that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Key of the item; empty if that cannot be read either.
    pub key: String,
    /// What is wrong with the item.
    pub why: String,
}

/// One page of the items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<StoredItem>,
    /// Items that cannot be read, in key order.
    pub unreadable: Vec<UnreadableItem>,
    /// Whether more items follow after the last key of this page.
    pub is_truncated: bool,
    /// State of the store at the time of the read.
    pub position: StorePosition,
}

impl Page {
    /// Returns the last key of the page, after which the next page begins.
    pub fn last_key(&self) -> Option<&str> {
        let readable = self.items.last().map(|item| item.key.as_str());
        let mut unreadable = self.unreadable.iter().rev().map(|item| item.key.as_str());
        readable.max(unreadable.find(|key| !key.is_empty()))
    }
}

/// Change of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// Created or overwritten.
    Written(StoredItem),
    /// Deleted.
    Removed {
        /// Key that no longer exists.
        key: String,
        /// Store revision of the deletion.
        revision: u64,
    },
}

impl ItemChange {
    /// Returns the key of the item.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Response to a request for the changes under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes since the requested revision.
    Since {
        /// Changes, oldest first. An item that was written and cannot be read counts as removed.
        changes: Vec<ItemChange>,
        /// Written items that cannot be read.
        unreadable: Vec<UnreadableItem>,
        /// State of the store from which to request the next changes.
        position: StorePosition,
    },
    /// The store has compacted the history since that state; a full read is needed.
    Compacted,
    /// The store has come back from a copy since that state; a full read is needed.
    Restored,
}

/// Writes and removals that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revisions they must have; zero means that the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys and values to write.
    pub writes: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub removals: Vec<String>,
    /// Time after which the store removes the written items by itself; `None` if it keeps them.
    pub lifetime: Option<Duration>,
}

/// Result of a transaction that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied in full.
    Done {
        /// State of the store right after the transaction.
        position: StorePosition,
    },
    /// Not applied, because a key did not have the expected revision.
    Conflict,
}

impl CommitOutcome {
    /// Returns the word for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Conflict => "conflict",
        }
    }

    /// Returns the revision of the store right after the transaction, if that was applied.
    pub fn revision(&self) -> Option<u64> {
        match self {
            Self::Done { position } => Some(position.revision),
            Self::Conflict => None,
        }
    }
}

/// Key-value store with prefix reads, prefix watches and transactions.
pub trait KeyStore: Send + Sync {
    /// Reads one page of the items under `prefix`, starting after the key `after`.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        freshness: Freshness,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<Page, StoreError>>;

    /// Waits up to `wait` for changes under `prefix` that are newer than the state `after`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: Duration,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Applies `transaction` if all keys have their expected revisions.
    fn commit<'a>(
        &'a self,
        transaction: Transaction,
        purpose: KeyStorePurpose,
    ) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;
}
