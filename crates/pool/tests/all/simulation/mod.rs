//! Simulation of a whole pool on virtual time: entries, sides and engines.
//!
//! The engines are a simple model: slots, a queue, one order at a time, and loads that slow down
//! when the weight store serves too many. An oracle checks every run, order and response.

mod engines;
mod poison;
mod stall;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    ops::Range,
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EndpointCheck, EntryEffect, EntryEvent, EntryLink, EntryProfile, HeldModel, Member,
    MemberChange, Order, PoolEntry, PoolSide, RequestDigest, RequestId, ResponseEnd, ServingConfig,
    SideEffect, SideEvent,
};
use citronrill_wire::{StoreLoadKind, StoreLoadMessage, SuspectRecord};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{
    engines::{Engine, RUN_MS, Run},
    poison::Poisons,
    stall::Stalls,
};
pub(crate) use self::{
    poison::{Poison, PoisonCause, PoisonStats, Process},
    stall::{Stall, StallStats},
};
use crate::support::{ENGINE, address, arrival, config, first_era, model, profile};

const SLOTS: usize = 24;
const WEIGHTS_MB: f64 = 60_000.0;
/// Latency of a message between two processes, in milliseconds.
const HOP_MS: u64 = 1;
const CHAT_TARGET_MS: u64 = 500;
/// Share of the requests that arrive at the entry that gets most of them.
const SKEWED_SHARE: f64 = 0.9;
const DRAFT_TARGET_MS: u64 = 2_500;

/// Injected faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Crashes per second, over all engines.
    crashes: f64,
    /// Share of orders whose answer is lost; half of them are carried out late.
    lost_orders: f64,
    /// Share of the sides' state messages that are lost.
    lost_states: f64,
    /// Share of attempts whose connection breaks after the run has started.
    broken: f64,
}

impl Faults {
    pub(crate) fn none() -> Faults {
        Faults { crashes: 0.0, lost_orders: 0.0, lost_states: 0.0, broken: 0.0 }
    }

    /// Engine crashes at this rate, and no other faults.
    pub(crate) fn crashes(crashes: f64) -> Faults {
        Faults { crashes, ..Faults::none() }
    }

    pub(crate) fn some() -> Faults {
        Faults { crashes: 0.4, lost_orders: 0.2, lost_states: 0.05, broken: 0.02 }
    }
}

/// Load offered by callers.
pub(crate) struct Load {
    pub(crate) busy_per_s: f64,
    pub(crate) rare_per_s: f64,
    pub(crate) rare_models: usize,
    pub(crate) seconds: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub(crate) busy_requests: u32,
    pub(crate) busy_served: u32,
    pub(crate) busy_in_time: u32,
    pub(crate) rare_requests: u32,
    pub(crate) rare_in_time: u32,
    pub(crate) refused: u32,
    pub(crate) expired: u32,
    /// Responses that were cut after they had begun.
    pub(crate) cut: u32,
    /// Runs that resumed from a copy of their KV cache.
    pub(crate) resumed_from_copy: u32,
    /// Steps of all state machines.
    pub(crate) steps: u64,
    /// Effects of a stalled instance.
    pub(crate) stalled: StallStats,
    /// Effects of poison requests.
    pub(crate) poison: PoisonStats,
    /// Violated invariants.
    pub(crate) violations: Vec<String>,
}

impl Stats {
    pub(crate) fn busy_share(&self) -> f64 {
        f64::from(self.busy_in_time) / f64::from(self.busy_requests.max(1))
    }

    pub(crate) fn rare_share(&self) -> f64 {
        f64::from(self.rare_in_time) / f64::from(self.rare_requests.max(1))
    }
}

struct Caller {
    busy: bool,
    run_once: bool,
    arrived: u64,
    deadline: u64,
    runs: u32,
    first_token: Option<u64>,
    done: bool,
    /// The engines its request was dispatched to.
    engines_used: Vec<usize>,
}

#[derive(Debug, Clone)]
enum SimEvent {
    RequestArrives(bool),
    RequestRepeats(RequestDigest, String, bool),
    PoisonArrives(usize, u64),
    Poisoned(usize, u32, usize),
    RestartProcess(Process),
    EntryInput(usize, Box<EntryEvent>),
    SideInput(usize, SideEvent),
    RequestReceived(usize, Run, String),
    FirstToken(usize, u32, RequestId, u32),
    RunEnds(usize, u32, RequestId, u32),
    OrderReceived(usize, Order, bool),
    OrderDone(usize, u32, Order),
    ProbeReceived(usize, usize),
    EndpointCheck(usize, usize),
    RunCancelled(usize, usize, RequestId),
    CallerLeaves(usize, RequestId),
    Stall(u64),
    Tick,
    MemberList,
    Crash,
    Restart(usize),
    PowerLoss,
}

impl SimEvent {
    fn entry_input(entry: usize, event: EntryEvent) -> SimEvent {
        SimEvent::EntryInput(entry, Box::new(event))
    }
}

pub(crate) struct Simulation {
    now: u64,
    rng: SmallRng,
    faults: Faults,
    config: Arc<ServingConfig>,
    profile: EntryProfile,
    /// Quarantined requests in the platform store.
    stored: Vec<SuspectRecord>,
    /// When the last request of the load arrives.
    load_ends: u64,
    entries: Vec<PoolEntry>,
    sides: Vec<PoolSide>,
    engines: Vec<Engine>,
    callers: BTreeMap<(usize, RequestId), Caller>,
    models: BTreeMap<(usize, RequestId), String>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next_id: u64,
    list_version: u64,
    stats: Stats,
    /// Duration of a run, in milliseconds.
    pub(crate) run_ms: u64,
    stall: Option<Stall>,
    stalls: Stalls,
    poisons: Poisons,
    /// Entries at which most requests arrive for some time.
    skews: Vec<(usize, Range<u64>)>,
}

fn rare(index: usize) -> String {
    format!("r{index}")
}

impl Simulation {
    pub(crate) fn new(seed: u64, engines: usize, entries: usize, faults: Faults) -> Simulation {
        let mut config = (*config(1)).clone();
        if let Some(engine) = &mut config.services[0].engine {
            engine.models = (0..80).map(|index| model(&rare(index), WEIGHTS_MB)).collect();
            engine.models.push(model("busy", WEIGHTS_MB));
        }
        config.routes[1].target_ms = DRAFT_TARGET_MS;
        config.routes[1].timeout_ms = 15_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let engine = |index: usize, rng: &mut SmallRng| {
            let mut disk = (0..20).map(|_| rare(rng.random_range(0..80))).collect::<BTreeSet<_>>();
            disk.extend((0..80).filter(|number| number % engines == index).map(rare));
            disk.insert("busy".to_owned());
            let models = BTreeSet::from(["busy".to_owned(), rare(index)]);
            Engine {
                incarnation: 0,
                unique_names: true,
                up: true,
                models: if index < 3 { models } else { BTreeSet::from([rare(index)]) },
                disk,
                sequence: 0,
                order: None,
                remote_load: false,
                runs: Vec::new(),
                queue: Vec::new(),
                copies: BTreeSet::new(),
            }
        };
        let profile = EntryProfile { learn_ms: 300, ..profile() };
        Simulation {
            now: 0,
            faults,
            config: Arc::new(config),
            entries: (0..entries)
                .map(|entry| EntryProfile { seed: entry as u64 * 7_919, ..profile.clone() })
                .map(PoolEntry::new)
                .collect(),
            profile,
            stored: Vec::new(),
            load_ends: 0,
            sides: (0..engines).map(|_| PoolSide::new(ENGINE)).collect(),
            engines: (0..engines).map(|index| engine(index, &mut rng)).collect(),
            callers: BTreeMap::new(),
            models: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            list_version: 0,
            stats: Stats::default(),
            run_ms: RUN_MS,
            stall: None,
            stalls: Stalls::new(),
            poisons: Poisons::default(),
            skews: Vec::new(),
            rng,
        }
    }

    /// Makes engines restart under the same name.
    pub(crate) fn keep_names(&mut self) {
        self.engines.iter_mut().for_each(|engine| engine.unique_names = false);
    }

    /// Makes all engines lose memory, cached weights and runs at `ms`.
    pub(crate) fn power_loss_at(&mut self, ms: u64) {
        self.schedule(ms, SimEvent::PowerLoss);
    }

    /// Runs `load`, and 16 seconds more for requests in progress.
    pub(crate) fn run(mut self, load: &Load) -> Stats {
        let start = 2_000;
        self.load_ends = start + load.seconds * 1_000;
        for entry in 0..self.entries.len() {
            self.schedule(0, SimEvent::entry_input(entry, EntryEvent::Config(self.config.clone())));
        }
        for side in 0..self.sides.len() {
            self.schedule(0, SimEvent::SideInput(side, SideEvent::Config(self.config.clone())));
            let entries = self.entries.len() as u32;
            self.schedule(0, SimEvent::SideInput(side, SideEvent::EntryCount(entries)));
        }
        self.schedule(1, SimEvent::MemberList);
        self.schedule(2, SimEvent::Tick);
        for (per_s, busy) in [(load.busy_per_s, true), (load.rare_per_s, false)] {
            let mut at = start as f64;
            while per_s > 0.0 && at < (start + load.seconds * 1_000) as f64 {
                at += -self.rng.random_range(0.001_f64..1.0).ln() * 1_000.0 / per_s;
                self.schedule(at as u64, SimEvent::RequestArrives(busy));
            }
        }
        let crashes = self.faults.crashes * load.seconds as f64;
        for _ in 0..crashes as u32 {
            let at = start + self.rng.random_range(0..load.seconds * 1_000);
            self.schedule(at, SimEvent::Crash);
        }
        let end = start + load.seconds * 1_000 + 16_000;
        while let Some(Reverse((at, number))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number);
            if let Some(event) = event {
                self.handle(event, load);
            }
        }
        self.record_begun();
        let open = self.callers.values().filter(|caller| !caller.done).count();
        if open > 0 {
            self.stats.violations.push(format!("{open} requests did not end"));
        }
        self.stats
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.next_id += 1;
        self.heap.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn after_hop(&mut self, event: SimEvent) {
        self.schedule(self.now + HOP_MS, event);
    }

    fn record_violation(&mut self, violation: String) {
        self.stats.violations.push(format!("{} ms: {violation}", self.now));
    }

    fn handle(&mut self, event: SimEvent, load: &Load) {
        if let Some(stalled_until) = event.engine().and_then(|index| self.stalled_until(index)) {
            self.schedule(stalled_until, event);
            return;
        }
        match event {
            SimEvent::RequestArrives(busy) => self.arrive(busy, load),
            SimEvent::RequestRepeats(digest, model, busy) => {
                self.request_repeats(digest, &model, busy)
            }
            SimEvent::RestartProcess(process) => self.restart_process(process),
            SimEvent::PoisonArrives(index, attempt) => self.poison_arrives(index, attempt),
            SimEvent::Poisoned(engine, incarnation, cause) => {
                self.poison_engine(engine, incarnation, cause)
            }
            SimEvent::EntryInput(entry, event) => self.step_entry(entry, *event),
            SimEvent::SideInput(side, event) => self.step_side(side, event),
            SimEvent::RequestReceived(engine, run, instance) => {
                self.receive_request(engine, run, &instance)
            }
            SimEvent::FirstToken(engine, incarnation, id, number) => {
                self.first_token(engine, incarnation, id, number)
            }
            SimEvent::RunEnds(engine, incarnation, id, number) => {
                self.end_run(engine, incarnation, id, number)
            }
            SimEvent::OrderReceived(engine, order, late) => self.receive_order(engine, order, late),
            SimEvent::OrderDone(engine, incarnation, order) => {
                self.finish_order(engine, incarnation, &order)
            }
            SimEvent::ProbeReceived(side, entry) => {
                let reply = EntryEvent::ProbeReply(address(side as u8));
                self.after_hop(SimEvent::entry_input(entry, reply));
            }
            SimEvent::EndpointCheck(engine, entry) => {
                let up = self.engines[engine].up;
                let check = if up { EndpointCheck::Accepted } else { EndpointCheck::Refused };
                let event = EntryEvent::EndpointChecked(address(engine as u8), check);
                self.after_hop(SimEvent::entry_input(entry, event));
            }
            SimEvent::RunCancelled(engine, entry, id) => self.cancel_run(engine, entry, id),
            SimEvent::CallerLeaves(entry, id) => self.caller_leaves(entry, id),
            SimEvent::Stall(duration_ms) => self.stall_engine(duration_ms),
            SimEvent::Tick => self.tick(),
            SimEvent::MemberList => self.send_member_list(),
            SimEvent::Crash => self.crash(),
            SimEvent::Restart(engine) => {
                self.engines[engine].up = true;
                self.engines[engine].incarnation += 1;
            }
            SimEvent::PowerLoss => {
                for engine in 0..self.engines.len() {
                    self.stop(engine);
                    self.engines[engine].disk.clear();
                    self.schedule(self.now + 1_000, SimEvent::Restart(engine));
                }
            }
        }
    }

    /// Has most requests that arrive from `from` to `to`, in milliseconds, arrive at one entry.
    pub(crate) fn add_skew(&mut self, entry: usize, from: u64, to: u64) {
        self.skews.push((entry, from..to));
    }

    /// Returns the entry at which the next request arrives.
    fn pick_entry(&mut self) -> usize {
        let skew = self.skews.iter().find(|(_, span)| span.contains(&self.now));
        let preferred = skew.map(|(entry, _)| *entry);
        match preferred.filter(|_| self.rng.random_bool(SKEWED_SHARE)) {
            Some(entry) => entry,
            None => self.rng.random_range(0..self.entries.len()),
        }
    }

    fn arrive(&mut self, busy: bool, load: &Load) {
        let entry = self.pick_entry();
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let model =
            if busy { "busy".to_owned() } else { rare(self.rng.random_range(0..load.rare_models)) };
        let path = if busy { "/chat/x" } else { "/draft/x" };
        if busy {
            self.stats.busy_requests += 1;
        } else {
            self.stats.rare_requests += 1;
        }
        self.send_request(entry, id, RequestDigest(u128::from(id.0)), path, &model);
    }

    /// Sends a request to an entry.
    fn send_request(
        &mut self,
        entry: usize,
        id: RequestId,
        digest: RequestDigest,
        path: &str,
        model: &str,
    ) {
        let busy = path == "/chat/x";
        let limit = if busy { 5_000 } else { 15_000 };
        self.record_digest(entry, id, digest);
        self.callers.insert((entry, id), Caller::new(busy, self.now, limit));
        self.schedule_leave(entry, id);
        self.models.insert((entry, id), model.to_owned());
        let arrival = Arrival {
            digest,
            deadline_ms: Some(limit),
            shared_parts: self.shared_parts(digest, path),
            ..arrival(id.0, path, model)
        };
        self.step_entry(entry, EntryEvent::RequestArrived(arrival));
    }

    fn step_entry(&mut self, entry: usize, event: EntryEvent) {
        if let EntryEvent::ResponseEnded(id, end) = &event {
            self.record_end(entry, *id, *end == ResponseEnd::Complete);
        }
        self.stats.steps += 1;
        let effects = self.entries[entry].step(Millis(self.now), event);
        for effect in effects {
            self.apply_effect(entry, effect);
        }
    }

    fn apply_effect(&mut self, entry: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Dispatch(id, dispatch) => {
                self.cancel(entry, id);
                let engine = self.engine_at(dispatch.address);
                self.record_dispatch(entry, id, engine);
                let model = self.models[&(entry, id)].clone();
                let number = dispatch.number;
                let backup = dispatch.backup.map(|helper| self.engine_at(helper));
                let copy = dispatch.resume.is_some_and(|resume| resume.copy);
                let run =
                    Run { entry, id, number, model, ends_at: 0, has_output: false, backup, copy };
                let received = SimEvent::RequestReceived(engine, run, dispatch.instance);
                self.after_hop(received);
            }
            EntryEffect::Refuse(id, refusal) => {
                self.cancel(entry, id);
                let status = refusal.reason.status();
                self.repeat_failed(entry, id, refusal.reason.as_str() == "quarantined");
                let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
                let (twice, runs) = (caller.done, caller.runs);
                caller.done = true;
                let late = self.now > caller.deadline + 100;
                self.stats.refused += 1;
                if refusal.reason == citronrill_pool::Reason::Expired {
                    self.stats.expired += 1;
                }
                if status == 503 && runs > 0 {
                    self.record_violation(format!("{id:?} ran, but was refused as not run"));
                }
                if twice || late {
                    self.record_violation(format!("{id:?} ended twice ({twice}) or late ({late})"));
                }
            }
            EntryEffect::Finish(id) => self.record_end(entry, id, true),
            EntryEffect::Abort(id) => {
                self.cancel(entry, id);
                self.repeat_failed(entry, id, false);
                self.stats.cut += 1;
                if let Some(caller) = self.callers.get_mut(&(entry, id)) {
                    caller.done = true;
                }
            }
            EntryEffect::LoadRequest(address, load_request) => {
                let side = self.engine_at(address);
                let link = EntryLink(entry as u64);
                self.after_hop(SimEvent::SideInput(
                    side,
                    SideEvent::LoadRequest(link, load_request),
                ));
            }
            EntryEffect::ReportUsage(address, used) => {
                let side = self.engine_at(address);
                self.after_hop(SimEvent::SideInput(side, SideEvent::Usage(used)));
            }
            EntryEffect::Probe(address) => {
                let side = self.engine_at(address);
                self.after_hop(SimEvent::ProbeReceived(side, entry));
            }
            EntryEffect::Suspects(address, message) => {
                let side = self.engine_at(address);
                let event = SideEvent::Suspects(EntryLink(entry as u64), message);
                self.after_hop(SimEvent::SideInput(side, event));
            }
            EntryEffect::Streams(address, message) => {
                let side = self.engine_at(address);
                let event = SideEvent::Streams(EntryLink(entry as u64), message);
                self.after_hop(SimEvent::SideInput(side, event));
            }
            EntryEffect::CreditReport(address, report) => {
                let side = self.engine_at(address);
                let event = SideEvent::CreditReport(EntryLink(entry as u64), report);
                self.after_hop(SimEvent::SideInput(side, event));
            }
            EntryEffect::StoreLoads(address, report) => {
                let side = self.engine_at(address);
                let message = StoreLoadMessage { kind: Some(StoreLoadKind::Report(report)) };
                let event = SideEvent::StoreLoads(EntryLink(entry as u64), message);
                self.after_hop(SimEvent::SideInput(side, event));
            }
            EntryEffect::Shares(address, message) => {
                let side = self.engine_at(address);
                let event = SideEvent::Shares(EntryLink(entry as u64), message);
                self.after_hop(SimEvent::SideInput(side, event));
            }
            EntryEffect::CheckEndpoint(address) => {
                let engine = self.engine_at(address);
                self.after_hop(SimEvent::EndpointCheck(engine, entry));
            }
            EntryEffect::SaveQuarantined(record) => self.stored.push(record),
            EntryEffect::Disconnect(id) => {
                self.cancel(entry, id);
                self.after_hop(SimEvent::entry_input(entry, EntryEvent::StreamBroken(id, Some(0))));
            }
            EntryEffect::Forward(_) | EntryEffect::ConnectSides(_) | EntryEffect::Log(_) => {}
        }
    }

    fn engine_at(&self, at: SocketAddr) -> usize {
        (0..self.engines.len()).find(|index| address(*index as u8) == at).unwrap()
    }

    /// Cancels earlier attempts of a request, whose connections the entry has closed.
    fn cancel(&mut self, entry: usize, id: RequestId) {
        for engine in 0..self.engines.len() {
            match self.stalled_until(engine) {
                Some(stalled_until) => {
                    self.schedule(stalled_until, SimEvent::RunCancelled(engine, entry, id))
                }
                None => self.cancel_run(engine, entry, id),
            }
        }
    }

    fn cancel_run(&mut self, engine: usize, entry: usize, id: RequestId) {
        let other = |run: &Run| run.entry != entry || run.id != id;
        self.engines[engine].runs.retain(other);
        self.engines[engine].queue.retain(other);
    }

    fn step_side(&mut self, side: usize, event: SideEvent) {
        self.stats.steps += 1;
        let effects = self.sides[side].step(Millis(self.now), event);
        for effect in effects {
            match effect {
                SideEffect::Poll => {
                    let report = self.report(side);
                    self.after_hop(SimEvent::SideInput(side, SideEvent::Report(report)));
                }
                SideEffect::QueryName(_) => {
                    if self.engines[side].up {
                        let name = self.engines[side].instance(side);
                        self.after_hop(SimEvent::SideInput(side, SideEvent::NameReported(name)));
                    }
                }
                SideEffect::Order(order) => self.send_order(side, order),
                SideEffect::Publish(state) => {
                    for entry in 0..self.entries.len() {
                        if !self.rng.random_bool(self.faults.lost_states) {
                            let event =
                                EntryEvent::SideReport(address(side as u8), (*state).clone());
                            self.after_hop(SimEvent::entry_input(entry, event));
                        }
                    }
                }
                SideEffect::Decline(link, name) => {
                    let event = EntryEvent::LoadDeclined(address(side as u8), name);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::Suspects(link, message) => {
                    let event = EntryEvent::Suspects(address(side as u8), message);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::Streams(link, message) => {
                    let event = EntryEvent::Streams(address(side as u8), message);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::Credit(link, reply) => {
                    let event = EntryEvent::Credit(address(side as u8), reply);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::StoreLoads(link, reply) => {
                    let message = StoreLoadMessage { kind: Some(StoreLoadKind::Reply(reply)) };
                    let event = EntryEvent::StoreLoads(address(side as u8), message);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::Shares(link, message) => {
                    let event = EntryEvent::Shares(address(side as u8), message);
                    self.after_hop(SimEvent::entry_input(link.0 as usize, event));
                }
                SideEffect::Log(_) => {}
            }
        }
    }

    fn record_end(&mut self, entry: usize, id: RequestId, complete: bool) {
        let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
        if caller.done {
            return;
        }
        caller.done = true;
        let target = if caller.busy { CHAT_TARGET_MS } else { DRAFT_TARGET_MS };
        let in_time = caller.first_token.is_some_and(|first| first <= caller.arrived + target);
        if complete && caller.busy {
            self.stats.busy_served += 1;
            self.stats.busy_in_time += u32::from(in_time);
        } else if complete {
            self.stats.rare_in_time += u32::from(in_time);
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            self.report_progress(entry);
            self.step_entry(entry, EntryEvent::Tick);
        }
        for side in (0..self.sides.len())
            .filter(|side| self.stalled_until(*side).is_none())
            .collect::<Vec<_>>()
        {
            self.step_side(side, SideEvent::Tick);
        }
        self.schedule(self.now + 20, SimEvent::Tick);
    }

    fn send_member_list(&mut self) {
        self.list_version += 1;
        let member = |index: usize, engine: &Engine| Member {
            instance: engine.instance(index),
            started: engine.start_time(),
            service: ENGINE.to_owned(),
            address: address(index as u8),
            zone: "a".to_owned(),
            software: "v1".to_owned(),
            slots: SLOTS as u32,
            leaving: false,
            models: engine
                .models
                .iter()
                .map(|name| HeldModel { name: name.clone(), adapters: Vec::new() })
                .collect(),
            in_memory: Vec::new(),
            on_disk: engine.disk.iter().cloned().collect(),
        };
        let engines = self.engines.iter().enumerate();
        let rows = engines.map(|(index, engine)| member(index, engine));
        let rows = rows.map(|member| (member.instance.clone(), Some(member))).collect::<Vec<_>>();
        for entry in 0..self.entries.len() {
            let change = MemberChange {
                complete: true,
                version: first_era(self.list_version),
                rows: rows.clone(),
            };
            let late = self.now + self.rng.random_range(5..300);
            self.schedule(late, SimEvent::entry_input(entry, EntryEvent::Members(change)));
        }
        self.schedule(self.now + 700, SimEvent::MemberList);
    }
}
