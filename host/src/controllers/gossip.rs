//! Gossip between entry hosts, which spreads membership, configuration, and what hosts learned
//! about servers and versions. Each host sends a few messages per round, however large the fleet
//! is.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{
    membership::{Member, MemberState},
    names::{FastSet, Name},
};
use tokio::time::{Instant, sleep_until};

use crate::{
    clock,
    controllers::peer_server::{apply_snapshot, merge_digest, own_digest, snapshot_for},
    host_state::HostState,
    peers::clients::{PeerClients, PeerError, call_context},
    shared::{announcements::AnnouncementRequests, state::SharedState},
};

/// Peers of the zone that are contacted when a round is triggered early, for example by a new
/// configuration.
const TRIGGERED_FANOUT: usize = 3;

/// One in this many rounds also contacts a host that was declared dead, so that the sides of a
/// healed partition find each other.
const ROUNDS_PER_DEAD_CONTACT: u64 = 10;

/// Runs a round per gossip period without end. A trigger starts the next round at once, after an
/// exchange with peers of the zone.
pub(crate) async fn run(
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    shared: Arc<SharedState>,
) {
    let mut round = 0;
    loop {
        let next = Instant::now() + state.settings.gossip_period;
        expire(&state);
        shared.trials.expire();
        shared.quality.evaluate_versions();
        shared.cascades.update(&shared.quality);
        metrics::gauge!("clementinearch_members")
            .set((state.members.lock().peers().count() + 1) as f64);
        metrics::gauge!("clementinearch_servers_leaving")
            .set(state.servers.leaving(clock::now()).len() as f64);
        let mut targets = choose_targets(&state, round);
        if round == 0 {
            targets.extend(state.settings.seeds.iter().map(Target::seed));
        }
        exchange_with_all(&state, &clients, &shared, targets).await;
        state.record_peers_asked();
        round += 1;
        tokio::select! {
            () = sleep_until(next) => {}
            () = state.gossip_trigger.notified() => exchange_in_zone(&state, &clients, &shared).await,
        }
    }
}

/// A host to exchange with.
struct Target {
    /// Name of the host; `None` for a seed, whose name is not known.
    name: Option<Name>,
    address: Name,
}

impl Target {
    fn member(member: &Member) -> Self {
        Self {
            name: Some(member.name.clone()),
            address: member.address.clone(),
        }
    }

    fn seed(address: &SocketAddr) -> Self {
        Self {
            name: None,
            address: address.to_string().into(),
        }
    }
}

/// Declares hosts dead whose suspicion timed out, and updates the zone's hosts among which backend
/// servers are divided.
fn expire(state: &HostState) {
    let (dead, zone) = {
        let mut members = state.members.lock();
        (
            members.expire(clock::now()),
            members.in_zone(&state.settings.zone),
        )
    };
    state.servers.set_entry_hosts(zone);
    for name in dead {
        log::info!("entry host {name} did not refute a suspicion in time and is declared dead");
    }
}

/// Chooses the hosts to contact in a round. These are a random peer of this host's zone and, on
/// average once per round and zone, one of another zone. Every [`ROUNDS_PER_DEAD_CONTACT`] rounds a
/// dead host is added, and a seed if this host knows no peer in its zone.
fn choose_targets(state: &HostState, round: u64) -> Vec<Target> {
    let members = state.members.lock();
    let zone = &state.settings.zone;
    let (local, remote): (Vec<&Member>, Vec<&Member>) =
        members.peers().partition(|member| member.zone == *zone);
    let mut targets = Vec::new();
    targets.extend(fastrand::choice(&local).map(|member| Target::member(member)));
    let zone_size = local.len() + 1;
    if local.is_empty() || fastrand::usize(..zone_size) == 0 {
        targets.extend(fastrand::choice(&remote).map(|member| Target::member(member)));
    }
    if round.is_multiple_of(ROUNDS_PER_DEAD_CONTACT) {
        let rows = members.rows();
        let dead: Vec<&Member> = rows
            .iter()
            .filter(|row| row.state == MemberState::Dead)
            .collect();
        targets.extend(fastrand::choice(&dead).map(|member| Target::member(member)));
        let seed = fastrand::choice(&state.settings.seeds);
        targets.extend(seed.filter(|_| local.is_empty()).map(Target::seed));
    }
    targets
}

/// Exchanges with a few random peers of this host's zone.
async fn exchange_in_zone(state: &HostState, clients: &PeerClients, shared: &SharedState) {
    exchange_with_all(state, clients, shared, zone_targets(state)).await;
}

/// Chooses a few random peers of this host's zone.
fn zone_targets(state: &HostState) -> Vec<Target> {
    let members = state.members.lock();
    let zone = &state.settings.zone;
    let local = members.peers().filter(|member| member.zone == *zone);
    fastrand::choose_multiple(local, TRIGGERED_FANOUT)
        .into_iter()
        .map(Target::member)
        .collect()
}

/// Chooses a random peer of each other zone.
fn remote_targets(state: &HostState) -> Vec<Target> {
    let members = state.members.lock();
    let mut peers: Vec<&Member> = members.peers().collect();
    fastrand::shuffle(&mut peers);
    let mut zones = FastSet::default();
    zones.insert(state.settings.zone.clone());
    peers.retain(|member| zones.insert(member.zone.clone()));
    peers.into_iter().map(Target::member).collect()
}

/// Carries out announcements without end: exchanges with a few peers of this host's zone and one of
/// each other zone, which pass on in their zones what they learn.
pub(crate) async fn run_announcements(
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    shared: Arc<SharedState>,
    mut requests: AnnouncementRequests,
) {
    while let Some(heard) = requests.recv().await {
        let mut targets = zone_targets(&state);
        targets.extend(remote_targets(&state));
        let (state, clients, shared) = (state.clone(), clients.clone(), shared.clone());
        // An exchange with a host that is gone must not delay the next announcement.
        tokio::spawn(async move {
            exchange_with_all(&state, &clients, &shared, targets).await;
            let _ = heard.send(());
        });
    }
}

async fn exchange_with_all(
    state: &HostState,
    clients: &PeerClients,
    shared: &SharedState,
    targets: Vec<Target>,
) {
    let exchanges = targets
        .into_iter()
        .map(|target| exchange(state, clients, shared, target));
    futures::future::join_all(exchanges).await;
}

/// Exchanges with one host, and marks it as suspect if that fails.
async fn exchange(state: &HostState, clients: &PeerClients, shared: &SharedState, target: Target) {
    metrics::counter!("clementinearch_peer_exchanges_total", "side" => "asked").increment(1);
    let outcome = exchange_once(state, clients, shared, &target).await;
    if let (Err(e), Some(name)) = (outcome, &target.name) {
        log::debug!("exchange with {name} failed: {e}");
        state.members.lock().suspect(name, clock::now());
    }
}

/// Exchanges digests with a host, merges the reply, and sends the rows and the configuration that the
/// host lacks.
///
/// # Errors
///
/// Returns an error if a call fails; replies received before are kept.
async fn exchange_once(
    state: &HostState,
    clients: &PeerClients,
    shared: &SharedState,
    target: &Target,
) -> Result<(), PeerError> {
    let digest = own_digest(state, shared);
    let reply = clients
        .call(&target.address, |peer| async move {
            peer.exchange(call_context(), digest).await
        })
        .await?;
    state.members.lock().merge(&reply.rows, clock::now());
    if let Some(snapshot) = reply.snapshot {
        apply_snapshot(state, snapshot);
    }
    if merge_digest(state, shared, &reply.digest) {
        let rows = state.members.lock().rows();
        clients
            .call(&target.address, |peer| async move {
                peer.tell(call_context(), rows).await
            })
            .await?;
    }
    if let Some(snapshot) = snapshot_for(state, &reply.digest) {
        clients
            .call(&target.address, |peer| async move {
                peer.offer(call_context(), snapshot).await
            })
            .await?;
    }
    Ok(())
}

/// Announces to a few peers that this host has left.
pub(crate) async fn announce_departure(
    state: &HostState,
    clients: &PeerClients,
    shared: &SharedState,
) {
    const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(1);
    state.members.lock().set_local_state(MemberState::Left);
    let _ = tokio::time::timeout(DEPARTURE_TIMEOUT, exchange_in_zone(state, clients, shared)).await;
}
