//! A platform store that comes back from a copy, over real processes.

use citronrill_platform_standin::Outage;
use rstest::rstest;

use crate::support::{Deployment, Request, config};

/// Rows of no endpoint that are written after the copy, and are gone with it.
const LOST_ROWS: usize = 30;

fn write_rows(pool: &Deployment, count: usize) {
    for number in 0..count {
        pool.store.put("elsewhere", &format!("row-{number}"), Some(b"x".to_vec()));
    }
}

/// Guards against an endpoint that gets requests although the store says that it leaves, because the
/// versions of the store are below those from before it came back from a copy, or mean something else.
#[rstest]
#[case::below_the_known_version(0)]
#[case::at_the_known_version(LOST_ROWS)]
#[case::beyond_the_known_version(2 * LOST_ROWS)]
fn a_leaving_endpoint_is_known_after_the_store_came_back(#[case] rows: usize) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let request = |id| pool.request(&Request::call("/book/x", id)).status;
    assert_eq!(request("before"), 200);
    let copy = pool.store.copy();
    write_rows(&pool, LOST_ROWS);
    // The entry has read a version from after the copy.
    pool.store.put("op", "config", Some(config(2, &["/added/"])));
    pool.wait_until("the entry has the configuration", || {
        pool.entry.logged(&["event=text ", "version=2"])
    });
    pool.ledger.register("ready");
    let list = format!("list={} ", pool.store.version());
    pool.wait_until("the entry has read the list", || {
        pool.request(&Request::call("/added/x", "added")).status == 200
            && pool.entry.logged(&["event=sent", &list])
    });
    pool.store.set_outage(Some(Outage::Refuse));
    pool.store.restore(&copy);
    pool.ledger.register("draining");
    write_rows(&pool, rows);
    pool.store.set_outage(None);
    pool.wait_until("the entry knows that the endpoint leaves", || request("leaves") == 503);
    // The configuration in force is the operator's newest, though the store has an older one.
    assert_eq!(pool.request(&Request::call("/nowhere/x", "nowhere")).status, 404);
    assert_eq!(pool.request(&Request::call("/added/x", "kept")).status, 503);
}
