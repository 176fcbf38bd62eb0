//! Policies for how long an idle model stays loaded and when it is preloaded.
//!
//! Both weigh the cost of a second of idle accelerator against the cost of a second that a caller
//! waits for a cold start. An organisation's configuration sets the ratio of the two.

use citronrill_base::Millis;
use citronrill_config::{Model, Organisation};

use crate::rows::ModelRow;

/// Number of buckets in the histogram of request gaps: bucket `i` ends at `2^i` seconds.
pub const GAP_BUCKETS: usize = 16;
/// Number of time slots in a day whose activity is tracked separately.
pub const DAY_SLOTS: usize = 48;
/// Length of a time slot, in milliseconds.
pub const SLOT_MS: u64 = 24 * 3_600_000 / DAY_SLOTS as u64;
/// Minimum time that a model stays loaded after a request, in milliseconds.
pub const MIN_KEEP_MS: u64 = 5_000;
/// Longest gap that the histogram can tell from a longer one, in milliseconds.
pub const MAX_GAP_MS: u64 = 1000 << (GAP_BUCKETS - 1);
/// Counts are halved at this value, so that old observations decay.
const MAX_COUNT: u8 = 240;
/// Weight of the uniform prior over the gap buckets, in observations per bucket.
const PRIOR_WEIGHT: f64 = 0.25;
/// Weight of the latest day in the moving average of a slot's activity, in units of 1/256.
const LATEST_DAY_WEIGHT: u16 = 96;
const COUNT_STEP: u8 = 8;

/// Policy for keeping, unloading and preloading a replica.
pub trait KeepAlive: Send {
    /// Returns how long to keep a replica after a request, in milliseconds.
    fn keep_ms(&self, stats: &TrafficStats, model: &Model, org: &Organisation) -> u64;

    /// Returns whether to load a model at the start of a time slot, before any request.
    fn should_preload(
        &self,
        stats: &TrafficStats,
        slot: usize,
        model: &Model,
        org: &Organisation,
    ) -> bool;
}

/// Traffic statistics of a model, small enough to be stored in the model's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficStats {
    gaps: [u8; GAP_BUCKETS],
    slots: [u8; DAY_SLOTS],
}

impl Default for TrafficStats {
    fn default() -> Self {
        TrafficStats { gaps: [0; GAP_BUCKETS], slots: [0; DAY_SLOTS] }
    }
}

impl TrafficStats {
    /// Reads the statistics from the row; fields that are missing or of another size count as
    /// empty.
    pub fn from_row(row: &ModelRow) -> TrafficStats {
        let gaps = row.gaps.as_slice().try_into().unwrap_or([0; GAP_BUCKETS]);
        let slots = row.activity.as_slice().try_into().unwrap_or([0; DAY_SLOTS]);
        TrafficStats { gaps, slots }
    }

    /// Writes the statistics to the row.
    pub fn to_row(&self, row: &mut ModelRow) {
        row.gaps = self.gaps.to_vec();
        row.activity = self.slots.to_vec();
    }

    /// Records a gap between two requests.
    pub fn observe_gap(&mut self, gap_ms: u64) {
        let bucket = gap_bucket(gap_ms);
        if self.gaps[bucket] >= MAX_COUNT {
            self.gaps.iter_mut().for_each(|count| *count /= 2);
        }
        self.gaps[bucket] = self.gaps[bucket].saturating_add(COUNT_STEP);
    }

    /// Records at the end of a time slot whether the model was requested in it.
    pub fn close_slot(&mut self, slot: usize, active: bool) {
        let Some(value) = self.slots.get_mut(slot) else { return };
        let seen = if active { 255 } else { 0 };
        let mixed = u16::from(*value) * (256 - LATEST_DAY_WEIGHT) + seen * LATEST_DAY_WEIGHT;
        *value = (mixed / 256) as u8;
    }

    /// Returns the estimated probability that the model is requested in a time slot.
    pub fn activity(&self, slot: usize) -> f64 {
        self.slots.get(slot).map_or(0.0, |value| f64::from(*value) / 255.0)
    }

    /// Returns the estimated probability of each gap bucket.
    fn gap_probabilities(&self) -> [f64; GAP_BUCKETS] {
        let counts = self.gaps.map(|count| f64::from(count) / f64::from(COUNT_STEP) + PRIOR_WEIGHT);
        let total = counts.iter().sum::<f64>();
        counts.map(|count| count / total)
    }
}

fn gap_bucket(gap_ms: u64) -> usize {
    let seconds = gap_ms.div_ceil(1000).max(1);
    let bucket = u64::BITS - (seconds - 1).leading_zeros();
    (bucket as usize).min(GAP_BUCKETS - 1)
}

fn bucket_end_ms(bucket: usize) -> u64 {
    1000 << bucket
}

/// Returns the idle milliseconds that cost an organisation as much as one cold start.
fn cold_start_price(model: &Model, org: &Organisation) -> f64 {
    let ratio = org.cold_weight as f64 / org.idle_weight.max(1) as f64;
    ratio * model.disk_ms as f64
}

/// Keeps a replica for the time with the lowest expected cost under the observed gaps.
#[derive(Debug, Clone, Copy, Default)]
pub struct LowestCostKeepAlive;

impl KeepAlive for LowestCostKeepAlive {
    fn keep_ms(&self, stats: &TrafficStats, model: &Model, org: &Organisation) -> u64 {
        let probabilities = stats.gap_probabilities();
        let price_ms = cold_start_price(model, org);
        let mut best = (f64::INFINITY, MIN_KEEP_MS);
        for cutoff in 0..=GAP_BUCKETS {
            let keep = if cutoff == 0 { 0 } else { bucket_end_ms(cutoff - 1) };
            let hits = probabilities[..cutoff].iter().enumerate();
            let hit_cost =
                hits.map(|(index, probability)| probability * bucket_middle_ms(index)).sum::<f64>();
            let miss_probability = probabilities[cutoff..].iter().sum::<f64>();
            let cost = hit_cost + miss_probability * (keep as f64 + price_ms);
            if cost < best.0 {
                best = (cost, keep.max(MIN_KEEP_MS));
            }
        }
        best.1
    }

    fn should_preload(
        &self,
        stats: &TrafficStats,
        slot: usize,
        model: &Model,
        org: &Organisation,
    ) -> bool {
        let saved_ms = stats.activity(slot) * cold_start_price(model, org);
        saved_ms > SLOT_MS as f64 / 2.0
    }
}

/// Baseline policy: a fixed time in milliseconds, and no preloading.
#[derive(Debug, Clone, Copy)]
pub struct FixedKeepAlive(pub u64);

impl KeepAlive for FixedKeepAlive {
    fn keep_ms(&self, _: &TrafficStats, _: &Model, _: &Organisation) -> u64 {
        self.0
    }

    fn should_preload(&self, _: &TrafficStats, _: usize, _: &Model, _: &Organisation) -> bool {
        false
    }
}

fn bucket_middle_ms(bucket: usize) -> f64 {
    let end = bucket_end_ms(bucket) as f64;
    if bucket == 0 { end / 2.0 } else { end * 0.75 }
}

/// Returns the time slot at `minute` after midnight.
pub fn day_slot(minute: u16) -> usize {
    usize::from(minute) * DAY_SLOTS / 1440 % DAY_SLOTS
}

/// Traffic of a model as its coordinator sees it.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Traffic statistics.
    pub stats: TrafficStats,
    /// Time of the last reported request, or of the start as the coordinator.
    pub last_request: Millis,
    /// Whether a request was reported in the current time slot.
    pub active: bool,
    /// Whether this coordinator has received a report of use; the first one records no gap, since
    /// the time of the previous request is not known.
    pub request_seen: bool,
}

impl Traffic {
    /// Creates the traffic of a model for which this process has just become the coordinator.
    pub fn new(row: Option<&ModelRow>, now: Millis) -> Traffic {
        let stats = row.map(TrafficStats::from_row).unwrap_or_default();
        Traffic { stats, last_request: now, active: false, request_seen: false }
    }

    /// Records a report of requests.
    pub fn report(&mut self, now: Millis) {
        if self.request_seen {
            self.stats.observe_gap(now.since(self.last_request));
        }
        self.last_request = now;
        self.request_seen = true;
        self.active = true;
    }
}
