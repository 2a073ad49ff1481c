//! Hosts that reach no backend server while callers, the store and the other hosts reach them.

mod route;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, ScopedJoinHandle},
    time::{Duration, Instant},
};

use clementinearch_standins::{
    link::{Link, LinkState},
    platform_store::EndpointMode,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, token_event},
};
use route::{Answer, Connection, Host, Platform, ok, paced_stream, request, send_request};
use serde_json::json;

const HOSTS: usize = 3;

/// Number of events in a stream, and the pause before each.
const EVENTS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(40);

/// Time from the begin of a cut from which the users' rule holds, `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time before a cut, and length of a cut.
const CALM: Duration = Duration::from_secs(1);
const CUT: Duration = Duration::from_secs(6);

/// Time between two changes of a cut that heals and comes back.
const HEALING_PERIOD: Duration = Duration::from_millis(700);

/// Cells of the whole matrix that run at a time.
const CELLS_AT_A_TIME: usize = 6;

/// Kinds of requests: not idempotent, idempotent and a resumable stream.
const KINDS: [&str; 3] = ["POST /pay/1", "GET /look/1", "POST /draft/1"];

/// How a cut shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// Connections and attempts to connect hang.
    Hangs,
    /// Connections are reset and new ones refused.
    Reset,
    /// Connections live on and new ones are refused.
    NewRefused,
    /// Each of these in turn, with the path back in between.
    Heals,
}

/// Which hosts are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutHosts {
    One,
    Most,
    All,
}

/// What else fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The store answers nobody.
    StoreAway,
    /// A host that is not cut off is killed and starts again.
    PeerKilled,
    /// A host that is not cut off is stopped and started again.
    PeerStopped,
    /// The configuration changes each second.
    Changes,
    /// One server of each service has crashed.
    ServersDown,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    shown: Shown,
    hosts: CutHosts,
    beside: Beside,
}

const ALL_SHOWN: [Shown; 4] = [Shown::Hangs, Shown::Reset, Shown::NewRefused, Shown::Heals];
const ALL_CUTS: [CutHosts; 3] = [CutHosts::One, CutHosts::Most, CutHosts::All];
const ALL_BESIDE: [Beside; 6] = [
    Beside::Nothing,
    Beside::StoreAway,
    Beside::PeerKilled,
    Beside::PeerStopped,
    Beside::Changes,
    Beside::ServersDown,
];

/// First tries of callers and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct FirstTries {
    served: usize,
    sent: usize,
}

/// What a run has seen.
#[derive(Debug, Default)]
struct Outcome {
    /// First tries from the stable window on.
    cut: FirstTries,
    others: FirstTries,
    /// First tries at cut hosts before.
    early: FirstTries,
    /// Requests that are not idempotent and reached servers more than once.
    run_twice: usize,
    /// Requests that are not idempotent, were refused as not run and reached a server.
    refused_untruly: usize,
    /// Streams whose events are not those of one answer.
    spoiled: usize,
}

impl Outcome {
    /// Whether the users' rule is kept.
    fn keeps_rule(&self) -> bool {
        let share = |tries: &FirstTries| tries.served as f64 / tries.sent.max(1) as f64;
        let failed = self.cut.sent + self.others.sent - self.cut.served - self.others.served;
        let allowed = 10 + (self.cut.sent + self.others.sent) / 50;
        share(&self.cut) * 3.0 >= share(&self.others) * 2.0 || failed <= allowed
    }

    fn is_safe(&self) -> bool {
        self.run_twice == 0 && self.refused_untruly == 0 && self.spoiled == 0
    }
}

/// A request of a caller and its answer.
struct Sample {
    sent_at: Instant,
    host: usize,
    line: &'static str,
    id: String,
    answer: Answer,
}

/// A fleet whose hosts reach the servers over links of their own.
struct Fleet {
    platform: Platform,
    servers: Vec<Arc<ScriptedServer>>,
    /// Whether one server of each service crashes with its next request.
    is_crashing: Arc<AtomicBool>,
}

impl Fleet {
    fn start() -> Self {
        let mut platform = Platform::new();
        let mut servers = Vec::new();
        let is_crashing = Arc::new(AtomicBool::new(false));
        for number in 0..3 {
            for service in ["orders", "pool"] {
                let crashing = is_crashing.clone();
                let script = move |_: usize, received: &ReceivedRequest| {
                    if number == 0 && crashing.load(Ordering::Relaxed) {
                        vec![Step::Crash]
                    } else if service == "pool" {
                        paced_stream(received, EVENTS, PAUSE)
                    } else {
                        ok(received)
                    }
                };
                servers.push(platform.add_backend(service, "v1", script).1);
            }
        }
        platform.start_linked_hosts(HOSTS);
        Self {
            platform,
            servers,
            is_crashing,
        }
    }

    /// Number of times that each request that is not idempotent reached a server.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut arrivals = BTreeMap::new();
        for received in self.servers.iter().flat_map(|server| server.requests()) {
            if received.request_line.starts_with("POST /pay") {
                let id = received.header("attempt-id").to_owned();
                *arrivals.entry(id).or_default() += 1;
            }
        }
        arrivals
    }

    fn outcome(&self, cut_hosts: &[usize], cut_at: Instant, samples: &[Sample]) -> Outcome {
        let arrivals = self.arrivals();
        let mut outcome = Outcome {
            run_twice: arrivals.values().filter(|count| **count > 1).count(),
            ..Outcome::default()
        };
        for sample in samples {
            let answer = &sample.answer;
            let is_served = answer.status == 200 && answer.is_whole;
            let events: String = (1..=EVENTS).map(token_event).collect();
            let is_stream = sample.line.starts_with("POST /draft");
            outcome.spoiled += usize::from(is_served && is_stream && answer.body != events);
            let is_refused = answer.status == 503 && arrivals.contains_key(&sample.id);
            outcome.refused_untruly += usize::from(is_refused);
            let is_cut = cut_hosts.contains(&sample.host);
            let tries = if sample.sent_at >= cut_at + STABLE_WINDOW {
                if is_cut {
                    &mut outcome.cut
                } else {
                    &mut outcome.others
                }
            } else if is_cut && sample.sent_at >= cut_at {
                &mut outcome.early
            } else {
                continue;
            };
            tries.sent += 1;
            tries.served += usize::from(is_served);
        }
        outcome
    }
}

/// Sends requests of a kind to a host until `until`, by turns on a kept and on a new connection.
fn call(
    host: (usize, std::net::SocketAddr),
    line: &'static str,
    until: Instant,
    samples: &Mutex<Vec<Sample>>,
) {
    let mut kept: Option<Connection> = None;
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            return;
        }
        let kind = line.split('/').nth(1).unwrap_or_default();
        let id = format!("{}-{kind}-{number}", host.0);
        let mut connection = kept
            .take()
            .filter(|_| number % 4 != 0)
            .or_else(|| Connection::try_open(host.1));
        let text = request(line, &id, "Model: small\r\n", "");
        let is_sent = connection.as_mut().is_some_and(|it| it.try_send(&text));
        let answer = match &mut connection {
            Some(connection) if is_sent => connection.read(),
            _ => Answer::default(),
        };
        let is_closing = answer.status == 0 || answer.header("connection") == "close";
        kept = connection.filter(|_| !is_closing && answer.is_whole);
        samples.lock().unwrap().push(Sample {
            sent_at,
            host: host.0,
            line,
            id,
            answer,
        });
        thread::sleep(Duration::from_millis(25));
    }
}

/// Cuts hosts off by their links as the cell says until `until`.
fn cut(links: &[Arc<Link>], shown: Shown, until: Instant) {
    let set = |state: LinkState| links.iter().for_each(|link| link.set_state(state));
    let state = match shown {
        Shown::Hangs => LinkState::Hanging,
        Shown::Reset => LinkState::Resetting,
        Shown::NewRefused => LinkState::RefusingNew,
        Shown::Heals => {
            let states = [
                LinkState::Hanging,
                LinkState::Up,
                LinkState::Resetting,
                LinkState::Up,
                LinkState::RefusingNew,
                LinkState::Up,
            ];
            for state in states.into_iter().cycle() {
                if Instant::now() >= until {
                    return;
                }
                set(state);
                thread::sleep(HEALING_PERIOD);
            }
            return;
        }
    };
    set(state);
}

/// Lets fail what else fails, in the last host, while the cut lasts.
fn disturb(platform: &mut Platform, cell: Cell, until: Instant) {
    let last = platform.hosts.len() - 1;
    match cell.beside {
        Beside::Nothing | Beside::ServersDown => {}
        Beside::StoreAway => {
            for host in &platform.hosts {
                host.store_endpoint.set_mode(EndpointMode::Silent);
            }
        }
        Beside::PeerKilled => {
            thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
            platform.hosts[last].kill();
            platform.hosts[last].restart();
        }
        Beside::PeerStopped => {
            thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
            platform.hosts[last].signal("TERM");
            platform.hosts[last].wait();
            platform.hosts[last].restart();
        }
        Beside::Changes => {
            for version in 2.. {
                thread::sleep(Duration::from_secs(1));
                if Instant::now() >= until {
                    return;
                }
                platform.configure(version, &json!([]));
            }
        }
    }
}

/// Runs a cell.
fn run(cell: Cell) -> Outcome {
    let mut fleet = Fleet::start();
    let cut_hosts: Vec<usize> = match cell.hosts {
        CutHosts::One => vec![0],
        CutHosts::Most => (0..HOSTS - 1).collect(),
        CutHosts::All => (0..HOSTS).collect(),
    };
    let began = Instant::now();
    let until = began + CALM + CUT;
    let samples = Mutex::new(Vec::new());
    let addresses: Vec<_> = fleet.platform.hosts.iter().map(Host::callers).collect();
    let links: Vec<_> = cut_hosts
        .iter()
        .flat_map(|host| fleet.platform.links(*host))
        .collect();
    let is_crashing = fleet.is_crashing.clone();
    thread::scope(|scope| {
        for host in addresses.iter().copied().enumerate() {
            for line in KINDS {
                let samples = &samples;
                scope.spawn(move || call(host, line, until, samples));
            }
        }
        thread::sleep(CALM);
        is_crashing.store(cell.beside == Beside::ServersDown, Ordering::Relaxed);
        scope.spawn(|| cut(&links, cell.shown, until));
        disturb(&mut fleet.platform, cell, until);
    });
    let samples = samples.into_inner().unwrap();
    fleet.outcome(&cut_hosts, began + CALM, &samples)
}

/// Runs a cell and checks its columns. Where all hosts are cut off, nobody can be compared with.
fn check(cell: Cell) {
    let outcome = run(cell);
    println!("{cell:?}: {outcome:?}");
    assert!(outcome.is_safe(), "{cell:?}: {outcome:?}");
    assert!(outcome.cut.sent > 0, "{cell:?}: {outcome:?}");
    // With most hosts cut off, nobody serves while the one that is left is down.
    let has_peer = cell.hosts == CutHosts::One
        || cell.hosts == CutHosts::Most
            && !matches!(cell.beside, Beside::PeerKilled | Beside::PeerStopped);
    assert!(!has_peer || outcome.keeps_rule(), "{cell:?}: {outcome:?}");
}

fn cell(shown: Shown, hosts: CutHosts, beside: Beside) -> Cell {
    Cell {
        shown,
        hosts,
        beside,
    }
}

#[test]
fn callers_of_hosts_that_reach_no_server_are_served_while_connections_hang() {
    check(cell(Shown::Hangs, CutHosts::One, Beside::Nothing));
    check(cell(Shown::Hangs, CutHosts::Most, Beside::StoreAway));
}

#[test]
fn callers_of_hosts_that_reach_no_server_are_served_while_connections_are_reset() {
    check(cell(Shown::Reset, CutHosts::One, Beside::PeerKilled));
    check(cell(Shown::Reset, CutHosts::Most, Beside::Changes));
}

#[test]
fn callers_of_hosts_that_reach_no_server_are_served_while_new_connections_are_refused() {
    check(cell(Shown::NewRefused, CutHosts::One, Beside::PeerStopped));
    check(cell(Shown::NewRefused, CutHosts::Most, Beside::ServersDown));
}

#[test]
fn callers_of_hosts_whose_path_to_servers_comes_and_goes_are_served() {
    check(cell(Shown::Heals, CutHosts::One, Beside::Nothing));
}

/// Every cell, by hand: `cargo test --test route_partition -- --ignored --nocapture`.
#[test]
#[ignore = "takes two minutes of all cores"]
fn every_cell_of_the_matrix_of_hosts_that_reach_no_server() {
    let mut cells = Vec::new();
    for shown in ALL_SHOWN {
        for hosts in ALL_CUTS {
            cells.extend(ALL_BESIDE.map(|beside| cell(shown, hosts, beside)));
        }
    }
    for some in cells.chunks(CELLS_AT_A_TIME) {
        thread::scope(|scope| {
            for cell in some {
                scope.spawn(|| check(*cell));
            }
        });
    }
}

/// Requests of each kind to a host, of which the first are not counted: the host may not know yet
/// that it is cut off.
const ROUND: usize = 12;
const UNCOUNTED: usize = 4;

fn send_round(host: &Host, line: &str, round: &str) -> FirstTries {
    let mut tries = FirstTries::default();
    for number in 0..ROUND {
        let id = format!("{round}-{number}");
        let answer = send_request(host, line, &id, "Model: small\r\n", "");
        if number < UNCOUNTED {
            continue;
        }
        tries.sent += 1;
        tries.served += usize::from(answer.status == 200 && answer.is_whole);
    }
    tries
}

/// Sends rounds of all kinds to all hosts at once. Returns the first tries at each host.
fn send_to_all(fleet: &Fleet, round: &str) -> Vec<FirstTries> {
    let hosts = &fleet.platform.hosts;
    thread::scope(|scope| {
        let start = |host: usize| {
            KINDS.map(|line| {
                let round = format!("{round}-{host}-{line}");
                scope.spawn(move || send_round(&hosts[host], line, &round))
            })
        };
        let rounds: Vec<_> = (0..hosts.len()).map(start).collect();
        let sum = |kinds: [ScopedJoinHandle<'_, FirstTries>; 3]| {
            let kinds = kinds.map(|kind| kind.join().unwrap());
            FirstTries {
                served: kinds.iter().map(|it| it.served).sum(),
                sent: kinds.iter().map(|it| it.sent).sum(),
            }
        };
        rounds.into_iter().map(sum).collect()
    })
}

/// The users' rule: at least two thirds as often as at the others. Here nothing else fails, so that
/// all are to be served.
#[test]
fn callers_of_a_host_that_reaches_no_server_are_served() {
    let mut failed = Vec::new();
    for how in [
        LinkState::Hanging,
        LinkState::Resetting,
        LinkState::RefusingNew,
    ] {
        let fleet = Fleet::start();
        send_to_all(&fleet, "before");
        fleet.platform.set_links(0, how);
        let tries = send_to_all(&fleet, "cut");
        let run_twice = fleet.arrivals().values().filter(|it| **it > 1).count();
        if run_twice > 0 || tries.iter().any(|it| it.served < it.sent) {
            failed.push(format!("{how:?}: {tries:?}, run twice: {run_twice}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
