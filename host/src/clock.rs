//! The one place where the program reads the clock.

use std::time::{SystemTime, UNIX_EPOCH};

use clementinearch_policy::time::Millis;

/// The present time.
pub(crate) fn now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(elapsed.as_millis() as u64)
}
