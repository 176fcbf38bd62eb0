//! The error type for a failed process start.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// An error that keeps a process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The process cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The HTTP server did not start.
    #[error("cannot serve HTTP on {address}: {reason}")]
    Http {
        /// The address.
        address: SocketAddr,
        /// The error of the HTTP library.
        reason: String,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
