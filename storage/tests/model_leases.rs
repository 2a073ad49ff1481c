//! Model check: no two candidates hold a lease with the same fencing number.

mod model;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use clementinearch_policy::time::Millis;
use clementinearch_storage::Lease;
use model::{Fault, ModelStore, check, finds_fault};
use shuttle::{
    rand::{Rng, thread_rng},
    thread,
};

const CANDIDATES: usize = 3;
const STEPS: usize = 8;
const DURATION: Duration = Duration::from_millis(100);

fn scenario(fault: Fault) {
    let store = Arc::new(ModelStore::new(fault));
    let holders: Arc<Mutex<BTreeMap<u64, usize>>> = Arc::default();
    let candidates: Vec<_> = (0..CANDIDATES)
        .map(|candidate| {
            let (store, holders) = (store.clone(), holders.clone());
            thread::spawn(move || {
                let mut lease = Lease::new("orders/pool", &candidate.to_string(), DURATION);
                // Each candidate has its own clock, which advances in random steps.
                let mut now = Millis(1_000_000 * candidate as u64);
                for _ in 0..STEPS {
                    now = now.after(Duration::from_millis(thread_rng().gen_range(1..150)));
                    let _ = lease.refresh(&*store, now);
                    let Some(held) = lease.held(now) else {
                        continue;
                    };
                    let first = *holders
                        .lock()
                        .unwrap()
                        .entry(held.fence)
                        .or_insert(candidate);
                    assert_eq!(
                        first, candidate,
                        "two candidates hold the lease with fencing number {}",
                        held.fence
                    );
                }
            })
        })
        .collect();
    for candidate in candidates {
        candidate.join().unwrap();
    }
}

#[test]
fn a_fencing_number_has_one_holder_under_all_explored_schedules() {
    check(|| scenario(Fault::None));
}

#[test]
fn the_checker_detects_a_shared_fencing_number() {
    assert!(finds_fault(|| scenario(Fault::UnconditionalWrite)));
}
