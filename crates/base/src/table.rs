//! Rows and transactions of the platform's table, as plain data.

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The table's commit sequence at the row's last write; 0 if it was never written.
    pub version: u64,
    /// The row's bytes; `None` if there is no such row.
    pub body: Option<Vec<u8>>,
}

/// A condition: the row still has this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that was read.
    pub version: u64,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new bytes; `None` deletes the row.
    pub body: Option<Vec<u8>>,
}

/// Checks and writes that take effect together or not at all.
///
/// Each write's row is also checked by whoever builds the transaction, so that giving the same
/// transaction twice cannot take effect twice: the first commit moves the versions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Versions that must still hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a write that holds only while the row has the version that was read.
    pub fn put(&mut self, key: impl Into<String>, version: u64, body: Option<Vec<u8>>) {
        let key = key.into();
        self.checks.push(Check { key: key.clone(), version });
        self.writes.push(Write { key, body });
    }

    /// Adds a condition without a write.
    pub fn check(&mut self, key: impl Into<String>, version: u64) {
        self.checks.push(Check { key: key.into(), version });
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect at this commit sequence.
    Committed(u64),
    /// A version had moved; nothing was written.
    Conflict,
    /// No answer came: it may have taken effect, or may yet.
    Unknown,
}
