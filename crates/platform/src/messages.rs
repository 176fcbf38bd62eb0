//! Messages between the table's client and the table.

use citronrill_base::{Check, Outcome, Row, Txn, Write};
use prost::Message;

/// A request to read rows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableRead {
    /// The rows' keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}

/// A request for changed rows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableChanges {
    /// The prefix of the rows' keys.
    #[prost(string, tag = "1")]
    pub prefix: String,
    /// The sequence after which changes are requested.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// The row limit.
    #[prost(uint64, tag = "3")]
    pub limit: u64,
}

/// A row, or in a transaction a row to check or write.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableRow {
    /// The row's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The row's version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The row's contents; absent if the row does not exist.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}

/// The requested rows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableRows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<TableRow>,
    /// The sequence up to which changes are complete.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// A transaction.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableTxn {
    /// Rows whose versions must be unchanged.
    #[prost(message, repeated, tag = "1")]
    pub checks: Vec<TableRow>,
    /// Rows to write.
    #[prost(message, repeated, tag = "2")]
    pub writes: Vec<TableRow>,
}

/// The outcome of a transaction: its commit sequence, or 0 for a conflict.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableOutcome {
    /// The commit sequence.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

impl From<Row> for TableRow {
    fn from(row: Row) -> TableRow {
        TableRow { key: row.key, version: row.version, body: row.body }
    }
}

impl From<TableRow> for Row {
    fn from(row: TableRow) -> Row {
        Row { key: row.key, version: row.version, body: row.body }
    }
}

impl From<&Txn> for TableTxn {
    fn from(txn: &Txn) -> TableTxn {
        let check =
            |check: &Check| TableRow { key: check.key.clone(), version: check.version, body: None };
        let write = |write: &Write| TableRow {
            key: write.key.clone(),
            version: 0,
            body: write.body.clone(),
        };
        TableTxn {
            checks: txn.checks.iter().map(check).collect(),
            writes: txn.writes.iter().map(write).collect(),
        }
    }
}

impl From<TableTxn> for Txn {
    fn from(txn: TableTxn) -> Txn {
        let check = |row: TableRow| Check { key: row.key, version: row.version };
        let write = |row: TableRow| Write { key: row.key, body: row.body };
        Txn {
            checks: txn.checks.into_iter().map(check).collect(),
            writes: txn.writes.into_iter().map(write).collect(),
        }
    }
}

impl From<TableOutcome> for Outcome {
    fn from(outcome: TableOutcome) -> Outcome {
        match outcome.sequence {
            0 => Outcome::Conflict,
            sequence => Outcome::Committed(sequence),
        }
    }
}
