//! An endpoint's answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use citronrill_pool::{EntryEvent, RequestId};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    call::Guard,
    entry::{Command, Events},
};

/// Why an answer ends early.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The endpoint broke off.
    #[error("the endpoint broke off: {0}")]
    Endpoint(#[from] hyper::Error),
    /// The request's time is up.
    #[error("the request's time is up")]
    Cut,
}

/// The body of an answer, passed on as it comes.
///
/// An answer that the endpoint breaks off ends with an error here, which closes the caller's
/// connection without the mark of a complete body: it must not look whole.
pub(crate) struct Relay {
    id: RequestId,
    body: Incoming,
    commands: UnboundedReceiver<Command>,
    events: Events,
    ended: bool,
    _guard: Guard,
}

impl Relay {
    /// Passes `body` on.
    pub(crate) fn new(
        id: RequestId,
        body: Incoming,
        commands: UnboundedReceiver<Command>,
        events: Events,
        guard: Guard,
    ) -> Relay {
        Relay { id, body, commands, events, ended: false, _guard: guard }
    }

    fn end(&mut self, complete: bool) {
        if !self.ended {
            self.ended = true;
            self.events.send(EntryEvent::Finish(self.id, complete));
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if let Poll::Ready(Some(Command::Cut)) = self.commands.poll_recv(context) {
            self.ended = true;
            return Poll::Ready(Some(Err(RelayError::Cut)));
        }
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(frame) => frame,
        };
        match &frame {
            None => self.end(true),
            Some(Err(_)) => self.end(false),
            Some(Ok(_)) if self.body.is_end_stream() => self.end(true),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(RelayError::Endpoint)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Relay {
    /// A body that is dropped before its end has lost its caller, unless it was empty.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let event = if self.body.is_end_stream() {
            EntryEvent::Finish(self.id, true)
        } else {
            EntryEvent::Leave(self.id)
        };
        self.events.send(event);
    }
}
