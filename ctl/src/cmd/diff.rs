//! `clemctl diff`: compares lists with the accepted items.

use std::process::ExitCode;

use clementinearch_border::Head;
use clementinearch_policy::config_head::body_key;
use clementinearch_storage::{Purpose, Store, read_head};
use similar::TextDiff;

use super::{Diff, store_at};
use crate::{
    error::{EXIT_NEGATIVE, Error},
    lists,
};

impl Diff {
    /// Prints a unified diff from the accepted items to the lists. The exit code is 1 if a list differs
    /// from its accepted item; accepted items without a list are only mentioned.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let items = lists::read(&self.lists)?;
        let store = store_at(self.store);
        let (head, _) = read_head(&store)?;
        let mut differs = false;
        for (item, text) in &items {
            let accepted = accepted_text(&store, &head, item)?;
            differs |= accepted != *text;
            print!("{}", unified_diff(item, &accepted, text));
        }
        let mut only_accepted: Vec<&String> = head
            .items
            .keys()
            .filter(|item| !items.contains_key(*item))
            .collect();
        only_accepted.sort();
        for item in only_accepted {
            println!(
                "# {item} is accepted but not in the lists; apply keeps it unless --prune is given"
            );
        }
        Ok(if differs {
            ExitCode::from(EXIT_NEGATIVE)
        } else {
            ExitCode::SUCCESS
        })
    }
}

/// Returns the accepted text of an item; empty if there is none.
fn accepted_text(store: &dyn Store, head: &Head, item: &str) -> Result<String, Error> {
    let Some(entry) = head.items.get(item) else {
        return Ok(String::new());
    };
    let body = store.get(&body_key(item, &entry.digest), Purpose::Operator)?;
    Ok(body.map(|body| body.value).unwrap_or_default())
}

fn unified_diff(item: &str, accepted: &str, listed: &str) -> String {
    let diff = TextDiff::from_lines(accepted, listed);
    diff.unified_diff()
        .header(&format!("accepted/{item}"), &format!("lists/{item}"))
        .to_string()
}
