//! Consumers that do not read for some seconds, and read on well within their time limit.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::deployment::{Deployment, HOST, Record, manifest, plain_route, wait_until_ready};
use crate::{http::parse, worker::whole_body_of};

/// Consumers, and the bytes of the answers that they ask for.
const CONSUMERS: usize = 8;
const BYTES: usize = 250_000;
/// How long a consumer does not read after the first bytes of its answer, and its time limit.
const PAUSE: Duration = Duration::from_millis(3_500);
const DEADLINE: Duration = Duration::from_millis(6_000);

pub fn run(dir: &Path, trouble: bool) -> i32 {
    let mut record = Record::new(dir);
    let deployment = Deployment::new(&manifest(&[plain_route("/book/", "non_idempotent")]));
    let workers = deployment.plain_workers((20, 0), "length", BYTES, |own| own);
    let entry = deployment.entry(1);
    if !wait_until_ready(&entry) {
        return 2;
    }
    let callers = entry.callers;
    let consumers = (0..CONSUMERS).map(|number| {
        thread::spawn(move || {
            let id = format!("9c41d07be2a3{number:04x}");
            let read = consume(callers, &id, trouble);
            (id, read)
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    record.line(&format!("{CONSUMERS} consumers ask for {BYTES} bytes each, on kept channels, with a time limit of {} ms", DEADLINE.as_millis()));
    if trouble {
        record.line(&format!(
            "each reads the first part of its answer, then nothing for {} ms, then the rest",
            PAUSE.as_millis()
        ));
    }
    let mut lost = 0;
    for consumer in consumers {
        let Ok((id, Ok((bytes, error, took)))) = consumer.join() else { return 2 };
        let answer = parse(&bytes, Instant::now());
        let worker = deployment.runs_at(&id);
        let whole = answer.complete && answer.body == whole_body_of(BYTES, &id, &worker);
        lost += usize::from(!whole && !worker.is_empty());
        let end = error.unwrap_or_else(|| "nothing wrong".to_owned());
        let note = if whole { "the worker's whole body" } else { "NOT complete" };
        record.line(&format!("consumer: {id}, run by {worker}: {} with {} bytes of body after {} ms, {note}; the channel: {end}", answer.status, answer.body.len(), took.as_millis()));
    }
    record.add_log(&deployment.log());
    drop((entry, workers));
    deployment.clean_up();
    record.line(&format!("{lost} of {CONSUMERS} channels were ended by the entry before the answer of a sound worker was whole; the rule allows three"));
    i32::from(lost > 3)
}

/// Sends a request and reads its answer; returns what was read, how the channel failed, and the time taken.
fn consume(
    to: SocketAddr,
    id: &str,
    pause: bool,
) -> std::io::Result<(Vec<u8>, Option<String>, Duration)> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let head = format!(
        "POST /book/a HTTP/1.1\r\nHost: {HOST}\r\nX-Citronrill-Attempt-Id: {id}\r\nX-Citronrill-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        DEADLINE.as_millis()
    );
    stream.write_all(head.as_bytes())?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
    let mut paused = !pause;
    loop {
        match stream.read(&mut part) {
            Ok(0) => return Ok((bytes, Some("closed".to_owned()), started.elapsed())),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) => return Ok((bytes, Some(error.to_string()), started.elapsed())),
        }
        if parse(&bytes, started).complete {
            return Ok((bytes, None, started.elapsed()));
        }
        if !paused {
            paused = true;
            thread::sleep(PAUSE);
        }
    }
}
