//! Which backend server takes a request.

use std::{sync::Arc, time::Duration};

use crate::time::Millis;

/// Reports older than this say nothing about load any more.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Servers compared for one request.
pub const CHOICES: usize = 2;

/// Random draws before all servers are looked at for a usable one.
const MAX_DRAWS: usize = 8;

/// Load, as a fraction of the slots, above which a server of the own zone is passed over
/// for a less loaded one of another zone.
pub const SPILL_LOAD: f64 = 1.5;

/// A backend server as the choice sees it.
pub trait Candidate {
    /// Whether it takes work at all, as far as is known.
    fn takes_work(&self, now: Millis) -> bool;
    /// Whether it failed lately and is better left alone.
    fn failed_lately(&self, now: Millis) -> bool;
    /// Expected load as a fraction of its slots.
    fn load(&self, now: Millis) -> f64;
}

impl<C: Candidate> Candidate for Arc<C> {
    fn takes_work(&self, now: Millis) -> bool {
        C::takes_work(self, now)
    }

    fn failed_lately(&self, now: Millis) -> bool {
        C::failed_lately(self, now)
    }

    fn load(&self, now: Millis) -> f64 {
        C::load(self, now)
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
    /// Requests that this host sent since the report.
    pub sent_since_report: u32,
}

impl LoadView {
    /// Expected load as a fraction of the server's slots.
    pub fn load(&self, now: Millis) -> f64 {
        let is_fresh = now.since(self.reported_at) <= REPORT_LIFETIME;
        let reported = if is_fresh {
            self.reported + self.sent_since_report
        } else {
            0
        };
        f64::from(reported.max(self.own_in_flight)) / f64::from(self.slots.max(1))
    }
}

/// The server for a request: the better of two random ones of the own zone. Other zones come
/// into question when that one is loaded above [`SPILL_LOAD`] or there is none.
pub fn pick<'a, C: Candidate>(
    local: &'a [C],
    remote: &'a [C],
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    let best_local = better_of_two(local, now, rng);
    if let Some(best) = best_local
        && best.load(now) < SPILL_LOAD
    {
        return Some(best);
    }
    match (best_local, better_of_two(remote, now, rng)) {
        (Some(local), Some(remote)) if remote.load(now) < local.load(now) => Some(remote),
        (Some(local), _) => Some(local),
        (None, remote) => remote,
    }
}

fn better_of_two<'a, C: Candidate>(
    among: &'a [C],
    now: Millis,
    rng: &mut fastrand::Rng,
) -> Option<&'a C> {
    let mut best: Option<&C> = None;
    for _ in 0..CHOICES {
        let Some(drawn) = draw(among, now, rng) else {
            break;
        };
        if best.is_none_or(|best| drawn.load(now) < best.load(now)) {
            best = Some(drawn);
        }
    }
    best
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
pub fn failure_pause(failures: u32) -> Duration {
    FIRST_PAUSE * 2u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
}
