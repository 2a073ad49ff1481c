//! Leases with fencing numbers that need no synchronised clocks: a lease counts as expired when an
//! observer has seen no change of its record for the lease duration on the observer's own clock.

use std::time::Duration;

use clementinearch_border::LeaseRecord;
use clementinearch_policy::time::Millis;

use crate::store::{Purpose, PutOutcome, Store, StoreError};

/// One candidate's view of a lease.
pub struct Lease {
    key: String,
    candidate: String,
    duration: Duration,
    /// Last observed version of the record, and when it was first observed.
    observed: Option<(u64, Millis)>,
    held: Option<OwnRecord>,
}

/// The record that this candidate wrote last.
#[derive(Clone, Copy)]
struct OwnRecord {
    fence: u64,
    /// When the lease was acquired, on this candidate's clock.
    since: Millis,
    /// Start of the last renewal that the store confirmed.
    renewed_at: Option<Millis>,
}

/// A lease that this candidate holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number, higher than that of every earlier holder.
    pub fence: u64,
    /// When the lease was acquired, on the holder's clock.
    pub since: Millis,
}

impl Lease {
    /// Creates a candidate named `candidate` for the lease at `key`.
    pub fn new(key: &str, candidate: &str, duration: Duration) -> Self {
        Self {
            key: key.to_owned(),
            candidate: candidate.to_owned(),
            duration,
            observed: None,
            held: None,
        }
    }

    /// Returns the lease if it is certainly held at `now`, that is, renewed within half of its
    /// duration.
    pub fn held(&self, now: Millis) -> Option<HeldLease> {
        let held = self.held?;
        let is_certain = now.since(held.renewed_at?) < self.duration / 2;
        is_certain.then_some(HeldLease {
            fence: held.fence,
            since: held.since,
        })
    }

    /// Stops using the lease, for example after a server rejected its fencing number.
    pub fn step_down(&mut self) {
        self.held = None;
    }

    /// Renews the lease, or tries to acquire it. `now` must be read before the call.
    ///
    /// # Errors
    ///
    /// Returns the error of the store. A held lease stays valid until it expires; after a renewal
    /// with unknown outcome it counts as not held until the store confirms the next one.
    pub fn refresh(&mut self, store: &dyn Store, now: Millis) -> Result<(), StoreError> {
        let found = store.get(&self.key, Purpose::Orders)?;
        let version = found.as_ref().map_or(0, |found| found.version);
        let record = found.and_then(|found| serde_json::from_str::<LeaseRecord>(&found.value).ok());
        let fence = record.as_ref().map_or(0, |record| record.fence);
        let is_own = record.is_some_and(|record| record.holder == self.candidate);
        if let Some(held) = self.held.filter(|held| is_own && held.fence == fence) {
            return self.write(
                store,
                version,
                OwnRecord {
                    renewed_at: Some(now),
                    ..held
                },
            );
        }
        self.held = None;
        match self.observed {
            Some((observed, since)) if observed == version => {
                if now.since(since) < self.duration {
                    return Ok(());
                }
            }
            _ => {
                self.observed = Some((version, now));
                if version > 0 {
                    return Ok(());
                }
            }
        }
        self.write(
            store,
            version,
            OwnRecord {
                fence: fence + 1,
                since: now,
                renewed_at: Some(now),
            },
        )
    }

    fn write(
        &mut self,
        store: &dyn Store,
        version: u64,
        held: OwnRecord,
    ) -> Result<(), StoreError> {
        let record = LeaseRecord {
            holder: self.candidate.clone(),
            fence: held.fence,
            renewed_ms: held.renewed_at.map_or(0, |at| at.0),
        };
        let value = serde_json::to_string(&record).map_err(|e| StoreError::Refused {
            reason: e.to_string(),
        })?;
        match store.put(&self.key, version, &value, None, Purpose::Orders) {
            Ok(PutOutcome::Written { .. }) => self.held = Some(held),
            Ok(PutOutcome::Conflict(_)) => self.held = None,
            // The next read shows whether the write took effect: the record then names this
            // candidate.
            Err(StoreError::Unknown { reason }) => {
                self.held = Some(OwnRecord {
                    renewed_at: None,
                    ..held
                });
                return Err(StoreError::Unknown { reason });
            }
            Err(e) => return Err(e),
        }
        Ok(())
    }
}
