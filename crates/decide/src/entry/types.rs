//! What goes into an entry's reducer and what comes out.

use citronrill_base::{EndpointKey, ModelKey, Outcome, Row, ServiceKey, Txn};
use citronrill_config::{ApiKeyHash, Class};

use super::home::Demand;
use crate::{
    call::{CancelAnswer, Decline},
    feed::{FeedEffect, Page, Peer},
    keepalive::KeepAlive,
    log::LogEvent,
    placement::Placement,
    refusal::{Ran, Refusal, RefusalKind},
    routing::Router,
    rows::HeadRow,
};

/// Names one request for the life of the process; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wish {
    /// A model or adapter, by name.
    Model(String),
    /// A call of a plain service.
    Plain {
        /// The service's name.
        service: String,
        /// The HTTP method.
        verb: String,
        /// The path at the service, from `/`.
        path: String,
    },
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its name.
    pub id: RequestId,
    /// Hash of the caller's API key.
    pub key: ApiKeyHash,
    /// What it asks for.
    pub wish: Wish,
    /// Milliseconds that the caller gives it; the service's deadline if it gives none.
    pub deadline_ms: Option<u64>,
    /// Hash of the caller's idempotency key.
    pub once: Option<u64>,
    /// Hash of the request's body.
    pub content: u64,
    /// Hash of the prompt's beginning; 0 if there is none.
    pub prefix: u64,
}

/// Where a request can be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Target {
    Model(ModelKey),
    Plain(ServiceKey),
}

/// An instance as the platform's list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name, address and availability zone.
    pub peer: Peer,
    /// Whether an entry runs on it, and not a side.
    pub entry: bool,
    /// Whether it will be taken away.
    pub leaving: bool,
}

/// What an entry's reducer is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; several times a second, with the minute after midnight.
    Tick {
        /// Minute of the day, for learning its pattern only.
        minute: u16,
    },
    /// Rows that were read from the table.
    Rows(Vec<Row>),
    /// Rows that a side or another entry hands on ahead of the feed.
    Told(Vec<Row>),
    /// A source's answer to the feed; `None` if it failed.
    Fed(u64, Option<Page>),
    /// A child asks for rows of the feed.
    Pull {
        /// Names the question.
        pull: u64,
        /// The sequence that the child knows.
        since: u64,
    },
    /// A whole text as fetched.
    Text {
        /// Its version.
        version: u64,
        /// The text.
        text: String,
    },
    /// The platform's list.
    Instances(Vec<Listed>),
    /// A caller's request.
    Arrive(Arrival),
    /// A caller wants to know its models.
    List {
        /// Names the question.
        id: RequestId,
        /// Hash of the caller's API key.
        key: ApiKeyHash,
    },
    /// The first part of an answer was passed on to the caller.
    Began(RequestId, u64),
    /// The whole answer was passed on.
    Ended {
        /// Which.
        id: RequestId,
        /// The sending.
        call: u64,
        /// Requests that the side has running.
        load: u32,
        /// The answer, if the call was claimed.
        answer: Option<Answer>,
    },
    /// The side will not run the call.
    Declined {
        /// Which.
        id: RequestId,
        /// The sending.
        call: u64,
        /// Why.
        why: Decline,
        /// Requests that the side has running.
        load: u32,
    },
    /// The call never left the process.
    Unsent(RequestId, u64),
    /// The call was sent, and what became of it cannot be found out.
    Lost(RequestId, u64),
    /// The call failed, and its body was read and cannot be sent again; whether it ran.
    Spent(RequestId, u64, Ran),
    /// What a side says to a cancellation.
    Cancelled(RequestId, u64, CancelAnswer),
    /// The caller went away.
    CallerGone(RequestId),
    /// An endpoint has been silent on an open connection, or takes none.
    Silent(EndpointKey),
    /// Another entry has requests for a model whose home this is.
    Demand(Demand),
    /// The model's home has heard of the demand and decides.
    Heard(String),
    /// The model's home cannot have it loaded.
    Verdict {
        /// The model's name.
        model: String,
        /// Why.
        kind: RefusalKind,
    },
    /// What became of a transaction.
    Committed(u64, Outcome),
    /// What a claim's read gave; `None` if the table did not answer.
    ClaimRead(RequestId, Option<Row>),
    /// Stop: take nothing new and finish what is there.
    Drain,
}

/// The answer of a call that may run once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body; `None` if it is too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What an entry's reducer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to an endpoint.
    Send {
        /// Which.
        id: RequestId,
        /// Names this sending.
        call: u64,
        /// Where.
        endpoint: EndpointKey,
        /// The side's address.
        address: String,
        /// The model's name; empty for a plain service.
        model: String,
        /// The organisation's name.
        org: String,
        /// How urgent it is.
        class: Class,
        /// Milliseconds until the deadline.
        slack_ms: u64,
        /// Whether the answer is to be kept for a repeat.
        claimed: bool,
    },
    /// Cancel a sending, and tell what the side says.
    Cancel {
        /// Which.
        id: RequestId,
        /// The sending.
        call: u64,
        /// Where.
        endpoint: EndpointKey,
    },
    /// Refuse a request; its final answer.
    Refuse(RequestId, Refusal),
    /// Give a request the first answer under its idempotency key; its final answer.
    Replay(RequestId, Answer),
    /// Answer a question for models.
    Models(RequestId, Result<Vec<String>, Refusal>),
    /// Ask for rows of the feed, or hand them on.
    Feed(FeedEffect),
    /// Commit a transaction.
    Commit(u64, Txn),
    /// Read rows into the view.
    Read(Vec<String>),
    /// Read a claim.
    ReadClaim(RequestId, String),
    /// Fetch a whole text.
    FetchText(HeadRow),
    /// Tell a model's home of requests.
    Demand {
        /// The home's address.
        to: String,
        /// What is asked for.
        demand: Demand,
    },
    /// Tell an entry that its demand was heard.
    Heard {
        /// The entry's address.
        to: String,
        /// The model's name.
        model: String,
    },
    /// Tell an entry that its demand cannot be met.
    Verdict {
        /// The entry's address.
        to: String,
        /// The model's name.
        model: String,
        /// Why.
        kind: RefusalKind,
    },
    /// Tell a side that its row has changed, and where its answer is awaited.
    Poke {
        /// Where.
        endpoint: EndpointKey,
        /// The side's address.
        address: String,
        /// This entry's address.
        from: String,
    },
    /// Hand a row on to an entry that waits for it, ahead of the feed.
    Announce {
        /// The entry's address.
        to: String,
        /// The row.
        row: Row,
    },
    /// A new text is in force.
    Configured(u64),
    /// Write a line to the log.
    Log(LogEvent),
    /// All is finished: stop the process.
    Drained,
}

/// What an entry knows of itself from its settings.
#[derive(Debug, Clone)]
pub struct EntryProfile {
    /// The instance's name.
    pub instance: String,
    /// Where peers reach the process.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Drawn at the start of the process.
    pub session: u64,
    /// Requests kept at once.
    pub request_limit: usize,
    /// Parts that an organisation's share is divided into.
    pub share_parts: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// The rules that vary.
pub struct Policies {
    /// Where a model is loaded.
    pub placement: Box<dyn Placement>,
    /// Which replica gets a request.
    pub router: Box<dyn Router>,
    /// How long a replica is kept.
    pub keep: Box<dyn KeepAlive>,
    /// Whether demand goes to a model's home, or every entry decides for itself.
    pub homes: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Policies {
            placement: Box::new(crate::placement::CheapestPlace),
            router: Box::new(crate::routing::TwoChoices),
            keep: Box::new(crate::keepalive::CheapestKeep),
            homes: true,
        }
    }
}
