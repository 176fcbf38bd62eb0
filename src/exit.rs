//! Exit codes and the errors behind them.

use std::{io, process::ExitCode};

use citronrill_config::ConfigErrors;
use citronrill_gateway::GatewayError;
use citronrill_platform::PlatformError;
use citronrill_runtime::{ApplyError, StartError};
use citronrill_standin::StandinError;
use citronrill_wire::WireError;
use thiserror::Error;

/// What a command's exit code says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It was done.
    Done,
    /// A service or process did not answer.
    Failed,
    /// The command line, a text or a settings file is wrong.
    Usage,
    /// Another offer was faster.
    Lost,
    /// The request was refused.
    Refused,
    /// Some process lags behind the version in force.
    Lagging,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Lost => 3,
            Exit::Refused => 4,
            Exit::Lagging => 5,
        })
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A text or a settings file is wrong.
    #[error("{0}")]
    Config(#[from] ConfigErrors),
    /// A file could not be read.
    #[error("cannot read {file}: {source}")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// An offer was not accepted.
    #[error("{0}")]
    Apply(#[from] ApplyError),
    /// The platform did not answer.
    #[error("the platform: {0}")]
    Platform(#[from] PlatformError),
    /// A process could not be started.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A process of the pool could not run.
    #[error("{0}")]
    Gateway(#[from] GatewayError),
    /// A stand-in could not be started.
    #[error("stand-in: {0}")]
    Standin(#[from] StandinError),
    /// A process did not answer.
    #[error("{address}: {source}")]
    Peer {
        /// Its address.
        address: String,
        /// What went wrong.
        source: WireError,
    },
    /// An entry did not answer.
    #[error("the entry: {0}")]
    Http(#[from] attohttpc::Error),
    /// Signals cannot be watched.
    #[error("cannot watch signals: {0}")]
    Signals(io::Error),
    /// Something that `dev` waited for did not happen.
    #[error("{0} did not happen in time")]
    Patience(&'static str),
    /// A picture could not be drawn.
    #[error("{0}")]
    Report(#[from] citronrill_insight::ReportError),
    /// An experiment failed.
    #[error("{0}")]
    Lab(#[from] citronrill_lab::LabError),
    /// A text that `dev` cannot serve.
    #[error("the text has no {0}")]
    Nothing(&'static str),
}

impl CommandError {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CommandError::Config(_)
            | CommandError::File { .. }
            | CommandError::Nothing(_)
            | CommandError::Apply(ApplyError::Text(_) | ApplyError::NoBase { .. }) => Exit::Usage,
            CommandError::Apply(ApplyError::Lost { .. }) => Exit::Lost,
            _ => Exit::Failed,
        }
    }
}
