//! Gossip in fleets whose zones hold more hosts than one report is sent to.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use clementinearch_policy::{names::Name, retry_budget::USABLE_FRACTION, time::Millis};

use crate::fleet::{Fleet, PEERS_PER_PERIOD, PeerInfo, REMOTE_PEERS_PER_PERIOD};

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

/// Lets each host send one report.
fn exchange_reports(fleets: &mut [Fleet], zones: usize, now: Millis) {
    for host in 0..fleets.len() {
        for target in fleets[host].report_targets(now) {
            let info = PeerInfo {
                name: host.to_string().into(),
                address: address(host),
                zone: zone(host, zones),
                store_revision: 1,
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
        exchange_reports(&mut fleets, zones, now);
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
