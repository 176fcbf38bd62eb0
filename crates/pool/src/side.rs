//! The side's reducer: which order its endpoint gets next.
//!
//! The side is the only process that gives orders to its endpoint, so nothing has to be agreed with
//! others. Each order names the instance and the number of orders that the endpoint has accepted:
//! one that is delayed and arrives after another was accepted, or after a restart, does nothing.

use std::{collections::VecDeque, sync::Arc};

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, ModelState, SideState, Want};

use crate::{
    member::HeldModel,
    rate::Rate,
    text::{EngineSpec, ServingText},
};

/// Milliseconds between looks at the endpoint while an order is under way: a load takes 440 or
/// more, and each look is free from the same instance.
const BUSY_POLL_MS: u64 = 20;
/// Milliseconds between looks at rest.
const IDLE_POLL_MS: u64 = 200;
/// Milliseconds between states that say nothing new.
const PUBLISH_MS: u64 = 500;
/// Milliseconds for which a model stays once it was loaded for somebody: requests that wait for it
/// elsewhere are on their way.
const MIN_STAY_MS: u64 = 300;
/// Milliseconds for which an adapter stays once used: its request must have begun.
const ADAPTER_STAY_MS: u64 = 150;
/// Milliseconds between the word that a model makes way and its unloading: entries hear it and
/// stop sending, or what is under way to the endpoint would be refused there.
const NOTICE_MS: u64 = 12;
/// Milliseconds that an unload may wait for its runs: longer than any route lets a request last.
const UNLOAD_MS: u64 = 16_000;
/// Milliseconds that an unload takes, measured: 20 to 70 without runs, 400 with.
const UNLOAD_USUAL_MS: u64 = 150;
/// Milliseconds that an adapter takes, measured with the look that shows it.
const ADAPTER_USUAL_MS: u64 = 25;
/// Wants that wait at most; more cannot be met in time (a load takes over 400 ms).
const WANT_LIMIT: usize = 16;
/// Milliseconds without a look that succeeded after which the endpoint counts as unsound.
const UNSOUND_MS: u64 = 1_000;
/// Milliseconds after which an order that got no answer is given again. It cannot take effect
/// twice: both carry the same expected sequence.
const REPEAT_MS: u64 = 400;

/// What the endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineReport {
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way, as `model/adapter`.
    pub pending: Vec<String>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Requests that run.
    pub active: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Memory for prompts in use, in thousandths.
    pub kv_share: u32,
    /// Models with a copy in the instance's memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on the instance's disk.
    pub on_disk: Vec<String>,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Fetch.
    Load,
    /// Make way.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Names the order at this side.
    pub number: u64,
    /// What it does.
    pub kind: OrderKind,
    /// The model's name.
    pub model: String,
    /// The adapter's own name, or empty.
    pub adapter: String,
    /// Orders that the endpoint must have accepted before it.
    pub sequence: u64,
    /// The fencing token.
    pub token: u64,
    /// The instance that is meant.
    pub instance: String,
}

/// What the endpoint said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is under way, or holds already.
    Accepted,
    /// Another is under way, or the sequence differs.
    Conflict,
    /// It will not be carried out.
    Rejected,
    /// No answer came.
    Unknown,
}

/// Names one entry's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryLink(pub u64);

/// What happens at a side.
#[derive(Debug, Clone)]
pub enum SideEvent {
    /// A text was read from an entry.
    Text(Arc<ServingText>),
    /// The endpoint told its state; `None` if it did not answer.
    Report(Option<EngineReport>),
    /// An entry asks for a model.
    Want(EntryLink, Want),
    /// An entry has sent a request to the endpoint.
    Used(ModelName),
    /// The endpoint answered an order; with its name if the order meant another start of it.
    Ordered(u64, OrderOutcome, Option<String>),
    /// So many entries are connected.
    Entries(u32),
    /// Time has passed.
    Tick,
}

/// What a side does.
#[derive(Debug, Clone, PartialEq)]
pub enum SideEffect {
    /// Ask the endpoint for its state.
    Poll,
    /// Give an order.
    Order(Order),
    /// Tell all entries.
    Publish(SideState),
    /// Tell one entry that its want will not be met here.
    Decline(EntryLink, ModelName),
    /// Write a log line.
    Log(LogEvent),
}

/// An order that was given.
#[derive(Debug, Clone)]
struct Given {
    order: Order,
    at: Millis,
    outcome: Option<OrderOutcome>,
    /// Whether it is a load from the weight store.
    far: bool,
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
struct Usage {
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
    /// The name of the endpoint's present start, once an order that meant another told it.
    instance: Option<String>,
    plan: VecDeque<Planned>,
    model_order: Option<Given>,
    adapter_order: Option<Given>,
    numbers: u64,
    usage: Map<String, Usage>,
    arrived: Map<String, Millis>,
    store_load: Option<Millis>,
    /// The last store load's time against its usual one, in thousandths.
    store_slow: u32,
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
            instance: None,
            plan: VecDeque::new(),
            model_order: None,
            adapter_order: None,
            numbers: 0,
            usage: Map::default(),
            arrived: Map::default(),
            store_load: None,
            store_slow: 0,
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
                if let Some(instance) = instance {
                    self.log(LogEvent::new("endpoint_named").with("instance", &instance));
                    self.plan.retain(|one| one.want.instance == instance);
                    self.instance = Some(instance);
                }
                self.take_outcome(number, outcome);
            }
            SideEvent::Entries(count) => self.entries = count,
            SideEvent::Tick => {}
        }
        self.advance();
        self.poll();
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
        let Some(report) = report else { return };
        self.seen = self.now;
        let old = self.report.as_ref().map(|old| old.sequence);
        if old.is_some_and(|old| report.sequence < old) {
            // The endpoint has started again: nothing that was asked of its last start holds, and
            // it has forgotten every token.
            self.log(LogEvent::new("endpoint_restarted").with("sequence", report.sequence));
            self.model_order = None;
            self.adapter_order = None;
            self.plan.clear();
            self.token = None;
            self.instance = None;
        }
        // What the first report shows was there before; nobody has just asked for it.
        let held = |name: &str| self.report.as_ref().is_none_or(|old| holds(old, name, ""));
        let fresh = report.models.iter().filter(|model| !held(&model.name));
        let fresh = fresh.map(|model| model.name.clone()).collect::<Vec<_>>();
        for name in fresh {
            self.arrived.insert(name, self.now);
        }
        // Only this side orders its endpoint. Its tokens count on from the orders that the endpoint
        // has accepted, so that a side that starts again never falls below its last token, without
        // keeping anything and without the platform's store.
        self.token.get_or_insert(report.sequence + 1);
        self.report = Some(report);
        self.settle();
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
            let usual = self.engine().and_then(|engine| engine.model(&given.order.model));
            let usual = usual.map_or(1, |spec| spec.store_ms.max(1));
            self.store_slow = (self.now.since(given.at) * 1_000 / usual) as u32;
        }
        let Some(report) = &self.report else { return };
        for planned in &mut self.plan {
            planned.victims.retain(|victim| holds(report, victim, ""));
        }
    }

    /// Plans what an entry asks for, or says at once that it will not be met here.
    ///
    /// Room is set aside and victims are named when the want is taken, and told to all entries
    /// with the next state. Otherwise several entries that act at the same moment each count on
    /// the other replicas of a busy model, and all of them are unloaded.
    fn take_want(&mut self, link: EntryLink, want: Want) {
        let until = self.now + want.ttl_ms;
        let same =
            |one: &&mut Planned| one.want.model == want.model && one.want.adapter == want.adapter;
        if let Some(known) = self.plan.iter_mut().find(same) {
            known.until = known.until.max(until);
            return;
        }
        let victims_named = want.victims.clone();
        let known = self.instance.as_ref();
        let gone = known.is_some_and(|instance| *instance != want.instance);
        let victims = if gone {
            None
        } else if want.adapter.is_empty() {
            self.make_room(&want)
        } else {
            Some(Vec::new())
        };
        match victims {
            Some(victims) if self.plan.len() < WANT_LIMIT => {
                self.log(
                    LogEvent::new("planned")
                        .with("model", &want.model)
                        .with("adapter", &want.adapter)
                        .with("victims", victims.join(","))
                        .with("before", self.plan.len())
                        .with("waiting", want.waiting),
                );
                self.plan.push_back(Planned { want, until, at: self.now, victims });
            }
            _ => {
                let name = ModelName { model: want.model, adapter: want.adapter };
                let free = self.free_mb();
                let stays = victims_named.iter().filter(|name| self.stays(name)).count();
                let leaving = victims_named.iter().filter(|name| self.is_leaving(name)).count();
                self.log(
                    LogEvent::new("declined")
                        .with("model", &name.model)
                        .with("gone", gone)
                        .with("free_mb", free as i64)
                        .with("victims", victims_named.join(","))
                        .with("stays", stays)
                        .with("leaving", leaving)
                        .with("planned", self.plan.len()),
                );
                self.effects.push(SideEffect::Decline(link, name));
            }
        }
    }

    /// Memory that is free once all that is planned is done, in MB.
    fn free_mb(&self) -> f64 {
        let (Some(report), Some(engine)) = (&self.report, self.engine()) else { return 0.0 };
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let coming = self.plan.iter().filter(|one| one.want.adapter.is_empty());
        let coming = coming.filter(|one| !holds(report, &one.want.model, ""));
        let coming = coming.map(|one| size(&one.want.model)).sum::<f64>();
        let going = self.plan.iter().flat_map(|one| &one.victims).map(|name| size(name));
        let held = report.models.iter().map(|model| size(&model.name)).sum::<f64>();
        engine.weights_mb - held - coming + going.sum::<f64>()
    }

    /// What has to make way for a model; `None` if it cannot be brought in.
    fn make_room(&self, want: &Want) -> Option<Vec<String>> {
        let report = self.report.as_ref()?;
        let engine = self.engine()?;
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let spec = engine.model(&want.model)?;
        if holds(report, &want.model, "") && !self.is_leaving(&want.model) {
            return Some(Vec::new());
        }
        let adapters = f64::from(engine.adapter_limit) * spec.adapter_mb;
        let mut free = self.free_mb() - adapters;
        let mut victims = Vec::new();
        let mut candidates = want
            .victims
            .iter()
            .filter(|name| holds(report, name, "") && !self.is_leaving(name) && !self.stays(name));
        while free < spec.weights_mb {
            let victim = candidates.next()?;
            free += size(victim);
            victims.push(victim.clone());
        }
        Some(victims)
    }

    fn is_leaving(&self, model: &str) -> bool {
        self.leaving().any(|name| name == model)
    }

    /// Models that are being unloaded, or will be.
    fn leaving(&self) -> impl Iterator<Item = &String> {
        let ordered = self.model_order.iter().map(|given| &given.order);
        let ordered = ordered.filter(|order| order.kind == OrderKind::Unload);
        let planned = self.plan.iter().flat_map(|one| &one.victims);
        ordered.map(|order| &order.model).chain(planned)
    }

    /// Whether a model was brought in just now, or is planned.
    fn stays(&self, model: &str) -> bool {
        let arrived = self.arrived.get(model);
        arrived.is_some_and(|at| self.now.since(*at) < MIN_STAY_MS)
            || self.plan.iter().any(|one| one.want.model == model)
    }

    fn engine(&self) -> Option<&EngineSpec> {
        self.text.as_ref()?.service(&self.service)?.engine.as_ref()
    }

    fn take_used(&mut self, used: &ModelName) {
        for name in [used.model.clone(), target_name(&used.model, &used.adapter)] {
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

    /// Gives the next orders that are due.
    fn advance(&mut self) {
        let now = self.now;
        let Some(report) = self.report.clone() else { return };
        // What an order is under way for stays planned: entries must see it coming.
        let ordered = self.model_order.as_ref().map(|given| given.order.model.clone());
        self.plan.retain(|one| {
            let met = holds(&report, &one.want.model, &one.want.adapter) && one.victims.is_empty();
            let current = ordered.as_ref() == Some(&one.want.model);
            !met && (now < one.until || current)
        });
        if now.since(self.seen) > UNSOUND_MS {
            return;
        }
        self.repeat_silent(&report);
        let Some(text) = self.text.clone() else { return };
        let service = text.service(&self.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return };
        // While a model comes or goes, the endpoint refuses every other order. Adapters take some
        // ten milliseconds and models hundreds at least, so adapters go first.
        if report.busy || self.model_order.is_some() || self.adapter_order.is_some() {
            return;
        }
        let (models, adapters): (Vec<_>, Vec<_>) =
            self.plan.iter().cloned().partition(|one| one.want.adapter.is_empty());
        for planned in adapters.iter().chain(&models) {
            if !self.can_order(&report) {
                return;
            }
            if planned.want.adapter.is_empty() {
                self.pursue_model(planned, &report, engine);
            } else {
                self.pursue_adapter(&planned.want, &report, engine);
            }
        }
    }

    /// Whether the last report shows all that was ordered, so that its sequence can be relied on.
    fn can_order(&self, report: &EngineReport) -> bool {
        let orders = self.model_order.iter().chain(&self.adapter_order);
        self.seen > self.stale_until
            && orders.into_iter().all(|given| report.sequence > given.order.sequence)
    }

    /// Gives an order again that got no answer and has had no effect.
    fn repeat_silent(&mut self, report: &EngineReport) {
        let now = self.now;
        let mut again = Vec::new();
        for given in [&mut self.model_order, &mut self.adapter_order].into_iter().flatten() {
            let silent = given.outcome.is_none_or(|outcome| outcome == OrderOutcome::Unknown);
            let due = silent && now.since(given.at) > REPEAT_MS;
            if due && report.sequence == given.order.sequence {
                given.at = now;
                given.outcome = None;
                again.push(given.order.clone());
            }
        }
        for order in again {
            self.log(LogEvent::new("order_repeated").with("order", order.number));
            self.effects.push(SideEffect::Order(order));
        }
    }

    fn pursue_model(&mut self, planned: &Planned, report: &EngineReport, engine: &EngineSpec) {
        let want = &planned.want;
        let Some(spec) = engine.model(&want.model) else { return };
        if let Some(victim) = planned.victims.first() {
            if self.now.since(planned.at) < NOTICE_MS {
                return;
            }
            self.give(OrderKind::Unload, victim, "", want, report);
            return;
        }
        // Memory is never overcommitted: what is held and on its way counts in full.
        if used_mb(report, engine) + spec.weights_mb > engine.weights_mb {
            self.log(LogEvent::new("no_room").with("model", &want.model));
            self.plan.retain(|one| one.want != *want);
            return;
        }
        let near = report.in_memory.contains(&want.model) || report.on_disk.contains(&want.model);
        if near || self.take_store_load(want.fleet, engine) {
            self.give(OrderKind::Load, &want.model, "", want, report);
        }
    }

    fn pursue_adapter(&mut self, want: &Want, report: &EngineReport, engine: &EngineSpec) {
        let Some(spec) = engine.model(&want.model) else { return };
        if !holds(report, &want.model, "")
            || self.is_leaving(&want.model)
            || report.pending.contains(&target_name(&want.model, &want.adapter))
        {
            return;
        }
        let held = report.models.iter().map(|model| model.adapters.len()).sum::<usize>();
        let room = held + report.pending.len() < engine.adapter_limit as usize;
        if room && used_mb(report, engine) + spec.adapter_mb <= engine.weights_mb {
            self.give(OrderKind::Load, &want.model, &want.adapter, want, report);
            return;
        }
        let adapters = report.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| (model.name.clone(), adapter.clone()))
        });
        let last = |model: &str, adapter: &str| {
            self.usage.get(&target_name(model, adapter)).map_or(Millis(0), |usage| usage.last)
        };
        let oldest = adapters.min_by_key(|(model, adapter)| last(model, adapter));
        let Some((model, adapter)) = oldest else { return };
        if self.now.since(last(&model, &adapter)) >= ADAPTER_STAY_MS {
            self.give(OrderKind::Unload, &model, &adapter, want, report);
        }
    }

    /// Takes the right to one load from the weight store.
    ///
    /// Each engine takes its even part of the store's rate, so that all together stay within it
    /// without a message or a call.
    fn take_store_load(&mut self, fleet: u32, engine: &EngineSpec) -> bool {
        let pause_ms = f64::from(fleet.max(1)) * 1_000.0 / engine.loads_per_s.max(0.001);
        let early = |at: Millis| (self.now.since(at) as f64) < pause_ms;
        if self.store_load.is_some_and(early) {
            return false;
        }
        self.store_load = Some(self.now);
        true
    }

    fn give(
        &mut self,
        kind: OrderKind,
        model: &str,
        adapter: &str,
        want: &Want,
        report: &EngineReport,
    ) {
        let Some(token) = self.token else { return };
        self.numbers += 1;
        let order = Order {
            number: self.numbers,
            kind,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            sequence: report.sequence,
            token,
            instance: want.instance.clone(),
        };
        self.log(
            LogEvent::new("order")
                .with("order", order.number)
                .with("kind", if kind == OrderKind::Load { "load" } else { "unload" })
                .with("model", model)
                .with("adapter", adapter)
                .with("wanted", &want.model)
                .with("waiting", want.waiting)
                .with("sequence", report.sequence)
                .with("age_ms", self.now.since(self.seen)),
        );
        let near = report.in_memory.contains(&order.model) || report.on_disk.contains(&order.model);
        let far = kind == OrderKind::Load && adapter.is_empty() && !near;
        let given = Some(Given { order: order.clone(), at: self.now, outcome: None, far });
        if adapter.is_empty() {
            self.model_order = given;
        } else {
            self.adapter_order = given;
        }
        self.effects.push(SideEffect::Order(order));
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
        let wants = self.plan.iter().map(|one| target_name(&one.want.model, &one.want.adapter));
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
            store_loads: self.store_loads(report),
            store_slow: self.store_slow,
            text: self.text_version(),
            instance: self.instance.clone().unwrap_or_default(),
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

    /// Milliseconds that a load takes here, by where the nearest copy is.
    fn load_ms(&self, report: &EngineReport, want: &Want) -> u64 {
        let spec = self.engine().and_then(|engine| engine.model(&want.model));
        let Some(spec) = spec.filter(|_| want.adapter.is_empty()) else { return ADAPTER_USUAL_MS };
        if report.in_memory.contains(&want.model) {
            spec.memory_ms
        } else if report.on_disk.contains(&want.model) {
            spec.disk_ms
        } else {
            spec.store_ms * u64::from(self.store_slow.max(1_000)) / 1_000
        }
    }

    fn store_loads(&self, report: &EngineReport) -> u32 {
        let far = self.plan.iter().map(|one| &one.want).filter(|want| {
            want.adapter.is_empty()
                && !holds(report, &want.model, "")
                && !report.in_memory.contains(&want.model)
                && !report.on_disk.contains(&want.model)
        });
        far.count() as u32
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(SideEffect::Log(event));
    }
}

/// Whether two states differ only in what changes all the time.
fn same_news(a: &SideState, b: &SideState) -> bool {
    let names = |state: &SideState| {
        let models =
            state.models.iter().map(|one| (one.name.clone(), one.adapters.clone(), one.fixed));
        models.collect::<Vec<_>>()
    };
    a.sequence == b.sequence
        && a.loading == b.loading
        && a.leaving == b.leaving
        && a.sound == b.sound
        && a.store_loads == b.store_loads
        && a.store_slow == b.store_slow
        && a.instance == b.instance
        && a.text == b.text
        && names(a) == names(b)
}

/// How an order has ended, if it has.
fn outcome_of(given: &Given, report: &EngineReport, now: Millis) -> Option<bool> {
    let order = &given.order;
    let there = holds(report, &order.model, &order.adapter);
    let done = match order.kind {
        OrderKind::Load => there,
        OrderKind::Unload => !there,
    };
    if done {
        return Some(true);
    }
    // An unload waits for its runs, and meanwhile the model is still told as held.
    let unloading = order.kind == OrderKind::Unload && now.since(given.at) < UNLOAD_MS;
    let coming = report.pending.contains(&target_name(&order.model, &order.adapter));
    let accepted = report.sequence > order.sequence;
    let over = accepted && !report.busy && !coming && now.since(given.at) > BUSY_POLL_MS;
    (over && !unloading).then_some(false)
}

fn target_name(model: &str, adapter: &str) -> String {
    if adapter.is_empty() { model.to_owned() } else { format!("{model}/{adapter}") }
}

fn holds(report: &EngineReport, model: &str, adapter: &str) -> bool {
    let held = report.models.iter().find(|held| held.name == model);
    held.is_some_and(|held| adapter.is_empty() || held.adapters.iter().any(|one| one == adapter))
}

/// Memory taken by what is held or on its way, in MB.
fn used_mb(report: &EngineReport, engine: &EngineSpec) -> f64 {
    let spec = |name: &str| engine.model(name);
    let held = report.models.iter().map(|model| {
        spec(&model.name)
            .map_or(0.0, |spec| spec.weights_mb + spec.adapter_mb * model.adapters.len() as f64)
    });
    let coming = report.pending.iter().filter_map(|name| {
        let (model, _) = name.split_once('/')?;
        spec(model).map(|spec| spec.adapter_mb)
    });
    held.sum::<f64>() + coming.sum::<f64>()
}
