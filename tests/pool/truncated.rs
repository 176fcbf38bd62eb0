//! Responses without length or chunks, which end with the endpoint's connection.

use std::{io::Write, net::TcpStream};

use rstest::rstest;

use citronrill_platform_standin::{Framing, RawEnd, RawResponse, RawWorker, WorkerMode};

use crate::support::{Deployment, Request, Response, WAIT_TIMEOUT};

/// Starts a pool of two workers that both hold `m0`, behave as `mode` says and delimit streams by
/// `framing`.
fn pool(framing: Framing, mode: WorkerMode) -> Deployment {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    for engine in &pool.engines {
        engine.set_framing(framing);
        engine.set_mode(mode);
    }
    pool
}

/// Guards against a stream that was cut inside an event and reaches its caller as a complete one.
#[rstest]
fn a_stream_cut_inside_an_event_does_not_look_complete(
    #[values(Framing::UntilClose, Framing::UntilReset, Framing::Chunked)] framing: Framing,
    #[values(WorkerMode::BreakMidEvent, WorkerMode::BreakMidBlank)] mode: WorkerMode,
) {
    let pool = pool(framing, mode);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, false), "{response:?}");
    assert_eq!(response.event_ids(), [0, 1], "an incomplete event was forwarded");
    pool.wait_until("the end is logged", || {
        pool.entry.logged(&["event=finished", "id=id-1", "complete=false"])
    });
}

/// Guards against a resumable stream that was cut inside an event and is not resumed, as its end was
/// taken for that of the response.
#[rstest]
fn a_resumable_stream_cut_inside_an_event_is_resumed(
    #[values(Framing::UntilClose, Framing::UntilReset, Framing::Chunked)] framing: Framing,
    #[values(WorkerMode::BreakMidEvent, WorkerMode::BreakMidBlank)] mode: WorkerMode,
) {
    let pool = pool(framing, mode);
    let response = pool.request(&Request::stream("/chat/x", "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.event_ids(), (0..20).collect::<Vec<_>>());
}

/// Guards against a stream that was cut and looks complete to a caller without chunks, which sees only the
/// end of the connection.
#[rstest]
#[case(WorkerMode::BreakMidEvent, 502)]
#[case(WorkerMode::Normal, 200)]
fn a_caller_without_chunks_gets_a_length(#[case] mode: WorkerMode, #[case] status: u16) {
    let pool = pool(Framing::Chunked, mode);
    let request = Request::stream("/draft/x", "id-1", "m0").bytes();
    let request = String::from_utf8(request).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(pool.caller_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let response = Response::read(&mut stream);
    assert_eq!((response.status, response.complete), (status, true), "{response:?}");
    assert!(response.header("content-length").is_some(), "{response:?}");
}

/// Guards against a stream that was cut before its first event and reaches its caller as an empty,
/// complete one.
#[rstest]
fn a_stream_cut_before_its_first_event_does_not_look_complete(
    #[values(Framing::UntilClose, Framing::UntilReset, Framing::Chunked)] framing: Framing,
) {
    let pool = pool(framing, WorkerMode::BreakAtStart);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert!(!response.complete || response.status == 502, "{response:?}");
}

/// Guards against a whole stream that is taken for a broken one, as it ends with its connection.
#[rstest]
fn a_whole_stream_that_ends_with_its_connection_is_complete(
    #[values("/draft/x", "/chat/x")] path: &str,
) {
    let pool = pool(Framing::UntilClose, WorkerMode::Normal);
    let response = pool.request(&Request::stream(path, "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.event_ids(), (0..20).collect::<Vec<_>>());
    let executed = pool.engines.iter().map(|engine| engine.executed().len()).sum::<usize>();
    assert_eq!(executed, 1);
}

/// Guards against a part of a plain response without length that reaches its caller as the whole one, as the worker
/// that wrote it has ended.
#[rstest]
fn a_plain_response_that_was_cut_by_a_crash_does_not_look_complete(
    #[values("/book/x", "/status/x")] path: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values("", "a part")] part: &str,
) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let head = format!("{version} 200 OK\r\nX-Citronrill-Server-Signature: s\r\n\r\n");
    let response = RawResponse::new(format!("{head}{part}"), RawEnd::Close);
    let worker = RawWorker::start(pool.ledger.address().ip(), response.clone());
    pool.ledger.register_at(worker.address());
    pool.wait_until("the worker is used", || {
        pool.request(&Request::call("/book/x", "id-0"));
        worker.requests() > 0
    });
    let whole = pool.request(&Request::call(path, "id-1"));
    assert_eq!((whole.status, whole.complete), (200, true), "{whole:?}");
    worker.set_response(RawResponse { end: RawEnd::Crash, ..response });
    let cut = pool.request(&Request::call(path, "id-2"));
    assert!(cut.status != 200 || !cut.complete, "{cut:?}");
}
