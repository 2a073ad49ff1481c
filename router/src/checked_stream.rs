//! TCP stream to a server that sends no request after bytes that no request asked for, and that reads
//! no head without end.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes that a server may send until the head of its response is complete, interim heads
/// included. The begin of the body may come with them.
const MAX_HEAD_BYTES: usize = 256 << 10;

#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// Whether the next write begins a request.
    begins_request: AtomicBool,
    /// Whether a request was held back.
    has_held_back: AtomicBool,
    /// Bytes that may still come before the head of the response is complete.
    head_left: AtomicUsize,
}

/// A stream for requests one after the other. Clones share the connection.
#[derive(Clone, Debug)]
pub(crate) struct CheckedStream(Arc<Socket>);

impl CheckedStream {
    /// Wraps a connected stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Socket {
            stream,
            begins_request: AtomicBool::new(false),
            has_held_back: AtomicBool::new(false),
            head_left: AtomicUsize::new(usize::MAX),
        }))
    }

    /// Whether unread bytes, the end of the stream or an error have arrived. It asks the kernel,
    /// since the runtime learns of them only between tasks.
    pub(crate) fn has_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.0.stream).peek(&mut byte) {
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Announces that the next write begins a request, which fails if there is input before it.
    pub(crate) fn begin_request(&self) {
        self.0.begins_request.store(true, Ordering::Relaxed);
        self.0.head_left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Announces that the head of the response is complete.
    pub(crate) fn end_head(&self) {
        self.0.head_left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Whether more has come than the head of a response may have.
    pub(crate) fn has_endless_head(&self) -> bool {
        self.0.head_left.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that have come while the head was incomplete.
    fn count_head(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.head_left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let left = left.saturating_sub(bytes);
        self.0.head_left.store(left, Ordering::Relaxed);
        if left == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Whether a request was held back, so that none of its bytes has left.
    pub(crate) fn has_held_back(&self) -> bool {
        self.0.has_held_back.load(Ordering::Relaxed)
    }

    fn check_before_write(&self) -> io::Result<()> {
        if self.0.begins_request.swap(false, Ordering::Relaxed) && self.has_input() {
            self.0.has_held_back.store(true, Ordering::Relaxed);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.check_before_write()?;
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match try_write(&self.0.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    self.count_head(count)?;
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
