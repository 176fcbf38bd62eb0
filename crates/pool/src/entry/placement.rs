//! Where a model is fetched to, and what makes way for it.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, ModelKey, Set, rendezvous_score};
use citronrill_decide::LogEvent;
use citronrill_wire::Want;

use super::{EntryEffect, PoolEntry, Reason, RequestId, Stage};
use crate::{
    member::full_name,
    pool::{DECLINED_MS, Endpoint},
    rate::Rate,
    text::{EngineSpec, ModelSpec},
};

/// Milliseconds that a model in use holds up its own unloading: a stream runs about half a second.
const BUSY_VICTIM_MS: f64 = 400.0;
/// Seconds ahead for which a model's next use is weighed.
const HORIZON_S: f64 = 10.0;
/// Milliseconds that a request loses when its model has to be fetched first.
const MISS_MS: f64 = 900.0;
/// Seconds that one request takes a slot, about.
const RUN_S: f64 = 0.5;
/// Requests a second for each slot that one replica answers well within its objective: a request
/// takes a slot for half a second, and for three quarters once all are taken. Engines of 24 slots
/// were measured to be full at 34 a second, with 174 ms of waiting at three quarters of the requests.
const SLOT_RATE: f64 = 0.9;
/// Requests a second that one replica answers well whatever its slots, as prompts are read one by one
/// and take 17 ms each: half of the time is left for making tokens.
const REPLICA_RATE: f64 = 30.0;
/// Requests a second from which a model has [`SPARE_REPLICAS`]: its callers feel the crash of its
/// only endpoint at once, and a second copy on a disk brings it back in one second instead of six.
const SPARE_RATE: f64 = 6.0;
/// Replicas of such a model at least.
const SPARE_REPLICAS: f64 = 2.0;
/// Requests a second that each remaining replica would have to carry above which a replica is not
/// given up for a rare model. It is far below [`REPLICA_RATE`], or replicas would be unloaded and
/// fetched back by turns: 12 orders in 5 s for one model were seen in a burst of rare ones.
const KEEP_RATE: f64 = 12.0;
/// Engines for each load from the weight store that serves a rarely used model: with three at once
/// on nine engines, a third of them took no other order for six seconds.
const RARE_STORE_SHARE: u32 = 8;
/// Requests a second from which a model counts as busy: its loss is felt within half a second.
const BUSY_RATE: f64 = 2.0;
/// Milliseconds of other callers' waiting that one waiting request may cost at most.
///
/// Answers a burst of rare models beyond what the engines can swap: every model that may make way is
/// promised already, and what is left are the busy ones. Without the bound the last replica of a model
/// with 48 requests a second was unloaded for a single one; with it whoever asks for a rare model waits
/// for a place among those, and models from some three requests a second on stay.
const WAITER_MS: f64 = 4.0 * MISS_MS;
/// Requests a second at this entry from which its own arrivals tell something of all entries': four
/// within the ten seconds of the slow average.
const OWN_RATE: f64 = 0.4;
/// Share of a second's requests that a spare replica is worth: an endpoint in twenty crashes within
/// the horizon, and its model is away for about as long.
const CRASH_SHARE: f64 = 0.5;
/// Milliseconds of waiting that a replica among several saves for each request a second it serves.
const SPARE_MS: f64 = 40.0;
/// Milliseconds that a replica among several is worth whatever its rate: before anything is known
/// of demand, what is held by many is what is asked for, and what nobody asked for goes first.
const SPARE_BASE_MS: f64 = 200.0;
/// Milliseconds for which an endpoint takes no order while a model in use drains there: 400 to 3,400
/// were measured.
const DRAIN_MS: f64 = 700.0;
/// Milliseconds that another endpoint must be quicker by to be asked for a model that is on its way.
const AGAIN_MS: f64 = 500.0;
/// Milliseconds after which a side that was asked and shows nothing is given up for another.
const UNHEARD_MS: u64 = 400;
/// Milliseconds that callers of an endpoint's other models lose while one is loaded there, for each
/// request a second that it serves: one in ten needs an adapter that is away, and waits half a second.
const HELD_UP_MS: f64 = 50.0;
/// Milliseconds of an order under way that weigh like a whole batch when an adapter is to be fetched:
/// the endpoint takes no other order meanwhile, and half of the objective of a chat is over.
const BUSY_HOLDER_MS: f64 = 250.0;
/// Milliseconds added to a load from the weight store: for its whole time the endpoint takes no
/// other order, and the store is shared by all.
const STORE_COST_MS: f64 = 3_000.0;
/// Misses a second below which a model is no longer fetched for them: less than one in ten seconds.
const MISS_FLOOR: f64 = 0.05;
/// Milliseconds for which a request waits at least while no endpoint has a place for its model: the
/// orders under way at the endpoints end within about a second and make new places.
const PLACE_MS: u64 = 2_500;
/// Time to the first byte of the quickest replica, as a share of the objective, above which another
/// one is asked for.
const LAGGING: f64 = 1.2;
/// Fill of the least busy replica above which another one is asked for.
const CROWDED: f64 = 0.9;

/// A model or adapter that this entry has asked for.
#[derive(Debug, Clone)]
pub(super) struct OpenWant {
    instance: String,
    address: SocketAddr,
    asked: Millis,
    until: Millis,
    seen: bool,
    /// Whether it is a load from the weight store.
    far: bool,
    /// The side has declined; nothing is asked for again before `until`.
    declined: bool,
}

impl OpenWant {
    /// Whether the side beside the endpoint at `address` was asked.
    pub(super) fn is_at(&self, address: SocketAddr) -> bool {
        self.address == address
    }

    /// Takes the word of the side beside the endpoint at `address` that it declines.
    ///
    /// The want stays for a while as a pause: asking again at once, with every event, was measured
    /// to make thousands of messages a second while a side's plan was full.
    pub(super) fn decline(&mut self, address: SocketAddr, now: Millis) {
        if self.is_at(address) {
            self.declined = true;
            self.until = now + DECLINED_MS;
        }
    }
}

/// A place for a model, with what it costs in milliseconds.
struct Place {
    instance: String,
    cost: f64,
    /// What is lost with the victims.
    price: f64,
    ready_ms: f64,
    victims: Vec<ModelKey>,
}

impl PoolEntry {
    /// Asks for what a waiting request needs, unless that is under way.
    pub(super) fn want(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(target), Some(base)) = (request.target, request.base) else { return };
        if self.wants.contains_key(&target) || self.wants.contains_key(&base) {
            self.check_arrival(id, target, base);
            return;
        }
        let adapter = request.adapter.clone();
        let left = request.ends.since(self.now);
        let held = |endpoint: &&Endpoint| {
            endpoint.open()
                && endpoint.holding.keys.contains(&base)
                && endpoint.member.service == request.service
                && endpoint.fresh_side(self.now).is_some_and(|side| !side.leaving.contains(&base))
        };
        if !adapter.is_empty() {
            let holders = self.pool.endpoints.values().filter(held);
            let cost = |one: &&Endpoint| self.adapter_cost(one, &request.model, &adapter);
            let best = holders.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            if let Some(best) = best {
                let instance = best.member.instance.clone();
                self.ask(target, &instance, Vec::new(), left);
                return;
            }
        }
        let worth = self.waiting_for(base) * WAITER_MS;
        let place = self.place(&request.service, &request.model, base, worth);
        if let Some(coming_ms) = self.coming_ms(base) {
            let sooner = place.as_ref().is_some_and(|one| one.ready_ms + AGAIN_MS < coming_ms);
            if coming_ms <= left as f64 && !sooner {
                return;
            }
        }
        let Some(place) = place else {
            self.await_place(id, base);
            return;
        };
        if place.ready_ms > left as f64 {
            // Too late for this one; but others will ask, and without a load it stays too late.
            self.miss(id, base);
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.ask(base, &place.instance, place.victims, ttl_ms);
            self.refuse(id, Reason::TooFar);
            return;
        }
        self.ask(base, &place.instance, place.victims, left);
    }

    /// Refuses a request whose model is on its way but will not be there in time.
    fn check_arrival(&mut self, id: RequestId, target: ModelKey, base: ModelKey) {
        let Some(request) = self.requests.get(&id) else { return };
        let want = self.wants.get(&target).or(self.wants.get(&base));
        let Some(want) = want.filter(|want| !want.declined) else { return };
        let side = self.pool.endpoints.get(&want.instance).and_then(|one| one.side.as_ref());
        let Some(side) = side else { return };
        let known_ms = side.busy_ms.saturating_sub(self.now.since(side.at));
        if want.seen && known_ms > request.ends.since(self.now) {
            self.refuse(id, Reason::TooFar);
        }
    }

    /// Counts a request, once, that found no replica of its model with room.
    pub(super) fn miss(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.missed, true) {
            self.misses.entry(base).or_default().add(now);
        }
    }

    /// Whether the weight store may be asked for `model` now.
    ///
    /// When the endpoints have lost their copies, the store is what binds, and it must bring first
    /// what most requests miss: one more replica of a busy model serves more callers than any rare
    /// one.
    fn store_open(&self, model: ModelKey) -> bool {
        // What is missed and what is asked for: right after all copies are lost nothing was missed
        // yet, and six rare models were asked for in the same millisecond before the busy one.
        let rate = |rates: &Map<ModelKey, Rate>, key: &ModelKey| {
            rates.get(key).map_or(0.0, |rate| rate.per_s(self.now))
        };
        let need = |key: &ModelKey| {
            let asked = rate(&self.asked, key);
            rate(&self.misses, key).max(if asked < BUSY_RATE { 0.0 } else { asked })
        };
        let own = need(&model);
        let before = self.asked.keys().filter(|key| {
            **key != model && !self.wants.contains_key(key) && need(key) > own && self.far(**key)
        });
        // A load of six seconds for one caller holds up an eighth of the endpoints at most, and never
        // takes the last place: a model that many wait for would stand behind it.
        let limit = self.store.limit();
        let engines = self.pool.endpoints.values().filter(|one| one.side.is_some()).count() as u32;
        let rare = (limit - 1).min(engines / RARE_STORE_SHARE).max(1);
        let limit = if own < BUSY_RATE { rare } else { limit };
        self.store_loads() + (before.count() as u32) < limit
    }

    /// Whether no endpoint has a copy of a model or holds it with room.
    fn far(&self, model: ModelKey) -> bool {
        let near = |one: &Endpoint| {
            one.open()
                && (one.holding.has_copy(model)
                    || one.holding.models.contains(&model) && one.fill() < CROWDED)
        };
        !self.pool.endpoints.values().any(near)
    }

    /// Lets a request wait for a place for its model while its time may still be enough.
    fn await_place(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        self.miss(id, base);
        let Some(request) = self.requests.get(&id) else { return };
        let engine = self.text.as_ref().and_then(|text| text.service(&request.service));
        let engine = engine.and_then(|service| service.engine.as_ref());
        let spec = engine.and_then(|engine| engine.model(&request.model));
        let copied = |one: &Endpoint| one.open() && one.holding.has_copy(base);
        let near = self.pool.endpoints.values().any(copied);
        let needs = spec.map_or(0, |spec| if near { spec.disk_ms } else { spec.store_ms });
        let waited = now.since(request.arrived);
        if request.ends.since(now) < needs {
            self.refuse(id, Reason::TooFar);
        } else if waited > request.target_ms.max(PLACE_MS) {
            self.refuse(id, Reason::NoEndpoint);
        }
    }

    /// Loads from the weight store that are planned or under way, or that this entry has just asked for.
    fn store_loads(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|one| one.fresh_side(self.now));
        let told = sides.map(|side| side.store_loads).sum::<u32>();
        let unseen = self.wants.values().filter(|want| want.far && !want.seen && !want.declined);
        told + unseen.count() as u32
    }

    /// Takes what a finished load from the weight store says of how many the store bears.
    pub(super) fn learn_store(&mut self) {
        let loads = self.store_loads();
        let sides =
            self.pool.endpoints.iter().filter_map(|(id, one)| Some((id, one.side.as_ref()?)));
        let sides = sides.map(|(id, side)| (id.clone(), side.store_slow)).collect::<Vec<_>>();
        for (id, slow) in sides {
            self.store.hear(&id, slow, loads);
        }
    }

    /// What an adapter costs at a holder of its model, in shares of the slots.
    ///
    /// Each adapter leans to the same holder from every entry, so that the holders' few places are
    /// not all taken by the same ones; a holder that waits for a load takes no adapter meanwhile.
    fn adapter_cost(&self, endpoint: &Endpoint, model: &str, adapter: &str) -> f64 {
        let side = endpoint.fresh_side(self.now);
        let busy = side.map_or(0, |side| side.order_ms.saturating_sub(self.now.since(side.at)));
        let name = full_name(model, adapter);
        let order = rendezvous_score(&name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        endpoint.fill() + busy as f64 / BUSY_HOLDER_MS - order
    }

    fn ask(&mut self, key: ModelKey, instance: &str, victims: Vec<ModelKey>, ttl_ms: u64) {
        let name = self.names.name(key).to_owned();
        let (model, adapter) = name.split_once('/').unwrap_or((&name, ""));
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        let address = endpoint.member.address;
        let service = &endpoint.member.service;
        let fleet = self.pool.endpoints.values().filter(|one| one.member.service == *service);
        let waiting = self.requests.values().filter(|one| {
            one.stage == Stage::Waiting && (one.target == Some(key) || one.base == Some(key))
        });
        let want = Want {
            instance: instance.to_owned(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            victims: victims.iter().map(|key| self.names.name(*key).to_owned()).collect(),
            fleet: fleet.count() as u32,
            ttl_ms,
            waiting: waiting.count() as u32,
        };
        let rates = victims.iter().map(|key| format!("{:.2}", self.rate(*key))).collect::<Vec<_>>();
        let event = LogEvent::new("want")
            .with("model", model)
            .with("adapter", adapter)
            .with("at", instance)
            .with("victims", want.victims.join(","))
            .with("rates", rates.join(","))
            .with("waiting", want.waiting)
            .with("sequence", endpoint.holding.sequence);
        let open = OpenWant {
            instance: instance.to_owned(),
            address,
            asked: self.now,
            until: self.now + ttl_ms,
            seen: false,
            far: adapter.is_empty() && !endpoint.holding.has_copy(key),
            declined: false,
        };
        self.wants.insert(key, open);
        self.effects.push(EntryEffect::Want(address, want));
        self.log(event);
    }

    /// Requests that wait here for a model, or for an adapter of it.
    fn waiting_for(&self, model: ModelKey) -> f64 {
        let waiting = self.requests.values();
        let waiting = waiting.filter(|one| one.stage == Stage::Waiting && one.base == Some(model));
        waiting.count() as f64
    }

    /// The cheapest endpoint to fetch `model` to, where what makes way is worth `worth` at most.
    fn place(&self, service: &str, name: &str, model: ModelKey, worth: f64) -> Option<Place> {
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

    fn place_at(
        &self,
        endpoint: &Endpoint,
        engine: &EngineSpec,
        spec: &ModelSpec,
        model: ModelKey,
        store_open: bool,
    ) -> Option<Place> {
        let side = endpoint.fresh_side(self.now).filter(|side| side.sound)?;
        let shut = endpoint.avoided(self.now) || self.now < endpoint.declined_until;
        if shut || endpoint.holding.models.contains(&model) {
            return None;
        }
        let mut cost = 0.0;
        let load_ms = if endpoint.holding.in_memory.contains(&model) {
            spec.memory_ms
        } else if endpoint.holding.on_disk.contains(&model) {
            spec.disk_ms
        } else {
            if !store_open {
                return None;
            }
            cost += STORE_COST_MS;
            spec.store_ms
        };
        let mut ready_ms = (load_ms + side.busy_ms) as f64;
        let (victims, price) = self.victims(endpoint, engine, spec)?;
        let busy = victims.iter().any(|victim| rate_of(endpoint, *victim) * RUN_S > 0.5);
        if busy {
            ready_ms += BUSY_VICTIM_MS;
        }
        // While a model comes, no adapter does: the busier the endpoint, the more callers wait.
        cost += HELD_UP_MS * side.rates.iter().map(|(_, rate)| rate).sum::<f64>();
        let tie = rendezvous_score(&spec.name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        let instance = endpoint.member.instance.clone();
        Some(Place { instance, cost: cost + ready_ms + price + tie, price, ready_ms, victims })
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

    /// Endpoints that hold a model and whose side says that they live.
    pub(super) fn live_holders(&self, key: ModelKey) -> impl Iterator<Item = &Endpoint> {
        self.pool.endpoints.values().filter(move |one| {
            one.open()
                && one.holding.models.contains(&key)
                && one.fresh_side(self.now).is_some_and(|side| side.sound)
        })
    }

    /// Requests a second for a model, over all entries.
    ///
    /// Sides count what reached them. Requests for a model that is away reach nobody, and by that
    /// count alone it looked idle the moment it came: it was unloaded for a single request of a rare
    /// model while a hundred a second asked for it. So what came to this entry while the model was
    /// away counts for all entries, where it is enough to tell. What comes while it is there does not:
    /// callers are spread unevenly over entries, and the busiest would see twice the demand.
    fn rate(&self, key: ModelKey) -> f64 {
        let live = self.pool.endpoints.values().filter(|one| one.fresh_side(self.now).is_some());
        let served = live.map(|endpoint| rate_of(endpoint, key)).sum::<f64>();
        let own = self.away.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
        if own < OWN_RATE { served } else { served.max(own * f64::from(self.entries())) }
    }

    /// Closes wants that an endpoint's side has answered by its state.
    pub(super) fn close_wants(&mut self, address: SocketAddr) {
        let Some(endpoint) = self.pool.at(address) else { return };
        let held = endpoint.holding.keys.clone();
        let coming = endpoint.side.as_ref().map(|side| side.loading.clone()).unwrap_or_default();
        let now = self.now;
        self.wants.retain(|key, want| {
            if want.address != address || want.declined {
                return !held.contains(key);
            }
            want.seen |= coming.contains(key);
            let declined = want.seen && !coming.contains(key);
            let unheard = !want.seen && now.since(want.asked) > UNHEARD_MS;
            !held.contains(key) && !declined && !unheard
        });
    }

    /// Forgets wants that nobody waits for, or that a lost side will never answer.
    pub(super) fn expire_wants(&mut self) {
        let now = self.now;
        let pool = &self.pool;
        self.wants.retain(|_, want| {
            let side = pool.endpoints.get(&want.instance).and_then(|one| one.fresh_side(now));
            let unheard = !want.seen && now.since(want.asked) > UNHEARD_MS;
            let open = side.is_some() && !unheard || want.declined;
            open && now < want.until
        });
    }

    /// Asks for one more replica of each model that has too few for its demand.
    ///
    /// Too few are less than its rate needs, or all of them crowded or slow.
    pub(super) fn spread(&mut self) {
        let Some(text) = self.text.clone() else { return };
        for service in &text.services {
            let Some(engine) = &service.engine else { continue };
            for (key, rate) in self.busy_models() {
                let name = self.names.name(key).to_owned();
                if engine.model(&name).is_none() || self.wants.contains_key(&key) {
                    continue;
                }
                let coming = self.coming(key);
                let live = (self.live_holders(key).count() + coming) as f64;
                let strained = coming == 0 && self.strained(key);
                if live >= desired(rate, engine.slots) && !strained {
                    continue;
                }
                // What it costs must be less than what callers lose without it.
                let missed = self.misses.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
                let gain = MISS_MS * (2.0 + missed * HORIZON_S + rate * CRASH_SHARE);
                let place = self.place(&service.name, &name, key, gain);
                if let Some(place) = place.filter(|place| place.cost < gain) {
                    self.ask(key, &place.instance, place.victims, SPREAD_TTL_MS);
                }
            }
        }
    }

    /// Milliseconds until a model is there that an endpoint brings in for somebody else.
    ///
    /// Entries that ask at the same moment ask different sides. Without a look at what others have
    /// under way, a busy model was brought in by five engines at once, four of them from the weight
    /// store, which carries four loads at full speed and had no room for another model for 6 s.
    fn coming_ms(&self, key: ModelKey) -> Option<f64> {
        let sides = self
            .pool
            .endpoints
            .values()
            .filter(|one| one.open() && !one.holding.models.contains(&key));
        let sides = sides.filter_map(|one| one.fresh_side(self.now));
        let loading = sides.filter(|side| side.sound && side.loading.contains(&key));
        let left = loading.map(|side| side.busy_ms.saturating_sub(self.now.since(side.at)));
        left.min().map(|ms| ms as f64)
    }

    /// Endpoints that hold a model, that have a copy of it, and to which it is on its way.
    pub(super) fn nearness(&self, key: ModelKey) -> (usize, usize, usize) {
        let open = self.pool.endpoints.values().filter(|one| one.open());
        let copies = open.filter(|one| one.holding.has_copy(key)).count();
        (self.live_holders(key).count(), copies, self.coming(key))
    }

    /// Endpoints to which a model is on its way, whoever asked for it.
    fn coming(&self, key: ModelKey) -> usize {
        let sides = self.pool.endpoints.values().filter_map(|one| {
            let held = one.holding.models.contains(&key);
            one.fresh_side(self.now).filter(|_| !held)
        });
        sides.filter(|side| side.loading.contains(&key)).count()
    }

    /// Models that are asked for often, with their requests a second.
    fn busy_models(&self) -> Vec<(ModelKey, f64)> {
        let sides = self.pool.endpoints.values().flat_map(|one| one.side.iter());
        let served = sides.flat_map(|side| side.rates.iter().map(|(key, _)| *key));
        let keys = served.chain(self.away.keys().copied()).collect::<Set<_>>();
        let rates = keys.into_iter().map(|key| (key, self.rate(key)));
        let mut busy = rates.filter(|(_, rate)| *rate >= BUSY_RATE).collect::<Vec<_>>();
        busy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        busy
    }

    /// Whether even the least loaded replica of a model is crowded or slow.
    fn strained(&self, key: ModelKey) -> bool {
        let running = self.requests.values().filter(|one| one.base == Some(key));
        let target = running.map(|one| one.target_ms).min();
        let Some(target) = target else { return false };
        let strain = |one: &Endpoint| {
            (one.fill() / CROWDED).max(one.lag(self.now) / target.max(1) as f64 / LAGGING)
        };
        let least = self.live_holders(key).map(strain).fold(f64::INFINITY, f64::min);
        least.is_finite() && least > 1.0
    }

    /// Asks for the model that was missed most, when the weight store has room.
    ///
    /// Requests whose time is shorter than such a load are refused at once and wait nowhere; without
    /// this their model would never come.
    pub(super) fn fetch_missed(&mut self) {
        let now = self.now;
        self.misses.retain(|_, rate| rate.per_s(now) > MISS_FLOOR);
        let held = |key: &ModelKey| {
            self.wants.contains_key(key)
                || self.pool.endpoints.values().any(|one| one.holding.models.contains(key))
        };
        let missed = self.misses.iter().filter(|(key, _)| !held(key));
        let most = missed.max_by(|a, b| a.1.per_s(now).total_cmp(&b.1.per_s(now)));
        let Some((key, _)) = most else { return };
        let key = *key;
        let name = self.names.name(key).to_owned();
        let Some(text) = self.text.clone() else { return };
        let mut services = text.services.iter();
        let service = services
            .find(|one| one.engine.as_ref().is_some_and(|engine| engine.model(&name).is_some()));
        let Some(service) = service else { return };
        let missed = self.misses.get(&key).map_or(0.0, |rate| rate.per_s(now));
        let worth = (1.0 + missed * HORIZON_S) * WAITER_MS;
        if let Some(place) = self.place(&service.name, &name, key, worth) {
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.ask(key, &place.instance, place.victims, ttl_ms);
        }
    }
}

/// Milliseconds for which another replica is still of use: a load from the weight store takes six
/// seconds at least.
const SPREAD_TTL_MS: u64 = 8_000;

/// Replicas that a busy model should have by its requests a second.
fn desired(rate: f64, slots: u32) -> f64 {
    let each = REPLICA_RATE.min(SLOT_RATE * f64::from(slots.max(1)));
    let spare = if rate > SPARE_RATE { SPARE_REPLICAS } else { 1.0 };
    (rate / each).ceil().max(spare)
}

fn rate_of(endpoint: &Endpoint, key: ModelKey) -> f64 {
    let rates = endpoint.side.iter().flat_map(|side| side.rates.iter());
    rates.filter(|(model, _)| *model == key).map(|(_, rate)| *rate).sum()
}
