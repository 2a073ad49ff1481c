//! Rate of requests to servers that have just started, shared between hosts without coordination.
//!
//! Load: a server, or a whole zone of them, comes back cold and looks idle to all hosts at once. A
//! few hosts, the same whatever part of the fleet a host reaches, send to a cold server, each with
//! evenly spaced requests; all other hosts leave it alone until it is warm.

use std::time::Duration;

use crate::time::nearest_span;

/// Window in which a cold server's requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Factor by which the requests of one host are spread beyond the window, so that one more does not
/// fall into it when a connection takes longer for one of them than for the next.
const SPREAD: f64 = 1.05;

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
        (self.per_s as usize).max(1).min(hosts.max(1))
    }

    /// Time between two requests of one sending host, out of `hosts` hosts. In any window all of them
    /// together send no more than the pace, or one request if that is less.
    pub fn interval(&self, hosts: usize) -> Duration {
        let senders = self.senders(hosts) as f64;
        let in_window = (self.per_s / senders).floor().max(1.0);
        let spread = WINDOW.mul_f64(SPREAD / in_window);
        spread.max(nearest_span(senders / self.per_s))
    }
}
