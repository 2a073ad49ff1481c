//! Writes configuration: bodies first, then the one compare-and-swap that accepts the edit.

use clementinearch_border::Head;
use clementinearch_policy::{
    config_head::{self, Edit, EditRefusal, HEAD_KEY, ItemChange, body_key},
    names::digest_hex,
    time::Millis,
};
use derive_more::{Display, Error, From};

use crate::store::{Purpose, PutOutcome, Store, StoreError};

/// One item as an operator writes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWrite {
    /// Item name, such as `plan/studio`.
    pub item: String,
    /// New body; absent to remove the item.
    pub text: Option<String>,
    /// Revision of the item that the operator saw, if that matters.
    pub expected: Option<u64>,
}

/// An edit that is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted now.
    Accepted {
        /// Revision that it produced.
        revision: u64,
    },
    /// Accepted by an earlier call with the same edit id.
    AlreadyAccepted {
        /// Revision that it produced.
        revision: u64,
    },
    /// The head already says what the edit asks for.
    Unchanged {
        /// Revision of the head.
        revision: u64,
    },
}

/// Why an edit was not accepted, or is not known to be.
#[derive(Debug, Display, Error, From)]
pub enum EditError {
    /// Another edit came first.
    #[display("conflict: {_0}")]
    Conflict(EditRefusal),
    /// The store gave no answer; the same edit id can be asked again safely.
    #[display("{_0}")]
    Store(StoreError),
    /// The head in the store cannot be read.
    #[display("the value of {HEAD_KEY} is not a head: {_0}")]
    #[from(ignore)]
    BadHead(#[error(not(source))] String),
    /// Other edits kept winning.
    #[display("gave up after {attempts} attempts against other edits; nothing was written")]
    #[from(ignore)]
    Contended {
        /// Attempts made.
        attempts: u32,
    },
}

/// Compare-and-swap attempts before an edit gives up against others.
const MAX_ATTEMPTS: u32 = 32;

/// Reads the head and its version in the store; a missing head is the empty one at version zero.
///
/// # Errors
///
/// Returns a store error, or that the value is no head.
pub fn read_head(store: &dyn Store) -> Result<(Head, u64), EditError> {
    match store.get(HEAD_KEY, Purpose::Operator)? {
        None => Ok((config_head::empty_head(), 0)),
        Some(found) => {
            let head = serde_json::from_str(&found.value)
                .map_err(|e| EditError::BadHead(e.to_string()))?;
            Ok((head, found.version))
        }
    }
}

/// Writes an edit. After a lost answer the head is read again and searched for the edit id.
///
/// # Errors
///
/// Returns why the edit is not known to be accepted; see [`EditError`].
pub fn write_edit(
    store: &dyn Store,
    edit_id: &str,
    writes: &[ItemWrite],
    now: Millis,
) -> Result<EditOutcome, EditError> {
    let mut changes = Vec::new();
    for write in writes {
        let digest = write.text.as_ref().map(|text| digest_hex(text.as_bytes()));
        if let (Some(text), Some(digest)) = (&write.text, &digest) {
            write_body(store, &body_key(&write.item, digest), text)?;
        }
        changes.push(ItemChange {
            item: write.item.clone(),
            digest,
            expected: write.expected,
        });
    }
    let edit = Edit {
        id: edit_id.to_owned(),
        changes,
    };
    for _ in 0..MAX_ATTEMPTS {
        let (current, version) = read_head(store)?;
        let next = match config_head::apply_edit(&current, &edit, now) {
            Ok(next) => next,
            Err(EditRefusal::AlreadyAccepted { revision }) => {
                return Ok(EditOutcome::AlreadyAccepted { revision });
            }
            Err(EditRefusal::NoChange) => {
                return Ok(EditOutcome::Unchanged {
                    revision: current.revision,
                });
            }
            Err(conflict) => return Err(conflict.into()),
        };
        let value = serde_json::to_string(&next).map_err(|e| EditError::BadHead(e.to_string()))?;
        match store.put(HEAD_KEY, version, &value, None, Purpose::Operator) {
            Ok(PutOutcome::Written { .. }) => {
                return Ok(EditOutcome::Accepted {
                    revision: next.revision,
                });
            }
            // The next round reads the head again and finds the edit id if the write took effect.
            Ok(PutOutcome::Conflict(_)) | Err(StoreError::Unknown { .. }) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(EditError::Contended {
        attempts: MAX_ATTEMPTS,
    })
}

/// Writes a body. Its key holds its digest, so that writing it again is harmless and a conflict
/// means that the same body is there already.
fn write_body(store: &dyn Store, key: &str, text: &str) -> Result<(), StoreError> {
    let mut attempts = MAX_ATTEMPTS;
    loop {
        attempts -= 1;
        match store.put(key, 0, text, None, Purpose::Operator) {
            Ok(_) => return Ok(()),
            Err(StoreError::Unknown { .. }) if attempts > 0 => {}
            Err(e) => return Err(e),
        }
    }
}
