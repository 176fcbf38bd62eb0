//! A handful of reducers, a table and toy engines on virtual time.
//!
//! The world carries out effects with delays and, where asked to, with faults. It decides nothing:
//! whatever is decided, the reducers of `citronrill-decide` decide, and [`crate::oracle`] judges.

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
    rows::{Cached, DeltaRow, FEED, HEAD, HeadRow, RowKind, Tier, decode, delta_key, row_kind},
};
use citronrill_platform::{MemoryTable, Table};
use citronrill_wire as wire;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};

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

    fn table_hop(&mut self) -> u64 {
        2 + self.hop() + self.faults.table_ms
    }

    /// Accepts a text as the next version, as `apply` would.
    pub fn apply(&mut self, text: &str) {
        let text = if text.contains("key.world") { text.to_owned() } else { with_world_keys(text) };
        let rows = self.table.read(&[HEAD.to_owned()]).unwrap_or_default();
        let (old, head_version) =
            rows.first().map_or((None, 0), |row| (decode::<HeadRow>(&row.body), row.version));
        let version = old.map_or(0, |head| head.version) + 1;
        let (digest, object) = (digest(&text), version.to_string());
        let head = HeadRow { version, digest, object };
        let delta = DeltaRow { version, whole: true, ..DeltaRow::default() };
        let ring = self.table.read(&[delta_key(version)]).unwrap_or_default();
        let mut txn = Txn::default();
        txn.put(HEAD, head_version, Some(head.encode_to_vec()));
        let ring_version = ring.first().map_or(0, |row| row.version);
        txn.put(delta_key(version), ring_version, Some(delta.encode_to_vec()));
        self.table.commit(&txn);
        self.texts.insert(version, text.clone());
        let compiled = Catalogue::compile("world", &text, version, &mut self.registry);
        if let Ok(catalogue) = compiled {
            self.catalogue = catalogue;
        }
    }

    fn zone(&self, index: usize) -> String {
        self.options.zones[index % self.options.zones.len()].clone()
    }

    /// Starts one more endpoint with its side; gives its number.
    pub fn add_endpoint(&mut self, memory_mb: u64, fencing: bool) -> usize {
        let endpoint = self.engines.len();
        self.engines.push(Engine::new(memory_mb, fencing));
        self.start_side(endpoint);
        endpoint
    }

    /// Starts a side beside an endpoint, whether or not another one still lives there.
    pub fn start_side(&mut self, endpoint: usize) {
        let name = format!("worker-{endpoint}");
        let index = self.sides.len();
        let profile = SideProfile {
            endpoint: name.clone(),
            instance: name.clone(),
            address: format!("side-{index}"),
            zone: self.zone(endpoint),
            memory_mb: self.engines[endpoint].memory_mb,
            slots: self.options.slots,
            fencing: self.engines[endpoint].fencing,
            session: 1_000_000 + index as u64,
        };
        let peer = Peer { name, address: profile.address.clone(), zone: profile.zone.clone() };
        self.listed.insert(peer.name.clone(), Listed { peer, entry: false, leaving: false });
        let start = self.now;
        let core = Side::new(profile.clone(), Millis(0));
        let offers = Map::default();
        let (life, paused, alive) = (0, 0, true);
        self.sides.push(SideNode { core, endpoint, start, life, paused, alive, profile, offers });
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, Happening::SideTick(index, 0));
    }

    /// Starts one more entry; gives its number.
    pub fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let core = self.new_entry(&name, index, index as u64 + 1);
        let address = name.clone();
        let peer = Peer { name: name.clone(), address, zone: self.zone(index) };
        self.listed.insert(name.clone(), Listed { peer, entry: true, leaving: false });
        let start = self.now;
        let session = index as u64 + 1;
        let (life, paused, alive, version, was_paused) = (0, 0, true, 0, false);
        self.entries.push(EntryNode {
            core,
            name,
            start,
            life,
            paused,
            alive,
            session,
            was_paused,
            version,
        });
        self.begin_entry(index);
        index
    }

    fn new_entry(&mut self, name: &str, index: usize, session: u64) -> Entry {
        let profile = EntryProfile {
            instance: name.to_owned(),
            address: name.to_owned(),
            zone: self.zone(index),
            session,
            request_limit: 10_000,
            share_parts: SHARE_PARTS,
            seed: self.rng.random(),
        };
        Entry::new(profile, (self.options.policies)(), Millis(0))
    }

    fn begin_entry(&mut self, index: usize) {
        let life = self.entries[index].life;
        let delay = self.rng.random_range(0..100);
        self.schedule(delay, Happening::EntryTick(index, life));
        self.schedule(delay, Happening::List(index, life));
    }

    /// Ends an entry process without warning.
    pub fn kill_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.alive = false;
        node.life += 1;
    }

    /// Starts a killed entry again, with nothing kept.
    pub fn restart_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            return;
        }
        self.next_request += 1;
        let session = 10_000 + self.next_request;
        let name = self.entries[index].name.clone();
        let core = self.new_entry(&name, index, session);
        let now = self.now;
        let node = &mut self.entries[index];
        (node.core, node.start, node.session) = (core, now, session);
        (node.alive, node.paused, node.version, node.was_paused) = (true, 0, 0, false);
        node.life += 1;
        self.begin_entry(index);
    }

    /// Ends every side process of an endpoint without warning; its engine goes on.
    pub fn kill_sides(&mut self, endpoint: usize) {
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint) {
            side.alive = false;
            side.life += 1;
        }
    }

    /// Ends an endpoint's instance, its engine too; the platform's list tells of it later.
    pub fn kill_endpoint(&mut self, endpoint: usize) {
        self.kill_sides(endpoint);
        self.engines[endpoint].lose();
        let lag = self.rng.random_range(1_000..10_000);
        self.schedule(lag, Happening::Unlist(format!("worker-{endpoint}")));
    }

    /// Stops a process from running for a while; it notices nothing.
    pub fn pause_entry(&mut self, index: usize, millis: u64) {
        self.entries[index].paused = self.now + millis;
        self.entries[index].was_paused = true;
    }

    /// Whether an entry was paused, so that its answers may be late.
    pub(crate) fn was_paused(&self, index: usize) -> bool {
        self.entries[index].was_paused
    }

    /// Whether a change of the text took shares away that were in use.
    pub(crate) fn faults_changed_shares(&self) -> bool {
        self.texts.len() > 1
    }

    /// Stops the side processes of an endpoint from running for a while.
    pub fn pause_sides(&mut self, endpoint: usize, millis: u64) {
        let until = self.now + millis;
        for side in self.sides.iter_mut().filter(|side| side.endpoint == endpoint && side.alive) {
            side.paused = until;
        }
    }

    /// Restarts an endpoint's engine: it holds nothing any more.
    pub fn restart_engine(&mut self, endpoint: usize) {
        self.engines[endpoint].restart();
    }

    /// Takes the table away for a while.
    pub fn table_outage(&mut self, millis: u64) {
        self.faults.table_down = true;
        self.schedule(millis, Happening::TableUp);
    }

    /// Begins a planned stop of an endpoint's side.
    pub fn drain_endpoint(&mut self, endpoint: usize, give_back: bool) {
        let living = (0..self.sides.len())
            .filter(|index| self.sides[*index].endpoint == endpoint && self.sides[*index].alive);
        for index in living.collect::<Vec<_>>() {
            self.step_side(index, SideEvent::Drain { give_back });
        }
    }

    /// Begins a planned stop of an entry.
    pub fn drain_entry(&mut self, index: usize) {
        if self.entries[index].alive {
            self.step_entry(index, Event::Drain);
        }
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

    /// Carries out the next thing that is due; gives its time.
    pub fn run_one(&mut self) -> u64 {
        if let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = self.now.max(at);
            if let Some(happening) = self.happenings.remove(&id) {
                self.happen(happening);
            }
        }
        self.now
    }

    /// Requests that have ended since the last call, with their numbers.
    pub fn take_finished_numbered(&mut self) -> Vec<(u64, Caller)> {
        std::mem::take(&mut self.finished)
    }

    /// Hours that serving replicas of models, adapters not counted, were idle.
    pub fn idle_hours(&self) -> f64 {
        self.idle_ms / 3_600_000.0
    }

    fn count_idle(&mut self) {
        let passed = (self.now - self.idle_at) as f64;
        self.idle_at = self.now;
        let idle = self.engines.iter().map(|engine| engine.idle_bases()).sum::<usize>();
        self.idle_ms += passed * idle as f64;
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

    fn entry_effect(&mut self, index: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Send { id, call, address, model, org, class, slack_ms, .. } => {
                let session = self.entries[index].session;
                let call_id = CallId { session, number: call };
                let side = self.sides.iter().find(|it| it.profile.address == address);
                // The entry works the expiry out from the side's clock, a little early.
                let clock = side.map_or(0, |side| self.now - side.start);
                let expires = clock + slack_ms;
                let session = side.map_or(0, |side| side.profile.session);
                let sending = Sending { entry: index, life, id, call, session };
                self.sessions.insert(call_id, session);
                let offer = Offer { id: call_id, model, org, class, session, expires };
                let delay = self.hop();
                let silence = Happening::Silence { sending, to: address.clone(), expires };
                self.schedule(SILENCE_MS, silence);
                if !self.rng.random_bool(self.faults.drop_part) {
                    self.schedule(delay, Happening::Offer { to: address, sending, offer });
                }
            }
            Effect::Cancel { id, call, endpoint } => {
                let number = CallId { session: self.entries[index].session, number: call };
                let session = self.sessions.get(&number).copied().unwrap_or(0);
                let sending = Sending { entry: index, life, id, call, session };
                let row = self.entries[index].core.view().endpoint(endpoint);
                let to = row.map(|row| row.address.clone()).unwrap_or_default();
                let delay = self.hop();
                let expires = u64::MAX;
                let forward = true;
                let cancel = Happening::CancelCall { to, sending, expires, forward };
                self.schedule(delay, cancel);
            }
            Effect::Refuse(id, refusal) => self.end(id, Ending::Refused(refusal)),
            Effect::Replay(id, _) => self.end(id, Ending::Replayed),
            Effect::Models(..) | Effect::Log(_) | Effect::Configured(_) => {}
            Effect::Feed(effect) => self.feed_effect(index, life, effect),
            Effect::Commit(id, txn) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::EntryCommit { from: index, life, id, txn });
            }
            Effect::Read(keys) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::EntryRead { from: index, life, keys });
            }
            Effect::ReadClaim(id, key) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::ClaimRead { from: index, life, id, key });
            }
            Effect::FetchText(head) => {
                let text = self.texts.get(&head.version).cloned();
                let peer = self.entries.iter().any(|it| it.core.version() == head.version);
                if let Some(text) = text.filter(|_| peer || !self.faults.table_down) {
                    let event = Event::Text { version: head.version, text };
                    let delay = self.table_hop();
                    self.schedule(delay, Happening::ToEntry(index, life, event));
                }
            }
            Effect::Demand { to, demand } => {
                let frame = wire::Demand {
                    model: demand.model.clone(),
                    waiting: demand.waiting,
                    slack_ms: demand.slack_ms,
                    class: 0,
                    from: demand.from.clone(),
                };
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Demand(demand));
            }
            Effect::Heard { to, model } => {
                let frame = wire::Verdict { model: model.clone(), kind: 3 };
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Heard(model));
            }
            Effect::Verdict { to, model, kind } => {
                let frame = wire::Verdict { model: model.clone(), kind: 0 };
                self.meter(index, &to, &frame.into());
                self.post(to, Event::Verdict { model, kind });
            }
            Effect::Announce { to, row } => {
                self.meter(index, &to, &rows_frame(std::slice::from_ref(&row)));
                self.post(to, Event::Told(vec![row]));
            }
            Effect::Poke { address, from, .. } => {
                let side = self.sides.iter().position(|it| it.profile.address == address);
                if let Some(side) = side {
                    let (life, delay) = (self.sides[side].life, self.hop());
                    self.schedule(delay, Happening::ToSide(side, life, SideEvent::Poke(from)));
                }
            }
            Effect::Drained => {
                self.entries[index].alive = false;
                self.entries[index].life += 1;
                let name = self.entries[index].name.clone();
                self.listed.remove(&name);
            }
        }
    }

    fn post(&mut self, to: String, event: Event) {
        if self.rng.random_bool(self.faults.drop_part) {
            return;
        }
        let delay = self.hop();
        if self.rng.random_bool(self.faults.twice_part) {
            self.schedule(delay + 3, Happening::ToAddress(to.clone(), event.clone()));
        }
        self.schedule(delay, Happening::ToAddress(to, event));
    }

    fn feed_effect(&mut self, from: usize, life: u64, effect: FeedEffect) {
        match effect {
            FeedEffect::Ask { id, source: Source::Table, since } => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::Changes { from, life, id, since });
            }
            FeedEffect::Ask { id, source: Source::Peer(to), since } => {
                let delay = self.hop();
                self.schedule(delay, Happening::Pull { from, life, id, to, since });
            }
            FeedEffect::Answer { pull, page } => {
                if let Some((to, life, id)) = self.pulls.remove(&pull) {
                    let name = self.entries[to].name.clone();
                    self.meter(from, &name, &rows_frame(&page.rows));
                    self.meter(from, &name, &wire::FeedPull { id, since: page.sequence }.into());
                    let delay = self.hop();
                    let event = Event::Fed(id, Some(page));
                    self.schedule(delay, Happening::ToEntry(to, life, event));
                }
            }
        }
    }

    fn pull(&mut self, from: usize, life: u64, id: u64, to: &str, since: u64) {
        let target = self.entries.iter().position(|it| it.alive && it.name == to);
        let Some(target) = target else {
            return self.schedule(1, Happening::ToEntry(from, life, Event::Fed(id, None)));
        };
        self.next += 1;
        let pull = self.next;
        self.pulls.insert(pull, (from, life, id));
        let target_life = self.entries[target].life;
        self.deliver_entry(target, target_life, Event::Pull { pull, since });
    }

    fn changes(&mut self, from: usize, life: u64, id: u64, since: u64) {
        self.operations.polls += 1;
        let page = (!self.faults.table_down).then(|| {
            let changes = self.table.changes(FEED, since, PAGE).unwrap_or_default();
            Page { rows: changes.rows, sequence: changes.sequence, age_ms: 0 }
        });
        if let Some(page) = &page {
            self.meter(from, "", &rows_frame(&page.rows));
        }
        let delay = self.table_hop();
        self.schedule(delay, Happening::ToEntry(from, life, Event::Fed(id, page)));
    }

    /// Carries a transaction out, or not; when its sender hears, and what.
    fn commit(&mut self, txn: Txn) -> (u64, Outcome) {
        if self.faults.table_down {
            // It may be lost, or wait in the service and take effect later.
            if self.rng.random_bool(self.faults.late_part) {
                let delay = self.rng.random_range(500..8_000);
                self.schedule(delay, Happening::LateTxn(txn));
            }
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        let outcome = self.table.commit(&txn);
        if outcome == Outcome::Conflict {
            self.operations.conflicts += 1;
        }
        if self.rng.random_bool(self.faults.lost_part) {
            return (TABLE_TIMEOUT_MS, Outcome::Unknown);
        }
        (self.table_hop(), outcome)
    }

    fn read(&mut self, keys: &[String]) -> Option<Vec<Row>> {
        self.operations.reads += 1;
        if self.faults.table_down {
            return None;
        }
        self.table.read(keys).ok()
    }

    fn side_effect(&mut self, index: SideIndex, life: u64, effect: SideEffect) {
        match effect {
            SideEffect::Read(id, keys) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::SideRead { from: index, life, id, keys });
            }
            SideEffect::Commit(id, txn) => {
                let delay = self.table_hop();
                self.schedule(delay, Happening::SideCommit { from: index, life, id, txn });
            }
            SideEffect::ListEngine => {
                self.schedule(1, Happening::EngineList { from: index, life });
            }
            SideEffect::Load { order, model, base, fence, memory_mb, peak_mb } => {
                let order = LoadStart { order, model, base, fence, memory_mb, peak_mb };
                let delay = self.order_delay();
                self.schedule(delay, Happening::EngineLoad { from: index, life, order });
            }
            SideEffect::Unload { order, model, fence } => {
                let delay = self.order_delay();
                let unload = Happening::EngineUnload { from: index, life, order, model, fence };
                self.schedule(delay, unload);
            }
            SideEffect::Run(call) => self.run_call(index, life, call),
            SideEffect::Attach(_) => {}
            SideEffect::Decline(call, why) => self.declined(index, call, why),
            SideEffect::Stop(call) => {
                self.schedule(5, Happening::RunEnds { side: index, life, call });
            }
            SideEffect::Cancelled(call, answer) => self.cancel_answer(index, call, answer),
            SideEffect::Announce(to, row) => {
                self.meters.side_bytes += frame_bytes(&rows_frame(std::slice::from_ref(&row)));
                self.post(to, Event::Told(vec![row]));
            }
            SideEffect::Log(_) => {}
            SideEffect::Superseded | SideEffect::Drained => {
                self.sides[index].alive = false;
                self.sides[index].life += 1;
                let leaving = self.sides[index].core.endpoint_row().is_some_and(|row| row.leaving);
                if effect == SideEffect::Drained && leaving {
                    let name = self.sides[index].profile.instance.clone();
                    let endpoint = self.sides[index].endpoint;
                    if self.engines[endpoint].is_empty() && !self.has_side(endpoint) {
                        self.listed.remove(&name);
                    }
                }
            }
        }
    }

    /// Orders are on their way for at most [`citronrill_decide::ORDER_TRANSIT_MS`].
    fn order_delay(&mut self) -> u64 {
        if self.rng.random_bool(self.faults.slow_part) {
            return self.rng.random_range(1..citronrill_decide::ORDER_TRANSIT_MS);
        }
        1
    }

    fn engine_list(&mut self, from: SideIndex, life: u64) {
        let engine = &self.engines[self.sides[from].endpoint];
        let report =
            engine.alive.then(|| EngineReport { held: engine.report(), cached: engine.cached() });
        let delay = self.hop();
        self.schedule(delay, Happening::ToSide(from, life, SideEvent::Engine(report)));
    }

    fn engine_load(&mut self, from: SideIndex, life: u64, order: &LoadStart) {
        self.count_idle();
        let endpoint = self.sides[from].endpoint;
        let spec = self.registry.models.get(&order.model);
        let spec = spec.and_then(|key| self.catalogue.models.get(&key));
        let tier = self.engines[endpoint].tier(&order.model);
        let time = spec.map_or(1_000, |spec| citronrill_decide::load_ms(spec, tier));
        let running = self.engines.iter().map(|it| it.remote_loads).sum::<u64>();
        let strained = self.faults.weights_slow.max(1);
        let time = match tier {
            Tier::Remote => {
                let once = self.catalogue.pool.loads_once.max(1);
                time * strained * (running + 1).max(once) / once
            }
            Tier::Disk | Tier::Ram => time,
        };
        let fails = self.rng.random_bool(self.faults.load_fails);
        match self.engines[endpoint].begin_load(order, tier, fails) {
            Ok(true) => {
                let (order, model) = (order.order, order.model.clone());
                let loaded = Happening::EngineLoaded { from, life, endpoint, order, model };
                self.schedule(time, loaded);
            }
            Ok(false) => {}
            Err(violation) => {
                let refused = SideEvent::OrderDone { order: order.order, done: false };
                self.schedule(1, Happening::ToSide(from, life, refused));
                self.violations.extend(violation);
            }
        }
    }

    fn living_side(&self, address: &str) -> Option<SideIndex> {
        self.sides.iter().position(|it| it.alive && it.profile.address == address)
    }

    fn offer(&mut self, to: &str, sending: Sending, offer: Offer) {
        let Some(side) = self.living_side(to) else {
            let event = Event::Unsent(sending.id, sending.call);
            return self.tell_call(sending, event);
        };
        self.sides[side].offers.insert(offer.id, sending);
        let life = self.sides[side].life;
        if self.rng.random_bool(self.faults.twice_part) {
            let again = SideEvent::Offer(offer.clone());
            self.schedule(7, Happening::ToSide(side, life, again));
        }
        self.deliver_side(side, life, SideEvent::Offer(offer));
    }

    /// Tells an entry of a call, if that call is still the one that stands for its request.
    fn tell_call(&mut self, sending: Sending, event: Event) {
        let delay = self.hop();
        self.schedule(delay, Happening::ToEntry(sending.entry, sending.life, event));
    }

    fn call_id(&self, sending: Sending) -> CallId {
        CallId { session: self.entries[sending.entry].session, number: sending.call }
    }

    fn declined(&mut self, side: SideIndex, call: CallId, why: Decline) {
        if let Some(sending) = self.sides[side].offers.remove(&call) {
            let load = self.sides[side].core.running() as u32;
            self.tell_call(
                sending,
                Event::Declined { id: sending.id, call: sending.call, why, load },
            );
        }
    }

    fn run_call(&mut self, side: SideIndex, life: u64, call: CallId) {
        let Some(sending) = self.sides[side].offers.get(&call).copied() else {
            return self.schedule(1, Happening::RunEnds { side, life, call });
        };
        let Some(caller) = self.callers.get_mut(&sending.id) else {
            return self.schedule(1, Happening::RunEnds { side, life, call });
        };
        caller.runs += 1;
        let model = caller.model.clone();
        let (now, endpoint) = (self.now, self.sides[side].endpoint);
        self.check_run(sending.id, now);
        self.count_idle();
        self.engines[endpoint].begin_call(&model, call);
        let first = self.rng.random_range(20..80);
        self.tell_call_after(first, sending, Event::Began(sending.id, sending.call));
        let caller = self.callers.get_mut(&sending.id);
        if let Some(caller) = caller.filter(|caller| caller.began.is_none()) {
            caller.began = Some(now + first);
        }
        let time = self.rng.random_range(200..3_000);
        self.schedule(time, Happening::RunEnds { side, life, call });
    }

    fn tell_call_after(&mut self, delay: u64, sending: Sending, event: Event) {
        self.schedule(delay, Happening::ToEntry(sending.entry, sending.life, event));
    }

    /// What must hold whenever an engine runs a call.
    fn check_run(&mut self, id: RequestId, now: u64) {
        let caller = &self.callers[&id];
        if let Some((at, Ending::Refused(refusal))) = caller.ended
            && refusal.ran == citronrill_decide::Ran::No
        {
            let text = format!("{id:?} ran at {now} after it was refused as not run at {at}");
            self.violations.push(text);
        }
        if caller.runs > 1 && !caller.repeatable {
            self.violations.push(format!("{id:?} may run once and ran {} times", caller.runs));
        }
        if let Some(key) = caller.once.filter(|_| !caller.repeatable) {
            let same = self.callers.values().filter(|it| it.once == Some(key));
            let runs = same.filter(|it| it.model == caller.model).map(|it| it.runs).sum::<u32>();
            if runs > 1 {
                self.violations.push(format!("idempotency key {key} ran {runs} times"));
            }
        }
    }

    fn run_ends(&mut self, side: SideIndex, life: u64, call: CallId) {
        self.count_idle();
        let endpoint = self.sides[side].endpoint;
        self.engines[endpoint].end_call(call);
        if !self.side_lives(side, life) {
            return;
        }
        if self.sides[side].paused > self.now {
            let delay = self.sides[side].paused - self.now;
            return self.schedule(delay, Happening::RunEnds { side, life, call });
        }
        self.deliver_side(side, life, SideEvent::Ended(call));
        let Some(sending) = self.sides[side].offers.remove(&call) else { return };
        let load = self.sides[side].core.running() as u32;
        let claimed = self.callers.get(&sending.id).and_then(|caller| caller.once);
        let answer = claimed.map(|_| Answer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(b"answer".to_vec()),
        });
        self.whole(sending);
        self.tell_call(sending, Event::Ended { id: sending.id, call: sending.call, load, answer });
    }

    /// The whole answer is on its way to the caller, if the entry still stands for the request.
    fn whole(&mut self, sending: Sending) {
        let lives = self.entry_lives(sending.entry, sending.life);
        let open = self.callers.get(&sending.id).is_some_and(|it| it.ended.is_none());
        if lives && open {
            self.end(sending.id, Ending::Whole);
        }
    }

    fn end(&mut self, id: RequestId, ending: Ending) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if let Some((at, first)) = caller.ended {
            if first != Ending::Whole {
                let text = format!("{id:?} ended at {at} with {first:?} and again with {ending:?}");
                self.violations.push(text);
            }
            return;
        }
        caller.ended = Some((now, ending));
        if let Ending::Refused(refusal) = ending
            && refusal.ran == citronrill_decide::Ran::No
            && caller.runs > 0
        {
            let text = format!("{id:?} was refused as not run, but ran: {caller:?}");
            self.violations.push(text);
        }
        if !self.options.keep_calls
            && let Some(caller) = self.callers.remove(&id)
        {
            self.finished.push((id.0, caller));
        }
    }

    /// The connection has been silent: ask on another one what became of the call.
    fn silence(&mut self, sending: Sending, to: &str, expires: u64) {
        let call = self.call_id(sending);
        let side = self.living_side(to);
        let paused = side.is_some_and(|side| self.sides[side].paused > self.now);
        match side {
            Some(side) if self.sides[side].offers.contains_key(&call) && !paused => {
                // It runs: its frames go on over the new connection.
            }
            Some(_) if !paused => {
                let forward = false;
                let to = to.to_owned();
                let cancel = Happening::CancelCall { to, sending, expires, forward };
                self.schedule(1, cancel);
            }
            _ => {
                let ended = self.callers.get(&sending.id).is_none_or(|it| it.ended.is_some());
                if !ended && self.current_call(sending) {
                    self.tell_call(sending, Event::Lost(sending.id, sending.call));
                }
            }
        }
    }

    /// Whether the request was not sent again meanwhile; the exchange's thread knows.
    fn current_call(&self, sending: Sending) -> bool {
        self.entry_lives(sending.entry, sending.life)
            && self.entries[sending.entry].core.current_call(sending.id) == Some(sending.call)
    }

    fn cancel_call(&mut self, to: &str, sending: Sending, expires: u64, forward: bool) {
        if !forward && !self.current_call(sending) {
            return;
        }
        let id = self.call_id(sending);
        let Some(side) = self.living_side(to) else { return };
        let expires = match expires {
            u64::MAX => self.now - self.sides[side].start + 1_000,
            expires => expires,
        };
        let life = self.sides[side].life;
        self.sides[side].offers.entry(id).or_insert(sending);
        let session = sending.session;
        self.deliver_side(side, life, SideEvent::Cancel { id, session, expires });
    }

    fn cancel_answer(&mut self, side: SideIndex, call: CallId, answer: CancelAnswer) {
        let Some(sending) = self.sides[side].offers.get(&call).copied() else { return };
        if answer == CancelAnswer::NotRun {
            self.sides[side].offers.remove(&call);
        }
        if !self.current_call(sending) {
            return;
        }
        let cancelling = self.entries[sending.entry].core.is_cancelling(sending.id);
        let event = match answer {
            _ if cancelling => Event::Cancelled(sending.id, sending.call, answer),
            CancelAnswer::NotRun => {
                let (id, call, why) = (sending.id, sending.call, Decline::Cancelled);
                Event::Declined { id, call, why, load: 0 }
            }
            CancelAnswer::Ran | CancelAnswer::Unknown => Event::Lost(sending.id, sending.call),
        };
        self.tell_call(sending, event);
    }

    /// Counts a frame at the entry that sends it and at the one that takes it.
    fn meter(&mut self, from: usize, to: &str, frame: &wire::Frame) {
        let bytes = frame_bytes(frame);
        count_kinds(frame, &mut self.meters.by_kind);
        self.meters.entry_bytes.resize(self.entries.len(), 0);
        self.meters.entry_bytes[from] += bytes;
        if let Some(index) = self.entries.iter().position(|it| it.name == to) {
            self.meters.entry_bytes[index] += bytes;
        }
    }

    /// Counts the entries' transactions that write a row from now on.
    pub fn watch(&mut self, key: String) {
        self.watch = key;
        self.watched = (0, 0);
    }

    /// Transactions on the watched row, and conflicts among them.
    pub fn watched(&self) -> (u64, u64) {
        self.watched
    }

    /// Control traffic and reducer time so far.
    pub fn meters(&self) -> Meters {
        let mut meters = self.meters.clone();
        meters.entry_bytes.resize(self.entries.len(), 0);
        meters
    }

    /// Rows of the table, for oracles.
    pub fn rows(&self) -> Vec<Row> {
        self.table.rows()
    }

    /// Whether an entry's process is still the one of that life.
    pub fn entry_is(&self, index: usize, life: u64) -> bool {
        self.entry_lives(index, life)
    }

    /// Numbers of the entries that live.
    pub fn living_entries(&self) -> Vec<usize> {
        (0..self.entries.len()).filter(|index| self.entries[*index].alive).collect()
    }

    /// Numbers of the endpoints whose engine lives.
    pub fn living_endpoints(&self) -> Vec<usize> {
        (0..self.engines.len()).filter(|index| self.engines[*index].alive).collect()
    }

    /// Whether an endpoint has a living side.
    pub fn has_side(&self, endpoint: usize) -> bool {
        self.sides.iter().any(|side| side.alive && side.endpoint == endpoint)
    }

    /// Whether the entry has finished whatever a newcomer does first.
    pub fn entry_ready(&self, index: usize) -> bool {
        self.entries[index].alive && self.entries[index].core.ready()
    }

    /// The entry's reducer.
    pub fn entry(&self, index: usize) -> &Entry {
        &self.entries[index].core
    }

    /// Loads that engines have begun.
    pub fn loads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.loads).sum()
    }

    /// Puts a model's weights into an endpoint's disk cache.
    pub fn cache(&mut self, endpoint: usize, model: &str) {
        self.engines[endpoint].disk.insert(model.to_owned());
    }
}

/// Rows as they go between processes.
fn rows_frame(rows: &[Row]) -> wire::Frame {
    let rows = rows.iter().map(|row| wire::FeedRow {
        key: row.key.clone(),
        version: row.version,
        body: row.body.clone(),
    });
    wire::FeedRows { id: 1, rows: rows.collect(), sequence: 1, age_ms: 0 }.into()
}

/// Adds a frame's bytes to what they were for.
fn count_kinds(frame: &wire::Frame, kinds: &mut BTreeMap<&'static str, u64>) {
    let mut add = |kind, bytes: usize| *kinds.entry(kind).or_insert(0) += bytes as u64;
    match &frame.kind {
        Some(wire::Kind::FeedRows(rows)) => {
            add("feed headers", 54);
            for row in &rows.rows {
                add(row_kind_word(&row.key), row.encoded_len() + 2);
            }
        }
        Some(wire::Kind::Demand(_)) => add("demand", frame_bytes(frame) as usize),
        _ => add("other", frame_bytes(frame) as usize),
    }
}

fn row_kind_word(key: &str) -> &'static str {
    match row_kind(key) {
        RowKind::Endpoint(_) => "endpoint rows",
        RowKind::Model(_) => "model rows",
        RowKind::Share(..) => "share rows",
        RowKind::Weights => "permit rows",
        RowKind::Member(_) => "member rows",
        RowKind::Cache(_) => "cache rows",
        RowKind::Head | RowKind::Delta | RowKind::Other => "text rows",
    }
}

/// Bytes of a frame on a connection, with its length and the headers of TCP and IP.
fn frame_bytes(frame: &wire::Frame) -> u64 {
    const HEADERS: usize = 4 + 40;
    (frame.encoded_len() + HEADERS) as u64
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
