//! Entry host of clementinearch: routes callers' requests to the backend servers that their plans
//! allow.

mod backends;
mod clock;
mod cmd;
mod controllers;
mod error;
mod host;
mod host_state;
mod peers;
mod refusal;
mod requests;
mod settings;
mod sharded;
mod shared;
mod supervisor;
#[cfg(test)]
mod supervisor_tests;
mod telemetry;

use std::{io, process::ExitCode, sync::Arc};

use signal_hook::consts::SIGHUP;

fn main() -> ExitCode {
    if let Err(e) = outlive_hangups() {
        eprintln!("clementinearch: cannot install a signal handler: {e}");
    }
    let cli: cmd::Cli = argh::from_env();
    match cli.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("clementinearch: {e}");
            e.exit_code()
        }
    }
}

/// Keeps SIGHUP from ending the process before its command listens to signals.
fn outlive_hangups() -> io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::default()).map(drop)
}
