//! Spreads membership, configuration and what servers said, with a fixed number of messages a host.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    membership::{Member, MemberState},
    names::Name,
};
use tokio::time::{Instant, sleep_until};

use crate::{
    clock,
    controllers::peer_server::{apply_snapshot, own_digest, snapshot_for, take_in},
    host_state::HostState,
    peers::clients::{PeerClients, PeerError, call_context},
    shared::learned::Shared,
};

/// Peers told at once of a new configuration or a state of this host.
const NEWS_FANOUT: usize = 3;

/// One in this many rounds also tries a host that counts as dead, so that parts of a healed
/// partition find each other.
const ROUNDS_PER_REVIVAL: u64 = 10;

/// Runs the controller until the host has left.
pub(crate) async fn run(state: Arc<HostState>, clients: Arc<PeerClients>, shared: Arc<Shared>) {
    let mut round = 0;
    loop {
        let next = Instant::now() + state.settings.gossip_period;
        expire(&state);
        shared.trials.expire();
        shared.quality.judge();
        shared.cascades.update(&shared.quality);
        metrics::gauge!("clementinearch_members")
            .set((state.members.lock().peers().count() + 1) as f64);
        metrics::gauge!("clementinearch_servers_leaving")
            .set(state.servers.leaving(clock::now()).len() as f64);
        let mut targets = choose_targets(&state, round);
        if round == 0 {
            targets.extend(
                state
                    .settings
                    .seeds
                    .iter()
                    .map(|seed| Target::unnamed(&seed.to_string())),
            );
        }
        exchange_with_all(&state, &clients, &shared, targets).await;
        state.note_peers_asked();
        round += 1;
        tokio::select! {
            () = sleep_until(next) => {}
            () = state.gossip_trigger.notified() => spread_news(&state, &clients, &shared).await,
        }
    }
}

/// A peer to exchange with.
struct Target {
    name: Option<Name>,
    address: Name,
}

impl Target {
    fn named(member: &Member) -> Self {
        Self {
            name: Some(member.name.clone()),
            address: member.address.clone(),
        }
    }

    fn unnamed(address: &str) -> Self {
        Self {
            name: None,
            address: address.into(),
        }
    }
}

fn expire(state: &HostState) {
    let (died, zone) = {
        let mut members = state.members.lock();
        (
            members.expire(clock::now()),
            members.in_zone(&state.settings.zone),
        )
    };
    state.servers.set_hosts(zone);
    for name in died {
        log::info!("entry host {name} counts as dead");
    }
}

/// One peer of the own zone; one of another zone so often that the zone sends one a round.
fn choose_targets(state: &HostState, round: u64) -> Vec<Target> {
    let members = state.members.lock();
    let zone = &state.settings.zone;
    let (local, remote): (Vec<&Member>, Vec<&Member>) =
        members.peers().partition(|member| member.zone == *zone);
    let mut targets = Vec::new();
    targets.extend(fastrand::choice(&local).map(|member| Target::named(member)));
    let zone_size = local.len() + 1;
    if local.is_empty() || fastrand::usize(..zone_size) == 0 {
        targets.extend(fastrand::choice(&remote).map(|member| Target::named(member)));
    }
    if round.is_multiple_of(ROUNDS_PER_REVIVAL) {
        let rows = members.rows();
        let dead: Vec<&Member> = rows
            .iter()
            .filter(|row| row.state == MemberState::Dead)
            .collect();
        targets.extend(fastrand::choice(&dead).map(|member| Target::named(member)));
        let seed = fastrand::choice(&state.settings.seeds);
        targets.extend(
            seed.filter(|_| local.is_empty())
                .map(|seed| Target::unnamed(&seed.to_string())),
        );
    }
    targets
}

async fn spread_news(state: &HostState, clients: &PeerClients, shared: &Shared) {
    let targets = {
        let members = state.members.lock();
        let zone = &state.settings.zone;
        let local = members.peers().filter(|member| member.zone == *zone);
        fastrand::choose_multiple(local, NEWS_FANOUT)
            .into_iter()
            .map(Target::named)
            .collect()
    };
    exchange_with_all(state, clients, shared, targets).await;
}

async fn exchange_with_all(
    state: &HostState,
    clients: &PeerClients,
    shared: &Shared,
    targets: Vec<Target>,
) {
    let exchanges = targets
        .into_iter()
        .map(|target| exchange(state, clients, shared, target));
    futures::future::join_all(exchanges).await;
}

async fn exchange(state: &HostState, clients: &PeerClients, shared: &Shared, target: Target) {
    metrics::counter!("clementinearch_peer_exchanges_total", "side" => "asked").increment(1);
    let outcome = exchange_once(state, clients, shared, &target).await;
    if let (Err(e), Some(name)) = (outcome, &target.name) {
        log::debug!("exchange with {name}: {e}");
        state.members.lock().suspect(name, clock::now());
    }
}

async fn exchange_once(
    state: &HostState,
    clients: &PeerClients,
    shared: &Shared,
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
    if take_in(state, shared, &reply.digest) {
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

/// Tells some peers at once that this host has left.
pub(crate) async fn say_goodbye(state: &HostState, clients: &PeerClients, shared: &Shared) {
    const GOODBYE_LIMIT: Duration = Duration::from_secs(1);
    state.members.lock().set_local_state(MemberState::Left);
    let _ = tokio::time::timeout(GOODBYE_LIMIT, spread_news(state, clients, shared)).await;
}
