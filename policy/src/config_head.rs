//! Edits of the configuration head, the single stored value whose compare-and-swap accepts a
//! change.

use std::collections::HashMap;

use clementinearch_border::{EditEntry, Head, HeadItem};
use derive_more::{Display, Error};

use crate::time::Millis;

/// Number of accepted edits recorded in the head; a resend of an older edit is not recognised.
pub const MAX_RECORDED_EDITS: usize = 256;

/// Change of one item by an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// Item name, such as `plan/studio`.
    pub item: String,
    /// Digest of the new body; `None` removes the item.
    pub digest: Option<String>,
    /// Revision of the item that the writer expects: zero if the item should not exist, `None` if
    /// any revision is acceptable.
    pub expected: Option<u64>,
}

/// An operator's edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Unique id of the edit, which stays the same when it is resent.
    pub id: String,
    /// Changes, which are accepted all together or not at all.
    pub changes: Vec<ItemChange>,
}

/// Reason why an edit produces no new head.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EditRefusal {
    /// The edit was accepted before.
    #[display("edit was already accepted as revision {revision}")]
    AlreadyAccepted {
        /// Revision that the edit produced.
        revision: u64,
    },
    /// The item is at a revision other than the expected one.
    #[display("{item} is at revision {found}, expected {expected}")]
    Conflict {
        /// Name of the item.
        item: String,
        /// Revision that the writer expected.
        expected: u64,
        /// Revision in the head.
        found: u64,
    },
    /// All items already have the requested bodies.
    #[display("nothing to change")]
    NoChange,
}

/// Returns the head as it is before the first edit.
pub fn empty_head() -> Head {
    Head {
        revision: 0,
        items: HashMap::new(),
        edits: Vec::new(),
    }
}

/// Returns the store key of the body of `item` with this digest.
pub fn body_key(item: &str, digest: &str) -> String {
    format!("config/body/{item}/{digest}")
}

/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Returns the head that results from applying `edit` at `now`.
///
/// # Errors
///
/// Fails if the edit was already accepted, conflicts with the head or changes nothing.
pub fn apply_edit(head: &Head, edit: &Edit, now: Millis) -> Result<Head, EditRefusal> {
    if let Some(entry) = head.edits.iter().find(|entry| entry.id == edit.id) {
        return Err(EditRefusal::AlreadyAccepted {
            revision: entry.revision,
        });
    }
    for change in &edit.changes {
        let found = head.items.get(&change.item).map_or(0, |item| item.revision);
        match change.expected {
            Some(expected) if expected != found => {
                return Err(EditRefusal::Conflict {
                    item: change.item.clone(),
                    expected,
                    found,
                });
            }
            _ => {}
        }
    }
    let revision = head.revision + 1;
    let mut next = head.clone();
    let mut changed = Vec::new();
    for change in &edit.changes {
        let current = head.items.get(&change.item).map(|item| &item.digest);
        if current == change.digest.as_ref() {
            continue;
        }
        changed.push(change.item.clone());
        match &change.digest {
            Some(digest) => {
                let item = HeadItem {
                    revision,
                    digest: digest.clone(),
                };
                next.items.insert(change.item.clone(), item);
            }
            None => {
                next.items.remove(&change.item);
            }
        }
    }
    if changed.is_empty() {
        return Err(EditRefusal::NoChange);
    }
    next.revision = revision;
    next.edits.push(EditEntry {
        id: edit.id.clone(),
        revision,
        at_ms: now.0,
        items: changed,
    });
    let surplus = next.edits.len().saturating_sub(MAX_RECORDED_EDITS);
    next.edits.drain(..surplus);
    Ok(next)
}
