//! Command line of the entry host.

mod check;
mod dev;
mod route;
mod serve;

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::Error;

/// Entry host of clementinearch, a model-aware router for versions and cascades.
#[derive(FromArgs)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Route(Route),
    Check(Check),
    Dev(Dev),
}

/// Run an entry host until SIGTERM starts a graceful shutdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run an entry host for the platform's backend servers until SIGTERM starts a graceful shutdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
pub(crate) struct Route {
    /// settings file (default: the one that CLEMENTINEARCH_SETTINGS names)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// Check a settings file without starting a host.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run an entry host with an embedded store and embedded model engines.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct Dev {
    /// address for callers (default 127.0.0.1:8080)
    #[argh(option, default = "std::net::SocketAddr::from(([127, 0, 0, 1], 8080))")]
    address: std::net::SocketAddr,
}

impl Cli {
    /// Runs the chosen subcommand.
    pub(crate) fn run(self) -> Result<(), Error> {
        match self.command {
            Command::Serve(serve) => serve.run(),
            Command::Route(route) => route.run(),
            Command::Check(check) => check.run(),
            Command::Dev(dev) => dev.run(),
        }
    }
}
