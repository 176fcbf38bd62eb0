//! Load requests to sides, and the requests that wait for them.

use std::net::SocketAddr;

use citronrill_base::{Millis, ModelKey, rendezvous_score};
use citronrill_decide::LogEvent;
use citronrill_wire::LoadRequest;

use super::{EntryEffect, PoolEntry, Reason, Request, RequestId, Stage, placement::MISS_COST_MS};
use crate::{
    endpoint::{DECLINED_MS, Endpoint},
    member::full_name,
    software::SoftwareKey,
};

/// Maximum delay, in milliseconds, that one waiting request may cause to other callers.
///
/// This applies to a burst of rare models beyond the engines' swap capacity, when every rarely used
/// model is already reserved for eviction and only the busy ones are left. Without the bound, the
/// last replica of a model with 48 requests per second was unloaded for a single request. With it,
/// callers of a rare model wait for one of the reserved places, and models from about three
/// requests per second on stay loaded.
pub(super) const DELAY_PER_WAITER_MS: f64 = 4.0 * MISS_COST_MS;
/// Minimum time, in milliseconds, by which another endpoint must be faster to load a model that is
/// already being loaded.
const DUPLICATE_GAIN_MS: f64 = 500.0;
/// Milliseconds without confirmation after which a load request is abandoned for another side.
const CONFIRM_TIMEOUT_MS: u64 = 400;
/// Remaining milliseconds of an endpoint's active order that cost as much as a full batch when
/// choosing where to load an adapter. The endpoint takes no other order in this time, which is half
/// of the latency objective of a chat request.
const ORDER_DELAY_MS: f64 = 250.0;
/// Minimum milliseconds that a request waits while no endpoint has a place for its model. The
/// active orders at the endpoints end within about a second and free places.
const PLACE_WAIT_MS: u64 = 2_500;

/// Milliseconds until an idle endpoint has loaded an adapter, including the poll that reports it.
const ADAPTER_READY_MS: u64 = 25;

/// Load request of this entry for a model or adapter.
#[derive(Debug, Clone)]
pub(super) struct SentLoadRequest {
    pub(super) instance: String,
    address: SocketAddr,
    sent_at: Millis,
    expires: Millis,
    /// Expected time of completion.
    expected: Millis,
    pub(super) confirmed: bool,
    /// Whether it is a load from the weight store.
    pub(super) from_store: bool,
    /// Whether the side has declined; no new load request is sent before `expires`.
    pub(super) declined: bool,
}

impl SentLoadRequest {
    /// Returns whether the load request went to the side of the endpoint at `address`.
    pub(super) fn sent_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }

    /// Returns whether the side has declined, or the load takes longer than expected.
    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        self.declined || now > self.expected
    }

    /// Records that the side of the endpoint at `address` has declined.
    ///
    /// The load request is kept as a backoff: new ones on every event made thousands of messages a
    /// second while a side's queue was full.
    pub(super) fn decline(&mut self, address: SocketAddr, now: Millis) {
        if self.sent_to(address) {
            self.declined = true;
            self.expires = now + DECLINED_MS;
        }
    }
}

impl PoolEntry {
    /// Requests the model or adapter that a waiting request needs, unless it is already being
    /// loaded.
    pub(super) fn request_model(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(required), Some(base)) = (request.required, request.base) else { return };
        if let Some(software) = request.bound_software() {
            self.request_bound_model(id, required, base, software);
            return;
        }
        // An additional replica that is being loaded does not help requests for an adapter: while
        // the model has a live holder, the adapter is loaded there. Callers that had to wait for
        // the replica waited 6 s and disconnected.
        let blocked =
            self.load_requests.contains_key(&base) && self.live_holders(base).next().is_none();
        if self.load_requests.contains_key(&required) || blocked {
            self.check_load(id, required, base);
            return;
        }
        let wait_ms = request.wait_ms(self.now);
        let paused = self.holder_paused(request);
        if self.request_adapter(id, required) || self.holder_unconfirmed(base) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let max_loss = self.waiting_count(base) * DELAY_PER_WAITER_MS;
        let place = self.place(&request.service, &request.model, base, max_loss, None);
        let place = place.filter(|place| !(paused && place.from_store));
        if let Some(remaining_ms) = self.load_remaining_ms(base) {
            let sooner = place
                .as_ref()
                .is_some_and(|place| place.ready_ms + DUPLICATE_GAIN_MS < remaining_ms);
            if !sooner {
                if remaining_ms > wait_ms as f64 {
                    self.refuse_too_late(id, base);
                }
                return;
            }
        }
        let Some(place) = place else {
            self.wait_for_place(id, base);
            return;
        };
        if place.ready_ms > wait_ms as f64 {
            // Too late for this request. Later requests need the model too, so load it anyway.
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.send_load_request(
                base,
                &place.instance,
                place.evictions,
                place.ready_ms as u64,
                ttl_ms,
            );
            self.refuse_too_late(id, base);
            return;
        }
        self.send_load_request(
            base,
            &place.instance,
            place.evictions,
            place.ready_ms as u64,
            wait_ms,
        );
    }

    /// Requests the model or adapter of a stream that goes on only at one software version.
    ///
    /// Only loads that end soon are requested: a caller that reconnects leaves within seconds,
    /// and a load from the weight store would be for it alone.
    fn request_bound_model(
        &mut self,
        id: RequestId,
        required: ModelKey,
        base: ModelKey,
        software: SoftwareKey,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let at_version = |instance: &String| {
            self.pool.endpoints.get(instance).is_some_and(|endpoint| endpoint.software == software)
        };
        let loading = [required, base].into_iter().filter_map(|key| self.load_requests.get(&key));
        let mut loading = loading.filter(|load_request| !load_request.declined);
        if loading.any(|load_request| at_version(&load_request.instance)) {
            return;
        }
        let wait_ms = request.wait_ms(self.now);
        if self.request_adapter(id, required) || self.holder_unconfirmed(base) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let max_loss = self.waiting_count(base) * DELAY_PER_WAITER_MS;
        let (service, model) = (&request.service, &request.model);
        let place = self.place(service, model, base, max_loss, Some(software));
        let place = place.filter(|place| !place.from_store && place.ready_ms <= wait_ms as f64);
        let Some(place) = place else {
            self.refuse(id, Reason::VersionGone);
            return;
        };
        let ready_ms = place.ready_ms as u64;
        self.send_load_request(base, &place.instance, place.evictions, ready_ms, wait_ms);
    }

    /// Requests the adapter of a request at a holder of its model; returns whether there is one.
    pub(super) fn request_adapter(&mut self, id: RequestId, required: ModelKey) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(instance) = self.adapter_place(request) else { return false };
        let wait_ms = request.wait_ms(self.now);
        self.send_load_request(required, &instance, Vec::new(), ADAPTER_READY_MS, wait_ms);
        true
    }

    /// Returns the holder of a request's model at which its adapter is loaded best.
    fn adapter_place(&self, request: &Request) -> Option<String> {
        let adapter = Some(&request.adapter).filter(|adapter| !adapter.is_empty())?;
        let endpoints = self.pool.endpoints.values();
        let holders = endpoints.filter(|endpoint| self.can_load_adapter(endpoint, request));
        let cost = |endpoint: &&Endpoint| self.adapter_cost(endpoint, &request.model, adapter);
        let best = holders.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.member.instance.clone())
    }

    /// Returns whether an endpoint holds a request's model and can load its adapter.
    pub(super) fn can_load_adapter(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let (Some(base), Some(required)) = (request.base, request.required) else { return false };
        endpoint.accepts_requests()
            && endpoint.inventory.keys.contains(&base)
            && !endpoint.inventory.keys.contains(&required)
            && endpoint.member.service == request.service
            && request.fits_software(endpoint)
            && endpoint.is_responsive(self.now)
            && !endpoint.backs_off(self.now)
            && endpoint.fresh_side(self.now).is_some_and(|side| !side.evicting.contains(&base))
    }

    /// Refuses a request whose model will be loaded too late, unless a holder may only be paused.
    fn refuse_too_late(&mut self, id: RequestId, base: ModelKey) {
        self.count_miss(id, base);
        let paused = self.requests.get(&id).is_some_and(|request| self.holder_paused(request));
        if !paused {
            self.refuse(id, Reason::TooLate);
        }
    }

    /// Returns whether an endpoint is listed as a holder of a model and its side has yet to confirm
    /// that.
    fn holder_unconfirmed(&self, model: ModelKey) -> bool {
        let mut holders =
            self.pool.endpoints.values().filter(|endpoint| endpoint.accepts_requests());
        holders.any(|endpoint| {
            endpoint.unconfirmed(self.now) && endpoint.inventory.models.contains(&model)
        })
    }

    /// Refuses a request whose model is being loaded but will not be ready in time.
    fn check_load(&mut self, id: RequestId, required: ModelKey, base: ModelKey) {
        let Some(request) = self.requests.get(&id) else { return };
        let load_request = self.load_requests.get(&required).or(self.load_requests.get(&base));
        let Some(load_request) = load_request.filter(|load_request| !load_request.declined) else {
            return;
        };
        let side = self
            .pool
            .endpoints
            .get(&load_request.instance)
            .and_then(|endpoint| endpoint.side.as_ref());
        let Some(side) = side else { return };
        let known_ms = side.remaining_ms(self.now);
        let late = load_request.confirmed && known_ms > request.wait_ms(self.now);
        if late && !self.holder_paused(request) {
            self.refuse(id, Reason::TooLate);
        }
    }

    /// Keeps a request waiting for a place for its model while enough time may be left.
    fn wait_for_place(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        self.count_miss(id, base);
        let Some(request) = self.requests.get(&id) else { return };
        if self.holder_paused(request) {
            return;
        }
        let engine = self.config.as_ref().and_then(|config| config.service(&request.service));
        let engine = engine.and_then(|service| service.engine.as_ref());
        let spec = engine.and_then(|engine| engine.model(&request.model));
        let copied = |endpoint: &Endpoint| {
            endpoint.accepts_requests() && endpoint.inventory.has_cached_weights(base)
        };
        let cached = self.pool.endpoints.values().any(copied);
        let needs = spec.map_or(0, |spec| if cached { spec.disk_ms } else { spec.store_ms });
        let waited = now.since(request.arrived);
        if request.wait_ms(now) < needs {
            self.refuse(id, Reason::TooLate);
        } else if waited > request.target_ms.max(PLACE_WAIT_MS) {
            self.refuse(id, Reason::NoEndpoint);
        }
    }

    /// Returns the estimated milliseconds until a request's model is ready; `None` if it has a live
    /// holder.
    ///
    /// If nobody is loading the model, the estimate is its load time from disk where an endpoint
    /// has its weights cached, and otherwise the wait for the weight store plus the load time from
    /// there.
    pub(super) fn ready_ms(&self, request: &Request) -> Option<u64> {
        let base = request.base?;
        if self.live_holders(base).next().is_some() {
            return None;
        }
        let requested = self
            .load_requests
            .get(&base)
            .filter(|load_request| !load_request.declined && !load_request.confirmed);
        let requested = requested.map(|load_request| load_request.expected.since(self.now) as f64);
        let remaining = self.load_remaining_ms(base);
        if let Some(ms) = remaining.into_iter().chain(requested).min_by(f64::total_cmp) {
            return Some(ms as u64);
        }
        let engine = self.config.as_ref()?.service(&request.service)?.engine.as_ref()?;
        let spec = engine.model(&request.model)?;
        let (_, copies, _) = self.availability(base);
        if copies > 0 {
            return Some(spec.disk_ms);
        }
        let sides =
            self.pool.endpoints.values().filter_map(|endpoint| endpoint.fresh_side(self.now));
        let loading = sides.filter(|side| side.store_loads > 0);
        let free = loading.map(|side| side.remaining_ms(self.now)).min();
        Some(free.unwrap_or(0) + spec.store_ms)
    }

    /// Returns the cost of loading an adapter at a holder of its model, in shares of the slots.
    ///
    /// All entries prefer the same holder for an adapter, so that the holders' few adapter slots
    /// are not all taken by the same adapters. A holder that is busy with a load takes no adapter
    /// until the load ends. A holder with a large share of the service's runs costs more: if it
    /// stalled, all callers of the adapter would hang with it.
    fn adapter_cost(&self, endpoint: &Endpoint, model: &str, adapter: &str) -> f64 {
        let busy = endpoint.order_remaining_ms(self.now);
        let name = full_name(model, adapter);
        let affinity = rendezvous_score(&name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        let runs = self.service_runs(&endpoint.member.service);
        endpoint.load_ratio()
            + self.concentration_cost(endpoint, runs)
            + busy as f64 / ORDER_DELAY_MS
            - affinity
    }

    pub(super) fn send_load_request(
        &mut self,
        key: ModelKey,
        instance: &str,
        evictions: Vec<ModelKey>,
        ready_ms: u64,
        ttl_ms: u64,
    ) {
        let name = self.names.name(key).to_owned();
        let (model, adapter) = name.split_once('/').unwrap_or((&name, ""));
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        let address = endpoint.member.address;
        let service = &endpoint.member.service;
        let engines =
            self.pool.endpoints.values().filter(|endpoint| endpoint.member.service == *service);
        let from_store = adapter.is_empty() && !endpoint.inventory.has_cached_weights(key);
        let waiting = self.requests.values().filter(|request| {
            request.stage == Stage::Waiting
                && (request.required == Some(key) || request.base == Some(key))
        });
        let store_loads = self.store_loads().max(self.store_claims.under_way()) + 1;
        let message = LoadRequest {
            instance: instance.to_owned(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            eviction_candidates: evictions
                .iter()
                .map(|key| self.names.name(*key).to_owned())
                .collect(),
            engine_count: engines.count() as u32,
            ttl_ms,
            waiting: waiting.count() as u32,
            started: endpoint.started().map(|start| start.0),
            store_loads: if from_store { store_loads } else { 0 },
            residency_ms: if from_store { self.residency_ms(service, model) } else { 0 },
        };
        let rates =
            evictions.iter().map(|key| format!("{:.2}", self.rate(*key))).collect::<Vec<_>>();
        let event = LogEvent::new("want")
            .with("model", model)
            .with("adapter", adapter)
            .with("at", instance)
            .with("victims", message.eviction_candidates.join(","))
            .with("rates", rates.join(","))
            .with("waiting", message.waiting)
            .with("sequence", endpoint.inventory.sequence);
        let load_request = SentLoadRequest {
            instance: instance.to_owned(),
            address,
            sent_at: self.now,
            expires: self.now + ttl_ms,
            expected: self.now + ready_ms,
            confirmed: false,
            from_store,
            declined: false,
        };
        self.load_requests.insert(key, load_request);
        self.effects.push(EntryEffect::LoadRequest(address, message));
        self.log(event);
    }

    /// Returns the number of requests that wait here for a model or one of its adapters.
    pub(super) fn waiting_count(&self, model: ModelKey) -> f64 {
        let waiting = self.requests.values();
        let waiting = waiting
            .filter(|request| request.stage == Stage::Waiting && request.base == Some(model));
        waiting.count() as f64
    }

    /// Removes load requests that the reported state of an endpoint's side has resolved.
    pub(super) fn resolve_load_requests(&mut self, address: SocketAddr) {
        let Some(endpoint) = self.pool.endpoint_at(address) else { return };
        let held = endpoint.inventory.keys.clone();
        let loading = endpoint.side.as_ref().map(|side| side.loading.clone()).unwrap_or_default();
        let now = self.now;
        self.load_requests.retain(|key, load_request| {
            if load_request.address != address || load_request.declined {
                return !held.contains(key);
            }
            load_request.confirmed |= loading.contains(key);
            let ended = load_request.confirmed && !loading.contains(key);
            let unconfirmed =
                !load_request.confirmed && now.since(load_request.sent_at) > CONFIRM_TIMEOUT_MS;
            !held.contains(key) && !ended && !unconfirmed
        });
    }

    /// Removes load requests that have expired, or whose side is lost and will never answer.
    pub(super) fn expire_load_requests(&mut self) {
        let now = self.now;
        let pool = &self.pool;
        self.load_requests.retain(|_, load_request| {
            let side = pool
                .endpoints
                .get(&load_request.instance)
                .and_then(|endpoint| endpoint.fresh_side(now));
            let unconfirmed =
                !load_request.confirmed && now.since(load_request.sent_at) > CONFIRM_TIMEOUT_MS;
            let open = side.is_some() && !unconfirmed || load_request.declined;
            open && now < load_request.expires
        });
    }
}
