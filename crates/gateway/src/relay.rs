//! Forwards an endpoint's response body to the caller, across failovers.

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
    body_framing::Framing,
    entry::{Command, EventSender},
    event_splitter::EventSplitter,
    exchange::{Exchange, Outcome},
    http_client::ConnectionGuard,
};

/// Why a response ends early.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The endpoint closed the connection before the end.
    #[error("endpoint closed the connection before the end of the response: {0}")]
    Endpoint(#[from] hyper::Error),
    /// The deadline has passed, or the stream cannot be resumed.
    #[error("response aborted")]
    Aborted,
}

/// Waits for the control thread to resume the stream on another endpoint.
type Failover = Pin<Box<dyn Future<Output = (Exchange, Outcome)> + Send>>;

/// The result of polling the body: a frame, an error, or the end.
type NextFrame = Option<Result<Frame<Bytes>, RelayError>>;

/// Where the body's bytes come from.
enum Source {
    /// An endpoint; dropping the guard closes its connection.
    Endpoint(
        Incoming,
        Box<Exchange>,
        #[allow(dead_code, reason = "held for its end")] ConnectionGuard,
    ),
    /// No endpoint: the stream broke off and is being resumed on another one.
    Failover(Failover),
    /// The body has ended.
    Ended,
}

/// The body of a response, forwarded as it arrives.
///
/// A response that breaks off and cannot be resumed ends with an error. It closes the caller's
/// connection without the terminating chunk, so that the response doesn't look complete.
pub(crate) struct Relay {
    id: RequestId,
    source: Source,
    events: EventSender,
    /// How the current response is delimited.
    framing: Framing,
    /// Set for event streams, which may be resumed on another endpoint.
    splitter: Option<EventSplitter>,
}

impl Relay {
    /// Forwards `body`, which is delimited by `framing`; `stream` is set if it is an event stream.
    pub(crate) fn new(
        body: Incoming,
        framing: Framing,
        guard: ConnectionGuard,
        exchange: Exchange,
        events: EventSender,
        stream: bool,
    ) -> Relay {
        let id = exchange.id();
        let source = Source::Endpoint(body, Box::new(exchange), guard);
        Relay { id, source, events, framing, splitter: stream.then(EventSplitter::default) }
    }

    /// Logs that a stream ended without an error after `bytes` bytes of an event.
    fn log_unfinished(&self, bytes: usize) {
        if let Source::Endpoint(_, exchange, _) = &self.source {
            let (id, framing) = (&exchange.outgoing.caller_id, self.framing.as_str());
            log::info!("event=stream_unfinished id={id} framing={framing} bytes={bytes}");
        }
    }

    fn end(&mut self, complete: bool) {
        self.source = Source::Ended;
        self.events.send(EntryEvent::ResponseEnded(self.id, complete));
    }

    /// Handles a frame of the endpoint's body; returns `None` if nothing of it is forwarded.
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<NextFrame> {
        match frame {
            None => {
                let remainder =
                    self.splitter.as_mut().map(EventSplitter::finish).unwrap_or_default();
                if !remainder.is_empty() {
                    self.log_unfinished(remainder.len());
                }
                self.end(true);
                Some((!remainder.is_empty()).then(|| Ok(Frame::data(remainder))))
            }
            Some(Err(error)) if self.splitter.is_none() => {
                self.end(false);
                Some(Some(Err(error.into())))
            }
            Some(Err(error)) => {
                log::debug!(
                    "event=stream_broken request={} framing={} error=\"{error}\"",
                    self.id.0,
                    self.framing.as_str()
                );
                self.fail_over();
                None
            }
            Some(Ok(frame)) => {
                if let Source::Endpoint(_, exchange, _) = &self.source {
                    exchange.progress.increment();
                }
                let frame = match &mut self.splitter {
                    Some(splitter) => frame.map_data(|bytes| splitter.push(bytes)),
                    None => frame,
                };
                if frame.data_ref().is_some_and(Bytes::is_empty) {
                    return None;
                }
                Some(Some(Ok(frame)))
            }
        }
    }

    /// Reports that the stream broke off and waits for the control thread to fail over.
    fn fail_over(&mut self) {
        let last_event = self.splitter.as_mut().and_then(|splitter| {
            splitter.start_attempt();
            splitter.last_id()
        });
        // Closes the connection to the endpoint before the stream is resumed on another one.
        if let Source::Endpoint(_, exchange, _) = std::mem::replace(&mut self.source, Source::Ended)
        {
            self.source = Source::Failover(Box::pin(exchange.next_outcome()));
            self.events.send(EntryEvent::StreamBroken(self.id, last_event));
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
        let stream = self.splitter.is_some();
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Endpoint(body, exchange, _) => {
                    match exchange.poll_command(context) {
                        Poll::Ready(Some(Command::Abort)) => {
                            self.source = Source::Ended;
                            return Poll::Ready(Some(Err(RelayError::Aborted)));
                        }
                        Poll::Ready(Some(Command::Disconnect)) if stream => {
                            self.fail_over();
                            continue;
                        }
                        _ => {}
                    }
                    let Poll::Ready(frame) = Pin::new(body).poll_frame(context) else {
                        return Poll::Pending;
                    };
                    if let Some(next) = self.handle_frame(frame) {
                        return Poll::Ready(next);
                    }
                }
                Source::Failover(failover) => {
                    let Poll::Ready((exchange, outcome)) = failover.as_mut().poll(context) else {
                        return Poll::Pending;
                    };
                    let Outcome::Forward(response, guard) = outcome else {
                        self.source = Source::Ended;
                        return Poll::Ready(Some(Err(RelayError::Aborted)));
                    };
                    self.framing = Framing::of(response.headers());
                    let body = response.into_body();
                    self.source = Source::Endpoint(body, Box::new(exchange), guard);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Endpoint(body, ..) => self.splitter.is_none() && body.is_end_stream(),
            Source::Failover(_) => false,
            Source::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Endpoint(body, ..) if self.splitter.is_none() => body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl Drop for Relay {
    /// Reports the end of a body that was forwarded completely, or that the caller disconnected.
    fn drop(&mut self) {
        let event = match &self.source {
            Source::Ended => return,
            Source::Endpoint(body, ..) if body.is_end_stream() => {
                EntryEvent::ResponseEnded(self.id, true)
            }
            Source::Endpoint(..) | Source::Failover(_) => EntryEvent::CallerLeft(self.id),
        };
        self.events.send(event);
    }
}
