//! Requests that found no replica with room, counted at one side for all entries.

use citronrill_base::{Map, Millis};
use citronrill_wire::ModelRate;

use crate::decaying_count::DecayingCount;

/// Milliseconds in which the weight of a request decays to 1/e: distinguishes a model that has no
/// replica for ten seconds from one that two callers happened to request in the same second.
const DECAY_MS: f64 = 10_000.0;
/// Requests a second, in thousandths, below which a model is no longer reported: one request in
/// twenty seconds.
const MIN_RATE_MILLI: u32 = 50;
/// Maximum number of models reported, those with the highest rates first.
const MAX_REPORTED: usize = 16;

/// Rate of missed requests by model.
///
/// A single entry of many sees only a few requests for a model without a replica, too few to decide
/// which of several models to load first from the weight store. All entries therefore report their
/// misses of one model to the same side.
#[derive(Debug, Default)]
pub(super) struct MissRates(Map<String, DecayingCount>);

impl MissRates {
    /// Counts one missed request.
    pub(super) fn add(&mut self, model: &str, now: Millis) {
        self.0.retain(|_, rate| milli_per_s(rate, now) >= MIN_RATE_MILLI);
        self.0.entry(model.to_owned()).or_default().add(DECAY_MS, now);
    }

    /// Returns the models with the highest rates.
    pub(super) fn rates(&self, now: Millis) -> Vec<ModelRate> {
        let rates = self.0.iter().map(|(name, rate)| (milli_per_s(rate, now), name));
        let mut rates = rates.filter(|(rate, _)| *rate >= MIN_RATE_MILLI).collect::<Vec<_>>();
        rates.sort_unstable_by(|a, b| b.cmp(a));
        let reported = rates.into_iter().take(MAX_REPORTED);
        reported.map(|(rate_milli, name)| ModelRate { name: name.clone(), rate_milli }).collect()
    }
}

fn milli_per_s(count: &DecayingCount, now: Millis) -> u32 {
    (count.decayed(DECAY_MS, now) * 1_000_000.0 / DECAY_MS) as u32
}
