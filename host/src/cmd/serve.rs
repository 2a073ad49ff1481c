//! `clementinearch serve`.

use std::sync::Arc;

use clementinearch_storage::HttpStore;

use super::Serve;
use crate::{error::Error, host, settings::Settings, telemetry};

impl Serve {
    /// Runs the entry host until its graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or have findings, or the host can't start.
    pub(crate) fn run(self) -> Result<(), Error> {
        let settings = Settings::read(&self.settings)?;
        let telemetry = telemetry::start(&settings)?;
        let store =
            HttpStore::new(settings.store, &settings.name).with_timeout(settings.store_timeout);
        let store = Arc::new(store);
        host::run(settings, store.clone(), store, &telemetry)
    }
}
