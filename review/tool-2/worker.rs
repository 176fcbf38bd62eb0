//! A worker process.
//!
//! `worker ADDRESS ID LOG FRAMING FIRST_MS SECOND_MS [BYTES]`: runs each request and answers with the first half of
//! the body after FIRST_MS and the second half after SECOND_MS more. FRAMING is `length`, or `close` for
//! an answer without a length that ends with its channel. It appends a line to LOG for each run.

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{Request, respond};

/// Bytes of an answer's body.
pub const BODY_BYTES: usize = 800;

/// Returns the whole body of the answer to a request.
pub fn whole_body(id: &str, worker: &str) -> Vec<u8> {
    whole_body_of(BODY_BYTES, id, worker)
}

/// Returns the whole body of an answer of this many bytes.
pub fn whole_body_of(bytes: usize, id: &str, worker: &str) -> Vec<u8> {
    let line = format!("answer to {id} by {worker};");
    line.bytes().cycle().take(bytes).collect()
}

/// Milliseconds of the time of day.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

struct Worker {
    id: String,
    log: Option<Mutex<File>>,
    close: bool,
    first: Duration,
    second: Duration,
    bytes: usize,
}

pub fn run(args: &[&str]) -> i32 {
    let Some(address) = args.first().and_then(|text| text.parse::<SocketAddr>().ok()) else {
        return 2;
    };
    let number = |at: usize| args.get(at).and_then(|text| text.parse().ok()).unwrap_or(0);
    let log =
        args.get(3).and_then(|_| File::options().create(true).append(true).open(args[2]).ok());
    let worker = Arc::new(Worker {
        id: args.get(1).copied().unwrap_or("").to_owned(),
        log: log.map(Mutex::new),
        close: args.get(3) == Some(&"close"),
        first: Duration::from_millis(number(4)),
        second: Duration::from_millis(number(5)),
        bytes: args.get(6).and_then(|text| text.parse().ok()).unwrap_or(BODY_BYTES),
    });
    // The address may still be taken by a process that is just ending.
    let listener = (0..200).find_map(|_| {
        let listener = TcpListener::bind(address).ok();
        if listener.is_none() {
            thread::sleep(Duration::from_millis(10));
        }
        listener
    });
    let Some(listener) = listener else { return 2 };
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || worker.serve(stream));
    }
    0
}

impl Worker {
    fn note(&self, event: &str, id: &str) {
        if let Some(log) = &self.log {
            let line = format!("{} {event} {id} {}\n", now_ms(), self.id);
            let _ = log.lock().unwrap().write_all(line.as_bytes());
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut kept = Vec::new();
        while let Some(request) = Request::read(&mut stream, &mut kept) {
            if !self.answer(&mut stream, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the channel is kept.
    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let instance = ("X-Citronrill-Instance-Id", self.id.as_str());
        if request.path == "/healthz" {
            return respond(stream, 200, &[instance], b"").is_ok();
        }
        let id = request.header("x-citronrill-attempt-id");
        let expected = request.header("x-citronrill-expect-instance");
        if !expected.is_empty() && expected != self.id {
            self.note("rejects", id);
            return respond(stream, 421, &[instance, ("X-Citronrill-Not-Executed", "1")], b"")
                .is_ok();
        }
        self.note("runs", id);
        let body = whole_body_of(self.bytes, id, &self.id);
        let (first, second) = body.split_at(body.len() / 2);
        let framing = if self.close {
            "Connection: close".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{framing}\r\nContent-Type: text/plain\r\nX-Citronrill-Attempt-Id: {id}\r\n\
             X-Citronrill-Server-Signature: s.{id}\r\nX-Citronrill-Instance-Id: {}\r\n\r\n",
            self.id
        );
        thread::sleep(self.first);
        if stream.write_all(&[head.as_bytes(), first].concat()).is_err() {
            self.note("loses", id);
            return false;
        }
        thread::sleep(self.second);
        let written = stream.write_all(second).is_ok();
        self.note(if written { "answers" } else { "loses" }, id);
        written && !self.close
    }
}
