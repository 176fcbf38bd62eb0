//! Endpoints that want no requests for a while, over real processes.

use std::{
    thread,
    time::{Duration, Instant},
};

use citronrill_platform_standin::{Worker, WorkerMode};
use rstest::rstest;

use crate::support::{Deployment, Request, Response};

/// Seconds that the endpoint asks for.
const BACKOFF_S: &str = "2";
const BACKOFF: Duration = Duration::from_secs(2);
/// Between two requests: their streams together fit into one engine.
const PAUSE: Duration = Duration::from_millis(60);
/// How long requests may be on their way; the platform permits half a second.
const ON_THE_WAY: Duration = Duration::from_millis(500);

fn worker<'a>(pool: &'a Deployment, path: &str) -> &'a Worker {
    if path.starts_with("/book/") { &pool.ledger } else { &pool.engines[0] }
}

/// Guards against requests to an endpoint that has turned one away and wants no others, and against callers
/// who are not told when to come back.
#[rstest]
#[case::engine("/draft/x", 200)]
#[case::plain("/book/x", 503)]
fn an_endpoint_that_wants_no_requests_for_a_while_gets_none(
    #[case] path: &'static str,
    #[case] status: u16,
) {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    assert_eq!(pool.request(&Request::on(path, "before")).status, 200);
    let worker = worker(&pool, path);
    worker.turn_away(Some(BACKOFF_S));
    let begun = Instant::now();
    let mut connections = Vec::new();
    while begun.elapsed() < BACKOFF {
        connections.push(pool.send(&Request::on(path, "meanwhile")));
        thread::sleep(PAUSE);
    }
    for mut connection in connections {
        let response = Response::read(&mut connection);
        assert_eq!(response.status, status);
        assert_eq!(response.header("retry-after").is_some(), status == 503);
    }
    let received = worker.received();
    let first = received.iter().find(|(_, id)| id == "meanwhile").unwrap().0;
    let in_backoff = first + ON_THE_WAY..first + BACKOFF;
    let late = received.iter().filter(|(at, _)| in_backoff.contains(at)).count();
    assert_eq!(late, 0, "of {} received", received.len());
    worker.set_mode(WorkerMode::Normal);
    pool.wait_until("it serves again", || pool.request(&Request::on(path, "after")).status == 200);
}
