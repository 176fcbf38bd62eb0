//! Where callers come in.

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_pool::{Arrival, CallerLimits, EntryEvent, Refusal, RequestId};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc::unbounded_channel, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    call::{Guard, tune},
    dialect::Dialect,
    entry::{Events, Open, Pulse, Shared, StopPlan},
    error::GatewayError,
    exchange::{Exchange, Outcome, Outgoing, strip},
    metrics::EntryMetrics,
    relay::Relay,
};

/// An answer's body: an endpoint's on its way, or one of the system's own.
type Body = Either<Relay, Full<Bytes>>;

/// What a stream of events calls itself.
const EVENT_STREAM: &str = "text/event-stream";
/// Bytes that the HTTP library needs for its buffer at least.
const MIN_BUFFER: usize = 8_192;
/// Milliseconds for a body to arrive when its caller names no deadline.
const BODY_MS: u64 = 10_000;

/// Milliseconds before the end of a planned stop at which the last answers are given.
const LAST_ANSWERS_MS: u64 = 300;
/// Milliseconds for which a stopping entry waits for the first request of a connection that it has taken:
/// a caller sends at once when it is connected, and a lost packet is sent again after 200.
const FIRST_REQUEST_MS: u64 = 300;

/// What every connection shares.
#[derive(Clone)]
pub(crate) struct Front {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) events: Events,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) limits: watch::Receiver<CallerLimits>,
}

/// Listens on `address`.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

/// Takes callers until the planned stop is over.
pub(crate) async fn serve(
    callers: SocketAddr,
    readiness: SocketAddr,
    front: Front,
    plan: StopPlan,
) -> Result<(), GatewayError> {
    let listener = listen(callers).await?;
    let probes = listen(readiness).await?;
    tokio::spawn(answer_probes(probes, front.shared.clone()));
    log::info!("event=started role=entry callers={callers} readiness={readiness}");
    let (closing, closed) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut asked = plan.asked.clone();
    let last = async {
        // The sender lives as long as the process.
        drop(asked.wait_for(|asked| *asked).await);
        front.shared.stopping.store(true, Ordering::Relaxed);
        log::info!("event=stopping in_hand={}", front.shared.in_hand.load(Ordering::Relaxed));
        let last_ms = (plan.hand_over + plan.finish).as_millis() as u64;
        let wait_ms = plan.hand_over.as_millis() as u64;
        let end_ms = last_ms.saturating_sub(LAST_ANSWERS_MS);
        front.events.send(EntryEvent::Stop(wait_ms, end_ms));
        sleep(plan.hand_over).await;
    };
    tokio::pin!(last);
    loop {
        tokio::select! {
            () = &mut last => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(hold(stream, front.clone(), closed.clone()));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(Duration::from_millis(10)).await;
                }
            },
        }
    }
    for stream in take_queue(listener)? {
        connections.spawn(hold(stream, front.clone(), closed.clone()));
    }
    log::info!("event=closed callers={callers}");
    closing.send_replace(true);
    let all = async { while connections.join_next().await.is_some() {} };
    let finished = timeout(plan.finish, all).await.is_ok();
    log::info!("event=stopped finished={finished}");
    Ok(())
}

/// Takes what waits in a listener's queue and closes the listener.
///
/// The failure it prevents: callers that have connected and were not taken yet are reset with the queue,
/// although an entry that is being stopped as planned owes them an answer.
fn take_queue(listener: TcpListener) -> Result<Vec<TcpStream>, GatewayError> {
    // The runtime's own listener knows only of what its last look at the sockets has shown.
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(streams),
            Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

async fn answer_probes(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let ready = shared.ready.load(Ordering::Relaxed)
                    && !shared.stopping.load(Ordering::Relaxed);
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                async move {
                    let mut response = Response::new(Full::<Bytes>::default());
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=probe_ended error=\"{error}\"");
            }
        });
    }
}

/// Serves one caller's connection.
async fn hold(stream: TcpStream, front: Front, mut closed: watch::Receiver<bool>) {
    tune(&stream);
    let limits = *front.limits.borrow();
    let asked = Notify::new();
    let service = service_fn(|request| {
        asked.notify_one();
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.handle(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library's clock for a head starts when the connection falls idle, so this bounds both.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        // Nothing of the watched value may be kept over the next wait.
        drop(closed.wait_for(|closed| *closed).await);
        // The library closes a connection on which nothing has come yet, while the first request of a
        // caller that was taken a moment ago is still on its way. Each has had one, or waits for it.
        drop(timeout(Duration::from_millis(FIRST_REQUEST_MS), asked.notified()).await);
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

/// Tells the control thread if a request's task is dropped: its caller has left.
struct Departure {
    id: RequestId,
    events: Events,
    armed: bool,
}

impl Drop for Departure {
    fn drop(&mut self) {
        if self.armed {
            self.events.send(EntryEvent::Leave(self.id));
        }
    }
}

impl Front {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let old = request.version() < Version::HTTP_11;
        let mut response = self.answer(request).await;
        if self.shared.stopping.load(Ordering::Relaxed) && !old {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.metrics.requests.add();
        let (parts, body) = request.into_parts();
        let meta = self.dialect.request(&parts.headers);
        let limit = self.limits.borrow().body_bytes;
        let wait = Duration::from_millis(meta.deadline_ms.unwrap_or(BODY_MS));
        let body = match timeout(wait, Limited::new(body, limit).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return own(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", None);
            }
            Ok(Err(_)) => return own(StatusCode::BAD_REQUEST, "body_unreadable", None),
            Err(_) => return own(StatusCode::REQUEST_TIMEOUT, "body_too_slow", None),
        };
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
        let id = RequestId(next_id());
        let arrival = Arrival {
            id,
            caller: meta.caller.clone(),
            host: host.split(':').next().unwrap_or("").to_owned(),
            path: parts.uri.path().to_owned(),
            deadline_ms: meta.deadline_ms,
            model: meta.model,
            prefix: meta.prefix,
            tokens: meta.tokens,
        };
        let outgoing = Outgoing {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            caller: meta.caller,
        };
        let (sender, commands) = unbounded_channel();
        let pulse = Pulse::default();
        self.events.arrive(arrival, Open::new(sender, pulse.clone()));
        let exchange = Exchange {
            id,
            outgoing,
            commands,
            dialect: self.dialect.clone(),
            events: self.events.clone(),
            metrics: self.metrics.clone(),
            read: Instant::now(),
            pulse,
        };
        self.follow(exchange).await
    }

    /// Follows a request until it has an answer.
    async fn follow(&self, exchange: Exchange) -> Response<Body> {
        let id = exchange.id();
        let mut departure = Departure { id, events: self.events.clone(), armed: true };
        let (exchange, outcome) = exchange.next().await;
        departure.armed = false;
        match outcome {
            Outcome::Pass(response, guard) => self.pass(response, guard, exchange),
            Outcome::Refuse(refusal) => refuse(refusal),
            Outcome::Cut => own(StatusCode::BAD_GATEWAY, "broken", None),
        }
    }

    fn pass(
        &self,
        response: Response<Incoming>,
        guard: Guard,
        exchange: Exchange,
    ) -> Response<Body> {
        let (mut parts, body) = response.into_parts();
        strip(&mut parts.headers);
        parts.version = Version::HTTP_11;
        self.metrics.passed(parts.status);
        let stream = parts.status.is_success() && is_stream(&parts.headers);
        let relay = Relay::new(body, guard, exchange, self.events.clone(), stream);
        Response::from_parts(parts, Either::Left(relay))
    }
}

/// Whether an answer is a stream of events that ends where its endpoint says so.
///
/// One of a given length is not: what another run goes on with may have another one.
fn is_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let events = kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM));
    events && !headers.contains_key(CONTENT_LENGTH)
}

/// The next request's name in this process.
fn next_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn refuse(refusal: Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.reason.status());
    own(status.unwrap_or(StatusCode::BAD_GATEWAY), refusal.reason.word(), refusal.retry_ms)
}

/// An answer of the system's own.
fn own(status: StatusCode, word: &str, retry_ms: Option<u64>) -> Response<Body> {
    let ran = match status {
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
        _ => "no",
    };
    let body = format!("{{\"type\":\"{word}\",\"ran\":\"{ran}\"}}");
    let mut response = Response::new(Either::Right(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let seconds = retry_ms.map(|ms| format!("{:.3}", ms as f64 / 1_000.0));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
