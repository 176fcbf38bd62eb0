//! What changed between two versions of the text, by section.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// The SHA-256 of a text's canonical form, in hexadecimal.
pub fn digest(text: &str) -> String {
    let hash = Sha256::digest(canonical(&split(text)).as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The sections to replace and to drop.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta {
    /// New or changed sections: header and lines, as text.
    pub changed: Vec<String>,
    /// Headers of dropped sections.
    pub removed: Vec<String>,
    /// Digest of the text that results.
    pub digest: String,
}

/// Why a delta does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The result has another digest: the base was another text.
    #[error("the delta was made from another base text")]
    WrongBase,
}

impl Delta {
    /// The difference that leads from `old` to `new`.
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

    /// Applies the difference to `text`; the result is in canonical form.
    ///
    /// # Errors
    /// [`DeltaError::WrongBase`] if the digest differs: a process that missed a version would else
    /// run a text that nobody accepted. It then fetches the whole text.
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

    /// The bytes of text that the difference carries.
    pub fn size(&self) -> usize {
        self.changed.iter().chain(&self.removed).map(String::len).sum()
    }
}

/// Headers (with brackets) to their lines, without comments and blank lines.
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
