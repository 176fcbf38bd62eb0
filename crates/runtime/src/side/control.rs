//! The control thread of a side: passes events to the reducer and carries out its effects.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use citronrill_decide::{
    CancelAnswer, EngineModel, EngineReport, Page, Side, SideEffect, SideEvent,
    rows::{Cached, Tier, phase_name},
};
use citronrill_platform::{EngineState, HttpEngine, LoadOrder, PlatformError, Table, UnloadOrder};
use citronrill_wire as wire;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use serde_json::json;

use super::{Input, calls::Exchanges};
use crate::{
    clock::Clock,
    connect::Links,
    entry::{UNSOLICITED, rows_frame},
    link::Link,
    pool::Pool,
};

/// Interval between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(100);

/// The services that the control thread uses to carry out effects.
pub(super) struct Backends {
    pub(super) exchanges: Arc<Exchanges>,
    pub(super) engine: HttpEngine,
    pub(super) table: Arc<dyn Table>,
    pub(super) pool: Pool,
    pub(super) links: Arc<Links>,
}

pub(super) struct Control {
    side: Side,
    input: Sender<Input>,
    backends: Backends,
    last_tick: Instant,
    busy: Duration,
    started: Instant,
}

impl Control {
    pub(super) fn new(side: Side, input: Sender<Input>, backends: Backends) -> Control {
        let now = Instant::now();
        Control { side, input, backends, last_tick: now, busy: Duration::ZERO, started: now }
    }

    /// Runs until the process is drained, superseded or stopped.
    pub(super) fn run(mut self, inputs: &Receiver<Input>, clock: Clock) {
        let mut effects = Vec::new();
        loop {
            let wait = TICK.saturating_sub(self.last_tick.elapsed());
            let input = inputs.recv_timeout(wait);
            let begun = Instant::now();
            match input {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(Input::Event(event)) => self.side.step(clock.now(), event, &mut effects),
                Ok(Input::Dump(link)) => self.dump(&link),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.last_tick.elapsed() >= TICK {
                self.last_tick = Instant::now();
                self.side.step(clock.now(), SideEvent::Tick, &mut effects);
                self.backends.exchanges.remove_expired();
            }
            let finished = effects
                .iter()
                .any(|effect| matches!(effect, SideEffect::Drained | SideEffect::Superseded));
            for effect in effects.drain(..) {
                self.perform(effect);
            }
            self.busy += begun.elapsed();
            if finished {
                break;
            }
        }
        self.backends.exchanges.close();
        log::info!("event=stopped endpoint_epoch={}", self.side.epoch());
    }

    fn perform(&mut self, effect: SideEffect) {
        match effect {
            SideEffect::Read(id, keys) => {
                self.backends.exchanges.meter().add("table_reads", "", 1);
                let table = self.backends.table.clone();
                self.query(move || match table.read(&keys) {
                    Ok(rows) => SideEvent::Rows(id, rows),
                    Err(_) => SideEvent::ReadFailed(id),
                });
            }
            SideEffect::Commit(id, txn) => {
                self.backends.exchanges.meter().add("table_commits", "", 1);
                let table = self.backends.table.clone();
                self.query(move || SideEvent::TxnFinished(id, table.commit(&txn)));
            }
            SideEffect::ListEngine => {
                let engine = self.backends.engine.clone();
                self.query(move || SideEvent::EngineListed(engine.state().ok().map(engine_report)));
            }
            SideEffect::Load { order, model, base, fence, memory_mb, peak_mb } => {
                let order = LoadOrder { order, model, base, fence, memory_mb, peak_mb };
                let engine = self.backends.engine.clone();
                self.send_order(order.order, move || engine.load(&order));
            }
            SideEffect::Unload { order, model, fence } => {
                let order = UnloadOrder { order, model, fence };
                let engine = self.backends.engine.clone();
                self.send_order(order.order, move || engine.unload(&order));
            }
            SideEffect::RunCall(id) => {
                let input = self.input.clone();
                let ended = move || drop(input.send(Input::Event(SideEvent::CallEnded(id))));
                self.backends.exchanges.run(id, self.side.running() as u32, ended);
            }
            SideEffect::AttachCall(id) => self.backends.exchanges.attach(id),
            SideEffect::Decline(id, why) => {
                self.backends.exchanges.meter().add("declines", why.as_str(), 1);
                self.backends.exchanges.decline(id, why, self.side.running() as u32);
            }
            SideEffect::AbortCall(id) => self.backends.exchanges.stop(id),
            SideEffect::AnswerCancel(id, answer) => {
                let answer = match answer {
                    CancelAnswer::NotRun => 0,
                    CancelAnswer::Ran => 1,
                    CancelAnswer::Unknown => 2,
                };
                self.backends.exchanges.answer_cancel(id, answer);
            }
            SideEffect::Announce(to, row) => {
                let page = Page { rows: vec![row], ..Page::default() };
                let links = self.backends.links.clone();
                self.backends.pool.run(move || {
                    let _ = links.send(&to, rows_frame(UNSOLICITED, page).into());
                });
            }
            SideEffect::Log(event) => log::info!("{event}"),
            SideEffect::Superseded | SideEffect::Drained => {}
        }
    }

    /// Queries the platform or the engine in another thread.
    fn query(&self, query: impl FnOnce() -> SideEvent + Send + 'static) {
        let input = self.input.clone();
        self.backends.pool.run(move || drop(input.send(Input::Event(query()))));
    }

    /// Sends an order to the engine in a separate thread, as it can take as long as a load.
    fn send_order(
        &self,
        order: u64,
        send: impl FnOnce() -> Result<(), PlatformError> + Send + 'static,
    ) {
        let input = self.input.clone();
        let started = crate::pool::spawn("order", move || {
            let event = match send() {
                Ok(()) => SideEvent::OrderDone { order, done: true },
                Err(PlatformError::Status(status)) => {
                    log::warn!("event=order_refused order={order} status={status}");
                    SideEvent::OrderDone { order, done: false }
                }
                Err(error) => {
                    log::warn!("event=order_lost order={order} error=\"{error}\"");
                    SideEvent::OrderLost(order)
                }
            };
            let _ = input.send(Input::Event(event));
        });
        if started.is_err() {
            let _ = self.input.send(Input::Event(SideEvent::OrderLost(order)));
        }
    }

    fn dump(&self, link: &Link) {
        let row = self.side.endpoint_row();
        let replicas = row.into_iter().flat_map(|row| &row.replicas).map(|replica| {
            json!({ "model": replica.model, "phase": phase_name(replica.phase()),
                "memory_mb": replica.memory_mb, "order": replica.order })
        });
        let json = json!({
            "role": "side",
            "mode": self.side.mode_name(),
            "version": self.side.config_version(),
            "confirmed": self.side.serving(),
            "epoch": self.side.epoch(),
            "running": self.side.running(),
            "call_records": self.side.call_records(),
            "held_mb": row.map_or(0, |row| row.held_mb()),
            "memory_mb": row.map_or(0, |row| row.memory_mb),
            "replicas": replicas.collect::<Vec<_>>(),
            "counters": self.backends.exchanges.meter().snapshot(),
            "busy_part": self.busy.as_secs_f64() / self.started.elapsed().as_secs_f64().max(0.001),
        });
        link.send(wire::DumpReply { json: json.to_string() }.into());
    }
}

fn engine_report(state: EngineState) -> EngineReport {
    let models = state.held.into_iter().map(|model| EngineModel {
        model: model.model,
        ready: model.ready,
        memory_mb: model.memory_mb,
    });
    let cached = state.cached.into_iter().map(|model| {
        let tier = if model.ram { Tier::Ram } else { Tier::Disk };
        Cached { model: model.model, tier: tier.into() }
    });
    EngineReport { models: models.collect(), cached: cached.collect() }
}
