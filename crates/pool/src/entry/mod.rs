//! The entry's reducer: one request from its arrival to its end.

mod choose;
mod clock;
mod placement;
mod rules;
mod store_limit;
mod types;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use citronrill_base::{Map, Millis, ModelKey, Names, hash_bytes};
use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, SideState};

pub use self::rules::judge;
pub use self::types::{
    AnswerHead, Arrival, EntryEffect, EntryEvent, EntryProfile, FailureKind, Reason, Refusal,
    RequestId, Sending, Verdict,
};
use self::{choose::Choice, placement::OpenWant, rules::share, store_limit::StoreLimit};
use crate::{
    budget::RetryBudget,
    member::{MemberChange, full_name},
    pool::Pool,
    rate::Rate,
    text::{Repeat, ServingText},
};

/// Entries assumed while no side has said how many there are: small shares of a common budget are
/// safe, large ones are not.
const ASSUMED_ENTRIES: u32 = 8;
/// Entries counted at least: right after a start the others have not yet connected.
const MIN_ENTRIES: u32 = 3;
/// Part of the allowed ratio that is used: the window that is judged slides over arrivals at the
/// endpoints, some of which were sent before it began.
const RATIO_PART: f64 = 0.85;
/// Milliseconds before a request's end at which nothing new is begun for it.
const LAST_CALL_MS: u64 = 20;
/// Milliseconds in which the slots of an endpoint turn over once: a stream runs about that long, a
/// plain call less.
const WAVE_MS: f64 = 500.0;
/// Latency objectives for which a request waits for a slot at most: who has waited that long in a
/// queue that was worked out to be shorter is better told to come back.
const CROWD_TARGETS: u64 = 4;
/// Milliseconds that a request may wait for a slot whatever its objective.
const CROWD_MIN_MS: u64 = 500;
/// Sendings of one request at most, refusals included: a backstop beside the budget.
const SEND_LIMIT: u32 = 4;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It waits for a model or a free endpoint.
    Waiting,
    /// It was sent and no answer has begun.
    Sent,
    /// Its answer is being given.
    Passing,
}

/// One request in the entry's hands.
#[derive(Debug, Clone)]
struct Request {
    caller: String,
    service: String,
    repeat: Repeat,
    rank: u8,
    attempts: u32,
    target_ms: u64,
    /// The model's name and an adapter's, or empty.
    model: String,
    adapter: String,
    /// What must be held by an endpoint for it to run; `None` for a plain service.
    target: Option<ModelKey>,
    base: Option<ModelKey>,
    prefix: u64,
    arrived: Millis,
    ends: Millis,
    stage: Stage,
    /// When it was last sent.
    sent: Millis,
    /// Milliseconds from the last sending to the head of its answer.
    head_ms: u64,
    /// The instance that has it.
    at: Option<String>,
    /// Instances that had it and failed or refused it.
    tried: Vec<String>,
    /// Sendings after which it may have run.
    runs: u32,
    sends: u32,
    /// Whether it was counted as having found no replica with room.
    missed: bool,
}

/// When a planned stop ends what is in hand.
#[derive(Debug, Clone, Copy)]
struct Stop {
    /// Nothing waits after this: another entry serves it sooner than this one could.
    wait: Millis,
    /// Nothing is without an answer after this: the process ends.
    end: Millis,
}

/// Decides for callers' requests at one entry.
#[derive(Debug)]
pub struct PoolEntry {
    profile: EntryProfile,
    now: Millis,
    text: Option<Arc<ServingText>>,
    pool: Pool,
    names: Names<ModelKey>,
    requests: BTreeMap<RequestId, Request>,
    budgets: Map<String, RetryBudget>,
    wants: Map<ModelKey, OpenWant>,
    /// Requests that came for each model.
    asked: Map<ModelKey, Rate>,
    /// Requests that came for each model while no endpoint that is heard held it.
    away: Map<ModelKey, Rate>,
    /// Requests whose model found no place.
    misses: Map<ModelKey, Rate>,
    store: StoreLimit,
    stop: Option<Stop>,
    effects: Vec<EntryEffect>,
}

impl PoolEntry {
    /// An entry that knows nothing yet.
    pub fn new(profile: EntryProfile) -> PoolEntry {
        PoolEntry {
            profile,
            now: Millis(0),
            text: None,
            pool: Pool::default(),
            names: Names::default(),
            requests: BTreeMap::new(),
            budgets: Map::default(),
            wants: Map::default(),
            asked: Map::default(),
            away: Map::default(),
            misses: Map::default(),
            store: StoreLimit::default(),
            stop: None,
            effects: Vec::new(),
        }
    }

    /// Whether requests can be served: a text is known.
    pub fn ready(&self) -> bool {
        self.text.is_some()
    }

    /// The version of the text in force; 0 if none is known.
    pub fn text_version(&self) -> u64 {
        self.text.as_ref().map_or(0, |text| text.version)
    }

    /// The version of the list of instances.
    pub fn list_version(&self) -> u64 {
        self.pool.version
    }

    /// Requests in hand.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, now: Millis, event: EntryEvent) -> Vec<EntryEffect> {
        self.now = now;
        match event {
            EntryEvent::Text(text) => self.take_text(text),
            EntryEvent::Members(change) => self.take_members(change),
            EntryEvent::Side(address, state) => self.take_side(address, &state),
            EntryEvent::Declined(address, name) => self.declined(address, &name),
            EntryEvent::Arrive(arrival) => self.arrive(arrival),
            EntryEvent::Answer(id, sending, head) => {
                if self.is_current(id, sending) {
                    self.answer(id, head);
                }
            }
            EntryEvent::Fail(id, sending, kind) => {
                if self.is_current(id, sending) {
                    self.fail(id, kind);
                }
            }
            EntryEvent::Finish(id, complete) => self.finish(id, complete),
            EntryEvent::Leave(id) => self.leave(id),
            EntryEvent::Stop(wait_ms, end_ms) => {
                self.stop = Some(Stop { wait: now + wait_ms, end: now + end_ms });
            }
            EntryEvent::Tick => self.tick(),
        }
        std::mem::take(&mut self.effects)
    }

    /// Takes a text; one that is no newer changes nothing, so that an entry never goes back.
    fn take_text(&mut self, text: Arc<ServingText>) {
        if text.version <= self.text_version() {
            return;
        }
        let old = self.text_version();
        self.log(LogEvent::new("text").with("version", text.version).with("old", old));
        self.text = Some(text);
        self.tell_sides();
        self.retry_waiting();
    }

    fn take_members(&mut self, change: MemberChange) {
        let version = change.version;
        if self.pool.apply(change, &mut self.names, self.now) {
            let open = self.pool.endpoints.values().filter(|endpoint| endpoint.open()).count();
            let event = LogEvent::new("members").with("version", version);
            self.log(event.with("known", self.pool.endpoints.len()).with("open", open));
            self.tell_sides();
        }
        self.retry_waiting();
    }

    /// Names the endpoints whose sides are to be connected: those of services with models.
    fn tell_sides(&mut self) {
        let Some(text) = &self.text else { return };
        let engine = |name: &str| text.service(name).is_some_and(|one| one.engine.is_some());
        let members = self.pool.endpoints.values().map(|endpoint| &endpoint.member);
        let sides = members.filter(|member| engine(&member.service)).map(|member| member.address);
        let mut sides = sides.collect::<Vec<_>>();
        sides.sort_unstable();
        self.effects.push(EntryEffect::Sides(sides));
    }

    fn take_side(&mut self, address: SocketAddr, state: &SideState) {
        if let Some(heard) = self.pool.hear(address, state, &mut self.names, self.now) {
            if let Some(over) = heard.over {
                let event = LogEvent::new("superseded").with("instance", over);
                self.log(event.with("by", &state.instance).with("sequence", state.sequence));
            }
            self.learn_store();
            self.close_wants(address);
            self.retry_waiting();
        }
    }

    fn declined(&mut self, address: SocketAddr, name: &ModelName) {
        let now = self.now;
        let Some(endpoint) = self.pool.at(address) else { return };
        endpoint.decline(now);
        let event = LogEvent::new("want_declined").with("at", &endpoint.member.instance);
        let full = full_name(&name.model, &name.adapter);
        let key = self.names.intern(&full);
        if name.adapter.is_empty() {
            // Another side may have room at once.
            self.wants.retain(|held, want| *held != key || !want.is_at(address));
        } else if let Some(want) = self.wants.get_mut(&key) {
            want.decline(address, now);
        }
        self.log(event.with("model", full));
    }

    fn arrive(&mut self, arrival: Arrival) {
        let id = arrival.id;
        match self.admit(&arrival) {
            Ok(request) => {
                let (now, service) = (self.now, request.service.clone());
                self.budget(&service).first(now);
                self.requests.insert(id, request);
                self.dispatch(id);
            }
            Err(reason) => {
                self.log(
                    LogEvent::new("refused")
                        .with("id", arrival.caller)
                        .with("reason", reason.word())
                        .with("text", self.text_version()),
                );
                let retry_ms = (reason == Reason::NoText).then_some(NO_TEXT_RETRY_MS);
                self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
            }
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> Result<Request, Reason> {
        let text = self.text.clone().ok_or(Reason::NoText)?;
        let route = text.route(&arrival.host, &arrival.path).ok_or(Reason::NoRoute)?;
        let service = share(route, &arrival.caller).ok_or(Reason::NoRoute)?;
        let (model, adapter) = arrival.model.split_once('/').unwrap_or((&arrival.model, ""));
        let engine = text.service(service).and_then(|service| service.engine.as_ref());
        let (mut target, mut base) = (None, None);
        if let Some(engine) = engine {
            engine.model(model).ok_or(Reason::NoModel)?;
            target = Some(self.names.intern(&arrival.model));
            let key = self.names.intern(model);
            self.asked.entry(key).or_default().add(self.now);
            if self.live_holders(key).next().is_none() {
                self.away.entry(key).or_default().add(self.now);
            }
            base = Some(key);
        }
        let allowed = arrival.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        Ok(Request {
            caller: arrival.caller.clone(),
            service: service.to_owned(),
            repeat: route.repeat,
            rank: route.rank,
            attempts: route.attempts.max(1),
            target_ms: route.target_ms,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            target,
            base,
            prefix: arrival.prefix,
            arrived: self.now,
            ends: self.now + allowed,
            stage: Stage::Waiting,
            sent: self.now,
            head_ms: 0,
            at: None,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            missed: false,
        })
    }

    /// Sends a waiting request, lets it wait, or refuses it.
    fn dispatch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage != Stage::Waiting {
            return;
        }
        if request.ends.since(self.now) < LAST_CALL_MS {
            self.refuse(id, Reason::Expired);
            return;
        }
        match self.choose(request) {
            Choice::Send(instance) => self.send(id, &instance),
            Choice::Fetch => self.want(id),
            Choice::Crowded => self.crowd(id),
            Choice::Refuse(reason) => self.refuse(id, reason),
        }
    }

    /// Lets a request wait for a slot, unless it cannot get one in time.
    ///
    /// Answers a burst beyond what the endpoints carry: the queue is as long as can be worked off
    /// before its last request's end, and whoever comes after is told so at once.
    fn crowd(&mut self, id: RequestId) {
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let same = |one: &&Request| {
            one.stage == Stage::Waiting
                && one.service == request.service
                && one.base == request.base
                && one.rank <= request.rank
        };
        let ahead = self.requests.range(..id).map(|(_, one)| one).filter(same).count();
        let holders = self.pool.endpoints.values().filter(|one| {
            one.open()
                && one.member.service == request.service
                && request.base.is_none_or(|base| one.holding.models.contains(&base))
        });
        let slots = holders.map(|one| one.member.slots).sum::<u32>();
        let entries = self.entries();
        let rounds = (ahead + 1) as f64 * f64::from(entries) / f64::from(slots.max(1));
        let left = request.ends.since(self.now) as f64;
        let waited = self.now.since(request.arrived);
        let tired = waited > (CROWD_TARGETS * request.target_ms).max(CROWD_MIN_MS);
        if rounds * WAVE_MS > left - WAVE_MS || tired {
            self.refuse(id, Reason::Full);
        }
    }

    fn send(&mut self, id: RequestId, instance: &str) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        endpoint.own += 1;
        endpoint.load += 1;
        request.stage = Stage::Sent;
        request.sent = now;
        request.at = Some(instance.to_owned());
        request.sends += 1;
        let sending = Sending {
            number: request.sends,
            address: endpoint.member.address,
            instance: instance.to_owned(),
            remaining_ms: request.ends.since(now),
            rank: request.rank,
        };
        let event = LogEvent::new("sent")
            .with("id", &request.caller)
            .with("to", instance)
            .with("model", &request.model)
            .with("waited_ms", now.since(request.arrived))
            .with("load", endpoint.load)
            .with("list", self.pool.version)
            .with("sequence", endpoint.holding.sequence);
        if request.target.is_some() {
            let used = ModelName { model: request.model.clone(), adapter: request.adapter.clone() };
            self.effects.push(EntryEffect::Used(sending.address, used));
        }
        self.effects.push(EntryEffect::Send(id, sending));
        self.log(event);
    }

    /// Whether an event belongs to the last sending of a request.
    ///
    /// A request that is moved may have an answer of its first endpoint on the way; taken for the
    /// second one's, it would be given as an answer that is no longer held.
    fn is_current(&self, id: RequestId, sending: u32) -> bool {
        self.requests.get(&id).is_some_and(|one| one.stage == Stage::Sent && one.sends == sending)
    }

    fn answer(&mut self, id: RequestId, head: AnswerHead) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let verdict = judge(head, request.repeat);
        let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
        if let Some(endpoint) = endpoint {
            endpoint.load = head.load.unwrap_or(endpoint.load);
            if verdict == Verdict::Pass {
                request.head_ms = now.since(request.sent);
                endpoint.note_lag(request.head_ms, now);
            }
            if verdict != Verdict::NotRun {
                endpoint.note(verdict == Verdict::Failed || head.status >= 500);
            } else if head.status == 421 {
                // The endpoint does not hold what was believed: the belief is dropped until the
                // list or the side says something newer, or requests would go there in a loop.
                let target = request.target;
                endpoint.holding.keys.retain(|key| Some(*key) != target);
            }
        }
        match verdict {
            Verdict::Pass => self.pass(id),
            Verdict::NotRun => {
                let gone = request.at.clone().filter(|_| head.elsewhere);
                self.again(id, false, head.status, false);
                if let Some(instance) = gone {
                    self.log(LogEvent::new("superseded").with("instance", &instance));
                    self.pool.remove(&instance);
                    self.tell_sides();
                }
            }
            Verdict::Failed => {
                let own_failure = head.signed && !head.foreign && head.status >= 500;
                self.again(id, true, head.status, own_failure);
            }
        }
    }

    fn fail(&mut self, id: RequestId, kind: FailureKind) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let at = request.at.clone();
        if let Some(endpoint) = at.and_then(|at| self.pool.endpoints.get_mut(&at)) {
            endpoint.note(true);
            if kind == FailureKind::Unreached {
                endpoint.avoid(now);
            }
        }
        self.again(id, kind == FailureKind::Broken, 0, false);
    }

    /// Tries a request again, or ends it; `passable` says that the endpoint's own failure is held
    /// and can be given to the caller.
    fn again(&mut self, id: RequestId, ran: bool, status: u16, passable: bool) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += u32::from(ran);
        let (runs, service) = (request.runs, request.service.clone());
        let exhausted = request.sends >= SEND_LIMIT || runs >= request.attempts;
        let barred = exhausted || runs > 0 && !request.repeat.may_rerun();
        let event = LogEvent::new("failed")
            .with("id", &request.caller)
            .with("from", request.at.as_deref().unwrap_or(""))
            .with("status", status)
            .with("ran", ran)
            .with("sends", request.sends)
            .with("barred", barred);
        self.log(event);
        let retry = !barred && self.budget(&service).take(now);
        if !retry && passable {
            self.pass(id);
            return;
        }
        self.release(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.extend(request.at.take());
        request.stage = Stage::Waiting;
        if retry {
            self.dispatch(id);
        } else {
            self.refuse(id, if runs > 0 { Reason::Broken } else { Reason::Full });
        }
    }

    fn pass(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Passing;
            self.effects.push(EntryEffect::Pass(id));
        }
    }

    fn finish(&mut self, id: RequestId, complete: bool) {
        let at = self.requests.get(&id).and_then(|request| request.at.clone());
        if let Some(endpoint) = at.and_then(|at| self.pool.endpoints.get_mut(&at)) {
            endpoint.note(!complete);
        }
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            self.log(
                LogEvent::new("finished")
                    .with("id", &request.caller)
                    .with("from", request.at.as_deref().unwrap_or(""))
                    .with("complete", complete)
                    .with("head_ms", request.head_ms)
                    .with("took_ms", self.now.since(request.arrived)),
            );
        }
    }

    fn leave(&mut self, id: RequestId) {
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            let age = self.now.since(request.arrived);
            self.log(LogEvent::new("left").with("id", &request.caller).with("after_ms", age));
        }
    }

    /// Takes a request off its endpoint's count.
    fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage == Stage::Waiting {
            return;
        }
        let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
        if let Some(endpoint) = endpoint {
            endpoint.own = endpoint.own.saturating_sub(1);
            endpoint.load = endpoint.load.saturating_sub(1);
        }
    }

    fn refuse(&mut self, id: RequestId, reason: Reason) {
        self.release(id);
        let Some(request) = self.requests.remove(&id) else { return };
        // A request whose first run broke and that then finds no second endpoint has run: a status
        // that promises otherwise would be a lie, whatever stopped the second.
        let lie = request.runs > 0 && reason.status() == NOT_RUN_STATUS;
        let reason = if lie { Reason::Broken } else { reason };
        let retry_ms = self.retry_after(reason, &request);
        let (holders, copies, coming) = request.base.map_or((0, 0, 0), |base| self.nearness(base));
        self.log(
            LogEvent::new("refused")
                .with("id", &request.caller)
                .with("reason", reason.word())
                .with("status", reason.status())
                .with("model", &request.model)
                .with("holders", holders)
                .with("copies", copies)
                .with("coming", coming)
                .with("after_ms", self.now.since(request.arrived))
                .with("sends", request.sends)
                .with("runs", request.runs)
                .with("text", self.text_version())
                .with("list", self.pool.version),
        );
        self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
    }

    /// When a refused caller may come back.
    ///
    /// The endpoints work off a full queue within about the latency objective, so half of that
    /// finds room again without a wave of callers at one moment; the caller's number spreads it.
    fn retry_after(&self, reason: Reason, request: &Request) -> Option<u64> {
        let spread = hash_bytes(request.caller.as_bytes()) % (request.target_ms / 4 + 1);
        match reason {
            Reason::Full | Reason::NoEndpoint | Reason::TooFar => {
                Some(request.target_ms / 2 + spread)
            }
            Reason::NoText => Some(NO_TEXT_RETRY_MS),
            // Any other entry takes it at once.
            Reason::Stopping => Some(STOPPING_RETRY_MS),
            Reason::Expired
            | Reason::NoRoute
            | Reason::NoModel
            | Reason::TimedOut
            | Reason::Broken => None,
        }
    }

    /// How many entries there are, by what the sides see.
    fn entries(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| endpoint.side.as_ref());
        let entries = sides.map(|side| side.entries).max().filter(|entries| *entries > 0);
        entries.map_or(ASSUMED_ENTRIES, |entries| entries.max(MIN_ENTRIES))
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let entries = f64::from(self.entries());
        let profile = &self.profile;
        let budget = self.budgets.entry(service.to_owned()).or_insert_with(|| {
            RetryBudget::new(profile.retry_ratio * RATIO_PART, profile.retry_window_ms)
        });
        budget.set_slack(profile.retry_slack / (entries + 1.0));
        budget
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(EntryEffect::Log(event));
    }
}

/// The status that promises that a request has not run and never will.
const NOT_RUN_STATUS: u16 = 503;
/// Milliseconds after which a caller may come back to an entry that knows no text yet: one second
/// is what a process takes from its start to its first text.
const NO_TEXT_RETRY_MS: u64 = 1_000;

/// Milliseconds after which a caller may come back when its entry is stopping: just enough not to
/// come in one wave.
const STOPPING_RETRY_MS: u64 = 50;
