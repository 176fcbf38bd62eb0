//! The simulated engines: models, runs, KV cache copies and orders.

use std::collections::BTreeSet;

use citronrill_pool::{
    EngineReport, EntryEvent, FailureKind, HeldModel, Order, OrderKind, OrderOutcome, RequestId,
    ResponseEnd, ResponseHead, SideEvent, StartTime,
};
use rand::Rng;

use super::{SLOTS, SimEvent, Simulation, WEIGHTS_MB};

const QUEUE_LIMIT: usize = 72;
const MEMORY_MB: f64 = 200_000.0;
const FIRST_TOKEN_MS: u64 = 50;
pub(super) const RUN_MS: u64 = 400;
/// Concurrent loads that the weight store serves at full speed.
const STORE_CONCURRENCY: usize = 4;

#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) entry: usize,
    pub(super) id: RequestId,
    pub(super) number: u32,
    pub(super) model: String,
    pub(super) ends_at: u64,
    pub(super) has_output: bool,
    /// The engine its KV cache is copied to.
    pub(super) backup: Option<usize>,
    /// Whether it resumes from a copy of its KV cache.
    pub(super) copy: bool,
}

pub(super) struct Engine {
    pub(super) incarnation: u32,
    /// Whether each incarnation has its own name.
    pub(super) unique_names: bool,
    pub(super) up: bool,
    pub(super) models: BTreeSet<String>,
    pub(super) disk: BTreeSet<String>,
    pub(super) sequence: u64,
    pub(super) order: Option<Order>,
    pub(super) remote_load: bool,
    pub(super) runs: Vec<Run>,
    pub(super) queue: Vec<Run>,
    /// Runs of other engines whose KV cache it has copies of.
    pub(super) copies: BTreeSet<(usize, RequestId)>,
}

impl Engine {
    /// Returns the name of the current incarnation. An engine that keeps its name reports its start
    /// time instead.
    pub(super) fn instance(&self, index: usize) -> String {
        if self.unique_names {
            format!("e{index}-{}", self.incarnation)
        } else {
            format!("e{index}")
        }
    }

    pub(super) fn start_time(&self) -> Option<StartTime> {
        (!self.unique_names)
            .then(|| StartTime(1_790_000_000_000 + u64::from(self.incarnation) * 1_000))
    }
}

impl Simulation {
    pub(super) fn send_order(&mut self, side: usize, order: Order) {
        if self.rng.random_bool(self.faults.lost_orders) {
            let unknown = SideEvent::OrderAnswered(order.number, OrderOutcome::Unknown, None);
            self.schedule(self.now + 400, SimEvent::SideInput(side, unknown));
            if self.rng.random_bool(0.5) {
                let late = self.now + self.rng.random_range(1_000..6_000);
                self.schedule(late, SimEvent::OrderReceived(side, order, true));
            }
        } else {
            self.after_hop(SimEvent::OrderReceived(side, order, false));
        }
    }

    pub(super) fn report(&self, index: usize) -> Option<EngineReport> {
        let engine = &self.engines[index];
        engine.up.then(|| EngineReport {
            started: engine.start_time(),
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

    /// Handles an order received by an engine.
    pub(super) fn receive_order(&mut self, index: usize, order: Order, late: bool) {
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
            let event = SideEvent::OrderAnswered(order.number, outcome.0, outcome.1);
            self.after_hop(SimEvent::SideInput(index, event));
        }
        if accepted {
            self.start_order(index, order);
        }
    }

    fn start_order(&mut self, index: usize, order: Order) {
        let incarnation = self.engines[index].incarnation;
        let remote_load =
            order.kind == OrderKind::Load && !self.engines[index].disk.contains(&order.model);
        self.engines[index].remote_load = remote_load;
        if order.kind == OrderKind::Unload {
            self.schedule(self.now + 20, SimEvent::OrderDone(index, incarnation, order));
            return;
        }
        let used = (self.engines[index].models.len() + 1) as f64 * WEIGHTS_MB;
        if used > MEMORY_MB {
            self.record_violation(format!("engine {index} is ordered to use {used} MB"));
        }
        let loads = self.engines.iter().filter(|engine| engine.remote_load).count();
        let slowdown = (loads as f64 / STORE_CONCURRENCY as f64).max(1.0);
        let load_ms = if remote_load { (6_000.0 * slowdown) as u64 } else { 800 };
        self.schedule(self.now + load_ms, SimEvent::OrderDone(index, incarnation, order));
    }

    pub(super) fn finish_order(&mut self, index: usize, incarnation: u32, order: &Order) {
        let engine = &mut self.engines[index];
        if engine.incarnation != incarnation || !engine.up {
            return;
        }
        if order.kind == OrderKind::Load {
            engine.models.insert(order.model.clone());
            engine.disk.insert(order.model.clone());
        } else if engine.runs.iter().any(|run| run.model == order.model) {
            // An unload waits until the model's runs have ended.
            self.schedule(self.now + 20, SimEvent::OrderDone(index, incarnation, order.clone()));
            return;
        } else {
            engine.models.remove(&order.model);
        }
        engine.order = None;
        engine.remote_load = false;
    }

    /// Handles a request received by an engine.
    pub(super) fn receive_request(&mut self, index: usize, run: Run, instance: &str) {
        let (entry, id, number) = (run.entry, run.id, run.number);
        let model = run.model.clone();
        let caller_done = self.callers.get(&(entry, id)).is_none_or(|caller| caller.done);
        let current = self.engines[index].instance(index);
        let engine = &mut self.engines[index];
        let leaving = engine
            .order
            .as_ref()
            .is_some_and(|order| order.kind == OrderKind::Unload && order.model == model);
        let refused = |status, other_incarnation| {
            let head = ResponseHead {
                status,
                not_run: true,
                other_incarnation,
                ..ResponseHead::default()
            };
            EntryEvent::ResponseHead(id, number, head)
        };
        if caller_done {
            return;
        }
        // A copy can be used only once.
        let resumed_from_copy = engine.up && engine.copies.remove(&(entry, id));
        let answer = if !engine.up {
            Some(EntryEvent::DispatchFailed(id, number, FailureKind::Unreachable))
        } else if current != instance {
            Some(refused(421, true))
        } else if !engine.models.contains(&model) {
            Some(refused(421, false))
        } else if leaving || engine.queue.len() >= QUEUE_LIMIT || run.copy && !resumed_from_copy {
            Some(refused(503, false))
        } else {
            None
        };
        if let Some(answer) = answer {
            self.after_hop(SimEvent::entry_input(entry, answer));
            return;
        }
        self.stats.resumed_from_copy += u32::from(run.copy);
        self.record_received(entry, id);
        self.engines[index].queue.push(run);
        self.fill_slots(index);
    }

    fn fill_slots(&mut self, index: usize) {
        while self.engines[index].runs.len() < SLOTS && !self.engines[index].queue.is_empty() {
            let mut run = self.engines[index].queue.remove(0);
            run.ends_at = self.now + self.run_ms;
            let incarnation = self.engines[index].incarnation;
            self.schedule(
                self.now + FIRST_TOKEN_MS,
                SimEvent::FirstToken(index, incarnation, run.id, run.number),
            );
            self.schedule(run.ends_at, SimEvent::RunEnds(index, incarnation, run.id, run.number));
            self.engines[index].runs.push(run);
        }
    }

    /// Handles the first token of a run.
    pub(super) fn first_token(
        &mut self,
        index: usize,
        incarnation: u32,
        id: RequestId,
        number: u32,
    ) {
        if self.engines[index].incarnation != incarnation {
            return;
        }
        let same = |run: &&mut Run| run.id == id && run.number == number;
        let Some(run) = self.engines[index].runs.iter_mut().find(same) else { return };
        run.has_output = true;
        let (entry, backup, copy) = (run.entry, run.backup, run.copy);
        if let Some(helper) = backup.filter(|helper| self.engines[*helper].up) {
            self.engines[helper].copies.insert((entry, id));
        }
        self.schedule_poisoning(index, entry, id);
        let Some(caller) = self.callers.get_mut(&(entry, id)) else { return };
        caller.runs += u32::from(!copy);
        let twice = caller.run_once && caller.runs > 1;
        if twice {
            self.record_violation(format!("{id:?} runs twice"));
        }
        let broken = self.rng.random_bool(self.faults.broken);
        let event = if broken {
            self.cancel(entry, id);
            EntryEvent::DispatchFailed(id, number, FailureKind::Broken)
        } else {
            self.callers.get_mut(&(entry, id)).unwrap().first_token.get_or_insert(self.now);
            let head = ResponseHead { status: 200, signed: true, ..ResponseHead::default() };
            EntryEvent::ResponseHead(id, number, head)
        };
        self.after_hop(SimEvent::entry_input(entry, event));
    }

    pub(super) fn end_run(&mut self, index: usize, incarnation: u32, id: RequestId, number: u32) {
        if self.engines[index].incarnation != incarnation {
            return;
        }
        let runs = &mut self.engines[index].runs;
        let place = runs.iter().position(|run| run.id == id && run.number == number);
        if let Some(place) = place {
            let run = runs.remove(place);
            self.after_hop(SimEvent::entry_input(
                run.entry,
                EntryEvent::ResponseEnded(id, ResponseEnd::Complete),
            ));
        }
        self.fill_slots(index);
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.engines.len());
        if self.engines[index].up {
            self.stop(index);
            self.schedule(self.now + 2_000, SimEvent::Restart(index));
        }
    }

    pub(super) fn stop(&mut self, index: usize) {
        self.stats.poison.all_crashes += 1;
        let engine = &mut self.engines[index];
        engine.up = false;
        engine.models.clear();
        engine.sequence = 0;
        engine.order = None;
        engine.remote_load = false;
        engine.copies.clear();
        let runs = engine.runs.drain(..).chain(engine.queue.drain(..)).collect::<Vec<_>>();
        for run in runs {
            let event = if run.has_output {
                EntryEvent::StreamBroken(run.id, Some(0))
            } else {
                EntryEvent::DispatchFailed(run.id, run.number, FailureKind::Broken)
            };
            self.after_hop(SimEvent::entry_input(run.entry, event));
        }
    }
}
