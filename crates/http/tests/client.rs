//! Calls to endpoints in trouble.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use std::{io::Read, net::Ipv4Addr, time::Duration};

use citronrill_http::client::{Call, ClientError, Response};
use citronrill_platform_standin::{Outcome, RawEnd, RawResponse, RawWorker, response_cases};
use rstest::rstest;

const BODY: &str = "the whole body";

fn worker(response: RawResponse) -> RawWorker {
    RawWorker::start(Ipv4Addr::LOCALHOST.into(), response)
}

fn call(worker: &RawWorker) -> Result<Response, ClientError> {
    let call = Call::new("GET", worker.address(), "/").read_timeout(Duration::from_secs(5));
    call.send(&mut [].as_slice())
}

/// Guards against a broken response that is taken for a whole one, or for another than the endpoint's.
#[test]
fn each_response_has_its_outcome() {
    let worker = worker(RawResponse::new("", RawEnd::Close));
    let mut wrong = Vec::new();
    for case in response_cases() {
        worker.set_response(case.response("X-A: a\r\n", BODY));
        let body = call(&worker).and_then(|mut response| {
            let mut body = String::new();
            response.read_to_string(&mut body)?;
            Ok(body)
        });
        let expected = match case.outcome {
            Outcome::Whole => Some(BODY),
            Outcome::Empty => Some(""),
            Outcome::Refused => None,
        };
        if body.as_deref().ok() != expected {
            wrong.push(format!("{} {}: {body:?}", case.section, case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a body beyond its limit that is kept in memory.
#[rstest]
#[case(BODY.len(), true)]
#[case(BODY.len() - 1, false)]
fn a_body_has_a_limit(#[case] limit: usize, #[case] fits: bool) {
    let worker = worker(response_cases().next().unwrap().response("", BODY));
    let bytes = call(&worker).unwrap().into_bytes(limit);
    assert_eq!(bytes.is_ok(), fits, "{bytes:?}");
}

/// Guards against a request that a header or path divides in two.
#[test]
fn a_request_that_would_become_two_is_not_sent() {
    let worker = worker(response_cases().next().unwrap().response("", BODY));
    let send = |call: Call<'_>| call.send(&mut [].as_slice()).is_err();
    assert!(send(Call::new("GET", worker.address(), "/ HTTP/1.1\r\nx: y")));
    assert!(send(Call::new("GET", worker.address(), "/").header("a", "b\r\nc: d")));
    assert!(send(Call::new("GET", worker.address(), "/").header("a b", "c")));
    assert!(send(Call::new("G T", worker.address(), "/")));
    assert_eq!(worker.requests(), 0);
}
