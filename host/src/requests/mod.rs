//! Requests of callers: authentication, admission, the API they use, and the decisions that the
//! data path asks for.

pub(crate) mod admission;
pub(crate) mod callers;
pub(crate) mod chat;
pub(crate) mod chat_events;
pub(crate) mod claims;
pub(crate) mod dialect;
pub(crate) mod hooks;
pub(crate) mod request_head;
pub(crate) mod services;
