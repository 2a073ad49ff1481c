//! Callers' requests: their words, and what is decided about them on the data path.

pub(crate) mod admission;
pub(crate) mod callers;
pub(crate) mod chat;
pub(crate) mod chat_events;
pub(crate) mod claims;
pub(crate) mod control;
pub(crate) mod dialect;
pub(crate) mod request_head;
pub(crate) mod services;
