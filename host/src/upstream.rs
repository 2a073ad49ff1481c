//! Calls to backend servers over fresh connections, so that "no byte was sent" is certain.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection on which no byte was sent yet.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// Drives the connection; dropping it closes the connection and so cancels the call.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that is kept for further reads of the same server, such as probes.
pub(crate) struct KeptConnection {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// An answer whose body is still to come.
pub(crate) struct UpstreamAnswer {
    response: Response<Incoming>,
    driver: Driver,
}

/// A stream of body bytes that keeps its connection open.
pub(crate) type BodyStream = http_body_util::BodyDataStream<Incoming>;

/// Connects to a backend server.
///
/// # Errors
///
/// Returns why there is no connection; no byte of a request was sent.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = Driver(tokio::spawn(async move {
        // The caller of `send` meets the error too.
        let _ = connection.await;
    }));
    Ok(Connection { sender, driver })
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns an error if a header value or the path cannot be sent.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: Bytes,
) -> io::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    builder = builder.header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(body)).map_err(io::Error::other)
}

impl Connection {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the request may have reached the server.
    pub(crate) async fn send(mut self, req: Request<Full<Bytes>>) -> io::Result<UpstreamAnswer> {
        let response = self
            .sender
            .send_request(req)
            .await
            .map_err(io::Error::other)?;
        Ok(UpstreamAnswer {
            response,
            driver: self.driver,
        })
    }
}

impl KeptConnection {
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
    pub(crate) async fn read(&mut self, path: &str) -> io::Result<Bytes> {
        if let Some(kept) = self.connection.take()
            && let Ok(body) = self.read_on(kept, path).await
        {
            return Ok(body);
        }
        let fresh = connect(self.address).await?;
        self.read_on(fresh, path).await
    }

    async fn read_on(&mut self, mut connection: Connection, path: &str) -> io::Result<Bytes> {
        let req = request(Method::GET, self.address, path, &[], Bytes::new())?;
        let response = connection
            .sender
            .send_request(req)
            .await
            .map_err(io::Error::other)?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        if status != StatusCode::OK {
            return Err(io::Error::other(status.to_string()));
        }
        self.connection = Some(connection);
        Ok(body)
    }
}

impl UpstreamAnswer {
    /// HTTP status of the answer.
    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The body as it comes, and the guard that keeps its connection open.
    pub(crate) fn into_stream(self) -> (BodyStream, impl Drop) {
        (self.response.into_body().into_data_stream(), self.driver)
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the body does.
    pub(crate) async fn whole_body(self) -> io::Result<Bytes> {
        let collected = self
            .response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        drop(self.driver);
        Ok(collected.to_bytes())
    }
}
