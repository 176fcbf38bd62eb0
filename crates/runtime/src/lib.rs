//! Threads, sockets and timers that carry out the reducers' effects.
//!
//! One thread of a process, the control thread, owns the reducer and passes every event to it. Other
//! threads transfer bytes between callers, processes and endpoints, or block on calls to the
//! platform. Threads communicate over channels and exit when their channel is closed.

mod apply;
mod clock;
mod connect;
mod entry;
mod error;
mod json;
mod link;
mod meter;
mod pool;
mod response;
mod side;

pub use crate::{
    apply::{ApplyError, ApplyOutcome, apply_config, base_version, config_head, current_config},
    clock::Clock,
    connect::{fetch_dump, fetch_dump_json},
    entry::{EntryOptions, EntryProcess},
    error::StartError,
    side::{SideOptions, SideProcess},
};
