//! A client's stream that records in its listener's account what it reads, and whether its client
//! reads.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::connection_account::OpenConnection;

/// Most bytes of one read. The HTTP library doubles its read buffer, up to the largest head, each time
/// a read fills it; reads that stay under 16 KB keep the buffer of a body small.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

/// A client's stream.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<OpenConnection>) -> Self {
        Self { stream, connection }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.connection.set_blocked(written.is_pending());
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Connections that were told to close give back their memory when their tasks run. Without the
        // pause, heads that arrive together are read before that.
        if !self.connection.may_read() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = if buf.remaining() <= MAX_READ_BYTES {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            buf.filled().len() - before
        } else {
            // The part is zeroed, so this is done only if there is something to read.
            ready!(self.stream.poll_read_ready(cx))?;
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(MAX_READ_BYTES));
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
            let read = part.filled().len();
            buf.advance(read);
            read
        };
        self.connection.record_read(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
