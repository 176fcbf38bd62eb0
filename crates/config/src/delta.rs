//! Differences between two configuration versions, by section.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Returns the SHA-256 of a configuration's canonical form, in hexadecimal.
pub fn digest(text: &str) -> String {
    let hash = Sha256::digest(canonical(&split(text)).as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The sections to replace and to remove.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta {
    /// New or changed sections, each as text with its header.
    pub changed: Vec<String>,
    /// Headers of removed sections.
    pub removed: Vec<String>,
    /// Digest of the resulting configuration.
    pub digest: String,
}

/// Why a delta cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The result has a different digest, so the delta was made from a different base.
    #[error("the delta was made from a different base configuration")]
    WrongBase,
}

impl Delta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Delta {
        let old = split(old);
        let new_sections = split(new);
        let changed = new_sections
            .iter()
            .filter(|(header, body)| old.get(*header) != Some(body))
            .map(|(header, body)| format!("{header}\n{body}"))
            .collect();
        let removed =
            old.keys().filter(|header| !new_sections.contains_key(*header)).cloned().collect();
        Delta { changed, removed, digest: digest(new) }
    }

    /// Applies the delta to `text`; the result is in canonical form.
    ///
    /// # Errors
    /// [`DeltaError::WrongBase`] if the digest differs. Without this check a process that missed a
    /// version would run a configuration that was never accepted. The caller then fetches the whole
    /// configuration.
    pub fn apply(&self, text: &str) -> Result<String, DeltaError> {
        let mut sections = split(text);
        for header in &self.removed {
            sections.remove(header);
        }
        for part in &self.changed {
            sections.extend(split(part));
        }
        let result = canonical(&sections);
        if digest(&result) == self.digest { Ok(result) } else { Err(DeltaError::WrongBase) }
    }

    /// Returns the size of the delta in bytes.
    pub fn size(&self) -> usize {
        self.changed.iter().chain(&self.removed).map(String::len).sum()
    }
}

/// Maps section headers, with brackets, to their lines, without comments and blank lines.
fn split(text: &str) -> BTreeMap<String, String> {
    let mut sections = BTreeMap::new();
    let mut header = String::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with(';') {
            continue;
        }
        if line.starts_with('[') {
            header = line.to_owned();
            sections.entry(header.clone()).or_insert_with(String::new);
            continue;
        }
        let body = sections.entry(header.clone()).or_insert_with(String::new);
        body.push_str(line);
        body.push('\n');
    }
    sections
}

fn canonical(sections: &BTreeMap<String, String>) -> String {
    sections.iter().map(|(header, body)| format!("{header}\n{body}")).collect()
}
