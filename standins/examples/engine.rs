//! Model engine stand-in as a process of its own.

use std::{error::Error, net::SocketAddr, time::Duration};

use clementinearch_standins::engine::{Engine, EngineConfig};
use tokio::net::TcpListener;

/// Run a stand-in for a model engine, which derives its tokens from a hash of the prompt.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on, as ip:port
    #[argh(option)]
    address: SocketAddr,
    /// version to load, as model@version; may be repeated
    #[argh(option)]
    version: Vec<String>,
    /// maximum number of requests in the batch
    #[argh(option, default = "16")]
    slots: u32,
    /// time between two tokens, milliseconds
    #[argh(option, default = "5")]
    token_ms: u64,
    /// accept orders with an outdated fencing number
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
