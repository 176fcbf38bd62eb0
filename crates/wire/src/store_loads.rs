//! Messages about loads from the weight store, which one side permits for all entries.

use prost::{Message, Oneof};

/// A message about loads from the weight store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreLoadMessage {
    /// The message.
    #[prost(oneof = "StoreLoadKind", tags = "1, 2")]
    pub kind: Option<StoreLoadKind>,
}

/// The messages that a [`StoreLoadMessage`] can carry.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum StoreLoadKind {
    /// An entry reports which loads it wants and which are in progress.
    #[prost(message, tag = "1")]
    Report(StoreLoadReport),
    /// A side's reply to the report, or grants after it.
    #[prost(message, tag = "2")]
    Reply(StoreLoadReply),
}

/// An entry's report to the side that queues loads from the weight store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreLoadReport {
    /// Number of the report; the receiver ignores one that is not newer than the last.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Models to be loaded.
    #[prost(message, repeated, tag = "2")]
    pub wanted: Vec<StoreWant>,
    /// Loads in progress or planned, according to the sides' reports.
    #[prost(message, repeated, tag = "3")]
    pub seen: Vec<StoreLoadSeen>,
    /// Concurrent loads that the store carries at full speed, as far as the entry knows.
    #[prost(uint32, tag = "4")]
    pub limit: u32,
    /// Numbers of recent grants that the entry could not use.
    #[prost(uint64, repeated, tag = "5")]
    pub declined: Vec<u64>,
}

/// A model that an entry wants to be loaded from the weight store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreWant {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// 0: no endpoint has the model; 1: its replicas are too few; 2: its cached copies are too few.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Requests that wait for the model at the entry.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Requests a second that the entry refuses because the model is missing, in thousandths.
    #[prost(uint32, tag = "4")]
    pub refused_milli: u32,
    /// Milliseconds that the load saves callers; only for ranks above 0.
    #[prost(uint32, tag = "5")]
    pub gain_ms: u32,
    /// Usual milliseconds of the load.
    #[prost(uint64, tag = "6")]
    pub load_ms: u64,
}

/// A load from the weight store that is in progress or planned at an endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreLoadSeen {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The instance that loads it.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Time spent so far in thousandths of the usual time; 0 while the load is not overdue.
    #[prost(uint32, tag = "3")]
    pub late_milli: u32,
    /// Concurrent loads when it was requested, including itself; 0 if unknown.
    #[prost(uint32, tag = "4")]
    pub concurrent: u32,
    /// Usual milliseconds of the load.
    #[prost(uint64, tag = "5")]
    pub load_ms: u64,
}

/// A side's reply to a [`StoreLoadReport`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreLoadReply {
    /// Number of the entry's last report.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// New grants.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<StoreLoadGrant>,
}

/// Permission for one load from the weight store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreLoadGrant {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Number of the grant, unique within the granting side's life.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Milliseconds, from when the entry sent the report that the reply names, in which it may begin the load.
    #[prost(uint64, tag = "3")]
    pub lease_ms: u64,
    /// Instances at which a load of the model does not end.
    #[prost(string, repeated, tag = "4")]
    pub avoid: Vec<String>,
    /// Loads in progress, without this one.
    #[prost(uint32, tag = "5")]
    pub under_way: u32,
}
