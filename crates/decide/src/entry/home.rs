//! Models whose home this process is: deciding loads and unloads for all entries.
//!
//! A burst for a cold model comes in at many entries at once. Each tells the model's home, found by
//! rendezvous over the members, and the home decides once. The home is a hint and no authority: two
//! processes that both believe to be it meet in the table, and if it does not act, the next in order
//! does.

use citronrill_base::{EndpointKey, Millis, ModelKey, Outcome, Row, Set, hash_bytes};
use citronrill_config::Class;
use prost::Message;

use super::{Effect, Entry, Purpose, Target, refusal_of};
use crate::{
    keepalive::{Learned, Traffic},
    log::LogEvent,
    placement::{Ask, NoPlace, Scene, load_txn, plan},
    refusal::RefusalKind,
    rows::{Phase, WEIGHTS, endpoint_key},
};

/// How long the first in order has to act on a demand before the next is told, in milliseconds.
const HOME_PATIENCE_MS: u64 = 400;
/// After this many homes have not acted, the entry decides for itself.
const HOME_TRIES: usize = 2;
/// Demand beside a serving replica that lasts this long asks for another, in milliseconds.
const SCALE_OUT_MS: u64 = 500;
/// Another replica is asked for when as many wait as a replica's slots over this.
const CROWD_PART: u64 = 2;
/// A use of a warm model is reported again after its keep time over this.
const REPORT_PART: u64 = 2;
pub(super) const REPORT_MIN_MS: u64 = 1_000;
const REPORT_MAX_MS: u64 = 30_000;
/// The pause after a first conflict at most, in milliseconds; it doubles with each further one.
const CONFLICT_MS: u64 = 20;
const CONFLICT_DOUBLINGS: u32 = 6;
/// Rows that were read for a decision serve it for this time, in milliseconds.
const READ_FRESH_MS: u64 = 200;
/// A read for a decision that does not answer is made again after this time, in milliseconds.
const READ_PATIENCE_MS: u64 = 1_000;
/// How long an entry whose demand was heard asks nobody else, in milliseconds.
const HEARD_MS: u64 = 2_000;
/// The wait after a load that failed, doubled with each further one, in milliseconds.
const FAILED_MS: u64 = 5_000;
const FAILED_LIMIT_MS: u64 = 300_000;

/// Requests for a model, as one entry tells its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The entry's address, for the answer.
    pub from: String,
    /// The model's name.
    pub model: String,
    /// Requests that wait; 0 for a mere report of use.
    pub waiting: u64,
    /// Milliseconds until the first one's deadline.
    pub slack_ms: u64,
    /// The most urgent class that waits.
    pub class: Class,
}

/// What this entry has told of a model that it waits for.
#[derive(Debug)]
pub(super) struct DemandState {
    told: Millis,
    tries: usize,
}

/// A model whose home this process is.
#[derive(Debug)]
pub(super) struct Home {
    pub(super) traffic: Traffic,
    pub(super) demand: Option<Demanded>,
    pub(super) crowded: Option<Millis>,
    pub(super) last_crowded: Millis,
    pub(super) askers: Vec<String>,
    pub(super) followers: Vec<String>,
    pub(super) released: Millis,
    pub(super) conflicts: u32,
    pub(super) retry_at: Millis,
    pub(super) awaited: Option<(Millis, Vec<String>)>,
    pub(super) read: Option<(Millis, Vec<String>)>,
    pub(super) asked: Vec<(EndpointKey, Millis)>,
}

/// The strongest demand since the last decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demanded {
    pub(super) deadline: Millis,
    pub(super) class: Class,
    pub(super) waiting: u64,
}

impl Entry {
    /// Asks for a replica of a model that requests here wait for.
    pub(super) fn want(
        &mut self,
        model: ModelKey,
        deadline: Millis,
        class: Class,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let coming = |phase| matches!(phase, Phase::Wanted | Phase::Loading);
        if self.view.replicas(model).any(|(_, phase)| coming(phase)) {
            self.demands.remove(&model);
            return;
        }
        let name = self.view.registry.models.name(model).to_owned();
        let state = self.demands.get(&model);
        if state.is_some_and(|state| now.since(state.told) < HOME_PATIENCE_MS) {
            return;
        }
        let tries = state.map_or(0, |state| state.tries);
        self.demands.insert(model, DemandState { told: now, tries: tries + 1 });
        let waiting = self.queues.get(&Target::Model(model)).map_or(0, |queue| queue.len());
        let demand = Demand {
            from: self.profile.address.clone(),
            model: name.clone(),
            waiting: waiting.max(1) as u64,
            slack_ms: deadline.since(now),
            class,
        };
        let decider = self.decider(&name, tries);
        match decider {
            Some(to) => out.push(Effect::Demand { to, demand }),
            None => self.demanded(demand, out),
        }
    }

    /// The address to tell of a demand; `None` if this process is to decide.
    fn decider(&self, model: &str, tries: usize) -> Option<String> {
        if !self.policies.homes || tries >= HOME_TRIES {
            return None;
        }
        let order = self.deciders(model);
        let name = *order.get(tries)?;
        let member = self.members.iter().find(|peer| peer.name == name);
        let member = member.filter(|peer| peer.name != self.profile.instance)?;
        Some(member.address.clone())
    }

    /// Reports the use of a model to its home, not more often than its keep time needs.
    pub(super) fn report_use(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let last = self.reports.get(&model).map(|last| self.now.since(*last));
        if last.is_some_and(|passed| passed < REPORT_MIN_MS) {
            return;
        }
        let Some(spec) = self.catalogue.models.get(&model) else { return };
        let Some(org) = self.catalogue.organisations.get(&spec.org) else { return };
        let learned = self.view.model_row(model).map(Learned::from_row).unwrap_or_default();
        let keep = self.policies.keep.keep_ms(&learned, spec, org);
        let pause = (keep / REPORT_PART).clamp(REPORT_MIN_MS, REPORT_MAX_MS);
        let name = spec.name.clone();
        let base = spec.base;
        if last.is_some_and(|passed| passed < pause) {
            return;
        }
        self.reports.insert(model, self.now);
        let demand = Demand {
            from: self.profile.address.clone(),
            model: name.clone(),
            waiting: 0,
            slack_ms: 0,
            class: Class::Normal,
        };
        match self.decider(&name, 0) {
            Some(to) => out.push(Effect::Demand { to, demand }),
            None => self.demanded(demand, out),
        }
        if let Some(base) = base {
            self.report_use(base, out);
        }
    }

    pub(super) fn home(&mut self, model: ModelKey) -> &mut Home {
        let now = self.now;
        let row = self.view.model_row(model);
        let traffic = || Traffic::adopt(row, now);
        self.homes.entry(model).or_insert_with(|| Home {
            traffic: traffic(),
            demand: None,
            crowded: None,
            last_crowded: now,
            askers: Vec::new(),
            followers: Vec::new(),
            released: Millis(0),
            conflicts: 0,
            retry_at: now,
            awaited: None,
            read: None,
            asked: Vec::new(),
        })
    }

    pub(super) fn demanded(&mut self, demand: Demand, out: &mut Vec<Effect>) {
        let model = self.view.registry.models.intern(&demand.model);
        let now = self.now;
        let home = self.home(model);
        if demand.waiting == 0 {
            return home.traffic.report(now);
        }
        home.traffic.last = now;
        let deadline = now + demand.slack_ms;
        let stronger = match home.demand {
            Some(known) => Demanded {
                deadline: known.deadline.min(deadline),
                class: known.class.min(demand.class),
                waiting: known.waiting + demand.waiting,
            },
            None => Demanded { deadline, class: demand.class, waiting: demand.waiting },
        };
        home.demand = Some(stronger);
        if !home.askers.contains(&demand.from) {
            home.askers.push(demand.from.clone());
        }
        if !self.answer_late_asker(model, out) {
            let model = demand.model;
            out.push(Effect::Heard { to: demand.from, model });
        }
        self.decide_load(model, out);
    }

    /// An entry that was heard does not ask the next in order for a while.
    ///
    /// In a morning's burst a decision may meet several conflicts. If everybody who waits decided
    /// meanwhile too, there would be more of them and not fewer.
    pub(super) fn heard(&mut self, model: &str) {
        let Some(model) = self.view.registry.models.get(model) else { return };
        let until = self.now + HEARD_MS;
        if let Some(state) = self.demands.get_mut(&model) {
            state.told = until;
            state.tries = 0;
        }
    }

    /// Decides again where a decision met a conflict and has waited its turn.
    pub(super) fn retry_loads(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let due = |home: &Home| {
            let late = home.awaited.as_ref();
            let late = late.is_some_and(|(at, _)| now.since(*at) >= READ_PATIENCE_MS);
            home.demand.is_some() && (late || home.conflicts > 0) && home.retry_at <= now
        };
        let due = self.homes.iter().filter(|(_, home)| due(home)).map(|(model, _)| *model);
        for model in due.collect::<Vec<_>>() {
            self.decide_load(model, out);
        }
    }

    /// Tells those that ask after the decision of it, so that they do not ask the next in order;
    /// whether there is a decision.
    fn answer_late_asker(&mut self, model: ModelKey, out: &mut Vec<Effect>) -> bool {
        let coming = |phase| matches!(phase, Phase::Wanted | Phase::Loading);
        let decided = self.view.replicas(model).find(|(_, phase)| coming(*phase));
        let Some((endpoint, _)) = decided else { return false };
        let home = self.home(model);
        let askers = std::mem::take(&mut home.askers);
        let earlier = std::mem::replace(&mut home.followers, askers.clone());
        self.announce(model, endpoint, out);
        let home = self.home(model);
        home.followers = earlier;
        for asker in askers {
            if !home.followers.contains(&asker) {
                home.followers.push(asker);
            }
        }
        true
    }

    /// Decides a load for the demand there is, unless one is being decided.
    pub(super) fn decide_load(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let Some(demand) = self.homes.get(&model).and_then(|home| home.demand) else { return };
        if self.deciding(&Purpose::Load(model)) || !self.store_up || self.cooling(model) {
            return;
        }
        let waits = |home: &Home| {
            let reading = home.awaited.as_ref();
            let reading = reading.is_some_and(|(at, _)| self.now.since(*at) < READ_PATIENCE_MS);
            reading || home.retry_at > self.now
        };
        if self.homes.get(&model).is_some_and(waits) {
            return;
        }
        if let Some(copies) = self.copies_wanted(model) {
            let slack_ms = demand.deadline.since(self.now);
            let ask = Ask { model, copies, slack_ms, class: demand.class };
            self.try_load(&ask, out);
        }
    }

    /// How many replicas the demand calls for; `None` if it may be met without another.
    fn copies_wanted(&mut self, model: ModelKey) -> Option<u64> {
        let now = self.now;
        let decided = self.view.model_row(model).map_or(0, |row| row.holders.len() as u64);
        if decided == 0 {
            return Some(1);
        }
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        if phases.iter().any(|phase| *phase != Phase::Ready) {
            return None;
        }
        // What little waits when a replica has just become ready is gone in a moment, and would have
        // a second one loaded for nothing.
        let slots = self.view.replicas(model).next().and_then(|(key, _)| self.view.endpoint(key));
        let enough = slots.map_or(1, |row| row.slots / CROWD_PART);
        let waiting = self.homes.get(&model).and_then(|home| home.demand);
        if waiting.is_none_or(|demand| demand.waiting < enough) {
            return None;
        }
        let home = self.home(model);
        home.last_crowded = now;
        let since = *home.crowded.get_or_insert(now);
        (now.since(since) >= SCALE_OUT_MS).then_some(decided + 1)
    }

    fn try_load(&mut self, ask: &Ask, out: &mut Vec<Effect>) {
        let busy = self.decisions.values().filter_map(|it| it.endpoint).collect();
        // The same until a conflict, so that the rows that were read are those of the plan.
        let conflicts = self.homes.get(&ask.model).map_or(0, |home| home.conflicts);
        let name = format!("{}/{}/{conflicts}", self.model_name(ask.model), self.profile.session);
        let salt = hash_bytes(name.as_bytes());
        let order = self.new_order(2);
        let scene = Scene {
            view: &self.view,
            catalogue: &self.catalogue,
            busy: &busy,
            avoided: &self.avoided,
            parts: self.profile.share_parts,
            permits: self.homes.get(&ask.model).is_none_or(|home| home.conflicts == 0),
            salt,
        };
        match plan(&scene, self.policies.placement.as_ref(), ask) {
            Ok(plan) => {
                let txn = load_txn(&scene, &plan, ask, order);
                let keys = txn.checks.iter().map(|it| it.key.clone());
                let mut keys = keys.filter(|key| key != WEIGHTS).collect::<Vec<_>>();
                keys.push(WEIGHTS.to_owned());
                if !self.read_lately(ask.model, &keys) {
                    self.home(ask.model).awaited = Some((self.now, keys.clone()));
                    return out.push(Effect::Read(keys));
                }
                let event = LogEvent::new("load").with("model", self.model_name(ask.model));
                let name = self.view.endpoint_name(plan.endpoint);
                out.push(Effect::Log(event.with("endpoint", name)));
                self.decide(Purpose::Load(ask.model), Some(plan.endpoint), txn, out);
            }
            Err(reason) => self.no_place(ask.model, reason, out),
        }
    }

    /// Whether the rows of a decision were read for it a moment ago.
    ///
    /// The feed is up to a poll behind. In a burst every decision made from it would meet a conflict
    /// on a share or a ledger that another decision has just changed; a read costs the table a
    /// quarter of a write, and makes the time in which that can happen a hundredth.
    fn read_lately(&self, model: ModelKey, keys: &[String]) -> bool {
        let Some(home) = self.homes.get(&model) else { return false };
        let Some((at, read)) = &home.read else { return false };
        self.now.since(*at) < READ_FRESH_MS && keys.iter().all(|key| read.contains(key))
    }

    /// Goes on with the decisions whose rows have been read.
    pub(super) fn rows_read(&mut self, rows: &[Row], out: &mut Vec<Effect>) {
        let now = self.now;
        let has = |key: &String| rows.iter().any(|row| row.key == *key);
        let mut due = Vec::new();
        for (model, home) in &mut self.homes {
            if let Some((_, keys)) = home.awaited.take_if(|(_, keys)| keys.iter().all(has)) {
                home.read = Some((now, keys));
                due.push(*model);
            }
        }
        for model in due {
            self.decide_load(model, out);
        }
    }

    pub(super) fn model_name(&self, model: ModelKey) -> &str {
        self.view.registry.models.name(model)
    }

    fn no_place(&mut self, model: ModelKey, reason: NoPlace, out: &mut Vec<Effect>) {
        if reason == NoPlace::ShareUsed && self.release_one(model, out) {
            return;
        }
        let serving = self.view.replicas(model).any(|(_, phase)| phase == Phase::Ready);
        let Some(kind) = refusal_of(reason).filter(|_| !serving) else {
            if reason == NoPlace::Enough {
                self.home(model).demand = None;
            }
            return;
        };
        let name = self.model_name(model).to_owned();
        out.push(Effect::Log(
            LogEvent::new("no_place").with("model", &name).with("why", kind.word()),
        ));
        let home = self.home(model);
        home.demand = None;
        for to in std::mem::take(&mut home.askers) {
            if to == self.profile.address {
                self.refuse_waiting(Target::Model(model), kind, out);
            } else {
                out.push(Effect::Verdict { to, model: name.clone(), kind });
            }
        }
    }

    pub(super) fn load_settled(
        &mut self,
        model: ModelKey,
        endpoint: Option<EndpointKey>,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        if let Outcome::Committed(_) = outcome {
            let home = self.home(model);
            home.demand = None;
            home.crowded = None;
            home.conflicts = 0;
            home.followers = std::mem::take(&mut home.askers);
            if let Some(endpoint) = endpoint {
                self.announce(model, endpoint, out);
            }
        }
        if outcome == Outcome::Conflict {
            // The rows that are read back show whether another decider was faster. The next try does
            // without the permit, whose row all decisions of a burst would write.
            let random = self.random();
            let now = self.now;
            let home = self.home(model);
            home.conflicts = (home.conflicts + 1).min(CONFLICT_DOUBLINGS);
            home.retry_at = now + random % (CONFLICT_MS << home.conflicts);
            out.push(Effect::Log(LogEvent::new("conflict").with("model", self.model_name(model))));
        }
    }

    /// Hands an endpoint's row to the entries that asked for the model.
    ///
    /// Through the feed they would hear of the decision, and later of the model's being ready, up to
    /// a poll later. Until they hear of the decision they ask the next in order, who would decide
    /// again and meet a conflict; and a caller waits for the whole delay of the other.
    fn announce(&mut self, model: ModelKey, endpoint: EndpointKey, out: &mut Vec<Effect>) {
        let Some(home) = self.homes.get(&model) else { return };
        let Some(row) = self.view.endpoint(endpoint) else { return };
        let row = Row {
            key: endpoint_key(self.view.endpoint_name(endpoint)),
            version: self.view.endpoint_version(endpoint),
            body: Some(row.encode_to_vec()),
        };
        for to in home.followers.iter().filter(|to| **to != self.profile.address) {
            out.push(Effect::Announce { to: to.clone(), row: row.clone() });
        }
    }

    /// Hands the row of a replica that has become ready to those that wait for it.
    fn announce_ready(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        if self.homes.get(&model).is_none_or(|home| home.followers.is_empty()) {
            return;
        }
        let ready = self.view.replicas(model).find(|(_, phase)| *phase == Phase::Ready);
        if let Some((endpoint, _)) = ready {
            self.announce(model, endpoint, out);
            self.home(model).followers.clear();
        }
    }

    pub(super) fn verdict(&mut self, model: &str, kind: RefusalKind, out: &mut Vec<Effect>) {
        let Some(model) = self.view.registry.models.get(model) else { return };
        if self.view.replicas(model).next().is_none() {
            self.demands.remove(&model);
            self.refuse_waiting(Target::Model(model), kind, out);
        }
    }

    /// Reacts to a change of a model's replicas.
    pub(super) fn replicas_changed(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let phases = self.view.replicas(model).map(|(_, phase)| phase).collect::<Vec<_>>();
        let coming = phases.iter().any(|it| matches!(it, Phase::Wanted | Phase::Loading));
        if coming {
            self.loading_since.entry(model).or_insert(self.now);
        } else {
            self.loading_since.remove(&model);
        }
        if phases.is_empty() {
            self.misplaced.retain(|(_, it), _| *it != model);
        } else if !self.homes.contains_key(&model) && self.owns(self.model_name(model)) {
            self.home(model);
        }
        if phases.contains(&Phase::Ready) {
            self.demands.remove(&model);
            self.announce_ready(model, out);
        }
        self.dispatch(Target::Model(model), out);
    }

    /// Forgets the models whose home another member is now, and takes over those of this one.
    pub(super) fn review_homes(&mut self) {
        let kept = self.homes.keys().copied().filter(|it| self.owns(self.model_name(*it)));
        let kept = kept.collect::<Set<_>>();
        let busy = |home: &Home| home.demand.is_some();
        self.homes.retain(|model, home| kept.contains(model) || busy(home));
        let warm = self.view.warm_models().filter(|it| !self.homes.contains_key(it));
        let warm = warm.filter(|it| self.owns(self.model_name(*it))).collect::<Vec<_>>();
        for model in warm {
            self.home(model);
        }
    }

    /// Whether the model or its base failed to load a while ago.
    fn cooling(&self, model: ModelKey) -> bool {
        let base = self.catalogue.models.get(&model).and_then(|spec| spec.base);
        self.cooldown(model).is_some() || base.is_some_and(|base| self.cooldown(base).is_some())
    }

    /// Notes a load that failed, so that its model is left alone for a while, and refuses what waits
    /// for it: every entry would else ask again at once, and the load would fail again and again.
    pub(super) fn note_failures(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let failures = self.view.model_row(model).map_or(0, |row| row.failures);
        let known = self.cooldowns.get(&model).map_or(0, |(failures, _)| *failures);
        if failures == 0 {
            self.cooldowns.remove(&model);
        } else if failures != known {
            let pause = (FAILED_MS << (failures - 1).min(10)).min(FAILED_LIMIT_MS);
            self.cooldowns.insert(model, (failures, self.now + pause));
            if self.view.replicas(model).all(|(_, phase)| phase != Phase::Ready) {
                self.refuse_waiting(Target::Model(model), RefusalKind::LoadFailed, out);
            }
        }
    }

    /// Milliseconds for which a model that failed to load is left alone.
    pub(super) fn cooldown(&self, model: ModelKey) -> Option<u64> {
        let (_, until) = self.cooldowns.get(&model)?;
        (*until > self.now).then(|| until.since(self.now))
    }
}
