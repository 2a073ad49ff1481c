//! `clementinearch route`.

use std::{env, fs, sync::Arc};

use clementinearch_platform::{PlatformDialect, PlatformStore, PlatformStoreSchema};
use clementinearch_router::Settings;

use super::Route;
use crate::error::Error;

/// Variable with the rate of the host's link, Mbit/s. Hosts of earlier versions, which do not know
/// the setting, refuse a file with it and pass the variable over.
const LINK_RATE_VARIABLE: &str = "CLEMENTINEARCH_LINK_MBPS";

/// Variable with the memory of the process, MB; see [`LINK_RATE_VARIABLE`].
const MEMORY_VARIABLE: &str = "CLEMENTINEARCH_MEMORY_MB";

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
        let variable = |name| env::var(name).unwrap_or_default();
        let settings = settings
            .with_link_rate(&variable(LINK_RATE_VARIABLE))
            .map_err(invalid(LINK_RATE_VARIABLE))?
            .with_memory(&variable(MEMORY_VARIABLE))
            .map_err(invalid(MEMORY_VARIABLE))?;
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

/// Returns how what is wrong with the variable `name` becomes an error.
fn invalid(name: &'static str) -> impl FnOnce(String) -> Error {
    move |reason| Error::Variable { name, reason }
}
