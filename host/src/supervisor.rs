//! Supervision of a host's threads and tasks: one that panics says so and is started again, so that no
//! host goes on serving while it follows nothing.

use std::{
    future::Future,
    panic::{AssertUnwindSafe, catch_unwind},
    thread,
    time::Duration,
};

use futures::FutureExt;

use crate::error::Error;

/// Pause before a thread or task that has panicked is started again; each further panic doubles it.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a thread or task is started again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Starts a thread that calls `run`, again after each panic, until it returns.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub(crate) fn spawn_thread(
    name: &'static str,
    run: impl Fn() + Send + 'static,
) -> Result<thread::JoinHandle<()>, Error> {
    let supervise = move || {
        let mut pause = MIN_PAUSE;
        while catch_unwind(AssertUnwindSafe(&run)).is_err() {
            record_panic(name);
            thread::sleep(pause);
            pause = (pause * 2).min(MAX_PAUSE);
        }
    };
    let spawned = thread::Builder::new()
        .name(name.to_owned())
        .spawn(supervise);
    spawned.map_err(Error::io(format!("start the {name} thread")))
}

/// Runs the task that `start` returns, again after each panic, until it returns.
pub(crate) async fn run_task<A>(name: &'static str, start: impl Fn() -> A)
where
    A: Future<Output = ()>,
{
    let mut pause = MIN_PAUSE;
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        record_panic(name);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

fn record_panic(name: &'static str) {
    metrics::counter!("clementinearch_task_restarts_total", "task" => name).increment(1);
    log::error!("{name} panicked and is started again");
}
