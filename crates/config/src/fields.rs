//! Typed reading of a section's keys; collects all problems.

use std::net::SocketAddr;

use crate::{
    error::{ConfigError, Problem},
    ini::{Entry, Section},
};

/// A type that a value can be parsed as.
pub(crate) trait Value: Sized {
    const EXPECTED: &'static str;
    fn parse(text: &str) -> Option<Self>;
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";
    fn parse(text: &str) -> Option<u64> {
        text.parse().ok()
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "`yes` or `no`";
    fn parse(text: &str) -> Option<bool> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

impl Value for String {
    const EXPECTED: &'static str = "a non-empty value";
    fn parse(text: &str) -> Option<String> {
        (!text.is_empty()).then(|| text.to_owned())
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an IP number and port, as in `10.0.0.1:7000`";
    fn parse(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }
}

/// A comma-separated list.
pub(crate) struct List(pub(crate) Vec<String>);

impl Value for List {
    const EXPECTED: &'static str = "a comma-separated list";
    fn parse(text: &str) -> Option<List> {
        let items = text.split(',').map(|item| item.trim().to_owned()).collect::<Vec<_>>();
        items.iter().all(|item| !item.is_empty()).then_some(List(items))
    }
}

/// Reads the keys of one section; keys that remain unread at the end are reported as unknown.
pub(crate) struct Fields<'a> {
    file: &'a str,
    section: &'a Section,
    read: Vec<&'a str>,
    errors: &'a mut Vec<ConfigError>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(
        file: &'a str,
        section: &'a Section,
        errors: &'a mut Vec<ConfigError>,
    ) -> Fields<'a> {
        Fields { file, section, read: Vec::new(), errors }
    }

    fn entry(&mut self, key: &str) -> Option<&'a Entry> {
        let entry = self.section.entries.iter().find(|entry| entry.key == key)?;
        self.read.push(&entry.key);
        Some(entry)
    }

    pub(crate) fn optional<V: Value>(&mut self, key: &str) -> Option<V> {
        let entry = self.entry(key)?;
        let value = V::parse(&entry.value);
        if value.is_none() {
            let found = entry.value.clone();
            self.fail_at(entry.line, key, Problem::Value { expected: V::EXPECTED, found });
        }
        value
    }

    pub(crate) fn or<V: Value>(&mut self, key: &str, default: V) -> V {
        self.optional(key).unwrap_or(default)
    }

    pub(crate) fn required<V: Value>(&mut self, key: &str) -> Option<V> {
        if self.section.entries.iter().any(|entry| entry.key == key) {
            return self.optional(key);
        }
        self.fail_at(self.section.line, key, Problem::Missing(V::EXPECTED));
        None
    }

    pub(crate) fn list(&mut self, key: &str) -> Vec<String> {
        self.optional::<List>(key).map(|list| list.0).unwrap_or_default()
    }

    /// Returns the entries whose key begins with `prefix`.
    pub(crate) fn prefixed(&mut self, prefix: &str) -> Vec<&'a Entry> {
        let section = self.section;
        let found = section.entries.iter().filter(|entry| entry.key.starts_with(prefix));
        let found = found.collect::<Vec<_>>();
        self.read.extend(found.iter().map(|entry| entry.key.as_str()));
        found
    }

    pub(crate) fn fail(&mut self, key: &str, problem: Problem) {
        let entry = self.section.entries.iter().find(|entry| entry.key == key);
        let line = entry.map_or(self.section.line, |entry| entry.line);
        self.fail_at(line, key, problem);
    }

    fn fail_at(&mut self, line: usize, key: &str, problem: Problem) {
        self.errors.push(ConfigError {
            file: self.file.to_owned(),
            line,
            section: self.section.header(),
            key: key.to_owned(),
            problem,
        });
    }

    /// Reports every key that was not read.
    pub(crate) fn finish(mut self) {
        for entry in &self.section.entries {
            if !self.read.contains(&entry.key.as_str()) {
                self.fail_at(entry.line, &entry.key, Problem::UnknownKey);
            }
        }
    }
}
