//! Listener for callers: reads requests within their limits and passes them to the pipeline.

use std::{convert::Infallible, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use clementinearch_policy::{memory_shares::BodyOwner, routes::CallerLimits, time::Millis};
use futures::FutureExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONNECTION, HeaderValue},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

use crate::{
    accept::{accept, wait_for_input, with_work},
    body_buffer::{BodyError, BodyLimit, read_held_body},
    call::{Call, CallHead, hash_bytes, origin_form},
    connection_account::OpenConnection,
    guarded_stream::GuardedStream,
    host_state::HostState,
    pipeline,
    refusal::Refusal,
    request_metrics,
    response_body::ResponseBody,
};

/// Size of the read buffer for a request's head, bytes; larger heads are refused.
const HEAD_BUFFER_BYTES: usize = 64 << 10;

/// Idle time-out of connections until a routing table sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a request waits for the first routing table after a start: the store answers a host
/// that has just started well within this time.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay for callers of a stopping host; the retry reaches another host.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Reason of the refusal of a request whose body finds no memory.
const NO_MEMORY: &str = "no memory for its body";

/// Retry delay for callers whose requests find no memory. What holds it is given back within the time
/// limits of other requests; the retry may reach a host that has more.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Reason of the refusal of a request whose task has panicked.
const PANICKED: &str = "internal failure";

/// Reason of the refusal of a request that comes or is under way during a planned stop.
const PLANNED_STOP: &str = "planned stop";

/// How often a drain checks whether all connections have closed.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// The server for callers' connections.
pub(crate) struct Ingress {
    state: Arc<HostState>,
    /// Turns true when the drain starts.
    closing: watch::Receiver<bool>,
}

/// The handle that drains callers' connections: each is closed once its current request has ended.
pub(crate) struct Drain {
    state: Arc<HostState>,
    close: watch::Sender<bool>,
}

impl Drain {
    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.state.connections.callers.count()
    }

    /// Starts the drain and waits until all connections are closed, at most until `end`. Returns
    /// the number of connections still open.
    pub(crate) async fn run(self, end: Millis) -> usize {
        // Sending fails only if no connection is left to receive it.
        let _ = self.close.send(true);
        while self.open() > 0 && self.state.now() < end {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        self.open()
    }
}

impl Ingress {
    /// Creates the server for callers, and the handle that drains it.
    pub(crate) fn new(state: Arc<HostState>) -> (Self, Drain) {
        let (close, closing) = watch::channel(false);
        let drain = Drain {
            state: state.clone(),
            close,
        };
        let ingress = Self { state, closing };
        (ingress, drain)
    }

    /// Accepts connections until the task is aborted or the process ends.
    pub(crate) async fn run(&self, listener: &TcpListener) {
        loop {
            let account = &self.state.connections.callers;
            let (stream, open) = accept(&self.state, listener, account).await;
            if let Err(e) = crate::connections::set_caller_options(&stream) {
                self.state
                    .log_event("caller_not_tuned", "", &e.to_string(), &[]);
            }
            let idle = self.state.table().map_or(DEFAULT_IDLE_TIMEOUT, |table| {
                table.limits.idle_timeout + table.limits.header_timeout
            });
            let (state, closing) = (self.state.clone(), self.closing.clone());
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = open.wait_until_closed() => {}
                    () = serve_connection(state, stream, open.clone(), idle, closing) => {}
                }
            });
        }
    }
}

/// Serves a caller's connection to its end, or until `closing` turns true and its current request has
/// ended.
async fn serve_connection(
    state: Arc<HostState>,
    stream: TcpStream,
    open: Arc<OpenConnection>,
    idle: Duration,
    mut closing: watch::Receiver<bool>,
) {
    let closed = async move { closing.wait_for(|closing| *closing).await.is_ok() };
    let mut closed = std::pin::pin!(closed);
    let has_input = tokio::select! {
        has_input = wait_for_input(&stream, idle) => has_input,
        _ = closed.as_mut() => false,
    };
    if !has_input {
        return;
    }
    let of = open.clone();
    let service = service_fn(move |req| {
        let (state, open) = (state.clone(), of.clone());
        async move { Ok::<_, Infallible>(respond(state, &open, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(GuardedStream::new(stream, open)), service);
    // Boxed so that silent connections take little memory.
    let mut connection = Box::pin(connection);
    tokio::select! {
        // The caller sees a connection error itself.
        ended = connection.as_mut() => drop(ended),
        _ = closed => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

async fn respond(
    state: Arc<HostState>,
    open: &Arc<OpenConnection>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    open.begin_request().await;
    let (parts, body) = req.into_parts();
    let parts = Arc::new(parts);
    let responding = AssertUnwindSafe(try_respond(&state, open, &parts, body)).catch_unwind();
    let response = tokio::select! {
        // What is refused at once keeps its reason.
        biased;
        response = responding => response.map_err(|_| PANICKED),
        () = state.wait_for_stop_responses() => Err(PLANNED_STOP),
    };
    open.end_request();
    let mut response = response.unwrap_or_else(|reason| {
        // How far the request got is not known.
        let refusal = Refusal::MayHaveRun { reason };
        let id = state.dialect.request_id(&parts).unwrap_or_default();
        let mut response = refuse(&state, &refusal, None, id);
        close_after(&mut response);
        response
    });
    // Callers that send request after request would otherwise keep all connections at work, so that
    // new callers are refused.
    if state.is_stopping() || state.connections.callers.is_full() {
        close_after(&mut response);
    }
    metrics::counter!("clementinearch_answers_total", "status" => response.status().as_str().to_owned())
        .increment(1);
    response
}

async fn try_respond(
    state: &Arc<HostState>,
    open: &Arc<OpenConnection>,
    parts: &Arc<request::Parts>,
    body: Incoming,
) -> Response<ResponseBody> {
    match read_call(state, parts, body).await {
        Ok(call) => {
            let work = open.begin_work();
            with_work(serve(state.clone(), call).await, work)
        }
        Err((refusal, head)) => {
            let id = state.dialect.request_id(parts).unwrap_or_default();
            let mut response = refuse(state, &refusal, head.as_ref(), id);
            if response.status() != StatusCode::NOT_FOUND
                && response.status() != StatusCode::UNAUTHORIZED
            {
                close_after(&mut response);
            }
            response
        }
    }
}

/// Serves a request whose body has arrived.
pub(crate) async fn serve(state: Arc<HostState>, mut call: Call) -> Response<ResponseBody> {
    let prepared = state.hooks.prepare(&mut call).await;
    match prepared {
        Ok(None) => pipeline::serve(state, call).await,
        Ok(Some(response)) => response,
        Err(refusal) => refuse(&state, &refusal, Some(&call.head), &call.head.id),
    }
}

/// Counts and logs a refusal, and builds the response to the caller.
fn refuse(
    state: &HostState,
    refusal: &Refusal,
    head: Option<&CallHead>,
    id: &str,
) -> Response<ResponseBody> {
    request_metrics::count_refusal(refusal);
    state.log_event("request_refused", id, &refusal.to_string(), &[]);
    state.dialect.refusal_response(refusal, head)
}

/// Makes the connection close after a response.
fn close_after(response: &mut Response<ResponseBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Reads a request.
///
/// # Errors
///
/// Returns a refusal, with the request's head if that could be parsed.
pub(crate) async fn read_call(
    state: &HostState,
    parts: &Arc<request::Parts>,
    body: Incoming,
) -> Result<Call, (Refusal, Option<CallHead>)> {
    let arrived = state.now();
    let table = state
        .wait_for_table(FIRST_TABLE_TIMEOUT)
        .await
        .ok_or((Refusal::NotReady, None))?;
    let head = state
        .dialect
        .read_call(parts, &table)
        .map_err(|refusal| (refusal, None))?;
    let route = &head.route;
    let caller_timeout = head
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    if !state.takes_during_stop(route, caller_timeout, arrived) {
        // The caller is sent to another host, since this one might stop before the response ends.
        let refusal = Refusal::not_run(PLANNED_STOP, STOPPING_RETRY_AFTER);
        return Err((refusal, Some(head)));
    }
    let body = match read_request_body(state, body, &table.limits).await {
        Ok(body) => body,
        Err(refusal) => return Err((refusal, Some(head))),
    };
    let account = head.account.as_ref().map_or("", |account| &account.name);
    let route = &head.route;
    let hash = hash_bytes(head.id.as_bytes());
    let service = route.service_at(hash).cloned().unwrap_or_default();
    let target = origin_form(&parts.uri);
    let key = [
        target.path().as_bytes(),
        b"\0",
        account.as_bytes(),
        b"\0",
        &body,
    ];
    Ok(Call {
        content_hash: hash_bytes(&key.concat()),
        deadline: arrived.after(caller_timeout),
        service,
        target,
        method: parts.method.clone(),
        body,
        arrived,
        head,
        received: parts.clone(),
        forwarded: None,
    })
}

async fn read_request_body(
    state: &HostState,
    body: Incoming,
    limits: &CallerLimits,
) -> Result<Bytes, Refusal> {
    let limit = BodyLimit::of_request(limits.max_body_bytes);
    let read = read_held_body(body, limit, &state.body_memory, BodyOwner::Callers);
    match timeout(limits.body_timeout, read).await {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Refusal::BodyTooLarge),
        Ok(Err(BodyError::NoMemory)) => Err(Refusal::not_run(NO_MEMORY, NO_MEMORY_RETRY_AFTER)),
        Ok(Err(BodyError::BrokeOff)) => Err(Refusal::BadRequest {
            reason: "the body broke off",
        }),
    }
}
