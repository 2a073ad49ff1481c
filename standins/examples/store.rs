//! Stand-in for the platform's key-value service and host list as a process of its own.

use std::{error::Error, net::SocketAddr, sync::Arc};

use clementinearch_standins::{memory_store::MemoryStore, store_server};

/// Run an in-memory stand-in for the key-value service and host list.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on, as ip:port
    #[argh(option)]
    address: SocketAddr,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    store_server::serve(Arc::new(MemoryStore::new()), args.address)?.join()?;
    Ok(())
}
