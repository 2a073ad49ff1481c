//! A model engine as a process.

use std::{error::Error, net::SocketAddr, time::Duration};

use clementinearch_standins::engine::{Engine, EngineConfig};
use tokio::net::TcpListener;

/// Model engine that generates tokens from a hash of the prompt.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen at
    #[argh(option)]
    address: SocketAddr,
    /// loaded version as model@version; may be repeated
    #[argh(option)]
    version: Vec<String>,
    /// requests that the batch holds
    #[argh(option, default = "16")]
    slots: u32,
    /// milliseconds between two tokens
    #[argh(option, default = "5")]
    token_ms: u64,
    /// take orders with an old fencing number too
    #[argh(switch)]
    ignore_fencing: bool,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let config = EngineConfig {
        versions: args.version,
        slots: args.slots,
        token_interval: Duration::from_millis(args.token_ms),
        checks_fencing: !args.ignore_fencing,
        ..EngineConfig::new(&[])
    };
    let engine = Engine::new(config, || std::process::abort());
    engine.serve(TcpListener::bind(args.address).await?).await;
    Ok(())
}
