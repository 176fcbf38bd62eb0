//! One HTTP call on a connection of its own.
//!
//! Each call to an endpoint has a fresh connection. An endpoint may send bytes after a complete
//! answer, an answer to an earlier request, or drop an idle connection without notice; on a kept
//! connection each of these meets the next request, which may be one that must not be sent twice.
//! On a fresh one there is no next request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::error::GatewayError;

/// Milliseconds for a connection: between zones a round trip takes under 5, and a lost first packet
/// is sent again after a second, by when another endpoint is the better choice.
pub(crate) const CONNECT_MS: u64 = 600;
/// Milliseconds after which unacknowledged bytes end a connection: a peer without power or behind a
/// cut sends no reset, and the connection would hang for minutes.
const USER_TIMEOUT_MS: u64 = 2_500;
/// Bytes of a control answer at most: a page with the operators' text, which has no bound of its own.
/// 1,400 routes take 345 KB as the store spells them.
const CONTROL_LIMIT: usize = 16 << 20;
/// Bytes from which on an answer's time on the way is logged: 50 ms of the slowest link, 10 Mbit/s.
const LARGE_ANSWER: usize = 64 << 10;
/// Milliseconds between two parts of a large answer, after which it counts as broken: a lost packet is
/// sent again within one second, and a full link of 10 Mbit/s holds half a second of bytes.
const PART_MS: u64 = 1_500;
/// Milliseconds for the whole of it all the same: [`CONTROL_LIMIT`] takes 14 s on a link of 10 Mbit/s.
const WHOLE_MS: u64 = 20_000;

/// Ends the connection's task when the call is dropped, so that the endpoint sees its caller leave.
#[derive(Debug)]
pub(crate) struct Guard(JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection within `limit_ms`.
pub(crate) async fn connect(address: SocketAddr, limit_ms: u64) -> Result<TcpStream, GatewayError> {
    let stream = timeout(Duration::from_millis(limit_ms), TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| GatewayError::Timeout(limit_ms))?;
    let stream = stream.map_err(|source| GatewayError::Connect { address, source })?;
    tune(&stream);
    Ok(stream)
}

/// Sends small writes at once, and gives up on a peer that acknowledges nothing.
pub(crate) fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(Duration::from_millis(USER_TIMEOUT_MS))));
    if let Err(error) = set {
        log::debug!("event=socket_option error=\"{error}\"");
    }
}

/// A connection that takes requests.
pub(crate) struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: Guard,
}

impl Channel {
    /// Connects to `address`.
    pub(crate) async fn open(address: SocketAddr) -> Result<Channel, GatewayError> {
        let stream = connect(address, CONNECT_MS).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("event=connection_ended error=\"{error}\"");
            }
        });
        Ok(Channel { sender, guard: Guard(task) })
    }

    /// Sends one request and gives the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, GatewayError> {
        self.sender.ready().await?;
        Ok(self.sender.send_request(request).await?)
    }

    /// The guard that keeps the connection open.
    pub(crate) fn into_guard(self) -> Guard {
        self.guard
    }
}

/// A connection for control calls, opened when needed and kept while it works.
pub(crate) struct Control {
    address: SocketAddr,
    channel: Option<Channel>,
}

impl Control {
    /// Calls to `address`.
    pub(crate) fn new(address: SocketAddr) -> Control {
        Control { address, channel: None }
    }

    /// Makes one call; gives the whole answer.
    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<Response<Bytes>, GatewayError> {
        let exchange = async {
            let response = self.head(request).await?;
            read_body(response, limit_ms, || ()).await
        };
        let result = within(limit_ms, exchange).await;
        self.settle(result)
    }

    /// Makes one call whose answer may be large; gives the whole answer.
    ///
    /// Its head has to come within `head_ms`, and before `give_up` ends. After that each part has to follow
    /// the last one within [`PART_MS`], and `progress` is told of it. Guards against an answer that takes
    /// longer on its way than any fixed time: with one for the whole, a text of 0.7 MB on a link of
    /// 10 Mbit/s was given up before its end and asked for again, for good.
    pub(crate) async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        head_ms: u64,
        give_up: impl Future<Output = ()>,
        progress: impl Fn(),
    ) -> Result<Response<Bytes>, GatewayError> {
        let head = tokio::select! {
            head = within(head_ms, self.head(request)) => head,
            () = give_up => Err(GatewayError::Overtaken),
        };
        let result = match head {
            Ok(response) => within(WHOLE_MS, read_body(response, PART_MS, progress)).await,
            Err(error) => Err(error),
        };
        self.settle(result)
    }

    /// Drops the connection after a failure: a late answer must not meet the next call.
    fn settle<T>(&mut self, result: Result<T, GatewayError>) -> Result<T, GatewayError> {
        if result.is_err() {
            self.channel = None;
        }
        result
    }

    async fn head(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, GatewayError> {
        let channel = match &mut self.channel {
            Some(channel) if !channel.sender.is_closed() => channel,
            slot => slot.insert(Channel::open(self.address).await?),
        };
        channel.send(request).await
    }
}

async fn within<T>(
    limit_ms: u64,
    work: impl Future<Output = Result<T, GatewayError>>,
) -> Result<T, GatewayError> {
    let result = timeout(Duration::from_millis(limit_ms), work).await;
    result.unwrap_or(Err(GatewayError::Timeout(limit_ms)))
}

/// Reads a body to its end; each part within `part_ms` of the last.
async fn read_body(
    response: Response<Incoming>,
    part_ms: u64,
    progress: impl Fn(),
) -> Result<Response<Bytes>, GatewayError> {
    let (parts, mut body) = response.into_parts();
    let start = Instant::now();
    let mut bytes = BytesMut::new();
    loop {
        let part = timeout(Duration::from_millis(part_ms), body.frame()).await;
        let Some(frame) = part.map_err(|_| GatewayError::Stalled(bytes.len()))? else { break };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
            progress();
        }
        if bytes.len() > CONTROL_LIMIT {
            return Err(GatewayError::TooLarge(CONTROL_LIMIT));
        }
    }
    if bytes.len() >= LARGE_ANSWER {
        let took_ms = start.elapsed().as_millis();
        log::info!("event=large_answer bytes={} took_ms={took_ms}", bytes.len());
    }
    Ok(Response::from_parts(parts, bytes.freeze()))
}

/// A GET without a body.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, GatewayError> {
    let request = Request::get(path).header(hyper::header::HOST, address.to_string());
    Ok(request.body(Full::default())?)
}
