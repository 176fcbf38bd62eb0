//! Request and miss rates of models.

use citronrill_base::{Map, ModelKey, Set, rendezvous_score};
use citronrill_wire::UsageReport;

use super::{
    EntryEffect, PoolEntry, RequestId, load_requests::DELAY_PER_WAITER_MS, placement::HORIZON_S,
};
use crate::{endpoint::Endpoint, rate::Rate};

/// Minimum requests per second of a busy model: its loss affects callers within half a second.
pub(super) const BUSY_RATE: f64 = 2.0;
/// Minimum requests per second at this entry for estimating the rate over all entries: four
/// requests within the ten seconds of the slow average.
pub(super) const MIN_LOCAL_RATE: f64 = 0.4;
/// Milliseconds that a refusal costs its caller, which retries once, after one or two seconds.
pub(super) const REFUSAL_COST_MS: f64 = 2_000.0;
/// Misses per second below which a model is no longer loaded because of its misses: one miss in
/// twenty seconds.
const MIN_MISS_RATE: f64 = 0.05;
/// Requests received by this entry, by model.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// All requests.
    pub(super) requested: Map<ModelKey, Rate>,
    /// Requests that arrived while no live endpoint held the model.
    unavailable: Map<ModelKey, Rate>,
    /// Requests that found no replica with room.
    missed: Map<ModelKey, Rate>,
}

impl PoolEntry {
    /// Counts an arriving request.
    pub(super) fn count_request(&mut self, base: ModelKey) {
        let now = self.now;
        self.demand.requested.entry(base).or_default().add(now);
        if self.live_holders(base).next().is_none() {
            self.demand.unavailable.entry(base).or_default().add(now);
        }
    }

    /// Counts a request, once, as a miss: no replica of its model has room.
    pub(super) fn count_miss(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.missed, true) {
            return;
        }
        let service = request.service.clone();
        self.demand.missed.entry(base).or_default().add(now);
        self.report_miss(&service, base);
    }

    /// Reports a miss to the side that counts the misses of this model for all entries.
    fn report_miss(&mut self, service: &str, base: ModelKey) {
        let model = self.names.name(base).to_owned();
        let fresh = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.member.service == service
                && endpoint.fresh_side(self.now).is_some_and(|side| side.healthy)
        });
        let counter =
            fresh.max_by_key(|endpoint| rendezvous_score(&model, &endpoint.member.instance));
        let Some(address) = counter.map(|endpoint| endpoint.member.address) else { return };
        let missed = UsageReport { model, adapter: String::new(), missed: true };
        self.effects.push(EntryEffect::ReportUsage(address, missed));
    }

    /// Returns the misses per second of a model, over all entries.
    pub(super) fn miss_rate(&self, key: ModelKey) -> f64 {
        let own = self.demand.missed.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
        own.max(
            self.reported_misses().filter(|(model, _)| *model == key).map(|(_, rate)| rate).sum(),
        )
    }

    /// Returns the miss rates that the sides report. While endpoints join and leave, two sides may
    /// each have counted a part.
    fn reported_misses(&self) -> impl Iterator<Item = (ModelKey, f64)> {
        let sides =
            self.pool.endpoints.values().filter_map(|endpoint| endpoint.fresh_side(self.now));
        sides.flat_map(|side| side.missed.iter().copied())
    }

    /// Returns the models with misses.
    pub(super) fn missed_models(&self) -> Set<ModelKey> {
        let own = self.demand.missed.keys().copied();
        own.chain(self.reported_misses().map(|(key, _)| key)).collect()
    }

    /// Returns the requests per second for a model, over all entries.
    ///
    /// Sides count the requests that reach their endpoints. Requests for a model that is not loaded
    /// reach no endpoint, and by that count alone the model looked idle the moment it was loaded:
    /// it was unloaded for a single request of a rare model while a hundred requests per second
    /// arrived for it. Requests that arrive here while the model is not loaded are therefore
    /// extrapolated to all entries, if there are enough of them. Requests that arrive while it is
    /// loaded are not: callers are spread unevenly over entries, and the busiest entry would see
    /// twice the demand.
    pub(super) fn rate(&self, key: ModelKey) -> f64 {
        let live =
            self.pool.endpoints.values().filter(|endpoint| endpoint.fresh_side(self.now).is_some());
        let served = live.map(|endpoint| side_rate(endpoint, key)).sum::<f64>();
        let own = self.demand.unavailable.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
        if own < MIN_LOCAL_RATE { served } else { served.max(own * f64::from(self.entries())) }
    }

    /// Returns the endpoints that hold a model and are live according to their side.
    pub(super) fn live_holders(&self, key: ModelKey) -> impl Iterator<Item = &Endpoint> {
        self.pool.endpoints.values().filter(move |endpoint| {
            endpoint.accepts_requests()
                && endpoint.inventory.models.contains(&key)
                && endpoint.fresh_side(self.now).is_some_and(|side| side.healthy)
                && !endpoint.liveness.is_stalled(self.now)
        })
    }

    /// Returns whether another model has a higher miss rate, is not available at any endpoint and
    /// is not being loaded.
    ///
    /// Each active load of `key` is assumed to serve its part of the current misses.
    pub(super) fn others_missed_more(&self, key: ModelKey) -> bool {
        let own_rate = self.miss_rate(key) / (1.0 + self.loading_count(key) as f64);
        let own_rate = own_rate.max(MIN_MISS_RATE);
        self.missed_models().into_iter().any(|other| {
            other != key
                && self.miss_rate(other) > own_rate
                && !self.load_requests.contains_key(&other)
                && self.loading_count(other) == 0
                && self.only_in_store(other)
        })
    }

    /// Returns the milliseconds until an endpoint completes a load of a model that is already in
    /// progress.
    ///
    /// Entries that send load requests at the same moment choose different sides. If loads for other
    /// entries are not taken into account, five engines load a busy model at once, four of them
    /// from the weight store, which carries four loads at full speed and then has no capacity for
    /// another model for 6 s.
    pub(super) fn load_remaining_ms(&self, key: ModelKey) -> Option<f64> {
        let sides = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests() && !endpoint.inventory.models.contains(&key)
        });
        let sides = sides.filter_map(|endpoint| endpoint.fresh_side(self.now));
        let loading = sides.filter(|side| side.healthy && side.loading.contains(&key));
        let remaining = loading.map(|side| side.remaining_ms(self.now));
        remaining.min().map(|ms| ms as f64)
    }

    /// Returns the number of endpoints that hold a model, that have its weights cached, and that
    /// are loading it.
    pub(super) fn availability(&self, key: ModelKey) -> (usize, usize, usize) {
        let open = self.pool.endpoints.values().filter(|endpoint| endpoint.accepts_requests());
        let copies = open.filter(|endpoint| endpoint.inventory.has_cached_weights(key)).count();
        (self.live_holders(key).count(), copies, self.loading_count(key))
    }

    /// Returns the number of endpoints that are loading a model, for any entry.
    pub(super) fn loading_count(&self, key: ModelKey) -> usize {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| {
            let held = endpoint.inventory.models.contains(&key);
            endpoint.fresh_side(self.now).filter(|_| !held)
        });
        sides.filter(|side| side.loading.contains(&key)).count()
    }

    /// Returns the busy models with their requests per second.
    pub(super) fn busy_models(&self) -> Vec<(ModelKey, f64)> {
        let sides = self.pool.endpoints.values().flat_map(|endpoint| endpoint.side.iter());
        let served = sides.flat_map(|side| side.rates.iter().map(|(key, _)| *key));
        let keys = served.chain(self.demand.unavailable.keys().copied()).collect::<Set<_>>();
        let rates = keys.into_iter().map(|key| (key, self.rate(key)));
        let mut busy = rates.filter(|(_, rate)| *rate >= BUSY_RATE).collect::<Vec<_>>();
        busy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        busy
    }

    /// Requests a load of the model with the highest miss rate, when the weight store has capacity.
    ///
    /// Requests with less time left than a load from the weight store takes are refused immediately
    /// and are not queued. Without this function, their model would never be loaded.
    pub(super) fn load_missed(&mut self) {
        let now = self.now;
        self.demand.missed.retain(|_, rate| rate.per_s(now) > MIN_MISS_RATE);
        let is_covered = |key: &ModelKey| {
            self.load_requests.contains_key(key)
                || self.loading_count(*key) > 0
                || self
                    .pool
                    .endpoints
                    .values()
                    .any(|endpoint| endpoint.inventory.models.contains(key))
        };
        // Only models missed at this entry: if every entry requested the models that all of them
        // miss, engines, which load one model at a time, would load the same ones twice.
        let missed = self.demand.missed.keys();
        let missed = missed.filter(|key| !is_covered(key) && !self.awaits_grant(**key));
        let missed = missed.map(|key| (self.miss_rate(*key), *key));
        let most = missed.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let Some((rate, key)) = most else { return };
        let name = self.names.name(key).to_owned();
        let Some(config) = self.config.clone() else { return };
        let mut services = config.services.iter();
        let service = services.find(|service| {
            service.engine.as_ref().is_some_and(|engine| engine.model(&name).is_some())
        });
        let Some(service) = service else { return };
        let max_loss = (1.0 + rate * HORIZON_S) * DELAY_PER_WAITER_MS;
        if let Some(place) = self.place(&service.name, &name, key, max_loss, None) {
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.send_load_request(
                key,
                &place.instance,
                place.evictions,
                place.ready_ms as u64,
                ttl_ms,
            );
        }
    }
}

pub(super) fn side_rate(endpoint: &Endpoint, key: ModelKey) -> f64 {
    let rates = endpoint.side.iter().flat_map(|side| side.rates.iter());
    rates.filter(|(model, _)| *model == key).map(|(_, rate)| *rate).sum()
}
