//! One attempt of a request on a backend server, up to the head of the response.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    event_stream::EventSplitter,
    rollout_evidence::Outcome,
    server_health::AttemptOutcome,
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
    connections::{Connection, SendOutcome, connect},
    connectivity::check_after_failure,
    crash_check::{check_crash, record_crash},
    dialect::{AttemptContext, EventReader, ResponseHead, Verdict},
    health_tracking::record_server_outcome,
    host_state::HostState,
    in_flight::InFlight,
    refusal::Refusal,
    request_metrics::Phase,
    server::Server,
};

/// How often a waiting attempt checks its time limits and the server.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Time without bytes from a server or peer after which a test connection shows whether it is
/// reachable.
pub(crate) const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(400);

/// Factor by which a response may exceed the route's mean latency before another server is tried.
const MAX_MEAN_LATENCIES: f64 = 6.0;

/// Fraction of the latency objective that an attempt may always use before another server is tried.
const OBJECTIVE_FRACTION: f64 = 0.6;

/// Prefill time allowed per prompt token: that of a busy engine with its largest model.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(60);

/// Factor by which the work queued before a request may exceed its expected time.
const PENDING_MARGIN: u32 = 2;

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

/// Reason of an attempt whose response takes too long.
const ANSWER_OVERDUE: &str = "answer overdue";

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
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a Arc<HostState>,
    pub(crate) call: &'a Arc<Call>,
    /// Name of the model, if the router chose it.
    pub(crate) model: Option<&'a str>,
    /// Id of the last event that the caller has.
    pub(crate) resume_after: Option<u64>,
    /// Number of the attempt, from zero.
    pub(crate) number: u32,
    /// Expected time until the server has done the work that it got earlier.
    pub(crate) pending: Duration,
    /// Whether another attempt could follow at this time. If not, only the request's idle time-out
    /// ends this one before the deadline.
    pub(crate) may_abandon: &'a (dyn Fn(Millis) -> bool + Sync),
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
    if state.now().since(silent_since) < SILENCE_BEFORE_CHECK {
        return None;
    }
    let began_at = state.now();
    let connected = connect(server.entry.address).await;
    let Err(e) = connected else {
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

impl Attempt<'_> {
    /// Sends the request to the server of `in_flight` and waits for the head of the response.
    pub(crate) async fn run(&self, mut in_flight: InFlight) -> AttemptResult {
        let server = in_flight.server().clone();
        let state = self.state;
        // A call that must not be retried gets a new connection, since an idle one may be closed by
        // the server just as the request is sent.
        let idle = if self.call.head.route.kind.may_retry() {
            server.take_idle_connection(state.now())
        } else {
            None
        };
        let was_idle = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => match self.connect(&server).await {
                Some(connection) => connection,
                None => return AttemptResult::NotRun { why: NOT_REACHED },
            },
        };
        if !server.accepts_requests() {
            return AttemptResult::NotRun { why: SERVER_LEAVES };
        }
        if server.is_resting(state.now()) {
            return AttemptResult::NotRun { why: SERVER_RESTS };
        }
        // The block may have become known while the attempt connected.
        if state.has_blocked_part(self.call) {
            return AttemptResult::NotRun {
                why: CRASHES_SERVERS,
            };
        }
        let sent_at = state.now();
        let Some(req) = self.request(&server, sent_at) else {
            return AttemptResult::NotRun {
                why: "no time left to send",
            };
        };
        in_flight.track(state.clone(), self.call.clone());
        let sent = self.wait(&mut connection, req, &server, sent_at).await;
        let now = state.now();
        let response = match sent {
            WaitResult::Sent(SendOutcome::Response(response)) => response,
            WaitResult::Sent(SendOutcome::NotSent) => {
                in_flight.finish();
                return AttemptResult::NotRun {
                    why: "connection closed before the request left",
                };
            }
            WaitResult::Sent(SendOutcome::Unknown) => {
                if was_idle {
                    // The server may just have closed an idle connection, which is no failure.
                    check_crash(state, self.call, &in_flight, now).await;
                } else {
                    record_break(state, self.call, &in_flight, now).await;
                }
                return AttemptResult::Lost {
                    why: "connection broke before an answer",
                };
            }
            WaitResult::Abandoned(why) => {
                record_abandoned(state, self.call, &in_flight, why, now).await;
                return AttemptResult::Lost { why };
            }
            WaitResult::DeadlinePassed => return AttemptResult::DeadlinePassed,
        };
        server.record_contact(now);
        let (parts, body) = response.into_parts();
        let head = state.dialect.read_response(&parts, self.call);
        if let Some(load) = head.load {
            server.record_load(load, now);
        }
        if matches!(head.verdict, Verdict::Matching | Verdict::NotRun)
            && parts.status != StatusCode::MISDIRECTED_REQUEST
        {
            state.record_limit(&server, head.limit, now);
            state.record_refusal_limit(&server, head.refusal_limit, now);
            if parts.status == StatusCode::SERVICE_UNAVAILABLE {
                state.record_no_room(&server, now);
            }
            state.record_rest(&server, &head, now);
            if head.is_leaving && state.servers.mark_leaving(&server, now) {
                state.log_event("server_leaving", &server.entry.name, "", &[]);
            }
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
            call: self.call,
            number: self.number,
            server: &server.entry.name,
            address: server.entry.address,
            remaining: self.call.remaining(now),
            model: self.model,
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
                self.state.record_server_connected(now);
                Some(connection)
            }
            Err(_) => {
                record_server_outcome(self.state, server, AttemptOutcome::Unreachable, now);
                check_after_failure(self.state, started).await;
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

    async fn wait(
        &self,
        connection: &mut Connection,
        req: Request<Full<hyper::body::Bytes>>,
        server: &Server,
        sent_at: Millis,
    ) -> WaitResult {
        let limit = attempt_timeout(self.state, self.call);
        let limit = limit.map(|limit| limit + self.pending * PENDING_MARGIN);
        let mut sending = std::pin::pin!(connection.send(req));
        loop {
            let now = self.state.now();
            let wait = POLL_PERIOD.min(self.call.remaining(now));
            if let Ok(sent) = tokio::time::timeout(wait, &mut sending).await {
                return WaitResult::Sent(sent);
            }
            let now = self.state.now();
            if now >= self.call.deadline {
                return WaitResult::DeadlinePassed;
            }
            if self.state.has_blocked_part(self.call) {
                return WaitResult::Abandoned(CRASHES_SERVERS);
            }
            if exceeds_idle_timeout(self.call, sent_at, now) {
                return WaitResult::Abandoned(SERVER_SILENT);
            }
            let Some(limit) = limit.filter(|_| (self.may_abandon)(now)) else {
                continue;
            };
            if now.since(sent_at) >= limit {
                return WaitResult::Abandoned(ANSWER_OVERDUE);
            }
            let silent_since = server.last_contact().max(sent_at);
            if let Some(why) = unreachable_reason(self.state, server, silent_since).await {
                return WaitResult::Abandoned(why);
            }
        }
    }

    /// Returns the result of the attempt if the response does not answer the request.
    fn read_verdict(
        &self,
        verdict: &Verdict,
        status: StatusCode,
        server: &Server,
        now: Millis,
    ) -> Option<AttemptResult> {
        match verdict {
            Verdict::Matching => None,
            Verdict::Mismatched => Some(AttemptResult::Lost {
                why: "answer to another request",
            }),
            Verdict::NotRun => {
                if status == StatusCode::MISDIRECTED_REQUEST {
                    // Another server has the address now, so the addressed one is gone.
                    record_server_outcome(self.state, server, AttemptOutcome::Unreachable, now);
                }
                Some(AttemptResult::NotRun {
                    why: "server refused",
                })
            }
            Verdict::Failed => {
                record_server_outcome(self.state, server, AttemptOutcome::Failed, now);
                Some(AttemptResult::Lost {
                    why: "server failed",
                })
            }
            Verdict::Rejected(refusal) => Some(AttemptResult::Rejected(refusal.clone())),
        }
    }
}

/// Whether the end of a response's body is told by its framing rather than by the end of its
/// connection.
pub(crate) fn is_framed(parts: &response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the time since `since` exceeds the request's idle time-out.
pub(crate) fn exceeds_idle_timeout(call: &Call, since: Millis, now: Millis) -> bool {
    let limit = call.head.server_idle_timeout;
    limit.is_some_and(|limit| now.since(since) >= limit)
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
    let server = in_flight.server();
    record_server_outcome(state, server, AttemptOutcome::Failed, now);
    state.count_outcome(call, server, Outcome::Failure, now);
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

/// The result of waiting for the head of a response.
enum WaitResult {
    Sent(SendOutcome),
    /// The attempt was abandoned for this reason.
    Abandoned(&'static str),
    DeadlinePassed,
}
