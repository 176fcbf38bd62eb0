//! Shares of organisations in the room of a service.

use super::{PoolEntry, Request};

impl PoolEntry {
    /// Returns whether a request is beyond its organisation's fair share of its service.
    pub(super) fn over_share(&self, _request: &Request) -> bool {
        false
    }
}
