//! Limits on what an entry holds for callers.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

use citronrill_gateway::{InstanceLimits, Resources};
use rstest::rstest;

/// Descriptors that leave room for ten callers beside those for files and control connections.
const TEN_CALLERS: u64 = 520;

fn limited(descriptors: Option<u64>, memory_bytes: Option<u64>) -> std::sync::Arc<Resources> {
    Resources::new(InstanceLimits { memory_bytes, descriptors })
}

/// An entry that reports itself not ready only at the limit gets new callers for another two seconds and turns
/// them away.
#[test]
fn an_entry_is_busy_before_it_is_full() {
    let resources = limited(Some(TEN_CALLERS), None);
    let mut held = (0..7).map(|_| resources.connect().unwrap()).collect::<Vec<_>>();
    assert!(!resources.is_busy());
    held.push(resources.connect().unwrap());
    assert!(resources.is_busy() && !resources.is_full());
    held.extend((0..2).map(|_| resources.connect().unwrap()));
    assert!(resources.is_full() && resources.connect().is_none());
}

/// An entry that is ready again as soon as one caller has left changes its mind at each check.
#[test]
fn a_busy_entry_recovers_well_below_its_limit() {
    let resources = limited(Some(TEN_CALLERS), None);
    let mut held = (0..8).map(|_| resources.connect().unwrap()).collect::<Vec<_>>();
    assert!(resources.is_busy());
    held.truncate(6);
    assert!(resources.is_busy());
    held.truncate(5);
    assert!(!resources.is_busy());
}

/// Bytes that a request has given back, or that were refused to it, must not count for good.
#[test]
fn buffered_bytes_are_given_back() {
    let resources = limited(None, Some(2_000));
    let mut first = resources.buffer();
    assert!(first.add(600) && first.add(400));
    let mut second = resources.buffer();
    assert!(!second.add(1));
    assert!(resources.is_busy());
    drop(first);
    assert!(second.add(1_000));
    drop(second);
    assert_eq!(resources.buffered_bytes(), 0);
    assert!(!resources.is_busy());
}

/// An instance whose settings name no limits, or hardly any room, must still serve.
#[rstest]
#[case::unlimited(None, None, u64::MAX)]
#[case::fewer_than_reserved(Some(100), None, 1)]
fn limits_leave_room_for_a_caller(
    #[case] descriptors: Option<u64>,
    #[case] memory_bytes: Option<u64>,
    #[case] callers: u64,
) {
    let resources = limited(descriptors, memory_bytes);
    let held = (0..callers.min(50)).map(|_| resources.connect().unwrap()).collect::<Vec<_>>();
    assert_eq!(resources.is_full(), callers == 1);
    assert_eq!(resources.connections(), held.len() as u64);
    assert!(resources.buffer().add(1 << 30));
}
