//! An attempt whose request has been sent, until the head of the response arrives.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::time::Millis;
use futures::future::{BoxFuture, FutureExt, pending};
use hyper::{Response, body::Incoming};

use crate::{
    attempt::{
        ANSWER_OVERDUE, Attempt, AttemptResult, CRASHES_SERVERS, SERVER_SILENT, attempt_timeout,
        exceeds_idle_timeout, record_abandoned, unreachable_reason,
    },
    call::Call,
    connections::{Connection, SendOutcome},
    handover::{Holder, HolderId, Sign, record_left},
    host_state::HostState,
    in_flight::InFlight,
    request_metrics,
    response_body::copied_parts,
    server::Server,
};

/// How often a waiting attempt checks its time limits and the server.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Factor by which the work queued before a request may exceed its expected time.
const PENDING_MARGIN: u32 = 2;

/// What has become of a request at a server or peer.
pub(crate) enum Waited {
    /// There is an outcome to read.
    Arrived,
    /// The server is silent or late, for this reason. It may still answer.
    Stalled(&'static str),
    /// The request is given up, for this reason.
    GivenUp(&'static str),
    /// The deadline passed.
    DeadlinePassed,
}

/// An attempt that waits for the head of the response.
pub(crate) struct SentAttempt {
    attempt: Attempt,
    in_flight: InFlight,
    sending: BoxFuture<'static, (SendOutcome, Connection)>,
    /// The outcome, until it is read.
    arrived: Option<(SendOutcome, Connection)>,
    sent_at: Millis,
    /// Whether the connection had been idle.
    was_idle: bool,
    /// Time after which the response is overdue, if the request may be retried.
    limit: Option<Duration>,
    /// Whether a stall is recorded.
    is_stall_recorded: bool,
}

impl SentAttempt {
    /// An attempt whose request `sending` sends.
    pub(crate) fn new(
        attempt: Attempt,
        in_flight: InFlight,
        sending: BoxFuture<'static, (SendOutcome, Connection)>,
        sent_at: Millis,
        was_idle: bool,
    ) -> Self {
        let limit = attempt_timeout(&attempt.state, &attempt.call);
        Self {
            limit: limit.map(|limit| limit + attempt.pending * PENDING_MARGIN),
            attempt,
            in_flight,
            sending,
            arrived: None,
            sent_at,
            was_idle,
            is_stall_recorded: false,
        }
    }

    /// When the request was sent.
    pub(crate) fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Waits until there is an outcome, or a time limit or the server's silence asks for another
    /// attempt. `may_leave` is whether one could follow at this time.
    pub(crate) async fn wait(&mut self, may_leave: &(dyn Fn(Millis) -> bool + Sync)) -> Waited {
        let (state, call) = (self.attempt.state.clone(), self.attempt.call.clone());
        let server = self.in_flight.server().clone();
        while self.arrived.is_none() {
            let wait = POLL_PERIOD.min(call.remaining(state.now()));
            if let Ok(sent) = tokio::time::timeout(wait, &mut self.sending).await {
                self.arrived = Some(sent);
                break;
            }
            let now = state.now();
            if now >= call.deadline {
                return Waited::DeadlinePassed;
            }
            if state.has_blocked_part(&call) {
                return Waited::GivenUp(CRASHES_SERVERS);
            }
            if exceeds_idle_timeout(&state, &call, self.sent_at) {
                return Waited::GivenUp(SERVER_SILENT);
            }
            let Some(limit) = self.limit.filter(|_| may_leave(now)) else {
                continue;
            };
            if state.ran_since(self.sent_at) >= limit {
                return Waited::Stalled(ANSWER_OVERDUE);
            }
            let silent_since = server.last_contact().max(self.sent_at);
            tokio::select! {
                biased;
                sent = &mut self.sending => self.arrived = Some(sent),
                why = unreachable_reason(&state, &server, silent_since) => {
                    if let Some(why) = why {
                        return Waited::Stalled(why);
                    }
                }
            }
        }
        Waited::Arrived
    }

    /// Records that the server is silent or late, once.
    pub(crate) async fn record_stall(&mut self, why: &'static str) {
        if std::mem::replace(&mut self.is_stall_recorded, true) {
            return;
        }
        let Attempt { state, call, .. } = &self.attempt;
        record_abandoned(state, call, &self.in_flight, why, state.now()).await;
    }

    /// Reads the outcome, once there is one.
    pub(crate) async fn read(self) -> AttemptResult {
        let sent = match self.arrived {
            Some(sent) => sent,
            None => self.sending.await,
        };
        let attempt = &self.attempt;
        let read = attempt.read(sent, self.in_flight, self.sent_at, self.was_idle);
        read.await
    }

    /// Whether the caller can use a response: a late answer to another request is not the server's
    /// sign of life.
    fn is_usable(&self, response: &Response<Incoming>) -> bool {
        let Attempt { state, call, .. } = &self.attempt;
        let status = response.status();
        let head = state.dialect.read_response(&copied_parts(response), call);
        head.id.is_believed(self.was_idle)
            && !status.is_server_error()
            && !state.dialect.promises_not_run(status)
    }

    /// Whether the request may have run without a response that can be read.
    pub(crate) fn has_broken(&self) -> bool {
        matches!(&self.arrived, Some((SendOutcome::Unknown, _)))
    }

    fn server(&self) -> &Arc<Server> {
        self.in_flight.server()
    }
}

impl Holder for SentAttempt {
    fn id(&self) -> HolderId {
        HolderId::Server(self.server().name_hash)
    }

    fn name(&self) -> String {
        self.server().entry.name.to_string()
    }

    fn events(&self) -> u64 {
        0
    }

    fn sign(&mut self) -> BoxFuture<'_, Sign> {
        async {
            if self.arrived.is_none() {
                self.arrived = Some((&mut self.sending).await);
            }
            match &self.arrived {
                Some((SendOutcome::Response(response), _)) if self.is_usable(response) => {
                    Sign::GoesOn
                }
                _ => Sign::Gone,
            }
        }
        .boxed()
    }

    fn leave(&mut self, state: &HostState, call: &Call, why: &'static str) {
        self.sending = pending().boxed();
        request_metrics::count_attempt(why);
        record_left(state, call, &mut self.in_flight, "attempt_lost", why, 0);
    }
}
