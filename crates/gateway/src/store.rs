//! Reads the platform store: each table in full first, then its changes by long polling.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_base::hash_bytes;
use citronrill_config::PoolSettings;
use citronrill_pool::{FollowerProfile, StoreQuery, StoreVersion, TableFollower};
use hyper::{HeaderMap, StatusCode};
use tokio::time::sleep;

use crate::{
    dialect::{Dialect, RowPage, Table},
    error::GatewayError,
    http_client::{ControlClient, MAX_PAGE_BYTES, get},
    platform_view::PlatformView,
};

/// Milliseconds between two polls of the member list. The endpoints together write several rows a
/// second, so each long poll would return at once. A leaving endpoint must stop receiving requests
/// within two seconds; this pause and the store's response take half of that.
const MEMBERS_PAUSE_MS: u64 = 900;
/// Maximum bytes of all pages of a table; those of the member list have some kilobytes for each endpoint.
const MAX_TABLE_BYTES: usize = 32 << 20;
/// Maximum number of failed calls that are logged per outage.
const MAX_LOGGED_FAILURES: u32 = 16;

fn millis_since(moment: Instant) -> u64 {
    moment.elapsed().as_millis() as u64
}

/// Returns the settings for following `table`.
fn follower_profile(settings: &PoolSettings, table: Table) -> FollowerProfile {
    let poll_pause_ms = match table {
        Table::Text => 0,
        Table::Members => MEMBERS_PAUSE_MS,
    };
    let seed = hash_bytes(format!("{} {table:?}", settings.name).as_bytes());
    FollowerProfile { seed, recover_ms: settings.recover_ms, poll_pause_ms }
}

/// Follows one table until the process ends and passes its rows to `view`.
pub(crate) fn watch_table(
    settings: &PoolSettings,
    table: Table,
    dialect: Arc<dyn Dialect>,
    view: PlatformView,
) -> impl Future<Output = ()> + use<> {
    let store = settings.store;
    let (client, follower) = (
        ControlClient::new(store, MAX_PAGE_BYTES),
        TableFollower::new(follower_profile(settings, table)),
    );
    let watcher = TableWatcher { store, era: None, table, dialect, view, client, follower };
    watcher.run()
}

/// An outage: consecutive failed calls for one table.
struct Outage {
    /// When the first call failed.
    since: Instant,
    failures: u32,
}

fn log_lost(table: Table, outage: &Outage, error: &GatewayError, waited_ms: u64) {
    let failures = outage.failures;
    if failures <= MAX_LOGGED_FAILURES {
        log::warn!(
            "event=store_lost table={table:?} error=\"{error}\" waited_ms={waited_ms} try={failures}"
        );
    }
}

fn log_regained(table: Table, outage: &Outage, sent_at: Instant) {
    let (away_ms, failures) = (millis_since(outage.since), outage.failures);
    let answered_ms = millis_since(sent_at);
    log::info!(
        "event=store_regained table={table:?} away_ms={away_ms} tries={failures} answered_ms={answered_ms}"
    );
}

struct TableWatcher {
    store: SocketAddr,
    /// The era of the store's last response.
    era: Option<u64>,
    table: Table,
    dialect: Arc<dyn Dialect>,
    view: PlatformView,
    client: ControlClient,
    follower: TableFollower,
}

impl TableWatcher {
    async fn run(mut self) {
        let mut outage = None;
        let mut reported = false;
        loop {
            let sent_at = Instant::now();
            let pause_ms = match self.poll().await {
                Ok(pause_ms) => {
                    if let Some(outage) = outage.take() {
                        log_regained(self.table, &outage, sent_at);
                        self.view.notify_regained();
                    }
                    pause_ms
                }
                Err(GatewayError::Superseded) => {
                    let waited_ms = millis_since(sent_at);
                    log::info!(
                        "event=store_overtaken table={:?} waited_ms={waited_ms}",
                        self.table
                    );
                    0
                }
                Err(error) => {
                    let waited_ms = millis_since(sent_at);
                    let current =
                        outage.get_or_insert(Outage { since: Instant::now(), failures: 0 });
                    current.failures += 1;
                    log_lost(self.table, current, &error, waited_ms);
                    self.follower.failed(waited_ms)
                }
            };
            self.report_current(&mut reported);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Reports whether the configuration is known to be the newest, if that has changed.
    fn report_current(&self, reported: &mut bool) {
        let current = self.follower.current();
        if self.table == Table::Text && current != *reported {
            *reported = current;
            self.view.set_config_current(current);
        }
    }

    /// Makes the next call; returns the milliseconds to wait before the one after it.
    async fn poll(&mut self) -> Result<u64, GatewayError> {
        let call = self.follower.call();
        match call.query {
            StoreQuery::Table => self.read_table(call.timeout_ms).await,
            StoreQuery::Changes { after, hold_ms } => {
                self.read_changes(after, hold_ms, call.timeout_ms).await
            }
        }
    }

    async fn read_table(&mut self, timeout_ms: u64) -> Result<u64, GatewayError> {
        let sent_at = Instant::now();
        let (mut from, mut era, mut bytes) = (None, None, 0);
        let mut table = RowPage::default();
        loop {
            let path = self.dialect.read_path(self.table, from.as_deref());
            let (status, body) = self.call(&path, timeout_ms).await?;
            if status != StatusCode::OK {
                return Err(GatewayError::Status(status.as_u16()));
            }
            let page = self.dialect.decode_rows(&body)?;
            // The lowest version of all pages: the next poll returns every change after it.
            let first_page = table.version == 0;
            table.version = if first_page { page.version } else { table.version.min(page.version) };
            // Pages of two histories are no table.
            if *era.get_or_insert(self.era) != self.era {
                return Ok(self.follower.history_gone());
            }
            bytes += body.len();
            if bytes > MAX_TABLE_BYTES {
                return Err(GatewayError::TooLarge(MAX_TABLE_BYTES));
            }
            let next = page.rows.last().map(|row| format!("{}\0", row.key));
            table.rows.extend(page.rows);
            if !page.truncated {
                break;
            }
            // Pages that do not go on from the one before have no end.
            if next <= from {
                return Err(GatewayError::NoProgress);
            }
            from = next;
        }
        let version = self.dated(table.version);
        let answer = self.follower.answered(version, millis_since(sent_at));
        if answer.usable {
            self.view.apply_rows(self.table, version, table.rows, true);
        }
        Ok(answer.pause_ms)
    }

    async fn read_changes(
        &mut self,
        after: u64,
        hold_ms: u64,
        timeout_ms: u64,
    ) -> Result<u64, GatewayError> {
        let sent_at = Instant::now();
        let path = self.dialect.changes_path(self.table, after, hold_ms);
        let (status, body) = self.call(&path, timeout_ms).await?;
        if status == StatusCode::GONE {
            // The store no longer has these changes, so the next call reads the whole table.
            log::info!("event=history_gone table={:?} version={after}", self.table);
            return Ok(self.follower.history_gone());
        }
        if status != StatusCode::OK {
            return Err(GatewayError::Status(status.as_u16()));
        }
        let page = self.dialect.decode_rows(&body)?;
        let version = self.dated(page.version);
        let answer = self.follower.answered(version, millis_since(sent_at));
        if answer.usable && !page.rows.is_empty() {
            self.view.apply_rows(self.table, version, page.rows, false);
        }
        Ok(answer.pause_ms)
    }

    /// Makes a call whose response head must arrive within `head_timeout_ms`.
    async fn call(
        &mut self,
        path: &str,
        head_timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), GatewayError> {
        let is_config = self.table == Table::Text;
        let progress = || {
            if is_config {
                self.view.report_store_progress();
            }
        };
        let regained = self.view.wait_regained();
        let request = get(self.store, path)?;
        let response = self.client.fetch(request, head_timeout_ms, regained, progress).await?;
        self.note_era(response.headers());
        if let (false, Some(era)) = (response.status() == StatusCode::OK, self.era) {
            self.follower.note_era(era);
        }
        Ok((response.status(), response.into_body()))
    }

    /// Notes the era of a response; one without an era is of the same.
    fn note_era(&mut self, headers: &HeaderMap) {
        let era = self.dialect.store_era(headers);
        let Some(era) = era.filter(|era| Some(*era) != self.era) else { return };
        let (table, before) = (self.table, self.era.unwrap_or(0));
        log::info!("event=store_era table={table:?} era={era} before={before}");
        self.era = Some(era);
        self.view.note_era(era);
    }

    /// Returns this version in the current era.
    fn dated(&self, version: u64) -> StoreVersion {
        StoreVersion { era: self.era.unwrap_or(0), version }
    }
}
