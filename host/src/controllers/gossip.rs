//! Spreads membership, configuration and what servers said, with a fixed number of messages a host.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    membership::{Member, MemberState},
    names::Name,
};
use tokio::time::{Instant, sleep_until};

use crate::{
    board::Board,
    clock,
    controllers::peer_server::{apply_snapshot, own_digest, snapshot_for, take_in},
    peers::clients::{PeerClients, PeerError, call_context},
    shared::state::SharedState,
};

/// Peers told at once of a new configuration or a state of this host.
const NEWS_FANOUT: usize = 3;

/// One in this many rounds also tries a host that counts as dead, so that parts of a healed
/// partition find each other.
const ROUNDS_PER_REVIVAL: u64 = 10;

/// Runs the controller until the host has left.
pub(crate) async fn run(board: Arc<Board>, clients: Arc<PeerClients>, shared: Arc<SharedState>) {
    let mut round = 0;
    loop {
        let next = Instant::now() + board.settings.gossip_period;
        expire(&board);
        shared.trials.expire();
        shared.quality.evaluate_versions();
        shared.cascades.update(&shared.quality);
        metrics::gauge!("clementinearch_members")
            .set((board.members.lock().peers().count() + 1) as f64);
        metrics::gauge!("clementinearch_servers_leaving")
            .set(board.servers.leaving(clock::now()).len() as f64);
        let mut targets = choose_targets(&board, round);
        if round == 0 {
            targets.extend(
                board
                    .settings
                    .seeds
                    .iter()
                    .map(|seed| Target::unnamed(&seed.to_string())),
            );
        }
        exchange_with_all(&board, &clients, &shared, targets).await;
        board.note_peers_asked();
        round += 1;
        tokio::select! {
            () = sleep_until(next) => {}
            () = board.news.notified() => spread_news(&board, &clients, &shared).await,
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

fn expire(board: &Board) {
    let (died, zone) = {
        let mut members = board.members.lock();
        (
            members.expire(clock::now()),
            members.in_zone(&board.settings.zone),
        )
    };
    board.servers.set_entry_hosts(zone);
    for name in died {
        log::info!("entry host {name} counts as dead");
    }
}

/// One peer of the own zone; one of another zone so often that the zone sends one a round.
fn choose_targets(board: &Board, round: u64) -> Vec<Target> {
    let members = board.members.lock();
    let zone = &board.settings.zone;
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
        let seed = fastrand::choice(&board.settings.seeds);
        targets.extend(
            seed.filter(|_| local.is_empty())
                .map(|seed| Target::unnamed(&seed.to_string())),
        );
    }
    targets
}

async fn spread_news(board: &Board, clients: &PeerClients, shared: &SharedState) {
    let targets = {
        let members = board.members.lock();
        let zone = &board.settings.zone;
        let local = members.peers().filter(|member| member.zone == *zone);
        fastrand::choose_multiple(local, NEWS_FANOUT)
            .into_iter()
            .map(Target::named)
            .collect()
    };
    exchange_with_all(board, clients, shared, targets).await;
}

async fn exchange_with_all(
    board: &Board,
    clients: &PeerClients,
    shared: &SharedState,
    targets: Vec<Target>,
) {
    let exchanges = targets
        .into_iter()
        .map(|target| exchange(board, clients, shared, target));
    futures::future::join_all(exchanges).await;
}

async fn exchange(board: &Board, clients: &PeerClients, shared: &SharedState, target: Target) {
    metrics::counter!("clementinearch_peer_exchanges_total", "side" => "asked").increment(1);
    let outcome = exchange_once(board, clients, shared, &target).await;
    if let (Err(e), Some(name)) = (outcome, &target.name) {
        log::debug!("exchange with {name}: {e}");
        board.members.lock().suspect(name, clock::now());
    }
}

async fn exchange_once(
    board: &Board,
    clients: &PeerClients,
    shared: &SharedState,
    target: &Target,
) -> Result<(), PeerError> {
    let digest = own_digest(board, shared);
    let reply = clients
        .call(&target.address, |peer| async move {
            peer.exchange(call_context(), digest).await
        })
        .await?;
    board.members.lock().merge(&reply.rows, clock::now());
    if let Some(snapshot) = reply.snapshot {
        apply_snapshot(board, snapshot);
    }
    if take_in(board, shared, &reply.digest) {
        let rows = board.members.lock().rows();
        clients
            .call(&target.address, |peer| async move {
                peer.tell(call_context(), rows).await
            })
            .await?;
    }
    if let Some(snapshot) = snapshot_for(board, &reply.digest) {
        clients
            .call(&target.address, |peer| async move {
                peer.offer(call_context(), snapshot).await
            })
            .await?;
    }
    Ok(())
}

/// Tells some peers at once that this host has left.
pub(crate) async fn say_goodbye(board: &Board, clients: &PeerClients, shared: &SharedState) {
    const GOODBYE_LIMIT: Duration = Duration::from_secs(1);
    board.members.lock().set_local_state(MemberState::Left);
    let _ = tokio::time::timeout(GOODBYE_LIMIT, spread_news(board, clients, shared)).await;
}
