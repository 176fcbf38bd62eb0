//! A model that is asked for more often than its replicas can serve.

use citronrill_pool::{EntryEffect, EntryEvent, Reason, RequestId, Sending};
use citronrill_wire::SideState;

use crate::support::{Bench, ENGINE, address, member, refusal, sending, state};

/// An entry with one engine of 24 slots on which so many run.
fn bench(active: u32) -> Bench {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    hear(&mut bench, active);
    bench
}

fn hear(bench: &mut Bench, active: u32) -> Vec<EntryEffect> {
    let state = SideState { active, ..state(1, &["m0"]) };
    bench.step(EntryEvent::Side(address(1), state))
}

fn sent(effects: &[EntryEffect]) -> Vec<(RequestId, Sending)> {
    let one = |effect: &EntryEffect| match effect {
        EntryEffect::Send(id, sending) => Some((*id, sending.clone())),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

/// Guards against a queue in which everybody waits for longer than the objective, so that nobody is answered
/// in time: who can still be answered in time goes first, and whoever is late has the slots that are left.
#[test]
fn who_is_late_goes_after_those_who_are_not() {
    let mut bench = bench(30);
    let (late, effects) = bench.ask("/draft/x", "m0");
    assert!(sending(&effects).is_none());
    bench.wait(520);
    let (fresh, _) = bench.ask("/draft/x", "m0");
    let order = sent(&hear(&mut bench, 29));
    assert_eq!(order.iter().map(|one| one.0).collect::<Vec<_>>(), vec![fresh]);
    assert_eq!(order[0].1.urgency, 0);
    let order = sent(&hear(&mut bench, 23));
    assert_eq!(order.iter().map(|one| (one.0, one.1.urgency)).collect::<Vec<_>>(), vec![(late, 1)]);
}

/// Guards against a late request that is held to its end while others have the slots.
#[test]
fn who_is_late_is_sent_back_while_it_is_of_use() {
    let mut bench = bench(30);
    let (id, _) = bench.ask("/draft/x", "m0");
    let mut refused = None;
    for _ in 0..200 {
        bench.ask("/draft/x", "m0");
        let mut effects = hear(&mut bench, 30);
        effects.extend(bench.wait(20));
        let one = |one: &&EntryEffect| matches!(one, EntryEffect::Refuse(other, _) if *other == id);
        if let Some(effect) = effects.iter().find(one) {
            refused = refusal(std::slice::from_ref(effect)).map(|one| (bench.now, one));
            break;
        }
    }
    let (at, (reason, retry_ms)) = refused.unwrap();
    assert_eq!(reason, Reason::Full);
    assert!((2_900..3_200).contains(&at), "after four objectives: {at}");
    assert!(retry_ms.is_some());
}

/// Guards against a burst when a model has come that many callers wait for: each of 68 entries sees an idle
/// engine, and together they send ten times what it takes.
#[test]
fn what_has_waited_is_sent_a_share_at_a_time() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let told = |models: &[&str], load| SideState {
        entries: 68,
        active: load,
        loading: if models.len() < 2 { vec!["m5".to_owned()] } else { Vec::new() },
        ..state(1, models)
    };
    bench.step(EntryEvent::Side(address(1), told(&["m0"], 0)));
    for _ in 0..6 {
        bench.ask("/draft/x", "m5");
    }
    bench.now += 300;
    let first = sent(&bench.step(EntryEvent::Side(address(1), told(&["m0", "m5"], 0))));
    assert_eq!(first.len(), 1);
    assert_eq!(sent(&bench.wait(100)).len(), 0, "nothing is known of what the others have sent");
    assert_eq!(sent(&bench.ask("/draft/x", "m5").1).len(), 1, "who has just come is not held up");
    let word = bench.step(EntryEvent::Side(address(1), told(&["m0", "m5"], 12)));
    assert_eq!(sent(&word).len(), 1);
}
