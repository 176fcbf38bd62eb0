//! Streams that go on elsewhere when their endpoint breaks off.

use citronrill_pool::{
    AnswerHead, EntryEffect, EntryEvent, FailureKind, Member, RequestId, Resume, Sending,
    StartTime, TokenCount,
};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, member, sending, state};

/// The head of a success.
const SERVED: AnswerHead = AnswerHead {
    status: 200,
    not_run: false,
    signed: true,
    foreign: false,
    elsewhere: false,
    load: None,
};

/// An entry with engines that all hold `m0`, and whose sides are heard.
fn bench(engines: u8) -> Bench {
    let mut bench = Bench::new((1..=engines).map(|index| member(index, ENGINE, &["m0"])).collect());
    hear(&mut bench, engines);
    bench
}

fn hear(bench: &mut Bench, engines: u8) {
    for index in 1..=engines {
        bench.step(EntryEvent::Side(address(index), state(1, &["m0"])));
    }
}

/// A stream under `path` that its endpoint has begun to answer.
fn begun(bench: &mut Bench, path: &str) -> (RequestId, Sending) {
    let (id, effects) = bench.ask(path, "m0");
    let sent = sending(&effects).unwrap().clone();
    bench.step(EntryEvent::Answer(id, sent.number, SERVED));
    (id, sent)
}

/// Has the entry see that an endpoint is lost: a stream there breaks off.
fn lose(bench: &mut Bench) {
    let (id, _) = begun(bench, "/draft/x");
    bench.step(EntryEvent::Broke(id, Some(0)));
}

fn is_cut(effects: &[EntryEffect], id: RequestId) -> bool {
    effects.contains(&EntryEffect::Cut(id))
}

/// An engine crashes in the middle of a caller's stream, which may run once. Another engine has a copy of
/// its memory: there the same run goes on after the last event that the caller had.
#[test]
fn a_stream_goes_on_from_its_copy() {
    let mut bench = bench(3);
    lose(&mut bench);
    let (id, sent) = begun(&mut bench, "/draft/x");
    let backup = sent.backup.unwrap();
    assert_ne!(backup, sent.address);
    let effects = bench.step(EntryEvent::Broke(id, Some(7)));
    let next = sending(&effects).unwrap();
    assert_eq!(next.address, backup);
    assert_eq!(next.resume, Some(Resume { after: Some(7), copy: true }));
    let effects = bench.step(EntryEvent::Answer(id, next.number, SERVED));
    assert!(effects.contains(&EntryEffect::Pass(id)));
}

/// The same without a copy: a stream that may run once ends there, and its caller sees that it is not
/// whole. It must not run a second time.
#[test]
fn a_stream_without_a_copy_is_cut() {
    let mut bench = bench(3);
    let (id, sent) = begun(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None, "nothing has broken off yet");
    let effects = bench.step(EntryEvent::Broke(id, Some(7)));
    assert!(is_cut(&effects, id) && sending(&effects).is_none(), "{effects:?}");
    assert_eq!(bench.entry.in_hand(), 0);
}

/// A stream that may be resumed needs no copy: it goes on at any holder of its model after the last event.
#[test]
fn a_resumable_stream_goes_on_anywhere() {
    let mut bench = bench(2);
    let (id, sent) = begun(&mut bench, "/chat/x");
    let effects = bench.step(EntryEvent::Broke(id, Some(3)));
    let next = sending(&effects).unwrap();
    assert_ne!(next.address, sent.address);
    assert_eq!(next.resume, Some(Resume { after: Some(3), copy: false }));
}

/// An endpoint runs a request and its answer is lost with the connection, before any event. Sent on from
/// its copy, it ran twice: only what has given an event goes on.
#[rstest]
#[case(EntryEvent::Fail(RequestId(0), 1, FailureKind::Broken))]
#[case(EntryEvent::Broke(RequestId(0), None))]
fn what_has_given_no_event_does_not_go_on(#[case] event: EntryEvent) {
    let mut bench = bench(3);
    lose(&mut bench);
    let (id, effects) = bench.ask("/draft/x", "m0");
    let sent = sending(&effects).unwrap();
    assert!(sent.backup.is_some());
    let effects = match event {
        EntryEvent::Fail(_, number, kind) => bench.step(EntryEvent::Fail(id, number, kind)),
        _ => {
            bench.step(EntryEvent::Answer(id, sent.number, SERVED));
            bench.step(EntryEvent::Broke(id, None))
        }
    };
    assert!(sending(&effects).is_none(), "{effects:?}");
}

/// The endpoint where a stream goes on answers with a failure of its own, or has no copy. The caller has
/// the head of a success: the failure's body was taken for the end of the answer. It is cut instead.
#[rstest]
#[case::fails(AnswerHead { status: 500, signed: true, ..AnswerHead::default() }, "/draft/x")]
#[case::fails_signed(AnswerHead { status: 404, signed: true, ..AnswerHead::default() }, "/draft/x")]
#[case::has_no_copy(AnswerHead { status: 503, not_run: true, ..AnswerHead::default() }, "/draft/x")]
#[case::fails_again(AnswerHead { status: 500, signed: true, ..AnswerHead::default() }, "/chat/x")]
fn a_failure_does_not_follow_a_success(#[case] head: AnswerHead, #[case] path: &str) {
    let mut bench = bench(3);
    lose(&mut bench);
    let (id, _) = begun(&mut bench, path);
    let effects = bench.step(EntryEvent::Broke(id, Some(7)));
    let next = sending(&effects).unwrap();
    let effects = bench.step(EntryEvent::Answer(id, next.number, head));
    assert!(!effects.contains(&EntryEffect::Pass(id)), "{effects:?}");
    assert!(is_cut(&effects, id), "{effects:?}");
}

/// A stream is being taken up elsewhere when its time is up, and an own refusal cannot be said any more:
/// its answer ends where it is.
#[test]
fn a_stream_that_finds_no_end_is_cut_in_time() {
    let mut bench = bench(2);
    let (id, _) = begun(&mut bench, "/chat/x");
    bench.step(EntryEvent::Broke(id, Some(3)));
    let effects = bench.wait(5_100);
    assert!(is_cut(&effects, id), "{effects:?}");
    assert!(!effects.iter().any(|effect| matches!(effect, EntryEffect::Refuse(..))));
}

/// Two endpoints break off one after the other under one stream: it goes on from the second copy.
#[test]
fn a_stream_goes_on_twice() {
    let mut bench = bench(4);
    lose(&mut bench);
    let (id, _) = begun(&mut bench, "/draft/x");
    let mut after = 4;
    for _ in 0..2 {
        let effects = bench.step(EntryEvent::Broke(id, Some(after)));
        let next = sending(&effects).unwrap();
        assert_eq!(next.resume, Some(Resume { after: Some(after), copy: true }));
        bench.step(EntryEvent::Answer(id, next.number, SERVED));
        after += 3;
    }
    let effects = bench.step(EntryEvent::Finish(id, true));
    assert!(!is_cut(&effects, id));
    assert_eq!(bench.entry.in_hand(), 0);
}

/// The caller leaves while its stream is being taken up elsewhere: nothing of it is left.
#[test]
fn a_caller_may_leave_meanwhile() {
    let mut bench = bench(2);
    let (id, _) = begun(&mut bench, "/chat/x");
    bench.step(EntryEvent::Broke(id, Some(3)));
    bench.step(EntryEvent::Leave(id));
    assert_eq!(bench.entry.in_hand(), 0);
}

/// An endpoint is lost, and copies of long prompts would fill those that are left: with all copied, callers
/// that were late or left outweighed those that were saved. A long answer to a short prompt is copied, as
/// it is likelier to be cut and costs little; after minutes without another loss, nothing is.
#[rstest]
#[case::long_answer(600, 300, true)]
#[case::long_prompt(9_000, 50, false)]
fn copies_are_made_where_they_are_worth_it(
    #[case] prompt: u32,
    #[case] answer: u32,
    #[case] copied: bool,
) {
    let mut bench = bench(9);
    lose(&mut bench);
    let tokens = TokenCount { prompt, answer };
    let (_, effects) = bench.ask_with("/draft/x", "m0", tokens);
    assert_eq!(sending(&effects).unwrap().backup.is_some(), copied);
    bench.wait(240_000);
    hear(&mut bench, 9);
    let (_, effects) = bench.ask_with("/draft/x", "m0", tokens);
    assert_eq!(sending(&effects).unwrap().backup, None);
}

/// An endpoint starts again under its name while none of this entry's streams ran there. Its side says so,
/// and the entry has the next streams copied all the same.
#[test]
fn a_restart_that_is_heard_of_counts_as_a_loss() {
    let told = |index| Member { started: Some(StartTime(1_000)), ..member(index, ENGINE, &["m0"]) };
    let mut bench = Bench::new((1..=3).map(told).collect());
    let started = |start| SideState { started: Some(start), ..state(1, &["m0"]) };
    for index in 1..=3 {
        bench.step(EntryEvent::Side(address(index), started(1_000)));
    }
    let (_, sent) = begun(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None);
    bench.step(EntryEvent::Side(address(3), started(9_000)));
    let (_, sent) = begun(&mut bench, "/draft/x");
    assert!(sent.backup.is_some());
}

/// A request's answer is lost, again and again, and no stream is cut: nothing would be saved by copies.
#[test]
fn lost_answers_are_no_losses_of_endpoints() {
    let mut bench = bench(3);
    for _ in 0..5 {
        let (id, effects) = bench.ask("/draft/x", "m0");
        let number = sending(&effects).unwrap().number;
        bench.step(EntryEvent::Fail(id, number, FailureKind::Broken));
    }
    let (_, sent) = begun(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None);
}
