//! Background controllers that keep a host's state up to date, and the servers for peers and
//! operators.

pub(crate) mod admin;
pub(crate) mod config_sync;
pub(crate) mod gossip;
pub(crate) mod orders;
pub(crate) mod peer_server;
pub(crate) mod status;
