//! Writing of bills to ledger pages, idempotent across hosts: each bill is stored once.

use clementinearch_border::{BillRecord, LedgerPage};
use clementinearch_policy::ledger::{PageId, merge_records};

use crate::store::{Purpose, PutOutcome, Store, StoreError};

/// Counts of one call of [`write_ledger_page`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PageWriteOutcome {
    /// Bills that were added to the page.
    pub added: usize,
    /// Compare-and-swap attempts that lost against a concurrent write.
    pub conflicts: usize,
}

/// Merges `records` into `page`, retrying on conflicts.
///
/// # Errors
///
/// Returns the error of the store. The bills may then be written or not; retrying the call is safe.
pub fn write_ledger_page(
    store: &dyn Store,
    page: PageId,
    records: &[BillRecord],
) -> Result<PageWriteOutcome, StoreError> {
    let key = page.key();
    let mut outcome = PageWriteOutcome::default();
    loop {
        let found = store.get(&key, Purpose::Ledger)?;
        let version = found.as_ref().map_or(0, |found| found.version);
        let mut merged = match &found {
            None => LedgerPage {
                records: Vec::new(),
            },
            Some(found) => serde_json::from_str(&found.value).map_err(|e| StoreError::Refused {
                reason: format!("malformed ledger page {key}: {e}"),
            })?,
        };
        outcome.added = merge_records(&mut merged, records);
        if outcome.added == 0 {
            return Ok(outcome);
        }
        let value = serde_json::to_string(&merged).map_err(|e| StoreError::Refused {
            reason: e.to_string(),
        })?;
        match store.put(&key, version, &value, None, Purpose::Ledger)? {
            PutOutcome::Written { .. } => return Ok(outcome),
            PutOutcome::Conflict(_) => outcome.conflicts += 1,
        }
    }
}
