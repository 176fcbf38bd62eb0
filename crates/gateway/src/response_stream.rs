//! A connection on which each response is judged by its bytes, before the HTTP library reads them.
//!
//! The library takes some heads that permit several readings, and can't tell a connection that ended from one
//! that broke while the request was still being written.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use citronrill_http::response::{Framing, ResponseDecoder};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What is known of the responses on a connection.
#[derive(Debug, Default)]
struct Tracked {
    decoder: ResponseDecoder,
    /// Whether a write has failed: the system reports a reset only once, to whichever call comes first.
    write_failed: bool,
    /// Whether the peer has sent bytes that belong to no response.
    surplus: bool,
}

/// Handle to what is known of the responses on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResponseTracker(Arc<Mutex<Tracked>>);

impl ResponseTracker {
    fn lock(&self) -> MutexGuard<'_, Tracked> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Expects the response to a request; `head_only` is set if it asks for the head only.
    pub(crate) fn expect(&self, head_only: bool) {
        self.lock().decoder.expect(head_only);
    }

    /// Returns what marks the end of the body of the response whose head has arrived.
    pub(crate) fn framing(&self) -> Option<Framing> {
        self.lock().decoder.framing()
    }

    /// Returns whether the next response on this connection can't be mistaken for another.
    pub(crate) fn is_reusable(&self) -> bool {
        let tracked = self.lock();
        tracked.decoder.is_complete() && !tracked.surplus && !tracked.write_failed
    }

    /// Judges bytes that were read, or the end of the connection; returns how many of them are passed on.
    fn judge(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut tracked = self.lock();
        if bytes.is_empty() {
            let broken = tracked.write_failed;
            tracked.decoder.close(broken)?;
            return Ok(0);
        }
        let used = tracked.decoder.push(bytes, &mut ())?;
        tracked.surplus |= used < bytes.len();
        Ok(used)
    }
}

/// A connection whose responses are tracked.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    stream: TcpStream,
    tracker: ResponseTracker,
}

impl ResponseStream {
    /// Tracks the responses on a connection; returns it with the handle to them.
    pub(crate) fn new(stream: TcpStream) -> (ResponseStream, ResponseTracker) {
        let tracker = ResponseTracker::default();
        (ResponseStream { stream, tracker: tracker.clone() }, tracker)
    }

    /// Notes whether a write has failed.
    fn note<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(_)) = &written {
            self.tracker.lock().write_failed = true;
        }
        written
    }
}

impl AsyncRead for ResponseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let used = self.tracker.judge(&buffer.filled()[before..]);
                Poll::Ready(used.map(|used| buffer.set_filled(before + used)))
            }
            other => other,
        }
    }
}

impl AsyncWrite for ResponseStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.note(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = Pin::new(&mut self.stream).poll_shutdown(context);
        self.note(closed)
    }
}
