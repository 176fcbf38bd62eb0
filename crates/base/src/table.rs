//! Rows and transactions of the platform table, as plain data.

/// A row of the platform table.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The table's commit sequence at the row's last write; 0 if the row was never written.
    pub version: u64,
    /// The row's contents; `None` if the row does not exist.
    pub body: Option<Vec<u8>>,
}

/// A precondition: the row still has this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that was read.
    pub version: u64,
}

/// A write to a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new contents; `None` deletes the row.
    pub body: Option<Vec<u8>>,
}

/// Checks and writes that are committed atomically.
///
/// The builder of a transaction also checks the version of each row that it writes. Submitting the
/// transaction twice then cannot apply it twice: the first commit changes the versions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Row versions that must be unchanged.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a write that is conditional on the version that was read.
    pub fn put(&mut self, key: impl Into<String>, version: u64, body: Option<Vec<u8>>) {
        let key = key.into();
        self.checks.push(Check { key: key.clone(), version });
        self.writes.push(Write { key, body });
    }

    /// Adds a version check without a write.
    pub fn check(&mut self, key: impl Into<String>, version: u64) {
        self.checks.push(Check { key: key.into(), version });
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction was committed at this sequence.
    Committed(u64),
    /// A version had changed; nothing was written.
    Conflict,
    /// No response arrived: the transaction may have been committed, or may still be.
    Unknown,
}
