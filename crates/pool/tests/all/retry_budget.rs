//! Further dispatches in the entry's state machine, within the retry budget.

use citronrill_pool::{EntryEffect, EntryEvent, RequestId};
use citronrill_wire::SideState;

use crate::support::{Bench, ENGINE, PLAIN, address, dispatch, member, not_run, state};

/// Returns whether a further dispatch was granted, for the first that the effects decide on.
fn granted(effects: &[EntryEffect]) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Log(event) => {
            let line = event.to_string();
            line.contains("event=retry ").then(|| line.contains("granted=true"))
        }
        _ => None,
    })
}

/// Sends a request for a model that its only endpoint turns out not to have: it waits for a load with the
/// only repeat that there is.
fn waiting_repeat(bench: &mut Bench) -> RequestId {
    let (id, effects) = bench.request("/chat/x", "m0");
    assert!(dispatch(&effects).is_some());
    assert_eq!(granted(&bench.respond(id, not_run(421))), Some(true));
    id
}

/// Asks for a repeat of another request.
fn next_granted(bench: &mut Bench) -> Option<bool> {
    let (id, effects) = bench.request("/chat/x", "m1");
    assert!(dispatch(&effects).is_some());
    granted(&bench.respond(id, not_run(503)))
}

/// An entry that shares the slack with so many others that it has one repeat.
fn bench() -> Bench {
    let held = [(1, ["m0"]), (2, ["m1"])];
    let mut bench = Bench::new(held.map(|(index, models)| member(index, ENGINE, &models)).into());
    for (index, models) in held {
        let state = SideState { known_entries: 30, ..state(1, &models) };
        bench.step(EntryEvent::SideReport(address(index), state));
    }
    bench
}

/// Guards against repeats that others lack because a caller left before its own was sent.
#[test]
fn a_caller_who_leaves_returns_the_repeat_of_its_request() {
    let mut bench = bench();
    let id = waiting_repeat(&mut bench);
    bench.step(EntryEvent::CallerLeft(id));
    assert_eq!(next_granted(&mut bench), Some(true));
}

/// Guards against a line in the log for each check of a request that gets no answer and no repeat.
#[test]
fn a_repeat_that_is_not_permitted_is_logged_once() {
    let mut bench = Bench::new((1..=3).map(|index| member(index, PLAIN, &[])).collect());
    let (first, _) = bench.request("/status/x", "");
    bench.respond(first, not_run(503));
    bench.request("/status/x", "");
    let effects = bench.advance(3_000);
    let denied = effects.iter().filter(|effect| match effect {
        EntryEffect::Log(event) => event.to_string().contains("granted=false"),
        _ => false,
    });
    assert_eq!(denied.count(), 2, "once for each of the two requests");
}

/// Guards against repeats that are decided on in several windows and all sent in one.
#[test]
fn a_repeat_that_waits_counts_until_it_is_sent() {
    let mut bench = bench();
    waiting_repeat(&mut bench);
    assert_eq!(next_granted(&mut bench), Some(false));
}
