//! Requests that crash the backend server that runs them, told apart from those that were there by chance.
//!
//! All requests on a crashed server come under suspicion, by content, since a caller sends its
//! request again under a new id. A suspect runs again on trial: alone among suspects on its server.
//! If that server crashes too, the content is convicted and refused for a time; if the answer is
//! whole, it is cleared. One content so crashes the servers that ran it before the first crash was
//! known, and one more.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{FastMap, Name},
    time::Millis,
};

/// How long a suspicion or verdict is remembered.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);

/// How long a server is reserved for a trial whose end is not reported.
pub const TRIAL_LIFETIME: Duration = Duration::from_secs(300);

/// Suspicions that one exchange carries at most: the latest ones.
pub const MAX_ROWS_PER_EXCHANGE: usize = 64;

/// Contents remembered at most; beyond it the oldest are forgotten.
pub const MAX_CONTENTS: usize = 10_000;

/// How a content stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStatus {
    /// Nothing is known against it.
    Clear,
    /// It ran on a server that crashed.
    Suspect,
    /// It crashed a server on trial; refused until then.
    Blocked(Millis),
}

/// What is known about a content, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Hash of account and content.
    pub content: u64,
    /// Servers that crashed under it: zero once cleared, two or more once convicted.
    pub crashes: u32,
    /// Age of the last change.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    changed_at: Millis,
}

/// Suspicions, verdicts and, on each server's arbiter, trials.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    entries: FastMap<u64, Entry>,
    trials: FastMap<Name, (u64, Millis)>,
}

/// Crashes that convict.
const BLOCKING_CRASHES: u32 = 2;

impl CrashSuspects {
    /// How a content stands at `now`.
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

    /// Notes that a server crashed while it ran the content; `on_trial` if it was the only suspect there.
    pub fn record_crash(&mut self, content: u64, on_trial: bool, now: Millis) -> ContentStatus {
        let crashes = if on_trial { BLOCKING_CRASHES } else { 1 };
        self.set(content, crashes, now);
        self.status(content, now)
    }

    /// Notes that a suspect's answer was whole.
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

    /// What to tell a peer: the latest changes.
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

    /// Takes in what a peer says. A verdict stands against any other word; else the later word counts.
    /// Returns whether anything was news.
    pub fn merge(&mut self, rows: &[SuspectRow], now: Millis) -> bool {
        let mut news = false;
        for row in rows.iter().filter(|row| row.age <= SUSPICION_LIFETIME) {
            let changed_at = Millis(now.0.saturating_sub(row.age.as_millis() as u64));
            let is_news = match self.entries.get(&row.content) {
                None => true,
                Some(known) if known.crashes >= BLOCKING_CRASHES => false,
                Some(known) => row.crashes >= BLOCKING_CRASHES || changed_at > known.changed_at,
            };
            if is_news
                && self.entries.get(&row.content).map(|known| known.crashes) != Some(row.crashes)
            {
                self.set(row.content, row.crashes, changed_at);
                news = true;
            }
        }
        news
    }

    /// Forgets what is too old, and the oldest beyond the bound.
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

    /// Reserves `server` for a suspect, unless another one is on trial there.
    pub fn begin_trial(&mut self, content: u64, server: &Name, now: Millis) -> bool {
        let trial = self.trials.get(server);
        let is_free = trial.is_none_or(|(_, since)| now.since(*since) > TRIAL_LIFETIME);
        if is_free {
            self.trials.insert(server.clone(), (content, now));
        }
        is_free
    }

    /// Ends the trial of a content on a server.
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
