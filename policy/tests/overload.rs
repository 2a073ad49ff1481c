//! Fair shares, goodput and recovery under overload, on a small fake of a pool behind several hosts.
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
const PATIENCE: Duration = Duration::from_secs(10);
const END: u64 = 300_000;

/// What a run offers to the pool.
#[derive(Clone)]
struct Load {
    /// Requests a second of the heavy account and of each light one.
    heavy: f64,
    light: f64,
    /// When the heavy account stops.
    heavy_until: u64,
    /// Whether refused callers come back, at once if the word on when is not heeded.
    comes_back: bool,
    heeds: bool,
    /// Slots from this moment on.
    slots_at: Option<(u64, u32)>,
    is_fair: bool,
}

impl Load {
    fn new(heavy: f64, light: f64) -> Self {
        let heavy_until = END;
        Self {
            heavy,
            light,
            heavy_until,
            comes_back: true,
            heeds: true,
            slots_at: None,
            is_fair: true,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        account: usize,
        first: u64,
    },
    Finish {
        host: usize,
        account: usize,
        began: u64,
    },
    NextOf(usize),
}

#[derive(Default)]
struct Figures {
    offered: [u64; 2],
    served: [u64; 2],
    /// Requests served a second, by second.
    served_at: Vec<u64>,
    /// Refusals of light accounts, by second.
    light_refused_at: Vec<u64>,
}

/// A queue without fairness: first come, first served, without bound.
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
                served_at: vec![0; END as usize / 1000 + 1],
                light_refused_at: vec![0; END as usize / 1000 + 1],
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
            if at >= END {
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
                Event::Arrive { account, first } => self.arrive(account, first, at),
                Event::Finish {
                    host,
                    account,
                    began,
                } => self.finish(host, account, began, at),
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
            self.push(at, Event::Arrive { account, first: at });
        }
        let next = at + self.exponential(1000.0 / rate);
        self.push(next, Event::NextOf(account));
    }

    fn arrive(&mut self, account: usize, first: u64, at: u64) {
        let host = self.rng.usize(..HOSTS);
        if !self.load.is_fair {
            self.fifos[host].waiting.push_back((account, first));
            return self.run_fifo(host, at);
        }
        let name = self.names[account].clone();
        let deadline = Millis(first).after(PATIENCE);
        match self.hosts[host].admit(&name, 1, deadline, Millis(at)) {
            AdmissionDecision::Run => self.begin(host, account, at),
            AdmissionDecision::Wait { ticket, evicted } => {
                self.waiting.insert((host, ticket), (account, first));
                if let Some((account, first)) =
                    evicted.and_then(|ticket| self.waiting.remove(&(host, ticket)))
                {
                    let retry_after = self.hosts[host].retry_after();
                    self.refuse(account, first, at, retry_after);
                }
            }
            AdmissionDecision::Refuse { retry_after } => {
                self.refuse(account, first, at, retry_after)
            }
        }
    }

    fn refuse(&mut self, account: usize, first: u64, at: u64, retry_after: Duration) {
        if account > 0 {
            self.figures.light_refused_at[at as usize / 1000] += 1;
        }
        if !self.load.comes_back {
            return;
        }
        let after = if self.load.heeds {
            retry_after.as_millis() as f64 * (0.5 + self.rng.f64())
        } else {
            50.0
        };
        let again = at + after as u64 + 1;
        if again < first + PATIENCE.as_millis() as u64 {
            self.push(again, Event::Arrive { account, first });
        }
    }

    fn begin(&mut self, host: usize, account: usize, at: u64) {
        let service = self.exponential(MEAN_SERVICE_MS);
        self.push(
            at + service,
            Event::Finish {
                host,
                account,
                began: at,
            },
        );
    }

    fn finish(&mut self, host: usize, account: usize, began: u64, at: u64) {
        self.figures.served[usize::from(account > 0)] += 1;
        self.figures.served_at[at as usize / 1000] += 1;
        if !self.load.is_fair {
            self.fifos[host].running -= 1;
            return self.run_fifo(host, at);
        }
        let name = self.names[account].clone();
        let next = self.hosts[host].complete(&name, Duration::from_millis(at - began));
        if let Some((account, _)) = next.and_then(|ticket| self.waiting.remove(&(host, ticket))) {
            self.begin(host, account, at);
        }
    }

    fn run_fifo(&mut self, host: usize, at: u64) {
        while self.fifos[host].running < self.slots / HOSTS as u32 {
            let Some((account, first)) = self.fifos[host].waiting.pop_front() else {
                return;
            };
            // Callers that gave up still take their turn: nobody told the queue.
            if at < first + PATIENCE.as_millis() as u64 {
                self.fifos[host].running += 1;
                self.begin(host, account, at);
            }
        }
    }
}

fn light_goodput(figures: &Figures) -> f64 {
    figures.served[1] as f64 / figures.offered[1] as f64
}

/// Requests served a second over the last 200 seconds, as a share of the capacity.
fn goodput(figures: &Figures, slots: u32) -> f64 {
    let served: u64 = figures.served_at[100..300].iter().sum();
    served as f64 / 200.0 / (f64::from(slots) / (MEAN_SERVICE_MS / 1000.0))
}

/// Requests a second that the pool can serve.
const CAPACITY: f64 = SLOTS as f64 / (MEAN_SERVICE_MS / 1000.0);

/// An account's fair share, and a light account's use of it.
const SHARE: f64 = CAPACITY / (LIGHT_ACCOUNTS + 1) as f64;
const LIGHT: f64 = 0.7 * SHARE;

#[test]
fn one_account_at_ten_times_its_share_leaves_the_others_their_goodput() {
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
        heeds: false,
        ..load
    };
    let stormy = light_goodput(&Pool::new(storm, 1).run());
    println!(
        "light accounts' goodput: fair {fair:.4}, in a retry storm {stormy:.4}, first come first served {fifo:.4}"
    );
    assert!(fair >= 0.99, "{fair}");
    assert!(stormy >= 0.99, "{stormy}");
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
            "callers that do not come back",
            Load {
                comes_back: false,
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
fn normal_service_returns_within_seconds_after_the_overload() {
    const OVER_AT: u64 = 100_000;
    let load = Load {
        heavy_until: OVER_AT,
        ..Load::new(10.0 * SHARE, LIGHT)
    };
    let figures = Pool::new(load, 3).run();
    let refused_later: u64 = figures.light_refused_at[OVER_AT as usize / 1000 + 5..]
        .iter()
        .sum();
    println!("light refusals from 5 s after the overload on: {refused_later}");
    assert_eq!(refused_later, 0);
}
