//! Threads and tasks that panic are started again until they return.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::supervisor::{run_task, spawn_thread};

/// Panics in the first two calls.
fn panic_twice(calls: &AtomicUsize) {
    assert!(
        calls.fetch_add(1, Ordering::Relaxed) >= 2,
        "a panic of the test"
    );
}

#[test]
fn a_thread_that_panics_is_started_again() {
    let calls: Arc<AtomicUsize> = Arc::default();
    let counted = calls.clone();
    let thread = spawn_thread("test", move || panic_twice(&counted));
    thread.unwrap().join().unwrap();
    assert_eq!(calls.load(Ordering::Relaxed), 3);
}

#[test]
fn a_task_that_panics_is_started_again() {
    let calls: Arc<AtomicUsize> = Arc::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(run_task("test", || {
        let counted = calls.clone();
        async move { panic_twice(&counted) }
    }));
    assert_eq!(calls.load(Ordering::Relaxed), 3);
}
