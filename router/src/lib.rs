//! The data path of an entry host: admits, chooses, attempts, relays and accounts for requests.
//!
//! What callers, backend servers, the store and the operators speak is left to a [`Dialect`] and a
//! [`Translator`]; the path itself works on neutral types. All hosts are equal; what they must
//! agree on goes through the key store, what they tell each other is advice.

mod admin;
mod answer_body;
mod attempt;
mod call;
mod choice;
mod clock;
mod connections;
mod control;
mod data_path;
mod decision_log;
mod dialect;
mod fleet;
mod gossip;
mod gossip_event;
mod host;
mod host_state;
mod ingress;
mod judging;
mod measures;
mod paths;
mod peer_view;
mod pipeline;
mod refusal;
mod relay;
mod rollouts;
mod run;
mod server;
mod servers;
mod settings;
mod view;
mod view_sync;

pub use answer_body::{AnswerBody, full_body};
pub use call::{Call, CallHead, ModelChoice, Prompt, PromptPart};
pub use choice::Choice;
pub use connections::{Connection, Sent, connect};
pub use control::{Asking, AttemptEnd, CallEnd, Choosing, Control, OwnControl};
pub use data_path::DataPath;
pub use dialect::{AnswerHead, AttemptOrder, Dialect, EventReader, Item, Translator, Verdict};
pub use host::{StartError, run};
pub use measures::install_metrics;
pub use refusal::{Refusal, TypedRefusal, Work};
pub use rollouts::{RolloutOrder, RolloutState, RolloutStatus};
pub use server::{AttemptAt, LoadReport, Permit, Server, ServerEntry, ServerState};
pub use settings::{Bounds, Limits, Listen, Settings};
