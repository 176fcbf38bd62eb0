//! What is wrong with a text, and where.

use std::fmt;

use thiserror::Error;

/// What is wrong with one line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The line is not INI.
    #[error("not a section, a `key = value` or a comment: `{0}`")]
    Syntax(String),
    /// A key stands before the first section.
    #[error("stands before the first [section]")]
    OutsideSection,
    /// The section's first word names no kind.
    #[error("unknown kind of section; expected one of: {0}")]
    UnknownSection(&'static str),
    /// The section needs a name after its kind, or takes none.
    #[error("expected {0}")]
    SectionName(&'static str),
    /// The same section stands twice.
    #[error("the section stands already on line {0}")]
    DuplicateSection(usize),
    /// The same key stands twice in a section.
    #[error("the key stands already on line {0}")]
    DuplicateKey(usize),
    /// No such key in this kind of section.
    #[error("unknown key")]
    UnknownKey,
    /// A key that must be given is missing.
    #[error("missing; expected {0}")]
    Missing(&'static str),
    /// The value has the wrong shape.
    #[error("expected {expected}, found `{found}`")]
    Value {
        /// The shape and unit that fit.
        expected: &'static str,
        /// The value as written.
        found: String,
    },
    /// The value names something that no section describes.
    #[error("names {kind} `{name}`, which no section describes")]
    Dangling {
        /// The kind of section that is missing.
        kind: &'static str,
        /// The name as written.
        name: String,
    },
    /// The dependency leads back to where it started.
    #[error("depends on itself by way of `{0}`")]
    Cycle(String),
    /// A required section is missing.
    #[error("the section is missing")]
    MissingSection,
}

/// One problem and its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigError {
    /// The file as it was named.
    pub file: String,
    /// The line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// The section's header without brackets; empty outside sections.
    pub section: String,
    /// The key; empty where the section itself is meant.
    pub key: String,
    /// What is wrong.
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

/// Everything wrong with a text, in the order of its lines.
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
