//! Where a server-sent event stream ends.

/// Follows an event stream byte by byte, so that its end shows whether its last event is whole.
///
/// An event ends with an empty line; a line ends with a line feed, a carriage return, or both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventTracker {
    line: Line,
    after_return: bool,
    inside_event: bool,
    has_events: bool,
}

/// The current line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventTracker {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                // The second byte of a line end.
                b'\n' if after_return => {}
                b'\n' | b'\r' => self.end_line(),
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => {
                    self.line = Line::Field;
                    self.inside_event = true;
                }
                _ => {}
            }
        }
    }

    /// Returns whether the stream is in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        self.inside_event
    }

    /// Returns whether an event has ended.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    fn end_line(&mut self) {
        if self.line == Line::Empty {
            self.has_events |= std::mem::take(&mut self.inside_event);
        }
        self.line = Line::Empty;
    }
}
