//! Which backend server takes a request.

use std::{sync::Arc, time::Duration};

use crate::time::Millis;

/// Reports older than this say nothing about load any more.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Servers of other zones compared for one request.
const REMOTE_CHOICES: usize = 2;

/// Random draws before all servers are looked at for a usable one.
const MAX_DRAWS: usize = 8;

/// Load, as a fraction of the slots, above which a server of the own zone is passed over
/// for a less loaded one of another zone.
pub const SPILLOVER_LOAD: f64 = 1.5;

/// A backend server as the choice sees it.
pub trait Candidate {
    /// Whether it takes work at all, as far as is known.
    fn takes_work(&self, now: Millis) -> bool;
    /// Whether it failed lately and is better left alone.
    fn failed_lately(&self, now: Millis) -> bool;
    /// What is known about its load.
    fn load(&self) -> LoadView;
}

impl<C: Candidate> Candidate for Arc<C> {
    fn takes_work(&self, now: Millis) -> bool {
        C::takes_work(self, now)
    }

    fn failed_lately(&self, now: Millis) -> bool {
        C::failed_lately(self, now)
    }

    fn load(&self) -> LoadView {
        C::load(self)
    }
}

/// What a host knows about the load of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadView {
    /// Requests in its batch and queue by its own, lagging report.
    pub reported: u32,
    /// Requests that its batch holds.
    pub slots: u32,
    /// When the report was taken in.
    pub reported_at: Millis,
    /// Requests of this host that it answers now.
    pub own_in_flight: u32,
}

impl LoadView {
    /// The server's own report as a fraction of its slots; zero if it is too old. What this host sent
    /// since is not added: it shows in the own count.
    fn reported_fraction(&self, now: Millis) -> f64 {
        let is_fresh = now.since(self.reported_at) <= REPORT_LIFETIME;
        let reported = if is_fresh { self.reported } else { 0 };
        f64::from(reported) / f64::from(self.slots.max(1))
    }

    /// Order of preference, the lowest first. What this host has in flight is exact and decides;
    /// the report is late, and decides between servers that are equal by the exact count. A report
    /// below `usual`, the mean of the servers compared, earns nothing: a server that reports too
    /// little, or too late, would draw all hosts.
    pub fn score(&self, usual: f64, now: Millis) -> f64 {
        let reported = self.reported_fraction(now).max(usual);
        (f64::from(self.own_in_flight) + reported) / f64::from(self.slots.max(1))
    }

    /// Whether the server is loaded so far that another zone's may be better.
    pub fn should_spill_over(&self, now: Millis) -> bool {
        let own = f64::from(self.own_in_flight) / f64::from(self.slots.max(1));
        own.max(self.reported_fraction(now)) >= SPILLOVER_LOAD
    }
}

/// The server for a request: of those that this host uses in its own zone, the one with the lowest
/// score. Other zones come into question when that one is loaded above [`SPILLOVER_LOAD`] or there is none.
pub fn pick<'a, C: Candidate>(
    local: &'a [C],
    remote: &'a [C],
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    let usual = usual_fraction(local, now);
    let best_local = best_of(local, usual, now, rng);
    if let Some(best) = best_local.filter(|best| !best.load().should_spill_over(now)) {
        return Some(best);
    }
    let draws = (0..REMOTE_CHOICES).filter_map(|_| draw(remote, now, rng));
    let best_remote = draws.min_by(|left, right| by_score(*left, *right, usual, now));
    match (best_local, best_remote) {
        (Some(local), Some(remote)) if by_score(remote, local, usual, now).is_lt() => Some(remote),
        (Some(local), _) => Some(local),
        (None, remote) => remote,
    }
}

/// Mean of the servers' reported loads, as fractions of their slots.
fn usual_fraction<C: Candidate>(among: &[C], now: Millis) -> f64 {
    let sum: f64 = among
        .iter()
        .map(|candidate| candidate.load().reported_fraction(now))
        .sum();
    sum / among.len().max(1) as f64
}

fn by_score<C: Candidate>(left: &C, right: &C, usual: f64, now: Millis) -> std::cmp::Ordering {
    left.load()
        .score(usual, now)
        .total_cmp(&right.load().score(usual, now))
}

/// The lowest score, from a random place on so that equal servers are used equally.
fn best_of<'a, C: Candidate>(
    among: &'a [C],
    usual: f64,
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    if among.is_empty() {
        return None;
    }
    let (before, after) = among.split_at(rng.usize(..among.len()));
    let sound = after
        .iter()
        .chain(before)
        .filter(|candidate| is_sound(*candidate, now));
    let best = sound.min_by(|left, right| by_score(*left, *right, usual, now));
    best.or_else(|| draw(among, now, rng))
}

/// A random usable server.
fn draw<'a, C: Candidate>(among: &'a [C], now: Millis, rng: &mut fastrand::Rng) -> Option<&'a C> {
    if among.is_empty() {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let drawn = &among[rng.usize(..among.len())];
        if is_sound(drawn, now) {
            return Some(drawn);
        }
    }
    // Where all have failed lately, one of them is still better than a refusal.
    let takes_work: Vec<&C> = among
        .iter()
        .filter(|candidate| candidate.takes_work(now))
        .collect();
    let sound: Vec<&C> = takes_work
        .iter()
        .copied()
        .filter(|candidate| is_sound(*candidate, now))
        .collect();
    let left = if sound.is_empty() { takes_work } else { sound };
    (!left.is_empty()).then(|| left[rng.usize(..left.len())])
}

fn is_sound<C: Candidate>(candidate: &C, now: Millis) -> bool {
    candidate.takes_work(now) && !candidate.failed_lately(now)
}

/// Pause after a first failure.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 5;

/// How long a server is left alone after its last `failures` requests failed in a row.
pub fn failure_backoff(failures: u32) -> Duration {
    FIRST_PAUSE * 2u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
}
