//! Prompt parts that crash every server which begins to write an answer on them, in a matrix of how
//! a crash shows, which host sees it and what else fails.
//!
//! `CRASHING_PARTS_MATRIX=all` runs all cells, another value those whose names contain it, such as
//! `Silent`; `CRASHING_PARTS_SEED` varies them.

mod route;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{
        LAST_CHUNK, ReceivedRequest, Step, chunk, stream_head, token_event, unframed_head,
    },
};
use route::{Connection, Platform, ok, request, send_request, wait_until};

const SERVERS: usize = 12;
const HOSTS: usize = 3;

/// Servers that a run may start, as far as its network has addresses.
const MAX_SERVERS: usize = 130;

/// The part that crashes servers.
const CRASHING_PART: &str = "bad0";

/// Crashes after which the users' platform counts, the time that it leaves the hosts to learn of
/// them, and the requests that may reach servers later.
const COUNTED_CRASHES: usize = 5;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

/// Length of a run: harmless requests alone, then crashing ones beside them.
const CALM: Duration = Duration::from_millis(1_500);
const TROUBLE: Duration = Duration::from_secs(10);

/// Time after the begin of the trouble during which something else fails.
const OTHER_FAULTS: Duration = Duration::from_secs(3);

/// Pause of a caller between two crashing requests, and two harmless ones.
const CRASHING_PAUSE: Duration = Duration::from_millis(150);
const HARMLESS_PAUSE: Duration = Duration::from_millis(60);

/// Time between two events of a stream, and their number.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const EVENTS: u64 = 10;

/// How the crash of a server shows to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// A reset before the head of the response.
    Reset,
    /// A reset after the head.
    ResetAfterHead,
    /// A reset after the first event.
    ResetAfterEvent,
    /// A reset; the server listens again at once, and only its entry shows the new start.
    ListensAgain,
    /// Nothing more is sent, and connections are refused.
    Silent,
    /// The end of a response with neither a length nor chunks, after a whole event.
    EndAfterEvent,
    /// The end of such a response inside an event.
    EndInsideEvent,
}

const ALL_SHOWN: [Shown; 7] = [
    Shown::Reset,
    Shown::ResetAfterHead,
    Shown::ResetAfterEvent,
    Shown::ListensAgain,
    Shown::Silent,
    Shown::EndAfterEvent,
    Shown::EndInsideEvent,
];

/// Which hosts get the crashing requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SeenBy {
    One,
    All,
    /// A different host each second.
    InTurn,
}

/// What else fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The store answers nobody.
    StoreAway,
    /// A host that sees crashes is killed, and starts again, once a second.
    HostKilled,
    /// Servers crash under harmless requests too.
    OtherCrashes,
}

/// One run of the matrix.
#[derive(Clone, Copy, Debug)]
struct Cell {
    shown: Shown,
    seen_by: SeenBy,
    beside: Beside,
}

/// What a run has seen.
#[derive(Debug, Default)]
struct Outcome {
    /// Crashes by the part in all.
    crashes: usize,
    /// Crashing requests that reached servers later than the window after the fifth crash.
    sent_on: usize,
    /// Harmless requests, and those of them that were refused, from twice the window on.
    harmless: usize,
    refused: usize,
}

/// The arrival of a crashing request at a server.
struct Arrival {
    at: Instant,
    host: usize,
}

struct Trouble {
    cell: Cell,
    platform: Platform,
    rng: fastrand::Rng,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    crashed: (Sender<String>, Receiver<String>),
    /// Servers that crashed, and when the list shows it.
    due: Vec<(Instant, String)>,
    /// Crashes under harmless requests that are still to come.
    other_crashes: Arc<AtomicUsize>,
    /// Times from which each host is disturbed, and until when.
    disturbed: Vec<(usize, Instant, Instant)>,
    starts: u64,
    /// Servers started so far.
    servers: usize,
}

/// Sets a flag when it goes out of scope.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A stream of events after the one that the caller has.
fn stream(received: &ReceivedRequest) -> Vec<Step> {
    let after = received.header("last-event-id").parse().unwrap_or(0);
    let mut steps = vec![Step::Send(stream_head(received, ""))];
    for id in after + 1..=EVENTS {
        steps.push(Step::Wait(EVENT_PAUSE));
        steps.push(Step::Send(chunk(&token_event(id))));
    }
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

/// What a server does that begins to write an answer on the crashing part.
fn crash(shown: Shown, received: &ReceivedRequest) -> Vec<Step> {
    let event = token_event(1);
    let (first_half, _) = event.split_at(event.len() / 2);
    let end = |bytes: &str| {
        vec![
            Step::Send(unframed_head(received) + bytes),
            Step::CrashCleanly,
        ]
    };
    let mut steps = match shown {
        Shown::Reset => vec![Step::Crash],
        Shown::ResetAfterHead => vec![Step::Send(stream_head(received, "")), Step::Crash],
        Shown::ResetAfterEvent => {
            vec![
                Step::Send(stream_head(received, "") + &chunk(&event)),
                Step::Crash,
            ]
        }
        Shown::ListensAgain => vec![Step::Reset],
        Shown::Silent => vec![Step::CrashSilently],
        Shown::EndAfterEvent => end(&event),
        Shown::EndInsideEvent => end(first_half),
    };
    steps.insert(0, Step::Wait(Duration::from_millis(15)));
    steps
}

impl Trouble {
    fn new(cell: Cell, seed: u64) -> Self {
        let mut trouble = Self {
            cell,
            platform: Platform::new(),
            rng: fastrand::Rng::with_seed(seed),
            arrivals: Arc::default(),
            crashed: channel(),
            due: Vec::new(),
            other_crashes: Arc::default(),
            disturbed: Vec::new(),
            starts: 1,
            servers: 0,
        };
        for _ in 0..SERVERS {
            trouble.add_server();
        }
        trouble.platform.start_hosts(HOSTS);
        let hosts = &trouble.platform.hosts;
        wait_until("the hosts know each other", || {
            hosts.iter().all(|host| host.status()["hosts"] == HOSTS)
        });
        trouble
    }

    fn add_server(&mut self) {
        let (cell, arrivals) = (self.cell, self.arrivals.clone());
        let crashed = self.crashed.0.clone();
        let other_crashes = self.other_crashes.clone();
        let name = Arc::new(Mutex::new(String::new()));
        let own_name = name.clone();
        let script = move |_: usize, received: &ReceivedRequest| {
            let id = received.header("attempt-id");
            if received.header("prompt-prefix").contains(CRASHING_PART) {
                let host = id.split('-').next().and_then(|host| host.parse().ok());
                arrivals.lock().unwrap().push(Arrival {
                    at: Instant::now(),
                    host: host.unwrap_or_default(),
                });
                let _ = crashed.send(own_name.lock().unwrap().clone());
                return crash(cell.shown, received);
            }
            let take = |count: usize| count.checked_sub(1);
            if other_crashes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok()
            {
                let _ = crashed.send(own_name.lock().unwrap().clone());
                return crash(cell.shown, received);
            }
            stream(received)
        };
        let (given, _) = self.platform.add_backend("pool", "v1", script);
        *name.lock().unwrap() = given;
        self.servers += 1;
    }

    /// Lets the list show crashes a while after they happened: the server is back under its name
    /// with another start time, or gone, with another in its place.
    fn list_crashes(&mut self) {
        while let Ok(name) = self.crashed.1.try_recv() {
            if !self.due.iter().any(|(_, due)| *due == name) {
                let delay = Duration::from_millis(self.rng.u64(200..600));
                self.due.push((Instant::now() + delay, name));
            }
        }
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, name) in due {
            self.starts += 1;
            if self.cell.shown == Shown::ListensAgain {
                let address = self.platform.address(&name);
                self.platform.write_entry_of_start(
                    self.starts,
                    &name,
                    "pool",
                    "v1",
                    address,
                    "ready",
                );
            } else {
                self.platform.store.remove(&format!("servers/{name}"));
                if self.servers < MAX_SERVERS {
                    self.add_server();
                }
            }
        }
    }

    fn disturb(&mut self, second: u64) {
        match self.cell.beside {
            Beside::Nothing => {}
            Beside::StoreAway => {
                for host in &self.platform.hosts {
                    host.store_endpoint.set_mode(EndpointMode::Silent);
                }
            }
            Beside::HostKilled => {
                let host = second as usize % HOSTS;
                let begin = Instant::now();
                self.platform.hosts[host].kill();
                self.platform.hosts[host].restart();
                let started = &self.platform.hosts[host];
                wait_until("the host is ready", || started.is_ready());
                self.disturbed.push((host, begin, Instant::now()));
            }
            Beside::OtherCrashes => self.other_crashes.store(1, Ordering::Relaxed),
        }
    }

    /// Whether a host was undisturbed at `at` and for the window before.
    fn was_in_touch(&self, host: usize, at: Instant) -> bool {
        let spans = self.disturbed.iter().filter(|span| span.0 == host);
        spans
            .into_iter()
            .all(|(_, begin, end)| at < *begin || at > *end + STABLE_WINDOW)
    }

    fn run(&mut self) -> Outcome {
        let addresses: Vec<_> = self
            .platform
            .hosts
            .iter()
            .map(|host| host.callers())
            .collect();
        let (is_trouble, is_over) = (AtomicBool::new(false), AtomicBool::new(false));
        let harmless = Mutex::new(Vec::new());
        let began = Instant::now();
        let in_turn = || began.elapsed().as_secs() as usize % HOSTS;
        thread::scope(|scope| {
            // Callers end even if a check below fails.
            let _end = SetOnDrop(&is_over);
            for (host, address) in addresses.iter().enumerate() {
                for caller in 0..2 {
                    let rng = Mutex::new(self.rng.fork());
                    let (is_over, harmless) = (&is_over, &harmless);
                    scope.spawn(move || {
                        let mut number = 0;
                        while !is_over.load(Ordering::Relaxed) {
                            number += 1;
                            let subject = rng.lock().unwrap().u8(0..6);
                            let id = format!("{host}-{caller}-{number}");
                            let parts = format!("f0:100,5{subject}:50,{caller}{number}:20");
                            let sent_at = Instant::now();
                            let status = send(*address, &id, &parts);
                            harmless.lock().unwrap().push((sent_at, host, status));
                            thread::sleep(HARMLESS_PAUSE);
                        }
                    });
                }
                let rng = Mutex::new(self.rng.fork());
                let seen_by = self.cell.seen_by;
                let (is_over, is_trouble, in_turn) = (&is_over, &is_trouble, &in_turn);
                scope.spawn(move || {
                    let mut number = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        thread::sleep(CRASHING_PAUSE);
                        let is_chosen = match seen_by {
                            SeenBy::One => host == 0,
                            SeenBy::All => true,
                            SeenBy::InTurn => host == in_turn(),
                        };
                        if !is_chosen || !is_trouble.load(Ordering::Relaxed) {
                            continue;
                        }
                        number += 1;
                        let subject = rng.lock().unwrap().u8(0..6);
                        let id = format!("{host}-bad-{number}");
                        let parts = format!("f0:100,5{subject}:50,{CRASHING_PART}:30,b{number}:20");
                        let address = *address;
                        // Callers of these requests do not wait for each other.
                        thread::spawn(move || send(address, &id, &parts));
                    }
                });
            }
            let mut next_second = 0;
            while began.elapsed() < CALM + TROUBLE {
                self.list_crashes();
                is_trouble.store(began.elapsed() >= CALM, Ordering::Relaxed);
                let second = began.elapsed().as_secs();
                let in_trouble = began.elapsed().saturating_sub(CALM);
                let is_due = !in_trouble.is_zero() && in_trouble < OTHER_FAULTS;
                if is_due && second >= next_second {
                    next_second = second + 1;
                    self.disturb(second);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        self.outcome(&harmless.into_inner().unwrap())
    }

    fn outcome(&self, harmless: &[(Instant, usize, u16)]) -> Outcome {
        let arrivals = self.arrivals.lock().unwrap();
        let Some(fifth) = arrivals.get(COUNTED_CRASHES - 1).or(arrivals.last()) else {
            return Outcome::default();
        };
        let is_late =
            |it: &&Arrival| it.at > fifth.at + STABLE_WINDOW && self.was_in_touch(it.host, it.at);
        let is_counted = |(at, host, _): &&(Instant, usize, u16)| {
            *at > fifth.at + 2 * STABLE_WINDOW && self.was_in_touch(*host, *at)
        };
        let counted: Vec<u16> = harmless.iter().filter(is_counted).map(|it| it.2).collect();
        Outcome {
            crashes: arrivals.len(),
            sent_on: arrivals.iter().filter(is_late).count(),
            harmless: counted.len(),
            refused: counted.iter().filter(|status| **status != 200).count(),
        }
    }
}

/// Sends a request for a stream with this prompt. Returns its status, or 0 unless it is whole.
fn send(address: std::net::SocketAddr, id: &str, parts: &str) -> u16 {
    let Some(mut connection) = Connection::try_open(address) else {
        return 0;
    };
    let extra = format!("Model: small\r\nToken-Usage: 200,50\r\nPrompt-Prefix: {parts}\r\n");
    if !connection.try_send(&request("POST /draft/1", id, &extra, id)) {
        return 0;
    }
    let answer = connection.read();
    if answer.is_whole { answer.status } else { 0 }
}

/// Runs a cell and checks both of its columns.
fn check(cell: Cell) {
    let seed = std::env::var("CRASHING_PARTS_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(24);
    let outcome = Trouble::new(cell, seed).run();
    println!("{cell:?}: {outcome:?}");
    assert!(outcome.sent_on <= ALLOWED, "{cell:?}: {outcome:?}");
    assert!(
        outcome.refused * 2 <= outcome.harmless,
        "{cell:?}: {outcome:?}"
    );
    assert!(
        outcome.crashes > 0 && outcome.harmless > 0,
        "{cell:?}: {outcome:?}"
    );
}

fn cell(shown: Shown, seen_by: SeenBy, beside: Beside) -> Cell {
    Cell {
        shown,
        seen_by,
        beside,
    }
}

#[test]
fn a_prompt_part_that_crashes_servers_is_refused_whichever_host_sees_it() {
    check(cell(Shown::ResetAfterHead, SeenBy::All, Beside::Nothing));
}

#[test]
fn a_prompt_part_that_crashes_servers_is_refused_when_one_host_sees_it() {
    check(cell(Shown::Reset, SeenBy::One, Beside::Nothing));
}

#[test]
fn a_crashing_prompt_part_is_refused_while_the_store_is_away() {
    check(cell(
        Shown::ResetAfterEvent,
        SeenBy::InTurn,
        Beside::StoreAway,
    ));
}

#[test]
fn a_crashing_prompt_part_is_refused_beside_other_crashes() {
    check(cell(Shown::Reset, SeenBy::All, Beside::OtherCrashes));
}

#[test]
fn a_crashing_prompt_part_is_refused_by_hosts_that_start_again() {
    check(cell(Shown::ResetAfterHead, SeenBy::All, Beside::HostKilled));
}

#[test]
fn a_crashing_prompt_part_behind_unframed_answers_is_refused() {
    check(cell(Shown::EndAfterEvent, SeenBy::All, Beside::Nothing));
    check(cell(Shown::EndInsideEvent, SeenBy::One, Beside::Nothing));
}

#[test]
fn a_crashing_prompt_part_of_silent_servers_is_refused() {
    check(cell(Shown::Silent, SeenBy::All, Beside::Nothing));
}

#[test]
fn a_crashing_prompt_part_of_servers_that_listen_again_is_refused() {
    check(cell(Shown::ListensAgain, SeenBy::All, Beside::Nothing));
}

/// Answers without events show that the parts of their prompts are harmless, too.
#[test]
fn whole_answers_clear_their_prompt_parts_of_crashes_that_they_did_not_cause() {
    const CRASHES: usize = 4;
    let mut platform = Platform::new();
    let crashes_left = Arc::new(AtomicUsize::new(0));
    for _ in 0..2 * CRASHES {
        let left = crashes_left.clone();
        platform.add_backend("orders", "v1", move |_, received| {
            let take = |count: usize| count.checked_sub(1);
            let crash = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
            if crash.is_ok() {
                vec![Step::Crash]
            } else {
                ok(received)
            }
        });
    }
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let extra = "Token-Usage: 200,50\r\nPrompt-Prefix: f0:100,51:50,a1:20\r\n";
    for number in 0..CRASHES {
        crashes_left.store(1, Ordering::Relaxed);
        let id = format!("id-{number}");
        let answer = send_request(host, "GET /look/1", &id, extra, &id);
        assert_eq!(answer.status, 200);
        // Crashes at one time would not count.
        thread::sleep(Duration::from_millis(350));
    }
    assert_eq!(host.status()["blocked_parts"], 0);
}

/// Only the list of servers, which nobody can read, shows these crashes.
#[test]
fn a_crashing_prompt_part_of_servers_that_listen_again_is_refused_without_the_store() {
    check(cell(Shown::ListensAgain, SeenBy::All, Beside::StoreAway));
}

/// All cells, one after the other; prints both columns of each.
#[test]
fn the_matrix_of_crashing_prompt_parts_holds() {
    let Ok(chosen) = std::env::var("CRASHING_PARTS_MATRIX") else {
        return;
    };
    let mut failed = HashMap::new();
    for shown in ALL_SHOWN {
        for seen_by in [SeenBy::One, SeenBy::All, SeenBy::InTurn] {
            for beside in [
                Beside::Nothing,
                Beside::StoreAway,
                Beside::HostKilled,
                Beside::OtherCrashes,
            ] {
                let cell = cell(shown, seen_by, beside);
                if chosen != "all" && !format!("{cell:?}").contains(&chosen) {
                    continue;
                }
                if let Err(e) = thread::spawn(move || check(cell)).join() {
                    failed.insert(format!("{cell:?}"), e);
                }
            }
        }
    }
    let cells: Vec<&String> = failed.keys().collect();
    assert!(cells.is_empty(), "{cells:#?}");
}
