//! Workers that restart under the same name, and invalid entries in the member list.

use crate::support::{Deployment, Request};

/// A worker restarts under its name between two polls and has no models loaded. A request for a model
/// that it held before is served once the model is reloaded, and the worker detects no violation by an
/// order.
#[test]
fn a_restarted_worker_reloads_its_models() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    // The first incarnation does not report its start time.
    pool.wait_until("the first incarnation is logged", || {
        pool.sides[0].logged(&["event=start_untold"])
    });
    for born in [1_790_000_000_000u64, 1_790_000_060_000] {
        let id = format!("id-{born}");
        pool.engines[0].restart(born);
        let start_time = format!("started={born}");
        let side = &pool.sides[0];
        pool.wait_until("the side has detected the restart", || {
            side.logged(&["event=endpoint_restarted", &start_time])
        });
        pool.wait_until("the entry has detected the restart", || {
            pool.entry.logged(&["event=restarted", &start_time])
        });
        assert_eq!(pool.request(&Request::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert_eq!(pool.engines[0].violations(), Vec::<String>::new());
}

/// The member list contains invalid entries: one that is not JSON, one of an unknown service, and a
/// worker's address under another name with a field of the wrong type. Each is logged, and the workers
/// stay in use.
#[test]
fn invalid_list_entries_are_ignored() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let address = pool.ledger.address();
    let entry = |service: &str, slots: &str| {
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":{slots},
            "state":"ready","cold_remaining_ms":0,"sequence":1}}"#
        )
    };
    pool.store.put("servers", "x1", Some(b"\xff{not json".to_vec()));
    pool.store.put("servers", "x2", Some(entry("elsewhere", "24").into_bytes()));
    pool.store.put("servers", "x 3\n", Some(entry("ledger", "\"24\"").into_bytes()));
    for line in [
        &["event=member_unreadable", "instance=\"x1\""][..],
        &["event=unknown_service", "instance=x2"][..],
        &["event=member_unreadable", "instance=\"x 3\\n\""][..],
    ] {
        pool.wait_until("the invalid entry is logged", || pool.entry.logged(line));
    }
    assert_eq!(pool.request(&Request::call("/book/x", "id-1")).status, 200);
    assert_eq!(pool.request(&Request::stream("/draft/x", "id-2", "m0")).status, 200);
}

/// A worker's valid list entry is overwritten with an invalid one. The worker gets no requests until it
/// writes a valid entry again.
#[test]
fn an_invalid_list_entry_removes_its_worker() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::call("/book/x", "id-1")).status, 200);
    pool.store.put("servers", "ledger-1", Some(b"{}".to_vec()));
    pool.wait_until("the invalid entry is logged", || {
        pool.entry.logged(&["event=member_unreadable", "ledger-1"])
    });
    assert_eq!(pool.request(&Request::call("/book/x", "id-2")).status, 503);
    pool.ledger.register("ready");
    pool.wait_until("the worker is back", || {
        pool.request(&Request::call("/book/x", "id-3")).status == 200
    });
}
