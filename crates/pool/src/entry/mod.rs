//! The entry's reducer: one request from its arrival to its end.

mod admit;
mod choose;
mod clock;
mod demand;
mod exchange;
mod placement;
mod replicas;
mod resume;
mod rules;
mod silence;
mod stock;
mod store_limit;
mod types;
mod wants;
mod weights;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use citronrill_base::{Map, Millis, ModelKey, Names};
use citronrill_decide::LogEvent;
use citronrill_wire::{ModelName, SideState};

pub use self::rules::judge;
pub use self::types::{
    AnswerHead, Arrival, EntryEffect, EntryEvent, EntryProfile, FailureKind, Reason, Refusal,
    RequestId, Resume, Sending, SideLoss, TokenCount, Verdict,
};
use self::{
    choose::Choice, demand::Demand, exchange::SEND_LIMIT, resume::Losses, stock::Stock,
    store_limit::StoreLimit, wants::OpenWant,
};
use crate::{
    budget::RetryBudget,
    member::{MemberChange, full_name},
    pool::{Listed, Pool},
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
/// Milliseconds that an endpoint with room takes to the first event of a stream: a prompt of 9,000
/// tokens is read in 240.
const FIRST_EVENT_MS: u64 = 250;
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
    /// When its caller leaves if no event of its stream has come; never after `ends`.
    patient: Millis,
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
    tokens: TokenCount,
    /// Milliseconds without an event after which its caller leaves.
    patience: u64,
    /// Whether its caller has the head of the answer, so that nothing else can be said any more.
    begun: bool,
    /// The last event that its caller had.
    after: Option<u64>,
    /// The instance to which the memory of its last run was copied.
    backup: Option<String>,
    /// Whether its present answer has given bytes.
    moving: bool,
    /// Whether the retry budget has paid for its next sending.
    paid: bool,
}

impl Request {
    /// Milliseconds for which it may still wait before it is sent: an endpoint then has the time that
    /// it usually takes to the first event before the caller leaves.
    fn wait_ms(&self, now: Millis) -> u64 {
        let bounded = self.target.is_some() && self.patient < self.ends;
        let first = if bounded { FIRST_EVENT_MS } else { 0 };
        self.patient.since(now).saturating_sub(first)
    }

    /// Whether it can no longer be answered within its latency objective.
    fn late(&self, now: Millis) -> bool {
        now.since(self.arrived) >= self.target_ms
    }

    /// The order in which requests that need the same are served: by rank, and of one rank those first that
    /// can still be answered within their objective.
    fn turn(&self, now: Millis) -> (u8, bool) {
        (self.rank, self.late(now))
    }

    /// Whether it has waited for a slot for as long as is of use.
    fn overlong(&self, now: Millis) -> bool {
        now.since(self.arrived) > (CROWD_TARGETS * self.target_ms).max(CROWD_MIN_MS)
    }

    /// Its place in an endpoint's queue, 0 first: two for each rank.
    fn urgency(&self, now: Millis) -> u8 {
        let (rank, late) = self.turn(now);
        rank.saturating_mul(2).saturating_add(u8::from(late))
    }

    /// Why it is refused when it may wait no longer: its time is up, or what it needs comes too late
    /// for its caller's patience and may be there when the caller comes back.
    fn late_reason(&self, now: Millis) -> Reason {
        if self.ends.since(now) < LAST_CALL_MS { Reason::Expired } else { Reason::TooFar }
    }
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
    /// When the clock was last looked at.
    ticked: Millis,
    text: Option<Arc<ServingText>>,
    /// Whether the store answers for that text.
    current: bool,
    pool: Pool,
    names: Names<ModelKey>,
    requests: BTreeMap<RequestId, Request>,
    budgets: Map<String, RetryBudget>,
    wants: Map<ModelKey, OpenWant>,
    demand: Demand,
    stock: Stock,
    losses: Losses,
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
            ticked: Millis(0),
            text: None,
            current: false,
            pool: Pool::default(),
            names: Names::default(),
            requests: BTreeMap::new(),
            budgets: Map::default(),
            wants: Map::default(),
            demand: Demand::default(),
            stock: Stock::default(),
            losses: Losses::default(),
            store: StoreLimit::default(),
            stop: None,
            effects: Vec::new(),
        }
    }

    /// Whether requests can be served: text and list are known.
    pub fn ready(&self) -> bool {
        self.text.is_some() && self.pool.version > 0
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
            EntryEvent::TextCurrent(current) => self.current = current,
            EntryEvent::Members(change) => self.take_members(change),
            EntryEvent::Side(address, state) => self.take_side(address, &state),
            EntryEvent::Alive(address) => self.alive(address),
            EntryEvent::SideLost(address, loss) => self.side_lost(address, loss),
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
            EntryEvent::Progress(ids) => self.progress(&ids),
            EntryEvent::Finish(id, complete) => self.finish(id, complete),
            EntryEvent::Broke(id, after) => self.broke(id, after),
            EntryEvent::Leave(id) => self.leave(id),
            EntryEvent::Stop(wait_ms, end_ms) => {
                self.stop = Some(Stop { wait: now + wait_ms, end: now + end_ms });
            }
            EntryEvent::Look => self.look(),
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
        let services = text.services.iter().map(|service| service.name.clone()).collect();
        self.text = Some(text);
        let listed = self.pool.serve(services, &mut self.names, self.now);
        self.note_listed(listed);
        self.tell_sides();
        self.retry_waiting();
    }

    fn take_members(&mut self, change: MemberChange) {
        let listed = self.pool.apply(change, &mut self.names, self.now);
        self.stock.note_list(self.now);
        self.note_listed(listed);
        self.retry_waiting();
    }

    /// Acts on what a change of the list has brought.
    fn note_listed(&mut self, listed: Listed) {
        let version = self.pool.version;
        for instance in listed.anew {
            self.note_restart(&instance, "list");
        }
        for instance in listed.older {
            let event = LogEvent::new("older_start").with("instance", instance);
            self.log(event.with("version", version));
        }
        for service in listed.departed {
            self.stock.note_departure(&service, self.now);
        }
        for (instance, service) in listed.strangers {
            let event = LogEvent::new("unknown_service").with("instance", instance);
            self.log(event.with("service", service).with("version", version));
        }
        if listed.moved {
            let open = self.pool.endpoints.values().filter(|endpoint| endpoint.open()).count();
            let event = LogEvent::new("members").with("version", version);
            self.log(event.with("known", self.pool.endpoints.len()).with("open", open));
            self.tell_sides();
        }
    }

    /// An endpoint has started again under its name: what was asked of its last start is void.
    fn note_restart(&mut self, instance: &str, source: &'static str) {
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        let address = endpoint.member.address;
        let started = endpoint.started().map_or(0, |start| start.0);
        self.note_loss(instance);
        self.wants.retain(|_, want| !want.is_at(address));
        let event = LogEvent::new("restarted").with("instance", instance);
        self.log(event.with("started", started).with("source", source));
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
            let anew = self.pool.at(address).filter(|_| heard.anew);
            if let Some(instance) = anew.map(|one| one.member.instance.clone()) {
                self.note_restart(&instance, "side");
            }
            if let Some(over) = heard.over {
                let event = LogEvent::new("superseded").with("instance", over);
                self.log(event.with("by", &state.instance).with("sequence", state.sequence));
                self.note_loss(&state.instance);
            }
            self.learn_store();
            self.close_wants(address);
            self.retry_waiting();
        }
    }

    fn alive(&mut self, address: SocketAddr) {
        let now = self.now;
        if let Some(endpoint) = self.pool.at(address) {
            endpoint.life.hear(now);
        }
    }

    fn side_lost(&mut self, address: SocketAddr, loss: SideLoss) {
        let now = self.now;
        let Some(endpoint) = self.pool.at(address) else { return };
        match loss {
            SideLoss::Closed => endpoint.life.unlink(),
            SideLoss::Silent => endpoint.life.lose(now),
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

    /// Sends a waiting request, lets it wait, or refuses it.
    fn dispatch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage != Stage::Waiting {
            return;
        }
        if request.wait_ms(self.now) < LAST_CALL_MS {
            self.refuse(id, request.late_reason(self.now));
            return;
        }
        match self.choose(request) {
            Choice::Send(instance) => self.send(id, &instance, false),
            Choice::Fetch => self.want(id),
            Choice::Crowded => self.crowd(id),
            Choice::Hold => {}
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
        let turn = request.turn(self.now);
        let same = |one: &&Request| {
            one.stage == Stage::Waiting
                && one.service == request.service
                && one.base == request.base
                && one.turn(self.now) <= turn
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
        let left = request.wait_ms(self.now) as f64;
        let overlong = request.overlong(self.now);
        if rounds * WAVE_MS > left - WAVE_MS || overlong {
            self.refuse(id, Reason::Full);
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
