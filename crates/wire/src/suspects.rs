//! Messages about requests that may crash the endpoints that run them.

use prost::{Message, Oneof};

/// A message about suspects, between an entry and a side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectMessage {
    /// The message.
    #[prost(oneof = "SuspectKind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<SuspectKind>,
}

/// The messages that a [`SuspectMessage`] can carry.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum SuspectKind {
    /// What the sender knows about some suspects. Both directions; the first one from an entry also
    /// subscribes it, and the side answers with all that it knows.
    #[prost(message, tag = "1")]
    Update(SuspectUpdate),
    /// A request completed: the crashes on record under its caller are void. Both directions.
    #[prost(message, tag = "2")]
    Cleared(SuspectCleared),
    /// An entry asks for the exclusive right to run a suspect.
    #[prost(message, tag = "3")]
    TrialRequest(TrialRequest),
    /// A side's reply to the request.
    #[prost(message, tag = "4")]
    TrialReply(TrialReply),
    /// The run of a suspect has ended.
    #[prost(message, tag = "5")]
    TrialEnded(TrialEnded),
}

impl From<SuspectKind> for SuspectMessage {
    fn from(kind: SuspectKind) -> SuspectMessage {
        SuspectMessage { kind: Some(kind) }
    }
}

/// The records of some suspects. The receiver adds them to its own, in any order and any number of
/// times.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectUpdate {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<SuspectRecord>,
}

/// The record of one suspect: a request, or a part of prompts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectRecord {
    /// The request's digest, or the part's number in big-endian order; 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The crashes of endpoints that were running it.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashRecord>,
    /// Whether it is a part of prompts.
    #[prost(bool, tag = "3")]
    pub part: bool,
    /// Whether requests with the part had completed of late when its first crash came.
    #[prost(bool, tag = "4")]
    pub completed: bool,
}

/// A quarantined request in the platform store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuarantineRow {
    /// Its record.
    #[prost(message, optional, tag = "1")]
    pub record: Option<SuspectRecord>,
    /// When the row is void, in Unix seconds by the writer's clock.
    #[prost(fixed64, tag = "2")]
    pub expires_at: u64,
}

/// The crash of an endpoint that was running a suspect.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// Hash of the name and start time of the incarnation that crashed.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Hash of the caller's address; 0 if unknown, and for a part of prompts.
    #[prost(fixed64, tag = "2")]
    pub caller: u64,
    /// Whether the request ran there as a trial.
    #[prost(bool, tag = "3")]
    pub trial: bool,
    /// Whether the crash shows that the request is the cause.
    #[prost(bool, tag = "4")]
    pub conclusive: bool,
    /// Milliseconds from the start of the response to the crash; 0 if no response had started.
    #[prost(uint32, tag = "5")]
    pub responding_ms: u32,
    /// Of a part of prompts: 64 bits of the digest of a request with it that was running there.
    #[prost(fixed64, tag = "6")]
    pub request: u64,
}

/// A request that completed, or a part of prompts with which one completed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectCleared {
    /// The request's digest, or the part's number in big-endian order; 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Hash of the caller's address; 0 if unknown, and for a part of prompts.
    #[prost(fixed64, tag = "2")]
    pub caller: u64,
    /// Whether it is a part of prompts.
    #[prost(bool, tag = "3")]
    pub part: bool,
}

/// Asks for the exclusive right to run a suspect.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TrialRequest {
    /// The request's digest, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Instances that can run it, the preferred one first.
    #[prost(string, repeated, tag = "2")]
    pub instances: Vec<String>,
    /// Parts of its prompt that are suspects themselves, in 16 bytes each: no other request with one of
    /// them is to run as a trial meanwhile.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub parts: Vec<Vec<u8>>,
}

/// The reply to a [`TrialRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TrialReply {
    /// The request's digest, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The instance that may run it; empty if none may at present.
    #[prost(string, tag = "2")]
    pub instance: String,
}

/// The run of a suspect has ended, or only its exclusive use of an instance.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TrialEnded {
    /// The request's digest, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Whether the request still runs, but has run long enough for others to start beside it.
    #[prost(bool, tag = "2")]
    pub running: bool,
}
