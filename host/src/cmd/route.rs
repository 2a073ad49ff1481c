//! `clementinearch route`.

use std::{fs, sync::Arc};

use clementinearch_platform::{PlatformDialect, PlatformStore, PlatformStoreSchema};
use clementinearch_router::Settings;

use super::Route;
use crate::error::Error;

impl Route {
    /// Runs the entry host until its graceful shutdown is complete; with `--check`, only checks its
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or have findings, or the host can't start.
    pub(crate) fn run(self) -> Result<(), Error> {
        let text = fs::read_to_string(&self.settings).map_err(|source| Error::Read {
            path: self.settings.clone(),
            source,
        })?;
        let source = self.settings.display().to_string();
        let settings = Settings::parse(&source, &text).map_err(Error::Settings)?;
        if self.check {
            println!(
                "{source}: settings of entry host {} are valid",
                settings.name
            );
            return Ok(());
        }
        let store = Arc::new(PlatformStore::new(settings.store));
        let dialect = Arc::new(PlatformDialect);
        clementinearch_router::run(settings, dialect, Arc::new(PlatformStoreSchema), store)
            .map_err(Error::Route)
    }
}
