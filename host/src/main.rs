//! The entry host: takes callers' requests and sends each where its plan allows.

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
