//! One rollout of a version as a host sees it: its order and status, the evidence of all hosts, and
//! the share of the sessions on the new version.

use std::time::Duration;

use clementinearch_policy::{
    names::{FastMap, Name},
    quality::Counts,
    rollout::{Progress, RolloutStep, is_load_trial, latest_completion, next_step},
    rollout_assessment::{Assessment, Verdict, assess},
    rollout_evidence::{BEFORE_ORDER, Evidence, EvidenceRow, Outcome, Outcomes, Pair, period_at},
    time::{Millis, span_from_millis},
};
use serde::{Deserialize, Serialize};

use crate::{call::hash_bytes, fleet::PEERS_PER_PERIOD};

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

impl RolloutState {
    /// Returns the word for the store and for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// What a response shows of the version that gave it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedResponse<'a> {
    /// Name of the route.
    pub(crate) route: &'a str,
    /// Version of the server.
    pub(crate) version: &'a str,
    /// What became of the request.
    pub(crate) outcome: Outcome,
    /// Whether a prompt was read for it.
    pub(crate) has_prompt: bool,
    /// Whether the server had notable load.
    pub(crate) is_server_loaded: bool,
}

impl ObservedResponse<'_> {
    /// Hash of the route, by which hosts exchange evidence.
    pub(crate) fn route_hash(&self) -> u32 {
        hash_bytes(self.route.as_bytes()) as u32
    }
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
    pub(crate) new: Counts,
    pub(crate) old: Counts,
    /// Requests of the sender that still run on old versions.
    pub(crate) old_running: u32,
    /// Whether the sender routes all sessions to the new version.
    pub(crate) has_moved: bool,
    /// Whether the sender has judged the new version bad.
    pub(crate) is_bad: bool,
    /// Responses of the new version over all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_new: Counts,
    /// Responses of the old versions over all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_old: Counts,
    /// Distinguishes the starts of the sender's process.
    #[serde(default)]
    pub(crate) incarnation: u32,
    /// Evidence that the sender has collected since its start.
    #[serde(default)]
    pub(crate) evidence: Vec<EvidenceRow>,
    /// Evidence of all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_evidence: Vec<EvidenceRow>,
    /// Evidence of loaded servers that the sender has collected since its start.
    #[serde(default)]
    pub(crate) loaded_evidence: Vec<EvidenceRow>,
    /// Evidence of loaded servers of all hosts of the sender's zone.
    #[serde(default)]
    pub(crate) zone_loaded_evidence: Vec<EvidenceRow>,
}

/// A status that is due in the store.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingStatus {
    pub(crate) status: RolloutStatus,
    /// What the evidence says of the new version at this time.
    pub(crate) verdict: VerdictRecord,
}

/// A verdict on the version of a rollout, for the log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VerdictRecord {
    pub(crate) service: Name,
    pub(crate) assessment: Assessment,
    /// Share of the sessions on the new version, from 0 to 1.
    pub(crate) share: f64,
    /// Outcomes since the order, over all hosts that this one has heard of.
    pub(crate) total: Pair,
    /// Answers of the new version's loaded servers among them.
    pub(crate) loaded: Counts,
    /// Time since the order.
    pub(crate) elapsed: Duration,
}

/// Bounds on a rollout; shares are from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutBounds {
    /// Share of the sessions that the canary gets.
    pub(crate) canary: f64,
    /// Largest share of the requests within the time limit that a bad version may get.
    pub(crate) max_exposure: f64,
    /// Requests that it may get beyond that.
    pub(crate) exposure_slack: f64,
    /// Age above which a peer's report no longer holds up the completion.
    pub(crate) report_lifetime: Duration,
}

/// What is due after a step of the rollouts.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Statuses to write to the store.
    pub(crate) statuses: Vec<PendingStatus>,
    /// Changed verdicts, for the log.
    pub(crate) verdicts: Vec<VerdictRecord>,
}

/// Age above which a peer's report no longer holds up the completion of a rollout, in a fleet whose
/// reports reach all hosts in one period. Multiplied by the number of periods in a larger one.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Returns the age above which a report of a host in a fleet of `hosts` is outdated.
pub(crate) fn report_lifetime(hosts: usize) -> Duration {
    let periods = hosts.div_ceil(PEERS_PER_PERIOD).max(1);
    REPORT_LIFETIME * u32::try_from(periods).unwrap_or(u32::MAX)
}

/// Least time from the first move beyond the canary to completion: hosts that have not reported yet
/// get this long to do so.
const SETTLE_DELAY: Duration = Duration::from_millis(600);

#[derive(Debug)]
struct PeerReport {
    report: RolloutReport,
    evidence: Evidence,
    received_at: Millis,
    /// Whether the peer is in the own zone.
    is_near: bool,
}

/// A rollout in progress, or the last one of its service.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(crate) order: RolloutOrder,
    /// Time of the order; the earliest that any host reports.
    started_at: Millis,
    /// State in force. A rollout that has ended stays so, even if the store forgets it.
    pub(crate) status: Option<RolloutState>,
    /// State that the store holds, as far as this host knows.
    stored: Option<RolloutState>,
    /// Share of the sessions on the new version, from 0 to 1.
    pub(crate) share: f64,
    /// Whether all plain requests go to the new version.
    pub(crate) is_load_trial: bool,
    is_bad: bool,
    /// Versions that earlier rollouts rejected.
    pub(crate) rejected: Vec<Name>,
    /// When the share first grew beyond the canary's.
    moved_at: Option<Millis>,
    last_step: Option<Millis>,
    last_verdict: Verdict,
    /// Distinguishes the starts of this process.
    incarnation: u32,
    /// Evidence that this host has collected.
    own: Evidence,
    /// Reports by name and incarnation: what a host had seen still counts after its restart.
    peers: FastMap<(Name, u32), PeerReport>,
    /// Evidence of all hosts of the own zone, as peers have added it up.
    own_zone: Evidence,
    /// Evidence of the other zones.
    zones: FastMap<Name, Evidence>,
}

impl Rollout {
    /// Starts a rollout whose order was read at `now`.
    pub(crate) fn new(order: RolloutOrder, incarnation: u32, now: Millis) -> Self {
        Self {
            order,
            started_at: now,
            status: None,
            stored: None,
            share: 0.0,
            is_load_trial: false,
            is_bad: false,
            rejected: Vec::new(),
            moved_at: None,
            last_step: None,
            last_verdict: Verdict::Open,
            incarnation,
            own: Evidence::default(),
            peers: FastMap::default(),
            own_zone: Evidence::default(),
            zones: FastMap::default(),
        }
    }

    /// Time at which the rollout had run for `elapsed`.
    pub(crate) fn time_after(&self, elapsed: Duration) -> Millis {
        self.started_at.after(elapsed)
    }

    fn elapsed(&self, now: Millis) -> Duration {
        now.since(self.started_at)
    }

    /// Whether the rollout has neither completed nor been rolled back.
    pub(crate) fn is_in_progress(&self) -> bool {
        !matches!(
            self.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        )
    }

    /// Whether sessions may be sent to the new version, by what this host knows.
    pub(crate) fn is_rejected(&self) -> bool {
        self.is_bad
    }

    /// Whether the share has grown beyond the canary's.
    pub(crate) fn has_grown(&self) -> bool {
        self.moved_at.is_some()
    }

    /// Whether all sessions are to go to the new version.
    pub(crate) fn has_moved(&self) -> bool {
        self.has_grown() && self.share >= 1.0
    }

    /// The versions that do not get a session of the old version.
    pub(crate) fn excluded(&self) -> Vec<Name> {
        let mut versions = self.rejected.clone();
        versions.push(self.order.target.clone());
        versions
    }

    /// Adds the old version's outcomes from before the order.
    pub(crate) fn add_baseline(&mut self, route: u32, old: Outcomes) {
        let pair = Pair {
            old,
            ..Pair::default()
        };
        self.own.add(BEFORE_ORDER, route, pair);
    }

    /// Counts an outcome of a response.
    pub(crate) fn count(&mut self, response: &ObservedResponse<'_>, now: Millis) {
        let outcome = response.outcome;
        let mut pair = Pair::default();
        let period = period_at(self.elapsed(now), self.order.time_limit);
        if *self.order.target != *response.version {
            pair.old.add(outcome);
        } else if response.has_prompt && outcome.is_pace() && self.has_grown() {
            // While sessions move, the servers of the new version read prompts again that the old
            // ones have in their caches, which slows them without being a fault.
            pair.new.add_stall(outcome);
        } else {
            pair.new.add(outcome);
        }
        self.own.add(period, response.route_hash(), pair);
        if response.is_server_loaded && outcome.is_answered() {
            self.own.add_loaded(period, response.route_hash(), pair);
        }
    }

    /// Applies a status that a host wrote to the store. Returns whether the state changed.
    pub(crate) fn record_status(&mut self, status: &RolloutStatus, now: Millis) -> bool {
        if self.order.target != status.target {
            // The status of an earlier rollout, which a store that came back from a copy has again.
            self.stored = None;
            return false;
        }
        self.advance_clock(status.elapsed, now);
        for version in &status.rejected {
            if !self.rejected.contains(version) {
                self.rejected.push(version.clone());
            }
        }
        self.stored = Some(status.state);
        let is_change = self.status != Some(status.state);
        self.status = Some(status.state);
        is_change
    }

    /// Merges a peer's report; `zone` is its zone if that is not the own one.
    pub(crate) fn merge_report(
        &mut self,
        peer: &Name,
        zone: Option<&Name>,
        report: RolloutReport,
        now: Millis,
    ) {
        if self.order.target != report.target {
            return;
        }
        let Ok(elapsed) = span_from_millis(report.elapsed_ms as f64) else {
            return;
        };
        self.advance_clock(elapsed, now);
        self.is_bad |= report.is_bad;
        let sum = match zone {
            Some(zone) => self.zones.entry(zone.clone()).or_default(),
            None => &mut self.own_zone,
        };
        sum.merge(&report.zone_evidence, &report.zone_loaded_evidence);
        let key = (peer.clone(), report.incarnation);
        let known = self.peers.remove(&key);
        let mut evidence = known.map(|known| known.evidence).unwrap_or_default();
        evidence.merge(&report.evidence, &report.loaded_evidence);
        let report = PeerReport {
            report,
            evidence,
            received_at: now,
            is_near: zone.is_none(),
        };
        self.peers.insert(key, report);
    }

    /// Records that the store has lost the status.
    pub(crate) fn record_lost_status(&mut self) {
        self.stored = None;
    }

    /// Moves the start back if another host has seen the rollout run for longer.
    fn advance_clock(&mut self, elapsed: Duration, now: Millis) {
        let started_at = now.before(elapsed);
        self.started_at = self.started_at.min(started_at);
    }

    /// Builds the report for peers; `old_running` counts the requests of a service on versions other
    /// than the target.
    pub(crate) fn report(
        &self,
        now: Millis,
        old_running: &impl Fn(&str, &str) -> u32,
    ) -> RolloutReport {
        let own = self.own.total();
        let zone = self.zone_evidence();
        let zone_total = zone.total();
        RolloutReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            new: own.new.total(),
            old: own.old.total(),
            old_running: old_running(&self.order.service, &self.order.target),
            has_moved: self.has_moved(),
            is_bad: self.is_bad,
            zone_new: zone_total.new.total(),
            zone_old: zone_total.old.total(),
            incarnation: self.incarnation,
            evidence: self.own.rows(),
            zone_evidence: zone.rows(),
            loaded_evidence: self.own.loaded_rows(),
            zone_loaded_evidence: zone.loaded_rows(),
        }
    }

    /// Takes the next step. Adds to `due` what follows from it.
    pub(crate) fn step(
        &mut self,
        now: Millis,
        bounds: RolloutBounds,
        has_target: bool,
        old_running: u32,
        due: &mut StepResult,
    ) {
        let is_status_lost = self.status != self.stored;
        if !is_status_lost && !self.is_in_progress() {
            return;
        }
        let evidence = self.all_evidence();
        let assessment = assess(&evidence);
        let verdict = VerdictRecord {
            service: self.order.service.clone(),
            assessment,
            share: self.share,
            total: evidence.total(),
            loaded: evidence.loaded_total(),
            elapsed: self.elapsed(now),
        };
        if is_status_lost && let Some(state) = self.status {
            due.statuses
                .push(self.pending_status(state, verdict.clone()));
        }
        if !self.is_in_progress() {
            return;
        }
        if std::mem::replace(&mut self.last_verdict, assessment.verdict) != assessment.verdict {
            due.verdicts.push(verdict.clone());
        }
        let since_last_step = now.since(self.last_step.replace(now).unwrap_or(now));
        let progress = Progress {
            elapsed: self.elapsed(now),
            time_limit: self.order.time_limit,
            max_exposure: bounds.max_exposure,
            canary: bounds.canary,
            share: if self.has_grown() { self.share } else { 0.0 },
            since_last_step,
            exposure: evidence.exposure(self.elapsed(now), self.order.time_limit),
            exposure_slack: bounds.exposure_slack,
        };
        self.is_load_trial =
            has_target && is_load_trial(progress, assessment.verdict, self.is_load_trial);
        let may_be_due = match next_step(progress, assessment.verdict) {
            RolloutStep::RollBack => {
                self.is_bad = true;
                true
            }
            RolloutStep::Share(share) => {
                if has_target {
                    self.set_share(share, bounds.canary, now);
                }
                self.is_bad || self.status.is_none()
            }
            RolloutStep::Complete => {
                has_target && self.is_settled(now, old_running, bounds.report_lifetime)
            }
        };
        if may_be_due && let Some(status) = self.due_status(verdict) {
            due.statuses.push(status);
        }
    }

    /// Evidence of all hosts that this one has heard of.
    fn all_evidence(&self) -> Evidence {
        let mut sum = self.zone_evidence();
        for zone in self.zones.values() {
            sum.add_all(zone);
        }
        sum
    }

    /// Evidence of the hosts of the own zone, as far as this host or a peer has added it up.
    fn zone_evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        for peer in self.peers.values().filter(|peer| peer.is_near) {
            sum.add_all(&peer.evidence);
        }
        sum.merge(&self.own_zone.rows(), &self.own_zone.loaded_rows());
        sum
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
    fn is_settled(&self, now: Millis, old_running: u32, report_lifetime: Duration) -> bool {
        let is_late = self.elapsed(now) >= latest_completion(self.order.time_limit);
        let has_settled = self
            .moved_at
            .is_some_and(|at| now.since(at) >= SETTLE_DELAY);
        let mut latest: FastMap<&Name, &PeerReport> = FastMap::default();
        for ((name, _), peer) in &self.peers {
            // The requests of an earlier start of the peer ended with its process.
            let known = latest.entry(name).or_insert(peer);
            if known.received_at < peer.received_at {
                *known = peer;
            }
        }
        latest.retain(|_, peer| now.since(peer.received_at) <= report_lifetime);
        let is_drained = latest
            .values()
            .all(|peer| peer.report.has_moved && peer.report.old_running == 0);
        has_settled && (is_late || (is_drained && old_running == 0))
    }

    /// The status to write, if it differs from the last known one.
    fn due_status(&self, verdict: VerdictRecord) -> Option<PendingStatus> {
        let state = if self.is_bad {
            RolloutState::RolledBack
        } else if self.status.is_none() {
            RolloutState::InProgress
        } else {
            RolloutState::Completed
        };
        (self.status != Some(state)).then(|| self.pending_status(state, verdict))
    }

    fn pending_status(&self, state: RolloutState, verdict: VerdictRecord) -> PendingStatus {
        PendingStatus {
            status: RolloutStatus {
                service: self.order.service.clone(),
                target: self.order.target.clone(),
                state,
                elapsed: verdict.elapsed,
                rejected: self.rejected.clone(),
            },
            verdict,
        }
    }
}
