//! Splits a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};

/// The usual end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Name of the field with an event's ID.
const ID_FIELD: &str = "id:";
/// First byte of a comment line.
const COMMENT: u8 = b':';

/// Maximum bytes of an event, and of comments between two events: an event has a few tokens.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// What a part counts beside its bytes: a stream of parts of one byte each costs as much processor time as one of
/// much longer parts.
const PART_COST_BYTES: usize = 64;

/// A stream has sent more than [`MAX_EVENT_BYTES`] without an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// A stream ended in the middle of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InsideEvent {
    /// Bytes of the event that had arrived.
    pub(crate) bytes: usize,
}

/// Forwards whole events, each once, across all attempts that produce one response.
///
/// An endpoint may break off in the middle of an event, and the attempt that resumes the stream on
/// another endpoint may produce that event again or begin with events that the caller has received.
/// Forwarding the bytes as they are would give the caller a corrupt or a duplicate event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// The beginning of an incomplete event.
    partial: BytesMut,
    /// Length of the lines of `partial` that were examined.
    examined: usize,
    /// Bytes of the current attempt since its last event.
    since_event: usize,
    /// Whether the current attempt has produced an event.
    has_events: bool,
    /// ID of the last event that was forwarded.
    last_id: Option<u64>,
    /// ID of the last event that was forwarded before the current attempt.
    resumed_after: Option<u64>,
}

impl EventSplitter {
    /// Returns the ID of the last event that was forwarded.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the current attempt has produced an event.
    pub(crate) fn has_events(&self) -> bool {
        self.has_events
    }

    /// Begins the next attempt and discards the incomplete event of the previous one.
    pub(crate) fn start_attempt(&mut self) {
        self.take_partial();
        self.since_event = 0;
        self.has_events = false;
        self.resumed_after = self.last_id;
    }

    /// Adds bytes of the current attempt; returns its new whole events.
    ///
    /// # Errors
    /// The attempt goes on without an event.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLarge> {
        self.since_event += bytes.len() + PART_COST_BYTES;
        let events = self.take_events(bytes);
        if self.since_event > MAX_EVENT_BYTES { Err(EventTooLarge) } else { Ok(events) }
    }

    fn take_events(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && self.resumed_after.is_none() && bytes.ends_with(EVENT_END) {
            self.note_event(&bytes);
            self.record_id(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.partial.split_to(end);
            self.note_event(&event);
            if self.is_new(&event) {
                self.record_id(&event);
                complete.extend_from_slice(&event);
            }
        }
        complete.freeze()
    }

    /// Records that the attempt has produced an event, unless these are only comments.
    fn note_event(&mut self, bytes: &[u8]) {
        if is_inside_event(bytes) {
            self.has_events = true;
            self.since_event = 0;
        }
    }

    /// Ends the current attempt; returns the bytes after its last event if they belong to none.
    ///
    /// # Errors
    /// The attempt has ended in the middle of an event.
    pub(crate) fn finish(&mut self) -> Result<Bytes, InsideEvent> {
        let rest = self.take_partial();
        if rest.ends_with(b"\n\r") && is_inside_event(&rest) {
            // The empty line ends with a carriage return alone.
            self.has_events = true;
            if !self.is_new(&rest) {
                return Ok(Bytes::new());
            }
            self.record_id(&rest);
            return Ok(rest);
        }
        if is_inside_event(&rest) { Err(InsideEvent { bytes: rest.len() }) } else { Ok(rest) }
    }

    fn take_partial(&mut self) -> Bytes {
        self.examined = 0;
        self.partial.split().freeze()
    }

    /// Returns the length of the first event in `partial` if it is complete: it ends with an empty
    /// line. A line ends with a line feed, a carriage return, or both.
    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.partial;
        let mut start = self.examined;
        while let Some(length) =
            bytes[start..].iter().position(|byte| matches!(byte, b'\n' | b'\r'))
        {
            let at = start + length;
            let end = match (bytes[at], bytes.get(at + 1)) {
                (b'\r', Some(b'\n')) => at + 2,
                // A line feed may follow, unless the lines of this stream end without one.
                (b'\r', None) if length > 0 || !bytes[..at].ends_with(b"\r") => break,
                _ => at + 1,
            };
            if length == 0 {
                self.examined = 0;
                return Some(end);
            }
            start = end;
        }
        self.examined = start;
        None
    }

    fn is_new(&self, event: &[u8]) -> bool {
        match (parse_last_id(event), self.resumed_after) {
            (Some(id), Some(resumed_after)) => id > resumed_after,
            _ => true,
        }
    }

    fn record_id(&mut self, events: &[u8]) {
        self.last_id = parse_last_id(events).or(self.last_id);
    }
}

/// Returns whether the bytes after an event have a line of another event: one that is neither empty
/// nor a comment.
fn is_inside_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != COMMENT))
}

/// Returns the ID of the last event in `bytes` that has one.
fn parse_last_id(bytes: &[u8]) -> Option<u64> {
    let text = str::from_utf8(bytes).ok()?;
    let ids = text.split(['\n', '\r']).rev().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| id.trim().parse().ok()).next()
}
