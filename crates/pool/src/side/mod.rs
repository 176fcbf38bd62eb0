//! The side's reducer: which order its endpoint gets next.
//!
//! The side is the only process that gives orders to its endpoint, so nothing has to be agreed with
//! others. Each order names the instance and the number of orders that the endpoint has accepted:
//! one that is delayed and arrives after another was accepted, or after a restart, does nothing.

mod missed;
mod orders;
mod plan;
mod report;
mod start_name;
mod types;

use std::{collections::VecDeque, sync::Arc};

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{ModelState, SideState, Usage, Want};

pub use self::types::{
    EngineReport, EntryLink, Order, OrderKind, OrderOutcome, SideEffect, SideEvent,
};
use self::{
    missed::Missed,
    report::{holds, outcome_of, same_news},
    start_name::StartName,
};
use crate::{
    member::full_name,
    rate::Rate,
    start::{KnownStart, StartNews},
    text::{EngineSpec, LATE_LOAD, ServingText},
};

/// Milliseconds between looks at the endpoint while an order is under way: a load takes 440 or
/// more, and each look is free from the same instance.
const BUSY_POLL_MS: u64 = 20;
/// Milliseconds between looks at rest.
const IDLE_POLL_MS: u64 = 200;
/// Milliseconds between states that say nothing new.
const PUBLISH_MS: u64 = 500;
/// Milliseconds that an unload takes, measured: 20 to 70 without runs, 400 with.
const UNLOAD_USUAL_MS: u64 = 150;
/// Milliseconds that an adapter takes, measured with the look that shows it.
const ADAPTER_USUAL_MS: u64 = 25;
/// Milliseconds without a look that succeeded after which the endpoint counts as unsound.
const UNSOUND_MS: u64 = 1_000;

/// Steps in which a late load's time is told, so that not every millisecond is news.
const OVERDUE_STEP: u32 = 200;

/// An order that was given.
#[derive(Debug, Clone)]
struct Given {
    order: Order,
    at: Millis,
    outcome: Option<OrderOutcome>,
    /// Whether it is a load from the weight store.
    far: bool,
    /// Loads from the weight store when it was asked for, itself with them.
    concurrent: u32,
}

/// A want that will be met, with what makes way for it.
#[derive(Debug, Clone)]
struct Planned {
    want: Want,
    until: Millis,
    /// When it was planned, and told to all entries.
    at: Millis,
    /// Models still to be unloaded for it.
    victims: Vec<String>,
}

#[derive(Debug, Clone, Copy, Default)]
struct UsageRate {
    rate: Rate,
    last: Millis,
}

/// Decides for one endpoint.
#[derive(Debug)]
pub struct PoolSide {
    service: String,
    now: Millis,
    text: Option<Arc<ServingText>>,
    report: Option<EngineReport>,
    seen: Millis,
    /// When the last look began, and whether its answer is awaited.
    polled: Option<Millis>,
    asking: bool,
    /// No order is given on a report older than this: the last one was refused.
    stale_until: Millis,
    token: Option<u64>,
    start: StartName,
    start_time: KnownStart,
    plan: VecDeque<Planned>,
    model_order: Option<Given>,
    adapter_order: Option<Given>,
    numbers: u64,
    usage: Map<String, UsageRate>,
    missed: Missed,
    arrived: Map<String, Millis>,
    store_load: Option<Millis>,
    /// The last store load's time against its usual one, in thousandths.
    store_slow: u32,
    /// How many loads there were when that one was asked for.
    store_concurrent: u32,
    entries: u32,
    told: Option<(Millis, SideState)>,
    effects: Vec<SideEffect>,
}

impl PoolSide {
    /// A side beside an endpoint of `service`.
    pub fn new(service: &str) -> PoolSide {
        PoolSide {
            service: service.to_owned(),
            now: Millis(0),
            text: None,
            report: None,
            seen: Millis(0),
            polled: None,
            asking: false,
            stale_until: Millis(0),
            token: None,
            start: StartName::unknown(),
            start_time: KnownStart::default(),
            plan: VecDeque::new(),
            model_order: None,
            adapter_order: None,
            numbers: 0,
            usage: Map::default(),
            missed: Missed::default(),
            arrived: Map::default(),
            store_load: None,
            store_slow: 0,
            store_concurrent: 0,
            entries: 0,
            told: None,
            effects: Vec::new(),
        }
    }

    /// The version of the text that is known; 0 if none is.
    pub fn text_version(&self) -> u64 {
        self.text.as_ref().map_or(0, |text| text.version)
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, now: Millis, event: SideEvent) -> Vec<SideEffect> {
        self.now = now;
        match event {
            SideEvent::Text(text) => self.take_text(text),
            SideEvent::Report(report) => self.take_report(report),
            SideEvent::Want(link, want) => self.take_want(link, want),
            SideEvent::Used(used) => self.take_used(&used),
            SideEvent::Ordered(number, outcome, instance) => {
                self.take_outcome(number, outcome);
                if let Some(instance) = instance {
                    self.take_name(&instance);
                }
            }
            SideEvent::Named(instance) => self.take_name(&instance),
            SideEvent::Entries(count) => self.entries = count,
            SideEvent::Tick => {}
        }
        self.advance();
        self.poll();
        self.identify();
        self.publish();
        std::mem::take(&mut self.effects)
    }

    fn take_text(&mut self, text: Arc<ServingText>) {
        if text.version > self.text_version() {
            self.log(LogEvent::new("text").with("version", text.version));
            self.text = Some(text);
        }
    }

    fn take_report(&mut self, report: Option<EngineReport>) {
        self.asking = false;
        let Some(report) = report else {
            self.start.doubt();
            return;
        };
        match self.judge_start(&report) {
            StartNews::Same => {}
            StartNews::New => self.begin_anew(&report),
            StartNews::Older => {
                let known = self.start_time.time().map_or(0, |start| start.0);
                let event = LogEvent::new("report_out_of_date").with("known", known);
                let event = event.with("started", report.started.map_or(0, |start| start.0));
                self.log(event.with("sequence", report.sequence));
                return;
            }
        }
        self.seen = self.now;
        if self.report.is_none() && report.started.is_none() {
            // A restart is then told by the count of orders alone, and may be missed.
            self.log(LogEvent::new("start_untold").with("sequence", report.sequence));
        }
        // What the first report shows was there before; nobody has just asked for it.
        let held = |name: &str| self.report.as_ref().is_none_or(|old| holds(old, name, ""));
        let fresh = report.models.iter().filter(|model| !held(&model.name));
        let fresh = fresh.map(|model| model.name.clone()).collect::<Vec<_>>();
        for name in fresh {
            self.arrived.insert(name, self.now);
        }
        self.token.get_or_insert(first_token(&report));
        self.report = Some(report);
        self.settle();
    }

    /// What a report says of the endpoint's start.
    ///
    /// The count of orders alone tells a restart only where it falls: an endpoint that crashed and had
    /// accepted as many orders again by the next look was taken for its last start, with models that
    /// it no longer held. Where the endpoint says when it started, that decides, and a lower count of
    /// the same start is a report that came late.
    fn judge_start(&mut self, report: &EngineReport) -> StartNews {
        let recounted = self.report.as_ref().is_some_and(|old| report.sequence < old.sequence);
        match self.start_time.hear(report.started, self.now) {
            StartNews::Same if recounted && report.started.is_some() => StartNews::Older,
            StartNews::Same if recounted => StartNews::New,
            news => news,
        }
    }

    /// The endpoint has started again: nothing that was asked of its last start holds, and it has
    /// forgotten every token.
    fn begin_anew(&mut self, report: &EngineReport) {
        let event = LogEvent::new("endpoint_restarted").with("sequence", report.sequence);
        self.log(event.with("started", report.started.map_or(0, |start| start.0)));
        self.model_order = None;
        self.adapter_order = None;
        self.plan.clear();
        self.arrived.clear();
        // An order of the last start that is still under way may be carried out by this one, which may
        // have the same name; a token that rises over all starts tells the two apart.
        let last = self.token.filter(|_| report.started.is_some());
        self.token = Some(first_token(report).max(last.map_or(0, |token| token + 1)));
        self.start.forget(self.now);
        self.report = None;
    }

    /// Closes orders once the endpoint shows their end.
    fn settle(&mut self) {
        let Some(report) = &self.report else { return };
        let far = self.model_order.as_ref().filter(|given| given.far).cloned();
        let mut ended = Vec::new();
        for slot in [&mut self.model_order, &mut self.adapter_order] {
            let Some(given) = slot else { continue };
            if let Some(done) = outcome_of(given, report, self.now) {
                let order = &given.order;
                let event = LogEvent::new("order_ended")
                    .with("order", order.number)
                    .with("model", &order.model)
                    .with("adapter", &order.adapter)
                    .with("done", done)
                    .with("sequence", report.sequence)
                    .with("took_ms", self.now.since(given.at));
                ended.push(event);
                *slot = None;
            }
        }
        ended.into_iter().for_each(|event| self.log(event));
        if let (Some(given), None) = (far, &self.model_order) {
            self.store_slow = self.slowness(&given);
            self.store_concurrent = given.concurrent;
        }
        let Some(report) = &self.report else { return };
        for planned in &mut self.plan {
            planned.victims.retain(|victim| holds(report, victim, ""));
        }
    }

    fn engine(&self) -> Option<&EngineSpec> {
        self.text.as_ref()?.service(&self.service)?.engine.as_ref()
    }

    fn take_used(&mut self, used: &Usage) {
        if used.missed {
            self.missed.add(&used.model, self.now);
            return;
        }
        for name in [used.model.clone(), full_name(&used.model, &used.adapter)] {
            let usage = self.usage.entry(name).or_default();
            usage.rate.add(self.now);
            usage.last = self.now;
            if used.adapter.is_empty() {
                break;
            }
        }
    }

    fn take_outcome(&mut self, number: u64, outcome: OrderOutcome) {
        let ours =
            |slot: &Option<Given>| slot.as_ref().is_some_and(|given| given.order.number == number);
        let slot = if ours(&self.model_order) {
            &mut self.model_order
        } else if ours(&self.adapter_order) {
            &mut self.adapter_order
        } else {
            return;
        };
        let mut refused = None;
        if matches!(outcome, OrderOutcome::Conflict | OrderOutcome::Rejected) {
            refused = slot.take();
            // The endpoint is not as the last report told: the next order waits for a newer one.
            self.stale_until = self.now;
            if outcome == OrderOutcome::Rejected {
                self.start.forget(self.now);
            }
        } else if let Some(given) = slot {
            given.outcome = Some(outcome);
        }
        if let (Some(given), OrderOutcome::Rejected) = (refused, outcome) {
            self.plan.retain(|one| {
                one.want.model != given.order.model || one.want.instance != given.order.instance
            });
        }
        let word = format!("{outcome:?}").to_lowercase();
        self.log(LogEvent::new("order_answered").with("order", number).with("outcome", word));
    }

    /// Takes the name of the endpoint's present start; what was asked of another is void.
    fn take_name(&mut self, instance: &str) {
        if self.start.learn(instance) {
            self.log(LogEvent::new("endpoint_named").with("instance", instance));
            self.plan.retain(|one| one.want.instance == instance);
        }
    }

    /// Asks the endpoint for its name where that is in doubt.
    fn identify(&mut self) {
        let heard = self.report.is_some() && self.now.since(self.seen) <= IDLE_POLL_MS;
        let service = self.text.as_ref().and_then(|text| text.service(&self.service));
        let path = service.map(|service| service.health.clone());
        let Some(path) = path.filter(|path| heard && !path.is_empty()) else { return };
        if self.start.take_turn(self.now) {
            self.effects.push(SideEffect::Identify(path));
        }
    }

    fn poll(&mut self) {
        let wait = self.wake_ms();
        // Counted from the last look, not from the last answer: an endpoint that is down refuses
        // at once, and would be asked thousands of times a second.
        let due = self.polled.is_none_or(|at| self.now.since(at) >= wait);
        let lost = self.polled.is_some_and(|at| self.now.since(at) > UNSOUND_MS);
        if due && !self.asking || lost {
            self.polled = Some(self.now);
            self.asking = true;
            self.effects.push(SideEffect::Poll);
        }
    }

    /// Milliseconds until the reducer wants to be called again.
    pub fn wake_ms(&self) -> u64 {
        let busy = self.model_order.is_some() || !self.plan.is_empty();
        if busy || self.adapter_order.is_some() { BUSY_POLL_MS } else { IDLE_POLL_MS }
    }

    fn publish(&mut self) {
        let Some(state) = self.state() else { return };
        let news = match &self.told {
            None => true,
            Some((at, told)) => self.now.since(*at) >= PUBLISH_MS || !same_news(told, &state),
        };
        if news {
            self.told = Some((self.now, state.clone()));
            self.effects.push(SideEffect::Publish(state));
        }
    }

    /// The state as entries are told it.
    pub fn state(&self) -> Option<SideState> {
        let report = self.report.as_ref()?;
        let usage = |name: &str| self.usage.get(name).copied().unwrap_or_default();
        let models = report.models.iter().map(|model| ModelState {
            name: model.name.clone(),
            adapters: model.adapters.clone(),
            rate_milli: (usage(&model.name).rate.per_s(self.now) * 1_000.0) as u32,
            fixed: self.stays(&model.name),
        });
        let store_overdue = self.store_overdue();
        let late = self.model_order.as_ref().filter(|_| store_overdue > 0);
        let wants = self.plan.iter().map(|one| full_name(&one.want.model, &one.want.adapter));
        Some(SideState {
            sequence: report.sequence,
            models: models.collect(),
            in_memory: report.in_memory.clone(),
            on_disk: report.on_disk.clone(),
            loading: wants.collect(),
            leaving: self.leaving().cloned().collect(),
            active: report.active,
            queued: report.queued,
            kv_share: report.kv_share,
            entries: self.entries,
            sound: self.now.since(self.seen) <= UNSOUND_MS,
            busy_ms: self.busy_ms(report),
            order_ms: self.order_ms(report),
            store_loads: self.store_loads(report),
            store_slow: self.store_slow,
            text: self.text_version(),
            instance: self.start.known().unwrap_or_default().to_owned(),
            service: self.service.clone(),
            started: self.start_time.time().map(|start| start.0),
            missed: self.missed.rates(self.now),
            store_overdue,
            store_concurrent: late.map_or(self.store_concurrent, |given| given.concurrent),
        })
    }

    /// Milliseconds until all that is planned is there.
    fn busy_ms(&self, report: &EngineReport) -> u64 {
        let plan = self.plan.iter().map(|one| {
            one.victims.len() as u64 * UNLOAD_USUAL_MS + self.load_ms(report, &one.want)
        });
        let spent = self.model_order.as_ref().map_or(0, |given| self.now.since(given.at));
        plan.sum::<u64>().saturating_sub(spent)
    }

    /// Milliseconds until the model order under way has ended.
    fn order_ms(&self, report: &EngineReport) -> u64 {
        let Some(given) = &self.model_order else { return 0 };
        let whole = match given.order.kind {
            OrderKind::Load => self.model_ms(report, &given.order.model),
            OrderKind::Unload => UNLOAD_USUAL_MS,
        };
        whole.saturating_sub(self.now.since(given.at))
    }

    /// How long the load from the weight store under way has taken, in thousandths of its usual time and in
    /// steps of [`OVERDUE_STEP`]; 0 while it is not late.
    fn store_overdue(&self) -> u32 {
        let Some(given) = self.model_order.as_ref().filter(|given| given.far) else { return 0 };
        let slow = self.slowness(given);
        if slow < LATE_LOAD { 0 } else { slow - slow % OVERDUE_STEP }
    }

    /// How long a load from the weight store has taken by now, in thousandths of its usual time.
    fn slowness(&self, given: &Given) -> u32 {
        let spec = self.engine().and_then(|engine| engine.model(&given.order.model));
        let usual = spec.map_or(1, |spec| spec.store_ms.max(1));
        (self.now.since(given.at) * 1_000 / usual) as u32
    }

    /// Milliseconds that what is wanted takes here.
    fn load_ms(&self, report: &EngineReport, want: &Want) -> u64 {
        if want.adapter.is_empty() { self.model_ms(report, &want.model) } else { ADAPTER_USUAL_MS }
    }

    /// Milliseconds that a model's load takes here, by where the nearest copy is.
    fn model_ms(&self, report: &EngineReport, model: &str) -> u64 {
        let spec = self.engine().and_then(|engine| engine.model(model));
        let Some(spec) = spec else { return 0 };
        if report.in_memory.iter().any(|name| name == model) {
            spec.memory_ms
        } else if report.on_disk.iter().any(|name| name == model) {
            spec.disk_ms
        } else {
            spec.store_ms * u64::from(self.store_slow.max(1_000)) / 1_000
        }
    }

    fn store_loads(&self, report: &EngineReport) -> u32 {
        let far = self.plan.iter().map(|one| &one.want).filter(|want| {
            want.adapter.is_empty()
                && !holds(report, &want.model, "")
                && !report.has_copy(&want.model)
        });
        far.count() as u32
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(SideEffect::Log(event));
    }
}

/// The first token for a start of the endpoint.
///
/// Only this side orders its endpoint. Its tokens count on from the orders that the endpoint has
/// accepted, and where it says so from the moment of its start: a side that starts again never falls
/// below its last token, nor does one beside an endpoint that does, without keeping anything and
/// without the platform's store.
fn first_token(report: &EngineReport) -> u64 {
    report.started.map_or(0, |start| start.0) + report.sequence + 1
}
