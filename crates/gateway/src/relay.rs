//! An endpoint's answer on its way to the caller.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use citronrill_pool::{EntryEvent, RequestId};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::{
    call::Guard,
    entry::{Command, Events},
    events::EventCutter,
    exchange::{Exchange, Outcome},
};

/// Why an answer ends early.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The endpoint broke off.
    #[error("the endpoint broke off: {0}")]
    Endpoint(#[from] hyper::Error),
    /// The request's time is up, or its stream cannot go on.
    #[error("the answer is broken off")]
    Cut,
}

/// What goes on while an answer has no endpoint.
type Search = Pin<Box<dyn Future<Output = (Exchange, Outcome)> + Send>>;

/// What the caller gets next: bytes, an error, or the end.
type Next = Option<Result<Frame<Bytes>, RelayError>>;

/// Where the bytes come from.
enum Source {
    /// An endpoint; its connection is closed with the guard.
    Endpoint(Incoming, Box<Exchange>, #[allow(dead_code, reason = "held for its end")] Guard),
    /// The endpoint broke off, and another one is asked to go on.
    Search(Search),
    /// Nowhere any more.
    Ended,
}

/// The body of an answer, passed on as it comes.
///
/// An answer that the endpoint breaks off and that cannot go on ends with an error here, which closes
/// the caller's connection without the mark of a complete body: it must not look whole.
pub(crate) struct Relay {
    id: RequestId,
    source: Source,
    events: Events,
    /// Set for streams of events, which may go on elsewhere.
    cutter: Option<EventCutter>,
}

impl Relay {
    /// Passes `body` on; `stream` says that it is a stream of events.
    pub(crate) fn new(
        body: Incoming,
        guard: Guard,
        exchange: Exchange,
        events: Events,
        stream: bool,
    ) -> Relay {
        let id = exchange.id();
        let source = Source::Endpoint(body, Box::new(exchange), guard);
        Relay { id, source, events, cutter: stream.then(EventCutter::default) }
    }

    fn end(&mut self, complete: bool) {
        self.source = Source::Ended;
        self.events.send(EntryEvent::Finish(self.id, complete));
    }

    /// Takes what the endpoint gave; `None` if the caller gets nothing of it.
    fn take(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<Next> {
        match frame {
            None => {
                let rest = self.cutter.as_mut().map(EventCutter::end).unwrap_or_default();
                self.end(true);
                Some((!rest.is_empty()).then(|| Ok(Frame::data(rest))))
            }
            Some(Err(error)) if self.cutter.is_none() => {
                self.end(false);
                Some(Some(Err(error.into())))
            }
            Some(Err(error)) => {
                log::debug!("event=stream_broken request={} error=\"{error}\"", self.id.0);
                self.search();
                None
            }
            Some(Ok(frame)) => {
                if let Source::Endpoint(_, exchange, _) = &self.source {
                    exchange.pulse.beat();
                }
                let frame = match &mut self.cutter {
                    Some(cutter) => frame.map_data(|bytes| cutter.take(bytes)),
                    None => frame,
                };
                if frame.data_ref().is_some_and(Bytes::is_empty) {
                    return None;
                }
                Some(Some(Ok(frame)))
            }
        }
    }

    /// Says that the stream broke off, and waits for what becomes of it.
    fn search(&mut self) {
        let last = self.cutter.as_mut().and_then(|cutter| {
            cutter.next_run();
            cutter.last()
        });
        // The connection to the endpoint is closed here, before the run goes on elsewhere.
        if let Source::Endpoint(_, exchange, _) = std::mem::replace(&mut self.source, Source::Ended)
        {
            self.source = Source::Search(Box::pin(exchange.next()));
            self.events.send(EntryEvent::Broke(self.id, last));
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
        let stream = self.cutter.is_some();
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Endpoint(body, exchange, _) => {
                    match exchange.poll_command(context) {
                        Poll::Ready(Some(Command::Cut)) => {
                            self.source = Source::Ended;
                            return Poll::Ready(Some(Err(RelayError::Cut)));
                        }
                        Poll::Ready(Some(Command::Abandon)) if stream => {
                            self.search();
                            continue;
                        }
                        _ => {}
                    }
                    let Poll::Ready(frame) = Pin::new(body).poll_frame(context) else {
                        return Poll::Pending;
                    };
                    if let Some(next) = self.take(frame) {
                        return Poll::Ready(next);
                    }
                }
                Source::Search(search) => {
                    let Poll::Ready((exchange, outcome)) = search.as_mut().poll(context) else {
                        return Poll::Pending;
                    };
                    let Outcome::Pass(response, guard) = outcome else {
                        self.source = Source::Ended;
                        return Poll::Ready(Some(Err(RelayError::Cut)));
                    };
                    let body = response.into_body();
                    self.source = Source::Endpoint(body, Box::new(exchange), guard);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Endpoint(body, ..) => self.cutter.is_none() && body.is_end_stream(),
            Source::Search(_) => false,
            Source::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Endpoint(body, ..) if self.cutter.is_none() => body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl Drop for Relay {
    /// A body that is dropped before its end has lost its caller, unless all of it was passed on.
    fn drop(&mut self) {
        let event = match &self.source {
            Source::Ended => return,
            Source::Endpoint(body, ..) if body.is_end_stream() => EntryEvent::Finish(self.id, true),
            Source::Endpoint(..) | Source::Search(_) => EntryEvent::Leave(self.id),
        };
        self.events.send(event);
    }
}
