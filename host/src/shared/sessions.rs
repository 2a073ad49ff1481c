//! Which version a session began on, for callers that carry no token: the zone's owners of the
//! session remember it, and the first of them decides between two first requests.

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

/// Hosts of a zone that remember a session.
const OWNERS: usize = 2;

/// How long a session is remembered after its last request.
const IDLE_LIFETIME: Duration = Duration::from_secs(4 * 3600);

/// Time between two sweeps of idle sessions.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// Longest wait for an owner, who may be asleep.
const OWNER_TIMEOUT: Duration = Duration::from_millis(200);

/// Pins in one message of a planned stop.
const PINS_PER_MESSAGE: usize = 1000;

struct Remembered {
    version: Name,
    last_used: Millis,
}

/// The sessions that this host remembers.
pub(crate) struct Sessions {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    pins: Sharded<Name, Remembered>,
}

impl Sessions {
    /// Remembers nothing yet.
    pub(crate) fn new(state: Arc<HostState>, clients: Arc<PeerClients>) -> Self {
        Self {
            state,
            clients,
            pins: Sharded::default(),
        }
    }

    /// Remembers a session unless it is remembered already; answers what is remembered.
    pub(crate) fn remember(&self, pin: Pin) -> StoredPin {
        let now = clock::now();
        let mut shard = self.pins.lock(&pin.key);
        let was_known = shard.contains_key(&pin.key);
        let remembered = shard.entry(pin.key).or_insert(Remembered {
            version: pin.version,
            last_used: now,
        });
        remembered.last_used = now;
        StoredPin {
            version: remembered.version.clone(),
            was_known,
        }
    }

    /// Replaces what is remembered of a session by the version that its owners agreed on.
    pub(crate) fn correct(&self, pin: Pin) {
        let remembered = Remembered {
            version: pin.version,
            last_used: clock::now(),
        };
        self.pins.lock(&pin.key).insert(pin.key, remembered);
    }

    /// The version of a session. Its owners are asked in their order; the first one that knew the
    /// session before decides, and owners that said otherwise are corrected. Without any answer the
    /// proposed version stands.
    pub(crate) async fn resolve(&self, proposed: Pin) -> Name {
        let mut pin = proposed;
        let mut is_decided = false;
        let mut said = Vec::new();
        for owner in self.owners(&pin.key) {
            let Some(recollection) = self.remember_at(&owner, pin.clone()).await else {
                continue;
            };
            if recollection.was_known && !is_decided {
                is_decided = true;
                pin.version = recollection.version.clone();
            }
            said.push((owner, recollection.version));
        }
        for (owner, version) in said {
            if version != pin.version {
                self.correct_at(&owner, pin.clone()).await;
            }
        }
        pin.version
    }

    fn owners(&self, key: &Name) -> Vec<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone_or_suspect(&self.state.settings.zone);
        rendezvous(key, zone.iter(), OWNERS)
    }

    async fn remember_at(&self, owner: &Name, pin: Pin) -> Option<StoredPin> {
        if *owner == self.state.settings.name {
            return Some(self.remember(pin));
        }
        let address = self.state.peer_address(owner)?;
        let call = self.clients.call(&address, |peer| async move {
            peer.remember(call_context(), vec![pin]).await
        });
        timeout(OWNER_TIMEOUT, call).await.ok()?.ok()?.pop()
    }

    async fn correct_at(&self, owner: &Name, pin: Pin) {
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

    /// Forgets idle sessions.
    pub(crate) fn sweep(&self, now: Millis) {
        for shard in self.pins.shards() {
            shard
                .lock()
                .retain(|_, remembered| now.since(remembered.last_used) <= IDLE_LIFETIME);
        }
        metrics::gauge!("clementinearch_sessions_remembered").set(self.pins.len() as f64);
    }

    /// Hands all sessions to their next owners, at a planned stop.
    pub(crate) async fn hand_over(&self) {
        let mut by_owner: Vec<(Name, Vec<Pin>)> = Vec::new();
        for shard in self.pins.shards() {
            let shard = shard.lock();
            for (key, remembered) in shard.iter() {
                for owner in self.owners(key) {
                    let pin = Pin {
                        key: key.clone(),
                        version: remembered.version.clone(),
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
            for part in pins.chunks(PINS_PER_MESSAGE) {
                let part = part.to_vec();
                let call = self.clients.call(&address, |peer| async move {
                    peer.remember(call_context(), part).await
                });
                if let Err(e) = call.await {
                    log::warn!("planned stop: {owner} took no sessions: {e}");
                }
            }
        }
    }
}
