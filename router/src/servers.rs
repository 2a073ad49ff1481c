//! All backend servers that a host knows, by what requests and peers ask for.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use clementinearch_policy::names::{FastMap, Name};
use parking_lot::RwLock;

use crate::server::{Server, ServerEntry, ServerState};

type Pool = Arc<[Arc<Server>]>;

/// All backend servers that a host knows.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    by_name: RwLock<FastMap<Name, Arc<Server>>>,
    index: RwLock<Index>,
    /// Whether the index lags behind the servers by name.
    is_dirty: AtomicBool,
}

/// Servers by what requests and peers ask for.
#[derive(Debug, Default)]
struct Index {
    pools: FastMap<Name, Pool>,
    by_hash: FastMap<u64, Arc<Server>>,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryChange {
    /// A server that was not known.
    New,
    /// A known server that drains now.
    Draining,
    /// A known server says something else of itself.
    Updated,
    /// Only a heartbeat.
    Unchanged,
}

impl Servers {
    /// Servers of a service.
    pub(crate) fn pool(&self, service: &str) -> Pool {
        self.index
            .read()
            .pools
            .get(service)
            .cloned()
            .unwrap_or_else(|| Arc::from([]))
    }

    /// Whether any server is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.read().is_empty()
    }

    /// Names of all servers.
    pub(crate) fn names(&self) -> Vec<Name> {
        self.by_name.read().keys().cloned().collect()
    }

    /// The server whose name has this hash.
    pub(crate) fn by_hash(&self, name_hash: u64) -> Option<Arc<Server>> {
        self.index.read().by_hash.get(&name_hash).cloned()
    }

    /// All servers.
    pub(crate) fn all(&self) -> Vec<Arc<Server>> {
        self.by_name.read().values().cloned().collect()
    }

    /// Takes in what a server says of itself.
    pub(crate) fn update(&self, entry: ServerEntry) -> EntryChange {
        let mut by_name = self.by_name.write();
        let change = match by_name.get(&entry.name) {
            Some(known) if known.entry == entry => {
                known.set_lapsed_entry(false);
                return EntryChange::Unchanged;
            }
            Some(known) if is_same_start(&known.entry, &entry) => {
                let drains = entry.state == ServerState::Draining;
                if drains && known.entry.state == ServerState::Ready {
                    EntryChange::Draining
                } else {
                    EntryChange::Updated
                }
            }
            _ => EntryChange::New,
        };
        let name = entry.name.clone();
        let next = match by_name.get(&name) {
            Some(known) if change != EntryChange::New => known.with_entry(entry),
            _ => Server::new(entry),
        };
        by_name.insert(name, Arc::new(next));
        self.is_dirty.store(true, Ordering::Relaxed);
        change
    }

    /// Notes that a server's entry lapsed while the store was away.
    pub(crate) fn mark_lapsed(&self, name: &str) {
        if let Some(server) = self.by_name.read().get(name) {
            server.set_lapsed_entry(true);
        }
    }

    /// Forgets a server. Returns whether it was known.
    pub(crate) fn remove(&self, name: &str) -> bool {
        let was_known = self.by_name.write().remove(name).is_some();
        if was_known {
            self.is_dirty.store(true, Ordering::Relaxed);
        }
        was_known
    }

    /// Brings the index up to date, once for all changes that came together.
    pub(crate) fn refresh(&self) {
        if !self.is_dirty.swap(false, Ordering::Relaxed) {
            return;
        }
        let by_name = self.by_name.read();
        let mut by_hash = FastMap::default();
        let mut pools: FastMap<Name, Vec<Arc<Server>>> = FastMap::default();
        for server in by_name.values() {
            by_hash.insert(server.name_hash, server.clone());
            pools
                .entry(server.entry.service.clone())
                .or_default()
                .push(server.clone());
        }
        let in_order = |mut pool: Vec<Arc<Server>>| {
            pool.sort_by(|left, right| left.entry.name.cmp(&right.entry.name));
            Arc::from(pool)
        };
        let pools = pools
            .into_iter()
            .map(|(service, pool)| (service, in_order(pool)))
            .collect();
        *self.index.write() = Index { pools, by_hash };
    }
}

fn is_same_start(known: &ServerEntry, entry: &ServerEntry) -> bool {
    known.incarnation == entry.incarnation
        && known.address == entry.address
        && known.service == entry.service
}
