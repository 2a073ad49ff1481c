//! Backend servers: which there are, what they report, and small calls to them.

pub(crate) mod calls;
pub(crate) mod listing;
pub(crate) mod probe;
pub(crate) mod servers;
