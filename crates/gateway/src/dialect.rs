//! How a platform spells what the processes say to it.

use citronrill_pool::{
    AnswerHead, EngineReport, Member, Order, OrderOutcome, Sending, ServingText, TokenCount,
};
use hyper::{HeaderMap, StatusCode};
use thiserror::Error;

/// Why something that the platform said could not be read.
#[derive(Debug, Error)]
pub enum DialectError {
    /// A body has not the expected shape.
    #[error("unreadable {what}: {reason}")]
    Shape {
        /// What was read.
        what: &'static str,
        /// What the decoder said.
        reason: String,
    },
}

/// What a process reads from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The operators' text.
    Text,
    /// The list of endpoints.
    Members,
}

/// One row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Its key.
    pub key: String,
    /// What it holds.
    pub value: RowValue,
}

/// What a row of the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowValue {
    /// Nothing: it was removed.
    Removed,
    /// These bytes.
    Bytes(Vec<u8>),
    /// Something that cannot be decoded, for this reason.
    Unreadable(String),
}

/// Rows as read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RowPage {
    /// The store's version at the read.
    pub version: u64,
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Whether more rows follow.
    pub truncated: bool,
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMeta {
    /// The caller's name for the request.
    pub caller: String,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The model, and an adapter after a slash.
    pub model: String,
    /// A hash of the first part of the prompt; 0 if none is told.
    pub prefix: u64,
    /// How long the request is.
    pub tokens: TokenCount,
}

/// An order as an HTTP call.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// The path.
    pub path: &'static str,
    /// Headers to set.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// Names, formats and calls of one platform.
pub trait Dialect: Send + Sync {
    /// The path that reads a whole table from `from` on.
    fn read_path(&self, table: Table, from: Option<&str>) -> String;

    /// The path that waits for changes after `version`, `wait_ms` at most.
    fn watch_path(&self, table: Table, version: u64, wait_ms: u64) -> String;

    /// Reads the answer to either.
    ///
    /// # Errors
    /// The body is not what the platform's pages say.
    fn rows(&self, body: &[u8]) -> Result<RowPage, DialectError>;

    /// Whether a row of [`Table::Text`] is the text.
    fn is_text(&self, key: &str) -> bool;

    /// Reads the operators' text.
    ///
    /// # Errors
    /// The bytes are not a text.
    fn text(&self, bytes: &[u8]) -> Result<ServingText, DialectError>;

    /// Reads one endpoint's entry.
    ///
    /// # Errors
    /// The bytes are not an entry.
    fn member(&self, key: &str, bytes: &[u8]) -> Result<Member, DialectError>;

    /// What a caller's request says of itself.
    fn request(&self, headers: &HeaderMap) -> RequestMeta;

    /// Turns a caller's headers into those that go to an endpoint.
    fn forward(&self, headers: &mut HeaderMap, sending: &Sending);

    /// Reads the head of an endpoint's answer to the request that its caller names `caller`, which
    /// was sent to `instance`.
    fn answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        caller: &str,
        instance: &str,
    ) -> AnswerHead;

    /// Spells an order of `holder`.
    fn order(&self, order: &Order, holder: &str) -> OrderCall;

    /// Reads what the endpoint said to an order; with its name if the order meant another start.
    fn ordered(&self, status: StatusCode, headers: &HeaderMap) -> (OrderOutcome, Option<String>);

    /// The name of the start of an endpoint that an answer bears.
    fn named(&self, headers: &HeaderMap) -> Option<String>;

    /// The path of an endpoint's state.
    fn report_path(&self) -> &'static str;

    /// Reads an endpoint's state.
    ///
    /// # Errors
    /// The body is not a state.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DialectError>;
}
