//! The side's reducer: which order its endpoint gets next.
//!
//! The side is the only process that gives orders to its endpoint, so no agreement with other
//! processes is needed. Each order names the instance and the number of orders that the endpoint
//! has accepted. An order that is delayed and arrives after another was accepted, or after a
//! restart, has no effect.

mod credit;
mod incarnation_name;
mod missed;
mod orders;
mod plan;
mod report;
mod shares;
mod store_queue;
mod streams;
mod suspects;
mod types;

use std::{collections::VecDeque, sync::Arc};

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{LoadRequest, ModelState, SideState, UsageReport};

pub use self::types::{
    EngineReport, EntryLink, Order, OrderKind, OrderOutcome, SideEffect, SideEvent,
};
use self::{
    credit::Limits,
    incarnation_name::IncarnationName,
    missed::MissRates,
    report::{holds, load_moved, order_result, same_except_load},
    store_queue::StoreLoads,
    streams::StreamRegistry,
    suspects::SuspectRegistry,
};
use crate::{
    config::{EngineSpec, LATE_LOAD_MILLI, ServingConfig},
    incarnation::{IncarnationChange, KnownIncarnation},
    limits::LimitBounds,
    member::full_name,
    rate::Rate,
    server_load::Pace,
    shares::ShareDivider,
};

/// Milliseconds between polls of the endpoint while an order is in progress: a load takes
/// 440 ms or more, and a poll from the same instance costs nothing.
const BUSY_POLL_MS: u64 = 20;
/// Milliseconds between polls while no order is in progress.
const IDLE_POLL_MS: u64 = 200;
/// Milliseconds between published states that contain no change.
const PUBLISH_INTERVAL_MS: u64 = 500;
/// Minimum milliseconds between two states that are published because of the load alone.
pub(crate) const LOAD_INTERVAL_MS: u64 = 100;
/// Typical milliseconds of an unload: 20 to 70 ms without running requests, 400 ms with them.
const TYPICAL_UNLOAD_MS: u64 = 150;
/// Typical milliseconds of an adapter load, including the poll that shows it.
const TYPICAL_ADAPTER_MS: u64 = 25;
/// Milliseconds without a successful poll after which the endpoint counts as unhealthy.
const UNHEALTHY_MS: u64 = 1_000;

/// Steps in which the duration of a late load is published, so that it does not cause an update
/// every millisecond.
const OVERDUE_STEP: u32 = 200;

/// An order that was given to the endpoint.
#[derive(Debug, Clone)]
struct IssuedOrder {
    order: Order,
    issued_at: Millis,
    outcome: Option<OrderOutcome>,
    /// Whether it is a load from the weight store.
    from_store: bool,
    /// Concurrent loads from the weight store when it was requested, including this one.
    concurrent: u32,
}

/// An accepted load request, with the models that are evicted for it.
#[derive(Debug, Clone)]
struct PlannedLoad {
    request: LoadRequest,
    deadline: Millis,
    /// When it was planned and published to all entries.
    planned_at: Millis,
    /// Models still to be unloaded for it.
    evictions: Vec<String>,
}

#[derive(Debug, Clone, Copy, Default)]
struct UsageRate {
    rate: Rate,
    last_used: Millis,
}

/// Decides which orders one endpoint gets.
#[derive(Debug)]
pub struct PoolSide {
    service: String,
    now: Millis,
    config: Option<Arc<ServingConfig>>,
    report: Option<EngineReport>,
    reported_at: Millis,
    /// When the last poll began, and whether its reply is outstanding.
    polled_at: Option<Millis>,
    polling: bool,
    /// No order is based on a report older than this, because the last order was refused.
    stale_until: Millis,
    token: Option<u64>,
    incarnation_name: IncarnationName,
    incarnation: KnownIncarnation,
    plan: VecDeque<PlannedLoad>,
    model_order: Option<IssuedOrder>,
    adapter_order: Option<IssuedOrder>,
    last_number: u64,
    usage: Map<String, UsageRate>,
    misses: MissRates,
    loaded_at: Map<String, Millis>,
    last_store_load: Option<Millis>,
    /// Duration of the last load from the weight store relative to its usual one, in thousandths.
    store_slowdown: u32,
    /// Concurrent loads from the weight store when that load was requested.
    store_concurrent: u32,
    entries: u32,
    published: Option<(Millis, SideState)>,
    streams: StreamRegistry,
    suspects: SuspectRegistry,
    limits: Limits,
    store_queue: StoreLoads,
    shares: ShareDivider,
    effects: Vec<SideEffect>,
}

impl PoolSide {
    /// Creates the side of an endpoint of `service`.
    pub fn new(service: &str) -> PoolSide {
        PoolSide {
            service: service.to_owned(),
            now: Millis(0),
            config: None,
            report: None,
            reported_at: Millis(0),
            polled_at: None,
            polling: false,
            stale_until: Millis(0),
            token: None,
            incarnation_name: IncarnationName::unknown(),
            incarnation: KnownIncarnation::default(),
            plan: VecDeque::new(),
            model_order: None,
            adapter_order: None,
            last_number: 0,
            usage: Map::default(),
            misses: MissRates::default(),
            loaded_at: Map::default(),
            last_store_load: None,
            store_slowdown: 0,
            store_concurrent: 0,
            entries: 0,
            published: None,
            suspects: SuspectRegistry::default(),
            limits: Limits::default(),
            store_queue: StoreLoads::default(),
            shares: ShareDivider::default(),
            streams: StreamRegistry::default(),
            effects: Vec::new(),
        }
    }

    /// Sets by how much organisations' limits may be exceeded.
    pub fn with_limits(mut self, bounds: LimitBounds) -> PoolSide {
        self.limits.bounds = bounds;
        self
    }

    /// Sets that the whole system starts for the first time: no stream has begun before.
    pub fn with_first_start(mut self, first_start: bool) -> PoolSide {
        self.streams.set_complete(first_start);
        self
    }

    /// Returns the version of the known configuration, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: Millis, event: SideEvent) -> Vec<SideEffect> {
        self.now = now;
        match event {
            SideEvent::Config(config) => self.set_config(config),
            SideEvent::Report(report) => self.handle_report(report),
            SideEvent::LoadRequest(link, request) => self.handle_load_request(link, request),
            SideEvent::Usage(report) => self.record_usage(&report),
            SideEvent::OrderAnswered(number, outcome, instance) => {
                self.handle_outcome(number, outcome);
                if let Some(instance) = instance {
                    self.set_name(&instance);
                }
            }
            SideEvent::NameReported(instance) => self.set_name(&instance),
            SideEvent::EntryCount(count) => self.entries = count,
            SideEvent::EntryConnected(link, ip) => self.entry_connected(link, ip),
            SideEvent::EntryLost(link, silent) => self.entry_lost(link, silent),
            SideEvent::CreditReport(link, report) => self.issue_credit(link, &report),
            SideEvent::StoreLoads(link, message) => self.queue_store_loads(link, message),
            SideEvent::Shares(link, message) => self.handle_shares(link, message),
            SideEvent::Suspects(link, message) => self.handle_suspects(link, message),
            SideEvent::Streams(link, message) => self.handle_streams(link, message),
            SideEvent::Tick => self.grant_store_loads(),
        }
        self.issue_orders();
        self.poll();
        self.query_name();
        self.publish();
        std::mem::take(&mut self.effects)
    }

    fn set_config(&mut self, config: Arc<ServingConfig>) {
        if config.version > self.config_version() {
            self.log(LogEvent::new("text").with("version", config.version));
            self.config = Some(config);
        }
    }

    fn handle_report(&mut self, report: Option<EngineReport>) {
        self.polling = false;
        let Some(report) = report else {
            self.incarnation_name.query_again();
            return;
        };
        match self.classify_report(&report) {
            IncarnationChange::Same => {}
            IncarnationChange::New => self.handle_restart(&report),
            IncarnationChange::Older => {
                let known = self.incarnation.start_time().map_or(0, |start| start.0);
                let event = LogEvent::new("report_out_of_date").with("known", known);
                let event = event.with("started", report.started.map_or(0, |start| start.0));
                self.log(event.with("sequence", report.sequence));
                return;
            }
        }
        self.reported_at = self.now;
        if self.report.is_none() && report.started.is_none() {
            // Without a start time, a restart shows only in the count of orders and may be missed.
            self.log(LogEvent::new("start_untold").with("sequence", report.sequence));
        }
        // Models in the first report were loaded earlier and not on a recent request.
        let held = |name: &str| self.report.as_ref().is_none_or(|old| holds(old, name, ""));
        let newly_loaded = report.models.iter().filter(|model| !held(&model.name));
        let newly_loaded = newly_loaded.map(|model| model.name.clone()).collect::<Vec<_>>();
        for name in newly_loaded {
            self.record_store_load(&name);
            self.loaded_at.insert(name, self.now);
        }
        self.token.get_or_insert(first_token(&report));
        self.report = Some(report);
        self.close_orders();
    }

    /// Classifies the incarnation that a report belongs to.
    ///
    /// The count of orders alone shows a restart only if it falls. An endpoint that crashed and had
    /// accepted the same number of orders again by the next poll would be taken for its previous
    /// incarnation, with models that it no longer holds. If the endpoint reports its start time,
    /// that decides, and a lower count with the same start time is a report that arrived late.
    fn classify_report(&mut self, report: &EngineReport) -> IncarnationChange {
        let count_fell = self.report.as_ref().is_some_and(|old| report.sequence < old.sequence);
        match self.incarnation.update(report.started, self.now) {
            IncarnationChange::Same if count_fell && report.started.is_some() => {
                IncarnationChange::Older
            }
            IncarnationChange::Same if count_fell => IncarnationChange::New,
            change => change,
        }
    }

    /// Resets the state after a restart of the endpoint: orders and plans for the previous
    /// incarnation are void, and the endpoint has lost its fencing tokens.
    fn handle_restart(&mut self, report: &EngineReport) {
        let event = LogEvent::new("endpoint_restarted").with("sequence", report.sequence);
        self.log(event.with("started", report.started.map_or(0, |start| start.0)));
        self.model_order = None;
        self.adapter_order = None;
        self.plan.clear();
        self.loaded_at.clear();
        self.store_queue.clear_residents();
        // An order for the previous incarnation that is still in flight may be carried out by this
        // one, which may have the same name. Tokens that increase across incarnations prevent this.
        let last_token = self.token.filter(|_| report.started.is_some());
        self.token = Some(first_token(report).max(last_token.map_or(0, |token| token + 1)));
        self.incarnation_name.clear(self.now);
        self.report = None;
    }

    /// Closes orders that the endpoint has completed or abandoned.
    fn close_orders(&mut self) {
        let Some(report) = &self.report else { return };
        let from_store = self.model_order.as_ref().filter(|issued| issued.from_store).cloned();
        let mut ended = Vec::new();
        for slot in [&mut self.model_order, &mut self.adapter_order] {
            let Some(issued) = slot else { continue };
            if let Some(done) = order_result(issued, report, self.now) {
                let order = &issued.order;
                let event = LogEvent::new("order_ended")
                    .with("order", order.number)
                    .with("model", &order.model)
                    .with("adapter", &order.adapter)
                    .with("done", done)
                    .with("sequence", report.sequence)
                    .with("took_ms", self.now.since(issued.issued_at));
                ended.push(event);
                *slot = None;
            }
        }
        ended.into_iter().for_each(|event| self.log(event));
        if let (Some(issued), None) = (from_store, &self.model_order) {
            self.store_slowdown = self.slowdown(&issued);
            self.store_concurrent = issued.concurrent;
        }
        let Some(report) = &self.report else { return };
        for planned in &mut self.plan {
            planned.evictions.retain(|model| holds(report, model, ""));
        }
    }

    fn engine(&self) -> Option<&EngineSpec> {
        self.config.as_ref()?.service(&self.service)?.engine.as_ref()
    }

    fn record_usage(&mut self, report: &UsageReport) {
        if report.missed {
            self.misses.add(&report.model, self.now);
            return;
        }
        for name in [report.model.clone(), full_name(&report.model, &report.adapter)] {
            let usage = self.usage.entry(name).or_default();
            usage.rate.add(self.now);
            usage.last_used = self.now;
            if report.adapter.is_empty() {
                break;
            }
        }
    }

    fn handle_outcome(&mut self, number: u64, outcome: OrderOutcome) {
        let has_number = |slot: &Option<IssuedOrder>| {
            slot.as_ref().is_some_and(|issued| issued.order.number == number)
        };
        let slot = if has_number(&self.model_order) {
            &mut self.model_order
        } else if has_number(&self.adapter_order) {
            &mut self.adapter_order
        } else {
            return;
        };
        let mut refused = None;
        if matches!(outcome, OrderOutcome::Conflict | OrderOutcome::Rejected) {
            refused = slot.take();
            // The endpoint's state differs from the last report: the next order waits for a newer
            // one.
            self.stale_until = self.now;
            if outcome == OrderOutcome::Rejected {
                self.incarnation_name.clear(self.now);
            }
        } else if let Some(issued) = slot {
            issued.outcome = Some(outcome);
        }
        if let (Some(issued), OrderOutcome::Rejected) = (refused, outcome) {
            self.plan.retain(|planned| {
                planned.request.model != issued.order.model
                    || planned.request.instance != issued.order.instance
            });
        }
        let outcome_name = format!("{outcome:?}").to_lowercase();
        self.log(
            LogEvent::new("order_answered").with("order", number).with("outcome", outcome_name),
        );
    }

    /// Stores the name of the endpoint's current incarnation and drops load requests for any other.
    fn set_name(&mut self, instance: &str) {
        if self.incarnation_name.set(instance) {
            self.log(LogEvent::new("endpoint_named").with("instance", instance));
            self.plan.retain(|planned| planned.request.instance == instance);
        }
    }

    /// Asks the endpoint for its name if the name is uncertain.
    fn query_name(&mut self) {
        let reachable = self.report.is_some() && self.now.since(self.reported_at) <= IDLE_POLL_MS;
        let service = self.config.as_ref().and_then(|config| config.service(&self.service));
        let path = service.map(|service| service.health_path.clone());
        let Some(path) = path.filter(|path| reachable && !path.is_empty()) else { return };
        if self.incarnation_name.take_query(self.now) {
            self.effects.push(SideEffect::QueryName(path));
        }
    }

    fn poll(&mut self) {
        let wait = self.tick_interval_ms();
        // Counted from the start of the last poll, not from its reply: an endpoint that is down
        // refuses immediately and would be polled thousands of times a second.
        let due = self.polled_at.is_none_or(|at| self.now.since(at) >= wait);
        let timed_out = self.polled_at.is_some_and(|at| self.now.since(at) > UNHEALTHY_MS);
        if due && !self.polling || timed_out {
            self.polled_at = Some(self.now);
            self.polling = true;
            self.effects.push(SideEffect::Poll);
        }
    }

    /// Returns the milliseconds after which the next [`SideEvent::Tick`] is due.
    pub fn tick_interval_ms(&self) -> u64 {
        let busy = self.model_order.is_some() || !self.plan.is_empty();
        if busy || self.adapter_order.is_some() { BUSY_POLL_MS } else { IDLE_POLL_MS }
    }

    fn publish(&mut self) {
        let Some(state) = self.state() else { return };
        let changed = match &self.published {
            None => true,
            Some((at, published)) => {
                self.now.since(*at) >= PUBLISH_INTERVAL_MS
                    || !same_except_load(published, &state)
                    || self.now.since(*at) >= LOAD_INTERVAL_MS && load_moved(published, &state)
            }
        };
        if changed {
            self.published = Some((self.now, state.clone()));
            self.effects.push(SideEffect::Publish(Box::new(state)));
        }
    }

    /// Returns the state that is published to the entries.
    pub fn state(&self) -> Option<SideState> {
        let report = self.report.as_ref()?;
        let usage = |name: &str| self.usage.get(name).copied().unwrap_or_default();
        let models = report.models.iter().map(|model| ModelState {
            name: model.name.clone(),
            adapters: model.adapters.clone(),
            rate_milli: (usage(&model.name).rate.per_s(self.now) * 1_000.0) as u32,
            pinned: self.is_protected(&model.name),
            from_store: self.came_from_store(&model.name),
        });
        let store_overdue = self.store_overdue();
        let late = self.model_order.as_ref().filter(|_| store_overdue > 0);
        let loading = self
            .plan
            .iter()
            .map(|planned| full_name(&planned.request.model, &planned.request.adapter));
        Some(SideState {
            sequence: report.sequence,
            models: models.collect(),
            in_memory: report.in_memory.clone(),
            on_disk: report.on_disk.clone(),
            loading: loading.collect(),
            evicting: self.unloading().cloned().collect(),
            active: report.active,
            queued: report.queued,
            kv_used_milli: report.kv_used_milli,
            entries: self.entries,
            endpoint_limits: self.endpoint_limits(),
            healthy: self.now.since(self.reported_at) <= UNHEALTHY_MS,
            load_eta_ms: self.load_eta_ms(report),
            order_eta_ms: self.order_eta_ms(report),
            store_loads: self.store_loads(report),
            store_slowdown: self.store_slowdown,
            config_version: self.config_version(),
            instance: self.incarnation_name.name().unwrap_or_default().to_owned(),
            service: self.service.clone(),
            started: self.incarnation.start_time().map(|start| start.0),
            missed: self.misses.rates(self.now),
            store_overdue,
            store_concurrent: late.map_or(self.store_concurrent, |issued| issued.concurrent),
            tracks_suspects: true,
            issues_credit: true,
            divides_shares: true,
            tracks_streams: true,
            known_entries: self.known_entries(),
            leaving: report.leaving,
            queues_store_loads: true,
            pace: report.pace.map_or(0, Pace::percent),
        })
    }

    /// Returns the estimated milliseconds until all planned loads are complete.
    fn load_eta_ms(&self, report: &EngineReport) -> u64 {
        let plan = self.plan.iter().map(|planned| {
            planned.evictions.len() as u64 * TYPICAL_UNLOAD_MS
                + self.load_ms(report, &planned.request)
        });
        let elapsed =
            self.model_order.as_ref().map_or(0, |issued| self.now.since(issued.issued_at));
        plan.sum::<u64>().saturating_sub(elapsed)
    }

    /// Returns the estimated milliseconds until the current model order is complete.
    fn order_eta_ms(&self, report: &EngineReport) -> u64 {
        let Some(issued) = &self.model_order else { return 0 };
        let total = match issued.order.kind {
            OrderKind::Load => self.model_load_ms(report, &issued.order.model),
            OrderKind::Unload => TYPICAL_UNLOAD_MS,
        };
        total.saturating_sub(self.now.since(issued.issued_at))
    }

    /// Returns the duration so far of the current load from the weight store, in thousandths of its
    /// usual time and in steps of [`OVERDUE_STEP`], or 0 while it is not late.
    fn store_overdue(&self) -> u32 {
        let Some(issued) = self.model_order.as_ref().filter(|issued| issued.from_store) else {
            return 0;
        };
        let slowdown = self.slowdown(issued);
        if slowdown < LATE_LOAD_MILLI { 0 } else { slowdown - slowdown % OVERDUE_STEP }
    }

    /// Returns the duration so far of a load from the weight store, in thousandths of its usual
    /// time.
    fn slowdown(&self, issued: &IssuedOrder) -> u32 {
        let spec = self.engine().and_then(|engine| engine.model(&issued.order.model));
        let usual = spec.map_or(1, |spec| spec.store_ms.max(1));
        (self.now.since(issued.issued_at) * 1_000 / usual) as u32
    }

    /// Returns the estimated milliseconds of the requested load on this endpoint.
    fn load_ms(&self, report: &EngineReport, request: &LoadRequest) -> u64 {
        if request.adapter.is_empty() {
            self.model_load_ms(report, &request.model)
        } else {
            TYPICAL_ADAPTER_MS
        }
    }

    /// Returns the estimated milliseconds of a model load on this endpoint, by the nearest cached
    /// weights.
    fn model_load_ms(&self, report: &EngineReport, model: &str) -> u64 {
        let spec = self.engine().and_then(|engine| engine.model(model));
        let Some(spec) = spec else { return 0 };
        if report.in_memory.iter().any(|name| name == model) {
            spec.memory_ms
        } else if report.on_disk.iter().any(|name| name == model) {
            spec.disk_ms
        } else {
            spec.store_ms * u64::from(self.store_slowdown.max(1_000)) / 1_000
        }
    }

    fn store_loads(&self, report: &EngineReport) -> u32 {
        let from_store = self.plan.iter().map(|planned| &planned.request).filter(|request| {
            request.adapter.is_empty()
                && !holds(report, &request.model, "")
                && !report.has_cached_weights(&request.model)
        });
        from_store.count() as u32
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(SideEffect::Log(event));
    }
}

/// Returns the first fencing token for an incarnation of the endpoint.
///
/// Only this side gives orders to its endpoint. Its tokens continue from the number of orders that
/// the endpoint has accepted, plus its start time if reported. A restart of the side or of the
/// endpoint therefore never goes below the last token, without persistent state and without the
/// platform store.
fn first_token(report: &EngineReport) -> u64 {
    report.started.map_or(0, |start| start.0) + report.sequence + 1
}
