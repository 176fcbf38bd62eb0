//! HTTP responses over `tiny_http` that are flushed after each part.
//!
//! `tiny_http` collects a response that it reads itself into chunks of 8 KiB, so that streamed
//! tokens would arrive in bursts. This crate uses the raw writer instead and flushes it after each
//! part, so that tokens arrive one by one.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{HTTPVersion, Request, StatusCode};

/// A caller that sends nothing for this long in the middle of a request is disconnected.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// A caller that accepts no data for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const BACKLOG: i32 = 1_024;
/// Hop-by-hop headers, and headers that the writer or the HTTP client sets itself. They are not
/// forwarded.
const HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// A header of a request or response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

impl Header {
    /// Creates a header.
    pub fn new(name: &str, value: &str) -> Header {
        Header { name: name.to_owned(), value: value.to_owned() }
    }
}

/// Returns whether a header is forwarded.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Opens a listener for callers. Accepted connections inherit its timeouts, so that an incomplete
/// request does not block a thread forever.
///
/// # Errors
/// The process cannot listen on the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Writes a response. Each part is flushed, so that a token is not delayed until the next one.
pub struct ResponseWriter {
    out: Box<dyn Write + Send>,
    chunked: bool,
}

impl ResponseWriter {
    /// Begins a response of unknown length.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn begin(request: Request, status: u16, headers: &[Header]) -> io::Result<ResponseWriter> {
        let chunked = *request.http_version() >= HTTPVersion(1, 1);
        let mut head = head(status, headers);
        if chunked {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        head.push_str("\r\n");
        let mut out = request.into_writer();
        out.write_all(head.as_bytes())?;
        out.flush()?;
        Ok(ResponseWriter { out, chunked })
    }

    /// Writes and flushes a part of the body.
    ///
    /// # Errors
    /// The caller has disconnected or does not accept the data in time.
    pub fn write_part(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        if self.chunked {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend_from_slice(data);
            chunk.extend_from_slice(b"\r\n");
            self.out.write_all(&chunk)?;
        } else {
            self.out.write_all(data)?;
        }
        self.out.flush()
    }

    /// Ends a complete response.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        if self.chunked {
            self.out.write_all(b"0\r\n\r\n")?;
        }
        self.out.flush()
    }

    /// Aborts a response, so that no caller can take it for a complete one.
    ///
    /// The server library keeps the connection open, so closing it cannot be the signal. An invalid
    /// chunk size makes HTTP libraries report a malformed body.
    pub fn abort(mut self) {
        if self.chunked {
            let _ = self.out.write_all(b"cut\r\n");
        }
        let _ = self.out.flush();
    }
}

/// Writes a complete response at once.
///
/// # Errors
/// The caller has disconnected or does not accept the data in time.
pub fn respond(request: Request, status: u16, headers: &[Header], body: &[u8]) -> io::Result<()> {
    let mut bytes = head(status, headers).into_bytes();
    write!(bytes, "Content-Length: {}\r\n\r\n", body.len())?;
    bytes.extend_from_slice(body);
    let mut out = request.into_writer();
    out.write_all(&bytes)?;
    out.flush()
}

fn head(status: u16, headers: &[Header]) -> String {
    let reason = StatusCode(status).default_reason_phrase();
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for header in headers.iter().filter(|header| is_forwarded(&header.name)) {
        text.push_str(&format!("{}: {}\r\n", header.name, header.value));
    }
    text
}
