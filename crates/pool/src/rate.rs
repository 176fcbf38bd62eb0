//! A decaying rate of events.

use citronrill_base::Millis;

/// Milliseconds after which an event counts 1/e: long enough to tell a model asked for every few
/// seconds from one that is not asked for, short enough to follow demand that moves.
const DECAY_MS: f64 = 10_000.0;

/// Events a second, exponentially weighted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    weight: f64,
    at: Millis,
}

impl Rate {
    /// Counts one event.
    pub(crate) fn add(&mut self, now: Millis) {
        self.weight = self.decayed(now) + 1.0;
        self.at = now;
    }

    /// Events a second at `now`.
    pub(crate) fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now) * 1_000.0 / DECAY_MS
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at) as f64) / DECAY_MS).exp()
    }
}
