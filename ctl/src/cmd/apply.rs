//! `clemctl apply`: writes lists to the store as one edit.

use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use clementinearch_border::Head;
use clementinearch_policy::{config_head::EditRefusal, time::Millis};
use clementinearch_storage::{EditError, EditOutcome, ItemWrite, read_head, write_edit};
use serde_json::json;
use uuid::Uuid;

use super::{Apply, store_at};
use crate::{
    error::Error,
    lists::{self, Items},
    output,
};

impl Apply {
    /// Writes the lists as one edit, and prints the resulting revision. With `--prune`, items without a
    /// list are removed.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let items = lists::read(&self.lists)?;
        let store = store_at(self.store);
        let edit_id = self
            .edit_id
            .clone()
            .unwrap_or_else(|| Uuid::now_v7().to_string());
        let (head, _) = read_head(&store)?;
        let writes = self.writes(&items, &head)?;
        let outcome = write_edit(&store, &edit_id, &writes, now());
        if let Err(EditError::Store(e)) = outcome {
            eprintln!("clemctl: to retry safely, pass --edit-id {edit_id}");
            return Err(e.into());
        }
        let (state, revision) = match outcome? {
            EditOutcome::Accepted { revision } => ("accepted", revision),
            EditOutcome::AlreadyAccepted { revision } => ("already accepted", revision),
            EditOutcome::Unchanged { revision } => ("unchanged", revision),
        };
        if self.json {
            output::print_json(
                &json!({ "state": state, "revision": revision, "edit_id": edit_id }),
            );
        } else {
            println!("{state}: revision {revision}, edit id {edit_id}");
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Returns the writes of the edit, each based on the item's revision in `head`.
    ///
    /// # Errors
    ///
    /// Returns a conflict if an item was changed after the revision given by `--expect`.
    fn writes(&self, items: &Items, head: &Head) -> Result<Vec<ItemWrite>, Error> {
        let revision_of = |item: &str| head.items.get(item).map_or(0, |entry| entry.revision);
        let removed = head
            .items
            .keys()
            .filter(|item| self.prune && !items.contains_key(*item));
        let removals = removed.map(|item| (item.clone(), None));
        let changes = items
            .iter()
            .map(|(item, text)| (item.clone(), Some(text.clone())));
        let mut writes = Vec::new();
        for (item, text) in changes.chain(removals) {
            let found = revision_of(&item);
            match self.expect {
                Some(expected) if found > expected => {
                    return Err(EditError::Conflict(EditRefusal::Conflict {
                        item,
                        expected,
                        found,
                    })
                    .into());
                }
                _ => writes.push(ItemWrite {
                    item,
                    text,
                    expected: Some(found),
                }),
            }
        }
        Ok(writes)
    }
}

/// Returns the time since the Unix epoch.
fn now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(elapsed.as_millis() as u64)
}
