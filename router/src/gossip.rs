//! What entry hosts tell each other: datagrams with advice, each word replaced by the next.
//!
//! A lost datagram costs nothing but a period; nothing here decides what must be agreed on.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{names::Name, suspect::SuspectRow};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    fleet::{PEERS_PER_PERIOD, PeerInfo},
    gossip_event::{GossipEvent, Prefill},
    host_state::HostState,
    rollouts::{RolloutReport, SessionVersion},
};

/// Largest datagram that is read, bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Time for which prompts that were sent are gathered before peers are told of them.
const EVENT_BATCH_PERIOD: Duration = Duration::from_millis(25);

/// Datagrams about prompts that a host sends in a second at most; a larger fleet is told less often.
const PREFILL_DATAGRAMS_PER_S: u32 = 600;

/// Prompts, or sessions, that one datagram tells of.
const ROWS_PER_DATAGRAM: usize = 40;

/// A datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    #[serde(rename = "Word")]
    Report(Box<HostReport>),
    #[serde(rename = "Readings")]
    Prefills(Vec<Prefill>),
    Sessions(Vec<SessionVersion>),
}

/// What a host says of itself and of what it believes.
#[derive(Debug, Serialize, Deserialize)]
struct HostReport {
    from: Name,
    zone: Name,
    address: SocketAddr,
    store_revision: u64,
    rollouts: Vec<RolloutReport>,
    suspects: Vec<SuspectRow>,
}

/// One host's part in the talk.
pub(crate) struct Gossip {
    state: Arc<HostState>,
    socket: UdpSocket,
    events: mpsc::UnboundedReceiver<GossipEvent>,
    prefills: Vec<Prefill>,
    sessions: Vec<SessionVersion>,
}

impl Gossip {
    /// Tells what comes through `events`, and words in a steady period.
    pub(crate) fn new(
        state: Arc<HostState>,
        socket: UdpSocket,
        events: mpsc::UnboundedReceiver<GossipEvent>,
    ) -> Self {
        Self {
            state,
            socket,
            events,
            prefills: Vec::new(),
            sessions: Vec::new(),
        }
    }

    /// Tells peers and hears them, until the process ends.
    pub(crate) async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_report = Instant::now();
        let mut next_events = next_report;
        loop {
            let has_events = !self.prefills.is_empty() || !self.sessions.is_empty();
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((length, _)) = received {
                        receive(&self.state, &buf[..length]);
                    }
                }
                Some(event) = self.events.recv() => self.buffer(event),
                () = sleep_until(next_events), if has_events => {
                    next_events = Instant::now() + self.send_events().await;
                }
                () = sleep_until(next_report) => {
                    next_report = Instant::now() + self.state.settings.limits.gossip_period;
                    self.send_report().await;
                }
            }
        }
    }

    fn buffer(&mut self, event: GossipEvent) {
        match event {
            GossipEvent::Prefill(prefill) => self.prefills.push(prefill),
            GossipEvent::Session(session) => self.sessions.push(session),
        }
    }

    /// Tells what was gathered. Returns the time until the next telling.
    async fn send_events(&mut self) -> Duration {
        let mut peers = self.state.fleet.lock().gossip_targets(self.state.now());
        for part in std::mem::take(&mut self.sessions).chunks(ROWS_PER_DATAGRAM) {
            // Every host may meet the session next.
            self.send(&Datagram::Sessions(part.to_vec()), &peers).await;
        }
        let period = EVENT_BATCH_PERIOD
            .max(Duration::from_secs(1) * peers.len() as u32 / PREFILL_DATAGRAMS_PER_S);
        peers.truncate(PEERS_PER_PERIOD);
        for part in std::mem::take(&mut self.prefills).chunks(ROWS_PER_DATAGRAM) {
            self.send(&Datagram::Prefills(part.to_vec()), &peers).await;
        }
        period
    }

    async fn send_report(&self) {
        let state = &self.state;
        let now = state.now();
        let report = HostReport {
            from: state.settings.name.clone(),
            zone: state.settings.zone.clone(),
            address: state.settings.listen.peers,
            store_revision: state.view.lock().store_revision(),
            rollouts: state.rollouts.reports(now, |service, target| {
                state.running_on_other_versions(service, target)
            }),
            suspects: state.suspects.lock().rows(now),
        };
        let mut peers = state.fleet.lock().gossip_targets(now);
        peers.truncate(PEERS_PER_PERIOD);
        self.send(&Datagram::Report(Box::new(report)), &peers).await;
    }

    async fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) {
        match serde_json::to_vec(datagram) {
            Ok(bytes) => {
                for peer in peers {
                    // An unreachable peer is told again next time.
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
            }
            Err(e) => self
                .state
                .log_event("word_not_written", "", &e.to_string(), &[]),
        }
    }
}

fn receive(state: &HostState, datagram: &[u8]) {
    let now = state.now();
    match serde_json::from_slice::<Datagram>(datagram) {
        Ok(Datagram::Prefills(prefills)) => {
            for prefill in prefills {
                if let Some(server) = state.servers.by_hash(prefill.server) {
                    let span = Duration::from_millis(u64::from(prefill.ms));
                    server.note_peer_reading(&prefill.shared, prefill.size, span, now);
                }
            }
        }
        Ok(Datagram::Sessions(sessions)) => {
            for session in &sessions {
                state.rollouts.record_peer_session(session, now);
            }
        }
        Ok(Datagram::Report(report)) => receive_report(state, *report),
        Err(e) => state.log_event("word_unreadable", "", &e.to_string(), &[]),
    }
}

fn receive_report(state: &HostState, report: HostReport) {
    let now = state.now();
    if report.from == state.settings.name {
        return;
    }
    state
        .rollouts
        .merge_reports(&report.from, report.rollouts, now);
    state.suspects.lock().merge(&report.suspects, now);
    let peer = PeerInfo {
        name: report.from,
        address: report.address,
        zone: report.zone,
        store_revision: report.store_revision,
    };
    state.fleet.lock().record_peer(peer, now);
}
