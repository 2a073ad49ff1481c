//! Protocol between entry hosts, and clients for it.

pub(crate) mod clients;
pub(crate) mod counted;
pub(crate) mod protocol;
