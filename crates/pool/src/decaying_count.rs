//! Exponentially decaying counts.

use citronrill_base::Millis;

/// An exponentially decaying count.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingCount {
    weight: f64,
    updated_at: Millis,
}

impl DecayingCount {
    /// Returns the count at `now`, where the weight of each event decays to 1/e in `decay_ms`.
    pub(crate) fn decayed(&self, decay_ms: f64, now: Millis) -> f64 {
        self.weight * (-(now.since(self.updated_at) as f64) / decay_ms).exp()
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, decay_ms: f64, now: Millis) {
        self.add_weight(1.0, decay_ms, now);
    }

    /// Counts an event that counts as `weight`.
    pub(crate) fn add_weight(&mut self, weight: f64, decay_ms: f64, now: Millis) {
        *self = DecayingCount { weight: self.decayed(decay_ms, now) + weight, updated_at: now };
    }
}
