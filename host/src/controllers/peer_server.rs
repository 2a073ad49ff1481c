//! Server for calls from other entry hosts, and the digests and snapshots that gossip exchanges.

use std::{future::Future, io, sync::Arc, time::Duration};

use clementinearch_border::BillRecord;
use clementinearch_policy::{catalogue::Bodies, ledger::PageId, membership::Member, names::Name};
use clementinearch_router::{ConnectionAccount, OpenConnection, try_accept, wait_for_input};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    clock,
    controllers::status::own_status,
    host_state::HostState,
    peers::clients::framed,
    peers::protocol::{Digest, Peer, Pin, Reply, Snapshot, StatusReport, StoredPin},
    shared::ledger::Ledger,
    shared::sessions::Sessions,
    shared::state::SharedState,
};

/// Longest wait for the first call on a peer's connection.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Handler of the peer protocol.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) state: Arc<HostState>,
    pub(crate) sessions: Arc<Sessions>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) shared: Arc<SharedState>,
}

/// Binds the peer address. The returned future serves peers without end, within the bounds of `account`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn serve(
    server: PeerServer,
    account: Arc<ConnectionAccount>,
) -> io::Result<impl Future<Output = ()>> {
    let listener = TcpListener::bind(server.state.settings.peers).await?;
    Ok(async move {
        loop {
            let Some((stream, open)) = try_accept(&listener, &account).await else {
                continue;
            };
            let server = server.clone();
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = open.wait_until_closed() => {}
                    () = serve_peer(server, stream, &open) => {}
                }
            });
        }
    })
}

/// Serves a peer's connection to its end.
async fn serve_peer(server: PeerServer, stream: TcpStream, open: &Arc<OpenConnection>) {
    if !wait_for_input(&stream, FIRST_CALL_TIMEOUT).await {
        return;
    }
    let calls = BaseChannel::with_defaults(framed(stream)).execute(server.serve());
    let serving = calls.for_each(|call| async {
        let work = open.begin_work();
        tokio::spawn(async move {
            call.await;
            drop(work);
        });
    });
    Box::pin(serving).await;
}

impl Peer for PeerServer {
    async fn exchange(self, _: Context, digest: Digest) -> Reply {
        metrics::counter!("clementinearch_peer_exchanges_total", "side" => "answered").increment(1);
        let zone = digest.from.zone.clone();
        let tables_differ = merge_digest(&self.state, &self.shared, &digest);
        Reply {
            digest: Digest {
                counts: self.shared.quality.rows(&zone),
                ..own_digest(&self.state, &self.shared)
            },
            rows: if tables_differ {
                self.state.members.lock().rows()
            } else {
                Vec::new()
            },
            snapshot: snapshot_for(&self.state, &digest),
        }
    }

    async fn tell(self, _: Context, rows: Vec<Member>) {
        self.state.members.lock().merge(&rows, clock::now());
    }

    async fn offer(self, _: Context, snapshot: Snapshot) {
        apply_snapshot(&self.state, snapshot);
    }

    async fn status(self, _: Context) -> StatusReport {
        own_status(&self.state)
    }

    async fn remember(self, _: Context, pins: Vec<Pin>) -> Vec<StoredPin> {
        pins.into_iter()
            .map(|pin| self.sessions.remember(pin))
            .collect()
    }

    async fn correct(self, _: Context, pin: Pin) {
        self.sessions.correct(pin);
    }

    async fn hold_bills(self, _: Context, bills: Vec<BillRecord>) -> bool {
        self.ledger.accept(bills)
    }

    async fn forget_bills(self, _: Context, epoch: u64, shard: u64, ids: Vec<String>) {
        self.ledger.forget(PageId { epoch, shard }, &ids);
    }

    async fn begin_trial(self, _: Context, content: u64, server: Name) -> bool {
        self.shared.trials.reserve(content, &server)
    }

    async fn end_trial(self, _: Context, content: u64, server: Name) {
        self.shared.trials.release(content, &server);
    }
}

/// Returns this host's digest, without counts: these are added only to replies, so that an exchange
/// carries them once.
pub(crate) fn own_digest(state: &HostState, shared: &SharedState) -> Digest {
    let now = clock::now();
    let (from, table_hash) = {
        let members = state.members.lock();
        (members.local().clone(), members.table_hash())
    };
    let confirmed_at = state.confirmed_at();
    Digest {
        from,
        table_hash,
        revision: state.revision(),
        has_findings: !state.findings().is_empty(),
        items_in_force: state
            .config_in_force()
            .map_or(0, |in_force| in_force.catalogue.items_in_force()),
        confirmed_age: (confirmed_at.0 > 0).then(|| now.since(confirmed_at)),
        leaving: state.servers.leaving(now),
        suspects: shared.trials.rows(),
        counts: Vec::new(),
        halted: shared.quality.halted_rows(),
    }
}

/// Merges a peer's digest into this host's state. Returns whether the two membership tables differ.
pub(crate) fn merge_digest(state: &HostState, shared: &SharedState, digest: &Digest) -> bool {
    let now = clock::now();
    state.record_known_revision(digest.revision);
    state.servers.merge_leaving(&digest.leaving, now);
    shared.trials.merge(&digest.suspects);
    shared.quality.merge(&digest.counts, &digest.halted);
    // If both have the same revision in force, the peer's confirmation also holds for this host.
    if let Some(age) = digest.confirmed_age
        && digest.revision == state.revision()
        && digest.revision > 0
    {
        let age_ms = age.as_millis() as u64;
        state.confirm(now.before(Duration::from_millis(age_ms)));
    }
    let mut members = state.members.lock();
    members.merge(std::slice::from_ref(&digest.from), now);
    members.table_hash() != digest.table_hash
}

/// Returns the configuration if the host that sent `digest` has an older revision, or could repair
/// its findings with it.
pub(crate) fn snapshot_for(state: &HostState, digest: &Digest) -> Option<Snapshot> {
    let in_force = state.config_in_force()?;
    let catalogue = &in_force.catalogue;
    // A host with findings of its own may still have last good bodies that the peer lacks.
    let repairs = digest.has_findings
        && (catalogue.findings().0.is_empty()
            || catalogue.items_in_force() > digest.items_in_force);
    if catalogue.revision() < digest.revision
        || (catalogue.revision() == digest.revision && !repairs)
    {
        return None;
    }
    let known_revision = if digest.has_findings {
        0
    } else {
        digest.revision
    };
    let (bodies, fallbacks) = catalogue.bodies_since(known_revision);
    Some(Snapshot {
        head: (**catalogue.head()).clone(),
        bodies: bodies.into_iter().collect(),
        fallbacks,
    })
}

/// Applies a peer's configuration if it is newer or repairs findings.
pub(crate) fn apply_snapshot(state: &HostState, snapshot: Snapshot) {
    let bodies: Bodies = snapshot.bodies.into_iter().collect();
    state.apply_config(
        Arc::new(snapshot.head),
        &bodies,
        &snapshot.fallbacks,
        clock::now(),
    );
}
