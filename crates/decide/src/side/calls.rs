//! Admission of calls at a side: each runs at most once, and never after its cancellation.

use std::collections::BTreeSet;

use citronrill_base::{Map, Millis};
use citronrill_config::Class;

use crate::call::{CallId, CancelAnswer, Decline, Offer};

/// Maximum number of call records.
///
/// A record is kept until its call expires on this process's clock; a duplicate that arrives later
/// is declined as expired without a record. At 4,300 requests per second over 610 sides, a side
/// receives 7 calls per second; with deadlines of 10 minutes that is 4,200 records. The limit
/// leaves room for 15 times as many, in about 6 MB.
pub const RECORD_LIMIT: usize = 65_536;
/// One in this many slots is reserved for urgent calls and for normal calls of organisations below
/// their equal part of the slots.
const RESERVE_DIVISOR: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended,
    Declined(Decline),
}

#[derive(Debug, Clone)]
struct Record {
    state: State,
    expires: Millis,
    model: String,
    org: String,
}

/// Decision on an offered call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run it.
    Run,
    /// It is running or has run: attach to it instead of running it again.
    Duplicate,
    /// Do not run it.
    Declined(Decline),
}

/// Records and counters of the calls of one side process.
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
    /// Creates an empty set of calls with room for `limit` records.
    pub fn with_limit(limit: usize) -> Calls {
        Calls { limit: Some(limit), ..Calls::default() }
    }

    /// Returns the earlier decision on a call, if any: an offer may arrive twice.
    pub fn previous_decision(&self, id: CallId) -> Option<Admission> {
        match self.records.get(&id)?.state {
            State::Running | State::Ended => Some(Admission::Duplicate),
            State::Declined(reason) => Some(Admission::Declined(reason)),
        }
    }

    /// Admits or declines an offered call.
    pub fn offer(&mut self, now: Millis, slots: u64, offer: &Offer) -> Admission {
        if let Some(admission) = self.previous_decision(offer.id) {
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
        self.insert_record(offer.id, Record { state: State::Running, expires, model, org });
        Admission::Run
    }

    /// Records that an offered call was declined, so that it cannot run before it expires.
    pub fn record_decline(&mut self, offer: &Offer, reason: Decline) {
        if !self.records.contains_key(&offer.id) && !self.full() {
            let expires = Millis(offer.expires);
            let (model, org) = (String::new(), String::new());
            self.insert_record(
                offer.id,
                Record { state: State::Declined(reason), expires, model, org },
            );
        }
    }

    fn has_slot(&self, slots: u64, offer: &Offer) -> bool {
        if self.running >= slots {
            return false;
        }
        let reserve = slots / RESERVE_DIVISOR;
        if self.running < slots - reserve || offer.class == Class::Urgent {
            return true;
        }
        let own_running = self.per_org.get(&offer.org).copied().unwrap_or(0);
        let orgs = self.per_org.len() as u64 + u64::from(own_running == 0);
        offer.class != Class::Batch && own_running < slots / orgs.max(1)
    }

    fn full(&self) -> bool {
        self.records.len() >= self.limit.unwrap_or(RECORD_LIMIT)
    }

    fn insert_record(&mut self, id: CallId, record: Record) {
        self.expiry.insert((record.expires, id));
        self.records.insert(id, record);
    }

    /// Cancels a call.
    ///
    /// A call that has not arrived yet is recorded as cancelled, so that it does not run when it
    /// arrives late. If there is no room for the record, the answer is unknown.
    pub fn cancel(&mut self, now: Millis, id: CallId, expires: u64) -> CancelAnswer {
        match self.records.get(&id).map(|record| record.state) {
            Some(State::Running | State::Ended) => CancelAnswer::Ran,
            Some(State::Declined(_)) => CancelAnswer::NotRun,
            None if now.0 > expires => CancelAnswer::NotRun,
            None if self.full() => CancelAnswer::Unknown,
            None => {
                let state = State::Declined(Decline::Cancelled);
                let (model, org) = (String::new(), String::new());
                self.insert_record(id, Record { state, expires: Millis(expires), model, org });
                CancelAnswer::NotRun
            }
        }
    }

    /// Records that the engine has finished a call.
    pub fn ended(&mut self, now: Millis, id: CallId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.state != State::Running {
            return;
        }
        record.state = State::Ended;
        let (model, org) = (record.model.clone(), record.org.clone());
        self.running -= 1;
        decrement(&mut self.per_org, &org);
        decrement(&mut self.per_model, &model);
        self.last_used.insert(model, now);
        if self.records[&id].expires < now {
            self.remove_record(id);
        }
    }

    /// Removes expired records, except those of running calls.
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

    fn remove_record(&mut self, id: CallId) {
        if let Some(record) = self.records.remove(&id) {
            self.expiry.remove(&(record.expires, id));
        }
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Returns the number of running calls of a model.
    pub fn running_model(&self, model: &str) -> u64 {
        self.per_model.get(model).copied().unwrap_or(0)
    }

    /// Returns when a model was last used.
    pub fn last_used(&self, model: &str) -> Option<Millis> {
        self.last_used.get(model).copied()
    }

    /// Records a use of a model, so that one that has just been loaded is not evicted first.
    pub fn touch(&mut self, model: &str, now: Millis) {
        self.last_used.insert(model.to_owned(), now);
    }

    /// Removes the last use of a model that was unloaded.
    pub fn forget_model(&mut self, model: &str) {
        self.last_used.remove(model);
    }

    /// Returns the number of records.
    pub fn records(&self) -> usize {
        self.records.len()
    }
}

fn decrement(counts: &mut Map<String, u64>, key: &str) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
