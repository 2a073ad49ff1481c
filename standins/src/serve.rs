//! The small HTTP server that the backend stand-ins share.

use std::{convert::Infallible, future::Future, io, sync::Arc};

use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Body of a stand-in's answer.
pub type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Answers each request of each connection with `handle`; an error of it cuts the connection.
pub async fn serve<S, F>(
    listener: TcpListener,
    state: Arc<S>,
    handle: fn(Arc<S>, Request<Incoming>) -> F,
) where
    S: Send + Sync + 'static,
    F: Future<Output = io::Result<Answer>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| handle(state.clone(), req));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A cut connection is one of the faults that the stand-ins are for.
            let _ = connection.await;
        });
    }
}

/// An answer with a whole text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let body = http_body_util::Full::new(text.into()).map_err(|e: Infallible| match e {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// A field of the query.
pub fn query<T: std::str::FromStr>(req: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    value.parse().ok()
}

/// A header as text; empty if absent.
pub fn header(req: &Request<Incoming>, name: &str) -> String {
    let value = req
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
