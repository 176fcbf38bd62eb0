//! Requests that found no room anywhere, counted at one side for all entries.

use citronrill_base::{Map, Millis};
use citronrill_wire::ModelRate;

use crate::tally::Tally;

/// Milliseconds after which a request counts 1/e: a model that is away for ten seconds is told from one
/// that two callers happened to ask for in the same second.
const MEMORY_MS: f64 = 10_000.0;
/// Requests a second, in thousandths, below which a model is no longer told: one in twenty seconds.
const FLOOR_MILLI: u32 = 50;
/// Models told at most, the most missed first.
const TOLD_LIMIT: usize = 16;

/// How often each model is missed.
///
/// One entry of many sees a few requests of a model that is away, and too few to tell which of several the
/// weight store should bring first. All entries tell the same side of what they miss of one model.
#[derive(Debug, Default)]
pub(super) struct Missed(Map<String, Tally>);

impl Missed {
    /// Counts one request.
    pub(super) fn add(&mut self, model: &str, now: Millis) {
        self.0.retain(|_, rate| milli(rate, now) >= FLOOR_MILLI);
        self.0.entry(model.to_owned()).or_default().add(MEMORY_MS, now);
    }

    /// The models that are missed most.
    pub(super) fn rates(&self, now: Millis) -> Vec<ModelRate> {
        let rates = self.0.iter().map(|(name, rate)| (milli(rate, now), name));
        let mut rates = rates.filter(|(rate, _)| *rate >= FLOOR_MILLI).collect::<Vec<_>>();
        rates.sort_unstable_by(|a, b| b.cmp(a));
        let told = rates.into_iter().take(TOLD_LIMIT);
        told.map(|(rate_milli, name)| ModelRate { name: name.clone(), rate_milli }).collect()
    }
}

fn milli(missed: &Tally, now: Millis) -> u32 {
    (missed.decayed(MEMORY_MS, now) * 1_000_000.0 / MEMORY_MS) as u32
}
