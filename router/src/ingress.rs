//! The callers' side: listens, reads requests within their limits, and hands them to the pipeline.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use clementinearch_policy::{routes::CallerLimits, time::Millis};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONNECTION, HeaderValue},
    http::request,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch, time::timeout};

use crate::{
    answer_body::AnswerBody,
    call::{Call, CallHead, hash_bytes, origin_form},
    host_state::HostState,
    measures, pipeline,
    refusal::Refusal,
};

/// Buffer for the head of a request, bytes; heads beyond it are refused.
const HEAD_BUFFER_BYTES: usize = 64 << 10;

/// Idle time that a connection may have before a routing table names one.
const DEFAULT_IDLE: Duration = Duration::from_secs(20);

/// Longest that a request waits for a fresh host's first routing table: the store answers a host
/// that has just started well within it.
const FIRST_TABLE_WAIT: Duration = Duration::from_millis(400);

/// When to come back, at another host, after a refusal by a host that stops.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(20);

/// Time between two looks whether all connections have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Callers' connections of this host.
pub(crate) struct Ingress {
    state: Arc<HostState>,
    open: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
}

/// Ends callers' connections as their requests do.
pub(crate) struct Drain {
    state: Arc<HostState>,
    open: Arc<AtomicUsize>,
    close: watch::Sender<bool>,
}

impl Drain {
    /// Connections that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Lets requests finish until `end`. Returns how many connections were still open then.
    pub(crate) async fn run(self, end: Millis) -> usize {
        // Nobody is left to hear it if all connections have ended.
        let _ = self.close.send(true);
        while self.open() > 0 && self.state.now() < end {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        self.open()
    }
}

impl Ingress {
    /// Serves the callers of the host with this `state` until the drain runs.
    pub(crate) fn new(state: Arc<HostState>) -> (Self, Drain) {
        let (close, closing) = watch::channel(false);
        let open: Arc<AtomicUsize> = Arc::default();
        let drain = Drain {
            state: state.clone(),
            open: open.clone(),
            close,
        };
        let ingress = Self {
            state,
            open,
            closing,
        };
        (ingress, drain)
    }

    /// Accepts callers until the process ends.
    pub(crate) async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if let Err(e) = crate::connections::tune(&stream) {
                self.state
                    .log_event("caller_not_tuned", "", &e.to_string(), &[]);
            }
            let idle = self.state.table().map_or(DEFAULT_IDLE, |table| {
                table.limits.idle_timeout + table.limits.header_timeout
            });
            let state = self.state.clone();
            let service = service_fn(move |req| {
                let state = state.clone();
                async move { Ok::<_, Infallible>(answer(state, req).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .max_buf_size(HEAD_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            let open = self.open.clone();
            open.fetch_add(1, Ordering::Relaxed);
            let mut closing = self.closing.clone();
            tokio::spawn(async move {
                let mut connection = std::pin::pin!(connection);
                let closed = async move { closing.wait_for(|closing| *closing).await.is_ok() };
                tokio::select! {
                    // The caller meets a broken connection too.
                    ended = connection.as_mut() => drop(ended),
                    _ = closed => {
                        connection.as_mut().graceful_shutdown();
                        drop(connection.await);
                    }
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

async fn answer(state: Arc<HostState>, req: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = req.into_parts();
    let mut answer = match read_call(&state, &parts, body).await {
        Ok(call) => serve(state.clone(), call).await,
        Err((refusal, head)) => {
            let id = state.dialect.request_id(&parts).unwrap_or_default();
            let mut answer = refuse(&state, &refusal, head.as_ref(), id);
            if answer.status() != StatusCode::NOT_FOUND
                && answer.status() != StatusCode::UNAUTHORIZED
            {
                close_after(&mut answer);
            }
            answer
        }
    };
    if state.is_stopping() {
        close_after(&mut answer);
    }
    metrics::counter!("clementinearch_answers_total", "status" => answer.status().as_str().to_owned())
        .increment(1);
    answer
}

/// Serves a request whose body has come.
async fn serve(state: Arc<HostState>, mut call: Call) -> Response<AnswerBody> {
    let prepared = state.control.prepare(&mut call).await;
    match prepared {
        Ok(None) => pipeline::serve(state, call).await,
        Ok(Some(answer)) => answer,
        Err(refusal) => refuse(&state, &refusal, Some(&call.head), &call.head.id),
    }
}

fn refuse(
    state: &HostState,
    refusal: &Refusal,
    head: Option<&CallHead>,
    id: &str,
) -> Response<AnswerBody> {
    measures::count_refusal(refusal);
    state.log_event("request_refused", id, &refusal.to_string(), &[]);
    state.dialect.refuse(refusal, head)
}

fn close_after(answer: &mut Response<AnswerBody>) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Reads a request; a refusal comes with the request's head if it could be read.
async fn read_call(
    state: &HostState,
    parts: &request::Parts,
    body: Incoming,
) -> Result<Call, (Refusal, Option<CallHead>)> {
    let arrived = state.now();
    let table = state
        .wait_for_table(FIRST_TABLE_WAIT)
        .await
        .ok_or((Refusal::NotReady, None))?;
    let head = state
        .dialect
        .read_call(parts, &table)
        .map_err(|refusal| (refusal, None))?;
    if state.might_outlast_stop(&head.route, arrived) {
        // Another host takes it from the start.
        let refusal = Refusal::not_run("planned stop", ELSEWHERE_RETRY);
        return Err((refusal, Some(head)));
    }
    let body = match read_body(body, &table.limits).await {
        Ok(body) => body,
        Err(refusal) => return Err((refusal, Some(head))),
    };
    let account = head.account.as_ref().map_or("", |account| &account.name);
    let route = &head.route;
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    let point = hash_bytes(head.id.as_bytes());
    let service = route.service_at(point).cloned().unwrap_or_default();
    let target = origin_form(&parts.uri);
    let key = [
        target.path().as_bytes(),
        b"\0",
        account.as_bytes(),
        b"\0",
        &body,
    ];
    Ok(Call {
        content: hash_bytes(&key.concat()),
        deadline: arrived.after(patience),
        service,
        target,
        method: parts.method.clone(),
        body,
        arrived,
        head,
    })
}

async fn read_body(body: Incoming, limits: &CallerLimits) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, limits.max_body_bytes);
    match timeout(limits.body_timeout, limited.collect()).await {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest {
            reason: "the body broke off",
        }),
    }
}
