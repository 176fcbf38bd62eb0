//! Transfers the configuration over the connections between entries and sides.

use std::{
    fmt::Display,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use citronrill_base::Millis;
use citronrill_pool::{
    ConfigFetch, ConfigFetchEffect, ConfigFetchEvent, ConfigServer, ConfigSources, is_last_chunk,
};
use citronrill_wire::{ConfigChunk, ConfigChunkRequest, EncodedConfig};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::{Duration, sleep_until},
};

/// Identifies a peer.
pub(crate) trait Peer: Copy + Ord + Display + Send + 'static {}

impl<P: Copy + Ord + Display + Send + 'static> Peer for P {}

/// Sends events to the task that fetches the configuration, and serves chunks of it to peers.
pub(crate) struct ConfigTransfer<P> {
    events: UnboundedSender<ConfigFetchEvent<P>>,
    server: Arc<Mutex<ConfigServer<P>>>,
    start: Instant,
}

impl<P> Clone for ConfigTransfer<P> {
    fn clone(&self) -> ConfigTransfer<P> {
        ConfigTransfer {
            events: self.events.clone(),
            server: self.server.clone(),
            start: self.start,
        }
    }
}

impl<P: Peer> ConfigTransfer<P> {
    /// Creates a transfer and the receiver for [`run_config_fetch`].
    pub(crate) fn new() -> (ConfigTransfer<P>, UnboundedReceiver<ConfigFetchEvent<P>>) {
        let (events, inputs) = unbounded_channel();
        (ConfigTransfer { events, server: Arc::default(), start: Instant::now() }, inputs)
    }

    /// Sends an event to the fetching task.
    pub(crate) fn send_event(&self, event: ConfigFetchEvent<P>) {
        if self.events.send(event).is_err() {
            log::debug!("event=copies_gone");
        }
    }

    /// Handles the end of a connection to a peer.
    pub(crate) fn disconnect(&self, peer: P) {
        self.with_server(|server, _| server.disconnect(peer));
        self.send_event(ConfigFetchEvent::Disconnected(peer));
    }

    /// Answers a peer's request for a chunk of this process's configuration.
    pub(crate) fn serve_chunk(
        &self,
        peer: P,
        request: &ConfigChunkRequest,
        config: Option<&EncodedConfig>,
    ) -> ConfigChunk {
        let chunk = self.with_server(|server, now| server.answer(now, peer, request, config));
        if !chunk.bytes.is_empty() && is_last_chunk(&chunk) {
            log::info!("event=text_sent to={peer} version={} bytes={}", chunk.version, chunk.total);
        }
        chunk
    }

    fn with_server<T>(&self, serve: impl FnOnce(&mut ConfigServer<P>, Millis) -> T) -> T {
        let now = Millis(self.start.elapsed().as_millis() as u64);
        serve(&mut self.server.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// Fetches the configuration from peers until all senders of events are dropped.
///
/// `request_chunk` sends a request to a peer; `apply` is called with each complete configuration.
pub(crate) async fn run_config_fetch<P: Peer>(
    sources: ConfigSources,
    seed: u64,
    mut inputs: UnboundedReceiver<ConfigFetchEvent<P>>,
    request_chunk: impl Fn(P, ConfigChunkRequest),
    apply: impl Fn(EncodedConfig),
) {
    let mut fetch = ConfigFetch::new(sources, seed);
    let start = tokio::time::Instant::now();
    let now = || Millis(start.elapsed().as_millis() as u64);
    loop {
        let next_tick = fetch.next_tick().map(|at| start + Duration::from_millis(at.0));
        let event = tokio::select! {
            event = inputs.recv() => match event {
                Some(event) => event,
                None => return,
            },
            () = wait_until(next_tick) => ConfigFetchEvent::Tick,
        };
        for effect in fetch.step(now(), event) {
            match effect {
                ConfigFetchEffect::RequestChunk(peer, request) => request_chunk(peer, request),
                ConfigFetchEffect::Complete(peer, config) => {
                    let (version, bytes) = (config.version, config.bytes.len());
                    log::info!("event=text_copied from={peer} version={version} bytes={bytes}");
                    apply(config);
                }
                ConfigFetchEffect::TimedOut(peer, request) => {
                    let ConfigChunkRequest { version, offset } = request;
                    log::info!("event=copy_silent from={peer} version={version} offset={offset}");
                }
            }
        }
    }
}

/// Waits until `deadline`, or forever if there is none.
async fn wait_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
