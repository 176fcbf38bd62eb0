//! The frames.
//!
//! The messages are written by hand with `prost`'s derive, so that no generator is needed.

use prost::{Message, Oneof};

/// The first frame of each side of a connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Drawn for this connection.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
    /// The process's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Drawn at the start of the process.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// 1 for an entry, 2 for a side, 3 for an operator's client.
    #[prost(uint32, tag = "4")]
    pub role: u32,
}

/// Proves that the sender knows the secret.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// A keyed hash over both greetings.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// Asks for a [`Pong`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ping {}

/// Shows that the connection lives.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Pong {
    /// The sender's monotonic clock, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub clock: u64,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Offers a call to a side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Call {
    /// The entry's number for this sending.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The side process that is meant.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// When it expires, on that process's clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub expires: u64,
    /// The model's name; empty for a plain service.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The organisation's name.
    #[prost(string, tag = "5")]
    pub org: String,
    /// 0 urgent, 1 normal, 2 batch.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// The HTTP method.
    #[prost(string, tag = "7")]
    pub verb: String,
    /// The path and query at the endpoint.
    #[prost(string, tag = "8")]
    pub path: String,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// The body, if it is small; else it follows in [`Body`] frames once the call is accepted.
    #[prost(bytes = "vec", optional, tag = "10")]
    pub body: Option<Vec<u8>>,
    /// The body's length, if it is known and follows.
    #[prost(uint64, optional, tag = "11")]
    pub length: Option<u64>,
}

/// The side runs the call.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The side does not run the call and never will.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Declined {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The reason's number.
    #[prost(uint32, tag = "2")]
    pub why: u32,
    /// Calls that the side runs.
    #[prost(uint32, tag = "3")]
    pub load: u32,
}

/// A part of a request's body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Body {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Counts the parts from 0.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
    /// Whether it is the last.
    #[prost(bool, tag = "4")]
    pub last: bool,
}

/// The endpoint has taken parts of the body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BodyAck {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Parts taken.
    #[prost(uint64, tag = "2")]
    pub taken: u64,
}

/// The head of an answer; part 0 of its stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
}

/// A part of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Part {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Counts the parts; the head is 0.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: bytes::Bytes,
}

/// The entry has taken parts of the answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartAck {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The part up to which all were taken.
    #[prost(uint64, tag = "2")]
    pub taken: u64,
}

/// The definite end of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct End {
    /// Which call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The end's own place in the stream.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the endpoint's answer was whole.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// Calls that the side runs.
    #[prost(uint32, tag = "4")]
    pub load: u32,
}

/// Cancels a call, whether it has come or not.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// When it expires, on the side's clock.
    #[prost(uint64, tag = "2")]
    pub expires: u64,
    /// The side process that is meant.
    #[prost(uint64, tag = "3")]
    pub session: u64,
}

/// What became of a cancelled call.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancelled {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0 it did not run and will not, 1 it had begun, 2 unknown.
    #[prost(uint32, tag = "2")]
    pub answer: u32,
}

/// Asks on a fresh connection what became of a call, and for the rest of its answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The first part that is missing.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// When the call expires, on the side's clock.
    #[prost(uint64, tag = "3")]
    pub expires: u64,
    /// The side process that was sent the call.
    #[prost(uint64, tag = "4")]
    pub session: u64,
}

/// Tells a model's home of requests.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Demand {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Requests that wait; 0 for a report of use.
    #[prost(uint64, tag = "2")]
    pub waiting: u64,
    /// Milliseconds until the first deadline.
    #[prost(uint64, tag = "3")]
    pub slack_ms: u64,
    /// 0 urgent, 1 normal, 2 batch.
    #[prost(uint32, tag = "4")]
    pub class: u32,
    /// The entry's address.
    #[prost(string, tag = "5")]
    pub from: String,
}

/// What a model's home says to a demand.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Verdict {
    /// The model's name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// 0 the share is used, 1 the pool is full, 2 the model was removed, 3 the demand was heard and
    /// is being decided on.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
}

/// The side's row has changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Poke {
    /// The entry's address, to which the side's new row is handed.
    #[prost(string, tag = "1")]
    pub from: String,
}

/// Asks for rows of the feed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedPull {
    /// Names the question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The sequence that is known.
    #[prost(uint64, tag = "2")]
    pub since: u64,
}

/// A row of the feed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedRow {
    /// The row's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its bytes, if it exists.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}

/// Rows of the feed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FeedRows {
    /// The question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<FeedRow>,
    /// The sequence up to which they are complete.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Milliseconds since the table confirmed it.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Asks for the whole text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextPull {
    /// The version that is wanted.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The whole text, if the sender has the version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextReply {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The text; absent if the sender has another version.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
}

/// Asks for the process's state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Dump {}

/// The process's state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DumpReply {
    /// The state as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// One frame.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// What it is.
    #[prost(
        oneof = "frame::Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub kind: Option<frame::Kind>,
}

macro_rules! kinds {
    ($($(#[$meta:meta])* $name:ident = $tag:literal,)*) => {
        /// The kinds of frames.
        pub mod frame {
            use super::Oneof;

            /// What a frame is.
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
    Head = "10",
    Part = "11",
    PartAck = "12",
    End = "13",
    Cancel = "14",
    Cancelled = "15",
    Resume = "16",
    Demand = "17",
    Verdict = "18",
    Poke = "19",
    FeedPull = "20",
    FeedRows = "21",
    TextPull = "22",
    TextReply = "23",
    Dump = "24",
    DumpReply = "25",
}
