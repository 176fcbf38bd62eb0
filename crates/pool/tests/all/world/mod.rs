//! A whole pool on virtual time: entries, sides, and engines that behave as real ones do.
//!
//! The engines are a naive model: slots, a queue, one order at a time, loads that slow down when the
//! weight store has too many. An oracle looks at every run, order and answer.

mod engines;
mod standstill;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, EntryEffect, EntryEvent, EntryLink, EntryProfile, HeldModel, Member, MemberChange,
    Order, PoolEntry, PoolSide, RequestId, ServingText, SideEffect, SideEvent, TokenCount,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) use self::standstill::{Hung, Standstill};
use self::{
    engines::{Engine, RUN_MS, Run},
    standstill::Frozen,
};
use crate::support::{ENGINE, HOST, address, model, text};

const SLOTS: usize = 24;
const WEIGHTS_MB: f64 = 60_000.0;
/// Milliseconds of a message between two processes.
const HOP_MS: u64 = 1;
const CHAT_TARGET_MS: u64 = 500;
const DRAFT_TARGET_MS: u64 = 2_500;

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Crashes a second, over all engines.
    crashes: f64,
    /// Share of orders whose answer is lost, half of which are carried out late.
    lost_orders: f64,
    /// Share of sides' messages that are lost.
    lost_states: f64,
    /// Share of sendings whose connection breaks after the request was taken.
    broken: f64,
}

impl Faults {
    pub(crate) fn none() -> Faults {
        Faults { crashes: 0.0, lost_orders: 0.0, lost_states: 0.0, broken: 0.0 }
    }

    /// Engines crash one after the other, and nothing else goes wrong.
    pub(crate) fn crashes(crashes: f64) -> Faults {
        Faults { crashes, ..Faults::none() }
    }

    pub(crate) fn some() -> Faults {
        Faults { crashes: 0.4, lost_orders: 0.2, lost_states: 0.05, broken: 0.02 }
    }
}

/// What callers ask for.
pub(crate) struct Load {
    pub(crate) busy_per_s: f64,
    pub(crate) rare_per_s: f64,
    pub(crate) rare_models: usize,
    pub(crate) seconds: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    pub(crate) busy_asked: u32,
    pub(crate) busy_served: u32,
    pub(crate) busy_in_time: u32,
    pub(crate) rare_asked: u32,
    pub(crate) rare_in_time: u32,
    pub(crate) refused: u32,
    pub(crate) expired: u32,
    /// Answers that were broken off after their beginning.
    pub(crate) cut: u32,
    /// Runs that went on from a copy of their memory.
    pub(crate) copied: u32,
    /// Steps of reducers.
    pub(crate) steps: u64,
    /// What hung at an instance that stood still.
    pub(crate) hung: Hung,
    /// Promises that were broken.
    pub(crate) broken: Vec<String>,
}

impl Figures {
    pub(crate) fn busy_share(&self) -> f64 {
        f64::from(self.busy_in_time) / f64::from(self.busy_asked.max(1))
    }

    pub(crate) fn rare_share(&self) -> f64 {
        f64::from(self.rare_in_time) / f64::from(self.rare_asked.max(1))
    }
}

struct Caller {
    busy: bool,
    once: bool,
    arrived: u64,
    ends: u64,
    runs: u32,
    first: Option<u64>,
    done: bool,
    /// The engines to which it was sent.
    sent_to: Vec<usize>,
}

#[derive(Debug, Clone)]
enum Happening {
    Arrive(bool),
    Entry(usize, EntryEvent),
    Side(usize, SideEvent),
    Reach(usize, Run, String),
    First(usize, u32, RequestId, u32),
    End(usize, u32, RequestId, u32),
    Give(usize, Order, bool),
    Loaded(usize, u32, Order),
    Probe(usize, usize),
    Cancel(usize, usize, RequestId),
    Leave(usize, RequestId),
    Freeze(u64),
    Tick,
    List,
    Crash,
    Start(usize),
    Wipe,
}

pub(crate) struct World {
    now: u64,
    rng: SmallRng,
    faults: Faults,
    text: Arc<ServingText>,
    entries: Vec<PoolEntry>,
    sides: Vec<PoolSide>,
    engines: Vec<Engine>,
    callers: BTreeMap<(usize, RequestId), Caller>,
    models: BTreeMap<(usize, RequestId), String>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
    list: u64,
    figures: Figures,
    /// Milliseconds that a run takes.
    pub(crate) run_ms: u64,
    standstill: Option<Standstill>,
    frozen: Frozen,
}

fn rare(index: usize) -> String {
    format!("r{index}")
}

impl World {
    pub(crate) fn new(seed: u64, engines: usize, entries: usize, faults: Faults) -> World {
        let mut whole = (*text(1)).clone();
        if let Some(engine) = &mut whole.services[0].engine {
            engine.models = (0..80).map(|index| model(&rare(index), WEIGHTS_MB)).collect();
            engine.models.push(model("busy", WEIGHTS_MB));
        }
        whole.routes[1].target_ms = DRAFT_TARGET_MS;
        whole.routes[1].timeout_ms = 15_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let engine = |index: usize, rng: &mut SmallRng| {
            let mut disk = (0..20).map(|_| rare(rng.random_range(0..80))).collect::<BTreeSet<_>>();
            disk.extend((0..80).filter(|one| one % engines == index).map(rare));
            disk.insert("busy".to_owned());
            let models = BTreeSet::from(["busy".to_owned(), rare(index)]);
            Engine {
                boot: 0,
                renamed: true,
                up: true,
                models: if index < 3 { models } else { BTreeSet::from([rare(index)]) },
                disk,
                sequence: 0,
                order: None,
                far: false,
                runs: Vec::new(),
                queue: Vec::new(),
                copies: BTreeSet::new(),
            }
        };
        let profile = EntryProfile {
            zone: "a".to_owned(),
            seed: 0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
        };
        World {
            now: 0,
            faults,
            text: Arc::new(whole),
            entries: (0..entries)
                .map(|entry| EntryProfile { seed: entry as u64 * 7_919, ..profile.clone() })
                .map(PoolEntry::new)
                .collect(),
            sides: (0..engines).map(|_| PoolSide::new(ENGINE)).collect(),
            engines: (0..engines).map(|index| engine(index, &mut rng)).collect(),
            callers: BTreeMap::new(),
            models: BTreeMap::new(),
            heap: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            list: 0,
            figures: Figures::default(),
            run_ms: RUN_MS,
            standstill: None,
            frozen: Frozen::new(),
            rng,
        }
    }

    /// Has engines start again under their names.
    pub(crate) fn keep_names(&mut self) {
        self.engines.iter_mut().for_each(|engine| engine.renamed = false);
    }

    /// All engines lose memory, copies and runs at `ms`.
    pub(crate) fn wipe_at(&mut self, ms: u64) {
        self.at(ms, Happening::Wipe);
    }

    /// Plays `load`, and five seconds more for what is under way.
    pub(crate) fn play(mut self, load: &Load) -> Figures {
        let start = 2_000;
        for entry in 0..self.entries.len() {
            self.at(0, Happening::Entry(entry, EntryEvent::Text(self.text.clone())));
        }
        for side in 0..self.sides.len() {
            self.at(0, Happening::Side(side, SideEvent::Text(self.text.clone())));
            let entries = self.entries.len() as u32;
            self.at(0, Happening::Side(side, SideEvent::Entries(entries)));
        }
        self.at(1, Happening::List);
        self.at(2, Happening::Tick);
        for (per_s, busy) in [(load.busy_per_s, true), (load.rare_per_s, false)] {
            let mut at = start as f64;
            while per_s > 0.0 && at < (start + load.seconds * 1_000) as f64 {
                at += -self.rng.random_range(0.001_f64..1.0).ln() * 1_000.0 / per_s;
                self.at(at as u64, Happening::Arrive(busy));
            }
        }
        let crashes = self.faults.crashes * load.seconds as f64;
        for _ in 0..crashes as u32 {
            let at = start + self.rng.random_range(0..load.seconds * 1_000);
            self.at(at, Happening::Crash);
        }
        let end = start + load.seconds * 1_000 + 16_000;
        while let Some(Reverse((at, number))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let happening = self.happenings.remove(&number);
            if let Some(happening) = happening {
                self.happen(happening, load);
            }
        }
        let open = self.callers.values().filter(|caller| !caller.done).count();
        if open > 0 {
            self.figures.broken.push(format!("{open} requests have no end"));
        }
        self.figures
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn soon(&mut self, happening: Happening) {
        self.at(self.now + HOP_MS, happening);
    }

    fn breaks(&mut self, what: String) {
        self.figures.broken.push(format!("{} ms: {what}", self.now));
    }

    fn happen(&mut self, happening: Happening, load: &Load) {
        if let Some(wakes) = happening.engine().and_then(|index| self.wakes(index)) {
            self.at(wakes, happening);
            return;
        }
        match happening {
            Happening::Arrive(busy) => self.arrive(busy, load),
            Happening::Entry(entry, event) => self.entry(entry, event),
            Happening::Side(side, event) => self.side(side, event),
            Happening::Reach(engine, run, instance) => self.reach(engine, run, &instance),
            Happening::First(engine, boot, id, number) => self.first(engine, boot, id, number),
            Happening::End(engine, boot, id, number) => self.end(engine, boot, id, number),
            Happening::Give(engine, order, late) => self.give(engine, order, late),
            Happening::Loaded(engine, boot, order) => self.loaded(engine, boot, &order),
            Happening::Probe(side, entry) => {
                let alive = EntryEvent::Alive(address(side as u8));
                self.soon(Happening::Entry(entry, alive));
            }
            Happening::Cancel(engine, entry, id) => self.cancel_at(engine, entry, id),
            Happening::Leave(entry, id) => self.leave(entry, id),
            Happening::Freeze(for_ms) => self.freeze(for_ms),
            Happening::Tick => self.tick(),
            Happening::List => self.tell_list(),
            Happening::Crash => self.crash(),
            Happening::Start(engine) => {
                self.engines[engine].up = true;
                self.engines[engine].boot += 1;
            }
            Happening::Wipe => {
                for engine in 0..self.engines.len() {
                    self.stop(engine);
                    self.engines[engine].disk.clear();
                    self.at(self.now + 1_000, Happening::Start(engine));
                }
            }
        }
    }

    fn arrive(&mut self, busy: bool, load: &Load) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.next += 1;
        let id = RequestId(self.next);
        let model =
            if busy { "busy".to_owned() } else { rare(self.rng.random_range(0..load.rare_models)) };
        let (path, limit) = if busy { ("/chat/x", 5_000) } else { ("/draft/x", 15_000) };
        if busy {
            self.figures.busy_asked += 1;
        } else {
            self.figures.rare_asked += 1;
        }
        self.callers.insert((entry, id), Caller::new(busy, self.now, limit));
        self.plan_leave(entry, id);
        self.models.insert((entry, id), model.clone());
        let arrival = Arrival {
            id,
            caller: format!("c{}", id.0),
            host: HOST.to_owned(),
            path: path.to_owned(),
            deadline_ms: Some(limit),
            model,
            prefix: 0,
            tokens: TokenCount::default(),
        };
        self.entry(entry, EntryEvent::Arrive(arrival));
    }

    fn entry(&mut self, entry: usize, event: EntryEvent) {
        if let EntryEvent::Finish(id, complete) = &event {
            self.finished(entry, *id, *complete);
        }
        self.figures.steps += 1;
        let effects = self.entries[entry].step(Millis(self.now), event);
        for effect in effects {
            self.entry_effect(entry, effect);
        }
    }

    fn entry_effect(&mut self, entry: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Send(id, sending) => {
                self.cancel(entry, id);
                let engine = self.engine_at(sending.address);
                self.note_sent(entry, id, engine);
                let model = self.models[&(entry, id)].clone();
                let number = sending.number;
                let backup = sending.backup.map(|helper| self.engine_at(helper));
                let copy = sending.resume.is_some_and(|resume| resume.copy);
                let run = Run { entry, id, number, model, ends: 0, begun: false, backup, copy };
                let reach = Happening::Reach(engine, run, sending.instance);
                self.soon(reach);
            }
            EntryEffect::Refuse(id, refusal) => {
                self.cancel(entry, id);
                let status = refusal.reason.status();
                let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
                let (twice, runs) = (caller.done, caller.runs);
                caller.done = true;
                let late = self.now > caller.ends + 100;
                self.figures.refused += 1;
                if refusal.reason == citronrill_pool::Reason::Expired {
                    self.figures.expired += 1;
                }
                if status == 503 && runs > 0 {
                    self.breaks(format!("{id:?} ran and was told that it did not"));
                }
                if twice || late {
                    self.breaks(format!("{id:?} ended twice ({twice}) or late ({late})"));
                }
            }
            EntryEffect::Cut(id) => {
                self.cancel(entry, id);
                self.figures.cut += 1;
                if let Some(caller) = self.callers.get_mut(&(entry, id)) {
                    caller.done = true;
                }
            }
            EntryEffect::Want(address, want) => {
                let side = self.engine_at(address);
                let link = EntryLink(entry as u64);
                self.soon(Happening::Side(side, SideEvent::Want(link, want)));
            }
            EntryEffect::Used(address, used) => {
                let side = self.engine_at(address);
                self.soon(Happening::Side(side, SideEvent::Used(used)));
            }
            EntryEffect::Probe(address) => {
                let side = self.engine_at(address);
                self.soon(Happening::Probe(side, entry));
            }
            EntryEffect::Abandon(id) => {
                self.cancel(entry, id);
                self.soon(Happening::Entry(entry, EntryEvent::Broke(id, Some(0))));
            }
            EntryEffect::Pass(_) | EntryEffect::Sides(_) | EntryEffect::Log(_) => {}
        }
    }

    fn engine_at(&self, at: SocketAddr) -> usize {
        (0..self.engines.len()).find(|index| address(*index as u8) == at).unwrap()
    }

    /// The entry has closed the connection of an earlier sending.
    fn cancel(&mut self, entry: usize, id: RequestId) {
        for engine in 0..self.engines.len() {
            match self.wakes(engine) {
                Some(wakes) => self.at(wakes, Happening::Cancel(engine, entry, id)),
                None => self.cancel_at(engine, entry, id),
            }
        }
    }

    fn cancel_at(&mut self, engine: usize, entry: usize, id: RequestId) {
        let other = |run: &Run| run.entry != entry || run.id != id;
        self.engines[engine].runs.retain(other);
        self.engines[engine].queue.retain(other);
    }

    fn side(&mut self, side: usize, event: SideEvent) {
        self.figures.steps += 1;
        let effects = self.sides[side].step(Millis(self.now), event);
        for effect in effects {
            match effect {
                SideEffect::Poll => {
                    let report = self.report(side);
                    self.soon(Happening::Side(side, SideEvent::Report(report)));
                }
                SideEffect::Identify(_) => {
                    if self.engines[side].up {
                        let name = self.engines[side].instance(side);
                        self.soon(Happening::Side(side, SideEvent::Named(name)));
                    }
                }
                SideEffect::Order(order) => self.send_order(side, order),
                SideEffect::Publish(state) => {
                    for entry in 0..self.entries.len() {
                        if !self.rng.random_bool(self.faults.lost_states) {
                            let event = EntryEvent::Side(address(side as u8), state.clone());
                            self.soon(Happening::Entry(entry, event));
                        }
                    }
                }
                SideEffect::Decline(link, name) => {
                    let event = EntryEvent::Declined(address(side as u8), name);
                    self.soon(Happening::Entry(link.0 as usize, event));
                }
                SideEffect::Log(_) => {}
            }
        }
    }

    fn finished(&mut self, entry: usize, id: RequestId, complete: bool) {
        let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
        if caller.done {
            return;
        }
        caller.done = true;
        let target = if caller.busy { CHAT_TARGET_MS } else { DRAFT_TARGET_MS };
        let in_time = caller.first.is_some_and(|first| first <= caller.arrived + target);
        if complete && caller.busy {
            self.figures.busy_served += 1;
            self.figures.busy_in_time += u32::from(in_time);
        } else if complete {
            self.figures.rare_in_time += u32::from(in_time);
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            self.pass_events(entry);
            self.entry(entry, EntryEvent::Tick);
        }
        for side in
            (0..self.sides.len()).filter(|side| self.wakes(*side).is_none()).collect::<Vec<_>>()
        {
            self.side(side, SideEvent::Tick);
        }
        self.at(self.now + 20, Happening::Tick);
    }

    fn tell_list(&mut self) {
        self.list += 1;
        let member = |index: usize, engine: &Engine| Member {
            instance: engine.instance(index),
            started: engine.started(),
            service: ENGINE.to_owned(),
            address: address(index as u8),
            zone: "a".to_owned(),
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
        let rows = rows.map(|one| (one.instance.clone(), Some(one))).collect::<Vec<_>>();
        for entry in 0..self.entries.len() {
            let change = MemberChange { whole: true, version: self.list, rows: rows.clone() };
            let late = self.now + self.rng.random_range(5..300);
            self.at(late, Happening::Entry(entry, EntryEvent::Members(change)));
        }
        self.at(self.now + 700, Happening::List);
    }
}
