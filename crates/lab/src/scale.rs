//! Control traffic, table operations and staleness at the planned size, on virtual time.
//!
//! The reducers are the production code and frames are encoded to count their bytes. Sockets and
//! threads are not included; they are measured separately on real processes.

use citronrill_decide::{Policies, rows::model_key};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::simulation::{Operations, Simulation, SimulationOptions};

/// Memory of a worker with eight accelerators, in MB.
const WORKER_MB: u64 = 640_000;
/// Interval at which staleness is polled, in milliseconds.
const POLL_MS: u64 = 20;
const SETTLE_MS: u64 = 12_000;
const TIMEOUT_MS: u64 = 30_000;
/// Time to load the busy models, in milliseconds: 82 loads of 1 s, 4 at a time, with a margin.
const WARM_UP_MS: u64 = 45_000;

/// Size of a deployment to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of endpoints, each with one side.
    pub sides: usize,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Requests per second, over all entries.
    pub requests: u64,
    /// Requests per hour for rarely used adapters, which need a cold start.
    pub cold_requests: u64,
}

/// The planned size.
pub const PLANNED_SIZE: Size = Size {
    entries: 340,
    sides: 610,
    models: 330,
    adapters: 8_400,
    zones: 7,
    requests: 4_300,
    cold_requests: 2_095,
};

/// Results for one size.
#[derive(Debug, Clone, Default)]
pub struct ScaleReport {
    /// Duration of the steady state, in virtual seconds.
    pub seconds: f64,
    /// Table operations in the steady state.
    pub steady: Operations,
    /// Control bytes sent and received by an entry per second: mean and maximum.
    pub entry_bytes: (f64, f64),
    /// Bytes received per second by an entry on average, by purpose.
    pub bytes_by_kind: Vec<(&'static str, f64)>,
    /// Control bytes sent by a side per second: mean.
    pub side_bytes: f64,
    /// Time spent in an entry's reducer, in microseconds per second.
    pub entry_us: f64,
    /// Time spent in a side's reducer, in microseconds per second.
    pub side_us: f64,
    /// Milliseconds until a configuration is active at every entry.
    pub config_ms: u64,
    /// Milliseconds until a placement is known at 99 of 100 entries.
    pub placement_ms: u64,
    /// Milliseconds until the drain of an endpoint is known at 99 of 100 entries.
    pub leaving_ms: u64,
    /// Transactions on the row of a cold model that is requested at all entries, and their conflicts.
    pub burst_commits: (u64, u64),
    /// Table operations in the ten seconds after a hundred cold models were requested at once.
    pub cold_burst: Operations,
    /// Table operations in the thirty seconds after a zone was lost.
    pub zone_loss: Operations,
    /// Table operations in the ten seconds after a zone's processes restarted at once.
    pub zone_restart: Operations,
    /// Number of rows in an entry's view.
    pub rows: usize,
}

fn config(size: &Size) -> String {
    let mut config = format!(
        "[pool]\nloads_second = 7\nloads_once = 4\n\
         [organisation pool]\nshare_mb = {}\ncold_weight = 300\n\
         [service all]\norganisation = pool\nclass = urgent\ndeadline_ms = 30000\n",
        size.sides as u64 * WORKER_MB
    );
    for model in 0..size.models {
        let section = format!(
            "[model m{model}]\nservice = all\nmemory_mb = 20000\nload_ms = 1000\nreplicas = 2\n"
        );
        config.push_str(&section);
    }
    for adapter in 0..size.adapters {
        let base = adapter % size.models;
        let section =
            format!("[adapter a{adapter}]\nbase = m{base}\nmemory_mb = 150\nload_ms = 300\n");
        config.push_str(&section);
    }
    config
}

struct ScaleRun {
    size: Size,
    sim: Simulation,
    rng: SmallRng,
}

/// Measures one size over `seconds` of steady state, then each event.
pub fn scale(size: &Size, seconds: u64) -> ScaleReport {
    let zones = (0..size.zones).map(|zone| format!("zone-{zone}")).collect();
    let sim = Simulation::new(SimulationOptions {
        seed: 11,
        config: config(size),
        entries: size.entries,
        endpoints: vec![(WORKER_MB, true); size.sides],
        zones,
        slots: 64,
        tick_ms: (50, 100),
        policies: Policies::default,
        keep_finished: false,
    });
    let mut scale = ScaleRun { size: *size, sim, rng: SmallRng::seed_from_u64(3) };
    scale.sim.advance(SETTLE_MS);
    let mut report = ScaleReport { seconds: seconds as f64, ..ScaleReport::default() };
    scale.measure_steady_state(seconds, &mut report);
    scale.measure_burst(&mut report);
    scale.measure_staleness(&mut report);
    scale.measure_events(&mut report);
    report
}

impl ScaleRun {
    /// Sends requests for busy models and, rarely, for adapters that need a cold start.
    fn run_traffic(&mut self, millis: u64) {
        let busy = (self.size.models / 4).max(1);
        let (mut requests, mut cold_requests) = (0.0, 0.0);
        for _ in 0..millis / 10 {
            requests += self.size.requests as f64 / 100.0;
            cold_requests += self.size.cold_requests as f64 / 360_000.0;
            while requests >= 1.0 {
                requests -= 1.0;
                let model = self.rng.random_range(0..busy);
                self.request(&format!("m{model}"));
            }
            while cold_requests >= 1.0 {
                cold_requests -= 1.0;
                let adapter = self.rng.random_range(0..self.size.adapters.max(1));
                self.request(&format!("a{adapter}"));
            }
            self.sim.advance(10);
            self.sim.take_finished();
        }
    }

    fn request(&mut self, model: &str) {
        let entry = self.rng.random_range(0..self.size.entries);
        self.sim.request(entry, model, None, None);
    }

    /// Runs with little traffic until the busy models are loaded.
    fn warm_up(&mut self) {
        let size = self.size;
        self.size.requests = (size.requests / 20).max(20);
        self.run_traffic(WARM_UP_MS);
        self.size = size;
        self.run_traffic(5_000);
    }

    fn measure_steady_state(&mut self, seconds: u64, report: &mut ScaleReport) {
        self.warm_up();
        let before = self.sim.operations;
        let meters = self.sim.meters();
        self.run_traffic(seconds * 1_000);
        let after = self.sim.meters();
        report.steady = self.sim.operations.since(before);
        let bytes = |index: usize| {
            (after.entry_bytes[index] - meters.entry_bytes[index]) as f64 / seconds as f64
        };
        let all = (0..self.size.entries).map(bytes).collect::<Vec<_>>();
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        report.entry_bytes = (mean, all.iter().copied().fold(0.0, f64::max));
        report.bytes_by_kind = after
            .by_kind
            .iter()
            .map(|(kind, bytes)| {
                let before = meters.by_kind.get(kind).copied().unwrap_or(0);
                (*kind, (bytes - before) as f64 / seconds as f64 / self.size.entries as f64)
            })
            .collect();
        let side_bytes = (after.side_bytes - meters.side_bytes) as f64;
        report.side_bytes = side_bytes / seconds as f64 / self.size.sides as f64;
        let per = |nanos: u64, count: usize| nanos as f64 / 1e3 / seconds as f64 / count as f64;
        report.entry_us = per(after.entry_nanos - meters.entry_nanos, self.size.entries);
        report.side_us = per(after.side_nanos - meters.side_nanos, self.size.sides);
        report.rows = self.sim.entry(0).view().len();
    }

    /// Requests one cold model at every entry, ten entries every 10 ms.
    fn measure_burst(&mut self, report: &mut ScaleReport) {
        let model = format!("m{}", self.size.models - 1);
        self.sim.watch_row(model_key(&model));
        for entry in 0..self.size.entries {
            self.sim.request(entry, &model, None, None);
            if entry % 10 == 9 {
                self.sim.advance(10);
            }
        }
        self.sim.advance(6_000);
        report.burst_commits = self.sim.watched_commits();
    }

    /// Returns the milliseconds until `sees` holds at a fraction of the entries.
    fn propagation_ms(&mut self, fraction: f64, sees: impl Fn(&Simulation, usize) -> bool) -> u64 {
        let started = self.sim.now();
        while self.sim.now() - started < TIMEOUT_MS {
            self.sim.advance(POLL_MS);
            let entries = self.sim.running_entries();
            let count = entries.iter().filter(|index| sees(&self.sim, **index)).count();
            if count as f64 >= entries.len() as f64 * fraction {
                break;
            }
        }
        self.sim.now() - started
    }

    fn measure_staleness(&mut self, report: &mut ScaleReport) {
        let changed = config(&self.size).replacen("load_ms = 1000", "load_ms = 1001", 1);
        self.sim.apply_config(&changed);
        let version = 2;
        report.config_ms =
            self.propagation_ms(1.0, |sim, index| sim.entry(index).config_version() == version);
        let model = format!("m{}", self.size.models - 2);
        self.sim.request(0, &model, None, None);
        let sees_placement = |sim: &Simulation, index: usize| {
            let view = sim.entry(index).view();
            let key = view.registry.models.get(&model);
            key.is_some_and(|key| view.replicas(key).next().is_some())
        };
        report.placement_ms = self.propagation_ms(0.99, sees_placement);
        let endpoint = self.size.sides - 1;
        self.sim.drain_endpoint(endpoint, true);
        let name = format!("worker-{endpoint}");
        let sees_leaving = |sim: &Simulation, index: usize| {
            let view = sim.entry(index).view();
            let key = view.registry.endpoints.get(&name);
            key.and_then(|key| view.endpoint(key)).is_none_or(|row| row.leaving)
        };
        report.leaving_ms = self.propagation_ms(0.99, sees_leaving);
    }

    fn measure_events(&mut self, report: &mut ScaleReport) {
        self.sim.advance(5_000);
        let before = self.sim.operations;
        let (from, to) = (self.size.models / 2, (self.size.models / 2 + 100).min(self.size.models));
        for model in from..to {
            for _ in 0..3 {
                self.request(&format!("m{model}"));
            }
        }
        self.sim.advance(10_000);
        report.cold_burst = self.sim.operations.since(before);
        self.sim.advance(20_000);
        let in_zone = |index: &usize| index % self.size.zones == 1;
        let before = self.sim.operations;
        for index in (0..self.size.entries).filter(in_zone) {
            self.sim.kill_entry(index);
        }
        for index in (0..self.size.sides).filter(in_zone) {
            self.sim.kill_endpoint(index);
        }
        self.sim.advance(30_000);
        report.zone_loss = self.sim.operations.since(before);
        let in_zone = |index: &usize| index % self.size.zones == 2;
        for index in (0..self.size.entries).filter(in_zone) {
            self.sim.kill_entry(index);
        }
        let before = self.sim.operations;
        for index in (0..self.size.entries).filter(in_zone) {
            self.sim.restart_entry(index);
        }
        self.sim.advance(10_000);
        report.zone_restart = self.sim.operations.since(before);
    }
}
