//! Minimal HTTP server for health checks, operators and peer hosts.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::{
    accept::{accept, wait_for_input, with_work},
    connection_account::ConnectionAccount,
    guarded_stream::GuardedStream,
    host_state::HostState,
    response_body::{ResponseBody, full_body},
};

/// Response of the internal server.
pub(crate) type InternalResponse = Response<ResponseBody>;

/// Longest wait for the first byte on a new connection: probes, operators and peers send their request
/// as soon as they are connected.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves connections within the bounds of `account` until the process ends, calling `respond` with
/// each request. A connection is closed if its next request does not come within `idle`.
pub(crate) async fn serve<F, A>(
    state: &HostState,
    listener: &TcpListener,
    account: &Arc<ConnectionAccount>,
    idle: Duration,
    respond: F,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = InternalResponse> + Send + 'static,
{
    loop {
        let (stream, open) = accept(state, listener, account).await;
        let respond = respond.clone();
        let served = open.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let (respond, served) = (respond.clone(), served.clone());
            async move {
                served.begin_request().await;
                let work = served.begin_work();
                let response = respond(req).await;
                served.end_request();
                Ok::<_, Infallible>(with_work(response, work))
            }
        });
        let first_byte = idle.min(FIRST_BYTE_TIMEOUT);
        tokio::spawn(async move {
            let serving = async {
                if !wait_for_input(&stream, first_byte).await {
                    return;
                }
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(idle)
                    .serve_connection(
                        TokioIo::new(GuardedStream::new(stream, open.clone())),
                        service,
                    );
                // The client sees a connection error itself. Boxed so that silent connections take
                // little memory.
                drop(Box::pin(connection).await);
            };
            tokio::select! {
                biased;
                () = open.wait_until_closed() => {}
                () = serving => {}
            }
        });
    }
}

/// Builds a response with a status and a body.
pub(crate) fn with_status(status: StatusCode, body: impl Into<Bytes>) -> InternalResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}
