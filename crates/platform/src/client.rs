//! HTTP clients of the platform services.

use std::{net::SocketAddr, time::Duration};

use citronrill_base::{Outcome, Row, Txn};
use citronrill_http::client::{Call, Response};
use prost::Message;

use crate::{
    Changes, Instance, InstanceList, ObjectStore, PlatformError, Table,
    messages::{TableChanges, TableOutcome, TableRead, TableRows, TableTxn},
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for reading a part of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum bytes of a response: the largest is an object with the configuration.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Returns a call with the usual timeouts.
pub(crate) fn call<'a>(method: &'a str, address: SocketAddr, path: &'a str) -> Call<'a> {
    let call = Call::new(method, address, path);
    call.connect_timeout(CONNECT_TIMEOUT).read_timeout(READ_TIMEOUT)
}

/// Returns a response if it is a success.
pub(crate) fn checked(response: Response) -> Result<Response, PlatformError> {
    if response.is_success() { Ok(response) } else { Err(PlatformError::Status(response.status())) }
}

/// A client of the platform table.
#[derive(Debug, Clone)]
pub struct HttpTable {
    address: SocketAddr,
}

impl HttpTable {
    /// Creates a client of the table at `address`.
    pub fn new(address: SocketAddr) -> HttpTable {
        HttpTable { address }
    }

    fn call<M: Message + Default>(
        &self,
        path: &str,
        message: &impl Message,
    ) -> Result<M, PlatformError> {
        let path = format!("/table/{path}");
        let message = message.encode_to_vec();
        let response = call("POST", self.address, &path).send(&mut message.as_slice())?;
        // A part of a message can be decoded like a whole one.
        let bytes = checked(response)?.into_bytes(MAX_RESPONSE_BYTES)?;
        Ok(M::decode(bytes.as_slice())?)
    }
}

impl Table for HttpTable {
    fn read(&self, keys: &[String]) -> Result<Vec<Row>, PlatformError> {
        let rows: TableRows = self.call("read", &TableRead { keys: keys.to_vec() })?;
        Ok(rows.rows.into_iter().map(Row::from).collect())
    }

    fn commit(&self, txn: &Txn) -> Outcome {
        // After any error the transaction may still have reached the table.
        let outcome = self.call::<TableOutcome>("commit", &TableTxn::from(txn));
        outcome.map_or(Outcome::Unknown, Outcome::from)
    }

    fn changes(&self, prefix: &str, since: u64, limit: usize) -> Result<Changes, PlatformError> {
        let request = TableChanges { prefix: prefix.to_owned(), since, limit: limit as u64 };
        let rows: TableRows = self.call("changes", &request)?;
        let sequence = rows.sequence;
        Ok(Changes { rows: rows.rows.into_iter().map(Row::from).collect(), sequence })
    }
}

/// A client of the object store.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    address: SocketAddr,
}

impl HttpObjectStore {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> HttpObjectStore {
        HttpObjectStore { address }
    }

    fn path(name: &str) -> String {
        format!("/objects/{name}")
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, name: &str, mut object: &[u8]) -> Result<(), PlatformError> {
        let path = HttpObjectStore::path(name);
        checked(call("PUT", self.address, &path).send(&mut object)?).map(drop)
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = HttpObjectStore::path(name);
        let response = call("GET", self.address, &path).send(&mut [].as_slice())?;
        if response.status() == 404 {
            return Ok(None);
        }
        Ok(Some(checked(response)?.into_bytes(MAX_RESPONSE_BYTES)?))
    }
}

/// A client of the platform's instance list.
#[derive(Debug, Clone)]
pub struct HttpInstanceList {
    address: SocketAddr,
}

impl HttpInstanceList {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> HttpInstanceList {
        HttpInstanceList { address }
    }
}

impl InstanceList for HttpInstanceList {
    fn list(&self) -> Result<Vec<Instance>, PlatformError> {
        let response = call("GET", self.address, "/instances").send(&mut [].as_slice())?;
        Ok(serde_json::from_slice(&checked(response)?.into_text(MAX_RESPONSE_BYTES)?)?)
    }
}
