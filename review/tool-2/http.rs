//! Just enough HTTP/1.1 for stand-ins that both ends of which are known.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a stand-in server reads it.
pub struct Request {
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` at its end.
    pub fn read(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<Request> {
        let head_end = loop {
            if let Some(at) = find(kept, b"\r\n\r\n") {
                break at + 4;
            }
            read_more(stream, kept)?;
        };
        let head = String::from_utf8_lossy(&kept[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut words = lines.next()?.split(' ');
        let target = words.nth(1)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect::<Vec<_>>();
        let mut request =
            Request { path: path.to_owned(), query: query.to_owned(), headers, body: Vec::new() };
        let length = request.header("content-length").parse::<usize>().unwrap_or(0);
        while kept.len() < head_end + length {
            read_more(stream, kept)?;
        }
        request.body = kept[head_end..head_end + length].to_vec();
        kept.drain(..head_end + length);
        Some(request)
    }

    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn read_more(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16_384];
    match stream.read(&mut part) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            kept.extend_from_slice(&part[..count]);
            Some(())
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Writes a response with a length on a connection that is kept.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// What a consumer received on its channel in answer to one request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub signed: bool,
    pub body: Vec<u8>,
    /// Whether the answer is complete by the rules of HTTP/1.1.
    pub complete: bool,
    pub retry_after: String,
    pub took: Duration,
}

/// A request of a consumer.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// Sends a request on a kept channel and reads its answer, for `deadline_ms` and a second at most.
pub fn call(to: SocketAddr, call: &Call<'_>) -> io::Result<Answer> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Citronrill-Attempt-Id: {}\r\nX-Citronrill-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline_ms,
        call.headers,
        call.body.len()
    );
    stream.write_all(&[head.as_bytes(), call.body].concat())?;
    let until = started + Duration::from_millis(call.deadline_ms + 1_000);
    let mut bytes = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left))?;
        let mut part = [0; 16_384];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
        if parse(&bytes, started).complete {
            break;
        }
    }
    Ok(parse(&bytes, started))
}

pub fn parse(bytes: &[u8], started: Instant) -> Answer {
    let mut answer = Answer {
        status: 0,
        signed: false,
        body: Vec::new(),
        complete: false,
        retry_after: String::new(),
        took: started.elapsed(),
    };
    let Some(at) = find(bytes, b"\r\n\r\n") else { return answer };
    let head = String::from_utf8_lossy(&bytes[..at]).to_ascii_lowercase();
    let rest = &bytes[at + 4..];
    let header = |name: &str| {
        let mut lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim().to_owned())
    };
    answer.status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.signed = header("x-citronrill-server-signature").is_some();
    answer.retry_after = header("retry-after").unwrap_or_default();
    if header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut rest = rest;
        while let Some(end) = find(rest, b"\r\n") {
            let size = String::from_utf8_lossy(&rest[..end]).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return answer };
            let chunk = &rest[end + 2..];
            if size == 0 {
                answer.complete = chunk.starts_with(b"\r\n");
                return answer;
            }
            answer.body.extend_from_slice(&chunk[..chunk.len().min(size)]);
            if chunk.len() < size + 2 {
                return answer;
            }
            rest = &chunk[size + 2..];
        }
    } else if let Some(length) =
        header("content-length").and_then(|text| text.parse::<usize>().ok())
    {
        answer.body = rest[..rest.len().min(length)].to_vec();
        answer.complete = rest.len() >= length;
    }
    answer
}
