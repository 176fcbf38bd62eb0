//! Parser for INI sections with line numbers.

use std::collections::HashMap;

use ini_core::{Item, Parser};

use crate::error::{ConfigError, Problem};

/// One `key = value` line.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// One section: `[kind name]` and its entries.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Returns the header without its brackets.
    pub(crate) fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}

/// Parses `text` into sections. Problems are added to `errors` and parsing continues.
pub(crate) fn parse(file: &str, text: &str, errors: &mut Vec<ConfigError>) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    let mut seen = HashMap::new();
    let mut parser = Parser::new(text);
    loop {
        let line = parser.line() as usize + 1;
        let Some(item) = parser.next() else { break };
        let problem = match item {
            Item::Error(content) => Some(Problem::Syntax(content.to_owned())),
            Item::Section(header) => open_section(&mut sections, &mut seen, header, line),
            Item::Property(key, value) => add_entry(&mut sections, key, value, line),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => None,
        };
        if let Some(problem) = problem {
            let section = sections.last().map(Section::header).unwrap_or_default();
            let key = match item {
                Item::Property(key, _) => key.trim().to_owned(),
                _ => String::new(),
            };
            errors.push(ConfigError { file: file.to_owned(), line, section, key, problem });
        }
    }
    sections
}

fn open_section(
    sections: &mut Vec<Section>,
    seen: &mut HashMap<String, usize>,
    header: &str,
    line: usize,
) -> Option<Problem> {
    let mut words = header.split_whitespace();
    let kind = words.next().unwrap_or_default().to_owned();
    let name = words.collect::<Vec<_>>().join(" ");
    let section = Section { kind, name, line, entries: Vec::new() };
    let first = *seen.entry(section.header()).or_insert(line);
    sections.push(section);
    (first != line).then_some(Problem::DuplicateSection(first))
}

fn add_entry(
    sections: &mut [Section],
    key: &str,
    value: Option<&str>,
    line: usize,
) -> Option<Problem> {
    let Some(value) = value else { return Some(Problem::Syntax(key.to_owned())) };
    let Some(section) = sections.last_mut() else { return Some(Problem::OutsideSection) };
    let key = key.trim().to_owned();
    if let Some(first) = section.entries.iter().find(|entry| entry.key == key) {
        return Some(Problem::DuplicateKey(first.line));
    }
    section.entries.push(Entry { key, value: value.trim().to_owned(), line });
    None
}
