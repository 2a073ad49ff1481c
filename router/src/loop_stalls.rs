//! Stalls of the event loop: spans in which this host reads nothing, which are no silence of servers
//! or peers.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{running_clock::TICK_PERIOD, time::Millis};

use crate::host_state::HostState;

/// Length of a stall from which it is logged.
const LOGGED_STALL: Duration = Duration::from_millis(200);

impl HostState {
    /// Time since `since` in which this host ran.
    pub(crate) fn ran_since(&self, since: Millis) -> Duration {
        self.running_clock.lock().ran_since(since, self.now())
    }
}

/// Watches the event loop until the process ends.
pub(crate) async fn watch(state: Arc<HostState>) {
    loop {
        let stall = state.running_clock.lock().tick(state.now());
        if !stall.is_zero() {
            metrics::histogram!("clementinearch_loop_stall_seconds").record(stall.as_secs_f64());
        }
        if stall >= LOGGED_STALL {
            let inputs = [("elapsed_ms", stall.as_millis() as f64)];
            state.log_event("loop_stalled", "", "", &inputs);
        }
        tokio::time::sleep(TICK_PERIOD).await;
    }
}
