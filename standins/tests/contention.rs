//! Store calls a claim: create-only records against shared records under compare-and-swap.
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

const SHARDS: usize = 16;
const ROUNDS: usize = 50;

/// Counts the calls that a strategy makes.
#[derive(Default)]
struct Counted {
    store: MemoryStore,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Store for Counted {
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

impl Counted {
    /// Reads and writes a claim.
    fn per_claim(&self, claims: usize) -> (f64, f64) {
        let share = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64 / claims as f64;
        (share(&self.reads), share(&self.writes))
    }
}

/// Each host takes and settles a claim of its own in each round.
fn create_only(hosts: usize) -> (f64, f64) {
    let store = Counted::default();
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
                panic!("a claim of its own is free");
            };
            assert!(settle_claim(
                &store,
                &claim,
                &completed_claim(claim.record(), 200, b"answer", Millis(2))
            ));
        }
    }
    store.per_claim(ROUNDS * hosts)
}

/// Each host adds an id to the record of its shard in each round; all of them read before any of
/// them writes, and those that lose read and write again.
fn shared_records(hosts: usize) -> (f64, f64) {
    let store = Counted::default();
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
    store.per_claim(ROUNDS * hosts)
}

#[test]
fn create_only_records_cost_the_same_at_every_size_and_shared_ones_do_not() {
    println!("hosts  create-only: reads writes   shared: reads writes");
    for hosts in [7, 28, 112, 320] {
        let (own, shared) = (create_only(hosts), shared_records(hosts));
        println!(
            "{hosts:5}  {:18.2} {:6.2}   {:13.2} {:6.2}",
            own.0, own.1, shared.0, shared.1
        );
        assert_eq!(
            own,
            (1.0, 2.0),
            "one write to claim, a read and a write to settle"
        );
        assert!(shared.1 >= 1.0);
    }
}
