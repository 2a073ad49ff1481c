//! Model check: a call runs at most once, and a host that says "not run" did not run it.

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
use clementinearch_storage::{Taken, settle_claim, take_claim};
use model::{ModelStore, Planted, check, finds_fault};
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

/// One host: the caller sends the same id up to twice through it.
fn run_host(host: usize, store: &ModelStore, runs: &AtomicUsize) {
    for attempt in 0..2 {
        let wanted = wanted(host, attempt);
        match take_claim(store, KEY, &wanted) {
            Ok(Taken::Own(claim)) => {
                // A pause of any length lies between the claim and the first byte.
                thread::yield_now();
                let record = match thread_rng().gen_range(0..4) {
                    0 => claim_with_state(claim.record(), ClaimState::Released, Millis(2)),
                    1 => {
                        runs.fetch_add(1, Ordering::SeqCst);
                        claim_with_state(claim.record(), ClaimState::Unknown, Millis(2))
                    }
                    // The host dies after it sent.
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
            Ok(Taken::Answered { .. }) => {
                assert_eq!(runs.load(Ordering::SeqCst), 1, "answered without a run")
            }
            Ok(_) => {}
            Err(not_taken) => {
                if let Some(claim) = not_taken.left_behind {
                    let record = claim_with_state(claim.record(), ClaimState::Released, Millis(2));
                    settle_claim(store, &claim, &record);
                }
            }
        }
    }
}

fn schedule(planted: Planted) {
    let store = Arc::new(ModelStore::new(planted));
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
fn a_call_runs_at_most_once_under_all_schedules_tried() {
    check(|| schedule(Planted::None));
}

#[test]
fn the_checker_finds_a_store_without_compare() {
    assert!(finds_fault(|| schedule(Planted::NoCompare)));
}

#[test]
fn the_checker_finds_a_store_that_says_yes_falsely() {
    assert!(finds_fault(|| schedule(Planted::FalseYes)));
}
