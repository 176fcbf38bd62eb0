//! Quarantined requests in the platform store: they outlive a loss of all processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use citronrill_base::hash_bytes;
use citronrill_config::PoolSettings;
use citronrill_pool::{Cause, EntryEvent};
use citronrill_wire::{QuarantineRow, SuspectRecord, SuspectUpdate};
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use prost::Message;
use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    time::sleep,
};

use crate::{
    dialect::{Dialect, RowValue, StoreRow},
    entry::EventSender,
    error::GatewayError,
    http_client::{ControlClient, MAX_PAGE_BYTES, get},
};

/// Timeout of a call in milliseconds: the store takes some milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds between two attempts of a call.
const RETRY_PAUSE_MS: u64 = 500;
/// Seconds for which a row is valid: as long as the processes keep a quarantine.
const ROW_TTL_S: u64 = 86_400;

/// Maximum milliseconds after the store came back from a copy until this process writes again what the copy
/// lacks. The first of the processes that know a row writes it, and the others find it.
const REWRITE_SPREAD_MS: u64 = 5_000;
/// Rows of one transaction; the store takes 100.
const ROWS_PER_WRITE: usize = 50;

/// Reads the quarantined requests once, and writes new ones; writes what the store has lost again.
pub(crate) struct QuarantineStore {
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    events: EventSender,
    /// The era of the store's history.
    era: watch::Receiver<Option<u64>>,
    /// When this process writes rows again, in milliseconds after the store came back.
    rewrite_ms: u64,
    /// The rows that this process has read or written.
    known: BTreeMap<String, Vec<u8>>,
}

impl QuarantineStore {
    pub(crate) fn new(
        settings: &PoolSettings,
        era: watch::Receiver<Option<u64>>,
        dialect: Arc<dyn Dialect>,
        events: EventSender,
    ) -> QuarantineStore {
        let rewrite_ms = hash_bytes(settings.name.as_bytes()) % REWRITE_SPREAD_MS;
        let address = settings.store;
        QuarantineStore { address, dialect, events, era, rewrite_ms, known: BTreeMap::new() }
    }

    /// Runs until the control thread ends.
    pub(crate) async fn run(mut self, mut records: UnboundedReceiver<SuspectRecord>) {
        let mut client = ControlClient::new(self.address, MAX_PAGE_BYTES);
        let rows = self.read_with_retries(&mut client).await;
        self.apply(&mut client, rows).await;
        let mut era = *self.era.borrow_and_update();
        loop {
            tokio::select! {
                record = records.recv() => match record {
                    Some(record) => self.save(&mut client, record).await,
                    None => return,
                },
                newer = next_era(&mut self.era) => {
                    // Where the first era is known only now, nothing was lost.
                    if era.is_some() {
                        sleep(Duration::from_millis(self.rewrite_ms)).await;
                        self.rewrite(&mut client).await;
                    }
                    era = newer;
                }
            }
        }
    }

    /// Writes a record.
    async fn save(&mut self, client: &mut ControlClient, record: SuspectRecord) {
        let Some(cause) = Cause::of_record(&record) else { return };
        let row = QuarantineRow { record: Some(record), expires_at: now_s() + ROW_TTL_S };
        let (key, bytes) = (cause.row_key(), row.encode_to_vec());
        self.known.retain(|_, bytes| valid_row(bytes).is_some());
        self.known.insert(key.clone(), bytes.clone());
        self.write_with_retries(client, &[(key, Some(bytes))]).await;
        log::info!("event=quarantine_saved row={}", cause.row_key());
    }

    /// Writes the known rows again that a store which came back from a copy lacks, and removes the void ones
    /// that it has again.
    async fn rewrite(&mut self, client: &mut ControlClient) {
        let rows = self.read_with_retries(client).await;
        let listed = rows.iter().map(|row| row.key.clone()).collect::<BTreeSet<_>>();
        self.apply(client, rows).await;
        let known = self.known.iter();
        let known =
            known.filter(|(key, bytes)| !listed.contains(*key) && valid_row(bytes).is_some());
        let lost = known.map(|(key, bytes)| (key.clone(), Some(bytes.clone()))).collect::<Vec<_>>();
        for part in lost.chunks(ROWS_PER_WRITE) {
            self.write_with_retries(client, part).await;
        }
        log::info!("event=quarantine_rewritten rows={}", lost.len());
    }

    async fn read_with_retries(&self, client: &mut ControlClient) -> Vec<StoreRow> {
        loop {
            match self.read(client).await {
                Ok(rows) => return rows,
                Err(error) => self.pause("read", &error).await,
            }
        }
    }

    async fn write_with_retries(
        &self,
        client: &mut ControlClient,
        rows: &[(String, Option<Vec<u8>>)],
    ) {
        while let Err(error) = self.write(client, rows).await {
            self.pause("write", &error).await;
        }
    }

    async fn pause(&self, call: &str, error: &GatewayError) {
        log::info!("event=quarantine_store_failed call={call} error=\"{error}\"");
        sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }

    async fn read(&self, client: &mut ControlClient) -> Result<Vec<StoreRow>, GatewayError> {
        let request = get(self.address, self.dialect.quarantine_path())?;
        let response = client.call(request, CALL_TIMEOUT_MS).await?;
        if response.status() != StatusCode::OK {
            return Err(GatewayError::Status(response.status().as_u16()));
        }
        Ok(self.dialect.decode_rows(response.body())?.rows)
    }

    /// Passes valid rows to the control thread and removes the others.
    async fn apply(&mut self, client: &mut ControlClient, rows: Vec<StoreRow>) {
        let (mut suspects, mut void) = (Vec::new(), Vec::new());
        for StoreRow { key, value } in rows {
            match (valid_record(&value), value) {
                (Some(record), RowValue::Bytes(bytes)) => {
                    suspects.push(record);
                    self.known.insert(key, bytes);
                }
                _ => void.push((key, None)),
            }
        }
        log::info!("event=quarantine_read requests={} void={}", suspects.len(), void.len());
        self.events.send(EntryEvent::QuarantineRead(SuspectUpdate { suspects }));
        if void.is_empty() {
            return;
        }
        if let Err(error) = self.write(client, &void).await {
            log::info!("event=quarantine_store_failed call=remove error=\"{error}\"");
        }
    }

    async fn write(
        &self,
        client: &mut ControlClient,
        rows: &[(String, Option<Vec<u8>>)],
    ) -> Result<(), GatewayError> {
        let call = self.dialect.encode_quarantine(rows);
        let request = Request::post(call.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body)))?;
        let response = client.call(request, CALL_TIMEOUT_MS).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(GatewayError::Status(status.as_u16())),
        }
    }
}

/// Returns the next era; never if nobody reads the store any more.
async fn next_era(era: &mut watch::Receiver<Option<u64>>) -> Option<u64> {
    if era.changed().await.is_err() {
        pending::<()>().await;
    }
    *era.borrow_and_update()
}

/// Returns the record of a row, unless the row is void or cannot be decoded.
fn valid_record(value: &RowValue) -> Option<SuspectRecord> {
    let RowValue::Bytes(bytes) = value else { return None };
    valid_row(bytes)
}

fn valid_row(bytes: &[u8]) -> Option<SuspectRecord> {
    let row = QuarantineRow::decode(bytes).ok()?;
    row.record.filter(|_| row.expires_at > now_s())
}

/// Returns the time in Unix seconds.
fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
