//! Messages between the pool's entries and sides.

use prost::{Message, Oneof};

/// One message on a connection from an entry to a side.
#[derive(Clone, PartialEq, Message)]
pub struct PoolFrame {
    /// What it says.
    #[prost(oneof = "PoolKind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub kind: Option<PoolKind>,
}

/// What a [`PoolFrame`] says.
#[derive(Clone, PartialEq, Oneof)]
pub enum PoolKind {
    /// An entry asks for a model or adapter.
    #[prost(message, tag = "2")]
    Want(Want),
    /// An entry tells of a request that it has sent to the endpoint, or that found no room anywhere.
    #[prost(message, tag = "3")]
    Used(Usage),
    /// A side tells what its endpoint holds and does.
    #[prost(message, tag = "4")]
    State(SideState),
    /// An entry tells which text it has.
    #[prost(message, tag = "6")]
    Version(TextVersion),
    /// A side will not fetch what the entry asked for.
    #[prost(message, tag = "5")]
    Declined(ModelName),
    /// An entry tells another what it believes.
    #[prost(message, tag = "7")]
    Snapshot(Snapshot),
    /// Asks for a piece of the operators' text, in either direction.
    #[prost(message, tag = "8")]
    TextAsk(TextAsk),
    /// Answers it.
    #[prost(message, tag = "9")]
    TextPart(TextPart),
    /// An entry asks a side for a sign of life.
    #[prost(message, tag = "10")]
    Probe(Probe),
    /// A side gives it.
    #[prost(message, tag = "11")]
    Alive(Alive),
}

/// Asks for a sign of life.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Probe {}

/// A sign of life: the process runs, and so does its instance.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Alive {}

/// What an entry believes of the text and of the list of endpoints.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Snapshot {
    /// The version of the text, which is asked for on the same connection; 0 for none.
    #[prost(uint64, tag = "4")]
    pub text: u64,
    /// The version of the list.
    #[prost(uint64, tag = "2")]
    pub list: u64,
    /// The list's entries.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<MemberRow>,
}

/// One entry of the list of endpoints.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// The instance's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The entry, encoded as the platform keeps it.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
}

/// The operators' text as the platform keeps it; it crosses connections in pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextCopy {
    /// The text's version.
    pub version: u64,
    /// The text, encoded as the platform keeps it.
    pub bytes: Vec<u8>,
}

/// Asks for a piece of a text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextAsk {
    /// The version that is meant.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Bytes of it that the sender has.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A piece of a text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextPart {
    /// The text's version; the beginning of this one where another was asked for.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Bytes before this piece.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes of the whole text.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The piece; empty if the sender cannot serve now.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
}

/// Which text the sender has.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextVersion {
    /// The text's version; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Asks for a model, or for an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Want {
    /// The instance that is meant; another start of the endpoint takes no order for it.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The model's name.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter's own name; empty where the model itself is wanted.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Models that may make way, the least needed first.
    #[prost(string, repeated, tag = "4")]
    pub victims: Vec<String>,
    /// Engines that share the weight store.
    #[prost(uint32, tag = "5")]
    pub fleet: u32,
    /// Milliseconds for which the sender has use for it.
    #[prost(uint64, tag = "6")]
    pub ttl_ms: u64,
    /// Requests that wait for it; 0 for a load ahead of demand.
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
    /// When the start that is meant began, in Unix milliseconds by the endpoint's clock, if known.
    #[prost(uint64, optional, tag = "8")]
    pub started: Option<u64>,
    /// Loads from the weight store, this one with them, if it is one.
    #[prost(uint32, tag = "9")]
    pub store_loads: u32,
}

/// Names a model, or an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelName {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapter's own name, or empty.
    #[prost(string, tag = "2")]
    pub adapter: String,
}

/// A request for a model, or for an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Usage {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapter's own name, or empty.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Whether it was not sent to the endpoint but found no replica with room: one side counts all such
    /// requests for a model, whichever entry they came to.
    #[prost(bool, tag = "3")]
    pub missed: bool,
}

/// How often a model is asked for.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelRate {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests a second lately, in thousandths.
    #[prost(uint32, tag = "2")]
    pub rate_milli: u32,
}

/// What an endpoint holds and does, as its side knows it.
#[derive(Clone, PartialEq, Message)]
pub struct SideState {
    /// Orders that the endpoint has accepted; tells which of two beliefs is newer.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The models that it holds.
    #[prost(message, repeated, tag = "2")]
    pub models: Vec<ModelState>,
    /// Models with a copy in the instance's memory.
    #[prost(string, repeated, tag = "3")]
    pub in_memory: Vec<String>,
    /// Models with a copy on the instance's disk.
    #[prost(string, repeated, tag = "4")]
    pub on_disk: Vec<String>,
    /// What is being loaded, or waits for it: `model` or `model/adapter`.
    #[prost(string, repeated, tag = "5")]
    pub loading: Vec<String>,
    /// Models that make way, or will for something under `loading`.
    #[prost(string, repeated, tag = "6")]
    pub leaving: Vec<String>,
    /// Requests that run.
    #[prost(uint32, tag = "7")]
    pub active: u32,
    /// Requests that wait at the endpoint.
    #[prost(uint32, tag = "8")]
    pub queued: u32,
    /// Memory for prompts in use, in thousandths.
    #[prost(uint32, tag = "9")]
    pub kv_share: u32,
    /// Entries that are connected to this side.
    #[prost(uint32, tag = "10")]
    pub entries: u32,
    /// Whether the endpoint answered when last asked.
    #[prost(bool, tag = "11")]
    pub sound: bool,
    /// Milliseconds until all under `loading` is there, as far as can be told.
    #[prost(uint64, tag = "12")]
    pub busy_ms: u64,
    /// Loads from the weight store under `loading`.
    #[prost(uint32, tag = "13")]
    pub store_loads: u32,
    /// How long the last load from the weight store took, in thousandths of its usual time; 0 if
    /// there was none.
    #[prost(uint32, tag = "14")]
    pub store_slow: u32,
    /// The version of the text that the side has; 0 for none.
    #[prost(uint64, tag = "16")]
    pub text: u64,
    /// The name of the endpoint's present start, or empty if the side has not learned it.
    #[prost(string, tag = "15")]
    pub instance: String,
    /// Milliseconds until the order under way has ended, as far as can be told; 0 if there is none.
    #[prost(uint64, tag = "18")]
    pub order_ms: u64,
    /// The service that the endpoint belongs to.
    #[prost(string, tag = "17")]
    pub service: String,
    /// When the present start began, in Unix milliseconds by the endpoint's clock, if it says.
    #[prost(uint64, optional, tag = "19")]
    pub started: Option<u64>,
    /// The models whose requests find no room anywhere, of those that this side counts.
    #[prost(message, repeated, tag = "20")]
    pub missed: Vec<ModelRate>,
    /// How long the load from the weight store under way has taken, in thousandths of its usual time; 0 while
    /// it may still end in that.
    #[prost(uint32, tag = "21")]
    pub store_overdue: u32,
    /// How many loads from the weight store there were when that one was asked for, itself with them: the late
    /// one under way, or else the last one.
    #[prost(uint32, tag = "22")]
    pub store_concurrent: u32,
}

/// One model that an endpoint holds.
#[derive(Clone, PartialEq, Message)]
pub struct ModelState {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters, by their own names.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
    /// Requests a second lately, in thousandths.
    #[prost(uint32, tag = "3")]
    pub rate_milli: u32,
    /// Whether it cannot make way now: it has just come for somebody, or is about to be used.
    #[prost(bool, tag = "4")]
    pub fixed: bool,
}
