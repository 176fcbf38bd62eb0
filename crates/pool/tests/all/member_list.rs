//! Use of the member list before a side has reported.

use citronrill_pool::{EntryEffect, EntryEvent, Member};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, dispatch, member, refusal, requested_load, state};

/// After a power loss of all instances, the member list still names models that were loaded before.
/// Guards against dispatching requests on that basis: they are refused and use up the retry budget.
#[test]
fn unconfirmed_models_of_the_list_are_not_used_at_once() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
    assert!(requested_load(&effects).is_none(), "it is not requested elsewhere either");
    let empty = SideState { instance: "i2".to_owned(), ..state(0, &[]) };
    let effects = bench.step(EntryEvent::SideReport(address(1), empty));
    assert!(dispatch(&effects).is_none());
    assert_eq!(
        requested_load(&effects).map(|(at, load_request)| (at, load_request.model.as_str())),
        Some((address(1), "m0"))
    );
}

/// Requests must not wait longer than needed for a side that confirms the member list at once, or
/// that never reports.
#[rstest]
#[case(true, 20)]
#[case(false, 1_300)]
fn models_of_the_list_are_used_once_confirmed_or_overdue(#[case] reported: bool, #[case] ms: u64) {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.request("/draft/x", "m0");
    let mut effects = Vec::new();
    if reported {
        effects.extend(bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"]))));
    }
    effects.extend(bench.advance(ms));
    assert_eq!(dispatch(&effects).map(|dispatch| dispatch.instance.as_str()), Some("i1"));
}

/// Guards against an endpoint that counts as stalled for good after its row names another address, as nobody
/// connects to its side there.
#[test]
fn the_side_of_an_endpoint_is_sought_at_its_new_address() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let moved = Member { address: address(9), ..member(1, ENGINE, &["m0"]) };
    let effects = bench.update_row(2, "i1", Some(moved));
    assert!(effects.contains(&EntryEffect::ConnectSides(vec![address(9)])));
}
