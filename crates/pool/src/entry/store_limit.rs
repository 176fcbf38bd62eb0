//! How many loads from the weight store may run at once.

use citronrill_base::{Map, Millis};

use crate::text::LATE_LOAD;

/// Loads at once before anything is known of the store.
const FIRST_LIMIT: u32 = 3;
/// Loads at once at most; beyond that each only holds up its endpoint for longer.
const LAST_LIMIT: u32 = 8;
/// Milliseconds after a slow load for which the limit is not raised: a store does not change its pace from
/// one load to the next.
const SLOW_MEMORY_MS: u64 = 60_000;

/// Finds the number of loads that the weight store carries at full speed.
///
/// A load beyond that number takes longer in proportion to how many there are when it begins, so that more at
/// once bring nothing, and each holds its endpoint, which takes no other order meanwhile. The number is
/// nowhere told. It is doubled after as many as are allowed took their usual time. A load that is late tells
/// it while it is under way: one that began beside two others and takes three times as long shows that one
/// would have been at full speed.
#[derive(Debug, Clone)]
pub(super) struct StoreLimit {
    limit: u32,
    ended: Map<String, u32>,
    slowed: Option<Millis>,
}

impl Default for StoreLimit {
    fn default() -> StoreLimit {
        StoreLimit { limit: FIRST_LIMIT, ended: Map::default(), slowed: None }
    }
}

impl StoreLimit {
    /// Loads at once that are allowed.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes the time of an endpoint's last load, which began as one of `loads`.
    pub(super) fn hear_ended(&mut self, instance: &str, slow: u32, loads: u32, now: Millis) {
        if slow == 0 || self.ended.get(instance) == Some(&slow) {
            return;
        }
        self.ended.insert(instance.to_owned(), slow);
        let known = self.slowed.is_some_and(|at| now.since(at) < SLOW_MEMORY_MS);
        if slow >= LATE_LOAD {
            self.lower(slow, loads, now);
        } else if loads >= self.limit && !known {
            self.limit = (self.limit * 2).min(LAST_LIMIT);
        }
    }

    /// Takes how late a load under way is, which began as one of `loads`.
    pub(super) fn hear_late(&mut self, slow: u32, loads: u32, now: Millis) {
        if slow >= LATE_LOAD {
            self.lower(slow, loads, now);
        }
    }

    fn lower(&mut self, slow: u32, loads: u32, now: Millis) {
        self.slowed = Some(now);
        self.limit = self.limit.min(loads * 1_000 / slow).max(1);
    }
}
