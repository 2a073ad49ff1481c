//! The command line.

mod apply;
mod check;
mod diff;
mod explain;
mod history;
mod status;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use clementinearch_storage::HttpStore;

use crate::error::Error;

/// Writes the lists of plans, models and versions, and reports whether they are in force.
#[derive(FromArgs)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Apply(Apply),
    Diff(Diff),
    History(History),
    Status(Status),
    Explain(Explain),
}

/// Check lists and report all findings with file, line and field.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
}

/// Apply lists: accepted together or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// edit id; give the same one to ask again after a lost answer (default: a fresh one, printed)
    #[argh(option)]
    edit_id: Option<String>,
    /// revision that the lists were made from: an item changed since then is a conflict
    #[argh(option)]
    expect: Option<u64>,
    /// remove accepted items that the directory does not hold
    #[argh(switch)]
    prune: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show what applying lists would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
}

/// Show the latest accepted edits.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show on which entry hosts the newest revision is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// operators' address of any entry host
    #[argh(option)]
    host: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Tell the story of a request from the logs of `clementinearch route`, or count how requests failed.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the request's id (default: count all failures by cause)
    #[argh(option)]
    id: Option<String>,
    /// list the failures whose outcome contains this, each with its cause
    #[argh(option)]
    why: Option<String>,
    /// only lines that a collector took in at this time or later
    #[argh(option)]
    since: Option<String>,
    /// log files of one or more hosts; - for standard input
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl Cli {
    /// Runs the chosen subcommand.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Check(check) => check.run(),
            Command::Apply(apply) => apply.run(),
            Command::Diff(diff) => diff.run(),
            Command::History(history) => history.run(),
            Command::Status(status) => status.run(),
            Command::Explain(explain) => explain.run(),
        }
    }
}

fn store_at(address: SocketAddr) -> HttpStore {
    HttpStore::new(address, "clemctl")
}
