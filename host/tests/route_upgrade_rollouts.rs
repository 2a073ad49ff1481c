//! Rollouts of a model version while the entry hosts are replaced by another version of their own.

mod older;
mod route;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, signed_response,
};
use older::{
    OLDER,
    Version::{self, Present},
};
use route::{Connection, Host, Platform, paced_stream, put_entry, request, wait_until};
use serde_json::{Value, json};

const HOSTS: usize = 3;

/// Sessions that send requests, and their number where moves between versions are counted.
const SESSIONS: usize = 12;
const MANY_SESSIONS: usize = 48;

/// Time limit of a rollout.
const LIMIT: Duration = Duration::from_secs(14);

/// Largest share of the requests that a bad version may get, and its least number of them.
const MAX_EXPOSURE: f64 = 0.15;
const EXPOSURE_SLACK: f64 = 10.0;

/// Moves of sessions that the users allow.
const ALLOWED_MOVES: usize = 3;

/// Time after the start of a host before which moves of its sessions do not count.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// A host as callers see it.
struct Entrance {
    address: SocketAddr,
    is_up: AtomicBool,
    /// Last start or stop.
    changed_at: Mutex<Instant>,
}

impl Entrance {
    fn set_up(&self, is_up: bool) {
        *self.changed_at.lock().unwrap() = Instant::now();
        self.is_up.store(is_up, Ordering::Relaxed);
    }

    fn is_in_touch(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
            && self.changed_at.lock().unwrap().elapsed() > STABLE_WINDOW
    }
}

/// A request of a session.
struct Sample {
    session: usize,
    sent_at: Instant,
    id: String,
    /// Whether its host was in touch when it was sent and when it was answered.
    is_in_touch: bool,
}

/// Lets a session send one request after the other, each to another host.
fn call(entrances: &[Entrance], session: usize, is_over: &AtomicBool) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut number = session;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let entrance = &entrances[number % entrances.len()];
        if !entrance.is_up.load(Ordering::Relaxed) {
            continue;
        }
        let id = format!("r-{session}-{number}");
        let extra = format!("Model: small\r\nSession: s-{session}\r\n");
        let was_in_touch = entrance.is_in_touch();
        let sent_at = Instant::now();
        if let Some(mut connection) = Connection::try_open(entrance.address)
            && connection.try_send(&request("POST /draft/1", &id, &extra, "{}"))
        {
            connection.read();
        }
        samples.push(Sample {
            session,
            sent_at,
            id,
            is_in_touch: was_in_touch && entrance.is_in_touch(),
        });
    }
    samples
}

fn state(platform: &Platform) -> String {
    let status = platform.store.get("status/rollout/pool");
    let status: Value = serde_json::from_slice(&status.unwrap_or_default()).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// What a rollout beside a replacement of all hosts has shown.
#[derive(Debug)]
struct Outcome {
    state: String,
    /// Requests since the order, and those that ran on the new version.
    sent: usize,
    exposed: usize,
    /// Sessions that moved to the new version in the first half, or back from it.
    moved_early: usize,
    moved_back: usize,
}

struct Rollout {
    platform: Platform,
    old: Vec<Arc<ScriptedServer>>,
    new: Vec<Arc<ScriptedServer>>,
    /// Entries of the new version's servers, which start with the order.
    started: Vec<(String, SocketAddr)>,
}

impl Rollout {
    fn new(from: Version, is_bad: bool) -> Self {
        let mut platform = Platform::new();
        let pause = Duration::from_millis(10);
        let add = |platform: &mut Platform, version: &str, is_bad: bool| {
            let script = move |number: usize, received: &ReceivedRequest| {
                if is_bad && number.is_multiple_of(2) {
                    let status = "500 Internal Server Error";
                    return vec![Step::Send(signed_response(received, status, "", ""))];
                }
                paced_stream(received, 6, pause)
            };
            platform.add_backend("pool", version, script)
        };
        let mut old = Vec::new();
        let mut new = Vec::new();
        let mut started = Vec::new();
        for _ in 0..2 {
            old.push(add(&mut platform, "v1", false).1);
            let (name, server) = add(&mut platform, "v2", is_bad);
            platform.store.remove(&format!("servers/{name}"));
            let address = platform.address(&name);
            started.push((name, address));
            new.push(server);
        }
        platform.binaries = vec![from.binary(); HOSTS];
        platform.start_hosts(HOSTS);
        wait_until("the hosts know each other", || {
            let mut hosts = platform.hosts.iter();
            hosts.all(|host| host.status()["hosts"] == HOSTS)
        });
        Self {
            platform,
            old,
            new,
            started,
        }
    }

    fn requests(servers: &[Arc<ScriptedServer>]) -> usize {
        servers.iter().map(|server| server.requests().len()).sum()
    }

    fn order(&self) {
        let order = json!({"service": "pool", "target": "v2", "durationS": LIMIT.as_secs()});
        self.platform
            .store
            .put("op/rollout/pool", order.to_string());
        for (name, address) in &self.started {
            put_entry(
                &self.platform.store,
                1,
                name,
                "pool",
                "v2",
                *address,
                "ready",
            );
        }
    }

    /// Replaces the hosts one after the other while the rollout goes on.
    fn run(mut self, to: Version, sessions: usize) -> Outcome {
        let entrance = |host: &Host| Entrance {
            address: host.callers(),
            is_up: AtomicBool::new(true),
            changed_at: Mutex::new(Instant::now()),
        };
        let entrances: Vec<Entrance> = self.platform.hosts.iter().map(entrance).collect();
        let is_over = AtomicBool::new(false);
        let samples = Mutex::new(Vec::new());
        let (mut ordered_at, mut sent, mut exposed) = (Instant::now(), 0, 0);
        thread::scope(|scope| {
            for session in 0..sessions {
                let (entrances, is_over, samples) = (&entrances, &is_over, &samples);
                scope.spawn(move || {
                    let own = call(entrances, session, is_over);
                    samples.lock().unwrap().extend(own);
                });
            }
            wait_until("the old version has served", || {
                Self::requests(&self.old) > sessions * 30
            });
            thread::sleep(STABLE_WINDOW);
            let before = Self::requests(&self.old);
            ordered_at = Instant::now();
            self.order();
            for (number, entrance) in entrances.iter().enumerate() {
                thread::sleep(Duration::from_millis(500));
                let host = &mut self.platform.hosts[number];
                host.signal("TERM");
                wait_until("the host is no longer ready", || !host.is_ready());
                entrance.set_up(false);
                host.succeed_with(&to.binary());
                wait_until("the host is ready", || host.is_ready());
                entrance.set_up(true);
            }
            wait_until("the rollout has ended", || {
                matches!(state(&self.platform).as_str(), "completed" | "rolled_back")
                    || ordered_at.elapsed() > LIMIT
            });
            is_over.store(true, Ordering::Relaxed);
            exposed = Self::requests(&self.new);
            sent = exposed + Self::requests(&self.old) - before;
        });
        let samples = samples.into_inner().unwrap();
        let (moved_early, moved_back) = self.moves(&samples, ordered_at);
        Outcome {
            state: state(&self.platform),
            sent,
            exposed,
            moved_early,
            moved_back,
        }
    }

    /// Counts the moves of sessions between the versions, by hosts in touch.
    fn moves(&self, samples: &[Sample], ordered_at: Instant) -> (usize, usize) {
        let mut is_new = HashMap::new();
        for (servers, version) in [(&self.old, false), (&self.new, true)] {
            for received in servers.iter().flat_map(|server| server.requests()) {
                is_new.insert(received.header("attempt-id").to_owned(), version);
            }
        }
        let mut last: HashMap<usize, bool> = HashMap::new();
        let (mut early, mut back) = (0, 0);
        for sample in samples {
            let Some(version) = is_new.get(&sample.id) else {
                continue;
            };
            let before = last.insert(sample.session, *version);
            if !sample.is_in_touch {
                continue;
            }
            let is_first_half = sample.sent_at < ordered_at + LIMIT / 2;
            early += usize::from(before == Some(false) && *version && is_first_half);
            back += usize::from(before == Some(true) && !*version);
        }
        (early, back)
    }
}

/// Plays two replacements beside a rollout at the same time. Returns what each has shown.
fn play(
    replacements: [(Version, Version); 2],
    is_bad: bool,
    sessions: usize,
) -> Vec<(String, Outcome)> {
    let outcomes = thread::scope(|scope| {
        let plays = replacements.map(|(from, to)| {
            let rollout = move || Rollout::new(from, is_bad).run(to, sessions);
            scope.spawn(rollout)
        });
        plays.map(|play| play.join().unwrap())
    });
    let named = replacements.into_iter().zip(outcomes);
    let played = named.map(|((from, to), outcome)| {
        println!("{from:?} to {to:?}: {outcome:?}");
        (format!("{from:?} to {to:?}"), outcome)
    });
    played.collect()
}

/// Plays the replacement of each earlier version by the present one, and back.
fn play_all(is_bad: bool) -> Vec<(String, Outcome)> {
    let plays = OLDER.map(|older| [(older, Present), (Present, older)]);
    plays
        .into_iter()
        .flat_map(|replacements| play(replacements, is_bad, SESSIONS))
        .collect()
}

#[test]
fn a_good_version_is_completed_while_hosts_are_replaced() {
    for (name, outcome) in play_all(false) {
        assert_eq!(outcome.state, "completed", "{name}: {outcome:?}");
        assert!(outcome.moved_early <= ALLOWED_MOVES, "{name}: {outcome:?}");
    }
}

#[test]
fn a_bad_version_is_rolled_back_while_hosts_are_replaced() {
    for (name, outcome) in play_all(true) {
        assert_eq!(outcome.state, "rolled_back", "{name}: {outcome:?}");
        let allowed = MAX_EXPOSURE * outcome.sent as f64 + EXPOSURE_SLACK;
        assert!(outcome.exposed as f64 <= allowed, "{name}: {outcome:?}");
    }
}

#[test]
fn sessions_keep_the_new_version_while_hosts_are_replaced() {
    let replacements = [(Present, Present), (Present, OLDER[1])];
    for (name, outcome) in play(replacements, false, MANY_SESSIONS) {
        assert!(outcome.moved_back <= ALLOWED_MOVES, "{name}: {outcome:?}");
    }
}
