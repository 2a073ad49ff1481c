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
pub const SHARDS_PER_EPOCH: u64 = 64;

/// Span of the request ids that one page holds.
pub const EPOCH_LENGTH: Duration = Duration::from_secs(30);

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
        let epoch = id.time().0 / EPOCH_LENGTH.as_millis() as u64;
        Self {
            epoch,
            shard: stable_hash(&[account, &id.simple()]) % SHARDS_PER_EPOCH,
        }
    }

    /// The page of a bill; absent if its id is none.
    pub fn of_record(record: &BillRecord) -> Option<Self> {
        RequestId::parse_any_age(&record.id).map(|id| Self::new(&record.account, &id))
    }

    /// Store key of the page.
    pub fn key(&self) -> String {
        format!("ledger/{}/{}", self.epoch, self.shard)
    }
}

/// Periods after the end of a page's epoch until its first holder writes it: by then most answers
/// of the epoch have ended, and the page is written about once.
const CLOSING_PERIODS: u32 = 2;

/// Periods for which the first holder keeps a bill at most, and any other holder.
const PATIENCE_PERIODS: (u32, u32) = (4, 6);

/// Whether a holder is to write a page now. `oldest` is when it took the first of the page's bills,
/// `is_first` whether it is the holder that should write it.
pub fn is_write_due(
    page: &PageId,
    oldest: Millis,
    is_first: bool,
    period: Duration,
    now: Millis,
) -> bool {
    let (of_first, of_others) = PATIENCE_PERIODS;
    let patience = period * if is_first { of_first } else { of_others };
    let epoch_end = Millis((page.epoch + 1) * EPOCH_LENGTH.as_millis() as u64);
    let is_closed = now > epoch_end.after(period * CLOSING_PERIODS);
    now.since(oldest) > patience || is_first && is_closed
}

/// Adds the records that `page` does not hold yet and returns their number.
pub fn merge_records(page: &mut LedgerPage, records: &[BillRecord]) -> usize {
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
