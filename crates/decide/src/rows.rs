//! The rows that citronrill keeps in the platform's table.
//!
//! Every key under [`FEED`] is spread to the entries; claims are read only by those they concern.

use prost::{Enumeration, Message};

/// Prefix of the rows that every entry follows.
pub const FEED: &str = "s/";
/// The row that names the version in force.
pub const HEAD: &str = "s/head";
/// The row that holds load permits.
///
/// It is not part of the feed: it changes with every load, grows with the line that waits, and only
/// those who decide or load need it, who read it anyway.
pub const WEIGHTS: &str = "permits/weights";
/// Deltas of the text are kept for this many versions.
pub const DELTA_RING: u64 = 64;

const ENDPOINT: &str = "s/endpoint/";
const MODEL: &str = "s/model/";
const SHARE: &str = "s/share/";
const MEMBER: &str = "s/member/";
const DELTA: &str = "s/delta/";
const CACHE: &str = "s/cache/";

/// Where a replica is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Decided; holds no memory yet.
    Wanted = 0,
    /// The engine may be loading; holds its peak of memory.
    Loading = 1,
    /// Serves.
    Ready = 2,
    /// Takes nothing new; holds its memory until the engine confirms.
    Unloading = 3,
}

/// Where an endpoint has a copy of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Tier {
    /// Only in the weight store.
    Remote = 0,
    /// On the engine's disk.
    Disk = 1,
    /// In the host's memory.
    Ram = 2,
}

/// One decided replica in an endpoint's ledger.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Replica {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The organisation whose share it counts against.
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
    /// Where it is in its life.
    #[prost(enumeration = "Phase", tag = "6")]
    pub phase: i32,
    /// Whether the load goes to the weight store and holds a permit.
    #[prost(bool, tag = "7")]
    pub remote: bool,
    /// The base model's name, for an adapter.
    #[prost(string, tag = "8")]
    pub base: String,
    /// Expected load time in milliseconds.
    #[prost(uint64, tag = "9")]
    pub load_ms: u64,
    /// Rank among loads that wait for a permit; the smaller goes first.
    #[prost(uint64, tag = "10")]
    pub urgency: u64,
    /// The share row that it was taken from.
    #[prost(uint32, tag = "11")]
    pub bucket: u32,
}

impl Replica {
    /// Memory that the ledger holds for it, in MB.
    ///
    /// A load in doubt keeps its peak: an engine may be loading although nobody has heard of it.
    pub fn held_mb(&self) -> u64 {
        match self.phase() {
            Phase::Wanted => 0,
            Phase::Loading => self.peak_mb.max(self.memory_mb),
            Phase::Ready | Phase::Unloading => self.memory_mb,
        }
    }
}

/// A cached copy of a model's weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cached {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The fastest tier that has it.
    #[prost(enumeration = "Tier", tag = "2")]
    pub tier: i32,
}

/// An endpoint: its memory ledger and what a caller's entry needs to reach it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointRow {
    /// Counts the side processes that have owned the endpoint; the fencing number.
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
    /// Requests run at once.
    #[prost(uint64, tag = "5")]
    pub slots: u64,
    /// The platform's name of the instance.
    #[prost(string, tag = "6")]
    pub instance: String,
    /// Whether the endpoint takes nothing new.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Decided replicas.
    #[prost(message, repeated, tag = "8")]
    pub replicas: Vec<Replica>,
}

/// What an endpoint has cached; a row of its own, as it is long and changes seldom.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CacheRow {
    /// Cached weights.
    #[prost(message, repeated, tag = "1")]
    pub cached: Vec<Cached>,
}

impl EndpointRow {
    /// Memory held by all replicas, in MB.
    pub fn held_mb(&self) -> u64 {
        self.replicas.iter().map(Replica::held_mb).sum()
    }

    /// Memory that all decided replicas will hold, in MB.
    pub fn promised_mb(&self) -> u64 {
        self.replicas.iter().map(|replica| replica.held_mb().max(replica.memory_mb)).sum()
    }

    /// The replica of `model`.
    pub fn replica(&self, model: &str) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.model == model)
    }
}

/// A model: on which endpoints replicas were decided, and what was learned of its traffic.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelRow {
    /// Names of the endpoints.
    #[prost(string, repeated, tag = "1")]
    pub holders: Vec<String>,
    /// Gaps between requests, by the logarithm of their length.
    #[prost(bytes = "vec", tag = "2")]
    pub gaps: Vec<u8>,
    /// Activity by hour of the day.
    #[prost(bytes = "vec", tag = "3")]
    pub hours: Vec<u8>,
    /// Loads that failed since the last that worked.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
}

/// A part of an organisation's share.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareRow {
    /// Memory taken, in MB.
    #[prost(uint64, tag = "1")]
    pub used_mb: u64,
    /// Memory lent by (positive) or to (negative) the other parts, in MB.
    #[prost(sint64, tag = "2")]
    pub balance_mb: i64,
}

/// The right to read from the weight store.
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
    /// The smaller goes first.
    #[prost(uint64, tag = "3")]
    pub urgency: u64,
    /// How often another went before it.
    #[prost(uint32, tag = "4")]
    pub passed: u32,
}

/// The weight store's permits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsRow {
    /// Permits given out.
    #[prost(message, repeated, tag = "1")]
    pub permits: Vec<Permit>,
    /// Loads that wait.
    #[prost(message, repeated, tag = "2")]
    pub waiters: Vec<Waiter>,
    /// Permits at once.
    #[prost(uint64, tag = "3")]
    pub loads_once: u64,
    /// Loads started a second.
    #[prost(uint64, tag = "4")]
    pub loads_second: u64,
}

/// An entry process.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// Where peers reach it.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Drawn at the start of the process.
    #[prost(uint64, tag = "3")]
    pub session: u64,
}

/// The version of the text in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeadRow {
    /// Counts accepted texts.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the text.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// The object that holds the whole text.
    #[prost(string, tag = "3")]
    pub object: String,
}

/// What one version changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeltaRow {
    /// The version that results.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the text that results.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// New or changed sections.
    #[prost(string, repeated, tag = "3")]
    pub changed: Vec<String>,
    /// Headers of dropped sections.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Whether the change was too large to carry: fetch the object.
    #[prost(bool, tag = "5")]
    pub whole: bool,
}

/// How far a claimed call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// It may run or have run.
    Open = 0,
    /// It ran, and its answer is kept.
    Answered = 1,
    /// It ran, and its answer was too large to keep.
    AnsweredLarge = 2,
}

/// The claim on a call that may run once.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRow {
    /// Who may send the call.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// How far it has come.
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
    pub content: u64,
    /// The answer's content type.
    #[prost(string, tag = "6")]
    pub content_type: String,
}

/// The kind of a row under [`FEED`], with the name it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind<'a> {
    /// [`HeadRow`].
    Head,
    /// [`WeightsRow`].
    Weights,
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

/// What `key` is the key of.
pub fn row_kind(key: &str) -> RowKind<'_> {
    if key == HEAD {
        return RowKind::Head;
    }
    if key == WEIGHTS {
        return RowKind::Weights;
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

/// Key of an [`EndpointRow`].
pub fn endpoint_key(name: &str) -> String {
    format!("{ENDPOINT}{name}")
}

/// Key of a [`CacheRow`].
pub fn cache_key(endpoint: &str) -> String {
    format!("{CACHE}{endpoint}")
}

/// Key of a [`ModelRow`].
pub fn model_key(name: &str) -> String {
    format!("{MODEL}{name}")
}

/// Key of a [`ShareRow`].
pub fn share_key(org: &str, bucket: u32) -> String {
    format!("{SHARE}{org}/{bucket}")
}

/// Key of a [`MemberRow`].
pub fn member_key(instance: &str) -> String {
    format!("{MEMBER}{instance}")
}

/// Key of the [`DeltaRow`] of `version`.
pub fn delta_key(version: u64) -> String {
    format!("{DELTA}{}", version % DELTA_RING)
}

/// Key of the [`ClaimRow`] of an organisation's idempotency key, by its hash.
pub fn claim_key(org: &str, hash: u64) -> String {
    format!("claim/{org}/{hash:016x}")
}

/// Decodes a row; an absent or unreadable one is `None`.
pub fn decode<M: Message + Default>(body: &Option<Vec<u8>>) -> Option<M> {
    body.as_ref().and_then(|bytes| M::decode(bytes.as_slice()).ok())
}

/// A phase's word in logs and dumps.
pub fn phase_word(phase: Phase) -> &'static str {
    match phase {
        Phase::Wanted => "wanted",
        Phase::Loading => "loading",
        Phase::Ready => "ready",
        Phase::Unloading => "unloading",
    }
}
