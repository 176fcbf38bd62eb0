//! Streams that resume at another endpoint when theirs fails.

use citronrill_pool::{
    Dispatch, EntryEffect, EntryEvent, FailureKind, Member, RequestId, ResponseEnd, ResponseHead,
    Resume, StartTime, TokenCount,
};
use citronrill_wire::SideState;
use rstest::rstest;

use crate::support::{Bench, ENGINE, address, dispatch, member, state};

/// The head of a successful response.
const SERVED: ResponseHead = ResponseHead {
    status: 200,
    not_run: false,
    signed: true,
    misdirected: false,
    other_incarnation: false,
    load: None,
    rate: None,
    leaving: false,
    backoff_ms: None,
};

/// An entry with engines that all have `m0` loaded and whose sides have reported.
fn bench(engines: u8) -> Bench {
    let mut bench = Bench::new((1..=engines).map(|index| member(index, ENGINE, &["m0"])).collect());
    report_states(&mut bench, engines);
    bench
}

fn report_states(bench: &mut Bench, engines: u8) {
    for index in 1..=engines {
        bench.step(EntryEvent::SideReport(address(index), state(1, &["m0"])));
    }
}

/// Starts a stream on `path`; its endpoint has sent the response head.
fn start_stream(bench: &mut Bench, path: &str) -> (RequestId, Dispatch) {
    let (id, effects) = bench.request(path, "m0");
    let sent = dispatch(&effects).unwrap().clone();
    bench.step(EntryEvent::ResponseHead(id, sent.number, SERVED));
    (id, sent)
}

/// Makes the entry count the loss of an endpoint: a stream breaks off.
fn lose_stream(bench: &mut Bench) {
    let (id, _) = start_stream(bench, "/draft/x");
    bench.step(EntryEvent::StreamBroken(id, Some(0)));
}

fn is_cut(effects: &[EntryEffect], id: RequestId) -> bool {
    effects.contains(&EntryEffect::Abort(id))
}

/// An engine crashes during a stream that may run only once. Another engine has a copy of its KV
/// cache: the same run resumes there after the last event sent to the caller.
#[test]
fn stream_resumes_from_the_copy_of_its_kv_cache() {
    let mut bench = bench(3);
    lose_stream(&mut bench);
    let (id, sent) = start_stream(&mut bench, "/draft/x");
    let backup = sent.backup.unwrap();
    assert_ne!(backup, sent.address);
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(7)));
    let next = dispatch(&effects).unwrap();
    assert_eq!(next.address, backup);
    assert_eq!(next.resume, Some(Resume { last_event: Some(7), copy: true }));
    let effects = bench.step(EntryEvent::ResponseHead(id, next.number, SERVED));
    assert!(effects.contains(&EntryEffect::Forward(id)));
}

/// A stream that may run only once breaks off and no copy of its KV cache exists. It must not run a
/// second time: its response ends there, recognisably truncated.
#[test]
fn stream_without_a_copy_is_cut() {
    let mut bench = bench(3);
    let (id, sent) = start_stream(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None, "no stream has been lost yet");
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(7)));
    assert!(is_cut(&effects, id) && dispatch(&effects).is_none(), "{effects:?}");
    assert_eq!(bench.entry.in_flight(), 0);
}

/// A resumable stream needs no copy: it resumes after the last event at any holder of its model.
#[test]
fn resumable_stream_resumes_at_any_holder() {
    let mut bench = bench(2);
    let (id, sent) = start_stream(&mut bench, "/chat/x");
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(3)));
    let next = dispatch(&effects).unwrap();
    assert_ne!(next.address, sent.address);
    assert_eq!(next.resume, Some(Resume { last_event: Some(3), copy: false }));
}

/// An endpoint runs a request, and the response is lost with the connection before any event. When
/// such runs were resumed from their copy, requests ran twice. Only runs with an event resume.
#[rstest]
#[case(EntryEvent::DispatchFailed(RequestId(0), 1, FailureKind::Broken))]
#[case(EntryEvent::StreamBroken(RequestId(0), None))]
fn run_without_an_event_is_not_resumed(#[case] event: EntryEvent) {
    let mut bench = bench(3);
    lose_stream(&mut bench);
    let (id, effects) = bench.request("/draft/x", "m0");
    let sent = dispatch(&effects).unwrap();
    assert!(sent.backup.is_some());
    let effects = match event {
        EntryEvent::DispatchFailed(_, number, kind) => {
            bench.step(EntryEvent::DispatchFailed(id, number, kind))
        }
        _ => {
            bench.step(EntryEvent::ResponseHead(id, sent.number, SERVED));
            bench.step(EntryEvent::StreamBroken(id, None))
        }
    };
    assert!(dispatch(&effects).is_none(), "{effects:?}");
}

/// The endpoint at which a stream should resume returns an error or has no copy. The caller already
/// has a successful head and would take the error's body for the end of the response. The stream is
/// cut instead.
#[rstest]
#[case::fails(ResponseHead { status: 500, signed: true, ..ResponseHead::default() }, "/draft/x")]
#[case::fails_signed(ResponseHead { status: 404, signed: true, ..ResponseHead::default() }, "/draft/x")]
#[case::has_no_copy(ResponseHead { status: 503, not_run: true, ..ResponseHead::default() }, "/draft/x")]
#[case::fails_again(ResponseHead { status: 500, signed: true, ..ResponseHead::default() }, "/chat/x")]
fn failure_after_a_successful_head_cuts_the_stream(#[case] head: ResponseHead, #[case] path: &str) {
    let mut bench = bench(3);
    lose_stream(&mut bench);
    let (id, _) = start_stream(&mut bench, path);
    let effects = bench.step(EntryEvent::StreamBroken(id, Some(7)));
    let next = dispatch(&effects).unwrap();
    let effects = bench.step(EntryEvent::ResponseHead(id, next.number, head));
    assert!(!effects.contains(&EntryEffect::Forward(id)), "{effects:?}");
    assert!(is_cut(&effects, id), "{effects:?}");
}

/// A stream reaches its deadline while it is being resumed. Its response has begun, so it cannot be
/// refused any more: it is cut.
#[test]
fn resuming_stream_is_cut_at_its_deadline() {
    let mut bench = bench(2);
    let (id, _) = start_stream(&mut bench, "/chat/x");
    bench.step(EntryEvent::StreamBroken(id, Some(3)));
    let effects = bench.advance(5_100);
    assert!(is_cut(&effects, id), "{effects:?}");
    assert!(!effects.iter().any(|effect| matches!(effect, EntryEffect::Refuse(..))));
}

/// Two endpoints fail in turn during one stream: it also resumes from the second copy.
#[test]
fn stream_resumes_twice() {
    let mut bench = bench(4);
    lose_stream(&mut bench);
    let (id, _) = start_stream(&mut bench, "/draft/x");
    let mut after = 4;
    for _ in 0..2 {
        let effects = bench.step(EntryEvent::StreamBroken(id, Some(after)));
        let next = dispatch(&effects).unwrap();
        assert_eq!(next.resume, Some(Resume { last_event: Some(after), copy: true }));
        bench.step(EntryEvent::ResponseHead(id, next.number, SERVED));
        after += 3;
    }
    let effects = bench.step(EntryEvent::ResponseEnded(id, ResponseEnd::Complete));
    assert!(!is_cut(&effects, id));
    assert_eq!(bench.entry.in_flight(), 0);
}

/// The caller leaves while its stream is being resumed: no state of the request remains.
#[test]
fn caller_leaves_during_a_resume() {
    let mut bench = bench(2);
    let (id, _) = start_stream(&mut bench, "/chat/x");
    bench.step(EntryEvent::StreamBroken(id, Some(3)));
    bench.step(EntryEvent::CallerLeft(id));
    assert_eq!(bench.entry.in_flight(), 0);
}

/// After the loss of an endpoint, copies of long prompts would fill the remaining ones: when all
/// runs were copied, more callers were late or left than streams were saved. Long responses to
/// short prompts are copied, as they are more likely to be cut and cost little. Without another
/// loss for minutes, nothing is copied.
#[rstest]
#[case::long_answer(600, 300, true)]
#[case::long_prompt(9_000, 50, false)]
fn kv_cache_is_copied_where_the_benefit_exceeds_the_cost(
    #[case] prompt: u32,
    #[case] answer: u32,
    #[case] copied: bool,
) {
    let mut bench = bench(9);
    lose_stream(&mut bench);
    let tokens = TokenCount { prompt, answer };
    let (_, effects) = bench.request_with_tokens("/draft/x", "m0", tokens);
    assert_eq!(dispatch(&effects).unwrap().backup.is_some(), copied);
    bench.advance(240_000);
    report_states(&mut bench, 9);
    let (_, effects) = bench.request_with_tokens("/draft/x", "m0", tokens);
    assert_eq!(dispatch(&effects).unwrap().backup, None);
}

/// An endpoint restarts under its name while it runs none of this entry's streams. Its side reports
/// the restart, and the entry has the KV caches of the next streams copied.
#[test]
fn reported_restart_counts_as_a_loss() {
    let started_member =
        |index| Member { started: Some(StartTime(1_000)), ..member(index, ENGINE, &["m0"]) };
    let mut bench = Bench::new((1..=3).map(started_member).collect());
    let started = |start| SideState { started: Some(start), ..state(1, &["m0"]) };
    for index in 1..=3 {
        bench.step(EntryEvent::SideReport(address(index), started(1_000)));
    }
    let (_, sent) = start_stream(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None);
    bench.step(EntryEvent::SideReport(address(3), started(9_000)));
    let (_, sent) = start_stream(&mut bench, "/draft/x");
    assert!(sent.backup.is_some());
}

/// Responses are lost repeatedly, but no stream is cut: copies would save nothing.
#[test]
fn lost_responses_do_not_count_as_lost_endpoints() {
    let mut bench = bench(3);
    for _ in 0..5 {
        let (id, effects) = bench.request("/draft/x", "m0");
        let number = dispatch(&effects).unwrap().number;
        bench.step(EntryEvent::DispatchFailed(id, number, FailureKind::Broken));
    }
    let (_, sent) = start_stream(&mut bench, "/draft/x");
    assert_eq!(sent.backup, None);
}
