//! Endpoints that turn requests away and want no others for a while.

use std::net::SocketAddr;

use citronrill_pool::{
    EntryEffect, EntryEvent, Member, RequestId, ResponseEnd, ResponseHead, StartTime,
};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, address, dispatch, member, not_run, ok, refusal, state,
};

const BACKOFF_MS: u64 = 3_000;

/// A response that turns a request away.
fn turned_away(backoff_ms: u64) -> ResponseHead {
    ResponseHead { backoff_ms: Some(backoff_ms), ..not_run(503) }
}

fn members(count: u8) -> Vec<Member> {
    (1..=count).map(|index| member(index, PLAIN, &[])).collect()
}

/// Sends a request; returns its ID and the instance that it is dispatched to.
fn send(bench: &mut Bench) -> (RequestId, Option<String>) {
    let (id, effects) = bench.request("/book/x", "");
    (id, instance(&effects))
}

fn instance(effects: &[EntryEffect]) -> Option<String> {
    dispatch(effects).map(|dispatch| dispatch.instance.clone())
}

fn serve(bench: &mut Bench, id: RequestId, number: u32) {
    bench.step(EntryEvent::ResponseHead(id, number, ok()));
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    bench.now += 20;
}

/// Lets an endpoint of two turn a request away; returns its name. The other one serves the request.
fn turn_away(bench: &mut Bench, backoff_ms: u64) -> String {
    let (id, first) = send(bench);
    let effects = bench.respond(id, turned_away(backoff_ms));
    assert!(instance(&effects).is_some_and(|second| Some(&second) != first.as_ref()));
    serve(bench, id, 2);
    first.unwrap()
}

/// Returns the instances that eight requests are dispatched to, each of which ends at once.
fn used(bench: &mut Bench) -> Vec<String> {
    let sent = (0..8).filter_map(|_| {
        let (id, instance) = send(bench);
        serve(bench, id, 1);
        instance
    });
    sent.collect()
}

/// Guards against requests to an endpoint before the time that it asked for has passed, and against one
/// that gets none after it.
#[test]
fn an_endpoint_that_turns_requests_away_gets_none_until_its_backoff_ends() {
    let mut bench = Bench::new(members(2));
    let told = turn_away(&mut bench, BACKOFF_MS);
    let end = bench.now + BACKOFF_MS;
    while bench.now + 200 < end {
        assert!(!used(&mut bench).contains(&told), "{} ms before the end", end - bench.now);
    }
    bench.advance(400);
    let other = if told == "i1" { "i2" } else { "i1" };
    bench.update_row(2, other, None);
    assert!(used(&mut bench).contains(&told));
}

/// What does not end a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Later {
    /// The endpoint asks for a shorter one.
    Shorter,
    /// It answers an earlier request.
    Answer,
    /// A complete list.
    List,
    /// Its row lapses and comes back.
    LapsedRow,
}

/// Guards against an endpoint that gets requests before the end of the longest time that it asked for.
#[rstest]
fn nothing_ends_a_backoff_early(
    #[values(Later::Shorter, Later::Answer, Later::List, Later::LapsedRow)] later: Later,
) {
    let mut bench = Bench::new(members(1));
    let (first, _) = send(&mut bench);
    let (second, _) = send(&mut bench);
    bench.update_row(2, "i2", Some(member(2, PLAIN, &[])));
    bench.respond(first, turned_away(BACKOFF_MS));
    match later {
        Later::Shorter => drop(bench.respond(second, turned_away(100))),
        Later::Answer => serve(&mut bench, second, 1),
        Later::List => drop(bench.set_members(3, members(2))),
        Later::LapsedRow => {
            bench.update_row(3, "i1", None);
            bench.update_row(4, "i1", Some(member(1, PLAIN, &[])));
        }
    }
    bench.now += 200;
    let used = used(&mut bench);
    assert!(used.len() == 8 && !used.contains(&"i1".to_owned()), "{used:?}");
}

/// Guards against an endpoint that gets no requests because of what its previous incarnation asked for.
#[test]
fn a_new_incarnation_has_no_backoff() {
    let mut bench = Bench::new(members(2));
    let told = turn_away(&mut bench, BACKOFF_MS);
    let index = told.trim_start_matches('i').parse::<u8>().unwrap();
    for started in [1, 2] {
        let row = Member { started: Some(StartTime(started)), ..member(index, PLAIN, &[]) };
        bench.update_row(1 + started, &told, Some(row));
    }
    bench.update_row(4, &format!("i{}", 3 - index), None);
    assert!(used(&mut bench).contains(&told));
}

/// Guards against callers who are held until their deadline while every endpoint wants no requests, and are
/// not told when to come back; and against some who are refused although one wants requests soon.
#[rstest]
#[case::longer_than_the_caller_waits(8_000, false)]
#[case::shorter(400, true)]
fn a_request_waits_only_for_a_backoff_that_ends_in_time(
    #[case] backoff_ms: u64,
    #[case] served: bool,
) {
    let mut bench = Bench::new(members(1));
    let (id, _) = send(&mut bench);
    let effects = bench.respond(id, turned_away(backoff_ms));
    assert_eq!(refusal(&effects).unwrap().0.status(), 503, "it was tried already");
    bench.now += 20;
    let (_, mut effects) = bench.request("/book/x", "");
    assert!(dispatch(&effects).is_none());
    if !served {
        let (reason, retry_ms) = refusal(&effects).unwrap();
        assert_eq!(reason.status(), 503);
        assert!((7_800..10_000).contains(&retry_ms.unwrap()), "{retry_ms:?}");
        return;
    }
    effects.extend(bench.advance(600));
    assert_eq!(instance(&effects), Some("i1".to_owned()));
}

/// Guards against all requests that wait for the end of a backoff reaching the endpoint at that moment,
/// which may turn them away again.
#[test]
fn one_request_goes_first_after_a_backoff() {
    let mut bench = Bench::new(members(1));
    let (id, _) = send(&mut bench);
    bench.respond(id, turned_away(400));
    bench.now += 20;
    let waiting = (0..5).map(|_| send(&mut bench).0).collect::<Vec<_>>();
    let effects = bench.advance(440);
    let sent = |effects: &[EntryEffect]| {
        effects.iter().filter(|effect| matches!(effect, EntryEffect::Dispatch(..))).count()
    };
    assert_eq!(sent(&effects), 1);
    let effects = bench.respond(waiting[0], ok());
    assert_eq!(sent(&effects) + sent(&bench.advance(40)), 4, "the others follow its answer");
}

/// Lets a side report that its endpoint has `m0` and these adapters.
fn report(bench: &mut Bench, index: u8, adapters: &[&str]) -> Vec<EntryEffect> {
    let mut reported = SideState { instance: format!("i{index}"), ..state(1, &["m0"]) };
    reported.models[0].adapters = adapters.iter().map(|name| (*name).to_owned()).collect();
    bench.step(EntryEvent::SideReport(address(index), reported))
}

/// Returns where an adapter is requested.
fn adapter_loads(effects: &[EntryEffect]) -> Vec<SocketAddr> {
    let loads = effects.iter().filter_map(|effect| match effect {
        EntryEffect::LoadRequest(at, load) if load.adapter == "a1" => Some(*at),
        _ => None,
    });
    loads.collect()
}

/// Guards against callers of an adapter who wait for its holder's backoff, although another holder of its
/// model could load it at once.
#[test]
fn an_adapter_is_loaded_elsewhere_while_its_holder_backs_off() {
    let engines = (1..=2).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(engines);
    report(&mut bench, 1, &["a1"]);
    report(&mut bench, 2, &[]);
    let (id, effects) = bench.request("/draft/x", "m0/a1");
    assert_eq!(instance(&effects), Some("i1".to_owned()));
    let mut effects = bench.respond(id, turned_away(BACKOFF_MS));
    bench.now += 20;
    effects.extend(bench.request("/draft/x", "m0/a1").1);
    assert!(refusal(&effects).is_none());
    effects.extend(bench.advance(40));
    let loads = adapter_loads(&effects);
    report(&mut bench, 2, &["a1"]);
    effects.extend(bench.advance(40));
    let used = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Dispatch(_, dispatch) => Some(dispatch.instance.as_str()),
        _ => None,
    });
    assert!(loads.contains(&address(2)) && !used.collect::<Vec<_>>().contains(&"i1"));
}

/// Guards against an adapter that is loaded at an endpoint that turns requests away as well.
#[test]
fn no_adapter_is_loaded_where_requests_are_turned_away() {
    let engines = (1..=2).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(engines);
    (1..=2).for_each(|index| drop(report(&mut bench, index, &[])));
    let (id, _) = bench.request("/draft/x", "m0");
    bench.respond(id, turned_away(BACKOFF_MS));
    bench.step(EntryEvent::ResponseHead(id, 2, turned_away(BACKOFF_MS)));
    bench.now += 20;
    bench.update_row(2, "i3", Some(member(3, ENGINE, &["m0"])));
    report(&mut bench, 3, &[]);
    let (_, mut effects) = bench.request("/draft/x", "m0/a1");
    effects.extend(bench.advance(100));
    assert!(adapter_loads(&effects).iter().all(|at| *at == address(3)), "{effects:?}");
    assert!(!adapter_loads(&effects).is_empty());
}
