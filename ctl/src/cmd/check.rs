//! `clemctl check`: checks lists without a store.

use std::process::ExitCode;

use super::Check;
use crate::{error::Error, lists};

impl Check {
    /// Reads the lists and reports all findings.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let items = lists::read(&self.lists)?;
        println!("{}: {} items are valid", self.lists.display(), items.len());
        Ok(ExitCode::SUCCESS)
    }
}
