//! Responses forwarded to the caller.

use std::io::Read;

use rstest::rstest;

use citronrill_platform_standin::WorkerMode;

use crate::support::{Deployment, Request};

/// Guards against a truncated response that looks complete: an endpoint closes the connection in the
/// middle of a stream, and a caller that did not notice would act on partial data.
#[test]
fn an_aborted_stream_is_visibly_incomplete() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Break);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, false), "{response:?}");
    pool.wait_until("the aborted stream is logged", || {
        pool.entry.logged(&["event=finished", "id=id-1", "complete=false"])
    });
}

/// Guards against forwarding a success that lacks the endpoint's signature or names another request.
/// The caller gets 502, and a request that may run only once is not retried.
#[rstest]
#[case(WorkerMode::Unsigned)]
#[case(WorkerMode::WrongId)]
fn a_success_without_a_valid_signature_is_not_forwarded(#[case] mode: WorkerMode) {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(mode));
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert_eq!(response.status, 502, "{response:?}");
    assert!(response.body.contains("\"ran\":\"unknown\""), "{response:?}");
    let executed = pool.engines.iter().map(|engine| engine.executed().len()).sum::<usize>();
    assert_eq!(executed, 1);
}

/// Guards against buffering: events reach the caller as they are generated, not when the stream ends.
#[test]
fn events_are_forwarded_immediately() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.send(&Request::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 400];
    let read = stream.read(&mut first).unwrap();
    assert!(read > 0);
    assert_eq!(pool.engines[0].in_flight(), 1, "the stream has already ended");
}

/// Guards against wasted engine work: a caller disconnects in the middle of its stream, and the run is
/// cancelled.
#[test]
fn a_disconnected_caller_cancels_its_run() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.send(&Request::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 100];
    assert!(stream.read(&mut first).unwrap() > 0);
    drop(stream);
    pool.wait_until("the run is cancelled", || pool.engines[0].in_flight() == 0);
    pool.wait_until("the disconnect is logged", || pool.entry.logged(&["event=left", "id=id-1"]));
}

/// Guards against wasted engine work: a caller disconnects before the endpoint has sent the response
/// head, and the run is cancelled.
#[test]
fn a_disconnect_before_the_response_cancels_the_run() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Hang);
    let stream = pool.send(&Request::stream("/draft/x", "id-1", "m0"));
    pool.wait_until("the run has started", || pool.engines[0].in_flight() == 1);
    drop(stream);
    pool.wait_until("the run is cancelled", || pool.engines[0].in_flight() == 0);
}

/// An endpoint hangs. A resumable stream fails over to the other endpoint, and the first run is
/// cancelled.
#[test]
fn a_hung_endpoint_loses_what_may_run_again() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Hang);
    for index in 0..3 {
        let id = format!("id-{index}");
        let response = pool.request(&Request::stream("/chat/x", &id, "m0"));
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    }
    pool.wait_until("the engine has no runs left", || pool.engines[0].in_flight() == 0);
}

/// An endpoint hangs with a request that may run only once. The request ends at its route's timeout
/// with 504, which does not say whether it was executed.
#[test]
fn a_hung_call_ends_at_its_timeout() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(WorkerMode::Hang);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert_eq!(response.status, 504, "{response:?}");
}
