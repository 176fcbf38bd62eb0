//! An entry's connections to the sides.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citronrill_base::hash_bytes;
use citronrill_pool::EntryEvent;
use citronrill_wire::{PoolKind, TextVersion, WireError};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    call::connect,
    entry::{Events, side_address},
    link::split,
    store::Board,
};

/// Milliseconds without a word after which a connection counts as lost: a side speaks every 500.
const SILENT_MS: u64 = 1_700;
/// Milliseconds over which entries spread the first copy of a text for a side.
const FIRST_SPREAD_MS: u64 = 300;
/// Milliseconds over which entries spread copies of a newer text: sides need what it says of models,
/// which seldom changes.
const SPREAD_MS: u64 = 1_500;
/// Milliseconds for a connection to a side. While its instance has no power the first packet is lost,
/// and is sent again after a second: a new try is quicker. With 600, after a loss of power everywhere,
/// entries reached most sides a second later than those were up.
const CONNECT_MS: u64 = 150;
/// Milliseconds before another try.
const AGAIN_MS: u64 = 100;

/// What the control thread wants of the connections.
#[derive(Debug)]
pub(crate) enum SideCommand {
    /// Keep connections to the sides beside these endpoints, and to no others.
    Keep(Vec<SocketAddr>),
    /// Tell the side beside this endpoint.
    Say(SocketAddr, Box<PoolKind>),
}

struct Link {
    sender: UnboundedSender<PoolKind>,
    task: JoinHandle<()>,
}

/// Keeps the connections until the control thread ends.
pub(crate) async fn run_sides(
    port: u16,
    mut commands: UnboundedReceiver<SideCommand>,
    board: Board,
    events: Events,
) {
    let mut links = BTreeMap::<SocketAddr, Link>::new();
    while let Some(command) = commands.recv().await {
        match command {
            SideCommand::Keep(endpoints) => {
                links.retain(|endpoint, link| {
                    let kept = endpoints.contains(endpoint);
                    if !kept {
                        link.task.abort();
                    }
                    kept
                });
                for endpoint in endpoints {
                    links.entry(endpoint).or_insert_with(|| {
                        let (sender, receiver) = unbounded_channel();
                        let (board, events) = (board.clone(), events.clone());
                        let task = tokio::spawn(keep(endpoint, port, receiver, board, events));
                        Link { sender, task }
                    });
                }
            }
            SideCommand::Say(endpoint, kind) => {
                let sent = links.get(&endpoint).is_some_and(|link| link.sender.send(*kind).is_ok());
                if !sent {
                    log::debug!("event=side_unknown endpoint={endpoint}");
                }
            }
        }
    }
}

/// Keeps one connection.
async fn keep(
    endpoint: SocketAddr,
    port: u16,
    mut says: UnboundedReceiver<PoolKind>,
    board: Board,
    events: Events,
) {
    let mut known = true;
    loop {
        let error = match talk(endpoint, port, &mut says, &board, &events, &mut known).await {
            Ok(()) => return,
            Err(error) => error,
        };
        if known {
            log::info!("event=side_lost endpoint={endpoint} error=\"{error}\"");
        }
        known = false;
        // What was asked for meanwhile is stale by the time the side is back.
        while says.try_recv().is_ok() {}
        sleep(Duration::from_millis(AGAIN_MS)).await;
    }
}

async fn talk(
    endpoint: SocketAddr,
    port: u16,
    says: &mut UnboundedReceiver<PoolKind>,
    board: &Board,
    events: &Events,
    known: &mut bool,
) -> Result<(), WireError> {
    let stream = connect(side_address(endpoint, port), CONNECT_MS)
        .await
        .map_err(|error| WireError::Io(std::io::Error::other(error.to_string())))?;
    let local = stream.local_addr()?;
    let (mut receiver, mut sender) = split(stream);
    let mut texts = board.follow();
    texts.mark_changed();
    let silence = Duration::from_millis(SILENT_MS);
    let mut heard_at = Instant::now();
    let mut push = Push::new(hash_bytes(format!("{local} {endpoint}").as_bytes()));
    loop {
        tokio::select! {
            said = says.recv() => match said {
                Some(kind) => sender.send(kind).await?,
                None => return Ok(()),
            },
            changed = texts.changed() => {
                changed.map_err(|_| WireError::Closed)?;
                let version = texts.borrow_and_update().as_ref().map_or(0, |read| read.copy.version);
                sender.send(PoolKind::Version(TextVersion { version })).await?;
                push.own(version);
            }
            () = push.due() => {
                push.sent();
                let copy = texts.borrow().as_ref().map(|read| read.copy.clone());
                if let Some(copy) = copy {
                    let (version, bytes) = (copy.version, copy.bytes.len());
                    log::info!("event=text_sending to={endpoint} version={version} bytes={bytes}");
                    sender.send(PoolKind::Text(copy)).await?;
                    log::info!("event=text_sent to={endpoint} version={version} bytes={bytes}");
                }
            }
            () = sleep_until(heard_at + silence) => return Err(WireError::Closed),
            kind = receiver.next() => {
                let kind = kind?;
                heard_at = Instant::now();
                if !*known {
                    *known = true;
                    log::info!("event=side_regained endpoint={endpoint}");
                }
                match kind {
                    PoolKind::State(state) => {
                        push.peer(state.text);
                        events.send(EntryEvent::Side(endpoint, state));
                    }
                    PoolKind::Text(copy) => {
                        let (version, bytes) = (copy.version, copy.bytes.len());
                        log::info!("event=text_received from={endpoint} version={version} bytes={bytes}");
                        board.offer(&copy.bytes, "side");
                    }
                    PoolKind::Declined(name) => {
                        events.send(EntryEvent::Declined(endpoint, name));
                    }
                    PoolKind::Want(_)
                    | PoolKind::Used(_)
                    | PoolKind::Version(_)
                    | PoolKind::Snapshot(_) => {
                        return Err(WireError::OutOfTurn);
                    }
                }
            }
        }
    }
}

/// When a copy of the text is sent to a side that does not have it.
///
/// Every entry is connected to every side. Sent at once by each, a text of many routes crossed
/// between zones once for each pair of them: 0.84 GB on a day with ten changes, 26 entries and 47
/// sides, most of them of copies that the side had from another by then. Each entry waits for a time
/// of its own, and sends only if the side still lacks it.
struct Push {
    spread: u64,
    own: u64,
    peer: u64,
    at: Option<Instant>,
}

impl Push {
    fn new(spread: u64) -> Push {
        Push { spread, own: 0, peer: 0, at: None }
    }

    /// The entry has this version now.
    fn own(&mut self, version: u64) {
        self.own = version;
        self.plan();
    }

    /// The side has this version.
    fn peer(&mut self, version: u64) {
        self.peer = version;
        self.plan();
    }

    fn plan(&mut self) {
        if self.own <= self.peer {
            self.at = None;
        } else if self.at.is_none() {
            // A side without any text can do nothing; one with an old text misses little.
            let window = if self.peer == 0 { FIRST_SPREAD_MS } else { SPREAD_MS };
            let wait = Duration::from_millis(self.spread % window);
            self.at = Some(Instant::now() + wait);
        }
    }

    /// A copy was sent; another follows only if the side does not say that it has it.
    fn sent(&mut self) {
        self.at = Some(Instant::now() + Duration::from_millis(SPREAD_MS));
    }

    async fn due(&self) {
        match self.at {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    }
}
