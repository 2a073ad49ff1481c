//! This host's path to the backend servers: checks by connections to a few of them, and what a loss
//! of the path means for requests, peers and the load balancer.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clementinearch_policy::{
    connectivity::{
        CHECK_PERIOD, Connectivity, FailedCheck, SAMPLE_PERIOD, SAMPLE_TIMEOUT, SAMPLES, sample,
    },
    names::Name,
    time::Millis,
};
use futures::{StreamExt, stream::FuturesUnordered};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::{gossip_event::GossipEvent, host_state::HostState};

/// Time for which a peer's refusal of a forwarded request makes this host not ready.
const FORWARDING_FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// What this host knows of its path to the backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerPath {
    connectivity: Mutex<Connectivity>,
    /// End of the last check; held during one, so that checks do not overlap.
    last_check: tokio::sync::Mutex<Option<Millis>>,
    /// When no peer took a request that this host could not send.
    forwarding_failed_at: Mutex<Option<Millis>>,
}

impl HostState {
    /// Whether this host reaches no backend server.
    pub(crate) fn has_lost_servers(&self) -> bool {
        self.server_path.connectivity.lock().is_lost()
    }

    /// Whether this host reaches no backend server, but a peer does.
    pub(crate) fn is_cut_off(&self, now: Millis) -> bool {
        self.has_lost_servers() && self.fleet.lock().has_peer_with_servers(now)
    }

    /// Whether callers should come to another host: this one reaches no backend server, and of the
    /// peers that do none took its last request, or none serves forwarded requests.
    pub(crate) fn should_be_avoided(&self, now: Millis) -> bool {
        if !self.is_cut_off(now) {
            return false;
        }
        let failed_at = *self.server_path.forwarding_failed_at.lock();
        failed_at.is_some_and(|at| now.since(at) <= FORWARDING_FAILURE_WINDOW)
            || self.fleet.lock().forwarding_peers(now).is_empty()
    }

    /// Records whether a peer took a request that this host could not send.
    pub(crate) fn record_forwarding(&self, is_taken: bool, now: Millis) {
        *self.server_path.forwarding_failed_at.lock() = (!is_taken).then_some(now);
    }

    /// Records that a backend server accepted a connection.
    pub(crate) fn record_server_connected(&self, now: Millis) {
        let lost_since = self.server_path.connectivity.lock().record_connected(now);
        let Some(since) = lost_since else {
            return;
        };
        // They were marked because of the path. One that is down is soon marked again.
        for server in self.servers.all() {
            server.forget_unreachable();
        }
        *self.server_path.forwarding_failed_at.lock() = None;
        let away_ms = now.since(since).as_millis() as f64;
        self.log_event("servers_regained", "", "", &[("away_ms", away_ms)]);
        self.enqueue_gossip(GossipEvent::Report);
    }
}

/// Checks the path after a connection that was begun at `began_at` failed, unless another one has
/// been accepted since. Returns whether the path is lost.
pub(crate) async fn check_after_failure(state: &HostState, began_at: Millis) -> bool {
    if state.server_path.connectivity.lock().needs_check(began_at) {
        check(state).await;
    }
    state.has_lost_servers()
}

/// Connects to samples of the servers. A check that another task has begun meanwhile serves as
/// well.
async fn check(state: &HostState) {
    let wanted_at = state.now();
    let mut last_check = state.server_path.last_check.lock().await;
    if last_check.is_some_and(|at| at > wanted_at) {
        return;
    }
    let began_at = state.now();
    // Once the path is lost, the next check is soon enough.
    let samples = if state.has_lost_servers() { 1 } else { SAMPLES };
    let failure = connect_to_samples(state, samples).await;
    let now = state.now();
    *last_check = Some(now);
    drop(last_check);
    let Some(failure) = failure else {
        return;
    };
    let servers = state.servers.all();
    let contacts = servers.iter().map(|server| server.last_contact());
    let failed = FailedCheck {
        began_at,
        are_all_refused: failure.are_all_refused,
        last_contact: contacts.max().unwrap_or_default(),
    };
    let mut connectivity = state.server_path.connectivity.lock();
    let is_news = connectivity.record_failed_check(failed, now);
    drop(connectivity);
    if is_news {
        let inputs = [("tried", failure.tried as f64)];
        state.log_event("servers_lost", "", "no server is reached", &inputs);
        state.enqueue_gossip(GossipEvent::Report);
    }
}

/// Connections of which none was accepted.
struct FailedConnections {
    tried: usize,
    are_all_refused: bool,
}

/// Connects to samples of the servers, one after the other, until one accepts. Returns `None` if one
/// did, or there are no servers. The connections of a sample go on during the next one.
async fn connect_to_samples(state: &HostState, samples: u32) -> Option<FailedConnections> {
    let mut connecting = FuturesUnordered::new();
    let mut failure = FailedConnections {
        tried: 0,
        are_all_refused: true,
    };
    for number in 0..samples {
        let sampled = sampled_addresses(state);
        failure.tried += sampled.len();
        connecting.extend(sampled.into_iter().map(try_connect));
        let is_last = number + 1 == samples;
        let limit = if is_last {
            SAMPLE_TIMEOUT
        } else {
            SAMPLE_PERIOD
        };
        let trying = async {
            while let Some(connected) = connecting.next().await {
                match connected {
                    Ok(()) => return true,
                    Err(e) => failure.are_all_refused &= e.kind() == ErrorKind::ConnectionRefused,
                }
            }
            false
        };
        match tokio::time::timeout(limit, trying).await {
            Ok(true) => {
                state.record_server_connected(state.now());
                return None;
            }
            Ok(false) => {}
            Err(_) => failure.are_all_refused = false,
        }
    }
    (failure.tried > 0).then_some(failure)
}

/// Addresses of a sample of the servers.
fn sampled_addresses(state: &HostState) -> Vec<SocketAddr> {
    let mut servers = state.servers.all();
    servers.retain(|server| server.accepts_requests());
    let kinds: Vec<(Name, Name)> = servers
        .iter()
        .map(|server| (server.entry.service.clone(), server.entry.zone.clone()))
        .collect();
    let offset = state.placements.load(Ordering::Relaxed) + state.now().0 as usize;
    let sampled = sample(&kinds, offset);
    let address = |index: &usize| servers[*index].entry.address;
    sampled.iter().map(address).collect()
}

async fn try_connect(address: SocketAddr) -> io::Result<()> {
    let connecting = tokio::time::timeout(SAMPLE_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ErrorKind::TimedOut)??;
    drop(stream);
    Ok(())
}

/// Looks for the path while it is lost, until the process ends.
pub(crate) async fn watch(state: Arc<HostState>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        if state.has_lost_servers() {
            check(&state).await;
        }
    }
}
