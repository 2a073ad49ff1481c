//! `clementinearch check`.

use super::Check;
use crate::{error::Error, settings::Settings};

impl Check {
    /// Reads the settings and reports every finding.
    pub(crate) fn run(self) -> Result<(), Error> {
        let settings = Settings::read(&self.settings)?;
        println!(
            "{}: settings of entry host {} are sound",
            self.settings.display(),
            settings.name
        );
        Ok(())
    }
}
