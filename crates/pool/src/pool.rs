//! What an entry believes of the endpoints.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, ModelKey, Names, Set};
use citronrill_wire::SideState;

use crate::{
    member::{Member, MemberChange, full_name},
    start::{KnownStart, SETTLE_MS, StartNews, StartTime},
};

/// Milliseconds after which a side's last word no longer counts as fresh: four of its periods of
/// 500 ms, so that one lost message does not turn a worker dark.
pub(crate) const FRESH_MS: u64 = 2_000;
/// Milliseconds for which an endpoint that could not be reached is passed over while others serve.
const AVOID_MS: u64 = 1_000;
/// Milliseconds of a side's silence after which its endpoint comes after all that are heard: two
/// periods of 500 ms and a little.
const DARK_MS: u64 = 1_100;
/// Milliseconds from an endpoint's first listing within which its side is heard, if it is up: a lost
/// connection and another try take 250.
const FIRST_WORD_MS: u64 = 1_200;
/// Share of the newest answer in the average time to the first byte.
const LAG_STEP: f64 = 0.25;
/// Milliseconds in which what was seen of that time loses its weight: a backlog of prompts is read
/// within about a second.
const LAG_DECAY_MS: f64 = 1_500.0;
/// Milliseconds for which a side that declined is not asked again: until its next word.
pub(crate) const DECLINED_MS: u64 = 150;
/// Share of the last failure in the failure average: six failures in a row bring it over one half.
const FAIL_STEP: f64 = 0.12;

/// What is held by an endpoint, with the version of the belief.
#[derive(Debug, Clone, Default)]
pub(crate) struct Holding {
    /// Models and adapters held, by interned full name.
    pub(crate) keys: Vec<ModelKey>,
    /// Models only.
    pub(crate) models: Vec<ModelKey>,
    /// Models with a copy in memory.
    pub(crate) in_memory: Vec<ModelKey>,
    /// Models with a copy on disk.
    pub(crate) on_disk: Vec<ModelKey>,
    /// Orders accepted when the side saw this; 0 if the list told it.
    pub(crate) sequence: u64,
}

impl Holding {
    /// Whether the instance has a copy of a model, in memory or on disk.
    pub(crate) fn has_copy(&self, model: ModelKey) -> bool {
        self.in_memory.contains(&model) || self.on_disk.contains(&model)
    }
}

/// What the side beside an endpoint said last.
#[derive(Debug, Clone)]
pub(crate) struct SideBelief {
    pub(crate) at: Millis,
    pub(crate) loading: Vec<ModelKey>,
    pub(crate) leaving: Vec<ModelKey>,
    pub(crate) entries: u32,
    pub(crate) sound: bool,
    pub(crate) busy_ms: u64,
    /// Milliseconds until the order under way has ended, when the side spoke.
    pub(crate) order_ms: u64,
    pub(crate) store_loads: u32,
    pub(crate) store_slow: u32,
    /// Models that cannot make way now.
    pub(crate) fixed: Vec<ModelKey>,
    /// Requests a second by model.
    pub(crate) rates: Vec<(ModelKey, f64)>,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) member: Member,
    pub(crate) holding: Holding,
    pub(crate) side: Option<SideBelief>,
    /// Own requests that run there.
    pub(crate) own: u32,
    /// Requests that run there by all accounts, with own sends since.
    pub(crate) load: u32,
    pub(crate) avoid_until: Millis,
    /// Until when its side is not asked for models again: it has just declined.
    pub(crate) declined_until: Millis,
    pub(crate) failing: f64,
    /// Milliseconds for which the oldest sending there has had no answer.
    pub(crate) stall: u64,
    /// Milliseconds to the first byte of late, and when that was last heard.
    lag: f64,
    lagged: Millis,
    /// Which start the beliefs here are of.
    start: KnownStart,
    /// An entry of the list that names an older start, and since when it has been the last one.
    withheld: Option<(Member, Millis)>,
    /// Whether only its side has named this start yet.
    unlisted: bool,
    /// Since when it is known here.
    since: Millis,
}

impl Endpoint {
    fn new(member: Member, now: Millis) -> Endpoint {
        Endpoint {
            member,
            holding: Holding::default(),
            side: None,
            own: 0,
            load: 0,
            avoid_until: Millis(0),
            declined_until: Millis(0),
            failing: 0.0,
            stall: 0,
            lag: 0.0,
            lagged: Millis(0),
            start: KnownStart::default(),
            withheld: None,
            unlisted: false,
            since: now,
        }
    }

    /// Forgets all that was believed of the last start; requests that run there are still counted.
    fn begin_anew(&mut self, now: Millis) {
        let (own, start) = (self.own, self.start);
        *self = Endpoint { own, start, ..Endpoint::new(self.member.clone(), now) };
    }

    /// When the start began that the beliefs here are of, if it says.
    pub(crate) fn started(&self) -> Option<StartTime> {
        self.start.time()
    }

    /// Whether new requests may go there.
    pub(crate) fn open(&self) -> bool {
        !self.member.leaving
    }

    /// Requests that run or wait there, as far as known.
    pub(crate) fn load(&self) -> u32 {
        self.load.max(self.own)
    }

    /// The load as a share of the slots.
    pub(crate) fn fill(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.member.slots.max(1))
    }

    /// Whether nothing was heard of its side for longer than two of its periods, or it cannot reach
    /// the endpoint: the instance may be frozen or gone.
    pub(crate) fn dark(&self, now: Millis) -> bool {
        self.side.as_ref().is_none_or(|side| !side.sound || now.since(side.at) > DARK_MS)
    }

    /// Whether its side is likely to be heard for the first time within moments.
    pub(crate) fn unheard_yet(&self, now: Millis) -> bool {
        self.side.is_none() && now.since(self.since) < FIRST_WORD_MS
    }

    /// The side's word, while it is fresh.
    pub(crate) fn fresh_side(&self, now: Millis) -> Option<&SideBelief> {
        self.side.as_ref().filter(|side| now.since(side.at) < FRESH_MS)
    }

    /// Notes how long an answer's first byte took.
    pub(crate) fn note_lag(&mut self, ms: u64, now: Millis) {
        self.lag = self.lag(now) + LAG_STEP * (ms as f64 - self.lag(now));
        self.lagged = now;
    }

    /// Milliseconds to the first byte, by what was seen of late.
    ///
    /// Slots in use tell little of an engine that takes 64 requests and reads prompts for a third
    /// of them: its batch is far from full while first tokens already wait for a second.
    pub(crate) fn lag(&self, now: Millis) -> f64 {
        let seen = self.lag * (-(now.since(self.lagged) as f64) / LAG_DECAY_MS).exp();
        seen.max(self.stall as f64)
    }

    /// Notes a failure or a success of a request.
    pub(crate) fn note(&mut self, failed: bool) {
        self.failing += FAIL_STEP * (f64::from(u8::from(failed)) - self.failing);
    }

    /// Passes the endpoint over for a while: it could not be reached.
    pub(crate) fn avoid(&mut self, now: Millis) {
        self.avoid_until = now + AVOID_MS;
    }

    /// Leaves its side alone for a while: it has no room.
    pub(crate) fn decline(&mut self, now: Millis) {
        self.declined_until = now + DECLINED_MS;
    }

    /// Whether it is passed over while others serve.
    pub(crate) fn avoided(&self, now: Millis) -> bool {
        now < self.avoid_until
    }
}

/// What an entry learned from a side's word.
#[derive(Debug)]
pub(crate) struct Heard {
    /// The start of the endpoint that is over, as the side named another.
    pub(crate) over: Option<String>,
    /// Whether the endpoint has started again under its name.
    pub(crate) anew: bool,
}

/// What a change of the list has brought.
#[derive(Debug, Default)]
pub(crate) struct Listed {
    /// Whether it has changed who may be used.
    pub(crate) moved: bool,
    /// Endpoints that have started again under their names.
    pub(crate) anew: Vec<String>,
    /// Endpoints whose entry was withheld, as it is of a start that seems over.
    pub(crate) older: Vec<String>,
    /// The services of endpoints that have begun to leave, or are gone without having said so.
    pub(crate) departed: Vec<String>,
    /// Entries of services that the text does not name, with the services.
    pub(crate) strangers: Vec<(String, String)>,
}

/// The endpoints by instance name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Map<String, Endpoint>,
    by_address: Map<SocketAddr, String>,
    /// Starts of endpoints that are known to be over though the list may still name them.
    over: Set<String>,
    /// The services that the text names; `None` while no text is known.
    services: Option<Set<String>>,
    /// Entries of services that the text does not name.
    strangers: Map<String, Member>,
    pub(crate) version: u64,
}

impl Pool {
    /// Takes a change of the list.
    pub(crate) fn apply(
        &mut self,
        change: MemberChange,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Listed {
        let mut listed = Listed::default();
        // A list read earlier can arrive later; an older one must not bring back who has left.
        if change.version < self.version {
            return listed;
        }
        self.version = change.version;
        if change.whole {
            self.drop_unlisted(&change.rows, now, &mut listed);
        }
        for (id, member) in change.rows {
            match member {
                Some(member) if self.serves(&member.service) => {
                    self.strangers.remove(&id);
                    self.put(member, change.whole, names, now, &mut listed);
                }
                member => {
                    self.over.remove(&id);
                    self.depart(&id, &mut listed);
                    self.strangers.remove(&id);
                    if let Some(member) = member {
                        listed.strangers.push((id.clone(), member.service.clone()));
                        self.strangers.insert(id, member);
                    }
                }
            }
        }
        listed
    }

    /// Forgets whoever a whole list does not name.
    fn drop_unlisted(
        &mut self,
        rows: &[(String, Option<Member>)],
        now: Millis,
        changes: &mut Listed,
    ) {
        let listed = |id: &String| rows.iter().any(|(row, _)| row == id);
        self.over.retain(listed);
        self.strangers.retain(|id, _| listed(id));
        let named = |one: &Endpoint| one.unlisted && one.fresh_side(now).is_some();
        let gone = self.endpoints.iter().filter(|(id, one)| !listed(id) && !named(one));
        let gone = gone.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        gone.iter().for_each(|id| self.depart(id, changes));
    }

    /// Forgets an endpoint that is no longer listed.
    fn depart(&mut self, id: &str, listed: &mut Listed) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if endpoint.open() {
            listed.departed.push(endpoint.member.service.clone());
        }
        listed.moved = true;
        self.remove(id);
    }

    /// Whether a service is one of the text's; any is while no text is known.
    fn serves(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    /// Takes the services that the text names, and looks again at who belongs to one.
    ///
    /// The failure it prevents: another writer's entry names a service that is not served, and the
    /// address of an endpoint that is. Taken for the endpoint that has turned up there, it takes the
    /// place of the one that serves.
    pub(crate) fn serve(
        &mut self,
        services: Set<String>,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Listed {
        let mut listed = Listed::default();
        let unserved =
            self.endpoints.iter().filter(|(_, one)| !services.contains(&one.member.service));
        let unserved = unserved.map(|(id, one)| (id.clone(), one.member.clone()));
        let unserved = unserved.collect::<Vec<_>>();
        let served = self.strangers.iter().filter(|(_, one)| services.contains(&one.service));
        let served = served.map(|(_, one)| one.clone()).collect::<Vec<_>>();
        self.services = Some(services);
        for (id, member) in unserved {
            self.remove(&id);
            listed.moved = true;
            listed.strangers.push((id.clone(), member.service.clone()));
            self.strangers.insert(id, member);
        }
        for member in served {
            self.strangers.remove(&member.instance);
            self.put(member, true, names, now, &mut listed);
        }
        listed
    }

    /// Forgets an endpoint; another that is listed at its address takes the address over.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.leave_address(endpoint.member.address, id);
        }
    }

    /// Gives the address that an endpoint had to another that is listed there.
    fn leave_address(&mut self, address: SocketAddr, id: &str) {
        if self.by_address.get(&address).is_none_or(|held| held != id) {
            return;
        }
        let mut others = self.endpoints.values().map(|one| &one.member);
        let next = others.find(|one| one.address == address && one.instance != id);
        match next.map(|one| one.instance.clone()) {
            Some(next) => self.by_address.insert(address, next),
            None => self.by_address.remove(&address),
        };
    }

    fn put(
        &mut self,
        member: Member,
        whole: bool,
        names: &mut Names<ModelKey>,
        now: Millis,
        listed: &mut Listed,
    ) {
        let id = member.instance.clone();
        if self.over.contains(&id) {
            return;
        }
        let known = self.endpoints.contains_key(&id);
        if known && !self.take_start(&member, now, listed) {
            return;
        }
        // An endpoint that crashed is listed for some heartbeats beside its next start. Only one can
        // be there, and it is the one that turned up last.
        let before = self.by_address.get(&member.address).filter(|held| **held != id).cloned();
        if let Some(before) = before.filter(|_| !known && !whole) {
            self.endpoints.remove(&before);
        }
        let last = self.endpoints.get(&id).map(|one| one.member.address);
        if let Some(last) = last.filter(|last| *last != member.address) {
            self.leave_address(last, &id);
        }
        self.by_address.insert(member.address, id.clone());
        let endpoint =
            self.endpoints.entry(id).or_insert_with(|| Endpoint::new(member.clone(), now));
        if !known {
            endpoint.start.hear(member.started, now);
        }
        // The list is seconds behind. While the side speaks, its word stands: a list that still
        // names a model that is making way would bring its requests back to be refused.
        if endpoint.fresh_side(now).is_none() {
            endpoint.holding = listed_holding(&member, names);
        }
        listed.moved |= !known || endpoint.member.leaving != member.leaving;
        if known && endpoint.open() && member.leaving {
            listed.departed.push(member.service.clone());
        }
        endpoint.member = member;
        endpoint.unlisted = false;
    }

    /// Takes the start that an entry names for an endpoint that is known; false if the entry has to
    /// wait, as it is of a start that seems over.
    ///
    /// That an endpoint leaves is believed at once while no side says otherwise: to send it work after
    /// that would break a promise, and to spare it for a heartbeat costs little.
    fn take_start(&mut self, member: &Member, now: Millis, listed: &mut Listed) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&member.instance) else { return true };
        match endpoint.start.hear(member.started, now) {
            StartNews::Same => {}
            StartNews::New => {
                endpoint.begin_anew(now);
                listed.anew.push(member.instance.clone());
            }
            StartNews::Older => {
                let since = endpoint.withheld.as_ref().map_or(now, |(_, since)| *since);
                if member.leaving && endpoint.fresh_side(now).is_none() {
                    listed.moved |= !endpoint.member.leaving;
                    endpoint.member.leaving = true;
                }
                endpoint.withheld = Some((member.clone(), since));
                listed.older.push(member.instance.clone());
                return false;
            }
        }
        endpoint.withheld = None;
        true
    }

    /// Takes entries of older starts that nothing has contradicted for long enough.
    pub(crate) fn settle_starts(&mut self, names: &mut Names<ModelKey>, now: Millis) -> Listed {
        let mut listed = Listed::default();
        let settled = self
            .endpoints
            .values_mut()
            .filter_map(|one| one.withheld.take_if(|(_, since)| now.since(*since) >= SETTLE_MS));
        for (member, _) in settled.collect::<Vec<_>>() {
            self.put(member, true, names, now, &mut listed);
        }
        listed
    }

    /// The endpoint that was last listed at `address`.
    pub(crate) fn at(&mut self, address: SocketAddr) -> Option<&mut Endpoint> {
        let id = self.by_address.get(&address)?;
        self.endpoints.get_mut(id)
    }

    /// Takes a side's word for the endpoint at `address`.
    pub(crate) fn hear(
        &mut self,
        address: SocketAddr,
        state: &SideState,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> Option<Heard> {
        let over = self.supersede(address, state, now);
        let endpoint = self.at(address)?;
        let news = endpoint.start.hear(state.started.map(StartTime), now);
        if news == StartNews::Older {
            return None;
        }
        let anew = news == StartNews::New;
        if anew {
            endpoint.begin_anew(now);
        }
        // The side asks the endpoint itself: an entry of the list that names another start is late.
        endpoint.withheld = endpoint.withheld.take().filter(|_| state.started.is_none());
        if state.sound {
            endpoint.holding = told_holding(state, names);
        }
        endpoint.load = state.active + state.queued;
        let rates = state
            .models
            .iter()
            .map(|model| (names.intern(&model.name), f64::from(model.rate_milli) / 1_000.0));
        let rates = rates.collect();
        let fixed = state.models.iter().filter(|model| model.fixed);
        let fixed = fixed.map(|model| names.intern(&model.name)).collect();
        endpoint.side = Some(SideBelief {
            at: now,
            loading: state.loading.iter().map(|name| names.intern(name)).collect(),
            leaving: state.leaving.iter().map(|name| names.intern(name)).collect(),
            entries: state.entries,
            sound: state.sound,
            busy_ms: state.busy_ms,
            order_ms: state.order_ms,
            store_loads: state.store_loads,
            store_slow: state.store_slow,
            fixed,
            rates,
        });
        Some(Heard { over, anew })
    }

    /// Makes the start that the side names the one at `address`; gives the one that is over.
    ///
    /// An endpoint that crashed is listed under its last name for seconds after it is up again, and
    /// whatever is sent to that name is refused. The new start has the place and the service of the
    /// last one; a side of another service at the same address says nothing of either.
    fn supersede(&mut self, address: SocketAddr, state: &SideState, now: Millis) -> Option<String> {
        let held = self.by_address.get(&address)?.clone();
        let service = &self.endpoints.get(&held)?.member.service;
        let told = state.sound && !state.instance.is_empty() && *service == state.service;
        if !told || held == state.instance {
            return None;
        }
        let mut member = self.endpoints.remove(&held)?.member;
        member.instance.clone_from(&state.instance);
        member.leaving = false;
        let endpoint = self
            .endpoints
            .entry(state.instance.clone())
            .or_insert_with(|| Endpoint { unlisted: true, ..Endpoint::new(member, now) });
        endpoint.member.address = address;
        self.by_address.insert(address, state.instance.clone());
        self.over.remove(&state.instance);
        self.over.insert(held.clone());
        Some(held)
    }
}

fn listed_holding(member: &Member, names: &mut Names<ModelKey>) -> Holding {
    let mut holding = Holding::default();
    for model in &member.models {
        hold(&mut holding, &model.name, &model.adapters, names);
    }
    holding.in_memory = member.in_memory.iter().map(|name| names.intern(name)).collect();
    holding.on_disk = member.on_disk.iter().map(|name| names.intern(name)).collect();
    holding
}

fn told_holding(state: &SideState, names: &mut Names<ModelKey>) -> Holding {
    let mut holding = Holding { sequence: state.sequence, ..Holding::default() };
    for model in state.models.iter().filter(|one| !state.leaving.contains(&one.name)) {
        hold(&mut holding, &model.name, &model.adapters, names);
    }
    holding.in_memory = state.in_memory.iter().map(|name| names.intern(name)).collect();
    holding.on_disk = state.on_disk.iter().map(|name| names.intern(name)).collect();
    holding
}

fn hold(holding: &mut Holding, model: &str, adapters: &[String], names: &mut Names<ModelKey>) {
    let key = names.intern(model);
    holding.models.push(key);
    holding.keys.push(key);
    let adapters = adapters.iter().map(|adapter| names.intern(&full_name(model, adapter)));
    holding.keys.extend(adapters);
}
