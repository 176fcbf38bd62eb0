//! A side's connections from entries.

use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use citronrill_pool::{ConfigFetchEvent, ConfigSources, EntryLink, SideEvent};
use citronrill_wire::{EncodedConfig, PoolKind, ProbeReply, SideState, WireError};
use crossbeam::channel::Sender;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

use super::SideMetrics;
use crate::{
    config_transfer::{ConfigTransfer, run_config_fetch},
    dialect::Dialect,
    framing::split,
    http_client::set_socket_options,
};

/// State shared by the connections from entries.
pub(super) struct ConnectionContext {
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) events: Sender<SideEvent>,
    pub(super) config: watch::Sender<Option<EncodedConfig>>,
    pub(super) states: watch::Receiver<Option<SideState>>,
    pub(super) connections: Arc<EntryConnections>,
    pub(super) transfer: ConfigTransfer<EntryLink>,
    pub(super) metrics: Arc<SideMetrics>,
}

/// The open connections from entries.
#[derive(Default)]
pub(super) struct EntryConnections {
    next_id: AtomicU64,
    senders: Mutex<BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>>,
}

impl EntryConnections {
    fn with_senders<T>(
        &self,
        access: impl FnOnce(&mut BTreeMap<EntryLink, mpsc::UnboundedSender<PoolKind>>) -> T,
    ) -> T {
        access(&mut self.senders.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends a message to one entry, if it is still connected.
    pub(super) fn send(&self, link: EntryLink, message: PoolKind) {
        let sent = self.with_senders(|senders| {
            senders.get(&link).is_some_and(|sender| sender.send(message).is_ok())
        });
        if !sent {
            log::debug!("event=entry_gone link={}", link.0);
        }
    }
}

/// Accepts connections from entries until the process ends.
pub(super) async fn accept_entries(listener: TcpListener, context: Arc<ConnectionContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(serve_entry(stream, from, context.clone()));
            }
            Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

/// Serves the connection of one entry.
async fn serve_entry(stream: TcpStream, from: SocketAddr, context: Arc<ConnectionContext>) {
    set_socket_options(&stream);
    let link = EntryLink(context.connections.next_id.fetch_add(1, Ordering::Relaxed));
    let (sender, replies) = mpsc::unbounded_channel();
    let entries = context.connections.with_senders(|senders| {
        senders.insert(link, sender);
        senders.len()
    });
    log::info!("event=entry_connected from={from} entries={entries}");
    report_entry_count(&context, entries);
    send_event(&context, SideEvent::EntryConnected(link, from.ip()));
    let result = exchange_messages(stream, link, replies, &context).await;
    if let Err(error) = &result {
        log::info!("event=entry_lost from={from} error=\"{error}\"");
    }
    context.transfer.disconnect(link);
    let silent = result.is_err_and(|error| fell_silent(&error));
    send_event(&context, SideEvent::EntryLost(link, silent));
    let entries = context.connections.with_senders(|senders| {
        senders.remove(&link);
        senders.len()
    });
    report_entry_count(&context, entries);
}

fn report_entry_count(context: &ConnectionContext, entries: usize) {
    send_event(context, SideEvent::EntryCount(entries as u32));
}

fn send_event(context: &ConnectionContext, event: SideEvent) {
    if context.events.send(event).is_err() {
        log::debug!("event=control_gone");
    }
}

/// Returns whether a connection ended because nothing came from the other end.
fn fell_silent(error: &WireError) -> bool {
    let silent = [ErrorKind::TimedOut, ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable];
    matches!(error, WireError::Io(error) if silent.contains(&error.kind()))
}

async fn exchange_messages(
    stream: TcpStream,
    link: EntryLink,
    mut replies: mpsc::UnboundedReceiver<PoolKind>,
    context: &ConnectionContext,
) -> Result<(), WireError> {
    let (mut receiver, mut sender) = split(stream);
    let mut states = context.states.clone();
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
            message = receiver.next() => handle_message(message?, link, context)?,
        }
    }
}

fn handle_message(
    message: PoolKind,
    link: EntryLink,
    context: &ConnectionContext,
) -> Result<(), WireError> {
    let event = match message {
        PoolKind::LoadRequest(load_request) => SideEvent::LoadRequest(link, load_request),
        PoolKind::Usage(usage) => SideEvent::Usage(usage),
        PoolKind::Suspects(message) => SideEvent::Suspects(link, message),
        PoolKind::Streams(message) => SideEvent::Streams(link, message),
        PoolKind::StoreLoads(message) => SideEvent::StoreLoads(link, message),
        PoolKind::Shares(message) => SideEvent::Shares(link, message),
        PoolKind::CreditReport(report) => SideEvent::CreditReport(link, report),
        PoolKind::ConfigVersion(config) => {
            context.transfer.send_event(ConfigFetchEvent::Offered(link, config.version));
            return Ok(());
        }
        PoolKind::ConfigChunk(chunk) => {
            context.transfer.send_event(ConfigFetchEvent::Chunk(link, chunk));
            return Ok(());
        }
        PoolKind::Probe(_) => {
            context.connections.send(link, PoolKind::ProbeReply(ProbeReply {}));
            return Ok(());
        }
        PoolKind::ConfigChunkRequest(request) => {
            let chunk =
                context.transfer.serve_chunk(link, &request, context.config.borrow().as_ref());
            context.connections.send(link, PoolKind::ConfigChunk(chunk));
            return Ok(());
        }
        PoolKind::State(_)
        | PoolKind::CreditReply(_)
        | PoolKind::LoadDeclined(_)
        | PoolKind::ProbeReply(_)
        | PoolKind::Snapshot(_) => {
            return Err(WireError::UnexpectedFrame);
        }
    };
    context.events.send(event).map_err(|_| WireError::Closed)
}

/// Fetches the configuration from entries.
pub(super) async fn fetch_config(
    seed: u64,
    events: mpsc::UnboundedReceiver<ConfigFetchEvent<EntryLink>>,
    context: Arc<ConnectionContext>,
) {
    let request_chunk =
        |link, request| context.connections.send(link, PoolKind::ConfigChunkRequest(request));
    let apply = |encoded| {
        context.metrics.configs.increment();
        apply_config(encoded, &context);
    };
    run_config_fetch(ConfigSources::PeersOnly, seed, events, request_chunk, apply).await;
}

/// Decodes a configuration and keeps it if it is newer than the current one.
fn apply_config(encoded: EncodedConfig, context: &ConnectionContext) {
    let newer = |current: &Option<EncodedConfig>| {
        current.as_ref().is_none_or(|current| current.version < encoded.version)
    };
    if !newer(&context.config.borrow()) {
        return;
    }
    match context.dialect.decode_config(&encoded.bytes) {
        Ok(config) => {
            context.transfer.send_event(ConfigFetchEvent::OwnVersion(encoded.version));
            context.config.send_replace(Some(encoded));
            if context.events.send(SideEvent::Config(Arc::new(config))).is_err() {
                log::debug!("event=control_gone");
            }
        }
        Err(error) => log::warn!("event=text_unreadable source=entry error=\"{error}\""),
    }
}
