//! Preloading of models that lose their replicas.

use std::sync::Arc;

use citronrill_pool::{EntryEffect, EntryEvent, Member};
use citronrill_wire::{LoadRequest, SideState};

use crate::support::{Bench, address, bare, config, requested_load, state_with_rates};

fn load_requests(effects: &[EntryEffect]) -> Vec<&LoadRequest> {
    let mut found = Vec::new();
    for effect in effects {
        if let EntryEffect::LoadRequest(_, load_request) = effect {
            found.push(load_request);
        }
    }
    found
}

/// Six endpoints: `m0` is loaded at endpoints 1 to 3, `m1` at 4 and 5, and endpoint 6 is empty. Each
/// model receives one request in 1.5 s.
fn pool() -> Bench {
    let held = |index: u8| if index < 4 { "m0" } else { "m1" };
    let mut members = (1..6).map(|index| bare(index, &[held(index)])).collect::<Vec<_>>();
    members.push(bare(6, &[]));
    let mut bench = Bench::new(members);
    report_all(&mut bench);
    for _ in 0..4 {
        bench.request("/draft/x", "m1");
        bench.request("/draft/x", "m0");
        assert!(load_requests(&bench.advance(1_500)).is_empty());
        report_all(&mut bench);
    }
    bench
}

/// All sides report their state.
fn report_all(bench: &mut Bench) {
    for index in 1..6 {
        let held = if index < 4 { ("m0", 1) } else { ("m1", 0) };
        bench.step(EntryEvent::SideReport(address(index), state_with_rates(&[held])));
    }
    bench.step(EntryEvent::SideReport(address(6), state_with_rates(&[])));
}

/// Endpoints are replaced, and the new ones start with an empty disk. A model with a request every
/// few seconds loses its last replicas; its next caller waited six seconds for the weight store,
/// which had been idle. The model is preloaded at the empty endpoint before the next request.
#[test]
fn model_that_loses_all_replicas_is_preloaded() {
    let mut bench = pool();
    for (version, index) in [(2, 4u8), (3, 5)] {
        let leaving = Member { leaving: true, ..bare(index, &["m1"]) };
        bench.update_row(version, &format!("i{index}"), Some(leaving));
    }
    report_all(&mut bench);
    let effects = bench.advance(300);
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.model.as_str(), load_request.waiting), (address(6), "m1", 0));
    assert!(load_request.eviction_candidates.is_empty(), "nothing is evicted for it");
    assert_eq!(load_requests(&effects).len(), 1, "it is requested once");
}

/// Without leaving endpoints nothing is preloaded, because a load costs money and blocks its
/// endpoint.
#[test]
fn nothing_is_preloaded_while_replicas_stay() {
    let mut bench = pool();
    for _ in 0..5 {
        report_all(&mut bench);
        assert!(load_requests(&bench.advance(400)).is_empty());
    }
}

/// A model without requests in the last minutes loses its replicas. It is not preloaded; the weight
/// store serves models with demand.
#[test]
fn model_without_recent_requests_is_not_preloaded() {
    let mut bench = pool();
    bench.now += 400_000;
    for (version, index) in [(2, 4u8), (3, 5)] {
        bench.update_row(version, &format!("i{index}"), None);
    }
    report_all(&mut bench);
    assert!(load_requests(&bench.advance(300)).is_empty());
}

/// An entry starts together with all instances and knows few of the cached weights yet. It waits
/// for a while, because it must not load weights from the weight store that are cached on a disk it
/// has no report of.
#[test]
fn entry_that_has_just_started_does_not_preload() {
    let mut bench = Bench::new(vec![bare(1, &["m0"]), bare(2, &[])]);
    bench.step(EntryEvent::SideReport(address(1), state_with_rates(&[("m0", 1)])));
    bench.step(EntryEvent::SideReport(address(2), state_with_rates(&[])));
    bench.request("/draft/x", "m0");
    bench.update_row(2, "i1", Some(Member { leaving: true, ..bare(1, &["m0"]) }));
    assert!(load_requests(&bench.advance(1_000)).is_empty());
}

/// The busiest model and another one with demand have lost all endpoints. Guards against sending
/// six load requests at once for the busiest model while it is already being loaded at one
/// endpoint: the other model was then ready 18 s later.
#[test]
fn first_load_of_a_model_precedes_a_second_load_of_another() {
    let members = (1..6).map(|index| bare(index, &[])).collect();
    let mut bench = Bench::new(members);
    let report_empty = |bench: &mut Bench| {
        for index in 2..6 {
            bench.step(EntryEvent::SideReport(address(index), state_with_rates(&[])));
        }
    };
    let loading_state = SideState {
        loading: vec!["m0".to_owned()],
        load_eta_ms: 5_500,
        store_loads: 1,
        ..state_with_rates(&[])
    };
    bench.step(EntryEvent::SideReport(address(1), loading_state.clone()));
    report_empty(&mut bench);
    let mut requested = Vec::new();
    for _ in 0..20 {
        bench.request("/draft/x", "m0");
        let (_, effects) = bench.request("/draft/x", "m5");
        requested.extend(
            load_requests(&effects).into_iter().map(|load_request| load_request.model.clone()),
        );
        requested.extend(
            load_requests(&bench.advance(60))
                .into_iter()
                .map(|load_request| load_request.model.clone()),
        );
        bench.step(EntryEvent::SideReport(address(1), loading_state.clone()));
        report_empty(&mut bench);
    }
    assert_eq!(requested.first().map(String::as_str), Some("m5"), "{requested:?}");
}

/// The busiest model is being loaded at two endpoints, which suffice for its requests. A third load
/// would occupy the weight store and another endpoint for six seconds.
#[test]
fn at_most_two_concurrent_loads_of_a_model() {
    let mut bench = Bench::new((1..10).map(|index| bare(index, &[])).collect());
    let mut long_timeouts = (*config(2)).clone();
    long_timeouts.routes.iter_mut().for_each(|route| route.timeout_ms = 15_000);
    bench.step(EntryEvent::Config(Arc::new(long_timeouts)));
    let loading_state = SideState {
        loading: vec!["m0".to_owned()],
        load_eta_ms: 5_500,
        store_loads: 1,
        ..state_with_rates(&[])
    };
    for _ in 0..30 {
        for index in 1..10 {
            let state = if index < 3 { loading_state.clone() } else { state_with_rates(&[]) };
            bench.step(EntryEvent::SideReport(address(index), state));
        }
        for _ in 0..5 {
            let (_, effects) = bench.request_with_deadline("/draft/x", "m0", 15_000);
            assert!(requested_load(&effects).is_none(), "{effects:?}");
        }
        let effects = bench.advance(40);
        assert!(requested_load(&effects).is_none(), "{effects:?}");
    }
}
