//! Hand-over of a request from a server that has fallen silent, or a peer, to another one.
//!
//! The first one keeps the request, its connection stays open and it is counted as in flight until
//! another one has taken the request over. If none can be had, the request goes on waiting there.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{
    handover::{HANDOVER_PAUSE, has_taken_over},
    server_health::AttemptOutcome,
    time::Millis,
};
use futures::future::{BoxFuture, FutureExt};

use crate::{
    active_request::{ActiveRequest, LastAttempt, Reply},
    attempt::AttemptResponse,
    call::Call,
    forwarding::Forwarding,
    health_tracking::record_server_outcome,
    hooks::AttemptEnd,
    host_state::HostState,
    in_flight::InFlight,
    refusal::Refusal,
    request_metrics,
};

/// How often a hand-over checks whether the new server has taken over.
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Reason of an attempt that was cancelled because the server before it went on.
const EARLIER_SERVER_WENT_ON: &str = "earlier server went on";

/// The server or peer that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderId {
    /// Hash of a server's name.
    Server(u64),
    /// Address of a peer.
    Peer(SocketAddr),
}

impl HolderId {
    /// Hash of the name, if it is a server.
    pub(crate) fn server(&self) -> Option<u64> {
        match self {
            Self::Server(name_hash) => Some(*name_hash),
            Self::Peer(_) => None,
        }
    }
}

/// What a silent server or peer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// Something that the caller can use has arrived.
    GoesOn,
    /// No answer will come from it.
    Gone,
}

/// A request at a server or peer that has fallen silent.
pub(crate) trait Holder: Send {
    /// Identifies the server or peer.
    fn id(&self) -> HolderId;

    /// Name for logs.
    fn name(&self) -> String;

    /// Number of events that have arrived.
    fn events(&self) -> u64;

    /// Waits for a sign of the server or peer. It can be dropped before its end; what has arrived is
    /// kept for the next regular read.
    fn sign(&mut self) -> BoxFuture<'_, Sign>;

    /// Closes the connection, which cancels the request there, and records that the attempt ended.
    fn leave(&mut self, state: &HostState, call: &Call, why: &'static str);
}

/// How a hand-over ended.
pub(crate) enum Handover {
    /// The first server keeps the request: it went on, or no other could be had.
    Kept,
    /// Another one has taken the request over. `is_gone` is whether the first one broke off
    /// meanwhile.
    Taken { reply: Reply, is_gone: bool },
    /// The first server was left or broke off, and no other could be had.
    Failed { refusal: Refusal, is_gone: bool },
}

impl Handover {
    /// Whether the first server broke off meanwhile.
    pub(crate) fn is_gone(&self) -> bool {
        match self {
            Self::Kept => false,
            Self::Taken { is_gone, .. } | Self::Failed { is_gone, .. } => *is_gone,
        }
    }
}

/// When the request left for the server that may take it over; zero before. It is shared with the
/// search for that server.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentClock(Arc<AtomicU64>);

impl SentClock {
    /// Records that the request left at `now`.
    pub(crate) fn set(&self, now: Millis) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// Records that the server does not run the request, or has not answered it in a way that the
    /// caller can use.
    pub(crate) fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn get(&self) -> Option<Millis> {
        Some(Millis(self.0.load(Ordering::Relaxed))).filter(|at| at.0 > 0)
    }
}

/// What a hand-over changes for its time, to be restored if the first server keeps the request.
struct Earlier {
    holders: usize,
    sent: SentClock,
    last: LastAttempt,
}

impl ActiveRequest {
    /// Looks for another server while `holder` keeps the request, for the reason `why`.
    pub(crate) async fn hand_over(
        &mut self,
        holder: &mut dyn Holder,
        resume_after: Option<u64>,
        why: &'static str,
    ) -> Handover {
        let (state, call) = (self.state.clone(), self.call.clone());
        let began_at = state.now();
        let sent = SentClock::default();
        let earlier = Earlier {
            holders: self.holders.len(),
            sent: std::mem::replace(&mut self.sent, sent.clone()),
            last: self.last.clone(),
        };
        self.holders.push(holder.id());
        self.unsent = 0;
        let mut is_left = false;
        let mut is_gone = false;
        let found = {
            let mut finding = self.usable_reply(resume_after);
            loop {
                tokio::select! {
                    biased;
                    sign = holder.sign(), if !is_left => match sign {
                        Sign::GoesOn => break None,
                        Sign::Gone => {
                            is_gone = true;
                            is_left = true;
                            holder.leave(&state, &call, why);
                        }
                    },
                    found = &mut finding => break Some(found),
                    () = tokio::time::sleep(POLL_PERIOD), if !is_left => {
                        if sent.get().is_some_and(|at| has_taken_over(at, state.now())) {
                            is_left = true;
                            holder.leave(&state, &call, why);
                        }
                    }
                }
            }
        };
        self.holders.truncate(earlier.holders);
        let handover = match found {
            Some(Ok(reply)) => {
                if !is_left {
                    holder.leave(&state, &call, why);
                }
                Handover::Taken { reply, is_gone }
            }
            Some(Err(refusal)) if is_left => Handover::Failed { refusal, is_gone },
            Some(Err(_)) => {
                self.keep(holder, earlier, began_at, why, false);
                return Handover::Kept;
            }
            None => {
                self.cancel_attempt(&sent);
                self.keep(holder, earlier, began_at, why, true);
                return Handover::Kept;
            }
        };
        self.sent = earlier.sent;
        handover
    }

    /// Goes on waiting at `holder`.
    fn keep(
        &mut self,
        holder: &dyn Holder,
        earlier: Earlier,
        began_at: Millis,
        why: &str,
        is_back: bool,
    ) {
        let now = self.state.now();
        self.sent = earlier.sent;
        self.last = earlier.last;
        // Attempts that reached no server leave as many for when the first one breaks off.
        self.sends -= std::mem::take(&mut self.unsent);
        self.no_handover_before = now.after(HANDOVER_PAUSE);
        let inputs = [
            ("events", holder.events() as f64),
            ("elapsed_ms", now.since(began_at).as_millis() as f64),
            ("is_back", f64::from(u8::from(is_back))),
        ];
        self.log_step("server_kept", &holder.name(), why, &inputs);
    }

    /// Settles an attempt that was dropped before its end.
    fn cancel_attempt(&mut self, sent: &SentClock) {
        let is_retry_unused = std::mem::take(&mut self.has_unsent_retry);
        if sent.get().is_none() {
            if is_retry_unused {
                self.return_retry(self.state.now());
            }
            return;
        }
        self.count_execution();
        request_metrics::count_attempt(EARLIER_SERVER_WENT_ON);
        let server = self.last.server.clone();
        let name = server.as_ref().map_or("", |server| &server.entry.name);
        self.log_step("attempt_lost", name, EARLIER_SERVER_WENT_ON, &[]);
    }

    /// Makes attempts until one gets a response that can replace that of the server before it.
    fn usable_reply(&mut self, resume_after: Option<u64>) -> BoxFuture<'_, Result<Reply, Refusal>> {
        async move {
            loop {
                let reply = self.next_response(resume_after).await?;
                let Some(why) = self.flaw(&reply) else {
                    return Ok(reply);
                };
                self.sent.clear();
                match &reply {
                    Reply::Server(response) => self.record_flaw(response, why),
                    Reply::Peer(response) => {
                        let status = response.parts.status;
                        let peer = response.peer.to_string();
                        self.log_step(why, &peer, status.as_str(), &[]);
                    }
                }
            }
        }
        .boxed()
    }

    /// Records a server's response that cannot replace that of the server before it.
    fn record_flaw(&mut self, response: &AttemptResponse, why: &str) {
        let server = response.in_flight.server();
        let now = self.state.now();
        self.record_attempt(response.in_flight.attempt_target(), AttemptEnd::Broken);
        if !response.parts.status.is_success() {
            self.record_response(server, true, response.sent_at, now);
        }
        record_server_outcome(&self.state, server, AttemptOutcome::Failed, now);
        let status = response.parts.status;
        self.log_step(why, &server.entry.name, status.as_str(), &[]);
    }

    /// The log event for a response that cannot replace that of the server before it.
    fn flaw(&self, reply: &Reply) -> Option<&'static str> {
        let is_stream = self.call.head.route.kind.is_stream();
        let (status, is_own) = match reply {
            Reply::Server(response) => (
                response.parts.status,
                response.head.is_signed && !response.head.is_encoded,
            ),
            Reply::Peer(response) => (
                response.parts.status,
                !is_stream || self.is_usable_peer_head(response),
            ),
        };
        if status.is_server_error() {
            return Some("server_failed");
        }
        if self.state.dialect.promises_not_run(status) || is_stream && !status.is_success() {
            return Some("answer_unproved");
        }
        (status.is_success() && !is_own).then_some("answer_spoiled")
    }
}

/// Records that an attempt of `call` was left for the reason `why`.
pub(crate) fn record_left(
    state: &HostState,
    call: &Call,
    in_flight: &mut InFlight,
    event: &str,
    why: &str,
    events: u64,
) {
    let target = in_flight.attempt_target();
    state.hooks.record_attempt(call, target, AttemptEnd::Broken);
    let name = &in_flight.server().entry.name;
    call.log_step(state, event, name, why, &[("events", events as f64)]);
    in_flight.leave();
}

/// Records that a peer was left for the reason `why`.
pub(crate) fn record_peer_left(
    state: &HostState,
    call: &Call,
    peer: SocketAddr,
    why: &'static str,
) {
    request_metrics::count_forwarding(&Forwarding::Unanswered { why });
    call.log_step(state, "forwarded", &peer.to_string(), why, &[]);
}
