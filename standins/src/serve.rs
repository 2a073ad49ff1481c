//! HTTP server and request helpers shared by the asynchronous stand-ins.

use std::{convert::Infallible, future::Future, io, sync::Arc};

use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use tokio::net::TcpListener;

/// HTTP response of a stand-in.
pub type StandinResponse = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Serves the requests on all connections with `handle`, until the listener fails. If `handle`
/// returns an error, the connection is closed without a response.
pub async fn serve<S, F>(
    listener: TcpListener,
    state: Arc<S>,
    handle: fn(Arc<S>, Request<Incoming>) -> F,
) where
    S: Send + Sync + 'static,
    F: Future<Output = io::Result<StandinResponse>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| handle(state.clone(), req));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // Broken connections are among the faults that the stand-ins simulate.
            let _ = connection.await;
        });
    }
}

/// Builds a response from a status and a text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> StandinResponse {
    let body = http_body_util::Full::new(text.into()).map_err(|e: Infallible| match e {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns a parameter of the query; `None` if it is absent or malformed.
pub fn query<T: std::str::FromStr>(req: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    let value = percent_decode_str(value).decode_utf8().ok()?;
    value.parse().ok()
}

/// Returns a header's value; empty if it is absent or not text.
pub fn header(req: &Request<Incoming>, name: &str) -> String {
    let value = req
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
