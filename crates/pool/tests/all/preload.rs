//! What is loaded before anybody asks.

use citronrill_pool::{EntryEffect, EntryEvent, Member};

use crate::support::{Bench, address, bare, told, wanted};

/// Ten engines with copies of `m0` alone, which hold it and have room.
fn engines() -> Vec<Member> {
    (1..=10).map(|index| bare(index, &["m0"])).collect()
}

fn hear(bench: &mut Bench, count: u8) {
    for index in 1..=count {
        bench.step(EntryEvent::Side(address(index), told(&[("m0", 0)])));
    }
}

/// Waits with all sides heard twice a second.
fn wait_heard(bench: &mut Bench, ms: u64) -> Vec<EntryEffect> {
    let mut effects = Vec::new();
    for _ in 0..ms / 500 {
        hear(bench, 10);
        effects.extend(bench.wait(500));
    }
    effects
}

/// Guards against a weight store that stands idle until the first caller of a model that nobody has.
#[test]
fn models_that_nobody_has_are_loaded_before_callers_come() {
    let mut bench = Bench::new(engines());
    let effects = wait_heard(&mut bench, 2_000);
    let wants = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Want(_, want) => Some((want.model.as_str(), want.store_loads)),
        _ => None,
    });
    let wants = wants.collect::<Vec<_>>();
    assert_eq!(
        wants[..2],
        [("m1", 1), ("m2", 2)],
        "two at once, which tells what the store carries"
    );
}

/// Guards against a load of what an endpoint has that is about to register.
#[test]
fn nothing_is_loaded_ahead_while_endpoints_still_register() {
    let mut bench = Bench::new(engines()[..1].to_vec());
    for count in 2..=10 {
        hear(&mut bench, count - 1);
        assert!(wanted(&bench.wait(900)).is_none());
        bench.list(u64::from(count), engines()[..count.into()].to_vec());
    }
}

/// Guards against loads ahead of demand in the way of what callers wait for.
#[test]
fn nothing_is_loaded_ahead_once_callers_have_come() {
    let mut bench = Bench::new(engines());
    hear(&mut bench, 10);
    bench.ask("/draft/x", "m0");
    assert!(wanted(&wait_heard(&mut bench, 4_000)).is_none());
}
