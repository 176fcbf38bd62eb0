//! Streams that go on at another worker when theirs breaks off.

use rstest::rstest;

use citronrill_platform_standin::Mode;

use crate::support::{Answer, Ask, Deployment};

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// A pool of two workers that both hold `m0` and treat requests as `mode` says; the entry has seen one
/// break off, so that it has runs' memory copied. Which of them a request goes to is not decided here.
fn pool_that_lost_one(mode: Mode) -> Deployment {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(Mode::Break));
    let answer = pool.ask(&Ask::stream("/draft/x", "lost", "m0"));
    assert!(!answer.whole, "nothing was copied yet");
    pool.engines.iter().for_each(|engine| engine.set_mode(mode));
    pool
}

fn numbers(answer: &Answer) -> Vec<u32> {
    let numbers = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    numbers.map(|number| number.parse().unwrap()).collect()
}

/// A worker breaks off in the middle of a stream that may run once, between two events or within one. The
/// caller has each event once and whole: the other worker goes on from its copy of the memory.
#[rstest]
#[case(Mode::BreakAnew)]
#[case(Mode::BreakWithin)]
fn a_stream_goes_on_from_its_copy(#[case] mode: Mode) {
    let pool = pool_that_lost_one(mode);
    let answer = pool.ask(&Ask::stream("/draft/x", "id-1", "m0"));
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(numbers(&answer), (0..20).collect::<Vec<_>>());
    let after = pool.engines.iter().filter_map(|engine| engine.header("last-event-id"));
    assert_eq!(after.collect::<Vec<_>>(), ["1"], "one of them began, the other went on");
    let ran = pool.engines.iter().flat_map(|engine| engine.ran()).filter(|id| id == "id-1");
    assert_eq!(ran.count(), 1, "it is the same run");
    pool.until("it is in the log", || pool.entry.logged(&["event=sent", "copy=true"]));
    pool.until("nothing runs any more", || pool.engines.iter().all(|one| one.running() == 0));
}

/// A stream that may be resumed goes on at another worker without a copy.
#[test]
fn a_resumable_stream_goes_on_without_a_copy() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(Mode::BreakAnew));
    let answer = pool.ask(&Ask::stream("/chat/x", "id-1", "m0"));
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(numbers(&answer), (0..20).collect::<Vec<_>>());
}

/// Guards against a caller who hangs at an instance that stands still, its side with it, until that wakes.
#[test]
fn a_resumable_stream_leaves_an_instance_that_stands_still() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(Mode::StallAnew));
    let mut stream = pool.open(&Ask::stream("/chat/x", "id-1", "m0"));
    let running = || pool.engines.iter().position(|engine| engine.running() == 1);
    pool.until("a worker has it", || running().is_some());
    let side = &pool.sides[running().unwrap()];
    side.signal(SIGSTOP);
    let answer = Answer::read(&mut stream);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(numbers(&answer), (0..20).collect::<Vec<_>>());
    let logged = |parts: &[&str]| pool.entry.logged(parts);
    assert!(logged(&["event=stands_still"]) && logged(&["event=moved", "id=id-1", "begun=true"]));
    side.signal(SIGCONT);
    pool.until("it moves again", || logged(&["event=moves_again"]));
}

/// The worker that has the copy fails too. What it says of that does not come for the rest of the answer,
/// which ends there and does not look whole.
#[rstest]
#[case("/draft/x")]
#[case("/chat/x")]
fn a_failure_does_not_end_a_stream(#[case] path: &str) {
    let pool = pool_that_lost_one(Mode::BreakThenFail);
    let answer = pool.ask(&Ask::stream(path, "id-1", "m0"));
    assert_eq!((answer.status, answer.whole), (200, false), "{answer:?}");
    assert!(!answer.body.contains("failed"), "{answer:?}");
    pool.until("it is in the log", || pool.entry.logged(&["event=cut", "reason=broken"]));
}

/// The caller leaves while its stream goes on elsewhere. That run ends too.
#[test]
fn a_caller_that_leaves_ends_what_went_on() {
    let pool = pool_that_lost_one(Mode::BreakThenHang);
    let stream = pool.open(&Ask::stream("/draft/x", "id-1", "m0"));
    pool.until("it goes on", || pool.entry.logged(&["event=sent", "id=id-1", "copy=true"]));
    pool.until("a worker has it", || pool.engines.iter().any(|one| one.running() == 1));
    drop(stream);
    pool.until("nothing runs any more", || pool.engines.iter().all(|one| one.running() == 0));
    pool.until("it is in the log", || pool.entry.logged(&["event=left", "id=id-1"]));
}
