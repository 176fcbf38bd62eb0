//! Events, effects and small types of the side's reducer.

use std::{fmt, sync::Arc};

use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, SideState, Usage, Want};

use crate::{member::HeldModel, start::StartTime, text::ServingText};

/// What the endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineReport {
    /// When this start began, if it says.
    pub started: Option<StartTime>,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way, as `model/adapter`.
    pub pending: Vec<String>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Requests that run.
    pub active: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Memory for prompts in use, in thousandths.
    pub kv_share: u32,
    /// Models with a copy in the instance's memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on the instance's disk.
    pub on_disk: Vec<String>,
}

impl EngineReport {
    /// Whether the instance has a copy of a model, in memory or on disk.
    pub(crate) fn has_copy(&self, model: &str) -> bool {
        let copies = self.in_memory.iter().chain(&self.on_disk);
        copies.into_iter().any(|name| name == model)
    }
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Fetch.
    Load,
    /// Make way.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Names the order at this side.
    pub number: u64,
    /// What it does.
    pub kind: OrderKind,
    /// The model's name.
    pub model: String,
    /// The adapter's own name, or empty.
    pub adapter: String,
    /// Orders that the endpoint must have accepted before it.
    pub sequence: u64,
    /// The fencing token.
    pub token: u64,
    /// The instance that is meant.
    pub instance: String,
}

/// What the endpoint said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is under way, or holds already.
    Accepted,
    /// Another is under way, or the sequence differs.
    Conflict,
    /// It will not be carried out.
    Rejected,
    /// No answer came.
    Unknown,
}

/// Names one entry's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryLink(pub u64);

impl fmt::Display for EntryLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "link-{}", self.0)
    }
}

/// What happens at a side.
#[derive(Debug, Clone)]
pub enum SideEvent {
    /// A text was read from an entry.
    Text(Arc<ServingText>),
    /// The endpoint told its state; `None` if it did not answer.
    Report(Option<EngineReport>),
    /// An entry asks for a model.
    Want(EntryLink, Want),
    /// An entry has sent a request to the endpoint.
    Used(Usage),
    /// The endpoint answered an order; with its name if the order meant another start of it.
    Ordered(u64, OrderOutcome, Option<String>),
    /// The endpoint has told the name of its present start.
    Named(String),
    /// So many entries are connected.
    Entries(u32),
    /// Time has passed.
    Tick,
}

/// What a side does.
#[derive(Debug, Clone, PartialEq)]
pub enum SideEffect {
    /// Ask the endpoint for its state.
    Poll,
    /// Ask the endpoint for the name of its present start, on this path.
    Identify(String),
    /// Give an order.
    Order(Order),
    /// Tell all entries.
    Publish(SideState),
    /// Tell one entry that its want will not be met here.
    Decline(EntryLink, ModelName),
    /// Write a log line.
    Log(LogEvent),
}
