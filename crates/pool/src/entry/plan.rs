//! The plan of which models stay loaded at which endpoint, and idle moves toward it.

use citronrill_base::{Map, Millis, ModelKey, Set};
use citronrill_decide::LogEvent;

use super::{
    EntryEffect, PoolEntry, Stage,
    demand::BUSY_RATE,
    placement::{ModelLoad, Place},
    replicas::{desired_replicas, required_replicas},
};
use crate::{
    config::{EngineSpec, ModelSpec, Service},
    endpoint::{Endpoint, FRESH_MS},
    placement_plan::{PlacementPlan, PlanEndpoint, PlanInput, PlanModel},
};

/// Minimum milliseconds between two plans: a load takes about as long.
const RENEW_MS: u64 = 500;
/// Checks of a plan for each millisecond until the next one. At 30 ns each, plans take at most 0.6 ms
/// of processor time a second.
const CHECKS_PER_MS: u64 = 20;
/// Requests per second from which a model is in demand: one within the 30 s for which preloads look
/// ahead. The rate of a model that is requested each four seconds stays above it in 99 of 100 pauses.
const USED_RATE: f64 = 1.0 / 30.0;
/// Factor by which the measured rate of a steadily requested model varies: by 15 % at 30 requests per
/// second in the fast average. A replica stays planned until the rate is lower by more.
const RATE_SPREAD: f64 = 1.15;
/// Minimum milliseconds between two log lines on the plan of a service.
const LOG_MS: u64 = 10_000;

/// The plan for one service.
#[derive(Debug, Default)]
struct ServicePlan {
    /// Version of the configuration that the plan is for.
    version: u64,
    /// Keys of the service's models, in the order of the configuration.
    keys: Vec<ModelKey>,
    /// Position of each model in `keys`.
    index: Map<ModelKey, u16>,
    input: PlanInput,
    /// Models planned at each instance.
    places: Map<String, Set<ModelKey>>,
    /// Number of endpoints at which each model is planned.
    replicas: Map<ModelKey, usize>,
    /// Models that one endpoint has loaded and none has cached.
    uncached: Set<ModelKey>,
    /// When the last report came that each endpoint is healthy.
    usable_at: Map<String, Millis>,
    /// Before this time, the plan is not renewed.
    next_at: Millis,
    logged_at: Option<Millis>,
    /// When a move was last looked for.
    searched_at: Option<Millis>,
}

/// The plans of the services that are scheduled by expected wait.
#[derive(Debug, Default)]
pub(super) struct Plans(Map<String, ServicePlan>);

impl Plans {
    /// Returns whether a model is planned at an endpoint.
    fn is_planned(&self, endpoint: &Endpoint, model: ModelKey) -> bool {
        let plan = self.0.get(&endpoint.member.service);
        let models = plan.and_then(|plan| plan.places.get(&endpoint.member.instance));
        models.is_some_and(|models| models.contains(&model))
    }

    /// Returns whether the plan of a service, if there is one, has more than `count` replicas of a model.
    pub(super) fn has_room(&self, service: &str, model: ModelKey, count: usize) -> bool {
        let plan = self.0.get(service);
        plan.is_none_or(|plan| plan.replicas.get(&model).is_some_and(|planned| *planned > count))
    }

    /// Returns the milliseconds that loading a model at an endpoint costs because its planned place is
    /// another one: it is loaded once more to get there.
    pub(super) fn detour_ms(&self, endpoint: &Endpoint, model: ModelKey, spec: &ModelSpec) -> f64 {
        let plan = self.0.get(&endpoint.member.service);
        let elsewhere = plan.is_some_and(|plan| plan.replicas.contains_key(&model))
            && !self.is_planned(endpoint, model);
        if elsewhere { spec.disk_ms as f64 } else { 0.0 }
    }

    /// Returns the milliseconds by which the eviction of a model costs more than `loss`, which is lost
    /// until it is back.
    ///
    /// A planned model takes its place back, so that the model that took it is missed next. The last
    /// copy of a model comes back from the weight store only.
    pub(super) fn eviction_ms(
        &self,
        endpoint: &Endpoint,
        key: ModelKey,
        loss: f64,
        engine: &EngineSpec,
    ) -> f64 {
        let Some(plan) = self.0.get(&endpoint.member.service) else { return 0.0 };
        let returns = if self.is_planned(endpoint, key) { loss } else { 0.0 };
        let store = plan.index.get(&key).filter(|_| plan.uncached.contains(&key));
        let store = store.and_then(|index| engine.models.get(usize::from(*index)));
        returns + store.map_or(0.0, |spec| spec.store_ms as f64)
    }
}

impl PoolEntry {
    /// Returns the models that are planned at each endpoint of a service, by instance name; empty if
    /// the service is not scheduled by expected wait.
    pub fn planned_places(&self, service: &str) -> Vec<(String, Vec<String>)> {
        let plan = self.plans.0.get(service);
        let places = plan.into_iter().flat_map(|plan| &plan.places).map(|(instance, models)| {
            let models = models.iter().map(|key| self.names.name(*key).to_owned());
            let mut models = models.collect::<Vec<_>>();
            models.sort_unstable();
            (instance.clone(), models)
        });
        let mut places = places.collect::<Vec<_>>();
        places.sort_unstable();
        places
    }

    /// Renews the plans whose inputs have changed, and makes a move toward one of them.
    pub(super) fn follow_plans(&mut self) {
        let Some(config) = self.config.clone() else { return };
        for service in &config.services {
            let Some(engine) = &service.engine else { continue };
            if self.by_wait(&service.name) {
                self.renew_plan(service, engine, config.version);
                self.move_idle(&service.name, engine);
            }
        }
    }

    fn renew_plan(&mut self, service: &Service, engine: &EngineSpec, version: u64) {
        let now = self.now;
        let plan = self.plans.0.entry(service.name.clone()).or_default();
        if now < plan.next_at {
            return;
        }
        if plan.version != version {
            let keys = engine.models.iter().map(|model| self.names.intern(&model.name));
            let keys = keys.collect::<Vec<_>>();
            let index = keys.iter().enumerate().map(|(index, key)| (*key, index as u16)).collect();
            let input = PlanInput::default();
            *plan = ServicePlan { version, keys, index, input, ..std::mem::take(plan) };
        }
        plan.next_at = now + RENEW_MS;
        self.note_usable(&service.name);
        let Some(input) = self.plan_input(&service.name, engine) else { return };
        let Some(plan) = self.plans.0.get_mut(&service.name) else { return };
        if plan.input == input {
            return;
        }
        let computed = PlacementPlan::new(&input);
        plan.next_at = now + RENEW_MS.max(u64::from(computed.checks) / CHECKS_PER_MS);
        plan.input = input;
        self.apply_plan(&service.name, &computed);
    }

    /// Records when each endpoint was last usable. It keeps its places until its last report is not
    /// fresh any more.
    fn note_usable(&mut self, service: &str) {
        let now = self.now;
        let Some(plan) = self.plans.0.get_mut(service) else { return };
        for (id, endpoint) in &self.pool.endpoints {
            let reported = endpoint.side.as_ref().filter(|side| side.healthy);
            let reported = reported.map(|side| side.received_at);
            let usable_at = reported.or(endpoint.awaiting_first_report(now).then_some(now));
            if let Some(at) = usable_at.filter(|_| endpoint.member.service == service) {
                plan.usable_at.insert(id.clone(), at);
            }
        }
        let open = |id: &String| {
            self.pool.endpoints.get(id).is_some_and(|endpoint| endpoint.accepts_requests())
        };
        plan.usable_at.retain(|id, at| now.since(*at) < FRESH_MS && open(id));
    }

    /// Returns what the plan of a service depends on, in an order that is the same at all entries.
    ///
    /// Only what sides report counts, not what this entry alone has seen.
    fn plan_input(&self, service: &str, engine: &EngineSpec) -> Option<PlanInput> {
        let plan = self.plans.0.get(service)?;
        let indices = |keys: &[ModelKey]| {
            let mut list =
                keys.iter().filter_map(|key| plan.index.get(key).copied()).collect::<Vec<_>>();
            list.sort_unstable();
            list
        };
        let mut rates = vec![0.0; plan.keys.len()];
        let mut held = vec![0_u32; plan.keys.len()];
        let mut endpoints = Vec::new();
        for id in plan.usable_at.keys() {
            let Some(endpoint) = self.pool.endpoints.get(id) else { continue };
            let inventory = &endpoint.inventory;
            let side = endpoint.fresh_side(self.now);
            let mut loaded = indices(&inventory.models);
            loaded.extend(side.iter().flat_map(|side| indices(&side.loading)));
            loaded.sort_unstable();
            loaded.dedup();
            loaded.iter().for_each(|model| held[usize::from(*model)] += 1);
            let reported = side.iter().flat_map(|side| side.rates.iter().chain(&side.missed));
            for (key, rate) in reported {
                if let Some(model) = plan.index.get(key) {
                    rates[usize::from(*model)] += rate;
                }
            }
            let (in_memory, on_disk) = (indices(&inventory.in_memory), indices(&inventory.on_disk));
            endpoints.push(PlanEndpoint { instance: id.clone(), loaded, in_memory, on_disk });
        }
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        let models = engine.models.iter().zip(rates).zip(held);
        let models = models.map(|((spec, rate), held)| plan_model(engine, spec, rate, held));
        Some(PlanInput { weights_mb: engine.weights_mb, models: models.collect(), endpoints })
    }

    fn apply_plan(&mut self, service: &str, computed: &PlacementPlan) {
        let now = self.now;
        let Some(plan) = self.plans.0.get_mut(service) else { return };
        let places = computed.places.iter().map(|(instance, models)| {
            let models = models.iter().map(|model| plan.keys[usize::from(*model)]);
            (instance.clone(), models.collect::<Set<_>>())
        });
        let places = places.collect::<Map<_, _>>();
        let changed = places != plan.places;
        plan.places = places;
        plan.replicas = Map::default();
        for key in plan.places.values().flatten() {
            *plan.replicas.entry(*key).or_insert(0) += 1;
        }
        plan.uncached = uncached(&plan.input).map(|model| plan.keys[usize::from(model)]).collect();
        if changed && plan.logged_at.is_none_or(|at| now.since(at) >= LOG_MS) {
            plan.logged_at = Some(now);
            let planned = plan.places.values().map(Set::len).sum::<usize>();
            let event = LogEvent::new("plan").with("service", service);
            let event = event.with("endpoints", plan.places.len()).with("planned", planned);
            let event = event.with("unplaced", computed.unplaced.len());
            self.effects.push(EntryEffect::Log(event.with("loads", computed.loads)));
        }
    }

    /// Loads one model at its planned place, from memory or disk.
    fn move_idle(&mut self, service: &str, engine: &EngineSpec) {
        let now = self.now;
        let turn_ms = engine.models.iter().map(|model| model.disk_ms).max().unwrap_or(0);
        if !self.has_move_turn(turn_ms.max(1)) || !self.may_move(service) {
            return;
        }
        let Some(plan) = self.plans.0.get_mut(service) else { return };
        if plan.searched_at.is_some_and(|at| now.since(at) < turn_ms) {
            return;
        }
        plan.searched_at = Some(now);
        let Some(plan) = self.plans.0.get(service) else { return };
        let Some((key, place)) = self.best_move(plan, service, engine) else { return };
        let event = LogEvent::new("plan_move").with("model", self.names.name(key));
        self.log(event.with("at", &place.instance));
        let ready_ms = place.ready_ms as u64;
        self.send_load_request(key, &place.instance, place.evictions, ready_ms, 2 * ready_ms);
    }

    /// Returns whether it is this entry's turn to make a move. A turn is as long as a load from disk,
    /// so that on average one move is in progress over all entries.
    fn has_move_turn(&self, turn_ms: u64) -> bool {
        let entries = u64::from(self.entries());
        let turn = (self.now.0 + self.profile.seed % (entries * turn_ms)) / turn_ms;
        turn.is_multiple_of(entries)
    }

    /// Returns whether all endpoints of a service have reported and this entry has requested no load.
    fn may_move(&self, service: &str) -> bool {
        let mut members = self.pool.endpoints.values();
        let awaited = members.any(|endpoint| {
            endpoint.member.service == service && endpoint.awaiting_first_report(self.now)
        });
        !awaited && self.load_requests.is_empty()
    }

    /// Returns the planned load that is missed most, with its place: that of a model without a live
    /// holder first, then the cheapest one.
    fn best_move(
        &self,
        plan: &ServicePlan,
        service: &str,
        engine: &EngineSpec,
    ) -> Option<(ModelKey, Place)> {
        let runs = self.service_runs(service);
        let mut best: Option<(bool, ModelKey, Place)> = None;
        for (instance, models) in &plan.places {
            let Some(endpoint) = self.pool.endpoints.get(instance) else { continue };
            if self.is_occupied(endpoint) {
                continue;
            }
            for key in models.iter().copied() {
                let spec = plan.index.get(&key).and_then(|at| engine.models.get(usize::from(*at)));
                let Some(spec) = spec.filter(|_| !endpoint.inventory.models.contains(&key)) else {
                    continue;
                };
                let load = ModelLoad { engine, spec, model: key, store_open: false, runs };
                let place = self.place_at(endpoint, load).filter(|place| {
                    place.evictions.iter().all(|out| self.is_spare(plan, *out, endpoint))
                });
                let Some(place) = place else { continue };
                let held = self.live_holders(key).next().is_some();
                let better = best.as_ref().is_none_or(|(known, _, other)| {
                    (held, place.background_cost) < (*known, other.background_cost)
                });
                if better {
                    best = Some((held, key, place));
                }
            }
        }
        best.map(|(_, key, place)| (key, place))
    }

    /// Returns whether an endpoint is loading anything, or requests wait there, or here for one of its
    /// models.
    fn is_occupied(&self, endpoint: &Endpoint) -> bool {
        let waiting = self.requests.values().filter(|request| request.stage == Stage::Waiting);
        let mut bases = waiting.filter_map(|request| request.base);
        endpoint.fresh_side(self.now).is_none_or(|side| !side.loading.is_empty())
            || endpoint.load() > endpoint.member.slots
            || bases.any(|base| endpoint.inventory.models.contains(&base))
    }

    /// Returns whether a model may leave an endpoint for an idle move: it is planned elsewhere and live
    /// there, or nobody asks for it.
    fn is_spare(&self, plan: &ServicePlan, key: ModelKey, endpoint: &Endpoint) -> bool {
        if self.plans.is_planned(endpoint, key) {
            return false;
        }
        let spec = plan.index.get(&key).and_then(|at| plan.input.models.get(usize::from(*at)));
        let unused = spec.is_some_and(|model| model.callers == 0);
        unused || self.live_holders(key).any(|other| self.plans.is_planned(other, key))
    }
}

/// Returns what the plan depends on of a model with this rate and number of replicas.
fn plan_model(engine: &EngineSpec, spec: &ModelSpec, rate: f64, held: u32) -> PlanModel {
    let required = |rate| (required_replicas(rate, engine.slots) as u32).max(1);
    let (least, most) = (required(rate), required(rate * RATE_SPREAD));
    let replicas = held.clamp(least, most);
    let desired = desired_replicas(rate, engine.slots) as u32;
    // Levels, so that small changes of a rate change no plan.
    let callers = if rate < USED_RATE {
        0
    } else if rate < BUSY_RATE {
        1
    } else {
        (rate as u32).next_power_of_two()
    };
    PlanModel {
        weights_mb: spec.weights_mb,
        adapters_mb: f64::from(engine.adapter_limit) * spec.adapter_mb,
        replicas,
        spares: desired.saturating_sub(replicas),
        callers,
        memory_ms: spec.memory_ms,
        disk_ms: spec.disk_ms,
        store_ms: spec.store_ms,
    }
}

/// Returns the models that one endpoint has loaded and none has cached.
fn uncached(input: &PlanInput) -> impl Iterator<Item = u16> {
    let mut held = vec![0_u32; input.models.len()];
    let mut cached = vec![false; input.models.len()];
    for endpoint in &input.endpoints {
        endpoint.loaded.iter().for_each(|model| held[usize::from(*model)] += 1);
        let copies = endpoint.in_memory.iter().chain(&endpoint.on_disk);
        copies.for_each(|model| cached[usize::from(*model)] = true);
    }
    let models = held.into_iter().zip(cached).enumerate();
    models.filter(|(_, (held, cached))| *held == 1 && !cached).map(|(model, _)| model as u16)
}
