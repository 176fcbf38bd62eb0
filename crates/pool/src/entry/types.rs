//! Events, effects and small types of the entry's reducer.

use std::{net::SocketAddr, sync::Arc};

use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, SideState, Usage, Want};

use crate::{member::MemberChange, text::ServingText};

/// Names one request of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What does not change while an entry runs.
#[derive(Debug, Clone)]
pub struct EntryProfile {
    /// The entry's availability zone.
    pub zone: String,
    /// A number of its own, by which entries take turns.
    pub seed: u64,
    /// Second sends allowed, as a share of requests.
    pub retry_ratio: f64,
    /// Second sends allowed besides, over all entries.
    pub retry_slack: f64,
    /// The window of both, in milliseconds.
    pub retry_window_ms: u64,
}

/// A request that was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The name that this process gave it.
    pub id: RequestId,
    /// The name that its caller gave it, for logs.
    pub caller: String,
    /// The host that the caller named.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The model, and an adapter after a slash; empty for a plain service.
    pub model: String,
    /// A hash of the part of the prompt that is shared most widely; 0 if there is none.
    pub prefix: u64,
    /// How long it is, as its caller tells.
    pub tokens: TokenCount,
}

/// How long a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenCount {
    /// Tokens of the prompt; 0 if they are not told.
    pub prompt: u32,
    /// Tokens of the longest answer that its caller takes; 0 if they are not told.
    pub answer: u32,
}

/// The head of an endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// Whether the endpoint says that the request has not run.
    pub not_run: bool,
    /// Whether the answer bears the endpoint's signature.
    pub signed: bool,
    /// Whether the answer names another request, or none though one was due.
    pub foreign: bool,
    /// Whether another start of an endpoint answered than the one that was meant.
    pub elsewhere: bool,
    /// Requests that run and wait there, if told.
    pub load: Option<u32>,
}

impl AnswerHead {
    /// Whether the status says that the request was served.
    pub fn success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// How a sending failed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection was made: the request has not run.
    Unreached,
    /// The connection broke after bytes may have been sent: the request may run.
    Broken,
}

/// How the connection to a side was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SideLoss {
    /// The other end closed it, or takes none: the side has ended, and its instance runs.
    Closed,
    /// Nothing came for too long.
    Silent,
}

/// What happens at an entry.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A text was read, from the platform or a peer.
    Text(Arc<ServingText>),
    /// Whether the store answers for its text, so that the one in force is known to be the newest.
    TextCurrent(bool),
    /// The list of instances has changed.
    Members(MemberChange),
    /// A side spoke; the address is its endpoint's.
    Side(SocketAddr, SideState),
    /// The side beside the endpoint at this address answered a probe.
    Alive(SocketAddr),
    /// The connection to the side beside the endpoint at this address is lost.
    SideLost(SocketAddr, SideLoss),
    /// The side beside the endpoint at this address will not fetch what was asked for.
    Declined(SocketAddr, ModelName),
    /// A request was read.
    Arrive(Arrival),
    /// An endpoint began to answer the sending of this number.
    Answer(RequestId, u32, AnswerHead),
    /// The sending of this number failed before an answer.
    Fail(RequestId, u32, FailureKind),
    /// The answers of these requests have gone on.
    Progress(Vec<RequestId>),
    /// The answer has ended; whether it was complete.
    Finish(RequestId, bool),
    /// The endpoint broke a stream off; the last event that its caller had, if any.
    Broke(RequestId, Option<u64>),
    /// The caller has left.
    Leave(RequestId),
    /// A planned stop has begun: nothing waits longer than the first number of milliseconds from
    /// now, and nothing is unanswered after the second.
    Stop(u64, u64),
    /// Time has passed, and other events have come meanwhile: only what cannot wait is looked at.
    Look,
    /// Time has passed.
    Tick,
}

/// One sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending {
    /// Counts the sendings of the request from 1.
    pub number: u32,
    /// Where to.
    pub address: SocketAddr,
    /// The instance that is meant.
    pub instance: String,
    /// Milliseconds that are left to it.
    pub remaining_ms: u64,
    /// Its place in the endpoint's queue, 0 first.
    pub urgency: u8,
    /// Where the endpoint is to copy the run's memory.
    pub backup: Option<SocketAddr>,
    /// Set where an answer that has begun, or a run that broke off, goes on.
    pub resume: Option<Resume>,
}

/// How a run goes on that broke off elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resume {
    /// The last event that the caller had; `None` if it had none.
    pub after: Option<u64>,
    /// Whether the endpoint has a copy of the run's memory, from which it must go on or not run.
    pub copy: bool,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No text is known yet.
    NoText,
    /// No route leads there.
    NoRoute,
    /// The model is not one of the service's.
    NoModel,
    /// No route leads there, or no such model, by a text that may be old.
    OldText,
    /// No endpoint can run it.
    NoEndpoint,
    /// Every endpoint that could run it is full.
    Full,
    /// The model cannot be there in time.
    TooFar,
    /// Its time is up and it has not run.
    Expired,
    /// The entry is stopping, and it has not run.
    Stopping,
    /// Its time is up and it may have run.
    TimedOut,
    /// The endpoint failed it, and it may have run.
    Broken,
}

impl Reason {
    /// A fixed word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Reason::NoText => "no_text",
            Reason::NoRoute => "no_route",
            Reason::NoModel => "no_model",
            Reason::OldText => "old_text",
            Reason::NoEndpoint => "no_endpoint",
            Reason::Full => "full",
            Reason::TooFar => "too_far",
            Reason::Expired => "expired",
            Reason::Stopping => "stopping",
            Reason::TimedOut => "timed_out",
            Reason::Broken => "broken",
        }
    }

    /// The status that says so.
    ///
    /// 503 promises that the request has not run and never will; 502 and 504 promise nothing.
    pub fn status(self) -> u16 {
        match self {
            Reason::NoRoute | Reason::NoModel => 404,
            Reason::NoText
            | Reason::OldText
            | Reason::NoEndpoint
            | Reason::Full
            | Reason::TooFar
            | Reason::Stopping
            | Reason::Expired => 503,
            Reason::TimedOut => 504,
            Reason::Broken => 502,
        }
    }
}

/// A final answer of the system's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Milliseconds after which the caller may come back.
    pub retry_ms: Option<u64>,
}

/// What an entry does.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEffect {
    /// Send the request.
    Send(RequestId, Sending),
    /// Give the endpoint's answer to the caller.
    Pass(RequestId),
    /// Give an answer of the system's own.
    Refuse(RequestId, Refusal),
    /// Break off an answer that is being given: its time is up.
    Cut(RequestId),
    /// Leave the endpoint that gives an answer, as if it had broken the stream off.
    Abandon(RequestId),
    /// Ask the side beside the endpoint at this address for a sign of life.
    Probe(SocketAddr),
    /// Ask the side beside the endpoint at this address for a model.
    Want(SocketAddr, Want),
    /// Tell the side beside the endpoint at this address of a request.
    Used(SocketAddr, Usage),
    /// Keep connections to the sides beside these endpoints, and to no others.
    Sides(Vec<SocketAddr>),
    /// Write a log line.
    Log(LogEvent),
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to the caller.
    Pass,
    /// The request has not run: it may go elsewhere whatever its kind.
    NotRun,
    /// The request has run and failed, or may have.
    Failed,
}
