//! Messages between the entries and sides of a pool.

use prost::{Message, Oneof};

use crate::{
    credit::{CreditReply, CreditReport, EndpointLimit},
    shares::ShareMessage,
    store_loads::StoreLoadMessage,
    streams::StreamMessage,
    suspects::SuspectMessage,
};

/// One message on a connection between an entry and a side, or between two entries.
#[derive(Clone, PartialEq, Message)]
pub struct PoolFrame {
    /// The message.
    #[prost(oneof = "PoolKind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub kind: Option<PoolKind>,
}

/// The messages that a [`PoolFrame`] can carry.
#[derive(Clone, PartialEq, Oneof)]
pub enum PoolKind {
    /// An entry asks a side to load a model or adapter.
    #[prost(message, tag = "2")]
    LoadRequest(LoadRequest),
    /// An entry reports a request that it sent to the endpoint, or for which no replica had room.
    #[prost(message, tag = "3")]
    Usage(UsageReport),
    /// A side reports the state of its endpoint.
    #[prost(message, tag = "4")]
    State(SideState),
    /// An entry reports the configuration version that it has.
    #[prost(message, tag = "6")]
    ConfigVersion(ConfigVersion),
    /// A side declines a load request.
    #[prost(message, tag = "5")]
    LoadDeclined(ModelName),
    /// An entry sends its known state to another entry.
    #[prost(message, tag = "7")]
    Snapshot(Snapshot),
    /// Requests a chunk of the operators' configuration, in either direction.
    #[prost(message, tag = "8")]
    ConfigChunkRequest(ConfigChunkRequest),
    /// Answers the request with a chunk.
    #[prost(message, tag = "9")]
    ConfigChunk(ConfigChunk),
    /// An entry's liveness probe of a side.
    #[prost(message, tag = "10")]
    Probe(Probe),
    /// A side's reply to the probe.
    #[prost(message, tag = "11")]
    ProbeReply(ProbeReply),
    /// A message about requests that may crash endpoints, in either direction. Only for a side whose
    /// state says that it tracks them, and for an entry that has sent one.
    #[prost(message, tag = "12")]
    Suspects(SuspectMessage),
    /// An entry reports what it uses of organisations' limits. Only to a side whose state says that it
    /// issues credit.
    #[prost(message, tag = "13")]
    CreditReport(CreditReport),
    /// A side's reply to the report.
    #[prost(message, tag = "14")]
    CreditReply(CreditReply),
    /// A message about the software versions at which streams began, in either direction. Only for a side
    /// whose state says that it tracks them, and for an entry that has sent one.
    #[prost(message, tag = "15")]
    Streams(StreamMessage),
    /// A message about loads from the weight store, in either direction. Only for a side whose state says
    /// that it queues them, and for an entry that has sent one.
    #[prost(message, tag = "16")]
    StoreLoads(StoreLoadMessage),
    /// A message about organisations' shares of services, in either direction. Only for a side whose state
    /// says that it divides them, and for an entry that has sent one.
    #[prost(message, tag = "17")]
    Shares(ShareMessage),
}

/// A liveness probe.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Probe {}

/// The reply to a liveness probe: shows that the process and its instance are running.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ProbeReply {}

/// An entry's known state of the configuration and of the member list.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Snapshot {
    /// The configuration version; 0 for none. The receiver requests its contents on the same connection.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// The version of the member list.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// The members.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<MemberRow>,
    /// The era of the store's history in which the list has this version; 0 for none.
    #[prost(uint64, tag = "5")]
    pub list_era: u64,
}

/// One row of the member list.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// The instance's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The row, encoded as in the platform store.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
}

/// The operators' configuration as encoded in the platform store; it is transferred in chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedConfig {
    /// The configuration version.
    pub version: u64,
    /// The configuration, encoded as in the platform store.
    pub bytes: Vec<u8>,
}

/// Requests a chunk of a configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigChunkRequest {
    /// The requested version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Bytes of this version that the sender already has.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A chunk of a configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigChunk {
    /// The configuration version. If the sender has a different version from the requested one, the chunk
    /// is the beginning of the sender's version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The chunk's offset in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The size of the whole configuration in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The chunk; empty if the sender cannot serve it at present.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
}

/// The configuration version that the sender has.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigVersion {
    /// The configuration version; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Asks a side to load a model, or an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadRequest {
    /// The addressed instance; other incarnations of the endpoint ignore the request.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The model's name.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter's own name; empty if the request is for the model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Models that may be evicted, the least needed first.
    #[prost(string, repeated, tag = "4")]
    pub eviction_candidates: Vec<String>,
    /// Number of engines that share the weight store.
    #[prost(uint32, tag = "5")]
    pub engine_count: u32,
    /// Milliseconds until the request expires.
    #[prost(uint64, tag = "6")]
    pub ttl_ms: u64,
    /// Requests that are waiting for the model or adapter; 0 for a preload.
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
    /// Start time of the addressed incarnation, in Unix milliseconds by the endpoint's clock, if known.
    #[prost(uint64, optional, tag = "8")]
    pub started: Option<u64>,
    /// Loads from the weight store, including this one; 0 if this load is not from the weight store.
    #[prost(uint32, tag = "9")]
    pub store_loads: u32,
    /// Milliseconds for which the model must stay loaded once the load has ended; 0 for the side's own minimum.
    #[prost(uint64, tag = "10")]
    pub residency_ms: u64,
}

/// The name of a model, or of an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelName {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapter's own name, or empty.
    #[prost(string, tag = "2")]
    pub adapter: String,
}

/// Reports a request for a model, or for an adapter of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UsageReport {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapter's own name, or empty.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Whether the request was a miss: no replica had room, so it was not sent to the endpoint. One side
    /// counts all misses of a model, over all entries.
    #[prost(bool, tag = "3")]
    pub missed: bool,
}

/// The request rate of a model.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelRate {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Recent requests per second, in thousandths.
    #[prost(uint32, tag = "2")]
    pub rate_milli: u32,
}

/// The state of an endpoint, as known to its side.
#[derive(Clone, PartialEq, Message)]
pub struct SideState {
    /// Number of orders that the endpoint has accepted; the report with the higher number is newer.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The loaded models.
    #[prost(message, repeated, tag = "2")]
    pub models: Vec<ModelState>,
    /// Models with weights cached in the instance's RAM.
    #[prost(string, repeated, tag = "3")]
    pub in_memory: Vec<String>,
    /// Models with weights cached on the instance's disk.
    #[prost(string, repeated, tag = "4")]
    pub on_disk: Vec<String>,
    /// Loads in progress or queued: `model` or `model/adapter`.
    #[prost(string, repeated, tag = "5")]
    pub loading: Vec<String>,
    /// Models that are being evicted, or will be for a load under `loading`.
    #[prost(string, repeated, tag = "6")]
    pub evicting: Vec<String>,
    /// Running requests.
    #[prost(uint32, tag = "7")]
    pub active: u32,
    /// Requests queued at the endpoint.
    #[prost(uint32, tag = "8")]
    pub queued: u32,
    /// Share of the KV cache in use, in thousandths.
    #[prost(uint32, tag = "9")]
    pub kv_used_milli: u32,
    /// Number of entries connected to this side.
    #[prost(uint32, tag = "10")]
    pub entries: u32,
    /// Whether the endpoint has recently answered a status request of its side.
    #[prost(bool, tag = "11")]
    pub healthy: bool,
    /// Estimated milliseconds until all loads under `loading` have completed.
    #[prost(uint64, tag = "12")]
    pub load_eta_ms: u64,
    /// Number of loads under `loading` that are from the weight store.
    #[prost(uint32, tag = "13")]
    pub store_loads: u32,
    /// Duration of the last load from the weight store, in thousandths of its usual time; 0 if
    /// there was none.
    #[prost(uint32, tag = "14")]
    pub store_slowdown: u32,
    /// The configuration version that the side has; 0 for none.
    #[prost(uint64, tag = "16")]
    pub config_version: u64,
    /// The name of the endpoint's current incarnation, or empty if the side does not know it.
    #[prost(string, tag = "15")]
    pub instance: String,
    /// Estimated milliseconds until the current order has completed; 0 if there is none.
    #[prost(uint64, tag = "18")]
    pub order_eta_ms: u64,
    /// The service that the endpoint belongs to.
    #[prost(string, tag = "17")]
    pub service: String,
    /// Start time of the current incarnation, in Unix milliseconds by the endpoint's clock, if reported.
    #[prost(uint64, optional, tag = "19")]
    pub started: Option<u64>,
    /// Miss rates of the models whose misses this side counts.
    #[prost(message, repeated, tag = "20")]
    pub missed: Vec<ModelRate>,
    /// Time spent so far on the current load from the weight store, in thousandths of its usual time; 0 while
    /// the load is not overdue.
    #[prost(uint32, tag = "21")]
    pub store_overdue: u32,
    /// Concurrent loads from the weight store when the overdue load was requested, including itself. Without an
    /// overdue load, the same for the last load.
    #[prost(uint32, tag = "22")]
    pub store_concurrent: u32,
    /// Whether the side understands [`PoolKind::Suspects`].
    #[prost(bool, tag = "23")]
    pub tracks_suspects: bool,
    /// Whether the side understands [`PoolKind::CreditReport`].
    #[prost(bool, tag = "24")]
    pub issues_credit: bool,
    /// Number of entries that the side knows of: those connected, and those whose connection fell silent.
    #[prost(uint32, tag = "25")]
    pub known_entries: u32,
    /// Whether the side understands [`PoolKind::Streams`].
    #[prost(bool, tag = "26")]
    pub tracks_streams: bool,
    /// Limits that endpoints have named, as entries have told this side of late.
    #[prost(message, repeated, tag = "27")]
    pub endpoint_limits: Vec<EndpointLimit>,
    /// Whether the endpoint has told its side that it leaves.
    #[prost(bool, tag = "28")]
    pub leaving: bool,
    /// Whether the side understands [`PoolKind::StoreLoads`].
    #[prost(bool, tag = "29")]
    pub queues_store_loads: bool,
    /// Whether the side understands [`PoolKind::Shares`].
    #[prost(bool, tag = "30")]
    pub divides_shares: bool,
    /// How long work takes at the endpoint at this moment, in per cent of the usual time; 0 if it does not
    /// state that.
    #[prost(uint32, tag = "31")]
    pub pace: u32,
}

/// One loaded model of an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct ModelState {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The own names of its loaded adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
    /// Recent requests per second, in thousandths.
    #[prost(uint32, tag = "3")]
    pub rate_milli: u32,
    /// Whether it must not be evicted now: it was just loaded for a request, or is about to be used.
    #[prost(bool, tag = "4")]
    pub pinned: bool,
    /// Whether it came from the weight store no longer ago than such a load takes.
    #[prost(bool, tag = "5")]
    pub from_store: bool,
}
