//! Reading the platform's store: a whole table first, its changes after.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_base::hash_bytes;
use citronrill_config::PoolSettings;
use citronrill_pool::{Follow, FollowProfile, StoreAsk};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::{
    board::Board,
    call::{Control, get},
    dialect::{Dialect, RowPage, Table},
    error::GatewayError,
};

/// Milliseconds between two calls for the list: some endpoint writes several times a second, and a
/// call that is held would return at once each time. A leaving endpoint is to be left alone within two
/// seconds; this and the store's answer are half of that.
const LIST_PAUSE_MS: u64 = 900;
/// Failed calls of one outage that are logged at most.
const LOGGED_TRIES: u32 = 16;

fn millis_since(moment: Instant) -> u64 {
    moment.elapsed().as_millis() as u64
}

/// How this process follows a table.
fn profile(settings: &PoolSettings, table: Table) -> FollowProfile {
    let pace_ms = match table {
        Table::Text => 0,
        Table::Members => LIST_PAUSE_MS,
    };
    let seed = hash_bytes(format!("{} {table:?}", settings.name).as_bytes());
    FollowProfile { seed, recover_ms: settings.recover_ms, pace_ms }
}

/// Follows one table for good: says what has changed to `board`.
pub(crate) fn watch_table(
    settings: &PoolSettings,
    table: Table,
    dialect: Arc<dyn Dialect>,
    board: Board,
) -> impl Future<Output = ()> + use<> {
    let store = settings.store;
    let (control, follow) = (Control::new(store), Follow::new(profile(settings, table)));
    let watch = Watch { store, table, dialect, board, control, follow };
    watch.keep()
}

/// Calls for one table that failed in a row.
struct Outage {
    /// When the first of them failed.
    since: Instant,
    tries: u32,
}

fn note_lost(table: Table, outage: &Outage, error: &GatewayError, waited_ms: u64) {
    let tries = outage.tries;
    if tries <= LOGGED_TRIES {
        log::warn!(
            "event=store_lost table={table:?} error=\"{error}\" waited_ms={waited_ms} try={tries}"
        );
    }
}

fn note_regained(table: Table, outage: &Outage, asked: Instant) {
    let (away_ms, tries) = (millis_since(outage.since), outage.tries);
    let answered_ms = millis_since(asked);
    log::info!(
        "event=store_regained table={table:?} away_ms={away_ms} tries={tries} answered_ms={answered_ms}"
    );
}

struct Watch {
    store: SocketAddr,
    table: Table,
    dialect: Arc<dyn Dialect>,
    board: Board,
    control: Control,
    follow: Follow,
}

impl Watch {
    async fn keep(mut self) {
        let mut outage = None;
        let mut told = false;
        loop {
            let asked = Instant::now();
            let pause_ms = match self.turn().await {
                Ok(pause_ms) => {
                    if let Some(outage) = outage.take() {
                        note_regained(self.table, &outage, asked);
                        self.board.mark_regained();
                    }
                    pause_ms
                }
                Err(GatewayError::Overtaken) => {
                    let waited_ms = millis_since(asked);
                    log::info!(
                        "event=store_overtaken table={:?} waited_ms={waited_ms}",
                        self.table
                    );
                    0
                }
                Err(error) => {
                    let waited_ms = millis_since(asked);
                    let known = outage.get_or_insert(Outage { since: Instant::now(), tries: 0 });
                    known.tries += 1;
                    note_lost(self.table, known, &error, waited_ms);
                    self.follow.failed(waited_ms)
                }
            };
            self.tell_current(&mut told);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Says whether the text is known to be the newest, where that has changed.
    fn tell_current(&self, told: &mut bool) {
        let current = self.follow.current();
        if self.table == Table::Text && current != *told {
            *told = current;
            self.board.tell_current(current);
        }
    }

    /// Makes the next call; gives the milliseconds until the one after it.
    async fn turn(&mut self) -> Result<u64, GatewayError> {
        let call = self.follow.call();
        match call.ask {
            StoreAsk::Whole => self.read(call.limit_ms).await,
            StoreAsk::Changes { after, hold_ms } => {
                self.changes(after, hold_ms, call.limit_ms).await
            }
        }
    }

    async fn read(&mut self, limit_ms: u64) -> Result<u64, GatewayError> {
        let asked = Instant::now();
        let mut from = None;
        let mut all = RowPage::default();
        loop {
            let path = self.dialect.read_path(self.table, from.as_deref());
            let (status, body) = self.call(&path, limit_ms).await?;
            if status != StatusCode::OK {
                return Err(GatewayError::Status(status.as_u16()));
            }
            let page = self.dialect.rows(&body)?;
            // The oldest page decides: what changed after it comes with the changes.
            let first = all.version == 0;
            all.version = if first { page.version } else { all.version.min(page.version) };
            from = page.rows.last().map(|row| format!("{}\0", row.key));
            all.rows.extend(page.rows);
            if !page.truncated {
                break;
            }
        }
        let pause_ms = self.follow.answered(all.version, millis_since(asked));
        self.board.take(self.table, all, true);
        Ok(pause_ms)
    }

    async fn changes(
        &mut self,
        after: u64,
        hold_ms: u64,
        limit_ms: u64,
    ) -> Result<u64, GatewayError> {
        let asked = Instant::now();
        let path = self.dialect.watch_path(self.table, after, hold_ms);
        let (status, body) = self.call(&path, limit_ms).await?;
        if status == StatusCode::GONE {
            // The history is gone: what changed meanwhile can only be seen in the whole.
            log::info!("event=history_gone table={:?} version={after}", self.table);
            return Ok(self.follow.history_gone());
        }
        if status != StatusCode::OK {
            return Err(GatewayError::Status(status.as_u16()));
        }
        let page = self.dialect.rows(&body)?;
        let pause_ms = self.follow.answered(page.version, millis_since(asked));
        if !page.rows.is_empty() {
            self.board.take(self.table, page, false);
        }
        Ok(pause_ms)
    }

    /// Makes a call; the head of its answer has to come within `head_ms`.
    async fn call(
        &mut self,
        path: &str,
        head_ms: u64,
    ) -> Result<(StatusCode, Bytes), GatewayError> {
        let is_text = self.table == Table::Text;
        let progress = || {
            if is_text {
                self.board.text_arrives();
            }
        };
        let overtaken = self.board.regained();
        let request = get(self.store, path)?;
        let response = self.control.fetch(request, head_ms, overtaken, progress).await?;
        Ok((response.status(), response.into_body()))
    }
}
