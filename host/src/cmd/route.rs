//! `clementinearch route`.

use std::{
    env,
    ffi::OsString,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use clementinearch_platform::{PlatformDialect, PlatformStore, PlatformStoreSchema};
use clementinearch_router::Settings;

use super::Route;
use crate::error::Error;

/// Variable with the rate of the host's link, Mbit/s. Hosts of earlier versions, which do not know
/// the setting, refuse a file with it and pass the variable over.
const LINK_RATE_VARIABLE: &str = "CLEMENTINEARCH_LINK_MBPS";

/// Variable with the memory of the process, MB; see [`LINK_RATE_VARIABLE`].
const MEMORY_VARIABLE: &str = "CLEMENTINEARCH_MEMORY_MB";

/// Variable with the milliseconds after which an evacuated zone gets no more requests.
const EVACUATION_VARIABLE: &str = "CLEMENTINEARCH_EVACUATION_MS";

/// Variable with the regions of the zones, a JSON object of texts by zone.
const REGIONS_VARIABLE: &str = "CLEMENTINEARCH_REGIONS";

/// Variable with the path of the settings, where no option names it or the option's file is missing.
const SETTINGS_VARIABLE: &str = "CLEMENTINEARCH_SETTINGS";

/// How long a start waits for settings that cannot be read, and how often it tries: the file may be
/// written just then.
const SETTINGS_TIMEOUT: Duration = Duration::from_millis(500);
const SETTINGS_PERIOD: Duration = Duration::from_millis(50);

impl Route {
    /// Runs the entry host until its graceful shutdown is complete; with `--check`, only checks its
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or have findings, or the host can't start.
    pub(crate) fn run(self) -> Result<(), Error> {
        let path = settings_path(self.settings, env::var_os(SETTINGS_VARIABLE))?;
        let source = path.display().to_string();
        let mut settings = read_settings(&path);
        let end = Instant::now() + SETTINGS_TIMEOUT;
        while settings.is_err() && !self.check && Instant::now() < end {
            thread::sleep(SETTINGS_PERIOD);
            settings = read_settings(&path);
        }
        let settings = settings?;
        let variable = |name| env::var(name).unwrap_or_default();
        let settings = settings
            .with_link_rate(&variable(LINK_RATE_VARIABLE))
            .map_err(invalid(LINK_RATE_VARIABLE))?
            .with_memory(&variable(MEMORY_VARIABLE))
            .map_err(invalid(MEMORY_VARIABLE))?
            .with_evacuation(&variable(EVACUATION_VARIABLE))
            .map_err(invalid(EVACUATION_VARIABLE))?
            .with_regions(&variable(REGIONS_VARIABLE))
            .map_err(invalid(REGIONS_VARIABLE))?;
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

/// Returns the path of the settings: the option's if there is such a file or no other path.
fn settings_path(option: Option<PathBuf>, variable: Option<OsString>) -> Result<PathBuf, Error> {
    let named = variable.filter(|path| !path.is_empty()).map(PathBuf::from);
    match option {
        Some(path) if path.exists() => Ok(path),
        option => named.or(option).ok_or(Error::NoSettings),
    }
}

fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let source = path.display().to_string();
    Settings::parse(&source, &text).map_err(Error::Settings)
}
