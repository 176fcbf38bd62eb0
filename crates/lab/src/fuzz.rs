//! Stateful fuzzing: random actions and faults on a small simulation, checked after each action.

use citronrill_decide::Policies;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    faults::Faults,
    oracle::check_invariants,
    simulation::{Simulation, SimulationOptions},
};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 4;
const MODELS: [&str; 8] = ["a0", "a1", "a2", "once", "b0", "b1", "a0-x", "b0-x"];
/// Number of idempotency keys; small, so that keys are often reused.
const IDEMPOTENCY_KEYS: u64 = 5;
/// Time in which the simulation must recover after the last action, in milliseconds.
const RECOVERY_MS: u64 = 420_000;

/// Time in which a drain must finish, in milliseconds.
const DRAIN_MS: u64 = 40_000;

/// An action on the simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Advances virtual time, in milliseconds.
    Advance(u64),
    /// Sends a request to an entry.
    Request {
        /// The entry.
        entry: usize,
        /// The model.
        model: usize,
        /// The request's own deadline, if any, in milliseconds.
        deadline_ms: Option<u64>,
        /// The request's idempotency key, if any.
        idempotency_key: Option<u64>,
    },
    /// Sends several requests for one model to every entry at the same time.
    Burst(usize),
    /// Makes the table unavailable for a time, in milliseconds.
    TableOutage(u64),
    /// Sets the faults of commits, messages, orders and loads.
    Faults {
        /// Lost confirmations of commits, in percent.
        lost_confirmations: u8,
        /// Lost messages, in percent.
        dropped_messages: u8,
        /// Messages delivered twice, in percent.
        duplicated_messages: u8,
        /// Delayed messages and orders, in percent.
        delayed_messages: u8,
        /// Failed loads, in percent.
        failed_loads: u8,
    },
    /// Clears all faults except a table outage.
    ClearFaults,
    /// Kills an entry.
    KillEntry(usize),
    /// Restarts a killed entry.
    RestartEntry(usize),
    /// Kills the sides of an endpoint; the engine keeps running.
    KillSide(usize),
    /// Starts a side, even if its predecessor is still running.
    StartSide(usize),
    /// Pauses the sides of an endpoint for a time, in milliseconds.
    PauseSide(usize, u64),
    /// Pauses the sides of an endpoint and starts a successor.
    ReplacePaused(usize, u64),
    /// Pauses an entry for a time, in milliseconds.
    PauseEntry(usize, u64),
    /// Restarts an engine with no models loaded.
    RestartEngine(usize),
    /// Removes an endpoint's instance.
    KillEndpoint(usize),
    /// Drains the sides of an endpoint. With `true`, the endpoint is removed too.
    DrainSide(usize, bool),
    /// Drains an entry.
    DrainEntry(usize),
    /// Applies a new configuration.
    ApplyConfig,
}

impl Action {
    /// Returns a random action.
    pub fn random(rng: &mut SmallRng) -> Action {
        let entry = rng.random_range(0..ENTRIES);
        let side = rng.random_range(0..ENDPOINTS);
        let model = rng.random_range(0..MODELS.len());
        match rng.random_range(0..100) {
            0..30 => Action::Request {
                entry,
                model,
                deadline_ms: rng.random_bool(0.4).then(|| rng.random_range(1..8_000)),
                idempotency_key: rng
                    .random_bool(0.4)
                    .then(|| rng.random_range(0..IDEMPOTENCY_KEYS)),
            },
            30..36 => Action::Burst(model),
            36..66 => Action::Advance(rng.random_range(1..4_000)),
            66..69 => Action::Advance(rng.random_range(4_000..60_000)),
            69..72 => Action::TableOutage(rng.random_range(10..30_000)),
            72..76 => Action::Faults {
                lost_confirmations: rng.random_range(0..40),
                dropped_messages: rng.random_range(0..25),
                duplicated_messages: rng.random_range(0..30),
                delayed_messages: rng.random_range(0..30),
                failed_loads: rng.random_range(0..40),
            },
            76..78 => Action::ClearFaults,
            78..80 => Action::KillEntry(entry),
            80..83 => Action::RestartEntry(entry),
            83..86 => Action::KillSide(side),
            86..90 => Action::StartSide(side),
            90..92 => Action::PauseSide(side, rng.random_range(100..12_000)),
            92..95 => Action::ReplacePaused(side, rng.random_range(100..12_000)),
            95 => Action::PauseEntry(entry, rng.random_range(100..12_000)),
            96 => Action::RestartEngine(side),
            97 => Action::KillEndpoint(side),
            98 => match rng.random_range(0..3) {
                0 => Action::DrainSide(side, true),
                1 => Action::DrainSide(side, false),
                _ => Action::DrainEntry(entry),
            },
            _ => Action::ApplyConfig,
        }
    }

    /// Executes the action.
    pub fn execute(&self, sim: &mut Simulation) {
        match *self {
            Action::Advance(millis) => sim.advance(millis),
            Action::Request { entry, model, deadline_ms, idempotency_key } => {
                sim.request(entry, MODELS[model], deadline_ms, idempotency_key);
            }
            Action::Burst(model) => {
                for entry in 0..ENTRIES {
                    for _ in 0..3 {
                        sim.request(entry, MODELS[model], None, None);
                    }
                }
            }
            Action::TableOutage(millis) => sim.table_outage(millis),
            Action::Faults {
                lost_confirmations,
                dropped_messages,
                duplicated_messages,
                delayed_messages,
                failed_loads,
            } => {
                let fraction = |percent: u8| f64::from(percent) / 100.0;
                sim.faults = Faults {
                    table_down: sim.faults.table_down,
                    lost_confirmations: fraction(lost_confirmations),
                    late_commits: fraction(lost_confirmations),
                    dropped_messages: fraction(dropped_messages),
                    duplicated_messages: fraction(duplicated_messages),
                    delayed_messages: fraction(delayed_messages),
                    max_delay_ms: 1_500,
                    failed_loads: fraction(failed_loads),
                    ..Faults::default()
                };
            }
            Action::ClearFaults => {
                let table_down = sim.faults.table_down;
                sim.faults = Faults { table_down, ..Faults::default() };
            }
            Action::KillEntry(entry) => sim.kill_entry(entry),
            Action::RestartEntry(entry) => sim.restart_entry(entry),
            Action::KillSide(endpoint) => sim.kill_sides(endpoint),
            Action::StartSide(endpoint) => start_side(sim, endpoint),
            Action::PauseSide(endpoint, millis) => sim.pause_sides(endpoint, millis),
            Action::ReplacePaused(endpoint, millis) => {
                sim.pause_sides(endpoint, millis);
                start_side(sim, endpoint);
            }
            Action::PauseEntry(entry, millis) => sim.pause_entry(entry, millis),
            Action::RestartEngine(endpoint) => sim.restart_engine(endpoint),
            Action::KillEndpoint(endpoint) => sim.kill_endpoint(endpoint),
            Action::DrainSide(endpoint, give_back) => sim.drain_endpoint(endpoint, give_back),
            Action::DrainEntry(entry) => sim.drain_entry(entry),
            Action::ApplyConfig => {
                let timestamp = sim.now();
                sim.apply_config(&format!(
                    "{}; {timestamp}\n[endpoint e{timestamp}]\n",
                    fuzz_config()
                ));
            }
        }
    }
}

fn start_side(sim: &mut Simulation, endpoint: usize) {
    if sim.running_endpoints().contains(&endpoint) {
        sim.start_side(endpoint);
    }
}

/// Returns a configuration with two organisations, small shares, adapters and a service whose
/// requests must not be retried.
pub fn fuzz_config() -> String {
    "[pool]\nloads_second = 4\nloads_once = 2\n\
     [organisation north]\nshare_mb = 260\ncold_weight = 20\n\
     [organisation south]\nshare_mb = 150\n\
     [service chat]\norganisation = north\nclass = urgent\ndeadline_ms = 15000\n\
     [service drafts]\norganisation = north\nrepeatable = no\ndeadline_ms = 12000\n\
     [service intake]\norganisation = south\nclass = batch\ndeadline_ms = 20000\n\
     [model a0]\nservice = chat\nmemory_mb = 60\npeak_mb = 70\nload_ms = 900\nreplicas = 2\n\
     [model a1]\nservice = chat\nmemory_mb = 50\nload_ms = 700\n\
     [model a2]\nservice = chat\nmemory_mb = 90\nload_ms = 2000\nreplicas = 2\n\
     [model once]\nservice = drafts\nmemory_mb = 40\nload_ms = 600\n\
     [model b0]\nservice = intake\nmemory_mb = 70\npeak_mb = 80\nload_ms = 1000\n\
     [model b1]\nservice = intake\nmemory_mb = 60\nload_ms = 1500\nreplicas = 2\n\
     [adapter a0-x]\nbase = a0\nmemory_mb = 10\nload_ms = 100\n\
     [adapter b0-x]\nbase = b0\nmemory_mb = 10\nload_ms = 100\n"
        .to_owned()
}

/// Returns a new simulation for fuzzing.
pub fn fuzz_simulation(seed: u64) -> Simulation {
    Simulation::new(SimulationOptions {
        seed,
        config: fuzz_config(),
        entries: ENTRIES,
        endpoints: vec![(100, true), (120, false), (160, false), (100, false)],
        zones: vec!["za".to_owned(), "zb".to_owned()],
        slots: 4,
        tick_ms: (50, 100),
        policies: Policies::default,
        keep_finished: true,
    })
}

/// Result of a fuzzing run.
#[derive(Debug, Default)]
pub struct FuzzReport {
    /// Number of events processed by reducers.
    pub steps: u64,
    /// Number of requests sent.
    pub requests: u64,
    /// Number of requests answered completely, or with the stored answer of an idempotency key.
    pub answered: u64,
    /// Violations, with the index of the action after which they were detected.
    pub violation: Option<(usize, Vec<String>)>,
}

/// Executes `actions` on a new simulation, checks the invariants after each, and then checks that
/// the simulation recovers.
pub fn fuzz(seed: u64, actions: &[Action]) -> FuzzReport {
    let mut sim = fuzz_simulation(seed);
    sim.advance(2_000);
    let mut report = FuzzReport::default();
    for (index, action) in actions.iter().enumerate() {
        action.execute(&mut sim);
        let violations = check_invariants(&sim);
        if !violations.is_empty() {
            report.violation = Some((index, violations));
            break;
        }
    }
    if report.violation.is_none() {
        let violations = check_recovery(&mut sim);
        report.violation = (!violations.is_empty()).then_some((actions.len(), violations));
    }
    report.steps = sim.steps;
    report.requests = sim.requests.len() as u64;
    let completed = sim.requests.values().filter(|request| {
        matches!(
            request.ended,
            Some((_, crate::RequestOutcome::Completed | crate::RequestOutcome::Replayed))
        )
    });
    report.answered = completed.count() as u64;
    report
}

/// Clears all faults, restarts killed processes, and checks that the simulation recovers.
fn check_recovery(sim: &mut Simulation) -> Vec<String> {
    sim.faults = Faults::default();
    // Drains in progress must finish first.
    sim.advance(DRAIN_MS);
    for entry in 0..ENTRIES {
        sim.restart_entry(entry);
    }
    for endpoint in sim.running_endpoints() {
        if !sim.has_side(endpoint) {
            sim.start_side(endpoint);
        }
    }
    sim.advance(RECOVERY_MS);
    let mut violations = check_invariants(sim);
    let open = sim.requests.values().filter(|request| {
        let (entry, incarnation) = request.entry;
        request.ended.is_none() && sim.entry_has_incarnation(entry, incarnation)
    });
    let open = open.count();
    if open > 0 {
        violations
            .push(format!("{open} requests have no answer {RECOVERY_MS} ms after the last fault"));
    }
    violations.extend(check_all_served(sim));
    violations
}

/// Checks that each model is served after recovery.
///
/// Does nothing if an endpoint was removed.
fn check_all_served(sim: &mut Simulation) -> Vec<String> {
    if sim.running_endpoints().len() < ENDPOINTS {
        return Vec::new();
    }
    let mut violations = Vec::new();
    for model in MODELS {
        let id = sim.request(0, model, None, None);
        sim.advance(25_000);
        let ended = id.and_then(|id| sim.requests.get(&id)).and_then(|request| request.ended);
        if !matches!(ended, Some((_, crate::RequestOutcome::Completed))) {
            violations.push(format!("after recovery, a request for {model} ended with {ended:?}"));
        }
    }
    violations.extend(check_invariants(sim));
    violations
}

/// Returns `count` random actions derived from `seed`.
pub fn random_actions(seed: u64, count: usize) -> Vec<Action> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| Action::random(&mut rng)).collect()
}
