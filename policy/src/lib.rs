//! Routing decisions as pure functions.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. The current time and
//! the random source are arguments, so that each decision can be tested and benchmarked in
//! isolation.

pub mod addresses;
pub mod admission;
pub mod answer_id;
pub mod cascade;
pub mod catalogue;
pub mod claim;
pub mod cold_pace;
pub mod config_head;
pub mod connection_bounds;
pub mod connections;
pub mod connectivity;
pub mod crash_evidence;
pub mod crash_set;
pub mod crash_suspects;
pub mod event_stream;
mod eviction;
pub mod findings;
pub mod forwarding_support;
pub mod handover;
pub mod ledger;
pub mod link_pacer;
pub mod load_balancing;
pub mod load_rows;
pub mod membership;
pub mod memory_shares;
pub mod model;
pub mod names;
pub mod orders;
pub mod part_evidence;
pub mod placement;
pub mod places;
pub mod plan;
pub mod planned_end;
pub mod planned_stop;
pub mod prefill_time;
pub mod quality;
pub mod relative_latency;
pub mod request_id;
pub mod rest;
pub mod retry_budget;
pub mod rollout;
pub mod rollout_assessment;
pub mod rollout_evidence;
pub mod routes;
pub mod running_clock;
pub mod server_health;
pub mod server_limit;
pub mod session;
pub mod shared_load;
pub mod sizing;
pub mod slow_start;
pub mod subset;
pub mod time;
pub mod toml_reader;
pub mod version_selection;
pub mod view_age;
