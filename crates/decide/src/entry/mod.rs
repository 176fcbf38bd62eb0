//! The reducer of an entry process: callers' requests, and the models whose home it is.

mod claims;
mod cleanup;
mod config;
mod home;
mod queue;
mod release;
mod requests;
mod state;
mod types;

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
    home::Demand,
    types::{Answer, Arrival, Effect, EntryProfile, Event, Listed, Policies, RequestId, Wish},
};
use self::{
    claims::Claim,
    config::TextState,
    home::{DemandState, Home},
    queue::WaitQueue,
};
use crate::{
    call::CancelAnswer,
    feed::{Feed, Page, Peer, STALE_MS},
    log::LogEvent,
    placement::NoPlace,
    refusal::{Ran, Refusal, RefusalKind},
    rows::{MemberRow, member_key},
    view::{Change, View},
};

/// A decision without an answer is looked into after this time, in milliseconds.
const DECISION_PATIENCE_MS: u64 = 3_000;
/// How often the slow chores run, in milliseconds.
const CHORES_MS: u64 = 1_000;

#[derive(Debug)]
enum State {
    /// Its claim is being written.
    Claiming,
    /// It stands in its queue.
    Waiting,
    /// It was sent.
    Sent { endpoint: EndpointKey, call: u64, began: bool },
    /// It was cancelled at its deadline; the side has until then to say whether it ran.
    Cancelling { endpoint: EndpointKey, call: u64, began: bool, until: Millis },
}

#[derive(Debug)]
struct Request {
    target: Target,
    org: OrgKey,
    class: Class,
    deadline: Millis,
    sent_at: Millis,
    repeatable: bool,
    prefix: u64,
    tries: u8,
    avoid: Vec<EndpointKey>,
    owner: u64,
    may_have_run: bool,
    claim: Option<Claim>,
    state: State,
}

/// What this process has seen of an endpoint.
#[derive(Debug, Clone, Default)]
struct Contact {
    running: u32,
    reported: u32,
    reported_at: Millis,
    suspect_until: Millis,
    silences: u32,
    busy_until: Millis,
    left_owner: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Load(ModelKey),
    Unload(ModelKey, EndpointKey),
    Cleanup,
    Member,
    Claim(RequestId),
    CloseClaim,
}

#[derive(Debug)]
struct Decision {
    purpose: Purpose,
    endpoint: Option<EndpointKey>,
    txn: Txn,
    since: Millis,
}

/// The reducer.
pub struct Entry {
    profile: EntryProfile,
    policies: Policies,
    rng: SmallRng,
    now: Millis,
    view: View,
    catalogue: Catalogue,
    text: TextState,
    requests: Map<RequestId, Request>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    queues: Map<Target, WaitQueue>,
    per_org: Map<OrgKey, usize>,
    contacts: Vec<Contact>,
    misplaced: Map<(EndpointKey, ModelKey), u64>,
    retry_tokens: f64,
    service_ms: Map<Target, f64>,
    next_call: u64,
    decisions: Map<u64, Decision>,
    next_decision: u64,
    orders: u64,
    demands: Map<ModelKey, DemandState>,
    homes: Map<ModelKey, Home>,
    reports: Map<ModelKey, Millis>,
    loading_since: Map<ModelKey, Millis>,
    cooldowns: Map<ModelKey, (u32, Millis)>,
    feed: Feed,
    answered_at: Option<Millis>,
    listed: Map<String, Listed>,
    absent: Map<String, Millis>,
    owners: Map<EndpointKey, u64>,
    list_seen: bool,
    avoided: Set<EndpointKey>,
    members: Vec<Peer>,
    store_up: bool,
    slot: Option<usize>,
    chores: Millis,
    draining: bool,
    drained: bool,
}

impl Entry {
    /// The reducer of a process that has just started.
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
            text: TextState::default(),
            requests: Map::default(),
            deadlines: BTreeSet::new(),
            queues: Map::default(),
            per_org: Map::default(),
            contacts: Vec::new(),
            misplaced: Map::default(),
            retry_tokens: requests::RETRY_LIMIT,
            service_ms: Map::default(),
            next_call: 0,
            decisions: Map::default(),
            next_decision: 0,
            orders: 0,
            demands: Map::default(),
            homes: Map::default(),
            reports: Map::default(),
            loading_since: Map::default(),
            cooldowns: Map::default(),
            feed,
            answered_at: None,
            listed: Map::default(),
            absent: Map::default(),
            owners: Map::default(),
            list_seen: false,
            avoided: Set::default(),
            members: Vec::new(),
            store_up: false,
            slot: None,
            chores: now,
            draining: false,
            drained: false,
        }
    }

    /// Takes in one event.
    pub fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick { minute } => self.tick(minute, out),
            Event::Rows(rows) => self.read_rows(&rows, out),
            Event::Told(rows) => self.told(&rows, out),
            Event::Fed(id, page) => self.fed(id, page, out),
            Event::Pull { pull, since } => self.pulled(pull, since, out),
            Event::Text { version, text } => self.whole_text(version, text, out),
            Event::Instances(list) => self.instances(list, out),
            Event::Arrive(arrival) => self.arrive(arrival, out),
            Event::List { id, key } => self.list_models(id, &key, out),
            Event::Began(id, call) if self.stands(id, call) => self.began(id),
            Event::Ended { id, call, load, answer } if self.stands(id, call) => {
                self.ended(id, load, answer, out);
            }
            Event::Declined { id, call, why, load } if self.stands(id, call) => {
                self.declined(id, why, load, out);
            }
            Event::Unsent(id, call) if self.stands(id, call) => self.unsent(id, out),
            Event::Lost(id, call) if self.stands(id, call) => self.lost(id, out),
            Event::Spent(id, call, ran) if self.stands(id, call) => self.spent(id, ran, out),
            Event::Cancelled(id, call, answer) if self.stands(id, call) => {
                self.cancelled(id, answer, out);
            }
            Event::Began(..)
            | Event::Ended { .. }
            | Event::Declined { .. }
            | Event::Unsent(..)
            | Event::Lost(..)
            | Event::Spent(..)
            | Event::Cancelled(..) => {}
            Event::CallerGone(id) => self.caller_gone(id, out),
            Event::Silent(endpoint) => self.silent(endpoint),
            Event::Demand(demand) => self.demanded(demand, out),
            Event::Heard(model) => self.heard(&model),
            Event::Verdict { model, kind } => self.verdict(&model, kind, out),
            Event::Committed(id, outcome) => self.committed(id, outcome, out),
            Event::ClaimRead(id, row) => self.claim_read(id, row, out),
            Event::Drain => self.drain(out),
        }
        self.finish_drain(out);
    }

    fn tick(&mut self, minute: u16, out: &mut Vec<Effect>) {
        self.expire(out);
        self.run_feed(out);
        self.time_out_decisions(out);
        self.register(out);
        self.retry_loads(out);
        let targets = self.queues.keys().copied().collect::<Vec<_>>();
        for target in targets {
            self.dispatch(target, out);
        }
        if self.now.since(self.chores) >= CHORES_MS {
            self.chores = self.now;
            self.refetch_text(out);
            self.clean_up(out);
            self.home_chores(minute, out);
        }
    }

    fn run_feed(&mut self, out: &mut Vec<Effect>) {
        let jitter = self.random();
        let mut effects = Vec::new();
        // By reference: a copy of all members with each tick was most of an idle entry's time.
        let listed;
        let peers = if self.members.is_empty() {
            listed = self.listed_entries();
            &listed
        } else {
            &self.members
        };
        self.feed.tick(self.now, peers, jitter, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
        self.judge_store(out);
    }

    /// The entries of the platform's list, for as long as the table has named none.
    fn listed_entries(&self) -> Vec<Peer> {
        let listed = self.listed.values().filter(|it| it.entry && !it.leaving);
        listed.map(|it| it.peer.clone()).collect()
    }

    fn pulled(&mut self, pull: u64, since: u64, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.feed.pull(self.now, pull, since, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
    }

    fn fed(&mut self, id: u64, page: Option<Page>, out: &mut Vec<Effect>) {
        let rows = self.feed.answered(self.now, id, page);
        self.judge_store(out);
        self.rows(&rows, out);
        let mut effects = Vec::new();
        self.feed.answer_pulls(self.now, &mut effects);
        out.extend(effects.into_iter().map(Effect::Feed));
    }

    /// Takes in rows that came from the table itself.
    fn read_rows(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.answered_at = Some(self.now);
        self.feed.learned(rows);
        self.judge_store(out);
        self.rows(rows, out);
        self.rows_read(rows, out);
    }

    /// Takes in rows that were committed, but may be ahead of others that are not known yet.
    fn told(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.feed.learned(rows);
        self.rows(rows, out);
    }

    /// The table counts as up while anything that it confirmed is fresh, here or up the feed.
    fn judge_store(&mut self, out: &mut Vec<Effect>) {
        let direct = self.answered_at.is_some_and(|at| self.now.since(at) < STALE_MS);
        let up = direct || self.feed.age(self.now) < STALE_MS;
        if self.store_up != up {
            self.store_up = up;
            out.push(Effect::Log(LogEvent::new("store").with("up", up)));
        }
    }

    fn rows(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        self.text.confirmed |= self.store_up;
        let mut touched = Vec::new();
        for row in rows {
            match self.view.absorb(row) {
                Some(Change::Endpoint(key, models)) => {
                    self.note_owner(key);
                    touched.extend(models);
                }
                Some(Change::Model(model)) => self.note_failures(model, out),
                Some(Change::Members) => self.recount_members(),
                Some(Change::Head(head)) => self.text.target = Some(head),
                Some(Change::Delta(delta)) => self.text.keep_delta(delta),
                Some(Change::Other) | None => {}
            }
        }
        self.advance_text(out);
        touched.sort_unstable();
        touched.dedup();
        for model in touched {
            self.replicas_changed(model, out);
        }
    }

    fn recount_members(&mut self) {
        let leaves = |name: &str| self.listed.get(name).is_some_and(|it| it.leaving);
        let members = self.view.members().filter(|(name, _)| !leaves(name) && !self.gone(name));
        let members = members.map(|(name, row)| Peer {
            name: name.to_owned(),
            address: row.address.clone(),
            zone: row.zone.clone(),
        });
        let members = members.collect::<Vec<_>>();
        // Reviewing the homes costs a hash for each member and warm model; the list is read each 2 s.
        if members != self.members {
            self.members = members;
            self.review_homes();
        }
    }

    /// Writes the own member row once the table answers.
    fn register(&mut self, out: &mut Vec<Effect>) {
        let own = self.view.member(&self.profile.instance);
        let current = own.row.as_ref().is_some_and(|row| row.session == self.profile.session);
        if current || self.draining || !self.store_up || self.deciding(&Purpose::Member) {
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
        self.decide(Purpose::Member, None, txn, out);
    }

    fn deciding(&self, purpose: &Purpose) -> bool {
        self.decisions.values().any(|decision| decision.purpose == *purpose)
    }

    fn decide(
        &mut self,
        purpose: Purpose,
        endpoint: Option<EndpointKey>,
        txn: Txn,
        out: &mut Vec<Effect>,
    ) {
        self.next_decision += 1;
        let id = self.next_decision;
        let since = self.now;
        out.push(Effect::Commit(id, txn.clone()));
        self.decisions.insert(id, Decision { purpose, endpoint, txn, since });
    }

    /// A number that no other decision of any process has.
    fn new_order(&mut self, count: u64) -> u64 {
        let first = self.orders;
        self.orders += count;
        let name = format!("{}/{}/{first}", self.profile.instance, self.profile.session);
        hash_bytes(name.as_bytes()) >> 1
    }

    fn committed(&mut self, id: u64, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(decision) = self.decisions.remove(&id) else { return };
        if let Outcome::Committed(version) = outcome {
            let rows = decision.txn.writes.iter().cloned();
            let rows = rows.map(|it| Row { key: it.key, version, body: it.body });
            let rows = rows.collect::<Vec<_>>();
            self.read_rows(&rows, out);
        }
        match decision.purpose {
            Purpose::Claim(request) => self.claim_committed(request, outcome, out),
            Purpose::CloseClaim => {}
            purpose => {
                self.settle(&purpose, decision.endpoint, &decision.txn, outcome, out);
            }
        }
    }

    /// Goes on after a decision of the home.
    ///
    /// After a conflict or a lost answer the rows are read back. What they say is the truth either
    /// way: if the transaction took effect after all, the view shows its replica and nothing more
    /// is decided; if it is still on its way, the versions that it checks are the ones that the
    /// next decision checks too, so only one of the two can take effect.
    fn settle(
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
                    out.push(Effect::Poke { endpoint, address, from });
                }
            }
            Outcome::Conflict | Outcome::Unknown => {
                out.push(Effect::Read(txn.checks.iter().map(|it| it.key.clone()).collect()));
            }
        }
        if let Purpose::Load(model) = purpose {
            self.load_settled(*model, endpoint, outcome, out);
        }
    }

    fn time_out_decisions(&mut self, out: &mut Vec<Effect>) {
        let late = |decision: &Decision| self.now.since(decision.since) >= DECISION_PATIENCE_MS;
        let late = self.decisions.iter().filter(|(_, decision)| late(decision));
        let late = late.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in late {
            self.committed(id, Outcome::Unknown, out);
        }
    }

    /// Names of the members that may decide for `item`, the first choice first.
    fn deciders(&self, item: &str) -> Vec<&str> {
        rendezvous_order(item, self.members.iter().map(|peer| peer.name.as_str()))
    }

    fn owns(&self, item: &str) -> bool {
        let mut best = None;
        for peer in &self.members {
            let score = rendezvous_score(item, &peer.name);
            best = best.max(Some((score, peer.name.as_str())));
        }
        best.is_none_or(|(_, name)| name == self.profile.instance)
    }

    fn contact(&mut self, key: EndpointKey) -> &mut Contact {
        if self.contacts.len() <= key.index() {
            self.contacts.resize_with(key.index() + 1, Contact::default);
        }
        &mut self.contacts[key.index()]
    }

    fn drain(&mut self, out: &mut Vec<Effect>) {
        if !self.draining {
            self.draining = true;
            out.push(Effect::Log(LogEvent::new("draining").with("requests", self.requests.len())));
        }
    }

    /// Gives up the own member row when the last request is answered, then stops.
    fn finish_drain(&mut self, out: &mut Vec<Effect>) {
        if !self.draining || self.drained || !self.requests.is_empty() {
            return;
        }
        self.drained = true;
        let own = self.view.member(&self.profile.instance);
        if own.row.is_some() && self.store_up {
            let mut txn = Txn::default();
            txn.put(member_key(&self.profile.instance), own.version, None);
            self.decide(Purpose::Member, None, txn, out);
        }
        out.push(Effect::Drained);
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }

    /// Whether a sending is the one that stands for its request now.
    ///
    /// News of an earlier one may come late: taken for news of the present one, a late decline would
    /// have a call that runs sent a second time.
    fn stands(&self, id: RequestId, call: u64) -> bool {
        self.current_call(id) == Some(call)
    }

    /// The sending that stands for a request now, if it was sent.
    pub fn current_call(&self, id: RequestId) -> Option<u64> {
        match self.requests.get(&id)?.state {
            State::Sent { call, .. } | State::Cancelling { call, .. } => Some(call),
            State::Claiming | State::Waiting => None,
        }
    }

    /// Whether a request's deadline has passed and its side was asked whether it ran.
    pub fn is_cancelling(&self, id: RequestId) -> bool {
        let state = self.requests.get(&id).map(|request| &request.state);
        matches!(state, Some(State::Cancelling { .. }))
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, out: &mut Vec<Effect>) {
        if self.forget(id).is_some() {
            out.push(Effect::Refuse(id, refusal));
        }
    }

    /// Takes a request out of every index.
    fn forget(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(count) = self.per_org.get_mut(&request.org) {
            *count = count.saturating_sub(1);
        }
        if let Some(queue) = self.queues.get_mut(&request.target) {
            queue.remove(id, request.class, request.deadline);
            if queue.is_empty() {
                self.queues.remove(&request.target);
            }
        }
        if let State::Sent { endpoint, .. } | State::Cancelling { endpoint, .. } = request.state {
            let contact = self.contact(endpoint);
            contact.running = contact.running.saturating_sub(1);
        }
        Some(request)
    }
}

/// The refusal that a failed plan means for those that wait.
fn refusal_of(reason: NoPlace) -> Option<RefusalKind> {
    match reason {
        NoPlace::ShareUsed => Some(RefusalKind::ShareUsed),
        NoPlace::Full => Some(RefusalKind::PoolFull),
        NoPlace::Unknown => Some(RefusalKind::Removed),
        NoPlace::Enough | NoPlace::Busy => None,
    }
}

/// Whether a call that was sent and given up ran, as the side says.
fn ran(answer: CancelAnswer) -> Ran {
    match answer {
        CancelAnswer::NotRun => Ran::No,
        CancelAnswer::Ran => Ran::Yes,
        CancelAnswer::Unknown => Ran::Unknown,
    }
}
