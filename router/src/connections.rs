//! HTTP/1 connections to backend servers: new ones, and idle ones that are checked before reuse.

use std::{io, net::SocketAddr, time::Duration};

use clementinearch_policy::time::Millis;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::checked_stream::CheckedStream;

/// Largest read buffer of a connection, bytes; it also bounds the head of a response.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Time limit for connecting: many round trips within a region, but short compared with any latency
/// objective. Waiting longer would not help, since TCP sends a lost SYN again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a caller may acknowledge nothing, or take nothing in, before the kernel closes its
/// connection. A stream does not look at its own time limits while its caller takes nothing in, so
/// this bounds the work for callers that are gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection without a user time-out. Requests
/// have time limits of their own.
const KEEPALIVE_PROBES: u32 = 20;

/// How long an idle connection is kept if the server sends no `Keep-Alive` time-out.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Fraction of the server's idle time-out within which a connection is reused; beyond it, the
/// server might close the connection just as the request is sent.
const REUSE_FRACTION: f64 = 0.7;

/// Task that drives a connection. Dropping it closes the connection, which cancels the request on
/// it.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a backend server, for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    stream: CheckedStream,
    reusable_until: Millis,
}

/// The result of sending a request over a connection.
pub enum SendOutcome {
    /// The head of a response arrived.
    Response(Response<Incoming>),
    /// No byte of the request was sent.
    NotSent,
    /// Part of the request may have been sent, and no response arrived.
    Unknown,
}

/// Sets the options of a caller's connection. Those who do not read for a while, or are out of reach,
/// find their answer when they are back.
///
/// # Errors
///
/// Returns the error of the first option that cannot be set.
pub(crate) fn set_caller_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(CALLER_TIMEOUT))
}

/// Sets the options that all connections share. Those to servers and peers have no user time-out:
/// bytes that wait at this host's own link are no sign of the other side, and test connections tell
/// more.
///
/// # Errors
///
/// Returns the error of the first option that cannot be set.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Connects to a backend server.
///
/// # Errors
///
/// Returns an error if the server does not accept within the time limit or a socket option
/// cannot be set; no byte of a request was sent.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    let stream = CheckedStream::new(stream);
    let io = TokioIo::new(stream.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(io)
        .await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = Driver(tokio::spawn(async move {
        // The sender that waits for a response sees the error as well.
        let _ = connection.await;
    }));
    Ok(Connection {
        sender,
        driver,
        stream,
        reusable_until: Millis::default(),
    })
}

impl Connection {
    /// Whether an idle connection is open and still within the server's idle time-out.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        now < self.reusable_until && self.is_open()
    }

    /// Whether neither side has closed the connection, and nothing has come that no request asked
    /// for.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished() && !self.stream.has_input()
    }

    /// Whether the server sent more than the head of a response may have.
    pub(crate) fn has_endless_head(&self) -> bool {
        self.stream.has_endless_head()
    }

    /// Marks the connection as idle since `now` and sets until when it may be reused, from the
    /// server's `keep_alive` time-out.
    pub(crate) fn set_idle(&mut self, keep_alive: Option<Duration>, now: Millis) {
        let keep = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .mul_f64(REUSE_FRACTION);
        self.reusable_until = now.after(keep);
    }

    /// Sends a request, unless bytes came before it, and waits for the head of the response. Dropping
    /// the future closes the connection.
    pub(crate) fn send_owned(
        mut self,
        req: Request<Full<Bytes>>,
    ) -> BoxFuture<'static, (SendOutcome, Self)> {
        Box::pin(async move { (self.send(req).await, self) })
    }

    /// Sends a request, unless bytes came before it, and waits for the head of the response.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> SendOutcome {
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent;
        }
        self.stream.begin_request();
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.stream.end_head();
                SendOutcome::Response(response)
            }
            Err(mut e) => {
                if e.take_message().is_some() || self.stream.has_held_back() {
                    SendOutcome::NotSent
                } else {
                    SendOutcome::Unknown
                }
            }
        }
    }
}
