//! When this host read the store or a peer's view, and whether it must do so again before it sends
//! requests.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use clementinearch_policy::time::Millis;

use crate::host_state::HostState;

/// Reason of an attempt that is not sent because this host resumed after a freeze.
pub(crate) const VIEW_OUTDATED: &str = "view outdated by a freeze";

/// Length of a freeze after which the view is read before requests are sent. An order must hold 5 s
/// after the store has it: after a shorter freeze the regular reads, up to 1.7 s apart, are in time.
const MIN_FREEZE: Duration = Duration::from_secs(2);

/// Longest time after a freeze for which requests wait. If neither the store nor a peer answers, the
/// last values stay in effect.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The same for a host that knows of no evacuated zone and no pace of cold servers. An evacuation may
/// have been ordered during the freeze; a read of a store in reach takes some milliseconds.
const MAX_WAIT_WITHOUT_ORDERS: Duration = Duration::from_millis(500);

/// How often a request that waits looks whether the view was read.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Begins of the first and the last read of the store or a peer's view that took effect, milliseconds
/// of the host's clock; zero before the first.
#[derive(Debug, Default)]
pub(crate) struct ViewReads {
    first_ms: AtomicU64,
    last_ms: AtomicU64,
}

impl ViewReads {
    /// Records a read that began at `began_at`, once it has taken effect.
    pub(crate) fn record(&self, began_at: Millis) {
        let _ = self
            .first_ms
            .compare_exchange(0, began_at.0, Ordering::Relaxed, Ordering::Relaxed);
        self.last_ms.fetch_max(began_at.0, Ordering::Release);
    }

    /// Whether the first read began at least `span` before `now`.
    pub(crate) fn have_lasted(&self, span: Duration, now: Millis) -> bool {
        let first = self.first_ms.load(Ordering::Relaxed);
        first != 0 && now.since(Millis(first)) >= span
    }

    fn last(&self) -> Millis {
        Millis(self.last_ms.load(Ordering::Acquire))
    }
}

impl HostState {
    /// Whether this host resumed after a freeze and has read neither the store nor a peer's view
    /// since. A request to a zone that was evacuated or a server that became cold during the freeze
    /// is one too many.
    pub(crate) fn is_view_outdated(&self, now: Millis) -> bool {
        let has_orders = self.has_cold_pace() || !self.evacuations.is_empty();
        let max_wait = if has_orders {
            MAX_WAIT
        } else {
            MAX_WAIT_WITHOUT_ORDERS
        };
        let resumed_at = self.running_clock.lock().last_stall_end(MIN_FREEZE, now);
        let last = self.view_reads.last();
        // Before the first read nothing is served, and a host without a store never reads.
        last != Millis::default()
            && resumed_at.is_some_and(|at| last < at && now.since(at) < max_wait)
    }

    /// Waits until the view is no longer outdated by a freeze, at most until `deadline`.
    pub(crate) async fn wait_for_view(&self, deadline: Millis) {
        loop {
            let now = self.now();
            if now >= deadline || !self.is_view_outdated(now) {
                return;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}
