//! Counters, and access to the state of a simulation.

use super::*;

impl Simulation {
    /// Returns the idle hours of ready models, adapters excluded.
    pub fn idle_hours(&self) -> f64 {
        self.idle_ms / 3_600_000.0
    }

    pub(super) fn accumulate_idle(&mut self) {
        let passed = (self.now - self.idle_counted_at) as f64;
        self.idle_counted_at = self.now;
        let idle = self.engines.iter().map(|engine| engine.idle_bases()).sum::<usize>();
        self.idle_ms += passed * idle as f64;
    }

    /// Counts a frame at the sending and the receiving entry.
    pub(super) fn count_frame(&mut self, from: usize, to: &str, frame: &wire::Frame) {
        let bytes = frame_bytes(frame);
        count_bytes_by_kind(frame, &mut self.meters.by_kind);
        self.meters.entry_bytes.resize(self.entries.len(), 0);
        self.meters.entry_bytes[from] += bytes;
        if let Some(index) = self.entries.iter().position(|entry| entry.name == to) {
            self.meters.entry_bytes[index] += bytes;
        }
    }

    /// Starts to count the entries' transactions that write the row `key`.
    pub fn watch_row(&mut self, key: String) {
        self.watched_key = key;
        self.watched_commits = (0, 0);
    }

    /// Returns the number of transactions on the watched row, and of conflicts among them.
    pub fn watched_commits(&self) -> (u64, u64) {
        self.watched_commits
    }

    /// Returns the control traffic and reducer time so far.
    pub fn meters(&self) -> Meters {
        let mut meters = self.meters.clone();
        meters.entry_bytes.resize(self.entries.len(), 0);
        meters
    }

    /// Returns the rows of the table, for the oracle.
    pub fn rows(&self) -> Vec<Row> {
        self.table.rows()
    }

    /// Returns whether an entry is running in the given incarnation.
    pub fn entry_has_incarnation(&self, index: usize, incarnation: u64) -> bool {
        self.entry_running(index, incarnation)
    }

    /// Returns the indices of the running entries.
    pub fn running_entries(&self) -> Vec<usize> {
        (0..self.entries.len()).filter(|index| self.entries[*index].alive).collect()
    }

    /// Returns the indices of the endpoints whose engine is running.
    pub fn running_endpoints(&self) -> Vec<usize> {
        (0..self.engines.len()).filter(|index| self.engines[*index].alive).collect()
    }

    /// Returns whether an endpoint has a running side.
    pub fn has_side(&self, endpoint: usize) -> bool {
        self.sides.iter().any(|side| side.alive && side.endpoint == endpoint)
    }

    /// Returns the reducer of an entry.
    pub fn entry(&self, index: usize) -> &Entry {
        &self.entries[index].reducer
    }

    /// Returns the number of loads begun by engines.
    pub fn loads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.loads).sum()
    }

    /// Adds a model's weights to an endpoint's disk cache.
    pub fn cache_on_disk(&mut self, endpoint: usize, model: &str) {
        self.engines[endpoint].disk.insert(model.to_owned());
    }
}
