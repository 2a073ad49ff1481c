//! The entry hosts that one host knows, from their entries in the store and from gossip.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{
    forwarding_support::ForwardingSupport,
    names::{FastMap, Name},
    placement::affinity_rank,
    shared_load::{LONG_PREFILL_PEERS, NEAR_PEERS, TRACKERS, crossing_probability},
    time::Millis,
};
use clementinearch_storage::StorePosition;

use crate::call::hash_bytes;

/// Silence after which a peer no longer counts as live. Multiplied in a large fleet, where one
/// gossip period reaches only some of the peers.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest number of peers that one batch of prefills is sent to, and of peers in the own zone that
/// one report is sent to.
pub(crate) const PEERS_PER_PERIOD: usize = 16;

/// Least number of peers in other zones that one report is sent to, if there are as many.
pub(crate) const REMOTE_PEERS_PER_PERIOD: usize = 6;

/// Largest number of peers of an unknown zone that one report is sent to. Entries of hosts that are
/// gone stay in the store.
const UNKNOWN_PEERS_PER_PERIOD: usize = 128;

/// Silence after which a peer is not used as the relay of its zone.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers in the own zone that are asked to serve a request before those of all zones.
const NEAR_PEERS_ASKED_FIRST: usize = 2;

/// A silent peer is sent to in one of this many periods on average.
const SILENT_PEER_PERIODS: usize = 8;

/// What a peer reports about itself.
#[derive(Clone, Debug)]
pub(crate) struct PeerInfo {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Name,
    /// State of the store up to which its view is complete.
    pub(crate) position: StorePosition,
    /// Whether it reaches no backend server.
    pub(crate) has_lost_servers: bool,
    /// Rate of its link, Mbit/s; zero if it is not known.
    pub(crate) link_mbps: u32,
    /// Whether it says that it serves forwarded requests.
    pub(crate) serves_forwarded: bool,
    /// Whether it says that it reads messages on the servers' load.
    pub(crate) reads_loads: bool,
}

/// A peer that a request may be forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardingPeer {
    /// Zone; none before its first report.
    pub(crate) zone: Option<Name>,
    pub(crate) address: SocketAddr,
    /// Whether it is known to serve forwarded requests.
    pub(crate) is_known: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Zone; none before the first report.
    zone: Option<Name>,
    /// Time of the last report; none before the first.
    last_report: Option<Millis>,
    position: StorePosition,
    has_lost_servers: bool,
    /// Rate of its link, Mbit/s; zero if it is not known.
    link_mbps: u32,
    forwarding: ForwardingSupport,
    reads_loads: bool,
}

/// The entry hosts that this one knows.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    own_name: Name,
    zone: Name,
    /// Rate of this host's link, Mbit/s; zero if it is not known.
    link_mbps: u32,
    peers: FastMap<Name, Peer>,
    /// Peers in the own zone whose first report has come since the last report to all recipients:
    /// they may not know that this host is in their zone.
    newly_met: Vec<SocketAddr>,
}

impl Fleet {
    /// A fleet of only the host `own_name` in `zone`.
    pub(crate) fn new(own_name: Name, zone: Name) -> Self {
        Self {
            own_name,
            zone,
            link_mbps: 0,
            peers: FastMap::default(),
            newly_met: Vec::new(),
        }
    }

    /// Sets the rate of this host's link, Mbit/s.
    pub(crate) fn with_link(mut self, mbps: u32) -> Self {
        self.link_mbps = mbps;
        self
    }

    /// Rate of this host's link, Mbit/s; zero if it is not known.
    pub(crate) fn link_mbps(&self) -> u32 {
        self.link_mbps
    }

    /// Adds a host or updates its address. Returns the number of known hosts, this one included.
    pub(crate) fn add_host(&mut self, name: Name, address: SocketAddr) -> usize {
        if name != self.own_name {
            let peer = self.peers.entry(name).or_insert(Peer {
                address,
                zone: None,
                last_report: None,
                position: StorePosition::default(),
                has_lost_servers: false,
                link_mbps: 0,
                forwarding: ForwardingSupport::default(),
                reads_loads: false,
            });
            peer.address = address;
        }
        1 + self.peers.len()
    }

    /// Records a peer's report.
    pub(crate) fn record_peer(&mut self, info: PeerInfo, now: Millis) {
        self.add_host(info.name.clone(), info.address);
        if let Some(peer) = self.peers.get_mut(&info.name) {
            peer.last_report = Some(now);
            if peer.zone.replace(info.zone).is_none() && peer.zone.as_ref() == Some(&self.zone) {
                self.newly_met.push(info.address);
            }
            peer.position = info.position;
            peer.has_lost_servers = info.has_lost_servers;
            peer.link_mbps = info.link_mbps;
            peer.forwarding.record_report(info.serves_forwarded);
            peer.reads_loads = info.reads_loads;
        }
    }

    fn live_peers(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let periods = self.peers.len().div_ceil(PEERS_PER_PERIOD).max(1) as u32;
        self.reported_within(LIVENESS_TIMEOUT * periods, now)
    }

    fn reported_within(&self, span: Duration, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let is_recent = move |peer: &Peer| peer.last_report.is_some_and(|at| now.since(at) <= span);
        self.peers.iter().filter(move |(_, peer)| is_recent(peer))
    }

    /// Number of known hosts, live or not, this one included.
    pub(crate) fn known_hosts(&self) -> usize {
        1 + self.peers.len()
    }

    /// Number of known hosts whose name sorts before this one's.
    pub(crate) fn rank_among_known(&self) -> usize {
        let names = self.peers.keys();
        names.filter(|name| **name < self.own_name).count()
    }

    /// Number of known hosts that rank before this one for an item with this hash.
    pub(crate) fn rank_among_known_for(&self, item: u64) -> usize {
        let rank = |name: &str| affinity_rank(item, hash_bytes(name.as_bytes()));
        let own = rank(&self.own_name);
        self.peers.keys().filter(|name| rank(name) > own).count()
    }

    /// Number of live hosts, this one included.
    pub(crate) fn live_hosts(&self, now: Millis) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Number of live hosts in the own zone whose name sorts before this one's.
    pub(crate) fn rank_in_zone(&self, now: Millis) -> usize {
        self.live_peers(now)
            .filter(|(name, peer)| **name < self.own_name && self.is_near(peer))
            .count()
    }

    /// Number of live hosts that rank before this one for an item with this hash. Hosts with the same
    /// view of the fleet agree on the order.
    pub(crate) fn rank_for(&self, item: u64, now: Millis) -> usize {
        let rank = |name: &str| affinity_rank(item, hash_bytes(name.as_bytes()));
        let own = rank(&self.own_name);
        self.live_peers(now)
            .filter(|(name, _)| rank(name) > own)
            .count()
    }

    fn is_near(&self, peer: &Peer) -> bool {
        peer.zone.as_ref() == Some(&self.zone)
    }

    /// Addresses to send gossip to, in random order with those of the own zone first. Most silent
    /// peers are left out.
    pub(crate) fn gossip_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let (mut near, remote) = self.targets_by_zone(now);
        near.extend(remote);
        near
    }

    /// Addresses to send a report to, in random order. Reports cross zones in every period, however
    /// large the own zone is.
    pub(crate) fn report_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let (mut targets, remote) = self.targets_by_zone(now);
        targets.truncate(PEERS_PER_PERIOD);
        let free = PEERS_PER_PERIOD - targets.len();
        let remote = remote.into_iter();
        targets.extend(remote.take(free.max(REMOTE_PEERS_PER_PERIOD)));
        fastrand::shuffle(&mut targets);
        targets
    }

    /// Addresses of the hosts that are told of all prompts for a server of this zone, and whether this
    /// host is one: live hosts of the zone, or of the fleet if the zone has none.
    pub(crate) fn trackers(
        &self,
        zone: &Name,
        server: u64,
        now: Millis,
    ) -> (Vec<SocketAddr>, bool) {
        let rank = |name: &str| affinity_rank(server, hash_bytes(name.as_bytes()));
        let readers = || self.live_peers(now).filter(|(_, peer)| peer.reads_loads);
        let in_zone = |peer: &Peer| peer.zone.as_ref() == Some(zone);
        let is_own_zone = *zone == self.zone;
        let has_hosts = is_own_zone || readers().any(|(_, peer)| in_zone(peer));
        let candidates = readers().filter(|(_, peer)| !has_hosts || in_zone(peer));
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = candidates
            .map(|(name, peer)| (rank(name), Some(peer.address)))
            .collect();
        if is_own_zone || !has_hosts {
            ranked.push((rank(&self.own_name), None));
        }
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(TRACKERS);
        let is_own = ranked.iter().any(|(_, address)| address.is_none());
        (ranked.into_iter().filter_map(|it| it.1).collect(), is_own)
    }

    /// Addresses of peers of the own zone to tell of a long prompt at once.
    pub(crate) fn near_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let (near, _) = self.targets_by_zone(now);
        fastrand::choose_multiple(near, LONG_PREFILL_PEERS)
    }

    /// Addresses of one peer in each other zone, which tells its zone of a long prompt.
    pub(crate) fn zone_relays(&self, now: Millis) -> Vec<SocketAddr> {
        let remote = self.remote_readers(now).into_values();
        remote.filter_map(fastrand::choice).collect()
    }

    /// Live peers of each other zone that read messages on the servers' load.
    fn remote_readers(&self, now: Millis) -> FastMap<&Name, Vec<SocketAddr>> {
        let mut remote: FastMap<&Name, Vec<SocketAddr>> = FastMap::default();
        for (_, peer) in self.live_peers(now).filter(|(_, peer)| peer.reads_loads) {
            if let Some(zone) = peer.zone.as_ref().filter(|zone| **zone != self.zone) {
                remote.entry(zone).or_default().push(peer.address);
            }
        }
        remote
    }

    /// Addresses to send a message on the servers' load to: a few random live peers in the own zone
    /// and now and then one in each other zone.
    pub(crate) fn load_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let readers = self.live_peers(now).filter(|(_, peer)| peer.reads_loads);
        let near = readers.filter(|(_, peer)| self.is_near(peer));
        let near: Vec<SocketAddr> = near.map(|(_, peer)| peer.address).collect();
        let remote = self.remote_readers(now);
        let probability = crossing_probability(near.len() + 1);
        let mut targets = fastrand::choose_multiple(near, NEAR_PEERS);
        for addresses in remote.into_values() {
            if fastrand::f64() < probability {
                targets.extend(fastrand::choice(addresses));
            }
        }
        targets
    }

    /// Addresses to send the next report to, in random order: those of [`Self::report_targets`],
    /// peers that were newly met in the own zone and, if this host reads the store for the zone,
    /// all others there, which would otherwise not always know that it does. Peers of an unknown
    /// zone may be there too.
    pub(crate) fn report_recipients(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut recipients = self.report_targets(now);
        recipients.append(&mut self.newly_met);
        if self.relay(now).is_none() {
            let (near, _) = self.targets_by_zone(now);
            let unknown = self.peers.values().filter(|peer| peer.zone.is_none());
            let unknown: Vec<SocketAddr> = unknown.map(|peer| peer.address).collect();
            recipients.extend(near);
            recipients.extend(fastrand::choose_multiple(unknown, UNKNOWN_PEERS_PER_PERIOD));
        }
        recipients.sort_unstable();
        recipients.dedup();
        fastrand::shuffle(&mut recipients);
        recipients
    }

    /// Addresses of the peers in the own and in other zones, each in random order. Most silent
    /// peers are left out.
    fn targets_by_zone(&self, now: Millis) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let periods = self.peers.len().div_ceil(PEERS_PER_PERIOD).max(1) as u32;
        let (mut near, mut remote) = (Vec::new(), Vec::new());
        for peer in self.peers.values() {
            let is_silent = peer
                .last_report
                .is_some_and(|at| now.since(at) > LIVENESS_TIMEOUT * periods);
            if is_silent && fastrand::usize(..SILENT_PEER_PERIODS) != 0 {
                continue;
            }
            if self.is_near(peer) {
                near.push(peer.address);
            } else {
                remote.push(peer.address);
            }
        }
        fastrand::shuffle(&mut near);
        fastrand::shuffle(&mut remote);
        (near, remote)
    }

    /// Records that a peer refused a forwarded request. It is passed over until its next report.
    pub(crate) fn record_forwarding_refused(&mut self, address: SocketAddr) {
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.address == address) {
            peer.has_lost_servers = true;
        }
    }

    /// Records whether a peer's answer shows that it serves forwarded requests.
    pub(crate) fn record_forwarding_support(
        &mut self,
        address: SocketAddr,
        is_shown: bool,
        now: Millis,
    ) {
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.address == address) {
            peer.forwarding.record_answer(is_shown, now);
        }
    }

    /// Whether a live peer reaches backend servers.
    pub(crate) fn has_peer_with_servers(&self, now: Millis) -> bool {
        self.live_peers(now).any(|(_, peer)| !peer.has_lost_servers)
    }

    /// Live peers that reach backend servers and may serve forwarded requests, in the order in
    /// which they are asked: those that are known to serve them first, at random, beginning with a
    /// few of the own zone if as many of them reach servers as do not.
    pub(crate) fn forwarding_peers(&self, now: Millis) -> Vec<ForwardingPeer> {
        let (mut near, mut remote) = (Vec::new(), Vec::new());
        let mut near_lost = 1;
        for (_, peer) in self.live_peers(now) {
            if !peer.forwarding.is_possible(now) {
                continue;
            }
            let candidate = ForwardingPeer {
                zone: peer.zone.clone(),
                address: peer.address,
                is_known: peer.forwarding.is_known(),
            };
            match (self.is_near(peer), peer.has_lost_servers) {
                (true, false) => near.push(candidate),
                (false, false) => remote.push(candidate),
                (true, true) => near_lost += 1,
                (false, true) => {}
            }
        }
        let asked_first = if near.len() >= near_lost {
            NEAR_PEERS_ASKED_FIRST
        } else {
            0
        };
        fastrand::shuffle(&mut near);
        // Hosts of a zone are often cut off together, before they know it of each other.
        remote.extend(near.drain(asked_first.min(near.len())..));
        fastrand::shuffle(&mut remote);
        near.extend(remote);
        near.sort_by_key(|peer| !peer.is_known);
        near
    }

    /// A random live peer whose view is newer than `position`.
    pub(crate) fn peer_ahead_of(&self, position: StorePosition, now: Millis) -> Option<SocketAddr> {
        let ahead = self
            .live_peers(now)
            .filter(|(_, peer)| peer.position > position);
        let addresses: Vec<SocketAddr> = ahead.map(|(_, peer)| peer.address).collect();
        fastrand::choice(addresses)
    }

    /// Address of the host that reads the store for the others in this zone; none if this host
    /// does. It is one with the fastest link, since a configuration goes over it once for each of
    /// the others.
    pub(crate) fn relay(&self, now: Millis) -> Option<SocketAddr> {
        let rank = |name: &str, link_mbps: u32| {
            let rank = affinity_rank(hash_bytes(b"relay"), hash_bytes(name.as_bytes()));
            (link_mbps, rank)
        };
        let in_zone = self
            .reported_within(RELAY_TIMEOUT, now)
            .filter(|(_, peer)| self.is_near(peer));
        let (best, peer) = in_zone.max_by_key(|(name, peer)| rank(name, peer.link_mbps))?;
        let own = rank(&self.own_name, self.link_mbps);
        (rank(best, peer.link_mbps) > own).then_some(peer.address)
    }
}
