//! What is believed before anybody is heard.

use citronrill_pool::EntryEvent;
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, member, refusal, sending, state, wanted};

/// Guards against requests that are refused as the list still names what engines held before all instances
/// lost power, and that use up the retry budget.
#[test]
fn nothing_is_sent_on_the_lists_word_before_its_side_is_due() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    let (_, effects) = bench.ask("/draft/x", "m0");
    assert!(sending(&effects).is_none() && refusal(&effects).is_none());
    assert!(wanted(&effects).is_none(), "nor is it asked for elsewhere");
    let empty = SideState { instance: "i2".to_owned(), ..state(0, &[]) };
    let effects = bench.step(EntryEvent::Side(address(1), empty));
    assert!(sending(&effects).is_none());
    assert_eq!(
        wanted(&effects).map(|(at, want)| (at, want.model.as_str())),
        Some((address(1), "m0"))
    );
}

/// Guards against waiting for a side that confirms the list at once, or that is never heard.
#[rstest]
#[case(true, 20)]
#[case(false, 1_300)]
fn the_lists_word_is_used_once_its_side_is_heard_or_overdue(#[case] heard: bool, #[case] ms: u64) {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.ask("/draft/x", "m0");
    let mut effects = Vec::new();
    if heard {
        effects.extend(bench.step(EntryEvent::Side(address(1), state(1, &["m0"]))));
    }
    effects.extend(bench.wait(ms));
    assert_eq!(sending(&effects).map(|one| one.instance.as_str()), Some("i1"));
}
