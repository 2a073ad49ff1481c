//! Store calls per claim, with one create-only record per claim and with records shared by many
//! claims under compare-and-swap.
//!
//! `cargo test -p clementinearch-standins --test contention -- --nocapture` prints the table.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use clementinearch_policy::{
    claim::{completed_claim, new_claim},
    time::Millis,
};
use clementinearch_standins::memory_store::MemoryStore;
use clementinearch_storage::{
    ClaimOutcome, Purpose, PutOutcome, Store, StoreError, Versioned, acquire_claim, settle_claim,
};

/// Number of shared records.
const SHARDS: usize = 16;
const ROUNDS: usize = 50;

/// Store that counts reads and writes.
#[derive(Default)]
struct CountingStore {
    store: MemoryStore,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Store for CountingStore {
    fn get(&self, key: &str, purpose: Purpose) -> Result<Option<Versioned>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.store.get(key, purpose)
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
        purpose: Purpose,
    ) -> Result<Option<Versioned>, StoreError> {
        self.store.watch(key, after, wait, purpose)
    }

    fn put(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        ttl: Option<Duration>,
        purpose: Purpose,
    ) -> Result<PutOutcome, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.store.put(key, expected, value, ttl, purpose)
    }
}

impl CountingStore {
    /// Returns the mean numbers of reads and writes per claim.
    fn calls_per_claim(&self, claims: usize) -> (f64, f64) {
        let mean = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64 / claims as f64;
        (mean(&self.reads), mean(&self.writes))
    }
}

/// Lets each host acquire and settle one claim with its own key per round; returns the mean numbers
/// of reads and writes per claim.
fn measure_create_only_records(hosts: usize) -> (f64, f64) {
    let store = CountingStore::default();
    for round in 0..ROUNDS {
        for host in 0..hosts {
            let wanted = new_claim(
                format!("{host}"),
                String::new(),
                "digest".to_owned(),
                Millis(1),
            );
            let Ok(ClaimOutcome::Acquired(claim)) =
                acquire_claim(&store, &format!("claim/{round}/{host}"), &wanted)
            else {
                panic!("claim not acquired, although no other host uses its key");
            };
            assert!(settle_claim(
                &store,
                &claim,
                &completed_claim(claim.record(), 200, b"answer", Millis(2))
            ));
        }
    }
    store.calls_per_claim(ROUNDS * hosts)
}

/// Lets each host append one id to the record of a random shard per round; returns the mean numbers
/// of reads and writes per claim. All hosts read before any writes, and those with a conflict retry
/// both.
fn measure_shared_records(hosts: usize) -> (f64, f64) {
    let store = CountingStore::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for round in 0..ROUNDS {
        let mut waiting: Vec<(usize, String)> = (0..hosts)
            .map(|host| (rng.usize(..SHARDS), format!("{round}.{host} ")))
            .collect();
        while !waiting.is_empty() {
            rng.shuffle(&mut waiting);
            let key = |shard: usize| format!("claims/{shard}");
            let read =
                |(shard, _): &(usize, String)| store.get(&key(*shard), Purpose::Claim).unwrap();
            let seen: Vec<Option<Versioned>> = waiting.iter().map(read).collect();
            let mut seen = seen.into_iter();
            waiting.retain(|(shard, id)| {
                let (version, text) = seen
                    .next()
                    .flatten()
                    .map_or((0, String::new()), |it| (it.version, it.value));
                let outcome = store
                    .put(&key(*shard), version, &(text + id), None, Purpose::Claim)
                    .unwrap();
                matches!(outcome, PutOutcome::Conflict(_))
            });
        }
    }
    store.calls_per_claim(ROUNDS * hosts)
}

#[test]
fn create_only_records_take_the_same_number_of_calls_for_any_number_of_hosts() {
    println!("hosts  create-only: reads writes   shared: reads writes");
    for hosts in [7, 28, 112, 320] {
        let (create_only, shared) = (
            measure_create_only_records(hosts),
            measure_shared_records(hosts),
        );
        println!(
            "{hosts:5}  {:18.2} {:6.2}   {:13.2} {:6.2}",
            create_only.0, create_only.1, shared.0, shared.1
        );
        assert_eq!(
            create_only,
            (1.0, 2.0),
            "one write to acquire a claim, one read and one write to settle it"
        );
        assert!(shared.1 >= 1.0);
    }
}
