//! Simulated fleets in which requests with one prompt part crash servers: how many are sent on, and
//! how many harmless ones are refused, by the way in which hosts tell the part.
//!
//! `PART_FLEET_HOSTS=320` runs a larger fleet.

use std::{collections::VecDeque, time::Duration};

use clementinearch_policy::{
    crash_set::Crash,
    part_evidence::{PartEvidence, PartRow},
    time::Millis,
};

const GUILTY: u64 = 1;
const START: Millis = Millis(1_000_000);
const STEP: Duration = Duration::from_millis(10);

/// Time from sending to the begin of an answer, and how long it goes on until that counts.
const PREFILL: Duration = Duration::from_millis(60);
const ANSWERING: Duration = Duration::from_millis(250);

/// Time until a crashed server is back.
const DOWN: Duration = Duration::from_secs(3);

/// Requests come without the guilty part first, then with it until the end.
const CALM: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(8);

/// Crashes from which the users' platform counts, and the time until it does.
const COUNTED_CRASHES: usize = 5;
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Peers that a host tells its news and its reports, and the periods of both.
const PEERS_TOLD: usize = 22;
const NEWS_DELAY: Duration = Duration::from_millis(25);
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Time between two crashes that have another cause.
const OTHER_CRASH_PERIOD: Duration = Duration::from_millis(500);

/// Harmless requests of a host in a second.
const RATE: f64 = 8.0;

/// How the hosts tell the guilty part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each host by what it sees itself.
    Alone,
    /// All crashes, but no answers.
    CrashesOnly,
    /// Crashes and answers, in periodic reports alone.
    Reports,
    /// Crashes and answers, in reports and at once.
    News,
}

struct Request {
    host: usize,
    server: usize,
    parts: Vec<u64>,
    begins_at: Millis,
    is_guilty: bool,
}

struct Datagram {
    arrives_at: Millis,
    from: usize,
    to: usize,
    rows: Vec<PartRow>,
}

#[derive(Debug, Default)]
struct Result {
    crashes: usize,
    sent_on: usize,
    harmless: usize,
    refused: usize,
    datagrams: usize,
    bytes: usize,
    /// Largest number of parts with evidence on one host.
    parts: usize,
}

struct Fleet {
    way: Way,
    rng: fastrand::Rng,
    hosts: Vec<PartEvidence>,
    /// When each server is back, and its starts.
    down_until: Vec<Millis>,
    starts: Vec<u32>,
    requests: Vec<Request>,
    /// Rows on the way.
    news: VecDeque<Datagram>,
    fifth_crash: Option<Millis>,
    now: Millis,
    result: Result,
}

impl Fleet {
    fn new(way: Way, hosts: usize) -> Self {
        let servers = 2 * hosts + 4;
        Self {
            way,
            rng: fastrand::Rng::with_seed(7),
            hosts: vec![PartEvidence::default(); hosts],
            down_until: vec![START; servers],
            starts: vec![0; servers],
            requests: Vec::new(),
            news: VecDeque::new(),
            fifth_crash: None,
            now: START,
            result: Result::default(),
        }
    }

    fn run(mut self) -> Result {
        let harmless_a_step = RATE * self.hosts.len() as f64 * STEP.as_secs_f64();
        let guilty_a_step = (10.0 + 0.1 * self.hosts.len() as f64) * STEP.as_secs_f64();
        let mut next_report = START;
        while self.now.since(START) < CALM + TROUBLE {
            self.now = self.now.after(STEP);
            self.send_some(harmless_a_step, false);
            if self.now.since(START) >= CALM {
                self.send_some(guilty_a_step, true);
            }
            if self
                .now
                .0
                .is_multiple_of(OTHER_CRASH_PERIOD.as_millis() as u64)
            {
                let server = self.rng.usize(..self.down_until.len());
                self.crash(server);
            }
            self.step_requests();
            self.deliver();
            if self.now >= next_report && self.way != Way::Alone {
                next_report = self.now.after(REPORT_PERIOD);
                for host in 0..self.hosts.len() {
                    let rows = self.hosts[host].rows(self.now);
                    self.tell(host, &rows, Duration::ZERO);
                }
            }
            if self.now.0.is_multiple_of(1_000) {
                for host in &mut self.hosts {
                    host.expire(self.now);
                    let (suspects, blocked) = host.counts(self.now);
                    self.result.parts = self.result.parts.max(suspects + blocked);
                }
            }
        }
        self.result
    }

    fn send_some(&mut self, mean: f64, is_guilty: bool) {
        let count = mean as usize + usize::from(self.rng.f64() < mean.fract());
        for _ in 0..count {
            let host = self.rng.usize(..self.hosts.len());
            // One of three first parts, and a subject, a few of which are popular.
            let first = 10 + self.rng.u64(..3);
            let subject = 100 + (self.rng.f64().powi(3) * 400.0) as u64;
            let mut parts = vec![first, subject];
            if is_guilty {
                parts.push(GUILTY);
            }
            let evidence = &self.hosts[host];
            let is_refused = parts.iter().any(|part| evidence.is_blocked(*part));
            let is_late = self
                .fifth_crash
                .is_some_and(|at| self.now.since(at) > STABLE_WINDOW);
            if !is_guilty {
                self.result.harmless += 1;
                self.result.refused += usize::from(is_refused);
            } else if !is_refused {
                self.result.sent_on += usize::from(is_late);
            }
            let up: Vec<usize> = (0..self.down_until.len())
                .filter(|server| self.down_until[*server] <= self.now)
                .collect();
            if is_refused || up.is_empty() {
                continue;
            }
            self.requests.push(Request {
                host,
                server: up[self.rng.usize(..up.len())],
                parts,
                begins_at: self.now.after(PREFILL),
                is_guilty,
            });
        }
    }

    /// Lets answers begin and go on, and servers crash.
    fn step_requests(&mut self) {
        let now = self.now;
        let is_given_up = |request: &Request| {
            let evidence = &self.hosts[request.host];
            request.begins_at > now && request.parts.iter().any(|it| evidence.is_blocked(*it))
        };
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain(|request| !is_given_up(request));
        self.requests = requests;
        let begins = |it: &&Request| it.is_guilty && it.begins_at <= now;
        let guilty = self.requests.iter().filter(begins);
        let crashed: Vec<usize> = guilty.map(|it| it.server).collect();
        for server in crashed {
            if self.crash(server) {
                self.result.crashes += 1;
                if self.result.crashes == COUNTED_CRASHES {
                    self.fifth_crash = Some(now);
                }
            }
        }
        let mut requests = std::mem::take(&mut self.requests);
        for request in &requests {
            let is_answered = now.since(request.begins_at) >= ANSWERING;
            if is_answered && self.way != Way::CrashesOnly {
                let parts = request.parts.iter().copied();
                self.hosts[request.host].record_answer(parts, request.begins_at, now);
            }
        }
        requests.retain(|request| now.since(request.begins_at) < ANSWERING);
        self.requests = requests;
    }

    /// Lets a server crash, unless it is down. Its hosts blame their requests without an answer.
    fn crash(&mut self, server: usize) -> bool {
        let now = self.now;
        if self.down_until[server] > now {
            return false;
        }
        self.down_until[server] = now.after(DOWN);
        self.starts[server] += 1;
        let crash = Crash {
            server: server as u32 * 1_000 + self.starts[server],
            at: now,
        };
        let (lost, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|it| it.server == server);
        self.requests = kept;
        for request in lost {
            let parts = request.parts.iter().copied();
            self.hosts[request.host].record_crash(parts, crash, now);
            if self.way == Way::News {
                let rows = self.hosts[request.host].rows_on(&request.parts, now);
                self.tell(request.host, &rows, NEWS_DELAY);
            }
        }
        true
    }

    fn tell(&mut self, from: usize, rows: &[PartRow], delay: Duration) {
        if rows.is_empty() {
            return;
        }
        for _ in 0..PEERS_TOLD.min(self.hosts.len() - 1) {
            let to = self.rng.usize(..self.hosts.len());
            if to == from {
                continue;
            }
            self.send(from, to, rows, delay);
        }
    }

    fn send(&mut self, from: usize, to: usize, rows: &[PartRow], delay: Duration) {
        self.result.datagrams += 1;
        self.result.bytes += rows.iter().map(row_bytes).sum::<usize>();
        self.news.push_back(Datagram {
            arrives_at: self.now.after(delay),
            from,
            to,
            rows: rows.to_vec(),
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.news.drain(..).partition(|it| it.arrives_at <= now);
        self.news = later.into();
        for Datagram { from, to, rows, .. } in due {
            let merged = self.hosts[to].merge(&rows, now);
            let reply = self.hosts[to].rows_on(&merged.answered_since, now);
            if !reply.is_empty() {
                self.send(to, from, &reply, Duration::ZERO);
            }
        }
    }
}

/// Length of a row in JSON, roughly.
fn row_bytes(row: &PartRow) -> usize {
    40 + 18 * row.servers.len()
}

fn run(way: Way, hosts: usize) -> Result {
    let result = Fleet::new(way, hosts).run();
    println!("{hosts} hosts, {way:?}: {result:?}");
    result
}

fn check(hosts: usize) {
    let result = run(Way::News, hosts);
    assert!(result.sent_on <= 3, "{hosts} hosts: {result:?}");
    assert!(
        result.refused * 100 <= result.harmless,
        "{hosts} hosts: {result:?}"
    );
}

#[test]
fn seven_hosts_tell_the_part_that_crashes_servers() {
    check(7);
}

#[test]
fn seventy_nine_hosts_tell_the_part_that_crashes_servers() {
    check(79);
}

#[test]
fn three_hundred_and_twenty_hosts_tell_the_part_that_crashes_servers() {
    check(320);
}

#[test]
fn crashes_without_answers_refuse_harmless_requests() {
    let result = run(Way::CrashesOnly, 7);
    assert!(result.refused > 0, "{result:?}");
}

/// The ways side by side.
#[test]
fn all_ways_in_a_fleet_of_the_size_asked_for() {
    let Some(hosts) = std::env::var("PART_FLEET_HOSTS").ok() else {
        return;
    };
    let hosts = hosts.parse().expect("a number of hosts");
    for way in [Way::Alone, Way::CrashesOnly, Way::Reports] {
        run(way, hosts);
    }
    check(hosts);
}
