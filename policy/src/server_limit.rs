//! Rates of requests that servers in need name, shared between hosts without coordination.
//!
//! A few hosts, the same by every host's view of the fleet, send to a limited server; each gets an
//! equal part of the rate and spaces its requests evenly. All other hosts leave the server alone. In
//! any window the server so gets at most its rate and one request more for each of these hosts.

use std::time::Duration;

use crate::time::{Millis, nearest_span};

/// Hosts that send to a limited server beyond one for each request a second.
const BASE_SENDERS: usize = 3;

/// Lowest rate at which a host sends to a limited server, requests per second. Some requests must
/// go there, as only answers tell that the server is no longer in need.
const MIN_RATE: f64 = 0.1;

/// Highest rate that counts as a limit, requests per second.
const MAX_LIMIT: f64 = 100_000.0;

/// Longest time after which a refused caller is asked to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(60);

/// Parses a named limit in requests per second. Returns `None` if it is not a number that can be a
/// limit.
pub fn parse_limit(text: &str) -> Option<f64> {
    let limit: f64 = text.trim().parse().ok()?;
    is_limit(limit).then_some(limit)
}

/// Whether a number of requests per second can be a limit.
pub fn is_limit(per_s: f64) -> bool {
    (0.0..=MAX_LIMIT).contains(&per_s)
}

/// Returns the number of hosts that send to a server with this limit, out of `hosts`.
pub fn senders(limit: f64, hosts: usize) -> usize {
    (limit as usize)
        .saturating_add(BASE_SENDERS)
        .min(hosts.max(1))
}

/// Returns the time between two requests of one sending host, out of `hosts` hosts.
pub fn send_interval(limit: f64, hosts: usize) -> Duration {
    let rate = limit.max(MIN_RATE) / senders(limit, hosts) as f64;
    nearest_span(1.0 / rate)
}

/// Spaces the requests of one host to a limited server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pacer {
    next: Millis,
}

impl Pacer {
    /// Returns the time until the next request may be sent.
    pub fn wait(&self, now: Millis) -> Duration {
        self.next.since(now)
    }

    /// Records a request that is sent at `now`, if it may be. Returns whether it may.
    pub fn try_take(&mut self, interval: Duration, now: Millis) -> bool {
        let may_send = self.wait(now).is_zero();
        if may_send {
            self.next = now.after(interval);
        }
        may_send
    }
}

/// Spreads the return of refused callers, so that no more come back at a time than can be served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    next: Millis,
}

impl ReturnSchedule {
    /// Returns when the next refused caller should return, if `rate` requests per second can be
    /// served, and not before `earliest` from now.
    pub fn delay(&mut self, rate: f64, earliest: Duration, now: Millis) -> Duration {
        let interval = nearest_span(1.0 / rate.max(MIN_RATE));
        let last = now.after(MAX_RETURN_DELAY);
        self.next = self.next.max(now.after(earliest)).min(last);
        let delay = self.next.since(now);
        self.next = self.next.after(interval);
        delay
    }
}
