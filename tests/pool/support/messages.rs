//! Requests of callers and their answers.

use std::{io::Read, net::TcpStream};

use super::HOST;

/// One request.
pub(crate) struct Ask<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) headers: &'a str,
    pub(crate) body: &'a [u8],
}

impl<'a> Ask<'a> {
    /// A stream under `/chat/` or `/draft/`.
    pub(crate) fn stream(path: &'a str, id: &'a str, model: &'a str) -> Ask<'a> {
        Ask { method: "POST", path, id, model, headers: "", body: b"{}" }
    }

    /// A call of the ledger.
    pub(crate) fn call(path: &'a str, id: &'a str) -> Ask<'a> {
        Ask { method: "POST", path, id, model: "", headers: "", body: b"booking" }
    }

    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.spell("Connection: close\r\n")
    }

    /// The same on a connection that is to be kept.
    pub(crate) fn kept_bytes(&self) -> Vec<u8> {
        self.spell("")
    }

    fn spell(&self, connection: &str) -> Vec<u8> {
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

/// An answer as it came over the connection.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body has its end.
    pub(crate) whole: bool,
}

impl Answer {
    /// Reads until the connection closes.
    pub(crate) fn read(stream: &mut TcpStream) -> Answer {
        let mut bytes = Vec::new();
        // A reset after the last byte changes nothing about what was read.
        let _ = stream.read_to_end(&mut bytes);
        Answer::parse(&bytes)
    }

    /// Reads one answer on a connection that is kept, or what comes of it.
    pub(crate) fn read_kept(stream: &mut TcpStream) -> Answer {
        let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
        loop {
            let answer = Answer::parse(&bytes);
            if answer.status != 0 && answer.whole {
                return answer;
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return answer,
                Ok(read) => bytes.extend_from_slice(&part[..read]),
            }
        }
    }

    fn parse(bytes: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse::<usize>().ok());
        let whole = match length {
            Some(length) => body.len() == length,
            None => body.ends_with("0\r\n\r\n"),
        };
        Answer { status, body: body.to_owned(), whole, head }
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }
}
