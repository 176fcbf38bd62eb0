//! Limits in the entry's state machine.

use citronrill_pool::{
    EndpointRate, EntryEffect, EntryEvent, KeyDigest, LimitUnit, Organisation, Reason, RequestId,
    ResponseEnd, ResponseHead, TokenCount, UsageLimit,
};
use citronrill_wire::{Credit, CreditReply, CreditReport, EndpointLimit, SideState};
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, address, config, dispatch, member, not_run, ok, organisation, refusal,
    state, with_organisations,
};

const LIMIT: UsageLimit = UsageLimit { rate: 1_000, burst: 2_000, unit: LimitUnit::Tokens(200) };

/// An entry with one organisation that has a limit, and an engine whose side issues credit.
fn bench() -> Bench {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, PLAIN, &[])]);
    let limited = Organisation { limit: Some(LIMIT), ..organisation("north", &[1]) };
    bench.step(EntryEvent::Config(with_organisations(2, vec![limited])));
    let state = SideState { issues_credit: true, tracks_suspects: true, ..state(1, &["m0"]) };
    bench.step(EntryEvent::SideReport(address(1), state));
    bench.advance(20);
    bench
}

fn request(bench: &mut Bench) -> (RequestId, Vec<EntryEffect>) {
    bench.request_with_key("/book/x", Some(1))
}

fn report(effects: &[EntryEffect]) -> Option<&CreditReport> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::CreditReport(side, report) if *side == address(1) => Some(report),
        _ => None,
    })
}

/// Replies to the last report among the effects with this credit.
fn reply(bench: &mut Bench, effects: &[EntryEffect], units: u64) -> Vec<EntryEffect> {
    let number = report(effects).unwrap().number;
    let credits = vec![Credit { endpoint: false, name: "north".to_owned(), units, rate: 1_000 }];
    bench.step(EntryEvent::Credit(address(1), CreditReply { number, credits }))
}

/// Answers the first report, which the entry sent before it had a request.
fn settle(bench: &mut Bench) {
    let effects = bench.advance(600);
    reply(bench, &effects, 0);
    bench.now += 20;
}

/// Guards against requests that run before anyone knows whether their organisation is within its limit.
#[test]
fn a_request_waits_for_credit() {
    let mut bench = bench();
    settle(&mut bench);
    let (_, effects) = request(&mut bench);
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none());
    let uses = &report(&effects).unwrap().uses;
    assert_eq!((uses[0].name.as_str(), uses[0].used), ("north", 0));
    assert_eq!(uses[0].waiting, 200, "a request that declares no tokens counts as 200");
    let effects = reply(&mut bench, &effects, 500);
    assert!(dispatch(&effects).is_some());
    bench.now += 20;
    assert!(dispatch(&request(&mut bench).1).is_some(), "300 units are left");
}

/// Guards against callers over the limit who are held back, or told to return when they will be
/// refused again.
#[test]
fn a_request_over_the_limit_is_refused_at_once_with_a_retry_time() {
    let mut bench = bench();
    settle(&mut bench);
    let (_, effects) = request(&mut bench);
    let effects = reply(&mut bench, &effects, 100);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::OverLimit, 429));
    // 200 units at 1,000 a second.
    assert_eq!(retry_ms, Some(200));
    bench.now += 20;
    let (_, effects) = request(&mut bench);
    let effects = reply(&mut bench, &effects, 100);
    assert!(refusal(&effects).unwrap().1 > Some(300), "it returns behind the first");
}

/// Guards against credit that is lost with a request that did not run.
#[test]
fn the_credit_of_a_refused_request_is_returned() {
    let mut bench = bench();
    settle(&mut bench);
    let (id, effects) = request(&mut bench);
    reply(&mut bench, &effects, 200);
    let mut refused = bench.respond(id, not_run(503));
    for number in 2..6 {
        refused.extend(bench.step(EntryEvent::ResponseHead(id, number, not_run(503))));
    }
    assert_eq!(refusal(&refused).unwrap().0.status(), 503);
    bench.now += 20;
    assert!(dispatch(&request(&mut bench).1).is_some(), "the same credit serves another request");
}

/// Guards against credit that is returned for a request that ran.
#[test]
fn the_credit_of_a_request_that_ran_is_not_returned() {
    let mut bench = bench();
    settle(&mut bench);
    let (id, effects) = request(&mut bench);
    reply(&mut bench, &effects, 200);
    bench.respond(id, ok());
    bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    bench.now += 20;
    assert!(dispatch(&request(&mut bench).1).is_none());
}

/// Guards against callers that wait until their deadline for a side that does not reply, and against a
/// claim that they are over their limit.
#[test]
fn a_request_is_refused_soon_when_no_side_replies() {
    let mut bench = bench();
    settle(&mut bench);
    request(&mut bench);
    let effects = bench.advance(500);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::LimitUnknown, 503));
    assert!(retry_ms.is_some());
}

/// Guards against callers of a new organisation who are told that they are over their limit by a side
/// that has an older configuration.
#[test]
fn a_side_that_knows_no_limit_refuses_nobody() {
    let mut bench = bench();
    settle(&mut bench);
    let (_, effects) = request(&mut bench);
    let number = report(&effects).unwrap().number;
    let unknown = CreditReply { number, credits: Vec::new() };
    let effects = bench.step(EntryEvent::Credit(address(1), unknown));
    assert!(refusal(&effects).is_none() && dispatch(&effects).is_none());
    bench.now += 20;
    let effects = bench.advance(40);
    assert!(dispatch(&reply(&mut bench, &effects, 500)).is_some(), "it has the limit by now");
}

/// Guards against a request that blocks others of the same model while it waits for credit.
#[test]
fn a_request_that_waits_for_credit_blocks_no_other_organisation() {
    let mut bench = bench();
    let limited = Organisation { limit: Some(LIMIT), ..organisation("north", &[1]) };
    let free = organisation("south", &[2]);
    bench.step(EntryEvent::Config(with_organisations(3, vec![limited, free])));
    settle(&mut bench);
    let first = bench.request_for_model("/draft/x", "m5", Some(1)).0;
    let second = bench.request_for_model("/draft/x", "m5", Some(2)).0;
    let loaded = SideState { issues_credit: true, tracks_suspects: true, ..state(2, &["m5"]) };
    let effects = bench.step(EntryEvent::SideReport(address(1), loaded));
    let to = |id: RequestId| {
        effects.iter().any(|effect| matches!(effect, EntryEffect::Dispatch(to, _) if *to == id))
    };
    assert_eq!((to(first), to(second)), (false, true));
}

/// Guards against a declared size near the largest integer that wraps around.
#[test]
fn a_request_of_any_declared_size_is_counted() {
    let mut bench = bench();
    settle(&mut bench);
    let tokens = TokenCount { prompt: u32::MAX, answer: u32::MAX };
    let (_, effects) = bench.request_with_key_and_tokens("/book/x", KeyDigest(1), tokens);
    let waiting = report(&effects).unwrap().uses[0].waiting;
    assert_eq!(waiting, 2 * u64::from(u32::MAX));
    let effects = reply(&mut bench, &effects, 2_000);
    assert_eq!(refusal(&effects).unwrap().0, Reason::OverLimit);
}

/// Guards against a limit that a response lifts which is not the endpoint's own, or belongs to another
/// request.
#[rstest]
#[case::unsigned(ResponseHead { signed: false, ..ok() })]
#[case::of_another_request(ResponseHead { misdirected: true, ..ok() })]
fn only_an_endpoints_own_response_lifts_its_limit(#[case] stray: ResponseHead) {
    let mut bench = Bench::new(vec![member(2, PLAIN, &[])]);
    let (first, _) = bench.request("/status/x", "");
    bench.now += 20;
    let (second, _) = bench.request("/status/x", "");
    let (third, _) = bench.request("/status/x", "");
    let rate = EndpointRate::from_per_second(0.5);
    bench.respond(first, ResponseHead { rate, ..ok() });
    assert!(!logged(&bench.respond(second, stray), "event=endpoint_limit"));
    assert!(logged(&bench.respond(third, ok()), "event=endpoint_limit instance=i2 rate=none"));
}

fn logged(effects: &[EntryEffect], part: &str) -> bool {
    effects.iter().any(|effect| match effect {
        EntryEffect::Log(event) => event.to_string().contains(part),
        _ => false,
    })
}

/// Guards against an endpoint's limit that is reported, and asked about for each request, long after it was
/// lifted, where organisations have limits as well.
#[test]
fn a_lifted_limit_is_forgotten_after_a_while() {
    let mut bench = bench();
    bench.step(EntryEvent::Config(config(3)));
    let rate = EndpointRate::from_per_second(0.5);
    let (first, _) = bench.request("/status/x", "");
    bench.respond(first, ResponseHead { rate, ..ok() });
    let limited = Organisation { limit: Some(LIMIT), ..organisation("north", &[1]) };
    bench.step(EntryEvent::Config(with_organisations(4, vec![limited])));
    let reported = |effects: &[EntryEffect]| {
        let uses = &report(effects).unwrap().uses;
        uses.iter().any(|limit_use| limit_use.name == "i2")
    };
    let effects = bench.advance(600);
    assert!(reported(&effects));
    let lifted = EndpointLimit { instance: "i2".to_owned(), milli: None, age_ms: 0 };
    let state = SideState {
        issues_credit: true,
        tracks_suspects: true,
        endpoint_limits: vec![lifted],
        ..state(1, &["m0"])
    };
    bench.step(EntryEvent::SideReport(address(1), state.clone()));
    bench.advance(6_000);
    bench.step(EntryEvent::SideReport(address(1), SideState { endpoint_limits: vec![], ..state }));
    assert!(!reported(&bench.advance(600)));
}

/// Guards against a limit that a response lifts which an endpoint began before it named the limit.
#[test]
fn an_older_response_does_not_lift_an_endpoints_limit() {
    let mut bench = Bench::new(vec![member(2, PLAIN, &[])]);
    let (first, _) = bench.request("/status/x", "");
    bench.now += 20;
    let (second, _) = bench.request("/status/x", "");
    let rate = EndpointRate::from_per_second(0.5);
    let named = bench.respond(second, ResponseHead { rate, ..ok() });
    assert!(logged(&named, "event=endpoint_limit instance=i2 rate=0.5"));
    let older = bench.respond(first, ok());
    assert!(!logged(&older, "event=endpoint_limit"));
}

/// Guards against an endpoint that gets more than its limit because its row lapsed and came back.
#[test]
fn a_limit_outlives_the_row_of_its_endpoint() {
    let mut bench = bench();
    let (id, _) = bench.request("/status/x", "");
    let rate = EndpointRate::from_per_second(0.5);
    bench.respond(id, ResponseHead { rate, ..ok() });
    bench.update_row(2, "i2", None);
    bench.advance(2_000);
    bench.update_row(3, "i2", Some(member(2, PLAIN, &[])));
    let (_, effects) = bench.request("/status/x", "");
    assert!(dispatch(&effects).is_none(), "it waits for credit");
}
