//! Backend servers: which there are, what they report, and small calls to them.

pub(crate) mod host_list;
pub(crate) mod http_client;
pub(crate) mod probe;
pub(crate) mod servers;
