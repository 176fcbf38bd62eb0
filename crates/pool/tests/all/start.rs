//! Endpoints that start again under their names, and entries of the list that others have written.

use citronrill_pool::{
    EngineReport, EntryEffect, EntryEvent, Member, MemberChange, Order, OrderOutcome, PoolSide,
    SideEffect, SideEvent, StartTime,
};
use citronrill_wire::{SideState, Want};
use rstest::rstest;

use crate::{
    side::{Bench as SideBench, declines, orders},
    support::{Bench, ENGINE, PLAIN, address, member, report, sending, state, text, want, wanted},
};

/// Unix milliseconds of an endpoint's first start.
const FIRST: u64 = 1_790_000_000_000;
/// Of its second.
const SECOND: u64 = FIRST + 60_000;

fn started(member: Member, at: u64) -> Member {
    Member { started: Some(StartTime(at)), ..member }
}

fn told(state: SideState, at: u64) -> SideState {
    SideState { started: Some(at), instance: "i1".to_owned(), ..state }
}

fn said(report: EngineReport, at: u64) -> EngineReport {
    EngineReport { started: Some(StartTime(at)), ..report }
}

/// The list changes in one row.
fn row(bench: &mut Bench, version: u64, name: &str, member: Option<Member>) -> Vec<EntryEffect> {
    let rows = vec![(name.to_owned(), member)];
    bench.step(EntryEvent::Members(MemberChange { whole: false, version, rows }))
}

fn goes_to(bench: &mut Bench, path: &str, model: &str) -> Option<String> {
    let (_, effects) = bench.ask(path, model);
    sending(&effects).map(|sending| sending.instance.clone())
}

/// A side whose endpoint has started at `at` and holds `m0`.
fn beside(at: u64, sequence: u64) -> SideBench {
    let mut bench = SideBench { side: PoolSide::new(ENGINE), now: 1_000 };
    bench.step(SideEvent::Text(text(1)));
    bench.report(said(report(sequence, &["m0"]), at));
    bench.step(SideEvent::Named("i1".to_owned()));
    bench
}

fn loading(bench: &SideBench) -> Vec<String> {
    bench.side.state().unwrap().loading
}

fn held(bench: &SideBench) -> Vec<String> {
    let state = bench.side.state().unwrap();
    state.models.into_iter().map(|model| model.name).collect()
}

fn order(effects: &[SideEffect]) -> Option<Order> {
    orders(effects).into_iter().next()
}

fn declined(effects: &[SideEffect]) -> bool {
    declines(effects) > 0
}

/// An endpoint crashes and is up again under its name before its side looks. It has accepted as many
/// orders as before, or more, so that the count tells nothing. What was planned for the last start is
/// void all the same: the room that it counted on is not there.
#[rstest]
#[case(3)]
#[case(9)]
fn a_restart_is_seen_whatever_the_count(#[case] sequence: u64) {
    let mut side = beside(FIRST, 3);
    side.want(want("m5", &["m0"]));
    assert_eq!(loading(&side), vec!["m5"]);
    let effects = side.report(said(report(sequence, &["m7"]), SECOND));
    assert_eq!((loading(&side), held(&side)), (vec![], vec!["m7".to_owned()]));
    assert_eq!(order(&effects), None);
}

/// A report of the last start arrives after the first one of the new start. Taken at its word, the
/// endpoint would count as holding what it held before its crash.
#[test]
fn a_late_report_of_the_last_start_changes_nothing() {
    let mut side = beside(FIRST, 3);
    side.report(said(report(0, &[]), SECOND));
    side.report(said(report(4, &["m0", "m1"]), FIRST));
    assert!(held(&side).is_empty());
    side.report(said(report(1, &["m5"]), SECOND));
    side.report(said(report(0, &[]), SECOND));
    assert_eq!(held(&side), vec!["m5"], "nor does a late one of the same start");
}

/// The clock of an instance is set back, and its endpoint starts again: the new start bears an earlier
/// time than the last. It is taken for a late word first, but must not stay unheard for good.
#[test]
fn a_start_before_the_last_is_believed_once_it_persists() {
    let mut side = beside(SECOND, 3);
    for _ in 0..120 {
        side.report(said(report(0, &["m2"]), FIRST));
    }
    assert_eq!(held(&side), vec!["m2"]);
}

/// An order of the last start is still on its way when the endpoint starts again under its name, and
/// is carried out by the new start: another order was expected to be the first. The side's own order
/// is refused, and it looks again before it gives the next one, which relies on the new count.
#[test]
fn an_order_of_the_last_start_that_is_applied_late_is_counted() {
    let mut side = beside(FIRST, 0);
    let lost = order(&side.want(want("m5", &[]))).unwrap();
    side.step(SideEvent::Ordered(lost.number, OrderOutcome::Unknown, None));
    side.report(said(report(0, &[]), SECOND));
    side.step(SideEvent::Named("i1".to_owned()));
    let next = order(&side.want(Want { started: Some(SECOND), ..want("m6", &[]) })).unwrap();
    assert!(next.token > lost.token, "{} after {}", next.token, lost.token);
    side.step(SideEvent::Ordered(next.number, OrderOutcome::Conflict, None));
    let busy = EngineReport { busy: true, ..said(report(1, &[]), SECOND) };
    assert_eq!(order(&side.report(busy)), None, "the late order is under way");
    let effects = side.report(said(report(1, &["m5"]), SECOND));
    assert_eq!(order(&effects).unwrap().sequence, 1);
}

/// A side process starts again beside an endpoint that has started again under its name. The count of
/// orders has fallen, but tokens must not: the endpoint's pages tell its starts apart by nothing else.
#[test]
fn tokens_rise_over_restarts_of_side_and_endpoint() {
    let mut first = beside(FIRST, 41);
    let before = order(&first.want(want("m5", &[]))).unwrap().token;
    let mut second = beside(SECOND, 0);
    let after = order(&second.want(want("m5", &[]))).unwrap().token;
    assert!(after > before, "{after} after {before}");
}

/// An entry asks for a model by what it believes of the last start. Victims and room are no longer
/// what it counted on, so the side declines.
#[test]
fn a_want_for_the_last_start_is_declined() {
    let mut side = beside(SECOND, 0);
    assert!(declined(&side.want(Want { started: Some(FIRST), ..want("m5", &[]) })));
    assert!(!declined(&side.want(Want { started: Some(SECOND), ..want("m5", &[]) })));
}

/// An endpoint starts again under its name, and the list is first to tell. What its side said of the
/// last start is void: a request for a model that was there would be refused and lose its time.
#[test]
fn the_list_tells_a_restart() {
    let mut bench = Bench::new(vec![started(member(1, ENGINE, &["m0"]), FIRST)]);
    bench.step(EntryEvent::Side(address(1), told(state(3, &["m0"]), FIRST)));
    assert_eq!(goes_to(&mut bench, "/chat/x", "m0"), Some("i1".to_owned()));
    row(&mut bench, 2, "i1", Some(started(member(1, ENGINE, &["m1"]), SECOND)));
    assert_eq!(goes_to(&mut bench, "/chat/x", "m1"), Some("i1".to_owned()));
    assert_eq!(goes_to(&mut bench, "/chat/x", "m0"), None);
    // The side has not looked again yet and still speaks of the last start.
    bench.step(EntryEvent::Side(address(1), told(state(3, &["m0"]), FIRST)));
    assert_eq!(goes_to(&mut bench, "/chat/x", "m0"), None);
}

/// The side is first to tell of a restart, and the list follows with what the last start had written.
/// The older word must not bring the last start's models back, in whatever order the two arrive.
#[test]
fn an_older_entry_never_replaces_a_newer_start() {
    let mut bench = Bench::new(vec![started(member(1, ENGINE, &["m0"]), FIRST)]);
    bench.step(EntryEvent::Side(address(1), told(state(0, &["m1"]), SECOND)));
    // Long enough for the side's word to be no longer fresh.
    bench.wait(2_100);
    bench.step(EntryEvent::Alive(address(1)));
    row(&mut bench, 2, "i1", Some(started(member(1, ENGINE, &["m0"]), FIRST)));
    assert_eq!(goes_to(&mut bench, "/chat/x", "m0"), None);
    assert_eq!(goes_to(&mut bench, "/chat/x", "m1"), Some("i1".to_owned()));
}

/// A plain endpoint's clock is set back and it starts again. No side speaks for it, and its entry
/// does not change any more: it is believed after two heartbeats, as nothing has contradicted it.
#[test]
fn an_older_entry_that_stands_is_believed() {
    let away = Member { address: address(9), ..started(member(1, PLAIN, &[]), FIRST) };
    let mut bench = Bench::new(vec![started(member(1, PLAIN, &[]), SECOND)]);
    row(&mut bench, 2, "i1", Some(away));
    let (_, effects) = bench.ask("/book/x", "");
    assert_eq!(sending(&effects).unwrap().address, address(1));
    bench.wait(2_600);
    let (_, effects) = bench.ask("/book/x", "");
    assert_eq!(sending(&effects).unwrap().address, address(9));
}

/// The list says that an endpoint leaves, with a start that seems over, and no side speaks for it. New
/// work stops at once: whether the clock was set back or the word is late shows only later.
#[test]
fn leaving_is_believed_of_an_older_start() {
    let leaving = Member { leaving: true, ..started(member(1, PLAIN, &[]), FIRST) };
    let mut bench = Bench::new(vec![started(member(1, PLAIN, &[]), SECOND)]);
    row(&mut bench, 2, "i1", Some(leaving));
    assert_eq!(goes_to(&mut bench, "/book/x", ""), None);
    row(&mut bench, 3, "i1", Some(started(member(1, PLAIN, &[]), SECOND)));
    assert_eq!(goes_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}

/// An endpoint failed many requests, and starts again under its name. What it did before says nothing
/// of the new start, which would else come last for a while although it is sound and empty.
#[test]
fn a_new_start_has_a_clean_record() {
    let members = vec![started(member(1, PLAIN, &[]), FIRST), member(2, PLAIN, &[])];
    let mut bench = Bench::new(members);
    for _ in 0..8 {
        let (id, effects) = bench.ask("/book/x", "");
        if sending(&effects).unwrap().instance == "i1" {
            bench.step(EntryEvent::Finish(id, false));
        }
    }
    assert_eq!(goes_to(&mut bench, "/book/x", ""), Some("i2".to_owned()));
    row(&mut bench, 2, "i1", Some(started(member(1, PLAIN, &[]), SECOND)));
    assert_eq!(goes_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}

/// An entry has asked for a model at an endpoint that then starts again under its name. The side knows
/// nothing of the want, so the entry asks again at once instead of waiting for it to run out.
#[test]
fn what_was_asked_of_the_last_start_is_asked_again() {
    let mut bench = Bench::new(vec![started(member(1, ENGINE, &["m0"]), FIRST)]);
    bench.step(EntryEvent::Side(address(1), told(state(3, &["m0"]), FIRST)));
    let (_, effects) = bench.ask("/chat/x", "m5");
    assert_eq!(wanted(&effects).unwrap().1.started, Some(FIRST));
    let effects = bench.step(EntryEvent::Side(address(1), told(state(0, &[]), SECOND)));
    let (_, want) = wanted(&effects).unwrap();
    assert_eq!((want.model.as_str(), want.started), ("m5", Some(SECOND)));
}

/// Another writer's entry names a service that is not served and the address of an endpoint that is.
/// The endpoint goes on being used; the entry counts once a text names its service.
#[test]
fn an_entry_of_an_unknown_service_takes_no_place() {
    let foreign = Member { service: "elsewhere".to_owned(), ..member(1, PLAIN, &[]) };
    let foreign = Member { instance: "x1".to_owned(), ..foreign };
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let effects = row(&mut bench, 2, "x1", Some(foreign.clone()));
    let logged = |effect: &EntryEffect| matches!(effect, EntryEffect::Log(event) if event.event == "unknown_service");
    assert!(effects.iter().any(logged));
    assert_eq!(goes_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
    row(&mut bench, 3, "i1", None);
    assert_eq!(goes_to(&mut bench, "/book/x", ""), None);
    // The same before any text is known.
    let mut bench = Bench::blank();
    bench.list(1, vec![member(1, PLAIN, &[]), foreign]);
    bench.step(EntryEvent::Text(text(1)));
    assert_eq!(goes_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}
