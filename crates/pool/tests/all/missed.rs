//! What the weight store brings first, as many entries see it.

use citronrill_base::Millis;
use citronrill_pool::{EntryEffect, EntryEvent, EntryProfile, PoolEntry, PoolSide, SideEvent};
use citronrill_wire::{ModelRate, SideState, Usage};

use crate::support::{Bench, ENGINE, address, bare, report, text, told, wanted};

/// A side that counts misses, after each model was missed so often over ten seconds.
fn counted(missed: &[(&str, u32)]) -> SideState {
    let mut side = PoolSide::new(ENGINE);
    side.step(Millis(0), SideEvent::Text(text(1)));
    let step = |side: &mut PoolSide, ms: u64, model: &str| {
        let missed = Usage { model: model.to_owned(), missed: true, ..Usage::default() };
        side.step(Millis(ms), SideEvent::Used(missed));
    };
    for ms in (0..10_000).step_by(100) {
        for (model, count) in missed {
            let each = 10_000 / u64::from(*count);
            if ms % each < 100 {
                step(&mut side, ms, model);
            }
        }
    }
    side.step(Millis(10_000), SideEvent::Report(Some(report(1, &["m0"]))));
    side.state().unwrap()
}

fn twenty() -> Bench {
    Bench::new((1..=20).map(|index| bare(index, &["m0"])).collect())
}

fn hear(bench: &mut Bench, missed: &[ModelRate]) {
    for index in 1..=20 {
        let state = told(&[("m0", 1)]);
        let missed = if index == 7 { missed.to_vec() } else { Vec::new() };
        bench.step(EntryEvent::Side(address(index), SideState { missed, ..state }));
    }
}

/// Guards against a count that depends on the entry: one side counts what all of them miss.
#[test]
fn a_side_counts_what_all_entries_miss() {
    let state = counted(&[("m5", 20), ("m6", 2)]);
    let rates = state.missed.iter().map(|one| (one.name.as_str(), one.rate_milli / 100));
    let rates = rates.collect::<Vec<_>>();
    assert_eq!(rates.iter().map(|one| one.0).collect::<Vec<_>>(), vec!["m5", "m6"]);
    assert!((10..=20).contains(&rates[0].1), "{rates:?}: two a second, less what has faded");
    assert!(state.models.iter().all(|one| one.rate_milli == 0), "a miss is no use of the endpoint");
}

/// Guards against 68 entries that each bring what they happened to miss themselves: a model that thirty
/// callers a second missed stood behind models that one in ten seconds asked for, for a whole day.
#[test]
fn what_all_entries_miss_most_is_brought_first() {
    let mut bench = twenty();
    let missed = counted(&[("m5", 20), ("m6", 4)]).missed;
    hear(&mut bench, &missed);
    let late = SideState { loading: vec!["m9".to_owned()], store_loads: 1, ..told(&[("m0", 1)]) };
    bench.step(EntryEvent::Side(address(3), late));
    let (_, mut effects) = bench.ask_for("/draft/x", "m6", 3_000);
    effects.extend(bench.wait(100));
    assert!(wanted(&effects).is_none(), "the place that is left is not for the model missed less");
    let (_, mut effects) = bench.ask_for("/draft/x", "m5", 3_000);
    effects.extend(bench.wait(100));
    assert_eq!(wanted(&effects).map(|(_, want)| want.model.as_str()), Some("m5"));
}

/// Guards against misses that no side hears of, and against one that is told twice.
#[test]
fn each_miss_is_told_to_one_side() {
    let mut bench = twenty();
    hear(&mut bench, &[]);
    let (_, mut effects) = bench.ask_for("/draft/x", "m5", 3_000);
    effects.extend(bench.wait(100));
    let tells = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Used(_, used) if used.missed => Some(used.model.as_str()),
        _ => None,
    });
    assert_eq!(tells.collect::<Vec<_>>(), vec!["m5"]);
}

/// Guards against loads that go on one beside the other although the one under way shows that the store
/// carries a single one at full speed.
#[test]
fn a_load_that_is_late_tells_the_limit_while_it_is_under_way() {
    let asks = |overdue: u32| {
        let mut bench = twenty();
        hear(&mut bench, &[]);
        let late = SideState {
            loading: vec!["m9".to_owned()],
            store_loads: 1,
            store_overdue: overdue,
            store_concurrent: 2,
            ..told(&[("m0", 1)])
        };
        bench.step(EntryEvent::Side(address(3), late));
        let mut effects = Vec::new();
        for _ in 0..60 {
            effects.extend(bench.ask_for("/draft/x", "m5", 3_000).1);
        }
        wanted(&effects).is_some()
    };
    assert!(asks(0), "many wait for it, and the store may carry two");
    assert!(!asks(1_200));
}

/// Guards against 68 entries that hear in the same moment that the store has room, and ask for as many models.
#[test]
fn entries_take_turns_to_ask_the_store() {
    let mut entries = (0..68_u64).map(|index| {
        let profile = EntryProfile {
            zone: "a".to_owned(),
            seed: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
        };
        let mut bench = twenty();
        bench.entry = PoolEntry::new(profile);
        bench.step(EntryEvent::Text(text(1)));
        bench.list(1, (1..=20).map(|index| bare(index, &["m0"])).collect());
        let missed = vec![ModelRate { name: format!("m{}", 1 + index % 9), rate_milli: 900 }];
        for index in 1..=20 {
            let state = SideState { entries: 68, ..told(&[("m0", 1)]) };
            let missed = if index == 7 { missed.clone() } else { Vec::new() };
            bench.step(EntryEvent::Side(address(index), SideState { missed, ..state }));
        }
        bench.ask_for("/draft/x", &format!("m{}", 1 + index % 9), 3_000);
        bench
    });
    let mut entries = entries.by_ref().collect::<Vec<_>>();
    let mut asked = 0;
    let mut most = 0;
    for _ in 0..100 {
        let now = entries.iter_mut().map(|bench| wanted(&bench.wait(20)).is_some());
        let now = now.filter(|asked| *asked).count();
        asked += now;
        most = most.max(now);
    }
    assert!(asked > 20, "each has its turn within seconds: {asked}");
    assert!(most <= 8, "{most} in one moment");
}
