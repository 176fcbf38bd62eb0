//! Distribution of the table's changes to all entries without each entry polling the table.
//!
//! In each availability zone the entries form a tree in the rendezvous order of their names. The
//! first two poll the table; every other entry pulls from its parent, which holds the pull until it
//! has new rows (long polling). Each process computes the tree from its member list. If the lists
//! of two processes differ, the tree may have a loop; stale data reveals it, and the process moves
//! on to an ancestor and finally to the table itself.

use std::collections::BTreeMap;

use citronrill_base::{Map, Millis, Row, rendezvous_order};

/// Number of entries in a zone that poll the table.
const READERS: usize = 2;
/// Maximum number of children of an entry.
///
/// Each entry sends what it receives this many times; docs/CAPACITY.md lists the traffic in bytes.
const FANOUT: usize = 2;
/// Number of peers that are asked when the table does not answer.
const FALLBACK_PEERS: usize = 3;
/// Polling interval of an entry that reads the table, in milliseconds.
pub const POLL_MS: u64 = 500;
/// Polling interval of an entry that falls back to the table, in milliseconds.
const FALLBACK_POLL_MS: u64 = 2_000;
/// Maximum time that a pull is held when there are no new rows, in milliseconds.
pub const HOLD_MS: u64 = 2_000;
/// Timeout of a request to a source, in milliseconds.
const SOURCE_TIMEOUT_MS: u64 = HOLD_MS + 1_500;
/// Age since the table's last confirmation at which data is stale, in milliseconds.
pub const STALE_MS: u64 = 6_000;
/// Time that a process uses a fallback source before it tries its parent again, in milliseconds.
const PARENT_RETRY_MS: u64 = 15_000;
/// Number of rows at which a page is full.
pub const PAGE_ROWS: usize = 1_000;

/// Source of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's table.
    Table,
    /// Another entry, by address.
    Peer(String),
}

/// Name, address and zone of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The instance's name.
    pub name: String,
    /// Address at which peers reach it.
    pub address: String,
    /// The availability zone.
    pub zone: String,
}

/// Rows and their age.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Rows in the order of their versions.
    pub rows: Vec<Row>,
    /// The sequence up to which the rows are complete.
    pub sequence: u64,
    /// Milliseconds since the table confirmed this state.
    pub age_ms: u64,
}

/// Action requested by the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEffect {
    /// Request rows after `since` from a source.
    Pull {
        /// Id of the request.
        id: u64,
        /// The source.
        source: Source,
        /// The sequence up to which all rows are known.
        since: u64,
    },
    /// Answer a child's pull.
    AnswerPull {
        /// Id of the child's pull.
        pull: u64,
        /// The rows.
        page: Page,
    },
}

#[derive(Debug)]
struct PendingRequest {
    id: u64,
    source: Source,
    sent_at: Millis,
}

#[derive(Debug)]
struct Pull {
    since: u64,
    received_at: Millis,
}

/// Feed of one entry: the rows that it has received, and the source that it pulls from.
#[derive(Debug)]
pub struct Feed {
    name: String,
    zone: String,
    changes: BTreeMap<u64, Vec<Row>>,
    versions: Map<String, u64>,
    sequence: u64,
    confirmed: Option<Millis>,
    pending: Option<PendingRequest>,
    next_id: u64,
    next_at: Millis,
    fallback: usize,
    fallback_since: Millis,
    pulls: Map<u64, Pull>,
}

impl Feed {
    /// Creates the feed of a process that has just started.
    pub fn new(name: &str, zone: &str, now: Millis) -> Feed {
        Feed {
            name: name.to_owned(),
            zone: zone.to_owned(),
            changes: BTreeMap::new(),
            versions: Map::default(),
            sequence: 0,
            confirmed: None,
            pending: None,
            next_id: 0,
            next_at: now,
            fallback: 0,
            fallback_since: now,
            pulls: Map::default(),
        }
    }

    /// Sends the next request if it is due, and answers pulls that were held long enough.
    pub fn tick(&mut self, now: Millis, peers: &[Peer], jitter: u64, out: &mut Vec<FeedEffect>) {
        self.answer_pulls(now, out);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| now.since(pending.sent_at) >= SOURCE_TIMEOUT_MS)
        {
            self.request_failed(now);
        }
        if self.fallback > 0 && now.since(self.fallback_since) >= PARENT_RETRY_MS {
            self.fallback = 0;
        }
        if self.pending.is_some() || now < self.next_at {
            return;
        }
        let sources = self.sources(peers);
        if self.fallback >= sources.len() {
            // All sources failed: start over at the table, which may be available again.
            self.fallback = sources.iter().position(|source| *source == Source::Table).unwrap_or(0);
        }
        let position = self.fallback;
        let source = sources[position].clone();
        let pause = match (&source, position) {
            (Source::Table, 0) => POLL_MS,
            (Source::Table, _) => FALLBACK_POLL_MS,
            (Source::Peer(_), _) => 0,
        };
        self.next_at = now + pause + jitter % (pause / 2 + 1);
        self.next_id += 1;
        let (id, since) = (self.next_id, self.sequence);
        self.pending = Some(PendingRequest { id, source: source.clone(), sent_at: now });
        out.push(FeedEffect::Pull { id, source, since });
    }

    /// Returns the sources in order of preference: the parent, its ancestors, the table, any peer.
    fn sources(&self, peers: &[Peer]) -> Vec<Source> {
        let zone = peers.iter().filter(|peer| peer.zone == self.zone);
        let zone = zone.collect::<Vec<_>>();
        let names = zone.iter().map(|peer| peer.name.as_str());
        let order = rendezvous_order(&self.zone, names.chain([self.name.as_str()]));
        let mut order = order;
        order.dedup();
        let mut position = order.iter().position(|name| *name == self.name).unwrap_or(0);
        let mut sources = Vec::new();
        while position >= READERS {
            position = (position - READERS) / FANOUT;
            let parent = zone.iter().find(|peer| peer.name == order[position]);
            sources.extend(parent.map(|peer| Source::Peer(peer.address.clone())));
        }
        sources.push(Source::Table);
        sources.extend(self.fallback_peers(peers));
        sources
    }

    /// Returns peers of any zone, for when the table does not answer either: a process that starts
    /// during an outage has no other source.
    fn fallback_peers(&self, peers: &[Peer]) -> Vec<Source> {
        let names = peers.iter().map(|peer| peer.name.as_str());
        let names = names.filter(|name| *name != self.name);
        let order = rendezvous_order(&self.name, names).into_iter().take(FALLBACK_PEERS);
        let address = |name: &str| peers.iter().find(|peer| peer.name == name);
        order.filter_map(address).map(|peer| Source::Peer(peer.address.clone())).collect()
    }

    fn request_failed(&mut self, now: Millis) {
        self.pending = None;
        self.try_next_source(now);
    }

    /// Moves on to the next source; the time until the parent is retried begins with the first
    /// move.
    fn try_next_source(&mut self, now: Millis) {
        if self.fallback == 0 {
            self.fallback_since = now;
        }
        self.fallback += 1;
    }

    /// Applies a source's answer, `None` if the request failed, and returns the rows that are new.
    pub fn apply_answer(&mut self, now: Millis, id: u64, page: Option<Page>) -> Vec<Row> {
        let Some(pending) = self.pending.take_if(|pending| pending.id == id) else {
            return Vec::new();
        };
        let Some(page) = page else {
            self.request_failed(now);
            return Vec::new();
        };
        let at = pending.sent_at - page.age_ms;
        let stale = now.since(at) >= STALE_MS;
        if stale && pending.source != Source::Table {
            self.try_next_source(now);
        }
        self.confirmed = self.confirmed.max(Some(at));
        if page.rows.len() >= PAGE_ROWS {
            self.next_at = now;
        }
        self.insert_rows(page.rows, page.sequence)
    }

    /// Adds rows received outside the feed, such as this process's commits, without advancing the
    /// sequence.
    pub fn add_rows(&mut self, rows: &[Row]) {
        let sequence = self.sequence;
        let rows = rows.iter().filter(|row| row.key.starts_with(crate::rows::FEED));
        self.insert_rows(rows.cloned().collect(), sequence);
    }

    fn insert_rows(&mut self, rows: Vec<Row>, sequence: u64) -> Vec<Row> {
        let mut new = Vec::new();
        for row in rows {
            let latest = self.versions.entry(row.key.clone()).or_default();
            if row.version <= *latest {
                continue;
            }
            let old = std::mem::replace(latest, row.version);
            if let Some(rows) = self.changes.get_mut(&old) {
                rows.retain(|other| other.key != row.key);
                if rows.is_empty() {
                    self.changes.remove(&old);
                }
            }
            self.changes.entry(row.version).or_default().push(row.clone());
            new.push(row);
        }
        self.sequence = self.sequence.max(sequence);
        new
    }

    /// Registers a child's pull for rows after `since`, and answers the pulls that are due.
    pub fn pull(&mut self, now: Millis, pull: u64, since: u64, out: &mut Vec<FeedEffect>) {
        self.pulls.insert(pull, Pull { since, received_at: now });
        self.answer_pulls(now, out);
    }

    /// Answers the pulls for which there are new rows or that were held long enough.
    pub fn answer_pulls(&mut self, now: Millis, out: &mut Vec<FeedEffect>) {
        let sequence = self.sequence;
        let due = |pull: &Pull| pull.since < sequence || now.since(pull.received_at) >= HOLD_MS;
        let ids = self.pulls.iter().filter(|(_, pull)| due(pull)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            let Some(pull) = self.pulls.remove(&id) else { continue };
            out.push(FeedEffect::AnswerPull { pull: id, page: self.page(now, pull.since) });
        }
    }

    /// Returns the rows after `since`, up to a full page.
    ///
    /// Rows beyond this process's sequence are included but not counted as complete, since earlier
    /// rows may still be missing. During an outage they are the only source of the latest
    /// decisions.
    fn page(&self, now: Millis, since: u64) -> Page {
        let mut page = Page { rows: Vec::new(), sequence: self.sequence, age_ms: self.age(now) };
        for (version, rows) in self.changes.range(since + 1..) {
            page.rows.extend(rows.iter().cloned());
            if page.rows.len() >= PAGE_ROWS {
                page.sequence = self.sequence.min(*version);
                break;
            }
        }
        page.sequence = page.sequence.max(since);
        page
    }

    /// Returns the milliseconds since the table confirmed the known state.
    pub fn age(&self, now: Millis) -> u64 {
        self.confirmed.map_or(u64::MAX / 4, |at| now.since(at))
    }

    /// Returns the sequence up to which all rows are known.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the source of the pending request, for dumps.
    pub fn source(&self) -> Option<&Source> {
        self.pending.as_ref().map(|pending| &pending.source)
    }
}
