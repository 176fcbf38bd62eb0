//! What an entry that starts while the store is away learns from another entry.
//!
//! The failure it meets: a process is killed and starts again during an outage of the store. It knows
//! neither text nor endpoints and would refuse everybody until the store is back, though the entries
//! beside it serve. So each entry tells what it believes to whoever connects to its address for peers,
//! and one that cannot read the store asks the peers that its settings name. The store's own word
//! replaces theirs as soon as it comes; a text never goes back, whoever told it.

use std::{net::SocketAddr, time::Duration};

use citronrill_pool::is_last;
use citronrill_wire::{PoolKind, TextAsk, WireError};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    board::Board,
    call::{connect, tune},
    link::{Receiver, Sender, split},
};

/// Milliseconds that the store is given before peers are asked: it answers within a few.
const STORE_FIRST_MS: u64 = 250;
/// Milliseconds for a connection to a peer; some of those that are named may be down.
const CONNECT_MS: u64 = 150;
/// Milliseconds for one message of a peer.
const ANSWER_MS: u64 = 500;
/// Milliseconds before the peers are asked again.
const AGAIN_MS: u64 = 400;

/// Tells whoever connects what this entry believes, for good.
pub(crate) async fn serve_seeds(listener: TcpListener, board: Board) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let board = board.clone();
        tokio::spawn(async move {
            if let Err(error) = tell(stream, from, &board).await {
                log::info!("event=snapshot_untold to={from} error=\"{error}\"");
            }
            board.peer_gone(from);
        });
    }
}

async fn tell(stream: TcpStream, from: SocketAddr, board: &Board) -> Result<(), WireError> {
    tune(&stream);
    let (mut receiver, mut sender) = split(stream);
    // An entry that knows nothing itself says so, or the asker would wait for its word.
    sender.send(PoolKind::Snapshot(board.snapshot().unwrap_or_default())).await?;
    // The asker closes once it has what it needs; closing first could reset what is still on its way.
    loop {
        match timeout(Duration::from_millis(ANSWER_MS), receiver.next()).await {
            Ok(Err(WireError::Closed)) | Err(_) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Ok(Ok(PoolKind::TextAsk(ask))) => {
                sender.send(PoolKind::TextPart(board.answer(from, &ask))).await?;
            }
            Ok(Ok(_)) => return Err(WireError::OutOfTurn),
        }
    }
}

/// Asks the peers one after the other until text and endpoints are known, from them or the store.
pub(crate) async fn ask_seeds(seeds: Vec<SocketAddr>, own: Option<SocketAddr>, board: Board) {
    sleep(Duration::from_millis(STORE_FIRST_MS)).await;
    while !board.complete() {
        for seed in seeds.iter().filter(|seed| Some(**seed) != own) {
            if board.complete() {
                return;
            }
            if let Err(error) = ask(*seed, &board).await {
                log::info!("event=peer_silent peer={seed} error=\"{error}\"");
            }
        }
        sleep(Duration::from_millis(AGAIN_MS)).await;
    }
}

/// Takes what one peer believes: the list first, as the sides that it leads to may have the text while
/// the peer serves others.
async fn ask(seed: SocketAddr, board: &Board) -> Result<(), WireError> {
    let stream = connect(seed, CONNECT_MS).await;
    let stream = stream.map_err(|error| WireError::Io(std::io::Error::other(error.to_string())))?;
    let (mut receiver, mut sender) = split(stream);
    let PoolKind::Snapshot(snapshot) = heard(&mut receiver).await? else {
        return Err(WireError::OutOfTurn);
    };
    let version = snapshot.text;
    board.take_snapshot(snapshot, seed);
    if version > board.text_version() {
        let text = ask_text(version, &mut receiver, &mut sender).await?;
        board.offer(&text, "peer");
    }
    Ok(())
}

/// Asks for a text piece by piece, so that no timeout depends on its size.
async fn ask_text(
    version: u64,
    receiver: &mut Receiver,
    sender: &mut Sender,
) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    loop {
        let offset = bytes.len() as u64;
        sender.send(PoolKind::TextAsk(TextAsk { version, offset })).await?;
        let PoolKind::TextPart(part) = heard(receiver).await? else {
            return Err(WireError::OutOfTurn);
        };
        // Another version has come meanwhile, or the peer serves others; the next try begins anew.
        if part.version != version || part.offset != offset || part.bytes.is_empty() {
            return Err(WireError::OutOfTurn);
        }
        bytes.extend_from_slice(&part.bytes);
        if is_last(&part) {
            return Ok(bytes);
        }
    }
}

async fn heard(receiver: &mut Receiver) -> Result<PoolKind, WireError> {
    let told = timeout(Duration::from_millis(ANSWER_MS), receiver.next()).await;
    told.map_err(|_| WireError::Closed)?
}
