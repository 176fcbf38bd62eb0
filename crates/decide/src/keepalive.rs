//! How long an idle model stays loaded, and when it is loaded ahead of its first request.
//!
//! Both weigh the same two costs: a second of idle accelerator, and a second that a caller waits
//! for a cold start. An organisation's text gives the price of the one in the other.

use citronrill_base::Millis;
use citronrill_config::{Model, Organisation};

use crate::rows::ModelRow;

/// Gaps are counted in buckets that double: bucket `i` ends at `2^i` seconds.
pub const GAP_BUCKETS: usize = 16;
/// Parts of the day that are learned apart.
pub const DAY_SLOTS: usize = 48;
/// Milliseconds of one part of the day.
pub const SLOT_MS: u64 = 24 * 3_600_000 / DAY_SLOTS as u64;
/// A model is never unloaded sooner after a request than this.
pub const MIN_KEEP_MS: u64 = 5_000;
/// Gaps up to this length are told apart, in milliseconds.
pub const LEARN_MS: u64 = 1000 << (GAP_BUCKETS - 1);
/// Counts are halved at this value, so that old seasons fade.
const FULL_COUNT: u8 = 240;
/// Weight of the prior that every gap length is as likely, in observations.
const PRIOR: f64 = 0.25;
/// Weight of the latest day in a slot's activity, as a fraction of 256.
const DAY_WEIGHT: u16 = 96;
const COUNT_STEP: u8 = 8;

/// The rule by which a replica is kept, released and loaded ahead.
pub trait KeepAlive: Send {
    /// Milliseconds to keep a replica after a request.
    fn keep_ms(&self, learned: &Learned, model: &Model, org: &Organisation) -> u64;

    /// Whether to load at the start of a part of the day, before any request.
    fn load_ahead(&self, learned: &Learned, slot: usize, model: &Model, org: &Organisation)
    -> bool;
}

/// What was learned of a model's traffic; small enough to ride on the model's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learned {
    gaps: [u8; GAP_BUCKETS],
    hours: [u8; DAY_SLOTS],
}

impl Default for Learned {
    fn default() -> Self {
        Learned { gaps: [0; GAP_BUCKETS], hours: [0; DAY_SLOTS] }
    }
}

impl Learned {
    /// Takes what the row carries; what is missing or of another size counts as not learned.
    pub fn from_row(row: &ModelRow) -> Learned {
        let gaps = row.gaps.as_slice().try_into().unwrap_or([0; GAP_BUCKETS]);
        let hours = row.hours.as_slice().try_into().unwrap_or([0; DAY_SLOTS]);
        Learned { gaps, hours }
    }

    /// Puts what was learned on the row.
    pub fn to_row(&self, row: &mut ModelRow) {
        row.gaps = self.gaps.to_vec();
        row.hours = self.hours.to_vec();
    }

    /// Counts a gap between two requests.
    pub fn observe_gap(&mut self, gap_ms: u64) {
        let bucket = gap_bucket(gap_ms);
        if self.gaps[bucket] >= FULL_COUNT {
            self.gaps.iter_mut().for_each(|count| *count /= 2);
        }
        self.gaps[bucket] = self.gaps[bucket].saturating_add(COUNT_STEP);
    }

    /// Closes a part of the day in which the model was asked for or not.
    pub fn close_slot(&mut self, slot: usize, active: bool) {
        let Some(value) = self.hours.get_mut(slot) else { return };
        let seen = if active { 255 } else { 0 };
        let mixed = u16::from(*value) * (256 - DAY_WEIGHT) + seen * DAY_WEIGHT;
        *value = (mixed / 256) as u8;
    }

    /// How likely the model is asked for in a part of the day, from 0 to 1.
    pub fn activity(&self, slot: usize) -> f64 {
        self.hours.get(slot).map_or(0.0, |value| f64::from(*value) / 255.0)
    }

    /// Probabilities of the gap buckets.
    fn gap_shares(&self) -> [f64; GAP_BUCKETS] {
        let counts = self.gaps.map(|count| f64::from(count) / f64::from(COUNT_STEP) + PRIOR);
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

/// Idle milliseconds that an organisation would pay to spare a caller one cold start.
fn cold_price(model: &Model, org: &Organisation) -> f64 {
    let ratio = org.cold_weight as f64 / org.idle_weight.max(1) as f64;
    ratio * model.disk_ms as f64
}

/// Keeps a replica for the time that costs least under the learned gaps.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheapestKeep;

impl KeepAlive for CheapestKeep {
    fn keep_ms(&self, learned: &Learned, model: &Model, org: &Organisation) -> u64 {
        let shares = learned.gap_shares();
        let price = cold_price(model, org);
        let mut best = (f64::INFINITY, MIN_KEEP_MS);
        for stop in 0..=GAP_BUCKETS {
            let keep = if stop == 0 { 0 } else { bucket_end_ms(stop - 1) };
            let met = shares[..stop].iter().enumerate();
            let met_cost = met.map(|(index, share)| share * middle_ms(index)).sum::<f64>();
            let missed = shares[stop..].iter().sum::<f64>();
            let cost = met_cost + missed * (keep as f64 + price);
            if cost < best.0 {
                best = (cost, keep.max(MIN_KEEP_MS));
            }
        }
        best.1
    }

    fn load_ahead(
        &self,
        learned: &Learned,
        slot: usize,
        model: &Model,
        org: &Organisation,
    ) -> bool {
        let spared = learned.activity(slot) * cold_price(model, org);
        spared > SLOT_MS as f64 / 2.0
    }
}

/// The naive rule: a fixed time, and nothing ahead.
#[derive(Debug, Clone, Copy)]
pub struct FixedKeep(pub u64);

impl KeepAlive for FixedKeep {
    fn keep_ms(&self, _: &Learned, _: &Model, _: &Organisation) -> u64 {
        self.0
    }

    fn load_ahead(&self, _: &Learned, _: usize, _: &Model, _: &Organisation) -> bool {
        false
    }
}

fn middle_ms(bucket: usize) -> f64 {
    let end = bucket_end_ms(bucket) as f64;
    if bucket == 0 { end / 2.0 } else { end * 0.75 }
}

/// The part of the day at `minute` after midnight.
pub fn day_slot(minute: u16) -> usize {
    usize::from(minute) * DAY_SLOTS / 1440 % DAY_SLOTS
}

/// Traffic of one model as its home sees it.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// What was learned.
    pub learned: Learned,
    /// The last time a request was reported.
    pub last: Millis,
    /// Whether a request came in this part of the day.
    pub active: bool,
    /// Whether `last` was a request, and not the time at which this process became the home.
    pub exact: bool,
}

impl Traffic {
    /// The traffic of a model whose home this process has just become.
    pub fn adopt(row: Option<&ModelRow>, now: Millis) -> Traffic {
        let learned = row.map(Learned::from_row).unwrap_or_default();
        Traffic { learned, last: now, active: false, exact: false }
    }

    /// Counts a report of requests.
    pub fn report(&mut self, now: Millis) {
        if self.exact {
            self.learned.observe_gap(now.since(self.last));
        }
        self.last = now;
        self.exact = true;
        self.active = true;
    }
}
