//! Bounds on what an entry holds for callers.

use std::{io::Write, net::TcpStream, time::Duration};

use citronrill_platform_standin::{Endless, EndlessWorker};
use rstest::rstest;

use crate::support::{Deployment, Request, Response};

/// Callers that read nothing of their responses.
const SLOW_CALLERS: usize = 100;
/// Memory in kB that an entry may take for them: read-ahead of 64 KiB each, as much again in the HTTP
/// library's write buffers, and the connections themselves.
const MAX_MEMORY_KB: u64 = 16_384;
/// Milliseconds in which a response arrives if the request is read.
const READ_MS: u64 = 500;

/// Guards against an entry whose memory is filled by callers that do not read, and against other callers
/// who wait for these.
#[rstest]
#[case(Endless::Events, "/chat/x", "/book/x", "to=e1")]
#[case(Endless::Body, "/book/x", "/chat/x", "to=ledger-1")]
fn callers_that_do_not_read_are_bounded(
    #[case] kind: Endless,
    #[case] path: &str,
    #[case] other_path: &str,
    #[case] endpoint: &str,
) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let listed = if path == "/book/x" { &pool.ledger } else { &pool.engines[0] };
    let endless = EndlessWorker::start(listed.address().ip(), kind);
    listed.register_at(endless.address());
    pool.wait_until("the endpoint is used", || {
        drop(pool.request_head(&Request::on(path, "id-0")));
        endless.begun() > 0
    });
    let before = pool.entry.peak_kb();
    let send = |number| pool.send(&Request::on(path, &format!("id-{number}")));
    let slow = (1..=SLOW_CALLERS).map(send).collect::<Vec<_>>();
    let dispatched = || pool.entry.count(&["event=sent", endpoint]);
    pool.wait_until("responses run", || dispatched() > 20);
    let response = pool.request(&Request::on(other_path, "id-call"));
    assert_eq!(response.status, 200);
    std::thread::sleep(Duration::from_millis(READ_MS));
    let taken = pool.entry.peak_kb().saturating_sub(before);
    assert!(taken < MAX_MEMORY_KB, "{taken} kB");
    drop(slow);
}

/// Guards against an entry that gets ever more callers until it has no descriptors left: it reports that it is
/// not ready, leaves further connections unread, and comes back.
#[test]
fn an_entry_near_its_descriptors_is_not_ready() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    // Ten callers beside the descriptors for files and control connections.
    pool.restart_entry_with("[resources]\nmax_fds = 520\n");
    pool.wait_until("the entry is ready", || pool.ready());
    let connect = |_| TcpStream::connect(pool.caller_address).unwrap();
    let mut held = (0..8).map(connect).collect::<Vec<_>>();
    pool.wait_until("the entry is busy", || !pool.ready());
    held.extend((8..10).map(connect));
    pool.wait_until("ten are accepted", || {
        pool.entry.metric("citronrill_caller_connections ") == 10
    });
    let mut unread = pool.send(&Request::call("/book/x", "id-unread"));
    unread.set_read_timeout(Some(Duration::from_millis(READ_MS))).unwrap();
    assert!(unread.peek(&mut [0]).is_err());
    drop(held);
    unread.set_read_timeout(Some(crate::support::WAIT_TIMEOUT)).unwrap();
    assert_eq!(Response::read(&mut unread).status, 200);
    pool.wait_until("the entry is ready again", || pool.ready());
}

/// Guards against an entry that holds more bytes for requests than it has memory: the request is refused as
/// not run, with a retry time, and later ones are served.
#[test]
fn requests_beyond_the_memory_are_refused() {
    let mut pool = Deployment::start(&[("e1", &["m0"])]);
    pool.restart_entry_with("[resources]\nmemory_mb = 1\n");
    pool.wait_until("the entry is ready", || pool.ready());
    let body = vec![b'x'; 99_000];
    let unfinished = |id: &str| {
        let request = Request { body: &body, ..Request::call("/book/x", id) };
        let bytes = request.bytes();
        let mut stream = TcpStream::connect(pool.caller_address).unwrap();
        stream.set_read_timeout(Some(crate::support::WAIT_TIMEOUT)).unwrap();
        let (sent, rest) = bytes.split_at(bytes.len() - 1);
        stream.write_all(sent).unwrap();
        (stream, rest.to_vec())
    };
    let mut held = ["id-1", "id-2", "id-3"].map(unfinished);
    pool.wait_until("the bodies are buffered", || {
        pool.entry.metric("citronrill_buffered_bytes ") > 3 * 98_000
    });
    let refused = pool.request(&Request::call("/book/x", "id-4"));
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some());
    for (stream, rest) in &mut held {
        stream.write_all(rest).unwrap();
        assert_eq!(Response::read(stream).status, 200);
    }
    assert_eq!(pool.request(&Request::call("/book/x", "id-5")).status, 200);
}
