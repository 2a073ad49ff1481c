//! The data path of an entry host: admits, chooses, attempts, relays and accounts for requests.
//!
//! What callers, backend servers, the store and the operators speak is left to a [`Dialect`] and a
//! [`Translator`]; the path itself works on neutral types. All hosts are equal; what they must
//! agree on goes through the key store, what they tell each other is advice.

mod admin;
mod attempt;
mod board;
mod call;
mod choice;
mod clock;
mod connections;
mod decision_log;
mod dialect;
mod fleet;
mod gossip;
mod host;
mod ingress;
mod judging;
mod measures;
mod pipeline;
mod refusal;
mod relay;
mod relayed;
mod rollouts;
mod server;
mod servers;
mod settings;
mod view;
mod view_keeper;

pub use call::{Call, CallHead, ModelChoice, Prompt, PromptPart};
pub use connections::{Connection, Sent, connect};
pub use dialect::{AnswerHead, AttemptOrder, Dialect, Item, LoadReport, Translator};
pub use host::{StartError, run};
pub use ingress::{AnswerBody, full_body};
pub use refusal::Refusal;
pub use rollouts::{RolloutOrder, RolloutState, RolloutStatus};
pub use server::{ServerEntry, ServerState};
pub use settings::{Bounds, Limits, Listen, Settings};
