//! Priority of loads from the weight store with many entries.

use citronrill_base::Millis;
use citronrill_pool::{
    EntryEffect, EntryEvent, EntryProfile, LimitBounds, PoolEntry, PoolSide, SideEvent,
};
use citronrill_wire::{ModelRate, SideState, UsageReport};

use crate::support::{
    Bench, ENGINE, address, bare, config, report, requested_load, state_with_rates,
};

/// State of a side that counted the given number of misses of each model over ten seconds.
fn state_with_misses(missed: &[(&str, u32)]) -> SideState {
    let mut side = PoolSide::new(ENGINE);
    side.step(Millis(0), SideEvent::Config(config(1)));
    let step = |side: &mut PoolSide, ms: u64, model: &str| {
        let missed =
            UsageReport { model: model.to_owned(), missed: true, ..UsageReport::default() };
        side.step(Millis(ms), SideEvent::Usage(missed));
    };
    for ms in (0..10_000).step_by(100) {
        for (model, count) in missed {
            let interval = 10_000 / u64::from(*count);
            if ms % interval < 100 {
                step(&mut side, ms, model);
            }
        }
    }
    side.step(Millis(10_000), SideEvent::Report(Some(report(1, &["m0"]))));
    side.state().unwrap()
}

/// An entry with twenty engines that all have `m0` loaded.
fn bench_of_twenty() -> Bench {
    Bench::new((1..=20).map(|index| bare(index, &["m0"])).collect())
}

fn report_states(bench: &mut Bench, missed: &[ModelRate]) {
    for index in 1..=20 {
        let state = state_with_rates(&[("m0", 1)]);
        let missed = if index == 7 { missed.to_vec() } else { Vec::new() };
        bench.step(EntryEvent::SideReport(address(index), SideState { missed, ..state }));
    }
}

/// The miss rate of a model must not depend on the entry: one side counts the misses of all
/// entries.
#[test]
fn side_counts_the_misses_of_all_entries() {
    let state = state_with_misses(&[("m5", 20), ("m6", 2)]);
    let rates = state.missed.iter().map(|model| (model.name.as_str(), model.rate_milli / 100));
    let rates = rates.collect::<Vec<_>>();
    assert_eq!(rates.iter().map(|(name, _)| *name).collect::<Vec<_>>(), vec!["m5", "m6"]);
    assert!((10..=20).contains(&rates[0].1), "{rates:?}: two a second, less the decay");
    assert!(
        state.models.iter().all(|model| model.rate_milli == 0),
        "a miss does not count as use of the endpoint"
    );
}

/// Guards against entries that each request only the models that they missed themselves: with 68
/// such entries, a model with thirty missed requests a second waited for a whole day behind models
/// with one request in ten seconds.
#[test]
fn model_with_the_highest_miss_rate_is_loaded_first() {
    let mut bench = bench_of_twenty();
    let missed = state_with_misses(&[("m5", 20), ("m6", 4)]).missed;
    report_states(&mut bench, &missed);
    let late = SideState {
        loading: vec!["m9".to_owned()],
        store_loads: 1,
        ..state_with_rates(&[("m0", 1)])
    };
    bench.step(EntryEvent::SideReport(address(3), late));
    let (_, mut effects) = bench.request_with_deadline("/draft/x", "m6", 3_000);
    effects.extend(bench.advance(100));
    assert!(
        requested_load(&effects).is_none(),
        "the remaining capacity is not for the model with the lower miss rate"
    );
    let (_, mut effects) = bench.request_with_deadline("/draft/x", "m5", 3_000);
    effects.extend(bench.advance(100));
    assert_eq!(
        requested_load(&effects).map(|(_, load_request)| load_request.model.as_str()),
        Some("m5")
    );
}

/// A miss must be reported to a side, and only once.
#[test]
fn each_miss_is_reported_to_one_side() {
    let mut bench = bench_of_twenty();
    report_states(&mut bench, &[]);
    let (_, mut effects) = bench.request_with_deadline("/draft/x", "m5", 3_000);
    effects.extend(bench.advance(100));
    let reports = effects.iter().filter_map(|effect| match effect {
        EntryEffect::ReportUsage(_, used) if used.missed => Some(used.model.as_str()),
        _ => None,
    });
    assert_eq!(reports.collect::<Vec<_>>(), vec!["m5"]);
}

/// A load in progress is overdue, which shows that the weight store carries a single one at full
/// speed. No second load may start beside it.
#[test]
fn overdue_load_lowers_the_limit_of_concurrent_loads() {
    let requests_load = |overdue: u32| {
        let mut bench = bench_of_twenty();
        report_states(&mut bench, &[]);
        let late = SideState {
            loading: vec!["m9".to_owned()],
            store_loads: 1,
            store_overdue: overdue,
            store_concurrent: 2,
            ..state_with_rates(&[("m0", 1)])
        };
        bench.step(EntryEvent::SideReport(address(3), late));
        let mut effects = Vec::new();
        for _ in 0..60 {
            effects.extend(bench.request_with_deadline("/draft/x", "m5", 3_000).1);
        }
        requested_load(&effects).is_some()
    };
    assert!(requests_load(0), "many wait for it, and the store may serve two loads");
    assert!(!requests_load(1_200));
}

/// 68 entries learn at the same moment that the weight store has capacity, and must not all send a
/// load request at once.
#[test]
fn entries_take_turns_in_sending_load_requests() {
    let mut entries = (0..68_u64).map(|index| {
        let profile = EntryProfile {
            zone: "a".to_owned(),
            seed: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            limits: LimitBounds::default(),
            learn_ms: 0,
            first_start: true,
            contended: false,
        };
        let mut bench = bench_of_twenty();
        bench.entry = PoolEntry::new(profile);
        bench.step(EntryEvent::Config(config(1)));
        bench.set_members(1, (1..=20).map(|index| bare(index, &["m0"])).collect());
        let missed = vec![ModelRate { name: format!("m{}", 1 + index % 9), rate_milli: 900 }];
        for index in 1..=20 {
            let state = SideState { entries: 68, ..state_with_rates(&[("m0", 1)]) };
            let missed = if index == 7 { missed.clone() } else { Vec::new() };
            bench.step(EntryEvent::SideReport(address(index), SideState { missed, ..state }));
        }
        bench.request_with_deadline("/draft/x", &format!("m{}", 1 + index % 9), 3_000);
        bench
    });
    let mut entries = entries.by_ref().collect::<Vec<_>>();
    let mut requested = 0;
    let mut most = 0;
    for _ in 0..100 {
        let now = entries.iter_mut().map(|bench| requested_load(&bench.advance(20)).is_some());
        let now = now.filter(|requested| *requested).count();
        requested += now;
        most = most.max(now);
    }
    assert!(requested > 20, "every entry has its turn within seconds: {requested}");
    assert!(most <= 8, "{most} at the same time");
}
