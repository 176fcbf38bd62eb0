//! Blocking HTTP/1.1 calls, one on a connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use thiserror::Error;

use crate::{
    Header,
    response::{Framing, ResponseDecoder, ResponseError, Sink},
};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Why a call has no response, or no whole one.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The method, the path or a header can't be sent.
    #[error("invalid request: {0}")]
    InvalidRequest(&'static str),
    /// No connection was made: the peer has received nothing.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or nothing arrived in time.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What arrived is no response, or no whole one.
    #[error("{0}")]
    Response(#[from] ResponseError),
    /// The response has more bytes than the limit.
    #[error("response exceeds {0} bytes")]
    TooLarge(usize),
    /// Only the end of the connection marks the end of the body, so that nothing shows whether it is whole.
    #[error("response without a length")]
    NoLength,
}

impl ClientError {
    /// Returns whether the peer has received nothing, as nothing listens at its address.
    pub fn is_refused(&self) -> bool {
        matches!(self, ClientError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Body of a request.
pub trait RequestBody {
    /// Returns its length in bytes, if known; it is sent in chunks otherwise.
    fn length(&self) -> Option<u64>;

    /// Writes it.
    ///
    /// # Errors
    /// The peer has disconnected, or the body broke off.
    fn write(&mut self, out: &mut dyn Write) -> io::Result<()>;
}

impl RequestBody for &[u8] {
    fn length(&self) -> Option<u64> {
        Some(self.len() as u64)
    }

    fn write(&mut self, out: &mut dyn Write) -> io::Result<()> {
        out.write_all(self)
    }
}

/// Builds a call.
#[derive(Debug)]
pub struct Call<'a> {
    method: &'a str,
    address: SocketAddr,
    path: &'a str,
    headers: Vec<Header>,
    connect_timeout: Duration,
    read_timeout: Duration,
}

impl<'a> Call<'a> {
    /// Creates a call with timeouts of a second to connect, and ten to read and write a part.
    pub fn new(method: &'a str, address: SocketAddr, path: &'a str) -> Call<'a> {
        Call {
            method,
            address,
            path,
            headers: Vec::new(),
            connect_timeout: Duration::from_secs(1),
            read_timeout: Duration::from_secs(10),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Call<'a> {
        self.headers.push(Header::new(name, value));
        self
    }

    /// Sets the time to connect.
    pub fn connect_timeout(mut self, timeout: Duration) -> Call<'a> {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the time to read or write a part.
    pub fn read_timeout(mut self, timeout: Duration) -> Call<'a> {
        self.read_timeout = timeout;
        self
    }

    /// Makes the call; returns when the head of the response has arrived.
    ///
    /// # Errors
    /// There is no response.
    pub fn send(self, body: &mut dyn RequestBody) -> Result<Response, ClientError> {
        let head = self.head(body.length())?;
        let mut stream = TcpStream::connect_timeout(&self.address, self.connect_timeout)
            .map_err(ClientError::Connect)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.read_timeout))?;
        stream.set_write_timeout(Some(self.read_timeout))?;
        stream.write_all(head.as_bytes())?;
        match body.length() {
            Some(_) => body.write(&mut stream)?,
            None => {
                body.write(&mut ChunkWriter(&mut stream))?;
                stream.write_all(b"0\r\n\r\n")?;
            }
        }
        stream.flush()?;
        Response::read(stream, self.method == "HEAD")
    }

    fn head(&self, length: Option<u64>) -> Result<String, ClientError> {
        let (method, path) = (self.method, self.path);
        if !is_token(method) {
            return Err(ClientError::InvalidRequest("method"));
        }
        if !path.starts_with('/') || path.bytes().any(|byte| !byte.is_ascii_graphic()) {
            return Err(ClientError::InvalidRequest("path"));
        }
        let mut head =
            format!("{method} {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", self.address);
        for Header { name, value } in &self.headers {
            if !is_token(name) || value.bytes().any(|byte| byte.is_ascii_control() && byte != b'\t')
            {
                return Err(ClientError::InvalidRequest("header"));
            }
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        match length {
            Some(length) => head.push_str(&format!("Content-Length: {length}\r\n\r\n")),
            None => head.push_str("Transfer-Encoding: chunked\r\n\r\n"),
        }
        Ok(head)
    }
}

/// Returns whether text can be the name of a method or field.
pub fn is_token(text: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(valid)
}

struct ChunkWriter<'a>(&'a mut TcpStream);

impl Write for ChunkWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !bytes.is_empty() {
            write!(self.0, "{:x}\r\n", bytes.len())?;
            self.0.write_all(bytes)?;
            self.0.write_all(b"\r\n")?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// What has arrived of a response and was not taken yet.
#[derive(Debug, Default)]
struct Arrived {
    status: u16,
    headers: Vec<Header>,
    data: Vec<u8>,
}

impl Sink for Arrived {
    fn head(&mut self, head: &httparse::Response<'_, '_>) {
        self.status = head.code.unwrap_or(0);
        let headers = head.headers.iter().filter_map(|header| {
            Some(Header::new(header.name, str::from_utf8(header.value).ok()?))
        });
        self.headers = headers.collect();
    }

    fn data(&mut self, data: &[u8]) {
        self.data.extend_from_slice(data);
    }
}

/// A response, whose body is read as it arrives.
#[derive(Debug)]
pub struct Response {
    stream: TcpStream,
    decoder: ResponseDecoder,
    framing: Framing,
    arrived: Arrived,
}

impl Response {
    /// Reads the head of a response.
    fn read(mut stream: TcpStream, head_only: bool) -> Result<Response, ClientError> {
        let (mut decoder, mut arrived) = (ResponseDecoder::new(), Arrived::default());
        decoder.expect(head_only);
        loop {
            read_part(&mut stream, &mut decoder, &mut arrived)?;
            if let Some(framing) = decoder.framing() {
                return Ok(Response { stream, decoder, framing, arrived });
            }
        }
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.arrived.status
    }

    /// Returns whether the status says that the call succeeded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status())
    }

    /// Returns the headers whose values are text.
    pub fn headers(&self) -> &[Header] {
        &self.arrived.headers
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers().iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    /// The body is not whole, or nothing would show that it is.
    pub fn into_bytes(self, limit: usize) -> Result<Vec<u8>, ClientError> {
        if self.framing == Framing::UntilClose {
            return Err(ClientError::NoLength);
        }
        self.into_text(limit)
    }

    /// Reads a body whose content shows its end, as JSON does, of at most `limit` bytes.
    ///
    /// # Errors
    /// The body is known not to be whole.
    pub fn into_text(mut self, limit: usize) -> Result<Vec<u8>, ClientError> {
        let mut bytes = Vec::new();
        (&mut self).take(limit as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > limit { Err(ClientError::TooLarge(limit)) } else { Ok(bytes) }
    }
}

impl Read for Response {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.arrived.data.is_empty() && !self.decoder.is_complete() && !buffer.is_empty() {
            match read_part(&mut self.stream, &mut self.decoder, &mut self.arrived) {
                Ok(()) => {}
                Err(ClientError::Io(error)) => return Err(error),
                Err(error) => return Err(io::Error::other(error)),
            }
        }
        let count = buffer.len().min(self.arrived.data.len());
        buffer[..count].copy_from_slice(&self.arrived.data[..count]);
        self.arrived.data.drain(..count);
        Ok(count)
    }
}

/// Reads what arrives next, or the end of the connection.
fn read_part(
    stream: &mut TcpStream,
    decoder: &mut ResponseDecoder,
    arrived: &mut Arrived,
) -> Result<(), ClientError> {
    let mut part = [0; READ_BYTES];
    match stream.read(&mut part) {
        Ok(0) => decoder.close(false)?,
        Ok(count) => {
            decoder.push(&part[..count], arrived)?;
        }
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
