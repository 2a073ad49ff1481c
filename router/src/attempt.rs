//! One attempt on one backend server, up to the head of its answer.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    event_stream::EventSplitter, server_health::AttemptOutcome, time::Millis,
};
use http_body_util::Full;
use hyper::{Request, StatusCode, body::Incoming, http::response};

use crate::{
    call::Call,
    connections::{Connection, Sent, connect},
    control::Asking,
    dialect::{AnswerHead, AttemptOrder, EventReader, Verdict},
    host_state::HostState,
    measures::Phase,
    refusal::Refusal,
    server::{InFlight, Server},
};

/// How often a request that waits looks whether its server still speaks.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Silence of a server towards this host after which it is looked whether it is there at all.
const SILENCE: Duration = Duration::from_millis(400);

/// Wait for an answer, in usual waits, after which another server is asked.
const WAITS_BORNE: f64 = 6.0;

/// Part of the latency objective that an attempt may take before another server is asked.
const OBJECTIVE_PART: f64 = 0.6;

/// Time that a busy engine may take for a prompt token with its largest model.
const READING_PER_TOKEN: Duration = Duration::from_micros(60);

/// How many times longer than expected the work before a request may take.
const PENDING_MARGIN: u32 = 2;

/// Why an attempt that found no connection did not run.
pub(crate) const NOT_REACHED: &str = "server not reached";

/// Longest look whether a server that broke off still listens.
const CRASH_LOOK: Duration = Duration::from_millis(60);

/// The head of an answer, with all that keeps it coming.
pub(crate) struct Answer {
    pub(crate) head: AnswerHead,
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
    pub(crate) reader: Box<dyn EventReader>,
    pub(crate) sent_at: Millis,
}

/// What became of an attempt.
pub(crate) enum Attempted {
    /// The head of an answer came.
    Answered(Box<Answer>),
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
    OutOfTime,
}

/// What is asked of one attempt.
pub(crate) struct AttemptQuery<'a> {
    pub(crate) state: &'a HostState,
    pub(crate) call: &'a Call,
    pub(crate) model: Option<&'a str>,
    pub(crate) resume_after: Option<u64>,
    /// Number of the attempt, from zero.
    pub(crate) number: u32,
    /// Time that the server still needs for what it was sent before, as far as is known.
    pub(crate) pending: Duration,
    /// Whether another attempt could follow: the last one is never given up before its time.
    pub(crate) may_give_up: &'a (dyn Fn(Millis) -> bool + Sync),
}

/// Time after which an attempt without an answer is given up for another one; none if the request
/// may not be repeated.
pub(crate) fn patience(state: &HostState, call: &Call) -> Option<Duration> {
    let route = &call.head.route;
    if !route.kind.may_retry() {
        return None;
    }
    let usual = state.slowest_mean_latency(&route.name).mul_f64(WAITS_BORNE);
    let tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let objective = route.objective.mul_f64(OBJECTIVE_PART);
    Some(usual.max(objective) + READING_PER_TOKEN * tokens)
}

/// Whether a server that said nothing for a while is out of reach: it takes no connection either.
pub(crate) async fn is_dark(state: &HostState, server: &Server, quiet_since: Millis) -> bool {
    if state.now().since(quiet_since) < SILENCE {
        return false;
    }
    let is_there = connect(server.entry.address).await.is_ok();
    if is_there {
        server.note_reached(state.now());
    }
    !is_there
}

/// Notes an outcome, and says so if the host leaves the server alone from now on.
pub(crate) fn note_outcome(state: &HostState, server: &Server, sign: AttemptOutcome, now: Millis) {
    let pool = state.servers.pool(&server.entry.service);
    let rates: f64 = pool.iter().map(|server| server.failure_rate()).sum();
    let pool_rate = rates / pool.len().max(1) as f64;
    if sign == AttemptOutcome::Unreachable {
        suspect_zone(state, server, now);
    }
    if server.note_outcome(sign, pool_rate, now) {
        let rate = server.failure_rate();
        state.log_event(
            "server_left_alone",
            &server.entry.name,
            match sign {
                AttemptOutcome::Unreachable => "unreachable or silent",
                _ => "fails more often than its pool",
            },
            &[("failure_rate", rate), ("pool_rate", pool_rate)],
        );
    }
}

/// Time between two looks at which servers are to be probed.
const PROBE_LOOK: Duration = Duration::from_millis(100);

/// Servers of a zone out of reach from which the whole zone is taken to be cut off.
const CUT_OFF_FROM: usize = 2;

/// Time within which a word from any server of a zone shows that the zone is in reach.
const ZONE_HEARD_WITHIN: Duration = Duration::from_millis(300);

/// Takes a whole zone for out of reach if several of its servers are and none was heard of late:
/// requests need not find that out one by one. Each server is looked for again soon.
fn suspect_zone(state: &HostState, server: &Server, now: Millis) {
    let zone = &server.entry.zone;
    let all = state.servers.all();
    let of_zone = || all.iter().filter(|other| other.entry.zone == *zone);
    let unreachable = of_zone().filter(|other| other.is_unreachable()).count();
    let is_heard = of_zone().any(|other| now.since(other.last_heard()) <= ZONE_HEARD_WITHIN);
    if unreachable + 1 < CUT_OFF_FROM || is_heard {
        return;
    }
    let newly = of_zone()
        .filter(|other| other.note_unreachable(now))
        .count();
    if newly > 0 {
        let inputs = [("servers", newly as f64)];
        state.log_event("zone_out_of_reach", zone, "", &inputs);
    }
}

/// Looks whether servers that were out of reach take connections again, until the process ends.
pub(crate) async fn probe_unreachable(state: Arc<HostState>) {
    loop {
        tokio::time::sleep(PROBE_LOOK).await;
        let now = state.now();
        for server in state.servers.all() {
            if !server.begin_probe(now) {
                continue;
            }
            let state = state.clone();
            tokio::spawn(async move {
                if connect(server.entry.address).await.is_ok() {
                    server.note_reached(state.now());
                    state.log_event("server_in_reach", &server.entry.name, "", &[]);
                }
            });
        }
    }
}

/// Whether a server that broke an answer off has crashed: it refuses connections now.
async fn has_crashed(state: &HostState, server: &Server) -> bool {
    if refuses_connections(server).await {
        return true;
    }
    let Some(pause) = state.control.second_look() else {
        return false;
    };
    tokio::time::sleep(pause).await;
    refuses_connections(server).await
}

async fn refuses_connections(server: &Server) -> bool {
    let looked = tokio::time::timeout(CRASH_LOOK, connect(server.entry.address)).await;
    matches!(looked, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

impl AttemptQuery<'_> {
    /// Sends the request to the server that `in_flight` counts it on.
    pub(crate) async fn run(&self, in_flight: InFlight) -> Attempted {
        let server = in_flight.server().clone();
        let state = self.state;
        let kept = if self.call.head.route.kind.may_retry() {
            server.take_connection(state.now())
        } else {
            None
        };
        let was_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.connect(&server).await {
                Some(connection) => connection,
                None => return Attempted::NotRun { why: NOT_REACHED },
            },
        };
        let sent_at = state.now();
        let Some(req) = self.request(&server, sent_at) else {
            return Attempted::NotRun {
                why: "no time left to send",
            };
        };
        let sent = self.wait(&mut connection, req, &server, sent_at).await;
        let now = state.now();
        let response = match sent {
            Waited::Sent(Sent::Answered(response)) => response,
            Waited::Sent(Sent::NotSent) => {
                return Attempted::NotRun {
                    why: "connection closed before the request left",
                };
            }
            Waited::Sent(Sent::Unknown) => {
                // A kept connection may just have been closed as idle.
                if !was_kept {
                    note_break(state, self.call, &in_flight, now).await;
                }
                return Attempted::Lost {
                    why: "connection broke before an answer",
                };
            }
            Waited::GivenUp(why) => {
                let sign = if why == "server silent" {
                    AttemptOutcome::Unreachable
                } else {
                    AttemptOutcome::Failed
                };
                note_outcome(state, &server, sign, now);
                return Attempted::Lost { why };
            }
            Waited::OutOfTime => return Attempted::OutOfTime,
        };
        server.note_heard(now);
        let (parts, body) = response.into_parts();
        let head = state.dialect.read_answer(&parts, self.call);
        if let Some(load) = head.load {
            server.note_load(load, now);
        }
        if let Some(attempted) = self.refused(&head.verdict, parts.status, &server, now) {
            return attempted;
        }
        let reader = state.dialect.event_reader(&self.order(&server, now));
        Attempted::Answered(Box::new(Answer {
            head,
            parts,
            body,
            connection,
            in_flight,
            reader: reader.unwrap_or_else(|| Box::new(EventSplitter::new(self.resume_after))),
            sent_at,
        }))
    }

    fn order<'a>(&'a self, server: &'a Server, now: Millis) -> AttemptOrder<'a> {
        AttemptOrder {
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
        let began = self.state.now();
        let connected = connect(server.entry.address).await;
        let now = self.state.now();
        match connected {
            Ok(connection) => {
                let route = &self.call.head.route.name;
                let span = now.since(began);
                self.state.measures.note(route, Phase::Connect, span);
                Some(connection)
            }
            Err(_) => {
                note_outcome(self.state, server, AttemptOutcome::Unreachable, now);
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
        *req.headers_mut() = self.state.dialect.attempt_headers(&order);
        Some(req)
    }

    async fn wait(
        &self,
        connection: &mut Connection,
        req: Request<Full<hyper::body::Bytes>>,
        server: &Server,
        sent_at: Millis,
    ) -> Waited {
        let patience = patience(self.state, self.call);
        let patience = patience.map(|patience| patience + self.pending * PENDING_MARGIN);
        let mut sending = std::pin::pin!(connection.send(req));
        loop {
            let now = self.state.now();
            let look = LOOK_PERIOD.min(self.call.remaining(now));
            if let Ok(sent) = tokio::time::timeout(look, &mut sending).await {
                return Waited::Sent(sent);
            }
            let now = self.state.now();
            if now >= self.call.deadline {
                return Waited::OutOfTime;
            }
            if is_silent_for_too_long(self.call, sent_at, now) {
                return Waited::GivenUp("server silent");
            }
            let Some(patience) = patience.filter(|_| (self.may_give_up)(now)) else {
                continue;
            };
            if now.since(sent_at) >= patience {
                return Waited::GivenUp("answer overdue");
            }
            let quiet_since = server.last_heard().max(sent_at);
            if is_dark(self.state, server, quiet_since).await {
                return Waited::GivenUp("server silent");
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
    ) -> Option<Attempted> {
        match verdict {
            Verdict::Own => None,
            Verdict::NotOwn => Some(Attempted::Lost {
                why: "answer to another request",
            }),
            Verdict::NotRun => {
                if status == StatusCode::MISDIRECTED_REQUEST {
                    // Another server has the address: the one that was meant is gone.
                    note_outcome(self.state, server, AttemptOutcome::Unreachable, now);
                }
                Some(Attempted::NotRun {
                    why: "server refused",
                })
            }
            Verdict::Failed => {
                note_outcome(self.state, server, AttemptOutcome::Failed, now);
                Some(Attempted::Lost {
                    why: "server failed",
                })
            }
            Verdict::Rejected(refusal) => Some(Attempted::Rejected(refusal.clone())),
        }
    }
}

/// Whether a server said nothing since `since` for longer than the request's own limit.
pub(crate) fn is_silent_for_too_long(call: &Call, since: Millis, now: Millis) -> bool {
    let limit = call.head.silence_limit;
    limit.is_some_and(|limit| now.since(since) >= limit)
}

/// A connection broke under the request: counts against the server, and against the request if the
/// server crashed.
pub(crate) async fn note_break(state: &HostState, call: &Call, in_flight: &InFlight, now: Millis) {
    let server = in_flight.server();
    if !has_crashed(state, server).await {
        note_outcome(state, server, AttemptOutcome::Failed, now);
        state
            .rollouts
            .record_answer(&call.service, &server.entry.version, true);
        return;
    }
    note_outcome(state, server, AttemptOutcome::Unreachable, now);
    let asking = Asking { state, call, now };
    state.control.note_crash(asking, in_flight.at());
    state.log_event("server_crashed", &server.entry.name, &call.head.id, &[]);
}

enum Waited {
    Sent(Sent),
    GivenUp(&'static str),
    OutOfTime,
}
