//! `clemctl history`: prints accepted edits.

use std::process::ExitCode;

use clementinearch_storage::read_head;
use serde_json::json;

use super::{History, store_at};
use crate::{error::Error, output};

impl History {
    /// Prints the latest accepted edits, oldest first.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let (head, _) = read_head(&store_at(self.store))?;
        if self.json {
            output::print_json(&json!({ "revision": head.revision, "edits": head.edits }));
            return Ok(ExitCode::SUCCESS);
        }
        println!(
            "{:<9} {:<14} {:<37} ITEMS",
            "REVISION", "AT (MS)", "EDIT ID"
        );
        for edit in &head.edits {
            println!(
                "{:<9} {:<14} {:<37} {}",
                edit.revision,
                edit.at_ms,
                edit.id,
                edit.items.join(" ")
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}
