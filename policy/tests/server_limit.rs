//! Simulated fleets that share the limit of one server.

use std::time::Duration;

use clementinearch_policy::{
    placement::affinity_rank,
    server_limit::{Pacer, ReturnSchedule, parse_limit, send_interval, senders},
    time::Millis,
};

const WINDOW_MS: u64 = 4_000;
const SERVER: u64 = 77;

/// Requests that a server with this limit may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Whether `host` is one of the senders, by its view of the live hosts.
fn is_sender(host: u64, live: &[u64], limit: f64, known: usize) -> bool {
    let rank = |host: u64| affinity_rank(SERVER, host);
    let better = live.iter().filter(|other| rank(**other) > rank(host));
    better.count() < senders(limit, known)
}

/// Lets each of `hosts` hosts try to send at random times, `demand` times a second in all, for 30
/// seconds. Each misses a peer in its view with the probability `missed`. Returns the largest number
/// of requests in a window and the number in all.
fn simulate(hosts: usize, limit: f64, demand: f64, missed: f64, seed: u64) -> (usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all: Vec<u64> = (1..=hosts as u64).map(|host| host * 7_919).collect();
    let sending: Vec<bool> = all
        .iter()
        .map(|host| {
            let mut live = all.clone();
            live.retain(|other| other == host || rng.f64() >= missed);
            is_sender(*host, &live, limit, hosts)
        })
        .collect();
    let mut pacers = vec![Pacer::default(); hosts];
    let mut arrivals = Vec::new();
    for ms in 0..30_000 {
        let now = Millis(1_000_000 + ms);
        let mut tries = demand / 1_000.0;
        while tries > 0.0 {
            if rng.f64() < tries {
                let host = rng.usize(..hosts);
                let interval = send_interval(limit, hosts);
                if sending[host] && pacers[host].try_take(interval, now) {
                    arrivals.push(ms);
                }
            }
            tries -= 1.0;
        }
    }
    let in_window = |first: &u64| {
        let late = arrivals
            .iter()
            .filter(|at| (*first..*first + WINDOW_MS).contains(at));
        late.count()
    };
    let most = arrivals.iter().map(in_window).max().unwrap_or(0);
    (most, arrivals.len())
}

#[test]
fn a_limited_server_gets_no_more_than_it_named_from_any_fleet() {
    for hosts in [1, 7, 79, 320] {
        for limit in [0.2_f64, 1.4, 2.3, 10.0, 50.0] {
            for seed in 0..5 {
                let demand = 40.0 * limit.max(1.0) * hosts as f64;
                let (most, all) = simulate(hosts, limit, demand, 0.02, seed);
                let case = format!("{hosts} hosts, {limit} a second, seed {seed}");
                assert!(most <= allowed(limit), "{case}: {most} in a window");
                assert!(all as f64 >= 0.8 * 30.0 * limit, "{case}: {all} in 30 s");
            }
        }
    }
}

#[test]
fn limits_that_are_no_rates_are_ignored() {
    assert_eq!(parse_limit("2.3"), Some(2.3));
    assert_eq!(parse_limit(" 0 "), Some(0.0));
    for text in ["", "-1", "NaN", "inf", "1e9", "2,3", "soon"] {
        assert_eq!(parse_limit(text), None, "{text:?}");
    }
}

#[test]
fn refused_callers_are_asked_to_return_one_after_another() {
    let mut schedule = ReturnSchedule::default();
    let now = Millis(1_000_000);
    let earliest = Duration::from_millis(300);
    let delays: Vec<u128> = (0..4)
        .map(|_| schedule.delay(2.0, earliest, now).as_millis())
        .collect();
    assert_eq!(delays, [300, 800, 1_300, 1_800]);
    for _ in 0..1_000 {
        assert!(schedule.delay(2.0, earliest, now) <= Duration::from_secs(60));
    }
}
