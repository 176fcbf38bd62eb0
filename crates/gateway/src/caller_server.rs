//! HTTP server for callers, and the readiness check of the load balancer.

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use citronrill_http::response::Framing;
use citronrill_pool::{Arrival, CallerLimits, EntryEvent, Refusal, RequestId};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    body::{Body, Incoming},
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
    dialect::Dialect,
    digest::request_digest,
    entry::{EntryStatus, EventSender, ProgressCounter, RequestHandle, StopPlan},
    error::GatewayError,
    exchange::{Exchange, Outcome, OutgoingRequest, strip_connection_headers},
    http_client::{OpenResponse, set_socket_options},
    metrics::EntryMetrics,
    relay::Relay,
    resources::{BufferedBytes, READ_AHEAD_BYTES, Resources},
};

/// Body of a response: forwarded from an endpoint, or made by this process.
type ResponseBody = Either<Relay, Full<Bytes>>;

/// Media type of a server-sent event stream.
const EVENT_STREAM: &str = "text/event-stream";
/// Minimum size in bytes of the HTTP library's buffer.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Milliseconds to receive a request body when the caller sets no deadline.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Maximum size in bytes of a response that is collected for a caller without chunks.
const MAX_COLLECTED_BYTES: usize = 16 << 20;

/// Milliseconds before the end of a planned stop by which all requests must be answered.
const LAST_RESPONSES_MS: u64 = 300;
/// Time between two checks whether connections can be accepted again.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// Retry time in milliseconds of a request that this entry cannot buffer or read to its end: the load balancer directs
/// retries to other entries.
const BUFFER_RETRY_MS: u64 = 50;
/// Milliseconds for which a stopping entry waits for the first request on an accepted connection: a
/// caller sends at once when it is connected, and TCP sends a lost packet again after 200 ms.
const FIRST_REQUEST_MS: u64 = 300;

/// State shared by all connections of callers.
#[derive(Clone)]
pub(crate) struct CallerServer {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) events: EventSender,
    pub(crate) status: Arc<EntryStatus>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) limits: watch::Receiver<CallerLimits>,
    pub(crate) resources: Arc<Resources>,
    /// Whether the end of a planned stop is so near that no request is read on.
    pub(crate) ending: watch::Receiver<bool>,
}

/// Binds a listener to `address`.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

/// Serves callers until the planned stop is complete.
pub(crate) async fn serve(
    callers: SocketAddr,
    readiness: SocketAddr,
    server: CallerServer,
    plan: StopPlan,
    ending: watch::Sender<bool>,
) -> Result<(), GatewayError> {
    let listener = listen(callers).await?;
    let readiness_listener = listen(readiness).await?;
    let resources = server.resources.clone();
    tokio::spawn(serve_readiness(readiness_listener, server.status.clone(), resources));
    log::info!("event=started role=entry callers={callers} readiness={readiness}");
    let (closing, closed) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut requested = plan.requested.clone();
    let shutdown = async {
        // The sender lives as long as the process.
        drop(requested.wait_for(|requested| *requested).await);
        server.status.stopping.store(true, Ordering::Relaxed);
        log::info!("event=stopping in_hand={}", server.status.in_flight.load(Ordering::Relaxed));
        let last_ms = (plan.accept_time + plan.drain_time).as_millis() as u64;
        let wait_ms = plan.accept_time.as_millis() as u64;
        let end_ms = last_ms.saturating_sub(LAST_RESPONSES_MS);
        server.events.send(EntryEvent::Stop(wait_ms, end_ms));
        tokio::spawn(async move {
            sleep(Duration::from_millis(end_ms)).await;
            ending.send_replace(true);
        });
        sleep(plan.accept_time).await;
    };
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            // A connection that is not accepted is not read: its caller tries another entry.
            () = sleep(FULL_PAUSE), if server.resources.is_full() => {}
            accepted = listener.accept(), if !server.resources.is_full() => match accepted {
                Ok((stream, _)) => {
                    // Counted here, so that the next one is accepted only if there is room for it.
                    let counted = server.resources.connect();
                    let connection = serve_connection(stream, server.clone(), closed.clone());
                    connections.spawn(async move {
                        connection.await;
                        drop(counted);
                    });
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(Duration::from_millis(10)).await;
                }
            },
        }
    }
    for stream in take_accept_queue(listener)? {
        connections.spawn(serve_connection(stream, server.clone(), closed.clone()));
    }
    log::info!("event=closed callers={callers}");
    closing.send_replace(true);
    let drained = async { while connections.join_next().await.is_some() {} };
    let finished = timeout(plan.drain_time, drained).await.is_ok();
    log::info!("event=stopped finished={finished}");
    Ok(())
}

/// Closes a listener and returns the connections in its accept queue.
///
/// Closing it alone would reset connections that are established but not yet accepted, although an entry
/// must answer their requests in a planned stop.
fn take_accept_queue(listener: TcpListener) -> Result<Vec<TcpStream>, GatewayError> {
    // The runtime's listener returns only connections that its last poll has reported; the standard
    // library's listener accepts from the queue itself.
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

async fn serve_readiness(
    listener: TcpListener,
    status: Arc<EntryStatus>,
    resources: Arc<Resources>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (status, resources) = (status.clone(), resources.clone());
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let ready = status.ready.load(Ordering::Relaxed)
                    && !status.stopping.load(Ordering::Relaxed)
                    && !resources.is_busy();
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

/// Serves the connection of a caller.
async fn serve_connection(
    stream: TcpStream,
    server: CallerServer,
    mut closed: watch::Receiver<bool>,
) {
    set_socket_options(&stream);
    let caller = stream.peer_addr().ok().map(|address| address.ip());
    let limits = *server.limits.borrow();
    let first_request = Notify::new();
    let service = service_fn(|request| {
        first_request.notify_one();
        let server = server.clone();
        async move { Ok::<_, Infallible>(server.handle(request, caller).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library starts this timeout when the connection becomes idle, so it bounds both the
        // idle time and the time to read a request's head.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        // The guard on the watched value must not be held across the next await.
        drop(closed.wait_for(|closed| *closed).await);
        // A graceful shutdown closes a connection that has received nothing yet, while the first
        // request of a newly accepted caller may still be in transit. So this waits until the
        // connection has received a request, or for the timeout.
        drop(timeout(Duration::from_millis(FIRST_REQUEST_MS), first_request.notified()).await);
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

/// Reports to the control thread that the caller disconnected if a request's task is dropped.
struct LeaveNotifier {
    id: RequestId,
    events: EventSender,
    armed: bool,
}

impl Drop for LeaveNotifier {
    fn drop(&mut self) {
        if self.armed {
            self.events.send(EntryEvent::CallerLeft(self.id));
        }
    }
}

impl CallerServer {
    async fn handle(
        &self,
        request: Request<Incoming>,
        caller: Option<IpAddr>,
    ) -> Response<ResponseBody> {
        let http_1_0 = request.version() < Version::HTTP_11;
        let mut response = self.respond(request, caller).await;
        if http_1_0 && response.size_hint().exact().is_none() {
            response = with_length(response, self.resources.buffer()).await;
        }
        if self.status.stopping.load(Ordering::Relaxed) && !http_1_0 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        caller: Option<IpAddr>,
    ) -> Response<ResponseBody> {
        self.metrics.requests.increment();
        let (parts, body) = request.into_parts();
        let meta = self.dialect.request_meta(&parts.headers);
        let limit = self.limits.borrow().body_bytes;
        let body_timeout = Duration::from_millis(meta.deadline_ms.unwrap_or(BODY_TIMEOUT_MS));
        let mut buffered = self.resources.buffer();
        let mut ending = self.ending.clone();
        let read = timeout(body_timeout, read_body(body, limit, &mut buffered));
        let read = tokio::select! {
            read = read => read.unwrap_or(Err(BodyError::TooSlow)),
            Ok(_) = ending.wait_for(|ending| *ending) => Err(BodyError::Stopping),
        };
        let body = match read {
            Ok(body) => body,
            Err(error) => return error.response(),
        };
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
        let host = host.split(':').next().unwrap_or("");
        let digest = request_digest(&parts.method, host, &parts.uri, &body);
        let id = RequestId(next_id());
        let arrival = Arrival {
            id,
            caller_id: meta.caller_id.clone(),
            caller,
            digest,
            host: host.to_owned(),
            path: parts.uri.path().to_owned(),
            deadline_ms: meta.deadline_ms,
            model: meta.model,
            prefix_hash: meta.prefix_hash,
            shared_parts: meta.shared_parts,
            tokens: meta.tokens,
            reconnects: meta.reconnects,
            first_attempt: meta.first_attempt,
            key: meta.key,
        };
        let outgoing = OutgoingRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            caller_id: meta.caller_id,
            buffered,
        };
        let (sender, commands) = unbounded_channel();
        let progress = ProgressCounter::default();
        self.events.send_request(arrival, RequestHandle::new(sender, progress.clone()));
        let exchange = Exchange {
            id,
            outgoing,
            commands,
            dialect: self.dialect.clone(),
            events: self.events.clone(),
            metrics: self.metrics.clone(),
            received_at: Instant::now(),
            progress,
        };
        self.await_outcome(exchange).await
    }

    /// Waits for the outcome of a request and responds.
    async fn await_outcome(&self, exchange: Exchange) -> Response<ResponseBody> {
        let id = exchange.id();
        let mut notifier = LeaveNotifier { id, events: self.events.clone(), armed: true };
        let (exchange, outcome) = exchange.next_outcome().await;
        notifier.armed = false;
        match outcome {
            Outcome::Forward(open) => self.forward(open, exchange),
            Outcome::Refuse(refusal) => refusal_response(refusal),
            Outcome::Finish | Outcome::Abort => {
                problem_response(StatusCode::BAD_GATEWAY, "broken", None)
            }
        }
    }

    fn forward(&self, open: OpenResponse, exchange: Exchange) -> Response<ResponseBody> {
        let OpenResponse { response, framing, guard } = open;
        let (mut parts, body) = response.into_parts();
        strip_connection_headers(&mut parts.headers);
        state_length_once(&mut parts.headers, framing);
        parts.version = Version::HTTP_11;
        self.metrics.count_response(parts.status);
        let open_ended = matches!(framing, Framing::Chunked | Framing::UntilClose);
        let event_stream =
            open_ended && parts.status.is_success() && is_event_stream(&parts.headers);
        let relay = Relay::new(body, framing, guard, exchange, self.events.clone(), event_stream);
        Response::from_parts(parts, Either::Left(relay))
    }
}

/// Why a request's body was not read whole.
enum BodyError {
    /// It is larger than callers may send.
    TooLarge,
    /// It broke off or is malformed.
    Unreadable,
    /// This entry holds too many bytes already.
    NoBuffer,
    /// It did not arrive before the caller's deadline.
    TooSlow,
    /// It did not arrive before the end of a planned stop.
    Stopping,
}

impl BodyError {
    fn response(&self) -> Response<ResponseBody> {
        match self {
            BodyError::TooLarge => {
                problem_response(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", None)
            }
            BodyError::Unreadable => {
                problem_response(StatusCode::BAD_REQUEST, "body_unreadable", None)
            }
            BodyError::NoBuffer => {
                let retry_ms = Some(BUFFER_RETRY_MS);
                problem_response(StatusCode::SERVICE_UNAVAILABLE, "entry_full", retry_ms)
            }
            BodyError::TooSlow => {
                problem_response(StatusCode::REQUEST_TIMEOUT, "body_too_slow", None)
            }
            BodyError::Stopping => {
                let retry_ms = Some(BUFFER_RETRY_MS);
                problem_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", retry_ms)
            }
        }
    }
}

/// Reads a request's body of at most `limit` bytes, and counts them and what may be read ahead of its
/// response as buffered.
async fn read_body(
    body: Incoming,
    limit: usize,
    buffered: &mut BufferedBytes,
) -> Result<Bytes, BodyError> {
    if !buffered.add(READ_AHEAD_BYTES as u64) {
        return Err(BodyError::NoBuffer);
    }
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => BodyError::TooLarge,
            false => BodyError::Unreadable,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if !buffered.add(data.len() as u64) {
            return Err(BodyError::NoBuffer);
        }
        if body.is_end_stream() && bytes.is_empty() {
            return Ok(data);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Returns whether a response is an event stream.
///
/// One of a fixed length cannot be resumed: the attempt that resumes it may produce a response of another
/// length.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media_type.is_some_and(|media_type| media_type.starts_with(EVENT_STREAM))
}

/// Leaves one length in a head, as callers may read a repeated one in several ways.
fn state_length_once(headers: &mut HeaderMap, framing: Framing) {
    match framing {
        Framing::Length(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        // The length that the body would have.
        Framing::NoBody if headers.get_all(CONTENT_LENGTH).iter().count() == 1 => {}
        Framing::NoBody | Framing::Chunked | Framing::UntilClose => {
            headers.remove(CONTENT_LENGTH);
        }
    }
}

/// Returns a request ID that is unique in this process.
fn next_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Collects a response for a caller that knows no chunks: the end of its connection would mark the end
/// of the response, also of one that was aborted.
async fn with_length(
    response: Response<ResponseBody>,
    mut buffered: BufferedBytes,
) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    match collect(body, &mut buffered).await {
        Some(bytes) => Response::from_parts(parts, Either::Right(Full::new(bytes))),
        None => problem_response(StatusCode::BAD_GATEWAY, "broken", None),
    }
}

/// Collects a body, and counts it as buffered; returns nothing if it breaks off or there is no room for it.
async fn collect(mut body: ResponseBody, buffered: &mut BufferedBytes) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.inspect_err(|error| {
            log::debug!("event=response_aborted error=\"{error}\"");
        });
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = bytes.len() + data.len();
        // The buffer grows to up to twice what is in it.
        if length > MAX_COLLECTED_BYTES || !buffered.add(2 * data.len() as u64) {
            log::info!("event=response_too_large bytes={length}");
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    Some(bytes.freeze())
}

fn refusal_response(refusal: Refusal) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(refusal.reason.status());
    problem_response(
        status.unwrap_or(StatusCode::BAD_GATEWAY),
        refusal.reason.as_str(),
        refusal.retry_ms,
    )
}

/// Builds a response of this process itself.
fn problem_response(
    status: StatusCode,
    kind: &str,
    retry_ms: Option<u64>,
) -> Response<ResponseBody> {
    let ran = match status {
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
        _ => "no",
    };
    let body = format!("{{\"type\":\"{kind}\",\"ran\":\"{ran}\"}}");
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
