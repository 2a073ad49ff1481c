//! How often a request may be sent: its own limits and the fleet's retry budget.

use std::time::Duration;

use clementinearch_policy::time::Millis;

use crate::active_request::ActiveRequest;

/// Maximum number of attempts per request, including those that servers refused to run.
const MAX_SENDS: u32 = 6;

/// Minimum time before the deadline for which another attempt is worthwhile.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

impl ActiveRequest {
    /// Number of further attempts that may run the request.
    pub(crate) fn attempts_left(&self) -> u32 {
        self.call
            .head
            .route
            .max_attempts
            .saturating_sub(self.executions)
    }

    /// Whether the limits on time and number allow another attempt.
    pub(crate) fn has_attempt_left(&self, now: Millis) -> bool {
        self.attempts_left() > 0
            && self.sends < MAX_SENDS
            && self.call.remaining(now) >= MIN_ATTEMPT_TIME
    }

    /// Whether another host or server may be looked for while a peer has the request.
    pub(crate) fn may_hand_over(&self, now: Millis) -> bool {
        self.call.head.route.kind.may_retry()
            && now >= self.no_handover_before
            && self.has_attempt_left(now)
    }

    /// Whether the current attempt may be abandoned for another one.
    pub(crate) fn may_abandon_attempt(&self, now: Millis) -> bool {
        now >= self.no_handover_before
            && self.attempts_left() > 0
            && self.sends < MAX_SENDS
            && self
                .state
                .with_retry_budget(&self.call.service, now, |budget, limit, hosts| {
                    budget.has_room(limit, hosts, now)
                })
    }

    /// Takes another attempt from the retry budget. Returns whether it is allowed.
    pub(crate) fn take_retry(&mut self, now: Millis) -> bool {
        self.has_attempt_left(now)
            && self
                .state
                .with_retry_budget(&self.call.service, now, |budget, limit, hosts| {
                    budget.try_take(limit, hosts, now)
                })
    }

    pub(crate) fn count_first_attempt(&mut self, now: Millis) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        self.state
            .with_retry_budget(&self.call.service, now, |budget, limit, _| {
                budget.record_first_attempt(limit, now);
            });
    }

    /// Returns an attempt to the retry budget: it did not reach its server and so did not add to its
    /// load.
    pub(crate) fn return_retry(&self, now: Millis) {
        self.state
            .with_retry_budget(&self.call.service, now, |budget, limit, _| {
                budget.refund(limit, now);
            });
    }
}
