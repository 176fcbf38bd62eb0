//! In-memory table and object store, for stand-ins, experiments and tests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use citronrill_base::{Outcome, Row, Txn};

use crate::{Changes, ObjectStore, PlatformError, Table};

/// Counters of a table's operations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TableCounts {
    /// Read requests, including polls for changes.
    pub reads: u64,
    /// Transactions that were committed.
    pub commits: u64,
    /// Transactions that conflicted.
    pub conflicts: u64,
    /// Rows written.
    pub rows: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, Row>,
    by_version: BTreeMap<u64, Vec<String>>,
    sequence: u64,
    counts: TableCounts,
}

/// An in-memory table.
///
/// A deleted row is kept without a body at the version of its deletion, so that a check with an older
/// version fails.
#[derive(Debug, Default)]
pub struct MemoryTable {
    state: Mutex<State>,
}

impl MemoryTable {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counters of the operations so far.
    pub fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    /// Returns all rows in the order of their keys, for test oracles and dumps.
    pub fn rows(&self) -> Vec<Row> {
        let state = self.lock();
        let mut rows = state.rows.values().cloned().collect::<Vec<_>>();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }
}

impl State {
    fn checks_pass(&self, txn: &Txn) -> bool {
        txn.checks
            .iter()
            .all(|check| self.rows.get(&check.key).map_or(0, |row| row.version) == check.version)
    }

    fn write(&mut self, key: &str, body: Option<Vec<u8>>) {
        let version = self.sequence;
        let row = Row { key: key.to_owned(), version, body };
        if let Some(old) = self.rows.insert(key.to_owned(), row)
            && let Some(keys) = self.by_version.get_mut(&old.version)
        {
            keys.retain(|other| other != key);
            if keys.is_empty() {
                self.by_version.remove(&old.version);
            }
        }
        self.by_version.entry(version).or_default().push(key.to_owned());
        self.counts.rows += 1;
    }
}

impl Table for MemoryTable {
    fn read(&self, keys: &[String]) -> Result<Vec<Row>, PlatformError> {
        let mut state = self.lock();
        state.counts.reads += 1;
        let row = |key: &String| {
            let absent = || Row { key: key.clone(), version: 0, body: None };
            state.rows.get(key).cloned().unwrap_or_else(absent)
        };
        Ok(keys.iter().map(row).collect())
    }

    fn commit(&self, txn: &Txn) -> Outcome {
        let mut state = self.lock();
        if !state.checks_pass(txn) {
            state.counts.conflicts += 1;
            return Outcome::Conflict;
        }
        state.sequence += 1;
        state.counts.commits += 1;
        for write in &txn.writes {
            state.write(&write.key, write.body.clone());
        }
        Outcome::Committed(state.sequence)
    }

    fn changes(&self, prefix: &str, since: u64, limit: usize) -> Result<Changes, PlatformError> {
        let mut state = self.lock();
        state.counts.reads += 1;
        let mut changes = Changes { rows: Vec::new(), sequence: state.sequence };
        for (version, keys) in state.by_version.range(since + 1..) {
            if changes.rows.len() >= limit {
                changes.sequence = version - 1;
                break;
            }
            let keys = keys.iter().filter(|key| key.starts_with(prefix));
            changes.rows.extend(keys.filter_map(|key| state.rows.get(key).cloned()));
        }
        Ok(changes)
    }
}

/// An in-memory object store.
#[derive(Debug, Default)]
pub struct MemoryObjectStore {
    objects: Mutex<HashMap<String, Vec<u8>>>,
}

impl ObjectStore for MemoryObjectStore {
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError> {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.insert(name.to_owned(), body.to_vec());
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(objects.get(name).cloned())
    }
}
