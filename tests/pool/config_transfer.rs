//! Transfer of a large configuration to entries behind slow links.

use citronrill_platform_standin::Fault;

use crate::support::{Deployment, Process, large_config, wait_until};

/// Additional routes, for a configuration of about half a megabyte.
const EXTRA_ROUTES: usize = 2_000;
/// Size of a configuration in the store's encoding, in thirds of its own size.
const STORE_SIZE_THIRDS: u64 = 4;

fn has_config(entry: &Process, version: u64) -> bool {
    entry.logged(&["event=text ", &format!("version={version} ")])
}

/// Waits until the entry has its first configuration and all sides are connected to two entries.
fn wait_connected(pool: &Deployment, entry: &Process) {
    wait_until("the first configuration is in use", || has_config(entry, 1));
    let connected = |side: &Process| side.logged(&["event=entry_connected", "entries=2"]);
    wait_until("the sides are connected", || pool.sides.iter().all(connected));
}

/// Guards against redundant configuration transfers that saturate a slow link. If sides send a copy to
/// each entry that has not reported the new version after 0.4 s, all of them do so to an entry on a
/// 10 Mbit/s link, which needs 0.9 s for a configuration with 1,400 new routes. With 55 sides, 1,221 copies
/// (672 MB) were begun within two seconds and none was completed. They delayed the entry's own read of the
/// store beyond its timeout of 3 s, and new routes stayed unknown for minutes. The sides logged
/// `event=entry_lost` for each copy and not one `event=text_sent`; entries on 200 Mbit/s links were not
/// affected.
#[test]
fn a_large_config_crosses_a_slow_link_once() {
    let engines = [("e1", &["m0"] as &[_]), ("e2", &["m0"]), ("e3", &["m0"])];
    let more = [("e4", &["m0"] as &[_]), ("e5", &["m0"]), ("e6", &["m0"])];
    let pool = Deployment::start(&[engines, more].concat());
    let slow_entry = pool.entry_behind_link(800_000);
    wait_connected(&pool, &slow_entry.process);
    let received_before = slow_entry.link.inbound_bytes();
    let config = large_config(2, EXTRA_ROUTES);
    let size = config.len() as u64;
    pool.store.put("op", "config", Some(config));
    wait_until("the configuration is in use", || has_config(&slow_entry.process, 2));
    // The configuration in the store's encoding, one copy from a side, and a tenth for other messages.
    let limit = size * STORE_SIZE_THIRDS / 3 + size + size / 10;
    let received = slow_entry.link.inbound_bytes() - received_before;
    assert!(received <= limit, "{received} bytes received for a configuration of {size}");
}

/// Guards against a configuration read that restarts forever: over a slow link it takes longer than the
/// 3 s timeout for changes. A read that still receives data must not time out.
#[test]
fn a_slow_config_read_is_not_aborted() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let slow_entry = pool.entry_behind_link(150_000);
    wait_connected(&pool, &slow_entry.process);
    pool.store.put("op", "config", Some(large_config(2, EXTRA_ROUTES)));
    wait_until("the configuration is in use", || has_config(&slow_entry.process, 2));
}

/// One entry's connections to the store hang while a large configuration is written. The entry gets it
/// in chunks from exactly one side, before it abandons the store connection.
#[test]
fn an_entry_cut_off_from_the_store_gets_the_config_from_a_side() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    let (entry, proxy) = pool.entry_behind_proxy();
    wait_connected(&pool, &entry);
    proxy.set_fault(Fault::Hang);
    pool.store.put("op", "config", Some(large_config(2, EXTRA_ROUTES)));
    wait_until("the configuration is in use", || has_config(&entry, 2));
    assert!(entry.logged(&["event=text_copied", "version=2"]));
    let sent = |side: &&Process| side.logged(&["event=text_sent", "version=2"]);
    // Logs of different processes are read independently of each other.
    wait_until("the transfer is logged", || pool.sides.iter().any(|side| sent(&side)));
    assert_eq!(pool.sides.iter().filter(sent).count(), 1);
}
