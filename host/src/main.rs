//! The entry host: takes callers' requests and sends each where its plan allows.

mod admin;
mod backend_calls;
mod backlog;
mod board;
mod callers;
mod cascades;
mod chat;
mod chat_events;
mod claims;
mod clock;
mod cmd;
mod control;
mod counted;
mod dialect;
mod error;
mod gate;
mod gossip;
mod host;
mod keeper;
mod ledger;
mod listing;
mod orders;
mod peer_clients;
mod peers;
mod probe;
mod quality;
mod refusal;
mod servers;
mod services;
mod sessions;
mod settings;
mod sharded;
mod status;
mod telemetry;
mod trials;

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
