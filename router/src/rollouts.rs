//! Version rollouts on one host: which versions a request may go to, and the sessions that stay on
//! theirs.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use clementinearch_policy::{
    names::{FastMap, Name},
    planned_end::PlannedWindow,
    rollout::canary_share,
    rollout_evidence::{Outcome, Outcomes},
    time::Millis,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    call::{Call, hash_bytes},
    rollout::{
        ObservedResponse, Rollout, RolloutBounds, RolloutOrder, RolloutReport, RolloutState,
        RolloutStatus, StepResult, report_lifetime,
    },
};

/// Version that a session's last request ran on, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SessionVersion {
    /// Low 32 bits of the hash of service and session.
    #[serde(rename = "k")]
    pub(crate) key: u32,
    /// Low 32 bits of the version's hash.
    #[serde(rename = "v")]
    pub(crate) version: u32,
}

/// Versions of a service that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// Every version.
    Any,
    /// This version alone; other versions if none of its servers can take the request.
    Only(Name),
    /// This version alone, since all sessions have moved to it; other versions only if it has no
    /// server that takes requests, whether tried before or not.
    Moved(Name),
    /// Every version except these.
    Except(Vec<Name>),
    /// This version alone, on so few servers that they are loaded; other versions if none of its
    /// servers can take the request.
    LoadTrial(Name),
}

impl VersionRule {
    /// Whether a server that runs `version` may take the request.
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) | Self::Moved(only) | Self::LoadTrial(only) => **only == *version,
            Self::Except(excluded) => excluded.iter().all(|name| **name != *version),
        }
    }
}

/// What binds a request to the version that served earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stickiness {
    /// Its session.
    Session,
    /// Prompts in the servers' caches.
    Prompt,
    /// Nothing.
    Plain {
        /// Whether an attempt of the request has been made.
        is_retry: bool,
    },
}

impl Stickiness {
    /// What binds a request of which an attempt has been made if `is_retry`.
    pub(crate) fn of(call: &Call, is_retry: bool) -> Self {
        match (call.head.session, &call.head.prompt) {
            (Some(_), _) => Self::Session,
            (None, Some(_)) => Self::Prompt,
            (None, None) => Self::Plain { is_retry },
        }
    }
}

/// Time after which outcomes from before a rollout no longer count for its baseline: they are kept
/// for this long to twice as long.
const BASELINE_SPAN: Duration = Duration::from_secs(15);

/// Time after its window for which the end of a rollout is kept: until the list of servers has
/// shown the last end.
const END_LIFETIME: Duration = Duration::from_secs(20);

/// Recent outcomes of a service by the hash of the route, as the baseline of the next rollout.
#[derive(Debug, Default)]
struct Baseline {
    since: Millis,
    current: FastMap<u32, Outcomes>,
    previous: FastMap<u32, Outcomes>,
}

impl Baseline {
    fn add(&mut self, route: u32, outcome: Outcome, now: Millis) {
        if now.since(self.since) >= BASELINE_SPAN {
            self.since = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.entry(route).or_default().add(outcome);
    }
}

/// The end of a rollout, after which servers of the losing version stop.
#[derive(Debug)]
struct RolloutEnd {
    service: Name,
    target: Name,
    /// Whether the target is the version that stays.
    is_completed: bool,
    window: PlannedWindow,
}

impl RolloutEnd {
    fn stops(&self, service: &str, version: &str) -> bool {
        *self.service == *service && (*self.target == *version) != self.is_completed
    }
}

/// All rollouts that a host knows of.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Longest pause between two requests of a session.
    session_timeout: Duration,
    /// Largest share of a service's requests that a bad version may get, from 0 to 1.
    max_exposure: f64,
    /// Requests that it may get beyond that.
    exposure_slack: f64,
    /// Distinguishes the starts of this process.
    incarnation: u32,
    by_service: Mutex<FastMap<Name, Rollout>>,
    /// Recent ends of rollouts. They outlast the next order of their service.
    ends: Mutex<Vec<RolloutEnd>>,
    baselines: Mutex<FastMap<Name, Baseline>>,
    /// Version hash and time of the last request, by key, of the sessions within the canary's
    /// share.
    sessions: Mutex<FastMap<u32, (u32, Millis)>>,
    /// Known hosts, which determine the canary's share.
    fleet_size: AtomicUsize,
}

/// Key of the session at `point` of a service.
fn session_key(service: &str, point: u64) -> u32 {
    (hash_bytes(service.as_bytes()) ^ point) as u32
}

fn version_hash(version: &str) -> u32 {
    hash_bytes(version.as_bytes()) as u32
}

/// Maps the hash `point` to [0, 1): a session is on the new version if this is below the share.
fn position(point: u64) -> f64 {
    (point >> 11) as f64 / (1u64 << 53) as f64
}

impl Rollouts {
    /// Starts without rollouts; a session ends `session_timeout` after its last request, and a bad
    /// version may get `max_exposure` of a service's requests and `exposure_slack` more.
    pub(crate) fn new(session_timeout: Duration, max_exposure: f64, exposure_slack: f64) -> Self {
        Self {
            session_timeout,
            max_exposure,
            exposure_slack,
            incarnation: fastrand::u32(..),
            by_service: Mutex::default(),
            ends: Mutex::default(),
            baselines: Mutex::default(),
            sessions: Mutex::default(),
            fleet_size: AtomicUsize::new(1),
        }
    }

    /// Sets the number of known hosts.
    pub(crate) fn set_fleet_size(&self, hosts: usize) {
        self.fleet_size.store(hosts, Ordering::Relaxed);
    }

    fn canary_share(&self) -> f64 {
        canary_share(self.fleet_size.load(Ordering::Relaxed))
    }

    /// Starts the rollout of an order, unless it is already known. Returns whether it is new.
    ///
    /// The target of an unfinished or rolled back predecessor counts as rejected.
    pub(crate) fn accept_order(&self, order: RolloutOrder, now: Millis) -> bool {
        let mut by_service = self.by_service.lock();
        if by_service
            .get(&order.service)
            .is_some_and(|known| known.order == order)
        {
            return false;
        }
        let mut next = Rollout::new(order, self.incarnation, now);
        if let Some(baseline) = self.baselines.lock().get(&next.order.service) {
            for (route, old) in baseline.previous.iter().chain(&baseline.current) {
                next.add_baseline(*route, *old);
            }
        }
        if let Some(last) = by_service.remove(&next.order.service) {
            next.rejected = last.rejected;
            if last.status != Some(RolloutState::Completed) {
                next.rejected.push(last.order.target);
            }
            next.rejected
                .retain(|version| *version != next.order.target);
        }
        by_service.insert(next.order.service.clone(), next);
        true
    }

    /// Applies a status that a host wrote to the store. Returns whether the state changed.
    pub(crate) fn record_status(&self, status: &RolloutStatus, now: Millis) -> bool {
        let mut by_service = self.by_service.lock();
        let Some(rollout) = by_service.get_mut(&status.service) else {
            return false;
        };
        let is_change = rollout.record_status(status, now);
        if is_change && !rollout.is_in_progress() {
            let window = PlannedWindow::new(rollout.time_after(status.elapsed), now);
            let mut ends = self.ends.lock();
            ends.retain(|end| now <= end.window.until.after(END_LIFETIME));
            ends.push(RolloutEnd {
                service: status.service.clone(),
                target: status.target.clone(),
                is_completed: status.state == RolloutState::Completed,
                window,
            });
        }
        is_change
    }

    /// Returns when servers of a version end as planned, if it has lost a rollout recently and no
    /// rollout of the version is in progress.
    pub(crate) fn planned_window(&self, service: &str, version: &str) -> Option<PlannedWindow> {
        let by_service = self.by_service.lock();
        let is_target = by_service
            .get(service)
            .is_some_and(|it| it.is_in_progress() && *it.order.target == *version);
        if is_target {
            return None;
        }
        let ends = self.ends.lock();
        let lost = ends.iter().rev().find(|end| *end.service == *service);
        // A later rollout may have brought the version back.
        let lost = lost.filter(|end| end.stops(service, version));
        lost.map(|end| end.window)
    }

    /// Whether a rollout has ended which is in progress by a status that the store came back with. If
    /// so, the status is due again.
    pub(crate) fn outlasts(&self, status: &RolloutStatus) -> bool {
        let mut by_service = self.by_service.lock();
        let rollout = by_service.get_mut(&status.service);
        let ended = rollout.filter(|rollout| {
            !rollout.is_in_progress() && status.state == RolloutState::InProgress
        });
        ended.map(Rollout::record_lost_status).is_some()
    }

    /// Records that the store has lost the status of a service's rollout, so that it is due again.
    pub(crate) fn record_lost_status(&self, service: &str) {
        if let Some(rollout) = self.by_service.lock().get_mut(service) {
            rollout.record_lost_status();
        }
    }

    /// Versions that an attempt of a request with the rollout hash `point` may be sent to.
    pub(crate) fn version_rule(
        &self,
        service: &str,
        point: u64,
        stickiness: Stickiness,
        now: Millis,
    ) -> VersionRule {
        let by_service = self.by_service.lock();
        let Some(rollout) = by_service.get(service) else {
            return VersionRule::Any;
        };
        let target = rollout.order.target.clone();
        match rollout.status {
            Some(RolloutState::Completed) => return VersionRule::Moved(target),
            Some(RolloutState::RolledBack) => return VersionRule::Except(rollout.excluded()),
            _ => {}
        }
        if rollout.is_rejected() {
            return VersionRule::Except(rollout.excluded());
        }
        if let Stickiness::Plain { is_retry } = stickiness
            && rollout.is_load_trial
        {
            return match is_retry {
                false => VersionRule::LoadTrial(target),
                true => VersionRule::Except(rollout.excluded()),
            };
        }
        if position(point) >= rollout.share {
            return VersionRule::Except(rollout.excluded());
        }
        let is_canary = !rollout.has_grown();
        if is_canary
            && stickiness == Stickiness::Session
            && self.is_on_other_version(service, point, &target, now)
        {
            return VersionRule::Except(rollout.excluded());
        }
        if rollout.has_moved() {
            return VersionRule::Moved(target);
        }
        VersionRule::Only(target)
    }

    /// Whether the session is active and last ran on another version than `target`.
    fn is_on_other_version(&self, service: &str, point: u64, target: &str, now: Millis) -> bool {
        let sessions = self.sessions.lock();
        let last = sessions.get(&session_key(service, point));
        last.is_some_and(|(version, at)| {
            now.since(*at) <= self.session_timeout && *version != version_hash(target)
        })
    }

    /// Records the version that a session's request runs on. Returns the record for peers, or none
    /// if the session is outside the canary's share.
    pub(crate) fn record_session(
        &self,
        service: &str,
        point: u64,
        version: &str,
        now: Millis,
    ) -> Option<SessionVersion> {
        if position(point) >= self.canary_share() {
            return None;
        }
        let session = SessionVersion {
            key: session_key(service, point),
            version: version_hash(version),
        };
        self.record_peer_session(&session, now);
        Some(session)
    }

    /// Records the version of a session that a peer served.
    pub(crate) fn record_peer_session(&self, session: &SessionVersion, now: Millis) {
        let mut sessions = self.sessions.lock();
        sessions.insert(session.key, (session.version, now));
    }

    /// Drops sessions that have timed out.
    pub(crate) fn expire_sessions(&self, now: Millis) {
        let mut sessions = self.sessions.lock();
        sessions.retain(|_, (_, at)| now.since(*at) <= self.session_timeout);
    }

    /// Counts an outcome of a response of a service.
    pub(crate) fn count_response(
        &self,
        service: &Name,
        response: &ObservedResponse<'_>,
        now: Millis,
    ) {
        let mut by_service = self.by_service.lock();
        let rollout = by_service.get_mut(service);
        let rollout = rollout.filter(|rollout| rollout.is_in_progress());
        let is_target = rollout
            .as_ref()
            .is_some_and(|rollout| *rollout.order.target == *response.version);
        if let Some(rollout) = rollout {
            rollout.count(response, now);
        }
        drop(by_service);
        if !is_target {
            let mut baselines = self.baselines.lock();
            let baseline = baselines.entry(service.clone()).or_default();
            baseline.add(response.route_hash(), response.outcome, now);
        }
    }

    /// Target of the service's rollout, if one is in progress.
    pub(crate) fn target_in_progress(&self, service: &str) -> Option<Name> {
        let by_service = self.by_service.lock();
        let rollout = by_service.get(service)?;
        rollout
            .is_in_progress()
            .then(|| rollout.order.target.clone())
    }

    /// Reports for peers on all rollouts in progress. `old_running` counts the requests of a
    /// service on versions other than the target.
    pub(crate) fn reports(
        &self,
        now: Millis,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> Vec<RolloutReport> {
        let by_service = self.by_service.lock();
        let in_progress = by_service
            .values()
            .filter(|rollout| rollout.is_in_progress());
        in_progress
            .map(|rollout| rollout.report(now, &old_running))
            .collect()
    }

    /// Merges the reports of a peer; `zone` is its zone if that is not the own one.
    pub(crate) fn merge_reports(
        &self,
        peer: &Name,
        zone: Option<&Name>,
        reports: Vec<RolloutReport>,
        now: Millis,
    ) {
        let mut by_service = self.by_service.lock();
        for report in reports {
            if let Some(rollout) = by_service.get_mut(&report.service) {
                rollout.merge_report(peer, zone, report, now);
            }
        }
    }

    /// Advances each rollout by a step. Returns the statuses that are due in the store and the changed
    /// verdicts.
    ///
    /// `has_target` returns whether servers with the target version are ready; `old_running` is as
    /// in [`Self::reports`].
    pub(crate) fn step(
        &self,
        now: Millis,
        has_target: impl Fn(&str, &str) -> bool,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> StepResult {
        let mut by_service = self.by_service.lock();
        let mut due = StepResult::default();
        for (service, rollout) in by_service.iter_mut() {
            let target = rollout.order.target.clone();
            let has_target = has_target(service, &target);
            let old_running = old_running(service, &target);
            let bounds = RolloutBounds {
                canary: self.canary_share(),
                max_exposure: self.max_exposure,
                exposure_slack: self.exposure_slack,
                report_lifetime: report_lifetime(self.fleet_size.load(Ordering::Relaxed)),
            };
            rollout.step(now, bounds, has_target, old_running, &mut due);
        }
        due
    }
}
