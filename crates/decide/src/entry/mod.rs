//! The reducer of an entry process. It handles callers' requests and coordinates models.

mod claims;
mod cleanup;
mod config;
mod coordinator;
mod queue;
mod requests;
mod state;
mod types;
mod unload;

use std::collections::BTreeSet;

use citronrill_base::{
    EndpointKey, Key, Map, Millis, ModelKey, OrgKey, Outcome, Row, Set, Txn, hash_bytes,
    rendezvous_order, rendezvous_score,
};
use citronrill_config::{Catalogue, Class};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) use self::types::Target;
pub use self::{
    claims::ANSWER_LIMIT,
    coordinator::Demand,
    types::{
        Answer, Effect, EntryProfile, Event, IncomingRequest, ListedInstance, Policies, RequestId,
        RequestTarget,
    },
};
use self::{
    claims::Claim,
    config::ConfigState,
    coordinator::{Coordination, ReportedDemand},
    queue::WaitQueue,
};
use crate::{
    call::CancelAnswer,
    feed::{Feed, Page, Peer, STALE_MS},
    log::LogEvent,
    placement::PlacementError,
    refusal::{Ran, Refusal, RefusalKind},
    rows::{MemberRow, member_key},
    view::{Change, View},
};

/// A transaction without a reply counts as unknown after this time, in milliseconds.
const TXN_TIMEOUT_MS: u64 = 3_000;
/// Interval of the periodic maintenance, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 1_000;

/// Progress of a request.
#[derive(Debug)]
enum State {
    /// Its claim is being written.
    Claiming,
    /// It is queued.
    Waiting,
    /// An attempt is in flight.
    Sent { endpoint: EndpointKey, call: u64, response_started: bool },
    /// It was cancelled at its deadline; the side's report whether it ran is awaited until the
    /// time `until`.
    Cancelling { endpoint: EndpointKey, call: u64, response_started: bool, until: Millis },
}

#[derive(Debug)]
struct Request {
    target: Target,
    org: OrgKey,
    class: Class,
    deadline: Millis,
    sent_at: Millis,
    repeatable: bool,
    prefix_hash: u64,
    attempts: u8,
    excluded: Vec<EndpointKey>,
    owner: u64,
    may_have_run: bool,
    claim: Option<Claim>,
    state: State,
}

/// An endpoint's health and load as observed by this process.
#[derive(Debug, Clone, Default)]
struct EndpointHealth {
    in_flight: u32,
    reported_load: u32,
    reported_at: Millis,
    suspect_until: Millis,
    failures: u32,
    busy_until: Millis,
    leaving_owner: Option<u64>,
}

/// Why a transaction was started.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Load(ModelKey),
    Unload(ModelKey, EndpointKey),
    Cleanup,
    Member,
    Claim(RequestId),
    CloseClaim,
}

/// A transaction whose outcome is not known yet.
#[derive(Debug)]
struct PendingTxn {
    purpose: Purpose,
    endpoint: Option<EndpointKey>,
    txn: Txn,
    since: Millis,
}

/// The reducer of an entry process.
pub struct Entry {
    profile: EntryProfile,
    policies: Policies,
    rng: SmallRng,
    now: Millis,
    view: View,
    catalogue: Catalogue,
    config: ConfigState,
    requests: Map<RequestId, Request>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    queues: Map<Target, WaitQueue>,
    org_requests: Map<OrgKey, usize>,
    endpoint_health: Vec<EndpointHealth>,
    stale_replicas: Map<(EndpointKey, ModelKey), u64>,
    retry_tokens: f64,
    service_ms: Map<Target, f64>,
    next_call: u64,
    pending_txns: Map<u64, PendingTxn>,
    next_txn: u64,
    next_order: u64,
    demands: Map<ModelKey, ReportedDemand>,
    coordinations: Map<ModelKey, Coordination>,
    use_reports: Map<ModelKey, Millis>,
    loading_since: Map<ModelKey, Millis>,
    cooldowns: Map<ModelKey, (u32, Millis)>,
    feed: Feed,
    table_reply: Option<Millis>,
    instances: Map<String, ListedInstance>,
    absent_since: Map<String, Millis>,
    owner_epochs: Map<EndpointKey, u64>,
    instances_known: bool,
    departing: Set<EndpointKey>,
    members: Vec<Peer>,
    store_up: bool,
    day_slot: Option<usize>,
    last_maintenance: Millis,
    draining: bool,
    drained: bool,
}

impl Entry {
    /// Creates the reducer of a process that has just started.
    pub fn new(profile: EntryProfile, policies: Policies, now: Millis) -> Entry {
        let rng = SmallRng::seed_from_u64(profile.seed);
        let feed = Feed::new(&profile.instance, &profile.zone, now);
        Entry {
            profile,
            policies,
            rng,
            now,
            view: View::default(),
            catalogue: Catalogue::empty(),
            config: ConfigState::default(),
            requests: Map::default(),
            deadlines: BTreeSet::new(),
            queues: Map::default(),
            org_requests: Map::default(),
            endpoint_health: Vec::new(),
            stale_replicas: Map::default(),
            retry_tokens: requests::RETRY_BUDGET,
            service_ms: Map::default(),
            next_call: 0,
            pending_txns: Map::default(),
            next_txn: 0,
            next_order: 0,
            demands: Map::default(),
            coordinations: Map::default(),
            use_reports: Map::default(),
            loading_since: Map::default(),
            cooldowns: Map::default(),
            feed,
            table_reply: None,
            instances: Map::default(),
            absent_since: Map::default(),
            owner_epochs: Map::default(),
            instances_known: false,
            departing: Set::default(),
            members: Vec::new(),
            store_up: false,
            day_slot: None,
            last_maintenance: now,
            draining: false,
            drained: false,
        }
    }

    /// Processes one event.
    pub fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick { minute } => self.tick(minute, out),
            Event::Rows(rows) => self.apply_table_rows(&rows, out),
            Event::Announced(rows) => self.apply_announced_rows(&rows, out),
            Event::FeedAnswer(id, page) => self.feed_answered(id, page, out),
            Event::FeedPull { pull, since } => self.feed_pulled(pull, since, out),
            Event::Config { version, source } => self.config_fetched(version, source, out),
            Event::Instances(list) => self.update_instances(list, out),
            Event::Request(request) => self.handle_request(request, out),
            Event::ListModels { id, key } => self.list_models(id, &key, out),
            Event::ResponseStarted(id, call) if self.is_current(id, call) => {
                self.response_started(id)
            }
            Event::ResponseFinished { id, call, load, answer } if self.is_current(id, call) => {
                self.response_finished(id, load, answer, out);
            }
            Event::Declined { id, call, why, load } if self.is_current(id, call) => {
                self.declined(id, why, load, out);
            }
            Event::NotSent(id, call) if self.is_current(id, call) => self.not_sent(id, out),
            Event::ConnectionLost(id, call) if self.is_current(id, call) => {
                self.connection_lost(id, out)
            }
            Event::BodyConsumed(id, call, ran) if self.is_current(id, call) => {
                self.body_consumed(id, ran, out)
            }
            Event::CancelAnswered(id, call, answer) if self.is_current(id, call) => {
                self.cancel_answered(id, answer, out);
            }
            Event::ResponseStarted(..)
            | Event::ResponseFinished { .. }
            | Event::Declined { .. }
            | Event::NotSent(..)
            | Event::ConnectionLost(..)
            | Event::BodyConsumed(..)
            | Event::CancelAnswered(..) => {}
            Event::CallerDisconnected(id) => self.caller_disconnected(id, out),
            Event::Unresponsive(endpoint) => self.suspect(endpoint),
            Event::Demand(demand) => self.handle_demand(demand, out),
            Event::DemandAcked(model) => self.demand_acknowledged(&model),
            Event::LoadRefused { model, kind } => self.load_refused(&model, kind, out),
            Event::TxnFinished(id, outcome) => self.txn_finished(id, outcome, out),
            Event::ClaimRead(id, row) => self.claim_read(id, row, out),
            Event::Drain => self.drain(out),
        }
        self.finish_drain(out);
    }

    fn tick(&mut self, minute: u16, out: &mut Vec<Effect>) {
        self.expire(out);
        self.run_feed(out);
        self.time_out_txns(out);
        self.register(out);
        self.retry_loads(out);
        let targets = self.queues.keys().copied().collect::<Vec<_>>();
        for target in targets {
            self.dispatch(target, out);
        }
        if self.now.since(self.last_maintenance) >= MAINTENANCE_INTERVAL_MS {
            self.last_maintenance = self.now;
            self.refetch_config(out);
            self.clean_up(out);
            self.maintain_models(minute, out);
        }
    }

    fn run_feed(&mut self, out: &mut Vec<Effect>) {
        let jitter = self.random();
        let mut effects = Vec::new();
        // The members are borrowed: cloning all of them on every tick took most of an idle entry's
        // CPU time.
        let listed;
        let peers = if self.members.is_empty() {
            listed = self.listed_entries();
            &listed
        } else {
            &self.members
        };
        self.feed.tick(self.now, peers, jitter, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
        self.update_store_state(out);
    }

    /// Returns the entry processes in the platform's instance list, used until the platform
    /// table has member rows.
    fn listed_entries(&self) -> Vec<Peer> {
        let listed = self.instances.values().filter(|instance| instance.entry && !instance.leaving);
        listed.map(|instance| instance.peer.clone()).collect()
    }

    fn feed_pulled(&mut self, pull: u64, since: u64, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.feed.pull(self.now, pull, since, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
    }

    fn feed_answered(&mut self, id: u64, page: Option<Page>, out: &mut Vec<Effect>) {
        let rows = self.feed.apply_answer(self.now, id, page);
        self.update_store_state(out);
        self.apply_rows(&rows, out);
        let mut effects = Vec::new();
        self.feed.answer_pulls(self.now, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
    }

    /// Applies rows that were read from the platform table itself.
    fn apply_table_rows(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.table_reply = Some(self.now);
        self.feed.add_rows(rows);
        self.update_store_state(out);
        self.apply_rows(rows, out);
        self.resume_after_read(rows, out);
    }

    /// Applies committed rows that were received ahead of the feed; earlier rows may still be
    /// missing.
    fn apply_announced_rows(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.feed.add_rows(rows);
        self.apply_rows(rows, out);
    }

    /// Updates whether the platform table counts as up: it has answered this process recently, or
    /// the feed's data was confirmed recently.
    fn update_store_state(&mut self, out: &mut Vec<Effect>) {
        let direct = self.table_reply.is_some_and(|at| self.now.since(at) < STALE_MS);
        let up = direct || self.feed.age(self.now) < STALE_MS;
        if self.store_up != up {
            self.store_up = up;
            out.push(Effect::Log(LogEvent::new("store").with("up", up)));
        }
    }

    fn apply_rows(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.config.confirmed |= self.store_up;
        let mut touched = Vec::new();
        for row in rows {
            match self.view.apply(row) {
                Some(Change::Endpoint(key, models)) => {
                    self.update_owner(key);
                    touched.extend(models);
                }
                Some(Change::Model(model)) => self.update_cooldown(model, out),
                Some(Change::Members) => self.update_members(),
                Some(Change::Head(head)) => self.config.head = Some(head),
                Some(Change::Delta(delta)) => self.config.insert_delta(delta),
                Some(Change::Other) | None => {}
            }
        }
        self.advance_config(out);
        touched.sort_unstable();
        touched.dedup();
        for model in touched {
            self.replicas_changed(model, out);
        }
    }

    fn update_members(&mut self) {
        let leaves = |name: &str| self.instances.get(name).is_some_and(|instance| instance.leaving);
        let members = self.view.members().filter(|(name, _)| !leaves(name) && !self.is_gone(name));
        let members = members.map(|(name, row)| Peer {
            name: name.to_owned(),
            address: row.address.clone(),
            zone: row.zone.clone(),
        });
        let members = members.collect::<Vec<_>>();
        // `review_coordinations` computes a hash per member and warm model. The instance list is
        // read every 2 s, so it must not run while the members are unchanged.
        if members != self.members {
            self.members = members;
            self.review_coordinations();
        }
    }

    /// Writes this process's member row once the platform table answers.
    fn register(&mut self, out: &mut Vec<Effect>) {
        let own = self.view.member(&self.profile.instance);
        let current = own.row.as_ref().is_some_and(|row| row.session == self.profile.session);
        if current || self.draining || !self.store_up || self.is_pending(&Purpose::Member) {
            return;
        }
        let row = MemberRow {
            address: self.profile.address.clone(),
            zone: self.profile.zone.clone(),
            session: self.profile.session,
        };
        let mut txn = Txn::default();
        let body = prost::Message::encode_to_vec(&row);
        txn.put(member_key(&self.profile.instance), own.version, Some(body));
        self.commit(Purpose::Member, None, txn, out);
    }

    fn is_pending(&self, purpose: &Purpose) -> bool {
        self.pending_txns.values().any(|pending| pending.purpose == *purpose)
    }

    fn commit(
        &mut self,
        purpose: Purpose,
        endpoint: Option<EndpointKey>,
        txn: Txn,
        out: &mut Vec<Effect>,
    ) {
        self.next_txn += 1;
        let id = self.next_txn;
        let since = self.now;
        out.push(Effect::Commit(id, txn.clone()));
        self.pending_txns.insert(id, PendingTxn { purpose, endpoint, txn, since });
    }

    /// Reserves `count` consecutive order ids that no other process uses; returns the first.
    fn reserve_order_ids(&mut self, count: u64) -> u64 {
        let first = self.next_order;
        self.next_order += count;
        let name = format!("{}/{}/{first}", self.profile.instance, self.profile.session);
        hash_bytes(name.as_bytes()) >> 1
    }

    fn txn_finished(&mut self, id: u64, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending_txns.remove(&id) else { return };
        if let Outcome::Committed(version) = outcome {
            let rows = pending.txn.writes.iter().cloned();
            let rows = rows.map(|write| Row { key: write.key, version, body: write.body });
            let rows = rows.collect::<Vec<_>>();
            self.apply_table_rows(&rows, out);
        }
        match pending.purpose {
            Purpose::Claim(request) => self.claim_txn_finished(request, outcome, out),
            Purpose::CloseClaim => {}
            purpose => {
                self.decision_finished(&purpose, pending.endpoint, &pending.txn, outcome, out);
            }
        }
    }

    /// Handles the outcome of a coordinator's decision.
    ///
    /// After a conflict or a lost reply the rows are read back. If the transaction took effect
    /// after all, the view shows its replica and no further decision follows. If it is still in
    /// flight, it checks the same versions as the next decision, so only one of the two can take
    /// effect.
    fn decision_finished(
        &mut self,
        purpose: &Purpose,
        endpoint: Option<EndpointKey>,
        txn: &Txn,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        match outcome {
            Outcome::Committed(_) => {
                if let Some(endpoint) = endpoint
                    && let Some(row) = self.view.endpoint(endpoint)
                {
                    let (address, from) = (row.address.clone(), self.profile.address.clone());
                    out.push(Effect::NotifySide { endpoint, address, from });
                }
            }
            Outcome::Conflict | Outcome::Unknown => {
                out.push(Effect::Read(txn.checks.iter().map(|check| check.key.clone()).collect()));
            }
        }
        if let Purpose::Load(model) = purpose {
            self.load_txn_finished(*model, endpoint, outcome, out);
        }
    }

    fn time_out_txns(&mut self, out: &mut Vec<Effect>) {
        let late = |pending: &PendingTxn| self.now.since(pending.since) >= TXN_TIMEOUT_MS;
        let late = self.pending_txns.iter().filter(|(_, pending)| late(pending));
        let late = late.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in late {
            self.txn_finished(id, Outcome::Unknown, out);
        }
    }

    /// Names of the members in the order in which they are asked to coordinate `item`.
    fn coordinators(&self, item: &str) -> Vec<&str> {
        rendezvous_order(item, self.members.iter().map(|peer| peer.name.as_str()))
    }

    fn is_coordinator(&self, item: &str) -> bool {
        let mut best = None;
        for peer in &self.members {
            let score = rendezvous_score(item, &peer.name);
            best = best.max(Some((score, peer.name.as_str())));
        }
        best.is_none_or(|(_, name)| name == self.profile.instance)
    }

    fn health_mut(&mut self, key: EndpointKey) -> &mut EndpointHealth {
        if self.endpoint_health.len() <= key.index() {
            self.endpoint_health.resize_with(key.index() + 1, EndpointHealth::default);
        }
        &mut self.endpoint_health[key.index()]
    }

    fn drain(&mut self, out: &mut Vec<Effect>) {
        if !self.draining {
            self.draining = true;
            out.push(Effect::Log(LogEvent::new("draining").with("requests", self.requests.len())));
        }
    }

    /// Deletes this process's member row after the last request is answered, and reports that the
    /// drain is complete.
    fn finish_drain(&mut self, out: &mut Vec<Effect>) {
        if !self.draining || self.drained || !self.requests.is_empty() {
            return;
        }
        self.drained = true;
        let own = self.view.member(&self.profile.instance);
        if own.row.is_some() && self.store_up {
            let mut txn = Txn::default();
            txn.put(member_key(&self.profile.instance), own.version, None);
            self.commit(Purpose::Member, None, txn, out);
        }
        out.push(Effect::Drained);
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }

    /// Whether `call` is the current attempt of its request.
    ///
    /// An event of an earlier attempt may arrive late. If a late decline were applied to the
    /// current attempt, a call that is running would be sent a second time.
    fn is_current(&self, id: RequestId, call: u64) -> bool {
        self.current_call(id) == Some(call)
    }

    /// The number of a request's current attempt, if one is in flight.
    pub fn current_call(&self, id: RequestId) -> Option<u64> {
        match self.requests.get(&id)?.state {
            State::Sent { call, .. } | State::Cancelling { call, .. } => Some(call),
            State::Claiming | State::Waiting => None,
        }
    }

    /// Whether a request's deadline has passed and the side was asked whether the call ran.
    pub fn is_cancelling(&self, id: RequestId) -> bool {
        let state = self.requests.get(&id).map(|request| &request.state);
        matches!(state, Some(State::Cancelling { .. }))
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, out: &mut Vec<Effect>) {
        if self.remove_request(id).is_some() {
            out.push(Effect::Refuse(id, refusal));
        }
    }

    /// Removes a request from every index.
    fn remove_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(count) = self.org_requests.get_mut(&request.org) {
            *count = count.saturating_sub(1);
        }
        if let Some(queue) = self.queues.get_mut(&request.target) {
            queue.remove(id, request.class, request.deadline);
            if queue.is_empty() {
                self.queues.remove(&request.target);
            }
        }
        if let State::Sent { endpoint, .. } | State::Cancelling { endpoint, .. } = request.state {
            let health = self.health_mut(endpoint);
            health.in_flight = health.in_flight.saturating_sub(1);
        }
        Some(request)
    }
}

/// The refusal of waiting requests after a failed placement, if they are to be refused.
fn refusal_of(reason: PlacementError) -> Option<RefusalKind> {
    match reason {
        PlacementError::ShareUsed => Some(RefusalKind::ShareUsed),
        PlacementError::PoolFull => Some(RefusalKind::PoolFull),
        PlacementError::UnknownModel => Some(RefusalKind::NoLongerConfigured),
        PlacementError::AlreadyPlaced | PlacementError::Busy => None,
    }
}

/// Whether a cancelled call ran, by the side's answer.
fn ran_after_cancel(answer: CancelAnswer) -> Ran {
    match answer {
        CancelAnswer::NotRun => Ran::No,
        CancelAnswer::Ran => Ran::Yes,
        CancelAnswer::Unknown => Ran::Unknown,
    }
}
