//! Event streams that several attempts produce.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on must fail")]

#[path = "../src/body_end.rs"]
mod body_end;
#[path = "../src/event_splitter.rs"]
mod event_splitter;

use bytes::Bytes;
use citronrill_http::response::Framing;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

use self::{
    body_end::BodyEnd,
    event_splitter::{EventSplitter, InsideEvent},
};

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
    assert_eq!(splitter.push(bytes.clone()).unwrap(), bytes);
    assert_eq!(splitter.last_id(), Some(1));
}

/// An endpoint breaks off in the middle of an event and the next attempt produces that event again. The
/// caller must not receive the first half, which would corrupt the event.
#[test]
fn partial_event_is_not_forwarded() {
    let mut splitter = EventSplitter::default();
    let mut bytes = produced(0, 2);
    bytes.extend_from_slice(b"id: 2\ndata: tok");
    assert_eq!(splitter.push(Bytes::from(bytes)).unwrap(), produced(0, 2));
    splitter.start_attempt();
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.push(Bytes::from(produced(2, 4))).unwrap(), produced(2, 4));
}

/// The attempt that resumes the stream begins with events that the caller has already received; they
/// are dropped.
#[test]
fn repeated_events_are_dropped() {
    let mut splitter = EventSplitter::default();
    splitter.push(Bytes::from(produced(0, 5))).unwrap();
    splitter.start_attempt();
    assert_eq!(splitter.push(Bytes::from(produced(3, 8))).unwrap(), produced(5, 8));
}

/// Comments after the last event of an attempt that ended normally belong to the response.
#[test]
fn trailing_comments_are_forwarded() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(Bytes::from_static(b"data: x\n\n: end\n")).unwrap(), "data: x\n\n");
    assert_eq!(splitter.finish(), Ok(Bytes::from_static(b": end\n")));
    assert_eq!(splitter.finish(), Ok(Bytes::new()));
}

/// Guards against the beginning of an event that is passed on as the end of a response.
#[test]
fn an_unfinished_event_is_reported_and_not_forwarded() {
    for rest in ["d", "data: [DONE]", "data: [DONE]\n", "data: x\r\n", ": c\ndata: x\n"] {
        let mut splitter = EventSplitter::default();
        assert!(splitter.push(Bytes::from(rest.to_owned())).unwrap().is_empty());
        assert_eq!(splitter.finish(), Err(InsideEvent { bytes: rest.len() }), "{rest:?}");
        assert_eq!(splitter.finish(), Ok(Bytes::new()));
    }
}

/// Guards against a stream that is held back to its end, and then taken for an unfinished event, as its
/// lines end otherwise.
#[rstest]
fn events_end_with_an_empty_line_of_any_kind(
    #[values("\n", "\r\n", "\r")] line_end: &str,
    #[values(1, 2, 3, 7, 400)] chunk: usize,
) {
    let stream = String::from_utf8(produced(0, 4)).unwrap().replace('\n', line_end);
    let mut splitter = EventSplitter::default();
    let mut forwarded = Vec::new();
    for bytes in stream.as_bytes().chunks(chunk) {
        forwarded.extend_from_slice(&splitter.push(Bytes::copy_from_slice(bytes)).unwrap());
    }
    assert_eq!(String::from_utf8(forwarded).unwrap(), stream);
    assert_eq!(splitter.last_id(), Some(3));
    assert_eq!(splitter.finish(), Ok(Bytes::new()));
}

/// The end of a stream is judged by its framing and its events; that of another response by its framing.
#[rstest]
#[case(Framing::UntilClose, "id: 0\n\nid: 1\n", BodyEnd::Truncated(6))]
#[case(Framing::Chunked, "id: 0\n\nid: 1\n", BodyEnd::Truncated(6))]
#[case(Framing::UntilClose, "", BodyEnd::Truncated(0))]
#[case(Framing::UntilClose, ": wait\n\n", BodyEnd::Truncated(0))]
#[case(Framing::Chunked, "", BodyEnd::Complete(Bytes::new()))]
#[case(Framing::Length(7), "id: 0\n\n", BodyEnd::Complete(Bytes::new()))]
#[case(Framing::UntilClose, "id: 0\n\n", BodyEnd::Unproven(Bytes::new()))]
#[case(Framing::UntilClose, "id: 0\n\n: end", BodyEnd::Unproven(Bytes::from_static(b": end")))]
fn the_end_of_a_body_is_classified(
    #[case] framing: Framing,
    #[case] stream: &str,
    #[case] end: BodyEnd,
) {
    let splitter = || {
        let mut splitter = EventSplitter::default();
        splitter.push(Bytes::from(stream.to_owned())).unwrap();
        splitter
    };
    assert_eq!(BodyEnd::classify(framing, Some(&mut splitter()), false), end);
    assert_eq!(BodyEnd::classify(framing, Some(&mut splitter()), true), BodyEnd::Broken);
    let plain = match framing {
        Framing::UntilClose => BodyEnd::Unproven(Bytes::new()),
        _ => BodyEnd::Complete(Bytes::new()),
    };
    assert_eq!(BodyEnd::classify(framing, None, false), plain);
    assert_eq!(BodyEnd::classify(framing, None, true), BodyEnd::Broken);
}

/// Guards against an attempt that resumes a stream and produces nothing, and ends it as complete.
#[test]
fn a_resumed_attempt_without_an_event_is_truncated() {
    let mut splitter = EventSplitter::default();
    splitter.push(Bytes::from(produced(0, 2))).unwrap();
    splitter.start_attempt();
    let end = BodyEnd::classify(Framing::UntilClose, Some(&mut splitter), false);
    assert_eq!(end, BodyEnd::Truncated(0));
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
                forwarded.extend_from_slice(&splitter.push(Bytes::copy_from_slice(bytes)).unwrap());
            }
            splitter.start_attempt();
            // An attempt may begin with the last event of the previous one.
            next = splitter.last_id().unwrap_or(0);
        }
        forwarded.extend_from_slice(&splitter.push(Bytes::from(produced(next, 20))).unwrap());
        prop_assert_eq!(forwarded, produced(0, 20));
    }
}

/// Guards against memory that an event without end fills, and against comments without end that are taken for
/// a stream.
#[test]
fn a_stream_without_events_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(Bytes::from(produced(0, 2))).unwrap();
    let whole = format!("data: {}\n\n", "x".repeat(200 << 10));
    assert_eq!(splitter.push(Bytes::from(whole.clone())).unwrap(), whole);
    for part in ["data: x\n", ": x\n\n"] {
        splitter.start_attempt();
        let mut pushed = 0;
        while splitter.push(Bytes::from(part.repeat(1_000))).is_ok() {
            pushed += part.len() * 1_000;
            assert!(pushed < 1 << 20);
        }
    }
}
