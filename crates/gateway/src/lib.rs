//! Sockets and threads of the pool's processes.
//!
//! One thread owns the reducer and decides; another drives all sockets on a single-threaded `tokio`
//! runtime. They talk over channels, and closing a channel ends its task. How the platform spells
//! its calls is behind [`Dialect`], so this crate knows none of its words.

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
    logs::{LogBudget, LogHandle, LogPipe, LogStats},
    side::run_side,
};
