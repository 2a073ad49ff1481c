//! Crashes of servers, as a set that hosts can merge in any order.

use std::time::Duration;

use crate::time::Millis;

/// Time between two reports on one incarnation of a server within which they are about the same
/// crash. Later ones are about another crash, of an incarnation that is not listed yet.
const SAME_CRASH_SPAN: Duration = Duration::from_secs(1);

/// The crash of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the server's name and incarnation.
    pub server: u32,
    /// When it was seen.
    pub at: Millis,
}

impl Crash {
    /// Whether two hosts that report these crashes saw the same one.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.server == other.server && apart <= SAME_CRASH_SPAN
    }
}

/// The latest crashes, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashSet(Vec<Crash>);

impl CrashSet {
    /// Adds a crash unless it is known.
    pub(crate) fn add(&mut self, crash: Crash) {
        if !self.0.iter().any(|known| known.is_same(&crash)) {
            self.0.push(crash);
            self.0.sort_by_key(|crash| crash.at);
        }
    }

    /// Drops the oldest crashes beyond `max`.
    pub(crate) fn keep_latest(&mut self, max: usize) {
        let excess = self.0.len().saturating_sub(max);
        self.0.drain(..excess);
    }

    /// Drops crashes beyond `max` where they are densest, so that the others still span the same
    /// time. The first and the last stay.
    pub(crate) fn thin_out(&mut self, max: usize) {
        while self.0.len() > max.max(2) {
            let gap = |index: &usize| self.0[index + 1].at.since(self.0[index - 1].at);
            let Some(densest) = (1..self.0.len() - 1).min_by_key(gap) else {
                return;
            };
            self.0.remove(densest);
        }
    }

    /// Drops the crashes for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl FnMut(&Crash) -> bool) {
        self.0.retain(keep);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.0.iter()
    }

    /// Time of the latest crash.
    pub(crate) fn latest(&self) -> Option<Millis> {
        self.0.last().map(|crash| crash.at)
    }

    /// Servers, and the time since each crash, milliseconds.
    pub(crate) fn rows(&self, now: Millis) -> Vec<(u32, u64)> {
        let row = |crash: &Crash| (crash.server, now.since(crash.at).as_millis() as u64);
        self.0.iter().map(row).collect()
    }
}

/// Reads the crashes that [`CrashSet::rows`] wrote on another host.
pub(crate) fn read_rows(rows: &[(u32, u64)], now: Millis) -> impl Iterator<Item = Crash> {
    rows.iter().map(move |(server, age_ms)| Crash {
        server: *server,
        at: now.before(Duration::from_millis(*age_ms)),
    })
}
