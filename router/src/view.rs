//! One host's copy of the store: items by key, each at its latest known revision.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use clementinearch_policy::time::Millis;
use clementinearch_storage::{
    ItemChange, StorePosition, StoredItem, UnreadableItem, check_revision,
};
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

/// Time for which a lapsed entry is kept after the store's return: servers whose entries lapsed
/// during an outage have written them again by then.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Removals that are kept for peers; a peer that is further behind reads all items.
const MAX_KEPT_REMOVALS: usize = 512;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    value: Bytes,
    revision: u64,
    /// Revision of the last change that is relevant to peers: a server's heartbeat without a change
    /// is not.
    relevant_revision: u64,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Update {
    /// The item was written with this value.
    Written { key: String, value: Bytes },
    /// The store came back from a copy with this value, which may be older than the one known.
    Restored { key: String, value: Bytes },
    /// The item was removed.
    Removed { key: String },
    /// The item was removed, perhaps only because its lease lapsed while the store was unavailable.
    Lapsed { key: String },
}

impl Update {
    /// Returns the item's key.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Written { key, .. }
            | Self::Restored { key, .. }
            | Self::Removed { key }
            | Self::Lapsed { key } => key,
        }
    }
}

/// Items by key, the state of the store up to which they are complete, and recent removals. All
/// revisions are of the same era; of an item that only an earlier era had, or that is outdated, the revision
/// is zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    items: BTreeMap<String, Entry>,
    position: StorePosition,
    /// Removals that were seen right after an outage of the store, with the time at which they take
    /// effect.
    lapsed: BTreeMap<String, Millis>,
    /// Latest removals and their revisions, oldest first.
    removals: VecDeque<(String, u64)>,
    /// Removals up to this revision have been dropped from `removals`.
    removals_dropped_to: u64,
}

/// A value as hosts exchange it: most are text, which compresses better than base64.
#[derive(Debug, Serialize, Deserialize)]
enum RowValue {
    Text(String),
    Base64(String),
}

impl RowValue {
    fn new(value: &[u8]) -> Self {
        match std::str::from_utf8(value) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Base64(STANDARD.encode(value)),
        }
    }

    fn into_bytes(self) -> Result<Vec<u8>, base64::DecodeError> {
        match self {
            Self::Text(text) => Ok(text.into_bytes()),
            Self::Base64(text) => STANDARD.decode(text),
        }
    }
}

/// An item as hosts exchange it.
#[derive(Debug, Serialize, Deserialize)]
struct ItemRow {
    key: String,
    value: RowValue,
    revision: u64,
}

impl ItemRow {
    fn into_item(self) -> Result<StoredItem, String> {
        check_revision(self.revision)?;
        Ok(StoredItem {
            key: self.key,
            value: self.value.into_bytes().map_err(|e| e.to_string())?,
            revision: self.revision,
        })
    }
}

/// All items of a view or its changes since a revision, as hosts exchange them.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ViewDelta {
    /// Whether these are all items rather than changes.
    is_whole: bool,
    items: Vec<ItemRow>,
    removed: Vec<(String, u64)>,
}

/// The range of revisions that a [`ViewDelta`] covers: deltas of equal ranges hold the same
/// changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RevisionRange {
    /// Era of the revisions.
    era: u64,
    /// Revision of the last relevant change before the range; none if the delta holds all items.
    from: Option<u64>,
    /// Revision of the last relevant change in the range.
    to: u64,
}

impl View {
    /// Returns the state of the store up to which the view is complete; zero before the first read.
    pub(crate) fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the revision of an item; zero if there is none.
    pub(crate) fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |entry| entry.revision)
    }

    /// Whether the store has this value at `key`.
    pub(crate) fn holds(&self, key: &str, value: &[u8]) -> bool {
        let entry = self.items.get(key);
        entry.is_some_and(|entry| entry.value == value) && !self.lapsed.contains_key(key)
    }

    /// Marks the latest change of an item as relevant to peers.
    pub(crate) fn mark_relevant(&mut self, key: &str) {
        if let Some(entry) = self.items.get_mut(key) {
            entry.relevant_revision = entry.revision;
        }
    }

    /// Withholds an item from peers until it is written again, because its value is outdated.
    pub(crate) fn withhold(&mut self, key: &str) {
        if let Some(entry) = self.items.get_mut(key) {
            entry.revision = 0;
        }
    }

    /// Whether there is a change after `position` that is relevant to peers.
    pub(crate) fn has_relevant_change(&self, position: StorePosition) -> bool {
        position.era != self.position.era
            || self.relevant_revisions().any(|at| at > position.revision)
    }

    /// Replaces all items with those of a full read, unless the view is newer.
    ///
    /// `grace_from` is the end of a recent outage of the store, if there was one.
    pub(crate) fn replace(
        &mut self,
        items: Vec<StoredItem>,
        position: StorePosition,
        grace_from: Option<Millis>,
    ) -> Vec<Update> {
        if position < self.position {
            return Vec::new();
        }
        if position.era > self.position.era && self.position.revision != 0 {
            self.begin_era(position.revision);
        }
        self.position = position;
        let mut updates = Vec::new();
        let mut missing: BTreeMap<String, ()> =
            self.items.keys().map(|key| (key.clone(), ())).collect();
        for item in items {
            missing.remove(&item.key);
            self.write(item, &mut updates);
        }
        for key in missing.into_keys() {
            self.remove(key, position.revision, grace_from, &mut updates);
        }
        updates
    }

    /// Begins an era in which a full read at `revision` is the first. Revisions of the earlier one
    /// mean nothing any more.
    fn begin_era(&mut self, revision: u64) {
        for entry in self.items.values_mut() {
            entry.revision = 0;
            entry.relevant_revision = revision;
        }
        self.removals.clear();
        self.removals_dropped_to = revision;
    }

    /// Returns all items.
    pub(crate) fn all(&self) -> Vec<Update> {
        let written = |(key, entry): (&String, &Entry)| Update::Written {
            key: key.clone(),
            value: entry.value.clone(),
        };
        self.items.iter().map(written).collect()
    }

    /// Applies changes, unless they are of another era; `grace_from` is as in [`Self::replace`].
    pub(crate) fn apply(
        &mut self,
        changes: Vec<ItemChange>,
        position: StorePosition,
        grace_from: Option<Millis>,
    ) -> Vec<Update> {
        if position.era != self.position.era {
            return Vec::new();
        }
        self.position = self.position.max(position);
        let mut updates = Vec::new();
        for change in changes {
            match change {
                ItemChange::Written(item) => self.write(item, &mut updates),
                ItemChange::Removed { key, revision } => {
                    self.remove(key, revision, grace_from, &mut updates);
                }
            }
        }
        updates
    }

    fn write(&mut self, item: StoredItem, updates: &mut Vec<Update>) {
        let was_lapsed = self.lapsed.remove(&item.key).is_some();
        let known = self.items.get(&item.key);
        if known.is_some_and(|entry| entry.revision >= item.revision) {
            return;
        }
        let value = Bytes::from(item.value);
        let relevant_revision = match known {
            Some(entry) if !was_lapsed => entry.relevant_revision,
            _ => item.revision,
        };
        let entry = Entry {
            value: value.clone(),
            revision: item.revision,
            relevant_revision,
        };
        let is_of_earlier_era = known.is_some_and(|entry| entry.revision == 0) && !was_lapsed;
        let is_restored = is_of_earlier_era && known.is_some_and(|entry| entry.value != value);
        self.items.insert(item.key.clone(), entry);
        let key = item.key;
        updates.push(if is_restored {
            Update::Restored { key, value }
        } else {
            Update::Written { key, value }
        });
    }

    fn remove(
        &mut self,
        key: String,
        revision: u64,
        grace_from: Option<Millis>,
        updates: &mut Vec<Update>,
    ) {
        let is_present = self
            .items
            .get(&key)
            .is_some_and(|entry| entry.revision <= revision);
        if !is_present {
            return;
        }
        if let Some(since) = grace_from {
            self.lapsed
                .entry(key.clone())
                .or_insert(since.after(LAPSE_GRACE));
            updates.push(Update::Lapsed { key });
            return;
        }
        self.drop_item(key, revision, updates);
    }

    fn drop_item(&mut self, key: String, revision: u64, updates: &mut Vec<Update>) {
        self.items.remove(&key);
        self.lapsed.remove(&key);
        self.removals.push_back((key.clone(), revision));
        if self.removals.len() > MAX_KEPT_REMOVALS
            && let Some((_, at)) = self.removals.pop_front()
        {
            self.removals_dropped_to = at;
        }
        updates.push(Update::Removed { key });
    }

    /// Removes lapsed items that were not written again in time.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Update> {
        let due = self.lapsed.iter().filter(|(_, at)| **at <= now);
        let due: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        let mut updates = Vec::new();
        for key in due {
            self.drop_item(key, self.position.revision, &mut updates);
        }
        updates
    }

    /// Revisions of the changes that are relevant to peers, in no order.
    fn relevant_revisions(&self) -> impl Iterator<Item = u64> {
        let written = self.items.values().map(|entry| entry.relevant_revision);
        written.chain(self.removals.iter().map(|(_, at)| *at))
    }

    /// Returns the range of changes that a peer needs whose view is complete up to `after`.
    pub(crate) fn range_after(&self, after: StorePosition) -> RevisionRange {
        let is_of_era = after.era == self.position.era;
        let after = if is_of_era { after.revision } else { 0 };
        let is_whole = after == 0 || after < self.removals_dropped_to;
        let known = self.relevant_revisions().filter(|at| *at <= after);
        RevisionRange {
            era: self.position.era,
            from: (!is_whole).then(|| known.max().unwrap_or(0)),
            to: self.relevant_revisions().max().unwrap_or(0),
        }
    }

    /// Returns the changes of a range that [`Self::range_after`] has just returned.
    pub(crate) fn delta(&self, range: RevisionRange) -> ViewDelta {
        let is_whole = range.from.is_none();
        let after = range.from.unwrap_or(0);
        let wanted = self
            .items
            .iter()
            // Peers that still have an item which the store has lost find that it is missing.
            .filter(|(_, entry)| entry.revision != 0)
            .filter(|(_, entry)| is_whole || entry.relevant_revision > after);
        let row = |(key, entry): (&String, &Entry)| ItemRow {
            key: key.clone(),
            value: RowValue::new(&entry.value),
            revision: entry.revision,
        };
        let removed = self.removals.iter().filter(|(_, at)| *at > after);
        ViewDelta {
            is_whole,
            items: wanted.map(row).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Merges a delta of a peer whose view is complete up to `position`; `now` is the time from which
    /// items may still be written again that the store lost. Returns the updates, and the items that
    /// cannot be read.
    pub(crate) fn merge(
        &mut self,
        delta: ViewDelta,
        position: StorePosition,
        now: Millis,
    ) -> (Vec<Update>, Vec<UnreadableItem>) {
        let grace_from = (position.era > self.position.era).then_some(now);
        let mut items = Vec::with_capacity(delta.items.len());
        let mut unreadable = Vec::new();
        for row in delta.items {
            let key = row.key.clone();
            match row.into_item() {
                Ok(item) => items.push(item),
                Err(why) => unreadable.push(UnreadableItem { key, why }),
            }
        }
        if delta.is_whole {
            return (self.replace(items, position, grace_from), unreadable);
        }
        let mut changes: Vec<ItemChange> = items.into_iter().map(ItemChange::Written).collect();
        for (key, revision) in delta.removed {
            match check_revision(revision) {
                Ok(revision) => changes.push(ItemChange::Removed { key, revision }),
                Err(why) => unreadable.push(UnreadableItem { key, why }),
            }
        }
        (self.apply(changes, position, None), unreadable)
    }
}
