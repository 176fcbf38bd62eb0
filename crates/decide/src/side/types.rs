//! Events, effects and small types of the side's reducer.

use citronrill_base::{Outcome, Row, Txn};

use crate::{
    call::{CallId, CancelAnswer, Decline, Offer},
    log::LogEvent,
    rows::Cached,
};

/// What a side process knows of itself from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideProfile {
    /// The endpoint's name.
    pub endpoint: String,
    /// The platform's name of the instance.
    pub instance: String,
    /// Where entries reach the process.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Accelerator memory, in MB; 0 for a plain endpoint.
    pub memory_mb: u64,
    /// Requests run at once.
    pub slots: u64,
    /// Whether the engine refuses an order with an old fencing number.
    pub fencing: bool,
    /// Drawn at the start of the process.
    pub session: u64,
}

/// One model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// The model's name.
    pub model: String,
    /// Whether it serves; else it is still loading.
    pub ready: bool,
    /// Memory it takes now, in MB.
    pub memory_mb: u64,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// What it holds.
    pub held: Vec<HeldModel>,
    /// What it has cached.
    pub cached: Vec<Cached>,
}

/// What a side's reducer is told.
#[derive(Debug, Clone)]
pub enum SideEvent {
    /// Time has passed; several times a second.
    Tick,
    /// What a read gave; rows that do not exist are among them.
    Rows(u64, Vec<Row>),
    /// A read did not answer.
    ReadFailed(u64),
    /// What became of a transaction.
    Committed(u64, Outcome),
    /// What the engine holds; `None` if it did not answer.
    Engine(Option<EngineReport>),
    /// An order was carried out or refused.
    OrderDone {
        /// The order's id.
        order: u64,
        /// Whether the engine did it.
        done: bool,
    },
    /// An order's connection was lost; the engine may carry it out or not.
    OrderLost(u64),
    /// A call is offered.
    Offer(Offer),
    /// A call is to be cancelled.
    Cancel {
        /// Which.
        id: CallId,
        /// The side process that was sent the call.
        session: u64,
        /// When it expires on this process's clock.
        expires: u64,
    },
    /// A call has ended at the engine.
    Ended(CallId),
    /// An entry says that the own row changed, and where the side's answer is awaited.
    Poke(String),
    /// Stop: finish what runs and take nothing new.
    Drain {
        /// Whether the endpoint goes too, so that its replicas are given back.
        give_back: bool,
    },
}

/// What a side's reducer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SideEffect {
    /// Read rows, under an id that the answer names.
    Read(u64, Vec<String>),
    /// Commit a transaction.
    Commit(u64, Txn),
    /// Ask the engine what it holds.
    ListEngine,
    /// Order the engine to load.
    Load {
        /// The order's id; safe to give twice.
        order: u64,
        /// The model's name.
        model: String,
        /// The base model's name, for an adapter.
        base: String,
        /// The fencing number.
        fence: u64,
        /// Memory when loaded, in MB.
        memory_mb: u64,
        /// Memory while loading, in MB.
        peak_mb: u64,
    },
    /// Order the engine to unload.
    Unload {
        /// The order's id.
        order: u64,
        /// The model's name.
        model: String,
        /// The fencing number.
        fence: u64,
    },
    /// Run an offered call.
    Run(CallId),
    /// Attach the sender to a call that runs or has run.
    Attach(CallId),
    /// Tell the sender that a call will not run.
    Decline(CallId, Decline),
    /// Stop a call at the engine.
    Stop(CallId),
    /// Answer a cancellation.
    Cancelled(CallId, CancelAnswer),
    /// Hand the own row on to an entry that waits for it.
    Announce(String, Row),
    /// Write a line to the log.
    Log(LogEvent),
    /// A successor owns the endpoint: stop the process.
    Superseded,
    /// All is given back: stop the process.
    Drained,
}
