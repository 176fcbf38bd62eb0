//! Configuration transfer between entries and sides: one peer is asked at a time, and few are
//! served.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use citronrill_base::Millis;
use citronrill_pool::{
    ConfigFetch, ConfigFetchEffect, ConfigFetchEvent, ConfigServer, ConfigSources, EntryLink,
};
use citronrill_wire::{ConfigChunk, ConfigChunkRequest, EncodedConfig};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const A: EntryLink = EntryLink(1);
const B: EntryLink = EntryLink(2);

type Fetch = ConfigFetch<EntryLink>;
type Effect = ConfigFetchEffect<EntryLink>;

fn encoded_config(version: u64, size: usize) -> EncodedConfig {
    let bytes = (0..size).map(|index| (index * 7 + version as usize) as u8).collect();
    EncodedConfig { version, bytes }
}

/// Returns the answer of a peer that serves nobody else.
fn chunk(encoded_config: &EncodedConfig, request: &ConfigChunkRequest) -> ConfigChunk {
    ConfigServer::default().answer(Millis(0), A, request, Some(encoded_config))
}

/// An entry with a configuration of version 1.
fn entry() -> Fetch {
    let mut fetch = ConfigFetch::new(ConfigSources::StoreFirst, 5);
    fetch.step(Millis(0), ConfigFetchEvent::OwnVersion(1));
    fetch
}

fn requested(effects: &[Effect]) -> Option<(EntryLink, ConfigChunkRequest)> {
    effects.iter().find_map(|effect| match effect {
        ConfigFetchEffect::RequestChunk(peer, request) => Some((*peer, request.clone())),
        _ => None,
    })
}

/// Lets peer A offer version 2 and advances to the first chunk request; returns it, its peer and
/// the time.
fn first_request(fetch: &mut Fetch) -> (EntryLink, ConfigChunkRequest, Millis) {
    let offered = fetch.step(Millis(0), ConfigFetchEvent::Offered(A, 2));
    assert_eq!(requested(&offered), None);
    let at = fetch.next_tick().unwrap();
    let (peer, request) = requested(&fetch.step(at, ConfigFetchEvent::Tick)).unwrap();
    (peer, request, at)
}

/// Over a slow link, an entry reads the configuration from the platform store for a second, while
/// sides already have it. It requests nothing: a transfer from a side would only compete with the
/// read.
#[test]
fn entry_that_reads_the_store_sends_no_request() {
    let mut fetch = entry();
    fetch.step(Millis(0), ConfigFetchEvent::Offered(A, 2));
    for at in (0..1_000).step_by(50) {
        assert_eq!(fetch.step(Millis(at), ConfigFetchEvent::StoreProgress), Vec::new());
        assert_eq!(fetch.step(Millis(at + 25), ConfigFetchEvent::Offered(B, 2)), Vec::new());
    }
    fetch.step(Millis(1_000), ConfigFetchEvent::OwnVersion(2));
    assert_eq!(fetch.next_tick(), None);
}

/// The platform store stops responding in the middle of the configuration. The entry asks one side,
/// and only one.
#[test]
fn entry_asks_one_side_when_the_store_stops_responding() {
    let mut fetch = entry();
    fetch.step(Millis(0), ConfigFetchEvent::Offered(A, 2));
    fetch.step(Millis(0), ConfigFetchEvent::Offered(B, 2));
    fetch.step(Millis(300), ConfigFetchEvent::StoreProgress);
    assert_eq!(fetch.step(Millis(690), ConfigFetchEvent::Tick), Vec::new());
    assert_eq!(fetch.next_tick(), Some(Millis(700)));
    assert_eq!(fetch.step(Millis(700), ConfigFetchEvent::Tick).len(), 1);
    assert_eq!(fetch.step(Millis(900), ConfigFetchEvent::Offered(B, 2)), Vec::new());
}

/// A side stalls after a chunk. The rest is requested from another one at the same offset; a late
/// chunk of the first is ignored.
#[test]
fn transfer_continues_from_another_peer() {
    let config = encoded_config(2, 40_000);
    let mut fetch = entry();
    let (first, request, at) = first_request(&mut fetch);
    fetch.step(at, ConfigFetchEvent::Offered(B, 2));
    let late = chunk(&config, &request);
    let next = fetch.step(at, ConfigFetchEvent::Chunk(first, late.clone()));
    assert_eq!(requested(&next).unwrap().1.offset, late.bytes.len() as u64);

    let effects = fetch.step(fetch.next_tick().unwrap(), ConfigFetchEvent::Tick);
    assert!(matches!(effects[0], ConfigFetchEffect::TimedOut(peer, _) if peer == first));
    let (second, mut request) = requested(&effects).unwrap();
    assert_eq!((second, request.offset), (B, late.bytes.len() as u64));
    assert_eq!(fetch.step(at, ConfigFetchEvent::Chunk(first, late)), Vec::new());
    let complete = loop {
        let effects = fetch.step(at, ConfigFetchEvent::Chunk(B, chunk(&config, &request)));
        match requested(&effects) {
            Some((_, next)) => request = next,
            None => break effects,
        }
    };
    assert_eq!(complete, vec![ConfigFetchEffect::Complete(B, config)]);
}

/// A peer has a newer configuration than it offered. The chunks of the older one are dropped, and
/// the newer one is transferred from the start.
#[test]
fn newer_configuration_restarts_the_transfer() {
    let (older, newer) = (encoded_config(2, 40_000), encoded_config(3, 20_000));
    let mut fetch = entry();
    let (peer, request, at) = first_request(&mut fetch);
    let effects = fetch.step(at, ConfigFetchEvent::Chunk(peer, chunk(&older, &request)));
    let (_, request) = requested(&effects).unwrap();
    let effects = fetch.step(at, ConfigFetchEvent::Chunk(peer, chunk(&newer, &request)));
    let (_, request) = requested(&effects).unwrap();
    assert_eq!(request.version, 3);
    let effects = fetch.step(at, ConfigFetchEvent::Chunk(peer, chunk(&newer, &request)));
    assert_eq!(effects, vec![ConfigFetchEffect::Complete(peer, newer)]);
}

/// A configuration is corrupted in transfer and cannot be decoded, so the entry still lacks it. It
/// does not ask the same peer again and again.
#[test]
fn unreadable_configuration_is_requested_from_another_peer() {
    let config = encoded_config(2, 100);
    let mut fetch = entry();
    let (peer, request, at) = first_request(&mut fetch);
    let effects = fetch.step(at, ConfigFetchEvent::Chunk(peer, chunk(&config, &request)));
    assert_eq!(effects, vec![ConfigFetchEffect::Complete(peer, config)]);
    assert!(fetch.next_tick().unwrap() > at + 1_000);
    assert_eq!(
        fetch.step(at + 1, ConfigFetchEvent::Offered(B, 2)),
        Vec::new(),
        "it may still be decoded"
    );
    let later = fetch.next_tick().unwrap();
    assert!(later < at + 1_000);
    assert_eq!(requested(&fetch.step(later, ConfigFetchEvent::Tick)).unwrap().0, B);
}

/// The entry reads a configuration from the platform store while it requests it from a side, which
/// by then offers a newer one. The newer one is requested from the same side at once, and the
/// answer to the first request is ignored.
#[test]
fn configuration_from_the_store_cancels_the_transfer() {
    let (known, newer) = (encoded_config(2, 100), encoded_config(3, 100));
    let mut fetch = entry();
    let (peer, request, at) = first_request(&mut fetch);
    assert_eq!(fetch.step(at, ConfigFetchEvent::Offered(peer, 3)), Vec::new());
    fetch.step(at, ConfigFetchEvent::OwnVersion(2));
    fetch.step(at, ConfigFetchEvent::Chunk(peer, chunk(&known, &request)));
    let later = fetch.next_tick().unwrap();
    assert_eq!(later, at + 400);
    let (second, request) = requested(&fetch.step(later, ConfigFetchEvent::Tick)).unwrap();
    assert_eq!((second, request.version), (peer, 3));
    let effects = fetch.step(later, ConfigFetchEvent::Chunk(peer, chunk(&newer, &request)));
    assert_eq!(effects, vec![ConfigFetchEffect::Complete(peer, newer)]);
}

/// The only side with the configuration is serving others. It is asked again after a pause, not at
/// once.
#[test]
fn busy_peer_is_asked_again_after_a_pause() {
    let mut fetch = entry();
    let (peer, _, at) = first_request(&mut fetch);
    assert_eq!(fetch.step(at, ConfigFetchEvent::Chunk(peer, ConfigChunk::default())), Vec::new());
    let later = fetch.next_tick().unwrap();
    assert!(later > at + 50);
    assert_eq!(requested(&fetch.step(later, ConfigFetchEvent::Tick)).unwrap().0, peer);
}

/// Invalid chunks: a wrong offset, an excessive total size, an older version.
#[rstest]
#[case::gap(ConfigChunk { version: 2, offset: 9, total: 50, bytes: vec![1] })]
#[case::oversized(ConfigChunk { version: 2, offset: 0, total: u64::MAX, bytes: vec![1] })]
#[case::older(ConfigChunk { version: 1, offset: 0, total: 1, bytes: vec![1] })]
fn invalid_chunk_is_dropped(#[case] part: ConfigChunk) {
    let mut fetch = entry();
    let (peer, _, at) = first_request(&mut fetch);
    assert_eq!(fetch.step(at, ConfigFetchEvent::Chunk(peer, part)), Vec::new());
    assert!(fetch.next_tick().unwrap() > at + 1_000);
}

/// Many sides send requests to one entry. Two are served, the others get a "busy" answer. A slot is
/// free once a side has its last chunk, has left, or has requested nothing for a second.
#[test]
fn process_serves_two_peers_at_a_time() {
    let config = encoded_config(2, 20_000);
    let mut server = ConfigServer::default();
    let request = |offset| ConfigChunkRequest { version: 2, offset };
    let mut served = |at, peer, offset| {
        let part = server.answer(Millis(at), EntryLink(peer), &request(offset), Some(&config));
        !part.bytes.is_empty()
    };
    assert!(served(0, 1, 0) && served(0, 2, 0));
    assert!(!served(10, 3, 0));
    assert!(served(20, 1, 16_384), "the last chunk");
    assert!(served(30, 3, 0));
    assert!(!served(900, 4, 0));
    assert!(served(1_040, 4, 0), "2 and 3 have requested nothing since");
    assert_eq!(server.answer(Millis(1_050), A, &request(0), None), ConfigChunk::default());
}

/// An event in [`Network`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NetworkEvent {
    /// An entry has received the newest configuration.
    ConfigReceived(usize),
    /// A side's chunk request reaches an entry.
    RequestReceived(usize, usize, (u64, u64)),
    /// The answer reaches the side.
    AnswerReceived(usize, usize, (u64, u64)),
    Tick(usize),
}

/// Entries with the given link rates (bytes per millisecond), and sides that fetch from them.
struct Network {
    config: EncodedConfig,
    rates: Vec<u64>,
    has_config: Vec<bool>,
    servers: Vec<ConfigServer<usize>>,
    /// When each entry's link has sent everything queued on it.
    free_at: Vec<u64>,
    /// The longest time a byte has waited for an entry's link.
    longest_wait: u64,
    sent_bytes: u64,
    sides: Vec<Fetch>,
    received_at: Vec<Option<u64>>,
    queue: BinaryHeap<Reverse<(u64, NetworkEvent)>>,
}

/// One-way latency between an entry and a side, in milliseconds.
const ONE_WAY_MS: u64 = 2;

impl Network {
    /// Entries receive the new configuration at the times in `known_at`; sides have version `old`.
    fn new(size: usize, rates: Vec<u64>, known_at: &[u64], sides: usize, old: u64) -> Network {
        let mut queue = BinaryHeap::new();
        for (entry, at) in known_at.iter().enumerate() {
            queue.push(Reverse((*at, NetworkEvent::ConfigReceived(entry))));
        }
        let side = |index: usize| {
            let mut fetch = Fetch::new(ConfigSources::PeersOnly, index as u64 * 7_919);
            fetch.step(Millis(0), ConfigFetchEvent::OwnVersion(old));
            fetch
        };
        Network {
            config: encoded_config(2, size),
            has_config: vec![false; rates.len()],
            servers: rates.iter().map(|_| ConfigServer::default()).collect(),
            free_at: vec![0; rates.len()],
            longest_wait: 0,
            sent_bytes: 0,
            sides: (0..sides).map(side).collect(),
            received_at: vec![None; sides],
            queue,
            rates,
        }
    }

    /// Runs until every side has the configuration; returns the time when the last one received it.
    fn run(&mut self) -> u64 {
        while self.received_at.contains(&None) {
            let Reverse((now, event)) =
                self.queue.pop().expect("a side without a request or timer");
            match event {
                NetworkEvent::ConfigReceived(entry) => {
                    self.has_config[entry] = true;
                    let link = EntryLink(entry as u64);
                    for side in 0..self.sides.len() {
                        self.side(now, side, ConfigFetchEvent::Offered(link, 2));
                    }
                }
                NetworkEvent::RequestReceived(side, entry, request) => {
                    self.answer(now, side, entry, request)
                }
                NetworkEvent::AnswerReceived(side, entry, (offset, bytes)) => {
                    let request = ConfigChunkRequest { version: 2, offset };
                    let part = if bytes == 0 {
                        ConfigChunk::default()
                    } else {
                        chunk(&self.config, &request)
                    };
                    self.side(now, side, ConfigFetchEvent::Chunk(EntryLink(entry as u64), part));
                }
                NetworkEvent::Tick(side) => self.side(now, side, ConfigFetchEvent::Tick),
            }
        }
        self.received_at.iter().flatten().copied().max().unwrap()
    }

    fn answer(&mut self, now: u64, side: usize, entry: usize, request: (u64, u64)) {
        let encoded_config = self.has_config[entry].then_some(&self.config);
        let request = ConfigChunkRequest { version: request.0, offset: request.1 };
        let part = self.servers[entry].answer(Millis(now), side, &request, encoded_config);
        let bytes = part.bytes.len() as u64;
        self.sent_bytes += bytes;
        let send_at = self.free_at[entry].max(now);
        self.longest_wait = self.longest_wait.max(send_at - now);
        self.free_at[entry] = send_at + bytes / self.rates[entry];
        let arrival = self.free_at[entry] + ONE_WAY_MS;
        self.queue.push(Reverse((
            arrival,
            NetworkEvent::AnswerReceived(side, entry, (part.offset, bytes)),
        )));
    }

    fn side(&mut self, now: u64, side: usize, event: ConfigFetchEvent<EntryLink>) {
        for effect in self.sides[side].step(Millis(now), event) {
            match effect {
                ConfigFetchEffect::RequestChunk(EntryLink(entry), request) => {
                    let received = NetworkEvent::RequestReceived(
                        side,
                        entry as usize,
                        (request.version, request.offset),
                    );
                    self.queue.push(Reverse((now + ONE_WAY_MS, received)));
                }
                ConfigFetchEffect::Complete(_, complete) => {
                    assert_eq!(complete, self.config);
                    self.received_at[side] = Some(now);
                    self.sides[side].step(Millis(now), ConfigFetchEvent::OwnVersion(2));
                }
                ConfigFetchEffect::TimedOut(entry, _) => panic!("{entry} was considered silent"),
            }
        }
        if let Some(at) = self.sides[side].next_tick() {
            self.queue.push(Reverse((at.0.max(now + 1), NetworkEvent::Tick(side))));
        }
    }
}

/// Rate of a slow link, in bytes per millisecond: 10 Mbit/s.
const SLOW_RATE: u64 = 1_250;
/// Rate of a fast link, in bytes per millisecond: 200 Mbit/s.
const FAST_RATE: u64 = 25_000;
/// Strictest limit for the time that an event of a stream spends at an entry, in milliseconds.
const MAX_EVENT_DELAY_MS: u64 = 120;

/// A configuration of 0.8 MB reaches a deployment of 30 entries, 24 of them with slow links, and 55
/// sides. Each side receives it once and within the deadline of a change, and no byte waits long
/// at an entry's link. Pushed without a request, 55 copies would occupy a slow link for 35 s.
#[test]
fn large_configuration_reaches_all_sides_once() {
    let rates = (0..30).map(|entry| if entry < 6 { FAST_RATE } else { SLOW_RATE }).collect();
    let known_at = (0..30).map(|entry| if entry < 6 { 40 } else { 960 }).collect::<Vec<_>>();
    let mut network = Network::new(810_000, rates, &known_at, 55, 1);
    let last = network.run();
    assert!(last <= 3_000, "the last side received it after {last} ms");
    assert_eq!(network.sent_bytes, 55 * 810_000);
    assert!(network.longest_wait <= MAX_EVENT_DELAY_MS / 2, "{} ms", network.longest_wait);
}

/// Only one entry is left, and its link is slow. Its sides receive the configuration in turn, and
/// responses to callers are sent between the chunks.
#[rstest]
#[case::at_start(0)]
#[case::of_a_newer_config(1)]
fn one_slow_entry_serves_all_sides(#[case] old: u64) {
    let mut network = Network::new(290_000, vec![SLOW_RATE], &[300], 18, old);
    network.run();
    assert_eq!(network.sent_bytes, 18 * 290_000);
    assert!(network.longest_wait <= MAX_EVENT_DELAY_MS / 2, "{} ms", network.longest_wait);
}

/// Whatever peers send, in whatever order: at most one request is open, to a connected peer that
/// has offered a newer configuration, and only newer configurations are delivered.
#[rstest]
fn random_peers(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let sources =
        if seed.is_multiple_of(2) { ConfigSources::StoreFirst } else { ConfigSources::PeersOnly };
    let mut fetch = Fetch::new(sources, seed);
    let (mut now, mut own) = (0, 0);
    let mut offers = BTreeMap::<EntryLink, u64>::new();
    let mut open = None::<(EntryLink, ConfigChunkRequest)>;
    for _ in 0..20_000 {
        now += random.random_range(0..300);
        let peer = EntryLink(random.random_range(0..4));
        let event = match random.random_range(0..8) {
            0 => ConfigFetchEvent::OwnVersion(own.max(random.random_range(0..now / 2_000 + 1))),
            1 => ConfigFetchEvent::Disconnected(peer),
            2 => ConfigFetchEvent::StoreProgress,
            3 => ConfigFetchEvent::Offered(peer, random.random_range(0..now / 2_000 + 2)),
            4 => ConfigFetchEvent::Tick,
            _ => {
                ConfigFetchEvent::Chunk(peer, random_part(&mut random, open.as_ref(), now / 2_000))
            }
        };
        match &event {
            ConfigFetchEvent::OwnVersion(version) => own = own.max(*version),
            ConfigFetchEvent::Offered(peer, version) => drop(offers.insert(*peer, *version)),
            ConfigFetchEvent::Disconnected(peer) => drop(offers.remove(peer)),
            _ => {}
        }
        let answered = matches!(&event, ConfigFetchEvent::Chunk(from, _) if Some(*from) == open.as_ref().map(|o| o.0));
        // A request ends once its peer has left, its version is known, or no peer has a newer one.
        let newer = offers.values().any(|version| *version > own);
        open = open.filter(|(to, request)| {
            newer && !answered && offers.contains_key(to) && request.version > own
        });
        for effect in fetch.step(Millis(now), event) {
            match effect {
                ConfigFetchEffect::RequestChunk(peer, request) => {
                    assert_eq!(open, None, "two requests are open");
                    assert!(offers.contains_key(&peer) && request.version > own);
                    open = Some((peer, request));
                }
                ConfigFetchEffect::Complete(_, encoded_config) => {
                    assert!(encoded_config.version > own)
                }
                ConfigFetchEffect::TimedOut(..) => open = None,
            }
        }
    }
}

/// Returns a matching answer to the open request, a "busy" answer, or an arbitrary one.
fn random_part(
    random: &mut StdRng,
    open: Option<&(EntryLink, ConfigChunkRequest)>,
    most: u64,
) -> ConfigChunk {
    let (version, offset) = open.map_or((0, 0), |(_, request)| (request.version, request.offset));
    match random.random_range(0..4) {
        0 => ConfigChunk::default(),
        1 => ConfigChunk {
            version: random.random_range(0..most + 3),
            offset,
            total: 9,
            bytes: vec![1],
        },
        _ => ConfigChunk { version, offset, total: offset + 2, bytes: vec![1] },
    }
}
