//! A plain service as a process.

use std::{error::Error, net::SocketAddr};

use clementinearch_standins::service::Service;
use tokio::net::TcpListener;

/// Plain service that counts the runs of each idempotency key.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen at
    #[argh(option)]
    address: SocketAddr,
    /// answer a known idempotency key from memory
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
