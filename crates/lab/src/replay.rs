//! Replays of arrival traces over the reducers, compared with naive policies and two lower bounds.

use std::collections::BTreeMap;

use citronrill_decide::{
    FixedKeepAlive, MostFreePlacement, Policies, RandomReplica, load_ms, rows::Tier,
};
use hdrhistogram::Histogram;

use crate::{
    simulation::{Operations, RequestOutcome, RequestRecord, Simulation, SimulationOptions},
    traces::{Deployment, TraceRequest, WORKER_MB},
};

const ENTRIES: usize = 3;
/// Largest latency that the histograms distinguish, in milliseconds.
const MAX_LATENCY_MS: u64 = 3_600_000;
const SLOTS: u64 = 8;
/// Tick intervals of an entry and of a side, in milliseconds. They are longer than in a process, to
/// make the replay fast.
const TICKS: (u64, u64) = (200, 500);
const DAY_MS: u64 = 24 * 3_600_000;
const SETTLE_MS: u64 = 5_000;
/// Keep-alive time of the naive policies, in milliseconds.
const NAIVE_KEEP_MS: u64 = 600_000;
/// Interval at which finished requests are collected.
const COLLECT_MS: u64 = 60_000;

/// A set of policies to replay with.
#[derive(Clone, Copy)]
pub struct PolicySet {
    /// Name in the printed table.
    pub name: &'static str,
    /// Creates the policies.
    pub policies: fn() -> Policies,
}

/// The default policies.
pub const DEFAULT: PolicySet = PolicySet { name: "ours", policies: Policies::default };

/// Naive policies: load where most memory is free, keep for ten minutes, route to a random replica,
/// and let every entry decide without a coordinator.
pub const NAIVE: PolicySet = PolicySet { name: "naive", policies: naive };

/// The default policies with a fixed keep-alive time of a minute.
pub const FIXED_SHORT: PolicySet =
    PolicySet { name: "ours, keep 1 min", policies: || fixed(60_000) };
/// As [`FIXED_SHORT`], with 15 minutes.
pub const FIXED_MIDDLE: PolicySet =
    PolicySet { name: "ours, keep 15 min", policies: || fixed(900_000) };
/// As [`FIXED_SHORT`], with 3 hours.
pub const FIXED_LONG: PolicySet =
    PolicySet { name: "ours, keep 3 h", policies: || fixed(10_800_000) };

fn naive() -> Policies {
    Policies {
        placement: Box::new(MostFreePlacement),
        router: Box::new(RandomReplica),
        keep_alive: Box::new(FixedKeepAlive(NAIVE_KEEP_MS)),
        coordinators: false,
    }
}

fn fixed(millis: u64) -> Policies {
    Policies { keep_alive: Box::new(FixedKeepAlive(millis)), ..Policies::default() }
}

/// Result of a replay, over the days after the warm-up.
#[derive(Debug, Clone, Default)]
pub struct ReplayReport {
    /// Number of requests.
    pub requests: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of cold starts: loads of a model for which a request waited.
    pub cold_starts: u64,
    /// Time to first byte of cold requests, in milliseconds: p50, p99, p99.9.
    pub cold_ms: [u64; 3],
    /// Lower bound for the same requests, in milliseconds: load time from the fastest cache, with an
    /// idle weight store.
    pub lower_bound_ms: [u64; 3],
    /// Hours in which a ready model had no running call.
    pub idle_hours: f64,
    /// Idle hours of a keep-alive policy that knows each next arrival, for the same number of cold
    /// starts.
    pub clairvoyant_hours: f64,
    /// Loads begun by engines.
    pub loads: u64,
    /// Table operations.
    pub operations: Operations,
    /// Duration, in virtual seconds.
    pub seconds: f64,
}

/// Replays `days` days and reports on those after the first `warm_up`.
pub fn replay(
    deployment: &Deployment,
    policy_set: &PolicySet,
    days: u64,
    warm_up: u64,
) -> ReplayReport {
    let trace = deployment.trace(days, 42);
    let mut sim = Simulation::new(SimulationOptions {
        seed: 7,
        config: deployment.config(),
        entries: ENTRIES,
        endpoints: vec![(WORKER_MB, true); deployment.workers],
        zones: deployment.zones.iter().map(|zone| (*zone).to_owned()).collect(),
        slots: SLOTS,
        tick_ms: TICKS,
        policies: policy_set.policies,
        keep_finished: false,
    });
    seed_caches(&mut sim, deployment);
    sim.advance(SETTLE_MS);
    let measure_from = warm_up * DAY_MS;
    let mut replay = Replay::new(deployment, measure_from);
    for (number, request) in trace.iter().enumerate() {
        let at = SETTLE_MS + request.at;
        replay.run_until(&mut sim, at);
        let bound = sim.min_load_ms(&deployment.model_name(request.model));
        let id = sim.request(number % ENTRIES, &deployment.model_name(request.model), None, None);
        if let Some(id) = id {
            replay.bounds.insert(id.0, bound);
        }
    }
    replay.run_until(&mut sim, SETTLE_MS + days * DAY_MS);
    replay.report(&sim, &trace)
}

/// Fills the disk caches unevenly: one model in five is not cached, each of the others is cached on
/// one worker in four.
fn seed_caches(sim: &mut Simulation, deployment: &Deployment) {
    for model in 0..deployment.models + deployment.adapters {
        for worker in 0..deployment.workers {
            if (model * 31 + worker * 17) % 4 == 0 && model % 5 != 0 {
                sim.cache_on_disk(worker, &deployment.model_name(model));
            }
        }
    }
}

struct Replay<'a> {
    deployment: &'a Deployment,
    measure_from: u64,
    bounds: BTreeMap<u64, u64>,
    cold: Histogram<u64>,
    bound: Histogram<u64>,
    report: ReplayReport,
    last_cold: BTreeMap<String, u64>,
    baseline: Option<(f64, u64, Operations)>,
}

impl<'a> Replay<'a> {
    fn new(deployment: &'a Deployment, measure_from: u64) -> Replay<'a> {
        // The bounds are required: without them, a value above the initial range is recorded as the
        // end of that range.
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3)
                .unwrap_or_else(|_| unreachable!("constant bounds"))
        };
        Replay {
            deployment,
            measure_from,
            bounds: BTreeMap::new(),
            cold: histogram(),
            bound: histogram(),
            report: ReplayReport::default(),
            last_cold: BTreeMap::new(),
            baseline: None,
        }
    }

    fn run_until(&mut self, sim: &mut Simulation, at: u64) {
        while sim.now() < at {
            if self.baseline.is_none() && sim.now() >= self.measure_from {
                self.baseline = Some((sim.idle_hours(), sim.loads(), sim.operations));
            }
            let step = (at - sim.now()).min(COLLECT_MS);
            sim.advance(step);
            for (number, request) in sim.take_finished() {
                let bound = self.bounds.remove(&number);
                self.record(&request, bound.unwrap_or(0));
            }
        }
    }

    fn record(&mut self, request: &RequestRecord, bound: u64) {
        if request.arrived < self.measure_from + SETTLE_MS {
            return;
        }
        self.report.requests += 1;
        if !matches!(request.ended, Some((_, RequestOutcome::Completed | RequestOutcome::Replayed)))
        {
            self.report.refused += 1;
            return;
        }
        let Some(first_byte) = request.first_byte_at.filter(|_| !request.warm) else { return };
        self.cold.saturating_record(first_byte - request.arrived);
        self.bound.saturating_record(bound);
        // Several requests that wait for the same load are one cold start.
        let last = self.last_cold.entry(request.model.clone()).or_insert(0);
        if request.arrived > *last {
            self.report.cold_starts += 1;
        }
        *last = (*last).max(first_byte);
    }

    fn report(mut self, sim: &Simulation, trace: &[TraceRequest]) -> ReplayReport {
        let (idle, loads, operations) = self.baseline.unwrap_or_default();
        let quantiles =
            |histogram: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q));
        self.report.cold_ms = quantiles(&self.cold);
        self.report.lower_bound_ms = quantiles(&self.bound);
        self.report.idle_hours = sim.idle_hours() - idle;
        self.report.loads = sim.loads() - loads;
        self.report.operations = sim.operations.since(operations);
        self.report.seconds = (sim.now() - self.measure_from) as f64 / 1000.0;
        self.report.clairvoyant_hours = self.clairvoyant(trace);
        self.report
    }

    /// Returns the minimum idle hours for the observed number of cold starts.
    ///
    /// If the next arrival is known, a model is either kept for the whole gap or unloaded at once.
    /// For a given number of cold starts, keeping models loaded through the shortest gaps costs
    /// least.
    fn clairvoyant(&self, trace: &[TraceRequest]) -> f64 {
        let mut last_arrivals: BTreeMap<usize, u64> = BTreeMap::new();
        let mut gaps = Vec::new();
        for request in trace {
            let base = self.deployment.base(request.model);
            let previous = last_arrivals.insert(base, request.at);
            if request.at >= self.measure_from
                && let Some(previous) = previous
            {
                gaps.push(request.at - previous);
            }
        }
        gaps.sort_unstable();
        let kept = gaps.len().saturating_sub(self.cold_starts());
        gaps.iter().take(kept).sum::<u64>() as f64 / 3_600_000.0
    }

    /// Returns the number of cold starts, including those that loaded only an adapter because its
    /// base was ready.
    fn cold_starts(&self) -> usize {
        self.report.cold_starts as usize
    }
}

impl Simulation {
    /// Returns the load time of a model from the fastest cache, and of its base if it is not loaded.
    pub(crate) fn min_load_ms(&self, model: &str) -> u64 {
        let Some(key) = self.registry.models.get(model) else { return 0 };
        let Some(spec) = self.catalogue.models.get(&key) else { return 0 };
        let best = |name: &str| self.engines.iter().map(|engine| engine.tier(name)).max();
        let own = load_ms(spec, best(model).unwrap_or(Tier::Remote));
        let base = spec.base.and_then(|base| self.catalogue.models.get(&base));
        let loaded = |name: &str| {
            self.engines.iter().any(|engine| engine.models().any(|(held, _)| held == name))
        };
        let base = base.filter(|base| !loaded(&base.name));
        own + base.map_or(0, |base| load_ms(base, best(&base.name).unwrap_or(Tier::Remote)))
    }
}
