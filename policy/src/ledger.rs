//! Layout of the billing ledger: the page of a bill, and the merging of pages.
//!
//! The page depends only on the account and the request id. Every host that holds a copy of a bill
//! therefore writes it to the same key, where a compare-and-swap keeps exactly one of the copies.

use std::time::Duration;

use clementinearch_border::{BillRecord, LedgerPage};

use crate::{
    names::{FastSet, stable_hash},
    request_id::RequestId,
    time::Millis,
};

/// Number of pages in one epoch.
pub const SHARDS_PER_EPOCH: u64 = 64;

/// Range of request id timestamps that one page covers.
pub const EPOCH_LENGTH: Duration = Duration::from_secs(30);

/// Identifies a page of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PageId {
    /// Number of the epoch, counted from the Unix epoch.
    pub epoch: u64,
    /// Shard within the epoch, below [`SHARDS_PER_EPOCH`].
    pub shard: u64,
}

impl PageId {
    /// Returns the page of a request.
    pub fn new(account: &str, id: &RequestId) -> Self {
        let epoch = id.time().0 / EPOCH_LENGTH.as_millis() as u64;
        Self {
            epoch,
            shard: stable_hash(&[account, &id.simple()]) % SHARDS_PER_EPOCH,
        }
    }

    /// Returns the page of a bill; `None` if its id is not a request id.
    pub fn of_record(record: &BillRecord) -> Option<Self> {
        RequestId::parse_any_age(&record.id).map(|id| Self::new(&record.account, &id))
    }

    /// Returns the store key of the page.
    pub fn key(&self) -> String {
        format!("ledger/{}/{}", self.epoch, self.shard)
    }
}

/// Write periods between the end of a page's epoch and the write by its first holder. By then
/// most responses of the epoch have ended, so that the page is usually written once.
const CLOSING_PERIODS: u32 = 2;

/// Write periods for which a bill is held at most: by the first holder, and by the others.
const MAX_HOLD_PERIODS: (u32, u32) = (4, 6);

/// Returns whether a holder of bills should write their page now.
///
/// `oldest` is the time when it received the first of the page's bills, and `is_first` is whether
/// it is the first holder, which is responsible for the write.
pub fn is_write_due(
    page: &PageId,
    oldest: Millis,
    is_first: bool,
    period: Duration,
    now: Millis,
) -> bool {
    let (of_first, of_others) = MAX_HOLD_PERIODS;
    let max_hold = period * if is_first { of_first } else { of_others };
    let epoch_end = Millis((page.epoch + 1) * EPOCH_LENGTH.as_millis() as u64);
    let is_closed = now > epoch_end.after(period * CLOSING_PERIODS);
    now.since(oldest) > max_hold || is_first && is_closed
}

/// Adds the records that `page` lacks and returns how many were added.
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
