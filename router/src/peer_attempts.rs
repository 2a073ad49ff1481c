//! Attempts of a request at other entry hosts, while this one reaches no backend server.

use std::{collections::VecDeque, net::SocketAddr};

use clementinearch_policy::{connectivity::CHECK_PERIOD, time::Millis};

use crate::{
    active_request::{ActiveRequest, Reply},
    decision_log::Severity,
    forwarding::{ForwardedState, Forwarding, NO_ANSWER_TO_REQUEST, SentForward, forward},
    handover::{Handover, HolderId},
    refusal::Refusal,
    request_metrics,
    sent_attempt::Waited,
};

/// Reason of a refusal by a host that reaches no server and found no peer to serve the request.
const NO_SERVER_REACHED: &str = "no server in reach";

/// Most peers that are asked in turn to serve a request. Those that cannot decline at once.
pub(crate) const MAX_PEERS_ASKED: usize = 8;

/// Peers that accept no connection after which no other is asked: each takes the time limit for
/// connecting.
const MAX_PEERS_UNREACHED: usize = 2;

/// What a request got from a peer, or while that peer was silent.
enum PeerGot {
    Outcome(Forwarding),
    Reply(Reply),
}

impl ActiveRequest {
    /// Forwards the request to peers in turn until one serves it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no peer does, or the request must not be sent again.
    pub(crate) async fn forward_to_peer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Reply, Refusal> {
        let now = self.state.now();
        let mut peers = Vec::new();
        let mut has_peers = false;
        // A request that a peer forwarded goes back to that peer, which knows who else is left.
        if self.call.forwarded.is_none() {
            let fleet = self.state.fleet.lock();
            peers = fleet.forwarding_peers(now);
            drop(fleet);
            peers.retain(|peer| self.state.allows_zone(&self.call, peer.zone.as_ref()));
            // Peers that must not get this request may get others: callers still come here.
            has_peers = !peers.is_empty() || self.state.allows_zone(&self.call, None);
            has_peers &= self.state.fleet.lock().has_peer_with_servers(now);
        }
        peers.retain(|peer| !self.holders.contains(&HolderId::Peer(peer.address)));
        peers.truncate(MAX_PEERS_ASKED);
        let mut peers = VecDeque::from(peers);
        let mut unreached = 0;
        while let Some(peer) = peers.pop_front() {
            let now = self.state.now();
            if !self.has_attempt_left(now) {
                return Err(self.refusal_after_attempts("no attempt left"));
            }
            let forwarded = self.forwarded_state(resume_after, now);
            let outcome = match forward(&self.state, &self.call, &forwarded, &peer).await {
                Ok(sent) => match self.wait_for_peer(sent, resume_after).await? {
                    PeerGot::Outcome(outcome) => outcome,
                    PeerGot::Reply(reply) => return Ok(reply),
                },
                Err(outcome) => outcome,
            };
            let now = self.state.now();
            request_metrics::count_forwarding(&outcome);
            self.log_forwarding(peer.address, &outcome);
            match outcome {
                Forwarding::Answered(response) => {
                    self.state.record_forwarding(true, now);
                    return Ok(Reply::Peer(*response));
                }
                Forwarding::Unsupported => {
                    self.sent.clear();
                    let mut fleet = self.state.fleet.lock();
                    fleet.record_forwarding_support(peer.address, false, now);
                }
                Forwarding::Declined => {
                    self.sent.clear();
                    let mut fleet = self.state.fleet.lock();
                    fleet.record_forwarding_refused(peer.address);
                }
                Forwarding::Unreached => {
                    self.sent.clear();
                    let mut fleet = self.state.fleet.lock();
                    fleet.record_forwarding_refused(peer.address);
                    drop(fleet);
                    unreached += 1;
                    if unreached >= MAX_PEERS_UNREACHED {
                        break;
                    }
                }
                Forwarding::Unanswered { why } => {
                    self.sent.clear();
                    if !self.call.head.route.kind.may_retry() {
                        return Err(Refusal::MayHaveRun { reason: why });
                    }
                    if why == NO_ANSWER_TO_REQUEST {
                        // The peer is in reach and may do better, once the others were asked.
                        peers.push_back(peer);
                    }
                }
                Forwarding::DeadlinePassed => {
                    self.may_have_run = true;
                    return Err(Refusal::DeadlinePassed);
                }
            }
        }
        if has_peers {
            self.state.record_forwarding(false, self.state.now());
        }
        if self.may_have_run {
            return Err(Refusal::MayHaveRun {
                reason: NO_SERVER_REACHED,
            });
        }
        Err(Refusal::not_run(NO_SERVER_REACHED, CHECK_PERIOD))
    }

    /// Waits for the head of a peer's response. If the peer is silent, others are asked meanwhile.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the peer was left and no other has answered.
    async fn wait_for_peer(
        &mut self,
        mut sent: SentForward,
        resume_after: Option<u64>,
    ) -> Result<PeerGot, Refusal> {
        self.sent.set(sent.sent_at());
        let (state, call) = (self.state.clone(), self.call.clone());
        let mut is_counted = false;
        loop {
            let may_leave = |now| self.may_hand_over(now);
            let outcome = match sent.wait(&state, &call, &may_leave).await {
                Waited::Arrived => sent.read().await,
                Waited::GivenUp(why) => Forwarding::Unanswered { why },
                Waited::DeadlinePassed => Forwarding::DeadlinePassed,
                Waited::Stalled(why) => {
                    if !std::mem::replace(&mut is_counted, true) {
                        self.count_execution();
                    }
                    match self.hand_over(&mut sent, resume_after, why).await {
                        Handover::Kept => continue,
                        Handover::Taken { reply, .. } => return Ok(PeerGot::Reply(reply)),
                        Handover::Failed { refusal, .. } => return Err(refusal),
                    }
                }
            };
            let has_run = matches!(
                outcome,
                Forwarding::Answered(_) | Forwarding::Unanswered { .. }
            );
            if has_run && !is_counted {
                self.count_execution();
            }
            return Ok(PeerGot::Outcome(outcome));
        }
    }

    fn forwarded_state(&self, resume_after: Option<u64>, now: Millis) -> ForwardedState {
        ForwardedState {
            age_ms: now.since(self.call.arrived).as_millis() as u64,
            remaining_ms: self.call.remaining(now).as_millis() as u64,
            executions: self.executions,
            may_have_run: self.may_have_run,
            is_counted: self.is_counted,
            has_arrived: self.has_arrived,
            size: self.size,
            resume_after,
        }
    }

    fn log_forwarding(&self, peer: SocketAddr, outcome: &Forwarding) {
        let severity = match outcome {
            Forwarding::Answered(_) => Severity::Detail,
            _ => Severity::Important,
        };
        self.log(
            severity,
            "forwarded",
            &peer.to_string(),
            outcome.label(),
            &[],
        );
    }
}
