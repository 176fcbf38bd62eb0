//! Measures the overhead of the path through entry and side against direct calls to the same engine, and
//! the memory of waiting requests.

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
const WAITING_REQUESTS: usize = 4_000;
const RATE_SECONDS: u64 = 10;
const RATE: u64 = 200;

fn main() {
    let deployment = Deployment::start(1, 4);
    for _ in 0..3 {
        assert_eq!(deployment.chat(0, "north-key", "alpha", "wake up", false).0, 200);
    }
    let holder =
        deployment.engines.iter().find(|engine| !engine.ready_models().is_empty()).unwrap();
    latency(deployment.entries[0].http_address(), holder.address());
    streams("direct", holder.address());
    streams("through entry and side", deployment.entries[0].http_address());
    constant_rate(deployment.entries[0].http_address());
    waiting_memory(&deployment);
}

fn send_chat(address: SocketAddr, words: usize, stream: bool) -> attohttpc::Response {
    let text = (0..words).map(|word| format!("w{word}")).collect::<Vec<_>>().join(" ");
    let question = json!({ "model": "alpha", "stream": stream,
        "messages": [{ "role": "user", "content": text }] });
    let url = format!("http://{address}/v1/chat/completions");
    let request = attohttpc::post(url).bearer_auth("north-key").json(&question).unwrap();
    request.send().unwrap()
}

fn histogram() -> Histogram<u64> {
    // Without bounds, a value beyond the initial range would be recorded as its maximum.
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

fn latency(entry: SocketAddr, engine: SocketAddr) {
    let (mut direct, mut through) = (histogram(), histogram());
    for _ in 0..SEQUENTIAL {
        for (address, latencies) in [(engine, &mut direct), (entry, &mut through)] {
            let started = Instant::now();
            send_chat(address, 1, false).text_utf8().unwrap();
            latencies.saturating_record(started.elapsed().as_micros() as u64);
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

/// Measures tokens per second and the time between two tokens with many concurrent streams.
fn streams(target: &str, address: SocketAddr) {
    let started = Instant::now();
    let callers = (0..STREAMS).map(|_| {
        thread::spawn(move || {
            let (mut gaps, mut tokens) = (histogram(), 0_u64);
            let response = send_chat(address, WORDS, true);
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
        let (stream_gaps, count, stream_refused) = caller.join().unwrap();
        gaps.add(stream_gaps).unwrap();
        tokens += count;
        refused += stream_refused;
    }
    println!(
        "{STREAMS} streams {target}: {:.0} tokens/s, between tokens p50 {} p99 {} microseconds, {refused} refused",
        tokens as f64 / started.elapsed().as_secs_f64(),
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99)
    );
}

/// Sends short requests through one entry at a constant rate.
fn constant_rate(entry: SocketAddr) {
    let mut callers = Vec::new();
    let started = Instant::now();
    for number in 0..RATE * RATE_SECONDS {
        let due = Duration::from_millis(number * 1_000 / RATE);
        thread::park_timeout(due.saturating_sub(started.elapsed()));
        callers.push(thread::spawn(move || {
            let started = Instant::now();
            let status = send_chat(entry, 1, false).status().as_u16();
            (status, started.elapsed().as_micros() as u64)
        }));
    }
    let (mut latencies, mut served) = (histogram(), 0);
    for caller in callers {
        let (status, micros) = caller.join().unwrap();
        served += u64::from(status == 200);
        latencies.saturating_record(micros);
    }
    println!(
        "{RATE} requests/s for {RATE_SECONDS} s: {served} of {} served, p50 {} p99 {} p99.9 {} microseconds",
        RATE * RATE_SECONDS,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999)
    );
}

/// Measures the memory of requests that wait for a model whose load takes very long.
fn waiting_memory(deployment: &Deployment) {
    deployment.platform.weights().slow_down(1_000);
    let before = resident();
    let question = json!({ "model": "drafter", "messages": [{ "role": "user", "content": "x" }] });
    let body = question.to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut sockets = Vec::new();
    for _ in 0..WAITING_REQUESTS {
        let mut socket = TcpStream::connect(deployment.entries[0].http_address()).unwrap();
        socket.write_all(request.as_bytes()).unwrap();
        sockets.push(socket);
    }
    thread::park_timeout(Duration::from_secs(2));
    let state = deployment.state(0);
    println!(
        "{} waiting requests: {:.1} KB each, callers in the same process included",
        state["gauges"]["requests_waiting"],
        (resident() - before) as f64 / 1024.0 / WAITING_REQUESTS as f64
    );
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}
