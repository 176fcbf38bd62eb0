//! The interface to a platform's HTTP calls, headers and encodings.

use std::borrow::Cow;

use citronrill_pool::{
    Dispatch, EngineReport, KeyDigest, Member, Order, OrderOutcome, Pace, PromptPart, ResponseHead,
    ServingConfig, TokenCount,
};
use hyper::{HeaderMap, StatusCode};
use thiserror::Error;

/// Error decoding data of the platform.
#[derive(Debug, Error)]
pub enum DialectError {
    /// A body is malformed.
    #[error("unreadable {what}: {reason}")]
    Malformed {
        /// What was decoded.
        what: &'static str,
        /// Error of the decoder.
        reason: String,
    },
}

/// A table of the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The configuration.
    Text,
    /// The member list.
    Members,
}

/// A row of the platform store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: RowValue,
}

/// Value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowValue {
    /// No value: the row was removed.
    Removed,
    /// The decoded bytes.
    Bytes(Vec<u8>),
    /// A value that cannot be decoded, with the error.
    Unreadable(String),
}

/// Rows of one response of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RowPage {
    /// Version of the store when the rows were read.
    pub version: u64,
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Whether more rows follow.
    pub truncated: bool,
}

/// Metadata of a caller's request, from its headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMeta {
    /// Request ID assigned by the caller.
    pub caller_id: String,
    /// Milliseconds until the caller's deadline, if it sets one.
    pub deadline_ms: Option<u64>,
    /// Name of the model, followed by a slash and the adapter's name if one is requested.
    pub model: String,
    /// Hash of the model's name and the first part of the prompt; 0 if the prompt is unknown.
    pub prefix_hash: u64,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Token counts of the request.
    pub tokens: TokenCount,
    /// Whether the caller reconnects to a stream of which it has events.
    pub reconnects: bool,
    /// ID of the attempt that began this stream, if the caller names it.
    pub first_attempt: Option<String>,
    /// Digest of the caller's API key, if it sent one.
    pub key: Option<KeyDigest>,
}

/// An order, encoded as an HTTP call.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// Path of the call.
    pub path: &'static str,
    /// Headers to set.
    pub headers: HeaderMap,
    /// Body of the call.
    pub body: Vec<u8>,
}

/// A change of rows, encoded as an HTTP call.
#[derive(Debug, Clone)]
pub struct WriteCall {
    /// Path of the call.
    pub path: &'static str,
    /// Body of the call, in JSON.
    pub body: Vec<u8>,
}

/// HTTP calls, headers and encodings of a platform.
pub trait Dialect: Send + Sync {
    /// Returns whether, by the rules that the settings say are in force, organisations compete for room.
    fn contended(&self, rules: &[String]) -> bool;

    /// Returns the path that reads a table from key `from`, or from its beginning.
    fn read_path(&self, table: Table, from: Option<&str>) -> String;

    /// Returns the path that long-polls for changes after `version`, for at most `wait_ms`.
    fn changes_path(&self, table: Table, version: u64, wait_ms: u64) -> String;

    /// Returns the path that reads the quarantined requests.
    fn quarantine_path(&self) -> &'static str;

    /// Encodes a call that writes quarantined requests by key, or removes those without a value.
    fn encode_quarantine(&self, rows: &[(String, Option<Vec<u8>>)]) -> WriteCall;

    /// Returns the era of the store's history, from the headers of its response.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Decodes the response to a call of either path.
    ///
    /// # Errors
    /// The body is malformed.
    fn decode_rows(&self, body: &[u8]) -> Result<RowPage, DialectError>;

    /// Returns whether `key` is the key of the configuration in [`Table::Text`].
    fn is_config_key(&self, key: &str) -> bool;

    /// Replaces the API keys of a configuration from the store by their digests, so that it can be
    /// passed on to other processes.
    ///
    /// # Errors
    /// The bytes are not a valid configuration; the error quotes no key.
    fn shareable_config<'a>(&self, bytes: &'a [u8]) -> Result<Cow<'a, [u8]>, DialectError>;

    /// Decodes the configuration.
    ///
    /// # Errors
    /// The bytes are not a valid configuration.
    fn decode_config(&self, bytes: &[u8]) -> Result<ServingConfig, DialectError>;

    /// Decodes the member list row of an endpoint.
    ///
    /// # Errors
    /// The bytes are not a valid row.
    fn decode_member(&self, key: &str, bytes: &[u8]) -> Result<Member, DialectError>;

    /// Extracts the metadata of a caller's request.
    fn request_meta(&self, headers: &HeaderMap) -> RequestMeta;

    /// Rewrites a caller's headers for the endpoint that the request is sent to.
    fn rewrite_headers(&self, headers: &mut HeaderMap, dispatch: &Dispatch);

    /// Decodes the head of an endpoint's response to the request with ID `caller_id`, which was sent to
    /// `instance`.
    fn response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        caller_id: &str,
        instance: &str,
    ) -> ResponseHead;

    /// Encodes an order; `holder` is the name of the side that sends it.
    fn encode_order(&self, order: &Order, holder: &str) -> OrderCall;

    /// Decodes an endpoint's response to an order. Returns the outcome and, if the order was addressed to
    /// another incarnation, the name of the one that responded.
    fn decode_order_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> (OrderOutcome, Option<String>);

    /// Returns the name of the endpoint's incarnation from the headers of its response.
    fn incarnation_name(&self, headers: &HeaderMap) -> Option<String>;

    /// Returns whether an endpoint says that it leaves, from the headers of its response.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns how long work takes at an endpoint at this moment, from the headers of its response; `None`
    /// if it does not state that.
    fn pace(&self, headers: &HeaderMap) -> Option<Pace>;

    /// Returns the path of an endpoint's state report.
    fn report_path(&self) -> &'static str;

    /// Decodes an endpoint's state report.
    ///
    /// # Errors
    /// The body is not a valid report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DialectError>;
}
