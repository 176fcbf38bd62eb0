//! Splits a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Name of the field with an event's ID.
const ID_FIELD: &str = "id:";

/// Forwards whole events, each once, across all attempts that produce one response.
///
/// An endpoint may break off in the middle of an event, and the attempt that resumes the stream on
/// another endpoint may produce that event again or begin with events that the caller has received.
/// Forwarding the bytes as they are would give the caller a corrupt or a duplicate event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// The beginning of an incomplete event.
    partial: BytesMut,
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

    /// Begins the next attempt and discards the incomplete event of the previous one.
    pub(crate) fn start_attempt(&mut self) {
        self.partial.clear();
        self.resumed_after = self.last_id;
    }

    /// Adds bytes of the current attempt; returns its new whole events.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && self.resumed_after.is_none() && bytes.ends_with(EVENT_END) {
            self.record_id(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let mut complete = BytesMut::new();
        while let Some(end) =
            self.partial.windows(EVENT_END.len()).position(|window| window == EVENT_END)
        {
            let event = self.partial.split_to(end + EVENT_END.len());
            if self.is_new(&event) {
                self.record_id(&event);
                complete.extend_from_slice(&event);
            }
        }
        complete.freeze()
    }

    /// Returns the bytes after the last event of an attempt that ended normally: they are part of the
    /// response.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
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

/// Returns the ID of the last event in `bytes` that has one.
fn parse_last_id(bytes: &[u8]) -> Option<u64> {
    let text = str::from_utf8(bytes).ok()?;
    let ids = text.lines().rev().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| id.trim().parse().ok()).next()
}
