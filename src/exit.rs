//! Exit codes and the errors behind them.

use std::{io, process::ExitCode};

use citronrill_config::ConfigErrors;
use citronrill_gateway::GatewayError;
use citronrill_http::client::ClientError;
use citronrill_platform::PlatformError;
use citronrill_runtime::{ApplyError, StartError};
use citronrill_standin::StandinError;
use citronrill_wire::WireError;
use thiserror::Error;

/// The outcome of a command, reported as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success,
    /// Any other failure, such as a service or process that did not answer.
    Failure,
    /// The command line, a configuration or a settings file is invalid.
    Usage,
    /// Another configuration was accepted first.
    Conflict,
    /// The request was refused.
    Refused,
    /// A process lags behind the version in force.
    Lagging,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Refused => 4,
            Exit::Lagging => 5,
        })
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A configuration or a settings file is invalid.
    #[error("{0}")]
    Config(#[from] ConfigErrors),
    /// A file could not be read.
    #[error("cannot read {file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A configuration was not accepted.
    #[error("{0}")]
    Apply(#[from] ApplyError),
    /// The platform did not answer.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// A process could not be started.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A process of the pool failed.
    #[error("{0}")]
    Gateway(#[from] GatewayError),
    /// A stand-in could not be started.
    #[error("stand-in: {0}")]
    Standin(#[from] StandinError),
    /// A process did not answer.
    #[error("{address}: {source}")]
    Peer {
        /// Address of the process.
        address: String,
        /// Cause of the failure.
        source: WireError,
    },
    /// An entry did not answer.
    #[error("entry: {0}")]
    Http(#[from] ClientError),
    /// Signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// A process that `dev` waited for was not ready in time.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
    /// A report could not be drawn.
    #[error("{0}")]
    Report(#[from] citronrill_insight::ReportError),
    /// A simulation failed.
    #[error("{0}")]
    Lab(#[from] citronrill_lab::LabError),
    /// No settings file is given, or the configuration lacks an item that `dev` needs.
    #[error("{0}")]
    Missing(&'static str),
}

impl CommandError {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CommandError::Config(_)
            | CommandError::File { .. }
            | CommandError::Missing(_)
            | CommandError::Apply(ApplyError::InvalidConfig(_) | ApplyError::NoBase { .. }) => {
                Exit::Usage
            }
            CommandError::Apply(ApplyError::Conflict { .. }) => Exit::Conflict,
            _ => Exit::Failure,
        }
    }
}
