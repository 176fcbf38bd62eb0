//! Order of what the platform store says.

use std::fmt;

/// A moment in the history of the platform store.
///
/// The store may come back from a copy that is some seconds old. What was written since is gone then, and
/// its versions are given out again; each time its era rises by one. Versions of different eras are compared
/// by their eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreVersion {
    /// The era of the history; 0 for a store that names none.
    pub era: u64,
    /// The version within the era; 0 before anything was read.
    pub version: u64,
}

impl StoreVersion {
    /// Returns whether anything was read.
    pub fn is_known(self) -> bool {
        self != StoreVersion::default()
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.version),
            era => write!(f, "{era}.{}", self.version),
        }
    }
}
