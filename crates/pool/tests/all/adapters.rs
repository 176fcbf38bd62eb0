//! At which holder of a model its adapters are used.

use std::collections::BTreeMap;

use citronrill_pool::{EntryEvent, Member};
use citronrill_wire::SideState;

use crate::support::{Bench, ENGINE, address, member, sending, state, wanted};

/// Endpoint `index` in a zone, which holds `m0`.
fn holder(index: u8, zone: &str) -> Member {
    Member { zone: zone.to_owned(), ..member(index, ENGINE, &["m0"]) }
}

/// What its side says of the adapters of `m0`.
fn told(sequence: u64, adapters: &[String]) -> SideState {
    let mut state = state(sequence, &["m0"]);
    state.models[0].adapters = adapters.to_vec();
    state
}

/// An entry in zone `a`, an endpoint there that holds `m0`, and one in zone `b` that has its adapter too.
fn two_zones() -> Bench {
    let mut bench = Bench::new(vec![holder(1, "a"), holder(2, "b")]);
    bench.step(EntryEvent::Side(address(1), told(1, &[])));
    bench.step(EntryEvent::Side(address(2), told(1, &["a1".to_owned()])));
    bench
}

/// Streams of one adapter come to entries in three zones. It had one holder, whichever took it first, and
/// all callers of the pool went there: when that instance stood still, it had all streams. Now each zone's
/// holder has what is asked for in its zone, and none has more than half.
#[test]
fn adapters_are_used_in_each_zone() {
    let zones = ["a", "b", "c"];
    let members = || (1..4).zip(zones).map(|(index, zone)| holder(index, zone)).collect::<Vec<_>>();
    let mut entries = zones.map(|zone| Bench::in_zone(zone, members()));
    let mut adapters = BTreeMap::<u8, Vec<String>>::from([(1, vec![]), (2, vec![]), (3, vec![])]);
    let mut sent = BTreeMap::<String, u32>::new();
    for round in 0..60 {
        for entry in &mut entries {
            for (index, held) in &adapters {
                entry.step(EntryEvent::Side(address(*index), told(round + 1, held)));
            }
            entry.now += 100;
            let (_, effects) = entry.ask("/draft/x", "m0/a1");
            if let Some((at, want)) = wanted(&effects) {
                let index = (1..4).find(|index| address(*index) == at).unwrap();
                adapters.get_mut(&index).unwrap().push(want.adapter.clone());
            }
            if let Some(sending) = sending(&effects) {
                *sent.entry(sending.instance.clone()).or_default() += 1;
            }
        }
    }
    let all = sent.values().sum::<u32>();
    assert!(all >= 150, "{sent:?}");
    assert!(sent.values().all(|one| *one <= all / 2), "{sent:?}");
}

/// The adapter is asked for in the own zone, and the request goes there once it has come.
#[test]
fn an_adapter_is_fetched_to_the_own_zone() {
    let mut bench = two_zones();
    let (_, effects) = bench.ask("/draft/x", "m0/a1");
    let (at, want) = wanted(&effects).unwrap();
    assert_eq!((at, want.adapter.as_str()), (address(1), "a1"));
    assert!(sending(&effects).is_none());
    bench.now += 30;
    let effects = bench.step(EntryEvent::Side(address(1), told(2, &["a1".to_owned()])));
    assert_eq!(sending(&effects).unwrap().instance, "i1");
}

/// The side that was asked does not do it in time: the request goes where the adapter is, and waits no
/// longer.
#[test]
fn nobody_waits_long_for_an_adapter_that_is_elsewhere() {
    let mut bench = two_zones();
    let (_, effects) = bench.ask("/draft/x", "m0/a1");
    assert!(sending(&effects).is_none());
    let effects = bench.wait(140);
    assert_eq!(sending(&effects).unwrap().instance, "i2");
}

/// The endpoint in the own zone carries out an order and takes no other for half a second: the request
/// goes where the adapter is, at once.
#[test]
fn a_busy_endpoint_is_not_asked_for_an_adapter_that_is_elsewhere() {
    let mut bench = two_zones();
    let busy = SideState { order_ms: 500, ..told(2, &[]) };
    bench.step(EntryEvent::Side(address(1), busy));
    let (_, effects) = bench.ask("/draft/x", "m0/a1");
    assert_eq!(sending(&effects).unwrap().instance, "i2");
    assert!(wanted(&effects).is_none());
}
