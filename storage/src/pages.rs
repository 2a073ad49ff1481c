//! Writes bills into pages of the ledger: whoever writes, each bill stands there once.

use clementinearch_border::{BillRecord, LedgerPage};
use clementinearch_policy::ledger::{PageId, merge_records};

use crate::store::{Purpose, PutOutcome, Store, StoreError};

/// What writing a page came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PageWrite {
    /// Bills that were not in the page before.
    pub added: usize,
    /// Writes that lost against another host's.
    pub conflicts: usize,
}

/// Merges `records` into the page.
///
/// # Errors
///
/// Returns the store's error. The bills may or may not stand in the page then; writing them again is harmless.
pub fn write_page(
    store: &dyn Store,
    page: PageId,
    records: &[BillRecord],
) -> Result<PageWrite, StoreError> {
    let key = page.key();
    let mut outcome = PageWrite::default();
    loop {
        let found = store.get(&key, Purpose::Ledger)?;
        let version = found.as_ref().map_or(0, |found| found.version);
        let mut merged = match &found {
            None => LedgerPage {
                records: Vec::new(),
            },
            Some(found) => serde_json::from_str(&found.value).map_err(|e| StoreError::Refused {
                reason: format!("{key} cannot be read: {e}"),
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
