//! Limits that endpoints have named, as entries tell an issuer.

use citronrill_base::{Map, Millis};
use citronrill_wire::EndpointLimit;

/// Milliseconds for which the word of an endpoint is passed on.
const PASSED_ON_MS: u64 = 5_000;

/// The newest word of each endpoint on its limit.
#[derive(Debug, Default)]
pub(super) struct ToldLimits {
    newest: Map<String, Told>,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    milli: Option<u64>,
    said_at: Millis,
}

impl ToldLimits {
    /// Records what an endpoint said, unless it has said something since.
    pub(super) fn record(&mut self, limit: &EndpointLimit, now: Millis) {
        let said_at = Millis(now.0.saturating_sub(limit.age_ms));
        let newer = self.newest.get(&limit.instance).is_none_or(|told| told.said_at <= said_at);
        if newer && now.since(said_at) < PASSED_ON_MS {
            self.newest.retain(|_, told| now.since(told.said_at) < PASSED_ON_MS);
            let told = Told { milli: limit.milli, said_at };
            self.newest.insert(limit.instance.clone(), told);
        }
    }

    /// Returns what is still passed on, in the order of the instances' names.
    pub(super) fn list(&self, now: Millis) -> Vec<EndpointLimit> {
        let fresh = |told: &Told| now.since(told.said_at) < PASSED_ON_MS;
        let limits = self.newest.iter().filter(|(_, told)| fresh(told)).map(|(instance, told)| {
            EndpointLimit {
                instance: instance.clone(),
                milli: told.milli,
                age_ms: now.since(told.said_at),
            }
        });
        let mut limits = limits.collect::<Vec<_>>();
        limits.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        limits
    }
}
