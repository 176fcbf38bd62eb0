//! Identity of a request across attempts, entries and restarts.

use std::fmt;

/// A 128-bit digest of what stays the same when a caller sends a request again: the request target and
/// the body. The ID that the caller assigns differs in each attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Returns 64 bits of the digest, which tell the requests with one part of prompts apart.
    pub(crate) fn short(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }

    /// Returns the digest as in messages between processes.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    /// Reads the digest of a message; `None` if it does not have 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<RequestDigest> {
        bytes.try_into().ok().map(|bytes| RequestDigest(u128::from_be_bytes(bytes)))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
