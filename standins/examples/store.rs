//! The platform's key-value service and host list as a process.

use std::{error::Error, net::SocketAddr, sync::Arc};

use clementinearch_standins::{memory_store::MemoryStore, store_server};

/// Key-value service and host list in memory.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen at
    #[argh(option)]
    address: SocketAddr,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    store_server::serve(Arc::new(MemoryStore::new()), args.address)?.join()?;
    Ok(())
}
