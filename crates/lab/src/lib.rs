//! Experiments and proofs over the reducers, on virtual time.
//!
//! This crate exists so that the decisions can be judged without processes and sockets: a handful of
//! reducers, a table in memory, toy engines, faults, and an oracle that knows what must always hold.
//! It is no cluster simulator: it has no network, no queues of its own and no model of an engine's
//! speed beyond load times.

mod engine;
mod faults;
mod fuzz;
mod oracle;
mod replay;
mod scale;
mod traces;
mod world;

use thiserror::Error;

pub use crate::{
    faults::Faults,
    fuzz::{Action, FuzzReport, fuzz, fuzz_text, fuzz_world, random_actions},
    oracle::{GRACE_MS, check},
    replay::{FIXED_LONG, FIXED_MIDDLE, FIXED_SHORT, NAIVE, OURS, ReplayReport, Rules, replay},
    scale::{PLAN, ScaleReport, Size, scale},
    traces::{Deployment, LITORAL, TraceRequest, VIENNA, WORKER_MB},
    world::{Caller, Ending, Meters, Operations, World, WorldOptions, world_key},
};

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file could not be written.
    #[error("cannot write {file}: {source}")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot draw {file}: {reason}")]
    Plot {
        /// The file.
        file: String,
        /// What the library said.
        reason: String,
    },
}
