//! HTTP client for load reports and orders, which backend servers get beside callers' requests.

use std::{io, net::SocketAddr};

use clementinearch_router::{BodyLimit, Connection, SendOutcome, connect, read_body};
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

/// Largest load report, or answer to an order, that is read, bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Connection to one server, reused for further requests.
pub(crate) struct PersistentConnection {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns an error if the path or a header is not valid in HTTP.
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

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Returns an error if the response is too large or the connection breaks before it is complete. The server may have
/// received the request all the same.
pub(crate) async fn send(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> io::Result<(StatusCode, Bytes)> {
    let SendOutcome::Response(response) = connection.send(req).await else {
        return Err(io::ErrorKind::ConnectionReset.into());
    };
    let status = response.status();
    let limit = BodyLimit::of_response(MAX_RESPONSE_BYTES);
    let body = read_body(response.into_body(), limit).await;
    Ok((status, body.map_err(io::Error::other)?))
}

impl PersistentConnection {
    /// Creates a client for the server at `address`. It connects on the first request.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Fetches the body at `path`. Reconnects if the previous connection has failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't be reached or responds with a status other than 200.
    pub(crate) async fn get(&mut self, path: &str) -> io::Result<Bytes> {
        if let Some(connection) = self.connection.take()
            && let Ok(body) = self.get_on(connection, path).await
        {
            return Ok(body);
        }
        let connection = connect(self.address).await?;
        self.get_on(connection, path).await
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
