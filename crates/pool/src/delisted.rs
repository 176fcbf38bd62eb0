//! What is kept of endpoints that are not listed any more.
//!
//! The row of an endpoint that lives may lapse and come back. What the endpoint has said of itself holds on.

use citronrill_base::{Map, Millis};

use crate::{advertised::Advertised, endpoint::Endpoint, incarnation::KnownIncarnation};

/// Milliseconds for which an endpoint that is not listed is remembered: far longer than one that leaves goes
/// on running.
const KEEP_MS: u64 = 600_000;
/// Maximum number of endpoints that are remembered.
const MAX_KEPT: usize = 4_096;

/// What is kept of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Delisted {
    pub(crate) advertised: Advertised,
    pub(crate) incarnation: KnownIncarnation,
    pub(crate) known_since: Millis,
    removed_at: Millis,
}

/// Endpoints that are not listed any more, by instance name.
#[derive(Debug, Clone, Default)]
pub(crate) struct DelistedEndpoints(Map<String, Delisted>);

impl DelistedEndpoints {
    /// Keeps what an endpoint has said that is removed from the pool.
    pub(crate) fn keep(&mut self, endpoint: &Endpoint, now: Millis) {
        if self.0.len() >= MAX_KEPT {
            let oldest = self.0.iter().min_by_key(|(_, delisted)| delisted.removed_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.0.remove(&name);
            }
        }
        let delisted = Delisted {
            advertised: endpoint.advertised,
            incarnation: endpoint.incarnation,
            known_since: endpoint.known_since,
            removed_at: now,
        };
        self.0.insert(endpoint.member.instance.clone(), delisted);
    }

    /// Returns what was kept of an endpoint that is listed again.
    pub(crate) fn take(&mut self, instance: &str) -> Option<Delisted> {
        self.0.remove(instance)
    }

    pub(crate) fn get_mut(&mut self, instance: &str) -> Option<&mut Delisted> {
        self.0.get_mut(instance)
    }

    pub(crate) fn contains(&self, instance: &str) -> bool {
        self.0.contains_key(instance)
    }

    /// Forgets endpoints that were removed long ago.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.0.retain(|_, delisted| now.since(delisted.removed_at) < KEEP_MS);
    }
}
