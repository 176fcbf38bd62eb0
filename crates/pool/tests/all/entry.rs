//! Guards of the entry's reducer, each with the failure that it meets.

use citronrill_pool::Verdict;
use citronrill_pool::{AnswerHead, EntryEffect, EntryEvent, FailureKind, Reason, Repeat, judge};
use rstest::rstest;

use crate::support::{
    Bench, ENGINE, PLAIN, address, member, not_run, ok, passes, refusal, route, sending, state,
    text,
};

/// A process starts while the store is away and callers already reach it. Nothing may be said of
/// routes that it does not know: the caller is told to come back, not that there is no such route.
#[test]
fn without_a_text_callers_are_told_to_come_back() {
    let mut bench = Bench::blank();
    let (_, effects) = bench.ask("/chat/x", "m0");
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::NoText, 503));
    assert!(retry_ms.is_some());
}

/// Guards against a balancer that sends callers to a process that has read the text but not yet the list.
#[test]
fn an_entry_is_ready_once_it_knows_text_and_list() {
    let mut bench = Bench::blank();
    bench.step(EntryEvent::Text(text(1)));
    assert!(!bench.entry.ready());
    bench.list(1, vec![member(1, PLAIN, &[])]);
    assert!(bench.entry.ready());
}

/// Guards against the same where the list comes first.
#[test]
fn an_entry_with_a_list_and_no_text_is_not_ready() {
    let mut bench = Bench::blank();
    bench.list(1, vec![member(1, PLAIN, &[])]);
    assert!(!bench.entry.ready());
}

/// Guards against a caller who is told, in an outage of the store, that a route or model does not exist
/// which was added meanwhile: it would not come back. What the old text knows is served.
#[test]
fn in_an_outage_nothing_is_said_not_to_exist() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    bench.step(EntryEvent::TextCurrent(false));
    for (path, model) in [("/added/x", ""), ("/chat/x", "added")] {
        let (_, effects) = bench.ask(path, model);
        let (reason, retry_ms) = refusal(&effects).unwrap();
        assert_eq!((reason, reason.status()), (Reason::OldText, 503));
        assert!(retry_ms.is_some());
    }
    assert!(sending(&bench.ask("/status/x", "").1).is_some());
    bench.step(EntryEvent::TextCurrent(true));
    assert_eq!(refusal(&bench.ask("/added/x", "").1).unwrap().0, Reason::NoRoute);
}

/// Guards against the same where a process starts in the outage and has its text from a peer.
#[test]
fn a_text_of_a_peer_says_of_nothing_that_it_does_not_exist() {
    let mut bench = Bench::blank();
    bench.step(EntryEvent::Text(text(1)));
    bench.list(1, vec![member(1, PLAIN, &[])]);
    assert_eq!(refusal(&bench.ask("/added/x", "").1).unwrap().0, Reason::OldText);
}

/// An operator removes a route in version 2. A peer that lagged behind then passes on version 1;
/// a request on the removed route must not be served again.
#[test]
fn a_text_never_goes_back() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let mut newer = (*text(2)).clone();
    newer.routes.retain(|route| route.prefix != "/status/");
    bench.step(EntryEvent::Text(newer.into()));
    bench.step(EntryEvent::Text(text(1)));
    let (_, effects) = bench.ask("/status/x", "");
    assert_eq!(refusal(&effects).unwrap().0, Reason::NoRoute);
}

/// Two routes begin alike and lead to different services. The longer prefix is meant.
#[test]
fn the_longest_prefix_wins() {
    let mut text = (*text(2)).clone();
    text.routes.push(route("/status/deep/", ENGINE, Repeat::Idempotent, 1));
    assert_eq!(text.route("pool.example", "/status/deep/x").unwrap().shares[0].0, ENGINE);
    assert_eq!(text.route("pool.example", "/status/x").unwrap().shares[0].0, PLAIN);
    assert!(text.route("other.example", "/status/x").is_none());
}

/// A booking was sent and its connection broke. It may have run: it is not sent again, and the
/// answer does not claim that it has not run.
#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let (id, effects) = bench.ask("/book/x", "");
    assert!(sending(&effects).is_some());
    let effects = bench.step(EntryEvent::Fail(id, 1, FailureKind::Broken));
    assert!(sending(&effects).is_none());
    let (reason, _) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::Broken, 502));
}

/// An endpoint refuses a booking and says that it has not run, as its slots are full. Another
/// endpoint may have it.
#[test]
fn a_call_that_has_not_run_goes_elsewhere() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let (id, effects) = bench.ask("/book/x", "");
    let first = sending(&effects).unwrap().instance.clone();
    let effects = bench.answer(id, not_run(503));
    assert_ne!(sending(&effects).unwrap().instance, first);
}

/// Both endpoints fail a status query of their own. The caller gets the last endpoint's answer as
/// it is, with its signature, and not one of the system's in its place.
#[test]
fn an_endpoints_own_failure_is_passed_on_in_the_end() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let failure = AnswerHead { status: 500, signed: true, ..AnswerHead::default() };
    let (id, _) = bench.ask("/status/x", "");
    let effects = bench.answer(id, failure);
    assert!(sending(&effects).is_some(), "it may run again, at the other endpoint");
    let effects = bench.step(EntryEvent::Answer(id, 2, failure));
    assert!(passes(&effects));
}

/// What an endpoint's answer means: success without signature and answers to other requests are
/// nobody's; "not run" frees any request; a failure frees what may run again.
#[rstest]
#[case(ok(), Repeat::Once, Verdict::Pass)]
#[case(AnswerHead { signed: false, ..ok() }, Repeat::Once, Verdict::Failed)]
#[case(AnswerHead { foreign: true, ..ok() }, Repeat::Idempotent, Verdict::Failed)]
#[case(not_run(503), Repeat::Once, Verdict::NotRun)]
#[case(not_run(421), Repeat::Stream, Verdict::NotRun)]
#[case(AnswerHead { status: 500, signed: true, ..AnswerHead::default() }, Repeat::Once, Verdict::Pass)]
#[case(
    AnswerHead { status: 500, signed: true, ..AnswerHead::default() },
    Repeat::Idempotent,
    Verdict::Failed
)]
fn answers_are_judged(#[case] head: AnswerHead, #[case] repeat: Repeat, #[case] want: Verdict) {
    assert_eq!(judge(head, repeat), want);
}

/// An endpoint says that it leaves. New requests go elsewhere from then on.
#[test]
fn a_leaving_endpoint_gets_nothing_new() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    let mut leaving = member(1, PLAIN, &[]);
    leaving.leaving = true;
    bench.list(2, vec![leaving, member(2, PLAIN, &[])]);
    for _ in 0..12 {
        let (id, effects) = bench.ask("/book/x", "");
        assert_eq!(sending(&effects).unwrap().instance, "i2");
        bench.step(EntryEvent::Finish(id, true));
    }
}

/// The list is read anew and arrives late, after a newer one in which an endpoint has left. The
/// endpoint must not come back.
#[test]
fn an_older_list_changes_nothing() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    bench.list(5, vec![member(2, PLAIN, &[])]);
    bench.list(4, vec![member(1, PLAIN, &[]), member(2, PLAIN, &[])]);
    for _ in 0..6 {
        let (_, effects) = bench.ask("/book/x", "");
        assert_eq!(sending(&effects).unwrap().instance, "i2");
    }
}

/// A process has the address of one that crashed and says so. The crashed one is forgotten, though
/// the list names it for some seconds more, and the request goes to its successor.
#[test]
fn a_superseded_start_is_forgotten() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    let (id, _) = bench.ask("/book/x", "");
    let mut head = not_run(421);
    head.elsewhere = true;
    bench.answer(id, head);
    let (_, effects) = bench.ask("/book/x", "");
    assert_eq!(refusal(&effects).unwrap().0, Reason::NoEndpoint);
}

/// An instance loses power with a resumable request on it; nothing closes the connection. The
/// request goes to another endpoint after two objectives, and its old answer, should it still come,
/// is not taken for the new one's.
#[test]
fn a_silent_sending_is_moved_and_its_late_answer_ignored() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members);
    for index in [1, 2] {
        bench.step(EntryEvent::Side(address(index), state(1, &["m0"])));
    }
    let (id, effects) = bench.ask("/chat/x", "m0");
    let first = sending(&effects).unwrap().instance.clone();
    let effects = bench.wait(1_100);
    let second = sending(&effects).expect("moved after two objectives");
    assert_ne!(second.instance, first);
    assert_eq!(second.number, 2);
    let effects = bench.answer(id, ok());
    assert!(!passes(&effects), "the first sending's answer is not held any more");
    let effects = bench.step(EntryEvent::Answer(id, 2, ok()));
    assert!(passes(&effects));
}

/// The same with a request that may run once: it stays where it is, as it may be running.
#[test]
fn a_silent_call_that_may_run_once_stays() {
    let members = vec![member(1, ENGINE, &["m0"]), member(2, ENGINE, &["m0"])];
    let mut bench = Bench::new(members);
    for index in 1..=2 {
        bench.step(EntryEvent::Side(address(index), state(1, &["m0"])));
    }
    let (_, effects) = bench.ask("/draft/x", "m0");
    assert!(sending(&effects).is_some());
    assert!(sending(&bench.wait(3_000)).is_none());
}

/// A route allows five seconds. A request that no endpoint has answered by then is ended by the
/// entry, and not held until its caller gives up.
#[test]
fn a_request_ends_at_its_routes_timeout() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    bench.ask("/book/x", "");
    let effects = bench.wait(5_040);
    let (reason, _) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::TimedOut, 504), "it may have run");
}

/// An entry gets SIGTERM while a request waits for its model and another runs. The waiting one is
/// told to go elsewhere in time, the running one is answered before the process ends; before, both
/// saw a closed connection.
#[test]
fn a_planned_stop_leaves_nobody_without_an_answer() {
    let mut bench = Bench::new(vec![member(1, ENGINE, &["m0"])]);
    bench.step(EntryEvent::Side(address(1), state(1, &["m0"])));
    bench.ask("/draft/x", "m0");
    let (_, effects) = bench.ask("/draft/x", "m5");
    assert!(sending(&effects).is_none());
    bench.step(EntryEvent::Stop(1_000, 3_000));
    let effects = bench.wait(1_100);
    let (reason, retry_ms) = refusal(&effects).unwrap();
    assert_eq!((reason, reason.status()), (Reason::Stopping, 503));
    assert!(retry_ms.unwrap() < 200, "another entry takes it at once");
    let effects = bench.wait(2_000);
    assert_eq!(refusal(&effects).unwrap().0, Reason::TimedOut);
}

/// A caller leaves while its request runs. The endpoint's count goes down, or the endpoint would
/// look busy for good.
#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut bench = Bench::new(vec![member(1, PLAIN, &[])]);
    for _ in 0..40 {
        let (id, effects) = bench.ask("/book/x", "");
        assert!(sending(&effects).is_some());
        bench.step(EntryEvent::Leave(id));
    }
    assert_eq!(bench.entry.in_hand(), 0);
}

/// Every decision that ends a request is in the log with the request's id and what decided it.
#[test]
fn refusals_are_logged_with_their_inputs() {
    let mut bench = Bench::new(vec![]);
    let (_, effects) = bench.ask("/book/x", "");
    let line = effects.iter().find_map(|effect| match effect {
        EntryEffect::Log(event) if event.event == "refused" => Some(event.to_string()),
        _ => None,
    });
    let line = line.unwrap();
    for part in ["id=c1", "reason=no_endpoint", "text=1", "list=1", "runs=0"] {
        assert!(line.contains(part), "{part} is missing in: {line}");
    }
}
