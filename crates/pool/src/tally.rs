//! Counts that fade.

use citronrill_base::Millis;

/// A count that decays.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    weight: f64,
    at: Millis,
}

impl Tally {
    /// What is left of the count, where each loses weight to 1/e in `decay_ms`.
    pub(crate) fn decayed(&self, decay_ms: f64, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at) as f64) / decay_ms).exp()
    }

    /// Counts one more.
    pub(crate) fn add(&mut self, decay_ms: f64, now: Millis) {
        *self = Tally { weight: self.decayed(decay_ms, now) + 1.0, at: now };
    }
}
