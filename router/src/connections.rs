//! Connections to backend servers: fresh ones, and kept ones that are checked before reuse.

use std::{io, net::SocketAddr, time::Duration};

use clementinearch_policy::time::Millis;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Longest wait for a connection: many round trips of a region, yet short beside any objective. A
/// lost packet would be sent again after a second only.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long unacknowledged bytes may stay so before the connection counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a connection is probed, and the pause between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// How long an idle connection is kept if the server names no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Part of the server's idle time within which a connection is used again.
const REUSE_FRACTION: f64 = 0.7;

/// Drives a connection; dropping it closes the connection and so cancels what runs on it.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a backend server that no request is running on.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    reusable_until: Millis,
}

/// What became of a request that was handed to a connection.
pub enum SendOutcome {
    /// The head of an answer came.
    Response(Response<Incoming>),
    /// No byte of the request left.
    NotSent,
    /// A byte may have left and no answer came.
    Unknown,
}

/// Limits the time that a dead peer is taken for a slow one.
pub(crate) fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD);
    socket.set_tcp_keepalive(&keepalive)
}

/// Connects to a backend server.
///
/// # Errors
///
/// Returns why there is no connection; no byte of a request was sent.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_tcp_options(&stream)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = Driver(tokio::spawn(async move {
        // Whoever waits for an answer meets the error too.
        let _ = connection.await;
    }));
    Ok(Connection {
        sender,
        driver,
        reusable_until: Millis::default(),
    })
}

impl Connection {
    /// Whether an idle connection can take another request.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        now < self.reusable_until && self.is_open()
    }

    /// Whether the connection is open as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Marks the connection as idle from `now`, for as long as the server keeps it.
    pub(crate) fn set_idle(&mut self, keep_alive: Option<Duration>, now: Millis) {
        let keep = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .mul_f64(REUSE_FRACTION);
        self.reusable_until = now.after(keep);
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> SendOutcome {
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent;
        }
        match self.sender.try_send_request(req).await {
            Ok(response) => SendOutcome::Response(response),
            Err(mut e) => {
                if e.take_message().is_some() {
                    SendOutcome::NotSent
                } else {
                    SendOutcome::Unknown
                }
            }
        }
    }
}
