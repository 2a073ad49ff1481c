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
