//! Log lines as written: `key=value` pairs, values with spaces in quotes.

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The process, by the name of its file.
    pub source: String,
    /// Milliseconds since the epoch, by the process's clock; 0 where the line tells none.
    pub time: u64,
    /// The kind of event.
    pub event: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line; `None` if it is no event. Whatever a collector put before the pairs is passed over.
    pub fn parse(source: &str, text: &str) -> Option<Line> {
        let fields = pairs(text);
        let value = |name: &str| fields.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone());
        let event = value("event")?;
        let time = value("time").and_then(|time| time.parse().ok()).unwrap_or(0);
        Some(Line { source: source.to_owned(), time, event, fields })
    }

    /// The value of a key; empty if it is missing.
    pub fn get(&self, key: &str) -> &str {
        let found = self.fields.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// A value as a number; 0 if it is none.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }

    /// The pairs without level, time and kind.
    pub fn inputs(&self) -> impl Iterator<Item = (&str, &str)> {
        let known = ["level", "time", "event"];
        let fields = self.fields.iter().map(|(key, value)| (key.as_str(), value.as_str()));
        fields.filter(move |(key, _)| !known.contains(key))
    }
}

/// The `key=value` pairs of a text.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut rest = text;
    while let Some(sign) = rest.find('=') {
        let key = rest[..sign].rsplit(' ').next().unwrap_or("").to_owned();
        let after = &rest[sign + 1..];
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        found.push((key, value.to_owned()));
        rest = next;
    }
    found
}

/// The lines of several processes in order of time.
#[derive(Debug, Clone, Default)]
pub struct Log {
    lines: Vec<Line>,
}

impl Log {
    /// Adds what one process wrote.
    pub fn add(&mut self, source: &str, text: &str) {
        self.lines.extend(text.lines().filter_map(|line| Line::parse(source, line)));
        // Stable: lines of one process keep their order within a millisecond.
        self.lines.sort_by_key(|line| line.time);
    }

    /// The lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}
