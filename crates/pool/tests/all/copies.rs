//! Copies of the text between entries and sides: one peer is asked at a time, and few are served.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use citronrill_base::Millis;
use citronrill_pool::{CopyEffect, CopyEvent, CopyFetch, CopyPatience, CopyServer, EntryLink};
use citronrill_wire::{TextAsk, TextCopy, TextPart};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const A: EntryLink = EntryLink(1);
const B: EntryLink = EntryLink(2);

type Fetch = CopyFetch<EntryLink>;
type Effect = CopyEffect<EntryLink>;

fn copy(version: u64, size: usize) -> TextCopy {
    let bytes = (0..size).map(|index| (index * 7 + version as usize) as u8).collect();
    TextCopy { version, bytes }
}

/// What a peer with nobody else to serve answers.
fn piece(copy: &TextCopy, ask: &TextAsk) -> TextPart {
    CopyServer::default().answer(Millis(0), A, ask, Some(copy))
}

/// An entry that has a text of version 1.
fn entry() -> Fetch {
    let mut fetch = CopyFetch::new(CopyPatience::OwnRead, 5);
    fetch.step(Millis(0), CopyEvent::Own(1));
    fetch
}

fn asked(effects: &[Effect]) -> Option<(EntryLink, TextAsk)> {
    effects.iter().find_map(|effect| match effect {
        CopyEffect::Ask(peer, ask) => Some((*peer, ask.clone())),
        _ => None,
    })
}

/// Lets peer A offer version 2 and waits until somebody is asked; gives who, and when.
fn first_ask(fetch: &mut Fetch) -> (EntryLink, TextAsk, Millis) {
    let offered = fetch.step(Millis(0), CopyEvent::Offered(A, 2));
    assert_eq!(asked(&offered), None);
    let at = fetch.wake().unwrap();
    let (peer, ask) = asked(&fetch.step(at, CopyEvent::Tick)).unwrap();
    (peer, ask, at)
}

/// An entry's link is slow, and the text comes from the store for a second, while sides have it
/// already. None is asked: a copy from a side would only be in the way of the store's.
#[test]
fn an_entry_that_reads_the_store_asks_nobody() {
    let mut fetch = entry();
    fetch.step(Millis(0), CopyEvent::Offered(A, 2));
    for at in (0..1_000).step_by(50) {
        assert_eq!(fetch.step(Millis(at), CopyEvent::Progress), Vec::new());
        assert_eq!(fetch.step(Millis(at + 25), CopyEvent::Offered(B, 2)), Vec::new());
    }
    fetch.step(Millis(1_000), CopyEvent::Own(2));
    assert_eq!(fetch.wake(), None);
}

/// The store stops in the middle of the text. One side is asked, and only one.
#[test]
fn an_entry_asks_one_side_when_the_store_falls_silent() {
    let mut fetch = entry();
    fetch.step(Millis(0), CopyEvent::Offered(A, 2));
    fetch.step(Millis(0), CopyEvent::Offered(B, 2));
    fetch.step(Millis(300), CopyEvent::Progress);
    assert_eq!(fetch.step(Millis(690), CopyEvent::Tick), Vec::new());
    assert_eq!(fetch.wake(), Some(Millis(700)));
    assert_eq!(fetch.step(Millis(700), CopyEvent::Tick).len(), 1);
    assert_eq!(fetch.step(Millis(900), CopyEvent::Offered(B, 2)), Vec::new());
}

/// A side freezes after a piece. The rest is asked of another one, from where the first stopped; a late
/// piece of the first changes nothing.
#[test]
fn the_rest_comes_from_another_peer() {
    let text = copy(2, 40_000);
    let mut fetch = entry();
    let (first, ask, at) = first_ask(&mut fetch);
    fetch.step(at, CopyEvent::Offered(B, 2));
    let late = piece(&text, &ask);
    let next = fetch.step(at, CopyEvent::Part(first, late.clone()));
    assert_eq!(asked(&next).unwrap().1.offset, late.bytes.len() as u64);

    let moved = fetch.step(fetch.wake().unwrap(), CopyEvent::Tick);
    assert!(matches!(moved[0], CopyEffect::Silent(peer, _) if peer == first));
    let (second, mut ask) = asked(&moved).unwrap();
    assert_eq!((second, ask.offset), (B, late.bytes.len() as u64));
    assert_eq!(fetch.step(at, CopyEvent::Part(first, late)), Vec::new());
    let whole = loop {
        let effects = fetch.step(at, CopyEvent::Part(B, piece(&text, &ask)));
        match asked(&effects) {
            Some((_, next)) => ask = next,
            None => break effects,
        }
    };
    assert_eq!(whole, vec![CopyEffect::Whole(B, text)]);
}

/// A peer has a newer text than it had offered. What has come of the older one is dropped, and the
/// newer one is taken whole.
#[test]
fn a_newer_text_begins_anew() {
    let (older, newer) = (copy(2, 40_000), copy(3, 20_000));
    let mut fetch = entry();
    let (peer, ask, at) = first_ask(&mut fetch);
    let effects = fetch.step(at, CopyEvent::Part(peer, piece(&older, &ask)));
    let (_, ask) = asked(&effects).unwrap();
    let effects = fetch.step(at, CopyEvent::Part(peer, piece(&newer, &ask)));
    let (_, ask) = asked(&effects).unwrap();
    assert_eq!(ask.version, 3);
    let effects = fetch.step(at, CopyEvent::Part(peer, piece(&newer, &ask)));
    assert_eq!(effects, vec![CopyEffect::Whole(peer, newer)]);
}

/// A copy is harmed on its way and cannot be read, so that the entry goes on lacking the text. It does
/// not ask the same peer again and again.
#[test]
fn a_copy_that_cannot_be_read_is_asked_of_another() {
    let text = copy(2, 100);
    let mut fetch = entry();
    let (peer, ask, at) = first_ask(&mut fetch);
    let effects = fetch.step(at, CopyEvent::Part(peer, piece(&text, &ask)));
    assert_eq!(effects, vec![CopyEffect::Whole(peer, text)]);
    assert!(fetch.wake().unwrap() > at + 1_000);
    assert_eq!(fetch.step(at + 1, CopyEvent::Offered(B, 2)), Vec::new(), "it may yet be read");
    let later = fetch.wake().unwrap();
    assert!(later < at + 1_000);
    assert_eq!(asked(&fetch.step(later, CopyEvent::Tick)).unwrap().0, B);
}

/// The store gives the entry a text while a side is asked for it, and a newer one is offered by then. The
/// newer one is asked for at once, of the same side, and the answer to the first question spoils nothing.
#[test]
fn a_text_from_the_store_voids_the_question_for_it() {
    let (known, newer) = (copy(2, 100), copy(3, 100));
    let mut fetch = entry();
    let (peer, ask, at) = first_ask(&mut fetch);
    assert_eq!(fetch.step(at, CopyEvent::Offered(peer, 3)), Vec::new());
    fetch.step(at, CopyEvent::Own(2));
    fetch.step(at, CopyEvent::Part(peer, piece(&known, &ask)));
    let later = fetch.wake().unwrap();
    assert_eq!(later, at + 400);
    let (second, ask) = asked(&fetch.step(later, CopyEvent::Tick)).unwrap();
    assert_eq!((second, ask.version), (peer, 3));
    let effects = fetch.step(later, CopyEvent::Part(peer, piece(&newer, &ask)));
    assert_eq!(effects, vec![CopyEffect::Whole(peer, newer)]);
}

/// The only side that has the text serves others. It is asked again after a while, not at once.
#[test]
fn a_busy_peer_is_left_alone_for_a_while() {
    let mut fetch = entry();
    let (peer, _, at) = first_ask(&mut fetch);
    assert_eq!(fetch.step(at, CopyEvent::Part(peer, TextPart::default())), Vec::new());
    let later = fetch.wake().unwrap();
    assert!(later > at + 50);
    assert_eq!(asked(&fetch.step(later, CopyEvent::Tick)).unwrap().0, peer);
}

/// Bytes that fit nowhere: another offset, a total beyond all sense, an older version.
#[rstest]
#[case::gap(TextPart { version: 2, offset: 9, total: 50, bytes: vec![1] })]
#[case::endless(TextPart { version: 2, offset: 0, total: u64::MAX, bytes: vec![1] })]
#[case::older(TextPart { version: 1, offset: 0, total: 1, bytes: vec![1] })]
fn a_piece_that_does_not_fit_is_dropped(#[case] part: TextPart) {
    let mut fetch = entry();
    let (peer, _, at) = first_ask(&mut fetch);
    assert_eq!(fetch.step(at, CopyEvent::Part(peer, part)), Vec::new());
    assert!(fetch.wake().unwrap() > at + 1_000);
}

/// Many sides ask one entry. Two are served, the others are told to ask elsewhere; a place is free once
/// one has its last piece, has left, or has asked nothing for a second.
#[test]
fn a_process_serves_two_at_once() {
    let text = copy(2, 20_000);
    let mut server = CopyServer::default();
    let ask = |offset| TextAsk { version: 2, offset };
    let mut served = |at, peer, offset| {
        let part = server.answer(Millis(at), EntryLink(peer), &ask(offset), Some(&text));
        !part.bytes.is_empty()
    };
    assert!(served(0, 1, 0) && served(0, 2, 0));
    assert!(!served(10, 3, 0));
    assert!(served(20, 1, 16_384), "the last piece");
    assert!(served(30, 3, 0));
    assert!(!served(900, 4, 0));
    assert!(served(1_040, 4, 0), "2 and 3 have asked nothing since");
    assert_eq!(server.answer(Millis(1_050), A, &ask(0), None), TextPart::default());
}

/// One end of a connection in [`Network`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// An entry has the newest text.
    Told(usize),
    /// A side's question reaches an entry.
    Asks(usize, usize, (u64, u64)),
    /// The answer reaches the side.
    Answers(usize, usize, (u64, u64)),
    Tick(usize),
}

/// Entries with links of so many bytes a millisecond, and sides that fetch from them.
struct Network {
    text: TextCopy,
    rates: Vec<u64>,
    known: Vec<bool>,
    servers: Vec<CopyServer<usize>>,
    /// When an entry's link has carried what it was given.
    free_at: Vec<u64>,
    /// The longest time for which a byte has waited for an entry's link.
    longest_wait: u64,
    sent: u64,
    sides: Vec<Fetch>,
    has: Vec<Option<u64>>,
    queue: BinaryHeap<Reverse<(u64, Happening)>>,
}

/// Milliseconds one way between an entry and a side.
const DELAY: u64 = 2;

impl Network {
    /// Entries have the new text after as many milliseconds as `known_at` says; sides have `old`.
    fn new(size: usize, rates: Vec<u64>, known_at: &[u64], sides: usize, old: u64) -> Network {
        let mut queue = BinaryHeap::new();
        for (entry, at) in known_at.iter().enumerate() {
            queue.push(Reverse((*at, Happening::Told(entry))));
        }
        let side = |index: usize| {
            let mut fetch = Fetch::new(CopyPatience::PeersOnly, index as u64 * 7_919);
            fetch.step(Millis(0), CopyEvent::Own(old));
            fetch
        };
        Network {
            text: copy(2, size),
            known: vec![false; rates.len()],
            servers: rates.iter().map(|_| CopyServer::default()).collect(),
            free_at: vec![0; rates.len()],
            longest_wait: 0,
            sent: 0,
            sides: (0..sides).map(side).collect(),
            has: vec![None; sides],
            queue,
            rates,
        }
    }

    /// Plays until every side has the text; gives when the last one had it.
    fn play(&mut self) -> u64 {
        while self.has.contains(&None) {
            let Reverse((now, happening)) = self.queue.pop().expect("some side asks nobody");
            match happening {
                Happening::Told(entry) => {
                    self.known[entry] = true;
                    let link = EntryLink(entry as u64);
                    for side in 0..self.sides.len() {
                        self.side(now, side, CopyEvent::Offered(link, 2));
                    }
                }
                Happening::Asks(side, entry, ask) => self.answer(now, side, entry, ask),
                Happening::Answers(side, entry, (offset, bytes)) => {
                    let ask = TextAsk { version: 2, offset };
                    let part =
                        if bytes == 0 { TextPart::default() } else { piece(&self.text, &ask) };
                    self.side(now, side, CopyEvent::Part(EntryLink(entry as u64), part));
                }
                Happening::Tick(side) => self.side(now, side, CopyEvent::Tick),
            }
        }
        self.has.iter().flatten().copied().max().unwrap()
    }

    fn answer(&mut self, now: u64, side: usize, entry: usize, ask: (u64, u64)) {
        let copy = self.known[entry].then_some(&self.text);
        let ask = TextAsk { version: ask.0, offset: ask.1 };
        let part = self.servers[entry].answer(Millis(now), side, &ask, copy);
        let bytes = part.bytes.len() as u64;
        self.sent += bytes;
        let begins = self.free_at[entry].max(now);
        self.longest_wait = self.longest_wait.max(begins - now);
        self.free_at[entry] = begins + bytes / self.rates[entry];
        let there = self.free_at[entry] + DELAY;
        self.queue.push(Reverse((there, Happening::Answers(side, entry, (part.offset, bytes)))));
    }

    fn side(&mut self, now: u64, side: usize, event: CopyEvent<EntryLink>) {
        for effect in self.sides[side].step(Millis(now), event) {
            match effect {
                CopyEffect::Ask(EntryLink(entry), ask) => {
                    let asks = Happening::Asks(side, entry as usize, (ask.version, ask.offset));
                    self.queue.push(Reverse((now + DELAY, asks)));
                }
                CopyEffect::Whole(_, whole) => {
                    assert_eq!(whole, self.text);
                    self.has[side] = Some(now);
                    self.sides[side].step(Millis(now), CopyEvent::Own(2));
                }
                CopyEffect::Silent(entry, _) => panic!("{entry} was taken for silent"),
            }
        }
        if let Some(at) = self.sides[side].wake() {
            self.queue.push(Reverse((at.0.max(now + 1), Happening::Tick(side))));
        }
    }
}

/// 10 Mbit/s and 200 Mbit/s, in bytes a millisecond.
const SLOW: u64 = 1_250;
const FAST: u64 = 25_000;
/// Milliseconds for which an event of a stream may be on its way at an entry, on the strictest sheet.
const PASS_MS: u64 = 120;

/// A text of 0.8 MB comes to a deployment of 30 entries, 24 of them with slow links, and 55 sides. Each
/// side gets it once, all have it in the time that a change may take, and nobody's bytes wait for long
/// at an entry's link. Sent unasked, 55 copies would hold a slow link for 35 s.
#[test]
fn a_large_text_reaches_all_sides_once() {
    let rates = (0..30).map(|entry| if entry < 6 { FAST } else { SLOW }).collect();
    let known_at = (0..30).map(|entry| if entry < 6 { 40 } else { 960 }).collect::<Vec<_>>();
    let mut network = Network::new(810_000, rates, &known_at, 55, 1);
    let last = network.play();
    assert!(last <= 3_000, "the last side after {last} ms");
    assert_eq!(network.sent, 55 * 810_000);
    assert!(network.longest_wait <= PASS_MS / 2, "{} ms", network.longest_wait);
}

/// Only one entry is left, and its link is slow. Its sides get the text one after the other, and what its
/// callers wait for passes between the pieces.
#[rstest]
#[case::at_start(0)]
#[case::of_a_newer_text(1)]
fn one_slow_entry_serves_all_sides(#[case] old: u64) {
    let mut network = Network::new(290_000, vec![SLOW], &[300], 18, old);
    network.play();
    assert_eq!(network.sent, 18 * 290_000);
    assert!(network.longest_wait <= PASS_MS / 2, "{} ms", network.longest_wait);
}

/// Whatever peers say, in whatever order: one question is open at a time, to a peer that has offered a
/// newer text and is there, and no text is given that is not newer.
#[rstest]
fn random_peers(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let patience =
        if seed.is_multiple_of(2) { CopyPatience::OwnRead } else { CopyPatience::PeersOnly };
    let mut fetch = Fetch::new(patience, seed);
    let (mut now, mut own) = (0, 0);
    let mut offers = BTreeMap::<EntryLink, u64>::new();
    let mut open = None::<(EntryLink, TextAsk)>;
    for _ in 0..20_000 {
        now += random.random_range(0..300);
        let peer = EntryLink(random.random_range(0..4));
        let event = match random.random_range(0..8) {
            0 => CopyEvent::Own(own.max(random.random_range(0..now / 2_000 + 1))),
            1 => CopyEvent::Gone(peer),
            2 => CopyEvent::Progress,
            3 => CopyEvent::Offered(peer, random.random_range(0..now / 2_000 + 2)),
            4 => CopyEvent::Tick,
            _ => CopyEvent::Part(peer, random_part(&mut random, open.as_ref(), now / 2_000)),
        };
        match &event {
            CopyEvent::Own(version) => own = own.max(*version),
            CopyEvent::Offered(peer, version) => drop(offers.insert(*peer, *version)),
            CopyEvent::Gone(peer) => drop(offers.remove(peer)),
            _ => {}
        }
        let answered =
            matches!(&event, CopyEvent::Part(from, _) if Some(*from) == open.as_ref().map(|o| o.0));
        // A question is void once its peer has left, its text is known, or nobody has a newer one.
        let newer = offers.values().any(|version| *version > own);
        open = open
            .filter(|(to, ask)| newer && !answered && offers.contains_key(to) && ask.version > own);
        for effect in fetch.step(Millis(now), event) {
            match effect {
                CopyEffect::Ask(peer, ask) => {
                    assert_eq!(open, None, "two questions are open");
                    assert!(offers.contains_key(&peer) && ask.version > own);
                    open = Some((peer, ask));
                }
                CopyEffect::Whole(_, copy) => assert!(copy.version > own),
                CopyEffect::Silent(..) => open = None,
            }
        }
    }
}

/// A fitting answer to the open question, a busy one, or anything.
fn random_part(random: &mut StdRng, open: Option<&(EntryLink, TextAsk)>, most: u64) -> TextPart {
    let (version, offset) = open.map_or((0, 0), |(_, ask)| (ask.version, ask.offset));
    match random.random_range(0..4) {
        0 => TextPart::default(),
        1 => {
            TextPart { version: random.random_range(0..most + 3), offset, total: 9, bytes: vec![1] }
        }
        _ => TextPart { version, offset, total: offset + 2, bytes: vec![1] },
    }
}
