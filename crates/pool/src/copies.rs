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
/// 3.
const CHUNK_TIMEOUT_MS: u64 = 600;
/// Milliseconds for which a peer is avoided after it sent no chunk in time, or data that is not a
/// valid configuration.
const FAULTY_PEER_MS: u64 = 2_000;
/// Milliseconds for which a peer that is busy serving others is avoided: a configuration of 0.5 MB
/// takes as long on a link of 50 Mbit/s.
const BUSY_PEER_MS: u64 = 100;
/// Maximum number of peers that a process serves at once. More would only share its link.
const MAX_SERVED: usize = 2;
/// Milliseconds after its last chunk for which a peer counts as being served.
const SERVED_MS: u64 = 1_000;
/// Milliseconds for this process to apply a complete configuration before it requests another:
/// decoding 0.5 MB takes 7 on a tenth of a core.
const DECODE_MS: u64 = 100;
/// Maximum size of a configuration in bytes; a larger one is a fault of the peer.
const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// Milliseconds without a byte of the configuration from the store after which an entry asks peers:
/// the store answers within a few milliseconds, and then sends as fast as the entry's link allows.
const STORE_READ_MS: u64 = 400;

/// How long to wait for the configuration from other sources before a peer is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyPatience {
    /// An entry reads the store itself. Transfers are for entries that cannot reach it, and most
    /// have the configuration by the end of this time.
    OwnRead,
    /// A side gets its configuration only from entries, and asks immediately.
    PeersOnly,
}

/// Events that a [`CopyFetch`] handles. `P` identifies a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyEvent<P> {
    /// This process has a configuration of this version.
    Own(u64),
    /// Bytes of the configuration arrive from the store.
    Progress,
    /// A peer announces that it has this version.
    Offered(P, u64),
    /// The connection to a peer has ended.
    Gone(P),
    /// A peer's answer to a chunk request.
    Part(P, ConfigChunk),
    /// Time has passed.
    Tick,
}

/// Effects that a [`CopyFetch`] asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyEffect<P> {
    /// Request a chunk from a peer.
    Ask(P, ConfigChunkRequest),
    /// A configuration is complete; with the peer that sent its last chunk.
    Whole(P, EncodedConfig),
    /// A peer sent no chunk in time; another one is asked.
    Silent(P, ConfigChunkRequest),
}

/// A partially received configuration.
#[derive(Debug)]
struct PartialConfig {
    version: u64,
    bytes: Vec<u8>,
}

/// Fetches the newest configuration that peers have.
#[derive(Debug)]
pub struct CopyFetch<P> {
    patience: CopyPatience,
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
    at: Millis,
}

impl<P: Copy + Ord + ToString> CopyFetch<P> {
    /// Creates a fetch without any known version or peer.
    pub fn new(patience: CopyPatience, seed: u64) -> CopyFetch<P> {
        CopyFetch {
            patience,
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
    pub fn step(&mut self, now: Millis, event: CopyEvent<P>) -> Vec<CopyEffect<P>> {
        let mut effects = Vec::new();
        match event {
            CopyEvent::Own(version) => self.set_own_version(version),
            CopyEvent::Progress => self.lacking_since = self.lacking_since.map(|_| now),
            CopyEvent::Offered(peer, version) => {
                self.offers.insert(peer, version);
            }
            CopyEvent::Gone(peer) => self.remove_peer(peer),
            CopyEvent::Part(peer, chunk) => self.handle_chunk(now, peer, chunk, &mut effects),
            CopyEvent::Tick => {}
        }
        self.check_timeout(now, &mut effects);
        self.ask_next_peer(now, &mut effects);
        effects
    }

    /// Returns when [`CopyEvent::Tick`] is due if no other event occurs.
    pub fn wake(&self) -> Option<Millis> {
        if let Some(outstanding) = &self.outstanding {
            return Some(outstanding.at + CHUNK_TIMEOUT_MS);
        }
        let due = self.lacking_since? + self.store_wait_ms();
        let free = |peer: &P| self.avoided.get(peer).copied().unwrap_or_default();
        let first_free = self.newer().map(|(peer, _)| free(&peer)).min()?;
        Some(due.max(first_free).max(self.paused_until))
    }

    /// Returns peers with a newer configuration than this process.
    fn newer(&self) -> impl Iterator<Item = (P, u64)> {
        let own = self.own_version;
        self.offers.iter().map(|(peer, version)| (*peer, *version)).filter(move |o| o.1 > own)
    }

    fn store_wait_ms(&self) -> u64 {
        match self.patience {
            CopyPatience::OwnRead => STORE_READ_MS,
            CopyPatience::PeersOnly => 0,
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
        effects: &mut Vec<CopyEffect<P>>,
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
        effects.push(CopyEffect::Whole(peer, config));
    }

    /// Guards against a peer that is frozen or disconnected, which its connection does not report
    /// for seconds. The chunks received so far are kept, and the rest is requested from another
    /// peer.
    fn check_timeout(&mut self, now: Millis, effects: &mut Vec<CopyEffect<P>>) {
        let Some(outstanding) =
            self.outstanding.filter(|outstanding| now.since(outstanding.at) >= CHUNK_TIMEOUT_MS)
        else {
            return;
        };
        self.outstanding = None;
        self.avoided.insert(outstanding.peer, now + FAULTY_PEER_MS);
        let offset = self.offset_of(outstanding.version);
        effects.push(CopyEffect::Silent(
            outstanding.peer,
            ConfigChunkRequest { version: outstanding.version, offset },
        ));
    }

    /// Returns how many bytes of a configuration have been received.
    fn offset_of(&self, version: u64) -> u64 {
        let partial = self.partial.as_ref().filter(|partial| partial.version == version);
        partial.map_or(0, |partial| partial.bytes.len() as u64)
    }

    fn ask_next_peer(&mut self, now: Millis, effects: &mut Vec<CopyEffect<P>>) {
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
        effects: &mut Vec<CopyEffect<P>>,
    ) {
        let offset = self.offset_of(version);
        self.outstanding = Some(ChunkRequest { peer, version, at: now });
        effects.push(CopyEffect::Ask(peer, ConfigChunkRequest { version, offset }));
    }
}

/// Serves chunks of a configuration to a few peers at once.
///
/// Guards against a configuration that reaches one process first: all peers would ask it, and on a
/// slow link each would wait for the others' chunks, while callers of that process wait behind
/// them.
#[derive(Debug)]
pub struct CopyServer<P> {
    /// The peers being served, and when each last asked.
    served: BTreeMap<P, Millis>,
}

impl<P: Copy + Ord> Default for CopyServer<P> {
    fn default() -> CopyServer<P> {
        CopyServer { served: BTreeMap::new() }
    }
}

impl<P: Copy + Ord> CopyServer<P> {
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
        if is_last(&chunk) {
            self.served.remove(&peer);
        } else {
            self.served.insert(peer, now);
        }
        chunk
    }

    /// Records that the connection to a peer has ended.
    pub fn gone(&mut self, peer: P) {
        self.served.remove(&peer);
    }
}

/// Returns the chunk of `config` that `request` requests.
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
pub fn is_last(chunk: &ConfigChunk) -> bool {
    chunk.offset + chunk.bytes.len() as u64 >= chunk.total
}
