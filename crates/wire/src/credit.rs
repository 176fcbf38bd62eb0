//! Messages about limits on the use of all entries together: of organisations, and of endpoints.

use prost::Message;

/// An entry's report of what it has used and wants to use, to the side that issues credit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CreditReport {
    /// Number of the report; a reply to an older one is out of date.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of entries in the deployment, as far as the sender knows.
    #[prost(uint32, tag = "2")]
    pub entries: u32,
    /// Whether the entry has credit of another side, or none, and gets its first credit from this side.
    #[prost(bool, tag = "4")]
    pub first: bool,
    /// Use by limit.
    #[prost(message, repeated, tag = "3")]
    pub uses: Vec<LimitUse>,
}

/// An entry's use of one limit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LimitUse {
    /// Name of the organisation, or of the endpoint's instance if `endpoint` is set.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The limit that an endpoint has named; absent for an organisation.
    #[prost(message, optional, tag = "6")]
    pub endpoint: Option<EndpointLimit>,
    /// Units that requests have taken since the entry started, less those of requests that did not run.
    #[prost(int64, tag = "2")]
    pub used: i64,
    /// Units of credit that the entry still holds. It takes no more than these until the next reply.
    #[prost(uint64, tag = "3")]
    pub held: u64,
    /// Units of the requests that wait for credit at the entry.
    #[prost(uint64, tag = "4")]
    pub waiting: u64,
    /// Units that the entry wants to hold in addition, for requests to come.
    #[prost(uint64, tag = "5")]
    pub ahead: u64,
}

/// A side's reply to a [`CreditReport`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CreditReply {
    /// Number of the report.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Credit by limit.
    #[prost(message, repeated, tag = "2")]
    pub credits: Vec<Credit>,
}

/// What an entry may use of one limit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Credit {
    /// Name of the organisation, or of the endpoint's instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether `name` is that of an endpoint's instance.
    #[prost(bool, tag = "4")]
    pub endpoint: bool,
    /// Units that the entry holds from the report on, instead of those that it reported as held.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// Units a second that the entry may expect while it wants as much; thousandths for an endpoint.
    #[prost(uint64, tag = "3")]
    pub rate: u64,
}

/// A limit that an endpoint has named for the requests of all entries together.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointLimit {
    /// Name of the endpoint's instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Thousandths of a request a second; absent if the endpoint has lifted its limit.
    #[prost(uint64, optional, tag = "2")]
    pub milli: Option<u64>,
    /// Milliseconds since the endpoint said so.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}
