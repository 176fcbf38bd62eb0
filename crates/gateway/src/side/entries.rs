//! Connections of entries to a side.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use citronrill_pool::{CopyEvent, CopyPatience, EntryLink, SideEvent};
use citronrill_wire::{Alive, PoolKind, SideState, TextCopy, WireError};
use crossbeam::channel::Sender;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

use super::SideMetrics;
use crate::{
    call::tune,
    copies::{Copies, fetch_copies},
    dialect::Dialect,
    link::split,
};

/// What the connections to entries share.
pub(super) struct Shared {
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) events: Sender<SideEvent>,
    pub(super) texts: watch::Sender<Option<TextCopy>>,
    pub(super) states: watch::Receiver<Option<SideState>>,
    pub(super) links: Arc<Links>,
    pub(super) copies: Copies<EntryLink>,
    pub(super) metrics: Arc<SideMetrics>,
}

/// The connections to entries.
#[derive(Default)]
pub(super) struct Links {
    next: AtomicU64,
    open: Mutex<BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>>,
}

impl Links {
    fn change<T>(
        &self,
        change: impl FnOnce(&mut BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>) -> T,
    ) -> T {
        change(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Says something to one entry, if it is still there.
    pub(super) fn say(&self, link: EntryLink, kind: PoolKind) {
        let sent = self.change(|open| open.get(&link).is_some_and(|one| one.send(kind).is_ok()));
        if !sent {
            log::debug!("event=entry_gone link={}", link.0);
        }
    }
}

/// Takes connections of entries for good.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(attend(stream, from, shared.clone()));
            }
            Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

/// Serves one entry's connection.
async fn attend(stream: TcpStream, from: SocketAddr, shared: Arc<Shared>) {
    tune(&stream);
    let link = EntryLink(shared.links.next.fetch_add(1, Ordering::Relaxed));
    let (sender, replies) = mpsc::unbounded_channel();
    let entries = shared.links.change(|open| {
        open.insert(link, sender);
        open.len()
    });
    log::info!("event=entry_connected from={from} entries={entries}");
    tell_count(&shared, entries);
    if let Err(error) = converse(stream, link, replies, &shared).await {
        log::info!("event=entry_lost from={from} error=\"{error}\"");
    }
    shared.copies.gone(link);
    let entries = shared.links.change(|open| {
        open.remove(&link);
        open.len()
    });
    tell_count(&shared, entries);
}

fn tell_count(shared: &Shared, entries: usize) {
    if shared.events.send(SideEvent::Entries(entries as u32)).is_err() {
        log::debug!("event=control_gone");
    }
}

async fn converse(
    stream: TcpStream,
    link: EntryLink,
    mut replies: mpsc::UnboundedReceiver<PoolKind>,
    shared: &Shared,
) -> Result<(), WireError> {
    let (mut receiver, mut sender) = split(stream);
    let mut states = shared.states.clone();
    states.mark_changed();
    loop {
        tokio::select! {
            changed = states.changed() => {
                changed.map_err(|_| WireError::Closed)?;
                let state = states.borrow_and_update().clone();
                if let Some(state) = state {
                    sender.send(PoolKind::State(state)).await?;
                }
            }
            Some(reply) = replies.recv() => sender.send(reply).await?,
            heard = receiver.next() => take(heard?, link, shared)?,
        }
    }
}

fn take(kind: PoolKind, link: EntryLink, shared: &Shared) -> Result<(), WireError> {
    let event = match kind {
        PoolKind::Want(want) => SideEvent::Want(link, want),
        PoolKind::Used(used) => SideEvent::Used(used),
        PoolKind::Version(text) => {
            shared.copies.tell(CopyEvent::Offered(link, text.version));
            return Ok(());
        }
        PoolKind::TextPart(part) => {
            shared.copies.tell(CopyEvent::Part(link, part));
            return Ok(());
        }
        PoolKind::Probe(_) => {
            shared.links.say(link, PoolKind::Alive(Alive {}));
            return Ok(());
        }
        PoolKind::TextAsk(ask) => {
            let part = shared.copies.answer(link, &ask, shared.texts.borrow().as_ref());
            shared.links.say(link, PoolKind::TextPart(part));
            return Ok(());
        }
        PoolKind::State(_) | PoolKind::Declined(_) | PoolKind::Alive(_) | PoolKind::Snapshot(_) => {
            return Err(WireError::OutOfTurn);
        }
    };
    shared.events.send(event).map_err(|_| WireError::Closed)
}

/// Fetches the text from entries.
pub(super) async fn fetch_texts(
    seed: u64,
    events: mpsc::UnboundedReceiver<CopyEvent<EntryLink>>,
    shared: Arc<Shared>,
) {
    let ask = |link, ask| shared.links.say(link, PoolKind::TextAsk(ask));
    let take = |copy| {
        shared.metrics.texts.add();
        take_text(copy, &shared);
    };
    fetch_copies(CopyPatience::PeersOnly, seed, events, ask, take).await;
}

/// Keeps a text, if it is newer.
fn take_text(copy: TextCopy, shared: &Shared) {
    let newer =
        |held: &Option<TextCopy>| held.as_ref().is_none_or(|held| held.version < copy.version);
    if !newer(&shared.texts.borrow()) {
        return;
    }
    match shared.dialect.text(&copy.bytes) {
        Ok(text) => {
            shared.copies.tell(CopyEvent::Own(copy.version));
            shared.texts.send_replace(Some(copy));
            if shared.events.send(SideEvent::Text(Arc::new(text))).is_err() {
                log::debug!("event=control_gone");
            }
        }
        Err(error) => log::warn!("event=text_unreadable source=entry error=\"{error}\""),
    }
}
