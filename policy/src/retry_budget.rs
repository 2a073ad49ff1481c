//! Retry budget: limits retries to a fraction of the first attempts.
//!
//! The limit holds for the whole fleet. Each host applies the ratio to its own traffic and takes an
//! equal share of the slack, so that the sum over all hosts stays within the limit.

use std::{collections::VecDeque, time::Duration};

use crate::time::Millis;

/// Fraction of its allowance that a host uses; the rest covers requests in flight at a window's
/// boundary.
pub const USABLE_FRACTION: f64 = 0.92;

/// Number of buckets in a window.
const BUCKETS: u64 = 10;

/// Fleet-wide limit on the retries for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries allowed in each window in addition, over all hosts.
    pub slack: f64,
    /// Length of the sliding window that attempts are counted in.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Attempts of one host on one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    fn bucket(&mut self, limit: &RetryLimit, now: Millis) -> &mut Bucket {
        let width = (limit.window.as_millis() as u64 / BUCKETS).max(1);
        let number = now.0 / width;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Records a request's first attempt.
    pub fn record_first_attempt(&mut self, limit: &RetryLimit, now: Millis) {
        self.bucket(limit, now).first_attempts += 1;
    }

    /// Returns the retries in the current window and the number that this host may use.
    fn window(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> (f64, f64) {
        self.bucket(limit, now);
        let first_attempts: u32 = self
            .buckets
            .iter()
            .map(|bucket| bucket.first_attempts)
            .sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = limit.ratio * f64::from(first_attempts) + limit.slack / hosts.max(1) as f64;
        (f64::from(retries), allowed * USABLE_FRACTION)
    }

    /// Returns the used fraction of the allowance of one of `hosts` hosts; above one if overdrawn.
    pub fn used_fraction(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> f64 {
        let (retries, allowed) = self.window(limit, hosts, now);
        retries / allowed.max(f64::MIN_POSITIVE)
    }

    /// Returns whether one more retry is allowed.
    pub fn has_room(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> bool {
        let (retries, allowed) = self.window(limit, hosts, now);
        retries + 1.0 <= allowed
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_take(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> bool {
        let has_room = self.has_room(limit, hosts, now);
        if has_room {
            self.bucket(limit, now).retries += 1;
        }
        has_room
    }

    /// Returns a retry that never reached a server to the budget.
    pub fn refund(&mut self, limit: &RetryLimit, now: Millis) {
        let bucket = self.bucket(limit, now);
        bucket.retries = bucket.retries.saturating_sub(1);
    }
}
