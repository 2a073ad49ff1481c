//! Hash map in shards with a lock each, for concurrent access.

use std::hash::{BuildHasher, Hash};

use clementinearch_policy::names::FastMap;
use parking_lot::{Mutex, MutexGuard};

/// Number of shards, more than threads that use a map at the same time.
const SHARDS: usize = 16;

/// A hash map whose keys are spread over shards with a lock each.
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
    /// Locks and returns the shard of `key`.
    pub(crate) fn lock(&self, key: &K) -> MutexGuard<'_, FastMap<K, V>> {
        let hash = rustc_hash::FxBuildHasher.hash_one(key);
        // The low bits select the bucket within the shard's map, so the shard is selected by high
        // bits.
        self.shards[(hash >> 32) as usize % SHARDS].lock()
    }

    /// Iterates over all shards, none of them locked.
    pub(crate) fn shards(&self) -> impl Iterator<Item = &Mutex<FastMap<K, V>>> {
        self.shards.iter()
    }

    /// Returns the number of entries. Shards are counted one after the other, so it is approximate
    /// while others write.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }
}
