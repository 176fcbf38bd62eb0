//! Messages about shares of organisations in the room of a service, over all entries.

use prost::{Message, Oneof};

/// A message about shares, in either direction.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareMessage {
    /// The message.
    #[prost(oneof = "ShareKind", tags = "1, 2")]
    pub kind: Option<ShareKind>,
}

/// The messages that a [`ShareMessage`] can carry.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum ShareKind {
    /// An entry reports what organisations ask for.
    #[prost(message, tag = "1")]
    Report(ShareReport),
    /// A side's reply to the report.
    #[prost(message, tag = "2")]
    Reply(ShareReply),
}

impl From<ShareKind> for ShareMessage {
    fn from(kind: ShareKind) -> ShareMessage {
        ShareMessage { kind: Some(kind) }
    }
}

/// An entry's report of what organisations ask for, to the side that divides the room.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareReport {
    /// Number of the report; an older one is out of date.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Demand by service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceDemand>,
}

/// What arrives at one entry for one service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceDemand {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Thousandths of a request a second that all its endpoints together serve, as the entry estimates; 0
    /// if it does not know.
    #[prost(uint64, tag = "2")]
    pub capacity_milli: u64,
    /// Whether the service was short of room at the entry of late.
    #[prost(bool, tag = "3")]
    pub short: bool,
    /// The organisations with the most arrivals.
    #[prost(message, repeated, tag = "4")]
    pub organisations: Vec<OrganisationDemand>,
    /// Thousandths of an arrival a second of all other callers, which are never over their share.
    #[prost(uint64, tag = "5")]
    pub rest_milli: u64,
    /// Number of organisations under `rest_milli`.
    #[prost(uint32, tag = "6")]
    pub rest_count: u32,
}

/// Arrivals of one organisation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrganisationDemand {
    /// The organisation's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Thousandths of an arrival a second.
    #[prost(uint64, tag = "2")]
    pub rate_milli: u64,
}

/// A side's reply to a [`ShareReport`]. It replaces all earlier ones.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareReply {
    /// Number of the report.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The services that are short of room at any entry.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceShares>,
}

/// The organisations over their share of one service that is short of room.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceShares {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The organisations.
    #[prost(message, repeated, tag = "2")]
    pub over: Vec<OverShare>,
}

/// An organisation over its share.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OverShare {
    /// The organisation's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Part of its requests that is within its share, in thousandths.
    #[prost(uint32, tag = "2")]
    pub within_milli: u32,
}
