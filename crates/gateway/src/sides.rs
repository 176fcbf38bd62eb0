//! An entry's connections to the sides.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use citronrill_pool::{CopyEvent, EntryEvent, SideLoss};
use citronrill_wire::{PoolKind, TextVersion, WireError};
use thiserror::Error;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    board::Board,
    call::connect,
    copies::Copies,
    entry::{Events, ReadText, side_address},
    error::GatewayError,
    link::split,
};

/// Milliseconds without a word after which a connection counts as lost: a side speaks every 500.
const SILENT_MS: u64 = 1_700;
/// Milliseconds for the answer to a probe, after which the connection is made anew: it may have gone silent by
/// itself, which a new one shows at once.
const PROBE_ANSWER_MS: u64 = 250;
/// Milliseconds for a connection to a side. While its instance has no power the first packet is lost,
/// and is sent again after a second: a new try is quicker. With 600, after a loss of power everywhere,
/// entries reached most sides a second later than those were up.
const CONNECT_MS: u64 = 150;
/// Milliseconds before another try.
const AGAIN_MS: u64 = 100;

/// Why the connection to a side was lost.
#[derive(Debug, Error)]
enum LinkError {
    /// No connection was made.
    #[error(transparent)]
    Connect(#[from] GatewayError),
    /// It broke, or the other end spoke out of turn.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Nothing came for too long, or no answer to a probe.
    #[error("no word")]
    Silent,
}

impl LinkError {
    /// Whether the other end said nothing at all: whoever refuses or resets a connection moves.
    fn is_silence(&self) -> bool {
        let answered = |error: &io::Error| {
            matches!(
                error.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            )
        };
        match self {
            LinkError::Silent | LinkError::Connect(GatewayError::Timeout(_)) => true,
            LinkError::Connect(GatewayError::Connect { source, .. }) => !answered(source),
            LinkError::Wire(WireError::Io(error)) => !answered(error),
            LinkError::Connect(_) | LinkError::Wire(_) => false,
        }
    }
}

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
    copies: Copies<SocketAddr>,
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
                        copies.gone(*endpoint);
                    }
                    kept
                });
                for endpoint in endpoints {
                    links.entry(endpoint).or_insert_with(|| {
                        let (sender, receiver) = unbounded_channel();
                        let link = SideLink {
                            endpoint,
                            port,
                            board: board.clone(),
                            copies: copies.clone(),
                            events: events.clone(),
                        };
                        let task = tokio::spawn(link.keep(receiver));
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

/// The connection to one side.
struct SideLink {
    endpoint: SocketAddr,
    /// Where sides listen, beside each endpoint.
    port: u16,
    board: Board,
    copies: Copies<SocketAddr>,
    events: Events,
}

impl SideLink {
    /// Keeps the connection.
    async fn keep(self, mut says: UnboundedReceiver<PoolKind>) {
        let endpoint = self.endpoint;
        let mut known = true;
        loop {
            let error = match self.talk(&mut says, &mut known).await {
                Ok(()) => return,
                Err(error) => error,
            };
            self.copies.gone(endpoint);
            self.tell_lost(&error);
            if known {
                log::info!("event=side_lost endpoint={endpoint} error=\"{error}\"");
            }
            known = false;
            // What was asked for meanwhile is stale by the time the side is back.
            while says.try_recv().is_ok() {}
            sleep(Duration::from_millis(AGAIN_MS)).await;
        }
    }

    /// Tells the control thread how the connection was lost.
    fn tell_lost(&self, error: &LinkError) {
        let loss = if error.is_silence() { SideLoss::Silent } else { SideLoss::Closed };
        self.events.send(EntryEvent::SideLost(self.endpoint, loss));
    }

    async fn talk(
        &self,
        says: &mut UnboundedReceiver<PoolKind>,
        known: &mut bool,
    ) -> Result<(), LinkError> {
        let endpoint = self.endpoint;
        let stream = connect(side_address(endpoint, self.port), CONNECT_MS).await?;
        let (mut receiver, mut sender) = split(stream);
        let mut texts = self.board.follow();
        texts.mark_changed();
        let mut due = Instant::now() + Duration::from_millis(SILENT_MS);
        loop {
            tokio::select! {
                // What has come already is read before anything is held to be late.
                biased;
                kind = receiver.next() => {
                    let kind = kind?;
                    due = Instant::now() + Duration::from_millis(SILENT_MS);
                    if !*known {
                        *known = true;
                        log::info!("event=side_regained endpoint={endpoint}");
                    }
                    if let Some(reply) = self.take(kind)? {
                        sender.send(reply).await?;
                    }
                }
                said = says.recv() => match said {
                    Some(kind) => {
                        if matches!(kind, PoolKind::Probe(_)) {
                            due = due.min(Instant::now() + Duration::from_millis(PROBE_ANSWER_MS));
                        }
                        sender.send(kind).await?;
                    }
                    None => return Ok(()),
                },
                changed = texts.changed() => {
                    changed.map_err(|_| WireError::Closed)?;
                    let version = version_of(&texts.borrow_and_update());
                    sender.send(PoolKind::Version(TextVersion { version })).await?;
                }
                () = sleep_until(due) => return Err(LinkError::Silent),
            }
        }
    }

    /// Takes what the side says; gives what it is answered.
    fn take(&self, kind: PoolKind) -> Result<Option<PoolKind>, WireError> {
        let endpoint = self.endpoint;
        match kind {
            PoolKind::State(state) => {
                self.copies.tell(CopyEvent::Offered(endpoint, state.text));
                self.events.send(EntryEvent::Side(endpoint, state));
            }
            PoolKind::TextPart(part) => self.copies.tell(CopyEvent::Part(endpoint, part)),
            PoolKind::TextAsk(ask) => {
                return Ok(Some(PoolKind::TextPart(self.board.answer(endpoint, &ask))));
            }
            PoolKind::Declined(name) => self.events.send(EntryEvent::Declined(endpoint, name)),
            PoolKind::Alive(_) => self.events.send(EntryEvent::Alive(endpoint)),
            PoolKind::Want(_)
            | PoolKind::Probe(_)
            | PoolKind::Used(_)
            | PoolKind::Version(_)
            | PoolKind::Snapshot(_) => return Err(WireError::OutOfTurn),
        }
        Ok(None)
    }
}

fn version_of(held: &Option<ReadText>) -> u64 {
    held.as_ref().map_or(0, |read| read.copy.version)
}
