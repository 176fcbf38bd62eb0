//! How the permitted excess over a limit is divided.

use crate::organisation::UsageLimit;

/// Share of the slack that refills an issuer's bucket in one window, in addition to the limit's rate.
const REFILL_SHARE: f64 = 0.55;
/// Share of the slack by which an issuer's bucket holds more than the burst.
const CAPACITY_SHARE: f64 = 0.05;
/// Share of the slack with which an issuer starts that does not know what was used before.
const START_SHARE: f64 = 0.15;
/// Share of the slack that entries without an issuer may use, over all entries.
const ALONE_SHARE: f64 = 0.05;

/// By how much the sum of all entries may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Milliseconds of the sliding window in which use is summed.
    pub window_ms: u64,
    /// Permitted excess, as a fraction of the limit in one window.
    pub overage: f64,
    /// Permitted excess in addition, in units.
    pub tolerance: f64,
}

impl Default for LimitBounds {
    fn default() -> LimitBounds {
        LimitBounds { window_ms: 10_000, overage: 0.1, tolerance: 0.0 }
    }
}

impl LimitBounds {
    /// Returns the maximum use in one window over all entries.
    pub fn maximum(&self, limit: UsageLimit) -> f64 {
        self.nominal(limit) + self.slack(limit)
    }

    fn nominal(&self, limit: UsageLimit) -> f64 {
        limit.rate as f64 * self.window_ms as f64 / 1_000.0 + limit.burst as f64
    }

    fn slack(&self, limit: UsageLimit) -> f64 {
        self.overage * self.nominal(limit) + self.tolerance
    }

    /// Returns the units a second that refill an issuer's bucket.
    pub(super) fn refill(&self, limit: UsageLimit) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        limit.rate as f64 + REFILL_SHARE * self.slack(limit) / window_s.max(1.0)
    }

    /// Returns the capacity of an issuer's bucket.
    pub(super) fn capacity(&self, limit: UsageLimit) -> f64 {
        limit.burst as f64 + CAPACITY_SHARE * self.slack(limit)
    }

    /// Returns the contents of the bucket of an issuer that has just taken over.
    pub(super) fn start(&self, limit: UsageLimit) -> f64 {
        START_SHARE * self.slack(limit)
    }

    /// Returns the units that one of `entries` entries may use in a window without an issuer.
    pub(super) fn alone(&self, limit: UsageLimit, entries: u32) -> f64 {
        ALONE_SHARE * self.slack(limit) / f64::from(entries.max(1))
    }
}
