//! The protocol between entry hosts: what they ask of each other, and the messages.

use std::time::Duration;

use clementinearch_border::{BillRecord, Head};
use clementinearch_policy::{
    catalogue::Fallback, crash_suspects::SuspectRow, membership::Member, names::Name,
    quality::SubjectCounts,
};
use serde::{Deserialize, Serialize};

/// A session and the version it began on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pin {
    /// Account, model and session id.
    pub(crate) key: Name,
    pub(crate) version: Name,
}

/// What an owner remembers of a session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredPin {
    pub(crate) version: Name,
    /// Whether it knew the session before it was asked.
    pub(crate) was_known: bool,
}

/// A host's own word on its configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatusReport {
    pub(crate) revision: u64,
    pub(crate) since_ms: u64,
    pub(crate) newest_heard: u64,
    pub(crate) findings: Vec<String>,
    pub(crate) readiness: Result<(), String>,
}

/// A configuration on its way between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) head: Head,
    pub(crate) bodies: Vec<(String, Name)>,
    pub(crate) fallbacks: Vec<Fallback>,
}

/// What a host says of itself in an exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Digest {
    pub(crate) from: Member,
    pub(crate) table_hash: u64,
    pub(crate) revision: u64,
    pub(crate) has_findings: bool,
    /// Items that the sender applies some good body of.
    pub(crate) items_in_force: usize,
    /// Age of the moment when the revision was known to be the newest one.
    pub(crate) confirmed_age: Option<Duration>,
    /// Backend servers that told the sender they leave, and how long ago.
    pub(crate) leaving: Vec<(Name, Duration)>,
    /// Requests that crashed servers, by content.
    pub(crate) suspects: Vec<SuspectRow>,
    /// Counted ratings and errors of versions.
    pub(crate) counts: Vec<SubjectCounts>,
    /// Halted versions as `model@version`.
    pub(crate) halted: Vec<Name>,
}

/// Answer to a digest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    pub(crate) digest: Digest,
    /// The whole table, if the sender's differs.
    pub(crate) rows: Vec<Member>,
    /// The configuration, if the sender's is older.
    pub(crate) snapshot: Option<Snapshot>,
}

/// What one entry host asks of another.
#[tarpc::service]
pub(crate) trait Peer {
    /// Compares views and returns what the sender lacks.
    async fn exchange(digest: Digest) -> Reply;
    /// Hands over rows that the receiver lacks.
    async fn tell(rows: Vec<Member>);
    /// Hands over a configuration that the receiver lacks.
    async fn offer(snapshot: Snapshot);
    /// What the host says of its configuration.
    async fn status() -> StatusReport;
    /// Remembers sessions; answers what is remembered of each.
    async fn remember(pins: Vec<Pin>) -> Vec<StoredPin>;
    /// Replaces what is remembered of a session.
    async fn correct(pin: Pin);
    /// Holds bills until they are in the store; false if the host is leaving and will not.
    async fn hold_bills(bills: Vec<BillRecord>) -> bool;
    /// Forgets bills of a page that are in the store.
    async fn forget_bills(epoch: u64, shard: u64, ids: Vec<String>);
    /// Reserves a server for a suspect; false if another one is on trial there.
    async fn begin_trial(content: u64, server: Name) -> bool;
    /// Ends a trial.
    async fn end_trial(content: u64, server: Name);
}
