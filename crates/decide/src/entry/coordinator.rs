//! Models that this process coordinates: it decides their loads and unloads for all entries.
//!
//! A burst for a cold model arrives at many entries at once. Each reports its demand to the model's
//! coordinator, found by rendezvous hashing over the members, and the coordinator decides once. The
//! role is advisory: if two processes both act as coordinator, the platform table detects the
//! conflict; if the coordinator does not act, the next member in order does.

use citronrill_base::{EndpointKey, Millis, ModelKey, Outcome, Row, Set, hash_bytes};
use citronrill_config::Class;
use prost::Message;

use super::{Effect, Entry, Purpose, Target, refusal_of};
use crate::{
    keepalive::{Traffic, TrafficStats},
    log::LogEvent,
    placement::{PlacementError, PlacementInput, ReplicaRequest, load_txn, plan},
    refusal::RefusalKind,
    rows::{PERMITS, Phase, endpoint_key},
};

/// Time that a coordinator has to act on a demand before the next coordinator is asked, in
/// milliseconds.
const COORDINATOR_TIMEOUT_MS: u64 = 400;
/// Number of coordinators that are asked before the entry decides for itself.
const COORDINATOR_ATTEMPTS: usize = 2;
/// An overload of the ready replicas that lasts this long adds a replica, in milliseconds.
const SCALE_OUT_MS: u64 = 500;
/// The ready replicas are overloaded when the number of waiting requests reaches the slots of one
/// replica divided by this.
const OVERLOAD_DIVISOR: u64 = 2;
/// The use of a warm model is reported again after its keep time divided by this, clamped to the
/// two limits below.
const REPORT_DIVISOR: u64 = 2;
pub(super) const REPORT_MIN_MS: u64 = 1_000;
const REPORT_MAX_MS: u64 = 30_000;
/// Base of the random backoff after a conflict, in milliseconds; doubled with each conflict.
const CONFLICT_BACKOFF_MS: u64 = 20;
const CONFLICT_DOUBLINGS: u32 = 6;
/// Rows that were read for a decision stay valid for this time, in milliseconds.
const READ_VALID_MS: u64 = 200;
/// A read for a decision without a reply is repeated after this time, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Time for which an entry asks no other coordinator after an acknowledgement, in milliseconds.
const ACK_HOLD_MS: u64 = 2_000;
/// Backoff after a failed load, doubled with each further failure, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 5_000;
const FAILURE_BACKOFF_MAX_MS: u64 = 300_000;

/// Demand for a model that one entry reports to the model's coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The entry's address, for the reply.
    pub from: String,
    /// The model's name.
    pub model: String,
    /// Requests that wait; 0 if only use is reported.
    pub waiting: u64,
    /// Milliseconds until the earliest deadline.
    pub slack_ms: u64,
    /// The most urgent class that waits.
    pub class: Class,
}

/// The last demand that this entry reported for a model.
#[derive(Debug)]
pub(super) struct ReportedDemand {
    sent_at: Millis,
    attempts: usize,
}

/// The state of a model that this process coordinates.
#[derive(Debug)]
pub(super) struct Coordination {
    pub(super) traffic: Traffic,
    pub(super) demand: Option<PendingDemand>,
    pub(super) overloaded_since: Option<Millis>,
    pub(super) last_overload: Millis,
    pub(super) requesters: Vec<String>,
    pub(super) subscribers: Vec<String>,
    pub(super) last_unload: Millis,
    pub(super) conflicts: u32,
    pub(super) retry_at: Millis,
    pub(super) pending_read: Option<(Millis, Vec<String>)>,
    pub(super) last_read: Option<(Millis, Vec<String>)>,
    pub(super) unload_requests: Vec<(EndpointKey, Millis)>,
}

/// The combined demand since the last decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingDemand {
    pub(super) deadline: Millis,
    pub(super) class: Class,
    pub(super) waiting: u64,
}

impl Entry {
    /// Reports demand for a model, unless a replica is being loaded.
    pub(super) fn request_replica(
        &mut self,
        model: ModelKey,
        deadline: Millis,
        class: Class,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let loading = |phase| matches!(phase, Phase::Wanted | Phase::Loading);
        if self.view.replicas(model).any(|(_, phase)| loading(phase)) {
            self.demands.remove(&model);
            return;
        }
        let name = self.view.registry.models.name(model).to_owned();
        let state = self.demands.get(&model);
        if state.is_some_and(|state| now.since(state.sent_at) < COORDINATOR_TIMEOUT_MS) {
            return;
        }
        let attempts = state.map_or(0, |state| state.attempts);
        self.demands.insert(model, ReportedDemand { sent_at: now, attempts: attempts + 1 });
        let waiting = self.queues.get(&Target::Model(model)).map_or(0, |queue| queue.len());
        let demand = Demand {
            from: self.profile.address.clone(),
            model: name.clone(),
            waiting: waiting.max(1) as u64,
            slack_ms: deadline.since(now),
            class,
        };
        let coordinator = self.coordinator(&name, attempts);
        match coordinator {
            Some(to) => out.push(Effect::Demand { to, demand }),
            None => self.handle_demand(demand, out),
        }
    }

    /// Address of the coordinator to ask; `None` if this process decides itself.
    fn coordinator(&self, model: &str, attempts: usize) -> Option<String> {
        if !self.policies.coordinators || attempts >= COORDINATOR_ATTEMPTS {
            return None;
        }
        let order = self.coordinators(model);
        let name = *order.get(attempts)?;
        let member = self.members.iter().find(|peer| peer.name == name);
        let member = member.filter(|peer| peer.name != self.profile.instance)?;
        Some(member.address.clone())
    }

    /// Reports the use of a model to its coordinator, only as often as the keep time requires.
    pub(super) fn report_use(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let last = self.use_reports.get(&model).map(|last| self.now.since(*last));
        if last.is_some_and(|passed| passed < REPORT_MIN_MS) {
            return;
        }
        let Some(spec) = self.catalogue.models.get(&model) else { return };
        let Some(org) = self.catalogue.organisations.get(&spec.org) else { return };
        let stats = self.view.model_row(model).map(TrafficStats::from_row).unwrap_or_default();
        let keep = self.policies.keep_alive.keep_ms(&stats, spec, org);
        let pause = (keep / REPORT_DIVISOR).clamp(REPORT_MIN_MS, REPORT_MAX_MS);
        let name = spec.name.clone();
        let base = spec.base;
        if last.is_some_and(|passed| passed < pause) {
            return;
        }
        self.use_reports.insert(model, self.now);
        let demand = Demand {
            from: self.profile.address.clone(),
            model: name.clone(),
            waiting: 0,
            slack_ms: 0,
            class: Class::Normal,
        };
        match self.coordinator(&name, 0) {
            Some(to) => out.push(Effect::Demand { to, demand }),
            None => self.handle_demand(demand, out),
        }
        if let Some(base) = base {
            self.report_use(base, out);
        }
    }

    pub(super) fn coordination(&mut self, model: ModelKey) -> &mut Coordination {
        let now = self.now;
        let row = self.view.model_row(model);
        let traffic = || Traffic::new(row, now);
        self.coordinations.entry(model).or_insert_with(|| Coordination {
            traffic: traffic(),
            demand: None,
            overloaded_since: None,
            last_overload: now,
            requesters: Vec::new(),
            subscribers: Vec::new(),
            last_unload: Millis(0),
            conflicts: 0,
            retry_at: now,
            pending_read: None,
            last_read: None,
            unload_requests: Vec::new(),
        })
    }

    pub(super) fn handle_demand(&mut self, demand: Demand, out: &mut Vec<Effect>) {
        let model = self.view.registry.models.intern(&demand.model);
        let now = self.now;
        let coordination = self.coordination(model);
        if demand.waiting == 0 {
            return coordination.traffic.report(now);
        }
        coordination.traffic.last_request = now;
        let deadline = now + demand.slack_ms;
        let merged = match coordination.demand {
            Some(pending) => PendingDemand {
                deadline: pending.deadline.min(deadline),
                class: pending.class.min(demand.class),
                waiting: pending.waiting + demand.waiting,
            },
            None => PendingDemand { deadline, class: demand.class, waiting: demand.waiting },
        };
        coordination.demand = Some(merged);
        if !coordination.requesters.contains(&demand.from) {
            coordination.requesters.push(demand.from.clone());
        }
        if !self.announce_existing(model, out) {
            let model = demand.model;
            out.push(Effect::AckDemand { to: demand.from, model });
        }
        self.decide_load(model, out);
    }

    /// Handles a coordinator's acknowledgement: the next coordinator is not asked for a while.
    ///
    /// In a large burst a decision may meet several conflicts. If the waiting entries decided as
    /// well, there would be even more conflicts.
    pub(super) fn demand_acknowledged(&mut self, model: &str) {
        let Some(model) = self.view.registry.models.get(model) else { return };
        let until = self.now + ACK_HOLD_MS;
        if let Some(state) = self.demands.get_mut(&model) {
            state.sent_at = until;
            state.attempts = 0;
        }
    }

    /// Retries decisions whose conflict backoff is over or whose read has timed out.
    pub(super) fn retry_loads(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let is_due = |coordination: &Coordination| {
            let pending_read = coordination.pending_read.as_ref();
            let timed_out = pending_read.is_some_and(|(at, _)| now.since(*at) >= READ_TIMEOUT_MS);
            coordination.demand.is_some()
                && (timed_out || coordination.conflicts > 0)
                && coordination.retry_at <= now
        };
        let due = self
            .coordinations
            .iter()
            .filter(|(_, coordination)| is_due(coordination))
            .map(|(model, _)| *model);
        for model in due.collect::<Vec<_>>() {
            self.decide_load(model, out);
        }
    }

    /// Announces a load that is already decided to the entries that still ask for it, so that they
    /// do not ask the next coordinator. Returns whether there is such a load.
    fn announce_existing(&mut self, model: ModelKey, out: &mut Vec<Effect>) -> bool {
        let loading = |phase| matches!(phase, Phase::Wanted | Phase::Loading);
        let decided = self.view.replicas(model).find(|(_, phase)| loading(*phase));
        let Some((endpoint, _)) = decided else { return false };
        let coordination = self.coordination(model);
        let requesters = std::mem::take(&mut coordination.requesters);
        let previous_subscribers =
            std::mem::replace(&mut coordination.subscribers, requesters.clone());
        self.announce(model, endpoint, out);
        let coordination = self.coordination(model);
        coordination.subscribers = previous_subscribers;
        for requester in requesters {
            if !coordination.subscribers.contains(&requester) {
                coordination.subscribers.push(requester);
            }
        }
        true
    }

    /// Decides a load for the pending demand, unless a decision is in progress.
    pub(super) fn decide_load(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let Some(demand) =
            self.coordinations.get(&model).and_then(|coordination| coordination.demand)
        else {
            return;
        };
        if self.is_pending(&Purpose::Load(model)) || !self.store_up || self.in_cooldown(model) {
            return;
        }
        let must_wait = |coordination: &Coordination| {
            let pending_read = coordination.pending_read.as_ref();
            let reading = pending_read.is_some_and(|(at, _)| self.now.since(*at) < READ_TIMEOUT_MS);
            reading || coordination.retry_at > self.now
        };
        if self.coordinations.get(&model).is_some_and(must_wait) {
            return;
        }
        if let Some(replicas) = self.replicas_needed(model) {
            let slack_ms = demand.deadline.since(self.now);
            let request = ReplicaRequest { model, replicas, slack_ms, class: demand.class };
            self.try_load(&request, out);
        }
    }

    /// Returns the number of replicas that the demand requires; `None` if no further one is needed.
    fn replicas_needed(&mut self, model: ModelKey) -> Option<u64> {
        let now = self.now;
        let decided = self.view.model_row(model).map_or(0, |row| row.holders.len() as u64);
        if decided == 0 {
            return Some(1);
        }
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        if phases.iter().any(|phase| *phase != Phase::Ready) {
            return None;
        }
        // The few requests that wait when a replica has just become ready are served at once; a
        // second replica would be loaded for nothing.
        let endpoint =
            self.view.replicas(model).next().and_then(|(key, _)| self.view.endpoint(key));
        let overload_threshold = endpoint.map_or(1, |row| row.slots / OVERLOAD_DIVISOR);
        let waiting = self.coordinations.get(&model).and_then(|coordination| coordination.demand);
        if waiting.is_none_or(|demand| demand.waiting < overload_threshold) {
            return None;
        }
        let coordination = self.coordination(model);
        coordination.last_overload = now;
        let overloaded_since = *coordination.overloaded_since.get_or_insert(now);
        (now.since(overloaded_since) >= SCALE_OUT_MS).then_some(decided + 1)
    }

    fn try_load(&mut self, request: &ReplicaRequest, out: &mut Vec<Effect>) {
        let busy = self.pending_txns.values().filter_map(|pending| pending.endpoint).collect();
        // The tie breaker is constant until a conflict, so that the plan made after the read
        // selects the same endpoint and needs only the rows that were read.
        let conflicts =
            self.coordinations.get(&request.model).map_or(0, |coordination| coordination.conflicts);
        let name =
            format!("{}/{}/{conflicts}", self.model_name(request.model), self.profile.session);
        let tie_breaker = hash_bytes(name.as_bytes());
        let order = self.reserve_order_ids(2);
        let input = PlacementInput {
            view: &self.view,
            catalogue: &self.catalogue,
            busy: &busy,
            excluded: &self.departing,
            share_parts: self.profile.share_parts,
            take_permit: self
                .coordinations
                .get(&request.model)
                .is_none_or(|coordination| coordination.conflicts == 0),
            tie_breaker,
        };
        match plan(&input, self.policies.placement.as_ref(), request) {
            Ok(plan) => {
                let txn = load_txn(&input, &plan, request, order);
                let keys = txn.checks.iter().map(|check| check.key.clone());
                let mut keys = keys.filter(|key| key != PERMITS).collect::<Vec<_>>();
                keys.push(PERMITS.to_owned());
                if !self.was_read_recently(request.model, &keys) {
                    self.coordination(request.model).pending_read = Some((self.now, keys.clone()));
                    return out.push(Effect::Read(keys));
                }
                let event = LogEvent::new("load").with("model", self.model_name(request.model));
                let name = self.view.endpoint_name(plan.endpoint);
                out.push(Effect::Log(event.with("endpoint", name)));
                self.commit(Purpose::Load(request.model), Some(plan.endpoint), txn, out);
            }
            Err(reason) => self.placement_failed(request.model, reason, out),
        }
    }

    /// Whether the rows of a decision were read recently.
    ///
    /// The feed lags by up to one poll interval. In a burst, every decision made from it would
    /// conflict on a share or ledger that another decision has just changed. A read costs the
    /// platform table a quarter of a write, and shortens the conflict window to a hundredth.
    fn was_read_recently(&self, model: ModelKey, keys: &[String]) -> bool {
        let Some(coordination) = self.coordinations.get(&model) else { return false };
        let Some((at, read)) = &coordination.last_read else { return false };
        self.now.since(*at) < READ_VALID_MS && keys.iter().all(|key| read.contains(key))
    }

    /// Resumes the decisions whose rows have been read.
    pub(super) fn resume_after_read(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        let now = self.now;
        let was_read = |key: &String| rows.iter().any(|row| row.key == *key);
        let mut resumed_models = Vec::new();
        for (model, coordination) in &mut self.coordinations {
            if let Some((_, keys)) =
                coordination.pending_read.take_if(|(_, keys)| keys.iter().all(was_read))
            {
                coordination.last_read = Some((now, keys));
                resumed_models.push(*model);
            }
        }
        for model in resumed_models {
            self.decide_load(model, out);
        }
    }

    pub(super) fn model_name(&self, model: ModelKey) -> &str {
        self.view.registry.models.name(model)
    }

    fn placement_failed(&mut self, model: ModelKey, reason: PlacementError, out: &mut Vec<Effect>) {
        if reason == PlacementError::ShareUsed && self.unload_for_share(model, out) {
            return;
        }
        let serving = self.view.replicas(model).any(|(_, phase)| phase == Phase::Ready);
        let Some(kind) = refusal_of(reason).filter(|_| !serving) else {
            if reason == PlacementError::AlreadyPlaced {
                self.coordination(model).demand = None;
            }
            return;
        };
        let name = self.model_name(model).to_owned();
        out.push(Effect::Log(
            LogEvent::new("no_place").with("model", &name).with("why", kind.as_str()),
        ));
        let coordination = self.coordination(model);
        coordination.demand = None;
        for to in std::mem::take(&mut coordination.requesters) {
            if to == self.profile.address {
                self.refuse_waiting(Target::Model(model), kind, out);
            } else {
                out.push(Effect::RefuseLoad { to, model: name.clone(), kind });
            }
        }
    }

    pub(super) fn load_txn_finished(
        &mut self,
        model: ModelKey,
        endpoint: Option<EndpointKey>,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        if let Outcome::Committed(_) = outcome {
            let coordination = self.coordination(model);
            coordination.demand = None;
            coordination.overloaded_since = None;
            coordination.conflicts = 0;
            coordination.subscribers = std::mem::take(&mut coordination.requesters);
            if let Some(endpoint) = endpoint {
                self.announce(model, endpoint, out);
            }
        }
        if outcome == Outcome::Conflict {
            // The rows that are read back show whether another decision won. The next attempt
            // leaves the permit to the side, because all decisions of a burst would write the
            // permit row.
            let random = self.random();
            let now = self.now;
            let coordination = self.coordination(model);
            coordination.conflicts = (coordination.conflicts + 1).min(CONFLICT_DOUBLINGS);
            coordination.retry_at = now + random % (CONFLICT_BACKOFF_MS << coordination.conflicts);
            out.push(Effect::Log(LogEvent::new("conflict").with("model", self.model_name(model))));
        }
    }

    /// Sends an endpoint's row to the entries that asked for the model.
    ///
    /// The feed would deliver the decision, and then the ready replica, up to one poll interval
    /// later. Until an entry knows the decision, it asks the next coordinator, which would decide
    /// again and meet a conflict. Until it knows the ready replica, its callers wait.
    fn announce(&mut self, model: ModelKey, endpoint: EndpointKey, out: &mut Vec<Effect>) {
        let Some(coordination) = self.coordinations.get(&model) else { return };
        let Some(row) = self.view.endpoint(endpoint) else { return };
        let row = Row {
            key: endpoint_key(self.view.endpoint_name(endpoint)),
            version: self.view.endpoint_version(endpoint),
            body: Some(row.encode_to_vec()),
        };
        for to in coordination.subscribers.iter().filter(|to| **to != self.profile.address) {
            out.push(Effect::Announce { to: to.clone(), row: row.clone() });
        }
    }

    /// Sends the row of a ready replica to the entries that wait for it.
    fn announce_ready(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        if self
            .coordinations
            .get(&model)
            .is_none_or(|coordination| coordination.subscribers.is_empty())
        {
            return;
        }
        let ready = self.view.replicas(model).find(|(_, phase)| *phase == Phase::Ready);
        if let Some((endpoint, _)) = ready {
            self.announce(model, endpoint, out);
            self.coordination(model).subscribers.clear();
        }
    }

    pub(super) fn load_refused(&mut self, model: &str, kind: RefusalKind, out: &mut Vec<Effect>) {
        let Some(model) = self.view.registry.models.get(model) else { return };
        if self.view.replicas(model).next().is_none() {
            self.demands.remove(&model);
            self.refuse_waiting(Target::Model(model), kind, out);
        }
    }

    /// Handles a change of a model's replicas.
    pub(super) fn replicas_changed(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        let loading = phases.iter().any(|phase| matches!(phase, Phase::Wanted | Phase::Loading));
        if loading {
            self.loading_since.entry(model).or_insert(self.now);
        } else {
            self.loading_since.remove(&model);
        }
        if phases.is_empty() {
            self.stale_replicas.retain(|(_, other), _| *other != model);
        } else if !self.coordinations.contains_key(&model)
            && self.is_coordinator(self.model_name(model))
        {
            self.coordination(model);
        }
        if phases.contains(&Phase::Ready) {
            self.demands.remove(&model);
            self.announce_ready(model, out);
        }
        self.dispatch(Target::Model(model), out);
    }

    /// Drops models that another member coordinates now, unless they have pending demand, and takes
    /// over the models with replicas that this process coordinates now.
    pub(super) fn review_coordinations(&mut self) {
        let kept = self
            .coordinations
            .keys()
            .copied()
            .filter(|model| self.is_coordinator(self.model_name(*model)));
        let kept = kept.collect::<Set<_>>();
        let busy = |coordination: &Coordination| coordination.demand.is_some();
        self.coordinations.retain(|model, coordination| kept.contains(model) || busy(coordination));
        let warm = self
            .view
            .models_with_replicas()
            .filter(|model| !self.coordinations.contains_key(model));
        let warm =
            warm.filter(|model| self.is_coordinator(self.model_name(*model))).collect::<Vec<_>>();
        for model in warm {
            self.coordination(model);
        }
    }

    /// Returns whether the model or its base is in the cooldown after a failed load.
    fn in_cooldown(&self, model: ModelKey) -> bool {
        let base = self.catalogue.models.get(&model).and_then(|spec| spec.base);
        self.cooldown(model).is_some() || base.is_some_and(|base| self.cooldown(base).is_some())
    }

    /// Starts a cooldown after a failed load and, if no replica is ready, refuses the requests that
    /// wait for the model. Otherwise every entry would report its demand again at once, and the
    /// load would fail again.
    pub(super) fn update_cooldown(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let failures = self.view.model_row(model).map_or(0, |row| row.failures);
        let previous = self.cooldowns.get(&model).map_or(0, |(failures, _)| *failures);
        if failures == 0 {
            self.cooldowns.remove(&model);
        } else if failures != previous {
            let pause = (FAILURE_BACKOFF_MS << (failures - 1).min(10)).min(FAILURE_BACKOFF_MAX_MS);
            self.cooldowns.insert(model, (failures, self.now + pause));
            if self.view.replicas(model).all(|(_, phase)| phase != Phase::Ready) {
                self.refuse_waiting(Target::Model(model), RefusalKind::LoadFailed, out);
            }
        }
    }

    /// Returns the remaining cooldown of a model that failed to load, in milliseconds.
    pub(super) fn cooldown(&self, model: ModelKey) -> Option<u64> {
        let (_, until) = self.cooldowns.get(&model)?;
        (*until > self.now).then(|| until.since(self.now))
    }
}
