//! One attempt of a request on a backend server, up to the head of the response.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    answer_id::AnswerId,
    event_stream::EventSplitter,
    names::Name,
    rollout_evidence::Outcome,
    server_health::AttemptOutcome,
    slow_start::RampAnswer,
    time::{Millis, nearest_span},
};
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response,
};

use crate::{
    call::Call,
    cold_servers::SERVER_COLD,
    connections::{Connection, SendOutcome, connect},
    connectivity::check_after_failure,
    crash_check::{check_crash, record_crash},
    dialect::{AttemptContext, EventReader, ResponseHead, Verdict},
    evacuations::ZONE_EVACUATED,
    health_tracking::record_server_outcome,
    host_state::HostState,
    in_flight::InFlight,
    refusal::Refusal,
    request_metrics::Phase,
    residency::NO_SERVER_IN_REGIONS,
    sent_attempt::SentAttempt,
    server::Server,
    view_reads::VIEW_OUTDATED,
};

/// Time without bytes from a server or peer after which a test connection shows whether it is
/// reachable.
pub(crate) const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(400);

/// Factor by which a response may exceed the route's mean latency before another server is tried.
const MAX_MEAN_LATENCIES: f64 = 6.0;

/// Fraction of the latency objective that an attempt may always use before another server is tried.
const OBJECTIVE_FRACTION: f64 = 0.6;

/// Prefill time allowed per prompt token: that of a busy engine with its largest model.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(60);

/// Reason of an attempt that could not connect.
pub(crate) const NOT_REACHED: &str = "server not reached";

/// Reason of an attempt on a server that said that it leaves while the attempt connected.
pub(crate) const SERVER_LEAVES: &str = "server leaves";

/// Reason of an attempt on a server that asked for rest while the attempt connected.
pub(crate) const SERVER_RESTS: &str = "server rests";

/// Reason of an attempt on a server that sends nothing and cannot be reached.
pub(crate) const SERVER_SILENT: &str = "server silent";

/// Reason of an attempt on a server that sends nothing and refuses connections: it has crashed.
pub(crate) const SERVER_REFUSES: &str = "server refuses connections";

/// Reason of a request that is refused or given up because it crashes servers.
pub(crate) const CRASHES_SERVERS: &str = "the request crashes servers";

/// Reason of an attempt on a server that rejects what an earlier one began to answer.
const REJECTS_BEGUN: &str = "server rejected a stream that has begun";

/// Reason of an attempt whose response takes too long.
pub(crate) const ANSWER_OVERDUE: &str = "answer overdue";

/// Reason of a stream whose first event takes too long.
pub(crate) const FIRST_EVENT_OVERDUE: &str = "first event overdue";

/// Reason of a stream whose next event takes too long.
pub(crate) const NEXT_EVENT_OVERDUE: &str = "next event overdue";

/// A response whose head has arrived, with its body still to be read.
pub(crate) struct AttemptResponse {
    /// Head as parsed by the dialect.
    pub(crate) head: ResponseHead,
    /// Status and headers.
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    /// Connection on which the body arrives; dropping it cancels the response.
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
    /// Reader for the body if it is an event stream.
    pub(crate) reader: Box<dyn EventReader>,
    /// When the request was sent.
    pub(crate) sent_at: Millis,
}

/// The result of an attempt.
pub(crate) enum AttemptResult {
    /// The head of a response arrived.
    Response(Box<AttemptResponse>),
    /// The request did not run on the server and will not.
    NotRun {
        /// Reason for logs and metrics.
        why: &'static str,
    },
    /// The request may have run, but no response arrived.
    Lost {
        /// Reason for logs and metrics.
        why: &'static str,
    },
    /// The server rejected the request as invalid.
    Rejected(Refusal),
    /// The deadline passed while the server had the request.
    DeadlinePassed,
}

/// The parameters of one attempt.
pub(crate) struct Attempt {
    pub(crate) state: Arc<HostState>,
    pub(crate) call: Arc<Call>,
    /// Name of the model, if the router chose it.
    pub(crate) model: Option<Name>,
    /// Id of the last event that the caller has.
    pub(crate) resume_after: Option<u64>,
    /// Number of the attempt, from zero.
    pub(crate) number: u32,
    /// Expected time until the server has done the work that it got earlier.
    pub(crate) pending: Duration,
    /// Whether the server must accept a new connection, which shows that it is in reach.
    pub(crate) needs_new_connection: bool,
}

/// Returns the time after which an attempt without a response is abandoned for another one, or
/// `None` if the request must not be retried.
pub(crate) fn attempt_timeout(state: &HostState, call: &Call) -> Option<Duration> {
    let route = &call.head.route;
    if !route.kind.may_retry() {
        return None;
    }
    let mean_ms = state.latencies_ms.largest(&route.name);
    let mean = nearest_span(mean_ms / 1_000.0).mul_f64(MAX_MEAN_LATENCIES);
    let tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let objective = route.objective.mul_f64(OBJECTIVE_FRACTION);
    Some(mean.max(objective) + PREFILL_TIME_PER_TOKEN * tokens)
}

/// Returns the reason to leave a server that has sent nothing for a while and does not accept a test
/// connection either.
pub(crate) async fn unreachable_reason(
    state: &HostState,
    server: &Server,
    silent_since: Millis,
) -> Option<&'static str> {
    if state.ran_since(silent_since) < SILENCE_BEFORE_CHECK {
        return None;
    }
    let began_at = state.now();
    let connected = connect(server.entry.address).await;
    let Err(e) = connected else {
        state.presume_cold_if_unreachable(server, state.now());
        server.record_connected(state.now());
        state.record_server_connected(state.now());
        return None;
    };
    check_after_failure(state, began_at).await;
    if e.kind() == std::io::ErrorKind::ConnectionRefused {
        Some(SERVER_REFUSES)
    } else {
        Some(SERVER_SILENT)
    }
}

impl Attempt {
    /// Sends the request to the server of `in_flight`.
    ///
    /// # Errors
    ///
    /// Returns the reason, for logs and metrics, if nothing was sent.
    pub(crate) async fn send(self, mut in_flight: InFlight) -> Result<SentAttempt, &'static str> {
        let server = in_flight.server().clone();
        let state = &self.state;
        // A call that must not be retried gets a new connection, since an idle one may be closed by
        // the server just as the request is sent.
        let may_reuse = self.call.head.route.kind.may_retry()
            && !self.needs_new_connection
            && state.dialect.has_response_ids();
        let idle = may_reuse
            .then(|| server.take_idle_connection(state.now()))
            .flatten();
        let was_idle = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            None => self.connect(&server).await.ok_or(NOT_REACHED)?,
        };
        if state.is_view_outdated(state.now()) {
            return Err(VIEW_OUTDATED);
        }
        // The record may have been replaced while the attempt connected.
        let current = state.servers.get(&server.entry.name);
        let records = [Some(&server), current.as_ref()].into_iter().flatten();
        if records.clone().any(|it| !it.accepts_requests()) {
            return Err(SERVER_LEAVES);
        }
        if records.clone().any(|it| !state.takes_requests(it)) {
            return Err(ZONE_EVACUATED);
        }
        let mut zones = records.map(|it| &it.entry.zone);
        if zones.any(|zone| !state.allows_zone(&self.call, Some(zone))) {
            return Err(NO_SERVER_IN_REGIONS);
        }
        if server.is_resting(state.now()) {
            return Err(SERVER_RESTS);
        }
        // The block may have become known while the attempt connected.
        if state.has_blocked_part(&self.call) {
            return Err(CRASHES_SERVERS);
        }
        let sent_at = state.now();
        let req = self.request(&server, sent_at);
        let req = req.ok_or("no time left to send")?;
        if !state.may_leave_for(&server, sent_at) {
            return Err(SERVER_COLD);
        }
        in_flight.track(state.clone(), self.call.clone());
        let sending = connection.send_owned(req);
        Ok(SentAttempt::new(
            self, in_flight, sending, sent_at, was_idle,
        ))
    }

    /// Reads what became of the request that was sent at `sent_at`.
    pub(crate) async fn read(
        &self,
        sent: (SendOutcome, Connection),
        mut in_flight: InFlight,
        sent_at: Millis,
        was_idle: bool,
    ) -> AttemptResult {
        let server = in_flight.server().clone();
        let state = &self.state;
        let now = state.now();
        let (outcome, connection) = sent;
        let response = match outcome {
            SendOutcome::Response(response) => response,
            SendOutcome::NotSent => {
                in_flight.finish();
                return AttemptResult::NotRun {
                    why: "connection closed before the request left",
                };
            }
            SendOutcome::Unknown if connection.has_endless_head() => {
                record_failure(state, &self.call, &server, now);
                return AttemptResult::Lost {
                    why: "head of the answer too large",
                };
            }
            SendOutcome::Unknown => {
                if was_idle {
                    // The server may just have closed an idle connection, which is no failure.
                    check_crash(state, &self.call, &in_flight, now).await;
                } else {
                    record_break(state, &self.call, &in_flight, now).await;
                }
                return AttemptResult::Lost {
                    why: "connection broke before an answer",
                };
            }
        };
        server.record_contact(now);
        let (parts, body) = response.into_parts();
        let head = state.dialect.read_response(&parts, &self.call);
        if !head.id.is_believed(was_idle) {
            return AttemptResult::Lost {
                why: doubt(head.id),
            };
        }
        if let Some(load) = head.load {
            let has_run = matches!(head.verdict, Verdict::Answered | Verdict::Failed);
            let has_failed = has_run.then(|| parts.status.is_server_error());
            state.record_load(&server, load, has_failed, now);
        }
        if parts.status != StatusCode::MISDIRECTED_REQUEST {
            self.record_marks(&server, &head, parts.status, now);
        }
        if let Some(result) = self.read_verdict(&head.verdict, parts.status, &server, now) {
            if !matches!(result, AttemptResult::Lost { .. }) {
                in_flight.finish();
            }
            return result;
        }
        let reader = state.dialect.event_reader(&self.context(&server, now));
        AttemptResult::Response(Box::new(AttemptResponse {
            head,
            parts,
            body,
            connection,
            in_flight,
            reader: reader.unwrap_or_else(|| Box::new(EventSplitter::new(self.resume_after))),
            sent_at,
        }))
    }

    fn context<'a>(&'a self, server: &'a Server, now: Millis) -> AttemptContext<'a> {
        AttemptContext {
            call: &self.call,
            number: self.number,
            server: &server.entry.name,
            address: server.entry.address,
            remaining: self.call.remaining(now),
            model: self.model.as_deref(),
            resume_after: self.resume_after,
        }
    }

    async fn connect(&self, server: &Server) -> Option<Connection> {
        let started = self.state.now();
        let connected = connect(server.entry.address).await;
        let now = self.state.now();
        match connected {
            Ok(connection) => {
                let route = &self.call.head.route.name;
                let span = now.since(started);
                self.state
                    .request_metrics
                    .record(route, Phase::Connect, span);
                self.state.presume_cold_if_unreachable(server, now);
                self.state.record_server_connected(now);
                Some(connection)
            }
            Err(_) => {
                record_server_outcome(&self.state, server, AttemptOutcome::Unreachable, now);
                check_after_failure(&self.state, started).await;
                None
            }
        }
    }

    fn request(&self, server: &Server, now: Millis) -> Option<Request<Full<hyper::body::Bytes>>> {
        let context = self.context(server, now);
        if context.remaining.is_zero() {
            return None;
        }
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.target.clone();
        *req.headers_mut() = self.state.dialect.attempt_headers(&context);
        Some(req)
    }

    /// Whether the caller has events of an earlier attempt, which shows that the request is valid.
    fn has_begun(&self) -> bool {
        self.resume_after != self.call.head.resume_after
    }

    /// Records what the server says of itself in its answer: its limits, and whether it wants rest or
    /// leaves.
    fn record_marks(
        &self,
        server: &Arc<Server>,
        head: &ResponseHead,
        status: StatusCode,
        now: Millis,
    ) {
        let state = &self.state;
        state.record_limit(server, head.limit, now);
        state.record_refusal_limit(server, head.refusal_limit, now);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            state.record_no_room(server, now);
        }
        state.record_rest(server, head, now);
        if head.is_leaving && state.servers.mark_leaving(server, now) {
            state.log_event("server_leaving", &server.entry.name, "", &[]);
        }
    }

    /// Returns the result of the attempt if the response is none for the caller.
    fn read_verdict(
        &self,
        verdict: &Verdict,
        status: StatusCode,
        server: &Server,
        now: Millis,
    ) -> Option<AttemptResult> {
        match verdict {
            Verdict::Answered => None,
            Verdict::NotRun => {
                if status == StatusCode::MISDIRECTED_REQUEST {
                    // Another server has the address now, so the addressed one is gone, though the
                    // address accepts connections.
                    server.mark_replaced(now);
                } else {
                    let bad = RampAnswer::Bad;
                    self.state.record_ramp_answer(server, bad, now, now);
                }
                Some(AttemptResult::NotRun {
                    why: "server refused",
                })
            }
            Verdict::Failed => {
                record_server_outcome(&self.state, server, AttemptOutcome::Failed, now);
                Some(AttemptResult::Lost {
                    why: "server failed",
                })
            }
            Verdict::Rejected(_) if self.has_begun() => {
                record_server_outcome(&self.state, server, AttemptOutcome::Failed, now);
                Some(AttemptResult::Lost { why: REJECTS_BEGUN })
            }
            Verdict::Rejected(refusal) => Some(AttemptResult::Rejected(refusal.clone())),
        }
    }
}

/// Returns the reason of an attempt whose response is not believed.
fn doubt(id: AnswerId) -> &'static str {
    if id == AnswerId::Absent {
        "answer without an id on a kept connection"
    } else {
        "answer to another request"
    }
}

/// Whether the end of a response's body is told by its framing rather than by the end of its
/// connection.
pub(crate) fn is_framed(parts: &response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the time since `since` exceeds the request's idle time-out.
pub(crate) fn exceeds_idle_timeout(state: &HostState, call: &Call, since: Millis) -> bool {
    let limit = call.head.server_idle_timeout;
    limit.is_some_and(|limit| state.ran_since(since) >= limit)
}

/// Records that a connection broke during a request. Unless the server has crashed, the break is a
/// failure of the server.
pub(crate) async fn record_break(
    state: &HostState,
    call: &Call,
    in_flight: &InFlight,
    now: Millis,
) {
    if check_crash(state, call, in_flight, now).await {
        return;
    }
    record_failure(state, call, in_flight.server(), now);
}

/// Records a failure of the server, for its health and for its version.
pub(crate) fn record_failure(state: &HostState, call: &Call, server: &Server, now: Millis) {
    record_server_outcome(state, server, AttemptOutcome::Failed, now);
    state.count_outcome(call, server, Outcome::Broken, now);
}

/// Records that an attempt was abandoned for the reason `why`, one of the constants above.
pub(crate) async fn record_abandoned(
    state: &HostState,
    call: &Call,
    in_flight: &InFlight,
    why: &'static str,
    now: Millis,
) {
    let server = in_flight.server();
    match why {
        SERVER_REFUSES => {
            check_after_failure(state, now).await;
            record_crash(state, call, in_flight, now);
        }
        SERVER_SILENT => record_server_outcome(state, server, AttemptOutcome::Unreachable, now),
        CRASHES_SERVERS => {}
        // A server that crashed without a reset looks slow at first.
        _ if check_crash(state, call, in_flight, now).await => {}
        _ => {
            // Otherwise only the responses of a slow version that were fast enough would count.
            state.count_outcome(call, server, Outcome::VerySlow, now);
            if why != NEXT_EVENT_OVERDUE {
                record_server_outcome(state, server, AttemptOutcome::Failed, now);
            }
        }
    }
}
