//! HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Maximum time without a byte from the peer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Start line and headers of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing says.
    Complete,
    /// With its connection, before that.
    Cut,
}

/// A body as far as it arrived.
#[derive(Debug, Clone)]
pub struct Body {
    pub bytes: Vec<u8>,
    pub end: BodyEnd,
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16_384];
        loop {
            match self.stream.read(&mut part) {
                Ok(read) => {
                    self.buffer.extend_from_slice(&part[..read]);
                    return Ok(read > 0);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.buffer.drain(..count).collect()
    }

    /// Reads the next head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.take(at + 4)).into_owned();
                return Ok(Some(parse_head(&text)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a request's body.
    pub fn read_request_body(&mut self, head: &Head) -> Body {
        if head.length().is_none() && !head.is_chunked() {
            return Body { bytes: Vec::new(), end: BodyEnd::Complete };
        }
        self.read_body(head)
    }

    /// Reads a response's body.
    pub fn read_body(&mut self, head: &Head) -> Body {
        let mut bytes = Vec::new();
        let whole = if head.is_chunked() {
            self.read_chunks(&mut bytes)
        } else {
            self.read_plain(head.length(), &mut bytes)
        };
        let end = if matches!(whole, Ok(true)) { BodyEnd::Complete } else { BodyEnd::Cut };
        Body { bytes, end }
    }

    fn read_plain(&mut self, length: Option<usize>, bytes: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let wanted = length.map_or(self.buffer.len(), |length| length - bytes.len());
            let count = wanted.min(self.buffer.len());
            bytes.extend(self.take(count));
            if length == Some(bytes.len()) {
                return Ok(true);
            }
            if !self.fill()? {
                return Ok(length.is_none());
            }
        }
    }

    /// Reads chunks up to the last one; returns false if the connection ends before it.
    fn read_chunks(&mut self, bytes: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.read_line()? else { return Ok(false) };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|error| io::Error::new(ErrorKind::InvalidData, error))?;
            if size == 0 {
                return Ok(self.read_line()?.is_some());
            }
            while self.buffer.len() < size + 2 {
                if !self.fill()? {
                    let rest = self.buffer.len().min(size);
                    bytes.extend(self.take(rest));
                    return Ok(false);
                }
            }
            bytes.extend(self.take(size));
            self.take(2);
        }
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line = self.take(at + 2);
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.trim_end().split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.to_lowercase(), value.trim().to_owned()));
    Head { start, headers: headers.collect() }
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}
