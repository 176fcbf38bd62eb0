//! A small fleet on virtual time: entries and sides exchange messages, and engines load models from a weight
//! store of a given capacity.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EngineReport, EntryEffect, EntryEvent, EntryLink, EntryProfile, HeldModel, Member,
    MemberChange, Order, OrderKind, OrderOutcome, PoolEntry, PoolSide, RequestId, ResponseEnd,
    ResponseHead, ServingConfig, SideEffect, SideEvent, SideLoss, StartTime,
};
use citronrill_wire::{StoreLoadKind, StoreLoadMessage};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{ENGINE, address, arrival, config, first_era, member, profile};

/// Milliseconds between two steps of the fleet.
const STEP_MS: u64 = 5;
/// Milliseconds between two ticks of entries and sides.
const TICK_MS: u64 = 20;
/// Milliseconds that a run takes.
const RUN_MS: u64 = 300;
const HOP_MS: u64 = 1;

/// A load from the weight store that an engine began.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Begun {
    pub(crate) at: u64,
    pub(crate) model: String,
    pub(crate) engine: usize,
    /// Loads at once, with this one.
    pub(crate) concurrent: usize,
}

struct EngineOrder {
    order: Order,
    /// Milliseconds of work left.
    left_ms: f64,
    from_store: bool,
}

struct TestEngine {
    started: u64,
    models: BTreeSet<String>,
    disk: BTreeSet<String>,
    sequence: u64,
    order: Option<EngineOrder>,
    /// Whether a load from the weight store never ends there.
    stuck: bool,
}

enum Message {
    Entry(usize, EntryEvent),
    Side(usize, SideEvent),
    Engine(usize, Order),
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    rng: SmallRng,
    config: Arc<ServingConfig>,
    entries: Vec<Option<PoolEntry>>,
    sides: Vec<Option<PoolSide>>,
    engines: Vec<TestEngine>,
    messages: BTreeMap<(u64, u64), Message>,
    last_message: u64,
    last_request: u64,
    models: BTreeMap<(usize, RequestId), String>,
    /// Requests a second for each model, over all entries.
    pub(crate) load: Vec<(String, f64)>,
    /// Loads that the weight store carries at full speed.
    pub(crate) capacity: f64,
    /// Share of the reports on store loads that are lost.
    pub(crate) report_loss: f64,
    /// Whether replies about store loads are lost.
    pub(crate) replies_lost: bool,
    /// Whether the entry that gets the next grant ends before it can use it.
    pub(crate) kill_grantee: bool,
    pub(crate) begun: Vec<Begun>,
    /// When each model was first loaded.
    pub(crate) ready: BTreeMap<String, u64>,
    pub(crate) first_refusal: BTreeMap<String, u64>,
    pub(crate) served: BTreeMap<String, u32>,
    pub(crate) refused: BTreeMap<String, u32>,
    /// Endpoints to whose sides reports on store loads went.
    pub(crate) queues: BTreeSet<usize>,
}

impl Fleet {
    /// Engines that hold `m0`, and neither hold nor cache any other model.
    pub(crate) fn new(entries: usize, engines: usize, contended: bool) -> Fleet {
        let profile = |index: usize| EntryProfile {
            seed: index as u64 * 7_919,
            contended,
            learn_ms: 0,
            ..profile()
        };
        let engine = || TestEngine {
            started: 1_790_000_000_000,
            models: BTreeSet::from(["m0".to_owned()]),
            disk: BTreeSet::from(["m0".to_owned()]),
            sequence: 0,
            order: None,
            stuck: false,
        };
        let mut fleet = Fleet {
            now: 1_000,
            rng: SmallRng::seed_from_u64(7),
            config: config(1),
            entries: (0..entries).map(|index| Some(PoolEntry::new(profile(index)))).collect(),
            sides: (0..engines).map(|_| Some(PoolSide::new(ENGINE))).collect(),
            engines: (0..engines).map(|_| engine()).collect(),
            messages: BTreeMap::new(),
            last_message: 0,
            last_request: 0,
            models: BTreeMap::new(),
            load: Vec::new(),
            capacity: 1.0,
            report_loss: 0.0,
            replies_lost: false,
            kill_grantee: false,
            begun: Vec::new(),
            ready: BTreeMap::new(),
            first_refusal: BTreeMap::new(),
            served: BTreeMap::new(),
            refused: BTreeMap::new(),
            queues: BTreeSet::new(),
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        for side in 0..self.sides.len() {
            self.start_side(side);
        }
        let rows = (0..self.engines.len()).map(|index| {
            let member = Member {
                started: Some(StartTime(self.engines[index].started)),
                on_disk: vec!["m0".to_owned()],
                ..member(index as u8, ENGINE, &["m0"])
            };
            (member.instance.clone(), Some(member))
        });
        let change = MemberChange { complete: true, version: first_era(1), rows: rows.collect() };
        for entry in 0..self.entries.len() {
            self.step_entry(entry, EntryEvent::Config(self.config.clone()));
            self.step_entry(entry, EntryEvent::ConfigCurrent(true));
            self.step_entry(entry, EntryEvent::Members(change.clone()));
        }
        self.run(2_000);
    }

    fn start_side(&mut self, side: usize) {
        self.step_side(side, SideEvent::Config(self.config.clone()));
        self.step_side(side, SideEvent::EntryCount(self.entries.len() as u32));
        for entry in 0..self.entries.len() {
            let ip = IpAddr::V4(Ipv4Addr::new(10, 1, 0, entry as u8));
            self.step_side(side, SideEvent::EntryConnected(EntryLink(entry as u64), ip));
        }
    }

    /// Ends a side, which stays down, or cuts it off from all entries.
    pub(crate) fn lose_side(&mut self, side: usize, loss: SideLoss) {
        self.sides[side] = None;
        for entry in 0..self.entries.len() {
            let lost = EntryEvent::SideLost(address(side as u8), loss);
            self.send(Message::Entry(entry, lost));
        }
    }

    /// Restarts an engine with an empty memory; its side runs on.
    pub(crate) fn restart_engine(&mut self, engine: usize) {
        let restarted = &mut self.engines[engine];
        restarted.started += 1_000;
        restarted.models.clear();
        restarted.order = None;
        restarted.sequence = 0;
    }

    /// Makes loads from the weight store at an engine never end.
    pub(crate) fn hang_loads(&mut self, engine: usize) {
        self.engines[engine].stuck = true;
    }

    pub(crate) fn mend_loads(&mut self) {
        self.engines.iter_mut().for_each(|engine| engine.stuck = false);
    }

    /// Puts a configuration without these models into force.
    pub(crate) fn drop_models(&mut self, dropped: &[&str]) {
        let mut config = (*self.config).clone();
        config.version += 1;
        for engine in config.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
            engine.models.retain(|model| !dropped.contains(&model.name.as_str()));
        }
        self.config = Arc::new(config);
        for entry in 0..self.entries.len() {
            self.step_entry(entry, EntryEvent::Config(self.config.clone()));
        }
        for side in 0..self.sides.len() {
            self.step_side(side, SideEvent::Config(self.config.clone()));
        }
    }

    /// Returns the endpoint whose side gets the reports on store loads.
    pub(crate) fn queue(&mut self) -> usize {
        self.queues.clear();
        self.run(1_000);
        let queues = self.queues.iter().copied().collect::<Vec<_>>();
        assert_eq!(queues.len(), 1, "all entries report to one side: {queues:?}");
        queues[0]
    }

    /// Returns the loads of a model that began before one of them was complete. Later ones are replicas.
    pub(crate) fn loads_of(&self, model: &str) -> Vec<&Begun> {
        let ready = self.ready.get(model).copied().unwrap_or(u64::MAX);
        self.begun.iter().filter(|begun| begun.model == model && begun.at < ready).collect()
    }

    /// Returns whether an engine holds the model.
    pub(crate) fn is_held(&self, model: &str) -> bool {
        self.engines.iter().any(|engine| engine.models.contains(model))
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            self.arrive();
            self.advance_loads();
            if self.now.is_multiple_of(TICK_MS) {
                (0..self.entries.len()).for_each(|entry| self.step_entry(entry, EntryEvent::Tick));
                (0..self.sides.len()).for_each(|side| self.step_side(side, SideEvent::Tick));
            }
        }
    }

    fn send(&mut self, message: Message) {
        self.send_after(HOP_MS, message);
    }

    fn send_after(&mut self, ms: u64, message: Message) {
        self.last_message += 1;
        self.messages.insert((self.now + ms, self.last_message), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) =
            self.messages.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            match entry.remove() {
                Message::Entry(entry, event) => self.step_entry(entry, event),
                Message::Side(side, event) => self.step_side(side, event),
                Message::Engine(engine, order) => self.receive_order(engine, order),
            }
        }
    }

    fn arrive(&mut self) {
        for (model, per_s) in self.load.clone() {
            let due = per_s * STEP_MS as f64 / 1_000.0;
            let count = due as u32 + u32::from(self.rng.random_bool(due.fract()));
            for _ in 0..count {
                let entry = self.rng.random_range(0..self.entries.len());
                self.request(entry, &model);
            }
        }
    }

    fn request(&mut self, entry: usize, model: &str) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.models.insert((entry, id), model.to_owned());
        let arrival = Arrival { deadline_ms: Some(5_000), ..arrival(id.0, "/draft/x", model) };
        self.step_entry(entry, EntryEvent::RequestArrived(arrival));
    }

    fn step_entry(&mut self, entry: usize, event: EntryEvent) {
        let granted = matches!(&event, EntryEvent::StoreLoads(_, StoreLoadMessage {
            kind: Some(StoreLoadKind::Reply(reply)),
        }) if !reply.grants.is_empty());
        if granted && std::mem::take(&mut self.kill_grantee) {
            self.kill_entry(entry);
        }
        let now = Millis(self.now);
        let Some(reducer) = &mut self.entries[entry] else { return };
        for effect in reducer.step(now, event) {
            self.apply_entry_effect(entry, effect);
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        self.entries[entry] = None;
        for side in 0..self.sides.len() {
            let lost = SideEvent::EntryLost(EntryLink(entry as u64), false);
            self.send(Message::Side(side, lost));
        }
    }

    fn apply_entry_effect(&mut self, entry: usize, effect: EntryEffect) {
        let link = EntryLink(entry as u64);
        match effect {
            EntryEffect::Dispatch(id, dispatch) => {
                let head = ResponseHead { status: 200, signed: true, ..ResponseHead::default() };
                let head = EntryEvent::ResponseHead(id, dispatch.number, head);
                self.send(Message::Entry(entry, head));
                let ended = EntryEvent::ResponseEnded(id, ResponseEnd::Complete);
                self.send_after(RUN_MS, Message::Entry(entry, ended));
            }
            EntryEffect::Refuse(id, _) => {
                let Some(model) = self.models.remove(&(entry, id)) else { return };
                self.first_refusal.entry(model.clone()).or_insert(self.now);
                *self.refused.entry(model).or_default() += 1;
            }
            EntryEffect::Finish(id) => {
                let Some(model) = self.models.remove(&(entry, id)) else { return };
                *self.served.entry(model).or_default() += 1;
            }
            EntryEffect::Forward(id) => {
                if let Some(model) = self.models.remove(&(entry, id)) {
                    *self.served.entry(model).or_default() += 1;
                }
            }
            EntryEffect::LoadRequest(at, request) => {
                self.send_to_side(at, SideEvent::LoadRequest(link, request));
            }
            EntryEffect::ReportUsage(at, usage) => self.send_to_side(at, SideEvent::Usage(usage)),
            EntryEffect::Suspects(at, message) => {
                self.send_to_side(at, SideEvent::Suspects(link, message));
            }
            EntryEffect::Streams(at, message) => {
                self.send_to_side(at, SideEvent::Streams(link, message));
            }
            EntryEffect::StoreLoads(at, report) => {
                self.queues.insert(engine_at(at));
                if !self.rng.random_bool(self.report_loss) {
                    let message = StoreLoadMessage { kind: Some(StoreLoadKind::Report(report)) };
                    self.send_to_side(at, SideEvent::StoreLoads(link, message));
                }
            }
            EntryEffect::Probe(at) if self.sides[engine_at(at)].is_some() => {
                self.send(Message::Entry(entry, EntryEvent::ProbeReply(at)));
            }
            _ => {}
        }
    }

    fn send_to_side(&mut self, at: SocketAddr, event: SideEvent) {
        self.send(Message::Side(engine_at(at), event));
    }

    fn step_side(&mut self, side: usize, event: SideEvent) {
        let now = Millis(self.now);
        let Some(reducer) = &mut self.sides[side] else { return };
        for effect in reducer.step(now, event) {
            self.apply_side_effect(side, effect);
        }
    }

    fn apply_side_effect(&mut self, side: usize, effect: SideEffect) {
        let at = address(side as u8);
        match effect {
            SideEffect::Poll => {
                let report = SideEvent::Report(Some(self.report(side)));
                self.send(Message::Side(side, report));
            }
            SideEffect::QueryName(_) => {
                let named = SideEvent::NameReported(format!("i{side}"));
                self.send(Message::Side(side, named));
            }
            SideEffect::Order(order) => self.send(Message::Engine(side, order)),
            SideEffect::Publish(state) => {
                for entry in 0..self.entries.len() {
                    let report = EntryEvent::SideReport(at, (*state).clone());
                    self.send(Message::Entry(entry, report));
                }
            }
            SideEffect::Decline(link, name) => {
                let declined = EntryEvent::LoadDeclined(at, name);
                self.send(Message::Entry(link.0 as usize, declined));
            }
            SideEffect::Suspects(link, message) => {
                let event = EntryEvent::Suspects(at, message);
                self.send(Message::Entry(link.0 as usize, event));
            }
            SideEffect::Streams(link, message) => {
                let event = EntryEvent::Streams(at, message);
                self.send(Message::Entry(link.0 as usize, event));
            }
            SideEffect::StoreLoads(link, reply) if !self.replies_lost => {
                let message = StoreLoadMessage { kind: Some(StoreLoadKind::Reply(reply)) };
                let event = EntryEvent::StoreLoads(at, message);
                self.send(Message::Entry(link.0 as usize, event));
            }
            _ => {}
        }
    }

    fn report(&self, index: usize) -> EngineReport {
        let engine = &self.engines[index];
        let model = |name: &String| HeldModel { name: name.clone(), adapters: Vec::new() };
        EngineReport {
            started: Some(StartTime(engine.started)),
            models: engine.models.iter().map(model).collect(),
            busy: engine.order.is_some(),
            sequence: engine.sequence,
            on_disk: engine.disk.iter().cloned().collect(),
            ..EngineReport::default()
        }
    }

    fn receive_order(&mut self, index: usize, order: Order) {
        let (now, engine) = (self.now, &mut self.engines[index]);
        let accepted = engine.order.is_none() && engine.sequence == order.sequence;
        let outcome = if accepted { OrderOutcome::Accepted } else { OrderOutcome::Conflict };
        let answer = SideEvent::OrderAnswered(order.number, outcome, None);
        if accepted {
            engine.sequence += 1;
            let cached = engine.disk.contains(&order.model);
            let from_store = order.kind == OrderKind::Load && !cached;
            let spec = self.config.services[0].engine.as_ref().unwrap().model(&order.model);
            let (store_ms, disk_ms) = spec.map_or((0, 0), |spec| (spec.store_ms, spec.disk_ms));
            let left_ms = match order.kind {
                OrderKind::Unload => 50,
                OrderKind::Load if cached => disk_ms,
                OrderKind::Load => store_ms,
            };
            let (model, left_ms) = (order.model.clone(), left_ms as f64);
            engine.order = Some(EngineOrder { order, left_ms, from_store });
            if from_store {
                let concurrent = self.store_loads();
                self.begun.push(Begun { at: now, model, engine: index, concurrent });
            }
        }
        self.send(Message::Side(index, answer));
    }

    fn store_loads(&self) -> usize {
        let orders = self.engines.iter().filter_map(|engine| engine.order.as_ref());
        orders.filter(|order| order.from_store).count()
    }

    fn advance_loads(&mut self) {
        let speed = (self.capacity / self.store_loads().max(1) as f64).min(1.0);
        let now = self.now;
        for engine in &mut self.engines {
            let stuck = engine.stuck;
            let Some(current) = &mut engine.order else { continue };
            if current.from_store && stuck {
                continue;
            }
            current.left_ms -= STEP_MS as f64 * if current.from_store { speed } else { 1.0 };
            if current.left_ms > 0.0 {
                continue;
            }
            let order = engine.order.take().unwrap().order;
            if order.kind == OrderKind::Load {
                self.ready.entry(order.model.clone()).or_insert(now);
                engine.models.insert(order.model.clone());
                engine.disk.insert(order.model);
            } else {
                engine.models.remove(&order.model);
            }
        }
    }
}

fn engine_at(at: SocketAddr) -> usize {
    let IpAddr::V4(ip) = at.ip() else { panic!("addresses are IPv4") };
    usize::from(ip.octets()[3])
}
