//! The operators' command: checks, applies and compares configuration, and explains requests.

mod cause;
mod cmd;
mod error;
mod lists;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let cli: cmd::Cli = argh::from_env();
    match cli.run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("clemctl: {e}");
            e.exit_code()
        }
    }
}
