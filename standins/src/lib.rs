//! Small stand-ins for the platform, the model engines and the plain services.

pub mod engine;
pub mod memory_store;
pub mod platform_store;
pub mod scripted_server;
pub mod serve;
pub mod service;
pub mod store_server;
