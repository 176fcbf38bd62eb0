//! Input and output types of the entry's reducer.

use citronrill_base::{EndpointKey, ModelKey, Outcome, Row, ServiceKey, Txn};
use citronrill_config::{ApiKeyHash, Class};

use super::coordinator::Demand;
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

/// Identifies one request within the process; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The target that a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model or adapter, by name.
    Model(String),
    /// A call of a plain service.
    Plain {
        /// The service's name.
        service: String,
        /// The HTTP method.
        verb: String,
        /// The path at the service, beginning with `/`.
        path: String,
    },
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Identifies the request.
    pub id: RequestId,
    /// Hash of the caller's API key.
    pub key: ApiKeyHash,
    /// The requested target.
    pub target: RequestTarget,
    /// The caller's deadline in milliseconds; `None` means the service's deadline.
    pub deadline_ms: Option<u64>,
    /// Hash of the caller's idempotency key.
    pub idempotency_key: Option<u64>,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix_hash: u64,
}

/// The model or plain service that a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Target {
    Model(ModelKey),
    Plain(ServiceKey),
}

/// An instance in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name, address and availability zone.
    pub peer: Peer,
    /// Whether the instance runs an entry rather than a side.
    pub entry: bool,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// An input of the entry's reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent several times a second.
    Tick {
        /// Minutes after midnight, used only to learn daily traffic patterns.
        minute: u16,
    },
    /// Rows that were read from the platform table.
    Rows(Vec<Row>),
    /// Rows that a side or another entry forwards ahead of the feed.
    Announced(Vec<Row>),
    /// A source's reply to the feed's request with this id; `None` if the request failed.
    FeedAnswer(u64, Option<Page>),
    /// A child in the feed tree asks for rows.
    FeedPull {
        /// Identifies the pull.
        pull: u64,
        /// The sequence up to which the child knows all rows.
        since: u64,
    },
    /// A fetched configuration.
    Config {
        /// Its version.
        version: u64,
        /// The configuration's source text.
        source: String,
    },
    /// The platform's instance list.
    Instances(Vec<ListedInstance>),
    /// A caller's request.
    Request(IncomingRequest),
    /// A caller lists its models.
    ListModels {
        /// Identifies the request.
        id: RequestId,
        /// Hash of the caller's API key.
        key: ApiKeyHash,
    },
    /// The first part of an attempt's answer was forwarded to the caller.
    ResponseStarted(RequestId, u64),
    /// The whole answer was forwarded.
    ResponseFinished {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        call: u64,
        /// Requests in flight at the side.
        load: u32,
        /// The answer, if the call was claimed.
        answer: Option<Answer>,
    },
    /// The side guarantees that it will not run the call.
    Declined {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        call: u64,
        /// The side's reason.
        why: Decline,
        /// Requests in flight at the side.
        load: u32,
    },
    /// The attempt never left the process.
    NotSent(RequestId, u64),
    /// The call was sent, and its outcome cannot be determined.
    ConnectionLost(RequestId, u64),
    /// The attempt failed after the request body was consumed, so the request cannot be sent
    /// again. The last field says whether the call ran.
    BodyConsumed(RequestId, u64, Ran),
    /// A side's reply to a cancellation.
    CancelAnswered(RequestId, u64, CancelAnswer),
    /// The caller disconnected.
    CallerDisconnected(RequestId),
    /// An endpoint does not respond on an open connection, or accepts no connection.
    Unresponsive(EndpointKey),
    /// Another entry reports demand for a model that this process coordinates.
    Demand(Demand),
    /// The model's coordinator acknowledges the demand and decides.
    DemandAcked(String),
    /// The model's coordinator found no place for the model.
    LoadRefused {
        /// The model's name.
        model: String,
        /// The reason.
        kind: RefusalKind,
    },
    /// The outcome of a transaction.
    TxnFinished(u64, Outcome),
    /// The result of a claim's read; `None` if the platform table did not answer.
    ClaimRead(RequestId, Option<Row>),
    /// Drain: accept no new requests and finish the open ones.
    Drain,
}

/// The answer of a call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body; `None` if it is too large to store.
    pub body: Option<Vec<u8>>,
}

/// An action that the entry's reducer requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt's number, unique within the process.
        call: u64,
        /// The endpoint.
        endpoint: EndpointKey,
        /// The side's address.
        address: String,
        /// The model's name; empty for a plain service.
        model: String,
        /// The organisation's name.
        org: String,
        /// The request's priority class.
        class: Class,
        /// Milliseconds until the deadline.
        slack_ms: u64,
        /// Whether the answer is to be stored for replay.
        claimed: bool,
    },
    /// Cancel an attempt and report the side's reply.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        call: u64,
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Refuse a request. This is its final answer.
    Refuse(RequestId, Refusal),
    /// Answer a request with the first answer under its idempotency key. This is its final answer.
    Replay(RequestId, Answer),
    /// Answer a request for the list of models.
    ListModels(RequestId, Result<Vec<String>, Refusal>),
    /// Request rows of the feed, or forward them.
    Feed(FeedEffect),
    /// Commit a transaction.
    Commit(u64, Txn),
    /// Read rows into the view.
    Read(Vec<String>),
    /// Read a claim.
    ReadClaim(RequestId, String),
    /// Fetch the whole configuration that the head names.
    FetchConfig(HeadRow),
    /// Report demand for a model to its coordinator.
    Demand {
        /// The coordinator's address.
        to: String,
        /// The demand.
        demand: Demand,
    },
    /// Acknowledge an entry's demand.
    AckDemand {
        /// The entry's address.
        to: String,
        /// The model's name.
        model: String,
    },
    /// Report to an entry that its demand cannot be met.
    RefuseLoad {
        /// The entry's address.
        to: String,
        /// The model's name.
        model: String,
        /// The reason.
        kind: RefusalKind,
    },
    /// Notify a side that its row has changed, so that it reads the row and sends new versions
    /// of it to this entry.
    NotifySide {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The side's address.
        address: String,
        /// This entry's address.
        from: String,
    },
    /// Send a row to an entry that waits for it, ahead of the feed.
    Announce {
        /// The entry's address.
        to: String,
        /// The row.
        row: Row,
    },
    /// A configuration with this version is active.
    ConfigActivated(u64),
    /// Write a line to the log.
    Log(LogEvent),
    /// The drain is complete: stop the process.
    Drained,
}

/// An entry's own settings.
#[derive(Debug, Clone)]
pub struct EntryProfile {
    /// The instance's name.
    pub instance: String,
    /// The address at which peers reach the process.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Random number drawn at the start of the process.
    pub session: u64,
    /// Maximum number of open requests.
    pub request_limit: usize,
    /// Number of parts into which an organisation's share is divided.
    pub share_parts: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The replaceable policies of an entry.
pub struct Policies {
    /// Chooses the endpoint on which a model is loaded.
    pub placement: Box<dyn Placement>,
    /// Chooses the replica that serves a request.
    pub router: Box<dyn Router>,
    /// Decides how long an idle replica is kept.
    pub keep_alive: Box<dyn KeepAlive>,
    /// Whether demand is reported to a model's coordinator; otherwise every entry decides itself.
    pub coordinators: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Policies {
            placement: Box::new(crate::placement::LowestCostPlacement),
            router: Box::new(crate::routing::TwoChoices),
            keep_alive: Box::new(crate::keepalive::LowestCostKeepAlive),
            coordinators: true,
        }
    }
}
