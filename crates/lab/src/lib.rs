//! Fuzzing, replay and scale measurements of the reducers on virtual time.
//!
//! The reducers run without processes and sockets, against an in-memory table, simulated engines and
//! injected faults; an oracle checks the invariants. This is not a cluster simulator: it has no
//! network, no queues of its own and no model of an engine's speed except load times.

mod engine;
mod faults;
mod fuzz;
mod oracle;
mod replay;
mod scale;
mod simulation;
mod traces;

use thiserror::Error;

pub use crate::{
    faults::Faults,
    fuzz::{Action, FuzzReport, fuzz, fuzz_config, fuzz_simulation, random_actions},
    oracle::{GRACE_MS, check_invariants},
    replay::{
        DEFAULT, FIXED_LONG, FIXED_MIDDLE, FIXED_SHORT, NAIVE, PolicySet, ReplayReport, replay,
    },
    scale::{PLANNED_SIZE, ScaleReport, Size, scale},
    simulation::{
        Meters, Operations, RequestOutcome, RequestRecord, Simulation, SimulationOptions,
        test_api_key,
    },
    traces::{Deployment, LITORAL, TraceRequest, VIENNA, WORKER_MB},
};

/// Error of an experiment.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file could not be written.
    #[error("cannot write {file}: {source}")]
    File {
        /// The file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot draw {file}: {reason}")]
    Plot {
        /// The file.
        file: String,
        /// Error of the plotting library.
        reason: String,
    },
}
