//! Gossip in fleets whose zones hold more hosts than one report is sent to.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use clementinearch_policy::{names::Name, retry_budget::USABLE_FRACTION, time::Millis};
use clementinearch_storage::StorePosition;

use crate::{
    fleet::{Fleet, PEERS_PER_PERIOD, PeerInfo, REMOTE_PEERS_PER_PERIOD},
    peer_attempts::MAX_PEERS_ASKED,
};

const PERIOD: Duration = Duration::from_millis(500);

fn address(host: usize) -> SocketAddr {
    let number = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + host as u32;
    SocketAddr::from((Ipv4Addr::from(number), 7070))
}

fn host_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!()
    };
    (u32::from(*address.ip()) - u32::from(Ipv4Addr::new(10, 0, 0, 0))) as usize
}

fn zone(host: usize, zones: usize) -> Name {
    format!("zone-{}", host % zones).into()
}

/// Fleets of hosts that know each other from the store only.
fn start(hosts: usize, zones: usize) -> Vec<Fleet> {
    let fleet_of = |host: usize| {
        let mut fleet = Fleet::new(host.to_string().into(), zone(host, zones));
        for peer in 0..hosts {
            fleet.add_host(peer.to_string().into(), address(peer));
        }
        fleet
    };
    (0..hosts).map(fleet_of).collect()
}

/// Lets each host send one report. Those in `lost` say that they reach no server.
fn exchange_reports(fleets: &mut [Fleet], zones: usize, lost: &BTreeSet<usize>, now: Millis) {
    for host in 0..fleets.len() {
        for target in fleets[host].report_recipients(now) {
            let info = PeerInfo {
                name: host.to_string().into(),
                address: address(host),
                zone: zone(host, zones),
                position: StorePosition {
                    era: 0,
                    revision: 1,
                },
                has_lost_servers: lost.contains(&host),
                link_mbps: 0,
                serves_forwarded: true,
                reads_loads: true,
            };
            fleets[host_at(target)].record_peer(info, now);
        }
    }
}

/// Runs `periods` periods of gossip. Returns the fleets and the time after them.
fn gossip(hosts: usize, zones: usize, periods: u32) -> (Vec<Fleet>, Millis) {
    fastrand::seed(7);
    let mut fleets = start(hosts, zones);
    let mut now = Millis(1_000_000);
    for _ in 0..periods {
        exchange_reports(&mut fleets, zones, &BTreeSet::new(), now);
        now = now.after(PERIOD);
    }
    (fleets, now)
}

#[test]
fn reports_leave_a_zone_of_many_hosts() {
    const { assert!(REMOTE_PEERS_PER_PERIOD > 0) };
    const ZONES: usize = 3;
    let (fleets, now) = gossip(72, ZONES, 60);
    for (host, fleet) in fleets.iter().enumerate() {
        let targets = fleet.report_targets(now);
        let is_remote = |target: &&SocketAddr| host_at(**target) % ZONES != host % ZONES;
        assert_eq!(
            targets.iter().filter(is_remote).count(),
            REMOTE_PEERS_PER_PERIOD
        );
        assert!(targets.len() <= PEERS_PER_PERIOD + REMOTE_PEERS_PER_PERIOD);
    }
}

/// More than one reader a zone costs the store a call for each of them in every period.
#[test]
fn one_host_of_each_zone_reads_the_store_however_many_hosts_the_zone_has() {
    for (hosts, zones) in [(7, 3), (79, 5), (295, 5)] {
        let (fleets, now) = gossip(hosts, zones, 16);
        for zone in 0..zones {
            let in_zone = || (zone..hosts).step_by(zones);
            let readers: Vec<usize> = in_zone()
                .filter(|host| fleets[*host].relay(now).is_none())
                .collect();
            assert_eq!(readers.len(), 1, "{hosts} hosts, zone {zone}: {readers:?}");
            let relays: BTreeSet<usize> = in_zone()
                .filter_map(|host| fleets[host].relay(now))
                .map(host_at)
                .collect();
            assert_eq!(
                Vec::from_iter(relays),
                readers,
                "{hosts} hosts, zone {zone}"
            );
        }
    }
}

/// Each host takes its part of the fleet's slack by the number of live hosts that it counts.
#[test]
fn the_hosts_parts_of_the_retry_slack_add_up_to_no_more_than_the_slack() {
    for (hosts, zones) in [(7, 3), (72, 3), (79, 5), (320, 7)] {
        let (fleets, now) = gossip(hosts, zones, 120);
        let parts = fleets
            .iter()
            .map(|fleet| USABLE_FRACTION / fleet.live_hosts(now) as f64);
        let sum: f64 = parts.sum();
        assert!(sum <= 1.0, "{hosts} hosts use {sum} of the slack");
    }
}

/// Requests that a host gets between two reports.
const REQUESTS_PER_PERIOD: usize = 5;

/// Which hosts are cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    OneHost,
    MostOfAZone,
    Zone,
    MostOfTheFleet,
}

impl Cut {
    fn hosts(self, hosts: usize, zones: usize) -> BTreeSet<usize> {
        let zone: Vec<usize> = (0..hosts).step_by(zones).collect();
        match self {
            Self::OneHost => zone[..1].iter().copied().collect(),
            Self::MostOfAZone => zone[..zone.len() - 1].iter().copied().collect(),
            Self::Zone => zone.into_iter().collect(),
            Self::MostOfTheFleet => (0..hosts * 4 / 5).collect(),
        }
    }
}

/// What became of the requests at hosts that are cut off.
#[derive(Debug, Default)]
struct Forwarded {
    sent: usize,
    unserved: usize,
    /// Peers that were asked and declined.
    declined: usize,
    /// Requests that were served in another zone.
    crossed: usize,
    /// Requests that each peer served.
    by_peer: BTreeMap<usize, usize>,
}

impl Forwarded {
    /// Forwards a request of a host as the data path does.
    fn forward(
        &mut self,
        fleet: &mut Fleet,
        host: usize,
        zones: usize,
        lost: &BTreeSet<usize>,
        now: Millis,
    ) {
        self.sent += 1;
        for peer in fleet
            .forwarding_peers(now)
            .into_iter()
            .map(|peer| peer.address)
            .take(MAX_PEERS_ASKED)
        {
            if !lost.contains(&host_at(peer)) {
                *self.by_peer.entry(host_at(peer)).or_default() += 1;
                self.crossed += usize::from(host_at(peer) % zones != host % zones);
                return;
            }
            self.declined += 1;
            fleet.record_forwarding_refused(peer);
        }
        self.unserved += 1;
    }
}

/// Cuts hosts off for `periods`. Returns what became of their requests in each period.
fn cut_off(known: (Vec<Fleet>, Millis), zones: usize, cut: Cut, periods: u32) -> Vec<Forwarded> {
    let (mut fleets, mut now) = known;
    let lost = cut.hosts(fleets.len(), zones);
    let mut all = Vec::new();
    for _ in 0..periods {
        let mut forwarded = Forwarded::default();
        for _ in 0..REQUESTS_PER_PERIOD {
            for host in &lost {
                forwarded.forward(&mut fleets[*host], *host, zones, &lost, now);
            }
        }
        exchange_reports(&mut fleets, zones, &lost, now);
        all.push(forwarded);
        now = now.after(PERIOD);
    }
    all
}

/// Sums of some periods.
fn sum(periods: &[Forwarded]) -> Forwarded {
    let mut sum = Forwarded::default();
    for period in periods {
        sum.sent += period.sent;
        sum.unserved += period.unserved;
        sum.declined += period.declined;
        sum.crossed += period.crossed;
        for (peer, served) in &period.by_peer {
            *sum.by_peer.entry(*peer).or_default() += served;
        }
    }
    sum
}

/// The users' bound: from three seconds on, no more than one request in 50 may fail. No peer may get
/// twice the mean load, its own callers' requests included.
#[test]
fn requests_of_hosts_that_are_cut_off_find_peers_and_drown_none() {
    const PERIODS: u32 = 24;
    const BOUND_FROM: usize = 6;
    for (hosts, zones) in [(7, 4), (79, 5), (320, 7)] {
        let known = gossip(hosts, zones, 60);
        for cut in [
            Cut::OneHost,
            Cut::MostOfAZone,
            Cut::Zone,
            Cut::MostOfTheFleet,
        ] {
            let all = cut_off(known.clone(), zones, cut, PERIODS);
            let (first, later) = (sum(&all[..1]), sum(&all[BOUND_FROM..]));
            let peers = hosts - cut.hosts(hosts, zones).len();
            let own = REQUESTS_PER_PERIOD * (PERIODS as usize - BOUND_FROM);
            let served: usize = later.by_peer.values().sum();
            let mean = (own + served / peers) as f64;
            let most = later.by_peer.values().max().copied().unwrap_or(0);
            let most = (own + most) as f64 / mean;
            println!(
                "{hosts} hosts, {cut:?}: first period {} of {} unserved, {} asked in vain; later {} of {}, {}, {} crossed zones; most loaded {most:.2}",
                first.unserved,
                first.sent,
                first.declined,
                later.unserved,
                later.sent,
                later.declined,
                later.crossed,
            );
            assert!(later.unserved * 50 <= later.sent, "{hosts} hosts, {cut:?}");
            assert!(most <= 2.0, "{hosts} hosts, {cut:?}: {most}");
        }
    }
}

/// One of the hosts of each zone has a faster link than the others.
#[test]
fn the_hosts_of_a_zone_read_from_the_one_with_the_fastest_link() {
    let now = Millis(1_000_000);
    for (hosts, zones) in [(7, 3), (79, 3), (320, 7)] {
        let mbps = |host: usize| if host < zones { 200 } else { 10 };
        let mut fleets = start(hosts, zones);
        for (host, fleet) in fleets.iter_mut().enumerate() {
            *fleet = fleet.clone().with_link(mbps(host));
            for peer in (0..hosts).filter(|peer| *peer != host) {
                let info = PeerInfo {
                    name: peer.to_string().into(),
                    address: address(peer),
                    zone: zone(peer, zones),
                    position: StorePosition {
                        era: 0,
                        revision: 1,
                    },
                    has_lost_servers: false,
                    link_mbps: mbps(peer),
                    serves_forwarded: true,
                    reads_loads: true,
                };
                fleet.record_peer(info, now);
            }
        }
        for (host, fleet) in fleets.iter().enumerate() {
            let fastest = host % zones;
            let relay = (host != fastest).then(|| address(fastest));
            assert_eq!(fleet.relay(now), relay, "host {host} of {hosts}");
        }
    }
}
