//! Placement of models on endpoints, and choice of eviction candidates.

use citronrill_base::{ModelKey, rendezvous_score};

use super::{PoolEntry, demand::side_rate, replicas::SPREAD_GAIN_MS};
use crate::{
    config::{EngineSpec, ModelSpec},
    endpoint::Endpoint,
    software::SoftwareKey,
};

/// Milliseconds by which a model in use delays its own unloading: a stream runs for about half a
/// second.
const BUSY_EVICTION_MS: f64 = 400.0;
/// Time horizon, in seconds, for the probability of a model's next use.
pub(super) const HORIZON_S: f64 = 10.0;
/// Milliseconds that a request loses when its model has to be loaded first.
pub(super) const MISS_COST_MS: f64 = 900.0;
/// Approximate seconds that one request occupies a slot.
const RUN_S: f64 = 0.5;
/// Maximum requests per second for each remaining replica at which a replica may be evicted for a
/// rare model. It is far below `REPLICA_RATE`; otherwise replicas are unloaded and loaded back in
/// turn: 12 orders in 5 s for one model were seen in a burst of rare ones.
const MAX_REMAINING_RATE: f64 = 12.0;
/// Milliseconds of waiting that a redundant replica saves for each request a second that it serves.
const REDUNDANT_GAIN_MS: f64 = 40.0;
/// Base value, in milliseconds, of a redundant replica at any request rate. Before demand is known,
/// a model with many replicas is assumed to be in demand, and unused models are evicted first.
const REDUNDANT_BASE_MS: f64 = 200.0;
/// Milliseconds for which an endpoint takes no order while a model in use drains; observed times
/// are 400 to 3,400 ms.
const DRAIN_MS: f64 = 700.0;
/// Milliseconds that callers of an endpoint's other models lose while it loads a model, for each
/// request a second that it serves. One request in ten needs an adapter that is not loaded, and waits
/// half a second.
const LOAD_DELAY_MS: f64 = 50.0;
/// Milliseconds added to the cost of a load from the weight store: the endpoint takes no other
/// order during the whole load, and the store is shared by all.
const STORE_COST_MS: f64 = 3_000.0;

/// Milliseconds that a place costs for each unit of its concentration cost: two models in demand on
/// one instance hang together when it stalls.
const CROWDING_MS: f64 = 500.0;

/// A candidate endpoint for a model, with its costs in milliseconds.
pub(super) struct Place {
    pub(super) instance: String,
    pub(super) cost: f64,
    /// Cost while live replicas serve the model's callers, so that no request waits for this load.
    pub(super) background_cost: f64,
    /// Cost of what already runs at the endpoint.
    crowding: f64,
    /// Loss caused by the evictions.
    eviction_loss: f64,
    /// What the evictions cost beyond that, because models are planned at the endpoint.
    pub(super) plan_loss: f64,
    /// Loss of the callers of the endpoint's other models during the load.
    pub(super) delay: f64,
    pub(super) ready_ms: f64,
    /// Whether the model has to be loaded from the weight store.
    pub(super) from_store: bool,
    /// Whether a model with running requests makes way.
    pub(super) drains: bool,
    pub(super) evictions: Vec<ModelKey>,
}

/// A model to be loaded, and what the costs of its places depend on.
#[derive(Clone, Copy)]
pub(super) struct ModelLoad<'a> {
    pub(super) engine: &'a EngineSpec,
    pub(super) spec: &'a ModelSpec,
    pub(super) model: ModelKey,
    /// Whether it may be loaded from the weight store.
    pub(super) store_open: bool,
    /// Runs of its service.
    pub(super) runs: u32,
}

impl PoolEntry {
    /// Returns the cheapest endpoint to load `model` on, with an eviction loss of at most
    /// `max_loss`; only one with this software version if it is given.
    pub(super) fn place(
        &self,
        service: &str,
        name: &str,
        model: ModelKey,
        max_loss: f64,
        software: Option<SoftwareKey>,
    ) -> Option<Place> {
        let engine = self.config.as_ref()?.service(service)?.engine.as_ref()?;
        let spec = engine.model(name)?;
        let members = self.pool.endpoints.values();
        let candidates = members
            .filter(|endpoint| endpoint.accepts_requests() && endpoint.member.service == service)
            .filter(|endpoint| software.is_none_or(|software| endpoint.software == software));
        let store_open =
            self.may_use_store(service, model) && !self.copy_unconfirmed(service, model);
        let runs = self.service_runs(service);
        let load = ModelLoad { engine, spec, model, store_open, runs };
        let places = candidates.filter_map(|endpoint| self.place_at(endpoint, load));
        let places = places.filter(|place| place.eviction_loss <= max_loss);
        let mut places = places.collect::<Vec<_>>();
        charge_crowding(&mut places);
        places.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns whether an endpoint that has cached weights of a model is listed, but its side is
    /// yet to report.
    ///
    /// An entry that starts together with all instances receives the reports of some sides first.
    /// When none of these had the weights cached, it requested a load of six seconds from the
    /// weight store, a tenth of a second before the report of an instance that had them on disk.
    fn copy_unconfirmed(&self, service: &str, model: ModelKey) -> bool {
        self.pool.endpoints.values().any(|endpoint| {
            endpoint.accepts_requests()
                && endpoint.member.service == service
                && endpoint.awaiting_first_report(self.now)
                && endpoint.inventory.has_cached_weights(model)
        })
    }

    /// Returns the costs of loading a model at an endpoint, if there is a place for it.
    pub(super) fn place_at(&self, endpoint: &Endpoint, load: ModelLoad<'_>) -> Option<Place> {
        let ModelLoad { spec, model, .. } = load;
        let side = endpoint.fresh_side(self.now).filter(|side| side.healthy)?;
        let unavailable = endpoint.avoided(self.now)
            || endpoint.backs_off(self.now)
            || endpoint.liveness.is_stalled(self.now)
            || self.now < endpoint.declined_until;
        if unavailable || endpoint.inventory.models.contains(&model) {
            return None;
        }
        let from_store = !endpoint.inventory.has_cached_weights(model);
        if from_store && (!load.store_open || self.store_claims.avoids(&endpoint.member.instance)) {
            return None;
        }
        let mut cost =
            if from_store { STORE_COST_MS + self.last_copies_loss(endpoint, load) } else { 0.0 };
        let load_ms = if endpoint.inventory.in_memory.contains(&model) {
            spec.memory_ms
        } else if from_store {
            spec.store_ms
        } else {
            spec.disk_ms
        };
        let mut ready_ms = (load_ms + side.load_eta_ms) as f64;
        let (evictions, eviction_loss, plan_loss) = self.select_evictions(endpoint, load)?;
        let drains = evictions.iter().any(|key| side_rate(endpoint, *key) * RUN_S > 0.5);
        if drains {
            ready_ms += BUSY_EVICTION_MS;
        }
        // An endpoint loads no adapter while it loads a model. The higher its request rate, the more
        // callers wait for an adapter.
        let delay = LOAD_DELAY_MS * side.rates.iter().map(|(_, rate)| rate).sum::<f64>();
        let tie_break =
            rendezvous_score(&spec.name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        let instance = endpoint.member.instance.clone();
        // Waiting requests lose the time until the model is loaded. Without waiting requests, only
        // the endpoint's other callers are delayed for that time.
        let crowding = CROWDING_MS * self.concentration_cost(endpoint, load.runs);
        cost += plan_loss + self.plans.detour_ms(endpoint, model, spec);
        let background_cost = cost + delay * ready_ms / 1_000.0 + eviction_loss;
        cost += delay + ready_ms + eviction_loss + tie_break;
        Some(Place {
            instance,
            cost,
            background_cost,
            crowding,
            eviction_loss,
            plan_loss,
            delay,
            ready_ms,
            from_store,
            drains,
            evictions,
        })
    }

    /// Selects the models to evict at `endpoint` to make room for a model, cheapest first, and
    /// returns them with their total loss, and with what they cost beyond that because of the plan.
    fn select_evictions(
        &self,
        endpoint: &Endpoint,
        load: ModelLoad<'_>,
    ) -> Option<(Vec<ModelKey>, f64, f64)> {
        let ModelLoad { engine, spec, model, runs, .. } = load;
        let side = endpoint.fresh_side(self.now)?;
        let size = |key: &ModelKey| {
            engine.model(self.names.name(*key)).map_or(0.0, |model| model.weights_mb)
        };
        // Models that are being loaded occupy memory like loaded ones. Memory for the maximum
        // number of adapters is kept free, so that an adapter never evicts a model.
        let loading = side.loading.iter().filter(|key| !endpoint.inventory.models.contains(key));
        let used = endpoint.inventory.models.iter().chain(loading).map(size).sum::<f64>();
        let adapters = f64::from(engine.adapter_limit) * spec.adapter_mb;
        let mut free = engine.weights_mb - used - adapters;
        let evictable = endpoint.inventory.models.iter().filter(|key| !side.pinned.contains(key));
        let mut order = evictable
            .filter(|key| !self.repays_load(**key, model, endpoint))
            .map(|key| {
                let loss = self.eviction_loss(*key, endpoint, runs);
                (loss, self.plans.eviction_ms(endpoint, *key, loss, engine), *key)
            })
            .collect::<Vec<_>>();
        order.sort_by(|a, b| (a.0 + a.1).total_cmp(&(b.0 + b.1)));
        let (mut evictions, mut eviction_loss, mut plan_loss) = (Vec::new(), 0.0, 0.0);
        let mut order = order.into_iter();
        while free < spec.weights_mb {
            let (value, plan_value, key) = order.next()?;
            free += size(&key);
            eviction_loss += value;
            plan_loss += plan_value;
            evictions.push(key);
        }
        Some((evictions, eviction_loss, plan_loss))
    }

    /// Returns the loss of evicting `key` from `endpoint`, in milliseconds of callers' waiting.
    ///
    /// The last replica of a model costs one miss if the model is requested within the horizon,
    /// plus one for each request that arrives while it is loaded back. A redundant replica costs
    /// little while the others can carry the load. Only replicas with a fresh side report count: a
    /// crashed endpoint stays listed for seconds, and such an endpoint was taken for the second
    /// replica of a busy model whose last one was then unloaded.
    fn eviction_loss(&self, key: ModelKey, endpoint: &Endpoint, runs: u32) -> f64 {
        let others = self
            .live_holders(key)
            .filter(|other| other.member.instance != endpoint.member.instance);
        let holders = others.count();
        let others = holders as f64;
        let rate = self.rate(key);
        let waiting_loss = self.waiting_count(key) * MISS_COST_MS;
        if others > 0.0 && rate <= others * MAX_REMAINING_RATE {
            let in_use = side_rate(endpoint, key) * RUN_S > 0.5;
            let drain = if in_use { DRAIN_MS } else { 0.0 };
            let spread = if self.is_exposed(key, holders, runs) { SPREAD_GAIN_MS } else { 0.0 };
            let waiting = side_rate(endpoint, key) * REDUNDANT_GAIN_MS;
            return REDUNDANT_BASE_MS + waiting + drain + spread;
        }
        let next_use = 1.0 - (-rate * HORIZON_S).exp();
        waiting_loss + MISS_COST_MS * (next_use + rate)
    }
}

/// Charges each place for what runs there beyond the least crowded one: in a small pool every place
/// has a large share of the runs, and must not look too expensive for that.
fn charge_crowding(places: &mut [Place]) {
    let least = places.iter().map(|place| place.crowding).fold(f64::INFINITY, f64::min);
    for place in places {
        place.cost += place.crowding - least;
        place.background_cost += place.crowding - least;
    }
}
