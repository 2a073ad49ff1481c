//! Simulation of continuous batching: time to the first token with delayed load reports.
//!
//! `cargo test -p clementinearch-policy --test routing -- --nocapture` prints the table.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use clementinearch_policy::{
    load_balancing::{Candidate, LoadView, pick},
    names::Name,
    subset::subset,
    time::Millis,
};

const SLOTS: u32 = 16;
const MEAN_SERVICE_MS: f64 = 2000.0;
const PREFILL_MS: f64 = 40.0;
const LOAD: f64 = 0.7;
const WARM_UP_MS: u64 = 20_000;
const END_MS: u64 = 80_000;
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Time between two probes by a host; each probe gets the load report of one server.
const PROBE_PERIOD_MS: u64 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    Subset,
    Ideal,
}

#[derive(Clone, Copy)]
struct Case {
    hosts: usize,
    servers: usize,
    lag_ms: u64,
    /// Whether one server is three times slower and another one always reports no load.
    has_faulty_servers: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish { server: usize, host: usize },
    Probe { host: usize },
}

#[derive(Default)]
struct Server {
    /// Factor on prefill and service times.
    slowdown: f64,
    /// Whether the server always reports no load.
    reports_no_load: bool,
    running: u32,
    queue: VecDeque<(usize, u64)>,
    /// Times and loads, for delayed reports.
    history: VecDeque<(u64, u32)>,
}

impl Server {
    fn load(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Returns the load as it was `lag` milliseconds before `at`.
    fn report(&mut self, at: u64, lag: u64) -> u32 {
        while self.history.len() > 1 && self.history[1].0 + lag <= at {
            self.history.pop_front();
        }
        let entry = self.history.front().filter(|(since, _)| since + lag <= at);
        if self.reports_no_load {
            0
        } else {
            entry.map_or(0, |(_, load)| *load)
        }
    }
}

/// A server as seen by one host.
#[derive(Clone, Copy, Default)]
struct View {
    index: usize,
    load: LoadView,
}

impl Candidate for View {
    fn takes_work(&self, _: Millis) -> bool {
        true
    }

    fn is_in_backoff(&self, _: Millis) -> bool {
        false
    }

    fn load(&self) -> LoadView {
        self.load
    }
}

fn subsets(case: Case) -> Vec<Vec<usize>> {
    let names = |kind: &str, count: usize| {
        (0..count)
            .map(|number| Name::from(format!("{kind}{number}")))
            .collect()
    };
    let (hosts, servers): (Vec<Name>, Vec<Name>) =
        (names("host", case.hosts), names("server", case.servers));
    hosts
        .iter()
        .map(|host| subset(&servers, &hosts, host))
        .collect()
}

struct Pool {
    case: Case,
    policy: Policy,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    servers: Vec<Server>,
    views: Vec<Vec<View>>,
    next_probe: Vec<usize>,
    next_server: usize,
    subsets: Vec<Vec<usize>>,
    /// Times to the first token, milliseconds.
    first_token_ms: Vec<u64>,
}

impl Pool {
    fn new(case: Case, policy: Policy, seed: u64) -> Self {
        let server = |index: usize| Server {
            slowdown: if case.has_faulty_servers && index == 0 {
                3.0
            } else {
                1.0 + (index % 3) as f64 * 0.15
            },
            reports_no_load: case.has_faulty_servers && index == 1,
            ..Server::default()
        };
        let load = LoadView {
            slots: SLOTS,
            ..LoadView::default()
        };
        let views: Vec<View> = (0..case.servers)
            .map(|index| View { index, load })
            .collect();
        Self {
            case,
            policy,
            rng: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            servers: (0..case.servers).map(server).collect(),
            views: vec![views; case.hosts],
            next_probe: (0..case.hosts).collect(),
            next_server: 0,
            subsets: subsets(case),
            first_token_ms: Vec::new(),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    /// Runs the simulation and returns the 99th percentile of the time to the first token in
    /// milliseconds.
    fn run(mut self) -> u64 {
        let capacity: f64 = self
            .servers
            .iter()
            .map(|server| f64::from(SLOTS) / (MEAN_SERVICE_MS * server.slowdown))
            .sum();
        let gap = 1.0 / (LOAD * capacity);
        for host in 0..self.case.hosts {
            self.push((host as u64 * 37) % PROBE_PERIOD_MS, Event::Probe { host });
        }
        let mut arrival = 0.0;
        self.push(0, Event::Arrive);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            match event {
                Event::Arrive if arrival < END_MS as f64 => {
                    self.arrive(at);
                    arrival += self.exponential(gap);
                    self.push(arrival as u64, Event::Arrive);
                }
                Event::Arrive => break,
                Event::Finish { server, host } => self.finish(server, host, at),
                Event::Probe { host } => {
                    let server = self.next_probe[host] % self.case.servers;
                    self.next_probe[host] += 1;
                    let reported = self.servers[server].report(at, self.case.lag_ms);
                    let view = &mut self.views[host][server].load;
                    *view = LoadView {
                        reported,
                        reported_at: Millis(at),
                        ..*view
                    };
                    self.push(at + PROBE_PERIOD_MS, Event::Probe { host });
                }
            }
        }
        self.first_token_ms.sort_unstable();
        let served = self.first_token_ms.len();
        // No request was served: all of them wait behind one server.
        if served == 0 {
            return END_MS;
        }
        self.first_token_ms[(served - 1) * 99 / 100]
    }

    fn arrive(&mut self, at: u64) {
        let host = self.rng.usize(..self.case.hosts);
        let server = self.choose(host, at);
        let view = &mut self.views[host][server].load;
        view.own_in_flight += 1;
        self.servers[server].queue.push_back((host, at));
        self.admit(server, at);
    }

    fn choose(&mut self, host: usize, at: u64) -> usize {
        let servers = self.case.servers;
        let least = |loads: &dyn Fn(usize) -> f64, from: usize| {
            (0..servers)
                .map(|offset| (from + offset) % servers)
                .min_by(|left, right| loads(*left).total_cmp(&loads(*right)))
                .unwrap()
        };
        match self.policy {
            Policy::Random => self.rng.usize(..servers),
            Policy::RoundRobin => {
                self.next_server += 1;
                self.next_server % servers
            }
            Policy::LeastReported => {
                least(&|index| f64::from(self.views[host][index].load.reported), 0)
            }
            Policy::TwoChoices => {
                let draws = [0, 0].map(|_| self.rng.usize(..servers));
                let load = |index: usize| {
                    let load = self.views[host][index].load;
                    load.reported.max(load.own_in_flight)
                };
                draws.into_iter().min_by_key(|index| load(*index)).unwrap()
            }
            Policy::Subset => {
                let used: Vec<View> = self.subsets[host]
                    .iter()
                    .map(|index| self.views[host][*index])
                    .collect();
                pick(&used, &[], Millis(at), &mut self.rng).unwrap().index
            }
            Policy::Ideal => {
                let from = self.rng.usize(..servers);
                least(&|index| f64::from(self.servers[index].load()), from)
            }
        }
    }

    fn admit(&mut self, index: usize, at: u64) {
        while self.servers[index].running < SLOTS {
            let Some((host, arrived)) = self.servers[index].queue.pop_front() else {
                break;
            };
            self.servers[index].running += 1;
            let slowdown = self.servers[index].slowdown;
            let prefill = PREFILL_MS * slowdown;
            if arrived >= WARM_UP_MS {
                self.first_token_ms
                    .push(at.saturating_sub(arrived) + prefill as u64);
            }
            let service = prefill + self.exponential(MEAN_SERVICE_MS * slowdown);
            self.push(
                at + service as u64,
                Event::Finish {
                    server: index,
                    host,
                },
            );
        }
        let load = self.servers[index].load();
        self.servers[index].history.push_back((at, load));
    }

    fn finish(&mut self, server: usize, host: usize, at: u64) {
        self.servers[server].running -= 1;
        self.views[host][server].load.own_in_flight -= 1;
        self.admit(server, at);
    }
}

#[test]
fn the_time_to_the_first_token_is_near_that_of_exact_load_information() {
    println!(
        "hosts servers  lag_ms faulty   random round_robin least_reported two_choices subset ideal worst_ratio (99th percentile, ms, mean of 4 seeds)"
    );
    let mut failures = Vec::new();
    for (hosts, servers) in [(7, 18), (46, 91)] {
        for lag_ms in [100, 1000, 5000] {
            for has_faulty_servers in [false, true] {
                let case = Case {
                    hosts,
                    servers,
                    lag_ms,
                    has_faulty_servers,
                };
                let p99 = |policy, seed| Pool::new(case, policy, seed).run();
                let mean = |policy| {
                    SEEDS.map(|seed| p99(policy, seed)).iter().sum::<u64>() / SEEDS.len() as u64
                };
                let ratios = SEEDS
                    .map(|seed| p99(Policy::Subset, seed) as f64 / p99(Policy::Ideal, seed) as f64);
                let worst = ratios.into_iter().fold(0.0, f64::max);
                println!(
                    "{hosts:5} {servers:7} {lag_ms:7} {has_faulty_servers:6} {:8} {:11} {:14} {:11} {:6} {:5} {worst:5.2}",
                    mean(Policy::Random),
                    mean(Policy::RoundRobin),
                    mean(Policy::LeastReported),
                    mean(Policy::TwoChoices),
                    mean(Policy::Subset),
                    mean(Policy::Ideal),
                );
                if worst > 1.2 {
                    failures.push(format!("{hosts} hosts, {servers} servers, lag {lag_ms} ms, faulty servers {has_faulty_servers}: {worst:.2}"));
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "over 1.2 times the ideal: {failures:#?}"
    );
}

#[test]
fn the_own_count_dominates_and_a_fresh_report_breaks_ties() {
    let now = Millis(10_000);
    let view = LoadView {
        slots: 8,
        reported_at: now,
        ..LoadView::default()
    };
    let score = |view: LoadView| view.score(0.0, now);
    let (idle, reported) = (
        view,
        LoadView {
            reported: 8,
            ..view
        },
    );
    let own = LoadView {
        own_in_flight: 2,
        ..view
    };
    assert!(score(idle) < score(reported) && score(reported) < score(own));
    // Reports below the mean load give no advantage, and old ones are ignored.
    assert_eq!(idle.score(1.0, now), reported.score(1.0, now));
    let later = now.after(Duration::from_secs(6));
    assert_eq!(idle.score(0.0, later), reported.score(0.0, later));
}

#[test]
fn each_server_is_used_by_several_hosts_and_all_hosts_use_equally_many_servers() {
    for (hosts, servers) in [(7, 18), (46, 91), (320, 640), (5, 3), (2, 18)] {
        let case = Case {
            hosts,
            servers,
            lag_ms: 0,
            has_faulty_servers: false,
        };
        let used = subsets(case);
        let (least, most) = (
            used.iter().map(Vec::len).min().unwrap(),
            used.iter().map(Vec::len).max().unwrap(),
        );
        assert!(
            most - least <= 1,
            "{hosts} hosts use {least} to {most} of {servers} servers"
        );
        let mut users = vec![0; servers];
        used.iter().flatten().for_each(|index| users[*index] += 1);
        let bounds = (*users.iter().min().unwrap(), *users.iter().max().unwrap());
        assert!(
            bounds.0 >= 2.min(hosts),
            "{hosts} hosts, {servers} servers: {bounds:?} hosts per server"
        );
    }
}
