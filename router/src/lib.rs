//! The data path of an entry host: admits, chooses, attempts, relays and accounts for requests.
//!
//! What callers, backend servers, the store and the operators speak is left to a [`Dialect`] and a
//! [`StoreSchema`]; the path itself works on neutral types. All hosts are equal; what they must
//! agree on goes through the key store, what they tell each other is advice.

mod active_request;
mod admin;
mod attempt;
mod board;
mod call;
mod clock;
mod connections;
mod data_path;
mod decision_log;
mod dialect;
mod fleet;
mod gossip;
mod hooks;
mod host;
mod ingress;
mod internal_http;
mod news;
mod pipeline;
mod refusal;
mod relay;
mod relayed;
mod request_metrics;
mod response_body;
mod response_evaluation;
mod rollouts;
mod server;
mod server_selection;
mod servers;
mod settings;
mod view;
mod view_keeper;

pub use call::{Call, CallHead, ModelChoice, Prompt, PromptPart};
pub use connections::{Connection, SendOutcome, connect};
pub use data_path::DataPath;
pub use dialect::{
    AttemptContext, Dialect, EventReader, ResponseHead, StoreItem, StoreSchema, Verdict,
};
pub use hooks::{
    AttemptOutcome, CallOutcome, DefaultHooks, RequestContext, RequestHooks, ServerQuery,
};
pub use host::{StartError, run};
pub use refusal::{CustomRefusal, Execution, Refusal};
pub use request_metrics::install_metrics;
pub use response_body::{ResponseBody, full_body};
pub use rollouts::{RolloutOrder, RolloutState, RolloutStatus};
pub use server::{AttemptTarget, LoadReport, Permit, Server, ServerEntry, ServerState};
pub use server_selection::ChosenServer;
pub use settings::{Bounds, Limits, Listen, Settings};
