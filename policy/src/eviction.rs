//! Eviction from maps that must not grow without bound.

use crate::names::FastMap;

/// Removes the `excess` entries with the lowest ranks.
pub(crate) fn evict<T, R: Ord>(
    entries: &mut FastMap<u64, T>,
    excess: usize,
    rank: impl Fn(u64, &T) -> R,
) {
    if excess == 0 {
        return;
    }
    let mut ranked: Vec<(R, u64)> = entries
        .iter()
        .map(|(key, entry)| (rank(*key, entry), *key))
        .collect();
    ranked.sort_unstable();
    for (_, key) in ranked.into_iter().take(excess) {
        entries.remove(&key);
    }
}
