//! What an entry believes of the endpoints.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis, ModelKey, Names, Set};
use citronrill_wire::SideState;

use crate::member::{Member, MemberChange, full_name};

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
            unlisted: false,
            since: now,
        }
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
}

/// The endpoints by instance name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Map<String, Endpoint>,
    by_address: Map<SocketAddr, String>,
    /// Starts of endpoints that are known to be over though the list may still name them.
    over: Set<String>,
    pub(crate) version: u64,
}

impl Pool {
    /// Takes a change of the list; true if who is listed has changed.
    pub(crate) fn apply(
        &mut self,
        change: MemberChange,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> bool {
        // A list read earlier can arrive later; an older one must not bring back who has left.
        if change.version < self.version {
            return false;
        }
        self.version = change.version;
        let mut moved = false;
        let whole = change.whole;
        if whole {
            let listed = |id: &String| change.rows.iter().any(|(row, _)| row == id);
            self.over.retain(listed);
            let named = |one: &Endpoint| one.unlisted && one.fresh_side(now).is_some();
            let gone = self.endpoints.iter().filter(|(id, one)| !listed(id) && !named(one));
            let gone = gone.map(|(id, _)| id.clone()).collect::<Vec<_>>();
            moved |= !gone.is_empty();
            gone.iter().for_each(|id| self.remove(id));
        }
        for (id, member) in change.rows {
            match member {
                Some(member) => moved |= self.put(member, whole, names, now),
                None => {
                    moved |= self.endpoints.contains_key(&id);
                    self.over.remove(&id);
                    self.remove(&id);
                }
            }
        }
        moved
    }

    /// Forgets an endpoint; another that is listed at its address takes the address over.
    pub(crate) fn remove(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.remove(id) else { return };
        let address = endpoint.member.address;
        if self.by_address.get(&address).is_some_and(|held| held == id) {
            let next = self.endpoints.values().find(|one| one.member.address == address);
            match next.map(|one| one.member.instance.clone()) {
                Some(next) => self.by_address.insert(address, next),
                None => self.by_address.remove(&address),
            };
        }
    }

    fn put(
        &mut self,
        member: Member,
        whole: bool,
        names: &mut Names<ModelKey>,
        now: Millis,
    ) -> bool {
        let id = member.instance.clone();
        if self.over.contains(&id) {
            return false;
        }
        let known = self.endpoints.contains_key(&id);
        // An endpoint that crashed is listed for some heartbeats beside its next start. Only one can
        // be there, and it is the one that turned up last.
        let before = self.by_address.get(&member.address).filter(|held| **held != id).cloned();
        if let Some(before) = before.filter(|_| !known && !whole) {
            self.endpoints.remove(&before);
        }
        self.by_address.insert(member.address, id.clone());
        let endpoint =
            self.endpoints.entry(id).or_insert_with(|| Endpoint::new(member.clone(), now));
        // The list is seconds behind. While the side speaks, its word stands: a list that still
        // names a model that is making way would bring its requests back to be refused.
        if endpoint.fresh_side(now).is_none() {
            endpoint.holding = listed_holding(&member, names);
        }
        let moved = !known || endpoint.member.leaving != member.leaving;
        endpoint.member = member;
        endpoint.unlisted = false;
        moved
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
        Some(Heard { over })
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
