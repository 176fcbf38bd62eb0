//! Preloading of weights, to keep enough cached copies of each model.
//!
//! During a rolling replacement, each new endpoint joins with an empty disk. A model whose last
//! cached weights are lost is unavailable for as long as the weight store takes, and the store
//! loads less than one model per second. It is idle for most of the time before the weights are
//! lost: waiting for the first miss wastes these seconds.

use citronrill_base::{Map, Millis, ModelKey};
use citronrill_decide::LogEvent;

use super::{
    PoolEntry,
    demand::{BUSY_RATE, REFUSAL_COST_MS},
    placement::{ModelLoad, Place},
};
use crate::{
    config::{EngineSpec, ModelSpec},
    decaying_count::DecayingCount,
    endpoint::Endpoint,
};

/// Milliseconds between checks: a load takes seconds, and a check visits all cached weights.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time horizon, in seconds, for a model's next request.
const NEXT_USE_S: f64 = 30.0;
/// Milliseconds in which the weight of a request decays to 1/e in the rates of rarely used models:
/// most of them are requested every ten or twenty seconds.
const DEMAND_DECAY_MS: f64 = 40_000.0;
/// Horizon for the loss of a model's cached weights, in load times of the weight store: the store
/// may have to load another model first.
const LOADS_AHEAD: f64 = 2.0;

/// Milliseconds in which the weight of a departed endpoint decays to 1/e: a rolling replacement of a
/// service lasts about as long.
const DEPARTURE_DECAY_MS: f64 = 15_000.0;
/// Milliseconds after the first member list before an entry preloads anything. Right after its
/// start, few sides have reported their cached weights, and weights that lie on disks would be
/// loaded from the weight store again.
const WARM_UP_MS: u64 = 5_000;

/// Long-term request rates of models, and departure rates of endpoints.
#[derive(Debug, Default)]
pub(super) struct PreloadState {
    last_check: Millis,
    /// Endpoints that are leaving or gone, by service.
    departures: Map<String, DecayingCount>,
    requests: Map<ModelKey, DecayingCount>,
    first_request: Option<Millis>,
    /// When the first member list was received.
    first_list: Option<Millis>,
}

impl PreloadState {
    /// Counts a request.
    pub(super) fn count_request(&mut self, key: ModelKey, now: Millis) {
        self.first_request.get_or_insert(now);
        self.requests.entry(key).or_default().add(DEMAND_DECAY_MS, now);
    }

    /// Records that a member list was received.
    pub(super) fn record_list(&mut self, now: Millis) {
        self.first_list.get_or_insert(now);
    }

    /// Counts a departing endpoint of `service`.
    pub(super) fn count_departure(&mut self, service: &str, now: Millis) {
        self.departures.entry(service.to_owned()).or_default().add(DEPARTURE_DECAY_MS, now);
    }

    /// Returns the requests per second for a model at this entry, over the last
    /// [`DEMAND_DECAY_MS`].
    fn rate(&self, key: ModelKey, now: Millis) -> f64 {
        let seen_ms = self.first_request.map_or(0, |first| now.since(first)) as f64;
        let span_s = DEMAND_DECAY_MS / 1_000.0 * (1.0 - (-seen_ms / DEMAND_DECAY_MS).exp());
        let weight =
            self.requests.get(&key).map_or(0.0, |count| count.decayed(DEMAND_DECAY_MS, now));
        // In the first seconds, one request says little about the rate.
        weight / span_s.max(NEXT_USE_S / 3.0)
    }
}

impl PoolEntry {
    /// Preloads the model whose lack of cached weights costs callers most, while the weight store
    /// has capacity.
    ///
    /// All entries compute the same from the sides' reports, and each counts the loads that others
    /// have in progress.
    pub(super) fn preload_scarce(&mut self) {
        if self.now.since(self.preload.last_check) < CHECK_INTERVAL_MS {
            return;
        }
        self.preload.last_check = self.now;
        let Some(config) = self.config.clone() else { return };
        if self.preload.first_list.is_none_or(|listed| self.now.since(listed) < WARM_UP_MS) {
            return;
        }
        for service in &config.services {
            let Some(engine) = &service.engine else { continue };
            let Some((key, gain)) = self.scarcest(&service.name, engine) else { continue };
            let name = self.names.name(key).to_owned();
            let Some(spec) = engine.model(&name) else { continue };
            if self.store_queued(&service.name) {
                self.ask_preload(key, gain);
                continue;
            }
            let Some(place) = self.preload_place(&service.name, engine, spec, key, gain) else {
                continue;
            };
            let event = LogEvent::new("restock").with("model", &name).with("at", &place.instance);
            self.log(event.with("gain_ms", gain as u64));
            let ready_ms = place.ready_ms as u64;
            self.send_load_request(key, &place.instance, place.evictions, ready_ms, 2 * ready_ms);
        }
    }

    /// Returns the model with the highest expected loss from too few copies, if the loss exceeds
    /// the cost of a load.
    fn scarcest(&self, service: &str, engine: &EngineSpec) -> Option<(ModelKey, f64)> {
        let loads = self.store_loads();
        let limit = self.store_limit.limit();
        let queued = self.store_queued(service);
        if !queued && (loads >= limit || !self.has_store_turn()) {
            return None;
        }
        // The last load slot of the weight store is reserved for models that many callers miss.
        let last_slot = !queued && loads + 1 >= limit && limit > 1;
        let leaving = self.leaving_rate(service);
        let copies = self.copies(service);
        let keys = self.preload.requests.keys().copied();
        let candidates = keys.filter(|key| !self.load_requests.contains_key(key));
        let gains = candidates.filter_map(|key| {
            let spec = engine.model(self.names.name(key))?;
            let rate = self.long_rate(key);
            let held = copies.get(&key).copied().unwrap_or(0);
            let load_cost = spec.store_ms as f64 / f64::from(limit);
            let gain = expected_loss(spec, rate, leaving, held) - load_cost;
            (rate >= BUSY_RATE || !last_slot).then_some((key, gain))
        });
        let best = gains.max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))?;
        (best.1 > 0.0).then_some(best)
    }

    /// Returns the requests per second for a model over all entries, including rarely used models.
    fn long_rate(&self, key: ModelKey) -> f64 {
        let own = self.preload.rate(key, self.now);
        self.rate(key).max(own * f64::from(self.entries()))
    }

    /// Returns the share of a service's endpoints that leave in a second.
    fn leaving_rate(&self, service: &str) -> f64 {
        let open = self.pool.endpoints.values();
        let open = open
            .filter(|endpoint| endpoint.accepts_requests() && endpoint.member.service == service)
            .count();
        let departures = self.preload.departures.get(service);
        let departed = departures.map_or(0.0, |count| count.decayed(DEPARTURE_DECAY_MS, self.now));
        departed * 1_000.0 / DEPARTURE_DECAY_MS / open.max(1) as f64
    }

    /// Returns the number of a service's endpoints that hold, cache or are loading each model.
    fn copies(&self, service: &str) -> Map<ModelKey, u32> {
        let mut copies = Map::default();
        let open = self.pool.endpoints.values();
        for endpoint in open
            .filter(|endpoint| endpoint.accepts_requests() && endpoint.member.service == service)
        {
            let inventory = &endpoint.inventory;
            let kept =
                inventory.models.iter().chain(&inventory.in_memory).chain(&inventory.on_disk);
            let side = endpoint.fresh_side(self.now);
            let loading = side.iter().flat_map(|side| &side.loading);
            let mut keys = kept.chain(loading).copied().collect::<Vec<_>>();
            keys.sort_unstable();
            keys.dedup();
            for key in keys {
                *copies.entry(key).or_insert(0) += 1;
            }
        }
        copies
    }

    /// Returns the cheapest endpoint for one more copy that needs no eviction and delays other
    /// callers by less than the copy is worth.
    pub(super) fn preload_place(
        &self,
        service: &str,
        engine: &EngineSpec,
        spec: &ModelSpec,
        key: ModelKey,
        gain: f64,
    ) -> Option<Place> {
        let load_s = spec.store_ms as f64 / 1_000.0;
        let is_candidate = |endpoint: &&Endpoint| {
            endpoint.accepts_requests()
                && endpoint.member.service == service
                && !endpoint.inventory.has_cached_weights(key)
        };
        let places = self.pool.endpoints.values().filter(is_candidate);
        let runs = self.service_runs(service);
        let load = ModelLoad { engine, spec, model: key, store_open: true, runs };
        let places = places.filter_map(|endpoint| self.place_at(endpoint, load));
        let places =
            places.filter(|place| place.evictions.is_empty() && place.delay * load_s < gain);
        places.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }
}

/// Returns the expected milliseconds that callers lose because a model has only `copies` copies,
/// while the share `leaving` of the endpoints leaves in a second.
fn expected_loss(spec: &ModelSpec, rate: f64, leaving: f64, copies: u32) -> f64 {
    let load_s = spec.store_ms as f64 / 1_000.0;
    let lost = 1.0 - (-leaving * load_s * LOADS_AHEAD).exp();
    let used = 1.0 - (-rate * NEXT_USE_S).exp();
    lost.powi(copies as i32) * used * (1.0 + rate * load_s) * REFUSAL_COST_MS
}
