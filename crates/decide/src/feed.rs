//! How the table's changes reach every entry without every entry polling the table.
//!
//! In each availability zone the entries form a tree by the rendezvous order of their names. The
//! first two poll the table; every other pulls from its parent, which holds the pull until there is
//! something new. The tree is computed by each process from the member list; where two lists
//! differ, the age of the data shows a loop, and the process goes further up, in the end to the
//! table itself.

use std::collections::BTreeMap;

use citronrill_base::{Map, Millis, Row, rendezvous_order};

/// Entries of a zone that poll the table.
const READERS: usize = 2;
/// Children of one entry.
///
/// Each entry passes on what it takes this many times; docs/CAPACITY.md has the bytes.
const FANOUT: usize = 2;
/// Peers that are asked when the table does not answer.
const LAST_RESORTS: usize = 3;
/// How often a reader polls, in milliseconds.
pub const POLL_MS: u64 = 500;
/// How often an entry that found no peer polls, in milliseconds.
const FALLBACK_MS: u64 = 2_000;
/// How long a pull is held when there is nothing new, in milliseconds.
pub const HOLD_MS: u64 = 2_000;
/// A source that has not answered for this long has failed, in milliseconds.
const PATIENCE_MS: u64 = HOLD_MS + 1_500;
/// Data that the table has not confirmed for this long is stale, in milliseconds.
pub const STALE_MS: u64 = 6_000;
/// How long a process goes by a detour before it tries its parent again, in milliseconds.
const DETOUR_MS: u64 = 15_000;
/// Rows in one answer.
pub const PAGE: usize = 1_000;

/// Where rows come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's table.
    Table,
    /// Another entry, by address.
    Peer(String),
}

/// An entry as the feed knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The instance's name.
    pub name: String,
    /// Where peers reach it.
    pub address: String,
    /// The availability zone.
    pub zone: String,
}

/// Rows and how fresh they are.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Rows in the order of their versions.
    pub rows: Vec<Row>,
    /// The sequence up to which the rows are complete.
    pub sequence: u64,
    /// Milliseconds since the table confirmed it.
    pub age_ms: u64,
}

/// What the feed wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEffect {
    /// Ask a source for rows after `since`.
    Ask {
        /// Names the question.
        id: u64,
        /// Whom to ask.
        source: Source,
        /// The sequence that is known.
        since: u64,
    },
    /// Answer a child's pull.
    Answer {
        /// The child's pull.
        pull: u64,
        /// The answer.
        page: Page,
    },
}

#[derive(Debug)]
struct Asked {
    id: u64,
    source: Source,
    at: Millis,
}

#[derive(Debug)]
struct Pull {
    since: u64,
    at: Millis,
}

/// The feed of one entry.
#[derive(Debug)]
pub struct Feed {
    name: String,
    zone: String,
    log: BTreeMap<u64, Vec<Row>>,
    versions: Map<String, u64>,
    sequence: u64,
    confirmed: Option<Millis>,
    asked: Option<Asked>,
    next_id: u64,
    next_at: Millis,
    detour: usize,
    detour_since: Millis,
    pulls: Map<u64, Pull>,
}

impl Feed {
    /// The feed of a process that has just started.
    pub fn new(name: &str, zone: &str, now: Millis) -> Feed {
        Feed {
            name: name.to_owned(),
            zone: zone.to_owned(),
            log: BTreeMap::new(),
            versions: Map::default(),
            sequence: 0,
            confirmed: None,
            asked: None,
            next_id: 0,
            next_at: now,
            detour: 0,
            detour_since: now,
            pulls: Map::default(),
        }
    }

    /// Asks the next source when it is time, and answers pulls that were held long enough.
    pub fn tick(&mut self, now: Millis, peers: &[Peer], jitter: u64, out: &mut Vec<FeedEffect>) {
        self.answer_pulls(now, out);
        if self.asked.as_ref().is_some_and(|asked| now.since(asked.at) >= PATIENCE_MS) {
            self.failed(now);
        }
        if self.detour > 0 && now.since(self.detour_since) >= DETOUR_MS {
            self.detour = 0;
        }
        if self.asked.is_some() || now < self.next_at {
            return;
        }
        let chain = self.chain(peers);
        if self.detour >= chain.len() {
            // Round again, from the table on: it may be back.
            self.detour = chain.iter().position(|it| *it == Source::Table).unwrap_or(0);
        }
        let position = self.detour;
        let source = chain[position].clone();
        let pause = match (&source, position) {
            (Source::Table, 0) => POLL_MS,
            (Source::Table, _) => FALLBACK_MS,
            (Source::Peer(_), _) => 0,
        };
        self.next_at = now + pause + jitter % (pause / 2 + 1);
        self.next_id += 1;
        let (id, since) = (self.next_id, self.sequence);
        self.asked = Some(Asked { id, source: source.clone(), at: now });
        out.push(FeedEffect::Ask { id, source, since });
    }

    /// Whom to ask, in order: parent, its parent, and so on, then the table, then any peer.
    fn chain(&self, peers: &[Peer]) -> Vec<Source> {
        let zone = peers.iter().filter(|peer| peer.zone == self.zone);
        let zone = zone.collect::<Vec<_>>();
        let names = zone.iter().map(|peer| peer.name.as_str());
        let order = rendezvous_order(&self.zone, names.chain([self.name.as_str()]));
        let mut order = order;
        order.dedup();
        let mut position = order.iter().position(|name| *name == self.name).unwrap_or(0);
        let mut chain = Vec::new();
        while position >= READERS {
            position = (position - READERS) / FANOUT;
            let parent = zone.iter().find(|peer| peer.name == order[position]);
            chain.extend(parent.map(|peer| Source::Peer(peer.address.clone())));
        }
        chain.push(Source::Table);
        chain.extend(self.last_resorts(peers));
        chain
    }

    /// Peers of any zone, asked when even the table does not answer: a process that has just started
    /// in an outage knows nothing else.
    fn last_resorts(&self, peers: &[Peer]) -> Vec<Source> {
        let names = peers.iter().map(|peer| peer.name.as_str());
        let names = names.filter(|name| *name != self.name);
        let order = rendezvous_order(&self.name, names).into_iter().take(LAST_RESORTS);
        let address = |name: &str| peers.iter().find(|peer| peer.name == name);
        order.filter_map(address).map(|peer| Source::Peer(peer.address.clone())).collect()
    }

    fn failed(&mut self, now: Millis) {
        self.asked = None;
        self.go_on(now);
    }

    /// Turns to the next source; the way back to the parent begins with the first such turn.
    fn go_on(&mut self, now: Millis) {
        if self.detour == 0 {
            self.detour_since = now;
        }
        self.detour += 1;
    }

    /// Takes in a source's answer; gives the rows that are new. `None` means that it failed.
    pub fn answered(&mut self, now: Millis, id: u64, page: Option<Page>) -> Vec<Row> {
        let Some(asked) = self.asked.take_if(|asked| asked.id == id) else { return Vec::new() };
        let Some(page) = page else {
            self.failed(now);
            return Vec::new();
        };
        let at = asked.at - page.age_ms;
        let stale = now.since(at) >= STALE_MS;
        if stale && asked.source != Source::Table {
            self.go_on(now);
        }
        self.confirmed = self.confirmed.max(Some(at));
        if page.rows.len() >= PAGE {
            self.next_at = now;
        }
        self.take(page.rows, page.sequence)
    }

    /// Takes in rows that came another way, as by an own commit; they do not move the sequence.
    pub fn learned(&mut self, rows: &[Row]) {
        let sequence = self.sequence;
        let rows = rows.iter().filter(|row| row.key.starts_with(crate::rows::FEED));
        self.take(rows.cloned().collect(), sequence);
    }

    fn take(&mut self, rows: Vec<Row>, sequence: u64) -> Vec<Row> {
        let mut new = Vec::new();
        for row in rows {
            let known = self.versions.entry(row.key.clone()).or_default();
            if row.version <= *known {
                continue;
            }
            let old = std::mem::replace(known, row.version);
            if let Some(rows) = self.log.get_mut(&old) {
                rows.retain(|other| other.key != row.key);
                if rows.is_empty() {
                    self.log.remove(&old);
                }
            }
            self.log.entry(row.version).or_default().push(row.clone());
            new.push(row);
        }
        self.sequence = self.sequence.max(sequence);
        new
    }

    /// A child asks for rows after `since`.
    pub fn pull(&mut self, now: Millis, pull: u64, since: u64, out: &mut Vec<FeedEffect>) {
        self.pulls.insert(pull, Pull { since, at: now });
        self.answer_pulls(now, out);
    }

    /// Answers the pulls that have something new or were held long enough.
    pub fn answer_pulls(&mut self, now: Millis, out: &mut Vec<FeedEffect>) {
        let sequence = self.sequence;
        let due = |pull: &Pull| pull.since < sequence || now.since(pull.at) >= HOLD_MS;
        let ids = self.pulls.iter().filter(|(_, pull)| due(pull)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            let Some(pull) = self.pulls.remove(&id) else { continue };
            out.push(FeedEffect::Answer { pull: id, page: self.page(now, pull.since) });
        }
    }

    /// Rows after `since`, up to a page.
    ///
    /// Rows beyond the own sequence go along, and do not count as complete: they were learned ahead
    /// of rows that are still missing. In an outage they are all that tells of the last decisions.
    fn page(&self, now: Millis, since: u64) -> Page {
        let mut page = Page { rows: Vec::new(), sequence: self.sequence, age_ms: self.age(now) };
        for (version, rows) in self.log.range(since + 1..) {
            page.rows.extend(rows.iter().cloned());
            if page.rows.len() >= PAGE {
                page.sequence = self.sequence.min(*version);
                break;
            }
        }
        page.sequence = page.sequence.max(since);
        page
    }

    /// Milliseconds since the table confirmed what is known.
    pub fn age(&self, now: Millis) -> u64 {
        self.confirmed.map_or(u64::MAX / 4, |at| now.since(at))
    }

    /// The sequence up to which all rows are known.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether this process polls the table itself, for dumps.
    pub fn source(&self) -> Option<&Source> {
        self.asked.as_ref().map(|asked| &asked.source)
    }
}
