//! Brings a new version of a service in: a small part of the sessions first, the rest once it has
//! shown itself good, none as soon as it has not.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quality::{Counts, should_halt};

/// Part of the sessions that meets a new version on trial, before few hosts.
const MAX_CANARY_SHARE: f64 = 0.08;

/// The same before many hosts: their traffic gives the evidence with fewer sessions.
const MIN_CANARY_SHARE: f64 = 0.02;

/// Hosts up to which the trial is at its largest, and from which it is at its smallest.
const FEW_HOSTS: usize = 16;
const MANY_HOSTS: usize = 48;

/// Part of the time limit after which sessions may move to the new version.
const MOVE_AFTER: f64 = 0.52;

/// Part of the time limit after which all sessions are on the new version.
const ALL_AFTER: f64 = 0.66;

/// Part of the time limit after which the roll-out is completed.
const COMPLETE_AFTER: f64 = 0.76;

/// How many times more often than the old version's answers bad ones may come.
const TOLERATED: f64 = 1.5;

/// Answers of the old version below which its rate is taken for a little worse than seen.
const PRIOR_ANSWERS: f64 = 20.0;

/// Answers that the new version must have given before all sessions move.
const LEAST_ANSWERS: u64 = 8;

/// Rate of bad answers that every version is allowed.
const ALLOWED_RATE: f64 = 0.04;

/// Part of the sessions that meets a new version until it has shown itself good. All hosts of a
/// fleet get the same part, in steps, so that few differ while hosts come and go.
pub fn canary_share(hosts: usize) -> f64 {
    match hosts {
        0..=FEW_HOSTS => MAX_CANARY_SHARE,
        _ if hosts < MANY_HOSTS => MAX_CANARY_SHARE / 2.0,
        _ => MIN_CANARY_SHARE,
    }
}

/// Judged answers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Answers that were whole and in time.
    pub good: u64,
    /// Answers that failed, broke off or took several times longer than the old version's.
    pub bad: u64,
}

impl VersionCounts {
    /// Sum of two tallies.
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

/// What is to be done with a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutStep {
    /// This part of the sessions goes to the new version.
    Share(f64),
    /// All sessions are on it and no work is left on the old one.
    Complete,
    /// The new version is bad.
    RollBack,
}

/// Whether the answers of the new version are worse than those of the old one.
pub fn is_worse(new: VersionCounts, old: VersionCounts) -> bool {
    let prior_bad = ALLOWED_RATE * PRIOR_ANSWERS;
    let answers = (old.good + old.bad) as f64 + PRIOR_ANSWERS;
    let old_rate = (old.bad as f64 + prior_bad) / answers;
    let counts = Counts {
        good: new.good,
        bad: new.bad,
    };
    should_halt(counts, (old_rate * TOLERATED).max(ALLOWED_RATE))
}

/// The step at `elapsed` after the order, with the part of the sessions on `trial` and the tallies of
/// both versions over all hosts.
pub fn next_step(
    elapsed: Duration,
    time_limit: Duration,
    canary: f64,
    new: VersionCounts,
    old: VersionCounts,
) -> RolloutStep {
    if is_worse(new, old) {
        return RolloutStep::RollBack;
    }
    let part = elapsed.as_secs_f64() / time_limit.as_secs_f64().max(1.0);
    if part < MOVE_AFTER || new.good + new.bad < LEAST_ANSWERS {
        return RolloutStep::Share(canary);
    }
    if part >= COMPLETE_AFTER {
        return RolloutStep::Complete;
    }
    let moved = ((part - MOVE_AFTER) / (ALL_AFTER - MOVE_AFTER)).min(1.0);
    RolloutStep::Share(canary + (1.0 - canary) * moved)
}
