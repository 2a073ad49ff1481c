//! Wall clock of the process, which is read only here.

use std::time::{SystemTime, UNIX_EPOCH};

use clementinearch_policy::time::Millis;

/// Returns the current Unix time.
pub(crate) fn now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(elapsed.as_millis() as u64)
}
