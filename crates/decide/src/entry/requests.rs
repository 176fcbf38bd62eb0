//! A request's life: taken in, queued, sent, answered or refused exactly once.

use citronrill_base::{EndpointKey, Key, Millis, ModelKey, ServiceKey, hash_bytes};
use citronrill_config::{ApiKeyHash, Class, ServiceKind};

use super::{Arrival, Effect, Entry, Request, RequestId, State, Target, Wish, claims::Claim, ran};
use crate::{
    call::{CancelAnswer, Decline},
    placement::load_ms,
    refusal::{Ran, Refusal, RefusalKind},
    routing::Candidate,
    rows::{EndpointRow, Phase, Tier},
};

/// Retries that may be saved up.
pub(super) const RETRY_LIMIT: f64 = 50.0;
/// Part of a retry that each new request earns: retries add at most a fifth to the load.
const RETRY_EARNED: f64 = 0.2;
/// Times a request is sent at most.
const TRY_LIMIT: u8 = 5;
/// How long a side has, past the deadline, to say whether a cancelled call ran, in milliseconds.
pub const CANCEL_GRACE_MS: u64 = 300;
/// How long a silent endpoint is avoided, doubled with each further silence, in milliseconds.
const SUSPECT_MS: u64 = 1_000;
const SUSPECT_LIMIT_MS: u64 = 30_000;
/// How long a busy endpoint is avoided at most, in milliseconds.
const BUSY_MS: u64 = 120;
/// Time from a decision to the start of its load, in milliseconds, for estimates.
const DECIDE_MS: u64 = 50;
/// When to come back after a refusal for lack of room, in milliseconds.
const ROOM_RETRY_MS: u64 = 2_000;
/// When to come back while the table is away, in milliseconds.
pub(super) const STORE_RETRY_MS: u64 = 5_000;
/// When to come back after a refusal because of load, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;
/// Weight of the latest service time in the average.
const SERVICE_WEIGHT: f64 = 0.1;

/// What is known of a request's target before it is taken in.
struct Terms {
    target: Target,
    service: ServiceKey,
    repeatable: bool,
}

impl Entry {
    pub(super) fn arrive(&mut self, arrival: Arrival, out: &mut Vec<Effect>) {
        match self.admit(&arrival, out) {
            Ok(()) => {}
            Err(refusal) => out.push(Effect::Refuse(arrival.id, refusal)),
        }
    }

    fn admit(&mut self, arrival: &Arrival, out: &mut Vec<Effect>) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::not_run(RefusalKind::Draining).retry_in(LOAD_RETRY_MS));
        }
        let org = self.catalogue.organisation_of(&arrival.key);
        let org = org.ok_or(Refusal::not_run(RefusalKind::Unauthorised))?;
        let terms = self.terms(&arrival.wish)?;
        let service = &self.catalogue.services[&terms.service];
        // Another organisation's model is refused in the words of one that does not exist.
        if service.org != org {
            let kind = match arrival.wish {
                Wish::Model(_) => RefusalKind::UnknownModel,
                Wish::Plain { .. } => RefusalKind::UnknownService,
            };
            return Err(Refusal::not_run(kind));
        }
        let slack = arrival.deadline_ms.unwrap_or(service.deadline_ms).min(service.deadline_ms);
        let (class, queue_limit) = (service.class, service.queue as usize);
        let deadline = self.now + slack;
        self.check_room(&terms, org, queue_limit)?;
        if let Target::Model(model) = terms.target {
            self.report_use(model, out);
            self.check_time(model, deadline, out)?;
        }
        let claim = arrival.once.filter(|_| !terms.repeatable);
        if claim.is_some() && !self.store_up {
            return Err(Refusal::not_run(RefusalKind::StoreDown).retry_in(STORE_RETRY_MS));
        }
        let org_name = self.catalogue.organisations[&org].name.clone();
        let claim = claim.map(|hash| Claim::new(&org_name, hash, arrival.content, self.random()));
        let request = Request {
            target: terms.target,
            org,
            class,
            deadline,
            sent_at: self.now,
            repeatable: terms.repeatable,
            prefix: arrival.prefix,
            tries: 0,
            avoid: Vec::new(),
            owner: 0,
            may_have_run: false,
            claim,
            state: State::Waiting,
        };
        self.retry_tokens = (self.retry_tokens + RETRY_EARNED).min(RETRY_LIMIT);
        self.deadlines.insert((deadline, arrival.id));
        *self.per_org.entry(org).or_default() += 1;
        self.requests.insert(arrival.id, request);
        self.claim_or_queue(arrival.id, out);
        Ok(())
    }

    fn terms(&self, wish: &Wish) -> Result<Terms, Refusal> {
        let registry = &self.view.registry;
        match wish {
            Wish::Model(name) => {
                let key = registry.models.get(name);
                let found = key.and_then(|key| Some((key, self.catalogue.models.get(&key)?)));
                let (key, model) = found.ok_or(Refusal::not_run(RefusalKind::UnknownModel))?;
                let service = &self.catalogue.services[&model.service];
                let repeatable = service.repeatable;
                Ok(Terms { target: Target::Model(key), service: model.service, repeatable })
            }
            Wish::Plain { service, verb, path } => {
                let key = registry.services.get(service);
                let found = key.and_then(|key| Some((key, self.catalogue.services.get(&key)?)));
                let found = found.filter(|(_, service)| service.kind == ServiceKind::Plain);
                let (key, spec) = found.ok_or(Refusal::not_run(RefusalKind::UnknownService))?;
                let once = spec.unrepeatable.iter();
                let mut once = once.filter(|it| it.verb == *verb && path.starts_with(&it.path));
                let repeatable = once.next().is_none();
                Ok(Terms { target: Target::Plain(key), service: key, repeatable })
            }
        }
    }

    fn check_room(
        &self,
        terms: &Terms,
        org: citronrill_base::OrgKey,
        queue_limit: usize,
    ) -> Result<(), Refusal> {
        let limit = self.profile.request_limit;
        let total = self.requests.len();
        let mine = self.per_org.get(&org).copied().unwrap_or(0);
        let orgs = self.catalogue.organisations.len().max(1);
        // From half full on, no organisation takes more than its part.
        if total >= limit || (total >= limit / 2 && mine >= limit / orgs) {
            return Err(Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS));
        }
        let waiting = self.queues.get(&terms.target).map_or(0, |queue| queue.len());
        if waiting >= queue_limit {
            return Err(Refusal::not_run(RefusalKind::QueueFull).retry_in(LOAD_RETRY_MS));
        }
        Ok(())
    }

    /// Refuses at once what cannot be served in time; the load is asked for all the same, so that
    /// the caller finds the model warm when it comes back.
    fn check_time(
        &mut self,
        model: ModelKey,
        deadline: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if let Some(wait) = self.cooldown(model) {
            return Err(Refusal::not_run(RefusalKind::LoadFailed).retry_in(wait));
        }
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        let coming = phases.iter().any(|phase| *phase != Phase::Unloading);
        if !coming && !self.store_up {
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
            self.want(model, deadline, Class::Normal, out);
        }
        Err(Refusal::not_run(RefusalKind::TooLate).retry_in(wait.max(1)))
    }

    /// Expected wait in a warm model's queue, in milliseconds.
    fn queue_wait(&self, model: ModelKey) -> u64 {
        let target = Target::Model(model);
        let Some(queue) = self.queues.get(&target) else { return 0 };
        let service_ms = self.service_ms.get(&target).copied().unwrap_or(0.0);
        let slots = self.candidates(target, 0, &[]).iter().map(|it| it.slots).sum::<u32>();
        (queue.len() as f64 * service_ms / f64::from(slots.max(1))) as u64
    }

    /// Expected time until a model that does not serve will, in milliseconds.
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
        let queue = match (tier, &self.view.weights.row) {
            (Tier::Remote, Some(row)) if row.permits.len() as u64 >= row.loads_once => {
                (row.waiters.len() as u64 + 1) * spec.remote_ms / row.loads_once.max(1)
            }
            _ => 0,
        };
        let base = spec.base.filter(|base| self.view.replicas(*base).next().is_none());
        let base_ms = base
            .and_then(|base| self.catalogue.models.get(&base))
            .map_or(0, |base| load_ms(base, tier));
        DECIDE_MS + load_ms(spec, tier) + base_ms + queue
    }

    pub(super) fn enqueue(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = State::Waiting;
        let (target, class, deadline) = (request.target, request.class, request.deadline);
        self.queues.entry(target).or_default().push(id, class, deadline);
        self.dispatch(target, out);
    }

    /// Sends what can be sent to the target's replicas; asks for one if there is none.
    pub(super) fn dispatch(&mut self, target: Target, out: &mut Vec<Effect>) {
        while let Some(id) = self.queues.get(&target).and_then(|queue| queue.first()) {
            let request = &self.requests[&id];
            let mut candidates = self.candidates(target, request.prefix, &request.avoid);
            if candidates.is_empty() && !request.avoid.is_empty() {
                candidates = self.candidates(target, request.prefix, &[]);
            }
            let Some(index) = self.policies.router.pick(&candidates, &mut self.rng) else { break };
            if let Some(queue) = self.queues.get_mut(&target) {
                queue.picked();
            }
            self.send(id, candidates[index].endpoint, out);
        }
        if let (Target::Model(model), Some(queue)) = (target, self.queues.get(&target))
            && let Some((deadline, class)) = queue.pressure()
        {
            self.want(model, deadline, class, out);
        }
    }

    /// Replicas that can take one more request of this entry now.
    fn candidates(&self, target: Target, prefix: u64, avoid: &[EndpointKey]) -> Vec<Candidate> {
        match target {
            Target::Model(model) => self
                .view
                .replicas(model)
                .filter(|(endpoint, phase)| {
                    let misplaced = self.misplaced.get(&(*endpoint, model));
                    let current = self.view.endpoint_version(*endpoint);
                    *phase == Phase::Ready && misplaced.is_none_or(|version| *version < current)
                })
                .filter_map(|(endpoint, _)| self.candidate(endpoint, prefix, avoid))
                .collect(),
            Target::Plain(service) => {
                let endpoints = self.catalogue.services.get(&service);
                let endpoints = endpoints.map(|it| it.endpoints.as_slice()).unwrap_or_default();
                let found = endpoints.iter();
                found.filter_map(|endpoint| self.candidate(*endpoint, prefix, avoid)).collect()
            }
        }
    }

    fn candidate(
        &self,
        endpoint: EndpointKey,
        prefix: u64,
        avoid: &[EndpointKey],
    ) -> Option<Candidate> {
        let row = self.view.endpoint(endpoint)?;
        let contact = self.contacts.get(endpoint.index()).cloned().unwrap_or_default();
        let left = row.leaving || contact.left_owner == Some(owner(row));
        let away = self.now < contact.suspect_until || self.now < contact.busy_until;
        let full = u64::from(contact.running) >= row.slots;
        if left || away || full || self.avoided.contains(&endpoint) || avoid.contains(&endpoint) {
            return None;
        }
        let name = self.view.endpoint_name(endpoint);
        let affinity = match prefix {
            0 => 0,
            prefix => hash_bytes(name.as_bytes()) ^ prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        Some(Candidate {
            endpoint,
            own: contact.running,
            reported: contact.reported.saturating_sub(contact.running),
            age_ms: self.now.since(contact.reported_at),
            slots: row.slots as u32,
            near: row.zone == self.profile.zone,
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
        request.state = State::Sent { endpoint, call, began: false };
        request.tries += 1;
        request.sent_at = now;
        let (target, class, deadline) = (request.target, request.class, request.deadline);
        let (org, claimed) = (request.org, request.claim.is_some());
        if let Some(queue) = self.queues.get_mut(&target) {
            queue.remove(id, class, deadline);
            if queue.is_empty() {
                self.queues.remove(&target);
            }
        }
        self.contact(endpoint).running += 1;
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

    pub(super) fn began(&mut self, id: RequestId) {
        if let Some(Request { state: State::Sent { began, .. }, .. }) = self.requests.get_mut(&id) {
            *began = true;
        }
    }

    pub(super) fn ended(
        &mut self,
        id: RequestId,
        load: u32,
        answer: Option<super::Answer>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.forget(id) else { return };
        let took = self.now.since(request.sent_at) as f64;
        let average = self.service_ms.entry(request.target).or_insert(took);
        *average += (took - *average) * SERVICE_WEIGHT;
        if let State::Sent { endpoint, .. } | State::Cancelling { endpoint, .. } = request.state {
            self.report_load(endpoint, load);
            let contact = self.contact(endpoint);
            contact.silences = 0;
        }
        if let (Some(claim), Some(answer)) = (request.claim, answer) {
            self.close_claim(claim, answer, out);
        }
        self.dispatch(request.target, out);
    }

    fn report_load(&mut self, endpoint: EndpointKey, load: u32) {
        let now = self.now;
        let contact = self.contact(endpoint);
        contact.reported = load;
        contact.reported_at = now;
    }

    /// Takes a sent request back; gives its endpoint.
    fn take_back(&mut self, id: RequestId) -> Option<EndpointKey> {
        let request = self.requests.get_mut(&id)?;
        let State::Sent { endpoint, .. } = request.state else { return None };
        request.state = State::Waiting;
        if !request.avoid.contains(&endpoint) {
            request.avoid.push(endpoint);
        }
        let contact = self.contact(endpoint);
        contact.running = contact.running.saturating_sub(1);
        Some(endpoint)
    }

    /// The side promises that the call will not run, so it may go elsewhere whatever it is.
    pub(super) fn declined(
        &mut self,
        id: RequestId,
        why: Decline,
        load: u32,
        out: &mut Vec<Effect>,
    ) {
        if let Some(Request { state: State::Cancelling { .. }, .. }) = self.requests.get(&id) {
            return self.cancelled(id, CancelAnswer::NotRun, out);
        }
        let Some(endpoint) = self.take_back(id) else { return };
        self.report_load(endpoint, load);
        let target = self.requests[&id].target;
        match why {
            Decline::Busy => {
                let pause = self.random() % BUSY_MS + 1;
                let until = self.now + pause;
                self.contact(endpoint).busy_until = until;
            }
            Decline::Leaving => {
                // The side that was asked says so, and not the one that owns the endpoint by now.
                let owner = self.requests[&id].owner;
                self.contact(endpoint).left_owner = Some(owner);
            }
            Decline::NotLoaded => {
                if let Target::Model(model) = target {
                    let version = self.view.endpoint_version(endpoint);
                    self.misplaced.insert((endpoint, model), version);
                }
            }
            Decline::Expired => {
                return self.refuse_unrun(id, Refusal::not_run(RefusalKind::Expired), out);
            }
            Decline::EndpointDown => self.silent(endpoint),
            Decline::OtherSession | Decline::Cancelled => {}
        }
        self.send_again(id, out);
    }

    /// The call never left: it may go elsewhere whatever it is.
    pub(super) fn unsent(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(Request { state: State::Cancelling { .. }, .. }) = self.requests.get(&id) {
            return self.cancelled(id, CancelAnswer::NotRun, out);
        }
        if let Some(endpoint) = self.take_back(id) {
            self.note_silence(id, endpoint);
            self.send_again(id, out);
        }
    }

    /// Puts a request that surely did not run back into its queue, within the retry budget.
    fn send_again(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let tries = self.requests.get(&id).map_or(0, |request| request.tries);
        if tries >= TRY_LIMIT || self.retry_tokens < 1.0 {
            let refusal = Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS);
            return self.refuse_unrun(id, refusal, out);
        }
        self.retry_tokens -= 1.0;
        self.enqueue(id, out);
    }

    /// The call was sent and may have run; only one that may be repeated is sent again, and only
    /// while the caller has seen nothing of its answer.
    pub(super) fn lost(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (endpoint, began) = match request.state {
            State::Sent { endpoint, began, .. } => (endpoint, began),
            State::Cancelling { .. } => {
                return self.cancelled(id, CancelAnswer::Unknown, out);
            }
            State::Claiming | State::Waiting => return,
        };
        let again = request.repeatable && !began && request.tries < TRY_LIMIT;
        self.note_silence(id, endpoint);
        if again && self.retry_tokens >= 1.0 {
            self.take_back(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.may_have_run = true;
            }
            return self.send_again(id, out);
        }
        let ran = if began { Ran::Yes } else { Ran::Unknown };
        self.refuse(id, Refusal { kind: RefusalKind::Lost, ran, retry_ms: None }, out);
    }

    pub(super) fn spent(&mut self, id: RequestId, ran: Ran, out: &mut Vec<Effect>) {
        match ran {
            Ran::No => {
                let refusal = Refusal::not_run(RefusalKind::Overloaded).retry_in(LOAD_RETRY_MS);
                self.refuse_unrun(id, refusal, out);
            }
            Ran::Unknown | Ran::Yes => {
                self.refuse(id, Refusal { kind: RefusalKind::Lost, ran, retry_ms: None }, out);
            }
        }
    }

    /// Refuses a request whose last sending surely did not run, and gives up its claim.
    ///
    /// An earlier sending may have run all the same: one whose side was lost is sent again if it may
    /// be repeated, and a refusal of the second sending says nothing of the first.
    pub(super) fn refuse_unrun(&mut self, id: RequestId, refusal: Refusal, out: &mut Vec<Effect>) {
        if self.requests.get(&id).is_some_and(|request| request.may_have_run) {
            return self.refuse(id, Refusal { ran: Ran::Unknown, ..refusal }, out);
        }
        let claim = self.requests.get_mut(&id).and_then(|request| request.claim.take());
        if let Some(claim) = claim {
            self.drop_claim(claim, out);
        }
        self.refuse(id, refusal, out);
    }

    /// Takes note that the side that a request was sent to did not answer.
    ///
    /// What an earlier process beside the endpoint left unanswered says nothing of the present one.
    fn note_silence(&mut self, id: RequestId, endpoint: EndpointKey) {
        let asked = self.requests.get(&id).map(|request| request.owner);
        let present = self.view.endpoint(endpoint).map(owner);
        if asked == present {
            self.silent(endpoint);
        }
    }

    /// Leaves an endpoint alone for a while, longer each time.
    ///
    /// All calls that were on their way to a side when it ended are lost at one moment, and count as
    /// one silence: six of them once doubled the pause six times, and callers of the side's successor
    /// waited for 13 s.
    pub(super) fn silent(&mut self, endpoint: EndpointKey) {
        let now = self.now;
        let contact = self.contact(endpoint);
        if now < contact.suspect_until {
            return;
        }
        contact.silences = (contact.silences + 1).min(16);
        let pause = (SUSPECT_MS << (contact.silences - 1)).min(SUSPECT_LIMIT_MS);
        contact.suspect_until = now + pause;
    }

    /// Gives every request whose deadline has passed its final answer, or asks the side for it.
    pub(super) fn expire(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let due = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        let due = due.map(|(_, id)| *id).collect::<Vec<_>>();
        for id in due {
            self.expire_one(id, out);
        }
    }

    fn expire_one(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let until = self.now + CANCEL_GRACE_MS;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.state {
            State::Waiting => {
                let refusal = Refusal::not_run(RefusalKind::Expired).retry_in(LOAD_RETRY_MS);
                self.refuse_unrun(id, refusal, out);
            }
            // The claim may be in the table, but nobody has sent the call.
            State::Claiming => {
                self.refuse_unrun(id, Refusal::not_run(RefusalKind::Expired), out);
            }
            State::Sent { endpoint, call, began } => {
                request.state = State::Cancelling { endpoint, call, began, until };
                out.push(Effect::Cancel { id, call, endpoint });
            }
            State::Cancelling { until, .. } if until <= self.now => {
                self.cancelled(id, CancelAnswer::Unknown, out);
            }
            State::Cancelling { .. } => {}
        }
    }

    pub(super) fn cancelled(&mut self, id: RequestId, answer: CancelAnswer, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let State::Cancelling { began, .. } = request.state else { return };
        let ran = if began { Ran::Yes } else { ran(answer) };
        let refusal = Refusal { kind: RefusalKind::Expired, ran, retry_ms: None };
        match ran {
            Ran::No => self.refuse_unrun(id, refusal, out),
            Ran::Unknown | Ran::Yes => self.refuse(id, refusal, out),
        }
    }

    pub(super) fn caller_gone(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.state {
            State::Sent { endpoint, call, .. } => {
                out.push(Effect::Cancel { id, call, endpoint });
                self.forget(id);
            }
            State::Cancelling { .. } => drop(self.forget(id)),
            State::Claiming | State::Waiting => {
                let claim = self.forget(id).and_then(|request| request.claim);
                if let Some(claim) = claim {
                    self.drop_claim(claim, out);
                }
            }
        }
    }

    /// Refuses all that wait for a model that cannot be loaded.
    pub(super) fn refuse_waiting(
        &mut self,
        target: Target,
        kind: RefusalKind,
        out: &mut Vec<Effect>,
    ) {
        let ids = self.queues.get(&target).map(|queue| queue.ids()).unwrap_or_default();
        for id in ids {
            self.refuse_unrun(id, Refusal::not_run(kind).retry_in(ROOM_RETRY_MS), out);
        }
    }

    pub(super) fn list_models(&mut self, id: RequestId, key: &ApiKeyHash, out: &mut Vec<Effect>) {
        let Some(org) = self.catalogue.organisation_of(key) else {
            let refusal = Refusal::not_run(RefusalKind::Unauthorised);
            return out.push(Effect::Models(id, Err(refusal)));
        };
        let models = self.catalogue.models.values().filter(|model| {
            self.catalogue.services.get(&model.service).is_some_and(|it| it.org == org)
        });
        let mut names = models.map(|model| model.name.clone()).collect::<Vec<_>>();
        names.sort_unstable();
        out.push(Effect::Models(id, Ok(names)));
    }
}

/// Names the side process that owns an endpoint. The epoch alone does not: it begins anew when an
/// instance was gone and its row was removed.
fn owner(row: &EndpointRow) -> u64 {
    hash_bytes(format!("{}/{}", row.epoch, row.address).as_bytes())
}
