//! Replay of requests for rare models with real entries and simple engines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    EngineSpec, EntryEffect, EntryEvent, EntryProfile, Member, MemberChange, ModelSpec, PoolEntry,
    RequestId, ResponseEnd, ServingConfig,
};
use citronrill_wire::{LoadRequest, ModelName, ModelRate, ModelState, SideState};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Scale, WEIGHTS_MB};
use crate::support::{ENGINE, address, arrival, config, first_era, ok, profile};

const TICK_MS: u64 = 20;
const HOP_MS: u64 = 1;
const RUN_MS: u64 = 400;
const UNLOAD_MS: u64 = 30;
const REPORT_MS: u64 = 500;
/// Milliseconds for which a side keeps a model that it has just loaded.
const PINNED_MS: u64 = 300;
/// Milliseconds in which a request's weight in a model's rate decays to 1/e.
const RATE_MS: f64 = 10_000.0;

/// What the callers of rare models got, after the first part of the replay.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) requests: u32,
    /// Requests whose model was loaded somewhere when they arrived.
    pub(super) loaded: u32,
    pub(super) refused: u32,
    pub(super) loads: u32,
    pub(super) store_loads: u32,
    /// Loads for which no request waited.
    pub(super) idle_loads: u32,
    pub(super) seconds: f64,
    /// Largest number of idle loads in progress at once.
    pub(super) idle_at_once: usize,
    /// Milliseconds that each request waited that was dispatched.
    pub(super) waits: Vec<u64>,
    /// Processor time of all steps of all entries, in milliseconds.
    pub(super) steps_ms: f64,
    pub(super) slowest_ms: f64,
}

impl Outcome {
    /// Returns the share of the requests whose model was not loaded.
    pub(super) fn missing(&self) -> f64 {
        1.0 - f64::from(self.loaded) / f64::from(self.requests.max(1))
    }

    fn wait_ms(&self, share: f64) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits.get((waits.len() as f64 * share) as usize).copied().unwrap_or(0)
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let loads = f64::from(self.loads) / self.seconds;
        write!(f, "loaded={:.3} requests={} ", 1.0 - self.missing(), self.requests)?;
        write!(f, "refused={} loads_per_s={loads:.2} idle={} ", self.refused, self.idle_loads)?;
        write!(f, "idle_at_once={} from_store={} ", self.idle_at_once, self.store_loads)?;
        write!(f, "wait_p95_ms={} wait_p99_ms={} ", self.wait_ms(0.95), self.wait_ms(0.99))?;
        write!(f, "steps_ms={:.0} slowest_ms={:.1}", self.steps_ms, self.slowest_ms)
    }
}

#[derive(Debug, Clone)]
enum Event {
    Request,
    Tick(usize),
    Entry(usize, Box<EntryEvent>),
    LoadRequest(usize, usize, LoadRequest),
    Publish(usize),
    Advance(usize),
}

/// A load that an engine has accepted.
#[derive(Debug, Clone)]
struct Planned {
    request: LoadRequest,
    evictions: Vec<String>,
    /// When its current step ends; `None` while it waits for others.
    step_ends: Option<u64>,
}

#[derive(Debug, Default)]
struct Engine {
    models: BTreeMap<String, u64>,
    /// Models on disk, the latest used last.
    disk: Vec<String>,
    planned: Vec<Planned>,
    sequence: u64,
    rates: BTreeMap<String, (f64, u64)>,
    missed: BTreeMap<String, (f64, u64)>,
    running: u32,
}

pub(super) struct Replay {
    now: u64,
    rng: SmallRng,
    scale: Scale,
    config: Arc<ServingConfig>,
    entries: Vec<PoolEntry>,
    engines: Vec<Engine>,
    events: BTreeMap<u64, Event>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    next_event: u64,
    next_id: u64,
    /// When each waiting request for a rare model arrived, and whether it counts.
    waiting: BTreeMap<RequestId, u64>,
    warm_up: u64,
    outcome: Outcome,
}

fn name(index: usize) -> String {
    format!("m{index:03}")
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

fn decayed(rate: Option<&(f64, u64)>, now: u64) -> f64 {
    rate.map_or(0.0, |(count, at)| count * (-((now - at) as f64) / RATE_MS).exp())
}

fn count(rates: &mut BTreeMap<String, (f64, u64)>, model: &str, now: u64) {
    let count = decayed(rates.get(model), now) + 1.0;
    rates.insert(model.to_owned(), (count, now));
}

impl Replay {
    /// Engines that have loaded models in a random order, each as long as it fits somewhere, and a random
    /// selection of the others on their disks. `planned` turns the plan on.
    pub(super) fn new(scale: Scale, seed: u64, entries: usize, planned: bool) -> Replay {
        let mut rng = SmallRng::seed_from_u64(seed);
        let models = scale.models(&mut rng);
        let disks = scale.engines(&models, &mut rng);
        let mut config = (*config(1)).clone();
        let spec = |(index, model): (usize, &citronrill_pool::PlanModel)| ModelSpec {
            name: name(index),
            weights_mb: model.weights_mb,
            adapter_mb: model.adapters_mb / 2.0,
            store_ms: model.store_ms,
            disk_ms: model.disk_ms,
            memory_ms: model.memory_ms,
        };
        config.services[0].engine = Some(EngineSpec {
            slots: 64,
            weights_mb: WEIGHTS_MB,
            adapter_limit: 2,
            loads_per_s: 2.0,
            models: models.iter().enumerate().map(spec).collect(),
            ..EngineSpec::default()
        });
        let engine = |disk: &citronrill_pool::PlanEndpoint| Engine {
            disk: disk.on_disk.iter().map(|model| name(usize::from(*model))).collect(),
            sequence: 1,
            ..Engine::default()
        };
        let mut replay = Replay {
            now: 1_000,
            engines: disks.iter().map(engine).collect(),
            entries: Vec::new(),
            config: Arc::new(config),
            rng,
            scale,
            events: BTreeMap::new(),
            heap: BinaryHeap::new(),
            next_event: 0,
            next_id: 1,
            waiting: BTreeMap::new(),
            warm_up: 0,
            outcome: Outcome::default(),
        };
        replay.load_at_random(&models);
        replay.start(seed, entries, planned);
        replay
    }

    fn load_at_random(&mut self, models: &[citronrill_pool::PlanModel]) {
        for (index, model) in models.iter().enumerate() {
            for _ in 0..model.replicas {
                let first = self.rng.random_range(0..self.engines.len());
                let count = self.engines.len();
                let order = (0..count).map(|offset| (first + offset) % count);
                let fits = |at: &usize| {
                    let engine = &self.engines[*at];
                    let used = engine.models.keys().map(|model| self.size(model)).sum::<f64>();
                    !engine.models.contains_key(&name(index))
                        && used + model.weights_mb + model.adapters_mb <= WEIGHTS_MB
                };
                let Some(at) = order.into_iter().find(fits) else { continue };
                self.engines[at].models.insert(name(index), 0);
                self.keep_on_disk(at, &name(index));
            }
        }
    }

    fn start(&mut self, seed: u64, entries: usize, planned: bool) {
        for entry in 0..entries {
            let seed = seed.wrapping_mul(7_919).wrapping_add(entry as u64 * 104_729);
            self.entries.push(PoolEntry::new(EntryProfile {
                seed,
                contended: planned,
                ..profile()
            }));
            let member = |index: usize| Member {
                instance: format!("i{index:02}"),
                started: None,
                service: ENGINE.to_owned(),
                address: address(index as u8),
                zone: "a".to_owned(),
                software: "v1".to_owned(),
                slots: 64,
                leaving: false,
                models: Vec::new(),
                in_memory: Vec::new(),
                on_disk: Vec::new(),
            };
            let rows = (0..self.engines.len()).map(member);
            let rows = rows.map(|member| (member.instance.clone(), Some(member))).collect();
            let change = MemberChange { complete: true, version: first_era(1), rows };
            let config = self.config.clone();
            self.step(entry, EntryEvent::Config(config));
            self.step(entry, EntryEvent::ConfigCurrent(true));
            self.step(entry, EntryEvent::Members(change));
            let first = self.now + entry as u64 * 5;
            self.schedule(first, Event::Tick(entry));
        }
        for engine in 0..self.engines.len() {
            self.schedule(self.now + engine as u64, Event::Publish(engine));
        }
    }

    /// Runs the load; only requests after `warm_up` seconds count.
    pub(super) fn run(mut self, warm_up: u64, seconds: u64, rare_per_s: f64) -> Outcome {
        self.warm_up = self.now + warm_up * 1_000;
        let end = self.now + seconds * 1_000;
        let per_s = rare_per_s + self.scale.busy_per_s * self.scale.busy as f64;
        let rare_share = rare_per_s / per_s;
        let mut at = (self.now + 100) as f64;
        while at < end as f64 {
            self.schedule(at as u64, Event::Request);
            at += -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_s;
        }
        while let Some(Reverse((at, id))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.handle(event, rare_share);
        }
        self.outcome.seconds = (seconds - warm_up) as f64;
        self.outcome
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.heap.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event, rare_share: f64) {
        match event {
            Event::Request => {
                let rare = self.rng.random_bool(rare_share);
                self.request(rare);
            }
            Event::Tick(entry) => {
                self.step(entry, EntryEvent::Tick);
                self.schedule(self.now + TICK_MS, Event::Tick(entry));
            }
            Event::Entry(entry, event) => self.step(entry, *event),
            Event::LoadRequest(entry, engine, request) => self.plan_load(entry, engine, request),
            Event::Publish(engine) => {
                self.publish(engine);
                self.schedule(self.now + REPORT_MS, Event::Publish(engine));
            }
            Event::Advance(engine) => self.advance(engine),
        }
    }

    fn request(&mut self, rare: bool) {
        let model = if rare {
            self.rng.random_range(self.scale.busy..self.scale.busy + self.scale.rare)
        } else {
            self.rng.random_range(0..self.scale.busy)
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let id = RequestId(self.next_id);
        self.next_id += 1;
        if rare && self.now >= self.warm_up {
            self.outcome.requests += 1;
            self.waiting.insert(id, self.now);
            let name = name(model);
            let holds = |engine: &Engine| {
                let mut leaving = engine.planned.iter().flat_map(|planned| &planned.evictions);
                engine.models.contains_key(&name) && leaving.all(|out| *out != name)
            };
            let found = self.engines.iter().any(holds);
            self.outcome.loaded += u32::from(found);
        }
        let arrival = arrival(id.0, "/draft/x", &name(model));
        self.step(entry, EntryEvent::RequestArrived(arrival));
    }

    fn step(&mut self, entry: usize, event: EntryEvent) {
        let begun = std::time::Instant::now();
        let effects = self.entries[entry].step(Millis(self.now), event);
        let took = begun.elapsed().as_secs_f64() * 1_000.0;
        self.outcome.steps_ms += took;
        self.outcome.slowest_ms = self.outcome.slowest_ms.max(took);
        for effect in effects {
            self.carry_out(entry, effect);
        }
    }

    fn carry_out(&mut self, entry: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Dispatch(id, dispatch) => {
                if let Some(arrived) = self.waiting.remove(&id) {
                    let waited = self.now - arrived;
                    self.outcome.waits.push(waited);
                }
                let engine = &mut self.engines[index(dispatch.address)];
                engine.running += 1;
                let head = EntryEvent::ResponseHead(id, dispatch.number, ok());
                self.schedule(self.now + 50, Event::Entry(entry, Box::new(head)));
                let ended = EntryEvent::ResponseEnded(id, ResponseEnd::Complete);
                self.schedule(self.now + RUN_MS, Event::Entry(entry, Box::new(ended)));
            }
            EntryEffect::Refuse(id, _) => {
                self.outcome.refused += u32::from(self.waiting.remove(&id).is_some());
            }
            EntryEffect::LoadRequest(at, request) => {
                let event = Event::LoadRequest(entry, index(at), request);
                self.schedule(self.now + HOP_MS, event);
            }
            EntryEffect::ReportUsage(at, report) => {
                let engine = &mut self.engines[index(at)];
                let rates = if report.missed { &mut engine.missed } else { &mut engine.rates };
                count(rates, &report.model, self.now);
            }
            EntryEffect::Probe(at) => {
                self.schedule(
                    self.now + HOP_MS,
                    Event::Entry(entry, Box::new(EntryEvent::ProbeReply(at))),
                );
            }
            _ => {}
        }
    }

    fn size(&self, model: &str) -> f64 {
        let engine = self.config.services[0].engine.as_ref();
        engine.and_then(|engine| engine.model(model)).map_or(0.0, |spec| spec.weights_mb)
    }

    /// Accepts a load request if room can be made, as a side does.
    fn plan_load(&mut self, entry: usize, at: usize, request: LoadRequest) {
        let engine = &self.engines[at];
        let known = engine.models.contains_key(&request.model)
            || engine.planned.iter().any(|planned| planned.request.model == request.model);
        if known {
            return;
        }
        let leaving = engine.planned.iter().flat_map(|planned| planned.evictions.clone());
        let leaving = leaving.collect::<Vec<_>>();
        let coming = engine.planned.iter().map(|planned| self.size(&planned.request.model));
        let held = engine.models.keys().map(|model| self.size(model)).sum::<f64>();
        let freed = leaving.iter().map(|model| self.size(model)).sum::<f64>();
        let mut free = WEIGHTS_MB - 200.0 - held - coming.sum::<f64>() + freed;
        let mut evictions = Vec::new();
        let mut candidates = request.eviction_candidates.iter().filter(|model| {
            let loaded = engine.models.get(*model);
            loaded.is_some_and(|at| self.now - at >= PINNED_MS) && !leaving.contains(model)
        });
        while free < self.size(&request.model) {
            let Some(model) = candidates.next() else {
                let name = ModelName { model: request.model, adapter: String::new() };
                let decline = EntryEvent::LoadDeclined(address(at as u8), name);
                self.schedule(self.now + HOP_MS, Event::Entry(entry, Box::new(decline)));
                return;
            };
            free += self.size(model);
            evictions.push(model.clone());
        }
        if self.now >= self.warm_up {
            self.outcome.loads += 1;
            self.outcome.idle_loads += u32::from(request.waiting == 0);
            let from_store = !engine.disk.contains(&request.model);
            self.outcome.store_loads += u32::from(from_store);
        }
        self.engines[at].planned.push(Planned { request, evictions, step_ends: None });
        let planned = self.engines.iter().flat_map(|engine| &engine.planned);
        let idle = planned.filter(|planned| planned.request.waiting == 0).count();
        self.outcome.idle_at_once = self.outcome.idle_at_once.max(idle);
        self.advance(at);
        self.publish(at);
    }

    /// Ends the step of the first load that is due, and begins the next one.
    fn advance(&mut self, at: usize) {
        let now = self.now;
        let engine = &mut self.engines[at];
        let Some(first) = engine.planned.first_mut() else { return };
        if let Some(ends) = first.step_ends {
            if ends > now {
                return;
            }
            engine.sequence += 1;
            first.step_ends = None;
            if first.evictions.is_empty() {
                let model = first.request.model.clone();
                engine.planned.remove(0);
                engine.models.insert(model.clone(), now);
                self.keep_on_disk(at, &model);
            } else {
                let model = first.evictions.remove(0);
                engine.models.remove(&model);
                engine.rates.remove(&model);
            }
            self.publish(at);
        }
        let engine = &mut self.engines[at];
        let Some(first) = engine.planned.first_mut() else { return };
        let step_ms = if !first.evictions.is_empty() {
            UNLOAD_MS
        } else if engine.disk.contains(&first.request.model) {
            520
        } else {
            13_200
        };
        first.step_ends = Some(now + step_ms);
        self.schedule(now + step_ms, Event::Advance(at));
    }

    /// Writes a model to an engine's disk; the one used least recently that is not loaded gives way.
    fn keep_on_disk(&mut self, at: usize, model: &str) {
        let disk_mb = self.scale.disk_mb;
        let mut disk = std::mem::take(&mut self.engines[at].disk);
        disk.retain(|kept| kept != model);
        disk.push(model.to_owned());
        let used = |disk: &[String]| disk.iter().map(|model| self.size(model)).sum::<f64>();
        while used(&disk) > disk_mb {
            let loaded = &self.engines[at].models;
            let Some(out) = disk.iter().position(|kept| !loaded.contains_key(kept)) else { break };
            disk.remove(out);
        }
        self.engines[at].disk = disk;
    }

    fn publish(&mut self, at: usize) {
        let (now, engine) = (self.now, &self.engines[at]);
        let rate = |rates: &BTreeMap<String, (f64, u64)>, model: &str| {
            (decayed(rates.get(model), now) * 1_000.0 / RATE_MS * 1_000.0) as u32
        };
        let model = |(name, loaded): (&String, &u64)| ModelState {
            name: name.clone(),
            rate_milli: rate(&engine.rates, name),
            pinned: now - loaded < PINNED_MS && *loaded > 0,
            ..ModelState::default()
        };
        let step_ms = |planned: &Planned| {
            let cached = engine.disk.contains(&planned.request.model);
            let load_ms = if cached { 520 } else { 13_200 };
            planned.evictions.len() as u64 * UNLOAD_MS + load_ms
        };
        let store = |planned: &&Planned| !engine.disk.contains(&planned.request.model);
        let missed = engine
            .missed
            .keys()
            .map(|name| ModelRate { name: name.clone(), rate_milli: rate(&engine.missed, name) });
        let state = SideState {
            sequence: engine.sequence,
            models: engine.models.iter().map(model).collect(),
            on_disk: engine.disk.clone(),
            loading: engine.planned.iter().map(|planned| planned.request.model.clone()).collect(),
            evicting: engine.planned.iter().flat_map(|planned| planned.evictions.clone()).collect(),
            entries: self.entries.len() as u32,
            known_entries: self.entries.len() as u32,
            healthy: true,
            load_eta_ms: engine.planned.iter().map(step_ms).sum(),
            store_loads: engine.planned.iter().filter(store).count() as u32,
            service: ENGINE.to_owned(),
            instance: format!("i{at:02}"),
            missed: missed.collect(),
            ..SideState::default()
        };
        for entry in 0..self.entries.len() {
            let report = EntryEvent::SideReport(address(at as u8), state.clone());
            self.schedule(now + HOP_MS, Event::Entry(entry, Box::new(report)));
        }
    }
}
