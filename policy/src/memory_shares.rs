//! Sharing of the memory in which a host holds bodies until they are complete.
//!
//! The threshold is dynamic: whoever holds more than a multiple of what is free gets nothing more.
//! So there is always something free for the others, however many hold as much as they can, and one
//! alone may still use a large part of the memory.

use crate::names::{FastMap, Name};

/// Bytes of a single body that only the total limits, so that short bodies are still held while a
/// few owners have reached their shares.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Bytes that the bodies of one group may hold, as a fraction of what is free.
const GROUP_FRACTION: f64 = 1.0;

/// Bytes that the responses of one server may hold, as a fraction of what is free.
const SERVER_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of a host's memory in which it holds bodies. The rest is for what does not grow with
/// them, and for what the allocator loses.
const BODY_FRACTION: f64 = 1.0 / 3.0;

/// On whose behalf a body is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BodyOwner {
    /// Callers, whose requests arrive.
    Callers,
    /// A server of a service, whose response arrives. The server may be another entry host that
    /// passes the response on.
    Server {
        /// Name of the service.
        service: Name,
        /// Name of the server.
        server: Name,
    },
}

/// Groups of owners that share a threshold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    Callers,
    Service(Name),
}

impl BodyOwner {
    fn group(&self) -> Group {
        match self {
            Self::Callers => Group::Callers,
            Self::Server { service, .. } => Group::Service(service.clone()),
        }
    }
}

/// Returns how many bytes of bodies a host with this memory may hold, bytes.
pub fn body_memory(memory: u64) -> usize {
    (memory as f64 * BODY_FRACTION) as usize
}

/// What bodies a host holds, and for whom.
#[derive(Clone, Debug, Default)]
pub struct MemoryShares {
    limit: usize,
    held: usize,
    groups: FastMap<Group, usize>,
    servers: FastMap<BodyOwner, usize>,
}

impl MemoryShares {
    /// Creates shares of `limit` bytes, all of them free.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Takes `more` bytes for a body that has `held` bytes already. Returns whether they were free.
    pub fn take(&mut self, owner: &BodyOwner, held: usize, more: usize) -> bool {
        let Some(free) = (self.limit - self.held).checked_sub(more) else {
            return false;
        };
        let group = owner.group();
        let of_group = self.groups.get(&group).copied().unwrap_or_default() + more;
        let of_server = self.servers.get(owner).copied().unwrap_or_default() + more;
        let is_within = |bytes: usize, fraction: f64| bytes as f64 <= free as f64 * fraction;
        let has_share = is_within(of_group, GROUP_FRACTION)
            && (*owner == BodyOwner::Callers || is_within(of_server, SERVER_FRACTION));
        if !has_share && held + more > SMALL_BODY_BYTES {
            return false;
        }
        self.held += more;
        self.groups.insert(group, of_group);
        self.servers.insert(owner.clone(), of_server);
        true
    }

    /// Returns the size of the largest body that could be held if there were no other.
    pub fn largest_body(&self, owner: &BodyOwner) -> usize {
        let fraction = match owner {
            BodyOwner::Callers => GROUP_FRACTION,
            BodyOwner::Server { .. } => SERVER_FRACTION,
        };
        (self.limit as f64 * fraction / (1.0 + fraction)) as usize
    }

    /// Gives back bytes that were taken.
    pub fn give_back(&mut self, owner: &BodyOwner, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        subtract(&mut self.groups, &owner.group(), bytes);
        subtract(&mut self.servers, owner, bytes);
    }

    /// Bytes of all bodies.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The owners that hold most, with their bytes, largest first.
    pub fn largest(&self, count: usize) -> Vec<(BodyOwner, usize)> {
        let owned = self.servers.iter();
        let mut owned: Vec<_> = owned
            .map(|(owner, bytes)| (owner.clone(), *bytes))
            .collect();
        owned.sort_unstable_by_key(|(_, bytes)| std::cmp::Reverse(*bytes));
        owned.truncate(count);
        owned
    }
}

/// Subtracts bytes of a key, which is forgotten once it has none.
fn subtract<K: std::hash::Hash + Eq>(held: &mut FastMap<K, usize>, key: &K, bytes: usize) {
    if let Some(left) = held.get_mut(key) {
        *left = left.saturating_sub(bytes);
        if *left == 0 {
            held.remove(key);
        }
    }
}
