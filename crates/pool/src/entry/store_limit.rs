//! How many loads from the weight store may run at once.

use citronrill_base::Map;

/// Loads at once before anything is known of the store.
const FIRST_LIMIT: u32 = 3;
/// Loads at once at most; beyond that each only holds up its endpoint for longer.
const LAST_LIMIT: u32 = 8;
/// Time of a load, in thousandths of the usual one, above which the store had too many at once.
const TOO_SLOW: u32 = 1_250;

/// Finds the number of loads that the weight store carries at full speed.
///
/// Beyond that number every load takes longer in proportion, so that more at once bring nothing,
/// and each holds its endpoint, which takes no other order meanwhile: with twelve at once and four
/// at full speed, loads of 6 s were measured to take up to 19.5 s. The number is nowhere told, so
/// it is raised by one after a load in usual time and lowered by one after a slow one.
#[derive(Debug, Clone)]
pub(super) struct StoreLimit {
    limit: u32,
    heard: Map<String, u32>,
}

impl Default for StoreLimit {
    fn default() -> StoreLimit {
        StoreLimit { limit: FIRST_LIMIT, heard: Map::default() }
    }
}

impl StoreLimit {
    /// Loads at once that are allowed.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes the time of an endpoint's last load, and how many are under way.
    pub(super) fn hear(&mut self, instance: &str, slow: u32, loads: u32) {
        if slow == 0 || self.heard.get(instance) == Some(&slow) {
            return;
        }
        self.heard.insert(instance.to_owned(), slow);
        if slow > TOO_SLOW {
            self.limit = (self.limit - 1).max(1);
        } else if loads + 1 >= self.limit {
            self.limit = (self.limit + 1).min(LAST_LIMIT);
        }
    }
}
