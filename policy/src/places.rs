//! Places at servers that must hardly turn requests away, dealt out to hosts without coordination.
//!
//! The slots of all servers of a service are dealt to the hosts in turn, in an order that hosts with
//! the same view of fleet and servers share. A host that sends only what its places hold never makes
//! a server turn a request away for want of a slot, however its reports lag.

use std::time::Duration;

use crate::{
    server_limit::is_limit,
    time::{Millis, nearest_span},
};

/// Shortest time for which a host leaves a server alone that had no room for its request.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Part of the refusals allowed that hosts without a place may cause.
const UNPLACED_PART: f64 = 0.5;

/// Time for which a host's view has to give it a place before the host uses it. Until then the host that
/// held the place may not have heard that it has lost it.
pub const PLACE_DELAY: Duration = Duration::from_secs(2);

/// Parses the number of refusals a second above which a server falls over. Returns `None` if it is
/// not a number that can be one.
pub fn parse_refusal_limit(text: &str) -> Option<f64> {
    let limit: f64 = text.trim().parse().ok()?;
    is_limit(limit).then_some(limit)
}

/// Returns the places of the host of rank `rank` out of `hosts` at each server, given their slots in
/// the common order.
pub fn places(slots: &[u32], rank: usize, hosts: usize) -> Vec<u32> {
    let hosts = hosts.max(1) as u64;
    let mut dealt: u64 = 0;
    // Places before `end` that go to this host.
    let before = |end: u64| (end + hosts - 1 - rank as u64 % hosts) / hosts;
    let mut own = Vec::with_capacity(slots.len());
    for slots in slots {
        let end = dealt + u64::from(*slots);
        own.push((before(end) - before(dealt)) as u32);
        dealt = end;
    }
    own
}

/// The places of a host at one server that it may use, whatever other hosts have heard by now of the
/// fleet and the servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldPlaces {
    held: Option<u32>,
    /// The least number above `held` that the view has given, and since when.
    coming: Option<(u32, Millis)>,
}

impl HeldPlaces {
    /// Takes the places that the host's view gives it at `now`. Returns how many it may use: it gives
    /// places up at once, and takes more after [`PLACE_DELAY`].
    pub fn update(&mut self, dealt: u32, now: Millis) -> u32 {
        let held = *self.held.get_or_insert(dealt);
        if dealt <= held {
            self.held = Some(dealt);
            self.coming = None;
            return dealt;
        }
        let (least, since) = self.coming.unwrap_or((dealt, now));
        let least = least.min(dealt);
        if now.since(since) < PLACE_DELAY {
            self.coming = Some((least, since));
            return held;
        }
        self.held = Some(least);
        self.coming = (dealt > least).then_some((dealt, now));
        least
    }
}

/// Returns the time between two requests of a host without any place to one of the servers.
pub fn unplaced_interval(refusal_limit: f64, hosts: usize) -> Duration {
    let rate = (refusal_limit * UNPLACED_PART).max(1.0) / hosts.max(1) as f64;
    nearest_span(1.0 / rate)
}

/// Returns until when a host leaves a server alone that had no room for its request at `now`, so
/// that all hosts together stay below the server's limit of refusals.
pub fn pause_until(refusal_limit: f64, hosts: usize, now: Millis) -> Millis {
    let pause = nearest_span(hosts as f64 / refusal_limit.max(1.0));
    // `after` drops the fraction of a millisecond.
    now.after(pause.max(MIN_PAUSE) + Duration::from_millis(1))
}
