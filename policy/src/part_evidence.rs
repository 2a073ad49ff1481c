//! Evidence of which parts of prompts crash the backend servers that begin to answer them.
//!
//! Requests with such a part are no two alike, so that evidence on whole contents never adds up. The
//! evidence against a part is the set of crashes of servers that had a request with it and had not
//! survived the begin of its answer. An answer that goes on clears its parts of all crashes before
//! it began: a part that crashes servers is never answered, while one that many requests share is
//! answered all the time.
//!
//! A part is blocked after [`BLOCKING_CRASHES`] that came at different times; at one time, a loss of
//! power takes servers under every popular part. Crashes of a blocked part are explained by it and
//! count against no other part, so that those which only came along with it go free.
//!
//! Hosts exchange the sets, and each judges by their union.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    crash_set::{Crash, CrashSet, read_rows},
    eviction::evict,
    names::{FastMap, FastSet},
    planned_end::PlannedEnd,
    time::Millis,
};

/// Least number of crashes by which a part is blocked.
pub const BLOCKING_CRASHES: usize = 3;

/// How long a part stays blocked after its last crash.
pub const BLOCK_LIFETIME: Duration = Duration::from_secs(300);

/// How long a crash counts. It outlasts the block, so that a part which is still harmful is blocked
/// again after one more crash.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// Largest number of rows in one exchange between hosts.
pub const MAX_ROWS_PER_EXCHANGE: usize = 24;

/// Time since the last crash for which evidence on a part that is not blocked is exchanged.
const EXCHANGE_SPAN: Duration = Duration::from_secs(30);

/// Shortest time between two crashes that count as coming at different times. Hosts notice servers
/// that end together within this time of each other.
const ROUND_SPAN: Duration = Duration::from_millis(300);

/// Number of different times at which a part must have crashed servers.
const ROUNDS: usize = 2;

/// The same for a part that has been answered shortly before.
const ROUNDS_AFTER_ANSWERS: usize = 3;

/// How long an answer is remembered.
const ANSWER_LIFETIME: Duration = Duration::from_secs(60);

/// Largest number of crashes remembered for one part.
const MAX_CRASHES: usize = 16;

/// Largest numbers of parts with crashes and with answers that are remembered.
pub const MAX_PARTS: usize = 5_000;
const MAX_ANSWERED_PARTS: usize = 20_000;

/// Evidence on one part as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRow {
    /// Id of the part.
    #[serde(rename = "p")]
    pub part: u64,
    /// Crashed servers, as hashes of their names and incarnations, and the time since each crash,
    /// milliseconds.
    #[serde(rename = "s")]
    pub servers: Vec<(u32, u64)>,
    /// Time since the begin of the last answer that went on, milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub answered_ms: Option<u64>,
    /// Time since the part was reported as blocked without its crashes, milliseconds.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub blocked_ms: Option<u64>,
}

/// What changes by the rows of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Parts that are blocked now and were not before.
    pub newly_blocked: Vec<u64>,
    /// Parts of which this host knows an answer that clears crashes which the peer counts.
    pub answered_since: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    crashes: CrashSet,
    /// Begin of the last answer that went on.
    answered_at: Option<Millis>,
    /// When the part was reported as blocked without the crashes that led to it.
    reported_blocked_at: Option<Millis>,
}

impl Evidence {
    /// Whether evidence of the time `at` still counts at `now`.
    fn counts(&self, at: Millis, now: Millis) -> bool {
        let is_cleared = self.answered_at.is_some_and(|answered| at <= answered);
        !is_cleared && now.since(at) <= CRASH_LIFETIME
    }

    /// Adds a crash. Those that don't count are the first to go, and the rest keeps its span.
    fn add_crash(&mut self, crash: Crash, now: Millis) {
        self.crashes.add(crash);
        if self.crashes.len() > MAX_CRASHES {
            let mut crashes = std::mem::take(&mut self.crashes);
            crashes.retain(|crash| self.counts(crash.at, now));
            crashes.thin_out(MAX_CRASHES);
            self.crashes = crashes;
        }
    }

    fn counted_crashes(&self, now: Millis) -> Vec<Crash> {
        let counted = self.crashes.iter().filter(|it| self.counts(it.at, now));
        counted.copied().collect()
    }

    fn is_reported_blocked(&self, now: Millis) -> bool {
        let reported = self.reported_blocked_at;
        reported.is_some_and(|at| self.counts(at, now) && now.since(at) <= BLOCK_LIFETIME)
    }

    fn changed_at(&self) -> Millis {
        let latest = self.crashes.latest().max(self.reported_blocked_at);
        latest.unwrap_or_default()
    }

    /// Whether these crashes, out of those that count, are enough to block the part.
    fn is_convicted_by(&self, crashes: &[Crash], now: Millis) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return false;
        };
        let was_answered = self
            .answered_at
            .is_some_and(|at| first.at.since(at) <= ANSWER_LIFETIME);
        let rounds = if was_answered {
            ROUNDS_AFTER_ANSWERS
        } else {
            ROUNDS
        };
        crashes.len() >= BLOCKING_CRASHES
            && count_rounds(crashes) >= rounds
            && now.since(last.at) <= BLOCK_LIFETIME
    }

    fn row(&self, part: u64, now: Millis) -> PartRow {
        let ms_since = |at: Millis| now.since(at).as_millis() as u64;
        PartRow {
            part,
            servers: self.crashes.rows(now),
            answered_ms: self.answered_at.map(ms_since),
            blocked_ms: self.reported_blocked_at.map(ms_since),
        }
    }
}

/// Number of different times at which crashes came, oldest first.
fn count_rounds(crashes: &[Crash]) -> usize {
    let mut rounds = 0;
    let mut began_at: Option<Millis> = None;
    for crash in crashes {
        if began_at.is_none_or(|began| crash.at.since(began) >= ROUND_SPAN) {
            began_at = Some(crash.at);
            rounds += 1;
        }
    }
    rounds
}

/// Evidence on all parts, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    parts: FastMap<u64, Evidence>,
    /// Begin of the last answer on each part that went on, on this host.
    answered: FastMap<u64, Millis>,
    blocked: FastSet<u64>,
    /// Crashes that a blocked part explains.
    explained: Vec<Crash>,
    /// Planned ends of servers, which are no crashes.
    planned: Vec<PlannedEnd>,
}

impl PartEvidence {
    /// Whether requests with this part are refused.
    pub fn is_blocked(&self, part: u64) -> bool {
        self.blocked.contains(&part)
    }

    /// Parts that are blocked.
    pub fn blocked(&self) -> &FastSet<u64> {
        &self.blocked
    }

    /// Crashes of which a blocked part is the cause.
    pub fn explained_crashes(&self) -> &[Crash] {
        &self.explained
    }

    /// Returns the number of parts that are suspected and of those that are blocked at `now`.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let is_suspect = |(part, evidence): &(&u64, &Evidence)| {
            !self.blocked.contains(part) && !self.unexplained_crashes(evidence, now).is_empty()
        };
        let suspects = self.parts.iter().filter(is_suspect).count();
        (suspects, self.blocked.len())
    }

    /// Records that a server crashed before it had survived the begin of an answer on these parts.
    /// Returns the parts that are blocked now and were not before.
    pub fn record_crash(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        crash: Crash,
        now: Millis,
    ) -> Vec<u64> {
        if self.is_planned(&crash) {
            return Vec::new();
        }
        for part in parts {
            self.evidence(part).add_crash(crash, now);
        }
        self.judge(now)
    }

    /// Records planned ends of servers. What was or will be reported as a crash of one of them at
    /// that time does not count, by whichever host; nor does a block that rests on it.
    pub fn record_planned_ends(&mut self, ends: &[PlannedEnd], now: Millis) {
        self.planned.extend_from_slice(ends);
        for evidence in self.parts.values_mut() {
            let known = evidence.crashes.len();
            let is_planned = |crash: &Crash| ends.iter().any(|end| end.covers(crash));
            evidence.crashes.retain(|crash| !is_planned(crash));
            if evidence.crashes.len() < known.min(BLOCKING_CRASHES) {
                evidence.reported_blocked_at = None;
            }
        }
        self.judge(now);
    }

    fn is_planned(&self, crash: &Crash) -> bool {
        self.planned.iter().any(|end| end.covers(crash))
    }

    /// Records that an answer on these parts, which began at `began_at`, went on.
    pub fn record_answer(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        began_at: Millis,
        now: Millis,
    ) {
        let mut clears = false;
        for part in parts {
            let answered = self.answered.entry(part).or_insert(began_at);
            *answered = began_at.max(*answered);
            if let Some(evidence) = self.parts.get_mut(&part) {
                clears |= evidence.counts(evidence.changed_at(), now);
                evidence.answered_at = evidence.answered_at.max(Some(began_at));
            }
        }
        if clears {
            self.judge(now);
        }
    }

    /// Records that a part is blocked, without the crashes that led to it. Returns whether that is
    /// news.
    pub fn record_block(&mut self, part: u64, now: Millis) -> bool {
        self.evidence(part).reported_blocked_at.get_or_insert(now);
        self.judge(now).contains(&part)
    }

    /// Records that the store does not hold the part's block any more.
    pub fn retract_block(&mut self, part: u64, now: Millis) {
        if let Some(evidence) = self.parts.get_mut(&part) {
            evidence.reported_blocked_at = None;
            self.judge(now);
        }
    }

    /// Evidence on a part, with what this host knows of its answers.
    fn evidence(&mut self, part: u64) -> &mut Evidence {
        let answered_at = self.answered.get(&part).copied();
        let evidence = self.parts.entry(part).or_default();
        evidence.answered_at = evidence.answered_at.max(answered_at);
        evidence
    }

    /// Decides which parts are blocked. Returns those that were not before.
    fn judge(&mut self, now: Millis) -> Vec<u64> {
        let before = std::mem::take(&mut self.blocked);
        self.explained.clear();
        let reported = self.parts.iter();
        let reported = reported.filter(|(_, evidence)| evidence.is_reported_blocked(now));
        let reported: Vec<u64> = reported.map(|(part, _)| *part).collect();
        for part in reported {
            self.block(part, now);
        }
        while let Some(part) = self.strongest_suspect(now) {
            // Parts that came with it at every crash can't be told from it.
            let crashes = self.unexplained_crashes(&self.parts[&part], now);
            let alike = self.parts.iter().filter(|(other, evidence)| {
                !self.blocked.contains(other)
                    && evidence.is_convicted_by(&crashes, now)
                    && self.unexplained_crashes(evidence, now) == crashes
            });
            let alike: Vec<u64> = alike.map(|(other, _)| *other).collect();
            for other in alike {
                self.block(other, now);
            }
        }
        let news = self.blocked.difference(&before);
        news.copied().collect()
    }

    fn block(&mut self, part: u64, now: Millis) {
        self.blocked.insert(part);
        self.explained
            .extend(self.parts[&part].counted_crashes(now));
    }

    /// The part with the most crashes that no blocked part explains, if they suffice to block it.
    fn strongest_suspect(&self, now: Millis) -> Option<u64> {
        let open = self
            .parts
            .iter()
            .filter(|(part, _)| !self.blocked.contains(part));
        let convicted = open.filter_map(|(part, evidence)| {
            let crashes = self.unexplained_crashes(evidence, now);
            let is_convicted = evidence.is_convicted_by(&crashes, now);
            is_convicted.then_some((crashes.len(), Reverse(evidence.answered_at), Reverse(*part)))
        });
        convicted.max().map(|(_, _, Reverse(part))| part)
    }

    fn unexplained_crashes(&self, evidence: &Evidence, now: Millis) -> Vec<Crash> {
        let mut crashes = evidence.counted_crashes(now);
        crashes.retain(|crash| !self.explained.iter().any(|it| it.is_same(crash)));
        crashes
    }

    /// Returns rows for a peer: blocked parts, then the others, each with the latest crash first.
    pub fn rows(&self, now: Millis) -> Vec<PartRow> {
        // A peer that counts what is cleared or explained here sends it, and gets a reply.
        let is_sent = |(part, evidence): &(&u64, &Evidence)| {
            let is_recent = now.since(evidence.changed_at()) <= EXCHANGE_SPAN;
            self.blocked.contains(part)
                || is_recent && !self.unexplained_crashes(evidence, now).is_empty()
        };
        let mut sent: Vec<_> = self.parts.iter().filter(is_sent).collect();
        sent.sort_unstable_by_key(|(part, evidence)| {
            let is_blocked = self.blocked.contains(part);
            (Reverse((is_blocked, evidence.changed_at())), **part)
        });
        sent.truncate(MAX_ROWS_PER_EXCHANGE);
        let rows = sent.into_iter();
        rows.map(|(part, evidence)| evidence.row(*part, now))
            .collect()
    }

    /// Returns rows on these parts, as far as there is evidence.
    pub fn rows_on(&self, parts: &[u64], now: Millis) -> Vec<PartRow> {
        let row = |part: &u64| Some(self.parts.get(part)?.row(*part, now));
        parts.iter().filter_map(row).collect()
    }

    /// Merges a peer's rows.
    pub fn merge(&mut self, rows: &[PartRow], now: Millis) -> Merged {
        let ago = |ms: u64| now.before(Duration::from_millis(ms));
        let mut answered_since = Vec::new();
        for row in rows {
            let mut crashes: Vec<Crash> = read_rows(&row.servers, now).collect();
            crashes.retain(|crash| !self.is_planned(crash));
            let evidence = self.evidence(row.part);
            let told = row.answered_ms.map(ago);
            for crash in crashes {
                evidence.add_crash(crash, now);
                // Told once that the crash does not count, the peer needs no later answer.
                if evidence.answered_at >= Some(crash.at) && told < Some(crash.at) {
                    answered_since.push(row.part);
                }
            }
            evidence.answered_at = evidence.answered_at.max(told);
            if let Some(at) = row.blocked_ms.map(ago) {
                evidence.reported_blocked_at.get_or_insert(at);
            }
        }
        answered_since.dedup();
        Merged {
            newly_blocked: self.judge(now),
            answered_since,
        }
    }

    /// Removes what has expired and what exceeds the limits on memory, and ends blocks that are
    /// over.
    pub fn expire(&mut self, now: Millis) {
        self.parts
            .retain(|_, evidence| now.since(evidence.changed_at()) <= CRASH_LIFETIME);
        self.answered
            .retain(|_, at| now.since(*at) <= ANSWER_LIFETIME);
        // Peers may report a crash for as long as it counts.
        self.planned
            .retain(|end| now.since(end.window.until) <= CRASH_LIFETIME);
        self.judge(now);
        let excess = self.parts.len().saturating_sub(MAX_PARTS);
        let blocked = &self.blocked;
        evict(&mut self.parts, excess, |part, evidence| {
            (blocked.contains(&part), evidence.changed_at())
        });
        let excess = self.answered.len().saturating_sub(MAX_ANSWERED_PARTS);
        evict(&mut self.answered, excess, |_, at| *at);
    }
}
