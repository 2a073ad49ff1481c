//! Attempts that ended without a complete response. If the list of servers soon shows that the
//! server has ended as well, it crashed under the request, whatever the connection looked like:
//! reset by a server that listens again already, silent, or closed by this host because the caller
//! left.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clementinearch_policy::time::Millis;
use parking_lot::Mutex;

use crate::{call::Call, server::Server};

/// Longest time from a crash until the list of servers shows it.
const LISTING_DELAY: Duration = Duration::from_secs(8);

/// Time from the removal of a server's entry until it counts as a crash. By then it shows whether
/// the entries of its whole zone lapse, as in a partition.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Time for which removals of one zone belong together.
const REMOVAL_WINDOW: Duration = Duration::from_secs(4);

/// Largest number of attempts remembered, and of removals; the oldest are dropped first.
const MAX_ROWS: usize = 256;

/// An attempt that ended without a complete response.
#[derive(Clone, Debug)]
pub(crate) struct UnfinishedAttempt {
    pub(crate) server: Arc<Server>,
    pub(crate) call: Arc<Call>,
    /// Whether it was the trial of a suspect request.
    pub(crate) is_trial: bool,
    /// Whether the server had survived the begin of the response.
    pub(crate) is_answering: bool,
    pub(crate) ended_at: Millis,
}

/// A server whose entry was removed without notice, and the attempts that it left unfinished.
#[derive(Debug)]
struct Removal {
    server: Arc<Server>,
    removed_at: Millis,
    attempts: Vec<UnfinishedAttempt>,
}

#[derive(Debug, Default)]
struct Rows {
    attempts: VecDeque<UnfinishedAttempt>,
    /// Removals, oldest first.
    removals: VecDeque<Removal>,
}

impl Rows {
    /// Takes the attempts on a server that ended up to [`LISTING_DELAY`] ago.
    fn take_attempts(&mut self, server: &Server, now: Millis) -> Vec<UnfinishedAttempt> {
        let is_of_server = |attempt: &UnfinishedAttempt| {
            attempt.server.entry.name == server.entry.name
                && attempt.server.entry.incarnation == server.entry.incarnation
        };
        let all = std::mem::take(&mut self.attempts);
        let (mut taken, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(is_of_server);
        self.attempts = kept.into();
        taken.retain(|attempt| now.since(attempt.ended_at) <= LISTING_DELAY);
        taken
    }
}

/// The unfinished attempts of a host.
#[derive(Debug, Default)]
pub(crate) struct UnfinishedAttempts {
    rows: Mutex<Rows>,
}

impl UnfinishedAttempts {
    /// Remembers an attempt that ended without a complete response.
    pub(crate) fn add(&self, attempt: UnfinishedAttempt) {
        let mut rows = self.rows.lock();
        if rows.attempts.len() >= MAX_ROWS {
            rows.attempts.pop_front();
        }
        rows.attempts.push_back(attempt);
    }

    /// Returns the attempts under which a server crashed that has started again.
    pub(crate) fn on_restart(&self, server: &Server, now: Millis) -> Vec<UnfinishedAttempt> {
        if !server.accepts_requests() {
            return Vec::new();
        }
        self.rows.lock().take_attempts(server, now)
    }

    /// Records that a server's entry was removed. A draining or leaving server leaves as announced.
    pub(crate) fn on_removal(&self, server: Arc<Server>, now: Millis) {
        if !server.accepts_requests() {
            return;
        }
        let mut rows = self.rows.lock();
        let attempts = rows.take_attempts(&server, now);
        if rows.removals.len() >= MAX_ROWS {
            rows.removals.pop_front();
        }
        rows.removals.push_back(Removal {
            server,
            removed_at: now,
            attempts,
        });
    }

    /// Servers that were removed shortly before.
    pub(crate) fn removed_servers(&self) -> Vec<Arc<Server>> {
        let rows = self.rows.lock();
        let removals = rows.removals.iter();
        removals.map(|removal| removal.server.clone()).collect()
    }

    /// Returns the attempts whose server was removed [`REMOVAL_DELAY`] ago, and drops what is
    /// outdated. `listed` returns how many servers of a zone are listed: if fewer are than were
    /// removed, the zone is cut off and its servers may still run.
    pub(crate) fn confirm(
        &self,
        now: Millis,
        listed: impl Fn(&str) -> usize,
    ) -> Vec<UnfinishedAttempt> {
        let mut rows = self.rows.lock();
        rows.attempts
            .retain(|attempt| now.since(attempt.ended_at) <= LISTING_DELAY);
        rows.removals
            .retain(|removal| now.since(removal.removed_at) <= REMOVAL_WINDOW);
        let mut confirmed = Vec::new();
        for index in 0..rows.removals.len() {
            let removal = &rows.removals[index];
            let is_due = now.since(removal.removed_at) >= REMOVAL_DELAY;
            if removal.attempts.is_empty() || !is_due {
                continue;
            }
            let zone = removal.server.entry.zone.clone();
            let removals = rows.removals.iter();
            let removed = removals.filter(|other| other.server.entry.zone == zone);
            let is_cut_off = listed(&zone) < removed.count();
            let attempts = std::mem::take(&mut rows.removals[index].attempts);
            if !is_cut_off {
                confirmed.extend(attempts);
            }
        }
        confirmed
    }
}
