//! Service stand-in as a process of its own.

use std::{error::Error, net::SocketAddr};

use clementinearch_standins::service::Service;
use tokio::net::TcpListener;

/// Run a stand-in for a service without streaming, which records each run of a call.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on, as ip:port
    #[argh(option)]
    address: SocketAddr,
    /// respond to a known idempotency key with the stored response
    #[argh(switch)]
    check_ids: bool,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    Service::new(args.check_ids)
        .serve(TcpListener::bind(args.address).await?)
        .await;
    Ok(())
}
