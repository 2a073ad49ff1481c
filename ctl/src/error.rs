//! Errors and exit codes of the command.

use std::{io, path::PathBuf, process::ExitCode};

use clementinearch_policy::findings::Findings;
use clementinearch_storage::{EditError, StoreError};
use derive_more::{Display, Error, From};

/// The newest revision is not in force everywhere, a list differs from its accepted item, or no log
/// line matches.
pub(crate) const EXIT_NEGATIVE: u8 = 1;
/// The lists have findings.
const EXIT_FINDINGS: u8 = 2;
/// The edit conflicts with an earlier one, or concurrent edits kept it from being written.
const EXIT_CONFLICT: u8 = 3;
/// The store or the entry host gave no usable response.
const EXIT_NO_ANSWER: u8 = 4;
/// A file could not be read.
const EXIT_FILE: u8 = 5;

/// Failure of a command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    /// A file could not be read.
    #[display("cannot read {}: {source}", path.display())]
    #[from(ignore)]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The lists are invalid.
    #[display("{_0}")]
    Findings(Findings),
    /// The edit was rejected, or the accepted edits could not be read.
    #[display("{_0}")]
    Edit(EditError),
    /// A store call failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The entry host could not be reached or gave no usable response.
    #[display("entry host {address} gave no usable response: {reason}")]
    #[from(ignore)]
    Host {
        /// Operators' address of the entry host.
        address: String,
        /// Cause.
        reason: String,
    },
}

impl Error {
    /// Returns the exit code, which is part of the documented interface.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Findings(_) => EXIT_FINDINGS,
            Self::Edit(EditError::Conflict(_) | EditError::Contended { .. }) => EXIT_CONFLICT,
            Self::Edit(_) | Self::Store(_) | Self::Host { .. } => EXIT_NO_ANSWER,
            Self::Read { .. } => EXIT_FILE,
        })
    }
}
