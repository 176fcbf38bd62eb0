//! What an entry believes of one endpoint.

use citronrill_base::{Millis, ModelKey, Names};
use citronrill_wire::SideState;

use crate::{
    liveness::Liveness,
    member::{Member, full_name},
    start::{KnownStart, StartTime},
};

/// Milliseconds after which a side's last word no longer counts as fresh: four of its periods of
/// 500 ms, so that one lost message does not turn a worker dark.
pub(crate) const FRESH_MS: u64 = 2_000;
/// Milliseconds for which an endpoint that could not be reached is passed over while others serve.
const AVOID_MS: u64 = 1_000;
/// Milliseconds of a side's silence after which its endpoint comes after all that are heard: two
/// periods of 500 ms and a little.
pub(crate) const DARK_MS: u64 = 1_100;
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
    /// What the list says that an endpoint holds.
    pub(crate) fn listed(member: &Member, names: &mut Names<ModelKey>) -> Holding {
        let mut holding = Holding::default();
        for model in &member.models {
            holding.hold(&model.name, &model.adapters, names);
        }
        holding.in_memory = member.in_memory.iter().map(|name| names.intern(name)).collect();
        holding.on_disk = member.on_disk.iter().map(|name| names.intern(name)).collect();
        holding
    }

    /// What a side says that its endpoint holds, without what makes way.
    pub(crate) fn told(state: &SideState, names: &mut Names<ModelKey>) -> Holding {
        let mut holding = Holding { sequence: state.sequence, ..Holding::default() };
        for model in state.models.iter().filter(|one| !state.leaving.contains(&one.name)) {
            holding.hold(&model.name, &model.adapters, names);
        }
        holding.in_memory = state.in_memory.iter().map(|name| names.intern(name)).collect();
        holding.on_disk = state.on_disk.iter().map(|name| names.intern(name)).collect();
        holding
    }

    fn hold(&mut self, model: &str, adapters: &[String], names: &mut Names<ModelKey>) {
        let key = names.intern(model);
        self.models.push(key);
        self.keys.push(key);
        let adapters = adapters.iter().map(|adapter| names.intern(&full_name(model, adapter)));
        self.keys.extend(adapters);
    }

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
    /// The same of the load from the weight store under way; 0 while it is not late.
    pub(crate) store_overdue: u32,
    /// Loads from the weight store when the late one was asked for, or else the last one.
    pub(crate) store_concurrent: u32,
    /// Requests a second that find no room anywhere, of the models that the side counts.
    pub(crate) missed: Vec<(ModelKey, f64)>,
    /// Models that cannot make way now.
    pub(crate) fixed: Vec<ModelKey>,
    /// Requests a second by model.
    pub(crate) rates: Vec<(ModelKey, f64)>,
}

impl SideBelief {
    /// Milliseconds until all that is on its way there has come.
    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.busy_ms.saturating_sub(now.since(self.at))
    }
}

/// One endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) member: Member,
    pub(crate) holding: Holding,
    pub(crate) side: Option<SideBelief>,
    /// Whether its instance moves.
    pub(crate) life: Liveness,
    /// Own requests that run there.
    pub(crate) own: u32,
    /// Requests that run there by all accounts, with own sends since.
    pub(crate) load: u32,
    /// Own sends since its load was last told.
    pub(crate) unreported: u32,
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
    pub(crate) start: KnownStart,
    /// An entry of the list that names an older start, and since when it has been the last one.
    pub(crate) withheld: Option<(Member, Millis)>,
    /// Whether only its side has named this start yet.
    pub(crate) unlisted: bool,
    /// Since when it is known here.
    since: Millis,
    /// When it was first listed, until it is known to have started again.
    first_listed: Option<Millis>,
}

impl Endpoint {
    /// An endpoint of which nothing but its entry is known.
    pub(crate) fn new(member: Member, now: Millis) -> Endpoint {
        Endpoint {
            member,
            holding: Holding::default(),
            side: None,
            life: Liveness::default(),
            own: 0,
            load: 0,
            unreported: 0,
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
            first_listed: Some(now),
        }
    }

    /// An endpoint that only its side has named yet.
    pub(crate) fn unlisted(member: Member, now: Millis) -> Endpoint {
        Endpoint { unlisted: true, ..Endpoint::new(member, now) }
    }

    /// Forgets all that was believed of the last start; requests that run there are still counted.
    pub(crate) fn begin_anew(&mut self, now: Millis) {
        let (own, start, life) = (self.own, self.start, self.life);
        let fresh = Endpoint::new(self.member.clone(), now);
        *self = Endpoint { own, start, life, first_listed: None, ..fresh };
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

    /// Takes the word of the endpoint or its side of what runs and waits there.
    pub(crate) fn take_load(&mut self, load: u32) {
        self.load = load;
        self.unreported = 0;
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

    /// Whether its side is heard and its instance moves.
    pub(crate) fn moves(&self, now: Millis) -> bool {
        !self.dark(now) && !self.life.silent(now)
    }

    /// Whether its side is likely to be heard for the first time within moments.
    pub(crate) fn unheard_yet(&self, now: Millis) -> bool {
        self.side.is_none() && now.since(self.since) < FIRST_WORD_MS
    }

    /// Whether only the list has told of it yet, while its side's first word is due: what it held when it was
    /// listed may be long gone.
    pub(crate) fn unconfirmed(&self, now: Millis) -> bool {
        let listed = self.first_listed.is_some_and(|at| now.since(at) < FIRST_WORD_MS);
        self.side.is_none() && listed
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
