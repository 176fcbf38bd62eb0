//! Member lists of a store that came back from a copy.

use citronrill_pool::{EntryEvent, Member, MemberChange, ResponseEnd, StoreVersion};
use rstest::rstest;

use crate::support::{Bench, PLAIN, dispatch, member, ok};

/// Applies a list of this era and version.
fn apply(
    bench: &mut Bench,
    era: u64,
    version: u64,
    complete: bool,
    rows: Vec<(u8, Option<Member>)>,
) {
    let rows = rows.into_iter().map(|(index, row)| (format!("i{index}"), row)).collect();
    let version = StoreVersion { era, version };
    bench.step(EntryEvent::Members(MemberChange { complete, version, rows }));
    bench.now += 20;
}

fn row(index: u8) -> (u8, Option<Member>) {
    (index, Some(member(index, PLAIN, &[])))
}

fn leaving(index: u8) -> (u8, Option<Member>) {
    (index, Some(Member { leaving: true, ..member(index, PLAIN, &[]) }))
}

/// An entry that has read a list with two endpoints at version 50 of the first era.
fn bench() -> Bench {
    let mut bench = Bench::new(Vec::new());
    apply(&mut bench, 1, 50, true, vec![row(1), row(2)]);
    bench
}

/// Returns the instances that eight requests are dispatched to, each of which ends at once.
fn used(bench: &mut Bench) -> Vec<String> {
    let sent = (0..8).filter_map(|_| {
        let (id, effects) = bench.request("/book/x", "");
        let instance = dispatch(&effects).map(|dispatch| dispatch.instance.clone());
        bench.respond(id, ok());
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
        bench.now += 20;
        instance
    });
    sent.collect()
}

/// Guards against a list that is left out because the versions of the store began again below the known one.
#[rstest]
fn a_list_of_a_new_era_is_applied_whatever_its_version(
    #[values(1, 49, 51)] version: u64,
    #[values(true, false)] complete: bool,
) {
    let mut bench = bench();
    apply(&mut bench, 2, version, complete, vec![leaving(1), row(2)]);
    assert_eq!(used(&mut bench), vec!["i2"; 8]);
}

/// Guards against an endpoint that gets requests again because of a list from before the store came back.
#[test]
fn a_list_of_an_older_era_is_left_out() {
    let mut bench = bench();
    apply(&mut bench, 2, 10, true, vec![row(2), row(3)]);
    bench.advance(5_000);
    apply(&mut bench, 1, 60, true, vec![row(1)]);
    let used = used(&mut bench);
    assert!(used.len() == 8 && !used.contains(&"i1".to_owned()), "{used:?}");
}

/// Guards against an endpoint that gets requests again because the copy has its row from before it left.
#[test]
fn a_row_of_the_copy_takes_back_no_leaving() {
    let mut bench = bench();
    apply(&mut bench, 1, 60, false, vec![leaving(1)]);
    apply(&mut bench, 2, 40, true, vec![row(1), row(2)]);
    apply(&mut bench, 2, 41, false, vec![row(1)]);
    assert_eq!(used(&mut bench), vec!["i2"; 8]);
}

/// Guards against endpoints that get no requests because the copy is from before they were listed: they
/// write their rows again within two seconds. One that does not is gone.
#[rstest]
#[case::writes_again(true)]
#[case::is_gone(false)]
fn an_endpoint_that_the_copy_lacks_is_kept_for_two_seconds(#[case] writes_again: bool) {
    let mut bench = bench();
    apply(&mut bench, 2, 10, true, vec![row(2)]);
    apply(&mut bench, 2, 11, false, vec![(2, None)]);
    assert_eq!(used(&mut bench), vec!["i1"; 8]);
    if writes_again {
        apply(&mut bench, 2, 12, false, vec![row(1)]);
    }
    bench.advance(4_000);
    assert_eq!(used(&mut bench).len(), if writes_again { 8 } else { 0 });
}

/// Guards against requests to an endpoint that has ended, and whose row is in the copy.
#[test]
fn an_endpoint_that_ended_before_gets_nothing_by_its_row_in_the_copy() {
    let mut bench = bench();
    apply(&mut bench, 1, 60, false, vec![(1, None)]);
    bench.now += 3_000;
    apply(&mut bench, 2, 40, true, vec![row(1), row(2)]);
    bench.advance(1_000);
    assert_eq!(used(&mut bench), vec!["i2"; 8]);
    // It writes its row: it lives.
    apply(&mut bench, 2, 45, false, vec![row(1), (2, None)]);
    assert_eq!(used(&mut bench), vec!["i1"; 8]);
}
