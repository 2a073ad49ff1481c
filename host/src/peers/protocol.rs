//! RPC protocol between entry hosts: its methods and messages. The encoding goes by position, so
//! the order of methods and fields is part of the protocol.

use std::time::Duration;

use clementinearch_border::{BillRecord, Head};
use clementinearch_policy::{
    catalogue::Fallback, crash_suspects::SuspectRow, membership::Member, names::Name,
    quality::SubjectCounts,
};
use serde::{Deserialize, Serialize};

/// Model version that a session is pinned to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pin {
    /// Account, model and session id.
    pub(crate) key: Name,
    pub(crate) version: Name,
}

/// A session's pin as stored by one of its owners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredPin {
    pub(crate) version: Name,
    /// Whether the owner had stored the session before this call.
    pub(crate) was_known: bool,
}

/// Status of the configuration on one host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatusReport {
    /// Revision in force; 0 if there is none.
    pub(crate) revision: u64,
    /// When it came into force, Unix time in milliseconds.
    pub(crate) since_ms: u64,
    /// Highest revision that the host knows to exist.
    pub(crate) newest_heard: u64,
    pub(crate) findings: Vec<String>,
    /// Whether the host is ready, or the reason why not.
    pub(crate) readiness: Result<(), String>,
}

/// A configuration as sent to a peer, which may have some of it already.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) head: Head,
    /// Digests and texts of the bodies that the peer lacks.
    pub(crate) bodies: Vec<(String, Name)>,
    /// Last good bodies of items whose accepted bodies are bad.
    pub(crate) fallbacks: Vec<Fallback>,
}

/// Summary of a host's state, which is compared with a peer's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Sender's row of the membership table.
    pub(crate) from: Member,
    /// Hash of the sender's membership table.
    pub(crate) table_hash: u64,
    /// Revision in force; 0 if there is none.
    pub(crate) revision: u64,
    pub(crate) has_findings: bool,
    /// Number of items of which the sender has a good body in force.
    pub(crate) items_in_force: usize,
    /// Time since the revision was last confirmed to be the newest one.
    pub(crate) confirmed_age: Option<Duration>,
    /// Backend servers that announced that they are leaving, and how long ago.
    pub(crate) leaving: Vec<(Name, Duration)>,
    /// Request contents that crashed servers.
    pub(crate) suspects: Vec<SuspectRow>,
    /// Counts of ratings and errors by version or cascade; empty in requests.
    pub(crate) counts: Vec<SubjectCounts>,
    /// Halted versions as `model@version`.
    pub(crate) halted: Vec<Name>,
}

/// Reply to a digest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    pub(crate) digest: Digest,
    /// All rows of the membership table; empty if the two tables are equal.
    pub(crate) rows: Vec<Member>,
    /// The configuration, if the receiver lacks any of it.
    pub(crate) snapshot: Option<Snapshot>,
}

/// Calls that entry hosts make to each other.
#[tarpc::service]
pub(crate) trait Peer {
    /// Merges the caller's digest, and returns this host's with what the caller lacks.
    async fn exchange(digest: Digest) -> Reply;
    /// Merges rows of the caller's membership table.
    async fn tell(rows: Vec<Member>);
    /// Applies the caller's configuration if it is newer.
    async fn offer(snapshot: Snapshot);
    /// Returns the status of the host's configuration.
    async fn status() -> StatusReport;
    /// Stores pins of sessions that are not known yet, and returns what is stored for each session.
    async fn remember(pins: Vec<Pin>) -> Vec<StoredPin>;
    /// Overwrites the stored pin of a session.
    async fn correct(pin: Pin);
    /// Holds bills until they are in the store. Returns false if the host is leaving and accepts
    /// none.
    async fn hold_bills(bills: Vec<BillRecord>) -> bool;
    /// Drops bills of a page that have been written to the store.
    async fn forget_bills(epoch: u64, shard: u64, ids: Vec<String>);
    /// Reserves a server for a suspect request. Returns false if another one is on trial there.
    async fn begin_trial(content: u64, server: Name) -> bool;
    /// Releases a server that was reserved by [`Peer::begin_trial`].
    async fn end_trial(content: u64, server: Name);
}
