//! Outlier ejection: which backend servers a host avoids because of the outcomes it observed.
//!
//! A server that passes its own health check may still fail some requests, hang or be unreachable.
//! An unreachable server returns once it accepts a connection, which is probed without a request.
//! A failing server is detected by comparing its moving failure rate with its pool's, and returns
//! after a successful trial request.

use std::time::Duration;

use crate::time::Millis;

/// Weight of the latest outcome in the moving average of the failure rate.
const LATEST_OUTCOME_WEIGHT: f64 = 0.2;

/// Weight of the latest outcome that another host had. All hosts hear the same ones, so that it
/// takes more of them to leave a server alone everywhere at once.
const HEARD_OUTCOME_WEIGHT: f64 = 0.1;

/// Excess over the pool's failure rate above which a server is ejected.
const EJECTION_EXCESS_RATE: f64 = 0.25;

/// Duration of a server's first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(600);

/// Longest duration of an ejection: a restarted server is back within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Interval between two connection probes of an unreachable server.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Outcome of an attempt, as it counts for the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response was complete and in time.
    Good,
    /// The server responded with a failure, broke off or took far too long.
    Failed,
    /// The server accepted no connection.
    Unreachable,
}

/// Health of one server as observed by one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    failure_rate: f64,
    ejected_until: Option<Millis>,
    ejection_duration: Duration,
    /// Time of the next probe; set while the server is unreachable.
    probe_at: Option<Millis>,
}

impl ServerHealth {
    /// Records an outcome; `pool_rate` is the mean failure rate of the server's pool.
    pub fn record(&mut self, outcome: AttemptOutcome, pool_rate: f64, now: Millis) {
        if outcome == AttemptOutcome::Unreachable {
            self.record_unreachable(now);
            return;
        }
        self.probe_at = None;
        let failed = f64::from(u8::from(outcome == AttemptOutcome::Failed));
        self.failure_rate += LATEST_OUTCOME_WEIGHT * (failed - self.failure_rate);
        if outcome == AttemptOutcome::Good {
            self.ejected_until = None;
            self.ejection_duration = Duration::ZERO;
        } else if self.failure_rate > pool_rate + EJECTION_EXCESS_RATE {
            self.eject(now);
        }
    }

    /// Records the outcome of a response to another host. Unlike a response to this host, a success
    /// does not end an ejection: a server that fails in part succeeds in between.
    pub fn record_heard(&mut self, has_failed: bool, pool_rate: f64, now: Millis) {
        let failed = f64::from(u8::from(has_failed));
        self.failure_rate += HEARD_OUTCOME_WEIGHT * (failed - self.failure_rate);
        if has_failed && self.failure_rate > pool_rate + EJECTION_EXCESS_RATE {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Millis) {
        // Concurrent failures extend the ejection only once.
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        self.ejection_duration = (self.ejection_duration * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now.after(self.ejection_duration));
    }

    /// Marks the server as known or presumed unreachable, and schedules the first probe.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.probe_at.get_or_insert(now.after(PROBE_PERIOD));
    }

    /// Ejects the server because another one has its address.
    pub fn record_replaced(&mut self, now: Millis) {
        self.probe_at = None;
        self.ejection_duration = MAX_EJECTION;
        self.ejected_until = Some(now.after(MAX_EJECTION));
    }

    /// Returns whether a probe is due; if so, claims it, so that concurrent callers get `false`.
    pub fn begin_probe(&mut self, now: Millis) -> bool {
        let is_due = self.probe_at.is_some_and(|at| now >= at);
        if is_due {
            self.probe_at = Some(now.after(PROBE_PERIOD));
        }
        is_due
    }

    /// Records that the server accepted a connection.
    pub fn record_reachable(&mut self) {
        self.probe_at = None;
    }

    /// Returns whether the server is known or presumed unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Returns whether the server should get no request now.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.is_unreachable() || self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the next request is a trial: the ejection is over and no response
    /// has been good since.
    pub fn is_trial_due(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Ejects the server for a while, so that it gets no other request during the trial.
    pub fn begin_trial(&mut self, now: Millis) {
        self.ejected_until = Some(now.after(FIRST_EJECTION));
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
