//! Copies of the operators' text between entries and sides: who asks whom, for what, and when.
//!
//! A process that lacks a text asks one peer for it, piece by piece. Asking, and not sending unasked, is
//! what bounds the bytes: whoever lacks the text has one piece on its way at a time, however many peers
//! could give it, and whoever has it serves a few at once and tells the others to ask elsewhere.

use std::collections::BTreeMap;

use citronrill_base::{Millis, hash_bytes};
use citronrill_wire::{TextAsk, TextCopy, TextPart};

/// Bytes of one piece: 13 ms of a link of 10 Mbit/s, so that what callers wait for passes between two.
pub const PIECE_BYTES: usize = 16 << 10;
/// Milliseconds for a piece, after which another peer is asked for it: a peer on a slow link serves
/// [`SERVED_LIMIT`] of 13 ms in turn, and a round trip between zones takes 3.
const PIECE_MS: u64 = 600;
/// Milliseconds for which a peer that gave no piece in time, or bytes that are no text, is left alone.
const SILENT_MS: u64 = 2_000;
/// Milliseconds for which a peer that serves others is left alone: a text of 0.5 MB takes as long on a
/// link of 50 Mbit/s.
const BUSY_MS: u64 = 100;
/// Peers that a process serves at once. More would only share its link.
const SERVED_LIMIT: usize = 2;
/// Milliseconds after its last piece for which a peer counts as being served.
const SERVED_MS: u64 = 1_000;
/// Milliseconds for this process to put a whole copy into force, before it asks for another: decoding
/// 0.5 MB takes 7 on a tenth of a core.
const DECODE_MS: u64 = 100;
/// Bytes of a text at most; more is a peer's mistake.
const TEXT_LIMIT: u64 = 16 << 20;
/// Milliseconds without a byte of the text from the store after which an entry asks peers: the store
/// answers within a few, and sends on while the entry's link bears it.
const OWN_READ_MS: u64 = 400;

/// How long to wait for the text by other ways before a peer is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyPatience {
    /// An entry reads the store by itself. A copy is for one that cannot reach it, and most have the
    /// text by the time that this ends.
    OwnRead,
    /// A side has no other way than its entries, and asks at once.
    PeersOnly,
}

/// What a [`CopyFetch`] learns. `P` names a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyEvent<P> {
    /// This process has a text of this version.
    Own(u64),
    /// Bytes of the text arrive from the store.
    Progress,
    /// A peer says that it has this version.
    Offered(P, u64),
    /// The connection to a peer has ended.
    Gone(P),
    /// A peer's answer to a question.
    Part(P, TextPart),
    /// Time has passed.
    Tick,
}

/// What a [`CopyFetch`] wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum CopyEffect<P> {
    /// Ask a peer for a piece.
    Ask(P, TextAsk),
    /// A text is whole; the peer that gave its last piece.
    Whole(P, TextCopy),
    /// A peer gave no piece in time; another one is asked.
    Silent(P, TextAsk),
}

/// A text of which some pieces are there.
#[derive(Debug)]
struct Pieces {
    version: u64,
    bytes: Vec<u8>,
}

/// Fetches the newest text that peers have.
#[derive(Debug)]
pub struct CopyFetch<P> {
    patience: CopyPatience,
    /// Tells processes apart, so that they ask different peers first.
    seed: u64,
    own: u64,
    offers: BTreeMap<P, u64>,
    /// Peers that are left alone, and until when.
    avoided: BTreeMap<P, Millis>,
    /// Since when a newer text has been offered and not come by other ways.
    lacking: Option<Millis>,
    pieces: Option<Pieces>,
    /// No question before this.
    paused: Millis,
    /// The question that is open.
    asked: Option<Question<P>>,
}

#[derive(Debug, Clone, Copy)]
struct Question<P> {
    peer: P,
    version: u64,
    at: Millis,
}

impl<P: Copy + Ord + ToString> CopyFetch<P> {
    /// A fetch that knows nothing yet.
    pub fn new(patience: CopyPatience, seed: u64) -> CopyFetch<P> {
        CopyFetch {
            patience,
            seed,
            own: 0,
            offers: BTreeMap::new(),
            avoided: BTreeMap::new(),
            lacking: None,
            pieces: None,
            paused: Millis::default(),
            asked: None,
        }
    }

    /// Takes an event; gives what follows from it.
    pub fn step(&mut self, now: Millis, event: CopyEvent<P>) -> Vec<CopyEffect<P>> {
        let mut effects = Vec::new();
        match event {
            CopyEvent::Own(version) => self.take_own(version),
            CopyEvent::Progress => self.lacking = self.lacking.map(|_| now),
            CopyEvent::Offered(peer, version) => {
                self.offers.insert(peer, version);
            }
            CopyEvent::Gone(peer) => self.drop_peer(peer),
            CopyEvent::Part(peer, part) => self.take_part(now, peer, part, &mut effects),
            CopyEvent::Tick => {}
        }
        self.give_up_silent(now, &mut effects);
        self.ask_somebody(now, &mut effects);
        effects
    }

    /// When [`CopyEvent::Tick`] is due, if nothing else happens.
    pub fn wake(&self) -> Option<Millis> {
        if let Some(asked) = &self.asked {
            return Some(asked.at + PIECE_MS);
        }
        let due = self.lacking? + self.patience_ms();
        let free = |peer: &P| self.avoided.get(peer).copied().unwrap_or_default();
        let somebody = self.newer().map(|(peer, _)| free(&peer)).min()?;
        Some(due.max(somebody).max(self.paused))
    }

    /// Peers with a newer text than this process.
    fn newer(&self) -> impl Iterator<Item = (P, u64)> {
        let own = self.own;
        self.offers.iter().map(|(peer, version)| (*peer, *version)).filter(move |o| o.1 > own)
    }

    fn patience_ms(&self) -> u64 {
        match self.patience {
            CopyPatience::OwnRead => OWN_READ_MS,
            CopyPatience::PeersOnly => 0,
        }
    }

    fn take_own(&mut self, version: u64) {
        if version <= self.own {
            return;
        }
        self.own = version;
        self.lacking = None;
        self.pieces = self.pieces.take().filter(|pieces| pieces.version > version);
        self.asked = self.asked.filter(|asked| asked.version > version);
    }

    fn drop_peer(&mut self, peer: P) {
        self.offers.remove(&peer);
        self.avoided.remove(&peer);
        self.asked = self.asked.filter(|asked| asked.peer != peer);
    }

    fn take_part(
        &mut self,
        now: Millis,
        peer: P,
        part: TextPart,
        effects: &mut Vec<CopyEffect<P>>,
    ) {
        // An answer that came too late: somebody else is asked by now.
        if self.asked.is_none_or(|asked| asked.peer != peer) {
            return;
        }
        self.asked = None;
        if part.bytes.is_empty() {
            self.avoided.insert(peer, now + BUSY_MS);
            return;
        }
        let expected = self.pieces.take().filter(|pieces| pieces.version == part.version);
        // The peer has a newer text by now, and gives its beginning.
        let mut pieces = expected.unwrap_or(Pieces { version: part.version, bytes: Vec::new() });
        let fits = part.offset == pieces.bytes.len() as u64 && part.total <= TEXT_LIMIT;
        if !fits || part.version <= self.own {
            self.avoided.insert(peer, now + SILENT_MS);
            return;
        }
        pieces.bytes.extend_from_slice(&part.bytes);
        if (pieces.bytes.len() as u64) < part.total {
            self.pieces = Some(pieces);
            self.ask(now, peer, part.version, effects);
            return;
        }
        // If it cannot be read, this process goes on lacking it: somebody else may have it unharmed.
        self.avoided.insert(peer, now + SILENT_MS);
        self.paused = now + DECODE_MS;
        let copy = TextCopy { version: pieces.version, bytes: pieces.bytes };
        effects.push(CopyEffect::Whole(peer, copy));
    }

    /// Guards against a peer that has frozen or is cut off: its connection says nothing of that for
    /// seconds. What has come stays, and the rest is asked of another.
    fn give_up_silent(&mut self, now: Millis, effects: &mut Vec<CopyEffect<P>>) {
        let Some(asked) = self.asked.filter(|asked| now.since(asked.at) >= PIECE_MS) else {
            return;
        };
        self.asked = None;
        self.avoided.insert(asked.peer, now + SILENT_MS);
        let offset = self.offset_of(asked.version);
        effects.push(CopyEffect::Silent(asked.peer, TextAsk { version: asked.version, offset }));
    }

    /// How much of a text has come.
    fn offset_of(&self, version: u64) -> u64 {
        let pieces = self.pieces.as_ref().filter(|pieces| pieces.version == version);
        pieces.map_or(0, |pieces| pieces.bytes.len() as u64)
    }

    fn ask_somebody(&mut self, now: Millis, effects: &mut Vec<CopyEffect<P>>) {
        self.avoided.retain(|_, until| *until > now);
        if self.newer().next().is_none() {
            self.lacking = None;
            self.pieces = None;
            self.asked = None;
            return;
        }
        let since = *self.lacking.get_or_insert(now);
        let patient = now >= since + self.patience_ms() && now >= self.paused;
        if self.asked.is_some() || !patient {
            return;
        }
        let begun = self.pieces.as_ref().map_or(0, |pieces| pieces.version);
        let choice = self
            .newer()
            .filter(|(peer, _)| !self.avoided.contains_key(peer))
            .max_by_key(|(peer, version)| (*version == begun, *version, self.lot(*peer)));
        if let Some((peer, version)) = choice {
            self.ask(now, peer, version, effects);
        }
    }

    /// A number by which processes rank their peers, each in another order.
    fn lot(&self, peer: P) -> u64 {
        hash_bytes(format!("{} {}", self.seed, peer.to_string()).as_bytes())
    }

    fn ask(&mut self, now: Millis, peer: P, version: u64, effects: &mut Vec<CopyEffect<P>>) {
        let offset = self.offset_of(version);
        self.asked = Some(Question { peer, version, at: now });
        effects.push(CopyEffect::Ask(peer, TextAsk { version, offset }));
    }
}

/// Gives pieces of a text to peers that ask, to a few at once.
///
/// Guards against a text that comes to one process first: all peers would ask it, and with a slow link
/// each would wait for the others' pieces while callers of that process wait behind them.
#[derive(Debug)]
pub struct CopyServer<P> {
    /// Who is served, and when it asked last.
    served: BTreeMap<P, Millis>,
}

impl<P: Copy + Ord> Default for CopyServer<P> {
    fn default() -> CopyServer<P> {
        CopyServer { served: BTreeMap::new() }
    }
}

impl<P: Copy + Ord> CopyServer<P> {
    /// The answer to a question; it has no bytes if others are being served, or if there is no text.
    ///
    /// A question for another version than `copy` is answered with its beginning.
    pub fn answer(
        &mut self,
        now: Millis,
        peer: P,
        ask: &TextAsk,
        copy: Option<&TextCopy>,
    ) -> TextPart {
        self.served.retain(|_, asked| now.since(*asked) < SERVED_MS);
        let free = self.served.contains_key(&peer) || self.served.len() < SERVED_LIMIT;
        let Some(copy) = copy.filter(|_| free) else { return TextPart::default() };
        let part = piece(copy, ask);
        if is_last(&part) {
            self.served.remove(&peer);
        } else {
            self.served.insert(peer, now);
        }
        part
    }

    /// The connection to a peer has ended.
    pub fn gone(&mut self, peer: P) {
        self.served.remove(&peer);
    }
}

/// The piece of `copy` that `ask` means.
fn piece(copy: &TextCopy, ask: &TextAsk) -> TextPart {
    let begin = if ask.version == copy.version { ask.offset } else { 0 };
    let begin = (begin as usize).min(copy.bytes.len());
    let end = (begin + PIECE_BYTES).min(copy.bytes.len());
    TextPart {
        version: copy.version,
        offset: begin as u64,
        total: copy.bytes.len() as u64,
        bytes: copy.bytes[begin..end].to_vec(),
    }
}

/// Whether nothing follows after `part`.
pub fn is_last(part: &TextPart) -> bool {
    part.offset + part.bytes.len() as u64 >= part.total
}
