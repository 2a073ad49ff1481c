//! One attempt on one backend server, up to the head of its answer.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{event_stream::EventCutter, server_health::Sign, time::Millis};
use http_body_util::Full;
use hyper::{Request, StatusCode, body::Incoming, http::response};

use crate::{
    board::Board,
    call::Call,
    connections::{Connection, SendOutcome, connect},
    dialect::{AttemptContext, EventReader, ResponseHead, Verdict},
    hooks::RequestContext,
    refusal::Refusal,
    request_metrics::Phase,
    server::{InFlight, Server},
};

/// How often a request that waits looks whether its server still speaks.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Silence of a server towards this host after which it is looked whether it is there at all.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(400);

/// Wait for an answer, in usual waits, after which another server is asked.
const MAX_USUAL_LATENCIES: f64 = 6.0;

/// Part of the latency objective that an attempt may take before another server is asked.
const OBJECTIVE_FRACTION: f64 = 0.6;

/// Time that a busy engine may take for a prompt token with its largest model.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(60);

/// How many times longer than expected the work before a request may take.
const PENDING_MARGIN: u32 = 2;

/// Why an attempt that found no connection did not run.
pub(crate) const NOT_REACHED: &str = "server not reached";

/// Longest look whether a server that broke off still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// The head of an answer, with all that keeps it coming.
pub(crate) struct AttemptResponse {
    pub(crate) head: ResponseHead,
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
    pub(crate) reader: Box<dyn EventReader>,
    pub(crate) sent_at: Millis,
}

/// What became of an attempt.
pub(crate) enum AttemptResult {
    /// The head of an answer came.
    Response(Box<AttemptResponse>),
    /// The request did not run there and will not.
    NotRun {
        /// Why.
        why: &'static str,
    },
    /// The request may have run and no answer came.
    Lost {
        /// Why.
        why: &'static str,
    },
    /// The server found the request itself wrong.
    Rejected(Refusal),
    /// The deadline passed while the server had the request.
    DeadlinePassed,
}

/// What is asked of one attempt.
pub(crate) struct Attempt<'a> {
    pub(crate) board: &'a Board,
    pub(crate) call: &'a Call,
    pub(crate) model: Option<&'a str>,
    pub(crate) resume_after: Option<u64>,
    /// Number of the attempt, from zero.
    pub(crate) number: u32,
    /// Time that the server still needs for what it was sent before, as far as is known.
    pub(crate) pending: Duration,
    /// Whether another attempt could follow: the last one is never given up before its time.
    pub(crate) may_abandon_attempt: &'a (dyn Fn(Millis) -> bool + Sync),
}

/// Time after which an attempt without an answer is given up for another one; none if the request
/// may not be repeated.
pub(crate) fn attempt_timeout(board: &Board, call: &Call) -> Option<Duration> {
    let route = &call.head.route;
    if !route.kind.may_repeat() {
        return None;
    }
    let usual = board
        .usual_latency(&route.name)
        .mul_f64(MAX_USUAL_LATENCIES);
    let tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let objective = route.objective.mul_f64(OBJECTIVE_FRACTION);
    Some(usual.max(objective) + PREFILL_TIME_PER_TOKEN * tokens)
}

/// Whether a server that said nothing for a while is out of reach: it takes no connection either.
pub(crate) async fn is_unreachable(board: &Board, server: &Server, quiet_since: Millis) -> bool {
    if board.now().since(quiet_since) < SILENCE_BEFORE_CHECK {
        return false;
    }
    let is_there = connect(server.entry.address).await.is_ok();
    if is_there {
        server.record_connected(board.now());
    }
    !is_there
}

/// Notes an outcome, and says so if the host leaves the server alone from now on.
pub(crate) fn record_server_outcome(board: &Board, server: &Server, sign: Sign, now: Millis) {
    let pool = board.servers.pool(&server.entry.service);
    let rates: f64 = pool.iter().map(|server| server.failure_rate()).sum();
    let pool_rate = rates / pool.len().max(1) as f64;
    if sign == Sign::Unreachable {
        mark_zone_if_unreachable(board, server, now);
    }
    if server.record_outcome(sign, pool_rate, now) {
        let rate = server.failure_rate();
        board.log_belief(
            "server_left_alone",
            &server.entry.name,
            match sign {
                Sign::Unreachable => "unreachable or silent",
                _ => "fails more often than its pool",
            },
            &[("failure_rate", rate), ("pool_rate", pool_rate)],
        );
    }
}

/// Time between two looks at which servers are to be probed.
const PROBE_SCAN_PERIOD: Duration = Duration::from_millis(100);

/// Servers of a zone out of reach from which the whole zone is taken to be cut off.
const MIN_UNREACHABLE_SERVERS: usize = 2;

/// Time within which a word from any server of a zone shows that the zone is in reach.
const ZONE_CONTACT_WINDOW: Duration = Duration::from_millis(300);

/// Takes a whole zone for out of reach if several of its servers are and none was heard of late:
/// requests need not find that out one by one. Each server is looked for again soon.
fn mark_zone_if_unreachable(board: &Board, server: &Server, now: Millis) {
    let zone = &server.entry.zone;
    let all = board.servers.all();
    let of_zone = || all.iter().filter(|other| other.entry.zone == *zone);
    let unreachable = of_zone().filter(|other| other.is_unreachable()).count();
    let is_heard = of_zone().any(|other| now.since(other.last_contact()) <= ZONE_CONTACT_WINDOW);
    if unreachable + 1 < MIN_UNREACHABLE_SERVERS || is_heard {
        return;
    }
    let newly = of_zone()
        .filter(|other| other.mark_unreachable(now))
        .count();
    if newly > 0 {
        let inputs = [("servers", newly as f64)];
        board.log_belief("zone_out_of_reach", zone, "", &inputs);
    }
}

/// Looks whether servers that were out of reach take connections again, until the process ends.
pub(crate) async fn probe_unreachable(board: Arc<Board>) {
    loop {
        tokio::time::sleep(PROBE_SCAN_PERIOD).await;
        let now = board.now();
        for server in board.servers.all() {
            if !server.begin_probe(now) {
                continue;
            }
            let board = board.clone();
            tokio::spawn(async move {
                if connect(server.entry.address).await.is_ok() {
                    server.record_connected(board.now());
                    board.log_belief("server_in_reach", &server.entry.name, "", &[]);
                }
            });
        }
    }
}

/// Whether a server that broke an answer off has crashed: it refuses connections now.
async fn has_crashed(board: &Board, server: &Server) -> bool {
    if refuses_connections(server).await {
        return true;
    }
    let Some(pause) = board.hooks.crash_recheck_delay() else {
        return false;
    };
    tokio::time::sleep(pause).await;
    refuses_connections(server).await
}

async fn refuses_connections(server: &Server) -> bool {
    let looked = tokio::time::timeout(CRASH_CHECK_TIMEOUT, connect(server.entry.address)).await;
    matches!(looked, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

impl Attempt<'_> {
    /// Sends the request to the server that `in_flight` counts it on.
    pub(crate) async fn run(&self, in_flight: InFlight) -> AttemptResult {
        let server = in_flight.server().clone();
        let board = self.board;
        let kept = if self.call.head.route.kind.may_repeat() {
            server.take_idle_connection(board.now())
        } else {
            None
        };
        let was_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.connect(&server).await {
                Some(connection) => connection,
                None => return AttemptResult::NotRun { why: NOT_REACHED },
            },
        };
        let sent_at = board.now();
        let Some(req) = self.request(&server, sent_at) else {
            return AttemptResult::NotRun {
                why: "no time left to send",
            };
        };
        let sent = self.wait(&mut connection, req, &server, sent_at).await;
        let now = board.now();
        let response = match sent {
            WaitResult::Sent(SendOutcome::Response(response)) => response,
            WaitResult::Sent(SendOutcome::NotSent) => {
                return AttemptResult::NotRun {
                    why: "connection closed before the request left",
                };
            }
            WaitResult::Sent(SendOutcome::Unknown) => {
                // A kept connection may just have been closed as idle.
                if !was_kept {
                    record_break(board, self.call, &in_flight, now).await;
                }
                return AttemptResult::Lost {
                    why: "connection broke before an answer",
                };
            }
            WaitResult::Abandoned(why) => {
                let sign = if why == "server silent" {
                    Sign::Unreachable
                } else {
                    Sign::Failed
                };
                record_server_outcome(board, &server, sign, now);
                return AttemptResult::Lost { why };
            }
            WaitResult::DeadlinePassed => return AttemptResult::DeadlinePassed,
        };
        server.record_contact(now);
        let (parts, body) = response.into_parts();
        let head = board.dialect.read_response(&parts, self.call);
        if let Some(load) = head.load {
            server.record_load(load, now);
        }
        if let Some(attempted) = self.refused(&head.verdict, parts.status, &server, now) {
            return attempted;
        }
        let reader = board.dialect.event_reader(&self.order(&server, now));
        AttemptResult::Response(Box::new(AttemptResponse {
            head,
            parts,
            body,
            connection,
            in_flight,
            reader: reader.unwrap_or_else(|| Box::new(EventCutter::new(self.resume_after))),
            sent_at,
        }))
    }

    fn order<'a>(&'a self, server: &'a Server, now: Millis) -> AttemptContext<'a> {
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
        let began = self.board.now();
        let connected = connect(server.entry.address).await;
        let now = self.board.now();
        match connected {
            Ok(connection) => {
                let route = &self.call.head.route.name;
                let span = now.since(began);
                self.board
                    .request_metrics
                    .record(route, Phase::Connect, span);
                Some(connection)
            }
            Err(_) => {
                record_server_outcome(self.board, server, Sign::Unreachable, now);
                None
            }
        }
    }

    fn request(&self, server: &Server, now: Millis) -> Option<Request<Full<hyper::body::Bytes>>> {
        let order = self.order(server, now);
        if order.remaining.is_zero() {
            return None;
        }
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.target.clone();
        *req.headers_mut() = self.board.dialect.attempt_headers(&order);
        Some(req)
    }

    async fn wait(
        &self,
        connection: &mut Connection,
        req: Request<Full<hyper::body::Bytes>>,
        server: &Server,
        sent_at: Millis,
    ) -> WaitResult {
        let attempt_timeout = attempt_timeout(self.board, self.call);
        let attempt_timeout =
            attempt_timeout.map(|attempt_timeout| attempt_timeout + self.pending * PENDING_MARGIN);
        let mut sending = std::pin::pin!(connection.send(req));
        loop {
            let now = self.board.now();
            let look = POLL_PERIOD.min(self.call.remaining(now));
            if let Ok(sent) = tokio::time::timeout(look, &mut sending).await {
                return WaitResult::Sent(sent);
            }
            let now = self.board.now();
            if now >= self.call.deadline {
                return WaitResult::DeadlinePassed;
            }
            if exceeds_idle_timeout(self.call, sent_at, now) {
                return WaitResult::Abandoned("server silent");
            }
            let Some(attempt_timeout) = attempt_timeout.filter(|_| (self.may_abandon_attempt)(now))
            else {
                continue;
            };
            if now.since(sent_at) >= attempt_timeout {
                return WaitResult::Abandoned("answer overdue");
            }
            let quiet_since = server.last_contact().max(sent_at);
            if is_unreachable(self.board, server, quiet_since).await {
                return WaitResult::Abandoned("server silent");
            }
        }
    }

    /// What became of the attempt if the answer is none to this request.
    fn refused(
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
                    // Another server has the address: the one that was meant is gone.
                    record_server_outcome(self.board, server, Sign::Unreachable, now);
                }
                Some(AttemptResult::NotRun {
                    why: "server refused",
                })
            }
            Verdict::Failed => {
                record_server_outcome(self.board, server, Sign::Failed, now);
                Some(AttemptResult::Lost {
                    why: "server failed",
                })
            }
            Verdict::Rejected(refusal) => Some(AttemptResult::Rejected(refusal.clone())),
        }
    }
}

/// Whether a server said nothing since `since` for longer than the request's own limit.
pub(crate) fn exceeds_idle_timeout(call: &Call, since: Millis, now: Millis) -> bool {
    let limit = call.head.server_idle_timeout;
    limit.is_some_and(|limit| now.since(since) >= limit)
}

/// A connection broke under the request: counts against the server, and against the request if the
/// server crashed.
pub(crate) async fn record_break(board: &Board, call: &Call, in_flight: &InFlight, now: Millis) {
    let server = in_flight.server();
    if !has_crashed(board, server).await {
        record_server_outcome(board, server, Sign::Failed, now);
        board
            .rollouts
            .count(&call.service, &server.entry.version, true);
        return;
    }
    record_server_outcome(board, server, Sign::Unreachable, now);
    let context = RequestContext { board, call, now };
    board
        .hooks
        .record_crash(context, in_flight.attempt_target());
    board.log_belief("server_crashed", &server.entry.name, &call.head.id, &[]);
}

enum WaitResult {
    Sent(SendOutcome),
    Abandoned(&'static str),
    DeadlinePassed,
}
