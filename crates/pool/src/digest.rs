//! Identity of a request across attempts, entries and restarts.

use std::fmt;

/// A 128-bit digest of what stays the same when a caller sends a request again: the request target and
/// the body. The ID that the caller assigns differs in each attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
