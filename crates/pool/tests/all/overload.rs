//! A model that receives more requests than its replicas can serve.

use citronrill_pool::{
    Dispatch, EntryEffect, EntryEvent, Reason, RequestId, ResponseEnd, ResponseHead, ServerLoad,
};
use citronrill_wire::SideState;

use crate::support::{Bench, ENGINE, PLAIN, address, dispatch, member, ok, refusal, state};

/// An entry with one engine of 24 slots that runs `active` requests.
fn bench(active: u32) -> Bench {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    report_state(&mut bench, active);
    bench
}

fn report_state(bench: &mut Bench, active: u32) -> Vec<EntryEffect> {
    let state = SideState { active, ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), state))
}

fn dispatches(effects: &[EntryEffect]) -> Vec<(RequestId, Dispatch)> {
    let dispatch = |effect: &EntryEffect| match effect {
        EntryEffect::Dispatch(id, dispatch) => Some((*id, dispatch.clone())),
        _ => None,
    };
    effects.iter().filter_map(dispatch).collect()
}

/// In a first-in, first-out queue all requests wait longer than the latency target and none meets
/// it. Requests that can still meet the target go first, late ones get the remaining slots.
#[test]
fn late_requests_run_after_those_that_can_meet_the_target() {
    let mut bench = bench(30);
    let (late, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_none());
    bench.advance(520);
    let (fresh, _) = bench.request("/draft/x", "m0");
    let order = dispatches(&report_state(&mut bench, 29));
    assert_eq!(order.iter().map(|(id, _)| *id).collect::<Vec<_>>(), vec![fresh]);
    assert_eq!(order[0].1.urgency, 0);
    let order = dispatches(&report_state(&mut bench, 23));
    assert_eq!(
        order.iter().map(|(id, dispatch)| (*id, dispatch.urgency)).collect::<Vec<_>>(),
        vec![(late, 1)]
    );
}

/// A late request must not be held until its deadline while others get the slots.
#[test]
fn late_request_is_refused_well_before_its_deadline() {
    let mut bench = bench(30);
    let (id, _) = bench.request("/draft/x", "m0");
    let mut refused = None;
    for _ in 0..200 {
        bench.request("/draft/x", "m0");
        let mut effects = report_state(&mut bench, 30);
        effects.extend(bench.advance(20));
        let refuses =
            |effect: &&EntryEffect| matches!(effect, EntryEffect::Refuse(other, _) if *other == id);
        if let Some(effect) = effects.iter().find(refuses) {
            refused = refusal(std::slice::from_ref(effect)).map(|refusal| (bench.now, refusal));
            break;
        }
    }
    let (at, (reason, retry_ms)) = refused.unwrap();
    assert_eq!(reason, Reason::Full);
    assert!((2_900..3_200).contains(&at), "after four latency targets: {at}");
    assert!(retry_ms.is_some());
}

/// When a model becomes ready, each of 68 entries sees an idle engine. If all dispatched their
/// waiting requests at once, the engine would receive ten times its capacity.
#[test]
fn waiting_requests_are_dispatched_in_shares() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let loaded_state = |models: &[&str], load| SideState {
        entries: 68,
        active: load,
        loading: if models.len() < 2 { vec!["m5".to_owned()] } else { Vec::new() },
        ..state(1, models)
    };
    bench.step(EntryEvent::SideReport(address(1), loaded_state(&["m0"], 0)));
    for _ in 0..6 {
        bench.request("/draft/x", "m5");
    }
    bench.now += 300;
    let first =
        dispatches(&bench.step(EntryEvent::SideReport(address(1), loaded_state(&["m0", "m5"], 0))));
    assert_eq!(first.len(), 1);
    assert_eq!(
        dispatches(&bench.advance(100)).len(),
        0,
        "the dispatches of other entries are not known yet"
    );
    assert_eq!(
        dispatches(&bench.request("/draft/x", "m5").1).len(),
        1,
        "a new request is not delayed"
    );
    let effects = bench.step(EntryEvent::SideReport(address(1), loaded_state(&["m0", "m5"], 12)));
    assert_eq!(dispatches(&effects).len(), 1);
}

/// A plain endpoint's load is known from its responses only. An entry that last saw it full must not
/// refuse all its callers for as long as it has no request there.
#[test]
fn a_plain_endpoint_last_seen_full_is_used_again() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let (id, _) = bench.request("/book/x", "");
    let load = ServerLoad { running: 6, waiting: 18, slots: Some(6), pace: None };
    bench.respond(id, ResponseHead { load: Some(load), ..ok() });
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    bench.advance(1_000);
    let (_, effects) = bench.request_with_deadline("/book/x", "", 800);
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}
