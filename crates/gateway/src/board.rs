//! What this process knows of the platform: the text and the list of endpoints as last read, from the store or
//! from peers, for all who pass them on.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use citronrill_pool::{CopyEvent, EntryEvent, Member, MemberChange};
use citronrill_wire::{MemberRow, Snapshot, TextAsk, TextCopy, TextPart};
use tokio::sync::watch;

use crate::{
    copies::Copies,
    dialect::{Dialect, RowPage, RowValue, StoreRow, Table},
    entry::{Events, ReadText},
};

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

    /// Takes rows that the store has given; with `whole`, they are the whole table.
    pub(crate) fn take(&self, table: Table, page: RowPage, whole: bool) {
        match table {
            Table::Text => {
                let texts = page.rows.iter().filter(|row| self.dialect.is_text(&row.key));
                for row in texts {
                    match &row.value {
                        RowValue::Bytes(bytes) => self.offer(bytes, "store"),
                        RowValue::Removed => log::warn!("event=text_removed source=store"),
                        RowValue::Unreadable(reason) => {
                            log::warn!("event=text_unreadable source=store error={reason:?}");
                        }
                    }
                }
            }
            Table::Members => self.take_list(page.version, whole, page.rows),
        }
    }

    /// Says whether the store answers for the text.
    pub(crate) fn tell_current(&self, current: bool) {
        self.events.send(EntryEvent::TextCurrent(current));
    }

    /// The store answers for a table again for which it did not.
    pub(crate) fn mark_regained(&self) {
        self.regained.send_replace(());
    }

    /// Ends when the store, from now on, answers for a table again for which it did not.
    pub(crate) fn regained(&self) -> impl Future<Output = ()> + use<> {
        let mut regained = self.regained.subscribe();
        async move {
            // A board that is gone has nothing to say any more.
            if regained.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    /// Bytes of the text arrive from the store: no peer is to be asked for a copy.
    pub(crate) fn text_arrives(&self) {
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
