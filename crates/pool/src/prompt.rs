//! Parts of prompts.

use std::fmt;

/// Identifies a part of a prompt that requests may share, whatever else they hold: other parts, another
/// model, another route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u128);

impl PromptPart {
    /// Returns the part as in messages between processes.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Returns parts of prompts as in log lines, separated by commas.
pub(crate) fn join_parts<T: fmt::Display>(parts: impl Iterator<Item = T>) -> String {
    parts.map(|part| part.to_string()).collect::<Vec<_>>().join(",")
}
