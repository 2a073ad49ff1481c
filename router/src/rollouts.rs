//! Roll-outs as one host takes part in them: the share of a new version, its tallies, and who
//! writes the status.

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

/// The operators' order to bring in a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: Name,
    /// Version to bring in.
    pub target: Name,
    /// Time limit.
    pub time_limit: Duration,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Sessions move, or the version is on trial.
    InProgress,
    /// All sessions are on the new version.
    Completed,
    /// None is.
    RolledBack,
}

/// The status that operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: Name,
    /// Version that is brought in.
    pub target: Name,
    /// How far.
    pub state: RolloutState,
    /// Time since the order, so that the next writer goes on with the same clock.
    pub elapsed: Duration,
    /// Versions that earlier roll-outs rejected; their servers may still be listed.
    pub rejected: Vec<Name>,
}

/// What a host tells its peers of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutWord {
    pub(crate) service: Name,
    pub(crate) target: Name,
    pub(crate) elapsed_ms: u64,
    pub(crate) new: VersionCounts,
    pub(crate) old: VersionCounts,
    /// Requests that run on old versions at this host.
    pub(crate) old_running: u32,
    /// Whether this host sends all sessions to the new version.
    pub(crate) has_moved: bool,
    /// Whether this host found the version bad.
    pub(crate) is_bad: bool,
}

/// Where a session's last request ran, as hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SessionWord {
    /// Part of the hash of service and session.
    #[serde(rename = "k")]
    pub(crate) key: u32,
    /// Hash of the version.
    #[serde(rename = "v")]
    pub(crate) version: u32,
}

#[derive(Debug)]
struct PeerWord {
    word: RolloutWord,
    at: Millis,
}

#[derive(Debug)]
struct Rollout {
    order: RolloutOrder,
    began: Millis,
    status: Option<RolloutState>,
    share: f64,
    is_bad: bool,
    /// Versions that earlier roll-outs rejected.
    rejected: Vec<Name>,
    moved_at: Option<Millis>,
    new: VersionCounts,
    old: VersionCounts,
    peers: FastMap<Name, PeerWord>,
}

impl Rollout {
    fn new(order: RolloutOrder, now: Millis) -> Self {
        Self {
            order,
            began: now,
            status: None,
            share: 0.0,
            is_bad: false,
            rejected: Vec::new(),
            moved_at: None,
            new: VersionCounts::default(),
            old: VersionCounts::default(),
            peers: FastMap::default(),
        }
    }

    fn elapsed(&self, now: Millis) -> Duration {
        now.since(self.began)
    }
}

/// Which versions of a service a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// Any.
    Any,
    /// Only this one.
    Only(Name),
    /// Any but these.
    Not(Vec<Name>),
}

impl VersionRule {
    /// Whether a server of `version` may take the request.
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Not(not) => not.iter().all(|name| **name != *version),
        }
    }
}

/// A status that is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DueStatus {
    pub(crate) status: RolloutStatus,
}

/// Peers that said nothing for this long no longer count as having old work.
const WORD_LIFETIME: Duration = Duration::from_secs(3);

/// After all sessions moved, hosts that are silent are waited for at most this long.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Part of the time limit at which a roll-out is completed although old work remains.
const LATEST_COMPLETION: f64 = 0.9;

/// All roll-outs that a host knows of.
#[derive(Debug)]
pub(crate) struct Rollouts {
    session: Duration,
    by_service: Mutex<FastMap<Name, Rollout>>,
    /// Versions of the sessions that a trial would meet, with the time of their last request.
    sessions: Mutex<FastMap<u32, (u32, Millis)>>,
    /// Hosts that are known; sets the part of the sessions that a trial meets.
    fleet_size: AtomicUsize,
}

/// Key of a session of a service.
fn session_key(service: &str, point: u64) -> u32 {
    (hash_bytes(service.as_bytes()) ^ point) as u32
}

fn version_hash(version: &str) -> u32 {
    hash_bytes(version.as_bytes()) as u32
}

/// Position of a session in the range that versions share, from zero to one.
fn position(point: u64) -> f64 {
    (point >> 11) as f64 / (1u64 << 53) as f64
}

impl Rollouts {
    /// Knows none; two requests within `session` belong together.
    pub(crate) fn new(session: Duration) -> Self {
        Self {
            session,
            by_service: Mutex::default(),
            sessions: Mutex::default(),
            fleet_size: AtomicUsize::new(1),
        }
    }

    /// Notes how many hosts are known.
    pub(crate) fn set_fleet_size(&self, hosts: usize) {
        self.fleet_size.store(hosts, Ordering::Relaxed);
    }

    fn canary_share(&self) -> f64 {
        canary_share(self.fleet_size.load(Ordering::Relaxed))
    }

    /// Takes in an order. Returns whether it is new.
    pub(crate) fn order(&self, order: RolloutOrder, now: Millis) -> bool {
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

    /// Takes in a status that some host wrote. Returns whether it changes anything.
    pub(crate) fn note_status(&self, status: &RolloutStatus, now: Millis) -> bool {
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

    /// The versions that a request at `point` of the range may go to.
    pub(crate) fn rule(
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
        let is_trial = rollout.moved_at.is_none();
        if is_trial && has_session && self.is_on_other(service, point, &target, now) {
            return rollout.all_but_target();
        }
        VersionRule::Only(target)
    }

    /// Whether a session's last request ran on another version than `target`.
    fn is_on_other(&self, service: &str, point: u64, target: &str, now: Millis) -> bool {
        let sessions = self.sessions.lock();
        let last = sessions.get(&session_key(service, point));
        last.is_some_and(|(version, at)| {
            now.since(*at) <= self.session && *version != version_hash(target)
        })
    }

    /// Notes on which version a session's request runs. Returns what peers are to be told of it.
    pub(crate) fn note_session(
        &self,
        service: &str,
        point: u64,
        version: &str,
        now: Millis,
    ) -> Option<SessionWord> {
        if position(point) >= self.canary_share() {
            return None;
        }
        let word = SessionWord {
            key: session_key(service, point),
            version: version_hash(version),
        };
        self.hear_session(&word, now);
        Some(word)
    }

    /// Takes in a peer's word on a session.
    pub(crate) fn hear_session(&self, word: &SessionWord, now: Millis) {
        let mut sessions = self.sessions.lock();
        sessions.insert(word.key, (word.version, now));
    }

    /// Forgets sessions that have ended.
    pub(crate) fn forget_sessions(&self, now: Millis) {
        let mut sessions = self.sessions.lock();
        sessions.retain(|_, (_, at)| now.since(*at) <= self.session);
    }

    /// Counts an answer of a version.
    pub(crate) fn count(&self, service: &str, version: &str, is_bad: bool) {
        let mut by_service = self.by_service.lock();
        let Some(rollout) = by_service.get_mut(service) else {
            return;
        };
        let tally = if *rollout.order.target == *version {
            &mut rollout.new
        } else {
            &mut rollout.old
        };
        if is_bad {
            tally.bad += 1;
        } else {
            tally.good += 1;
        }
    }

    /// Whether a roll-out of the service is under way, and its target.
    pub(crate) fn target(&self, service: &str) -> Option<Name> {
        let by_service = self.by_service.lock();
        let rollout = by_service.get(service)?;
        let is_open = !matches!(
            rollout.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        );
        is_open.then(|| rollout.order.target.clone())
    }

    /// What to tell peers; `old_running` counts a service's requests on versions other than the target.
    pub(crate) fn words(
        &self,
        now: Millis,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> Vec<RolloutWord> {
        let by_service = self.by_service.lock();
        let open = by_service.values().filter(|rollout| {
            !matches!(
                rollout.status,
                Some(RolloutState::Completed | RolloutState::RolledBack)
            )
        });
        open.map(|rollout| rollout.word(now, &old_running))
            .collect()
    }

    /// Takes in a peer's words.
    pub(crate) fn merge(&self, peer: &Name, words: Vec<RolloutWord>, now: Millis) {
        let mut by_service = self.by_service.lock();
        for word in words {
            let Some(rollout) = by_service.get_mut(&word.service) else {
                continue;
            };
            if rollout.order.target != word.target {
                continue;
            }
            rollout.advance_clock(Duration::from_millis(word.elapsed_ms), now);
            rollout.is_bad |= word.is_bad;
            rollout
                .peers
                .insert(peer.clone(), PeerWord { word, at: now });
        }
    }

    /// Decides the next step of each roll-out; returns the statuses that are to be written now.
    /// `has_target` tells whether servers of a version are ready, `old_running` as in [`Self::words`].
    pub(crate) fn step(
        &self,
        now: Millis,
        has_target: impl Fn(&str, &str) -> bool,
        old_running: impl Fn(&str, &str) -> u32,
    ) -> Vec<DueStatus> {
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
        VersionRule::Not(versions)
    }

    fn advance_clock(&mut self, elapsed: Duration, now: Millis) {
        let began = Millis(now.0.saturating_sub(elapsed.as_millis() as u64));
        self.began = self.began.min(began);
    }

    fn word(&self, now: Millis, old_running: &impl Fn(&str, &str) -> u32) -> RolloutWord {
        RolloutWord {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            new: self.new,
            old: self.old,
            old_running: old_running(&self.order.service, &self.order.target),
            has_moved: self.moved_at.is_some() && self.share >= 1.0,
            is_bad: self.is_bad,
        }
    }

    /// Decides the next step. Returns whether a status may be due.
    fn step(&mut self, now: Millis, trial: f64, has_target: bool, old_running: u32) -> bool {
        if matches!(
            self.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        ) {
            return false;
        }
        let words = self.peers.values().map(|peer| &peer.word);
        let (new, old) = words.fold((self.new, self.old), |(new, old), word| {
            (new.plus(word.new), old.plus(word.old))
        });
        match next_step(self.elapsed(now), self.order.time_limit, trial, new, old) {
            RolloutStep::RollBack => self.is_bad = true,
            RolloutStep::Share(share) if has_target => self.set_share(share, trial, now),
            RolloutStep::Share(_) => {}
            RolloutStep::Complete if has_target => {
                self.set_share(1.0, trial, now);
                return self.is_settled(now, old_running);
            }
            RolloutStep::Complete => {}
        }
        self.is_bad || self.status.is_none()
    }

    fn set_share(&mut self, share: f64, trial: f64, now: Millis) {
        self.share = share;
        if share > trial {
            self.moved_at.get_or_insert(now);
        }
    }

    /// Whether no host has work on old versions any more, as far as they say.
    fn is_settled(&self, now: Millis, old_running: u32) -> bool {
        let late = self.elapsed(now) >= self.order.time_limit.mul_f64(LATEST_COMPLETION);
        let moved_long_ago = self.moved_at.is_some_and(|at| now.since(at) >= SETTLE);
        let fresh = self
            .peers
            .values()
            .filter(|peer| now.since(peer.at) <= WORD_LIFETIME);
        let mut quiet = true;
        for peer in fresh {
            quiet &= peer.word.has_moved && peer.word.old_running == 0;
        }
        moved_long_ago && (late || (quiet && old_running == 0))
    }

    fn due_status(&self, now: Millis) -> Option<DueStatus> {
        let state = if self.is_bad {
            RolloutState::RolledBack
        } else if self.status.is_none() {
            RolloutState::InProgress
        } else {
            RolloutState::Completed
        };
        (self.status != Some(state)).then(|| DueStatus {
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
