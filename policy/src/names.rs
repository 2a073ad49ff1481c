//! Shared names, the hash maps keyed by them, and hashes that are equal on all hosts.

use std::sync::Arc;

use sha2::{Digest, Sha256};

/// A cheaply cloned immutable string, used for names and other shared text.
pub type Name = Arc<str>;

/// Hash map with a fast hasher that does not resist collision attacks: keys must not be raw caller
/// input.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hasher of [`FastMap`]; gives equal hashes on all hosts that run the same build.
pub type FastHasher = rustc_hash::FxHasher;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub fn digest_hex(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a 64-bit hash of `parts` that is equal on all hosts and builds.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    let bytes = digest.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}

/// Returns the `count` candidates that rank highest for `key` by rendezvous hashing.
///
/// Hosts that know the same candidates agree on the result. Adding or removing a candidate moves
/// only the keys that it gains or loses.
pub fn rendezvous<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = candidates
        .map(|name| (stable_hash(&[key, name]), name))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name.clone())
        .collect()
}
