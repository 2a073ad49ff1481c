//! Detection of requests that crash the backend server that runs them.
//!
//! When a server crashes, every request on it becomes a suspect. Suspects are identified by
//! content, since a caller retries under a new id. A suspect may run again on trial, as the only
//! suspect on its server. If that server crashes too, the content is blocked for
//! [`SUSPICION_LIFETIME`]; if the response is complete, the content is cleared. A harmful request
//! thus crashes the servers that ran it before the first crash was known, and one more.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{FastMap, Name},
    time::Millis,
};

/// How long a suspicion or block lasts.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);

/// How long a server stays reserved for a trial whose end is never reported.
pub const TRIAL_LIFETIME: Duration = Duration::from_secs(300);

/// Largest number of rows in one exchange between hosts; the most recent ones are sent.
pub const MAX_ROWS_PER_EXCHANGE: usize = 64;

/// Largest number of contents remembered; the oldest are evicted beyond it.
pub const MAX_CONTENTS: usize = 10_000;

/// Status of a request content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStatus {
    /// It is not known to have run on a crashed server.
    Clear,
    /// It ran on a server that crashed.
    Suspect,
    /// It crashed a server on trial and is refused until this time.
    Blocked(Millis),
}

/// Status of one content as exchanged between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Hash of account and content.
    pub content: u64,
    /// Crashes attributed to it: zero once cleared, two or more once blocked.
    pub crashes: u32,
    /// Time since the last change.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    changed_at: Millis,
}

/// Suspected and blocked contents and, on the host that arbitrates a server, its trial.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    entries: FastMap<u64, Entry>,
    trials: FastMap<Name, (u64, Millis)>,
}

/// Number of crashes from which a content is blocked.
const BLOCKING_CRASHES: u32 = 2;

impl CrashSuspects {
    /// Returns the status of a content at `now`.
    pub fn status(&self, content: u64, now: Millis) -> ContentStatus {
        let fresh = self
            .entries
            .get(&content)
            .filter(|entry| now.since(entry.changed_at) <= SUSPICION_LIFETIME);
        match fresh {
            None => ContentStatus::Clear,
            Some(entry) if entry.crashes == 0 => ContentStatus::Clear,
            Some(entry) if entry.crashes < BLOCKING_CRASHES => ContentStatus::Suspect,
            Some(entry) => ContentStatus::Blocked(entry.changed_at.after(SUSPICION_LIFETIME)),
        }
    }

    /// Records that a server crashed while running the content, and returns the new status.
    /// `on_trial` is whether it was the only suspect there.
    pub fn record_crash(&mut self, content: u64, on_trial: bool, now: Millis) -> ContentStatus {
        let crashes = if on_trial { BLOCKING_CRASHES } else { 1 };
        self.set(content, crashes, now);
        self.status(content, now)
    }

    /// Clears a suspect whose response was complete.
    pub fn clear(&mut self, content: u64, now: Millis) {
        self.set(content, 0, now);
    }

    fn set(&mut self, content: u64, crashes: u32, changed_at: Millis) {
        self.entries.insert(
            content,
            Entry {
                crashes,
                changed_at,
            },
        );
    }

    /// Returns the most recent changes, for a peer.
    pub fn rows(&self, now: Millis) -> Vec<SuspectRow> {
        let row = |(content, entry): (&u64, &Entry)| SuspectRow {
            content: *content,
            crashes: entry.crashes,
            age: now.since(entry.changed_at),
        };
        let mut rows: Vec<SuspectRow> = self.entries.iter().map(row).collect();
        rows.sort_unstable_by_key(|row| (row.age, row.content));
        rows.truncate(MAX_ROWS_PER_EXCHANGE);
        rows
    }

    /// Merges a peer's rows and returns whether anything changed. A block prevails over any other
    /// status; otherwise the later change does.
    pub fn merge(&mut self, rows: &[SuspectRow], now: Millis) -> bool {
        let mut changed = false;
        for row in rows.iter().filter(|row| row.age <= SUSPICION_LIFETIME) {
            let changed_at = now.before(row.age);
            let is_newer = match self.entries.get(&row.content) {
                None => true,
                Some(known) if known.crashes >= BLOCKING_CRASHES => false,
                Some(known) => row.crashes >= BLOCKING_CRASHES || changed_at > known.changed_at,
            };
            if is_newer
                && self.entries.get(&row.content).map(|known| known.crashes) != Some(row.crashes)
            {
                self.set(row.content, row.crashes, changed_at);
                changed = true;
            }
        }
        changed
    }

    /// Removes expired entries, and the oldest ones beyond [`MAX_CONTENTS`].
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now.since(entry.changed_at) <= SUSPICION_LIFETIME);
        self.trials
            .retain(|_, (_, since)| now.since(*since) <= TRIAL_LIFETIME);
        if self.entries.len() > MAX_CONTENTS {
            let mut ages: Vec<Millis> = self
                .entries
                .values()
                .map(|entry| entry.changed_at)
                .collect();
            ages.sort_unstable();
            let oldest_kept = ages[ages.len() - MAX_CONTENTS];
            self.entries
                .retain(|_, entry| entry.changed_at >= oldest_kept);
        }
    }

    /// Reserves `server` for the trial of a suspect. Returns `false` if a trial is already running
    /// there.
    pub fn begin_trial(&mut self, content: u64, server: &Name, now: Millis) -> bool {
        let trial = self.trials.get(server);
        let is_free = trial.is_none_or(|(_, since)| now.since(*since) > TRIAL_LIFETIME);
        if is_free {
            self.trials.insert(server.clone(), (content, now));
        }
        is_free
    }

    /// Releases the server if it is reserved for this content.
    pub fn end_trial(&mut self, content: u64, server: &Name) {
        if self
            .trials
            .get(server)
            .is_some_and(|(on_trial, _)| *on_trial == content)
        {
            self.trials.remove(server);
        }
    }
}
