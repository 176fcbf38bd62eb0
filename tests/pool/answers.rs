//! Answers on their way to the caller.

use std::io::Read;

use rstest::rstest;

use citronrill_platform_standin::Mode;

use crate::support::{Ask, Deployment};

/// An endpoint breaks off midway. The caller must see that the answer is not whole: a dispatcher
/// would else plan by half a list.
#[test]
fn a_broken_answer_does_not_look_whole() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(Mode::Break);
    let answer = pool.ask(&Ask::stream("/draft/x", "id-1", "m0"));
    assert_eq!((answer.status, answer.whole), (200, false), "{answer:?}");
    pool.until("the break is in the log", || {
        pool.entry.logged(&["event=finished", "id=id-1", "complete=false"])
    });
}

/// A success without the endpoint's signature, or one that names another request, is spoilt. It
/// does not reach the caller, and a request that may run once is not run again.
#[rstest]
#[case(Mode::Unsigned)]
#[case(Mode::Foreign)]
fn a_spoilt_success_is_not_passed_on(#[case] mode: Mode) {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines.iter().for_each(|engine| engine.set_mode(mode));
    let answer = pool.ask(&Ask::stream("/draft/x", "id-1", "m0"));
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{answer:?}");
    let ran = pool.engines.iter().map(|engine| engine.ran().len()).sum::<usize>();
    assert_eq!(ran, 1);
}

/// Events reach the caller as they are made, and not together at the end.
#[test]
fn events_come_as_they_are_made() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.open(&Ask::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 400];
    let read = stream.read(&mut first).unwrap();
    assert!(read > 0);
    assert_eq!(pool.engines[0].running(), 1, "the stream goes on");
}

/// A caller leaves in the middle of its stream. Its run ends, or the engine works for nobody.
#[test]
fn a_caller_that_leaves_ends_its_run() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let mut stream = pool.open(&Ask::stream("/draft/x", "id-1", "m0"));
    let mut first = [0; 100];
    assert!(stream.read(&mut first).unwrap() > 0);
    drop(stream);
    pool.until("the run has ended", || pool.engines[0].running() == 0);
    pool.until("the leaving is in the log", || pool.entry.logged(&["event=left", "id=id-1"]));
}

/// The same while the endpoint has not begun to answer.
#[test]
fn a_caller_that_leaves_early_ends_its_run() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(Mode::Hang);
    let stream = pool.open(&Ask::stream("/draft/x", "id-1", "m0"));
    pool.until("the run has begun", || pool.engines[0].running() == 1);
    drop(stream);
    pool.until("the run has ended", || pool.engines[0].running() == 0);
}

/// An endpoint hangs. A stream that may be resumed is answered by the other one, and the first run
/// is cancelled.
#[test]
fn a_hung_endpoint_loses_what_may_run_again() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    pool.engines[0].set_mode(Mode::Hang);
    for index in 0..3 {
        let id = format!("id-{index}");
        let answer = pool.ask(&Ask::stream("/chat/x", &id, "m0"));
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    }
    pool.until("nothing runs any more", || pool.engines[0].running() == 0);
}

/// An endpoint hangs with a request that may run once. It is ended at its route's timeout with a
/// status that promises nothing.
#[test]
fn a_hung_call_ends_at_its_timeout() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    pool.engines[0].set_mode(Mode::Hang);
    let answer = pool.ask(&Ask::stream("/draft/x", "id-1", "m0"));
    assert_eq!(answer.status, 504, "{answer:?}");
}
