//! Events, effects and small types of the side's reducer.

use std::{fmt, net::IpAddr, sync::Arc};

use citronrill_decide::LogEvent;
use citronrill_wire::{
    CreditReply, CreditReport, LoadRequest, ModelName, ShareMessage, SideState, StoreLoadMessage,
    StoreLoadReply, StreamMessage, SuspectMessage, UsageReport,
};

use crate::{config::ServingConfig, incarnation::StartTime, member::HeldModel, server_load::Pace};

/// State that the endpoint reports.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineReport {
    /// When the current incarnation started, if reported.
    pub started: Option<StartTime>,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters being loaded, as `model/adapter`.
    pub pending: Vec<String>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Running requests.
    pub active: u32,
    /// Queued requests.
    pub queued: u32,
    /// Share of the KV cache in use, in thousandths.
    pub kv_used_milli: u32,
    /// Models with cached weights in the instance's memory.
    pub in_memory: Vec<String>,
    /// Models with cached weights on the instance's disk.
    pub on_disk: Vec<String>,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// How long work takes there at this moment, if stated.
    pub pace: Option<Pace>,
}

impl EngineReport {
    /// Returns whether the instance has cached weights of a model, in memory or on disk.
    pub(crate) fn has_cached_weights(&self, model: &str) -> bool {
        let copies = self.in_memory.iter().chain(&self.on_disk);
        copies.into_iter().any(|name| name == model)
    }
}

/// Kinds of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// One order to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number of the order, unique within this side.
    pub number: u64,
    /// What it does.
    pub kind: OrderKind,
    /// The model's name.
    pub model: String,
    /// The adapter's own name, or empty for the model itself.
    pub adapter: String,
    /// Number of orders that the endpoint must have accepted before it.
    pub sequence: u64,
    /// The fencing token.
    pub token: u64,
    /// The instance that it is meant for.
    pub instance: String,
}

/// The endpoint's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in progress, or its result is already in place.
    Accepted,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// The order will not be carried out.
    Rejected,
    /// No answer was received.
    Unknown,
}

/// Identifies the connection of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryLink(pub u64);

impl fmt::Display for EntryLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "link-{}", self.0)
    }
}

/// Events that a side handles.
#[derive(Debug, Clone)]
pub enum SideEvent {
    /// A configuration was received from an entry.
    Config(Arc<ServingConfig>),
    /// The endpoint reported its state; `None` if it did not answer.
    Report(Option<EngineReport>),
    /// An entry requests a model or adapter.
    LoadRequest(EntryLink, LoadRequest),
    /// An entry has dispatched a request to the endpoint, or found no replica with room for it.
    Usage(UsageReport),
    /// The endpoint answered an order; with its name if the order was meant for another
    /// incarnation.
    OrderAnswered(u64, OrderOutcome, Option<String>),
    /// The endpoint reported the name of its current incarnation.
    NameReported(String),
    /// The number of connected entries has changed to this.
    EntryCount(u32),
    /// An entry on the instance with this address has connected.
    EntryConnected(EntryLink, IpAddr),
    /// The connection of an entry has ended; the flag says whether it fell silent.
    EntryLost(EntryLink, bool),
    /// An entry reported what it uses of organisations' limits.
    CreditReport(EntryLink, CreditReport),
    /// An entry sent a message about loads from the weight store.
    StoreLoads(EntryLink, StoreLoadMessage),
    /// An entry sent a message about shares.
    Shares(EntryLink, ShareMessage),
    /// An entry sent a message about suspects.
    Suspects(EntryLink, SuspectMessage),
    /// An entry sent a message about streams.
    Streams(EntryLink, StreamMessage),
    /// Time has passed.
    Tick,
}

/// Effects that a side asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum SideEffect {
    /// Ask the endpoint for its state.
    Poll,
    /// Ask the endpoint for the name of its current incarnation, on this path.
    QueryName(String),
    /// Send an order to the endpoint.
    Order(Order),
    /// Send the state to all entries.
    Publish(Box<SideState>),
    /// Tell one entry that its load request is declined.
    Decline(EntryLink, ModelName),
    /// Send one entry a message about suspects.
    Suspects(EntryLink, SuspectMessage),
    /// Send one entry a message about streams.
    Streams(EntryLink, StreamMessage),
    /// Send one entry a reply to its report on limits.
    Credit(EntryLink, CreditReply),
    /// Send one entry a reply about loads from the weight store.
    StoreLoads(EntryLink, StoreLoadReply),
    /// Send one entry a message about shares.
    Shares(EntryLink, ShareMessage),
    /// Write a log line.
    Log(LogEvent),
}
