//! Simulated fleets in front of cold servers: no window of a second exceeds what the servers bear, and
//! little of their pace is left unused.

use std::time::Duration;

use clementinearch_policy::{
    cold_pace::{ColdPace, SentWindow},
    placement::affinity_rank,
    server_limit::Pacer,
    time::Millis,
};

const FLEETS: [usize; 8] = [1, 4, 7, 12, 13, 77, 83, 320];
const PACES: [f64; 12] = [
    0.5, 0.9, 1.0, 1.7, 2.0, 3.9, 5.0, 8.0, 19.5, 40.0, 83.0, 200.0,
];
const COLD: Duration = Duration::from_secs(60);
const START_MS: u64 = 1_000_000;
const SPAN_MS: u64 = 8_000;
const WINDOW_MS: u64 = 1_000;

/// Requests that a cold server bears in a window.
fn allowed(per_s: f64) -> f64 {
    per_s * 1.5 + 5.0
}

fn pace(per_s: f64) -> ColdPace {
    ColdPace::new(per_s, COLD).unwrap().unwrap()
}

/// One host's requests to one cold server, as the router sends them.
#[derive(Clone, Default)]
struct Sender {
    pacer: Pacer,
    sent: SentWindow,
}

/// Names of a fleet's hosts, as hashes.
fn fleet(hosts: usize) -> Vec<u64> {
    (1..=hosts as u64).map(|host| host * 7_919).collect()
}

/// Whether `host` sends to `server` by its view `known` of the fleet.
fn is_sender(server: u64, host: u64, known: &[u64], pace: ColdPace) -> bool {
    let rank = |host: u64| affinity_rank(server, host);
    let better = known.iter().filter(|other| rank(**other) > rank(host));
    better.count() < pace.senders(known.len())
}

/// Most arrivals in a window of a second, given their times in order.
fn most_in_window(arrivals: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in arrivals.iter().enumerate() {
        while arrivals[first] + WINDOW_MS <= *at {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Arrivals at `server` while each host of `views`, by its view of the fleet, tries to send every
/// millisecond. A connection takes up to `connecting` ms.
fn arrivals(
    server: u64,
    views: &[(u64, Vec<u64>)],
    per_s: f64,
    connecting: u64,
    rng: &mut fastrand::Rng,
) -> Vec<u64> {
    let pace = pace(per_s);
    let mut arrived = Vec::new();
    for (host, known) in views {
        if !is_sender(server, *host, known, pace) {
            continue;
        }
        let interval = pace.interval(known.len());
        let max = pace.max_in_window(known.len());
        let mut sender = Sender::default();
        // Requests that connect, by the time at which they can leave.
        let mut connected: Vec<u64> = Vec::new();
        for ms in START_MS..START_MS + SPAN_MS {
            if sender.pacer.try_take(interval, Millis(ms)) {
                connected.push(ms + rng.u64(0..=connecting));
            }
            let is_due = |at: &u64| *at <= ms;
            for _ in connected.iter().filter(|at| is_due(at)) {
                if sender.sent.try_send(max, Millis(ms)) {
                    arrived.push(ms);
                }
            }
            connected.retain(|at| !is_due(at));
        }
    }
    arrived.sort_unstable();
    arrived
}

fn whole_views(hosts: usize) -> Vec<(u64, Vec<u64>)> {
    let fleet = fleet(hosts);
    fleet.iter().map(|host| (*host, fleet.clone())).collect()
}

fn server(number: u64) -> u64 {
    affinity_rank(77, number)
}

/// Guards against a sum of the hosts' shares above the bound, and against shares that are rounded to
/// less than half of the pace.
#[test]
fn fleets_stay_within_the_bound_and_near_the_pace() {
    let mut rng = fastrand::Rng::with_seed(1);
    for hosts in FLEETS {
        let views = whole_views(hosts);
        for per_s in PACES {
            let arrived = arrivals(server(1), &views, per_s, 0, &mut rng);
            let most = most_in_window(&arrived) as f64;
            assert!(
                most <= per_s.max(1.0),
                "{hosts} hosts at {per_s}: {most} in a second"
            );
            let served = arrived.len() as f64 * 1_000.0 / SPAN_MS as f64;
            // Whole requests of each sender in a second, a twentieth further apart: 5 a second of 4
            // hosts become 4.
            let least = 0.75 * f64::floor(per_s).max(per_s.min(1.0));
            assert!(
                served >= least,
                "{hosts} hosts at {per_s}: {served} a second of {least}"
            );
        }
    }
}

/// Guards against bursts of requests whose connections took longer than those after them.
#[test]
fn slow_connections_make_no_burst() {
    let mut rng = fastrand::Rng::with_seed(2);
    for hosts in FLEETS {
        let views = whole_views(hosts);
        for per_s in PACES {
            let arrived = arrivals(server(2), &views, per_s, 100, &mut rng);
            let most = most_in_window(&arrived) as f64;
            assert!(
                most <= per_s.max(1.0),
                "{hosts} hosts at {per_s}: {most} in a second"
            );
            assert!(!arrived.is_empty());
        }
    }
}

/// Guards against a bound that holds for one server only: a whole zone comes back cold at once.
#[test]
fn thirty_servers_are_cold_at_once() {
    let mut rng = fastrand::Rng::with_seed(3);
    for hosts in [7, 83, 320] {
        let views = whole_views(hosts);
        let mut senders_of_all = 0;
        for number in 0..30 {
            let per_s = 8.0;
            let arrived = arrivals(server(number), &views, per_s, 100, &mut rng);
            let most = most_in_window(&arrived) as f64;
            assert!(most <= allowed(per_s), "{most} requests in a second");
            let known = fleet(hosts);
            let sends = |host: &&u64| is_sender(server(number), **host, &known, pace(per_s));
            senders_of_all += known.iter().filter(sends).count();
        }
        assert_eq!(senders_of_all, 30 * pace(8.0).senders(hosts));
    }
}

/// Guards against parts of a cut fleet that each take themselves for the whole: each host still knows
/// all others from the store, and cannot tell who sends in the other part.
#[test]
fn halves_that_do_not_hear_each_other_share_one_pace() {
    let mut rng = fastrand::Rng::with_seed(4);
    for hosts in FLEETS {
        for per_s in PACES {
            let views = whole_views(hosts);
            let (left, right) = views.split_at(hosts / 2);
            let mut both = arrivals(server(5), left, per_s, 100, &mut rng);
            both.extend(arrivals(server(5), right, per_s, 100, &mut rng));
            both.sort_unstable();
            let most = most_in_window(&both) as f64;
            assert!(most <= allowed(per_s), "{hosts} at {per_s}: {most}");
        }
    }
}

/// Guards against hosts that still miss a few new ones in their view: the senders differ between
/// views, and what each adds must stay within the half of the pace that is left unused.
#[test]
fn older_views_of_the_fleet_stay_within_the_bound() {
    let mut rng = fastrand::Rng::with_seed(5);
    for hosts in FLEETS {
        let all = fleet(hosts);
        let old = &all[..hosts - hosts / 10];
        for per_s in PACES {
            for number in 0..10 {
                let view = |(index, host): (usize, &u64)| {
                    let knows_all = index >= old.len() || index % 2 == 0;
                    let known = if knows_all { all.clone() } else { old.to_vec() };
                    (*host, known)
                };
                let views: Vec<(u64, Vec<u64>)> = all.iter().enumerate().map(view).collect();
                let arrived = arrivals(server(number), &views, per_s, 100, &mut rng);
                let most = most_in_window(&arrived) as f64;
                assert!(most <= allowed(per_s), "{hosts} at {per_s}: {most}");
            }
        }
    }
}

#[test]
fn odd_rates_are_findings_and_zero_means_never_cold() {
    for per_s in [-1.0, f64::INFINITY, f64::NAN, 1e9] {
        assert!(ColdPace::new(per_s, COLD).is_err(), "{per_s}");
    }
    assert_eq!(ColdPace::new(0.0, COLD), Ok(None));
    assert_eq!(ColdPace::new(5.0, Duration::ZERO), Ok(None));
}
