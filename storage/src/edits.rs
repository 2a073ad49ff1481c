//! Configuration edits: item bodies are written first, then one compare-and-swap of the head
//! accepts the edit.

use clementinearch_border::Head;
use clementinearch_policy::{
    config_head::{self, Edit, EditRefusal, HEAD_KEY, ItemChange, body_key},
    names::digest_hex,
    time::Millis,
};
use derive_more::{Display, Error, From};

use crate::{
    key_store::check_revision,
    store::{Purpose, PutOutcome, Store, StoreError},
};

/// An operator's change to one configuration item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWrite {
    /// Item name, such as `plan/studio`.
    pub item: String,
    /// New body; `None` to remove the item.
    pub text: Option<String>,
    /// Revision that the item must still have; `None` to overwrite any.
    pub expected: Option<u64>,
}

/// Result of an edit that is in effect in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted by this call.
    Accepted {
        /// Revision that it produced.
        revision: u64,
    },
    /// Accepted by an earlier call with the same edit id.
    AlreadyAccepted {
        /// Revision that it produced.
        revision: u64,
    },
    /// The head already has the requested content.
    Unchanged {
        /// Revision of the head.
        revision: u64,
    },
}

/// Reason why an edit was rejected, or why its outcome is unknown.
#[derive(Debug, Display, Error, From)]
pub enum EditError {
    /// Rejected because of an earlier edit.
    #[display("conflict: {_0}")]
    Conflict(EditRefusal),
    /// A store call failed; retrying the edit with the same id is safe.
    #[display("{_0}")]
    Store(StoreError),
    /// The stored head is malformed.
    #[display("the value of {HEAD_KEY} is not a valid head: {_0}")]
    #[from(ignore)]
    BadHead(#[error(not(source))] String),
    /// Each attempt met a concurrent edit or got no response.
    #[display("gave up after {attempts} attempts against concurrent edits; nothing was written")]
    #[from(ignore)]
    Contended {
        /// Number of attempts.
        attempts: u32,
    },
}

/// Compare-and-swap attempts per edit, and write attempts per body.
const MAX_ATTEMPTS: u32 = 32;

/// Reads the head and its version in the store; a missing head reads as an empty one at version
/// zero.
///
/// # Errors
///
/// Returns an error if the store fails or the stored value is malformed.
pub fn read_head(store: &dyn Store) -> Result<(Head, u64), EditError> {
    match store.get(HEAD_KEY, Purpose::Operator)? {
        None => Ok((config_head::empty_head(), 0)),
        Some(found) => {
            let head: Head = serde_json::from_str(&found.value)
                .map_err(|e| EditError::BadHead(e.to_string()))?;
            check_revision(head.revision).map_err(EditError::BadHead)?;
            Ok((head, found.version))
        }
    }
}

/// Writes an edit made at `now`. If the response to a compare-and-swap is lost, the next attempt
/// reads the head again and looks for `edit_id` among the accepted edits.
///
/// # Errors
///
/// Returns an [`EditError`] if the edit was rejected or its outcome is unknown.
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
            // If the write took effect, the next attempt finds the edit id in the head.
            Ok(PutOutcome::Conflict(_)) | Err(StoreError::Unknown { .. }) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(EditError::Contended {
        attempts: MAX_ATTEMPTS,
    })
}

/// Writes a body. Its key contains its digest, so retrying the write is safe and a conflict means
/// that the same body is already stored.
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
