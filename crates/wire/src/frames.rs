//! Messages that a frame can carry.
//!
//! They are written by hand with `prost`'s derive, so that no code generator is needed.

use prost::{Message, Oneof};

/// The first frame that each end of a connection sends.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Random bytes, generated for this connection.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
    /// The name of the process.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Random number, generated when the process starts.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// The role of the process: 1 entry, 2 side, 3 operator's client.
    #[prost(uint32, tag = "4")]
    pub role: u32,
}

/// Proves that the sender knows the secret.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// HMAC over the sender's direction and both [`Hello`] messages.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// Asks for a [`Pong`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ping {}

/// The reply to a [`Ping`]; shows that the connection works.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Pong {
    /// The sender's monotonic clock, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub clock: u64,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// The header name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The header value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Offers a call to a side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Call {
    /// The entry's number for this attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The session of the addressed side process.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// The deadline on that process's clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub expires: u64,
    /// The model's name; empty for a plain service.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The organisation's name.
    #[prost(string, tag = "5")]
    pub org: String,
    /// The priority: 0 urgent, 1 normal, 2 batch.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// The HTTP method.
    #[prost(string, tag = "7")]
    pub verb: String,
    /// The path and query to request from the endpoint.
    #[prost(string, tag = "8")]
    pub path: String,
    /// Headers to forward.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// The body if it is small; a larger one follows in [`Body`] frames once the call is accepted.
    #[prost(bytes = "vec", optional, tag = "10")]
    pub body: Option<Vec<u8>>,
    /// The length of a body that follows, if known.
    #[prost(uint64, optional, tag = "11")]
    pub length: Option<u64>,
}

/// Accepts a call: the side runs it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Declines a call: the side does not run it and will not run it later.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Declined {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The number of the reason.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// Number of calls running on the side.
    #[prost(uint32, tag = "3")]
    pub active_calls: u32,
}

/// A part of a request body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Body {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Index of the part, from 0.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
    /// Whether this is the last part.
    #[prost(bool, tag = "4")]
    pub last: bool,
}

/// Acknowledges parts of a request body that were written to the endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BodyAck {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of parts written.
    #[prost(uint64, tag = "2")]
    pub taken: u64,
}

/// Status and headers of a response; part 0 of its stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseHead {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers to forward.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
}

/// A part of a response body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponsePart {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Index of the part; the head has index 0.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
}

/// Acknowledges parts of a response that the entry has received.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseAck {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of parts received; the head and the end frame count as parts.
    #[prost(uint64, tag = "2")]
    pub taken: u64,
}

/// The final end of a response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseEnd {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Index of this frame in the stream.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the endpoint's response was complete.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Number of calls running on the side.
    #[prost(uint32, tag = "4")]
    pub active_calls: u32,
}

/// Cancels a call, even if the call has not arrived yet.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The call's deadline on the side's clock, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub expires: u64,
    /// The session of the addressed side process.
    #[prost(uint64, tag = "3")]
    pub session: u64,
}

/// The outcome of a cancellation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancelled {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0 the call did not run and will not, 1 it had started, 2 unknown.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
}

/// Asks on a new connection for the status of a call and for the rest of its response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// The call's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Index of the first missing part.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// The call's deadline on the side's clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub expires: u64,
    /// The session of the side process to which the call was sent.
    #[prost(uint64, tag = "4")]
    pub session: u64,
}

/// Reports requests for a model to its coordinator.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Demand {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Number of waiting requests; 0 if the message only reports use of the model.
    #[prost(uint64, tag = "2")]
    pub waiting: u64,
    /// Milliseconds until the earliest deadline.
    #[prost(uint64, tag = "3")]
    pub slack_ms: u64,
    /// The priority: 0 urgent, 1 normal, 2 batch.
    #[prost(uint32, tag = "4")]
    pub class: u32,
    /// The address of the sending entry.
    #[prost(string, tag = "5")]
    pub from: String,
}

/// The coordinator's reply to a [`Demand`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DemandReply {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// 0 the organisation's share is used up, 1 the pool is full, 2 the model was removed, 3 the
    /// demand was received and the decision is pending.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
}

/// Notifies a side that its row has changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RowChanged {
    /// The address of the entry, to which the side sends its new row.
    #[prost(string, tag = "1")]
    pub reply_to: String,
}

/// Requests rows of the change feed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedPull {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The sequence up to which the requester knows the feed.
    #[prost(uint64, tag = "2")]
    pub since: u64,
}

/// A row of the change feed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedRow {
    /// The row's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The row's version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The row's contents; absent if the row does not exist.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}

/// Rows of the change feed: the reply to a [`FeedPull`], or a notification that was not requested.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedRows {
    /// The id of the request; 0 for a notification.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<FeedRow>,
    /// The sequence up to which the rows are complete.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Milliseconds since the platform table confirmed this sequence.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Requests the whole configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// The requested version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The whole configuration, if the sender has the requested version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigReply {
    /// The requested version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The configuration; absent if the sender has a different version.
    #[prost(string, optional, tag = "2")]
    pub config: Option<String>,
}

/// Requests a dump of the process state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Dump {}

/// The reply to a [`Dump`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DumpReply {
    /// The state as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// One frame.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// The message.
    #[prost(
        oneof = "frame::Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub kind: Option<frame::Kind>,
}

macro_rules! kinds {
    ($($(#[$meta:meta])* $name:ident = $tag:literal,)*) => {
        /// The kinds of frame.
        pub mod frame {
            use super::Oneof;

            /// The message of a frame.
            #[derive(Clone, PartialEq, Eq, Oneof)]
            pub enum Kind {
                $(
                    #[doc = concat!("[`super::", stringify!($name), "`].")]
                    #[prost(message, tag = $tag)]
                    $name(super::$name),
                )*
            }
        }

        $(
            impl From<$name> for Frame {
                fn from(message: $name) -> Frame {
                    Frame { kind: Some(frame::Kind::$name(message)) }
                }
            }
        )*
    };
}

kinds! {
    Hello = "1",
    Proof = "2",
    Ping = "3",
    Pong = "4",
    Call = "5",
    Accepted = "6",
    Declined = "7",
    Body = "8",
    BodyAck = "9",
    ResponseHead = "10",
    ResponsePart = "11",
    ResponseAck = "12",
    ResponseEnd = "13",
    Cancel = "14",
    Cancelled = "15",
    Resume = "16",
    Demand = "17",
    DemandReply = "18",
    RowChanged = "19",
    FeedPull = "20",
    FeedRows = "21",
    ConfigRequest = "22",
    ConfigReply = "23",
    Dump = "24",
    DumpReply = "25",
}
