//! `citronrill standin`: runs a stand-in for an external service, for tests on one machine.

use std::{net::SocketAddr, sync::mpsc::Receiver};

use argh::FromArgs;
use citronrill_standin::{
    EngineOptions, EngineStandin, PlainStandin, PlatformStandin, WeightLimits,
};

use super::{StopSignal, stop_signals};
use crate::exit::{CommandError, Exit};

/// Run a small stand-in for a service that citronrill depends on, for tests on one machine.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct Standin {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Platform(Platform),
    Engine(Engine),
    Plain(Plain),
}

/// Run a stand-in for the platform's table, object store, instance list and weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// number of concurrent loads that the weight store serves at full speed
    #[argh(option, default = "4")]
    loads_once: u64,

    /// number of loads per second that the weight store starts
    #[argh(option, default = "7")]
    loads_second: u64,
}

/// Run a stand-in for a model engine that echoes questions.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// accelerator memory in MB
    #[argh(option)]
    memory_mb: u64,

    /// duration of a load from the weight store in milliseconds
    #[argh(option, default = "1500")]
    load_ms: u64,

    /// time between two tokens in milliseconds
    #[argh(option, default = "20")]
    token_ms: u64,

    /// refuse orders with an outdated fencing token
    #[argh(switch)]
    fencing: bool,

    /// the address of the weight store
    #[argh(option)]
    weights: Option<SocketAddr>,
}

/// Run a stand-in for a plain service that records its calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct Plain {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

impl Standin {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let stop = stop_signals()?;
        match self.kind {
            Kind::Platform(command) => {
                let limits = WeightLimits {
                    concurrent_loads: command.loads_once,
                    loads_per_second: command.loads_second,
                };
                let platform = PlatformStandin::start(command.listen, limits)?;
                wait_for_stop("platform", platform.address(), &stop);
            }
            Kind::Engine(command) => {
                let options = EngineOptions {
                    memory_mb: command.memory_mb,
                    fencing: command.fencing,
                    load_ms: command.load_ms,
                    token_ms: command.token_ms,
                    weights: command.weights,
                };
                let engine = EngineStandin::start(command.listen, options)?;
                wait_for_stop("engine", engine.address(), &stop);
            }
            Kind::Plain(command) => {
                let plain = PlainStandin::start(command.listen, 0)?;
                wait_for_stop("plain", plain.address(), &stop);
            }
        }
        Ok(Exit::Success)
    }
}

fn wait_for_stop(kind: &str, address: SocketAddr, stop: &Receiver<StopSignal>) {
    println!("{kind} stand-in on {address}");
    let _ = stop.recv();
}
