//! HTTP calls to endpoints and to the platform store.
//!
//! Each request to an endpoint uses a fresh connection. An endpoint may send bytes after a complete
//! response, send the response to an earlier request, or drop an idle connection without notice. On a
//! reused connection each of these would affect the next request, which may be one that must not be
//! sent twice.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use citronrill_http::response::Framing;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::{
    error::GatewayError,
    resources::READ_AHEAD_BYTES,
    response_stream::{ResponseStream, ResponseTracker},
};

/// Milliseconds to connect: a round trip between zones takes under 5 ms, and TCP resends a lost
/// first packet only after a second, when another endpoint would already have been reached.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 600;
/// Milliseconds after which unacknowledged bytes end a connection: a peer without power or behind a
/// network partition sends no reset, and the connection would hang for minutes.
const TCP_USER_TIMEOUT_MS: u64 = 2_500;
/// Maximum bytes of a response of the store. The largest is a page with the configuration, which has no size limit of
/// its own: 1,400 routes take 345 KB as the store encodes them.
pub(crate) const MAX_PAGE_BYTES: usize = 16 << 20;
/// Maximum bytes of an endpoint's report or of its response to an order; a report has some kilobytes.
pub(crate) const MAX_REPORT_BYTES: usize = 1 << 20;
/// Size in bytes from which a response's transfer time is logged: a response of this size takes 50
/// ms on the slowest link, 10 Mbit/s.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;
/// Milliseconds between two parts of a large response, after which the connection counts as broken:
/// TCP sends a lost packet again within one second, and a saturated link of 10 Mbit/s queues half a
/// second of bytes.
const PART_TIMEOUT_MS: u64 = 1_500;
/// Timeout in milliseconds for a whole body: [`MAX_PAGE_BYTES`] take 14 s on a link of 10 Mbit/s.
const BODY_TIMEOUT_MS: u64 = 20_000;

/// Aborts the connection's task when the call is dropped, so that the endpoint sees its caller
/// disconnect.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection within `timeout_ms`.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<TcpStream, GatewayError> {
    let stream = timeout(Duration::from_millis(timeout_ms), TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| GatewayError::Timeout(timeout_ms))?;
    let stream = stream.map_err(|source| GatewayError::Connect { address, source })?;
    set_socket_options(&stream);
    Ok(stream)
}

/// Disables Nagle's algorithm, and times out on a peer that acknowledges nothing.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = socket.set_tcp_nodelay(true).and_then(|()| {
        socket.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))
    });
    if let Err(error) = set {
        log::debug!("event=socket_option error=\"{error}\"");
    }
}

/// A response whose body has not been read.
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    /// What marks the end of its body.
    pub(crate) framing: Framing,
    /// Dropping it closes the connection.
    pub(crate) guard: ConnectionGuard,
}

/// An HTTP/1 client connection.
pub(crate) struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    tracker: ResponseTracker,
    guard: ConnectionGuard,
}

impl HttpConnection {
    /// Connects to `address`.
    pub(crate) async fn open(address: SocketAddr) -> Result<HttpConnection, GatewayError> {
        let stream = connect(address, CONNECT_TIMEOUT_MS).await?;
        let (stream, tracker) = ResponseStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_AHEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("event=connection_ended error=\"{error}\"");
            }
        });
        Ok(HttpConnection { sender, tracker, guard: ConnectionGuard(task) })
    }

    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, GatewayError> {
        self.sender.ready().await?;
        self.tracker.expect(request.method() == Method::HEAD);
        Ok(self.sender.send_request(request).await?)
    }

    /// Sends the only request of this connection and returns its response.
    pub(crate) async fn send_only(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<OpenResponse, GatewayError> {
        let response = self.send(request).await?;
        let framing = self.tracker.framing().ok_or(GatewayError::Unframed)?;
        Ok(OpenResponse { response, framing, guard: self.guard })
    }

    /// Returns whether another request may be sent.
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.tracker.is_reusable()
    }
}

/// A client for control calls; connects when needed and reuses its connection until a call fails.
pub(crate) struct ControlClient {
    address: SocketAddr,
    /// Maximum bytes of a response.
    max_bytes: usize,
    connection: Option<HttpConnection>,
}

impl ControlClient {
    /// Creates a client of a server whose responses have at most `max_bytes`.
    pub(crate) fn new(address: SocketAddr, max_bytes: usize) -> ControlClient {
        ControlClient { address, max_bytes, connection: None }
    }

    /// Makes a call and returns the complete response.
    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, GatewayError> {
        let max_bytes = self.max_bytes;
        let exchange = async {
            let response = self.response_head(request).await?;
            read_body(response, max_bytes, timeout_ms, || ()).await
        };
        let result = with_timeout(timeout_ms, exchange).await;
        self.drop_if_failed(result)
    }

    /// Makes a call whose response may be large and returns the complete response.
    ///
    /// The head must arrive within `head_timeout_ms` and before `superseded` completes. After that each
    /// part must follow the previous one within [`PART_TIMEOUT_MS`], and the whole body must arrive within
    /// [`BODY_TIMEOUT_MS`]; `progress` is called for each part. With a single short timeout for the whole
    /// response, a configuration of 0.7 MB on a link of 10 Mbit/s timed out on every attempt and was never
    /// read.
    pub(crate) async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        head_timeout_ms: u64,
        superseded: impl Future<Output = ()>,
        progress: impl Fn(),
    ) -> Result<Response<Bytes>, GatewayError> {
        let head = tokio::select! {
            head = with_timeout(head_timeout_ms, self.response_head(request)) => head,
            () = superseded => Err(GatewayError::Superseded),
        };
        let result = match head {
            Ok(response) => {
                let body = read_body(response, self.max_bytes, PART_TIMEOUT_MS, progress);
                with_timeout(BODY_TIMEOUT_MS, body).await
            }
            Err(error) => Err(error),
        };
        self.drop_if_failed(result)
    }

    /// Drops the connection after a failure, so that a late response isn't mistaken for the
    /// response to the next call.
    fn drop_if_failed<T>(&mut self, result: Result<T, GatewayError>) -> Result<T, GatewayError> {
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    async fn response_head(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, GatewayError> {
        let connection = match &mut self.connection {
            Some(connection) if connection.is_reusable() => connection,
            slot => slot.insert(HttpConnection::open(self.address).await?),
        };
        connection.send(request).await
    }
}

async fn with_timeout<T>(
    timeout_ms: u64,
    work: impl Future<Output = Result<T, GatewayError>>,
) -> Result<T, GatewayError> {
    let result = timeout(Duration::from_millis(timeout_ms), work).await;
    result.unwrap_or(Err(GatewayError::Timeout(timeout_ms)))
}

/// Reads a whole body of at most `max_bytes`; each part must arrive within `part_timeout_ms` of the previous one.
async fn read_body(
    response: Response<Incoming>,
    max_bytes: usize,
    part_timeout_ms: u64,
    progress: impl Fn(),
) -> Result<Response<Bytes>, GatewayError> {
    let (parts, mut body) = response.into_parts();
    let start = Instant::now();
    let mut bytes = BytesMut::new();
    loop {
        let part = timeout(Duration::from_millis(part_timeout_ms), body.frame()).await;
        let Some(frame) = part.map_err(|_| GatewayError::Stalled(bytes.len()))? else { break };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
            progress();
        }
        if bytes.len() > max_bytes {
            return Err(GatewayError::TooLarge(max_bytes));
        }
    }
    if bytes.len() >= LARGE_RESPONSE_BYTES {
        let took_ms = start.elapsed().as_millis();
        log::info!("event=large_answer bytes={} took_ms={took_ms}", bytes.len());
    }
    Ok(Response::from_parts(parts, bytes.freeze()))
}

/// Builds a GET request without a body.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, GatewayError> {
    let request = Request::get(path).header(hyper::header::HOST, address.to_string());
    Ok(request.body(Full::default())?)
}
