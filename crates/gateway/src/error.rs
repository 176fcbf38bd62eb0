//! What can go wrong at a socket.

use std::{io, net::SocketAddr};

use thiserror::Error;

use crate::dialect::DialectError;

/// Why a process of the pool could not run, or a call failed.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A setting that this role needs is missing.
    #[error("the settings lack {0}")]
    Missing(&'static str),
    /// A thread or runtime could not be started.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// No connection was made.
    #[error("cannot reach {address}: {source}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The other end did not speak HTTP, or broke off.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// A request could not be built.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No answer came in time.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The other end answers calls again that failed before, and this one is older.
    #[error("given up for a new call")]
    Overtaken,
    /// An answer that had begun stopped coming.
    #[error("the answer stopped after {0} bytes")]
    Stalled(usize),
    /// An answer is larger than anything that is asked for.
    #[error("an answer of more than {0} bytes")]
    TooLarge(usize),
    /// The other end answered with an error.
    #[error("status {0}")]
    Status(u16),
    /// The answer could not be read.
    #[error("{0}")]
    Dialect(#[from] DialectError),
}
