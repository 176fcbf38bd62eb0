//! Log events as data; the runtime writes each one as a line of key=value pairs.

use std::fmt;

/// An event to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// The event's fixed name.
    pub event: &'static str,
    /// Keys and values of the event.
    pub fields: Vec<(&'static str, String)>,
}

impl LogEvent {
    /// Creates an event without fields.
    pub fn new(event: &'static str) -> LogEvent {
        LogEvent { event, fields: Vec::new() }
    }

    /// Adds a field.
    pub fn with(mut self, key: &'static str, value: impl ToString) -> LogEvent {
        self.fields.push((key, value.to_string()));
        self
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.event)?;
        self.fields.iter().try_for_each(|(key, value)| write!(f, " {key}={value}"))
    }
}
