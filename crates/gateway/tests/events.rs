//! Event streams that several attempts produce.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

#[path = "../src/event_splitter.rs"]
mod event_splitter;

use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};

use self::event_splitter::EventSplitter;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Events `from..to` as one attempt produces them.
fn produced(from: u64, to: u64) -> Vec<u8> {
    (from..to).map(event).collect::<String>().into_bytes()
}

/// Whole events are forwarded at once and unchanged.
#[test]
fn whole_events_are_forwarded_unchanged() {
    let mut splitter = EventSplitter::default();
    let bytes = Bytes::from(produced(0, 2));
    assert_eq!(splitter.push(bytes.clone()), bytes);
    assert_eq!(splitter.last_id(), Some(1));
}

/// An endpoint breaks off in the middle of an event and the next attempt produces that event again. The
/// caller must not receive the first half, which would corrupt the event.
#[test]
fn partial_event_is_not_forwarded() {
    let mut splitter = EventSplitter::default();
    let mut bytes = produced(0, 2);
    bytes.extend_from_slice(b"id: 2\ndata: tok");
    assert_eq!(splitter.push(Bytes::from(bytes)), produced(0, 2));
    splitter.start_attempt();
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.push(Bytes::from(produced(2, 4))), produced(2, 4));
}

/// The attempt that resumes the stream begins with events that the caller has already received; they
/// are dropped.
#[test]
fn repeated_events_are_dropped() {
    let mut splitter = EventSplitter::default();
    splitter.push(Bytes::from(produced(0, 5)));
    splitter.start_attempt();
    assert_eq!(splitter.push(Bytes::from(produced(3, 8))), produced(5, 8));
}

/// The bytes after the last event of an attempt that ended normally belong to the response.
#[test]
fn trailing_bytes_are_forwarded() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(Bytes::from_static(b"data: [DONE]\n")).is_empty());
    assert_eq!(splitter.finish(), Bytes::from_static(b"data: [DONE]\n"));
    assert!(splitter.finish().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    })]

    /// Attempts that break off anywhere, in chunks of any size, yield each event once and in order.
    #[test]
    fn any_breaks_yield_each_event_once(
        breaks in prop::collection::vec((0_usize..400, 1_usize..40), 0..6),
    ) {
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let mut next = 0;
        for (length, chunk) in breaks {
            let attempt = produced(next, 20);
            for bytes in attempt[..length.min(attempt.len())].chunks(chunk) {
                forwarded.extend_from_slice(&splitter.push(Bytes::copy_from_slice(bytes)));
            }
            splitter.start_attempt();
            // An attempt may begin with the last event of the previous one.
            next = splitter.last_id().unwrap_or(0);
        }
        forwarded.extend_from_slice(&splitter.push(Bytes::from(produced(next, 20))));
        prop_assert_eq!(forwarded, produced(0, 20));
    }
}
