//! Where a model is fetched to, and what makes way for it.

use citronrill_base::{ModelKey, rendezvous_score};

use super::{PoolEntry, demand::rate_of};
use crate::{
    endpoint::Endpoint,
    text::{EngineSpec, ModelSpec},
};

/// Milliseconds that a model in use holds up its own unloading: a stream runs about half a second.
const BUSY_VICTIM_MS: f64 = 400.0;
/// Seconds ahead for which a model's next use is weighed.
pub(super) const HORIZON_S: f64 = 10.0;
/// Milliseconds that a request loses when its model has to be fetched first.
pub(super) const MISS_MS: f64 = 900.0;
/// Seconds that one request takes a slot, about.
const RUN_S: f64 = 0.5;
/// Requests a second that each remaining replica would have to carry above which a replica is not
/// given up for a rare model. It is far below [`REPLICA_RATE`], or replicas would be unloaded and
/// fetched back by turns: 12 orders in 5 s for one model were seen in a burst of rare ones.
const KEEP_RATE: f64 = 12.0;
/// Milliseconds of waiting that a replica among several saves for each request a second it serves.
const SPARE_MS: f64 = 40.0;
/// Milliseconds that a replica among several is worth whatever its rate: before anything is known
/// of demand, what is held by many is what is asked for, and what nobody asked for goes first.
const SPARE_BASE_MS: f64 = 200.0;
/// Milliseconds for which an endpoint takes no order while a model in use drains there: 400 to 3,400
/// were measured.
const DRAIN_MS: f64 = 700.0;
/// Milliseconds that callers of an endpoint's other models lose while one is loaded there, for each
/// request a second that it serves: one in ten needs an adapter that is away, and waits half a second.
const HELD_UP_MS: f64 = 50.0;
/// Milliseconds added to a load from the weight store: for its whole time the endpoint takes no
/// other order, and the store is shared by all.
const STORE_COST_MS: f64 = 3_000.0;

/// A place for a model, with what it costs in milliseconds.
pub(super) struct Place {
    pub(super) instance: String,
    pub(super) cost: f64,
    /// The same where nobody waits for the model, as live replicas serve its callers meanwhile.
    pub(super) spare_cost: f64,
    /// What is lost with the victims.
    price: f64,
    /// What callers of the endpoint's other models lose while it loads.
    pub(super) held_up: f64,
    pub(super) ready_ms: f64,
    /// Whether the weight store has to bring it.
    pub(super) far: bool,
    pub(super) victims: Vec<ModelKey>,
}

impl PoolEntry {
    /// The cheapest endpoint to fetch `model` to, where what makes way is worth `worth` at most.
    pub(super) fn place(
        &self,
        service: &str,
        name: &str,
        model: ModelKey,
        worth: f64,
    ) -> Option<Place> {
        let engine = self.text.as_ref()?.service(service)?.engine.as_ref()?;
        let spec = engine.model(name)?;
        let members = self.pool.endpoints.values();
        let fit = members.filter(|one| one.open() && one.member.service == service);
        let store = self.store_open(model) && !self.copy_unheard(service, model);
        let places = fit.filter_map(|one| self.place_at(one, engine, spec, model, store));
        let places = places.filter(|place| place.price <= worth);
        places.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Whether a copy of a model lies at an endpoint whose side is about to be heard.
    ///
    /// The failure it meets: an entry starts when all instances do and hears of some sides first.
    /// None of these has a copy, so it had the model loaded from the weight store, in six seconds,
    /// a tenth of a second before the side of an instance that has it on disk was heard.
    fn copy_unheard(&self, service: &str, model: ModelKey) -> bool {
        self.pool.endpoints.values().any(|one| {
            one.open()
                && one.member.service == service
                && one.unheard_yet(self.now)
                && one.holding.has_copy(model)
        })
    }

    pub(super) fn place_at(
        &self,
        endpoint: &Endpoint,
        engine: &EngineSpec,
        spec: &ModelSpec,
        model: ModelKey,
        store_open: bool,
    ) -> Option<Place> {
        let side = endpoint.fresh_side(self.now).filter(|side| side.sound)?;
        let shut = endpoint.avoided(self.now)
            || endpoint.life.silent(self.now)
            || self.now < endpoint.declined_until;
        if shut || endpoint.holding.models.contains(&model) {
            return None;
        }
        let far = !endpoint.holding.has_copy(model);
        if far && !store_open {
            return None;
        }
        let mut cost = if far { STORE_COST_MS } else { 0.0 };
        let load_ms = if endpoint.holding.in_memory.contains(&model) {
            spec.memory_ms
        } else if far {
            spec.store_ms
        } else {
            spec.disk_ms
        };
        let mut ready_ms = (load_ms + side.busy_ms) as f64;
        let (victims, price) = self.victims(endpoint, engine, spec)?;
        let busy = victims.iter().any(|victim| rate_of(endpoint, *victim) * RUN_S > 0.5);
        if busy {
            ready_ms += BUSY_VICTIM_MS;
        }
        // While a model comes, no adapter does: the busier the endpoint, the more callers wait.
        let held_up = HELD_UP_MS * side.rates.iter().map(|(_, rate)| rate).sum::<f64>();
        let tie = rendezvous_score(&spec.name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        let instance = endpoint.member.instance.clone();
        // Whoever waits loses the time until the model is there; without anybody who does, the endpoint's
        // other callers are held up for as long.
        let spare_cost = cost + held_up * ready_ms / 1_000.0 + price;
        cost += held_up + ready_ms + price + tie;
        Some(Place { instance, cost, spare_cost, price, held_up, ready_ms, far, victims })
    }

    /// What has to make way at `endpoint` for a model, cheapest first, and what that costs.
    fn victims(
        &self,
        endpoint: &Endpoint,
        engine: &EngineSpec,
        spec: &ModelSpec,
    ) -> Option<(Vec<ModelKey>, f64)> {
        let side = endpoint.fresh_side(self.now)?;
        let size = |key: &ModelKey| {
            engine.model(self.names.name(*key)).map_or(0.0, |model| model.weights_mb)
        };
        // What is on its way there takes room like what is there; room for as many adapters as may
        // be held is kept free, so that an adapter never has to push a model out.
        let coming = side.loading.iter().filter(|key| !endpoint.holding.models.contains(key));
        let used = endpoint.holding.models.iter().chain(coming).map(size).sum::<f64>();
        let adapters = f64::from(engine.adapter_limit) * spec.adapter_mb;
        let mut free = engine.weights_mb - used - adapters;
        let movable = endpoint.holding.models.iter().filter(|key| !side.fixed.contains(key));
        let mut order = movable.map(|key| (self.value(*key, endpoint), *key)).collect::<Vec<_>>();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut victims, mut price) = (Vec::new(), 0.0);
        let mut order = order.into_iter();
        while free < spec.weights_mb {
            let (value, key) = order.next()?;
            free += size(&key);
            price += value;
            victims.push(key);
        }
        Some((victims, price))
    }

    /// What is lost when `key` leaves `endpoint`, in milliseconds of callers' waiting.
    ///
    /// The last replica of a model costs one miss if it is asked for within the horizon, and one
    /// for each request that comes while it is fetched back. A replica among several costs little
    /// while the others can carry the load. Only replicas whose side is heard count: a crashed
    /// endpoint is listed for seconds, and was taken for the other replica of a busy model whose
    /// last one was then unloaded.
    fn value(&self, key: ModelKey, endpoint: &Endpoint) -> f64 {
        let others =
            self.live_holders(key).filter(|one| one.member.instance != endpoint.member.instance);
        let others = others.count() as f64;
        let rate = self.rate(key);
        let urgent = self.waiting_for(key) * MISS_MS;
        if others > 0.0 && rate <= others * KEEP_RATE {
            let in_use = rate_of(endpoint, key) * RUN_S > 0.5;
            let drain = if in_use { DRAIN_MS } else { 0.0 };
            return SPARE_BASE_MS + rate_of(endpoint, key) * SPARE_MS + drain;
        }
        let next = 1.0 - (-rate * HORIZON_S).exp();
        urgent + MISS_MS * (next + rate)
    }
}
