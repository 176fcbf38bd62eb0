//! Responses of workers in trouble, on each kind of route.

use std::{io::Write, net::TcpStream};

use citronrill_platform_standin::{
    Outcome, RawEnd, RawResponse, RawWorker, ResponseCase, WorkerMode, response_cases,
};
use rstest::rstest;

use crate::support::{Deployment, Request, Response, WAIT_TIMEOUT};

const SIGNATURE: &str = "X-Citronrill-Server-Signature: s\r\n";
const DEADLINE_MS: u32 = 700;
const PLAIN_BODY: &str = "the whole body";
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// Returns what is wrong with what a caller got, if anything.
fn fault(case: &ResponseCase, response: &Response, body: &str) -> Option<String> {
    let success = (200..300).contains(&response.status) && response.complete;
    let whole = success && response.decoded_body() == body;
    let right = match case.outcome {
        Outcome::Whole => whole,
        Outcome::Empty => response.status < 400 && response.body.len() <= "0\r\n\r\n".len(),
        // A connection that closes before a response promises nothing.
        Outcome::Refused => {
            matches!(response.status, 0 | 502 | 504) || response.status == 200 && !response.complete
        }
    };
    let name = format!("{} {}", case.section, case.name);
    (!right).then(|| format!("{name}: {} {:?}", response.status, response.body))
}

/// Guards against a broken response that reaches its caller as a whole one, or as another than the worker's.
#[rstest]
#[case("/book/x")]
#[case("/status/x")]
#[case("/draft/x")]
#[case("/chat/x")]
fn a_spoilt_response_reaches_no_caller_as_a_whole_one(#[case] path: &str) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let plain = !matches!(path, "/draft/x" | "/chat/x");
    let send = |id: &str| {
        let request = if plain { Request::call(path, id) } else { Request::stream(path, id, "m0") };
        // A stream that breaks off waits for another endpoint until its deadline.
        let bytes = String::from_utf8(request.bytes()).unwrap();
        let bytes = bytes.replace("Deadline-Ms: 5000", &format!("Deadline-Ms: {DEADLINE_MS}"));
        let mut stream = TcpStream::connect(pool.caller_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        Response::read(&mut stream)
    };
    let listed = if plain { &pool.ledger } else { &pool.engines[0] };
    let worker = RawWorker::start(listed.address().ip(), RawResponse::new("", RawEnd::Close));
    listed.register_at(worker.address());
    let (body, kind) =
        if plain { (PLAIN_BODY, "") } else { (EVENTS, "Content-Type: text/event-stream\r\n") };
    let fields = format!("{SIGNATURE}{kind}");
    worker.set_response(response_cases().next().unwrap().response(&fields, body));
    pool.wait_until("the worker is used", || {
        send("id-0");
        worker.requests() > 0
    });
    let mut faults = Vec::new();
    for (index, case) in response_cases().enumerate() {
        worker.set_response(case.response(&fields, body));
        let response = send(&format!("id-{index}"));
        faults.extend(fault(case, &response, body));
    }
    assert!(
        faults.is_empty(),
        "{} of {} on {path}:\n{}",
        faults.len(),
        response_cases().count(),
        faults.join("\n")
    );
}

/// Guards against a stream that is resumed with a broken response, whose bytes are not the worker's events.
#[rstest]
fn a_spoilt_response_does_not_resume_a_stream(
    #[values(
        "chunks misspelt",
        "chunks twice, in one line",
        "a length and chunks",
        "name of the chunks misspelt",
        "an unknown coding after chunks",
        "an interim response with a length"
    )]
    name: &str,
) {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Break);
    let case = response_cases().find(|case| case.name == name).unwrap();
    let fields = format!("{SIGNATURE}Content-Type: text/event-stream\r\n");
    let rest = "id: 2\ndata: spoilt\n\nid: 3\ndata: spoilt\n\n";
    let ip = pool.engines[1].address().ip();
    let worker = RawWorker::start(ip, case.response(&fields, rest));
    pool.engines[1].register_at(worker.address());
    pool.wait_until("the worker is used", || {
        pool.request(&Request::stream("/chat/x", "id-0", "m0"));
        worker.requests() > 0
    });
    let before = worker.requests();
    pool.wait_until("streams are resumed", || {
        let response = pool.request(&Request::stream("/chat/x", "id", "m0"));
        assert!(response.status != 200 || !response.complete, "{response:?}");
        assert!(!response.body.contains("spoilt"), "{response:?}");
        worker.requests() > before + 2 && pool.entry.count(&["event=sent", "to=e1"]) > 2
    });
}
