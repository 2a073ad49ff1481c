//! Gossip between entry hosts over UDP: periodic host reports, and events in batches.
//!
//! Gossip is advisory and needs no acknowledgement. Each report replaces the one before, so that a
//! lost datagram only delays an update by a period; nothing here decides what hosts must agree on.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{
    addresses::check_address,
    crash_evidence::EvidenceRow,
    link_pacer::{GOSSIP_LINK_SHARE, event_batch_time, send_time},
    names::{FastSet, Name},
    part_evidence::PartRow,
    shared_load::SHARE_PERIOD,
    time::Millis,
};
use clementinearch_storage::StorePosition;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    dialect::Block,
    fleet::{PEERS_PER_PERIOD, PeerInfo},
    gossip_event::{GossipEvent, Prefill, datagram_pieces},
    host_state::HostState,
    rollout::RolloutReport,
    rollouts::SessionVersion,
    server_limits::{LimitRow, limit_rows, merge_limits, merge_refusal_limits, refusal_limit_rows},
    server_loads::{LoadMessage, load_message, merge_loads},
};

/// Largest datagram that is read, bytes. Reports with the evidence of a rollout on many routes are
/// the largest.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Shortest time for which events are gathered into a batch.
const EVENT_BATCH_PERIOD: Duration = Duration::from_millis(25);

/// Longest prefill that a peer's word stands for.
const MAX_PREFILL: Duration = Duration::from_secs(60);

/// Most sessions or rows on prompt parts in one datagram.
const ROWS_PER_DATAGRAM: usize = 40;

/// A datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    #[serde(rename = "Word")]
    Report(Box<HostReport>),
    #[serde(rename = "Readings")]
    Prefills(Vec<Prefill>),
    Sessions(Vec<SessionVersion>),
    Parts(Vec<PartRow>),
    /// Goes only to hosts that say that they read it.
    Loads(LoadMessage),
}

/// The periodic report of a host on itself, its rollouts and suspect requests.
#[derive(Debug, Serialize, Deserialize)]
struct HostReport {
    from: Name,
    zone: Name,
    address: SocketAddr,
    store_revision: u64,
    /// Era of that revision. Hosts of earlier versions name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store_era: Option<u64>,
    rollouts: Vec<RolloutReport>,
    #[serde(rename = "suspects")]
    crash_evidence: Vec<EvidenceRow>,
    /// Prompt parts that may crash servers.
    #[serde(default)]
    part_evidence: Vec<PartRow>,
    /// Whether the host reaches no backend server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    has_lost_servers: bool,
    /// Rate of the host's link, Mbit/s; zero if it is not known.
    #[serde(default)]
    link_mbps: u32,
    /// Whether the host serves requests that peers forward to it. Versions that do not, and the
    /// first one that does, say nothing.
    #[serde(default)]
    serves_forwarded: bool,
    /// Whether the host reads messages on the servers' load. Hosts of earlier versions log datagrams
    /// of a kind that they do not know.
    #[serde(default)]
    reads_loads: bool,
    /// Limits of servers, by what any host heard last.
    #[serde(default)]
    server_limits: Vec<LimitRow>,
    /// Refusals per second that servers bear, by what any host heard last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    refusal_limits: Vec<LimitRow>,
}

/// Sends this host's gossip and receives that of its peers.
pub(crate) struct Gossip {
    state: Arc<HostState>,
    socket: UdpSocket,
    events: mpsc::UnboundedReceiver<GossipEvent>,
    prefills: Vec<Prefill>,
    /// Prompts of other zones' hosts, of which the own zone's are to be told.
    relayed: Vec<Prefill>,
    sessions: Vec<SessionVersion>,
    /// When peers were last told of the servers' load.
    loads_sent_at: Millis,
    /// Prompt parts of which there is news.
    parts: FastSet<u64>,
    /// Whether a new report is to be built and sent.
    is_report_due: bool,
    /// The last report, and the peers that it is still to be sent to.
    report: Vec<u8>,
    report_targets: Vec<SocketAddr>,
}

impl Gossip {
    /// Gossips over `socket`; `events` delivers the data path's events.
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
            relayed: Vec::new(),
            sessions: Vec::new(),
            loads_sent_at: Millis(0),
            parts: FastSet::default(),
            is_report_due: true,
            report: Vec::new(),
            report_targets: Vec::new(),
        }
    }

    /// Sends and receives gossip until the process ends.
    pub(crate) async fn run(&mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_report = Instant::now();
        let mut next_events = next_report;
        let mut next_send = next_report;
        let mut next_loads = next_report;
        loop {
            let has_events = !self.prefills.is_empty()
                || !self.relayed.is_empty()
                || !self.sessions.is_empty()
                || !self.parts.is_empty();
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((length, peer)) = received {
                        let reply = receive(&self.state, &buf[..length]);
                        if !reply.is_empty() {
                            self.send(&Datagram::Parts(reply), &[peer]).await;
                        }
                    }
                }
                Some(event) = self.events.recv() => match event {
                    GossipEvent::Report => self.is_report_due = true,
                    event => self.buffer(event),
                },
                () = sleep_until(next_events), if has_events => {
                    next_events = Instant::now() + self.send_events().await;
                }
                () = sleep_until(next_report) => {
                    next_report = Instant::now() + self.state.settings.limits.gossip_period;
                    self.is_report_due = true;
                }
                () = sleep_until(next_loads) => {
                    next_loads = Instant::now() + SHARE_PERIOD;
                    self.send_loads().await;
                }
                () = sleep_until(next_send), if self.has_report_to_send() => {
                    next_send = Instant::now() + self.send_report().await;
                }
            }
        }
    }

    fn buffer(&mut self, event: GossipEvent) {
        match event {
            GossipEvent::Prefill(prefill) => self.prefills.push(prefill),
            GossipEvent::RelayedPrefill(prefill) => self.relayed.push(prefill),
            GossipEvent::Session(session) => self.sessions.push(session),
            GossipEvent::PartEvidence(parts) => self.parts.extend(parts),
            // Sent without a batch.
            GossipEvent::Report => {}
        }
    }

    /// Sends the buffered events. Returns the time until the next batch.
    async fn send_events(&mut self) -> Duration {
        let now = self.state.now();
        if !self.parts.is_empty() {
            self.send_part_evidence(now).await;
        }
        let mut peers = self.state.fleet.lock().gossip_targets(now);
        let mut datagrams = 0;
        for chunk in std::mem::take(&mut self.sessions).chunks(ROWS_PER_DATAGRAM) {
            // Sessions go to all peers: any of them may get the next request.
            self.send(&Datagram::Sessions(chunk.to_vec()), &peers).await;
            datagrams += peers.len();
        }
        peers.truncate(PEERS_PER_PERIOD);
        let prefills = std::mem::take(&mut self.prefills);
        if !self.state.shares_loads() {
            self.relayed.clear();
            datagrams += self.send_prefills(&prefills, &peers).await;
            return EVENT_BATCH_PERIOD.max(event_batch_time(datagrams));
        }
        let (long, short): (Vec<_>, Vec<_>) = prefills.into_iter().partition(Prefill::is_long);
        datagrams += self.send_prefills(&short, &peers).await;
        datagrams += self.send_to_trackers(&short, &peers, now).await;
        // Other zones' trackers hear of long prompts from the relays, and must not hear of them twice.
        let near = self.state.fleet.lock().near_targets(now);
        datagrams += self.send_prefills(&long, &near).await;
        datagrams += self
            .send_to_trackers(&self.of_own_zone(&long), &near, now)
            .await;
        let relays = self.state.fleet.lock().zone_relays(now);
        let to_relay: Vec<Prefill> = long.iter().map(Prefill::to_relay).collect();
        datagrams += self.send_prefills(&to_relay, &relays).await;
        let relayed = std::mem::take(&mut self.relayed);
        datagrams += self.send_prefills(&relayed, &near).await;
        datagrams += self
            .send_to_trackers(&self.of_own_zone(&relayed), &near, now)
            .await;
        EVENT_BATCH_PERIOD.max(event_batch_time(datagrams))
    }

    /// Sends prefills to all `peers`. Returns the number of datagrams.
    async fn send_prefills(&self, prefills: &[Prefill], peers: &[SocketAddr]) -> usize {
        let mut datagrams = 0;
        for chunk in datagram_pieces(prefills) {
            self.send(&Datagram::Prefills(chunk.to_vec()), peers).await;
            datagrams += peers.len();
        }
        datagrams
    }

    /// Prefills on servers of the own zone.
    fn of_own_zone(&self, prefills: &[Prefill]) -> Vec<Prefill> {
        let is_near = |prefill: &&Prefill| {
            let server = self.state.servers.by_hash(prefill.server);
            server.is_some_and(|server| server.entry.zone == self.state.settings.zone)
        };
        prefills.iter().filter(is_near).cloned().collect()
    }

    /// Sends each prefill to the trackers of its server that are not among `told`. Returns the
    /// number of datagrams.
    async fn send_to_trackers(
        &self,
        prefills: &[Prefill],
        told: &[SocketAddr],
        now: Millis,
    ) -> usize {
        let mut datagrams = 0;
        for prefill in prefills {
            let Some(server) = self.state.servers.by_hash(prefill.server) else {
                continue;
            };
            let zone = &server.entry.zone;
            let (mut trackers, _) = self.state.fleet.lock().trackers(zone, prefill.server, now);
            trackers.retain(|address| !told.contains(address));
            datagrams += self
                .send_prefills(std::slice::from_ref(prefill), &trackers)
                .await;
        }
        datagrams
    }

    /// Sends what has become known of the servers' load since the last time to a few peers.
    async fn send_loads(&mut self) {
        let now = self.state.now();
        let since = std::mem::replace(&mut self.loads_sent_at, now);
        if !self.state.shares_loads() {
            return;
        }
        let peers = self.state.fleet.lock().load_targets(now);
        if peers.is_empty() {
            return;
        }
        if let Some(message) = load_message(&self.state, since, now) {
            let bytes = self.send(&Datagram::Loads(message), &peers).await;
            metrics::counter!("clementinearch_load_bytes_total").increment(bytes as u64);
        }
    }

    /// Sends the evidence on prompt parts of which there is news, to peers in all zones.
    async fn send_part_evidence(&mut self, now: Millis) {
        let parts: Vec<u64> = self.parts.drain().collect();
        let rows = self.state.part_evidence.lock().rows_on(&parts, now);
        let peers = self.state.fleet.lock().report_targets(now);
        for chunk in rows.chunks(ROWS_PER_DATAGRAM) {
            self.send(&Datagram::Parts(chunk.to_vec()), &peers).await;
        }
    }

    fn has_report_to_send(&self) -> bool {
        self.is_report_due || !self.report_targets.is_empty()
    }

    /// Builds a report for some of the peers. It replaces the one before, of which all that is
    /// worth sending is in it.
    fn build_report(&mut self) {
        let state = &self.state;
        let now = state.now();
        let position = state.view.lock().position();
        let report = HostReport {
            from: state.settings.name.clone(),
            zone: state.settings.zone.clone(),
            address: state.settings.listen.peers,
            store_revision: position.revision,
            store_era: Some(position.era).filter(|era| *era != 0),
            rollouts: state.rollouts.reports(now, |service, target| {
                state.running_on_other_versions(service, target)
            }),
            crash_evidence: state.crash_evidence.lock().rows(now),
            part_evidence: state.part_evidence.lock().rows(now),
            has_lost_servers: state.has_lost_servers(),
            link_mbps: state.fleet.lock().link_mbps(),
            serves_forwarded: true,
            reads_loads: state.shares_loads(),
            server_limits: limit_rows(state, now),
            refusal_limits: refusal_limit_rows(state, now),
        };
        let targets = state.fleet.lock().report_recipients(now);
        match serde_json::to_vec(&Datagram::Report(Box::new(report))) {
            Ok(bytes) => {
                self.report = bytes;
                self.report_targets = targets;
            }
            Err(e) => state.log_event("word_not_written", "", &e.to_string(), &[]),
        }
    }

    /// Sends the report to the next peer. Returns the time until another may be sent: a large one
    /// to all peers at once would fill the link of a small host.
    async fn send_report(&mut self) -> Duration {
        if std::mem::take(&mut self.is_report_due) {
            self.build_report();
        }
        let Some(peer) = self.report_targets.pop() else {
            return Duration::ZERO;
        };
        // An unreachable peer is tried again with a later report.
        let _ = self.socket.send_to(&self.report, peer).await;
        let length = self.report.len();
        metrics::counter!("clementinearch_report_bytes_total").increment(length as u64);
        send_time(
            length,
            GOSSIP_LINK_SHARE,
            self.state.settings.limits.link_mbps,
        )
    }

    /// Sends a datagram to each peer. Returns the bytes that were sent, without packet headers.
    async fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) -> usize {
        match serde_json::to_vec(datagram) {
            Ok(bytes) => {
                for peer in peers {
                    // An unreachable peer is tried again with the next datagram.
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
                bytes.len() * peers.len()
            }
            Err(e) => {
                let state = &self.state;
                state.log_event("word_not_written", "", &e.to_string(), &[]);
                0
            }
        }
    }
}

/// Records what a peer sent. Returns rows on prompt parts of which it does not know enough.
fn receive(state: &HostState, datagram: &[u8]) -> Vec<PartRow> {
    let now = state.now();
    match serde_json::from_slice::<Datagram>(datagram) {
        Ok(Datagram::Prefills(prefills)) => {
            for mut prefill in prefills {
                if let Some(server) = state.servers.by_hash(prefill.server) {
                    let span = Duration::from_millis(u64::from(prefill.ms)).min(MAX_PREFILL);
                    server.record_peer_prefill(&prefill.shared, prefill.size, span, now);
                    if std::mem::take(&mut prefill.is_to_relay) {
                        state.enqueue_gossip(GossipEvent::RelayedPrefill(prefill));
                    }
                }
            }
        }
        Ok(Datagram::Sessions(sessions)) => {
            for session in &sessions {
                state.rollouts.record_peer_session(session, now);
            }
        }
        Ok(Datagram::Loads(message)) => merge_loads(state, &message, now),
        Ok(Datagram::Parts(rows)) => return state.merge_part_rows(&rows, now),
        Ok(Datagram::Report(report)) => return receive_report(state, *report),
        Err(e) => state.log_event("word_unreadable", "", &e.to_string(), &[]),
    }
    Vec::new()
}

fn receive_report(state: &HostState, report: HostReport) -> Vec<PartRow> {
    let now = state.now();
    if report.from == state.settings.name {
        return Vec::new();
    }
    if let Err(why) = check_address(report.address) {
        state.log_event("word_unreadable", &report.from, &why, &[]);
        return Vec::new();
    }
    let zone = Some(&report.zone).filter(|zone| **zone != state.settings.zone);
    state
        .rollouts
        .merge_reports(&report.from, zone, report.rollouts, now);
    merge_limits(state, &report.server_limits, now);
    merge_refusal_limits(state, &report.refusal_limits, now);
    let reply = state.merge_part_rows(&report.part_evidence, now);
    let newly_blocked = state
        .crash_evidence
        .lock()
        .merge(&report.crash_evidence, now);
    for content in newly_blocked {
        state.log_block("content_blocked", Block::Content(content), "peer");
    }
    let own_era = state.view.lock().position().era;
    let peer = PeerInfo {
        name: report.from,
        address: report.address,
        zone: report.zone,
        position: StorePosition {
            era: report.store_era.unwrap_or(own_era),
            revision: report.store_revision,
        },
        has_lost_servers: report.has_lost_servers,
        link_mbps: report.link_mbps,
        serves_forwarded: report.serves_forwarded,
        reads_loads: report.reads_loads,
    };
    state.fleet.lock().record_peer(peer, now);
    reply
}
