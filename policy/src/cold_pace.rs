//! Rate of requests to servers that have just started, shared between hosts without coordination.
//!
//! Load: a server, or a whole zone of them, comes back cold and looks idle to all hosts at once. A
//! few hosts, the same whatever part of the fleet a host reaches, send to a cold server, each with
//! evenly spaced requests; all other hosts leave it alone until it is warm.

use std::{collections::VecDeque, time::Duration};

use crate::time::{Millis, nearest_span};

/// Window in which a cold server's requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Factor by which the requests of one host are spread beyond the window, so that one more does not
/// fall into it when a connection takes longer for one of them than for the next.
const SPREAD: f64 = 1.05;

/// Most requests of one host in a window that are counted one by one, which bounds the memory. At
/// higher rates a window of evenly spaced requests exceeds the pace by a small part at most.
const MAX_COUNTED: usize = 1_024;

/// Highest rate that a cold server can name, requests per second.
const MAX_RATE: f64 = 100_000.0;

/// What the servers of a service bear after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPace {
    per_s: f64,
    duration: Duration,
}

impl ColdPace {
    /// A pace of `per_s` requests per second from all hosts together, for `duration` after a start.
    /// Returns `None` if either is zero: servers of the service are never cold.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the rate.
    pub fn new(per_s: f64, duration: Duration) -> Result<Option<Self>, String> {
        if !(0.0..=MAX_RATE).contains(&per_s) {
            return Err(format!("{per_s} is not a rate from 0 to {MAX_RATE}"));
        }
        let is_named = per_s > 0.0 && !duration.is_zero();
        Ok(is_named.then_some(Self { per_s, duration }))
    }

    /// Requests per second that a cold server bears from all hosts together.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Time for which a server is cold after its start.
    pub fn duration(&self) -> Duration {
        self.duration
    }

    /// Number of hosts that send to a cold server, out of `hosts`.
    pub fn senders(&self, hosts: usize) -> usize {
        self.shares(hosts).0
    }

    /// Number of sending hosts out of `hosts`, and most requests of each in a window. If there are
    /// fewer hosts than requests in a window, all of them with whole shares can leave half of the pace
    /// unused; fewer hosts with one request more each may use more of it.
    fn shares(&self, hosts: usize) -> (usize, usize) {
        let whole = (self.per_s as usize).max(1);
        let hosts = hosts.clamp(1, whole);
        let of_all = (hosts, whole / hosts);
        let larger = whole.div_ceil(hosts);
        let of_some = (whole / larger, larger);
        if of_some.0 * of_some.1 > of_all.0 * of_all.1 {
            of_some
        } else {
            of_all
        }
    }

    /// Time between two requests of one sending host, out of `hosts` hosts. In any window all of them
    /// together send no more than the pace, or one request if that is less.
    pub fn interval(&self, hosts: usize) -> Duration {
        let senders = self.senders(hosts) as f64;
        let spread = WINDOW.mul_f64(SPREAD / self.max_in_window(hosts) as f64);
        spread.max(nearest_span(senders / self.per_s))
    }

    /// Most requests that one sending host, out of `hosts`, sends in any window.
    pub fn max_in_window(&self, hosts: usize) -> usize {
        self.shares(hosts).1
    }
}

/// The requests that one host sent to a server within the last window, counted as they leave: a
/// connection may take longer for one of them than for the next, and a request may have been chosen
/// before the server became cold.
#[derive(Clone, Debug, Default)]
pub struct SentWindow {
    sent: VecDeque<Millis>,
}

impl SentWindow {
    /// Records a request that leaves at `now`, if fewer than `max` left within the window before.
    /// Returns whether it may leave.
    pub fn try_send(&mut self, max: usize, now: Millis) -> bool {
        if max > MAX_COUNTED {
            return true;
        }
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        let may_send = self.sent.len() < max;
        if may_send {
            self.sent.push_back(now);
        }
        may_send
    }
}
