//! An entry's connections to the sides: one task per side connects, reconnects and exchanges
//! messages.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use citronrill_pool::{ConfigFetchEvent, EntryEvent, SideLoss};
use citronrill_wire::{ConfigVersion, PoolKind, WireError};
use thiserror::Error;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    config_transfer::ConfigTransfer,
    entry::{EventSender, LoadedConfig, side_address},
    error::GatewayError,
    framing::split,
    http_client::connect,
    platform_view::PlatformView,
};

/// Milliseconds without a message after which a connection counts as lost: a side sends one every
/// 500 ms.
const SILENCE_TIMEOUT_MS: u64 = 1_700;
/// Milliseconds for the reply to a liveness probe, after which the connection is replaced: it may be
/// broken while the side still runs, which a new connection shows at once.
const PROBE_TIMEOUT_MS: u64 = 250;
/// Milliseconds to connect to a side. While its instance has no power the first packet is lost and
/// TCP sends it again only after a second, so a new attempt is faster. With a timeout of 600 ms,
/// entries reached most sides only a second after the sides were up again when all instances had
/// lost power.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Milliseconds before reconnecting.
const RECONNECT_PAUSE_MS: u64 = 100;

/// Why the connection to a side was lost.
#[derive(Debug, Error)]
enum ConnectionError {
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] GatewayError),
    /// The connection broke, or the side sent an unexpected message.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// No message, or no reply to a probe, arrived in time.
    #[error("no message in time")]
    Silent,
}

impl ConnectionError {
    /// Returns whether nothing came from the other end: an instance that refuses or resets a connection
    /// still responds.
    fn is_silent(&self) -> bool {
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
            ConnectionError::Silent | ConnectionError::Connect(GatewayError::Timeout(_)) => true,
            ConnectionError::Connect(GatewayError::Connect { source, .. }) => !answered(source),
            ConnectionError::Wire(WireError::Io(error)) => !answered(error),
            ConnectionError::Connect(_) | ConnectionError::Wire(_) => false,
        }
    }
}

/// Command of the control thread to the task that manages the connections.
#[derive(Debug)]
pub(crate) enum SideCommand {
    /// Stay connected to the sides beside exactly these endpoints.
    ConnectOnly(Vec<SocketAddr>),
    /// Send a message to the side beside this endpoint.
    Send(SocketAddr, Box<PoolKind>),
}

struct ConnectionHandle {
    sender: UnboundedSender<PoolKind>,
    task: JoinHandle<()>,
}

/// Manages the connections until the control thread ends.
pub(crate) async fn run_sides(
    port: u16,
    mut commands: UnboundedReceiver<SideCommand>,
    view: PlatformView,
    transfer: ConfigTransfer<SocketAddr>,
    events: EventSender,
) {
    let mut connections = BTreeMap::<SocketAddr, ConnectionHandle>::new();
    while let Some(command) = commands.recv().await {
        match command {
            SideCommand::ConnectOnly(endpoints) => {
                connections.retain(|endpoint, connection| {
                    let keep = endpoints.contains(endpoint);
                    if !keep {
                        connection.task.abort();
                        transfer.disconnect(*endpoint);
                    }
                    keep
                });
                for endpoint in endpoints {
                    connections.entry(endpoint).or_insert_with(|| {
                        let (sender, receiver) = unbounded_channel();
                        let connection = SideConnection {
                            endpoint,
                            port,
                            view: view.clone(),
                            transfer: transfer.clone(),
                            events: events.clone(),
                        };
                        let task = tokio::spawn(connection.run(receiver));
                        ConnectionHandle { sender, task }
                    });
                }
            }
            SideCommand::Send(endpoint, message) => {
                let sent = connections
                    .get(&endpoint)
                    .is_some_and(|connection| connection.sender.send(*message).is_ok());
                if !sent {
                    log::debug!("event=side_unknown endpoint={endpoint}");
                }
            }
        }
    }
}

/// The connection to one side.
struct SideConnection {
    endpoint: SocketAddr,
    /// Port on which every side listens.
    port: u16,
    view: PlatformView,
    transfer: ConfigTransfer<SocketAddr>,
    events: EventSender,
}

impl SideConnection {
    /// Connects and reconnects until the senders of `messages` are dropped.
    async fn run(self, mut messages: UnboundedReceiver<PoolKind>) {
        let endpoint = self.endpoint;
        let mut responding = true;
        loop {
            let error = match self.exchange_messages(&mut messages, &mut responding).await {
                Ok(()) => return,
                Err(error) => error,
            };
            self.transfer.disconnect(endpoint);
            self.report_lost(&error);
            if responding {
                log::info!("event=side_lost endpoint={endpoint} error=\"{error}\"");
            }
            responding = false;
            // Messages queued meanwhile are stale by the time the side is reachable again.
            while messages.try_recv().is_ok() {}
            sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
    }

    /// Reports to the control thread how the connection was lost.
    fn report_lost(&self, error: &ConnectionError) {
        let loss = if error.is_silent() { SideLoss::Silent } else { SideLoss::Closed };
        self.events.send(EntryEvent::SideLost(self.endpoint, loss));
    }

    async fn exchange_messages(
        &self,
        messages: &mut UnboundedReceiver<PoolKind>,
        responding: &mut bool,
    ) -> Result<(), ConnectionError> {
        let endpoint = self.endpoint;
        let stream = connect(side_address(endpoint, self.port), CONNECT_TIMEOUT_MS).await?;
        let (mut receiver, mut sender) = split(stream);
        let mut config = self.view.subscribe_config();
        config.mark_changed();
        let mut deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
        loop {
            tokio::select! {
                // Messages that have already arrived are read before the timeout is checked.
                biased;
                kind = receiver.next() => {
                    let kind = kind?;
                    deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
                    if !*responding {
                        *responding = true;
                        log::info!("event=side_regained endpoint={endpoint}");
                    }
                    if let Some(reply) = self.handle_message(kind)? {
                        sender.send(reply).await?;
                    }
                }
                message = messages.recv() => match message {
                    Some(kind) => {
                        if matches!(kind, PoolKind::Probe(_)) {
                            deadline = deadline.min(Instant::now() + Duration::from_millis(PROBE_TIMEOUT_MS));
                        }
                        sender.send(kind).await?;
                    }
                    None => return Ok(()),
                },
                changed = config.changed() => {
                    changed.map_err(|_| WireError::Closed)?;
                    let version = config_version(&config.borrow_and_update());
                    sender.send(PoolKind::ConfigVersion(ConfigVersion { version })).await?;
                }
                () = sleep_until(deadline) => return Err(ConnectionError::Silent),
            }
        }
    }

    /// Handles a message of the side; returns the reply to it, if any.
    fn handle_message(&self, kind: PoolKind) -> Result<Option<PoolKind>, WireError> {
        let endpoint = self.endpoint;
        match kind {
            PoolKind::State(state) => {
                self.transfer.send_event(ConfigFetchEvent::Offered(endpoint, state.config_version));
                self.events.send(EntryEvent::SideReport(endpoint, state));
            }
            PoolKind::ConfigChunk(chunk) => {
                self.transfer.send_event(ConfigFetchEvent::Chunk(endpoint, chunk))
            }
            PoolKind::ConfigChunkRequest(request) => {
                return Ok(Some(PoolKind::ConfigChunk(self.view.config_chunk(endpoint, &request))));
            }
            PoolKind::LoadDeclined(name) => {
                self.events.send(EntryEvent::LoadDeclined(endpoint, name))
            }
            PoolKind::Suspects(message) => {
                self.events.send(EntryEvent::Suspects(endpoint, message))
            }
            PoolKind::Streams(message) => self.events.send(EntryEvent::Streams(endpoint, message)),
            PoolKind::StoreLoads(message) => {
                self.events.send(EntryEvent::StoreLoads(endpoint, message))
            }
            PoolKind::Shares(message) => self.events.send(EntryEvent::Shares(endpoint, message)),
            PoolKind::CreditReply(reply) => self.events.send(EntryEvent::Credit(endpoint, reply)),
            PoolKind::ProbeReply(_) => self.events.send(EntryEvent::ProbeReply(endpoint)),
            PoolKind::LoadRequest(_)
            | PoolKind::CreditReport(_)
            | PoolKind::Probe(_)
            | PoolKind::Usage(_)
            | PoolKind::ConfigVersion(_)
            | PoolKind::Snapshot(_) => return Err(WireError::UnexpectedFrame),
        }
        Ok(None)
    }
}

fn config_version(config: &Option<LoadedConfig>) -> u64 {
    config.as_ref().map_or(0, |loaded| loaded.encoded.version)
}
