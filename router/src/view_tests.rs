//! Views of a store that changes at random and comes back from copies of itself.

use std::{collections::BTreeMap, time::Duration};

use clementinearch_policy::time::Millis;
use clementinearch_storage::{ItemChange, StorePosition, StoredItem};

use crate::view::{Update, View};

const SEEDS: u64 = 2_000;
const STEPS: usize = 60;
const KEYS: usize = 6;

/// Longer than any item is kept that a store has lost.
const GRACE: Duration = Duration::from_secs(10);

type Items = BTreeMap<String, (Vec<u8>, u64)>;

/// A store that gives out its revisions again after it has come back.
#[derive(Clone, Default)]
struct Store {
    items: Items,
    history: Vec<ItemChange>,
    position: StorePosition,
}

impl Store {
    fn put(&mut self, key: String, value: Vec<u8>) {
        self.position.revision += 1;
        let revision = self.position.revision;
        self.items.insert(key.clone(), (value.clone(), revision));
        self.history.push(ItemChange::Written(StoredItem {
            key,
            value,
            revision,
        }));
    }

    fn remove(&mut self, key: String) {
        if self.items.remove(&key).is_some() {
            self.position.revision += 1;
            let revision = self.position.revision;
            self.history.push(ItemChange::Removed { key, revision });
        }
    }

    fn restore(&mut self, copy: &Self) {
        let era = self.position.era + 1;
        *self = copy.clone();
        self.position.era = era;
    }

    fn all(&self) -> Vec<StoredItem> {
        let item = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| StoredItem {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        self.items.iter().map(item).collect()
    }

    fn changes_after(&self, revision: u64) -> Vec<ItemChange> {
        let is_newer = |change: &&ItemChange| change.revision() > revision;
        self.history.iter().filter(is_newer).cloned().collect()
    }
}

/// Reads the store as a host does: all items in a new era, else the changes.
fn read(view: &mut View, store: &Store, now: Millis) {
    let known = view.position();
    if known.revision == 0 || known.era != store.position.era {
        let grace = (known.revision != 0).then_some(now);
        let updates = view.replace(store.all(), store.position, grace);
        mark_relevant(view, &updates);
    } else {
        let changes = store.changes_after(known.revision);
        let updates = view.apply(changes, store.position, None);
        mark_relevant(view, &updates);
    }
}

/// Marks all changes as relevant to peers.
fn mark_relevant(view: &mut View, updates: &[Update]) {
    for update in updates {
        view.mark_relevant(update.key());
    }
}

/// Reads another host's view.
fn follow(view: &mut View, relay: &View, now: Millis) {
    let delta = relay.delta(relay.range_after(view.position()));
    let (updates, unreadable) = view.merge(delta, relay.position(), now);
    mark_relevant(view, &updates);
    assert!(unreadable.is_empty());
}

fn check(view: &View, store: &Store, seed: u64) {
    let keys: Vec<String> = (0..KEYS).map(|number| format!("key-{number}")).collect();
    for key in &keys {
        let expected = store.items.get(key);
        let is_there = expected.is_some_and(|(value, _)| view.holds(key, value));
        assert!(is_there || expected.is_none(), "seed {seed}: {key} differs");
        let revision = expected.map_or(0, |(_, revision)| *revision);
        assert_eq!(view.revision_of(key), revision, "seed {seed}: {key}");
    }
    assert_eq!(view.position(), store.position, "seed {seed}");
}

/// Guards against views that go on with revisions of an earlier era, whose items a store has lost that
/// came back from a copy.
#[test]
fn views_agree_with_a_store_that_comes_back_from_copies() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut store = Store::default();
        store.put("key-0".to_owned(), Vec::new());
        let mut copy = store.clone();
        let (mut reader, mut follower) = (View::default(), View::default());
        read(&mut reader, &store, Millis(0));
        read(&mut follower, &store, Millis(0));
        let mut now = Millis(0);
        for step in 0..STEPS {
            now = now.after(Duration::from_millis(random.u64(0..400)));
            let key = format!("key-{}", random.usize(..KEYS));
            match random.u8(..14) {
                0..5 => store.put(key, vec![step as u8]),
                5 => store.remove(key),
                6 => copy = store.clone(),
                7 => store.restore(&copy),
                8..11 => read(&mut reader, &store, now),
                11..13 => follow(&mut follower, &reader, now),
                _ => read(&mut follower, &store, now),
            }
            reader.expire(now);
            follower.expire(now);
        }
        read(&mut reader, &store, now);
        now = now.after(GRACE);
        reader.expire(now);
        follow(&mut follower, &reader, now);
        now = now.after(GRACE);
        follower.expire(now);
        check(&reader, &store, seed);
        check(&follower, &store, seed);
    }
}
