//! Streams of events that are made of several runs.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

#[path = "../src/events.rs"]
mod events;

use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};

use self::events::EventCutter;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Events `from..to` as one run makes them.
fn made(from: u64, to: u64) -> Vec<u8> {
    (from..to).map(event).collect::<String>().into_bytes()
}

/// Whole events pass at once, as they came.
#[test]
fn whole_events_pass_as_they_are() {
    let mut cutter = EventCutter::default();
    let bytes = Bytes::from(made(0, 2));
    assert_eq!(cutter.take(bytes.clone()), bytes);
    assert_eq!(cutter.last(), Some(1));
}

/// An endpoint breaks off in the middle of an event, and its next run makes the event again. The caller
/// had the half of it before the whole, and could read neither.
#[test]
fn half_an_event_is_not_passed_on() {
    let mut cutter = EventCutter::default();
    let mut bytes = made(0, 2);
    bytes.extend_from_slice(b"id: 2\ndata: tok");
    assert_eq!(cutter.take(Bytes::from(bytes)), made(0, 2));
    cutter.next_run();
    assert_eq!(cutter.last(), Some(1));
    assert_eq!(cutter.take(Bytes::from(made(2, 4))), made(2, 4));
}

/// The run that goes on begins with events that the caller has had: they are passed over.
#[test]
fn no_event_comes_twice() {
    let mut cutter = EventCutter::default();
    cutter.take(Bytes::from(made(0, 5)));
    cutter.next_run();
    assert_eq!(cutter.take(Bytes::from(made(3, 8))), made(5, 8));
}

/// What follows the last event of a run that ended whole is its answer's, too.
#[test]
fn the_last_bytes_are_not_lost() {
    let mut cutter = EventCutter::default();
    assert!(cutter.take(Bytes::from_static(b"data: [DONE]\n")).is_empty());
    assert_eq!(cutter.end(), Bytes::from_static(b"data: [DONE]\n"));
    assert!(cutter.end().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    })]

    /// Runs that break off anywhere, in pieces of any size, give each event once and in order.
    #[test]
    fn any_cuts_give_each_event_once(
        cuts in prop::collection::vec((0_usize..400, 1_usize..40), 0..6),
    ) {
        let mut cutter = EventCutter::default();
        let mut passed = Vec::new();
        let mut next = 0;
        for (length, piece) in cuts {
            let run = made(next, 20);
            for bytes in run[..length.min(run.len())].chunks(piece) {
                passed.extend_from_slice(&cutter.take(Bytes::copy_from_slice(bytes)));
            }
            cutter.next_run();
            // A run may begin with the event that came last.
            next = cutter.last().unwrap_or(0);
        }
        passed.extend_from_slice(&cutter.take(Bytes::from(made(next, 20))));
        prop_assert_eq!(passed, made(0, 20));
    }
}
