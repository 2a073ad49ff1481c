//! The budget of repeated requests: further attempts on servers stay a part of the first ones.
//!
//! The bound is the fleet's. Each host keeps to it by its own traffic, so that the sum over all
//! hosts keeps to it too, and takes its part of the slack.

use std::{collections::VecDeque, time::Duration};

use crate::time::Millis;

/// Part of the bound that a host uses; the rest covers requests in flight at a window's border.
const USED_PART: f64 = 0.92;

/// Buckets that a window is counted in.
const BUCKETS: u64 = 10;

/// The bound for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats in each window beyond the ratio, over all hosts.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Counts of one host and one service in the current window.
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

    /// Counts a request's first attempt.
    pub fn record_first_attempt(&mut self, limit: &RetryLimit, now: Millis) {
        self.bucket(limit, now).first_attempts += 1;
    }

    /// Repeats in the current window, and how many this host allows itself.
    fn window(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> (f64, f64) {
        self.bucket(limit, now);
        let first_attempts: u32 = self
            .buckets
            .iter()
            .map(|bucket| bucket.first_attempts)
            .sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = limit.ratio * f64::from(first_attempts) + limit.slack / hosts.max(1) as f64;
        (f64::from(retries), allowed * USED_PART)
    }

    /// Part of the window's allowance that is used, on one of `hosts` hosts.
    pub fn used_fraction(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> f64 {
        let (retries, allowed) = self.window(limit, hosts, now);
        retries / allowed.max(f64::MIN_POSITIVE)
    }

    /// Whether the window has room for one further attempt.
    pub fn has_room(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> bool {
        let (retries, allowed) = self.window(limit, hosts, now);
        retries + 1.0 <= allowed
    }

    /// Takes one further attempt if the window has room.
    pub fn try_take(&mut self, limit: &RetryLimit, hosts: usize, now: Millis) -> bool {
        let has_room = self.has_room(limit, hosts, now);
        if has_room {
            self.bucket(limit, now).retries += 1;
        }
        has_room
    }

    /// Gives an attempt back that never reached a server.
    pub fn refund(&mut self, limit: &RetryLimit, now: Millis) {
        let bucket = self.bucket(limit, now);
        bucket.retries = bucket.retries.saturating_sub(1);
    }
}
