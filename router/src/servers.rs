//! The registry of backend servers on one host, indexed by name, service and name hash.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{
    names::{FastMap, Name},
    time::Millis,
};
use parking_lot::{Mutex, RwLock};

use crate::{
    server::{NamedLimit, Server, ServerEntry, ServerState, SharedLimit},
    server_pace::ServerPace,
};

type Pool = Arc<[Arc<Server>]>;

/// How long the word of a leaving server outlives its entry, which may lapse and return.
const LEAVING_LIFETIME: Duration = Duration::from_secs(600);

/// How long the number of a removed server's last entry is kept: longer than a copy is old from which
/// the store may come back.
const REMOVAL_LIFETIME: Duration = Duration::from_secs(600);

/// The backend servers known to a host.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    by_name: RwLock<FastMap<Name, Arc<Server>>>,
    index: RwLock<Index>,
    /// Incarnation of each server that has said that it leaves, and when.
    leaving: Mutex<FastMap<Name, (u64, Millis)>>,
    /// Incarnation and last entry's number of each server whose entry was removed, and when.
    removed: Mutex<FastMap<Name, (u64, u64, Millis)>>,
    /// Each server that is no longer known, and when it was dropped: its entry may be read again.
    dropped: Mutex<FastMap<Name, (Dropped, Millis)>>,
    /// What the servers of each service said last of the refusals that they bear.
    refusal_limits: Mutex<FastMap<Name, SharedLimit>>,
    /// Incarnation of each server that has asked this host for rest, and the end of the rest.
    resting: Mutex<FastMap<Name, (u64, Millis)>>,
    /// Whether `by_name` has changed since the index was built.
    is_dirty: AtomicBool,
}

/// What is kept of a server that is no longer known.
#[derive(Debug)]
struct Dropped {
    incarnation: u64,
    pace: Arc<ServerPace>,
    /// The limit that the server named last.
    limit: Option<NamedLimit>,
}

/// The lookup tables for requests (by service) and peers (by name hash).
#[derive(Debug, Default)]
struct Index {
    pools: FastMap<Name, Pool>,
    by_hash: FastMap<u64, Arc<Server>>,
}

/// The effect of a server's entry on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryChange {
    /// The server was not known.
    New,
    /// The server is known in another incarnation.
    Restarted,
    /// A known server started to drain.
    Draining,
    /// Another field of a known server's entry changed.
    Updated,
    /// The entry names another time for which the server is cold, and is the same otherwise.
    ColdTime,
    /// The entry is the same as before: a heartbeat.
    Unchanged,
    /// The entry is older than one of the same incarnation that was known before.
    Outdated,
}

impl Servers {
    /// Returns the servers of a service, sorted by name.
    pub(crate) fn pool(&self, service: &str) -> Pool {
        self.index
            .read()
            .pools
            .get(service)
            .cloned()
            .unwrap_or_else(|| Arc::from([]))
    }

    /// Whether no server is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.read().is_empty()
    }

    /// Returns the names of all servers, in no particular order.
    pub(crate) fn names(&self) -> Vec<Name> {
        self.by_name.read().keys().cloned().collect()
    }

    /// Returns the server whose name has this hash.
    pub(crate) fn by_hash(&self, name_hash: u64) -> Option<Arc<Server>> {
        self.index.read().by_hash.get(&name_hash).cloned()
    }

    /// Returns all servers, in no particular order.
    pub(crate) fn all(&self) -> Vec<Arc<Server>> {
        self.by_name.read().values().cloned().collect()
    }

    /// Adds or updates a server by its entry. Lookups see the change after
    /// [`refresh`](Self::refresh).
    pub(crate) fn update(&self, entry: ServerEntry, now: Millis) -> EntryChange {
        let cold_until = now.after(entry.cold_remaining);
        let mut by_name = self.by_name.write();
        let change = match by_name.get(&entry.name) {
            Some(known)
                if known.entry.incarnation == entry.incarnation
                    && known.sequence() > entry.sequence =>
            {
                return EntryChange::Outdated;
            }
            None if self.is_outdated(&entry) => return EntryChange::Outdated,
            Some(known) if known.entry.is_same_but_for_heartbeat(&entry) => {
                known.record_sequence(entry.sequence);
                known.set_lapsed_entry(false);
                return if known.pace.set_cold_by_entry(cold_until, now) {
                    EntryChange::ColdTime
                } else {
                    EntryChange::Unchanged
                };
            }
            Some(known) if is_same_incarnation(&known.entry, &entry) => {
                let is_draining = entry.state == ServerState::Draining;
                if is_draining && known.entry.state == ServerState::Ready {
                    EntryChange::Draining
                } else {
                    EntryChange::Updated
                }
            }
            Some(_) => EntryChange::Restarted,
            None => EntryChange::New,
        };
        let name = entry.name.clone();
        let next = match by_name.get(&name) {
            Some(known) if change != EntryChange::Restarted => known.with_entry(entry),
            Some(known) => Server::new(entry).with_pace(known.pace.clone()),
            None => self.returned(entry),
        };
        let mut refusal_limits = self.refusal_limits.lock();
        let refusal_limit = refusal_limits
            .entry(next.entry.service.clone())
            .or_default();
        let next = next.with_service_refusal_limit(refusal_limit.clone());
        drop(refusal_limits);
        if self.has_left(&next.entry) {
            next.mark_leaving();
        }
        next.rest_until(self.resting_until(&next.entry));
        next.pace.set_cold_by_entry(cold_until, now);
        by_name.insert(name, Arc::new(next));
        self.is_dirty.store(true, Ordering::Relaxed);
        change
    }

    /// Records that a server has said that it leaves. Returns whether that is news.
    pub(crate) fn mark_leaving(&self, server: &Server, now: Millis) -> bool {
        let entry = &server.entry;
        let mut leaving = self.leaving.lock();
        leaving.retain(|_, (_, since)| now.since(*since) <= LEAVING_LIFETIME);
        leaving.insert(entry.name.clone(), (entry.incarnation, now));
        drop(leaving);
        let is_news = server.mark_leaving();
        // The record may have been replaced since the request was sent.
        if let Some(current) = self.current_record(server) {
            current.mark_leaving();
        }
        is_news
    }

    /// Returns the record that has replaced this one of the same start of a server.
    pub(crate) fn current_record(&self, server: &Server) -> Option<Arc<Server>> {
        let current = self.get(&server.entry.name)?;
        let is_same_start = current.entry.incarnation == server.entry.incarnation;
        (is_same_start && !std::ptr::eq(&*current, server)).then_some(current)
    }

    /// Records that a server wants nothing from this host until `until`.
    pub(crate) fn record_rest(&self, server: &Server, until: Millis, now: Millis) {
        let entry = &server.entry;
        let mut resting = self.resting.lock();
        resting.retain(|_, (_, until)| *until > now);
        let known = resting
            .entry(entry.name.clone())
            .or_insert((entry.incarnation, until));
        if known.0 == entry.incarnation {
            known.1 = known.1.max(until);
        } else {
            *known = (entry.incarnation, until);
        }
        drop(resting);
        server.rest_until(until);
        // The record may have been replaced since the request was sent.
        if let Some(current) = self.current_record(server) {
            current.rest_until(until);
        }
    }

    /// End of the rest that this start of a server has asked for; zero if it has asked for none.
    fn resting_until(&self, entry: &ServerEntry) -> Millis {
        let resting = self.resting.lock();
        match resting.get(&entry.name) {
            Some((incarnation, until)) if *incarnation == entry.incarnation => *until,
            _ => Millis::default(),
        }
    }

    fn has_left(&self, entry: &ServerEntry) -> bool {
        let leaving = self.leaving.lock();
        let known = leaving.get(&entry.name);
        known.is_some_and(|(incarnation, _)| *incarnation == entry.incarnation)
    }

    /// Creates the record of a server that may have been dropped before.
    fn returned(&self, entry: ServerEntry) -> Server {
        let dropped = self.dropped.lock();
        let Some((last, _)) = dropped.get(&entry.name) else {
            return Server::new(entry);
        };
        let is_same_start = last.incarnation == entry.incarnation;
        let server = Server::new(entry).with_pace(last.pace.clone());
        if let Some(limit) = last.limit.filter(|_| is_same_start) {
            server.record_limit(limit.per_s, limit.named_at);
        }
        server
    }

    /// Whether the entry names another start than the one that this host last knew of the server,
    /// which it may have dropped since.
    pub(crate) fn names_other_start(&self, entry: &ServerEntry) -> bool {
        if let Some(known) = self.get(&entry.name) {
            return !is_same_incarnation(&known.entry, entry);
        }
        let dropped = self.dropped.lock();
        let last = dropped.get(&entry.name);
        last.is_some_and(|(last, _)| last.incarnation != entry.incarnation)
    }

    /// Marks a server whose entry lapsed while the store was unavailable.
    pub(crate) fn mark_lapsed(&self, name: &str) {
        if let Some(server) = self.by_name.read().get(name) {
            server.set_lapsed_entry(true);
        }
    }

    /// Returns a server by its name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Server>> {
        self.by_name.read().get(name).cloned()
    }

    /// Number of servers in a zone.
    pub(crate) fn count_in_zone(&self, zone: &str) -> usize {
        let by_name = self.by_name.read();
        let in_zone = by_name
            .values()
            .filter(|server| *server.entry.zone == *zone);
        in_zone.count()
    }

    /// Whether the server of this entry was removed after a later entry: a store that came back from
    /// an older copy has it again.
    fn is_outdated(&self, entry: &ServerEntry) -> bool {
        let removed = self.removed.lock();
        removed
            .get(&entry.name)
            .is_some_and(|(incarnation, sequence, _)| {
                *incarnation == entry.incarnation && *sequence > entry.sequence
            })
    }

    /// Removes a server whose entry was removed, and returns it if it was known.
    pub(crate) fn remove_unlisted(&self, name: &str, now: Millis) -> Option<Arc<Server>> {
        let server = self.remove(name, now)?;
        let mut removed = self.removed.lock();
        removed.retain(|_, (_, _, since)| now.since(*since) <= REMOVAL_LIFETIME);
        let last = (server.entry.incarnation, server.sequence(), now);
        removed.insert(server.entry.name.clone(), last);
        drop(removed);
        Some(server)
    }

    /// Removes a server and returns it if it was known.
    pub(crate) fn remove(&self, name: &str, now: Millis) -> Option<Arc<Server>> {
        let removed = self.by_name.write().remove(name);
        if let Some(server) = &removed {
            let last = Dropped {
                incarnation: server.entry.incarnation,
                pace: server.pace.clone(),
                limit: server.named_limit(),
            };
            let mut dropped = self.dropped.lock();
            dropped.retain(|_, (_, since)| now.since(*since) <= REMOVAL_LIFETIME);
            dropped.insert(server.entry.name.clone(), (last, now));
            drop(dropped);
            self.is_dirty.store(true, Ordering::Relaxed);
        }
        removed
    }

    /// Rebuilds the lookup tables if any server changed, once for a whole batch of changes.
    pub(crate) fn refresh(&self) {
        if !self.is_dirty.swap(false, Ordering::Relaxed) {
            return;
        }
        let by_name = self.by_name.read();
        let mut by_hash = FastMap::default();
        let mut pools: FastMap<Name, Vec<Arc<Server>>> = FastMap::default();
        let mut latest: FastMap<SocketAddr, u64> = FastMap::default();
        for server in by_name.values() {
            let at = latest.entry(server.entry.address).or_default();
            *at = server.entry.incarnation.max(*at);
        }
        for server in by_name.values() {
            by_hash.insert(server.name_hash, server.clone());
            // A later start at the address shows that this server is gone; its entry lapses later.
            if server.entry.incarnation < latest[&server.entry.address] {
                continue;
            }
            pools
                .entry(server.entry.service.clone())
                .or_default()
                .push(server.clone());
        }
        let sorted = |mut pool: Vec<Arc<Server>>| {
            pool.sort_by(|left, right| left.entry.name.cmp(&right.entry.name));
            Arc::from(pool)
        };
        let pools = pools
            .into_iter()
            .map(|(service, pool)| (service, sorted(pool)))
            .collect();
        *self.index.write() = Index { pools, by_hash };
    }
}

fn is_same_incarnation(known: &ServerEntry, entry: &ServerEntry) -> bool {
    known.incarnation == entry.incarnation
        && known.address == entry.address
        && known.service == entry.service
}
