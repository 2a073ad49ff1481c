//! The small server that answers probes, operators and peers by path.

use std::{convert::Infallible, future::Future, time::Duration};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// An answer by path.
pub(crate) type InternalResponse = Response<Full<Bytes>>;

/// Answers paths until the process ends; a connection waits for its next request for `idle`.
pub(crate) async fn serve<F, A>(listener: TcpListener, idle: Duration, answer: F)
where
    F: Fn(String) -> A + Clone + Send + 'static,
    A: Future<Output = InternalResponse> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let answered = answer(req.uri().path().to_owned());
            async move { Ok::<_, Infallible>(answered.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .serve_connection(TokioIo::new(stream), service);
        // Whoever asked meets the error too.
        tokio::spawn(async move { drop(connection.await) });
    }
}

/// An answer with a status.
pub(crate) fn with_status(status: StatusCode, body: impl Into<Bytes>) -> InternalResponse {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}
