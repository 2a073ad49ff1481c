//! Supervision of a host's tasks: a task that panics says so and is started again, so that no host
//! goes on serving while it follows nothing.

use std::{future::Future, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use futures::FutureExt;

use crate::host_state::HostState;

/// Pause before a task that has panicked is started again; each further panic doubles it.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a task is started again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Logs and counts each panic of the process from now on, besides what the hook before does.
pub(crate) fn report_panics(state: Arc<HostState>) {
    let earlier_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        let why = info.payload_as_str().unwrap_or("no message");
        metrics::counter!("clementinearch_panics_total").increment(1);
        state.log_event("panicked", &place.unwrap_or_default(), why, &[]);
        earlier_hook(info);
    }));
}

/// Runs the task that `start` returns. If it panics, it is started again: what must outlast that is
/// behind an `Arc`.
pub(crate) fn spawn<F, A>(state: &Arc<HostState>, name: &'static str, start: F)
where
    F: Fn() -> A + Send + Sync + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    tokio::spawn(async move {
        let mut pause = MIN_PAUSE;
        while AssertUnwindSafe(async { start().await })
            .catch_unwind()
            .await
            .is_err()
        {
            metrics::counter!("clementinearch_task_restarts_total", "task" => name).increment(1);
            state.log_event("task_restarted", name, "it panicked", &[]);
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    });
}
