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
    board::Board,
    call::{Call, CallHead, hash_bytes, origin_form},
    pipeline,
    refusal::Refusal,
    request_metrics,
    response_body::ResponseBody,
};

/// Buffer for the head of a request, bytes; heads beyond it are refused.
const HEAD_BUFFER_BYTES: usize = 64 << 10;

/// Idle time that a connection may have before a routing table names one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest that a request waits for a fresh host's first routing table: the store answers a host
/// that has just started well within it.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// When to come back, at another host, after a refusal by a host that stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time between two looks whether all connections have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Callers' connections of this host.
pub(crate) struct Ingress {
    board: Arc<Board>,
    open: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
}

/// Ends callers' connections as their requests do.
pub(crate) struct Drain {
    board: Arc<Board>,
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
        while self.open() > 0 && self.board.now() < end {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        self.open()
    }
}

impl Ingress {
    /// Serves callers of `board`'s host until the drain runs.
    pub(crate) fn new(board: Arc<Board>) -> (Self, Drain) {
        let (close, closing) = watch::channel(false);
        let open: Arc<AtomicUsize> = Arc::default();
        let drain = Drain {
            board: board.clone(),
            open: open.clone(),
            close,
        };
        let ingress = Self {
            board,
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
            if let Err(e) = crate::connections::set_tcp_options(&stream) {
                self.board
                    .log_belief("caller_not_tuned", "", &e.to_string(), &[]);
            }
            let idle = self.board.table().map_or(DEFAULT_IDLE_TIMEOUT, |table| {
                table.limits.idle_timeout + table.limits.head_timeout
            });
            let board = self.board.clone();
            let service = service_fn(move |req| {
                let board = board.clone();
                async move { Ok::<_, Infallible>(answer(board, req).await) }
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

async fn answer(board: Arc<Board>, req: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = req.into_parts();
    let mut answer = match read_call(&board, &parts, body).await {
        Ok(call) => serve(board.clone(), call).await,
        Err((refusal, head)) => {
            let id = board.dialect.request_id(&parts).unwrap_or_default();
            let mut answer = refuse(&board, &refusal, head.as_ref(), id);
            if answer.status() != StatusCode::NOT_FOUND
                && answer.status() != StatusCode::UNAUTHORIZED
            {
                close_after(&mut answer);
            }
            answer
        }
    };
    if board.is_stopping() {
        close_after(&mut answer);
    }
    metrics::counter!("clementinearch_answers_total", "status" => answer.status().as_str().to_owned())
        .increment(1);
    answer
}

/// Serves a request whose body has come.
async fn serve(board: Arc<Board>, mut call: Call) -> Response<ResponseBody> {
    let prepared = board.hooks.prepare(&mut call).await;
    match prepared {
        Ok(None) => pipeline::serve(board, call).await,
        Ok(Some(answer)) => answer,
        Err(refusal) => refuse(&board, &refusal, Some(&call.head), &call.head.id),
    }
}

fn refuse(
    board: &Board,
    refusal: &Refusal,
    head: Option<&CallHead>,
    id: &str,
) -> Response<ResponseBody> {
    request_metrics::count_refusal(refusal);
    board.log_belief("request_refused", id, &refusal.to_string(), &[]);
    board.dialect.refusal_response(refusal, head)
}

fn close_after(answer: &mut Response<ResponseBody>) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Reads a request; a refusal comes with the request's head if it could be read.
async fn read_call(
    board: &Board,
    parts: &request::Parts,
    body: Incoming,
) -> Result<Call, (Refusal, Option<CallHead>)> {
    let arrived = board.now();
    let table = board
        .first_table(FIRST_TABLE_TIMEOUT)
        .await
        .ok_or((Refusal::NotReady, None))?;
    let head = board
        .dialect
        .read_call(parts, &table)
        .map_err(|refusal| (refusal, None))?;
    if board.might_outlast_stop(&head.route, arrived) {
        // Another host takes it from the start.
        let refusal = Refusal::not_run("planned stop", STOPPING_RETRY_AFTER);
        return Err((refusal, Some(head)));
    }
    let body = match read_body(body, &table.limits).await {
        Ok(body) => body,
        Err(refusal) => return Err((refusal, Some(head))),
    };
    let account = head.account.as_ref().map_or("", |account| &account.name);
    let route = &head.route;
    let caller_timeout = head
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
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
        content_hash: hash_bytes(&key.concat()),
        deadline: arrived.after(caller_timeout),
        service,
        target,
        method: parts.method.clone(),
        body,
        arrived,
        head,
    })
}

async fn read_body(body: Incoming, limits: &CallerLimits) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, limits.body_bytes);
    match timeout(limits.body_timeout, limited.collect()).await {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest {
            reason: "the body broke off",
        }),
    }
}
