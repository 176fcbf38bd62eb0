//! The table, with its delays and faults, and the configurations.

use super::*;

impl Simulation {
    pub(super) fn table_delay(&mut self) -> u64 {
        2 + self.network_delay() + self.faults.table_delay_ms
    }

    /// Accepts a configuration as the next version, like `citronrill apply`.
    pub fn apply_config(&mut self, config: &str) {
        let config = if config.contains("key.world") {
            config.to_owned()
        } else {
            with_test_api_keys(config)
        };
        let rows = self.table.read(&[HEAD.to_owned()]).unwrap_or_default();
        let (old, head_version) =
            rows.first().map_or((None, 0), |row| (decode::<HeadRow>(&row.body), row.version));
        let version = old.map_or(0, |head| head.version) + 1;
        let (digest, object) = (digest(&config), version.to_string());
        let head = HeadRow { version, digest, object };
        let delta = DeltaRow { version, content_omitted: true, ..DeltaRow::default() };
        let old_delta = self.table.read(&[delta_key(version)]).unwrap_or_default();
        let mut txn = Txn::default();
        txn.put(HEAD, head_version, Some(head.encode_to_vec()));
        let delta_version = old_delta.first().map_or(0, |row| row.version);
        txn.put(delta_key(version), delta_version, Some(delta.encode_to_vec()));
        self.table.commit(&txn);
        self.configs.insert(version, config.clone());
        let compiled = Catalogue::compile("world", &config, version, &mut self.registry);
        if let Ok(catalogue) = compiled {
            self.catalogue = catalogue;
        }
    }

    /// Makes the table unavailable for a time.
    pub fn table_outage(&mut self, millis: u64) {
        self.faults.table_down = true;
        self.schedule(millis, SimEvent::TableRestored);
    }

    pub(super) fn read_changes(&mut self, from: usize, incarnation: u64, id: u64, since: u64) {
        self.operations.polls += 1;
        let page = (!self.faults.table_down).then(|| {
            let changes = self.table.changes(FEED, since, PAGE_ROWS).unwrap_or_default();
            Page { rows: changes.rows, sequence: changes.sequence, age_ms: 0 }
        });
        if let Some(page) = &page {
            self.count_frame(from, "", &rows_frame(&page.rows));
        }
        let delay = self.table_delay();
        self.schedule(delay, SimEvent::ToEntry(from, incarnation, Event::FeedAnswer(id, page)));
    }

    /// Executes a transaction, subject to faults. Returns the delay until the sender gets the outcome,
    /// and the outcome.
    pub(super) fn commit(&mut self, txn: Txn) -> (u64, Outcome) {
        if self.faults.table_down {
            // The transaction may be lost, or be queued by the service and take effect later.
            if self.rng.random_bool(self.faults.late_commits) {
                let delay = self.rng.random_range(500..8_000);
                self.schedule(delay, SimEvent::LateCommit(txn));
            }
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        let outcome = self.table.commit(&txn);
        if outcome == Outcome::Conflict {
            self.operations.conflicts += 1;
        }
        if self.rng.random_bool(self.faults.lost_confirmations) {
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        (self.table_delay(), outcome)
    }

    pub(super) fn read(&mut self, keys: &[String]) -> Option<Vec<Row>> {
        self.operations.reads += 1;
        if self.faults.table_down {
            return None;
        }
        self.table.read(keys).ok()
    }
}
