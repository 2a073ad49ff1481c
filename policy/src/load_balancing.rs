//! Load balancing over backend servers, with spillover to other zones.

use std::{sync::Arc, time::Duration};

use crate::time::Millis;

/// Age beyond which a load report is ignored.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Number of servers in other zones that are compared for one request.
const REMOTE_CANDIDATES: usize = 2;

/// Random tries before all servers are searched for a usable one.
const MAX_RANDOM_TRIES: usize = 8;

/// Load, as a fraction of the slots, from which a server of the local zone may be passed over for a
/// less loaded one of another zone.
pub const SPILLOVER_LOAD: f64 = 1.5;

/// A backend server that a request can be sent to.
pub trait Candidate {
    /// Returns whether the server accepts work, as far as is known.
    fn takes_work(&self, now: Millis) -> bool;
    /// Returns whether the server is in backoff after failures.
    fn is_in_backoff(&self, now: Millis) -> bool;
    /// Returns what is known about the server's load.
    fn load(&self) -> LoadView;
}

impl<C: Candidate> Candidate for Arc<C> {
    fn takes_work(&self, now: Millis) -> bool {
        C::takes_work(self, now)
    }

    fn is_in_backoff(&self, now: Millis) -> bool {
        C::is_in_backoff(self, now)
    }

    fn load(&self) -> LoadView {
        C::load(self)
    }
}

/// What a host knows about the load of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadView {
    /// Requests in its batch and queue, by its own delayed report.
    pub reported: u32,
    /// Largest number of requests in its batch.
    pub slots: u32,
    /// Time when the report was received.
    pub reported_at: Millis,
    /// Requests in flight from this host.
    pub own_in_flight: u32,
}

impl LoadView {
    /// Returns the reported load as a fraction of the slots; zero if the report is too old.
    /// Requests that this host has sent since are not added, since its own count covers them.
    fn reported_load(&self, now: Millis) -> f64 {
        let is_fresh = now.since(self.reported_at) <= REPORT_LIFETIME;
        let reported = if is_fresh { self.reported } else { 0 };
        f64::from(reported) / f64::from(self.slots.max(1))
    }

    /// Returns the server's score; the lowest is preferred.
    ///
    /// This host's own count is exact and dominates. The delayed report decides between servers
    /// with equal counts, but only above `mean_load`, the mean over the compared servers: otherwise
    /// a server whose report is too low or too old would attract all hosts at once.
    pub fn score(&self, mean_load: f64, now: Millis) -> f64 {
        let reported = self.reported_load(now).max(mean_load);
        (f64::from(self.own_in_flight) + reported) / f64::from(self.slots.max(1))
    }

    /// Returns whether the load has reached [`SPILLOVER_LOAD`].
    pub fn should_spill_over(&self, now: Millis) -> bool {
        let own = f64::from(self.own_in_flight) / f64::from(self.slots.max(1));
        own.max(self.reported_load(now)) >= SPILLOVER_LOAD
    }
}

/// Picks the server for a request: the one with the lowest score among the local zone's.
///
/// Servers of other zones are considered if that one has reached [`SPILLOVER_LOAD`] or if there is
/// none. Returns `None` if no server accepts work.
pub fn pick<'a, C: Candidate>(
    local: &'a [C],
    remote: &'a [C],
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    let mean_load = mean_reported_load(local, now);
    let best_local = pick_least_loaded(local, mean_load, now, rng);
    if let Some(best) = best_local.filter(|best| !best.load().should_spill_over(now)) {
        return Some(best);
    }
    let picks = (0..REMOTE_CANDIDATES).filter_map(|_| pick_random(remote, now, rng));
    let best_remote = picks.min_by(|left, right| compare_scores(*left, *right, mean_load, now));
    match (best_local, best_remote) {
        (Some(local), Some(remote)) if compare_scores(remote, local, mean_load, now).is_lt() => {
            Some(remote)
        }
        (Some(local), _) => Some(local),
        (None, remote) => remote,
    }
}

/// Returns the mean of the reported loads, as fractions of the slots.
fn mean_reported_load<C: Candidate>(among: &[C], now: Millis) -> f64 {
    let sum: f64 = among
        .iter()
        .map(|candidate| candidate.load().reported_load(now))
        .sum();
    sum / among.len().max(1) as f64
}

fn compare_scores<C: Candidate>(
    left: &C,
    right: &C,
    mean_load: f64,
    now: Millis,
) -> std::cmp::Ordering {
    left.load()
        .score(mean_load, now)
        .total_cmp(&right.load().score(mean_load, now))
}

/// Picks the usable server with the lowest score. The search begins at a random index, so that
/// equal servers are used equally; if none is usable, [`pick_random`] decides.
fn pick_least_loaded<'a, C: Candidate>(
    among: &'a [C],
    mean_load: f64,
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    if among.is_empty() {
        return None;
    }
    let (before, after) = among.split_at(rng.usize(..among.len()));
    let usable = after
        .iter()
        .chain(before)
        .filter(|candidate| is_usable(*candidate, now));
    let best = usable.min_by(|left, right| compare_scores(*left, *right, mean_load, now));
    best.or_else(|| pick_random(among, now, rng))
}

/// Picks a random usable server; if all are in backoff, any that accepts work.
fn pick_random<'a, C: Candidate>(
    among: &'a [C],
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    if among.is_empty() {
        return None;
    }
    for _ in 0..MAX_RANDOM_TRIES {
        let candidate = &among[rng.usize(..among.len())];
        if is_usable(candidate, now) {
            return Some(candidate);
        }
    }
    let takes_work: Vec<&C> = among
        .iter()
        .filter(|candidate| candidate.takes_work(now))
        .collect();
    let usable: Vec<&C> = takes_work
        .iter()
        .copied()
        .filter(|candidate| is_usable(*candidate, now))
        .collect();
    // If all are in backoff, trying one of them is still better than refusing the request.
    let choices = if usable.is_empty() {
        takes_work
    } else {
        usable
    };
    (!choices.is_empty()).then(|| choices[rng.usize(..choices.len())])
}

fn is_usable<C: Candidate>(candidate: &C, now: Millis) -> bool {
    candidate.takes_work(now) && !candidate.is_in_backoff(now)
}

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Largest number of times the backoff is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Returns the backoff of a server after `failures` consecutive failures.
pub fn failure_backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF * 2u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
}
