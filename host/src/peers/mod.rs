//! Other entry hosts: the protocol and its clients.

pub(crate) mod clients;
pub(crate) mod counted;
pub(crate) mod protocol;
