//! Canary rollout of a new version of a service.
//!
//! A small share of the sessions gets the new version first. The share grows once the version has
//! proved good, and drops to zero as soon as it proves bad.

use std::time::Duration;

use crate::rollout_assessment::Verdict;

/// Canary share of the sessions in a fleet of up to [`FEW_HOSTS`] hosts.
const MAX_CANARY_SHARE: f64 = 0.05;

/// Canary share from [`MANY_HOSTS`] hosts on, whose traffic gives enough evidence with fewer
/// sessions.
const MIN_CANARY_SHARE: f64 = 0.02;

/// Largest fleet that uses [`MAX_CANARY_SHARE`].
const FEW_HOSTS: usize = 16;

/// Smallest fleet that uses [`MIN_CANARY_SHARE`].
const MANY_HOSTS: usize = 48;

/// Earliest growth beyond the canary share, as a fraction of the time limit. Before that, sessions
/// of the old version must stay on it.
const MIN_GROW_AFTER: f64 = 0.52;

/// Fraction of the time limit by which a version that is neither cleared nor suspect starts to grow
/// later than a cleared one.
const UNCLEARED_DELAY: f64 = 0.02;

/// Fraction of the time limit from which a version that looks worse is rolled back.
const DECIDE_AFTER: f64 = 0.93;

/// Earliest completion, as a fraction of the time limit: a version can only be rolled back before it.
const MIN_COMPLETE_AFTER: f64 = 0.955;

/// Fraction of the time limit in which the share grows from the canary share to all sessions.
const GROWTH: f64 = 0.06;

/// Least fraction of the time limit in which the share grows.
const MIN_GROWTH: f64 = 0.03;

/// Fraction of the time limit that is left after the latest completion, for the write of the status
/// and for hosts that read the order late.
const COMPLETION_MARGIN: f64 = 0.04;

/// Largest margin after the latest completion. A write by the third host in turn takes two steps
/// of 0.8 s and the store's answer.
const MAX_COMPLETION_MARGIN: Duration = Duration::from_secs(2);

/// Earliest fraction of the time limit at which plain requests may all go to the new version.
const MIN_LOAD_TRIAL: f64 = 0.6;

/// Fraction of the time limit from which they go there even if the bound on exposure is used up: a
/// version is not completed before it has had them all.
const LATEST_LOAD_TRIAL: f64 = 0.92;

/// Fraction of the time limit at which sessions start to move at the latest.
const LATEST_GROWTH: f64 = 0.915;

/// Part of the requests allowed beyond the share that a load trial may use. The rest is left for
/// requests that hosts learn of late, and for retries.
const TRIAL_SLACK: f64 = 0.8;

/// Part of the requests allowed beyond the share by which moving sessions stay below the bound. They
/// cannot return.
const GROWTH_RESERVE: f64 = 0.6;

/// Largest part of the bound on exposure that is kept in reserve.
const MAX_RESERVE: f64 = 0.2;

/// Rate of requests that is expected while sessions move, as a multiple of the usual one: bursts come
/// then, and requests of the old version go on at the new one.
const GROWTH_BURST: f64 = 1.5;

/// Part of the bound on exposure that is left unused, as a time: requests that are sent again, and
/// hosts whose clocks of the rollout differ, add to the exposure.
const EXPOSURE_MARGIN: Duration = Duration::from_millis(300);

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

/// Returns the time since the order at which a rollout completes even if requests still run on old
/// versions.
pub fn latest_completion(time_limit: Duration) -> Duration {
    let margin = time_limit.mul_f64(COMPLETION_MARGIN);
    time_limit - margin.min(MAX_COMPLETION_MARGIN)
}

/// How far a rollout has got, and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order by which the rollout must have ended.
    pub time_limit: Duration,
    /// Bound on a bad version's share of the requests within the time limit, from 0 to 1.
    pub max_exposure: f64,
    /// The canary share.
    pub canary: f64,
    /// Share of the sessions on the new version, from 0 to 1.
    pub share: f64,
    /// Time since the last step.
    pub since_last_step: Duration,
    /// Requests that the service has got since the order.
    pub exposure: Exposure,
    /// Requests that a bad version may get within the time limit beyond its share.
    pub exposure_slack: f64,
}

/// Requests of a service since the order, by the evidence of all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// Requests that the new version got.
    pub new: f64,
    /// Requests that all versions got.
    pub all: f64,
    /// Rate of all requests, per second.
    pub per_s: f64,
}

impl Progress {
    fn limit_s(&self) -> f64 {
        self.time_limit.as_secs_f64().max(1.0)
    }

    /// Whether the new version stays within its share of the requests, and `slack` beyond it, if it gets
    /// all requests from now until the time limit but for the first `moving` of that time. They are
    /// expected at `burst` times the usual rate.
    fn may_get_all(&self, moving: Duration, slack: f64, burst: f64) -> bool {
        let left = self.time_limit.saturating_sub(self.elapsed);
        let coming = self.exposure.per_s * left.as_secs_f64();
        let exposed = burst * self.exposure.per_s * left.saturating_sub(moving).as_secs_f64();
        let bound = self.max_exposure * (self.exposure.all + coming);
        // A service that hardly has requests must not wait for its reserve.
        let slack = slack.max(-MAX_RESERVE * bound);
        self.exposure.new + exposed <= bound + slack
    }

    /// Whether sessions may move beyond the canary share, `delay` of the time limit later than a
    /// cleared version's.
    fn may_grow(&self, delay: f64) -> bool {
        let elapsed = self.elapsed.as_secs_f64() / self.limit_s();
        let moving = self.time_limit.mul_f64(GROWTH / 2.0);
        let reserve = GROWTH_RESERVE * self.exposure_slack;
        elapsed >= LATEST_GROWTH
            || (elapsed >= self.grow_after() + delay
                && self.may_get_all(moving, -reserve, GROWTH_BURST))
    }

    /// Fraction of the time limit after which the share may grow: as early as leaves even a version
    /// whose faults never show within the bound on exposure.
    fn grow_after(&self) -> f64 {
        // With canary share c, growth over r from t on, and all sessions until the limit, the
        // exposure is c t + r / 2 + (1 - t - r).
        let margin = EXPOSURE_MARGIN.as_secs_f64() / self.limit_s();
        let exposure = (self.max_exposure - margin).max(0.0);
        let start = (1.0 - exposure - GROWTH / 2.0) / (1.0 - self.canary);
        start.clamp(MIN_GROW_AFTER, 1.0 - GROWTH)
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

/// Returns the next step of a rollout. The share grows a little with each step, however late the
/// version is cleared, so that the evidence can keep up.
pub fn next_step(progress: Progress, verdict: Verdict) -> RolloutStep {
    let limit_s = progress.limit_s();
    let elapsed = progress.elapsed.as_secs_f64() / limit_s;
    let share = progress.share.max(progress.canary);
    let is_last_step = progress.elapsed >= latest_completion(progress.time_limit);
    let may_grow = match verdict {
        Verdict::Bad => return RolloutStep::RollBack,
        Verdict::Suspect if elapsed >= DECIDE_AFTER => return RolloutStep::RollBack,
        // A load trial may still show that the doubt is unfounded.
        Verdict::Doubtful if is_last_step => return RolloutStep::RollBack,
        Verdict::Suspect | Verdict::Doubtful => false,
        Verdict::Cleared => progress.may_grow(0.0),
        Verdict::Open => progress.may_grow(UNCLEARED_DELAY),
    };
    if !may_grow {
        return RolloutStep::Share(share);
    }
    if share >= 1.0 {
        return match elapsed >= MIN_COMPLETE_AFTER {
            true => RolloutStep::Complete,
            false => RolloutStep::Share(share),
        };
    }
    let growth = ((1.0 - elapsed) / 2.0).clamp(MIN_GROWTH, GROWTH);
    let step = progress.since_last_step.as_secs_f64() / limit_s / growth;
    RolloutStep::Share((share + (1.0 - progress.canary) * step).min(1.0))
}

/// Whether all requests that belong to no session and have no prompt go to the new version. `is_on` is
/// whether they do so already.
///
/// They can return to the old version at any time, so that they load the new one as early as the
/// bound on exposure allows: some faults show only under load.
pub fn is_load_trial(progress: Progress, verdict: Verdict, is_on: bool) -> bool {
    let elapsed = progress.elapsed.as_secs_f64() / progress.limit_s();
    match verdict {
        Verdict::Bad | Verdict::Suspect => false,
        _ if is_on || elapsed >= LATEST_LOAD_TRIAL => true,
        _ => {
            let slack = TRIAL_SLACK * progress.exposure_slack;
            elapsed >= MIN_LOAD_TRIAL && progress.may_get_all(Duration::ZERO, slack, 1.0)
        }
    }
}
