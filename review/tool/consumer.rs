//! Consumers: each sends one request after the other on a kept channel.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    deployment::HOST,
    http::{BodyEnd, Connection},
    record::Record,
};

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An idempotent call.
    Read,
    /// A call that may run once.
    Book,
    /// A stream of this model on the route with this prefix.
    Chat(&'static str, &'static str),
}

/// What a consumer got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    /// 0 if the channel ended before a whole head.
    pub status: u16,
    pub signed: bool,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub complete: bool,
}

/// A consumer with its channel to one entry.
pub struct Consumer {
    entry: SocketAddr,
    record: Record,
    channel: Option<Connection>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Consumer {
    pub fn new(entry: SocketAddr, record: &Record) -> Consumer {
        Consumer { entry, record: record.clone(), channel: None }
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, kind: Kind) -> Answer {
        let id =
            format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed));
        self.record.line(&format!("sent {id} {kind:?} to {}", self.entry));
        let answer = self.exchange(kind, &id).unwrap_or(Answer {
            id,
            status: 0,
            signed: false,
            body: Vec::new(),
            complete: false,
        });
        self.record.line(&format!(
            "answered {} {kind:?} status={} signed={} bytes={} complete={}",
            answer.id,
            answer.status,
            answer.signed,
            answer.body.len(),
            answer.complete
        ));
        answer
    }

    fn exchange(&mut self, kind: Kind, id: &str) -> Option<Answer> {
        let mut channel = match self.channel.take() {
            Some(channel) => channel,
            None => Connection::new(TcpStream::connect(self.entry).ok()?).ok()?,
        };
        channel.stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        channel.write(&request(kind, id)).ok()?;
        let head = channel.read_head().ok()??;
        let body = channel.read_body(&head);
        let complete = body.end == BodyEnd::Complete;
        let close = head.get("connection").is_some_and(|value| value.contains("close"));
        let status = head.status();
        let signed = head.get("x-citronrill-server-signature").is_some();
        if complete && !close {
            self.channel = Some(channel);
        }
        Some(Answer { id: id.to_owned(), status, signed, body: body.bytes, complete })
    }
}

/// Returns a request as it is sent.
fn request(kind: Kind, id: &str) -> Vec<u8> {
    let (line, deadline_ms, headers, body) = match kind {
        Kind::Read => ("GET /read/1".to_owned(), 2_500, String::new(), ""),
        Kind::Book => {
            ("POST /book/1".to_owned(), 2_500, "Content-Length: 12\r\n".to_owned(), "slot 7 at 10")
        }
        Kind::Chat(prefix, model) => {
            // The last part of a prompt belongs to the request itself.
            let headers = format!(
                "X-Citronrill-Model: {model}\r\nX-Citronrill-Token-Usage: 646,70\r\n\
                 X-Citronrill-Prompt-Prefix: 5c1e07a2:155,{}:491\r\nContent-Length: 0\r\n",
                &id[8..]
            );
            (format!("POST {prefix}1"), 15_000, headers, "")
        }
    };
    format!(
        "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Citronrill-Attempt-Id: {id}\r\n\
         X-Citronrill-Deadline-Ms: {deadline_ms}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}
