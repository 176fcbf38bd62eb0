//! A limit on the bytes that a peer sends before the head of its response is whole.
//!
//! The HTTP library bounds one head, but not the interim responses before it: a peer that sends them without
//! end would keep this process busy until the request's deadline.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum bytes up to the end of a head, with the part of the body that is read along with it.
const MAX_HEAD_BYTES: u64 = 512 << 10;

/// How many bytes a peer may still send.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    /// Expects a head.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit: the head has arrived.
    pub(crate) fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    fn count(&self, bytes: u64) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Ok(());
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes <= left {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::InvalidData, "no end of the response head"))
    }
}

/// A connection with such a limit.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Limits a connection; returns it with the handle of its limit.
    pub(crate) fn new(stream: TcpStream) -> (LimitedStream, HeadLimit) {
        let limit = HeadLimit(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)));
        (LimitedStream { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.count(bytes as u64)),
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
