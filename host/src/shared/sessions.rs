//! Versions of sessions whose callers send no token. The session's owners, chosen among the hosts
//! of the zone, store its version; the first owner decides between concurrent first requests.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::{Name, rendezvous},
    time::Millis,
};
use tokio::time::timeout;

use crate::{
    clock,
    host_state::HostState,
    peers::clients::{PeerClients, call_context},
    peers::protocol::{Pin, StoredPin},
    sharded::Sharded,
};

/// Hosts of a zone that store a session.
const OWNERS_PER_SESSION: usize = 2;

/// Time after its last request until a session is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4 * 3600);

/// Time between two removals of idle sessions.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Timeout of a call to an owner, whose process may be suspended.
const OWNER_TIMEOUT: Duration = Duration::from_millis(200);

/// Most pins in one message when sessions are handed over.
const MAX_PINS_PER_MESSAGE: usize = 1000;

/// Stored session.
struct SessionEntry {
    version: Name,
    last_used: Millis,
}

/// Sessions stored by this host, and calls to the other owners.
pub(crate) struct Sessions {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    entries: Sharded<Name, SessionEntry>,
}

impl Sessions {
    /// Creates an empty session store.
    pub(crate) fn new(state: Arc<HostState>, clients: Arc<PeerClients>) -> Self {
        Self {
            state,
            clients,
            entries: Sharded::default(),
        }
    }

    /// Stores a session unless it is known, and restarts its idle time. Returns the version stored.
    pub(crate) fn remember(&self, pin: Pin) -> StoredPin {
        let now = clock::now();
        let mut shard = self.entries.lock(&pin.key);
        let was_known = shard.contains_key(&pin.key);
        let entry = shard.entry(pin.key).or_insert(SessionEntry {
            version: pin.version,
            last_used: now,
        });
        entry.last_used = now;
        StoredPin {
            version: entry.version.clone(),
            was_known,
        }
    }

    /// Overwrites a session's version with the one that [`Self::resolve`] determined, here or at a peer.
    pub(crate) fn correct(&self, pin: Pin) {
        let entry = SessionEntry {
            version: pin.version,
            last_used: clock::now(),
        };
        self.entries.lock(&pin.key).insert(pin.key, entry);
    }

    /// Determines the version of a session. Its owners are asked in order; the version of the first
    /// one that knew the session is used, and owners that returned another one are corrected. If no
    /// owner knew it or answered, the proposed version is used.
    pub(crate) async fn resolve(&self, proposed: Pin) -> Name {
        let mut pin = proposed;
        let mut is_decided = false;
        let mut replies = Vec::new();
        for owner in self.owners(&pin.key) {
            let Some(stored) = self.remember_on(&owner, pin.clone()).await else {
                continue;
            };
            if stored.was_known && !is_decided {
                is_decided = true;
                pin.version = stored.version.clone();
            }
            replies.push((owner, stored.version));
        }
        for (owner, version) in replies {
            if version != pin.version {
                self.correct_on(&owner, pin.clone()).await;
            }
        }
        pin.version
    }

    /// Returns the hosts that store a session, in the order in which they are asked.
    fn owners(&self, key: &Name) -> Vec<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone_or_suspect(&self.state.settings.zone);
        rendezvous(key, zone.iter(), OWNERS_PER_SESSION)
    }

    async fn remember_on(&self, owner: &Name, pin: Pin) -> Option<StoredPin> {
        if *owner == self.state.settings.name {
            return Some(self.remember(pin));
        }
        let address = self.state.peer_address(owner)?;
        let call = self.clients.call(&address, |peer| async move {
            peer.remember(call_context(), vec![pin]).await
        });
        timeout(OWNER_TIMEOUT, call).await.ok()?.ok()?.pop()
    }

    async fn correct_on(&self, owner: &Name, pin: Pin) {
        if *owner == self.state.settings.name {
            return self.correct(pin);
        }
        let Some(address) = self.state.peer_address(owner) else {
            return;
        };
        let call = self.clients.call(&address, |peer| async move {
            peer.correct(call_context(), pin).await
        });
        let _ = timeout(OWNER_TIMEOUT, call).await;
    }

    /// Removes idle sessions.
    pub(crate) fn sweep(&self, now: Millis) {
        for shard in self.entries.shards() {
            shard
                .lock()
                .retain(|_, entry| now.since(entry.last_used) <= IDLE_TIMEOUT);
        }
        metrics::gauge!("clementinearch_sessions_remembered").set(self.entries.len() as f64);
    }

    /// Sends all sessions to their owners, during graceful shutdown.
    pub(crate) async fn hand_over(&self) {
        let mut by_owner: Vec<(Name, Vec<Pin>)> = Vec::new();
        for shard in self.entries.shards() {
            let shard = shard.lock();
            for (key, entry) in shard.iter() {
                for owner in self.owners(key) {
                    let pin = Pin {
                        key: key.clone(),
                        version: entry.version.clone(),
                    };
                    match by_owner.iter_mut().find(|(name, _)| *name == owner) {
                        Some((_, pins)) => pins.push(pin),
                        None => by_owner.push((owner, vec![pin])),
                    }
                }
            }
        }
        for (owner, pins) in by_owner {
            if owner == self.state.settings.name {
                continue;
            }
            let Some(address) = self.state.peer_address(&owner) else {
                continue;
            };
            for batch in pins.chunks(MAX_PINS_PER_MESSAGE) {
                let batch = batch.to_vec();
                let call = self.clients.call(&address, |peer| async move {
                    peer.remember(call_context(), batch).await
                });
                if let Err(e) = call.await {
                    log::warn!(
                        "graceful shutdown: sessions could not be handed over to {owner}: {e}"
                    );
                }
            }
        }
    }
}
