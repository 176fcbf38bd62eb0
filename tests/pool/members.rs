//! Workers that start again under their names, and entries of the list that others have written.

use crate::support::{Ask, Deployment};

/// A worker starts again under its name between two looks and holds nothing. A caller asks for a model
/// that it held; the request is served once the model is back, and no order breaks a promise.
#[test]
fn a_worker_that_starts_again_is_filled_again() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    // The first start does not say when it began.
    pool.until("it is seen", || pool.sides[0].logged(&["event=start_untold"]));
    for born in [1_790_000_000_000u64, 1_790_000_060_000] {
        let id = format!("id-{born}");
        pool.engines[0].restart(born);
        let told = format!("started={born}");
        let side = &pool.sides[0];
        pool.until("the side has seen it", || side.logged(&["event=endpoint_restarted", &told]));
        pool.until("so has the entry", || pool.entry.logged(&["event=restarted", &told]));
        assert_eq!(pool.ask(&Ask::stream("/draft/x", &id, "m0")).status, 200);
    }
    assert_eq!(pool.engines[0].broken(), Vec::<String>::new());
}

/// Others write into the list: no JSON, a service that nobody serves, a worker's address under another
/// name with a field of another type. Each is in the log once, and the workers go on being used.
#[test]
fn foreign_entries_take_no_place() {
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
        pool.until("it is in the log", || pool.entry.logged(line));
    }
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-1")).status, 200);
    assert_eq!(pool.ask(&Ask::stream("/draft/x", "id-2", "m0")).status, 200);
}

/// A worker's entry is spoilt after it was good. It names no worker any more; the next one that the
/// worker writes does.
#[test]
fn a_spoilt_entry_names_no_worker() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-1")).status, 200);
    pool.store.put("servers", "ledger-1", Some(b"{}".to_vec()));
    pool.until("it is in the log", || pool.entry.logged(&["event=member_unreadable", "ledger-1"]));
    assert_eq!(pool.ask(&Ask::call("/book/x", "id-2")).status, 503);
    pool.ledger.list("ready");
    pool.until("it is back", || pool.ask(&Ask::call("/book/x", "id-3")).status == 200);
}
