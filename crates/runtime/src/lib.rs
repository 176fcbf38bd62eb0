//! Threads, sockets and timers that carry out the reducers' effects.
//!
//! One thread of a process, the control thread, owns the reducer and feeds it every event. Other
//! threads transfer bytes between callers, processes and endpoints, or block on calls to the
//! platform. Threads communicate over channels and exit when their channel is closed.

mod apply;
mod clock;
mod connect;
mod entry;
mod error;
mod front;
mod json;
mod link;
mod meter;
mod pool;
mod side;

pub use crate::{
    apply::{Applied, ApplyError, apply_text, base_version, current_text, head},
    clock::Clock,
    connect::{ask_dump, dump_json},
    entry::{EntryOptions, EntryProcess},
    error::StartError,
    side::{SideOptions, SideProcess},
};
