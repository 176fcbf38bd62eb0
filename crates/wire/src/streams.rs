//! Messages about the software versions at which streams began.

use prost::{Message, Oneof};

/// A message about streams, between an entry and a side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamMessage {
    /// The message.
    #[prost(oneof = "StreamKind", tags = "1, 2, 3, 4")]
    pub kind: Option<StreamKind>,
}

/// The messages that a [`StreamMessage`] can carry.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum StreamKind {
    /// An entry tells at which software versions streams have begun.
    #[prost(message, tag = "1")]
    Begun(StreamsBegun),
    /// An entry asks at which version a stream began.
    #[prost(message, tag = "2")]
    Query(StreamQuery),
    /// A side's reply to the query.
    #[prost(message, tag = "3")]
    Reply(StreamReply),
    /// An entry tells in which services several versions have served of late.
    #[prost(message, tag = "4")]
    Mixed(VersionsMixed),
}

impl From<StreamKind> for StreamMessage {
    fn from(kind: StreamKind) -> StreamMessage {
        StreamMessage { kind: Some(kind) }
    }
}

/// Streams that have begun.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamsBegun {
    /// The streams.
    #[prost(message, repeated, tag = "1")]
    pub streams: Vec<StreamOrigin>,
}

/// Where a stream has begun.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StreamOrigin {
    /// Hash of the ID of the caller's attempt that began it.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the service and of the software version of the endpoint.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
}

/// Services in which several software versions have served of late.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VersionsMixed {
    /// Hashes of their names.
    #[prost(fixed64, repeated, tag = "1")]
    pub services: Vec<u64>,
}

/// Asks at which software version a stream began.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StreamQuery {
    /// Hash of the ID of the caller's attempt that began it.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Whether the caller does not name that attempt, so that no side can know the stream.
    #[prost(bool, tag = "2")]
    pub unnamed: bool,
    /// Hash of the name of its service.
    #[prost(fixed64, tag = "3")]
    pub service: u64,
}

/// The reply to a query.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StreamReply {
    /// The stream in question.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the service and of the software version; `None` if the side knows of no such stream.
    #[prost(fixed64, optional, tag = "2")]
    pub software: Option<u64>,
    /// Milliseconds for which the side has kept all that it was told of streams; for an unnamed stream,
    /// milliseconds for which it was told of none.
    #[prost(uint64, tag = "3")]
    pub memory_ms: u64,
    /// Milliseconds for which no entry has told the side that several versions serve in the service.
    #[prost(uint64, tag = "4")]
    pub alone_ms: u64,
}
