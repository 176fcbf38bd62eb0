//! One request's dealings with endpoints, as the control thread decides them.

use std::{
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use citronrill_pool::{EntryEvent, FailureKind, Refusal, RequestId, Sending};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH},
    http::{Method, Uri},
};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    call::{Channel, Guard},
    dialect::Dialect,
    entry::{Command, Events, Pulse},
    error::GatewayError,
    metrics::EntryMetrics,
};

/// A request as it will be sent, once or more often.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The name that its caller gave it.
    pub(crate) caller: String,
}

/// What the control thread has decided in the end.
pub(crate) enum Outcome {
    /// The caller gets this answer.
    Pass(Response<Incoming>, Guard),
    /// The caller gets an answer of the system's own.
    Refuse(Refusal),
    /// The answer is broken off.
    Cut,
}

/// An answer that an endpoint has begun, before it is decided whether the caller gets it.
type Held = Option<(Response<Incoming>, Guard)>;

/// A request, and where the control thread tells what is to be done with it.
pub(crate) struct Exchange {
    pub(crate) id: RequestId,
    pub(crate) outgoing: Outgoing,
    pub(crate) commands: UnboundedReceiver<Command>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) events: Events,
    pub(crate) metrics: Arc<EntryMetrics>,
    /// When the request had been read.
    pub(crate) read: Instant,
    /// Counts what its caller gets.
    pub(crate) pulse: Pulse,
}

impl Exchange {
    /// The request's name in this process.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// What the control thread says while an answer is being given.
    pub(crate) fn poll_command(&mut self, context: &mut Context<'_>) -> Poll<Option<Command>> {
        self.commands.poll_recv(context)
    }

    /// Carries out what the control thread decides until an answer is to be given, or none.
    pub(crate) async fn next(mut self) -> (Exchange, Outcome) {
        let mut held = None;
        let mut next = self.commands.recv().await;
        loop {
            match next {
                Some(Command::Send(sending)) => {
                    // The connection of the last sending is closed before the next one is made.
                    drop(held.take());
                    if sending.number == 1 {
                        self.metrics.waits.record(self.read.elapsed());
                    }
                    let call = call(&self.outgoing, &sending, self.dialect.as_ref(), &self.metrics);
                    next = tokio::select! {
                        biased;
                        command = self.commands.recv() => command,
                        result = call => {
                            held = self.report(&sending, result);
                            self.commands.recv().await
                        }
                    };
                }
                Some(Command::Pass) => {
                    let passed = held.take();
                    let outcome = passed.map(|(response, guard)| Outcome::Pass(response, guard));
                    return (self, outcome.unwrap_or(Outcome::Cut));
                }
                // The endpoint broke the stream off before it could be left.
                Some(Command::Abandon) => next = self.commands.recv().await,
                Some(Command::Refuse(refusal)) => return (self, Outcome::Refuse(refusal)),
                Some(Command::Cut) | None => return (self, Outcome::Cut),
            }
        }
    }

    /// Tells the control thread what came of a sending; keeps the answer for its decision.
    fn report(
        &self,
        sending: &Sending,
        result: Result<(Response<Incoming>, Guard), (FailureKind, GatewayError)>,
    ) -> Held {
        match result {
            Ok((response, guard)) => {
                let (status, headers) = (response.status(), response.headers());
                let caller = &self.outgoing.caller;
                let head = self.dialect.answer(status, headers, caller, &sending.instance);
                self.events.send(EntryEvent::Answer(self.id, sending.number, head));
                Some((response, guard))
            }
            Err((kind, error)) => {
                log::info!("event=send_failed id={} error=\"{error}\"", self.outgoing.caller);
                self.events.send(EntryEvent::Fail(self.id, sending.number, kind));
                None
            }
        }
    }
}

async fn call(
    outgoing: &Outgoing,
    sending: &Sending,
    dialect: &dyn Dialect,
    metrics: &EntryMetrics,
) -> Result<(Response<Incoming>, Guard), (FailureKind, GatewayError)> {
    let begun = Instant::now();
    let opened = Channel::open(sending.address).await;
    let mut channel = opened.map_err(|error| (FailureKind::Unreached, error))?;
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    dialect.forward(&mut headers, sending);
    *request.headers_mut() = headers;
    let response = channel.send(request).await;
    let response = response.map_err(|error| (FailureKind::Broken, error))?;
    metrics.heads.record(begun.elapsed());
    Ok((response, channel.into_guard()))
}

/// Names that concern one connection only, besides those that `Connection` lists.
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

/// Removes what concerns one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed = listed.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase());
    for name in listed.collect::<Vec<_>>() {
        // Names that decide whose request this is are never one connection's own.
        if !name.starts_with("x-") && name != "host" && name != "content-length" {
            headers.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
