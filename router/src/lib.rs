//! The data path of an entry host: admission, server selection, attempts, relay and accounting of
//! requests.
//!
//! A [`Dialect`] translates the protocol of callers and backend servers, and a [`StoreSchema`] the
//! items of the store, so that the path itself depends on neither. All hosts are equal: they agree
//! through the key store, and gossip between them is only advisory.

mod accept;
mod active_request;
mod admin;
mod attempt;
mod body_buffer;
mod body_memory;
mod call;
mod checked_stream;
mod clock;
mod cold_servers;
#[cfg(test)]
mod cold_servers_tests;
mod connection_account;
mod connections;
#[cfg(test)]
mod connections_tests;
mod connectivity;
mod crash_check;
mod crash_records;
mod crashing_parts;
mod data_path;
mod decision_log;
mod dialect;
mod evacuations;
mod event_source;
mod fleet;
#[cfg(test)]
mod fleet_tests;
mod forwarding;
mod gossip;
mod gossip_event;
#[cfg(test)]
mod gossip_event_tests;
mod guarded_stream;
mod handover;
mod health_tracking;
mod hooks;
mod host;
mod host_state;
mod in_flight;
mod ingress;
mod internal_http;
mod loop_stalls;
mod moving_averages;
mod paced_body;
mod peer_attempts;
mod peer_source;
mod peer_view;
mod pending_events;
mod pipeline;
mod refusal;
mod relay;
mod request_attempts;
mod request_metrics;
mod request_retries;
mod residency;
mod response_body;
mod response_evaluation;
mod rollout;
#[cfg(test)]
mod rollout_tests;
mod rollouts;
mod sent_attempt;
mod server;
mod server_limits;
mod server_loads;
#[cfg(test)]
mod server_loads_tests;
#[cfg(test)]
mod server_marks_tests;
mod server_pace;
mod server_places;
mod server_rests;
mod server_selection;
mod servers;
mod settings;
#[cfg(test)]
mod settings_tests;
mod slow_start;
mod store_items;
mod stored_blocks;
mod stream_begin;
mod stream_head;
mod stream_source;
mod supervisor;
mod unfinished_attempts;
#[cfg(test)]
mod unfinished_attempts_tests;
mod view;
mod view_codec;
mod view_reads;
mod view_sync;
#[cfg(test)]
mod view_tests;

pub use accept::{try_accept, wait_for_input};
pub use body_buffer::{BodyError, BodyLimit, read_body};
pub use call::{Call, CallHead, ModelChoice, Prompt, PromptPart};
pub use connection_account::{ConnectionAccount, OpenConnection, Work};
pub use connections::{Connection, SendOutcome, connect};
pub use data_path::DataPath;
pub use dialect::{
    AttemptContext, Block, Dialect, EventReader, ResponseHead, StoreItem, StoreSchema, Verdict,
};
pub use hooks::{AttemptEnd, CallEnd, DefaultHooks, RequestContext, RequestHooks, ServerQuery};
pub use host::{StartError, run};
pub use refusal::{CustomRefusal, Execution, Refusal};
pub use request_metrics::install_metrics;
pub use response_body::{ResponseBody, full_body};
pub use rollout::{RolloutOrder, RolloutState, RolloutStatus};
pub use server::{AttemptTarget, LoadReport, Permit, Server, ServerEntry, ServerState};
pub use server_selection::ChosenServer;
pub use settings::{Bounds, Limits, Listen, Settings};
