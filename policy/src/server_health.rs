//! Which backend servers to leave alone for a while, by the outcomes that this host saw.
//!
//! A server whose own health check is good may fail a part of its requests, hang or be dark. A
//! server that is out of reach comes back when it takes a connection again, which is tried without
//! a request; one that fails is judged by a running rate against its pool's, and comes back by a
//! trial request.

use std::time::Duration;

use crate::time::Millis;

/// Weight of the latest outcome in the running rate of failures.
const RATE_WEIGHT: f64 = 0.2;

/// Rate of failures beyond the pool's above which a server is left alone.
const OUTLIER_EXCESS: f64 = 0.25;

/// First pause after a server failed too often.
const FIRST_EJECTION: Duration = Duration::from_millis(600);

/// Longest pause between two trials; servers come back after some seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time between two looks whether a server is in reach again.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How an attempt speaks for or against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered well.
    Good,
    /// It answered with a failure, broke an answer off, or took far too long.
    Failed,
    /// It took no connection.
    Unreachable,
}

/// What one host knows of a server's soundness.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    failure_rate: f64,
    ejected_until: Option<Millis>,
    ejection: Duration,
    /// Set while the server is out of reach: when to look again.
    probe_at: Option<Millis>,
}

impl ServerHealth {
    /// Takes in an outcome; `pool_rate` is the mean rate of failures of its pool.
    pub fn record(&mut self, outcome: AttemptOutcome, pool_rate: f64, now: Millis) {
        if outcome == AttemptOutcome::Unreachable {
            self.record_unreachable(now);
            return;
        }
        self.probe_at = None;
        let failed = f64::from(u8::from(outcome == AttemptOutcome::Failed));
        self.failure_rate += RATE_WEIGHT * (failed - self.failure_rate);
        if outcome == AttemptOutcome::Good {
            self.ejected_until = None;
            self.ejection = Duration::ZERO;
        } else if self.failure_rate > pool_rate + OUTLIER_EXCESS {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Millis) {
        // Failures of one moment count once.
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        self.ejection = (self.ejection * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now.after(self.ejection));
    }

    /// Notes that the server is, or must be taken to be, out of reach.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.probe_at.get_or_insert(now.after(PROBE_PERIOD));
    }

    /// Whether it is to be looked now if the server is in reach again. Others wait for the outcome.
    pub fn begin_probe(&mut self, now: Millis) -> bool {
        let is_due = self.probe_at.is_some_and(|at| now >= at);
        if is_due {
            self.probe_at = Some(now.after(PROBE_PERIOD));
        }
        is_due
    }

    /// Notes that the server took a connection.
    pub fn record_reachable(&mut self) {
        self.probe_at = None;
    }

    /// Whether the server is out of reach as far as is known.
    pub fn is_unreachable(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Whether the server is better left alone.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.is_unreachable() || self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the next request is a trial: the pause is over and no answer was good since.
    pub fn is_trial_due(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Notes that a trial request is on its way: others wait for its outcome.
    pub fn begin_trial(&mut self, now: Millis) {
        self.ejected_until = Some(now.after(FIRST_EJECTION));
    }

    /// Running rate of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
