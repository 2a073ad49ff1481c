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

use std::process::ExitCode;

fn main() -> ExitCode {
    let cli: cmd::Cli = argh::from_env();
    match cli.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("clementinearch: {e}");
            e.exit_code()
        }
    }
}
