//! Error type of the program and its exit codes.

use std::{io, path::PathBuf, process::ExitCode};

use clementinearch_policy::findings::Findings;
use clementinearch_router::StartError;
use derive_more::{Display, Error};

/// Exit code if the settings have findings.
const EXIT_FINDINGS: u8 = 2;

/// Reason why the program ends without success.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// A file could not be read.
    #[display("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// No settings file is named.
    #[display("no settings: give --settings FILE or set CLEMENTINEARCH_SETTINGS")]
    NoSettings,
    /// The settings have findings.
    #[display("invalid settings:\n{_0}")]
    Settings(Findings),
    /// An environment variable has a value that cannot be used.
    #[display("{name}: {reason}")]
    Variable {
        /// Name of the variable.
        name: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
    /// An address could not be bound, or a thread could not be started.
    #[display("cannot {action}: {source}")]
    Io {
        /// Action that failed, such as `listen for peers at 127.0.0.1:7070`.
        action: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// `clementinearch route` could not start its host.
    #[display("{_0}")]
    Route(StartError),
    /// Logs, metrics or traces could not be set up.
    #[display("cannot set up telemetry: {_0}")]
    Telemetry(#[error(not(source))] String),
    /// The embedded configuration was not accepted.
    #[display("cannot write the embedded configuration: {_0}")]
    Embedded(#[error(not(source))] String),
}

impl Error {
    /// Returns a function that adds the failed action to an I/O error.
    pub(crate) fn io(action: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let action = action.into();
        move |source| Self::Io { action, source }
    }

    /// Returns the exit code: 2 for findings, 1 for all other errors.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) | Self::Variable { .. } => ExitCode::from(EXIT_FINDINGS),
            _ => ExitCode::FAILURE,
        }
    }
}
