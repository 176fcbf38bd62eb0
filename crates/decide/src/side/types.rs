//! Events, effects and data types of the side's reducer.

use citronrill_base::{Outcome, Row, Txn};

use crate::{
    call::{CallId, CancelAnswer, Decline, Offer},
    log::LogEvent,
    rows::Cached,
};

/// Identity and capacity of a side process, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideProfile {
    /// The endpoint's name.
    pub endpoint: String,
    /// Name of the instance on the platform.
    pub instance: String,
    /// Address at which entries reach the process.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Accelerator memory, in MB; 0 for a plain endpoint.
    pub memory_mb: u64,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// Whether the engine refuses an order with an outdated fencing token.
    pub fencing: bool,
    /// Random number drawn when the process starts.
    pub session: u64,
}

/// A model that an engine has in accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineModel {
    /// The model's name.
    pub model: String,
    /// Whether the model is ready; otherwise it is still loading.
    pub ready: bool,
    /// Memory currently in use, in MB.
    pub memory_mb: u64,
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Models in accelerator memory, loading ones included.
    pub models: Vec<EngineModel>,
    /// Cached weights.
    pub cached: Vec<Cached>,
}

/// Input of a side's reducer.
#[derive(Debug, Clone)]
pub enum SideEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// Result of a read; rows that do not exist are included, without a body.
    Rows(u64, Vec<Row>),
    /// A read failed or timed out.
    ReadFailed(u64),
    /// Outcome of a transaction.
    TxnFinished(u64, Outcome),
    /// The engine's list of models; `None` if it did not answer.
    EngineListed(Option<EngineReport>),
    /// The engine executed or refused an order.
    OrderDone {
        /// The order's id.
        order: u64,
        /// Whether the engine executed it.
        done: bool,
    },
    /// The connection of an order was lost; the engine may or may not execute the order.
    OrderLost(u64),
    /// An entry offers a call.
    Offer(Offer),
    /// An entry cancels a call.
    Cancel {
        /// The call.
        id: CallId,
        /// The session of the side process to which the call was sent.
        session: u64,
        /// When the call expires, on this process's clock.
        expires: u64,
    },
    /// The engine has finished a call.
    CallEnded(CallId),
    /// An entry reports that it changed the side's row; new versions of the row are to be sent to
    /// the entry at this address.
    RowChanged(String),
    /// Drain: finish running calls and accept no new ones.
    Drain {
        /// Whether the endpoint is removed as well, so that its replicas are unloaded and their
        /// shares released.
        give_back: bool,
    },
}

/// Action requested by a side's reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SideEffect {
    /// Read rows; the answer carries the same id.
    Read(u64, Vec<String>),
    /// Commit a transaction.
    Commit(u64, Txn),
    /// Ask the engine for its list of models.
    ListEngine,
    /// Order the engine to load.
    Load {
        /// The order's id; the order is idempotent under it.
        order: u64,
        /// The model's name.
        model: String,
        /// The base model's name, for an adapter.
        base: String,
        /// The fencing token.
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
        /// The fencing token.
        fence: u64,
    },
    /// Run an offered call.
    RunCall(CallId),
    /// Attach the sender to a call that is running or has run.
    AttachCall(CallId),
    /// Report to the sender that a call will not run.
    Decline(CallId, Decline),
    /// Abort a call at the engine.
    AbortCall(CallId),
    /// Answer a cancellation.
    AnswerCancel(CallId, CancelAnswer),
    /// Send the side's row to an entry at an address.
    Announce(String, Row),
    /// Write a line to the log.
    Log(LogEvent),
    /// A successor owns the endpoint; stop the process.
    Superseded,
    /// The drain is complete; stop the process.
    Drained,
}
