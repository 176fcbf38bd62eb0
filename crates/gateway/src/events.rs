//! The bytes of a stream of events, cut where events end.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";
/// Before an event's number.
const NUMBER: &str = "id:";

/// Passes on whole events, each once, over the runs that make up one answer.
///
/// The failures it prevents: an endpoint breaks off in the middle of an event, and the run that goes on
/// elsewhere makes that event again; or that run begins with an event that the caller has had. A caller
/// would see a spoilt event or one twice.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
    /// The beginning of an event whose end has not come.
    rest: BytesMut,
    /// The last event that was passed on.
    last: Option<u64>,
    /// What the caller had when the present run began.
    had: Option<u64>,
}

impl EventCutter {
    /// The number of the last event that was passed on.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Begins the next run: what the last one left unfinished is dropped.
    pub(crate) fn next_run(&mut self) {
        self.rest.clear();
        self.had = self.last;
    }

    /// Takes bytes of the present run; gives the whole events among them that are due.
    pub(crate) fn take(&mut self, bytes: Bytes) -> Bytes {
        if self.rest.is_empty() && self.had.is_none() && bytes.ends_with(END) {
            self.note(&bytes);
            return bytes;
        }
        self.rest.extend_from_slice(&bytes);
        let mut due = BytesMut::new();
        while let Some(end) = self.rest.windows(END.len()).position(|two| two == END) {
            let event = self.rest.split_to(end + END.len());
            if self.is_due(&event) {
                self.note(&event);
                due.extend_from_slice(&event);
            }
        }
        due.freeze()
    }

    /// What is left when the run has ended whole: not an event, but bytes of its answer.
    pub(crate) fn end(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    fn is_due(&self, event: &[u8]) -> bool {
        match (number(event), self.had) {
            (Some(number), Some(had)) => number > had,
            _ => true,
        }
    }

    fn note(&mut self, events: &[u8]) {
        self.last = number(events).or(self.last);
    }
}

/// The number of the last event in `bytes` that has one.
fn number(bytes: &[u8]) -> Option<u64> {
    let text = str::from_utf8(bytes).ok()?;
    let numbers = text.lines().rev().filter_map(|line| line.strip_prefix(NUMBER));
    numbers.filter_map(|number| number.trim().parse().ok()).next()
}
