//! Endpoints that restart under the same name, and member list rows of other writers.

use citronrill_pool::{
    EngineReport, EntryEffect, EntryEvent, Member, Order, OrderOutcome, PoolSide, ResponseEnd,
    SideEffect, SideEvent, StartTime,
};
use citronrill_wire::{LoadRequest, SideState};
use rstest::rstest;

use crate::{
    side::{Bench as SideBench, declines, orders},
    support::{
        Bench, ENGINE, PLAIN, address, config, dispatch, load_request, member, report,
        requested_load, state,
    },
};

/// Start time of the endpoint's first incarnation, in Unix milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;
/// Start time of its second incarnation.
const SECOND_START: u64 = FIRST_START + 60_000;

fn member_started(member: Member, at: u64) -> Member {
    Member { started: Some(StartTime(at)), ..member }
}

fn state_started(state: SideState, at: u64) -> SideState {
    SideState { started: Some(at), instance: "i1".to_owned(), ..state }
}

fn report_started(report: EngineReport, at: u64) -> EngineReport {
    EngineReport { started: Some(StartTime(at)), ..report }
}

fn dispatched_to(bench: &mut Bench, path: &str, model: &str) -> Option<String> {
    let (_, effects) = bench.request(path, model);
    dispatch(&effects).map(|dispatch| dispatch.instance.clone())
}

/// A side whose endpoint started at `at` and has `m0` loaded.
fn side_of(at: u64, sequence: u64) -> SideBench {
    let mut bench = SideBench { side: PoolSide::new(ENGINE), now: 1_000 };
    bench.step(SideEvent::Config(config(1)));
    bench.report(report_started(report(sequence, &["m0"]), at));
    bench.step(SideEvent::NameReported("i1".to_owned()));
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

/// An endpoint crashes and restarts under its name between two reports, and has accepted as many
/// orders as before, or more. The count does not show the restart; the plan for the previous
/// incarnation is discarded all the same, as the memory it relied on is no longer free.
#[rstest]
#[case(3)]
#[case(9)]
fn restart_is_detected_with_any_order_count(#[case] sequence: u64) {
    let mut side = side_of(FIRST_START, 3);
    side.request_load(load_request("m5", &["m0"]));
    assert_eq!(loading(&side), vec!["m5"]);
    let effects = side.report(report_started(report(sequence, &["m7"]), SECOND_START));
    assert_eq!((loading(&side), held(&side)), (vec![], vec!["m7".to_owned()]));
    assert_eq!(order(&effects), None);
}

/// A report of the previous incarnation arrives after the first one of the new incarnation. If it
/// were applied, the endpoint would count as holding the models it held before its crash.
#[test]
fn late_report_of_the_previous_incarnation_is_ignored() {
    let mut side = side_of(FIRST_START, 3);
    side.report(report_started(report(0, &[]), SECOND_START));
    side.report(report_started(report(4, &["m0", "m1"]), FIRST_START));
    assert!(held(&side).is_empty());
    side.report(report_started(report(1, &["m5"]), SECOND_START));
    side.report(report_started(report(0, &[]), SECOND_START));
    assert_eq!(held(&side), vec!["m5"], "a late report of the same incarnation is ignored too");
}

/// The clock of an instance is set back and its endpoint restarts: the new incarnation has the
/// earlier start time. Its reports look late at first, but must not be ignored forever.
#[test]
fn earlier_start_time_is_accepted_once_it_persists() {
    let mut side = side_of(SECOND_START, 3);
    for _ in 0..120 {
        side.report(report_started(report(0, &["m2"]), FIRST_START));
    }
    assert_eq!(held(&side), vec!["m2"]);
}

/// An order for the previous incarnation is still in flight when the endpoint restarts under its
/// name, and the new incarnation carries it out as its first order. The side's own order is
/// refused; the next one waits for a new report and uses the new count.
#[test]
fn late_order_of_the_previous_incarnation_is_counted() {
    let mut side = side_of(FIRST_START, 0);
    let lost = order(&side.request_load(load_request("m5", &[]))).unwrap();
    side.step(SideEvent::OrderAnswered(lost.number, OrderOutcome::Unknown, None));
    side.report(report_started(report(0, &[]), SECOND_START));
    side.step(SideEvent::NameReported("i1".to_owned()));
    let next = order(
        &side.request_load(LoadRequest { started: Some(SECOND_START), ..load_request("m6", &[]) }),
    )
    .unwrap();
    assert!(next.token > lost.token, "{} after {}", next.token, lost.token);
    side.step(SideEvent::OrderAnswered(next.number, OrderOutcome::Conflict, None));
    let busy = EngineReport { busy: true, ..report_started(report(1, &[]), SECOND_START) };
    assert_eq!(order(&side.report(busy)), None, "the late order is in progress");
    let effects = side.report(report_started(report(1, &["m5"]), SECOND_START));
    assert_eq!(order(&effects).unwrap().sequence, 1);
}

/// A side restarts next to an endpoint that has restarted under its name. The order count has
/// fallen, but fencing tokens must not: only they distinguish orders for the new incarnation from
/// late ones for the previous one.
#[test]
fn tokens_increase_across_restarts_of_side_and_endpoint() {
    let mut first = side_of(FIRST_START, 41);
    let before = order(&first.request_load(load_request("m5", &[]))).unwrap().token;
    let mut second = side_of(SECOND_START, 0);
    let after = order(&second.request_load(load_request("m5", &[]))).unwrap().token;
    assert!(after > before, "{after} after {before}");
}

/// An entry sends a load request based on the state of the previous incarnation. Its eviction
/// candidates and free memory no longer apply, so the side declines.
#[test]
fn load_request_for_the_previous_incarnation_is_declined() {
    let mut side = side_of(SECOND_START, 0);
    assert!(declined(
        &side.request_load(LoadRequest { started: Some(FIRST_START), ..load_request("m5", &[]) })
    ));
    assert!(!declined(
        &side.request_load(LoadRequest { started: Some(SECOND_START), ..load_request("m5", &[]) })
    ));
}

/// An endpoint restarts under its name, and the member list reports it first. The side's state of
/// the previous incarnation is discarded; a request for a model that was loaded then would be
/// refused and lose time.
#[test]
fn restart_seen_in_the_list_discards_the_side_state() {
    let mut bench = Bench::new(vec![member_started(member(1, ENGINE, &["m0"]), FIRST_START)]);
    bench.step(EntryEvent::SideReport(address(1), state_started(state(3, &["m0"]), FIRST_START)));
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m0"), Some("i1".to_owned()));
    bench.update_row(2, "i1", Some(member_started(member(1, ENGINE, &["m1"]), SECOND_START)));
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m1"), Some("i1".to_owned()));
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m0"), None);
    // The side has not polled again yet and still reports the previous incarnation.
    bench.step(EntryEvent::SideReport(address(1), state_started(state(3, &["m0"]), FIRST_START)));
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m0"), None);
}

/// The side reports a restart first, and the member list follows with a row of the previous
/// incarnation. The older row must not restore that incarnation's models, in whichever order the
/// two arrive.
#[test]
fn older_row_never_replaces_a_newer_incarnation() {
    let mut bench = Bench::new(vec![member_started(member(1, ENGINE, &["m0"]), FIRST_START)]);
    bench.step(EntryEvent::SideReport(address(1), state_started(state(0, &["m1"]), SECOND_START)));
    // Long enough for the side's report to be no longer recent.
    bench.advance(2_100);
    bench.step(EntryEvent::ProbeReply(address(1)));
    bench.update_row(2, "i1", Some(member_started(member(1, ENGINE, &["m0"]), FIRST_START)));
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m0"), None);
    assert_eq!(dispatched_to(&mut bench, "/chat/x", "m1"), Some("i1".to_owned()));
}

/// A plain endpoint restarts after its clock was set back. It has no side, and its row does not
/// change again: the row is accepted after two heartbeats, as nothing has contradicted it.
#[test]
fn older_row_that_persists_is_accepted() {
    let moved =
        Member { address: address(9), ..member_started(member(1, PLAIN, &[]), FIRST_START) };
    let mut bench = Bench::new(vec![member_started(member(1, PLAIN, &[]), SECOND_START)]);
    bench.update_row(2, "i1", Some(moved));
    let (_, effects) = bench.request("/book/x", "");
    assert_eq!(dispatch(&effects).unwrap().address, address(1));
    bench.advance(2_600);
    let (_, effects) = bench.request("/book/x", "");
    assert_eq!(dispatch(&effects).unwrap().address, address(9));
}

/// The member list marks an endpoint as leaving with an older start time, and it has no side. New
/// requests stop at once: whether the clock was set back or the row is late shows only later.
#[test]
fn leaving_flag_of_an_older_incarnation_is_applied_at_once() {
    let leaving = Member { leaving: true, ..member_started(member(1, PLAIN, &[]), FIRST_START) };
    let mut bench = Bench::new(vec![member_started(member(1, PLAIN, &[]), SECOND_START)]);
    bench.update_row(2, "i1", Some(leaving));
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), None);
    bench.update_row(3, "i1", Some(member_started(member(1, PLAIN, &[]), SECOND_START)));
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}

/// An endpoint failed many requests and restarts under its name. The failures of the previous
/// incarnation must not make the healthy, empty new one the last choice for a while.
#[test]
fn new_incarnation_has_no_failure_history() {
    let members = vec![member_started(member(1, PLAIN, &[]), FIRST_START), member(2, PLAIN, &[])];
    let mut bench = Bench::new(members);
    for _ in 0..8 {
        let (id, effects) = bench.request("/book/x", "");
        if dispatch(&effects).unwrap().instance == "i1" {
            bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Broken));
        }
    }
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), Some("i2".to_owned()));
    bench.update_row(2, "i1", Some(member_started(member(1, PLAIN, &[]), SECOND_START)));
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}

/// An endpoint restarts under its name after an entry sent it a load request. Its side has lost the
/// request, so the entry repeats it at once instead of waiting for it to expire.
#[test]
fn load_request_is_repeated_after_a_restart() {
    let mut bench = Bench::new(vec![member_started(member(1, ENGINE, &["m0"]), FIRST_START)]);
    bench.step(EntryEvent::SideReport(address(1), state_started(state(3, &["m0"]), FIRST_START)));
    let (_, effects) = bench.request("/chat/x", "m5");
    assert_eq!(requested_load(&effects).unwrap().1.started, Some(FIRST_START));
    let effects =
        bench.step(EntryEvent::SideReport(address(1), state_started(state(0, &[]), SECOND_START)));
    let (_, load_request) = requested_load(&effects).unwrap();
    assert_eq!((load_request.model.as_str(), load_request.started), ("m5", Some(SECOND_START)));
}

/// A row of another writer has a service that is not configured and the address of an endpoint in
/// use. The endpoint stays in use; the row takes effect once a configuration has its service.
#[test]
fn row_of_an_unknown_service_does_not_replace_an_endpoint() {
    let foreign = Member { service: "elsewhere".to_owned(), ..member(1, PLAIN, &[]) };
    let foreign = Member { instance: "x1".to_owned(), ..foreign };
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let effects = bench.update_row(2, "x1", Some(foreign.clone()));
    let logged = |effect: &EntryEffect| matches!(effect, EntryEffect::Log(event) if event.event == "unknown_service");
    assert!(effects.iter().any(logged));
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
    bench.update_row(3, "i1", None);
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), None);
    // A row that arrives before any configuration is known does not replace the endpoint either.
    let mut bench = Bench::unconfigured();
    bench.set_members(1, vec![member(1, PLAIN, &[]), foreign]);
    bench.step(EntryEvent::Config(config(1)));
    assert_eq!(dispatched_to(&mut bench, "/book/x", ""), Some("i1".to_owned()));
}
