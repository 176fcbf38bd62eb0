//! Which warm replica gets a request.

use rand::{Rng, rngs::SmallRng};

use citronrill_base::EndpointKey;

/// A reported load counts for half after this time, in milliseconds.
const REPORT_HALF_LIFE_MS: u64 = 400;
/// A replica in another zone is taken only if the nearer one is busier by this part of its slots.
const ZONE_MARGIN: f64 = 0.5;
/// The replica that has a prompt's prefix cached is left if it is busier by this part of its slots.
const PREFIX_MARGIN: f64 = 0.25;

/// A replica that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Where it is.
    pub endpoint: EndpointKey,
    /// Requests that this entry has running there.
    pub own: u32,
    /// Requests of others that the side last reported.
    pub reported: u32,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is in the entry's zone.
    pub near: bool,
    /// A stable hash of prompt prefix and endpoint; 0 without a prefix.
    pub affinity: u64,
}

impl Candidate {
    /// Expected load as a part of the slots.
    fn load(&self) -> f64 {
        let fade = 0.5_f64.powf(self.age_ms as f64 / REPORT_HALF_LIFE_MS as f64);
        let others = f64::from(self.reported) * fade;
        (f64::from(self.own) + others) / f64::from(self.slots.max(1))
    }

    fn cost(&self) -> f64 {
        self.load() + if self.near { 0.0 } else { ZONE_MARGIN }
    }
}

/// The rule by which a replica is picked.
pub trait Router: Send {
    /// The index of the candidate to take; `None` only if there is none.
    fn pick(&self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize>;
}

/// Takes the better of two, one of them by prefix where there is one.
///
/// Reports lag: with the single least loaded replica, every entry would take the one that looked
/// idle a moment ago and bury it. Two random choices spread the same information; own requests are
/// counted at once and need no report.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Router for TwoChoices {
    fn pick(&self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
        if candidates.len() < 2 {
            return (!candidates.is_empty()).then_some(0);
        }
        let first = rng.random_range(0..candidates.len());
        let other = rng.random_range(0..candidates.len() - 1);
        let second = if other >= first { other + 1 } else { other };
        let better =
            |a: usize, b: usize| if candidates[b].cost() < candidates[a].cost() { b } else { a };
        let pick = better(first, second);
        let cached = (0..candidates.len())
            .filter(|index| candidates[*index].affinity != 0)
            .max_by_key(|index| candidates[*index].affinity);
        match cached {
            Some(cached)
                if candidates[cached].cost() <= candidates[pick].cost() + PREFIX_MARGIN =>
            {
                Some(cached)
            }
            _ => Some(pick),
        }
    }
}

/// The naive rule: any replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnyReplica;

impl Router for AnyReplica {
    fn pick(&self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}
