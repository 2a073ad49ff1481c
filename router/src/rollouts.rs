//! Version rollouts on one host: the share of sessions on the new version, the counts of good and
//! bad responses of both versions, and the status that is due in the store.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use clementinearch_policy::{
    names::{FastMap, Name},
    rollout::{RolloutStep, VersionCounts, canary_share, next_step},
    time::Millis,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::call::hash_bytes;

/// The operators' order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service that is updated.
    pub service: Name,
    /// Version to roll out.
    pub target: Name,
    /// Time from the order by which the rollout must have ended.
    pub time_limit: Duration,
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version serves canary sessions, or all sessions are moving to it.
    InProgress,
    /// All sessions are on the new version.
    Completed,
    /// The new version was rejected and gets no requests.
    RolledBack,
}

/// Status of a rollout in the store, for operators and for other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service that is updated.
    pub service: Name,
    /// Version that is rolled out.
    pub target: Name,
    /// Progress so far.
    pub state: RolloutState,
    /// Time since the order; hosts that read it align their own clock of the rollout.
    pub elapsed: Duration,
    /// Versions that earlier rollouts rejected; their servers may still be listed.
    pub rejected: Vec<Name>,
}

/// One host's part of a rollout, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    pub(crate) service: Name,
    pub(crate) target: Name,
    pub(crate) elapsed_ms: u64,
    pub(crate) new: VersionCounts,
    pub(crate) old: VersionCounts,
    /// Requests of the sender that still run on old versions.
    pub(crate) old_running: u32,
    /// Whether the sender routes all sessions to the new version.
    pub(crate) has_moved: bool,
    /// Whether the sender has judged the new version bad.
    pub(crate) is_bad: bool,
    /// Responses of the new version over all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_new: VersionCounts,
    /// Responses of the old versions over all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_old: VersionCounts,
}

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

#[derive(Debug)]
struct PeerReport {
    report: RolloutReport,
    received_at: Millis,
    /// Whether the peer is in the own zone.
    is_near: bool,
}

#[derive(Debug)]
struct Rollout {
    order: RolloutOrder,
    /// Time of the order; the earliest that any host reports.
    started_at: Millis,
    /// State that was last read from the store or written to it.
    status: Option<RolloutState>,
    /// Share of the sessions on the new version, from 0 to 1.
    share: f64,
    is_bad: bool,
    /// Versions that earlier rollouts rejected.
    rejected: Vec<Name>,
    /// When the share first grew beyond the canary's.
    moved_at: Option<Millis>,
    new: VersionCounts,
    old: VersionCounts,
    peers: FastMap<Name, PeerReport>,
    /// Counts of the other zones, for the new and the old versions.
    zones: FastMap<Name, (VersionCounts, VersionCounts)>,
}

impl Rollout {
    fn new(order: RolloutOrder, now: Millis) -> Self {
        Self {
            order,
            started_at: now,
            status: None,
            share: 0.0,
            is_bad: false,
            rejected: Vec::new(),
            moved_at: None,
            new: VersionCounts::default(),
            old: VersionCounts::default(),
            peers: FastMap::default(),
            zones: FastMap::default(),
        }
    }

    fn elapsed(&self, now: Millis) -> Duration {
        now.since(self.started_at)
    }
}

/// Versions of a service that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// Every version.
    Any,
    /// This version alone.
    Only(Name),
    /// Every version except these.
    Except(Vec<Name>),
}

impl VersionRule {
    /// Whether a server that runs `version` may take the request.
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(excluded) => excluded.iter().all(|name| **name != *version),
        }
    }
}

/// A status that is due in the store.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingStatus {
    pub(crate) status: RolloutStatus,
    /// Share of the sessions on the new version, from 0 to 1.
    pub(crate) share: f64,
    /// Responses of the new version, over all hosts that this one has heard of.
    pub(crate) new: VersionCounts,
    /// Responses of the old versions, likewise.
    pub(crate) old: VersionCounts,
}

/// Age above which a peer's report no longer holds up the completion of a rollout.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Least time from the first move beyond the canary to completion: hosts that have not reported yet
/// get this long to do so.
const SETTLE_DELAY: Duration = Duration::from_millis(1_200);

/// Fraction of the time limit after which a rollout completes even if requests still run on old
/// versions.
const LATEST_COMPLETION_FRACTION: f64 = 0.9;

/// All rollouts that a host knows of.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Longest pause between two requests of a session.
    session_timeout: Duration,
    by_service: Mutex<FastMap<Name, Rollout>>,
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
    /// Starts without rollouts; a session ends `session_timeout` after its last request.
    pub(crate) fn new(session_timeout: Duration) -> Self {
        Self {
            session_timeout,
            by_service: Mutex::default(),
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
        let mut next = Rollout::new(order, now);
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
        if rollout.order.target != status.target {
            return false;
        }
        rollout.advance_clock(status.elapsed, now);
        for version in &status.rejected {
            if !rollout.rejected.contains(version) {
                rollout.rejected.push(version.clone());
            }
        }
        let is_change = rollout.status != Some(status.state);
        rollout.status = Some(status.state);
        is_change
    }

    /// Versions that a request with the rollout hash `point` may be sent to.
    pub(crate) fn version_rule(
        &self,
        service: &str,
        point: u64,
        has_session: bool,
        now: Millis,
    ) -> VersionRule {
        let by_service = self.by_service.lock();
        let Some(rollout) = by_service.get(service) else {
            return VersionRule::Any;
        };
        let target = rollout.order.target.clone();
        match rollout.status {
            Some(RolloutState::Completed) => return VersionRule::Only(target),
            Some(RolloutState::RolledBack) => return rollout.all_but_target(),
            _ => {}
        }
        if rollout.is_bad || position(point) >= rollout.share {
            return rollout.all_but_target();
        }
        let is_canary = rollout.moved_at.is_none();
        if is_canary && has_session && self.is_on_other_version(service, point, &target, now) {
            return rollout.all_but_target();
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

    /// Counts a good or bad response for its version.
    pub(crate) fn count_response(&self, service: &str, version: &str, is_bad: bool) {
        let mut by_service = self.by_service.lock();
        let Some(rollout) = by_service.get_mut(service) else {
            return;
        };
        let counts = if *rollout.order.target == *version {
            &mut rollout.new
        } else {
            &mut rollout.old
        };
        if is_bad {
            counts.bad += 1;
        } else {
            counts.good += 1;
        }
    }

    /// Target of the service's rollout, if one is in progress.
    pub(crate) fn target_in_progress(&self, service: &str) -> Option<Name> {
        let by_service = self.by_service.lock();
        let rollout = by_service.get(service)?;
        let is_in_progress = !matches!(
            rollout.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        );
        is_in_progress.then(|| rollout.order.target.clone())
    }

    /// Reports for peers on all rollouts in progress. `old_running` counts the requests of a
    /// service on versions other than the target.
    pub(crate) fn reports(
        &self,
        now: Millis,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> Vec<RolloutReport> {
        let by_service = self.by_service.lock();
        let in_progress = by_service.values().filter(|rollout| {
            !matches!(
                rollout.status,
                Some(RolloutState::Completed | RolloutState::RolledBack)
            )
        });
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
            let Some(rollout) = by_service.get_mut(&report.service) else {
                continue;
            };
            if rollout.order.target != report.target {
                continue;
            }
            rollout.advance_clock(Duration::from_millis(report.elapsed_ms), now);
            rollout.is_bad |= report.is_bad;
            if let Some(zone) = zone {
                let (new, old) = rollout.zones.entry(zone.clone()).or_default();
                *new = new.later(report.zone_new);
                *old = old.later(report.zone_old);
            }
            rollout.peers.insert(
                peer.clone(),
                PeerReport {
                    report,
                    received_at: now,
                    is_near: zone.is_none(),
                },
            );
        }
    }

    /// Advances each rollout by a step. Returns the statuses that are due in the store.
    ///
    /// `has_target` returns whether servers with the target version are ready; `old_running` is as
    /// in [`Self::reports`].
    pub(crate) fn step(
        &self,
        now: Millis,
        has_target: impl Fn(&str, &str) -> bool,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> Vec<PendingStatus> {
        let mut by_service = self.by_service.lock();
        let mut due = Vec::new();
        for (service, rollout) in by_service.iter_mut() {
            let target = rollout.order.target.clone();
            if rollout.step(
                now,
                self.canary_share(),
                has_target(service, &target),
                old_running(service, &target),
            ) && let Some(status) = rollout.due_status(now)
            {
                due.push(status);
            }
        }
        due
    }
}

impl Rollout {
    fn all_but_target(&self) -> VersionRule {
        let mut versions = self.rejected.clone();
        versions.push(self.order.target.clone());
        VersionRule::Except(versions)
    }

    /// Moves the start back if another host has seen the rollout run for longer.
    fn advance_clock(&mut self, elapsed: Duration, now: Millis) {
        let started_at = Millis(now.0.saturating_sub(elapsed.as_millis() as u64));
        self.started_at = self.started_at.min(started_at);
    }

    fn report(&self, now: Millis, old_running: &impl Fn(&str, &str) -> u32) -> RolloutReport {
        let (zone_new, zone_old) = self.zone_counts();
        RolloutReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            new: self.new,
            old: self.old,
            old_running: old_running(&self.order.service, &self.order.target),
            has_moved: self.moved_at.is_some() && self.share >= 1.0,
            is_bad: self.is_bad,
            zone_new,
            zone_old,
        }
    }

    /// Takes the next step, with `canary` as the canary's share. Returns whether a status may be
    /// due.
    fn step(&mut self, now: Millis, canary: f64, has_target: bool, old_running: u32) -> bool {
        if matches!(
            self.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        ) {
            return false;
        }
        let (new, old) = self.total_counts();
        match next_step(self.elapsed(now), self.order.time_limit, canary, new, old) {
            RolloutStep::RollBack => self.is_bad = true,
            RolloutStep::Share(share) if has_target => self.set_share(share, canary, now),
            RolloutStep::Share(_) => {}
            RolloutStep::Complete if has_target => {
                self.set_share(1.0, canary, now);
                return self.is_settled(now, old_running);
            }
            RolloutStep::Complete => {}
        }
        self.is_bad || self.status.is_none()
    }

    /// Sums of the counts of all hosts for the new and for the old versions.
    fn total_counts(&self) -> (VersionCounts, VersionCounts) {
        let zones = self.zones.values();
        zones.fold(self.zone_counts(), |(new, old), zone| {
            (new.plus(zone.0), old.plus(zone.1))
        })
    }

    /// Sums of the counts of the own zone's hosts for the new and for the old versions.
    fn zone_counts(&self) -> (VersionCounts, VersionCounts) {
        let near = self.peers.values().filter(|peer| peer.is_near);
        near.fold((self.new, self.old), |(new, old), peer| {
            (new.plus(peer.report.new), old.plus(peer.report.old))
        })
    }

    /// Sets the share. Once it has grown beyond the canary's it never shrinks, as that would move
    /// sessions back.
    fn set_share(&mut self, share: f64, canary: f64, now: Millis) {
        if share > canary {
            self.moved_at.get_or_insert(now);
        }
        self.share = match self.moved_at {
            Some(_) => self.share.max(share),
            None => share,
        };
    }

    /// Whether no host reports requests on old versions any more, or it is too late to wait for
    /// them.
    fn is_settled(&self, now: Millis, old_running: u32) -> bool {
        let is_late =
            self.elapsed(now) >= self.order.time_limit.mul_f64(LATEST_COMPLETION_FRACTION);
        let has_settled = self
            .moved_at
            .is_some_and(|at| now.since(at) >= SETTLE_DELAY);
        let fresh = self
            .peers
            .values()
            .filter(|peer| now.since(peer.received_at) <= REPORT_LIFETIME);
        let mut is_drained = true;
        for peer in fresh {
            is_drained &= peer.report.has_moved && peer.report.old_running == 0;
        }
        has_settled && (is_late || (is_drained && old_running == 0))
    }

    /// The status to write, if it differs from the last known one.
    fn due_status(&self, now: Millis) -> Option<PendingStatus> {
        let state = if self.is_bad {
            RolloutState::RolledBack
        } else if self.status.is_none() {
            RolloutState::InProgress
        } else {
            RolloutState::Completed
        };
        let (new, old) = self.total_counts();
        (self.status != Some(state)).then(|| PendingStatus {
            share: self.share,
            new,
            old,
            status: RolloutStatus {
                service: self.order.service.clone(),
                target: self.order.target.clone(),
                state,
                elapsed: self.elapsed(now),
                rejected: self.rejected.clone(),
            },
        })
    }
}
