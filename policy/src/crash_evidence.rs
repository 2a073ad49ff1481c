//! Evidence of which request contents crash the backend servers that run them.
//!
//! The evidence against a content is the set of crashes of servers that were running it. Hosts
//! exchange these sets, and their union adds up no matter which host saw which crash. A content
//! with [`BLOCKING_CRASHES`] is blocked for [`EVIDENCE_LIFETIME`]. A complete response clears it: a
//! content that crashes servers never completes, while a popular one may well run on several
//! servers that crash for another reason.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    crash_set::{Crash, CrashSet, read_rows},
    crash_suspects::ContentStatus,
    eviction::evict,
    names::FastMap,
    planned_end::PlannedEnd,
    time::Millis,
};

/// How long a crash counts, and how long a content stays blocked.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Number of crashes from which a content is blocked.
pub const BLOCKING_CRASHES: usize = 2;

/// Largest number of rows in one exchange between hosts.
pub const MAX_ROWS_PER_EXCHANGE: usize = 40;

/// Largest number of contents with evidence. Beyond it the oldest ones that are not blocked are
/// evicted first.
pub const MAX_CONTENTS: usize = 10_000;

/// Rows of one exchange that are kept for blocked contents, however many newer suspects there are.
const BLOCKED_ROWS_PER_EXCHANGE: usize = MAX_ROWS_PER_EXCHANGE / 2;

/// Largest number of crashes remembered for one content.
const MAX_CRASHES: usize = 4;

/// How long a complete response shows that later crashes have another cause.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(60);

/// Largest number of completed contents remembered.
const MAX_COMPLETIONS: usize = 20_000;

/// Evidence on one content as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// Hash of account and content.
    pub content: u64,
    /// Number of crashes that count: [`BLOCKING_CRASHES`] or more if the content is blocked.
    pub crashes: u32,
    /// Time since the last change.
    pub age: Duration,
    /// Crashed servers, as hashes of their names and incarnations, and the time since each crash,
    /// milliseconds.
    #[serde(default)]
    pub servers: Vec<(u32, u64)>,
    /// Time since the last complete response, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completed_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    crashes: CrashSet,
    /// When the content was reported as blocked without the crashes that led to it.
    reported_blocked_at: Option<Millis>,
    /// Time of the last complete response.
    completed_at: Option<Millis>,
}

impl Evidence {
    /// Whether evidence of the time `at` still counts at `now`.
    fn counts(&self, at: Millis, now: Millis) -> bool {
        let is_cleared = self
            .completed_at
            .is_some_and(|completed| at <= completed.after(COMPLETION_LIFETIME));
        !is_cleared && now.since(at) <= EVIDENCE_LIFETIME
    }

    fn crash_count(&self, now: Millis) -> usize {
        let crashes = self.crashes.iter();
        let seen = crashes.filter(|crash| self.counts(crash.at, now)).count();
        match self.reported_blocked_at {
            Some(at) if self.counts(at, now) => seen.max(BLOCKING_CRASHES),
            _ => seen,
        }
    }

    fn changed_at(&self) -> Millis {
        self.crashes
            .latest()
            .max(self.reported_blocked_at)
            .max(self.completed_at)
            .unwrap_or_default()
    }

    fn status(&self, now: Millis) -> ContentStatus {
        match self.crash_count(now) {
            0 => ContentStatus::Clear,
            crashes if crashes < BLOCKING_CRASHES => ContentStatus::Suspect,
            _ => ContentStatus::Blocked(self.changed_at().after(EVIDENCE_LIFETIME)),
        }
    }

    fn is_blocked(&self, now: Millis) -> bool {
        self.crash_count(now) >= BLOCKING_CRASHES
    }

    fn row(&self, content: u64, now: Millis) -> EvidenceRow {
        let ms_since = |at: Millis| now.since(at).as_millis() as u64;
        EvidenceRow {
            content,
            crashes: self.crash_count(now) as u32,
            age: now.since(self.changed_at()),
            servers: self.crashes.rows(now),
            completed_ms: self.completed_at.map(ms_since),
        }
    }
}

/// Evidence on all contents, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    contents: FastMap<u64, Evidence>,
    /// Latest complete response of each content on this host.
    completions: FastMap<u64, Millis>,
    /// Crashes of which no content is the cause.
    excused: Vec<Crash>,
    /// Planned ends of servers, which are no crashes.
    planned: Vec<PlannedEnd>,
}

impl CrashEvidence {
    /// Returns the status of a content at `now`.
    pub fn status(&self, content: u64, now: Millis) -> ContentStatus {
        let evidence = self.contents.get(&content);
        evidence.map_or(ContentStatus::Clear, |evidence| evidence.status(now))
    }

    /// Returns the number of crashes that count against a content at `now`.
    pub fn crash_count(&self, content: u64, now: Millis) -> usize {
        let evidence = self.contents.get(&content);
        evidence.map_or(0, |evidence| evidence.crash_count(now))
    }

    /// Records that a server crashed at `at` while it ran the content. `server` is a hash of its
    /// name and incarnation. Returns the status of the content at `now`.
    pub fn record_crash(
        &mut self,
        content: u64,
        server: u32,
        at: Millis,
        now: Millis,
    ) -> ContentStatus {
        self.add_crash(content, Crash { server, at });
        self.status(content, now)
    }

    fn add_crash(&mut self, content: u64, crash: Crash) {
        let is_excused = self.excused.iter().any(|it| it.is_same(&crash));
        if !is_excused && !self.planned.iter().any(|end| end.covers(&crash)) {
            let crashes = &mut self.evidence(content).crashes;
            crashes.add(crash);
            crashes.keep_latest(MAX_CRASHES);
        }
    }

    /// Sets the crashes that count against no content, since they have another cause.
    pub fn excuse(&mut self, crashes: &[Crash]) {
        if self.excused == crashes {
            return;
        }
        self.excused = crashes.to_vec();
        for evidence in self.contents.values_mut() {
            let is_excused = |crash: &Crash| crashes.iter().any(|it| it.is_same(crash));
            evidence.crashes.retain(|crash| !is_excused(crash));
        }
    }

    /// Records planned ends of servers. What was or will be reported as a crash of one of them at
    /// that time does not count, by whichever host; nor does a block that rests on it.
    pub fn record_planned_ends(&mut self, ends: &[PlannedEnd], now: Millis) {
        self.planned.extend_from_slice(ends);
        for evidence in self.contents.values_mut() {
            let was_blocked = evidence.crash_count(now) >= BLOCKING_CRASHES;
            let known = evidence.crashes.len();
            let is_planned = |crash: &Crash| ends.iter().any(|end| end.covers(crash));
            evidence.crashes.retain(|crash| !is_planned(crash));
            if was_blocked && evidence.crashes.len() < known.min(BLOCKING_CRASHES) {
                evidence.reported_blocked_at = None;
            }
        }
    }

    /// Records that the store does not hold the content's block any more.
    pub fn retract_block(&mut self, content: u64) {
        if let Some(evidence) = self.contents.get_mut(&content) {
            evidence.reported_blocked_at = None;
        }
    }

    /// Records that the content is blocked, without the crashes that led to it.
    pub fn record_block(&mut self, content: u64, now: Millis) {
        let evidence = self.evidence(content);
        evidence.reported_blocked_at.get_or_insert(now);
    }

    /// Records a complete response to the content.
    pub fn record_completion(&mut self, content: u64, now: Millis) {
        self.completions.insert(content, now);
        if let Some(evidence) = self.contents.get_mut(&content) {
            evidence.completed_at = evidence.completed_at.max(Some(now));
        }
    }

    /// Evidence on a content, with what this host knows of its completions.
    fn evidence(&mut self, content: u64) -> &mut Evidence {
        let completed_at = self.completions.get(&content).copied();
        let evidence = self.contents.entry(content).or_default();
        evidence.completed_at = evidence.completed_at.max(completed_at);
        evidence
    }

    /// Returns the contents that are blocked at `now`.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = u64> {
        let blocked = self
            .contents
            .iter()
            .filter(move |(_, evidence)| evidence.is_blocked(now));
        blocked.map(|(content, _)| *content)
    }

    /// Returns the number of suspect and of blocked contents at `now`.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let blocked = self.blocked(now).count();
        let all = self.contents.values();
        let with_crashes = all.filter(|evidence| evidence.crash_count(now) > 0).count();
        (with_crashes - blocked, blocked)
    }

    /// Returns rows for a peer: blocked contents, then the others, each with the latest first.
    pub fn rows(&self, now: Millis) -> Vec<EvidenceRow> {
        let all = self.contents.iter();
        let (mut blocked, mut others): (Vec<_>, Vec<_>) =
            all.partition(|(_, evidence)| evidence.is_blocked(now));
        let latest_first =
            |(content, evidence): &(&u64, &Evidence)| (Reverse(evidence.changed_at()), **content);
        blocked.sort_unstable_by_key(latest_first);
        blocked.truncate(BLOCKED_ROWS_PER_EXCHANGE);
        others.sort_unstable_by_key(latest_first);
        others.truncate(MAX_ROWS_PER_EXCHANGE - blocked.len());
        let kept = blocked.into_iter().chain(others);
        kept.map(|(content, evidence)| evidence.row(*content, now))
            .collect()
    }

    /// Merges a peer's rows. Returns the contents that are blocked now and were not before.
    pub fn merge(&mut self, rows: &[EvidenceRow], now: Millis) -> Vec<u64> {
        let ago = |ms: u64| now.before(Duration::from_millis(ms));
        let mut newly_blocked = Vec::new();
        for row in rows.iter().filter(|row| row.age <= EVIDENCE_LIFETIME) {
            let was_blocked = self.evidence(row.content).is_blocked(now);
            for crash in read_rows(&row.servers, now) {
                self.add_crash(row.content, crash);
            }
            let evidence = self.evidence(row.content);
            evidence.completed_at = evidence.completed_at.max(row.completed_ms.map(ago));
            if row.crashes as usize >= BLOCKING_CRASHES && row.servers.len() < BLOCKING_CRASHES {
                let blocked_at = ago(row.age.as_millis() as u64);
                evidence.reported_blocked_at.get_or_insert(blocked_at);
            }
            if !was_blocked && evidence.is_blocked(now) {
                newly_blocked.push(row.content);
            }
        }
        newly_blocked
    }

    /// Removes what has expired, and what exceeds the limits on memory.
    pub fn expire(&mut self, now: Millis) {
        self.contents
            .retain(|_, evidence| now.since(evidence.changed_at()) <= EVIDENCE_LIFETIME);
        self.completions
            .retain(|_, at| now.since(*at) <= COMPLETION_LIFETIME);
        // Peers may report a crash for as long as it counts.
        self.planned
            .retain(|end| now.since(end.window.until) <= EVIDENCE_LIFETIME);
        let excess = self.contents.len().saturating_sub(MAX_CONTENTS);
        let rank = |_, evidence: &Evidence| (evidence.is_blocked(now), evidence.changed_at());
        evict(&mut self.contents, excess, rank);
        let excess = self.completions.len().saturating_sub(MAX_COMPLETIONS);
        evict(&mut self.completions, excess, |_, at| *at);
    }
}
