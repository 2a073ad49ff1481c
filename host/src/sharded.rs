//! A map in shards, each under its own lock.

use std::hash::{BuildHasher, Hash};

use clementinearch_policy::names::FastMap;
use parking_lot::{Mutex, MutexGuard};

/// Number of shards: more than threads that meet at one map.
const SHARDS: usize = 16;

/// A hash map whose keys are spread over locks.
pub(crate) struct Sharded<K, V> {
    shards: [Mutex<FastMap<K, V>>; SHARDS],
}

impl<K, V> Default for Sharded<K, V> {
    fn default() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Locks the shard of `key`.
    pub(crate) fn lock(&self, key: &K) -> MutexGuard<'_, FastMap<K, V>> {
        let hash = rustc_hash::FxBuildHasher.hash_one(key);
        // The low bits choose the bucket within the shard's map; the high ones choose the shard.
        self.shards[(hash >> 32) as usize % SHARDS].lock()
    }

    /// All shards, each to be locked in turn.
    pub(crate) fn shards(&self) -> impl Iterator<Item = &Mutex<FastMap<K, V>>> {
        self.shards.iter()
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }
}
