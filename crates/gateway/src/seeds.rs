//! What an entry that starts while the store is away learns from another entry.
//!
//! The failure it meets: a process is killed and starts again during an outage of the store. It knows
//! neither text nor endpoints and would refuse everybody until the store is back, though the entries
//! beside it serve. So each entry tells what it believes to whoever connects to its address for peers,
//! and one that cannot read the store asks the peers that its settings name. The store's own word
//! replaces theirs as soon as it comes; a text never goes back, whoever told it.

use std::{net::SocketAddr, time::Duration};

use citronrill_wire::{PoolKind, Snapshot, WireError};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{call::connect, call::tune, link::split, store::Board};

/// Milliseconds that the store is given before peers are asked: it answers within a few.
const STORE_FIRST_MS: u64 = 250;
/// Milliseconds for a connection to a peer; some of those that are named may be down.
const CONNECT_MS: u64 = 150;
/// Milliseconds for a peer's whole word.
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
            if let Err(error) = tell(stream, &board).await {
                log::info!("event=snapshot_untold to={from} error=\"{error}\"");
            }
        });
    }
}

async fn tell(stream: TcpStream, board: &Board) -> Result<(), WireError> {
    tune(&stream);
    let (mut receiver, mut sender) = split(stream);
    // An entry that knows nothing itself says so, or the asker would wait for its word.
    sender.send(PoolKind::Snapshot(board.snapshot().unwrap_or_default())).await?;
    // The asker closes once it has read; closing first could reset what is still on its way.
    match timeout(Duration::from_millis(ANSWER_MS), receiver.next()).await {
        Ok(Err(WireError::Closed)) | Err(_) => Ok(()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) => Err(WireError::OutOfTurn),
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
            match ask(*seed).await {
                Ok(snapshot) => board.take_snapshot(snapshot, *seed),
                Err(error) => log::info!("event=peer_silent peer={seed} error=\"{error}\""),
            }
        }
        sleep(Duration::from_millis(AGAIN_MS)).await;
    }
}

async fn ask(seed: SocketAddr) -> Result<Snapshot, WireError> {
    let stream = connect(seed, CONNECT_MS).await;
    let stream = stream.map_err(|error| WireError::Io(std::io::Error::other(error.to_string())))?;
    let (mut receiver, _sender) = split(stream);
    let told = timeout(Duration::from_millis(ANSWER_MS), receiver.next()).await;
    match told.map_err(|_| WireError::Closed)?? {
        PoolKind::Snapshot(snapshot) => Ok(snapshot),
        _ => Err(WireError::OutOfTurn),
    }
}
