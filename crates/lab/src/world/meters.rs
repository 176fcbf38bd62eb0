//! What is counted and looked at from outside.

use super::*;

impl World {
    /// Hours that serving replicas of models, adapters not counted, were idle.
    pub fn idle_hours(&self) -> f64 {
        self.idle_ms / 3_600_000.0
    }

    pub(super) fn count_idle(&mut self) {
        let passed = (self.now - self.idle_at) as f64;
        self.idle_at = self.now;
        let idle = self.engines.iter().map(|engine| engine.idle_bases()).sum::<usize>();
        self.idle_ms += passed * idle as f64;
    }

    /// Counts a frame at the entry that sends it and at the one that takes it.
    pub(super) fn meter(&mut self, from: usize, to: &str, frame: &wire::Frame) {
        let bytes = frame_bytes(frame);
        count_kinds(frame, &mut self.meters.by_kind);
        self.meters.entry_bytes.resize(self.entries.len(), 0);
        self.meters.entry_bytes[from] += bytes;
        if let Some(index) = self.entries.iter().position(|it| it.name == to) {
            self.meters.entry_bytes[index] += bytes;
        }
    }

    /// Counts the entries' transactions that write a row from now on.
    pub fn watch(&mut self, key: String) {
        self.watch = key;
        self.watched = (0, 0);
    }

    /// Transactions on the watched row, and conflicts among them.
    pub fn watched(&self) -> (u64, u64) {
        self.watched
    }

    /// Control traffic and reducer time so far.
    pub fn meters(&self) -> Meters {
        let mut meters = self.meters.clone();
        meters.entry_bytes.resize(self.entries.len(), 0);
        meters
    }

    /// Rows of the table, for oracles.
    pub fn rows(&self) -> Vec<Row> {
        self.table.rows()
    }

    /// Whether an entry's process is still the one of that life.
    pub fn entry_is(&self, index: usize, life: u64) -> bool {
        self.entry_lives(index, life)
    }

    /// Numbers of the entries that live.
    pub fn living_entries(&self) -> Vec<usize> {
        (0..self.entries.len()).filter(|index| self.entries[*index].alive).collect()
    }

    /// Numbers of the endpoints whose engine lives.
    pub fn living_endpoints(&self) -> Vec<usize> {
        (0..self.engines.len()).filter(|index| self.engines[*index].alive).collect()
    }

    /// Whether an endpoint has a living side.
    pub fn has_side(&self, endpoint: usize) -> bool {
        self.sides.iter().any(|side| side.alive && side.endpoint == endpoint)
    }

    /// The entry's reducer.
    pub fn entry(&self, index: usize) -> &Entry {
        &self.entries[index].core
    }

    /// Loads that engines have begun.
    pub fn loads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.loads).sum()
    }

    /// Puts a model's weights into an endpoint's disk cache.
    pub fn cache(&mut self, endpoint: usize, model: &str) {
        self.engines[endpoint].disk.insert(model.to_owned());
    }
}
