//! Responses of plain endpoints in trouble, through a side and an entry.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpStream},
};

use citronrill_platform_standin::{Outcome, RawEnd, RawResponse, RawWorker, response_cases};
use rstest::rstest;

use crate::support::{Deployment, WAIT_TIMEOUT};

const BODY: &str = "the whole body";

/// Sends a call; returns the status, the decoded body and whether it is complete.
fn call(deployment: &Deployment, path: &str) -> (u16, String, bool) {
    let mut stream = TcpStream::connect(deployment.entries[0].http_address()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = format!(
        "GET /services/ledger{path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\n\
         X-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, mut rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if !head.contains("chunked") {
        return (status, rest.to_owned(), true);
    }
    let (complete, mut body) = (rest.ends_with("0\r\n\r\n"), String::new());
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        body.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    (status, body, complete)
}

fn worker() -> RawWorker {
    RawWorker::start(Ipv4Addr::LOCALHOST.into(), RawResponse::new("", RawEnd::Close))
}

/// Guards against a broken response that reaches its caller as a whole one, or as another than the endpoint's.
#[rstest]
fn a_spoilt_response_of_a_plain_endpoint_is_not_whole(
    #[values(
        "chunks misspelt",
        "chunks twice, in one line",
        "a length and chunks",
        "two lengths, in two lines",
        "name of the chunks misspelt",
        "a blank in the name of the length",
        "status 999",
        "an interim response with a length",
        "the length twice, in one line",
        "no length"
    )]
    name: &str,
) {
    let worker = worker();
    let deployment = Deployment::start_with(1, 1, Some(worker.address()));
    let case = response_cases().find(|case| case.name == name).unwrap();
    worker.set_response(case.response("X-Entry: yes\r\n", BODY));
    let (status, body, complete) = call(&deployment, "/x");
    assert!(worker.requests() > 0);
    let whole = status == 200 && complete && body == BODY;
    match case.outcome {
        Outcome::Whole => assert!(whole, "{status} {body:?}"),
        _ => assert!(!complete || status >= 500 && body != BODY, "{status} {body:?}"),
    }
}

/// Guards against a part of a response without length that looks complete, as the endpoint that wrote it has ended.
#[rstest]
fn a_response_that_was_cut_by_a_crash_is_not_complete(#[values("", "a part")] part: &str) {
    let worker = worker();
    let deployment = Deployment::start_with(1, 1, Some(worker.address()));
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    worker.set_response(RawResponse::new(format!("{head}{part}"), RawEnd::Crash));
    let (status, _, complete) = call(&deployment, "/x");
    assert!(status != 200 || !complete, "{status}");
}
