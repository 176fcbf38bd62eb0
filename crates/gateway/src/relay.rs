//! Forwards an endpoint's response body to the caller, across failovers.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use citronrill_http::response::Framing;
use citronrill_pool::{EndedBody, EntryEvent, RequestId, ResponseEnd};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::{
    body_end::BodyEnd,
    entry::{Command, EventSender},
    event_splitter::{EventSplitter, EventTooLarge},
    exchange::{Exchange, Outcome},
    http_client::{ConnectionGuard, OpenResponse},
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

/// Waits for the control thread to decide how the response goes on.
type Decision = Pin<Box<dyn Future<Output = (Exchange, Outcome)> + Send>>;

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
    /// No endpoint: the stream broke off, or its end does not show whether it is whole.
    Undecided(Decision),
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

    fn end(&mut self, end: ResponseEnd) {
        self.source = Source::Ended;
        self.events.send(EntryEvent::ResponseEnded(self.id, end));
    }

    /// Handles a frame of the endpoint's body; returns `None` if nothing of it is forwarded.
    fn handle_frame(&mut self, frame: Frame<Bytes>) -> Option<NextFrame> {
        if let Source::Endpoint(_, exchange, _) = &self.source {
            exchange.progress.increment();
        }
        let frame = match (&mut self.splitter, frame.into_data()) {
            (Some(splitter), Ok(bytes)) => match splitter.push(bytes) {
                Ok(events) => Frame::data(events),
                Err(EventTooLarge) => {
                    self.log_without_events();
                    self.fail_over();
                    return None;
                }
            },
            (None, Ok(bytes)) => Frame::data(bytes),
            (_, Err(frame)) => frame,
        };
        let empty = frame.data_ref().is_some_and(Bytes::is_empty);
        (!empty).then_some(Some(Ok(frame)))
    }

    /// Handles the end of the endpoint's body; returns `None` if the response goes on.
    fn handle_end(&mut self, error: Option<hyper::Error>) -> Option<NextFrame> {
        match BodyEnd::classify(self.framing, self.splitter.as_mut(), error.is_some()) {
            BodyEnd::Complete(rest) => {
                self.end(ResponseEnd::Complete);
                Some(data_frame(rest))
            }
            BodyEnd::Unproven(rest) => {
                let stream = self.splitter.is_some();
                self.await_decision(|id, last_event| {
                    let body =
                        if stream { EndedBody::Events(last_event) } else { EndedBody::Plain };
                    EntryEvent::EndUnproven(id, body)
                });
                data_frame(rest).map(Some)
            }
            BodyEnd::Truncated(bytes) => {
                self.log_unfinished(bytes);
                self.fail_over();
                None
            }
            BodyEnd::Broken if self.splitter.is_some() => {
                let error = error.map(|error| error.to_string()).unwrap_or_default();
                log::debug!("event=stream_broken request={} error=\"{error}\"", self.id.0);
                self.fail_over();
                None
            }
            BodyEnd::Broken => {
                self.end(ResponseEnd::Broken);
                Some(error.map(|error| Err(error.into())))
            }
        }
    }

    /// Logs that a stream goes on without an event.
    fn log_without_events(&self) {
        if let Source::Endpoint(_, exchange, _) = &self.source {
            log::info!("event=stream_without_events id={}", exchange.outgoing.caller_id);
        }
    }

    /// Logs that a stream ended without an error after `bytes` bytes of an event.
    fn log_unfinished(&self, bytes: usize) {
        if let Source::Endpoint(_, exchange, _) = &self.source {
            let (id, framing) = (&exchange.outgoing.caller_id, self.framing.as_str());
            log::info!("event=stream_unfinished id={id} framing={framing} bytes={bytes}");
        }
    }

    /// Reports that the stream broke off and waits for the control thread to fail over.
    fn fail_over(&mut self) {
        self.await_decision(EntryEvent::StreamBroken);
    }

    /// Disconnects from the endpoint, reports the event with the last one that was forwarded to the
    /// caller, and waits for the control thread to decide how the response goes on.
    fn await_decision(&mut self, event: impl Fn(RequestId, Option<u64>) -> EntryEvent) {
        let last_event = self.splitter.as_mut().and_then(|splitter| {
            splitter.start_attempt();
            splitter.last_id()
        });
        // Closes the connection to the endpoint before the stream is resumed on another one.
        if let Source::Endpoint(_, exchange, _) = std::mem::replace(&mut self.source, Source::Ended)
        {
            self.source = Source::Undecided(Box::pin(exchange.next_outcome()));
            self.events.send(event(self.id, last_event));
        }
    }
}

/// Returns a frame with these bytes; `None` if there are none.
fn data_frame(bytes: Bytes) -> NextFrame {
    (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)))
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
                    let next = match frame {
                        Some(Ok(frame)) => self.handle_frame(frame),
                        Some(Err(error)) => self.handle_end(Some(error)),
                        None => self.handle_end(None),
                    };
                    if let Some(next) = next {
                        return Poll::Ready(next);
                    }
                }
                Source::Undecided(decision) => {
                    let Poll::Ready((exchange, outcome)) = decision.as_mut().poll(context) else {
                        return Poll::Pending;
                    };
                    let OpenResponse { response, framing, guard } = match outcome {
                        Outcome::Forward(open) => open,
                        Outcome::Finish => {
                            self.source = Source::Ended;
                            return Poll::Ready(None);
                        }
                        Outcome::Refuse(_) | Outcome::Abort => {
                            self.source = Source::Ended;
                            return Poll::Ready(Some(Err(RelayError::Aborted)));
                        }
                    };
                    self.framing = framing;
                    let body = response.into_body();
                    self.source = Source::Endpoint(body, Box::new(exchange), guard);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Endpoint(body, ..) => self.splitter.is_none() && body.is_end_stream(),
            Source::Undecided(_) => false,
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
            // The server library does not poll a body again that has delivered its whole length.
            Source::Endpoint(body, ..) if self.splitter.is_none() && body.is_end_stream() => {
                EntryEvent::ResponseEnded(self.id, ResponseEnd::Complete)
            }
            Source::Endpoint(..) | Source::Undecided(_) => EntryEvent::CallerLeft(self.id),
        };
        self.events.send(event);
    }
}
