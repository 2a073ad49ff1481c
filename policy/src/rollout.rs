//! Canary rollout of a new version of a service.
//!
//! A small share of the sessions gets the new version first. The share grows once the version has
//! proved good, and drops to zero as soon as it proves bad.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quality::{Counts, log_likelihood_ratio, should_halt};

/// Canary share of the sessions in a fleet of up to [`FEW_HOSTS`] hosts.
const MAX_CANARY_SHARE: f64 = 0.08;

/// Canary share from [`MANY_HOSTS`] hosts on, whose traffic gives enough evidence with fewer
/// sessions.
const MIN_CANARY_SHARE: f64 = 0.02;

/// Largest fleet that uses [`MAX_CANARY_SHARE`].
const FEW_HOSTS: usize = 16;

/// Smallest fleet that uses [`MIN_CANARY_SHARE`].
const MANY_HOSTS: usize = 48;

/// Fraction of the time limit after which the share may grow beyond the canary share.
const GROW_AFTER: f64 = 0.52;

/// Fraction of the time limit after which all sessions are on the new version.
const FULL_AFTER: f64 = 0.66;

/// Fraction of the time limit after which the rollout is complete.
const COMPLETE_AFTER: f64 = 0.76;

/// Tolerated ratio of the new version's rate of bad responses to the old version's.
const TOLERATED_RATE_RATIO: f64 = 1.5;

/// Number of responses at [`ALLOWED_RATE`] that are added to the old version's counts, so that its
/// rate is not underestimated while it has few responses.
const PRIOR_RESPONSES: f64 = 20.0;

/// Responses that the new version must have given before its share grows.
const MIN_RESPONSES: u64 = 8;

/// Likelihood ratio against the new version from which its share does not grow: the evidence no
/// longer speaks for it.
const HOLDING_RATIO: f64 = 1.0;

/// Rate of bad responses that is allowed to every version.
const ALLOWED_RATE: f64 = 0.04;

/// Returns the share of the sessions that gets a new version before it has proved good.
///
/// The share depends on the fleet size in steps, so that hosts with slightly different views of
/// the fleet mostly agree on it.
pub fn canary_share(hosts: usize) -> f64 {
    match hosts {
        0..=FEW_HOSTS => MAX_CANARY_SHARE,
        _ if hosts < MANY_HOSTS => MAX_CANARY_SHARE / 2.0,
        _ => MIN_CANARY_SHARE,
    }
}

/// Counts of good and bad responses of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Responses that were complete and in time.
    pub good: u64,
    /// Responses that failed, broke off or took several times longer than usual.
    pub bad: u64,
}

impl VersionCounts {
    /// Returns the later of two readings of the same counts, which only grow.
    pub fn later(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            bad: self.bad.max(other.bad),
        }
    }

    /// Returns the sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

/// Next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutStep {
    /// Route this share of the sessions to the new version.
    Share(f64),
    /// Route all sessions to the new version, and complete once the old one has no work left.
    Complete,
    /// Return all sessions to the old version.
    RollBack,
}

/// Returns whether the new version's responses are significantly worse than the old version's.
pub fn is_worse(new: VersionCounts, old: VersionCounts) -> bool {
    let (counts, allowed) = comparison(new, old);
    should_halt(counts, allowed)
}

/// Returns whether the new version's responses look worse than the old version's, on less evidence
/// than [`is_worse`] needs.
fn looks_worse(new: VersionCounts, old: VersionCounts) -> bool {
    let (counts, allowed) = comparison(new, old);
    log_likelihood_ratio(counts, allowed) >= HOLDING_RATIO.ln()
}

/// Returns the new version's counts and the rate of bad responses that it is allowed.
fn comparison(new: VersionCounts, old: VersionCounts) -> (Counts, f64) {
    let prior_bad = ALLOWED_RATE * PRIOR_RESPONSES;
    let responses = (old.good + old.bad) as f64 + PRIOR_RESPONSES;
    let old_rate = (old.bad as f64 + prior_bad) / responses;
    let counts = Counts {
        good: new.good,
        bad: new.bad,
    };
    (counts, (old_rate * TOLERATED_RATE_RATIO).max(ALLOWED_RATE))
}

/// Returns the step of a rollout that began `elapsed` ago.
///
/// `canary` is the canary share; `new` and `old` are the counts of both versions over all hosts.
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
    let progress = elapsed.as_secs_f64() / time_limit.as_secs_f64().max(1.0);
    let is_proved = new.good + new.bad >= MIN_RESPONSES && !looks_worse(new, old);
    if progress < GROW_AFTER || !is_proved {
        return RolloutStep::Share(canary);
    }
    if progress >= COMPLETE_AFTER {
        return RolloutStep::Complete;
    }
    let moved = ((progress - GROW_AFTER) / (FULL_AFTER - GROW_AFTER)).min(1.0);
    RolloutStep::Share(canary + (1.0 - canary) * moved)
}
