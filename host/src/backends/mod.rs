//! Backend servers: discovery from the host list, load reports, selection, and an HTTP client.

pub(crate) mod host_list;
pub(crate) mod http_client;
pub(crate) mod probe;
pub(crate) mod servers;
