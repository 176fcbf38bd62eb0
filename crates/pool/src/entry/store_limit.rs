//! Limit on concurrent loads from the weight store.

use citronrill_base::{Map, Millis};

use crate::config::LATE_LOAD_MILLI;

/// Initial limit.
const INITIAL_LIMIT: u32 = 2;
/// Maximum limit; further loads only occupy their endpoints for longer.
const MAX_LIMIT: u32 = 8;
/// Milliseconds after a slow load during which the limit is not raised: the store's speed does not
/// change from one load to the next.
const SLOW_HOLD_MS: u64 = 60_000;

/// Estimates how many concurrent loads the weight store carries at full speed.
///
/// Loads beyond that number slow down in proportion to the concurrency at their start. More
/// concurrent loads gain nothing, and each occupies its endpoint, which takes no other order
/// meanwhile. The number is not configured anywhere. The limit is doubled after a load at full
/// concurrency completed in its usual time. A late load lowers it while still in progress: one that
/// started beside two others and takes three times as long shows that the store carries one load at
/// full speed.
#[derive(Debug, Clone)]
pub(super) struct StoreLimit {
    limit: u32,
    last_slowdown: Map<String, u32>,
    slowed_at: Option<Millis>,
}

impl Default for StoreLimit {
    fn default() -> StoreLimit {
        StoreLimit { limit: INITIAL_LIMIT, last_slowdown: Map::default(), slowed_at: None }
    }
}

impl StoreLimit {
    /// Returns the maximum number of concurrent loads.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Records the duration of an endpoint's last load; `loads` is the number of concurrent loads
    /// when it started.
    pub(super) fn record_finished(
        &mut self,
        instance: &str,
        slowdown: u32,
        loads: u32,
        now: Millis,
    ) {
        if slowdown == 0 || self.last_slowdown.get(instance) == Some(&slowdown) {
            return;
        }
        self.last_slowdown.insert(instance.to_owned(), slowdown);
        let slowed_recently = self.slowed_at.is_some_and(|at| now.since(at) < SLOW_HOLD_MS);
        if slowdown >= LATE_LOAD_MILLI {
            self.lower(slowdown, loads, now);
        } else if loads >= self.limit && !slowed_recently {
            self.limit = (self.limit * 2).min(MAX_LIMIT);
        }
    }

    /// Records how late an active load is; `loads` is the number of concurrent loads when it
    /// started.
    pub(super) fn record_late(&mut self, slowdown: u32, loads: u32, now: Millis) {
        if slowdown >= LATE_LOAD_MILLI {
            self.lower(slowdown, loads, now);
        }
    }

    fn lower(&mut self, slowdown: u32, loads: u32, now: Millis) {
        self.slowed_at = Some(now);
        self.limit = self.limit.min(loads * 1_000 / slowdown).max(1);
    }
}
