//! Types of the messages exchanged between processes and of the records in the key-value store.
//!
//! They are generated from `schema/border.json`; see `tests/generated.rs` for the command.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, rustdoc::all, unreachable_pub)]
mod generated;

pub use generated::{
    AnswerChoice, BillRecord, ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage,
    ChatRequest, ClaimRecord, ClaimState, EditEntry, ErrorBody, ErrorDetail, FleetStatus, Head,
    HeadItem, HostEntry, HostList, HostRole, HostState, HostStatus, LeaseRecord, LedgerPage,
    LoadReport, ModelEntry, ModelList, Rating, RunState, Usage,
};
