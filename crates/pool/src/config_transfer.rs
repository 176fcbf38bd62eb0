//! Configuration transfer between entries and sides: which peer to ask, for what, and when.
//!
//! A process that lacks a configuration requests it from one peer, chunk by chunk. Pulling instead
//! of pushing bounds the bytes in flight: a process that lacks the configuration has one chunk in
//! flight, however many peers could provide it, and a process that has it serves a few peers at
//! once and refuses the others, which then ask elsewhere.

use std::collections::BTreeMap;

use citronrill_base::{Millis, hash_bytes};
use citronrill_wire::{ConfigChunk, ConfigChunkRequest, EncodedConfig};

/// Bytes of one chunk: 13 ms on a link of 10 Mbit/s, so that traffic of callers can pass between
/// two chunks.
pub const CHUNK_BYTES: usize = 16 << 10;
/// Timeout in milliseconds for a chunk, after which another peer is asked for it: a peer on a slow
/// link serves [`MAX_SERVED`] peers in turn at 13 ms each, and a round trip between zones takes
/// 3 ms.
const CHUNK_TIMEOUT_MS: u64 = 600;
/// Milliseconds for which a peer is avoided after it sent no chunk in time, or data that is not a
/// valid configuration.
const FAULTY_PEER_MS: u64 = 2_000;
/// Milliseconds for which a peer that is busy serving others is avoided: serving a configuration of
/// 0.5 MB on a link of 50 Mbit/s takes about as long.
const BUSY_PEER_MS: u64 = 100;
/// Maximum number of peers that a process serves at once. Serving more at once would only divide
/// the bandwidth of its link further.
const MAX_SERVED: usize = 2;
/// Milliseconds after its last chunk for which a peer counts as being served.
const SERVED_MS: u64 = 1_000;
/// Milliseconds for this process to apply a complete configuration before it requests another:
/// decoding 0.5 MB takes 7 ms on a tenth of a core.
const DECODE_MS: u64 = 100;
/// Maximum size of a configuration in bytes; a larger one is a fault of the peer.
const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// Milliseconds without a byte of the configuration from the store after which an entry asks peers:
/// the store answers within a few milliseconds, and then sends as fast as the entry's link allows.
const STORE_READ_MS: u64 = 400;

/// Where a process gets its configuration, and so how long it waits before it asks a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSources {
    /// An entry reads the store itself, and waits for it first. Transfers are for entries that
    /// cannot reach it, and most have the configuration by the end of this time.
    StoreFirst,
    /// A side gets its configuration only from entries, and asks immediately.
    PeersOnly,
}

/// Events that a [`ConfigFetch`] handles. `P` identifies a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigFetchEvent<P> {
    /// This process has a configuration of this version.
    OwnVersion(u64),
    /// Bytes of the configuration arrive from the store.
    StoreProgress,
    /// A peer announces that it has this version.
    Offered(P, u64),
    /// The connection to a peer has ended.
    Disconnected(P),
    /// A peer's answer to a chunk request.
    Chunk(P, ConfigChunk),
    /// Time has passed.
    Tick,
}

/// Effects that a [`ConfigFetch`] asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigFetchEffect<P> {
    /// Request a chunk from a peer.
    RequestChunk(P, ConfigChunkRequest),
    /// A configuration is complete; with the peer that sent its last chunk.
    Complete(P, EncodedConfig),
    /// A peer sent no chunk in time; another one is asked.
    TimedOut(P, ConfigChunkRequest),
}

/// A partially received configuration.
#[derive(Debug)]
struct PartialConfig {
    version: u64,
    bytes: Vec<u8>,
}

/// Fetches the newest configuration that peers have.
#[derive(Debug)]
pub struct ConfigFetch<P> {
    sources: ConfigSources,
    /// Distinguishes processes, so that they ask different peers first.
    seed: u64,
    own_version: u64,
    offers: BTreeMap<P, u64>,
    /// Peers that are avoided, and until when.
    avoided: BTreeMap<P, Millis>,
    /// Since when a newer configuration has been offered without arriving from another source.
    lacking_since: Option<Millis>,
    partial: Option<PartialConfig>,
    /// No chunk is requested before this time.
    paused_until: Millis,
    /// The outstanding chunk request.
    outstanding: Option<ChunkRequest<P>>,
}

#[derive(Debug, Clone, Copy)]
struct ChunkRequest<P> {
    peer: P,
    version: u64,
    requested_at: Millis,
}

impl<P: Copy + Ord + ToString> ConfigFetch<P> {
    /// Creates a fetch without any known version or peer.
    pub fn new(sources: ConfigSources, seed: u64) -> ConfigFetch<P> {
        ConfigFetch {
            sources,
            seed,
            own_version: 0,
            offers: BTreeMap::new(),
            avoided: BTreeMap::new(),
            lacking_since: None,
            partial: None,
            paused_until: Millis::default(),
            outstanding: None,
        }
    }

    /// Handles an event and returns the resulting effects.
    pub fn step(&mut self, now: Millis, event: ConfigFetchEvent<P>) -> Vec<ConfigFetchEffect<P>> {
        let mut effects = Vec::new();
        match event {
            ConfigFetchEvent::OwnVersion(version) => self.set_own_version(version),
            ConfigFetchEvent::StoreProgress => self.lacking_since = self.lacking_since.map(|_| now),
            ConfigFetchEvent::Offered(peer, version) => {
                self.offers.insert(peer, version);
            }
            ConfigFetchEvent::Disconnected(peer) => self.remove_peer(peer),
            ConfigFetchEvent::Chunk(peer, chunk) => {
                self.handle_chunk(now, peer, chunk, &mut effects)
            }
            ConfigFetchEvent::Tick => {}
        }
        self.check_timeout(now, &mut effects);
        self.ask_next_peer(now, &mut effects);
        effects
    }

    /// Returns when [`ConfigFetchEvent::Tick`] is due if no other event occurs.
    pub fn next_tick(&self) -> Option<Millis> {
        if let Some(outstanding) = &self.outstanding {
            return Some(outstanding.requested_at + CHUNK_TIMEOUT_MS);
        }
        let ask_at = self.lacking_since? + self.store_wait_ms();
        let free = |peer: &P| self.avoided.get(peer).copied().unwrap_or_default();
        let first_free = self.newer().map(|(peer, _)| free(&peer)).min()?;
        Some(ask_at.max(first_free).max(self.paused_until))
    }

    /// Returns peers with a newer configuration than this process.
    fn newer(&self) -> impl Iterator<Item = (P, u64)> {
        let own_version = self.own_version;
        self.offers
            .iter()
            .map(|(peer, version)| (*peer, *version))
            .filter(move |o| o.1 > own_version)
    }

    fn store_wait_ms(&self) -> u64 {
        match self.sources {
            ConfigSources::StoreFirst => STORE_READ_MS,
            ConfigSources::PeersOnly => 0,
        }
    }

    fn set_own_version(&mut self, version: u64) {
        if version <= self.own_version {
            return;
        }
        self.own_version = version;
        self.lacking_since = None;
        self.partial = self.partial.take().filter(|partial| partial.version > version);
        self.outstanding = self.outstanding.filter(|outstanding| outstanding.version > version);
    }

    fn remove_peer(&mut self, peer: P) {
        self.offers.remove(&peer);
        self.avoided.remove(&peer);
        self.outstanding = self.outstanding.filter(|outstanding| outstanding.peer != peer);
    }

    fn handle_chunk(
        &mut self,
        now: Millis,
        peer: P,
        chunk: ConfigChunk,
        effects: &mut Vec<ConfigFetchEffect<P>>,
    ) {
        // A late answer: another peer has been asked in the meantime.
        if self.outstanding.is_none_or(|outstanding| outstanding.peer != peer) {
            return;
        }
        self.outstanding = None;
        if chunk.bytes.is_empty() {
            self.avoided.insert(peer, now + BUSY_PEER_MS);
            return;
        }
        let expected = self.partial.take().filter(|partial| partial.version == chunk.version);
        // If the peer has a newer configuration by now, it sends the beginning of that one.
        let mut partial =
            expected.unwrap_or(PartialConfig { version: chunk.version, bytes: Vec::new() });
        let fits = chunk.offset == partial.bytes.len() as u64 && chunk.total <= MAX_CONFIG_BYTES;
        if !fits || chunk.version <= self.own_version {
            self.avoided.insert(peer, now + FAULTY_PEER_MS);
            return;
        }
        partial.bytes.extend_from_slice(&chunk.bytes);
        if (partial.bytes.len() as u64) < chunk.total {
            self.partial = Some(partial);
            self.request_chunk(now, peer, chunk.version, effects);
            return;
        }
        // If the configuration cannot be decoded, this process still lacks it, and another peer may
        // have it intact.
        self.avoided.insert(peer, now + FAULTY_PEER_MS);
        self.paused_until = now + DECODE_MS;
        let config = EncodedConfig { version: partial.version, bytes: partial.bytes };
        effects.push(ConfigFetchEffect::Complete(peer, config));
    }

    /// Guards against a peer that is frozen or disconnected, which its connection does not report
    /// for seconds. The chunks received so far are kept, and the rest is requested from another
    /// peer.
    fn check_timeout(&mut self, now: Millis, effects: &mut Vec<ConfigFetchEffect<P>>) {
        let Some(outstanding) = self
            .outstanding
            .filter(|outstanding| now.since(outstanding.requested_at) >= CHUNK_TIMEOUT_MS)
        else {
            return;
        };
        self.outstanding = None;
        self.avoided.insert(outstanding.peer, now + FAULTY_PEER_MS);
        let offset = self.offset_of(outstanding.version);
        effects.push(ConfigFetchEffect::TimedOut(
            outstanding.peer,
            ConfigChunkRequest { version: outstanding.version, offset },
        ));
    }

    /// Returns how many bytes of a configuration have been received.
    fn offset_of(&self, version: u64) -> u64 {
        let partial = self.partial.as_ref().filter(|partial| partial.version == version);
        partial.map_or(0, |partial| partial.bytes.len() as u64)
    }

    fn ask_next_peer(&mut self, now: Millis, effects: &mut Vec<ConfigFetchEffect<P>>) {
        self.avoided.retain(|_, until| *until > now);
        if self.newer().next().is_none() {
            self.lacking_since = None;
            self.partial = None;
            self.outstanding = None;
            return;
        }
        let since = *self.lacking_since.get_or_insert(now);
        let due = now >= since + self.store_wait_ms() && now >= self.paused_until;
        if self.outstanding.is_some() || !due {
            return;
        }
        let partial_version = self.partial.as_ref().map_or(0, |partial| partial.version);
        let choice = self.newer().filter(|(peer, _)| !self.avoided.contains_key(peer)).max_by_key(
            |(peer, version)| (*version == partial_version, *version, self.peer_rank(*peer)),
        );
        if let Some((peer, version)) = choice {
            self.request_chunk(now, peer, version, effects);
        }
    }

    /// Returns a number by which processes rank their peers, each in a different order.
    fn peer_rank(&self, peer: P) -> u64 {
        hash_bytes(format!("{} {}", self.seed, peer.to_string()).as_bytes())
    }

    fn request_chunk(
        &mut self,
        now: Millis,
        peer: P,
        version: u64,
        effects: &mut Vec<ConfigFetchEffect<P>>,
    ) {
        let offset = self.offset_of(version);
        self.outstanding = Some(ChunkRequest { peer, version, requested_at: now });
        effects.push(ConfigFetchEffect::RequestChunk(peer, ConfigChunkRequest { version, offset }));
    }
}

/// Serves chunks of a configuration to a few peers at once.
///
/// Guards against a configuration that reaches one process first: all peers would ask it, and on a
/// slow link each would wait for the others' chunks, while callers of that process wait behind
/// them.
#[derive(Debug)]
pub struct ConfigServer<P> {
    /// The peers being served, and when each last asked.
    served: BTreeMap<P, Millis>,
}

impl<P: Copy + Ord> Default for ConfigServer<P> {
    fn default() -> ConfigServer<P> {
        ConfigServer { served: BTreeMap::new() }
    }
}

impl<P: Copy + Ord> ConfigServer<P> {
    /// Returns the answer to a chunk request. It has no bytes if other peers are being served, or
    /// if there is no configuration.
    ///
    /// A request for another version than `config` is answered with the beginning of `config`.
    pub fn answer(
        &mut self,
        now: Millis,
        peer: P,
        request: &ConfigChunkRequest,
        config: Option<&EncodedConfig>,
    ) -> ConfigChunk {
        self.served.retain(|_, asked| now.since(*asked) < SERVED_MS);
        let free = self.served.contains_key(&peer) || self.served.len() < MAX_SERVED;
        let Some(config) = config.filter(|_| free) else { return ConfigChunk::default() };
        let chunk = chunk_at(config, request);
        if is_last_chunk(&chunk) {
            self.served.remove(&peer);
        } else {
            self.served.insert(peer, now);
        }
        chunk
    }

    /// Records that the connection to a peer has ended.
    pub fn disconnect(&mut self, peer: P) {
        self.served.remove(&peer);
    }
}

/// Returns the chunk of `config` that `request` asks for.
fn chunk_at(config: &EncodedConfig, request: &ConfigChunkRequest) -> ConfigChunk {
    let begin = if request.version == config.version { request.offset } else { 0 };
    let begin = (begin as usize).min(config.bytes.len());
    let end = (begin + CHUNK_BYTES).min(config.bytes.len());
    ConfigChunk {
        version: config.version,
        offset: begin as u64,
        total: config.bytes.len() as u64,
        bytes: config.bytes[begin..end].to_vec(),
    }
}

/// Returns whether `chunk` is the last chunk.
pub fn is_last_chunk(chunk: &ConfigChunk) -> bool {
    chunk.offset + chunk.bytes.len() as u64 >= chunk.total
}
