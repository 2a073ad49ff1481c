//! Command line of `clemctl`.

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

/// Check, apply and compare configuration lists, show where they are in force, and explain requests.
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

/// Check lists and report all findings by file, line and field.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
}

/// Apply lists as one edit, which is accepted completely or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
    /// address of the store, as ip:port
    #[argh(option)]
    store: SocketAddr,
    /// edit id; pass the same one to retry after a lost response (default: a new id, which is printed)
    #[argh(option)]
    edit_id: Option<String>,
    /// revision on which the lists are based; an item changed since then is a conflict
    #[argh(option)]
    expect: Option<u64>,
    /// remove accepted items that are not in the directory
    #[argh(switch)]
    prune: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show the changes that applying lists would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// directory of the lists
    #[argh(positional)]
    lists: PathBuf,
    /// address of the store, as ip:port
    #[argh(option)]
    store: SocketAddr,
}

/// Show the latest accepted edits.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// address of the store, as ip:port
    #[argh(option)]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show which entry hosts have the newest revision in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address for operators of any entry host, as ip:port
    #[argh(option)]
    host: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Explain how a request ended from the logs of `clementinearch route`, or count failed requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of a request (default: count all failures by outcome and route)
    #[argh(option)]
    id: Option<String>,
    /// list the failures whose outcome contains this text, each with its cause
    #[argh(option)]
    why: Option<String>,
    /// use only lines that the log collector stamped with this time or later
    #[argh(option)]
    since: Option<String>,
    /// log files of one or more hosts, or - for standard input
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

/// Returns a client of the store that identifies itself as `clemctl`.
fn store_at(address: SocketAddr) -> HttpStore {
    HttpStore::new(address, "clemctl")
}
