//! Arrival traces of both deployments, generated from a seed.
//!
//! Few models are busy by day. Most are requested rarely, some daily at about the same time. There is
//! almost no traffic at night, and each period of use starts with a burst of requests.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceRequest {
    /// Arrival time, in milliseconds.
    pub at: u64,
    /// Index of the model or adapter.
    pub model: usize,
}

/// Description of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Name of the organisation.
    pub org: &'static str,
    /// Cost of a second of cold start, relative to an idle accelerator second.
    pub cold_weight: u64,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of workers.
    pub workers: usize,
    /// Limits of the weight store: loads per second, and concurrent loads.
    pub loads: (u64, u64),
    /// Hours of the day in which there is traffic; the end is exclusive.
    pub hours: (u64, u64),
    /// Availability zones.
    pub zones: [&'static str; 3],
}

/// Vienna: residents soon give up waiting, so cold starts have a high cost.
pub const VIENNA: Deployment = Deployment {
    name: "vienna",
    org: "sperrgut",
    cold_weight: 300,
    models: 100,
    adapters: 120,
    workers: 18,
    loads: (7, 4),
    hours: (6, 22),
    zones: ["wien-a", "wien-b", "wien-c"],
};

/// The river yards: there is little traffic at night, so idle accelerators have a high cost.
pub const LITORAL: Deployment = Deployment {
    name: "litoral",
    org: "remolacheros",
    cold_weight: 60,
    models: 50,
    adapters: 40,
    workers: 9,
    loads: (3, 4),
    hours: (5, 20),
    zones: ["playa-norte", "playa-sur", "lab-remolacha"],
};

/// Memory of a worker, in MB.
pub const WORKER_MB: u64 = 80_000;
const DAY_MS: u64 = 24 * 3_600_000;
const HOUR_MS: u64 = 3_600_000;
/// One model in this many is busy by day.
const BUSY_ONE_IN: usize = 12;
/// One model in this many is requested daily at about the same time.
const DAILY_ONE_IN: usize = 3;

impl Deployment {
    /// Returns the memory of a model, in MB: from 6 to 30 GB.
    fn memory_mb(&self, model: usize) -> u64 {
        6_000 + (model as u64 * 7_919) % 24_000
    }

    /// Returns the operators' configuration at the current size.
    pub fn config(&self) -> String {
        let (second, once) = self.loads;
        let mut config = format!(
            "[pool]\nloads_second = {second}\nloads_once = {once}\n\
             [organisation {}]\nshare_mb = {}\ncold_weight = {}\nidle_weight = 1\n\
             [service assistants]\norganisation = {}\nclass = urgent\ndeadline_ms = 60000\n",
            self.org,
            self.workers as u64 * WORKER_MB,
            self.cold_weight,
            self.org
        );
        for model in 0..self.models {
            let memory_mb = self.memory_mb(model);
            let load_ms = memory_mb / 4;
            config.push_str(&format!(
                "[model {}]\nservice = assistants\nmemory_mb = {memory_mb}\nload_ms = {load_ms}\n\
                 replicas = 2\n",
                self.model_name(model)
            ));
        }
        for adapter in 0..self.adapters {
            config.push_str(&format!(
                "[adapter {}]\nbase = {}\nmemory_mb = 150\nload_ms = 300\n",
                self.model_name(self.models + adapter),
                self.model_name(adapter % self.models)
            ));
        }
        config
    }

    /// Returns the name of a model, or of an adapter for an index above the models.
    pub fn model_name(&self, model: usize) -> String {
        if model < self.models { format!("m{model}") } else { format!("a{}", model - self.models) }
    }

    /// Returns the base model of an adapter, or the model itself.
    pub fn base(&self, model: usize) -> usize {
        if model < self.models { model } else { (model - self.models) % self.models }
    }

    /// Returns the requests of `days` days, in order of arrival.
    pub fn trace(&self, days: u64, seed: u64) -> Vec<TraceRequest> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut trace = Vec::new();
        for model in 0..self.models + self.adapters {
            if model % BUSY_ONE_IN == 0 {
                self.busy(model, days, &mut rng, &mut trace);
            } else if model % DAILY_ONE_IN == 0 {
                self.daily(model, days, &mut rng, &mut trace);
            } else {
                self.rare(model, days, &mut rng, &mut trace);
            }
        }
        trace.sort_by_key(|request| (request.at, request.model));
        trace
    }

    /// Adds requests every few seconds by day.
    fn busy(&self, model: usize, days: u64, rng: &mut SmallRng, trace: &mut Vec<TraceRequest>) {
        let mean = rng.random_range(8_000..40_000);
        for day in 0..days {
            let end = day * DAY_MS + self.hours.1 * HOUR_MS;
            let mut at = day * DAY_MS + self.hours.0 * HOUR_MS;
            burst(model, at, rng, trace);
            while at < end {
                at += exponential(mean, rng);
                trace.push(TraceRequest { at, model });
            }
        }
    }

    /// Adds a series of requests each day at about the same time.
    fn daily(&self, model: usize, days: u64, rng: &mut SmallRng, trace: &mut Vec<TraceRequest>) {
        let hour = rng.random_range(self.hours.0..self.hours.1);
        for day in 0..days {
            let mut at = day * DAY_MS + hour * HOUR_MS + rng.random_range(0..900_000);
            burst(model, at, rng, trace);
            for _ in 0..rng.random_range(10..60) {
                at += exponential(30_000, rng);
                trace.push(TraceRequest { at, model });
            }
        }
    }

    /// Adds a few requests every few hours, by day.
    fn rare(&self, model: usize, days: u64, rng: &mut SmallRng, trace: &mut Vec<TraceRequest>) {
        let mean = rng.random_range(2..30) * HOUR_MS;
        let mut at = exponential(mean, rng);
        while at < days * DAY_MS {
            let hour = at % DAY_MS / HOUR_MS;
            if (self.hours.0..self.hours.1).contains(&hour) {
                burst(model, at, rng, trace);
                let mut request_at = at;
                for _ in 0..rng.random_range(0..6) {
                    request_at += exponential(15_000, rng);
                    trace.push(TraceRequest { at: request_at, model });
                }
            }
            at += exponential(mean, rng);
        }
    }
}

/// Adds several requests within a second.
fn burst(model: usize, at: u64, rng: &mut SmallRng, trace: &mut Vec<TraceRequest>) {
    for _ in 0..rng.random_range(1..6) {
        trace.push(TraceRequest { at: at + rng.random_range(0..1_000), model });
    }
}

fn exponential(mean: u64, rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    (-uniform.ln() * mean as f64) as u64 + 1
}
