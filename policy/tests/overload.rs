//! Simulation of overload: fair shares, goodput and recovery of a pool behind several hosts.
//!
//! `cargo test -p clementinearch-policy --test overload -- --nocapture` prints the table.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use clementinearch_policy::{
    admission::{Admission, AdmissionDecision, Ticket},
    names::Name,
    time::Millis,
};

const HOSTS: usize = 7;
const SLOTS: u32 = 140;
const MEAN_SERVICE_MS: f64 = 1000.0;
const LIGHT_ACCOUNTS: usize = 9;
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
const END_MS: u64 = 300_000;

/// Load offered to the pool in one run. Times are in milliseconds.
#[derive(Clone)]
struct Load {
    /// Requests per second of the heavy account.
    heavy: f64,
    /// Requests per second of each light account.
    light: f64,
    /// Time when the heavy account stops.
    heavy_until: u64,
    /// Whether refused callers retry.
    retries: bool,
    /// Whether they wait for the retry delay that they were given, instead of 50 ms.
    honors_retry_after: bool,
    /// Time when the number of slots changes, and the new number.
    slots_at: Option<(u64, u32)>,
    /// Whether requests pass the admission control; otherwise each host has a [`Fifo`].
    is_fair: bool,
}

impl Load {
    fn new(heavy: f64, light: f64) -> Self {
        let heavy_until = END_MS;
        Self {
            heavy,
            light,
            heavy_until,
            retries: true,
            honors_retry_after: true,
            slots_at: None,
            is_fair: true,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        account: usize,
        first_at: u64,
    },
    Finish {
        host: usize,
        account: usize,
        started_at: u64,
    },
    NextOf(usize),
}

#[derive(Default)]
struct Figures {
    /// Requests of the heavy and of the light accounts.
    offered: [u64; 2],
    /// Served requests of the heavy and of the light accounts.
    served: [u64; 2],
    /// Requests served, by second.
    served_at: Vec<u64>,
    /// Refusals of light accounts, by second.
    light_refused_at: Vec<u64>,
}

/// An unbounded first-in, first-out queue without fairness.
#[derive(Default)]
struct Fifo {
    running: u32,
    waiting: VecDeque<(usize, u64)>,
}

struct Pool {
    load: Load,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    names: Vec<Name>,
    hosts: Vec<Admission>,
    fifos: Vec<Fifo>,
    waiting: HashMap<(usize, Ticket), (usize, u64)>,
    figures: Figures,
    slots: u32,
}

impl Pool {
    fn new(load: Load, seed: u64) -> Self {
        let limit = SLOTS / HOSTS as u32;
        Self {
            load,
            rng: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            names: (0..=LIGHT_ACCOUNTS)
                .map(|number| Name::from(format!("account {number}")))
                .collect(),
            hosts: (0..HOSTS).map(|_| Admission::new(limit)).collect(),
            fifos: (0..HOSTS).map(|_| Fifo::default()).collect(),
            waiting: HashMap::new(),
            figures: Figures {
                served_at: vec![0; END_MS as usize / 1000 + 1],
                light_refused_at: vec![0; END_MS as usize / 1000 + 1],
                ..Figures::default()
            },
            slots: SLOTS,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.f64()).ln()).ceil() as u64
    }

    fn run(mut self) -> Figures {
        for account in 0..=LIGHT_ACCOUNTS {
            self.push(0, Event::NextOf(account));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= END_MS {
                break;
            }
            if let Some((from, slots)) = self.load.slots_at
                && at >= from
                && self.slots != slots
            {
                self.slots = slots;
                for host in 0..HOSTS {
                    let admitted = self.hosts[host].set_limit(slots / HOSTS as u32);
                    assert!(admitted.is_empty(), "a lower limit admits nobody");
                }
            }
            match event {
                Event::NextOf(account) => self.next_of(account, at),
                Event::Arrive { account, first_at } => self.arrive(account, first_at, at),
                Event::Finish {
                    host,
                    account,
                    started_at,
                } => self.finish(host, account, started_at, at),
            }
        }
        self.figures
    }

    fn next_of(&mut self, account: usize, at: u64) {
        let rate = if account == 0 {
            self.load.heavy
        } else {
            self.load.light
        };
        if rate == 0.0 || account == 0 && at >= self.load.heavy_until {
            return;
        }
        if at > 0 {
            self.figures.offered[usize::from(account > 0)] += 1;
            self.push(
                at,
                Event::Arrive {
                    account,
                    first_at: at,
                },
            );
        }
        let next = at + self.exponential(1000.0 / rate);
        self.push(next, Event::NextOf(account));
    }

    fn arrive(&mut self, account: usize, first_at: u64, at: u64) {
        let host = self.rng.usize(..HOSTS);
        if !self.load.is_fair {
            self.fifos[host].waiting.push_back((account, first_at));
            return self.run_fifo(host, at);
        }
        let name = self.names[account].clone();
        let deadline = Millis(first_at).after(CALLER_TIMEOUT);
        match self.hosts[host].admit(&name, 1, deadline, Millis(at)) {
            AdmissionDecision::Run => self.begin(host, account, at),
            AdmissionDecision::Wait { ticket, evicted } => {
                self.waiting.insert((host, ticket), (account, first_at));
                if let Some((account, first_at)) =
                    evicted.and_then(|ticket| self.waiting.remove(&(host, ticket)))
                {
                    let retry_after = self.hosts[host].retry_after();
                    self.refuse(account, first_at, at, retry_after);
                }
            }
            AdmissionDecision::Refuse { retry_after } => {
                self.refuse(account, first_at, at, retry_after)
            }
        }
    }

    fn refuse(&mut self, account: usize, first_at: u64, at: u64, retry_after: Duration) {
        if account > 0 {
            self.figures.light_refused_at[at as usize / 1000] += 1;
        }
        if !self.load.retries {
            return;
        }
        let after = if self.load.honors_retry_after {
            retry_after.as_millis() as f64 * (0.5 + self.rng.f64())
        } else {
            50.0
        };
        let retry_at = at + after as u64 + 1;
        if retry_at < first_at + CALLER_TIMEOUT.as_millis() as u64 {
            self.push(retry_at, Event::Arrive { account, first_at });
        }
    }

    fn begin(&mut self, host: usize, account: usize, at: u64) {
        let service = self.exponential(MEAN_SERVICE_MS);
        self.push(
            at + service,
            Event::Finish {
                host,
                account,
                started_at: at,
            },
        );
    }

    fn finish(&mut self, host: usize, account: usize, started_at: u64, at: u64) {
        self.figures.served[usize::from(account > 0)] += 1;
        self.figures.served_at[at as usize / 1000] += 1;
        if !self.load.is_fair {
            self.fifos[host].running -= 1;
            return self.run_fifo(host, at);
        }
        let name = self.names[account].clone();
        let next = self.hosts[host].complete(&name, Duration::from_millis(at - started_at));
        if let Some((account, _)) = next.and_then(|ticket| self.waiting.remove(&(host, ticket))) {
            self.begin(host, account, at);
        }
    }

    fn run_fifo(&mut self, host: usize, at: u64) {
        while self.fifos[host].running < self.slots / HOSTS as u32 {
            let Some((account, first_at)) = self.fifos[host].waiting.pop_front() else {
                return;
            };
            // Requests whose callers have given up stay in the queue until it is their turn.
            if at < first_at + CALLER_TIMEOUT.as_millis() as u64 {
                self.fifos[host].running += 1;
                self.begin(host, account, at);
            }
        }
    }
}

fn light_goodput(figures: &Figures) -> f64 {
    figures.served[1] as f64 / figures.offered[1] as f64
}

/// Returns the requests served per second from 100 s to 300 s, as a fraction of the capacity.
fn goodput(figures: &Figures, slots: u32) -> f64 {
    let served: u64 = figures.served_at[100..300].iter().sum();
    served as f64 / 200.0 / (f64::from(slots) / (MEAN_SERVICE_MS / 1000.0))
}

/// Requests per second that the pool can serve.
const CAPACITY: f64 = SLOTS as f64 / (MEAN_SERVICE_MS / 1000.0);

/// Fair share of an account, requests per second.
const SHARE: f64 = CAPACITY / (LIGHT_ACCOUNTS + 1) as f64;

/// Load of a light account, requests per second.
const LIGHT: f64 = 0.7 * SHARE;

#[test]
fn an_account_at_ten_times_its_share_does_not_reduce_the_others_goodput() {
    let load = Load::new(10.0 * SHARE, LIGHT);
    let fair = light_goodput(&Pool::new(load.clone(), 1).run());
    let fifo = light_goodput(
        &Pool::new(
            Load {
                is_fair: false,
                ..load.clone()
            },
            1,
        )
        .run(),
    );
    let storm = Load {
        honors_retry_after: false,
        ..load
    };
    let in_storm = light_goodput(&Pool::new(storm, 1).run());
    println!(
        "light accounts' goodput: fair {fair:.4}, in a retry storm {in_storm:.4}, first come first served {fifo:.4}"
    );
    assert!(fair >= 0.99, "{fair}");
    assert!(in_storm >= 0.99, "{in_storm}");
}

#[test]
fn goodput_at_three_times_the_load_stays_near_capacity() {
    for (name, load, slots) in [
        (
            "overload",
            Load::new(3.0 * CAPACITY - 9.0 * LIGHT, LIGHT),
            SLOTS,
        ),
        (
            "half the pool gone",
            Load {
                slots_at: Some((50_000, SLOTS / 2)),
                ..Load::new(0.3 * CAPACITY, LIGHT)
            },
            SLOTS / 2,
        ),
        (
            "callers that do not retry",
            Load {
                retries: false,
                ..Load::new(2.0 * CAPACITY, LIGHT)
            },
            SLOTS,
        ),
    ] {
        let figures = Pool::new(load.clone(), 2).run();
        let fifo = Pool::new(
            Load {
                is_fair: false,
                ..load
            },
            2,
        )
        .run();
        println!(
            "{name}: goodput {:.3} of capacity, first come first served {:.3}",
            goodput(&figures, slots),
            goodput(&fifo, slots)
        );
        assert!(goodput(&figures, slots) >= 0.9, "{name}");
    }
}

#[test]
fn service_is_normal_within_seconds_after_the_overload() {
    const OVERLOAD_END_MS: u64 = 100_000;
    let load = Load {
        heavy_until: OVERLOAD_END_MS,
        ..Load::new(10.0 * SHARE, LIGHT)
    };
    let figures = Pool::new(load, 3).run();
    let refused_later: u64 = figures.light_refused_at[OVERLOAD_END_MS as usize / 1000 + 5..]
        .iter()
        .sum();
    println!("light refusals from 5 s after the overload on: {refused_later}");
    assert_eq!(refused_later, 0);
}
