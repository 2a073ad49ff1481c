//! Which version a session began on, for callers that carry no token: the zone's owners of the
//! session remember it, and the first of them decides between two first requests.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::{Name, rendezvous},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    board::Board,
    clock,
    peers::{PeerClients, call_context},
    sharded::Sharded,
};

/// Hosts of a zone that remember a session.
const OWNERS: usize = 2;

/// How long a session is remembered after its last request.
const IDLE_LIFETIME: Duration = Duration::from_secs(4 * 3600);

/// Time between two sweeps of idle sessions.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// Pins in one message of a planned stop.
const PINS_PER_MESSAGE: usize = 1000;

/// A session and the version it began on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pin {
    /// Account, model and session id.
    pub(crate) key: Name,
    pub(crate) version: Name,
}

struct Remembered {
    version: Name,
    last_used: Millis,
}

/// The sessions that this host remembers.
pub(crate) struct Sessions {
    board: Arc<Board>,
    clients: Arc<PeerClients>,
    pins: Sharded<Name, Remembered>,
}

impl Sessions {
    /// Remembers nothing yet.
    pub(crate) fn new(board: Arc<Board>, clients: Arc<PeerClients>) -> Self {
        Self {
            board,
            clients,
            pins: Sharded::default(),
        }
    }

    /// The version of a session: the remembered one, or else `version`, which is remembered from now on.
    pub(crate) fn remember(&self, pin: Pin) -> Name {
        let now = clock::now();
        let mut shard = self.pins.lock(&pin.key);
        let remembered = shard.entry(pin.key).or_insert(Remembered {
            version: pin.version,
            last_used: now,
        });
        remembered.last_used = now;
        remembered.version.clone()
    }

    /// Asks the session's owners, the first one first. Without any answer the proposed version stands.
    pub(crate) async fn resolve(&self, proposed: Pin) -> Name {
        let mut pin = proposed;
        for owner in self.owners(&pin.key) {
            if let Some(version) = self.remember_at(&owner, pin.clone()).await {
                pin.version = version;
            }
        }
        pin.version
    }

    fn owners(&self, key: &Name) -> Vec<Name> {
        let members = self.board.members.lock();
        rendezvous(
            key,
            members.in_zone(&self.board.settings.zone).iter(),
            OWNERS,
        )
    }

    async fn remember_at(&self, owner: &Name, pin: Pin) -> Option<Name> {
        if *owner == self.board.settings.name {
            return Some(self.remember(pin));
        }
        let address = self.board.members.lock().get(owner)?.address.clone();
        let call = self.clients.call(&address, |peer| async move {
            peer.pin(call_context(), vec![pin]).await
        });
        call.await.ok()?.pop()
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
            if owner == self.board.settings.name {
                continue;
            }
            let Some(address) = self
                .board
                .members
                .lock()
                .get(&owner)
                .map(|row| row.address.clone())
            else {
                continue;
            };
            for part in pins.chunks(PINS_PER_MESSAGE) {
                let part = part.to_vec();
                let call = self.clients.call(&address, |peer| async move {
                    peer.pin(call_context(), part).await
                });
                if let Err(e) = call.await {
                    log::warn!("planned stop: {owner} took no sessions: {e}");
                }
            }
        }
    }
}
