//! Interfaces and clients of the platform services, and a client of the model engines.
//!
//! Each service is a trait, so that the reducers' effects can be applied to a real service over HTTP
//! or to an in-memory implementation. The services' protocols are not specified: the HTTP clients
//! here speak those of the stand-ins, and a deployment with other services implements the traits for
//! its own clients.

mod client;
mod engine;
mod error;
mod memory;
mod messages;

pub use crate::{
    client::{HttpInstanceList, HttpObjectStore, HttpTable},
    engine::{EngineState, HttpEngine, LoadOrder, UnloadOrder},
    error::PlatformError,
    memory::{MemoryObjectStore, MemoryTable, TableCounts},
    messages::{TableChanges, TableOutcome, TableRead, TableRow, TableRows, TableTxn},
};
use citronrill_base::{Outcome, Row, Txn};
use serde::{Deserialize, Serialize};

/// Rows of the change feed after a sequence.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// The rows, in the order of their versions.
    pub rows: Vec<Row>,
    /// The sequence up to which the rows are complete.
    pub sequence: u64,
}

/// The transactional table.
pub trait Table: Send + Sync {
    /// Reads rows; rows that do not exist are returned without a body.
    ///
    /// # Errors
    /// The service did not respond in time or responded with an error.
    fn read(&self, keys: &[String]) -> Result<Vec<Row>, PlatformError>;

    /// Commits a transaction; returns [`Outcome::Unknown`] if the service does not respond.
    fn commit(&self, txn: &Txn) -> Outcome;

    /// Returns rows whose key begins with `prefix` and whose version is after `since`, up to `limit`.
    ///
    /// # Errors
    /// The service did not respond in time or responded with an error.
    fn changes(&self, prefix: &str, since: u64, limit: usize) -> Result<Changes, PlatformError>;
}

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Stores an object.
    ///
    /// # Errors
    /// The service did not respond in time or responded with an error.
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError>;

    /// Fetches an object.
    ///
    /// # Errors
    /// The service did not respond in time or responded with an error.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;
}

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry process.
    Entry,
    /// An endpoint with its side process.
    Side,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The instance's availability zone.
    pub zone: String,
    /// The address at which the citronrill process on the instance listens for peers.
    pub address: String,
    /// The role of the instance.
    pub role: Role,
    /// Whether the instance is due to be removed.
    pub leaving: bool,
}

/// The platform's list of instances, which may be out of date.
pub trait InstanceList: Send + Sync {
    /// Returns all live and leaving instances.
    ///
    /// # Errors
    /// The service did not respond in time or responded with an error.
    fn list(&self) -> Result<Vec<Instance>, PlatformError>;
}
