//! Limits that endpoints name, over real processes.

use std::thread;

use citronrill_platform_standin::Worker;
use rstest::rstest;

use crate::support::{Deployment, Request, Response};

/// Requests that each of two entries gets at once.
const BURST: usize = 20;
/// Requests that may run of these: the platform permits five, and some of the rate.
const MAX_RUNS: usize = 10;

/// Guards against an endpoint that gets more than the limit that it names from two entries together, and
/// against callers who are not told to come back; and against a limit that holds on when it was lifted.
#[rstest]
#[case::engine("/draft/x")]
#[case::plain("/book/x")]
fn two_entries_keep_to_the_limit_of_an_endpoint(#[case] path: &'static str) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let (second, address) = pool.add_entry_at();
    pool.wait_until("the second entry is connected", || {
        pool.sides[0].count(&["entry_connected"]) >= 2 && second.logged(&["event=text "])
    });
    let worker: &Worker = if path.starts_with("/book/") { &pool.ledger } else { &pool.engines[0] };
    let entries = [pool.caller_address, address];
    worker.set_limit(Some("0.1"));
    for (entry, id) in entries.iter().zip(["first-1", "first-2"]) {
        assert_eq!(pool.request_at(*entry, &Request::on(path, id)).status, 200);
    }
    let before = worker.executed().len();
    let responses = thread::scope(|scope| {
        let calls = (0..2 * BURST).map(|number| {
            let (pool, entry) = (&pool, entries[number % 2]);
            let id = format!("burst-{number}");
            scope.spawn(move || pool.request_at(entry, &Request::on(path, &id)))
        });
        let calls = calls.collect::<Vec<_>>();
        calls.into_iter().map(|call| call.join().unwrap()).collect::<Vec<Response>>()
    });
    let ran = worker.executed().len() - before;
    assert!(ran <= MAX_RUNS, "{ran} ran");
    let refused = responses.iter().filter(|response| response.status == 503);
    assert!(refused.clone().all(|response| response.header("retry-after").is_some()));
    assert!(refused.count() >= 2 * BURST - MAX_RUNS);
    worker.set_limit(None);
    pool.wait_until("the limit is lifted", || {
        let statuses = (0..3).map(|_| pool.request(&Request::on(path, "later")).status);
        statuses.collect::<Vec<_>>() == [200; 3]
    });
}
