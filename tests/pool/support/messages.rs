//! Requests of callers and their responses.

use std::{io::Read, net::TcpStream};

use super::HOST;

/// Request of a caller.
pub(crate) struct Request<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) headers: &'a str,
    pub(crate) body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Returns a streaming request under `/chat/` or `/draft/`.
    pub(crate) fn stream(path: &'a str, id: &'a str, model: &'a str) -> Request<'a> {
        Request { method: "POST", path, id, model, headers: "", body: b"{}" }
    }

    /// Returns a request to the ledger service.
    pub(crate) fn call(path: &'a str, id: &'a str) -> Request<'a> {
        Request { method: "POST", path, id, model: "", headers: "", body: b"booking" }
    }

    /// Returns a request to the ledger service under `/book/`, and otherwise a stream of `m0`.
    pub(crate) fn on(path: &'a str, id: &'a str) -> Request<'a> {
        if path.starts_with("/book/") {
            Request::call(path, id)
        } else {
            Request::stream(path, id, "m0")
        }
    }

    /// Returns the request for a connection that closes after the response.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.encode("Connection: close\r\n")
    }

    /// Returns the request for a keep-alive connection.
    pub(crate) fn keep_alive_bytes(&self) -> Vec<u8> {
        self.encode("")
    }

    fn encode(&self, connection: &str) -> Vec<u8> {
        let model = match self.model {
            "" => String::new(),
            model => format!("X-Citronrill-Model: {model}\r\n"),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\n{connection}\
             X-Citronrill-Attempt-Id: {}\r\nX-Citronrill-Deadline-Ms: 5000\r\n{model}{}\
             Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.headers,
            self.body.len()
        );
        [head.as_bytes(), self.body].concat()
    }
}

/// Response as received on the connection.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the complete body was received.
    pub(crate) complete: bool,
}

impl Response {
    /// Reads until the connection closes.
    pub(crate) fn read(stream: &mut TcpStream) -> Response {
        let mut bytes = Vec::new();
        // A reset after the last byte does not affect what was read.
        let _ = stream.read_to_end(&mut bytes);
        Response::parse(&bytes)
    }

    /// Reads one response on a keep-alive connection, or the part of it that arrives.
    pub(crate) fn read_keep_alive(stream: &mut TcpStream) -> Response {
        let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
        loop {
            let response = Response::parse(&bytes);
            if response.status != 0 && response.complete {
                return response;
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return response,
                Ok(read) => bytes.extend_from_slice(&part[..read]),
            }
        }
    }

    fn parse(bytes: &[u8]) -> Response {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse::<usize>().ok());
        let complete = match length {
            Some(length) => body.len() == length,
            None => body.ends_with("0\r\n\r\n"),
        };
        Response { status, body: body.to_owned(), complete, head }
    }

    /// Returns the body without chunks.
    pub(crate) fn decoded_body(&self) -> String {
        if self.header("transfer-encoding").is_none() {
            return self.body.clone();
        }
        let (mut rest, mut body) = (self.body.as_str(), String::new());
        while let Some((size, after)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).unwrap();
            body.push_str(&after[..size]);
            rest = after[size..].trim_start_matches("\r\n");
        }
        body
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }

    /// Returns the IDs of the events in the body, including an incomplete last one.
    pub(crate) fn event_ids(&self) -> Vec<u32> {
        let event_ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        event_ids.map(|number| number.parse().unwrap()).collect()
    }
}
