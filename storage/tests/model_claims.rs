//! Model check: a call runs at most once, also after a host has released its claim as not run, and
//! a stored response implies that the call ran.

mod model;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_policy::{
    claim::{claim_with_state, completed_claim, new_claim},
    time::Millis,
};
use clementinearch_storage::{ClaimOutcome, acquire_claim, settle_claim};
use model::{Fault, ModelStore, check, finds_fault};
use shuttle::{
    rand::{Rng, thread_rng},
    thread,
};

const HOSTS: usize = 3;
const KEY: &str = "claim/a/1";

fn wanted(host: usize, attempt: usize) -> ClaimRecord {
    new_claim(
        format!("{host}.{attempt}"),
        host.to_string(),
        "digest".to_owned(),
        Millis(1),
    )
}

/// Simulates one host, through which the caller sends the same request id up to twice.
fn run_host(host: usize, store: &ModelStore, runs: &AtomicUsize) {
    for attempt in 0..2 {
        let wanted = wanted(host, attempt);
        match acquire_claim(store, KEY, &wanted) {
            Ok(ClaimOutcome::Acquired(claim)) => {
                // The host may pause for any time between acquiring the claim and sending.
                thread::yield_now();
                let record = match thread_rng().gen_range(0..4) {
                    0 => claim_with_state(claim.record(), ClaimState::Released, Millis(2)),
                    1 => {
                        runs.fetch_add(1, Ordering::SeqCst);
                        claim_with_state(claim.record(), ClaimState::Unknown, Millis(2))
                    }
                    // The host crashes after sending.
                    2 => {
                        runs.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    _ => {
                        runs.fetch_add(1, Ordering::SeqCst);
                        completed_claim(claim.record(), 200, b"answer", Millis(2))
                    }
                };
                while !settle_claim(store, &claim, &record) {
                    thread::yield_now();
                }
            }
            Ok(ClaimOutcome::Answered { .. }) => {
                assert_eq!(runs.load(Ordering::SeqCst), 1, "answered without a run")
            }
            Ok(_) => {}
            Err(e) => {
                if let Some(claim) = e.unconfirmed {
                    let record = claim_with_state(claim.record(), ClaimState::Released, Millis(2));
                    settle_claim(store, &claim, &record);
                }
            }
        }
    }
}

fn scenario(fault: Fault) {
    let store = Arc::new(ModelStore::new(fault));
    let runs = Arc::new(AtomicUsize::new(0));
    let hosts: Vec<_> = (0..HOSTS)
        .map(|host| {
            let (store, runs) = (store.clone(), runs.clone());
            thread::spawn(move || run_host(host, &store, &runs))
        })
        .collect();
    for host in hosts {
        host.join().unwrap();
    }
    assert!(
        runs.load(Ordering::SeqCst) <= 1,
        "the call ran {} times",
        runs.load(Ordering::SeqCst)
    );
}

#[test]
fn a_call_runs_at_most_once_under_all_explored_schedules() {
    check(|| scenario(Fault::None));
}

#[test]
fn the_checker_detects_unconditional_writes() {
    assert!(finds_fault(|| scenario(Fault::UnconditionalWrite)));
}

#[test]
fn the_checker_detects_falsely_confirmed_writes() {
    assert!(finds_fault(|| scenario(Fault::FalseSuccess)));
}
