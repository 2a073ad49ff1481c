//! `clementinearch check`.

use super::Check;
use crate::{error::Error, settings::Settings};

impl Check {
    /// Checks the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or with all findings in it.
    pub(crate) fn run(self) -> Result<(), Error> {
        let settings = Settings::read(&self.settings)?;
        println!(
            "{}: settings of entry host {} are valid",
            self.settings.display(),
            settings.name
        );
        Ok(())
    }
}
