//! How long a request waits for its model, and when it is refused instead.

use std::sync::Arc;

use citronrill_pool::{EntryEffect, EntryEvent, Member, Reason, RetryPolicy, Route, ServingConfig};
use citronrill_wire::{ModelState, SideState};
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, address, config, dispatch, member, refusal, requested_load, route, state,
};

/// A configuration whose callers leave a stream after a silence of 3.2 s: eight gaps of 400 ms.
fn config_with_gaps() -> Arc<ServingConfig> {
    let mut config = (*config(1)).clone();
    let with_gap = |route: &mut Route| {
        route.gap_ms = Some(400);
        route.timeout_ms = 15_000;
    };
    config.routes.iter_mut().for_each(with_gap);
    Arc::new(config)
}

/// An entry with twenty engines, of which the second is loading `m5` for another `load_ms`. The
/// weight store has capacity for one more load.
fn bench(load_ms: u64) -> Bench {
    let mut bench = Bench::unconfigured();
    bench.step(EntryEvent::Config(config_with_gaps()));
    let bare = |index| Member { on_disk: Vec::new(), ..member(index, ENGINE, &["m0"]) };
    bench.set_members(1, (1..21).map(bare).collect());
    let bare = SideState { on_disk: Vec::new(), ..state(1, &["m0"]) };
    let loading = SideState {
        loading: vec!["m5".to_owned()],
        load_eta_ms: load_ms,
        store_loads: 1,
        ..bare.clone()
    };
    for index in 1..21 {
        let state = if index == 2 { loading.clone() } else { bare.clone() };
        bench.step(EntryEvent::SideReport(address(index), state));
    }
    bench
}

/// A caller has a deadline of fifteen seconds but leaves a stream after a silence of 3.2 s. Its
/// model is ready only in four or six seconds. The request must not be held until the caller
/// leaves, but refused at once with a retry time at which the model is ready.
#[rstest]
#[case(4_000)]
#[case(6_000)]
fn caller_that_would_leave_before_the_load_ends_is_refused_at_once(#[case] load_ms: u64) {
    let mut bench = bench(load_ms);
    let (_, effects) = bench.request_with_deadline("/draft/x", "m5", 15_000);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!(reason, Reason::TooLate);
    let retry_ms = retry_ms.unwrap();
    assert!((load_ms..load_ms + load_ms / 4).contains(&retry_ms), "{retry_ms}");
    assert!(requested_load(&effects).is_none(), "it is being loaded and not requested again");
}

/// The model is ready before the caller leaves: the request waits and is dispatched then.
#[test]
fn request_waits_if_the_load_ends_before_its_caller_leaves() {
    let mut bench = bench(2_000);
    let (_, effects) = bench.request_with_deadline("/draft/x", "m5", 15_000);
    assert!(refusal(&effects).is_none() && requested_load(&effects).is_none());
    bench.now += 1_900;
    let loaded_state = SideState { on_disk: Vec::new(), ..state(2, &["m0", "m5"]) };
    let effects = bench.step(EntryEvent::SideReport(address(2), loaded_state));
    assert_eq!(dispatch(&effects).unwrap().instance, "i2");
}

/// The load takes longer than reported. The request is refused while its caller is still connected.
#[test]
fn waiting_request_is_refused_before_its_caller_leaves() {
    let mut bench = bench(2_500);
    let (id, _) = bench.request_with_deadline("/draft/x", "m5", 15_000);
    let mut refused = None;
    for ms in 0..320 {
        bench.now += 10;
        let late = SideState {
            loading: vec!["m5".to_owned()],
            load_eta_ms: 500,
            store_loads: 1,
            on_disk: Vec::new(),
            ..state(1, &["m0"])
        };
        let effects = bench.step(EntryEvent::SideReport(address(2), late));
        let effects = [effects, bench.step(EntryEvent::Tick)].concat();
        let refuses =
            |effect: &EntryEffect| matches!(effect, EntryEffect::Refuse(other, _) if *other == id);
        if effects.iter().any(refuses) {
            refused = refusal(&effects).map(|(reason, retry)| (ms * 10, reason, retry));
            break;
        }
    }
    let (after, reason, retry_ms) = refused.unwrap();
    assert!((2_400..3_100).contains(&after), "{after}");
    assert_eq!(reason, Reason::TooLate);
    assert!(retry_ms.unwrap() >= 500);
}

/// A route without a configured gap says nothing about when callers leave: requests may wait until
/// their deadline.
#[test]
fn route_without_a_gap_waits_until_the_deadline() {
    let mut bench = bench(4_000);
    let mut plain = (*config(2)).clone();
    plain.routes.iter_mut().for_each(|route| route.timeout_ms = 15_000);
    bench.step(EntryEvent::Config(Arc::new(plain)));
    let (_, effects) = bench.request_with_deadline("/draft/x", "m5", 15_000);
    assert!(refusal(&effects).is_none());
}

/// Another replica of a busy model takes six seconds to load. A request for an adapter of that
/// model, which a holder can load in 25 ms, must not wait for the replica.
#[test]
fn adapter_does_not_wait_for_a_replica() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m1"])]);
    let busy = ModelState { name: "m0".to_owned(), rate_milli: 40_000, ..ModelState::default() };
    let holder = SideState { models: vec![busy], ..state(1, &[]) };
    bench.step(EntryEvent::SideReport(address(1), holder));
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m1"])));
    let effects = bench.advance(20);
    let (at, replica) = requested_load(&effects).unwrap();
    assert_eq!((at, replica.model.as_str(), replica.adapter.as_str()), (address(2), "m0", ""));
    let (_, effects) = bench.request("/draft/x", "m0/a1");
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.adapter.as_str()), (address(1), "a1"));
}

/// A stalled instance holds the only loaded copy of an adapter. Callers were sent there and left
/// after seconds of silence, while another holder of the model could have loaded the adapter in 25
/// ms.
#[test]
fn adapter_is_loaded_at_a_responsive_holder() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])]);
    let mut holder = state(1, &["m0"]);
    holder.models[0].adapters = vec!["a1".to_owned()];
    bench.step(EntryEvent::SideReport(address(1), holder));
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m0"])));
    let (_, effects) = bench.request("/draft/x", "m0/a1");
    assert_eq!(dispatch(&effects).unwrap().instance, "i1");
    bench.now += 1_200;
    bench.step(EntryEvent::SideReport(address(2), state(1, &["m0"])));
    let (_, effects) = bench.request("/draft/x", "m0/a1");
    let (at, load_request) = requested_load(&effects).unwrap();
    assert_eq!((at, load_request.adapter.as_str()), (address(2), "a1"));
    // Without another responsive holder, the request goes where the adapter is, once its instance
    // answers.
    bench.now += 1_200;
    let (_, effects) = bench.request("/draft/x", "m0/a1");
    assert!(dispatch(&effects).is_none());
    let effects = bench.step(EntryEvent::ProbeReply(address(1)));
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.instance.as_str()), Some("i1"));
}

/// A plain call is not a stream: its caller stays until its deadline, whatever gap its route
/// configures.
#[test]
fn gap_does_not_apply_to_plain_calls() {
    let with_gap = Route { gap_ms: Some(400), ..route("/book/", "plain", RetryPolicy::Once, 1) };
    let mut config = (*config(1)).clone();
    config.routes = vec![with_gap];
    let mut bench = Bench::unconfigured();
    bench.step(EntryEvent::Config(Arc::new(config)));
    bench.set_members(1, vec![member(1, "plain", &[])]);
    let (_, effects) = bench.request_with_deadline("/book/x", "", 300);
    assert_eq!(dispatch(&effects).unwrap().remaining_ms, 300);
}
