//! `clemctl check`.

use std::process::ExitCode;

use super::Check;
use crate::{error::Error, lists};

impl Check {
    /// Reads the lists and reports every finding.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let items = lists::read(&self.lists)?;
        println!("{}: {} items are sound", self.lists.display(), items.len());
        Ok(ExitCode::SUCCESS)
    }
}
