//! Selection of the loaded replica that serves a request.

use rand::{Rng, rngs::SmallRng};

use citronrill_base::EndpointKey;

/// Half-life of a reported load, in milliseconds.
const REPORT_HALF_LIFE_MS: u64 = 400;
/// A replica in another zone is preferred only if the load of the nearer one, as a fraction of its
/// slots, is higher by more than this.
const ZONE_MARGIN: f64 = 0.5;
/// The replica to which a prompt's prefix hashes, which probably has the prefix cached, is passed
/// over if its cost is higher than that of the alternative by more than this. The cost is the load
/// as a fraction of the slots, plus [`ZONE_MARGIN`] in another zone.
const PREFIX_MARGIN: f64 = 0.25;

/// A replica that can serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The replica's endpoint.
    pub endpoint: EndpointKey,
    /// Number of requests of this entry that are running on the endpoint.
    pub own_requests: u32,
    /// Number of requests of other entries in the side's last report.
    pub reported_requests: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is in the entry's zone.
    pub same_zone: bool,
    /// Stable hash of prompt prefix and endpoint; 0 without a prefix.
    pub affinity: u64,
}

impl Candidate {
    /// Returns the expected load as a fraction of the slots.
    fn load(&self) -> f64 {
        let decay = 0.5_f64.powf(self.age_ms as f64 / REPORT_HALF_LIFE_MS as f64);
        let others = f64::from(self.reported_requests) * decay;
        (f64::from(self.own_requests) + others) / f64::from(self.slots.max(1))
    }

    fn cost(&self) -> f64 {
        self.load() + if self.same_zone { 0.0 } else { ZONE_MARGIN }
    }
}

/// Policy that selects a replica.
pub trait Router: Send {
    /// Returns the index of the selected candidate; `None` only if there are no candidates.
    fn pick(&self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize>;
}

/// Selects the better of two random candidates, unless the replica to which the prompt's prefix
/// hashes costs little more: it probably has the prefix cached.
///
/// Reports lag: if every entry selected the least loaded replica, all of them would overload the
/// one that was recently idle. Two random choices spread the load; an entry's own requests are
/// counted immediately, without a report.
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
        let by_prefix = (0..candidates.len())
            .filter(|index| candidates[*index].affinity != 0)
            .max_by_key(|index| candidates[*index].affinity);
        match by_prefix {
            Some(index) if candidates[index].cost() <= candidates[pick].cost() + PREFIX_MARGIN => {
                Some(index)
            }
            _ => Some(pick),
        }
    }
}

/// Baseline policy: selects a replica at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomReplica;

impl Router for RandomReplica {
    fn pick(&self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}
