//! The engines: what they hold, run, copy and are ordered.

use std::collections::BTreeSet;

use citronrill_pool::{
    AnswerHead, EngineReport, EntryEvent, FailureKind, HeldModel, Order, OrderKind, OrderOutcome,
    RequestId, SideEvent, StartTime,
};
use rand::Rng;

use super::{Happening, SLOTS, WEIGHTS_MB, World};

const QUEUE: usize = 72;
const MEMORY_MB: f64 = 200_000.0;
const FIRST_MS: u64 = 50;
pub(super) const RUN_MS: u64 = 400;
/// Loads that the weight store carries at full speed.
const STORE_AT_ONCE: usize = 4;

#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) entry: usize,
    pub(super) id: RequestId,
    pub(super) number: u32,
    pub(super) model: String,
    pub(super) ends: u64,
    pub(super) begun: bool,
    /// Where its memory is copied to.
    pub(super) backup: Option<usize>,
    /// Whether it goes on from a copy.
    pub(super) copy: bool,
}

pub(super) struct Engine {
    pub(super) boot: u32,
    /// Whether each start has a name of its own.
    pub(super) renamed: bool,
    pub(super) up: bool,
    pub(super) models: BTreeSet<String>,
    pub(super) disk: BTreeSet<String>,
    pub(super) sequence: u64,
    pub(super) order: Option<Order>,
    pub(super) far: bool,
    pub(super) runs: Vec<Run>,
    pub(super) queue: Vec<Run>,
    /// Runs elsewhere whose memory it has copies of.
    pub(super) copies: BTreeSet<(usize, RequestId)>,
}

impl Engine {
    /// The name of its present start: a new one each time, or the same, with a start that it tells.
    pub(super) fn instance(&self, index: usize) -> String {
        if self.renamed { format!("e{index}-{}", self.boot) } else { format!("e{index}") }
    }

    pub(super) fn started(&self) -> Option<StartTime> {
        (!self.renamed).then(|| StartTime(1_790_000_000_000 + u64::from(self.boot) * 1_000))
    }
}

impl World {
    pub(super) fn send_order(&mut self, side: usize, order: Order) {
        if self.rng.random_bool(self.faults.lost_orders) {
            let unknown = SideEvent::Ordered(order.number, OrderOutcome::Unknown, None);
            self.at(self.now + 400, Happening::Side(side, unknown));
            if self.rng.random_bool(0.5) {
                let late = self.now + self.rng.random_range(1_000..6_000);
                self.at(late, Happening::Give(side, order, true));
            }
        } else {
            self.soon(Happening::Give(side, order, false));
        }
    }

    pub(super) fn report(&self, index: usize) -> Option<EngineReport> {
        let engine = &self.engines[index];
        engine.up.then(|| EngineReport {
            started: engine.started(),
            models: engine
                .models
                .iter()
                .map(|name| HeldModel { name: name.clone(), adapters: Vec::new() })
                .collect(),
            busy: engine.order.is_some(),
            sequence: engine.sequence,
            active: engine.runs.len() as u32,
            queued: engine.queue.len() as u32,
            on_disk: engine.disk.iter().cloned().collect(),
            ..EngineReport::default()
        })
    }

    /// An order reaches an engine.
    pub(super) fn give(&mut self, index: usize, order: Order, late: bool) {
        let instance = self.engines[index].instance(index);
        let engine = &mut self.engines[index];
        let outcome = if !engine.up {
            (OrderOutcome::Unknown, None)
        } else if order.instance != instance {
            (OrderOutcome::Rejected, Some(instance))
        } else if engine.order.is_some() || engine.sequence != order.sequence {
            (OrderOutcome::Conflict, None)
        } else {
            engine.sequence += 1;
            engine.order = Some(order.clone());
            (OrderOutcome::Accepted, None)
        };
        let accepted = outcome.0 == OrderOutcome::Accepted;
        if !late {
            let event = SideEvent::Ordered(order.number, outcome.0, outcome.1);
            self.soon(Happening::Side(index, event));
        }
        if accepted {
            self.carry_out(index, order);
        }
    }

    fn carry_out(&mut self, index: usize, order: Order) {
        let boot = self.engines[index].boot;
        let far = order.kind == OrderKind::Load && !self.engines[index].disk.contains(&order.model);
        self.engines[index].far = far;
        if order.kind == OrderKind::Unload {
            self.at(self.now + 20, Happening::Loaded(index, boot, order));
            return;
        }
        let used = (self.engines[index].models.len() + 1) as f64 * WEIGHTS_MB;
        if used > MEMORY_MB {
            self.breaks(format!("engine {index} is to hold {used} MB"));
        }
        let at_once = self.engines.iter().filter(|engine| engine.far).count();
        let slow = (at_once as f64 / STORE_AT_ONCE as f64).max(1.0);
        let takes = if far { (6_000.0 * slow) as u64 } else { 800 };
        self.at(self.now + takes, Happening::Loaded(index, boot, order));
    }

    pub(super) fn loaded(&mut self, index: usize, boot: u32, order: &Order) {
        let engine = &mut self.engines[index];
        if engine.boot != boot || !engine.up {
            return;
        }
        if order.kind == OrderKind::Load {
            engine.models.insert(order.model.clone());
            engine.disk.insert(order.model.clone());
        } else if engine.runs.iter().any(|run| run.model == order.model) {
            // An unload waits for its runs.
            self.at(self.now + 20, Happening::Loaded(index, boot, order.clone()));
            return;
        } else {
            engine.models.remove(&order.model);
        }
        engine.order = None;
        engine.far = false;
    }

    /// A request reaches an engine.
    pub(super) fn reach(&mut self, index: usize, run: Run, instance: &str) {
        let (entry, id, number) = (run.entry, run.id, run.number);
        let model = run.model.clone();
        let gone = self.callers.get(&(entry, id)).is_none_or(|caller| caller.done);
        let found = self.engines[index].instance(index);
        let engine = &mut self.engines[index];
        let leaving = engine
            .order
            .as_ref()
            .is_some_and(|order| order.kind == OrderKind::Unload && order.model == model);
        let refused = |status, elsewhere| {
            let head = AnswerHead { status, not_run: true, elsewhere, ..AnswerHead::default() };
            EntryEvent::Answer(id, number, head)
        };
        if gone {
            return;
        }
        // A copy is used once.
        let copied = engine.up && engine.copies.remove(&(entry, id));
        let answer = if !engine.up {
            Some(EntryEvent::Fail(id, number, FailureKind::Unreached))
        } else if found != instance {
            Some(refused(421, true))
        } else if !engine.models.contains(&model) {
            Some(refused(421, false))
        } else if leaving || engine.queue.len() >= QUEUE || run.copy && !copied {
            Some(refused(503, false))
        } else {
            None
        };
        if let Some(answer) = answer {
            self.soon(Happening::Entry(entry, answer));
            return;
        }
        self.figures.copied += u32::from(run.copy);
        self.engines[index].queue.push(run);
        self.fill_slots(index);
    }

    fn fill_slots(&mut self, index: usize) {
        while self.engines[index].runs.len() < SLOTS && !self.engines[index].queue.is_empty() {
            let mut run = self.engines[index].queue.remove(0);
            run.ends = self.now + self.run_ms;
            let boot = self.engines[index].boot;
            self.at(self.now + FIRST_MS, Happening::First(index, boot, run.id, run.number));
            self.at(run.ends, Happening::End(index, boot, run.id, run.number));
            self.engines[index].runs.push(run);
        }
    }

    /// A run makes its first token.
    pub(super) fn first(&mut self, index: usize, boot: u32, id: RequestId, number: u32) {
        if self.engines[index].boot != boot {
            return;
        }
        let same = |run: &&mut Run| run.id == id && run.number == number;
        let Some(run) = self.engines[index].runs.iter_mut().find(same) else { return };
        run.begun = true;
        let (entry, backup, copy) = (run.entry, run.backup, run.copy);
        if let Some(helper) = backup.filter(|helper| self.engines[*helper].up) {
            self.engines[helper].copies.insert((entry, id));
        }
        let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
        caller.runs += u32::from(!copy);
        let twice = caller.once && caller.runs > 1;
        if twice {
            self.breaks(format!("{id:?} runs twice"));
        }
        let broken = self.rng.random_bool(self.faults.broken);
        let event = if broken {
            self.cancel(entry, id);
            EntryEvent::Fail(id, number, FailureKind::Broken)
        } else {
            self.callers.get_mut(&(entry, id)).unwrap().first.get_or_insert(self.now);
            let head = AnswerHead { status: 200, signed: true, ..AnswerHead::default() };
            EntryEvent::Answer(id, number, head)
        };
        self.soon(Happening::Entry(entry, event));
    }

    pub(super) fn end(&mut self, index: usize, boot: u32, id: RequestId, number: u32) {
        if self.engines[index].boot != boot {
            return;
        }
        let runs = &mut self.engines[index].runs;
        let place = runs.iter().position(|run| run.id == id && run.number == number);
        if let Some(place) = place {
            let run = runs.remove(place);
            self.soon(Happening::Entry(run.entry, EntryEvent::Finish(id, true)));
        }
        self.fill_slots(index);
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.engines.len());
        if self.engines[index].up {
            self.stop(index);
            self.at(self.now + 2_000, Happening::Start(index));
        }
    }

    pub(super) fn stop(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.up = false;
        engine.models.clear();
        engine.sequence = 0;
        engine.order = None;
        engine.far = false;
        engine.copies.clear();
        let runs = engine.runs.drain(..).chain(engine.queue.drain(..)).collect::<Vec<_>>();
        for run in runs {
            let event = if run.begun {
                EntryEvent::Broke(run.id, Some(0))
            } else {
                EntryEvent::Fail(run.id, run.number, FailureKind::Broken)
            };
            self.soon(Happening::Entry(run.entry, event));
        }
    }
}
