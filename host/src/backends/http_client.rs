//! Small calls to backend servers beside callers' requests: load reports and orders.

use std::{io, net::SocketAddr};

use clementinearch_router::{Connection, Sent, connect};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

/// A connection that is kept for further reads of the same server.
pub(crate) struct PersistentConnection {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns an error if a header value or the path cannot be sent.
pub(crate) fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: Bytes,
) -> io::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(body)).map_err(io::Error::other)
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Returns why there is no whole answer; the request may have reached the server.
pub(crate) async fn send(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> io::Result<(StatusCode, Bytes)> {
    let Sent::Answered(answer) = connection.send(req).await else {
        return Err(io::ErrorKind::ConnectionReset.into());
    };
    let status = answer.status();
    let body = answer.into_body().collect().await;
    Ok((status, body.map_err(io::Error::other)?.to_bytes()))
}

impl PersistentConnection {
    /// Connects with the first read.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Reads a small answer; connects anew if the server closed the connection meanwhile.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn get(&mut self, path: &str) -> io::Result<Bytes> {
        if let Some(kept) = self.connection.take()
            && let Ok(body) = self.get_on(kept, path).await
        {
            return Ok(body);
        }
        let fresh = connect(self.address).await?;
        self.get_on(fresh, path).await
    }

    async fn get_on(&mut self, mut connection: Connection, path: &str) -> io::Result<Bytes> {
        let req = build_request(Method::GET, self.address, path, &[], Bytes::new())?;
        let (status, body) = send(&mut connection, req).await?;
        if status != StatusCode::OK {
            return Err(io::Error::other(status.to_string()));
        }
        self.connection = Some(connection);
        Ok(body)
    }
}
