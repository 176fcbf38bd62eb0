//! The life cycle of a request: admitted, queued, sent, and answered or refused exactly once.

use citronrill_base::{EndpointKey, Key, Millis, ModelKey, ServiceKey, hash_bytes};
use citronrill_config::{ApiKeyHash, Class, ServiceKind};

use super::{
    Effect, Entry, IncomingRequest, Request, RequestId, RequestTarget, State, Target,
    claims::Claim, ran_after_cancel,
};
use crate::{
    call::{CancelAnswer, Decline},
    placement::load_ms,
    refusal::{Ran, Refusal, RefusalKind},
    routing::Candidate,
    rows::{EndpointRow, Phase, Tier},
};

/// Maximum number of accumulated retry tokens.
pub(super) const RETRY_BUDGET: f64 = 50.0;
/// Retry tokens that each new request adds: retries add at most a fifth to the load.
const RETRY_RATIO: f64 = 0.2;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u8 = 5;
/// Time past the deadline for a side to report whether a cancelled call ran, in milliseconds.
pub const CANCEL_GRACE_MS: u64 = 300;
/// Backoff after an endpoint did not respond, doubled with each further failure, in milliseconds.
const SUSPECT_BACKOFF_MS: u64 = 1_000;
const SUSPECT_BACKOFF_MAX_MS: u64 = 30_000;
/// Upper bound of the random backoff from a busy endpoint, in milliseconds.
const BUSY_BACKOFF_MAX_MS: u64 = 120;
/// Estimated time from a decision to the start of its load, in milliseconds.
const DECISION_MS: u64 = 50;
/// Suggested retry delay after a refusal for lack of capacity, in milliseconds.
const CAPACITY_RETRY_MS: u64 = 2_000;
/// Suggested retry delay while the platform table is unavailable, in milliseconds.
pub(super) const STORE_RETRY_MS: u64 = 5_000;
/// Suggested retry delay after a refusal because of load, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;
/// Weight of the latest sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A request's target as found in the catalogue.
struct ResolvedTarget {
    target: Target,
    service: ServiceKey,
    repeatable: bool,
}

impl Entry {
    pub(super) fn handle_request(&mut self, incoming: IncomingRequest, out: &mut Vec<Effect>) {
        match self.admit(&incoming, out) {
            Ok(()) => {}
            Err(refusal) => out.push(Effect::Refuse(incoming.id, refusal)),
        }
    }

    fn admit(&mut self, incoming: &IncomingRequest, out: &mut Vec<Effect>) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::not_run(RefusalKind::Draining).retry_in(LOAD_RETRY_MS));
        }
        let org = self.catalogue.organisation_of(&incoming.key);
        let org = org.ok_or(Refusal::not_run(RefusalKind::Unauthorised))?;
        let resolved = self.resolve(&incoming.target)?;
        let service = &self.catalogue.services[&resolved.service];
        // Another organisation's model is refused like one that does not exist.
        if service.org != org {
            let kind = match incoming.target {
                RequestTarget::Model(_) => RefusalKind::UnknownModel,
                RequestTarget::Plain { .. } => RefusalKind::UnknownService,
            };
            return Err(Refusal::not_run(kind));
        }
        let slack = incoming.deadline_ms.unwrap_or(service.deadline_ms).min(service.deadline_ms);
        let (class, queue_limit) = (service.class, service.queue as usize);
        let deadline = self.now + slack;
        self.check_limits(&resolved, org, queue_limit)?;
        if let Target::Model(model) = resolved.target {
            self.report_use(model, out);
            self.check_deadline(model, deadline, out)?;
        }
        let claim = incoming.idempotency_key.filter(|_| !resolved.repeatable);
        if claim.is_some() && !self.store_up {
            return Err(Refusal::not_run(RefusalKind::StoreDown).retry_in(STORE_RETRY_MS));
        }
        let org_name = self.catalogue.organisations[&org].name.clone();
        let claim =
            claim.map(|hash| Claim::new(&org_name, hash, incoming.body_hash, self.random()));
        let request = Request {
            target: resolved.target,
            org,
            class,
            deadline,
            sent_at: self.now,
            repeatable: resolved.repeatable,
            prefix_hash: incoming.prefix_hash,
            attempts: 0,
            excluded: Vec::new(),
            owner: 0,
            may_have_run: false,
            claim,
            state: State::Waiting,
        };
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(RETRY_BUDGET);
        self.deadlines.insert((deadline, incoming.id));
        *self.org_requests.entry(org).or_default() += 1;
        self.requests.insert(incoming.id, request);
        self.claim_or_queue(incoming.id, out);
        Ok(())
    }

    fn resolve(&self, target: &RequestTarget) -> Result<ResolvedTarget, Refusal> {
        let registry = &self.view.registry;
        match target {
            RequestTarget::Model(name) => {
                let key = registry.models.get(name);
                let found = key.and_then(|key| Some((key, self.catalogue.models.get(&key)?)));
                let (key, model) = found.ok_or(Refusal::not_run(RefusalKind::UnknownModel))?;
                let service = &self.catalogue.services[&model.service];
                let repeatable = service.repeatable;
                Ok(ResolvedTarget {
                    target: Target::Model(key),
                    service: model.service,
                    repeatable,
                })
            }
            RequestTarget::Plain { service, verb, path } => {
                let key = registry.services.get(service);
                let found = key.and_then(|key| Some((key, self.catalogue.services.get(&key)?)));
                let found = found.filter(|(_, service)| service.kind == ServiceKind::Plain);
                let (key, spec) = found.ok_or(Refusal::not_run(RefusalKind::UnknownService))?;
                let rules = spec.unrepeatable.iter();
                let mut rules =
                    rules.filter(|rule| rule.verb == *verb && path.starts_with(&rule.path_prefix));
                let repeatable = rules.next().is_none();
                Ok(ResolvedTarget { target: Target::Plain(key), service: key, repeatable })
            }
        }
    }

    fn check_limits(
        &self,
        resolved: &ResolvedTarget,
        org: citronrill_base::OrgKey,
        queue_limit: usize,
    ) -> Result<(), Refusal> {
        let limit = self.profile.request_limit;
        let total = self.requests.len();
        let own = self.org_requests.get(&org).copied().unwrap_or(0);
        let orgs = self.catalogue.organisations.len().max(1);
        // When the process is at least half full, no organisation may exceed its equal part of
        // the limit.
        if total >= limit || (total >= limit / 2 && own >= limit / orgs) {
            return Err(Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS));
        }
        let waiting = self.queues.get(&resolved.target).map_or(0, |queue| queue.len());
        if waiting >= queue_limit {
            return Err(Refusal::not_run(RefusalKind::QueueFull).retry_in(LOAD_RETRY_MS));
        }
        Ok(())
    }

    /// Refuses a request that cannot be served before its deadline. If no replica is ready, a
    /// load is requested all the same, so that the model is warm when the caller retries.
    fn check_deadline(
        &mut self,
        model: ModelKey,
        deadline: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if let Some(wait) = self.cooldown(model) {
            return Err(Refusal::not_run(RefusalKind::LoadFailed).retry_in(wait));
        }
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        let usable = phases.iter().any(|phase| *phase != Phase::Unloading);
        if !usable && !self.store_up {
            return Err(Refusal::not_run(RefusalKind::StoreDown).retry_in(STORE_RETRY_MS));
        }
        let wait = if phases.contains(&Phase::Ready) {
            self.queue_wait(model)
        } else {
            self.load_wait(model)
        };
        if self.now + wait <= deadline {
            return Ok(());
        }
        if !phases.contains(&Phase::Ready) {
            self.request_replica(model, deadline, Class::Normal, out);
        }
        Err(Refusal::not_run(RefusalKind::TooLate).retry_in(wait.max(1)))
    }

    /// Expected wait in a warm model's queue, in milliseconds.
    fn queue_wait(&self, model: ModelKey) -> u64 {
        let target = Target::Model(model);
        let Some(queue) = self.queues.get(&target) else { return 0 };
        let service_ms = self.service_ms.get(&target).copied().unwrap_or(0.0);
        let slots =
            self.candidates(target, 0, &[]).iter().map(|candidate| candidate.slots).sum::<u32>();
        (queue.len() as f64 * service_ms / f64::from(slots.max(1))) as u64
    }

    /// Expected time until a model without a ready replica has one, in milliseconds.
    fn load_wait(&self, model: ModelKey) -> u64 {
        let Some(spec) = self.catalogue.models.get(&model) else { return 0 };
        let since = self.loading_since.get(&model);
        for (endpoint, phase) in self.view.replicas(model) {
            if matches!(phase, Phase::Loading | Phase::Wanted) {
                let row = self.view.endpoint(endpoint).and_then(|row| row.replica(&spec.name));
                let total = row.map_or(0, |replica| replica.load_ms);
                let passed = since.map_or(0, |since| self.now.since(*since));
                return total.saturating_sub(passed);
            }
        }
        let tier = self.view.endpoints().map(|(key, _)| self.view.tier(key, &spec.name)).max();
        let tier = tier.unwrap_or(Tier::Remote);
        let queue = match (tier, &self.view.permits_row.row) {
            (Tier::Remote, Some(row)) if row.permits.len() as u64 >= row.concurrent_loads => {
                (row.waiters.len() as u64 + 1) * spec.remote_ms / row.concurrent_loads.max(1)
            }
            _ => 0,
        };
        let base = spec.base.filter(|base| self.view.replicas(*base).next().is_none());
        let base_ms = base
            .and_then(|base| self.catalogue.models.get(&base))
            .map_or(0, |base| load_ms(base, tier));
        DECISION_MS + load_ms(spec, tier) + base_ms + queue
    }

    pub(super) fn enqueue(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = State::Waiting;
        let (target, class, deadline) = (request.target, request.class, request.deadline);
        self.queues.entry(target).or_default().push(id, class, deadline);
        self.dispatch(target, out);
    }

    /// Sends queued requests to the target's replicas; requests a replica for those that remain.
    pub(super) fn dispatch(&mut self, target: Target, out: &mut Vec<Effect>) {
        while let Some(id) = self.queues.get(&target).and_then(|queue| queue.first()) {
            let request = &self.requests[&id];
            let mut candidates = self.candidates(target, request.prefix_hash, &request.excluded);
            if candidates.is_empty() && !request.excluded.is_empty() {
                candidates = self.candidates(target, request.prefix_hash, &[]);
            }
            let Some(index) = self.policies.router.pick(&candidates, &mut self.rng) else { break };
            if let Some(queue) = self.queues.get_mut(&target) {
                queue.picked();
            }
            self.send(id, candidates[index].endpoint, out);
        }
        if let (Target::Model(model), Some(queue)) = (target, self.queues.get(&target))
            && let Some((deadline, class)) = queue.most_urgent()
        {
            self.request_replica(model, deadline, class, out);
        }
    }

    /// Replicas that can take one more request of this entry.
    fn candidates(
        &self,
        target: Target,
        prefix_hash: u64,
        excluded: &[EndpointKey],
    ) -> Vec<Candidate> {
        match target {
            Target::Model(model) => self
                .view
                .replicas(model)
                .filter(|(endpoint, phase)| {
                    let stale_version = self.stale_replicas.get(&(*endpoint, model));
                    let current = self.view.endpoint_version(*endpoint);
                    *phase == Phase::Ready && stale_version.is_none_or(|version| *version < current)
                })
                .filter_map(|(endpoint, _)| self.candidate(endpoint, prefix_hash, excluded))
                .collect(),
            Target::Plain(service) => {
                let endpoints = self.catalogue.services.get(&service);
                let endpoints = endpoints.map(|spec| spec.endpoints.as_slice()).unwrap_or_default();
                let found = endpoints.iter();
                found
                    .filter_map(|endpoint| self.candidate(*endpoint, prefix_hash, excluded))
                    .collect()
            }
        }
    }

    fn candidate(
        &self,
        endpoint: EndpointKey,
        prefix_hash: u64,
        excluded: &[EndpointKey],
    ) -> Option<Candidate> {
        let row = self.view.endpoint(endpoint)?;
        let health = self.endpoint_health.get(endpoint.index()).cloned().unwrap_or_default();
        let leaving = row.leaving || health.leaving_owner == Some(owner(row));
        let suspended = self.now < health.suspect_until || self.now < health.busy_until;
        let full = u64::from(health.in_flight) >= row.slots;
        if leaving
            || suspended
            || full
            || self.departing.contains(&endpoint)
            || excluded.contains(&endpoint)
        {
            return None;
        }
        let name = self.view.endpoint_name(endpoint);
        let affinity = match prefix_hash {
            0 => 0,
            hash => hash_bytes(name.as_bytes()) ^ hash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        Some(Candidate {
            endpoint,
            own_requests: health.in_flight,
            reported_requests: health.reported_load.saturating_sub(health.in_flight),
            age_ms: self.now.since(health.reported_at),
            slots: row.slots as u32,
            same_zone: row.zone == self.profile.zone,
            affinity,
        })
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointKey, out: &mut Vec<Effect>) {
        self.next_call += 1;
        let call = self.next_call;
        let now = self.now;
        let Some(row) = self.view.endpoint(endpoint) else { return };
        let (address, owner) = (row.address.clone(), owner(row));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.owner = owner;
        request.state = State::Sent { endpoint, call, response_started: false };
        request.attempts += 1;
        request.sent_at = now;
        let (target, class, deadline) = (request.target, request.class, request.deadline);
        let (org, claimed) = (request.org, request.claim.is_some());
        if let Some(queue) = self.queues.get_mut(&target) {
            queue.remove(id, class, deadline);
            if queue.is_empty() {
                self.queues.remove(&target);
            }
        }
        self.health_mut(endpoint).in_flight += 1;
        let model = match target {
            Target::Model(model) => self.view.registry.models.name(model).to_owned(),
            Target::Plain(_) => String::new(),
        };
        out.push(Effect::Send {
            id,
            call,
            endpoint,
            address,
            model,
            org: self.view.registry.organisations.name(org).to_owned(),
            class,
            slack_ms: deadline.since(now),
            claimed,
        });
    }

    pub(super) fn response_started(&mut self, id: RequestId) {
        if let Some(Request { state: State::Sent { response_started, .. }, .. }) =
            self.requests.get_mut(&id)
        {
            *response_started = true;
        }
    }

    pub(super) fn response_finished(
        &mut self,
        id: RequestId,
        load: u32,
        answer: Option<super::Answer>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.remove_request(id) else { return };
        let elapsed_ms = self.now.since(request.sent_at) as f64;
        let average = self.service_ms.entry(request.target).or_insert(elapsed_ms);
        *average += (elapsed_ms - *average) * SERVICE_TIME_WEIGHT;
        if let State::Sent { endpoint, .. } | State::Cancelling { endpoint, .. } = request.state {
            self.report_load(endpoint, load);
            let health = self.health_mut(endpoint);
            health.failures = 0;
        }
        if let (Some(claim), Some(answer)) = (request.claim, answer) {
            self.close_claim(claim, answer, out);
        }
        self.dispatch(request.target, out);
    }

    fn report_load(&mut self, endpoint: EndpointKey, load: u32) {
        let now = self.now;
        let health = self.health_mut(endpoint);
        health.reported_load = load;
        health.reported_at = now;
    }

    /// Withdraws the current attempt; returns its endpoint.
    fn withdraw(&mut self, id: RequestId) -> Option<EndpointKey> {
        let request = self.requests.get_mut(&id)?;
        let State::Sent { endpoint, .. } = request.state else { return None };
        request.state = State::Waiting;
        if !request.excluded.contains(&endpoint) {
            request.excluded.push(endpoint);
        }
        let health = self.health_mut(endpoint);
        health.in_flight = health.in_flight.saturating_sub(1);
        Some(endpoint)
    }

    /// Handles a decline. The side guarantees that the call will not run, so any call may be sent
    /// to another endpoint.
    pub(super) fn declined(
        &mut self,
        id: RequestId,
        why: Decline,
        load: u32,
        out: &mut Vec<Effect>,
    ) {
        if let Some(Request { state: State::Cancelling { .. }, .. }) = self.requests.get(&id) {
            return self.cancel_answered(id, CancelAnswer::NotRun, out);
        }
        let Some(endpoint) = self.withdraw(id) else { return };
        self.report_load(endpoint, load);
        let target = self.requests[&id].target;
        match why {
            Decline::Busy => {
                let pause = self.random() % BUSY_BACKOFF_MAX_MS + 1;
                let until = self.now + pause;
                self.health_mut(endpoint).busy_until = until;
            }
            Decline::Leaving => {
                // The decline comes from the side that received the call; another side may own the
                // endpoint now.
                let owner = self.requests[&id].owner;
                self.health_mut(endpoint).leaving_owner = Some(owner);
            }
            Decline::NotLoaded => {
                if let Target::Model(model) = target {
                    let version = self.view.endpoint_version(endpoint);
                    self.stale_replicas.insert((endpoint, model), version);
                }
            }
            Decline::Expired => {
                return self.refuse_not_run(id, Refusal::not_run(RefusalKind::Expired), out);
            }
            Decline::EndpointDown => self.suspect(endpoint),
            Decline::OtherSession | Decline::Cancelled => {}
        }
        self.retry(id, out);
    }

    /// Handles an attempt that never left the process: any call may be sent to another endpoint.
    pub(super) fn not_sent(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(Request { state: State::Cancelling { .. }, .. }) = self.requests.get(&id) {
            return self.cancel_answered(id, CancelAnswer::NotRun, out);
        }
        if let Some(endpoint) = self.withdraw(id) {
            self.suspect_owner(id, endpoint);
            self.retry(id, out);
        }
    }

    /// Puts a withdrawn request back into its queue, within the retry budget.
    fn retry(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let attempts = self.requests.get(&id).map_or(0, |request| request.attempts);
        if attempts >= MAX_ATTEMPTS || self.retry_tokens < 1.0 {
            let refusal = Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS);
            return self.refuse_not_run(id, refusal, out);
        }
        self.retry_tokens -= 1.0;
        self.enqueue(id, out);
    }

    /// Handles a lost connection after which the call may have run. Only a repeatable call is
    /// retried, and only if no part of its answer has reached the caller.
    pub(super) fn connection_lost(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (endpoint, response_started) = match request.state {
            State::Sent { endpoint, response_started, .. } => (endpoint, response_started),
            State::Cancelling { .. } => {
                return self.cancel_answered(id, CancelAnswer::Unknown, out);
            }
            State::Claiming | State::Waiting => return,
        };
        let retry = request.repeatable && !response_started && request.attempts < MAX_ATTEMPTS;
        self.suspect_owner(id, endpoint);
        if retry && self.retry_tokens >= 1.0 {
            self.withdraw(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.may_have_run = true;
            }
            return self.retry(id, out);
        }
        let ran = if response_started { Ran::Yes } else { Ran::Unknown };
        self.refuse(id, Refusal { kind: RefusalKind::ConnectionLost, ran, retry_ms: None }, out);
    }

    /// Handles a failed attempt whose request body was consumed, so that it cannot be retried.
    pub(super) fn body_consumed(&mut self, id: RequestId, ran: Ran, out: &mut Vec<Effect>) {
        match ran {
            Ran::No => {
                let refusal = Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS);
                self.refuse_not_run(id, refusal, out);
            }
            Ran::Unknown | Ran::Yes => {
                self.refuse(
                    id,
                    Refusal { kind: RefusalKind::ConnectionLost, ran, retry_ms: None },
                    out,
                );
            }
        }
    }

    /// Refuses a request whose last attempt did not run, and releases its claim.
    ///
    /// An earlier attempt may have run: a repeatable call is retried after a lost connection, and
    /// the refusal of the second attempt does not cover the first.
    pub(super) fn refuse_not_run(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        if self.requests.get(&id).is_some_and(|request| request.may_have_run) {
            return self.refuse(id, Refusal { ran: Ran::Unknown, ..refusal }, out);
        }
        let claim = self.requests.get_mut(&id).and_then(|request| request.claim.take());
        if let Some(claim) = claim {
            self.drop_claim(claim, out);
        }
        self.refuse(id, refusal, out);
    }

    /// Marks the endpoint as suspect if the side to which the call was sent still owns it.
    ///
    /// Calls lost by an earlier side process are no evidence against the current one.
    fn suspect_owner(&mut self, id: RequestId, endpoint: EndpointKey) {
        let called_owner = self.requests.get(&id).map(|request| request.owner);
        let current_owner = self.view.endpoint(endpoint).map(owner);
        if called_owner == current_owner {
            self.suspect(endpoint);
        }
    }

    /// Suspends routing to an endpoint, with exponential backoff.
    ///
    /// All calls in flight to a side are lost together when it ends, and count as one failure. When
    /// each lost call counted, six of them doubled the backoff six times, and callers of the next
    /// side process waited for 13 s.
    pub(super) fn suspect(&mut self, endpoint: EndpointKey) {
        let now = self.now;
        let health = self.health_mut(endpoint);
        if now < health.suspect_until {
            return;
        }
        health.failures = (health.failures + 1).min(16);
        let pause = (SUSPECT_BACKOFF_MS << (health.failures - 1)).min(SUSPECT_BACKOFF_MAX_MS);
        health.suspect_until = now + pause;
    }

    /// Refuses requests whose deadline has passed; cancels those in flight at their side first.
    pub(super) fn expire(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let due = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        let due = due.map(|(_, id)| *id).collect::<Vec<_>>();
        for id in due {
            self.expire_request(id, out);
        }
    }

    fn expire_request(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let until = self.now + CANCEL_GRACE_MS;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.state {
            State::Waiting => {
                let refusal = Refusal::not_run(RefusalKind::Expired).retry_in(LOAD_RETRY_MS);
                self.refuse_not_run(id, refusal, out);
            }
            // The claim may be in the platform table, but the call was not sent.
            State::Claiming => {
                self.refuse_not_run(id, Refusal::not_run(RefusalKind::Expired), out);
            }
            State::Sent { endpoint, call, response_started } => {
                request.state = State::Cancelling { endpoint, call, response_started, until };
                out.push(Effect::Cancel { id, call, endpoint });
            }
            State::Cancelling { until, .. } if until <= self.now => {
                self.cancel_answered(id, CancelAnswer::Unknown, out);
            }
            State::Cancelling { .. } => {}
        }
    }

    pub(super) fn cancel_answered(
        &mut self,
        id: RequestId,
        answer: CancelAnswer,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let State::Cancelling { response_started, .. } = request.state else { return };
        let ran = if response_started { Ran::Yes } else { ran_after_cancel(answer) };
        let refusal = Refusal { kind: RefusalKind::Expired, ran, retry_ms: None };
        match ran {
            Ran::No => self.refuse_not_run(id, refusal, out),
            Ran::Unknown | Ran::Yes => self.refuse(id, refusal, out),
        }
    }

    pub(super) fn caller_disconnected(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.state {
            State::Sent { endpoint, call, .. } => {
                out.push(Effect::Cancel { id, call, endpoint });
                self.remove_request(id);
            }
            State::Cancelling { .. } => drop(self.remove_request(id)),
            State::Claiming | State::Waiting => {
                let claim = self.remove_request(id).and_then(|request| request.claim);
                if let Some(claim) = claim {
                    self.drop_claim(claim, out);
                }
            }
        }
    }

    /// Refuses all queued requests of a target.
    pub(super) fn refuse_waiting(
        &mut self,
        target: Target,
        kind: RefusalKind,
        out: &mut Vec<Effect>,
    ) {
        let ids = self.queues.get(&target).map(|queue| queue.ids()).unwrap_or_default();
        for id in ids {
            self.refuse_not_run(id, Refusal::not_run(kind).retry_in(CAPACITY_RETRY_MS), out);
        }
    }

    pub(super) fn list_models(&mut self, id: RequestId, key: &ApiKeyHash, out: &mut Vec<Effect>) {
        let Some(org) = self.catalogue.organisation_of(key) else {
            let refusal = Refusal::not_run(RefusalKind::Unauthorised);
            return out.push(Effect::ListModels(id, Err(refusal)));
        };
        let models = self.catalogue.models.values().filter(|model| {
            self.catalogue.services.get(&model.service).is_some_and(|service| service.org == org)
        });
        let mut names = models.map(|model| model.name.clone()).collect::<Vec<_>>();
        names.sort_unstable();
        out.push(Effect::ListModels(id, Ok(names)));
    }
}

/// Identifies the side process that owns an endpoint. The epoch alone is not enough: it would
/// restart if the table lost the version of a removed row.
fn owner(row: &EndpointRow) -> u64 {
    hash_bytes(format!("{}/{}", row.epoch, row.address).as_bytes())
}
