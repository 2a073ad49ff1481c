//! Stand-ins for the platform's stores and the backend servers, with faults that tests inject.
//!
//! | module | stands in for |
//! |---|---|
//! | `engine` | a model engine that streams tokens |
//! | `service` | a service without streaming, which records each run of a call |
//! | `scripted_server` | a backend server that may violate the protocol at any byte |
//! | `memory_store`, `store_server` | the key-value service and host list, in memory and over HTTP |
//! | `link` | the network path from a host to a backend server, which can be cut |
//! | `platform_store` | the platform's store with prefix reads and transactions |
//!
//! `serve` is the HTTP server that the asynchronous stand-ins share.

pub mod engine;
pub mod link;
pub mod memory_store;
pub mod platform_store;
pub mod scripted_server;
pub mod serve;
pub mod service;
pub mod store_server;
