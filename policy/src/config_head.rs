//! Edits of the configuration head: the one value whose compare-and-swap accepts a change.

use std::collections::HashMap;

use clementinearch_border::{EditEntry, Head, HeadItem};
use derive_more::{Display, Error};

use crate::time::Millis;

/// Accepted edits that the head remembers; older ones can no longer be recognised.
pub const MAX_RECORDED_EDITS: usize = 256;

/// What an edit does to one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// Item name, such as `plan/studio`.
    pub item: String,
    /// Digest of the new body; absent if the item is removed.
    pub digest: Option<String>,
    /// Revision that the writer saw for this item: zero if it did not exist, absent if any will do.
    pub expected: Option<u64>,
}

/// An operator's edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Distinguishes this edit from every other one, also when it is sent again.
    pub id: String,
    /// Changes that are accepted together or not at all.
    pub changes: Vec<ItemChange>,
}

/// Why an edit produces no new head.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EditRefusal {
    /// The head already holds this edit.
    #[display("edit was already accepted as revision {revision}")]
    AlreadyAccepted {
        /// Revision that the edit produced.
        revision: u64,
    },
    /// Another edit changed the item first.
    #[display("{item} is at revision {found}, expected {expected}")]
    Conflict {
        /// Item that differs.
        item: String,
        /// Revision that the writer saw.
        expected: u64,
        /// Revision in the head.
        found: u64,
    },
    /// The head already says what the edit asks for.
    #[display("nothing to change")]
    NoChange,
}

/// The head before the first edit.
pub fn empty_head() -> Head {
    Head {
        revision: 0,
        items: HashMap::new(),
        edits: Vec::new(),
    }
}

/// Store key of the body of `item` with this digest.
pub fn body_key(item: &str, digest: &str) -> String {
    format!("config/body/{item}/{digest}")
}

/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// The head that accepting `edit` produces.
///
/// # Errors
///
/// Returns why the edit changes nothing; see [`EditRefusal`].
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
