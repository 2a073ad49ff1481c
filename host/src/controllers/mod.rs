//! Controllers that keep the blackboard up to date, and the operators' side.

pub(crate) mod admin;
pub(crate) mod config_sync;
pub(crate) mod gossip;
pub(crate) mod orders;
pub(crate) mod peer_server;
pub(crate) mod status;
