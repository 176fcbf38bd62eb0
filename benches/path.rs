//! What the path through entry and side adds, measured against the same engine called directly in
//! the same run, and what waiting requests cost.

#![allow(clippy::unwrap_used, reason = "a bench that cannot go on must stop")]
#![allow(dead_code, reason = "the deployment is shared with the tests")]

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::json;

#[path = "../tests/all/support.rs"]
mod support;

use support::Deployment;

const SEQUENTIAL: u64 = 300;
const STREAMS: usize = 64;
const WORDS: usize = 400;
const WAITING: usize = 4_000;
const RATE_SECONDS: u64 = 10;
const RATE: u64 = 200;

fn main() {
    let it = Deployment::start(1, 4);
    for _ in 0..3 {
        assert_eq!(it.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    }
    let holder = it.engines.iter().find(|engine| !engine.models().is_empty()).unwrap();
    latency(it.entries[0].http_address(), holder.address());
    streams("direct", holder.address());
    streams("through entry and side", it.entries[0].http_address());
    rate(it.entries[0].http_address());
    waiting(&it);
}

fn ask(address: SocketAddr, words: usize, stream: bool) -> attohttpc::Response {
    let text = (0..words).map(|word| format!("w{word}")).collect::<Vec<_>>().join(" ");
    let question = json!({ "model": "alpha", "stream": stream,
        "messages": [{ "role": "user", "content": text }] });
    let url = format!("http://{address}/v1/chat/completions");
    let request = attohttpc::post(url).bearer_auth("north-key").json(&question).unwrap();
    request.send().unwrap()
}

fn histogram() -> Histogram<u64> {
    // Bounds must be given: without them, a value beyond the first range is recorded as its end.
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

fn latency(entry: SocketAddr, engine: SocketAddr) {
    let (mut direct, mut through) = (histogram(), histogram());
    for _ in 0..SEQUENTIAL {
        for (address, times) in [(engine, &mut direct), (entry, &mut through)] {
            let begun = Instant::now();
            ask(address, 1, false).text_utf8().unwrap();
            times.saturating_record(begun.elapsed().as_micros() as u64);
        }
    }
    println!(
        "warm answer, microseconds: direct p50 {} p99 {}, through p50 {} p99 {}",
        direct.value_at_quantile(0.5),
        direct.value_at_quantile(0.99),
        through.value_at_quantile(0.5),
        through.value_at_quantile(0.99)
    );
}

/// Many streams at once: tokens a second and the time between two tokens.
fn streams(what: &str, address: SocketAddr) {
    let begun = Instant::now();
    let callers = (0..STREAMS).map(|_| {
        thread::spawn(move || {
            let (mut gaps, mut tokens) = (histogram(), 0_u64);
            let response = ask(address, WORDS, true);
            if !response.is_success() {
                return (gaps, tokens, 1_u64);
            }
            let (_, _, reader) = response.split();
            let mut last = Instant::now();
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                if line.starts_with("data: {") {
                    gaps.saturating_record(last.elapsed().as_micros() as u64);
                    last = Instant::now();
                    tokens += 1;
                }
            }
            (gaps, tokens, 0)
        })
    });
    let callers = callers.collect::<Vec<_>>();
    let (mut gaps, mut tokens, mut refused) = (histogram(), 0, 0);
    for caller in callers {
        let (own, count, lost) = caller.join().unwrap();
        gaps.add(own).unwrap();
        tokens += count;
        refused += lost;
    }
    println!(
        "{STREAMS} streams {what}: {:.0} tokens/s, between tokens p50 {} p99 {} microseconds, {refused} refused",
        tokens as f64 / begun.elapsed().as_secs_f64(),
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99)
    );
}

/// A steady rate of short requests through one entry.
fn rate(entry: SocketAddr) {
    let mut callers = Vec::new();
    let begun = Instant::now();
    for number in 0..RATE * RATE_SECONDS {
        let due = Duration::from_millis(number * 1_000 / RATE);
        thread::park_timeout(due.saturating_sub(begun.elapsed()));
        callers.push(thread::spawn(move || {
            let begun = Instant::now();
            let status = ask(entry, 1, false).status().as_u16();
            (status, begun.elapsed().as_micros() as u64)
        }));
    }
    let (mut times, mut served) = (histogram(), 0);
    for caller in callers {
        let (status, micros) = caller.join().unwrap();
        served += u64::from(status == 200);
        times.saturating_record(micros);
    }
    println!(
        "{RATE} requests/s for {RATE_SECONDS} s: {served} of {} served, p50 {} p99 {} p99.9 {} microseconds",
        RATE * RATE_SECONDS,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.999)
    );
}

/// Requests that wait for a model that does not come.
fn waiting(it: &Deployment) {
    it.platform.weights().slow_down(1_000);
    let before = resident();
    let question = json!({ "model": "drafter", "messages": [{ "role": "user", "content": "x" }] });
    let body = question.to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut sockets = Vec::new();
    for _ in 0..WAITING {
        let mut socket = TcpStream::connect(it.entries[0].http_address()).unwrap();
        socket.write_all(request.as_bytes()).unwrap();
        sockets.push(socket);
    }
    thread::park_timeout(Duration::from_secs(2));
    let state = it.state(0);
    println!(
        "{} waiting: {:.1} KB each, all of one process with its callers",
        state["gauges"]["requests_waiting"],
        (resident() - before) as f64 / 1024.0 / WAITING as f64
    );
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}
