//! Which calls a side runs: each at most once, and none after it was cancelled.

use std::collections::BTreeSet;

use citronrill_base::{Map, Millis};
use citronrill_config::Class;

use crate::call::{CallId, CancelAnswer, Decline, Offer};

/// Records of calls kept at most.
///
/// A record lives until its call's expiry on this process's clock: after that a delayed copy is
/// declined as expired, with no record needed. At 4,300 requests a second over 610 sides, 7 calls a
/// second come to a side; with deadlines of 10 minutes that is 4,200 records. The limit leaves
/// room for 15 times as many, in about 6 MB.
pub const RECORD_LIMIT: usize = 65_536;
/// Slots that only urgent calls, or organisations below their part, may take: one in this many.
const RESERVE_PART: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended,
    Refused(Decline),
}

#[derive(Debug, Clone)]
struct Record {
    state: State,
    expires: Millis,
    model: String,
    org: String,
}

/// What to do with an offered call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run it now.
    Run,
    /// It runs already or has run: attach to it, do not run it again.
    Known,
    /// Do not run it.
    Declined(Decline),
}

/// The calls of one side process.
#[derive(Debug, Default)]
pub struct Calls {
    records: Map<CallId, Record>,
    expiry: BTreeSet<(Millis, CallId)>,
    running: u64,
    per_org: Map<String, u64>,
    per_model: Map<String, u64>,
    last_used: Map<String, Millis>,
    limit: Option<usize>,
}

impl Calls {
    /// Calls with room for `limit` records.
    pub fn with_limit(limit: usize) -> Calls {
        Calls { limit: Some(limit), ..Calls::default() }
    }

    /// What was decided on a call before; a frame may come twice.
    pub fn decided(&self, id: CallId) -> Option<Admission> {
        match self.records.get(&id)?.state {
            State::Running | State::Ended => Some(Admission::Known),
            State::Refused(why) => Some(Admission::Declined(why)),
        }
    }

    /// Decides on an offered call.
    pub fn offer(&mut self, now: Millis, slots: u64, offer: &Offer) -> Admission {
        if let Some(admission) = self.decided(offer.id) {
            return admission;
        }
        if now.0 > offer.expires {
            return Admission::Declined(Decline::Expired);
        }
        if self.full() || !self.has_slot(slots, offer) {
            return Admission::Declined(Decline::Busy);
        }
        self.running += 1;
        *self.per_org.entry(offer.org.clone()).or_default() += 1;
        *self.per_model.entry(offer.model.clone()).or_default() += 1;
        self.last_used.insert(offer.model.clone(), now);
        let expires = Millis(offer.expires);
        let (model, org) = (offer.model.clone(), offer.org.clone());
        self.keep(offer.id, Record { state: State::Running, expires, model, org });
        Admission::Run
    }

    /// Keeps a promise that an offered call will not run, until it expires.
    pub fn refuse(&mut self, offer: &Offer, why: Decline) {
        if !self.records.contains_key(&offer.id) && !self.full() {
            let expires = Millis(offer.expires);
            let (model, org) = (String::new(), String::new());
            self.keep(offer.id, Record { state: State::Refused(why), expires, model, org });
        }
    }

    fn has_slot(&self, slots: u64, offer: &Offer) -> bool {
        if self.running >= slots {
            return false;
        }
        let reserve = slots / RESERVE_PART;
        if self.running < slots - reserve || offer.class == Class::Urgent {
            return true;
        }
        let mine = self.per_org.get(&offer.org).copied().unwrap_or(0);
        let orgs = self.per_org.len() as u64 + u64::from(mine == 0);
        offer.class != Class::Batch && mine < slots / orgs.max(1)
    }

    fn full(&self) -> bool {
        self.records.len() >= self.limit.unwrap_or(RECORD_LIMIT)
    }

    fn keep(&mut self, id: CallId, record: Record) {
        self.expiry.insert((record.expires, id));
        self.records.insert(id, record);
    }

    /// Answers a cancellation.
    ///
    /// A call that has not come yet is recorded as cancelled, so that it does not run when it comes
    /// late. A full record cannot promise that, and says so.
    pub fn cancel(&mut self, now: Millis, id: CallId, expires: u64) -> CancelAnswer {
        match self.records.get(&id).map(|record| record.state) {
            Some(State::Running | State::Ended) => CancelAnswer::Ran,
            Some(State::Refused(_)) => CancelAnswer::NotRun,
            None if now.0 > expires => CancelAnswer::NotRun,
            None if self.full() => CancelAnswer::Unknown,
            None => {
                let state = State::Refused(Decline::Cancelled);
                let (model, org) = (String::new(), String::new());
                self.keep(id, Record { state, expires: Millis(expires), model, org });
                CancelAnswer::NotRun
            }
        }
    }

    /// A call has ended at the engine.
    pub fn ended(&mut self, now: Millis, id: CallId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.state != State::Running {
            return;
        }
        record.state = State::Ended;
        let (model, org) = (record.model.clone(), record.org.clone());
        self.running -= 1;
        lower(&mut self.per_org, &org);
        lower(&mut self.per_model, &model);
        self.last_used.insert(model, now);
        if self.records[&id].expires < now {
            self.forget(id);
        }
    }

    /// Drops records that have expired; a running call's record stays.
    pub fn expire(&mut self, now: Millis) {
        while let Some(&(expires, id)) = self.expiry.first() {
            if expires >= now {
                break;
            }
            self.expiry.pop_first();
            if self.records.get(&id).is_some_and(|record| record.state != State::Running) {
                self.records.remove(&id);
            }
        }
    }

    fn forget(&mut self, id: CallId) {
        if let Some(record) = self.records.remove(&id) {
            self.expiry.remove(&(record.expires, id));
        }
    }

    /// Calls that run now.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Calls of one model that run now.
    pub fn running_model(&self, model: &str) -> u64 {
        self.per_model.get(model).copied().unwrap_or(0)
    }

    /// When a model was last used.
    pub fn last_used(&self, model: &str) -> Option<Millis> {
        self.last_used.get(model).copied()
    }

    /// Counts a model as used now, so that one that has just been loaded is not the first to go.
    pub fn touch(&mut self, model: &str, now: Millis) {
        self.last_used.insert(model.to_owned(), now);
    }

    /// Drops what is known of a model that was unloaded.
    pub fn unloaded(&mut self, model: &str) {
        self.last_used.remove(model);
    }

    /// How many records are kept.
    pub fn records(&self) -> usize {
        self.records.len()
    }
}

fn lower(counts: &mut Map<String, u64>, key: &str) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
