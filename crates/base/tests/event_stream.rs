//! Ends of event streams.

use citronrill_base::EventTracker;

/// A stream is whole after each empty line, and nowhere else, whatever ends its lines.
#[test]
fn only_an_empty_line_ends_an_event() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{line_end}data: x{line_end}");
        let mut tracker = EventTracker::default();
        for byte in event.bytes() {
            tracker.push(&[byte]);
            assert!(tracker.is_inside_event(), "{line_end:?}");
        }
        assert!(!tracker.has_events());
        tracker.push(line_end.as_bytes());
        assert!(!tracker.is_inside_event() && tracker.has_events(), "{line_end:?}");
        tracker.push(b"data");
        assert!(tracker.is_inside_event(), "{line_end:?}");
    }
}

/// Comments and empty lines are no events.
#[test]
fn comments_belong_to_no_event() {
    let mut tracker = EventTracker::default();
    tracker.push(b": wait\n\n\n: wait");
    assert!(!tracker.is_inside_event() && !tracker.has_events());
}
