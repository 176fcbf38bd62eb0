//! What loads from the weight store brought stays while its callers come back, and places that would lose the
//! last copy of another model are dear.

use std::sync::Arc;

use crate::support::{
    Bench, ENGINE, address, bare, config, held, load_request, profile, requested_load, state,
};
use citronrill_base::Millis;
use citronrill_pool::{
    EngineReport, EntryEffect, EntryEvent, EntryLink, EntryProfile, OrderOutcome, PoolEntry,
    PoolSide, ServingConfig, SideEffect, SideEvent,
};
use citronrill_wire::{
    LoadRequest, ModelName, ModelState, SideState, StoreLoadGrant, StoreLoadKind, StoreLoadMessage,
    StoreLoadReply,
};

/// A side whose endpoint loads `m3` from the weight store for a request that asks for this residency; at
/// 8 s the endpoint has loaded it.
fn side_after_store_load(residency_ms: u64) -> PoolSide {
    let mut side = PoolSide::new(ENGINE);
    let report = |sequence, models: &[&str], busy| EngineReport {
        models: held(models),
        sequence,
        busy,
        ..EngineReport::default()
    };
    side.step(Millis(1_000), SideEvent::Config(config(1)));
    side.step(Millis(1_000), SideEvent::Report(Some(report(0, &["m1", "m2"], false))));
    side.step(Millis(1_000), SideEvent::NameReported("i1".to_owned()));
    side.step(Millis(1_001), SideEvent::Report(Some(report(0, &["m1"], false))));
    let request = LoadRequest { residency_ms, ttl_ms: 12_000, ..load_request("m3", &[]) };
    let effects = side.step(Millis(1_002), SideEvent::LoadRequest(EntryLink(1), request));
    let order = effects.iter().find_map(|effect| match effect {
        SideEffect::Order(order) => Some(order.clone()),
        _ => None,
    });
    let number = order.unwrap().number;
    side.step(Millis(1_010), SideEvent::OrderAnswered(number, OrderOutcome::Accepted, None));
    side.step(Millis(1_100), SideEvent::Report(Some(report(1, &["m1"], true))));
    side.step(Millis(8_000), SideEvent::Report(Some(report(1, &["m1", "m3"], false))));
    side
}

/// Returns whether the side accepts a load for which `m3` has to make way, `ms` after `m3` was loaded.
fn replaces(side: &mut PoolSide, ms: u64) -> bool {
    let report = EngineReport { models: held(&["m1", "m3"]), sequence: 1, ..Default::default() };
    side.step(Millis(8_000 + ms), SideEvent::Report(Some(report)));
    let request = load_request("m4", &["m3"]);
    let effects = side.step(Millis(8_000 + ms), SideEvent::LoadRequest(EntryLink(2), request));
    !effects.iter().any(|effect| matches!(effect, SideEffect::Decline(..)))
}

/// A model was ready after 61 s and unloaded 0.5 s later for another one, before the callers that had been
/// refused for want of it came back.
#[test]
fn a_model_from_the_store_stays_until_its_callers_are_back() {
    assert!(!replaces(&mut side_after_store_load(1_200), 1_100));
    assert!(replaces(&mut side_after_store_load(1_200), 1_200));
    assert!(replaces(&mut side_after_store_load(0), 500), "the minimum of 300 ms as before");
}

/// Entries learn that a load from the weight store brought a model, for as long as such a load takes.
#[test]
fn the_state_names_models_from_the_store() {
    let from_store = |side: &PoolSide| {
        let models = side.state().unwrap().models;
        models.into_iter().filter(|model| model.from_store).map(|model| model.name).collect()
    };
    let mut side = side_after_store_load(1_200);
    let named: Vec<String> = from_store(&side);
    assert_eq!(named, ["m3"]);
    side.step(Millis(14_000), SideEvent::Tick);
    let named: Vec<String> = from_store(&side);
    assert_eq!(named, Vec::<String>::new());
}

/// An entry of a contended deployment.
fn contended(config: Arc<ServingConfig>, models: &[&str]) -> Bench {
    let mut bench = Bench::unconfigured();
    bench.entry = PoolEntry::new(EntryProfile { contended: true, ..profile() });
    bench.step(EntryEvent::Config(config));
    bench.step(EntryEvent::ConfigCurrent(true));
    bench.set_members(1, vec![bare(1, models), bare(2, models), bare(3, models)]);
    bench
}

fn report(bench: &mut Bench, index: u8, models: Vec<ModelState>, on_disk: &[&str]) {
    let state = SideState {
        models,
        on_disk: on_disk.iter().map(|name| (*name).to_owned()).collect(),
        tracks_suspects: true,
        queues_store_loads: true,
        ..state(1, &[])
    };
    bench.step(EntryEvent::SideReport(address(index), state));
}

fn loaded(name: &str, rate_milli: u32, from_store: bool) -> ModelState {
    ModelState { name: name.to_owned(), rate_milli, from_store, ..ModelState::default() }
}

/// Grants a load of `model` to the entry; returns the endpoint at which it requests the load.
fn grant(bench: &mut Bench, model: &str) -> Option<u8> {
    granted_load(bench, model, Vec::new()).map(|(index, _)| index)
}

/// Grants a load of `model` away from these instances, beside another load; returns the endpoint at which
/// the entry requests it, and the request.
fn granted_load(bench: &mut Bench, model: &str, avoid: Vec<String>) -> Option<(u8, LoadRequest)> {
    let effects = bench.advance(700);
    let sent = effects.iter().rev().find_map(|effect| match effect {
        EntryEffect::StoreLoads(address, report) => Some((*address, report.clone())),
        _ => None,
    });
    let (side, sent) = sent.expect("the entry reports");
    let grant =
        StoreLoadGrant { model: model.to_owned(), number: 1, lease_ms: 750, avoid, under_way: 1 };
    let reply = StoreLoadReply { number: sent.number, grants: vec![grant] };
    let message = StoreLoadMessage { kind: Some(StoreLoadKind::Reply(reply)) };
    let effects = bench.step(EntryEvent::StoreLoads(side, message));
    let (at, request) = requested_load(&effects)?;
    let index = [1, 2].into_iter().find(|index| at == address(*index))?;
    Some((index, request.clone()))
}

/// Two models at each endpoint fill its memory. `m3` came from the store and is asked for more than `m7`,
/// for which it was unloaded although callers of `m3` were on their way back.
#[test]
fn a_model_from_the_store_stays_while_it_is_asked_for_more() {
    for (from_store, expected) in [(true, None), (false, Some(1))] {
        let mut bench = contended(config(1), &[]);
        let refresh = |bench: &mut Bench| {
            report(
                bench,
                1,
                vec![loaded("m3", 400, from_store), loaded("m4", 9_000, from_store)],
                &[],
            );
            report(bench, 2, vec![loaded("m5", 9_000, true), loaded("m6", 9_000, true)], &[]);
        };
        refresh(&mut bench);
        bench.request("/draft/x", "m7");
        refresh(&mut bench);
        assert_eq!(grant(&mut bench, "m7"), expected, "from the store: {from_store}");
    }
}

/// A load to a full disk gives up a copy there. Where it is the last one of a model, that model takes a
/// load from the weight store when it is next asked for.
#[test]
fn a_full_disk_with_last_copies_is_a_dear_place() {
    let places = |disk_mb: f64, first: &[&str], second: &[&str]| {
        let mut sized = (*config(1)).clone();
        sized.services[0].engine.as_mut().unwrap().disk_mb = disk_mb;
        let mut bench = contended(Arc::new(sized), &[]);
        report(&mut bench, 1, vec![], first);
        report(&mut bench, 2, vec![], second);
        let pinned = |name| ModelState { pinned: true, ..loaded(name, 0, false) };
        report(&mut bench, 3, vec![pinned("m5"), pinned("m6")], &["m1", "m4"]);
        bench.request("/draft/x", "m7");
        grant(&mut bench, "m7")
    };
    // Only the third endpoint has other copies of `m1` and `m4`, and it has no place for a model.
    let (last, others) = (["m0", "m2"], ["m1", "m4"]);
    assert_eq!(places(140_000.0, &last, &others), Some(2));
    assert_eq!(places(140_000.0, &others, &last), Some(1));
    let unknown = places(0.0, &last, &others);
    assert_eq!(unknown, places(0.0, &others, &last), "no preference");
    assert_eq!(unknown, places(700_000.0, &last, &others), "a disk with room gives up nothing");
}

/// A load that does not end occupies its endpoint, which must not get the load again. The request counts the
/// load that was granted at the same moment: otherwise two loads at half speed look like late ones alone.
#[test]
fn a_grant_names_instances_to_avoid_and_other_loads() {
    for avoid in [1, 2] {
        let mut bench = contended(config(1), &[]);
        report(&mut bench, 1, vec![], &[]);
        report(&mut bench, 2, vec![], &[]);
        bench.request("/draft/x", "m7");
        let (index, request) = granted_load(&mut bench, "m7", vec![format!("i{avoid}")]).unwrap();
        assert_eq!((index, request.store_loads), (3 - avoid, 2));
    }
}

/// A process that was stopped for seconds has not heard from the owner, which is no sign that there is none:
/// with a turn of its own, it would load what another entry is loading.
#[test]
fn a_pause_is_no_time_without_an_owner() {
    let mut bench = contended(config(1), &[]);
    let refresh = |bench: &mut Bench| (1..4).for_each(|index| report(bench, index, vec![], &[]));
    refresh(&mut bench);
    bench.advance(700);
    bench.now += 5_000;
    bench.step(EntryEvent::Tick);
    refresh(&mut bench);
    let (_, effects) = bench.request("/draft/x", "m7");
    assert!(requested_load(&effects).is_none(), "{effects:?}");
    assert!(requested_load(&bench.advance(500)).is_none());
    refresh(&mut bench);
    let effects = bench.advance(1_000);
    assert!(requested_load(&effects).is_some(), "no reply for 1.5 s: {effects:?}");
}

/// A model that waits for a grant must not keep models with cached weights from being loaded.
#[test]
fn cached_models_are_loaded_while_others_wait_for_a_grant() {
    let mut bench = contended(config(1), &[]);
    report(&mut bench, 1, vec![], &["m8"]);
    report(&mut bench, 2, vec![], &[]);
    for _ in 0..5 {
        bench.request_with_deadline("/draft/x", "m7", 500);
    }
    bench.request_with_deadline("/draft/x", "m8", 500);
    let name = ModelName { model: "m8".to_owned(), adapter: String::new() };
    bench.step(EntryEvent::LoadDeclined(address(1), name));
    let effects = bench.advance(400);
    let requested = requested_load(&effects).map(|(_, request)| request.model.clone());
    assert_eq!(requested.as_deref(), Some("m8"));
}

/// A grant that was delayed for longer than its lease may have gone to another entry: it is given back.
#[test]
fn a_grant_past_its_lease_is_not_used() {
    let mut bench = contended(config(1), &[]);
    report(&mut bench, 1, vec![], &[]);
    report(&mut bench, 2, vec![], &[]);
    bench.request("/draft/x", "m7");
    let effects = bench.advance(200);
    let sent = effects.iter().find_map(|effect| match effect {
        EntryEffect::StoreLoads(address, report) => Some((*address, report.number)),
        _ => None,
    });
    let (side, number) = sent.unwrap();
    for _ in 0..2 {
        bench.advance(400);
        report(&mut bench, 1, vec![], &[]);
        report(&mut bench, 2, vec![], &[]);
    }
    let grant = StoreLoadGrant {
        model: "m7".to_owned(),
        number: 5,
        lease_ms: 750,
        avoid: Vec::new(),
        under_way: 0,
    };
    let reply = StoreLoadReply { number, grants: vec![grant] };
    let message = StoreLoadMessage { kind: Some(StoreLoadKind::Reply(reply)) };
    let effects = bench.step(EntryEvent::StoreLoads(side, message));
    assert!(requested_load(&effects).is_none());
    let effects = bench.advance(400);
    let declined = effects.iter().any(
        |effect| matches!(effect, EntryEffect::StoreLoads(_, report) if report.declined == [5]),
    );
    assert!(declined, "{effects:?}");
}
