//! Loads from the weight store that one side permits for all entries: what this entry asks for, and how it
//! uses a grant.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, ModelKey};
use citronrill_decide::LogEvent;
use citronrill_wire::{
    StoreLoadGrant, StoreLoadKind, StoreLoadMessage, StoreLoadReport, StoreLoadSeen, StoreWant,
};

use super::{
    EntryEffect, PoolEntry, Reason, Request, Stage,
    dispatch::RETRY_SPREAD,
    load_requests::DELAY_PER_WAITER_MS,
    placement::{HORIZON_S, ModelLoad, Place},
    replicas::REPLICA_TTL_MS,
};
use crate::{
    config::{EngineSpec, ModelSpec, Service},
    endpoint::Endpoint,
    rate::Rate,
};

/// Shortest interval between two reports, in milliseconds.
const MIN_REPORT_MS: u64 = 100;
/// Longest interval between two reports, in milliseconds.
const MAX_REPORT_MS: u64 = 500;
/// Milliseconds after which a report without a reply is sent again: a message there and back takes a few.
const REPEAT_MS: u64 = 200;
/// Milliseconds without a reply after which the entries take turns on their own: three report intervals.
const UNHEARD_MS: u64 = 1_500;
/// Milliseconds between two events above which this process was stopped: a timer fires at least every
/// 200 ms.
const PAUSE_MS: u64 = 500;
/// Milliseconds for which a wish for one more replica or copy counts, and between two checks of it.
const ASK_MS: u64 = 1_000;
/// Milliseconds for which a grant is reported as declined: two report intervals, in case one is lost.
const DECLINED_MS: u64 = 1_000;
/// Refusals a second below which a model is no longer wanted: one in twenty seconds.
const MIN_REFUSED_RATE: f64 = 0.05;
/// Maximum number of models in a report.
const MAX_WANTED: usize = 64;
/// Thousandths of its usual time from which a load's lateness is reported at once.
const LATE_MILLI: u32 = 1_500;

/// Rank of a model that no endpoint has.
const MISSING: u32 = 0;
/// Rank of a model with too few replicas.
const REPLICA: u32 = 1;
/// Rank of a model with too few cached copies.
const COPY: u32 = 2;

/// A wish for one more replica or copy of a model.
#[derive(Debug, Clone, Copy)]
struct Ask {
    rank: u32,
    gain_ms: f64,
    at: Millis,
}

/// A load from the weight store for which a place is looked for.
#[derive(Debug)]
struct StoreLoad {
    model: ModelKey,
    /// Instances that must not carry it out.
    avoid: Vec<String>,
    /// Other loads in progress, as far as the granting side knows.
    under_way: u32,
}

/// The part of a report whose change is reported early.
#[derive(Debug, Default, PartialEq, Eq)]
struct ReportDigest {
    wanted: Vec<(String, u32)>,
    seen: Vec<(String, String, bool)>,
    limit: u32,
    declined: Vec<u64>,
}

/// What this entry asks of the side that queues loads from the weight store.
#[derive(Debug, Default)]
pub(super) struct StoreClaims {
    /// The endpoint whose side queues the loads.
    queue: Option<SocketAddr>,
    /// When the side last replied; at first, when this entry began to look for it.
    heard_at: Option<Millis>,
    last_event: Millis,
    checked_at: Millis,
    reported_at: Option<Millis>,
    reported: ReportDigest,
    last_number: u64,
    /// Numbers of recent reports, and when they were sent.
    sent: Vec<(u64, Millis)>,
    refused: Map<ModelKey, Rate>,
    asks: Map<ModelKey, Ask>,
    /// When it was last examined whether a model needs a replica from the store.
    examined: Map<ModelKey, Millis>,
    /// Set only while a place for a load is looked for.
    placing: Option<StoreLoad>,
    /// Grants by which a load request was sent.
    used: Map<ModelKey, u64>,
    declined: Vec<(u64, Millis)>,
}

impl StoreClaims {
    /// Returns whether an instance must not carry out the load that is being placed.
    pub(super) fn avoids(&self, instance: &str) -> bool {
        self.placing.as_ref().is_some_and(|load| load.avoid.iter().any(|name| name == instance))
    }

    /// Returns the number of other loads in progress by the grant that is being used. Two loads that are
    /// granted at the same moment are not in any side's report yet.
    pub(super) fn under_way(&self) -> u32 {
        self.placing.as_ref().map_or(0, |load| load.under_way)
    }

    fn is_granted(&self, model: ModelKey) -> bool {
        self.placing.as_ref().is_some_and(|load| load.model == model)
    }

    fn is_heard(&self, now: Millis) -> bool {
        self.heard_at.is_none_or(|at| now.since(at) < UNHEARD_MS)
    }

    /// Records an event. Time in which this process was stopped is no time without a reply.
    fn note_event(&mut self, now: Millis) {
        let gap = now.since(self.last_event);
        let heard_at = self.heard_at.get_or_insert(now);
        if gap > PAUSE_MS && self.last_event > Millis(0) {
            *heard_at = *heard_at + gap;
        }
        self.last_event = now;
    }

    /// Forgets what belongs to the connection to the side at `address`, which is lost.
    pub(super) fn disconnect(&mut self, address: SocketAddr) {
        if self.queue == Some(address) {
            self.restart();
        }
    }

    fn restart(&mut self) {
        self.reported_at = None;
        self.declined.clear();
        self.used.clear();
    }

    fn expire(&mut self, now: Millis) {
        self.refused.retain(|_, rate| rate.per_s(now) > MIN_REFUSED_RATE);
        self.asks.retain(|_, ask| now.since(ask.at) < ASK_MS);
        self.examined.retain(|_, at| now.since(*at) < ASK_MS);
        self.declined.retain(|(_, at)| now.since(*at) < DECLINED_MS);
        self.sent.retain(|(_, at)| now.since(*at) < UNHEARD_MS);
    }

    fn sent_at(&self, number: u64) -> Option<Millis> {
        self.sent.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at)
    }

    /// Returns whether a report is due: at once if something other than a rate has changed, and early if the
    /// last one got no reply.
    fn is_due(&self, digest: &ReportDigest, now: Millis) -> bool {
        let answered = self.heard_at >= self.reported_at;
        let interval_ms = if answered { MAX_REPORT_MS } else { REPEAT_MS };
        self.reported_at.is_none_or(|at| now.since(at) >= interval_ms || *digest != self.reported)
    }
}

impl PoolEntry {
    /// Returns whether a side decides which models of a service are loaded from the weight store.
    pub(super) fn store_queued(&self, service: &str) -> bool {
        self.by_wait(service) && self.store_claims.is_heard(self.now)
    }

    /// Returns whether a load of `model` from the weight store may be requested now: by a grant, or in this
    /// entry's turn if no side decides.
    pub(super) fn may_use_store(&self, service: &str, model: ModelKey) -> bool {
        if self.store_queued(service) {
            self.store_claims.is_granted(model)
        } else {
            self.store_open(model)
        }
    }

    /// Counts a request that is refused because no endpoint has its model: its caller comes back.
    pub(super) fn count_refused(&mut self, request: &Request, reason: Reason) {
        let Some(base) = request.base.filter(|_| self.by_wait(&request.service)) else { return };
        let unserved = matches!(reason, Reason::TooLate | Reason::NoEndpoint | Reason::Expired);
        if unserved && self.is_missing(&request.service, base) {
            self.store_claims.refused.entry(base).or_default().add(self.now);
        }
    }

    /// Returns whether no endpoint of a service holds a model or has its weights cached. An endpoint whose
    /// side is silent has neither, except for the time until its first report.
    fn is_missing(&self, service: &str, model: ModelKey) -> bool {
        let now = self.now;
        let has = |endpoint: &Endpoint| {
            endpoint.accepts_requests()
                && endpoint.member.service == service
                && (endpoint.fresh_side(now).is_some() || endpoint.awaiting_first_report(now))
                && !endpoint.liveness.is_stalled(now)
                && (endpoint.inventory.models.contains(&model)
                    || endpoint.inventory.has_cached_weights(model))
        };
        !self.pool.endpoints.values().any(has)
    }

    /// Returns whether a model can only be loaded by a grant of the side that queues the loads.
    pub(super) fn awaits_grant(&self, key: ModelKey) -> bool {
        let Some(config) = &self.config else { return false };
        let model = self.queued_model(&config.services, key);
        model.is_some_and(|(service, _)| {
            self.store_queued(&service.name) && self.is_missing(&service.name, key)
        })
    }

    /// Asks for one more replica from the weight store, if cached weights give no place for one.
    pub(super) fn ask_replica(
        &mut self,
        service: &str,
        engine: &EngineSpec,
        key: ModelKey,
        rate: f64,
    ) {
        let recent = self.store_claims.examined.contains_key(&key);
        let served = engine.model(self.names.name(key)).is_some();
        if !served || recent || !self.store_queued(service) || self.is_missing(service, key) {
            return;
        }
        self.store_claims.examined.insert(key, self.now);
        self.store_claims.placing = Some(StoreLoad { model: key, avoid: Vec::new(), under_way: 0 });
        let place = self.replica_place(service, engine, key, rate);
        self.store_claims.placing = None;
        if place.is_some_and(|place| place.from_store) {
            let gain_ms = rate * 1_000.0;
            self.store_claims.asks.insert(key, Ask { rank: REPLICA, gain_ms, at: self.now });
        }
    }

    /// Asks for one more cached copy, which saves callers `gain_ms`.
    pub(super) fn ask_preload(&mut self, key: ModelKey, gain_ms: f64) {
        let ask = Ask { rank: COPY, gain_ms, at: self.now };
        let replica = self.store_claims.asks.get(&key).filter(|ask| ask.rank == REPLICA);
        if replica.is_none() {
            self.store_claims.asks.insert(key, ask);
        }
    }

    /// Sends the report on loads from the weight store that is due.
    pub(super) fn report_store_loads(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let engines = config.services.iter().filter(|service| service.engine.is_some());
        if !engines.into_iter().any(|service| self.by_wait(&service.name)) {
            return;
        }
        let now = self.now;
        self.store_claims.note_event(now);
        if now.since(self.store_claims.checked_at) < MIN_REPORT_MS {
            return;
        }
        self.store_claims.checked_at = now;
        self.store_claims.expire(now);
        self.choose_store_queue();
        let Some(queue) = self.store_claims.queue else { return };
        let report = self.store_report(&config.services);
        let digest = digest(&report);
        if !self.store_claims.is_due(&digest, now) {
            return;
        }
        let claims = &mut self.store_claims;
        claims.last_number += 1;
        claims.reported_at = Some(now);
        claims.reported = digest;
        claims.sent.push((claims.last_number, now));
        let report = StoreLoadReport { number: claims.last_number, ..report };
        self.effects.push(EntryEffect::StoreLoads(queue, report));
    }

    /// Chooses the side that queues the loads.
    fn choose_store_queue(&mut self) {
        let queue = self.first_collector(|side| side.queues_store_loads);
        if queue == self.store_claims.queue {
            return;
        }
        self.store_claims.restart();
        self.store_claims.queue = queue;
        let side = queue.map_or("none".to_owned(), |address| address.to_string());
        self.log(LogEvent::new("store_queue").with("side", side));
    }

    /// Returns the current report, without its number.
    fn store_report(&self, services: &[Service]) -> StoreLoadReport {
        StoreLoadReport {
            number: 0,
            wanted: self.store_wants(services),
            seen: self.store_loads_seen(services),
            limit: self.store_limit.limit(),
            declined: self.store_claims.declined.iter().map(|(number, _)| *number).collect(),
        }
    }

    /// Returns the models that this entry wants to be loaded, the most urgent first.
    fn store_wants(&self, services: &[Service]) -> Vec<StoreWant> {
        let mut waiting = Map::<ModelKey, u32>::default();
        let requests = self.requests.values().filter(|request| request.stage == Stage::Waiting);
        for base in requests.filter_map(|request| request.base) {
            *waiting.entry(base).or_default() += 1;
        }
        let claims = &self.store_claims;
        let keys = waiting.keys().chain(claims.refused.keys()).chain(claims.asks.keys());
        let mut keys = keys.copied().collect::<Vec<_>>();
        keys.sort_unstable();
        keys.dedup();
        let wants = keys.into_iter().filter_map(|key| {
            let (service, spec) = self.queued_model(services, key)?;
            let waiting = waiting.get(&key).copied().unwrap_or(0);
            let refused = claims.refused.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
            let demanded = waiting > 0 || refused > 0.0;
            let ask = claims.asks.get(&key);
            let (rank, gain_ms) = match ask {
                _ if demanded && self.is_missing(&service.name, key) => (MISSING, 0.0),
                Some(ask) => (ask.rank, ask.gain_ms),
                None => return None,
            };
            Some(StoreWant {
                model: spec.name.clone(),
                rank,
                waiting,
                refused_milli: (refused * 1_000.0) as u32,
                gain_ms: gain_ms as u32,
                load_ms: spec.store_ms,
            })
        });
        let mut wants = wants.collect::<Vec<_>>();
        let order = |want: &StoreWant| {
            let callers = u64::from(want.waiting) * 1_000 + u64::from(want.refused_milli);
            (want.rank, std::cmp::Reverse(callers.max(u64::from(want.gain_ms))))
        };
        wants.sort_by_key(order);
        wants.truncate(MAX_WANTED);
        wants
    }

    /// Returns the service and the specification of a model whose loads a side queues.
    fn queued_model<'a>(
        &self,
        services: &'a [Service],
        key: ModelKey,
    ) -> Option<(&'a Service, &'a ModelSpec)> {
        let name = self.names.name(key);
        let mut found = services.iter().filter_map(|service| {
            let spec = service.engine.as_ref()?.model(name)?;
            Some((service, spec))
        });
        found.find(|(service, _)| self.by_wait(&service.name))
    }

    /// Returns the loads from the weight store that are planned or in progress, of all services.
    fn store_loads_seen(&self, services: &[Service]) -> Vec<StoreLoadSeen> {
        let mut seen = Vec::new();
        for endpoint in self.pool.endpoints.values() {
            let Some(side) = endpoint.fresh_side(self.now) else { continue };
            let inventory = &endpoint.inventory;
            let loading = side.loading.iter().filter(|key| {
                !inventory.models.contains(key) && !inventory.has_cached_weights(**key)
            });
            let service = services.iter().find(|service| service.name == endpoint.member.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            let models = loading.filter_map(|key| engine?.model(self.names.name(*key)));
            seen.extend(models.map(|spec| StoreLoadSeen {
                model: spec.name.clone(),
                instance: endpoint.member.instance.clone(),
                late_milli: side.store_overdue,
                concurrent: if side.store_overdue > 0 { side.store_concurrent } else { 0 },
                load_ms: spec.store_ms,
            }));
        }
        seen.sort_by(|a, b| (&a.model, &a.instance).cmp(&(&b.model, &b.instance)));
        seen
    }

    /// Handles a reply of the side that queues the loads.
    pub(super) fn apply_store_reply(&mut self, side: SocketAddr, message: StoreLoadMessage) {
        let Some(StoreLoadKind::Reply(reply)) = message.kind else { return };
        if self.store_claims.queue != Some(side) {
            return;
        }
        let sent_at = self.store_claims.sent_at(reply.number);
        if sent_at.is_some() {
            self.store_claims.heard_at = Some(self.now);
        }
        for grant in reply.grants {
            // A grant that was delayed may have been given to another entry since.
            let valid = sent_at.is_some_and(|at| self.now.since(at) < grant.lease_ms);
            if !valid || !self.use_grant(&grant) {
                self.decline(grant.number, &grant.model);
            }
        }
    }

    /// Requests the granted load. Returns whether there is a place for it.
    fn use_grant(&mut self, grant: &StoreLoadGrant) -> bool {
        let Some(config) = self.config.clone() else { return false };
        let key = self.names.intern(&grant.model);
        let (avoid, under_way) = (grant.avoid.clone(), grant.under_way);
        self.store_claims.placing = Some(StoreLoad { model: key, avoid, under_way });
        let place = self.granted_place(&config.services, key);
        let from_store = place.as_ref().is_some_and(|(place, _)| place.from_store);
        if let Some((place, ttl_ms)) = place {
            let ready_ms = place.ready_ms as u64;
            self.send_load_request(key, &place.instance, place.evictions, ready_ms, ttl_ms);
        }
        self.store_claims.placing = None;
        if from_store {
            self.store_claims.used.insert(key, grant.number);
        }
        from_store
    }

    /// Returns the place for a granted load, with the milliseconds for which the load is useful.
    fn granted_place(&self, services: &[Service], key: ModelKey) -> Option<(Place, u64)> {
        let (service, spec) = self.queued_model(services, key)?;
        let engine = service.engine.as_ref()?;
        let name = &service.name;
        let refused = self.store_claims.refused.get(&key);
        let refused = refused.map_or(0.0, |rate| rate.per_s(self.now));
        let waiting = self.waiting_count(key);
        if self.is_missing(name, key) && (waiting > 0.0 || refused > 0.0) {
            let callers = 1.0 + waiting + self.miss_rate(key).max(refused) * HORIZON_S;
            let max_loss = callers * DELAY_PER_WAITER_MS;
            let place = self.place(name, &spec.name, key, max_loss, None)?;
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            return Some((place, ttl_ms));
        }
        let ask = self.store_claims.asks.get(&key)?;
        if ask.rank == REPLICA {
            let place = self.replica_place(name, engine, key, self.rate(key))?;
            return Some((place, REPLICA_TTL_MS));
        }
        let place = self.preload_place(name, engine, spec, key, ask.gain_ms)?;
        let ttl_ms = (2.0 * place.ready_ms) as u64;
        Some((place, ttl_ms))
    }

    /// Returns a grant that this entry cannot use to the side.
    fn decline(&mut self, number: u64, model: &str) {
        self.store_claims.declined.push((number, self.now));
        let event = LogEvent::new("store_grant_unused").with("model", model);
        self.log(event.with("grant", number));
    }

    /// Returns the grant of a load that the side beside the endpoint declined.
    pub(super) fn decline_grant(&mut self, key: ModelKey) {
        if let Some(number) = self.store_claims.used.remove(&key) {
            let name = self.names.name(key).to_owned();
            self.decline(number, &name);
        }
    }

    /// Returns the milliseconds for which a model must stay loaded after a load from the weight store:
    /// while the callers that were refused for want of it come back. 0 if no side queues such loads.
    pub(super) fn residency_ms(&self, service: &str, model: &str) -> u64 {
        let Some(config) = self.config.as_ref().filter(|_| self.by_wait(service)) else { return 0 };
        let engine = config.service(service).and_then(|service| service.engine.as_ref());
        let store_ms =
            engine.and_then(|engine| engine.model(model)).map_or(0, |spec| spec.store_ms);
        let target_ms = config.routes_to(service).map(|route| route.target_ms).max().unwrap_or(0);
        (target_ms / 4).max(store_ms / RETRY_SPREAD)
    }

    /// Returns whether the only replica of a model, which a recent load from the weight store brought, is
    /// asked for more than `other`, for which it would make way.
    pub(super) fn repays_load(
        &self,
        model: ModelKey,
        other: ModelKey,
        endpoint: &Endpoint,
    ) -> bool {
        let brought = endpoint.side.as_ref().is_some_and(|side| side.from_store.contains(&model));
        if !brought || !self.by_wait(&endpoint.member.service) {
            return false;
        }
        let others = self.live_holders(model);
        let sole =
            others.filter(|other| other.member.instance != endpoint.member.instance).count() == 0;
        let demand = |key| self.rate(key).max(self.miss_rate(key));
        sole && demand(model) > demand(other)
    }

    /// Returns the milliseconds that a load from the weight store to `endpoint` is expected to cost later,
    /// because a full disk gives up a copy for it: the share of its copies that are the last of their model,
    /// each of which takes another such load. 0 if the size of the disk is unknown.
    pub(super) fn last_copies_loss(&self, endpoint: &Endpoint, load: ModelLoad<'_>) -> f64 {
        let ModelLoad { engine, spec, .. } = load;
        if engine.disk_mb <= 0.0 || !self.by_wait(&endpoint.member.service) {
            return 0.0;
        }
        let copies = &endpoint.inventory.on_disk;
        let specs = copies.iter().filter_map(|key| engine.model(self.names.name(*key)));
        let used = specs.map(|spec| spec.weights_mb).sum::<f64>();
        if copies.is_empty() || used + spec.weights_mb <= engine.disk_mb {
            return 0.0;
        }
        let elsewhere = |key: &ModelKey| {
            self.pool.endpoints.values().any(|other| {
                other.member.instance != endpoint.member.instance
                    && other.accepts_requests()
                    && other.inventory.has_cached_weights(*key)
            })
        };
        let last = copies.iter().filter(|key| !elsewhere(key)).count();
        spec.store_ms as f64 * last as f64 / copies.len() as f64
    }
}

fn digest(report: &StoreLoadReport) -> ReportDigest {
    let mut wanted =
        report.wanted.iter().map(|want| (want.model.clone(), want.rank)).collect::<Vec<_>>();
    wanted.sort_unstable();
    let seen = report.seen.iter();
    let seen =
        seen.map(|load| (load.model.clone(), load.instance.clone(), load.late_milli >= LATE_MILLI));
    ReportDigest {
        wanted,
        seen: seen.collect(),
        limit: report.limit,
        declined: report.declined.clone(),
    }
}
