//! The entry hosts that one host knows, by their entries in the store and their own words.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{
    names::{FastMap, Name},
    placement::affinity_rank,
    time::Millis,
};

use crate::call::hash_bytes;

/// A peer that said nothing for this long does not count as alive; longer in a large fleet, where
/// each period reaches a part of the peers.
const ALIVE_FOR: Duration = Duration::from_secs(3);

/// Peers that are told at once.
pub(crate) const PEERS_PER_PERIOD: usize = 16;

/// A relay that said nothing for this long is passed over.
const RELAY_HEARD_WITHIN: Duration = Duration::from_secs(2);

/// Share of periods in which a silent peer is told too.
const SILENT_ODDS: usize = 8;

/// What a peer says of itself.
#[derive(Clone, Debug)]
pub(crate) struct PeerInfo {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Name,
    pub(crate) store_revision: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    zone: Option<Name>,
    heard: Option<Millis>,
    store_revision: u64,
}

/// The entry hosts that this one knows.
#[derive(Debug)]
pub(crate) struct Fleet {
    me: Name,
    zone: Name,
    peers: FastMap<Name, Peer>,
}

impl Fleet {
    /// Knows only `me`.
    pub(crate) fn new(me: Name, zone: Name) -> Self {
        Self {
            me,
            zone,
            peers: FastMap::default(),
        }
    }

    /// Learns of a host. Returns how many hosts are known, this one included.
    pub(crate) fn add_host(&mut self, name: Name, address: SocketAddr) -> usize {
        if name != self.me {
            let peer = self.peers.entry(name).or_insert(Peer {
                address,
                zone: None,
                heard: None,
                store_revision: 0,
            });
            peer.address = address;
        }
        1 + self.peers.len()
    }

    /// Takes in a peer's info.
    pub(crate) fn record_peer(&mut self, info: PeerInfo, now: Millis) {
        self.add_host(info.name.clone(), info.address);
        if let Some(peer) = self.peers.get_mut(&info.name) {
            peer.heard = Some(now);
            peer.zone = Some(info.zone);
            peer.store_revision = info.store_revision;
        }
    }

    fn alive(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let periods = self.peers.len().div_ceil(PEERS_PER_PERIOD).max(1) as u32;
        self.heard_within(ALIVE_FOR * periods, now)
    }

    fn heard_within(&self, span: Duration, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let is_heard = move |peer: &Peer| peer.heard.is_some_and(|at| now.since(at) <= span);
        self.peers.iter().filter(move |(_, peer)| is_heard(peer))
    }

    /// Hosts that are known, alive or not, this one included.
    pub(crate) fn known_hosts(&self) -> usize {
        1 + self.peers.len()
    }

    /// Hosts that are alive, this one included.
    pub(crate) fn live_hosts(&self, now: Millis) -> usize {
        1 + self.alive(now).count()
    }

    /// How many hosts that are alive come before this one.
    pub(crate) fn rank(&self, now: Millis) -> usize {
        self.alive(now).filter(|(name, _)| **name < self.me).count()
    }

    /// All peers that may be alive, those of the own zone first.
    pub(crate) fn gossip_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let periods = self.peers.len().div_ceil(PEERS_PER_PERIOD).max(1) as u32;
        let mut chosen: Vec<(bool, SocketAddr)> = Vec::new();
        for peer in self.peers.values() {
            let is_silent = peer
                .heard
                .is_some_and(|heard| now.since(heard) > ALIVE_FOR * periods);
            if !is_silent || fastrand::usize(..SILENT_ODDS) == 0 {
                let is_away = peer.zone.as_ref() != Some(&self.zone);
                chosen.push((is_away, peer.address));
            }
        }
        fastrand::shuffle(&mut chosen);
        chosen.sort_by_key(|(is_away, _)| *is_away);
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    /// A peer that knows a later revision of the store than `revision`.
    pub(crate) fn peer_ahead_of(&self, revision: u64, now: Millis) -> Option<SocketAddr> {
        let ahead = self
            .alive(now)
            .filter(|(_, peer)| peer.store_revision > revision);
        let addresses: Vec<SocketAddr> = ahead.map(|(_, peer)| peer.address).collect();
        fastrand::choice(addresses)
    }

    /// The host of the own zone that reads the store for the others; none if it is this one.
    pub(crate) fn relay(&self, now: Millis) -> Option<SocketAddr> {
        let rank = |name: &str| affinity_rank(hash_bytes(b"relay"), hash_bytes(name.as_bytes()));
        let in_zone = self
            .heard_within(RELAY_HEARD_WITHIN, now)
            .filter(|(_, peer)| peer.zone.as_ref() == Some(&self.zone));
        let (best, peer) = in_zone.max_by_key(|(name, _)| rank(name))?;
        (rank(best) > rank(&self.me)).then_some(peer.address)
    }
}
