//! The table, with its delays and faults, and the texts.

use super::*;

impl World {
    pub(super) fn table_hop(&mut self) -> u64 {
        2 + self.hop() + self.faults.table_ms
    }

    /// Accepts a text as the next version, as `apply` would.
    pub fn apply(&mut self, text: &str) {
        let text = if text.contains("key.world") { text.to_owned() } else { with_world_keys(text) };
        let rows = self.table.read(&[HEAD.to_owned()]).unwrap_or_default();
        let (old, head_version) =
            rows.first().map_or((None, 0), |row| (decode::<HeadRow>(&row.body), row.version));
        let version = old.map_or(0, |head| head.version) + 1;
        let (digest, object) = (digest(&text), version.to_string());
        let head = HeadRow { version, digest, object };
        let delta = DeltaRow { version, whole: true, ..DeltaRow::default() };
        let ring = self.table.read(&[delta_key(version)]).unwrap_or_default();
        let mut txn = Txn::default();
        txn.put(HEAD, head_version, Some(head.encode_to_vec()));
        let ring_version = ring.first().map_or(0, |row| row.version);
        txn.put(delta_key(version), ring_version, Some(delta.encode_to_vec()));
        self.table.commit(&txn);
        self.texts.insert(version, text.clone());
        let compiled = Catalogue::compile("world", &text, version, &mut self.registry);
        if let Ok(catalogue) = compiled {
            self.catalogue = catalogue;
        }
    }

    /// Takes the table away for a while.
    pub fn table_outage(&mut self, millis: u64) {
        self.faults.table_down = true;
        self.schedule(millis, Happening::TableUp);
    }

    pub(super) fn changes(&mut self, from: usize, life: u64, id: u64, since: u64) {
        self.operations.polls += 1;
        let page = (!self.faults.table_down).then(|| {
            let changes = self.table.changes(FEED, since, PAGE).unwrap_or_default();
            Page { rows: changes.rows, sequence: changes.sequence, age_ms: 0 }
        });
        if let Some(page) = &page {
            self.meter(from, "", &rows_frame(&page.rows));
        }
        let delay = self.table_hop();
        self.schedule(delay, Happening::ToEntry(from, life, Event::Fed(id, page)));
    }

    /// Carries a transaction out, or not; when its sender hears, and what.
    pub(super) fn commit(&mut self, txn: Txn) -> (u64, Outcome) {
        if self.faults.table_down {
            // It may be lost, or wait in the service and take effect later.
            if self.rng.random_bool(self.faults.late_part) {
                let delay = self.rng.random_range(500..8_000);
                self.schedule(delay, Happening::LateTxn(txn));
            }
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        let outcome = self.table.commit(&txn);
        if outcome == Outcome::Conflict {
            self.operations.conflicts += 1;
        }
        if self.rng.random_bool(self.faults.lost_part) {
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        (self.table_hop(), outcome)
    }

    pub(super) fn read(&mut self, keys: &[String]) -> Option<Vec<Row>> {
        self.operations.reads += 1;
        if self.faults.table_down {
            return None;
        }
        self.table.read(keys).ok()
    }
}
