//! HTTP responses: written over `tiny_http` and flushed after each part, and read.
//!
//! `tiny_http` collects a response that it reads itself into chunks of 8 KiB, so that streamed
//! tokens would arrive in bursts. This crate uses the raw writer instead and flushes it after each
//! part, so that tokens arrive one by one.

pub mod client;
pub mod response;

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

/// Maximum size in bytes of a response that is collected for a caller without chunks.
const MAX_COLLECTED_BYTES: usize = 16 << 20;

/// Writes a response. Each part is flushed, so that a token is not delayed until the next one.
///
/// A caller that knows no chunks gets the response when it is complete, with its length: the end of its
/// connection would mark the end of the response, also of one that was aborted.
pub struct ResponseWriter {
    out: Box<dyn Write + Send>,
    body: BodyWriter,
}

enum BodyWriter {
    Chunked,
    /// Collects the response; `head` lacks the length and the empty line.
    Collected {
        head: String,
        bytes: Vec<u8>,
    },
}

impl ResponseWriter {
    /// Begins a response of unknown length.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn begin(request: Request, status: u16, headers: &[Header]) -> io::Result<ResponseWriter> {
        let chunked = *request.http_version() >= HTTPVersion(1, 1);
        let mut head = head(status, headers);
        let mut out = request.into_writer();
        if !chunked {
            return Ok(ResponseWriter { out, body: BodyWriter::Collected { head, bytes: vec![] } });
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        out.write_all(head.as_bytes())?;
        out.flush()?;
        Ok(ResponseWriter { out, body: BodyWriter::Chunked })
    }

    /// Writes and flushes a part of the body.
    ///
    /// # Errors
    /// The caller has disconnected or does not accept the data in time, or the response is too large for
    /// a caller without chunks.
    pub fn write_part(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        match &mut self.body {
            BodyWriter::Chunked => {
                let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
                chunk.extend_from_slice(data);
                chunk.extend_from_slice(b"\r\n");
                self.out.write_all(&chunk)?;
                self.out.flush()
            }
            BodyWriter::Collected { bytes, .. }
                if bytes.len() + data.len() > MAX_COLLECTED_BYTES =>
            {
                Err(io::ErrorKind::FileTooLarge.into())
            }
            BodyWriter::Collected { bytes, .. } => {
                bytes.extend_from_slice(data);
                Ok(())
            }
        }
    }

    /// Ends a complete response.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        match &self.body {
            BodyWriter::Chunked => self.out.write_all(b"0\r\n\r\n")?,
            BodyWriter::Collected { head, bytes } => {
                write!(self.out, "{head}Content-Length: {}\r\n\r\n", bytes.len())?;
                self.out.write_all(bytes)?;
            }
        }
        self.out.flush()
    }

    /// Aborts a response, so that no caller can take it for a complete one.
    ///
    /// The server library keeps the connection open, so closing it cannot be the signal. An invalid
    /// chunk size makes HTTP libraries report a malformed body.
    pub fn abort(mut self) {
        let aborted = match &self.body {
            BodyWriter::Chunked => "cut\r\n".to_owned(),
            BodyWriter::Collected { .. } => format!("{}Content-Length: 0\r\n\r\n", head(502, &[])),
        };
        let _ = self.out.write_all(aborted.as_bytes()).and_then(|()| self.out.flush());
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
