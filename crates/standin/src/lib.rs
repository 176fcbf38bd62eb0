//! Stand-ins for the platform, model engines and plain services.
//!
//! They implement the server side of the protocols of `citronrill-platform` over loopback, so that
//! `citronrill dev` and the tests cover the whole path. Faults can be injected while they run.

mod engine;
mod faults;
mod plain;
mod platform;
mod server;
mod weights;

pub use crate::{
    engine::{EngineOptions, EngineStandin},
    faults::Faults,
    plain::{PlainStandin, RecordedCall},
    platform::PlatformStandin,
    server::StandinError,
    weights::{WeightLimits, WeightStore},
};
