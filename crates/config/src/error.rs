//! Problems of a configuration or settings file, with their places.

use std::fmt;

use thiserror::Error;

/// A problem with a line or section.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The line is not valid INI.
    #[error("not a section, a `key = value` or a comment: `{0}`")]
    Syntax(String),
    /// A key precedes the first section.
    #[error("stands before the first [section]")]
    OutsideSection,
    /// The first word of the section header is not a known kind.
    #[error("unknown kind of section; expected one of: {0}")]
    UnknownSection(&'static str),
    /// The name after the section's kind is missing or already used.
    #[error("expected {0}")]
    SectionName(&'static str),
    /// The section occurs twice.
    #[error("the section stands already on line {0}")]
    DuplicateSection(usize),
    /// The key occurs twice in a section.
    #[error("the key stands already on line {0}")]
    DuplicateKey(usize),
    /// This kind of section has no such key.
    #[error("unknown key")]
    UnknownKey,
    /// A required key is missing.
    #[error("missing; expected {0}")]
    Missing(&'static str),
    /// The value cannot be parsed.
    #[error("expected {expected}, found `{found}`")]
    Value {
        /// The expected type.
        expected: &'static str,
        /// The value as written.
        found: String,
    },
    /// The value refers to a section that does not exist.
    #[error("names {kind} `{name}`, which has no section")]
    UnknownReference {
        /// The kind of section that is missing.
        kind: &'static str,
        /// The name as written.
        name: String,
    },
    /// The service depends on itself, directly or indirectly.
    #[error("depends on itself through `{0}`")]
    Cycle(String),
    /// A required section is missing.
    #[error("the section is missing")]
    MissingSection,
}

/// A problem and its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigError {
    /// The file name as given.
    pub file: String,
    /// The line, from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// The section's header without brackets; empty outside sections.
    pub section: String,
    /// The key; empty if the problem concerns the section itself.
    pub key: String,
    /// The problem.
    pub problem: Problem,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        self.problem.fmt(f)
    }
}

/// All problems of a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}
