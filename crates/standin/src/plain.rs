//! A plain service that records its calls, so that tests can check how often each one ran.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use citronrill_base::hash_bytes;
use citronrill_http::{Header, respond};
use tiny_http::Request;

use crate::server::{HttpServer, StandinError, read_body};

const THREADS: usize = 16;
/// Media type of a server-sent event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// A call received by the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedCall {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// Size of the body, in bytes.
    pub size: usize,
    /// Hash of the body.
    pub hash: u64,
}

/// A running plain service.
pub struct PlainStandin {
    calls: Arc<Mutex<Vec<RecordedCall>>>,
    server: HttpServer,
}

impl PlainStandin {
    /// Starts a service on `address` that answers each call after `delay_ms`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, delay_ms: u64) -> Result<PlainStandin, StandinError> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let shared = calls.clone();
        let server = HttpServer::start("plain", address, THREADS, move |request| {
            handle(request, &shared, delay_ms);
        })?;
        Ok(PlainStandin { calls, server })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the recorded calls, in order.
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns the response to a path under `/streams/`: an event stream with neither length nor chunks, which
/// ends with the connection.
fn unframed_stream(path: &str) -> Option<String> {
    let events = match path {
        "/streams/whole" => "id: 0\ndata: x\n\nid: 1\ndata: y\n\n",
        "/streams/cut" => "id: 0\ndata: x\n\nid: 1\nda",
        "/streams/none" => "",
        _ => return None,
    };
    Some(format!("HTTP/1.1 200 OK\r\nContent-Type: {EVENT_STREAM}\r\n\r\n{events}"))
}

fn handle(mut request: Request, calls: &Mutex<Vec<RecordedCall>>, delay_ms: u64) {
    let body = read_body(&mut request);
    let call = RecordedCall {
        method: request.method().to_string(),
        path: request.url().to_owned(),
        size: body.len(),
        hash: hash_bytes(&body),
    };
    let number = {
        let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(call);
        calls.len()
    };
    std::thread::park_timeout(Duration::from_millis(delay_ms));
    if let Some(stream) = unframed_stream(request.url()) {
        let mut out = request.into_writer();
        let _ = out.write_all(stream.as_bytes()).and_then(|()| out.flush());
        return;
    }
    let headers = [Header::new("Content-Type", "text/plain"), Header::new("X-Entry", "yes")];
    let mut answer = format!("entry {number} {} ", request.url()).into_bytes();
    answer.extend_from_slice(&body);
    let _ = respond(request, 200, &headers, &answer);
}
