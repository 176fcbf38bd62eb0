//! A handful of reducers, a table and toy engines on virtual time.
//!
//! The world carries out effects with delays and, where asked to, with faults. It decides nothing:
//! whatever is decided, the reducers of `citronrill-decide` decide, and [`crate::oracle`] judges.

mod calls;
mod effects;
mod frames;
mod life;
mod meters;
mod table;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Instant,
};

use citronrill_base::{Map, Millis, Outcome, Row, Txn};
use citronrill_config::{Catalogue, Registry, digest, hash_api_key};
use citronrill_decide::{
    Answer, Arrival, CallId, CancelAnswer, Decline, Effect, EngineReport, Entry, EntryProfile,
    Event, FeedEffect, Listed, Offer, PAGE, Page, Peer, Policies, Refusal, RequestId, Side,
    SideEffect, SideEvent, SideProfile, Source, Wish,
    rows::{Cached, DeltaRow, FEED, HEAD, HeadRow, Tier, decode, delta_key},
};
use citronrill_platform::{MemoryTable, Table};
use citronrill_wire as wire;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::frames::{count_kinds, frame_bytes, rows_frame};
use crate::{
    engine::{Engine, LoadStart},
    faults::Faults,
};

/// Time after which a transaction without an answer counts as unknown.
const TABLE_TIMEOUT_MS: u64 = 2_500;
/// Time after which a silent side is asked again on another connection.
const SILENCE_MS: u64 = 2_500;
/// How often entries read the platform's list.
const LIST_MS: u64 = 2_000;
/// Parts of a share.
const SHARE_PARTS: u32 = 4;

/// How a world is built.
pub struct WorldOptions {
    /// Seed of delays and faults.
    pub seed: u64,
    /// The operators' text.
    pub text: String,
    /// Entries at the start.
    pub entries: usize,
    /// Endpoints at the start, as (memory in MB, checks fencing numbers).
    pub endpoints: Vec<(u64, bool)>,
    /// Availability zones, taken in turn.
    pub zones: Vec<String>,
    /// Requests that an endpoint runs at once.
    pub slots: u64,
    /// Time between two ticks of an entry and of a side, in milliseconds.
    pub ticks: (u64, u64),
    /// Makes the rules of each entry.
    pub policies: fn() -> Policies,
    /// Keeps finished requests, for oracles.
    pub keep_calls: bool,
}

/// One request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// When it was made.
    pub arrived: u64,
    /// When it must be answered.
    pub deadline: u64,
    /// The entry that took it, and that process's incarnation.
    pub entry: (usize, u64),
    /// The model's name.
    pub model: String,
    /// Whether it may be sent twice.
    pub repeatable: bool,
    /// Its idempotency key.
    pub once: Option<u64>,
    /// How often an engine has run it.
    pub runs: u32,
    /// When the first part came.
    pub began: Option<u64>,
    /// How it ended, and when.
    pub ended: Option<(u64, Ending)>,
    /// Whether the model served when it came.
    pub warm: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With its whole answer.
    Whole,
    /// With the first answer under its idempotency key.
    Replayed,
    /// With a refusal.
    Refused(Refusal),
}

pub(crate) struct EntryNode {
    pub(crate) core: Entry,
    pub(crate) name: String,
    start: u64,
    pub(crate) life: u64,
    paused: u64,
    pub(crate) alive: bool,
    session: u64,
    was_paused: bool,
    pub(crate) version: u64,
}

pub(crate) struct SideNode {
    pub(crate) core: Side,
    pub(crate) endpoint: usize,
    start: u64,
    pub(crate) life: u64,
    paused: u64,
    pub(crate) alive: bool,
    profile: SideProfile,
    offers: Map<CallId, Sending>,
}

#[derive(Debug, Clone, Copy)]
struct Sending {
    entry: usize,
    life: u64,
    id: RequestId,
    call: u64,
    session: u64,
}

/// A side of an endpoint; more than one can live at once.
pub(crate) type SideIndex = usize;

#[derive(Debug)]
enum Happening {
    EntryTick(usize, u64),
    SideTick(SideIndex, u64),
    List(usize, u64),
    ToEntry(usize, u64, Event),
    ToAddress(String, Event),
    ToSide(SideIndex, u64, SideEvent),
    Pull { from: usize, life: u64, id: u64, to: String, since: u64 },
    Changes { from: usize, life: u64, id: u64, since: u64 },
    EntryCommit { from: usize, life: u64, id: u64, txn: Txn },
    EntryRead { from: usize, life: u64, keys: Vec<String> },
    ClaimRead { from: usize, life: u64, id: RequestId, key: String },
    SideCommit { from: SideIndex, life: u64, id: u64, txn: Txn },
    SideRead { from: SideIndex, life: u64, id: u64, keys: Vec<String> },
    EngineList { from: SideIndex, life: u64 },
    EngineLoad { from: SideIndex, life: u64, order: LoadStart },
    EngineLoaded { from: SideIndex, life: u64, endpoint: usize, order: u64, model: String },
    EngineUnload { from: SideIndex, life: u64, order: u64, model: String, fence: u64 },
    Offer { to: String, sending: Sending, offer: Offer },
    Silence { sending: Sending, to: String, expires: u64 },
    CancelCall { to: String, sending: Sending, expires: u64, forward: bool },
    RunEnds { side: SideIndex, life: u64, call: CallId },
    Unlist(String),
    TableUp,
    LateTxn(Txn),
}

/// Operations on the table by purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Operations {
    /// Polls for changes.
    pub polls: u64,
    /// Reads of rows.
    pub reads: u64,
    /// Transactions of entries.
    pub entry_commits: u64,
    /// Transactions of sides.
    pub side_commits: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
}

impl Operations {
    /// What was done after `before`.
    pub fn since(self, before: Operations) -> Operations {
        Operations {
            polls: self.polls - before.polls,
            reads: self.reads - before.reads,
            entry_commits: self.entry_commits - before.entry_commits,
            side_commits: self.side_commits - before.side_commits,
            conflicts: self.conflicts - before.conflicts,
        }
    }
}

/// Control traffic and reducer time so far.
#[derive(Debug, Clone, Default)]
pub struct Meters {
    /// Bytes that each entry has sent and taken.
    pub entry_bytes: Vec<u64>,
    /// Bytes that all sides have sent and taken.
    pub side_bytes: u64,
    /// Bytes that entries have taken, by what they were for.
    pub by_kind: BTreeMap<&'static str, u64>,
    /// Time of all entries' reducers, in nanoseconds.
    pub entry_nanos: u64,
    /// Time of all sides' reducers, in nanoseconds.
    pub side_nanos: u64,
}

/// The world.
pub struct World {
    pub(crate) now: u64,
    pub(crate) rng: SmallRng,
    pub(crate) table: MemoryTable,
    texts: BTreeMap<u64, String>,
    pub(crate) catalogue: Catalogue,
    pub(crate) registry: Registry,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) sides: Vec<SideNode>,
    pub(crate) engines: Vec<Engine>,
    /// Faults in force.
    pub faults: Faults,
    /// Requests by their number.
    pub callers: BTreeMap<RequestId, Caller>,
    /// Operations on the table.
    pub operations: Operations,
    /// Events that reducers have taken.
    pub steps: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: Map<u64, Happening>,
    next: u64,
    next_request: u64,
    listed: BTreeMap<String, Listed>,
    pulls: Map<u64, (usize, u64, u64)>,
    sessions: Map<CallId, u64>,
    meters: Meters,
    watch: String,
    watched: (u64, u64),
    finished: Vec<(u64, Caller)>,
    options: WorldOptions,
    idle_ms: f64,
    idle_at: u64,
    /// What an oracle found wrong while something happened.
    pub violations: Vec<String>,
}

impl World {
    /// A world in which everything has just been started.
    ///
    /// # Panics
    /// The text has errors.
    pub fn new(mut options: WorldOptions) -> World {
        options.text = with_world_keys(&options.text);
        let mut registry = Registry::default();
        let catalogue = Catalogue::compile("world", &options.text, 1, &mut registry)
            .unwrap_or_else(|errors| panic!("the world's text: {errors}"));
        let mut world = World {
            now: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            table: MemoryTable::default(),
            texts: BTreeMap::new(),
            catalogue,
            registry,
            entries: Vec::new(),
            sides: Vec::new(),
            engines: Vec::new(),
            faults: Faults::default(),
            callers: BTreeMap::new(),
            operations: Operations::default(),
            steps: 0,
            queue: BinaryHeap::new(),
            happenings: Map::default(),
            next: 0,
            next_request: 0,
            listed: BTreeMap::new(),
            pulls: Map::default(),
            sessions: Map::default(),
            meters: Meters::default(),
            watch: String::new(),
            watched: (0, 0),
            finished: Vec::new(),
            idle_ms: 0.0,
            idle_at: 0,
            violations: Vec::new(),
            options,
        };
        let text = world.options.text.clone();
        world.apply(&text);
        for (memory_mb, fencing) in world.options.endpoints.clone() {
            world.add_endpoint(memory_mb, fencing);
        }
        for _ in 0..world.options.entries {
            world.add_entry();
        }
        world
    }

    /// Virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    fn schedule(&mut self, delay: u64, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.happenings.insert(self.next, happening);
    }

    /// A delay on the network, in milliseconds.
    fn hop(&mut self) -> u64 {
        let slow = self.faults.slow_part;
        if slow > 0.0 && self.rng.random_bool(slow) {
            return self.rng.random_range(50..self.faults.slow_ms.max(51));
        }
        1
    }

    /// Makes a request at an entry; gives its number, or `None` if the entry does not live.
    pub fn request(
        &mut self,
        entry: usize,
        model: &str,
        deadline_ms: Option<u64>,
        once: Option<u64>,
    ) -> Option<RequestId> {
        let node = &self.entries[entry];
        if !node.alive {
            return None;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let key = self.registry.models.get(model);
        let spec = key.and_then(|key| self.catalogue.models.get(&key));
        let org = spec.and_then(|spec| self.catalogue.organisations.get(&spec.org));
        let service = spec.and_then(|spec| self.catalogue.services.get(&spec.service));
        let limit = service.map_or(30_000, |service| service.deadline_ms);
        let warm = key.is_some_and(|key| {
            let mut replicas = node.core.view().replicas(key);
            replicas.any(|(_, phase)| phase == citronrill_decide::rows::Phase::Ready)
        });
        let api_key = org.map_or(String::new(), |org| world_key(&org.name));
        let caller = Caller {
            arrived: self.now,
            deadline: self.now + deadline_ms.unwrap_or(limit).min(limit),
            entry: (entry, node.life),
            model: model.to_owned(),
            repeatable: service.is_none_or(|service| service.repeatable),
            once,
            runs: 0,
            began: None,
            ended: None,
            warm,
        };
        self.callers.insert(id, caller);
        let arrival = Arrival {
            id,
            key: hash_api_key(&api_key),
            wish: Wish::Model(model.to_owned()),
            deadline_ms,
            once,
            content: once.unwrap_or(0),
            prefix: 0,
        };
        let life = self.entries[entry].life;
        self.schedule(0, Happening::ToEntry(entry, life, Event::Arrive(arrival)));
        Some(id)
    }

    /// Runs for `millis`.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(happening) = self.happenings.remove(&id) {
                self.happen(happening);
            }
        }
        self.now = until;
        self.count_idle();
    }

    /// Requests that have ended since the last call, with their numbers.
    pub fn take_finished_numbered(&mut self) -> Vec<(u64, Caller)> {
        std::mem::take(&mut self.finished)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::EntryTick(index, life) => self.entry_tick(index, life),
            Happening::SideTick(index, life) => self.side_tick(index, life),
            Happening::List(index, life) => {
                if self.entry_lives(index, life) {
                    let list = self.listed.values().cloned().collect();
                    let lag = self.rng.random_range(10..1_500);
                    self.schedule(lag, Happening::ToEntry(index, life, Event::Instances(list)));
                    self.schedule(LIST_MS, Happening::List(index, life));
                }
            }
            Happening::ToEntry(index, life, event) => self.deliver_entry(index, life, event),
            Happening::ToAddress(address, event) => {
                let index = self.entries.iter().position(|it| it.alive && it.name == address);
                if let Some(index) = index {
                    let life = self.entries[index].life;
                    self.deliver_entry(index, life, event);
                }
            }
            Happening::ToSide(index, life, event) => self.deliver_side(index, life, event),
            Happening::Pull { from, life, id, to, since } => self.pull(from, life, id, &to, since),
            Happening::Changes { from, life, id, since } => self.changes(from, life, id, since),
            Happening::EntryCommit { from, life, id, txn } => {
                self.operations.entry_commits += 1;
                let watched = txn.writes.iter().any(|write| write.key == self.watch);
                let (delay, outcome) = self.commit(txn);
                if watched {
                    self.watched.0 += 1;
                    self.watched.1 += u64::from(outcome == Outcome::Conflict);
                }
                let event = Event::Committed(id, outcome);
                self.schedule(delay, Happening::ToEntry(from, life, event));
            }
            Happening::EntryRead { from, life, keys } => {
                if let Some(rows) = self.read(&keys) {
                    let delay = self.table_hop();
                    self.schedule(delay, Happening::ToEntry(from, life, Event::Rows(rows)));
                }
            }
            Happening::ClaimRead { from, life, id, key } => {
                let row = self.read(&[key]).and_then(|mut rows| rows.pop());
                let delay = if row.is_some() { self.table_hop() } else { TABLE_TIMEOUT_MS };
                let event = Event::ClaimRead(id, row);
                self.schedule(delay, Happening::ToEntry(from, life, event));
            }
            Happening::SideCommit { from, life, id, txn } => {
                self.operations.side_commits += 1;
                let (delay, outcome) = self.commit(txn);
                let event = SideEvent::Committed(id, outcome);
                self.schedule(delay, Happening::ToSide(from, life, event));
            }
            Happening::SideRead { from, life, id, keys } => {
                let event = match self.read(&keys) {
                    Some(rows) => SideEvent::Rows(id, rows),
                    None => SideEvent::ReadFailed(id),
                };
                let delay = self.table_hop();
                self.schedule(delay, Happening::ToSide(from, life, event));
            }
            Happening::EngineList { from, life } => self.engine_list(from, life),
            Happening::EngineLoad { from, life, order } => self.engine_load(from, life, &order),
            Happening::EngineLoaded { from, life, endpoint, order, model } => {
                self.count_idle();
                let done = self.engines[endpoint].loaded(order, &model);
                let event = SideEvent::OrderDone { order, done };
                self.schedule(1, Happening::ToSide(from, life, event));
            }
            Happening::EngineUnload { from, life, order, model, fence } => {
                self.count_idle();
                let endpoint = self.sides[from].endpoint;
                let done = self.engines[endpoint].unload(&model, fence);
                let event = SideEvent::OrderDone { order, done };
                self.schedule(1, Happening::ToSide(from, life, event));
            }
            Happening::Offer { to, sending, offer } => self.offer(&to, sending, offer),
            Happening::Silence { sending, to, expires } => self.silence(sending, &to, expires),
            Happening::CancelCall { to, sending, expires, forward } => {
                self.cancel_call(&to, sending, expires, forward);
            }
            Happening::RunEnds { side, life, call } => self.run_ends(side, life, call),
            Happening::Unlist(name) => drop(self.listed.remove(&name)),
            Happening::TableUp => self.faults.table_down = false,
            Happening::LateTxn(txn) => drop(self.table.commit(&txn)),
        }
    }

    fn entry_lives(&self, index: usize, life: u64) -> bool {
        self.entries[index].alive && self.entries[index].life == life
    }

    fn side_lives(&self, index: SideIndex, life: u64) -> bool {
        self.sides[index].alive && self.sides[index].life == life
    }

    fn entry_tick(&mut self, index: usize, life: u64) {
        if !self.entry_lives(index, life) {
            return;
        }
        let minute = (self.now / 60_000 % 1_440) as u16;
        self.deliver_entry(index, life, Event::Tick { minute });
        self.schedule(self.options.ticks.0, Happening::EntryTick(index, life));
    }

    fn side_tick(&mut self, index: SideIndex, life: u64) {
        if !self.side_lives(index, life) {
            return;
        }
        self.deliver_side(index, life, SideEvent::Tick);
        self.schedule(self.options.ticks.1, Happening::SideTick(index, life));
    }

    fn deliver_entry(&mut self, index: usize, life: u64, event: Event) {
        if !self.entry_lives(index, life) {
            return;
        }
        if self.entries[index].paused > self.now {
            let delay = self.entries[index].paused - self.now;
            return self.schedule(delay, Happening::ToEntry(index, life, event));
        }
        self.step_entry(index, event);
    }

    fn deliver_side(&mut self, index: SideIndex, life: u64, event: SideEvent) {
        if !self.side_lives(index, life) {
            return;
        }
        if self.sides[index].paused > self.now {
            let delay = self.sides[index].paused - self.now;
            return self.schedule(delay, Happening::ToSide(index, life, event));
        }
        self.step_side(index, event);
    }

    fn step_entry(&mut self, index: usize, event: Event) {
        self.steps += 1;
        let mut effects = Vec::new();
        let node = &mut self.entries[index];
        let begun = Instant::now();
        node.core.step(Millis(self.now - node.start), event, &mut effects);
        self.meters.entry_nanos += begun.elapsed().as_nanos() as u64;
        let version = node.core.version();
        if version < node.version {
            let text = format!("{} went back from {} to {version}", node.name, node.version);
            self.violations.push(text);
        }
        self.entries[index].version = version;
        let life = self.entries[index].life;
        for effect in effects {
            self.entry_effect(index, life, effect);
        }
    }

    fn step_side(&mut self, index: SideIndex, event: SideEvent) {
        self.steps += 1;
        let mut effects = Vec::new();
        let node = &mut self.sides[index];
        let begun = Instant::now();
        node.core.step(Millis(self.now - node.start), event, &mut effects);
        self.meters.side_nanos += begun.elapsed().as_nanos() as u64;
        let life = node.life;
        for effect in effects {
            self.side_effect(index, life, effect);
        }
    }
}

/// The API key of an organisation of a world.
pub fn world_key(org: &str) -> String {
    format!("key-{org}")
}

/// Gives every organisation of a text the key that a world's callers use.
pub fn with_world_keys(text: &str) -> String {
    let mut result = String::new();
    for line in text.lines() {
        result.push_str(line);
        result.push('\n');
        let name = line.strip_prefix("[organisation ").and_then(|rest| rest.strip_suffix(']'));
        if let Some(name) = name {
            let hash = hash_api_key(&world_key(name)).to_hex();
            result.push_str(&format!("key.world = sha256:{hash}\n"));
        }
    }
    result
}

/// A cached copy, as an engine reports it.
pub(crate) fn cached(model: &str, tier: Tier) -> Cached {
    Cached { model: model.to_owned(), tier: tier.into() }
}
