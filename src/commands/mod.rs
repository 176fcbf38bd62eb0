//! One file per subcommand.

mod apply;
mod ask;
mod check;
mod dev;
mod dump;
mod entry;
mod explain;
mod fuzz;
mod pool;
mod replay;
mod report;
mod show;
mod side;
mod slopes;
mod standin;
mod status;

use std::sync::{
    Arc,
    mpsc::{Receiver, channel},
};

use argh::FromArgs;
use citronrill_gateway::LogStats;
use signal_hook::{
    consts::{SIGINT, SIGTERM, SIGUSR1},
    iterator::Signals,
};

use crate::exit::{CommandError, Exit};

/// The subcommand to run.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Entry(entry::Entry),
    PoolEntry(pool::PoolEntry),
    PoolSide(pool::PoolSide),
    Side(side::Side),
    Check(check::Check),
    Apply(apply::Apply),
    Show(show::Show),
    Status(status::Status),
    Dump(dump::Dump),
    Ask(ask::Ask),
    Dev(dev::Dev),
    Standin(standin::Standin),
    Explain(explain::Explain),
    Report(report::Report),
    Fuzz(fuzz::Fuzz),
    Replay(replay::Replay),
    Slopes(slopes::Slopes),
}

impl Command {
    pub(crate) fn run(self, logs: Arc<LogStats>) -> Result<Exit, CommandError> {
        match self {
            Command::PoolEntry(command) => command.run(logs),
            Command::PoolSide(command) => command.run(logs),
            Command::Entry(command) => command.run(),
            Command::Side(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::Apply(command) => command.run(),
            Command::Show(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Dump(command) => command.run(),
            Command::Ask(command) => command.run(),
            Command::Dev(command) => command.run(),
            Command::Standin(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Report(command) => command.run(),
            Command::Fuzz(command) => command.run(),
            Command::Replay(command) => command.run(),
            Command::Slopes(command) => command.run(),
        }
    }

    /// Returns whether log lines go to standard output, from which the platform collects them.
    pub(crate) fn logs_to_stdout(&self) -> bool {
        matches!(self, Command::PoolEntry(_) | Command::PoolSide(_))
    }

    /// Returns the default log level: processes log events, other commands only warnings.
    pub(crate) fn default_log(&self) -> &'static str {
        match self {
            Command::Entry(_) | Command::Side(_) | Command::PoolEntry(_) | Command::PoolSide(_) => {
                "info"
            }
            _ => "warn",
        }
    }
}

/// A signal that requests a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopSignal {
    /// The instance shuts down: its models are unloaded and its rows removed.
    Shutdown,
    /// Only the process is replaced: the loaded models are handed over to its successor.
    HandOver,
}

/// Watches for SIGTERM and SIGINT (shutdown) and SIGUSR1 (handover).
pub(crate) fn stop_signals() -> Result<Receiver<StopSignal>, CommandError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(CommandError::Signals)?;
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let stop = if signal == SIGUSR1 { StopSignal::HandOver } else { StopSignal::Shutdown };
            if sender.send(stop).is_err() {
                break;
            }
        }
    });
    Ok(receiver)
}
