//! Tests of the entry's state machine, each for one failure.

use citronrill_pool::Verdict;
use citronrill_pool::{
    EntryEffect, EntryEvent, FailureKind, Reason, ResponseEnd, ResponseHead, RetryPolicy,
    classify_response,
};
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, address, config, dispatch, forwards, member, not_run, ok, refusal, route,
    state,
};

/// A process starts during an outage of the platform store and already receives requests. It knows
/// no routes, so it must answer with a retry time and not claim that a route does not exist.
#[test]
fn requests_without_a_configuration_are_refused_with_a_retry_time() {
    let mut bench = Bench::unconfigured();
    let (_, effects) = bench.request("/chat/x", "m0");
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::NoConfig, 503));
    assert!(retry_ms.is_some());
}

/// A load balancer must not send requests to a process that has the configuration but no member
/// list yet.
#[test]
fn entry_is_ready_once_it_has_configuration_and_member_list() {
    let mut bench = Bench::unconfigured();
    bench.step(EntryEvent::Config(config(1)));
    assert!(!bench.entry.ready());
    bench.set_members(1, vec![member(1, PLAIN, &[])]);
    assert!(bench.entry.ready());
}

/// A load balancer must not send requests to a process that has the member list but no
/// configuration yet.
#[test]
fn entry_with_a_member_list_only_is_not_ready() {
    let mut bench = Bench::unconfigured();
    bench.set_members(1, vec![member(1, PLAIN, &[])]);
    assert!(!bench.entry.ready());
}

/// During an outage of the platform store, a caller must not be told that a route or model does not
/// exist: it may have been added meanwhile, and the caller would not retry. Known routes are
/// served.
#[test]
fn missing_routes_are_retryable_in_a_store_outage() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    bench.step(EntryEvent::ConfigCurrent(false));
    for (path, model) in [("/added/x", ""), ("/chat/x", "added")] {
        let (_, effects) = bench.request(path, model);
        let (reason, retry_ms) = refusal(&effects).unwrap();
        assert_eq!((reason, reason.status()), (Reason::StaleConfig, 503));
        assert!(retry_ms.is_some());
    }
    assert!(dispatch(&bench.request("/status/x", "").1).is_some());
    bench.step(EntryEvent::ConfigCurrent(true));
    assert_eq!(refusal(&bench.request("/added/x", "").1).unwrap().0, Reason::NoRoute);
}

/// A process that starts during an outage of the platform store and gets its configuration from a
/// peer must not tell callers either that a route does not exist.
#[test]
fn missing_routes_are_retryable_with_a_configuration_from_a_peer() {
    let mut bench = Bench::unconfigured();
    bench.step(EntryEvent::Config(config(1)));
    bench.set_members(1, vec![member(1, PLAIN, &[])]);
    assert_eq!(refusal(&bench.request("/added/x", "").1).unwrap().0, Reason::StaleConfig);
}

/// An operator removes a route in version 2, and a peer that lags behind sends version 1. Requests
/// on the removed route must not be served again.
#[test]
fn older_configuration_is_ignored() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let mut newer = (*config(2)).clone();
    newer.routes.retain(|route| route.prefix != "/status/");
    bench.step(EntryEvent::Config(newer.into()));
    bench.step(EntryEvent::Config(config(1)));
    let (_, effects) = bench.request("/status/x", "");
    assert_eq!(refusal(&effects).unwrap().0, Reason::NoRoute);
}

/// Two routes with a common prefix lead to different services. The longer prefix applies.
#[test]
fn the_longest_prefix_wins() {
    let mut config = (*config(2)).clone();
    config.routes.push(route("/status/deep/", ENGINE, RetryPolicy::Idempotent, 1));
    assert_eq!(config.route("pool.example", "/status/deep/x").unwrap().shares[0].0, ENGINE);
    assert_eq!(config.route("pool.example", "/status/x").unwrap().shares[0].0, PLAIN);
    assert!(config.route("other.example", "/status/x").is_none());
}

/// A non-repeatable call was dispatched and its connection broke. It may have run: it is not
/// retried, and the response does not claim that it has not run.
#[test]
fn call_that_may_have_run_is_not_retried() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let (id, effects) = bench.request("/book/x", "");
    assert!(dispatch(&effects).is_some());
    let effects = bench.step(EntryEvent::DispatchFailed(id, 1, FailureKind::Broken));
    assert!(dispatch(&effects).is_none());
    let (reason, _) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::Broken, 502));
}

/// An endpoint with full slots refuses a non-repeatable call and states that it has not run. The
/// call is dispatched to another endpoint.
#[test]
fn call_that_has_not_run_is_retried_elsewhere() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let (id, effects) = bench.request("/book/x", "");
    let first = dispatch(&effects).unwrap().instance.clone();
    let effects = bench.respond(id, not_run(503));
    assert_ne!(dispatch(&effects).unwrap().instance, first);
}

/// Both endpoints answer an idempotent call with an error. The caller gets the last endpoint's
/// response unchanged, with its signature, and not one of the entry's own.
#[test]
fn last_endpoint_error_is_forwarded() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let failure = ResponseHead { status: 500, signed: true, ..ResponseHead::default() };
    let (id, _) = bench.request("/status/x", "");
    let effects = bench.respond(id, failure);
    assert!(dispatch(&effects).is_some(), "it may run again, at the other endpoint");
    let effects = bench.step(EntryEvent::ResponseHead(id, 2, failure));
    assert!(forwards(&effects));
}

/// A success without a signature, or a response to another request, counts as failed. "Not run"
/// allows a retry of any request; an error allows one of requests that may run again.
#[rstest]
#[case(ok(), RetryPolicy::Once, Verdict::Forward)]
#[case(ResponseHead { signed: false, ..ok() }, RetryPolicy::Once, Verdict::Failed)]
#[case(ResponseHead { misdirected: true, ..ok() }, RetryPolicy::Idempotent, Verdict::Failed)]
#[case(not_run(503), RetryPolicy::Once, Verdict::NotRun)]
#[case(not_run(421), RetryPolicy::Stream, Verdict::NotRun)]
#[case(ResponseHead { status: 500, signed: true, ..ResponseHead::default() }, RetryPolicy::Once, Verdict::Forward)]
#[case(
    ResponseHead { status: 500, signed: true, ..ResponseHead::default() },
    RetryPolicy::Idempotent,
    Verdict::Failed
)]
fn responses_are_classified(
    #[case] head: ResponseHead,
    #[case] retry_policy: RetryPolicy,
    #[case] expected: Verdict,
) {
    assert_eq!(classify_response(head, retry_policy), expected);
}

/// An endpoint reports that it is leaving. New requests go to other endpoints from then on.
#[test]
fn leaving_endpoint_gets_no_new_requests() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let mut leaving = member(1, PLAIN, &[]);
    leaving.leaving = true;
    bench.set_members(2, vec![leaving, member(2, PLAIN, &[])]);
    for _ in 0..12 {
        let (id, effects) = bench.request("/book/x", "");
        assert_eq!(dispatch(&effects).unwrap().instance, "i2");
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
}

/// A member list arrives after a newer one from which an endpoint is gone. The endpoint must not
/// come back.
#[test]
fn older_member_list_is_ignored() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    bench.set_members(5, vec![member(2, PLAIN, &[])]);
    bench.set_members(4, vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    for _ in 0..6 {
        let (_, effects) = bench.request("/book/x", "");
        assert_eq!(dispatch(&effects).unwrap().instance, "i2");
    }
}

/// A process at the address of a crashed one refuses a request for it. The crashed one is removed,
/// although the member list names it for some more seconds, and requests go to its successor.
#[test]
fn superseded_incarnation_is_removed() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let (id, _) = bench.request("/book/x", "");
    let mut head = not_run(421);
    head.other_incarnation = true;
    bench.respond(id, head);
    let (_, effects) = bench.request("/book/x", "");
    assert_eq!(refusal(&effects).unwrap().0, Reason::NoEndpoint);
}

/// An instance loses power with a resumable request on it, and nothing closes the connection. The
/// request is retried at another endpoint after twice the latency target. A late response to the
/// first attempt must not be taken for one to the second.
#[test]
fn unanswered_attempt_is_retried_and_its_late_response_ignored() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members);
    for index in [1, 2] {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    let (id, effects) = bench.request("/chat/x", "m0");
    let first = dispatch(&effects).unwrap().instance.clone();
    assert!(dispatch(&bench.advance(1_100)).is_none(), "the other endpoint is to answer a probe");
    let other = if first == "i1" { address(2) } else { address(1) };
    let effects = bench.step(EntryEvent::ProbeReply(other));
    let second = dispatch(&effects).expect("retried after twice the latency target");
    assert_ne!(second.instance, first);
    assert_eq!(second.number, 2);
    let effects = bench.respond(id, ok());
    assert!(!forwards(&effects), "a response to the first attempt is ignored");
    let effects = bench.step(EntryEvent::ResponseHead(id, 2, ok()));
    assert!(forwards(&effects));
}

/// An instance loses power with a request on it that may run only once. The request is not retried,
/// as it may be running.
#[test]
fn unanswered_request_that_may_run_once_is_not_retried() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members);
    for index in 1..=2 {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
    let (_, effects) = bench.request("/draft/x", "m0");
    assert!(dispatch(&effects).is_some());
    assert!(dispatch(&bench.advance(3_000)).is_none());
}

/// A request without a response within the route's timeout of five seconds is ended by the entry,
/// and not held until its caller gives up.
#[test]
fn request_ends_at_its_route_timeout() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    bench.request("/book/x", "");
    let effects = bench.advance(5_040);
    let (reason, _) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::TimedOut, 504), "it may have run");
}

/// An entry gets SIGTERM while one request waits for its model and another one runs. The waiting
/// one is refused in time to be retried elsewhere, the running one is answered before the process
/// ends; without this, both callers saw a closed connection.
#[test]
fn planned_stop_answers_all_requests() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    bench.request("/draft/x", "m0");
    let (_, effects) = bench.request("/draft/x", "m5");
    assert!(dispatch(&effects).is_none());
    bench.step(EntryEvent::Stop(1_000, 3_000));
    let effects = bench.advance(1_100);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::Stopping, 503));
    assert!(retry_ms.unwrap() < 200, "another entry can take it at once");
    let effects = bench.advance(2_000);
    assert_eq!(refusal(&effects).unwrap().0, Reason::TimedOut);
}

/// Guards against requests that are sent so late in a planned stop that they are cut at its end: they are refused at
/// once as not run. What ends in time is sent.
#[rstest]
#[case::stream("/draft/x", 5_000, false)]
#[case::resumable_stream("/chat/x", 5_000, false)]
#[case::stream_with_a_short_deadline("/draft/x", 1_500, true)]
#[case::call("/book/x", 5_000, true)]
fn a_request_late_in_a_planned_stop_is_sent_if_it_can_end(
    #[case] path: &str,
    #[case] deadline_ms: u64,
    #[case] sent: bool,
) {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"]), member(2, PLAIN, &[])]);
    bench.step(EntryEvent::Stop(1_000, 3_000));
    bench.advance(1_100);
    bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    let model = if path == "/book/x" { "" } else { "m0" };
    let (_, effects) = bench.request_with_deadline(path, model, deadline_ms);
    assert_eq!(dispatch(&effects).is_some(), sent, "{effects:?}");
    if !sent {
        let (reason, retry_ms) = refusal(&effects).unwrap();
        assert_eq!((reason, reason.status()), (Reason::Stopping, 503));
        assert!(retry_ms.unwrap() < 200, "another entry can take it at once");
    }
}

/// Guards against a call that is sent although its endpoint usually takes longer than what is left of a planned
/// stop; before the last moments it is sent.
#[rstest]
#[case(100, true)]
#[case(700, false)]
fn a_call_late_in_a_planned_stop_is_sent_if_it_usually_ends(
    #[case] usual_ms: u64,
    #[case] sent: bool,
) {
    let mut bench = Bench::new(vec![member(2, PLAIN, &[])]);
    for _ in 0..4 {
        let (id, _) = bench.request("/book/x", "");
        bench.now += usual_ms;
        bench.respond(id, ok());
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
    bench.step(EntryEvent::Stop(1_000, 3_000));
    bench.advance(2_000);
    let (_, effects) = bench.request("/book/x", "");
    assert_eq!(dispatch(&effects).is_some(), sent, "{effects:?}");
    assert_eq!(refusal(&effects).is_none(), sent);
    bench.advance(980);
    let (_, effects) = bench.request("/book/x", "");
    assert_eq!(refusal(&effects).unwrap().0, Reason::Stopping, "at the end");
}

/// Guards against a stream that is taken at the start of a planned stop although streams usually last beyond its end.
#[rstest]
#[case(500, true)]
#[case(2_500, false)]
fn a_stream_in_a_planned_stop_is_sent_if_it_usually_ends(
    #[case] usual_ms: u64,
    #[case] sent: bool,
) {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    for _ in 0..4 {
        bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
        let (id, _) = bench.request("/draft/x", "m0");
        bench.respond(id, ok());
        bench.now += usual_ms;
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
    bench.step(EntryEvent::SideReport(address(1), state(1, &["m0"])));
    bench.step(EntryEvent::Stop(1_000, 2_000));
    let (_, effects) = bench.request("/draft/x", "m0");
    assert_eq!(dispatch(&effects).is_some(), sent, "{effects:?}");
    assert_eq!(refusal(&effects).map(|(reason, _)| reason), (!sent).then_some(Reason::Stopping));
}

/// Guards against a stream that breaks off late in a planned stop and is not resumed, though its caller has a part.
#[test]
fn a_stream_that_breaks_off_late_in_a_planned_stop_is_resumed() {
    let members = (1..=2).map(|index| member(index, ENGINE, &["m0"])).collect();
    let mut bench = Bench::new(members);
    let report = |bench: &mut Bench| {
        for index in 1..=2 {
            bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
        }
    };
    report(&mut bench);
    let (id, _) = bench.request("/chat/x", "m0");
    bench.respond(id, ok());
    bench.step(EntryEvent::Stop(1_000, 3_000));
    bench.now += 1_100;
    report(&mut bench);
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(3)));
    assert!(dispatch(&effects).is_some(), "{effects:?}");
}

/// Guards against a request that ran, broke off late in a planned stop, and is said not to have run.
#[test]
fn a_request_that_ran_is_not_refused_as_not_run_in_a_planned_stop() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    for _ in 0..4 {
        let (id, _) = bench.request("/book/x", "");
        bench.now += 700;
        bench.respond(id, ok());
        bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    }
    let (id, effects) = bench.request("/status/x", "");
    assert!(dispatch(&effects).is_some());
    bench.step(EntryEvent::Stop(1_000, 3_000));
    bench.now += 2_000;
    let effects = bench.step(EntryEvent::DispatchFailed(id, 1, FailureKind::Broken));
    let (reason, _) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::TimedOut, 504));
}

/// A caller leaves while its request runs. The endpoint's request count must decrease, or the
/// endpoint would look busy forever.
#[test]
fn leaving_caller_releases_its_slot() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    for _ in 0..40 {
        let (id, effects) = bench.request("/book/x", "");
        assert!(dispatch(&effects).is_some());
        bench.step(EntryEvent::CallerLeft(id));
    }
    assert_eq!(bench.entry.in_flight(), 0);
}

/// Every refusal is logged with the request's ID and the inputs of the decision.
#[test]
fn refusals_are_logged_with_their_inputs() {
    let mut bench = Bench::new(vec![]);
    let (_, effects) = bench.request("/book/x", "");
    let line = effects.iter().find_map(|effect| match effect {
        EntryEffect::Log(event) if event.event == "refused" => Some(event.to_string()),
        _ => None,
    });
    let line = line.unwrap();
    for part in ["id=c1", "reason=no_endpoint", "text=1", "list=1", "runs=0"] {
        assert!(line.contains(part), "{part} is missing in: {line}");
    }
}
