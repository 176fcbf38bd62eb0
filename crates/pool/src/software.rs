//! Software versions of endpoints, and the streams that they begin.
//!
//! Endpoints of several software versions may serve side by side in a service. What two of them write
//! does not fit together, so that a stream goes on only at the version that wrote its first event.

use std::fmt;

use citronrill_base::{Map, Millis, hash_bytes};

/// Milliseconds between two notices of an entry to the sides that several versions serve.
pub(crate) const MIXED_NOTICE_MS: u64 = 1_000;

/// Identifies a software version of a service. Only equality counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareKey(pub u64);

impl SoftwareKey {
    /// Returns the key of a version of a service.
    pub fn new(service: &str, version: &str) -> SoftwareKey {
        SoftwareKey(hash_bytes(format!("{service}\0{version}").as_bytes()))
    }

    /// Returns the key of the version of an incarnation that is not listed yet: it equals no other.
    pub(crate) fn unlisted(instance: &str) -> SoftwareKey {
        SoftwareKey(hash_bytes(format!("{instance}\0\0").as_bytes()))
    }
}

impl fmt::Display for SoftwareKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a stream over all attempts of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that began in the attempt with this ID.
    pub fn new(attempt_id: &str) -> StreamKey {
        StreamKey(hash_bytes(attempt_id.as_bytes()))
    }
}

/// The software versions that an entry has seen in service.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    versions: Map<SoftwareKey, SeenVersion>,
    /// When the member list was first known.
    since: Option<Millis>,
}

#[derive(Debug)]
struct SeenVersion {
    service: String,
    /// Whether it is that of an incarnation that is not listed yet.
    unlisted: bool,
    /// When its last endpoint left; `None` while it serves.
    gone_at: Option<Millis>,
}

/// A software version that an endpoint runs now.
pub(crate) struct ServingVersion<'a> {
    pub(crate) key: SoftwareKey,
    pub(crate) service: &'a str,
    /// Whether it is that of an incarnation that is not listed yet.
    pub(crate) unlisted: bool,
}

impl SoftwareHistory {
    /// Records the versions that serve now.
    pub(crate) fn record<'a>(
        &mut self,
        serving: impl Iterator<Item = ServingVersion<'a>>,
        horizon_ms: u64,
        now: Millis,
    ) {
        self.since.get_or_insert(now);
        for seen in self.versions.values_mut() {
            seen.gone_at.get_or_insert(now);
        }
        for ServingVersion { key, service, unlisted } in serving {
            let seen = self.versions.entry(key).or_insert_with(|| SeenVersion {
                service: service.to_owned(),
                unlisted,
                gone_at: None,
            });
            seen.gone_at = None;
        }
        self.versions.retain(|_, seen| seen.gone_at.is_none_or(|at| now.since(at) < horizon_ms));
    }

    /// Returns whether a version is that of an incarnation that was not listed.
    pub(crate) fn has_unlisted(&self) -> bool {
        self.versions.values().any(|seen| seen.unlisted)
    }

    /// Removes a version; returns whether it was recorded.
    pub(crate) fn remove(&mut self, key: SoftwareKey) -> bool {
        self.versions.remove(&key).is_some()
    }

    /// Returns the versions of a service that have served within the horizon.
    pub(crate) fn recent(
        &self,
        service: &str,
        horizon_ms: u64,
        now: Millis,
    ) -> impl Iterator<Item = SoftwareKey> {
        let recent = self.versions.iter().filter(move |(_, seen)| {
            seen.service == service && seen.gone_at.is_none_or(|at| now.since(at) < horizon_ms)
        });
        recent.map(|(key, _)| *key)
    }

    /// Returns whether several listed versions of a service have served within the horizon.
    pub(crate) fn is_mixed(&self, service: &str, horizon_ms: u64, now: Millis) -> bool {
        let recent = self.recent(service, horizon_ms, now);
        recent.filter(|key| !self.versions[key].unlisted).nth(1).is_some()
    }

    /// Returns whether the member list has been known for the whole horizon.
    pub(crate) fn covers(&self, horizon_ms: u64, now: Millis) -> bool {
        self.since.is_some_and(|since| now.since(since) >= horizon_ms)
    }
}
