//! The rows that citronrill stores in the platform table.
//!
//! Every row under [`FEED`] is distributed to all entries; other rows are read when needed.

use prost::{Enumeration, Message};

/// Prefix of the rows that are distributed to every entry.
pub const FEED: &str = "s/";
/// Key of the [`HeadRow`].
pub const HEAD: &str = "s/head";
/// Key of the [`PermitsRow`], which holds the load permits.
///
/// It is not part of the feed: it changes with every load and grows with the queue, and only the
/// processes that decide or load need it, which read it directly.
pub const PERMITS: &str = "permits/weights";
/// Number of configuration versions whose deltas are kept.
pub const DELTA_RING: u64 = 64;

const ENDPOINT: &str = "s/endpoint/";
const MODEL: &str = "s/model/";
const SHARE: &str = "s/share/";
const MEMBER: &str = "s/member/";
const DELTA: &str = "s/delta/";
const CACHE: &str = "s/cache/";

/// Lifecycle phase of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Decided; no memory is held yet.
    Wanted = 0,
    /// The engine may be loading it; the peak memory is held.
    Loading = 1,
    /// Serving requests.
    Ready = 2,
    /// Accepts no new requests; the memory is held until the engine confirms the unload.
    Unloading = 3,
}

/// Fastest storage tier from which an endpoint can load a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Tier {
    /// Only in the weight store.
    Remote = 0,
    /// On the engine's disk.
    Disk = 1,
    /// In the host's RAM.
    Ram = 2,
}

/// A decided replica in an endpoint's ledger.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Replica {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The organisation whose share the replica counts against.
    #[prost(string, tag = "2")]
    pub org: String,
    /// Memory when loaded, in MB.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Memory while loading, in MB.
    #[prost(uint64, tag = "4")]
    pub peak_mb: u64,
    /// The decision's id.
    #[prost(uint64, tag = "5")]
    pub order: u64,
    /// Lifecycle phase.
    #[prost(enumeration = "Phase", tag = "6")]
    pub phase: i32,
    /// Whether the load reads from the weight store and needs a permit.
    #[prost(bool, tag = "7")]
    pub remote: bool,
    /// The base model's name, for an adapter.
    #[prost(string, tag = "8")]
    pub base: String,
    /// Expected load time in milliseconds.
    #[prost(uint64, tag = "9")]
    pub load_ms: u64,
    /// Rank among the loads that wait for a permit; the smallest goes first.
    #[prost(uint64, tag = "10")]
    pub urgency: u64,
    /// Part of the share in which its memory is reserved.
    #[prost(uint32, tag = "11")]
    pub share_part: u32,
}

impl Replica {
    /// Returns the memory that the ledger holds for the replica, in MB.
    ///
    /// A load with an unknown outcome keeps its peak, since the engine may be loading without
    /// having reported it.
    pub fn held_mb(&self) -> u64 {
        match self.phase() {
            Phase::Wanted => 0,
            Phase::Loading => self.peak_mb.max(self.memory_mb),
            Phase::Ready | Phase::Unloading => self.memory_mb,
        }
    }
}

/// Cached weights of a model.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cached {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The fastest tier that has it.
    #[prost(enumeration = "Tier", tag = "2")]
    pub tier: i32,
}

/// An endpoint: its memory ledger and what an entry needs to reach it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointRow {
    /// Fencing token; increases with every side process that claims the endpoint.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The side's address.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Accelerator memory, in MB.
    #[prost(uint64, tag = "4")]
    pub memory_mb: u64,
    /// Maximum number of concurrent requests.
    #[prost(uint64, tag = "5")]
    pub slots: u64,
    /// Name of the instance on the platform.
    #[prost(string, tag = "6")]
    pub instance: String,
    /// Whether the endpoint is draining and accepts no new calls or replicas.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Decided replicas.
    #[prost(message, repeated, tag = "8")]
    pub replicas: Vec<Replica>,
}

/// Cached weights of an endpoint; a separate row, since it is long and rarely changes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CacheRow {
    /// Cached weights.
    #[prost(message, repeated, tag = "1")]
    pub cached: Vec<Cached>,
}

impl EndpointRow {
    /// Returns the memory currently held by all replicas, in MB.
    pub fn held_mb(&self) -> u64 {
        self.replicas.iter().map(Replica::held_mb).sum()
    }

    /// Returns the memory that all decided replicas hold or will hold once loaded, in MB.
    pub fn committed_mb(&self) -> u64 {
        self.replicas.iter().map(|replica| replica.held_mb().max(replica.memory_mb)).sum()
    }

    /// Returns the replica of `model`.
    pub fn replica(&self, model: &str) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.model == model)
    }
}

/// A model: the endpoints with decided replicas, and its traffic statistics.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelRow {
    /// Names of the endpoints with a decided replica.
    #[prost(string, repeated, tag = "1")]
    pub holders: Vec<String>,
    /// Histogram of the gaps between requests, by the logarithm of their length.
    #[prost(bytes = "vec", tag = "2")]
    pub gaps: Vec<u8>,
    /// Activity by time slot of the day.
    #[prost(bytes = "vec", tag = "3")]
    pub activity: Vec<u8>,
    /// Number of consecutive failed loads.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
}

/// A part of an organisation's share.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareRow {
    /// Memory in use, in MB.
    #[prost(uint64, tag = "1")]
    pub used_mb: u64,
    /// Memory borrowed from (positive) or lent to (negative) the other parts, in MB.
    #[prost(sint64, tag = "2")]
    pub balance_mb: i64,
}

/// Permission to read from the weight store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Permit {
    /// The endpoint that loads.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The replica's decision id.
    #[prost(uint64, tag = "2")]
    pub order: u64,
}

/// A load that waits for a permit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Waiter {
    /// The endpoint that waits.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The replica's decision id.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// Rank; the smallest goes first.
    #[prost(uint64, tag = "3")]
    pub urgency: u64,
    /// Number of loads that have taken a permit while it waited.
    #[prost(uint32, tag = "4")]
    pub passed: u32,
}

/// The weight store's permits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitsRow {
    /// Permits in use.
    #[prost(message, repeated, tag = "1")]
    pub permits: Vec<Permit>,
    /// Loads that wait for a permit.
    #[prost(message, repeated, tag = "2")]
    pub waiters: Vec<Waiter>,
    /// Maximum number of concurrent permits.
    #[prost(uint64, tag = "3")]
    pub concurrent_loads: u64,
    /// Maximum number of load starts per second.
    #[prost(uint64, tag = "4")]
    pub loads_per_second: u64,
}

/// An entry process.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// Address at which peers reach it.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Random number drawn when the process starts.
    #[prost(uint64, tag = "3")]
    pub session: u64,
}

/// The current version of the configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeadRow {
    /// Version; increases with every accepted configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the configuration.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Name of the object that holds the complete configuration.
    #[prost(string, tag = "3")]
    pub object: String,
}

/// The changes of one configuration version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeltaRow {
    /// The resulting version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the resulting configuration.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// New or changed sections.
    #[prost(string, repeated, tag = "3")]
    pub changed: Vec<String>,
    /// Headers of removed sections.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Whether the row omits the changes, for example because they are too large, so that the
    /// object must be fetched.
    #[prost(bool, tag = "5")]
    pub content_omitted: bool,
}

/// State of a claimed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The call may be running or have run.
    Open = 0,
    /// The call ran, and its answer is stored.
    Answered = 1,
    /// The call ran, and its answer was too large to store.
    AnsweredLarge = 2,
}

/// The claim on a call that may run at most once.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRow {
    /// Token of the request that owns the claim and may send the call.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// State of the call.
    #[prost(enumeration = "ClaimState", tag = "2")]
    pub state: i32,
    /// The answer's HTTP status.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The answer's body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Hash of the request's body: another body under the same key is refused.
    #[prost(uint64, tag = "5")]
    pub body_hash: u64,
    /// The answer's content type.
    #[prost(string, tag = "6")]
    pub content_type: String,
}

/// Kind of a row, with the name in its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind<'a> {
    /// [`HeadRow`].
    Head,
    /// [`PermitsRow`].
    Permits,
    /// [`EndpointRow`] and the endpoint's name.
    Endpoint(&'a str),
    /// [`ModelRow`] and the model's name.
    Model(&'a str),
    /// [`ShareRow`], the organisation's name and the part.
    Share(&'a str, u32),
    /// [`MemberRow`] and the instance's name.
    Member(&'a str),
    /// [`DeltaRow`].
    Delta,
    /// [`CacheRow`] and the endpoint's name.
    Cache(&'a str),
    /// A row of a later release.
    Other,
}

/// Returns the kind of the row with `key`.
pub fn row_kind(key: &str) -> RowKind<'_> {
    if key == HEAD {
        return RowKind::Head;
    }
    if key == PERMITS {
        return RowKind::Permits;
    }
    if let Some(name) = key.strip_prefix(ENDPOINT) {
        return RowKind::Endpoint(name);
    }
    if let Some(name) = key.strip_prefix(MODEL) {
        return RowKind::Model(name);
    }
    if let Some(name) = key.strip_prefix(MEMBER) {
        return RowKind::Member(name);
    }
    if let Some(name) = key.strip_prefix(CACHE) {
        return RowKind::Cache(name);
    }
    if key.starts_with(DELTA) {
        return RowKind::Delta;
    }
    let share = key.strip_prefix(SHARE).and_then(|rest| rest.rsplit_once('/'));
    match share.and_then(|(org, part)| Some((org, part.parse().ok()?))) {
        Some((org, part)) => RowKind::Share(org, part),
        None => RowKind::Other,
    }
}

/// Returns the key of an [`EndpointRow`].
pub fn endpoint_key(name: &str) -> String {
    format!("{ENDPOINT}{name}")
}

/// Returns the key of a [`CacheRow`].
pub fn cache_key(endpoint: &str) -> String {
    format!("{CACHE}{endpoint}")
}

/// Returns the key of a [`ModelRow`].
pub fn model_key(name: &str) -> String {
    format!("{MODEL}{name}")
}

/// Returns the key of a [`ShareRow`].
pub fn share_key(org: &str, part: u32) -> String {
    format!("{SHARE}{org}/{part}")
}

/// Returns the key of a [`MemberRow`].
pub fn member_key(instance: &str) -> String {
    format!("{MEMBER}{instance}")
}

/// Returns the key of the [`DeltaRow`] of `version`.
pub fn delta_key(version: u64) -> String {
    format!("{DELTA}{}", version % DELTA_RING)
}

/// Returns the key of the [`ClaimRow`] of an organisation's idempotency key, by its hash.
pub fn claim_key(org: &str, hash: u64) -> String {
    format!("claim/{org}/{hash:016x}")
}

/// Decodes a row; `None` if it is absent or invalid.
pub fn decode<M: Message + Default>(body: &Option<Vec<u8>>) -> Option<M> {
    body.as_ref().and_then(|bytes| M::decode(bytes.as_slice()).ok())
}

/// Returns the name of a phase in logs and dumps.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Wanted => "wanted",
        Phase::Loading => "loading",
        Phase::Ready => "ready",
        Phase::Unloading => "unloading",
    }
}
