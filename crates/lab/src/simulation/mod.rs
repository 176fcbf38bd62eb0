//! Simulation of reducers, a table and engines on virtual time.
//!
//! The simulation executes the effects of the reducers with delays and injected faults. It makes no
//! decisions of its own: the reducers of `citronrill-decide` decide, and [`crate::oracle`] checks.

mod calls;
mod effects;
mod frames;
mod lifecycle;
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
    Answer, CallId, CancelAnswer, Decline, Effect, EngineReport, Entry, EntryProfile, Event,
    FeedEffect, IncomingRequest, ListedInstance, Offer, PAGE_ROWS, Page, Peer, Policies, Refusal,
    RequestId, RequestTarget, Side, SideEffect, SideEvent, SideProfile, Source,
    rows::{Cached, DeltaRow, FEED, HEAD, HeadRow, Tier, decode, delta_key},
};
use citronrill_platform::{MemoryTable, Table};
use citronrill_wire as wire;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::frames::{count_bytes_by_kind, frame_bytes, rows_frame};
use crate::{
    engine::{Engine, LoadOrder},
    faults::Faults,
};

/// Time after which the outcome of a transaction without an answer is unknown, in milliseconds.
const TABLE_TIMEOUT_MS: u64 = 2_500;
/// Time without a response after which a side is queried on another connection, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 2_500;
/// Interval at which entries read the platform's instance list, in milliseconds.
const INSTANCE_LIST_MS: u64 = 2_000;
/// Number of parts of a share.
const SHARE_PARTS: u32 = 4;

/// Options of a simulation.
pub struct SimulationOptions {
    /// Seed of random delays and faults.
    pub seed: u64,
    /// The operators' configuration.
    pub config: String,
    /// Number of entries at the start.
    pub entries: usize,
    /// Endpoints at the start, as (memory in MB, checks fencing tokens).
    pub endpoints: Vec<(u64, bool)>,
    /// Availability zones, assigned in turn.
    pub zones: Vec<String>,
    /// Concurrent requests of an endpoint.
    pub slots: u64,
    /// Tick intervals of an entry and of a side, in milliseconds.
    pub tick_ms: (u64, u64),
    /// Creates the policies of each entry.
    pub policies: fn() -> Policies,
    /// Whether finished requests are kept for the oracle.
    pub keep_finished: bool,
}

/// A request as seen by its caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Arrival time.
    pub arrived: u64,
    /// Deadline of the answer.
    pub deadline: u64,
    /// The entry that received it, and the entry's incarnation.
    pub entry: (usize, u64),
    /// The model's name.
    pub model: String,
    /// Whether it may be retried.
    pub repeatable: bool,
    /// Its idempotency key.
    pub idempotency_key: Option<u64>,
    /// How often engines have run it.
    pub runs: u32,
    /// Time of the first byte of the answer.
    pub first_byte_at: Option<u64>,
    /// Time and outcome of its end.
    pub ended: Option<(u64, RequestOutcome)>,
    /// Whether a replica of the model was ready on arrival.
    pub warm: bool,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered completely.
    Completed,
    /// It was answered with the stored answer of its idempotency key.
    Replayed,
    /// It was refused.
    Refused(Refusal),
}

pub(crate) struct EntryNode {
    pub(crate) reducer: Entry,
    pub(crate) name: String,
    started_at: u64,
    pub(crate) incarnation: u64,
    paused_until: u64,
    pub(crate) alive: bool,
    session: u64,
    was_paused: bool,
    pub(crate) config_version: u64,
}

pub(crate) struct SideNode {
    pub(crate) reducer: Side,
    pub(crate) endpoint: usize,
    started_at: u64,
    pub(crate) incarnation: u64,
    paused_until: u64,
    pub(crate) alive: bool,
    profile: SideProfile,
    attempts: Map<CallId, Attempt>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    entry: usize,
    incarnation: u64,
    id: RequestId,
    call: u64,
    session: u64,
}

/// Index of a side. An endpoint can have several running sides.
pub(crate) type SideIndex = usize;

#[derive(Debug)]
enum SimEvent {
    EntryTick(usize, u64),
    SideTick(SideIndex, u64),
    ReadInstances(usize, u64),
    ToEntry(usize, u64, Event),
    ToAddress(String, Event),
    ToSide(SideIndex, u64, SideEvent),
    Pull { from: usize, incarnation: u64, id: u64, to: String, since: u64 },
    ReadChanges { from: usize, incarnation: u64, id: u64, since: u64 },
    EntryCommit { from: usize, incarnation: u64, id: u64, txn: Txn },
    EntryRead { from: usize, incarnation: u64, keys: Vec<String> },
    ClaimRead { from: usize, incarnation: u64, id: RequestId, key: String },
    SideCommit { from: SideIndex, incarnation: u64, id: u64, txn: Txn },
    SideRead { from: SideIndex, incarnation: u64, id: u64, keys: Vec<String> },
    EngineList { from: SideIndex, incarnation: u64 },
    EngineLoad { from: SideIndex, incarnation: u64, order: LoadOrder },
    EngineLoaded { from: SideIndex, incarnation: u64, endpoint: usize, order: u64, model: String },
    EngineUnload { from: SideIndex, incarnation: u64, order: u64, model: String, fence: u64 },
    Offer { to: String, attempt: Attempt, offer: Offer },
    ResponseTimeout { attempt: Attempt, to: String, expires: u64 },
    CancelCall { to: String, attempt: Attempt, expires: u64, from_reducer: bool },
    CallFinished { side: SideIndex, incarnation: u64, call: CallId },
    RemoveInstance(String),
    TableRestored,
    LateCommit(Txn),
}

/// Number of table operations by purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Operations {
    /// Polls for changes.
    pub polls: u64,
    /// Reads of rows by key.
    pub reads: u64,
    /// Transactions of entries.
    pub entry_commits: u64,
    /// Transactions of sides.
    pub side_commits: u64,
    /// Transactions that failed with a conflict.
    pub conflicts: u64,
}

impl Operations {
    /// Returns the operations since `before`.
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
    /// Bytes sent and received by each entry.
    pub entry_bytes: Vec<u64>,
    /// Bytes sent by all sides.
    pub side_bytes: u64,
    /// Bytes received by entries, by purpose.
    pub by_kind: BTreeMap<&'static str, u64>,
    /// Time spent in the reducers of all entries, in nanoseconds.
    pub entry_nanos: u64,
    /// Time spent in the reducers of all sides, in nanoseconds.
    pub side_nanos: u64,
}

/// A simulation.
pub struct Simulation {
    pub(crate) now: u64,
    pub(crate) rng: SmallRng,
    pub(crate) table: MemoryTable,
    configs: BTreeMap<u64, String>,
    pub(crate) catalogue: Catalogue,
    pub(crate) registry: Registry,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) sides: Vec<SideNode>,
    pub(crate) engines: Vec<Engine>,
    /// Active faults.
    pub faults: Faults,
    /// Requests by ID.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Table operations so far.
    pub operations: Operations,
    /// Number of events processed by reducers.
    pub steps: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: Map<u64, SimEvent>,
    next_event: u64,
    next_request: u64,
    instances: BTreeMap<String, ListedInstance>,
    pending_pulls: Map<u64, (usize, u64, u64)>,
    call_sessions: Map<CallId, u64>,
    meters: Meters,
    watched_key: String,
    watched_commits: (u64, u64),
    finished: Vec<(u64, RequestRecord)>,
    options: SimulationOptions,
    idle_ms: f64,
    idle_counted_at: u64,
    /// Violations detected while events were processed.
    pub violations: Vec<String>,
}

impl Simulation {
    /// Returns a simulation in which all processes have just started.
    ///
    /// # Panics
    /// The configuration has errors.
    pub fn new(mut options: SimulationOptions) -> Simulation {
        options.config = with_test_api_keys(&options.config);
        let mut registry = Registry::default();
        let catalogue = Catalogue::compile("world", &options.config, 1, &mut registry)
            .unwrap_or_else(|errors| panic!("invalid configuration of the simulation: {errors}"));
        let mut sim = Simulation {
            now: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            table: MemoryTable::default(),
            configs: BTreeMap::new(),
            catalogue,
            registry,
            entries: Vec::new(),
            sides: Vec::new(),
            engines: Vec::new(),
            faults: Faults::default(),
            requests: BTreeMap::new(),
            operations: Operations::default(),
            steps: 0,
            queue: BinaryHeap::new(),
            scheduled: Map::default(),
            next_event: 0,
            next_request: 0,
            instances: BTreeMap::new(),
            pending_pulls: Map::default(),
            call_sessions: Map::default(),
            meters: Meters::default(),
            watched_key: String::new(),
            watched_commits: (0, 0),
            finished: Vec::new(),
            idle_ms: 0.0,
            idle_counted_at: 0,
            violations: Vec::new(),
            options,
        };
        let config = sim.options.config.clone();
        sim.apply_config(&config);
        for (memory_mb, fencing) in sim.options.endpoints.clone() {
            sim.add_endpoint(memory_mb, fencing);
        }
        for _ in 0..sim.options.entries {
            sim.add_entry();
        }
        sim
    }

    /// Returns the virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    fn schedule(&mut self, delay: u64, scheduled: SimEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event)));
        self.scheduled.insert(self.next_event, scheduled);
    }

    /// Returns a random network delay, in milliseconds.
    fn network_delay(&mut self) -> u64 {
        let delay_probability = self.faults.delayed_messages;
        if delay_probability > 0.0 && self.rng.random_bool(delay_probability) {
            return self.rng.random_range(50..self.faults.max_delay_ms.max(51));
        }
        1
    }

    /// Sends a request to an entry. Returns its ID, or `None` if the entry is not running.
    pub fn request(
        &mut self,
        entry: usize,
        model: &str,
        deadline_ms: Option<u64>,
        idempotency_key: Option<u64>,
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
            let mut replicas = node.reducer.view().replicas(key);
            replicas.any(|(_, phase)| phase == citronrill_decide::rows::Phase::Ready)
        });
        let api_key = org.map_or(String::new(), |org| test_api_key(&org.name));
        let request = RequestRecord {
            arrived: self.now,
            deadline: self.now + deadline_ms.unwrap_or(limit).min(limit),
            entry: (entry, node.incarnation),
            model: model.to_owned(),
            repeatable: service.is_none_or(|service| service.repeatable),
            idempotency_key,
            runs: 0,
            first_byte_at: None,
            ended: None,
            warm,
        };
        self.requests.insert(id, request);
        let incoming = IncomingRequest {
            id,
            key: hash_api_key(&api_key),
            target: RequestTarget::Model(model.to_owned()),
            deadline_ms,
            idempotency_key,
            body_hash: idempotency_key.unwrap_or(0),
            prefix_hash: 0,
        };
        let incarnation = self.entries[entry].incarnation;
        self.schedule(0, SimEvent::ToEntry(entry, incarnation, Event::Request(incoming)));
        Some(id)
    }

    /// Advances virtual time by `millis` and processes the events that are due.
    pub fn advance(&mut self, millis: u64) {
        let until = self.now + millis;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(scheduled) = self.scheduled.remove(&id) {
                self.process(scheduled);
            }
        }
        self.now = until;
        self.accumulate_idle();
    }

    /// Returns the requests that have ended since the last call, with their IDs.
    ///
    /// Returns nothing if [`SimulationOptions::keep_finished`] is set, which keeps the requests for
    /// the oracle.
    pub fn take_finished(&mut self) -> Vec<(u64, RequestRecord)> {
        std::mem::take(&mut self.finished)
    }

    fn process(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::EntryTick(index, incarnation) => self.entry_tick(index, incarnation),
            SimEvent::SideTick(index, incarnation) => self.side_tick(index, incarnation),
            SimEvent::ReadInstances(index, incarnation) => {
                if self.entry_running(index, incarnation) {
                    let list = self.instances.values().cloned().collect();
                    let delay = self.rng.random_range(10..1_500);
                    self.schedule(
                        delay,
                        SimEvent::ToEntry(index, incarnation, Event::Instances(list)),
                    );
                    self.schedule(INSTANCE_LIST_MS, SimEvent::ReadInstances(index, incarnation));
                }
            }
            SimEvent::ToEntry(index, incarnation, event) => {
                self.deliver_entry(index, incarnation, event)
            }
            SimEvent::ToAddress(address, event) => {
                let index =
                    self.entries.iter().position(|entry| entry.alive && entry.name == address);
                if let Some(index) = index {
                    let incarnation = self.entries[index].incarnation;
                    self.deliver_entry(index, incarnation, event);
                }
            }
            SimEvent::ToSide(index, incarnation, event) => {
                self.deliver_side(index, incarnation, event)
            }
            SimEvent::Pull { from, incarnation, id, to, since } => {
                self.pull(from, incarnation, id, &to, since)
            }
            SimEvent::ReadChanges { from, incarnation, id, since } => {
                self.read_changes(from, incarnation, id, since)
            }
            SimEvent::EntryCommit { from, incarnation, id, txn } => {
                self.operations.entry_commits += 1;
                let watched = txn.writes.iter().any(|write| write.key == self.watched_key);
                let (delay, outcome) = self.commit(txn);
                if watched {
                    self.watched_commits.0 += 1;
                    self.watched_commits.1 += u64::from(outcome == Outcome::Conflict);
                }
                let event = Event::TxnFinished(id, outcome);
                self.schedule(delay, SimEvent::ToEntry(from, incarnation, event));
            }
            SimEvent::EntryRead { from, incarnation, keys } => {
                if let Some(rows) = self.read(&keys) {
                    let delay = self.table_delay();
                    self.schedule(delay, SimEvent::ToEntry(from, incarnation, Event::Rows(rows)));
                }
            }
            SimEvent::ClaimRead { from, incarnation, id, key } => {
                let row = self.read(&[key]).and_then(|mut rows| rows.pop());
                let delay = if row.is_some() { self.table_delay() } else { TABLE_TIMEOUT_MS };
                let event = Event::ClaimRead(id, row);
                self.schedule(delay, SimEvent::ToEntry(from, incarnation, event));
            }
            SimEvent::SideCommit { from, incarnation, id, txn } => {
                self.operations.side_commits += 1;
                let (delay, outcome) = self.commit(txn);
                let event = SideEvent::TxnFinished(id, outcome);
                self.schedule(delay, SimEvent::ToSide(from, incarnation, event));
            }
            SimEvent::SideRead { from, incarnation, id, keys } => {
                let event = match self.read(&keys) {
                    Some(rows) => SideEvent::Rows(id, rows),
                    None => SideEvent::ReadFailed(id),
                };
                let delay = self.table_delay();
                self.schedule(delay, SimEvent::ToSide(from, incarnation, event));
            }
            SimEvent::EngineList { from, incarnation } => self.engine_list(from, incarnation),
            SimEvent::EngineLoad { from, incarnation, order } => {
                self.engine_load(from, incarnation, &order)
            }
            SimEvent::EngineLoaded { from, incarnation, endpoint, order, model } => {
                self.accumulate_idle();
                let done = self.engines[endpoint].loaded(order, &model);
                let event = SideEvent::OrderDone { order, done };
                self.schedule(1, SimEvent::ToSide(from, incarnation, event));
            }
            SimEvent::EngineUnload { from, incarnation, order, model, fence } => {
                self.accumulate_idle();
                let endpoint = self.sides[from].endpoint;
                let done = self.engines[endpoint].unload(&model, fence);
                let event = SideEvent::OrderDone { order, done };
                self.schedule(1, SimEvent::ToSide(from, incarnation, event));
            }
            SimEvent::Offer { to, attempt, offer } => self.offer(&to, attempt, offer),
            SimEvent::ResponseTimeout { attempt, to, expires } => {
                self.response_timeout(attempt, &to, expires)
            }
            SimEvent::CancelCall { to, attempt, expires, from_reducer } => {
                self.cancel_call(&to, attempt, expires, from_reducer);
            }
            SimEvent::CallFinished { side, incarnation, call } => {
                self.finish_call(side, incarnation, call)
            }
            SimEvent::RemoveInstance(name) => drop(self.instances.remove(&name)),
            SimEvent::TableRestored => self.faults.table_down = false,
            SimEvent::LateCommit(txn) => drop(self.table.commit(&txn)),
        }
    }

    fn entry_running(&self, index: usize, incarnation: u64) -> bool {
        self.entries[index].alive && self.entries[index].incarnation == incarnation
    }

    fn side_running(&self, index: SideIndex, incarnation: u64) -> bool {
        self.sides[index].alive && self.sides[index].incarnation == incarnation
    }

    fn entry_tick(&mut self, index: usize, incarnation: u64) {
        if !self.entry_running(index, incarnation) {
            return;
        }
        let minute = (self.now / 60_000 % 1_440) as u16;
        self.deliver_entry(index, incarnation, Event::Tick { minute });
        self.schedule(self.options.tick_ms.0, SimEvent::EntryTick(index, incarnation));
    }

    fn side_tick(&mut self, index: SideIndex, incarnation: u64) {
        if !self.side_running(index, incarnation) {
            return;
        }
        self.deliver_side(index, incarnation, SideEvent::Tick);
        self.schedule(self.options.tick_ms.1, SimEvent::SideTick(index, incarnation));
    }

    fn deliver_entry(&mut self, index: usize, incarnation: u64, event: Event) {
        if !self.entry_running(index, incarnation) {
            return;
        }
        if self.entries[index].paused_until > self.now {
            let delay = self.entries[index].paused_until - self.now;
            return self.schedule(delay, SimEvent::ToEntry(index, incarnation, event));
        }
        self.step_entry(index, event);
    }

    fn deliver_side(&mut self, index: SideIndex, incarnation: u64, event: SideEvent) {
        if !self.side_running(index, incarnation) {
            return;
        }
        if self.sides[index].paused_until > self.now {
            let delay = self.sides[index].paused_until - self.now;
            return self.schedule(delay, SimEvent::ToSide(index, incarnation, event));
        }
        self.step_side(index, event);
    }

    fn step_entry(&mut self, index: usize, event: Event) {
        self.steps += 1;
        let mut effects = Vec::new();
        let node = &mut self.entries[index];
        let started = Instant::now();
        node.reducer.step(Millis(self.now - node.started_at), event, &mut effects);
        self.meters.entry_nanos += started.elapsed().as_nanos() as u64;
        let version = node.reducer.config_version();
        if version < node.config_version {
            let violation = format!(
                "the configuration of {} went back from version {} to {version}",
                node.name, node.config_version
            );
            self.violations.push(violation);
        }
        self.entries[index].config_version = version;
        let incarnation = self.entries[index].incarnation;
        for effect in effects {
            self.entry_effect(index, incarnation, effect);
        }
    }

    fn step_side(&mut self, index: SideIndex, event: SideEvent) {
        self.steps += 1;
        let mut effects = Vec::new();
        let node = &mut self.sides[index];
        let started = Instant::now();
        node.reducer.step(Millis(self.now - node.started_at), event, &mut effects);
        self.meters.side_nanos += started.elapsed().as_nanos() as u64;
        let incarnation = node.incarnation;
        for effect in effects {
            self.side_effect(index, incarnation, effect);
        }
    }
}

/// Returns the API key of an organisation in simulations.
pub fn test_api_key(org: &str) -> String {
    format!("key-{org}")
}

/// Adds the API key of [`test_api_key`] to every organisation of a configuration.
pub fn with_test_api_keys(config: &str) -> String {
    let mut result = String::new();
    for line in config.lines() {
        result.push_str(line);
        result.push('\n');
        let name = line.strip_prefix("[organisation ").and_then(|rest| rest.strip_suffix(']'));
        if let Some(name) = name {
            let hash = hash_api_key(&test_api_key(name)).to_hex();
            result.push_str(&format!("key.world = sha256:{hash}\n"));
        }
    }
    result
}

/// Returns the cached weights of a model, as reported by an engine.
pub(crate) fn cached(model: &str, tier: Tier) -> Cached {
    Cached { model: model.to_owned(), tier: tier.into() }
}
