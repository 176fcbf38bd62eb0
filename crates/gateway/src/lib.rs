//! Sockets and threads of the pool's entry and side processes.
//!
//! Each process has a control thread, which owns the state machine and makes all decisions, and a
//! single-threaded `tokio` runtime, which drives all sockets. They communicate over channels; closing a
//! channel ends the task that reads from it. The platform's paths, headers and encodings are behind
//! [`Dialect`], so this crate doesn't depend on them.

mod body_end;
mod caller_server;
mod config_transfer;
mod dialect;
mod digest;
mod endpoint_check;
mod entry;
mod error;
mod event_splitter;
mod exchange;
mod framing;
mod http_client;
mod logs;
mod metrics;
mod platform_view;
mod quarantine;
mod relay;
mod resources;
mod response_stream;
mod seeds;
mod side;
mod sides;
mod store;

pub use crate::{
    dialect::{
        Dialect, DialectError, OrderCall, RequestMeta, RowPage, RowValue, StoreRow, Table,
        WriteCall,
    },
    digest::key_digest,
    entry::run_entry,
    error::GatewayError,
    logs::{LogHandle, LogPipe, LogRateLimit, LogStats},
    resources::{BufferedBytes, ConnectionCount, InstanceLimits, Resources},
    side::run_side,
};
