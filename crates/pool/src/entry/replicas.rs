//! Number of replicas of each model, and requests for additional ones.

use citronrill_base::ModelKey;

use super::{
    PoolEntry,
    choose::CONCENTRATION_FREE_SHARE,
    demand::REFUSAL_COST_MS,
    placement::{HORIZON_S, MISS_COST_MS, Place},
};
use crate::{
    config::{EngineSpec, ModelSpec},
    endpoint::Endpoint,
};

/// Requests per second for each slot that one replica serves well within its objective. A request
/// occupies a slot for half a second, and for three quarters once all are occupied. Engines of 24
/// slots were full at 34 requests per second, with a wait of 174 ms for three quarters of the
/// requests.
const SLOT_RATE: f64 = 0.9;
/// Requests per second that one replica serves well, regardless of its number of slots. Prompts
/// are read one by one in 17 ms each, which leaves half of the time for generating tokens.
const REPLICA_RATE: f64 = 30.0;
/// Requests per second above which a model gets [`SPARE_REPLICAS`]. Its callers notice a crash of
/// its only endpoint at once, and weights cached on a second disk bring it back in one second
/// instead of six.
const SPARE_RATE: f64 = 6.0;
/// Minimum replicas of a model above [`SPARE_RATE`].
const SPARE_REPLICAS: f64 = 2.0;
/// Share of a second's requests that a spare replica is worth: one endpoint in twenty crashes
/// within [`HORIZON_S`], and its model is then unavailable for about that time.
const CRASH_SHARE: f64 = 0.5;
/// Share of the endpoints that leave or crash within [`HORIZON_S`].
const LEAVE_SHARE: f64 = 0.05;
/// Time to first byte of the fastest replica, as a share of the objective, above which another
/// replica is requested.
const SLOW_TTFB: f64 = 1.2;
/// Maximum concurrent loads of one model from the weight store.
const MAX_REPLICA_LOADS: usize = 2;
/// Fill level of the least loaded replica above which another one is requested.
pub(super) const CROWDED_FILL: f64 = 0.9;
/// Seconds for which the callers of a stalled endpoint get no response: the side's silence is
/// detected after one second, and callers that had an event disconnect after three.
const STALL_S: f64 = 3.0;
/// Share of a service's runs at each holder of a model, on average, above which another holder is
/// requested from cached weights.
const EXPOSED_SHARE: f64 = CONCENTRATION_FREE_SHARE;
/// Runs at each holder, on average, up to which no other one is requested for their sake.
const EXPOSED_RUNS: f64 = 2.0;
/// Milliseconds that callers of other models may lose so that fewer streams depend on one instance.
/// Evicting such a replica costs as much: otherwise two models take the same place in turn.
pub(super) const SPREAD_GAIN_MS: f64 = 1_500.0;
/// Milliseconds for which another replica is still useful: a load from the weight store takes at
/// least six seconds.
pub(super) const REPLICA_TTL_MS: u64 = 8_000;

impl PoolEntry {
    /// Requests one more replica of each model that has too few for its demand.
    pub(super) fn add_replicas(&mut self) {
        let Some(config) = self.config.clone() else { return };
        for service in &config.services {
            let Some(engine) = &service.engine else { continue };
            for (key, rate) in self.busy_models() {
                let place = self.replica_place(&service.name, engine, key, rate);
                if place.is_none() {
                    self.ask_replica(&service.name, engine, key, rate);
                }
                if let Some(place) = place {
                    let ready_ms = place.ready_ms as u64;
                    self.send_load_request(
                        key,
                        &place.instance,
                        place.evictions,
                        ready_ms,
                        REPLICA_TTL_MS,
                    );
                }
            }
        }
    }

    /// Returns the place for one more replica of a model, if it is worth its cost.
    pub(super) fn replica_place(
        &self,
        service: &str,
        engine: &EngineSpec,
        key: ModelKey,
        rate: f64,
    ) -> Option<Place> {
        let name = self.names.name(key);
        let spec = engine.model(name).filter(|_| !self.load_requests.contains_key(&key))?;
        let loading = self.loading_count(key);
        let held = self.live_holders(key).count();
        let overloaded = loading == 0 && self.overloaded(key);
        let few = ((held + loading) as f64) < desired_replicas(rate, engine.slots) || overloaded;
        if loading == 0 && !few && self.is_exposed(key, held, self.service_runs(service)) {
            let place = self.spread_place(service, name, key);
            if place.is_some() {
                return place;
            }
        }
        // A spare replica must not take the only place of another model.
        let required = (held + loading) as f64 >= required_replicas(rate, engine.slots);
        let spare = required && !overloaded;
        if spare && !self.plans.has_room(service, key, held + loading) {
            return None;
        }
        let gain =
            if few { self.demand_loss(key, rate) } else { redundancy_gain(rate, held, loading)? };
        let gain = gain + self.sole_copy_loss(key, rate, spec);
        // While a replica serves at its usual pace, no request waits for the new one, so the load
        // time does not count. Otherwise six seconds of loading outweigh the gain, and a model in
        // demand keeps a single holder while the weight store is idle.
        let served = held > 0 && !overloaded;
        let cost = |place: &Place| if served { place.background_cost } else { place.cost };
        let place = self.place(service, name, key, gain, None).filter(|place| cost(place) < gain);
        place.filter(|place| !place.from_store || self.replica_due(key, loading))
    }

    /// Returns whether each of a model's `holders` has, on average, too large a share of its service's
    /// `runs`, so that no choice among them can spread the runs well.
    ///
    /// The runs under way tell this at once, while request rates follow demand that moves to another
    /// model only after seconds. Streams that may run once cannot leave an instance that stalls.
    pub(super) fn is_exposed(&self, key: ModelKey, holders: usize, runs: u32) -> bool {
        let held = self.live_holders(key).map(|endpoint| f64::from(endpoint.load())).sum::<f64>();
        let mean = held / holders.max(1) as f64;
        holders > 0 && mean > EXPOSED_RUNS.max(EXPOSED_SHARE * f64::from(runs))
    }

    /// Returns the place for one more replica that only spreads the runs of a model.
    ///
    /// It must cost other callers little, so it is never loaded from the weight store. Nothing in use
    /// makes way: an unload waits for seconds until the runs of a model have ended.
    fn spread_place(&self, service: &str, name: &str, key: ModelKey) -> Option<Place> {
        let place = self.place(service, name, key, SPREAD_GAIN_MS, None)?;
        let cheap = place.plan_loss == 0.0 && place.background_cost < SPREAD_GAIN_MS;
        (!place.drains && cheap).then_some(place)
    }

    /// Returns the milliseconds that callers lose while a model has fewer replicas than its demand
    /// needs.
    fn demand_loss(&self, key: ModelKey, rate: f64) -> f64 {
        let missed = self.miss_rate(key);
        MISS_COST_MS * (2.0 + missed * HORIZON_S + rate * CRASH_SHARE)
    }

    /// Returns whether the weight store may load one more replica of a model now.
    ///
    /// During a rolling replacement, endpoints join with empty disks. Without this rule, the
    /// busiest model was loaded at five of them at once, and the next model at six, while the
    /// last cached weights of other models in demand were lost; with eight concurrent loads, each
    /// took 13 s instead of 6. The first load of each model that callers miss therefore has
    /// precedence, and a model never has more than two loads at once.
    fn replica_due(&self, key: ModelKey, loading: usize) -> bool {
        let first_load = loading == 0 && self.live_holders(key).next().is_none();
        first_load || loading < MAX_REPLICA_LOADS && !self.others_missed_more(key)
    }

    /// Returns the expected loss of callers because at most one endpoint has a model's weights
    /// cached.
    ///
    /// When that endpoint leaves, the model is unavailable for as long as a load from the weight
    /// store takes. On one pool this took 13 s, and 262 requests were refused on a day with low
    /// load.
    fn sole_copy_loss(&self, key: ModelKey, rate: f64, spec: &ModelSpec) -> f64 {
        let open = self.pool.endpoints.values().filter(|endpoint| endpoint.accepts_requests());
        if open.filter(|endpoint| endpoint.inventory.has_cached_weights(key)).count() > 1 {
            return 0.0;
        }
        let load_s = spec.store_ms as f64 / 1_000.0;
        LEAVE_SHARE * rate * load_s * REFUSAL_COST_MS
    }

    /// Returns whether even the least loaded replica of a model is full or slow.
    fn overloaded(&self, key: ModelKey) -> bool {
        let running = self.requests.values().filter(|request| request.base == Some(key));
        let target = running.map(|request| request.target_ms).min();
        let Some(target) = target else { return false };
        let overload = |endpoint: &Endpoint| {
            if self.by_wait(&endpoint.member.service) {
                return self.late_first_event(endpoint, target);
            }
            (endpoint.load_ratio() / CROWDED_FILL)
                .max(endpoint.ttfb_ms(self.now) / target.max(1) as f64 / SLOW_TTFB)
        };
        let least = self.live_holders(key).map(overload).fold(f64::INFINITY, f64::min);
        least.is_finite() && least > 1.0
    }
}

/// Returns the number of replicas that a busy model should have at this request rate.
pub(super) fn desired_replicas(rate: f64, slots: u32) -> f64 {
    let min_replicas = if rate > SPARE_RATE { SPARE_REPLICAS } else { 1.0 };
    required_replicas(rate, slots).max(min_replicas)
}

/// Returns the number of replicas that serve this request rate well, without spare ones.
pub(super) fn required_replicas(rate: f64, slots: u32) -> f64 {
    let replica_rate = REPLICA_RATE.min(SLOT_RATE * f64::from(slots.max(1)));
    (rate / replica_rate).ceil()
}

/// Returns the expected milliseconds that one more replica saves callers while the `held` ones
/// carry the load; `None` while another one is being loaded.
fn redundancy_gain(rate: f64, held: usize, loading: usize) -> Option<f64> {
    let live = held as f64;
    (held > 0 && loading == 0).then(|| stall_loss(rate, live) - stall_loss(rate, live + 1.0))
}

/// Returns the expected milliseconds that callers of a model lose within [`HORIZON_S`] because an
/// instance with one of its replicas stalls or crashes.
///
/// If a model's two holders carry it well, half of its streams run at each. When one instance
/// stalls, all streams there hang until their callers disconnect: no run ends before the instance
/// resumes.
fn stall_loss(rate: f64, replicas: f64) -> f64 {
    LEAVE_SHARE * rate / replicas * STALL_S * REFUSAL_COST_MS
}
