//! Bootstraps an entry from other entries while the platform store is unavailable.
//!
//! A process that is killed and restarted during an outage of the store knows neither the configuration
//! nor the endpoints. It would refuse every request until the store is back, although other entries
//! still serve. So each entry sends a snapshot of its view to any process that connects to its address
//! for peers, and an entry that cannot read the store asks the peers in its settings. The store's data
//! replaces theirs as soon as it arrives; an older configuration never replaces a newer one, whatever
//! its source.

use std::{net::SocketAddr, time::Duration};

use citronrill_pool::is_last_chunk;
use citronrill_wire::{ConfigChunkRequest, PoolKind, WireError};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    framing::{Receiver, Sender, split},
    http_client::{connect, set_socket_options},
    platform_view::PlatformView,
};

/// Milliseconds to wait for the store before peers are asked: it normally answers within a few
/// milliseconds.
const STORE_GRACE_MS: u64 = 250;
/// Milliseconds to connect to a peer; some of the configured peers may be down.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Milliseconds to receive a message from a peer.
const MESSAGE_TIMEOUT_MS: u64 = 500;
/// Milliseconds before the peers are asked again.
const RETRY_PAUSE_MS: u64 = 400;

/// Accepts connections of peers and sends each a snapshot, until the process ends.
pub(crate) async fn serve_snapshots(listener: TcpListener, view: PlatformView) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let view = view.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_peer(stream, peer, &view).await {
                log::info!("event=snapshot_untold to={peer} error=\"{error}\"");
            }
            view.peer_disconnected(peer);
        });
    }
}

async fn serve_peer(
    stream: TcpStream,
    peer: SocketAddr,
    view: &PlatformView,
) -> Result<(), WireError> {
    set_socket_options(&stream);
    let (mut receiver, mut sender) = split(stream);
    // An entry without data sends an empty snapshot, or the peer would wait for one.
    sender.send(PoolKind::Snapshot(view.snapshot().unwrap_or_default())).await?;
    // The peer closes the connection when it is done; closing it here could reset data in transit.
    loop {
        match timeout(Duration::from_millis(MESSAGE_TIMEOUT_MS), receiver.next()).await {
            Ok(Err(WireError::Closed)) | Err(_) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Ok(Ok(PoolKind::ConfigChunkRequest(request))) => {
                sender.send(PoolKind::ConfigChunk(view.config_chunk(peer, &request))).await?;
            }
            Ok(Ok(_)) => return Err(WireError::UnexpectedFrame),
        }
    }
}

/// Asks the peers in turn until the configuration and the member list are known, from them or the store.
pub(crate) async fn bootstrap_from_seeds(
    seeds: Vec<SocketAddr>,
    own: Option<SocketAddr>,
    view: PlatformView,
) {
    sleep(Duration::from_millis(STORE_GRACE_MS)).await;
    while !view.is_complete() {
        for seed in seeds.iter().filter(|seed| Some(**seed) != own) {
            if view.is_complete() {
                return;
            }
            if let Err(error) = query_seed(*seed, &view).await {
                log::info!("event=peer_silent peer={seed} error=\"{error}\"");
            }
        }
        sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

/// Fetches the view of one peer: the member list first, because the sides that it names may serve the
/// configuration while the peer is busy with others.
async fn query_seed(seed: SocketAddr, view: &PlatformView) -> Result<(), WireError> {
    let stream = connect(seed, CONNECT_TIMEOUT_MS).await;
    let stream = stream.map_err(|error| WireError::Io(std::io::Error::other(error.to_string())))?;
    let (mut receiver, mut sender) = split(stream);
    let PoolKind::Snapshot(snapshot) = receive(&mut receiver).await? else {
        return Err(WireError::UnexpectedFrame);
    };
    let version = snapshot.config_version;
    view.apply_snapshot(snapshot, seed);
    if version > view.config_version() {
        let config = fetch_config(version, &mut receiver, &mut sender).await?;
        view.offer_config(&config, "peer");
    }
    Ok(())
}

/// Fetches a configuration in chunks, so that no timeout depends on its size.
async fn fetch_config(
    version: u64,
    receiver: &mut Receiver,
    sender: &mut Sender,
) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    loop {
        let offset = bytes.len() as u64;
        sender.send(PoolKind::ConfigChunkRequest(ConfigChunkRequest { version, offset })).await?;
        let PoolKind::ConfigChunk(chunk) = receive(receiver).await? else {
            return Err(WireError::UnexpectedFrame);
        };
        // The peer has a newer version by now, or is busy with others; the next attempt starts over.
        if chunk.version != version || chunk.offset != offset || chunk.bytes.is_empty() {
            return Err(WireError::UnexpectedFrame);
        }
        bytes.extend_from_slice(&chunk.bytes);
        if is_last_chunk(&chunk) {
            return Ok(bytes);
        }
    }
}

async fn receive(receiver: &mut Receiver) -> Result<PoolKind, WireError> {
    let message = timeout(Duration::from_millis(MESSAGE_TIMEOUT_MS), receiver.next()).await;
    message.map_err(|_| WireError::Closed)?
}
