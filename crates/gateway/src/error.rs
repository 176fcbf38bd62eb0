//! Errors of sockets and calls.

use std::{error::Error as _, io, net::SocketAddr};

use thiserror::Error;

use crate::dialect::DialectError;

/// Error of an entry or side process, or of one of its calls.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A setting that this role requires is missing.
    #[error("missing setting: {0}")]
    MissingSetting(&'static str),
    /// A thread or runtime could not be started.
    #[error("cannot start the process: {0}")]
    Start(#[from] io::Error),
    /// No connection could be established.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer violated HTTP, or closed the connection.
    #[error("HTTP error: {0}{cause}", cause = cause(.0))]
    Http(#[from] hyper::Error),
    /// The head of a response did not say where its body ends.
    #[error("response without a known end")]
    Unframed,
    /// A request could not be built.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No response arrived in time.
    #[error("no response within {0} ms")]
    Timeout(u64),
    /// The peer answers other calls again after an outage, but this call was made before it
    /// answered again.
    #[error("superseded by a new call")]
    Superseded,
    /// A response stopped arriving before its end.
    #[error("response stalled after {0} bytes")]
    Stalled(usize),
    /// A response exceeds the size limit.
    #[error("response exceeds {0} bytes")]
    TooLarge(usize),
    /// A page of a table does not go on from the one before.
    #[error("the pages of a table make no progress")]
    NoProgress,
    /// The peer responded with an error status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The response could not be decoded.
    #[error("{0}")]
    Dialect(#[from] DialectError),
}

/// Returns what the library's error was caused by, such as a response that was not taken for one.
fn cause(error: &hyper::Error) -> String {
    error.source().map(|source| format!(": {source}")).unwrap_or_default()
}
