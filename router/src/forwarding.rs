//! Requests that a host without a path to any backend server forwards to another entry host, which
//! serves them like those of its own callers.
//!
//! A request is forwarded once: a host never forwards what a peer forwarded to it. What earlier
//! attempts did goes with the request, so that its limits on time, attempts and retries and the
//! truth of a refusal hold for the whole of it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clementinearch_policy::{answer_id::AnswerId, time::Millis};
use futures::future::{BoxFuture, FutureExt, pending};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, StatusCode,
    body::{Bytes, Incoming},
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::response,
};
use serde::{Deserialize, Serialize};

use crate::{
    attempt::SILENCE_BEFORE_CHECK,
    call::Call,
    connections::{Connection, SendOutcome, connect},
    fleet::ForwardingPeer,
    handover::{Holder, HolderId, Sign, record_peer_left},
    host_state::HostState,
    ingress,
    internal_http::{InternalResponse, with_status},
    response_body::{ResponseBody, copied_parts},
    sent_attempt::Waited,
};

/// Header of a forwarded request with its [`ForwardedState`] as JSON.
const FORWARDED: HeaderName = HeaderName::from_static("clementinearch-forwarded");

/// Header of the response of a peer that cannot serve a forwarded request: nothing ran.
const DECLINED: HeaderName = HeaderName::from_static("clementinearch-declined");

/// Headers that concern only the caller's connection.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Reason of a forwarded request that a peer answered with something else than its answer.
pub(crate) const NO_ANSWER_TO_REQUEST: &str = "not an answer to the request";

/// Most forwarded requests that a host serves at a time, which bounds their memory.
const MAX_FORWARDED: usize = 256;

/// Reason of a request at a peer that sends nothing and cannot be reached.
pub(crate) const PEER_SILENT: &str = "peer silent";

/// How often a wait for a peer's response checks its time limits and the peer.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for a peer to show whether it knows forwarded requests.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// What became of a request before it was forwarded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedState {
    /// Time since the request arrived, milliseconds.
    pub(crate) age_ms: u64,
    /// Time to the deadline, milliseconds.
    pub(crate) remaining_ms: u64,
    /// Number of attempts that ran or may have run on their server.
    pub(crate) executions: u32,
    /// Whether an attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the request is counted in the forwarding host's retry budget.
    pub(crate) is_counted: bool,
    /// Whether an attempt arrived at a server, so that the next one is a retry.
    pub(crate) has_arrived: bool,
    /// Model size of the next attempt.
    pub(crate) size: usize,
    /// Id of the last event that the caller has.
    pub(crate) resume_after: Option<u64>,
}

/// A peer's response whose head has arrived.
pub(crate) struct PeerResponse {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    /// Connection on which the body arrives; dropping it cancels the request at the peer.
    pub(crate) connection: Connection,
    pub(crate) peer: SocketAddr,
}

/// The result of forwarding a request to a peer.
pub(crate) enum Forwarding {
    /// The peer served or refused the request.
    Answered(Box<PeerResponse>),
    /// The peer accepted no connection: nothing ran.
    Unreached,
    /// The peer cannot serve the request: nothing ran.
    Declined,
    /// The peer knows no forwarded requests: nothing ran.
    Unsupported,
    /// The peer got the request and did not answer: it may have run.
    Unanswered {
        /// Reason for logs and metrics.
        why: &'static str,
    },
    /// The deadline passed while the peer had the request.
    DeadlinePassed,
}

impl Forwarding {
    /// Text for logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Unreached => "peer not reached",
            Self::Declined => "declined",
            Self::Unsupported => "peer knows no forwarding",
            Self::Unanswered { why } => why,
            Self::DeadlinePassed => "time limit passed",
        }
    }
}

/// Forwards a request to a peer.
///
/// # Errors
///
/// Returns why nothing was sent.
pub(crate) async fn forward(
    state: &Arc<HostState>,
    call: &Arc<Call>,
    forwarded: &ForwardedState,
    peer: &ForwardingPeer,
) -> Result<SentForward, Forwarding> {
    let req = request(call, forwarded).ok_or(Forwarding::Declined)?;
    let connected = connect(peer.address).await;
    let mut connection = connected.map_err(|_| Forwarding::Unreached)?;
    if !peer.is_known {
        let wait = PROBE_TIMEOUT.min(call.remaining(state.now()));
        match knows_forwarding(&mut connection, wait).await {
            Some(true) => {
                let mut fleet = state.fleet.lock();
                fleet.record_forwarding_support(peer.address, true, state.now());
            }
            Some(false) => return Err(Forwarding::Unsupported),
            None => return Err(Forwarding::Unreached),
        }
    }
    Ok(SentForward {
        state: state.clone(),
        call: call.clone(),
        peer: peer.address,
        sending: connection.send_owned(req),
        arrived: None,
        sent_at: state.now(),
    })
}

/// A request that was forwarded and waits for the head of the peer's response.
pub(crate) struct SentForward {
    state: Arc<HostState>,
    call: Arc<Call>,
    peer: SocketAddr,
    sending: BoxFuture<'static, (SendOutcome, Connection)>,
    /// The outcome, until it is read.
    arrived: Option<(SendOutcome, Connection)>,
    sent_at: Millis,
}

impl SentForward {
    /// When the request was sent.
    pub(crate) fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Waits until there is an outcome, or the peer's silence asks for another one. `may_leave` is
    /// whether one could be asked at this time.
    pub(crate) async fn wait(
        &mut self,
        state: &HostState,
        call: &Call,
        may_leave: &(dyn Fn(Millis) -> bool + Sync),
    ) -> Waited {
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
            if !may_leave(now) {
                continue;
            }
            tokio::select! {
                biased;
                sent = &mut self.sending => self.arrived = Some(sent),
                is_unreachable = is_unreachable(state, self.peer, self.sent_at) => {
                    if is_unreachable {
                        return Waited::Stalled(PEER_SILENT);
                    }
                }
            }
        }
        Waited::Arrived
    }

    /// Reads the outcome, once there is one.
    pub(crate) async fn read(self) -> Forwarding {
        let (outcome, connection) = match self.arrived {
            Some(sent) => sent,
            None => self.sending.await,
        };
        match outcome {
            SendOutcome::Response(response) => {
                let (parts, body) = response.into_parts();
                if parts.headers.contains_key(DECLINED) {
                    return Forwarding::Declined;
                }
                if !is_answer(&self.state, &self.call, &parts) {
                    return foreign_answer(parts.status);
                }
                Forwarding::Answered(Box::new(PeerResponse {
                    parts,
                    body,
                    connection,
                    peer: self.peer,
                }))
            }
            SendOutcome::NotSent => Forwarding::Unreached,
            SendOutcome::Unknown => Forwarding::Unanswered {
                why: "peer broke off",
            },
        }
    }
}

impl Holder for SentForward {
    fn id(&self) -> HolderId {
        HolderId::Peer(self.peer)
    }

    fn name(&self) -> String {
        self.peer.to_string()
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
                Some((SendOutcome::Response(response), _))
                    if !response.status().is_server_error()
                        && is_answer(&self.state, &self.call, &copied_parts(response)) =>
                {
                    Sign::GoesOn
                }
                _ => Sign::Gone,
            }
        }
        .boxed()
    }

    fn leave(&mut self, state: &HostState, call: &Call, why: &'static str) {
        self.sending = pending().boxed();
        self.arrived = None;
        record_peer_left(state, call, self.peer, why);
    }
}

/// Whether the head of a peer's response answers the request. A success must be a server's own.
fn is_answer(state: &HostState, call: &Call, parts: &response::Parts) -> bool {
    let head = state.dialect.read_response(parts, call);
    let is_usable = !parts.status.is_success() || head.is_signed && !head.is_encoded;
    head.id == AnswerId::Own && is_usable
}

/// Returns what an answer means that is not one to the request: a host that knows no forwarded
/// requests has nothing under their paths.
fn foreign_answer(status: StatusCode) -> Forwarding {
    if status == StatusCode::NOT_FOUND {
        return Forwarding::Unsupported;
    }
    Forwarding::Unanswered {
        why: NO_ANSWER_TO_REQUEST,
    }
}

/// Asks a peer whether it knows forwarded requests, by one that none can serve. Returns `None`
/// if it does not answer within `wait`.
async fn knows_forwarding(connection: &mut Connection, wait: Duration) -> Option<bool> {
    let mut req = Request::new(Full::default());
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("peer"));
    headers.insert(FORWARDED, HeaderValue::from_static("?"));
    let sent = tokio::time::timeout(wait, connection.send(req)).await;
    match sent {
        Ok(SendOutcome::Response(response)) => Some(response.headers().contains_key(DECLINED)),
        Ok(SendOutcome::NotSent | SendOutcome::Unknown) | Err(_) => None,
    }
}

/// Whether a peer that has been silent for a while accepts no test connection either.
pub(crate) async fn is_unreachable(
    state: &HostState,
    peer: SocketAddr,
    silent_since: Millis,
) -> bool {
    state.ran_since(silent_since) >= SILENCE_BEFORE_CHECK && connect(peer).await.is_err()
}

/// Builds the request to a peer from the caller's.
fn request(call: &Call, forwarded: &ForwardedState) -> Option<Request<Full<Bytes>>> {
    let state = serde_json::to_string(forwarded).ok()?;
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.target.clone();
    let mut headers = call.received.headers.clone();
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    if let Some(authority) = call.received.uri.authority()
        && !headers.contains_key(HOST)
    {
        headers.insert(HOST, HeaderValue::from_str(authority.as_str()).ok()?);
    }
    headers.insert(FORWARDED, HeaderValue::from_str(&state).ok()?);
    *req.headers_mut() = headers;
    Some(req)
}

/// Whether a peer's request is one that it forwards.
pub(crate) fn is_forwarded(req: &Request<Incoming>) -> bool {
    req.headers().contains_key(FORWARDED)
}

/// A forwarded request that this host serves, counted until it is dropped.
struct ServedRequest(Arc<HostState>);

impl ServedRequest {
    /// Counts a request, unless this host serves as many as it can.
    fn begin(state: &Arc<HostState>) -> Option<Self> {
        let served = state.forwarded_requests.fetch_add(1, Ordering::Relaxed);
        let counted = Self(state.clone());
        (served < MAX_FORWARDED).then_some(counted)
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.forwarded_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a request that a peer forwards.
pub(crate) async fn serve(state: Arc<HostState>, req: Request<Incoming>) -> InternalResponse {
    let served = try_serve(&state, req).await;
    let outcome = if served.is_some() {
        "served"
    } else {
        "declined"
    };
    metrics::counter!("clementinearch_forwarded_received_total", "outcome" => outcome).increment(1);
    served.unwrap_or_else(|| {
        let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        let headers = response.headers_mut();
        headers.insert(DECLINED, HeaderValue::from_static("1"));
        response
    })
}

/// Serves a forwarded request. Returns `None` if this host cannot, and nothing ran.
async fn try_serve(state: &Arc<HostState>, req: Request<Incoming>) -> Option<InternalResponse> {
    let counted = ServedRequest::begin(state)?;
    if state.has_lost_servers() {
        return None;
    }
    let (mut parts, body) = req.into_parts();
    let forwarded = parts.headers.remove(FORWARDED)?;
    let forwarded: ForwardedState = serde_json::from_slice(forwarded.as_bytes()).ok()?;
    // This host may still have another configuration than the one that accepted the request.
    let call = ingress::read_call(state, &Arc::new(parts), body).await;
    let call = call.ok()?.with_forwarded(forwarded);
    let response = ingress::serve(state.clone(), call).await;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && state.has_lost_servers() {
        // The status states that nothing ran, and another peer may serve it.
        return None;
    }
    // The request counts until its body has ended.
    Some(response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _ = &counted;
            frame
        });
        ResponseBody::new(body)
    }))
}
