//! Events, effects and basic types of the entry's state machine.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use citronrill_decide::LogEvent;
use citronrill_wire::{
    CreditReply, CreditReport, LoadRequest, ModelName, ShareMessage, SideState, StoreLoadMessage,
    StoreLoadReport, StreamMessage, SuspectMessage, SuspectRecord, SuspectUpdate, UsageReport,
};

use super::crashes::EndpointCheck;
use crate::{
    config::ServingConfig,
    digest::RequestDigest,
    limits::{EndpointRate, LimitBounds},
    member::MemberChange,
    organisation::KeyDigest,
    prompt::PromptPart,
    server_load::ServerLoad,
};

/// Identifies a request within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Settings that do not change while an entry runs.
#[derive(Debug, Clone)]
pub struct EntryProfile {
    /// The entry's availability zone.
    pub zone: String,
    /// A number unique to the entry, by which entries take turns.
    pub seed: u64,
    /// Permitted retries, as a share of requests.
    pub retry_ratio: f64,
    /// Permitted retries in addition, over all entries.
    pub retry_slack: f64,
    /// The sliding window to which both retry limits apply, in milliseconds.
    pub retry_window_ms: u64,
    /// By how much organisations' limits may be exceeded.
    pub limits: LimitBounds,
    /// Maximum milliseconds for which requests wait after a start, until the sides have told which
    /// requests crash endpoints.
    pub learn_ms: u64,
    /// Whether the whole system starts for the first time: no stream has begun before.
    pub first_start: bool,
    /// Whether the settings say that organisations compete for room.
    pub contended: bool,
}

/// A request that was received completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The ID assigned by this process.
    pub id: RequestId,
    /// The ID assigned by the caller, for logs.
    pub caller_id: String,
    /// The IP address that the request came from, if known.
    pub caller: Option<IpAddr>,
    /// Identifies the request when the caller sends it again.
    pub digest: RequestDigest,
    /// The requested host.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The model, and an adapter after a slash; empty for a plain service.
    pub model: String,
    /// A hash of the most widely shared part of the prompt; 0 if there is none.
    pub prefix_hash: u64,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Length in tokens, as declared by the caller.
    pub tokens: TokenCount,
    /// Whether the caller reconnects to a stream of which it has events.
    pub reconnects: bool,
    /// ID of the caller's attempt that began this stream, if named.
    pub first_attempt: Option<String>,
    /// Digest of the caller's API key, if it sent one.
    pub key: Option<KeyDigest>,
}

/// Length of a request in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenCount {
    /// Tokens of the prompt; 0 if unknown.
    pub prompt: u32,
    /// Maximum tokens of the response; 0 if unknown.
    pub answer: u32,
}

/// Head of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// Whether the endpoint states that the request has not run.
    pub not_run: bool,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the response names another request, or none although one was required.
    pub misdirected: bool,
    /// Whether the response comes from another incarnation of the endpoint than the intended one.
    pub other_incarnation: bool,
    /// The endpoint's load, if stated.
    pub load: Option<ServerLoad>,
    /// Requests a second that the endpoint takes from all entries together, if it names a limit.
    pub rate: Option<EndpointRate>,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// Milliseconds for which the endpoint wants no request of this entry, if it turned the request away
    /// and says so.
    pub backoff_ms: Option<u64>,
}

/// Status of a response to a request that was meant for another endpoint, or for a model that is not there.
const MISDIRECTED_STATUS: u16 = 421;

impl ResponseHead {
    /// Returns whether the endpoint turned the request away as not meant for it.
    pub(super) fn is_rejected(&self) -> bool {
        self.status == MISDIRECTED_STATUS
    }

    /// Returns whether the response may come from another endpoint than the intended one, or belong to another
    /// request. Whatever listens at the address by now may have sent status 421.
    pub(super) fn is_foreign(&self) -> bool {
        self.other_incarnation || self.misdirected || self.is_rejected()
    }

    /// Returns whether the status means that the request was served.
    pub fn success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// How a dispatch failed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection was made: the request has not run.
    Unreachable,
    /// The connection broke after bytes may have been sent: the request may run.
    Broken,
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It was forwarded completely.
    Complete,
    /// The endpoint broke it off.
    Broken,
    /// This entry aborted it.
    Aborted,
}

/// The body of a response that has ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedBody {
    /// An event stream, which ended between two events; carries the last one delivered to the caller.
    Events(Option<u64>),
    /// Anything else.
    Plain,
}

/// How the connection to a side was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SideLoss {
    /// The peer closed it or refuses new ones: the side has ended, but its instance runs.
    Closed,
    /// Nothing was received for too long.
    Silent,
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A configuration was received from the platform store or a peer.
    Config(Arc<ServingConfig>),
    /// Whether the platform store has confirmed that the active configuration is the newest.
    ConfigCurrent(bool),
    /// The member list has changed.
    Members(MemberChange),
    /// A side reported its state; the address is its endpoint's.
    SideReport(SocketAddr, SideState),
    /// The side of the endpoint at this address replied to a probe.
    ProbeReply(SocketAddr),
    /// The connection to the side of the endpoint at this address was lost.
    SideLost(SocketAddr, SideLoss),
    /// The side of the endpoint at this address declined a load request.
    LoadDeclined(SocketAddr, ModelName),
    /// The side of the endpoint at this address sent a message about suspects.
    Suspects(SocketAddr, SuspectMessage),
    /// The side of the endpoint at this address replied to a report on limits.
    Credit(SocketAddr, CreditReply),
    /// The side of the endpoint at this address sent a message about loads from the weight store.
    StoreLoads(SocketAddr, StoreLoadMessage),
    /// The side of the endpoint at this address sent a message about streams.
    Streams(SocketAddr, StreamMessage),
    /// The side of the endpoint at this address sent a message about shares.
    Shares(SocketAddr, ShareMessage),
    /// The quarantined requests were read from the platform store.
    QuarantineRead(SuspectUpdate),
    /// The endpoint at this address was checked.
    EndpointChecked(SocketAddr, EndpointCheck),
    /// A request was received.
    RequestArrived(Arrival),
    /// An endpoint started to respond to the dispatch with this number.
    ResponseHead(RequestId, u32, ResponseHead),
    /// The dispatch with this number failed before a response.
    DispatchFailed(RequestId, u32, FailureKind),
    /// The responses of these requests have made progress.
    Progress(Vec<RequestId>),
    /// The response has ended.
    ResponseEnded(RequestId, ResponseEnd),
    /// The endpoint broke off a stream; carries the last event delivered to the caller, if any.
    StreamBroken(RequestId, Option<u64>),
    /// A response has ended with its connection, which alone does not show whether it is whole.
    EndUnproven(RequestId, EndedBody),
    /// The caller has disconnected.
    CallerLeft(RequestId),
    /// A planned stop has begun: no request waits for longer than the first number of milliseconds
    /// from now, and none is without a response after the second.
    Stop(u64, u64),
    /// A timer has fired while other events were being processed: only urgent deadlines are
    /// checked.
    UrgentTick,
    /// A timer has fired.
    Tick,
}

/// One dispatch of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Number of the dispatch within the request, from 1.
    pub number: u32,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// The intended instance.
    pub instance: String,
    /// The organisation that the request belongs to; `None` if its route needs no key.
    pub organisation: Option<Arc<str>>,
    /// Milliseconds until the request's deadline.
    pub remaining_ms: u64,
    /// Priority in the endpoint's queue, 0 first.
    pub urgency: u8,
    /// Where the endpoint is to copy the run's KV cache.
    pub backup: Option<SocketAddr>,
    /// Set when a response that has started, or a run that broke off, is resumed.
    pub resume: Option<Resume>,
}

/// How a run that broke off at another endpoint is resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resume {
    /// The last event delivered to the caller; `None` if there was none.
    pub last_event: Option<u64>,
    /// Whether the endpoint has a copy of the run's KV cache; it must then resume from the copy or
    /// not run at all.
    pub copy: bool,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The caller's API key is missing, or no organisation holds it.
    UnknownKey,
    /// The service does not have the model.
    NoModel,
    /// No route, model or key matches, but the configuration may be out of date.
    StaleConfig,
    /// No endpoint can run it.
    NoEndpoint,
    /// Every endpoint that could run it is full.
    Full,
    /// The model cannot be ready in time.
    TooLate,
    /// Its deadline has passed and it has not run.
    Expired,
    /// The entry is stopping, and it has not run.
    Stopping,
    /// Its deadline has passed and it may have run.
    TimedOut,
    /// The endpoint failed it, and it may have run.
    Broken,
    /// It crashes the endpoints that run it.
    Quarantined,
    /// It reconnects to a stream that began at a software version that is not known.
    VersionUnknown,
    /// It reconnects to a stream that began at a software version of which no endpoint can run it.
    VersionGone,
    /// Its organisation is over its limit.
    OverLimit,
    /// Whether its organisation is over its limit is unknown.
    LimitUnknown,
    /// Every endpoint that could run it has got what it takes, by the limit that it names.
    EndpointLimit,
    /// Every endpoint that could run it wants no requests for a while.
    Backoff,
}

impl Reason {
    /// Returns the fixed name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoConfig => "no_text",
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::NoModel => "no_model",
            Reason::StaleConfig => "old_text",
            Reason::NoEndpoint => "no_endpoint",
            Reason::Full => "full",
            Reason::TooLate => "too_far",
            Reason::Expired => "expired",
            Reason::Stopping => "stopping",
            Reason::TimedOut => "timed_out",
            Reason::Broken => "broken",
            Reason::Quarantined => "quarantined",
            Reason::VersionUnknown => "version_unknown",
            Reason::VersionGone => "version_gone",
            Reason::OverLimit => "over_limit",
            Reason::LimitUnknown => "limit_unknown",
            Reason::EndpointLimit => "endpoint_limit",
            Reason::Backoff => "endpoint_backoff",
        }
    }

    /// Returns the HTTP status.
    ///
    /// 503 guarantees that the request has not run and never will; 502 and 504 guarantee nothing.
    pub fn status(self) -> u16 {
        match self {
            Reason::NoRoute | Reason::NoModel => 404,
            Reason::UnknownKey => 401,
            Reason::OverLimit => 429,
            Reason::NoConfig
            | Reason::StaleConfig
            | Reason::NoEndpoint
            | Reason::Full
            | Reason::TooLate
            | Reason::Stopping
            | Reason::Quarantined
            | Reason::VersionUnknown
            | Reason::VersionGone
            | Reason::LimitUnknown
            | Reason::EndpointLimit
            | Reason::Backoff
            | Reason::Expired => 503,
            Reason::TimedOut => 504,
            Reason::Broken => 502,
        }
    }
}

/// A final response generated by the entry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Milliseconds after which the caller may retry.
    pub retry_ms: Option<u64>,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEffect {
    /// Dispatch the request.
    Dispatch(RequestId, Dispatch),
    /// Forward the endpoint's response to the caller.
    Forward(RequestId),
    /// Refuse the request with a response of the entry's own.
    Refuse(RequestId, Refusal),
    /// End a response: what was forwarded is complete.
    Finish(RequestId),
    /// Cut off a response that is being forwarded and cannot be completed.
    Abort(RequestId),
    /// Disconnect from the responding endpoint, as if it had broken off the stream.
    Disconnect(RequestId),
    /// Send a liveness probe to the side of the endpoint at this address.
    Probe(SocketAddr),
    /// Send a load request to the side of the endpoint at this address.
    LoadRequest(SocketAddr, LoadRequest),
    /// Report the use or miss of a model to the side of the endpoint at this address.
    ReportUsage(SocketAddr, UsageReport),
    /// Send a message about suspects to the side of the endpoint at this address.
    Suspects(SocketAddr, SuspectMessage),
    /// Send a message about streams to the side of the endpoint at this address.
    Streams(SocketAddr, StreamMessage),
    /// Send a report on limits to the side of the endpoint at this address.
    CreditReport(SocketAddr, CreditReport),
    /// Send a report on loads from the weight store to the side of the endpoint at this address.
    StoreLoads(SocketAddr, StoreLoadReport),
    /// Send a message about shares to the side of the endpoint at this address.
    Shares(SocketAddr, ShareMessage),
    /// Write a quarantined request to the platform store.
    SaveQuarantined(SuspectRecord),
    /// Check whether the process of the endpoint at this address accepts connections.
    CheckEndpoint(SocketAddr),
    /// Keep connections to the sides of these endpoints, and to no others.
    ConnectSides(Vec<SocketAddr>),
    /// Write a log line.
    Log(LogEvent),
}

/// What to do with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to the caller.
    Forward,
    /// The request has not run: it may be retried whatever its kind.
    NotRun,
    /// The response must not be forwarded, and the request may have run.
    Failed,
}
