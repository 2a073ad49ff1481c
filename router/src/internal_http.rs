//! Minimal HTTP server for health checks, operators and peer hosts.

use std::{convert::Infallible, future::Future, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::response_body::{ResponseBody, full_body};

/// Response of the internal server.
pub(crate) type InternalResponse = Response<ResponseBody>;

/// Serves connections until the process ends, calling `respond` with each request. A connection is
/// closed if its next request does not come within `idle`.
pub(crate) async fn serve<F, A>(listener: &TcpListener, idle: Duration, respond: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = InternalResponse> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let respond = respond.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let response = respond(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .serve_connection(TokioIo::new(stream), service);
        // The client sees a connection error itself.
        tokio::spawn(async move { drop(connection.await) });
    }
}

/// Builds a response with a status and a body.
pub(crate) fn with_status(status: StatusCode, body: impl Into<Bytes>) -> InternalResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}
