//! Where a bill is kept and how pages of the ledger are merged.
//!
//! Account and request id alone tell the page, so that whoever holds a copy
//! of a bill writes it to the same key, where a compare-and-swap keeps one of them.

use std::time::Duration;

use clementinearch_border::{BillRecord, LedgerPage};

use crate::{
    names::{FastSet, stable_hash},
    request_id::RequestId,
    time::Millis,
};

/// Pages of one epoch.
pub const SHARDS: u64 = 64;

/// Span of the request ids that one page holds.
pub const EPOCH: Duration = Duration::from_secs(30);

/// Key of a page of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PageId {
    /// Number of the epoch since the Unix epoch.
    pub epoch: u64,
    /// Shard within the epoch.
    pub shard: u64,
}

impl PageId {
    /// The page of a request: a function of its account and its id only.
    pub fn new(account: &str, id: &RequestId) -> Self {
        Self::with_time(account, &id.simple(), id.time())
    }

    /// The page of a request whose id was already taken apart.
    pub fn with_time(account: &str, id: &str, time: Millis) -> Self {
        let epoch = time.0 / EPOCH.as_millis() as u64;
        Self {
            epoch,
            shard: stable_hash(&[account, id]) % SHARDS,
        }
    }

    /// Store key of the page.
    pub fn key(&self) -> String {
        format!("ledger/{}/{}", self.epoch, self.shard)
    }
}

/// Adds the records that `page` does not hold yet and returns their number.
pub fn merge(page: &mut LedgerPage, records: &[BillRecord]) -> usize {
    let before = page.records.len();
    let mut known: FastSet<(String, String)> = page
        .records
        .iter()
        .map(|record| (record.account.clone(), record.id.clone()))
        .collect();
    for record in records {
        if known.insert((record.account.clone(), record.id.clone())) {
            page.records.push(record.clone());
        }
    }
    page.records.len() - before
}
