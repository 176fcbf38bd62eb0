//! Reading the platform's store: a whole table first, its changes after.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use citronrill_base::hash_bytes;
use citronrill_config::PoolSettings;
use citronrill_pool::{
    CopyEvent, EntryEvent, Follow, FollowProfile, Member, MemberChange, StoreAsk,
};
use citronrill_wire::{MemberRow, Snapshot, TextAsk, TextCopy, TextPart};
use hyper::StatusCode;
use tokio::{sync::watch, time::sleep};

use crate::{
    call::{Control, get},
    copies::Copies,
    dialect::{Dialect, RowPage, RowValue, StoreRow, Table},
    entry::{Events, ReadText},
    error::GatewayError,
};

/// Milliseconds between two calls for the list: some endpoint writes several times a second, and a
/// call that is held would return at once each time. A leaving endpoint is to be left alone within two
/// seconds; this and the store's answer are half of that.
const LIST_PAUSE_MS: u64 = 900;
/// Failed calls of one outage that are logged at most.
const LOGGED_TRIES: u32 = 16;

/// Rows of the list that cannot be read and are named in the log, at most: whoever writes them may
/// write thousands.
const UNREADABLE_LIMIT: usize = 64;
/// Characters of a decoder's reason that are logged at most; it may cite what it read.
const REASON_LIMIT: usize = 160;

/// Text and list as last read, for all who pass them on.
#[derive(Clone)]
pub(crate) struct Board {
    dialect: Arc<dyn Dialect>,
    events: Events,
    copies: Copies<SocketAddr>,
    sender: Arc<watch::Sender<Option<ReadText>>>,
    /// Marked when the store answers for a table again for which it did not.
    regained: Arc<watch::Sender<()>>,
    list: Arc<Mutex<List>>,
}

/// The list of endpoints, as the platform keeps it.
#[derive(Default)]
struct List {
    /// 0 until it was read.
    version: u64,
    rows: BTreeMap<String, Vec<u8>>,
    /// Keys of rows that could not be read and were logged.
    unreadable: BTreeSet<String>,
}

impl List {
    /// Logs a row that cannot be read: once, until it can be, and for so many rows at most.
    fn note_unreadable(&mut self, key: &str, reason: &str) {
        let room = self.unreadable.len() < UNREADABLE_LIMIT;
        if room && self.unreadable.insert(key.to_owned()) {
            let reason = reason.chars().take(REASON_LIMIT).collect::<String>();
            log::warn!("event=member_unreadable instance={key:?} error={reason:?}");
        }
    }
}

impl Board {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        events: Events,
        copies: Copies<SocketAddr>,
    ) -> Board {
        let sender = Arc::new(watch::Sender::new(None));
        let regained = Arc::new(watch::Sender::new(()));
        Board { dialect, events, copies, sender, regained, list: Arc::default() }
    }

    /// Takes the bytes of a text, from the store or a peer; an older one changes nothing.
    pub(crate) fn offer(&self, bytes: &[u8], source: &str) {
        let text = match self.dialect.text(bytes) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("event=text_unreadable source={source} error=\"{error}\"");
                return;
            }
        };
        let copy = TextCopy { version: text.version, bytes: bytes.to_vec() };
        let read = ReadText { copy, text: Arc::new(text) };
        let newer = self.sender.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.copy.version < read.copy.version);
            if newer {
                *held = Some(read.clone());
            }
            newer
        });
        if newer {
            let (version, size) = (read.copy.version, read.copy.bytes.len());
            log::info!("event=text_read source={source} version={version} bytes={size}");
            self.copies.tell(CopyEvent::Own(version));
            self.events.send(EntryEvent::Text(read.text));
        }
    }

    /// Bytes of the text arrive from the store: no peer is to be asked for a copy.
    fn text_arrives(&self) {
        self.copies.tell(CopyEvent::Progress);
    }

    /// Follows the text.
    pub(crate) fn follow(&self) -> watch::Receiver<Option<ReadText>> {
        self.sender.subscribe()
    }

    /// Takes rows of the list; with `whole`, those that are missing are gone.
    fn take_list(&self, version: u64, whole: bool, rows: Vec<StoreRow>) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        if whole {
            list.rows.clear();
        }
        list.version = list.version.max(version);
        let rows = rows.into_iter().map(|row| self.take_row(&mut list, row)).collect();
        drop(list);
        self.events.send(EntryEvent::Members(MemberChange { whole, version, rows }));
    }

    /// Takes one row of the list.
    ///
    /// Others than the endpoints write rows, too. One that cannot be read names no endpoint to use,
    /// also where the row was good before, and peers are not told of it.
    fn take_row(&self, list: &mut List, row: StoreRow) -> (String, Option<Member>) {
        let StoreRow { key, value } = row;
        let read = match value {
            RowValue::Removed => Ok(None),
            RowValue::Bytes(bytes) => match self.dialect.member(&key, &bytes) {
                Ok(member) => Ok(Some((member, bytes))),
                Err(error) => Err(error.to_string()),
            },
            RowValue::Unreadable(reason) => Err(reason),
        };
        list.rows.remove(&key);
        match read {
            Ok(found) => {
                list.unreadable.remove(&key);
                let (member, bytes) = found.unzip();
                list.rows.extend(bytes.map(|bytes| (key.clone(), bytes)));
                (key, member)
            }
            Err(reason) => {
                list.note_unreadable(&key, &reason);
                (key, None)
            }
        }
    }

    /// Whether text and list are known.
    pub(crate) fn complete(&self) -> bool {
        let listed = self.list.lock().unwrap_or_else(PoisonError::into_inner).version > 0;
        listed && self.sender.borrow().is_some()
    }

    /// The version of the text; 0 if none is known.
    pub(crate) fn text_version(&self) -> u64 {
        self.sender.borrow().as_ref().map_or(0, |read| read.copy.version)
    }

    /// Answers a peer's question for the text.
    pub(crate) fn answer(&self, peer: SocketAddr, ask: &TextAsk) -> TextPart {
        let held = self.sender.borrow();
        self.copies.answer(peer, ask, held.as_ref().map(|read| &read.copy))
    }

    /// The connection to a peer that may have asked has ended.
    pub(crate) fn peer_gone(&self, peer: SocketAddr) {
        self.copies.gone(peer);
    }

    /// What a peer is told; nothing while either is unknown.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let text = self.text_version();
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let known = text > 0 && list.version > 0;
        let rows = list.rows.iter();
        let rows = rows.map(|(name, bytes)| MemberRow { name: name.clone(), bytes: bytes.clone() });
        known.then(|| Snapshot { text, list: list.version, members: rows.collect() })
    }

    /// Takes what a peer believes, where the store has told nothing yet.
    pub(crate) fn take_snapshot(&self, snapshot: Snapshot, peer: SocketAddr) {
        let (version, count) = (snapshot.list, snapshot.members.len());
        if version == 0 {
            return;
        }
        log::info!("event=snapshot_read peer={peer} list={version} members={count}");
        let unread = self.list.lock().unwrap_or_else(PoisonError::into_inner).version == 0;
        if unread {
            let rows = snapshot.members.into_iter();
            let rows =
                rows.map(|row| StoreRow { key: row.name, value: RowValue::Bytes(row.bytes) });
            self.take_list(version, true, rows.collect());
        }
    }
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

/// Follows one table for good.
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
    let (away_ms, tries) = (outage.since.elapsed().as_millis(), outage.tries);
    let answered_ms = asked.elapsed().as_millis();
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
                        self.board.regained.send_replace(());
                    }
                    pause_ms
                }
                Err(GatewayError::Overtaken) => {
                    let waited_ms = asked.elapsed().as_millis();
                    log::info!(
                        "event=store_overtaken table={:?} waited_ms={waited_ms}",
                        self.table
                    );
                    self.follow.overtaken()
                }
                Err(error) => {
                    let waited_ms = asked.elapsed().as_millis() as u64;
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
            self.board.events.send(EntryEvent::TextCurrent(current));
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
        let pause_ms = self.follow.answered(all.version);
        self.take(all, true);
        Ok(pause_ms)
    }

    async fn changes(
        &mut self,
        after: u64,
        hold_ms: u64,
        limit_ms: u64,
    ) -> Result<u64, GatewayError> {
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
        let pause_ms = self.follow.answered(page.version);
        if !page.rows.is_empty() {
            self.take(page, false);
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
        let mut regained = self.board.regained.subscribe();
        let overtaken = async move {
            if regained.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let request = get(self.store, path)?;
        let response = self.control.fetch(request, head_ms, overtaken, progress).await?;
        Ok((response.status(), response.into_body()))
    }

    fn take(&self, page: RowPage, whole: bool) {
        match self.table {
            Table::Text => {
                let texts = page.rows.iter().filter(|row| self.dialect.is_text(&row.key));
                for row in texts {
                    match &row.value {
                        RowValue::Bytes(bytes) => self.board.offer(bytes, "store"),
                        RowValue::Removed => log::warn!("event=text_removed source=store"),
                        RowValue::Unreadable(reason) => {
                            log::warn!("event=text_unreadable source=store error={reason:?}");
                        }
                    }
                }
            }
            Table::Members => self.board.take_list(page.version, whole, page.rows),
        }
    }
}
