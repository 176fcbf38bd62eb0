//! Streams that resume at another worker after theirs has failed.

use rstest::rstest;

use citronrill_platform_standin::WorkerMode;

use crate::support::{Deployment, Request, Response};

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Starts a pool of two workers that both hold `m0` and behave as `mode` says. The entry has seen one
/// stream fail, so it requests KV backups. A request may go to either worker.
fn pool_with_backups(mode: WorkerMode) -> Deployment {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(WorkerMode::Break));
    let response = pool.request(&Request::stream("/draft/x", "lost", "m0"));
    assert!(!response.complete, "resumed without a backup");
    pool.engines.iter().for_each(|engine| engine.set_mode(mode));
    pool
}

/// A worker fails in the middle of a stream that may run only once, between two events or within one. The
/// other worker resumes from its KV backup, and the caller gets each event exactly once.
#[rstest]
#[case(WorkerMode::BreakThenRun)]
#[case(WorkerMode::BreakMidEvent)]
fn a_stream_resumes_from_its_kv_backup(#[case] mode: WorkerMode) {
    let pool = pool_with_backups(mode);
    let response = pool.request(&Request::stream("/draft/x", "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.event_ids(), (0..20).collect::<Vec<_>>());
    let after = pool.engines.iter().filter_map(|engine| engine.last_header("last-event-id"));
    assert_eq!(
        after.collect::<Vec<_>>(),
        ["1"],
        "one worker started the run, the other resumed it"
    );
    let executed =
        pool.engines.iter().flat_map(|engine| engine.executed()).filter(|id| id == "id-1");
    assert_eq!(executed.count(), 1, "the run was started more than once");
    pool.wait_until("the resumption is logged", || pool.entry.logged(&["event=sent", "copy=true"]));
    pool.wait_until("no engine has a run left", || {
        pool.engines.iter().all(|engine| engine.in_flight() == 0)
    });
}

/// A resumable stream resumes at another worker without a KV backup.
#[test]
fn a_resumable_stream_resumes_without_a_backup() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(WorkerMode::BreakThenRun));
    let response = pool.request(&Request::stream("/chat/x", "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.event_ids(), (0..20).collect::<Vec<_>>());
}

/// Guards against a caller that waits until a stalled instance (engine and side) responds again.
#[test]
fn a_resumable_stream_fails_over_from_a_stalled_instance() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(WorkerMode::StallThenRun));
    let mut stream = pool.send(&Request::stream("/chat/x", "id-1", "m0"));
    let running = || pool.engines.iter().position(|engine| engine.in_flight() == 1);
    pool.wait_until("a worker runs the request", || running().is_some());
    let side = &pool.sides[running().unwrap()];
    side.signal(SIGSTOP);
    let response = Response::read(&mut stream);
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.event_ids(), (0..20).collect::<Vec<_>>());
    let logged = |parts: &[&str]| pool.entry.logged(parts);
    assert!(logged(&["event=stands_still"]) && logged(&["event=moved", "id=id-1", "begun=true"]));
    side.signal(SIGCONT);
    pool.wait_until("the instance responds again", || logged(&["event=moves_again"]));
}

/// The worker that resumes the stream fails too. Its error response is not appended to the stream, which
/// ends there, visibly incomplete.
#[rstest]
#[case("/draft/x")]
#[case("/chat/x")]
fn a_failed_resume_leaves_the_stream_incomplete(#[case] path: &str) {
    let pool = pool_with_backups(WorkerMode::BreakThenFail);
    let response = pool.request(&Request::stream(path, "id-1", "m0"));
    assert_eq!((response.status, response.complete), (200, false), "{response:?}");
    assert!(!response.body.contains("failed"), "{response:?}");
    pool.wait_until("the aborted stream is logged", || {
        pool.entry.logged(&["event=cut", "reason=broken"])
    });
}

/// The caller disconnects while another worker resumes its stream. That run is cancelled too.
#[test]
fn a_disconnected_caller_cancels_a_resumed_run() {
    let pool = pool_with_backups(WorkerMode::BreakThenHang);
    let stream = pool.send(&Request::stream("/draft/x", "id-1", "m0"));
    pool.wait_until("the stream is resumed", || {
        pool.entry.logged(&["event=sent", "id=id-1", "copy=true"])
    });
    pool.wait_until("a worker runs the request", || {
        pool.engines.iter().any(|engine| engine.in_flight() == 1)
    });
    drop(stream);
    pool.wait_until("no engine has a run left", || {
        pool.engines.iter().all(|engine| engine.in_flight() == 0)
    });
    pool.wait_until("the disconnect is logged", || pool.entry.logged(&["event=left", "id=id-1"]));
}
