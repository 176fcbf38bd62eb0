//! A decaying rate of events.

use citronrill_base::Millis;

/// Milliseconds in which the weight of an event decays to 1/e in the slow average: long enough to
/// distinguish a model requested every few seconds from one that is not requested.
const SLOW_MS: f64 = 10_000.0;
/// Decay time in milliseconds of the fast average, which follows a burst or a shift of
/// demand within a second.
const FAST_MS: f64 = 1_500.0;

/// Events a second: the larger of a slow and a fast average.
///
/// A model whose demand rises suddenly must count as busy before its only replica is unloaded for
/// another, and one without requests for a second must not count as idle.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    slow_count: f64,
    fast_count: f64,
    updated_at: Millis,
}

impl Rate {
    /// Counts one event.
    pub(crate) fn add(&mut self, now: Millis) {
        self.slow_count = self.decayed(self.slow_count, SLOW_MS, now) + 1.0;
        self.fast_count = self.decayed(self.fast_count, FAST_MS, now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the events a second at `now`.
    pub(crate) fn per_s(&self, now: Millis) -> f64 {
        let slow_rate = self.decayed(self.slow_count, SLOW_MS, now) * 1_000.0 / SLOW_MS;
        // A single event gives no rate.
        let fast_rate = (self.decayed(self.fast_count, FAST_MS, now) - 1.0) * 1_000.0 / FAST_MS;
        slow_rate.max(fast_rate)
    }

    fn decayed(&self, weight: f64, decay_ms: f64, now: Millis) -> f64 {
        weight * (-(now.since(self.updated_at) as f64) / decay_ms).exp()
    }
}
