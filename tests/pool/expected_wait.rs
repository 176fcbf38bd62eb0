//! The choice by expected wait, over real processes.

use std::thread;

use citronrill_platform_standin::SharedHost;

use crate::support::{Deployment, Request};

const CALLERS: usize = 8;
const CALLS: usize = 25;

fn host(pace: u32) -> SharedHost {
    SharedHost { slots: 6, work_ms: 20, pace }
}

/// Guards against a slow endpoint that gets as many calls as a fast one, because both have the same number
/// of requests most of the time.
#[test]
fn a_slow_plain_endpoint_gets_fewer_calls() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let slow = pool.add_ledger("ledger-2");
    pool.ledger.set_host(host(100));
    slow.set_host(host(500));
    let call = |id: &str| pool.request(&Request::call("/status/x", id)).status;
    pool.wait_until("both are used", || {
        let before = slow.executed().len();
        call("first");
        slow.executed().len() > before
    });
    let before = (pool.ledger.executed().len(), slow.executed().len());
    let statuses = thread::scope(|scope| {
        let caller = |caller: usize| {
            let call = &call;
            scope.spawn(move || {
                (0..CALLS).map(|number| call(&format!("c{caller}-{number}"))).collect::<Vec<_>>()
            })
        };
        let callers = (0..CALLERS).map(caller).collect::<Vec<_>>();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect::<Vec<_>>()
    });
    assert_eq!(statuses, vec![200; CALLERS * CALLS]);
    let fast_calls = pool.ledger.executed().len() - before.0;
    let slow_calls = slow.executed().len() - before.1;
    assert!(fast_calls > 2 * slow_calls, "{fast_calls} {slow_calls}");
    assert!(pool.entry.logged(&["event=sent ", " to=ledger-1 ", " wait_ms="]));
}

/// Guards against an entry that has just started and knows the pace of an engine only from its own responses.
#[test]
fn an_entry_learns_the_pace_of_an_engine_from_its_side() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::on("/draft/x", "before")).status, 200);
    assert!(!pool.entry.logged(&["event=sent ", " wait_ms="]));
    pool.engines[0].set_host(host(150));
    pool.wait_until("the side has told the pace", || {
        let (entry, address) = pool.add_entry_at();
        // Its first request: it has had no response.
        pool.request_at(address, &Request::on("/draft/x", "first"));
        entry.logged(&["event=sent ", " to=e1 ", " wait_ms="])
    });
}
