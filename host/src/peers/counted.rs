//! TCP stream between entry hosts that counts the bytes sent and received.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use metrics::Counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP stream whose traffic is counted in `clementinearch_peer_bytes_total`.
pub(crate) struct CountedStream {
    stream: TcpStream,
    received: Counter,
    sent: Counter,
}

impl CountedStream {
    /// Wraps `stream` and disables Nagle's algorithm on it.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // A failure costs only latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: metrics::counter!("clementinearch_peer_bytes_total", "direction" => "received"),
            sent: metrics::counter!("clementinearch_peer_bytes_total", "direction" => "sent"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.received
            .increment((buf.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.sent.increment(*written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
