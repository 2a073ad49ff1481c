//! Types of every message that crosses a process border.
//!
//! They are generated from `schema/border.json`; the command that renews them
//! stands in `tests/generated.rs`.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, rustdoc::all, unreachable_pub)]
mod generated;

pub use generated::{
    AnswerChoice, BillRecord, ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage,
    ChatRequest, ClaimRecord, ClaimState, EditEntry, ErrorBody, ErrorDetail, FleetStatus, Head,
    HeadItem, HostEntry, HostList, HostRole, HostState, HostStatus, LeaseRecord, LedgerPage,
    LoadReport, ModelEntry, ModelList, Rating, RunState, Usage,
};
