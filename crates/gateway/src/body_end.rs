//! Decides how an endpoint's response body ended.

use bytes::Bytes;
use citronrill_http::response::Framing;

use crate::event_splitter::EventSplitter;

/// How a response body ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// It is whole; carries the bytes that follow the last event.
    Complete(Bytes),
    /// It has ended with its connection, an event stream between two events: it may be whole or cut off.
    Unproven(Bytes),
    /// An event stream was cut off after this many bytes of an event, or before the first one.
    Truncated(usize),
    /// The connection broke.
    Broken,
}

impl BodyEnd {
    /// Classifies the end of a body; `splitter` is set for an event stream, and `failed` if the
    /// connection reported an error.
    ///
    /// The connection of a process that has ended is closed like that of one that has sent its whole
    /// response. Where nothing else marks the end, only the events show that a stream was cut off, and nothing
    /// shows it of any other body.
    pub(crate) fn classify(
        framing: Framing,
        splitter: Option<&mut EventSplitter>,
        failed: bool,
    ) -> BodyEnd {
        if failed {
            return BodyEnd::Broken;
        }
        let marked = framing != Framing::UntilClose;
        let Some(splitter) = splitter else {
            let rest = Bytes::new();
            return if marked { BodyEnd::Complete(rest) } else { BodyEnd::Unproven(rest) };
        };
        match splitter.finish() {
            Err(inside) => BodyEnd::Truncated(inside.bytes),
            Ok(rest) if marked => BodyEnd::Complete(rest),
            Ok(rest) if splitter.has_events() => BodyEnd::Unproven(rest),
            Ok(_) => BodyEnd::Truncated(0),
        }
    }
}
