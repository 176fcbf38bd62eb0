//! Log lines: `key=value` pairs; values that contain spaces are quoted.

/// A log line: one event of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Name of the process: the name of its log file.
    pub source: String,
    /// Milliseconds since the epoch, by the clock of the process; 0 if the line has no time.
    pub time: u64,
    /// Kind of event.
    pub event: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; returns `None` if it has no `event`. Skips text that a log collector has put
    /// before the pairs.
    pub fn parse(source: &str, text: &str) -> Option<Line> {
        let fields = parse_pairs(text);
        let value = |name: &str| fields.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone());
        let event = value("event")?;
        let time = value("time").and_then(|time| time.parse().ok()).unwrap_or(0);
        Some(Line { source: source.to_owned(), time, event, fields })
    }

    /// Returns the value of a key, or an empty string if the key is missing.
    pub fn get(&self, key: &str) -> &str {
        let found = self.fields.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the value of a key as a number, or 0 if it is missing or not a number.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }

    /// Returns all pairs except level, time and event.
    pub fn other_fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let excluded = ["level", "time", "event"];
        let fields = self.fields.iter().map(|(key, value)| (key.as_str(), value.as_str()));
        fields.filter(move |(key, _)| !excluded.contains(key))
    }
}

/// Parses the `key=value` pairs of a text.
fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text;
    while let Some(equals) = rest.find('=') {
        let key = rest[..equals].rsplit(' ').next().unwrap_or("").to_owned();
        let after = &rest[equals + 1..];
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key, value.to_owned()));
        rest = next;
    }
    pairs
}

/// The log lines of several processes, sorted by time.
#[derive(Debug, Clone, Default)]
pub struct Log {
    lines: Vec<Line>,
}

impl Log {
    /// Adds the log of one process.
    pub fn add(&mut self, source: &str, text: &str) {
        self.lines.extend(text.lines().filter_map(|line| Line::parse(source, line)));
        // The sort is stable: lines of one process keep their order within a millisecond.
        self.lines.sort_by_key(|line| line.time);
    }

    /// Returns the lines, sorted by time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}
