//! What an entry asks sides for, and what waits for it.

use std::net::SocketAddr;

use citronrill_base::{Millis, ModelKey, rendezvous_score};
use citronrill_decide::LogEvent;
use citronrill_wire::Want;

use super::{EntryEffect, PoolEntry, Reason, Request, RequestId, Stage, placement::MISS_MS};
use crate::{
    endpoint::{DECLINED_MS, Endpoint},
    member::full_name,
};

/// Milliseconds of other callers' waiting that one waiting request may cost at most.
///
/// Answers a burst of rare models beyond what the engines can swap: every model that may make way is
/// promised already, and what is left are the busy ones. Without the bound the last replica of a model
/// with 48 requests a second was unloaded for a single one; with it whoever asks for a rare model waits
/// for a place among those, and models from some three requests a second on stay.
pub(super) const WAITER_MS: f64 = 4.0 * MISS_MS;
/// Milliseconds that another endpoint must be quicker by to be asked for a model that is on its way.
const AGAIN_MS: f64 = 500.0;
/// Milliseconds after which a side that was asked and shows nothing is given up for another.
const UNHEARD_MS: u64 = 400;
/// Milliseconds of an order under way that weigh like a whole batch when an adapter is to be fetched:
/// the endpoint takes no other order meanwhile, and half of the objective of a chat is over.
const BUSY_HOLDER_MS: f64 = 250.0;
/// Milliseconds for which a request waits at least while no endpoint has a place for its model: the
/// orders under way at the endpoints end within about a second and make new places.
const PLACE_MS: u64 = 2_500;

/// Milliseconds until an adapter is there at an endpoint that is free, measured with the look that
/// shows it.
const ADAPTER_READY_MS: u64 = 25;

/// A model or adapter that this entry has asked for.
#[derive(Debug, Clone)]
pub(super) struct OpenWant {
    pub(super) instance: String,
    address: SocketAddr,
    asked: Millis,
    until: Millis,
    /// When it should be there.
    ready: Millis,
    pub(super) seen: bool,
    /// Whether it is a load from the weight store.
    pub(super) far: bool,
    /// The side has declined; nothing is asked for again before `until`.
    pub(super) declined: bool,
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

impl PoolEntry {
    /// Asks for what a waiting request needs, unless that is under way.
    pub(super) fn want(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(target), Some(base)) = (request.target, request.base) else { return };
        // One more replica that is under way helps nobody who needs an adapter: while a holder lives, the
        // adapter is fetched there. Held up behind the replica, its callers waited 6 s and left.
        let held_up = self.wants.contains_key(&base) && self.live_holders(base).next().is_none();
        if self.wants.contains_key(&target) || held_up {
            self.check_arrival(id, target, base);
            return;
        }
        let adapter = request.adapter.clone();
        let left = request.wait_ms(self.now);
        let pauses = self.holder_pauses(request);
        let held = |endpoint: &&Endpoint| {
            endpoint.open()
                && endpoint.holding.keys.contains(&base)
                && endpoint.member.service == request.service
                && endpoint.moves(self.now)
                && endpoint.fresh_side(self.now).is_some_and(|side| !side.leaving.contains(&base))
        };
        if !adapter.is_empty() {
            let holders = self.pool.endpoints.values().filter(held);
            let cost = |one: &&Endpoint| self.adapter_cost(one, &request.model, &adapter);
            let best = holders.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            if let Some(best) = best {
                let instance = best.member.instance.clone();
                self.ask(target, &instance, Vec::new(), ADAPTER_READY_MS, left);
                return;
            }
        }
        if self.holder_unheard(base) {
            return;
        }
        let worth = self.waiting_for(base) * WAITER_MS;
        let place = self.place(&request.service, &request.model, base, worth);
        let place = place.filter(|place| !(pauses && place.far));
        if let Some(coming_ms) = self.coming_ms(base) {
            let sooner = place.as_ref().is_some_and(|one| one.ready_ms + AGAIN_MS < coming_ms);
            if !sooner {
                if coming_ms > left as f64 {
                    self.refuse_far(id, base);
                }
                return;
            }
        }
        let Some(place) = place else {
            self.await_place(id, base);
            return;
        };
        if place.ready_ms > left as f64 {
            // Too late for this one; but others will ask, and without a load it stays too late.
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.ask(base, &place.instance, place.victims, place.ready_ms as u64, ttl_ms);
            self.refuse_far(id, base);
            return;
        }
        self.ask(base, &place.instance, place.victims, place.ready_ms as u64, left);
    }

    /// Refuses a request whose model comes too late, unless a holder may only pause.
    fn refuse_far(&mut self, id: RequestId, base: ModelKey) {
        self.miss(id, base);
        let pauses = self.requests.get(&id).is_some_and(|one| self.holder_pauses(one));
        if !pauses {
            self.refuse(id, Reason::TooFar);
        }
    }

    /// Whether an endpoint is listed as a holder of a model, and its side is about to tell whether it still is.
    fn holder_unheard(&self, model: ModelKey) -> bool {
        let mut holders = self.pool.endpoints.values().filter(|one| one.open());
        holders.any(|one| one.unconfirmed(self.now) && one.holding.models.contains(&model))
    }

    /// Refuses a request whose model is on its way but will not be there in time.
    fn check_arrival(&mut self, id: RequestId, target: ModelKey, base: ModelKey) {
        let Some(request) = self.requests.get(&id) else { return };
        let want = self.wants.get(&target).or(self.wants.get(&base));
        let Some(want) = want.filter(|want| !want.declined) else { return };
        let side = self.pool.endpoints.get(&want.instance).and_then(|one| one.side.as_ref());
        let Some(side) = side else { return };
        let known_ms = side.left_ms(self.now);
        let late = want.seen && known_ms > request.wait_ms(self.now);
        if late && !self.holder_pauses(request) {
            self.refuse(id, Reason::TooFar);
        }
    }

    /// Lets a request wait for a place for its model while its time may still be enough.
    fn await_place(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        self.miss(id, base);
        let Some(request) = self.requests.get(&id) else { return };
        if self.holder_pauses(request) {
            return;
        }
        let engine = self.text.as_ref().and_then(|text| text.service(&request.service));
        let engine = engine.and_then(|service| service.engine.as_ref());
        let spec = engine.and_then(|engine| engine.model(&request.model));
        let copied = |one: &Endpoint| one.open() && one.holding.has_copy(base);
        let near = self.pool.endpoints.values().any(copied);
        let needs = spec.map_or(0, |spec| if near { spec.disk_ms } else { spec.store_ms });
        let waited = now.since(request.arrived);
        if request.wait_ms(now) < needs {
            self.refuse(id, Reason::TooFar);
        } else if waited > request.target_ms.max(PLACE_MS) {
            self.refuse(id, Reason::NoEndpoint);
        }
    }

    /// Milliseconds until what a request needs is there, as far as it can be told.
    ///
    /// For a model that nobody brings in: the weight store has to come free first, and then takes its
    /// time for it.
    pub(super) fn ready_ms(&self, request: &Request) -> Option<u64> {
        let base = request.base?;
        if self.live_holders(base).next().is_some() {
            return None;
        }
        let asked = self.wants.get(&base).filter(|want| !want.declined && !want.seen);
        let asked = asked.map(|want| want.ready.since(self.now) as f64);
        let coming = self.coming_ms(base);
        if let Some(ms) = coming.into_iter().chain(asked).min_by(f64::total_cmp) {
            return Some(ms as u64);
        }
        let engine = self.text.as_ref()?.service(&request.service)?.engine.as_ref()?;
        let spec = engine.model(&request.model)?;
        let (_, copies, _) = self.nearness(base);
        if copies > 0 {
            return Some(spec.disk_ms);
        }
        let sides = self.pool.endpoints.values().filter_map(|one| one.fresh_side(self.now));
        let loading = sides.filter(|side| side.store_loads > 0);
        let free = loading.map(|side| side.left_ms(self.now)).min();
        Some(free.unwrap_or(0) + spec.store_ms)
    }

    /// What an adapter costs at a holder of its model, in shares of the slots.
    ///
    /// Each adapter leans to the same holder from every entry, so that the holders' few places are
    /// not all taken by the same ones; a holder that waits for a load takes no adapter meanwhile. A holder
    /// that has many of all runs takes it only where the others have as many: all callers of the adapter
    /// would hang with them.
    fn adapter_cost(&self, endpoint: &Endpoint, model: &str, adapter: &str) -> f64 {
        let side = endpoint.fresh_side(self.now);
        let busy = side.map_or(0, |side| side.order_ms.saturating_sub(self.now.since(side.at)));
        let name = full_name(model, adapter);
        let order = rendezvous_score(&name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        let runs = self.runs_of(&endpoint.member.service);
        endpoint.fill() + self.exposure(endpoint, runs) + busy as f64 / BUSY_HOLDER_MS - order
    }

    pub(super) fn ask(
        &mut self,
        key: ModelKey,
        instance: &str,
        victims: Vec<ModelKey>,
        ready_ms: u64,
        ttl_ms: u64,
    ) {
        let name = self.names.name(key).to_owned();
        let (model, adapter) = name.split_once('/').unwrap_or((&name, ""));
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        let address = endpoint.member.address;
        let service = &endpoint.member.service;
        let fleet = self.pool.endpoints.values().filter(|one| one.member.service == *service);
        let far = adapter.is_empty() && !endpoint.holding.has_copy(key);
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
            started: endpoint.started().map(|start| start.0),
            store_loads: if far { self.store_loads() + 1 } else { 0 },
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
            ready: self.now + ready_ms,
            seen: false,
            far,
            declined: false,
        };
        self.wants.insert(key, open);
        self.effects.push(EntryEffect::Want(address, want));
        self.log(event);
    }

    /// Requests that wait here for a model, or for an adapter of it.
    pub(super) fn waiting_for(&self, model: ModelKey) -> f64 {
        let waiting = self.requests.values();
        let waiting = waiting.filter(|one| one.stage == Stage::Waiting && one.base == Some(model));
        waiting.count() as f64
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
}
