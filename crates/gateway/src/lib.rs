//! Sockets and threads of the pool's entry and side processes.
//!
//! Each process has a control thread, which owns the state machine and makes all decisions, and a
//! single-threaded `tokio` runtime, which drives all sockets. They communicate over channels; closing a
//! channel ends the task that reads from it. The platform's paths, headers and encodings are behind
//! [`Dialect`], so this crate doesn't depend on them.

mod board;
mod call;
mod copies;
mod dialect;
mod entry;
mod error;
mod events;
mod exchange;
mod front;
mod link;
mod logs;
mod metrics;
mod relay;
mod seeds;
mod side;
mod sides;
mod store;

pub use crate::{
    dialect::{Dialect, DialectError, OrderCall, RequestMeta, RowPage, RowValue, StoreRow, Table},
    entry::run_entry,
    error::GatewayError,
    logs::{LogHandle, LogPipe, LogRateLimit, LogStats},
    side::run_side,
};
