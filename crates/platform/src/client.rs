//! HTTP clients of the platform services.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{RequestBuilder, Response, body::Bytes};
use citronrill_base::{Outcome, Row, Txn};
use prost::Message;

use crate::{
    Changes, Instance, InstanceList, ObjectStore, PlatformError, Table,
    messages::{TableChanges, TableOutcome, TableRead, TableRows, TableTxn},
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for reading a response.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

pub(crate) fn with_timeouts(builder: RequestBuilder) -> RequestBuilder {
    builder.connect_timeout(CONNECT_TIMEOUT).read_timeout(READ_TIMEOUT)
}

pub(crate) fn checked(response: Response) -> Result<Response, PlatformError> {
    match response.status().as_u16() {
        200..=299 => Ok(response),
        status => Err(PlatformError::Status(status)),
    }
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
        let url = format!("http://{}/table/{path}", self.address);
        let builder: RequestBuilder<Bytes<Vec<u8>>> =
            attohttpc::post(url).bytes(message.encode_to_vec());
        let builder = builder.connect_timeout(CONNECT_TIMEOUT).read_timeout(READ_TIMEOUT);
        let response = checked(builder.send()?)?;
        Ok(M::decode(response.bytes()?.as_slice())?)
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

    fn url(&self, name: &str) -> String {
        format!("http://{}/objects/{name}", self.address)
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError> {
        let builder = attohttpc::put(self.url(name)).bytes(body);
        let builder = builder.connect_timeout(CONNECT_TIMEOUT).read_timeout(READ_TIMEOUT);
        checked(builder.send()?).map(drop)
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let response = with_timeouts(attohttpc::get(self.url(name))).send()?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        Ok(Some(checked(response)?.bytes()?))
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
        let url = format!("http://{}/instances", self.address);
        let response = checked(with_timeouts(attohttpc::get(url)).send()?)?;
        Ok(serde_json::from_slice(&response.bytes()?)?)
    }
}
