//! One request's calls to endpoints, as commanded by the control thread.

use std::{
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use citronrill_pool::{Dispatch, EntryEvent, FailureKind, Refusal, RequestId};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request,
    header::{CONNECTION, CONTENT_LENGTH},
    http::{Method, Uri},
};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    dialect::Dialect,
    entry::{Command, EventSender, ProgressCounter},
    error::GatewayError,
    http_client::{HttpConnection, OpenResponse},
    metrics::EntryMetrics,
    resources::BufferedBytes,
};

/// A request as it is sent to endpoints, once or several times.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The request ID assigned by the caller.
    pub(crate) caller_id: String,
    /// Counts what is buffered for the request while it is in flight.
    #[allow(dead_code, reason = "held for its end")]
    pub(crate) buffered: BufferedBytes,
}

/// Final decision of the control thread for a request.
pub(crate) enum Outcome {
    /// The endpoint's response is forwarded to the caller.
    Forward(OpenResponse),
    /// The caller gets a refusal.
    Refuse(Refusal),
    /// The response that was forwarded is complete.
    Finish,
    /// The response is aborted.
    Abort,
}

/// The response of an endpoint that is held until the control thread decides whether to forward it.
type HeldResponse = Option<OpenResponse>;

/// A request with the channel of its commands.
pub(crate) struct Exchange {
    pub(crate) id: RequestId,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) commands: UnboundedReceiver<Command>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) events: EventSender,
    pub(crate) metrics: Arc<EntryMetrics>,
    /// When the request had been read in full.
    pub(crate) received_at: Instant,
    /// Counts what was forwarded to the caller.
    pub(crate) progress: ProgressCounter,
}

impl Exchange {
    /// Returns the request's ID within this process.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Polls for a command while a response is being forwarded.
    pub(crate) fn poll_command(&mut self, context: &mut Context<'_>) -> Poll<Option<Command>> {
        self.commands.poll_recv(context)
    }

    /// Carries out commands until the outcome is decided.
    pub(crate) async fn next_outcome(mut self) -> (Exchange, Outcome) {
        let mut held = None;
        let mut command = self.commands.recv().await;
        loop {
            match command {
                Some(Command::Dispatch(dispatch)) => {
                    // The connection of the previous attempt is closed before the next attempt begins.
                    drop(held.take());
                    if dispatch.number == 1 {
                        self.metrics.queue_time.record(self.received_at.elapsed());
                    }
                    let attempt = send_request(
                        &self.outgoing,
                        &dispatch,
                        self.dialect.as_ref(),
                        &self.metrics,
                    );
                    command = tokio::select! {
                        biased;
                        command = self.commands.recv() => command,
                        result = attempt => {
                            held = self.report_result(&dispatch, result);
                            self.commands.recv().await
                        }
                    };
                }
                Some(Command::Forward) => {
                    let outcome = held.take().map_or(Outcome::Abort, Outcome::Forward);
                    return (self, outcome);
                }
                // The endpoint broke off the stream before it could be disconnected.
                Some(Command::Disconnect) => command = self.commands.recv().await,
                Some(Command::Finish) => return (self, Outcome::Finish),
                Some(Command::Refuse(refusal)) => return (self, Outcome::Refuse(refusal)),
                Some(Command::Abort) | None => return (self, Outcome::Abort),
            }
        }
    }

    /// Reports the result of an attempt to the control thread; returns the response to hold until
    /// it decides.
    fn report_result(
        &self,
        dispatch: &Dispatch,
        result: Result<OpenResponse, (FailureKind, GatewayError)>,
    ) -> HeldResponse {
        match result {
            Ok(open) => {
                let (status, headers) = (open.response.status(), open.response.headers());
                let caller_id = &self.outgoing.caller_id;
                let head =
                    self.dialect.response_head(status, headers, caller_id, &dispatch.instance);
                self.events.send(EntryEvent::ResponseHead(self.id, dispatch.number, head));
                Some(open)
            }
            Err((kind, error)) => {
                log::info!("event=send_failed id={} error=\"{error}\"", self.outgoing.caller_id);
                self.events.send(EntryEvent::DispatchFailed(self.id, dispatch.number, kind));
                None
            }
        }
    }
}

async fn send_request(
    outgoing: &OutgoingRequest,
    dispatch: &Dispatch,
    dialect: &dyn Dialect,
    metrics: &EntryMetrics,
) -> Result<OpenResponse, (FailureKind, GatewayError)> {
    let started = Instant::now();
    let opened = HttpConnection::open(dispatch.address).await;
    let connection = opened.map_err(|error| (FailureKind::Unreachable, error))?;
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    dialect.rewrite_headers(&mut headers, dispatch);
    *request.headers_mut() = headers;
    let response = connection.send_only(request).await;
    let response = response.map_err(|error| (FailureKind::Broken, error))?;
    metrics.ttfb.record(started.elapsed());
    Ok(response)
}

/// Hop-by-hop headers, besides those that `Connection` lists.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed = listed.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase());
    for name in listed.collect::<Vec<_>>() {
        // Headers that identify or delimit the message are never hop-by-hop, even if `Connection` lists
        // them.
        if !name.starts_with("x-") && name != "host" && name != "content-length" {
            headers.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
