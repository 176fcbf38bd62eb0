//! An entry's connections to the sides.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citronrill_pool::EntryEvent;
use citronrill_wire::{PoolKind, WireError};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    call::connect,
    entry::{Events, side_address},
    link::split,
    store::TextBoard,
};

/// Milliseconds without a word after which a connection counts as lost: a side speaks every 500.
const SILENT_MS: u64 = 1_700;
/// Milliseconds before another try.
const AGAIN_MS: u64 = 300;

/// What the control thread wants of the connections.
#[derive(Debug)]
pub(crate) enum SideCommand {
    /// Keep connections to the sides beside these endpoints, and to no others.
    Keep(Vec<SocketAddr>),
    /// Tell the side beside this endpoint.
    Say(SocketAddr, PoolKind),
}

struct Link {
    sender: UnboundedSender<PoolKind>,
    task: JoinHandle<()>,
}

/// Keeps the connections until the control thread ends.
pub(crate) async fn run_sides(
    port: u16,
    mut commands: UnboundedReceiver<SideCommand>,
    board: TextBoard,
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
                let sent = links.get(&endpoint).is_some_and(|link| link.sender.send(kind).is_ok());
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
    board: TextBoard,
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
    board: &TextBoard,
    events: &Events,
    known: &mut bool,
) -> Result<(), WireError> {
    let stream = connect(side_address(endpoint, port))
        .await
        .map_err(|error| WireError::Io(std::io::Error::other(error.to_string())))?;
    let (mut receiver, mut sender) = split(stream);
    let mut texts = board.follow();
    texts.mark_changed();
    let silence = Duration::from_millis(SILENT_MS);
    loop {
        tokio::select! {
            said = says.recv() => match said {
                Some(kind) => sender.send(kind).await?,
                None => return Ok(()),
            },
            changed = texts.changed() => {
                changed.map_err(|_| WireError::Closed)?;
                let copy = texts.borrow_and_update().as_ref().map(|read| read.copy.clone());
                if let Some(copy) = copy {
                    sender.send(PoolKind::Text(copy)).await?;
                }
            }
            heard = timeout(silence, receiver.next()) => {
                let kind = heard.map_err(|_| WireError::Closed)??;
                if !*known {
                    *known = true;
                    log::info!("event=side_regained endpoint={endpoint}");
                }
                match kind {
                    PoolKind::State(state) => events.send(EntryEvent::Side(endpoint, state)),
                    PoolKind::Text(copy) => board.offer(&copy.bytes, "side"),
                    PoolKind::Declined(name) => {
                        events.send(EntryEvent::Declined(endpoint, name));
                    }
                    PoolKind::Want(_) | PoolKind::Used(_) => return Err(WireError::OutOfTurn),
                }
            }
        }
    }
}
