//! Leases with fencing numbers, without comparing clocks: a holder counts as gone when its record
//! has not changed for the lease's time on the observer's own clock.

use std::time::Duration;

use clementinearch_border::LeaseRecord;
use clementinearch_policy::time::Millis;

use crate::store::{Purpose, PutOutcome, Store, StoreError};

/// One candidate's view of a lease.
pub struct Lease {
    key: String,
    me: String,
    duration: Duration,
    /// Version of the record when it was last seen to change, and when that was.
    seen: Option<(u64, Millis)>,
    held: Option<OwnRecord>,
}

#[derive(Clone, Copy)]
struct OwnRecord {
    fence: u64,
    /// When this tenure began.
    since: Millis,
    /// Start of the last call that surely renewed it.
    renewed_at: Option<Millis>,
}

/// A lease that is held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number: higher than that of any holder before.
    pub fence: u64,
    /// When the tenure began.
    pub since: Millis,
}

impl Lease {
    /// A candidate `me` for the lease at `key`.
    pub fn new(key: &str, me: &str, duration: Duration) -> Self {
        Self {
            key: key.to_owned(),
            me: me.to_owned(),
            duration,
            seen: None,
            held: None,
        }
    }

    /// The tenure, if the lease is surely held at `now`: renewed within half of its time.
    pub fn held(&self, now: Millis) -> Option<HeldLease> {
        let held = self.held?;
        let is_sure = now.since(held.renewed_at?) < self.duration / 2;
        is_sure.then_some(HeldLease {
            fence: held.fence,
            since: held.since,
        })
    }

    /// Gives up the tenure, such as after an order was refused for its fencing number.
    pub fn step_down(&mut self) {
        self.held = None;
    }

    /// Renews the lease or tries to take it. `now` is read before the call.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the tenure goes on until it runs out by itself.
    pub fn refresh(&mut self, store: &dyn Store, now: Millis) -> Result<(), StoreError> {
        let found = store.get(&self.key, Purpose::Orders)?;
        let version = found.as_ref().map_or(0, |found| found.version);
        let record = found.and_then(|found| serde_json::from_str::<LeaseRecord>(&found.value).ok());
        let fence = record.as_ref().map_or(0, |record| record.fence);
        let is_own = record.is_some_and(|record| record.holder == self.me);
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
        match self.seen {
            Some((seen, since)) if seen == version => {
                if now.since(since) < self.duration {
                    return Ok(());
                }
            }
            _ => {
                self.seen = Some((version, now));
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
            holder: self.me.clone(),
            fence: held.fence,
            renewed_ms: held.renewed_at.map_or(0, |at| at.0),
        };
        let value = serde_json::to_string(&record).map_err(|e| StoreError::Refused {
            reason: e.to_string(),
        })?;
        match store.put(&self.key, version, &value, None, Purpose::Orders) {
            Ok(PutOutcome::Written { .. }) => self.held = Some(held),
            Ok(PutOutcome::Conflict(_)) => self.held = None,
            // Whether it was written shows with the next reading: the record is then this host's own.
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
