//! Max-min fair division of capacity.

use std::{collections::BTreeMap, sync::Arc};

/// Part of a service's capacity that shares are divided from. Queues that formed before the level was known
/// shrink by the rest, which requests over the shares use otherwise.
const DIVIDED_PART: f64 = 0.9;

/// Decay time of the rate of arrivals, in milliseconds: the shorter report interval.
pub(super) const RATE_DECAY_MS: f64 = 250.0;
/// Standard deviations by which the rate of an organisation must exceed the level before it counts as over
/// it: the number of arrivals varies by chance, above all that of a small organisation.
const DEVIATIONS: f64 = 2.0;

/// Returns the level at which demands share `capacity` max-min fairly: those up to the level get all that
/// they ask for, the others the level. Returns `None` if there is enough for all.
pub fn water_level(demands: impl Iterator<Item = f64>, capacity: f64) -> Option<f64> {
    let mut sorted = demands.collect::<Vec<_>>();
    sorted.sort_unstable_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    let count = sorted.len();
    for (index, demand) in sorted.into_iter().enumerate() {
        let level = left / (count - index) as f64;
        if demand > level {
            return Some(level);
        }
        left -= demand;
    }
    None
}

/// Demand of one organisation for a service, in requests a second.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    pub(super) name: Arc<str>,
    /// 0 is the most urgent.
    pub(super) priority: u8,
    pub(super) rate: f64,
    /// Whether it was over its share at the last division.
    pub(super) was_over: bool,
}

impl Demand {
    /// Returns whether it asks for more than `level`.
    fn exceeds(&self, level: f64) -> bool {
        // Of a Poisson process, observed over the decay time.
        let deviation = (self.rate * 1_000.0 / (2.0 * RATE_DECAY_MS)).sqrt();
        let margin = if self.was_over { 0.0 } else { DEVIATIONS * deviation };
        self.rate > level + margin
    }
}

/// Demand of callers that are not listed one by one; it is never over a share.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rest {
    pub(super) rate: f64,
    /// Number of organisations.
    pub(super) count: u32,
}

/// Returns the organisations that ask for more than their share of `capacity`, with the part of their requests
/// that is within it.
///
/// A more urgent organisation goes first, whatever it asks for: those of one priority share what the more
/// urgent ones leave.
pub(super) fn divide(
    demands: &[Demand],
    rest: Rest,
    capacity: f64,
) -> impl Iterator<Item = (Arc<str>, f64)> + use<> {
    let mut classes = BTreeMap::<u8, Vec<&Demand>>::new();
    for demand in demands {
        classes.entry(demand.priority).or_default().push(demand);
    }
    let mut left = DIVIDED_PART * capacity;
    let mut unlisted = rest;
    let mut over = Vec::new();
    for class in classes.into_values() {
        let Rest { rate, count } = std::mem::take(&mut unlisted);
        let others = (0..count).map(|_| rate / f64::from(count));
        let rates = class.iter().map(|demand| demand.rate);
        let level = water_level(rates.clone().chain(others), left);
        if let Some(level) = level {
            let above = class.iter().filter(|demand| demand.exceeds(level));
            over.extend(above.map(|demand| (demand.name.clone(), level / demand.rate)));
        }
        left = (left - rates.sum::<f64>() - rate).max(0.0);
    }
    over.into_iter()
}
