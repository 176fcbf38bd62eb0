//! An entry's account of what organisations ask for, and of which requests are within a share.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use citronrill_base::{Map, Millis, hash_bytes};
use citronrill_wire::{OrganisationDemand, ServiceDemand, ServiceShares, ShareReply, ShareReport};

use super::level::{Demand, RATE_DECAY_MS, Rest, divide};
use crate::{decaying_count::DecayingCount, organisation::Organisations};

/// Milliseconds between two reports while a service is short of room.
const SHORT_REPORT_MS: u64 = 250;
/// Milliseconds between two reports otherwise.
const REPORT_MS: u64 = 1_000;
/// Milliseconds for which a service counts as short of room after it was last seen so.
const SHORT_MS: u64 = 1_000;
/// Milliseconds without a reply after which an entry divides its own room alone.
const ALONE_MS: u64 = 1_500;
/// Milliseconds after its last request for which an organisation is remembered.
const FORGET_MS: u64 = 60_000;
/// Largest number of organisations that a report lists for a service.
const MAX_LISTED: usize = 64;
/// Arrivals a second below which an organisation counts as without any: one request, 1.5 s ago.
const MIN_RATE: f64 = 0.01;
/// Weight of the latest request in the average time for which a request occupies a slot.
const OCCUPANCY_WEIGHT: f64 = 0.05;
/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// A change that is worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareChange {
    /// This part of an organisation's requests for a service is within its share, the rest is over it.
    Over(String, Arc<str>, f64),
    /// All requests of an organisation for a service are within its share again.
    Within(String, Arc<str>),
    /// No side has replied for this many milliseconds, and the entry divides its own room.
    Alone(u64),
    /// A side replies again.
    Regained,
}

/// What an entry knows of organisations' shares.
#[derive(Debug, Default)]
pub struct ShareAccount {
    /// A number unique to the entry.
    seed: u64,
    services: BTreeMap<String, ServiceAccount>,
    divider: Option<SocketAddr>,
    /// Number of the last report, and when it was sent.
    number: u64,
    sent_at: Option<Millis>,
    /// Number of the last report that was replied to.
    replied: u64,
    /// When the last reply came, or else when the account was first used.
    replied_at: Option<Millis>,
    /// When the entry last divided its own room; `None` while a side replies.
    alone_at: Option<Millis>,
    over_requests: u64,
    changes: Vec<ShareChange>,
}

#[derive(Debug, Default)]
struct ServiceAccount {
    callers: Map<Option<Arc<str>>, Caller>,
    /// Milliseconds for which a request occupies a slot; `None` until one has ended.
    occupancy_ms: Option<f64>,
    short_at: Option<Millis>,
    /// Whether it is short of room at any entry, by the last reply.
    told_short: bool,
    /// Parts of their requests that are within the share, of organisations that are over it.
    parts: Map<Arc<str>, f64>,
}

/// Arrivals of one organisation.
#[derive(Debug, Default)]
struct Caller {
    /// By rank of the route, the most urgent first.
    flows: BTreeMap<u8, Flow>,
    last_arrival: Millis,
}

#[derive(Debug, Default)]
struct Flow {
    count: DecayingCount,
    /// Part of a request that is within the share and not used yet.
    carried: f64,
}

impl Flow {
    fn rate(&self, now: Millis) -> f64 {
        self.count.decayed(RATE_DECAY_MS, now) * 1_000.0 / RATE_DECAY_MS
    }
}

impl Caller {
    fn rate(&self, now: Millis) -> f64 {
        self.flows.values().map(|flow| flow.rate(now)).sum()
    }

    /// Returns which part of the requests of a rank is within the share, if `part` of all are: the most
    /// urgent routes use the share first.
    fn part_of_rank(&self, rank: u8, part: f64, now: Millis) -> f64 {
        let urgent = self.flows.range(..rank).map(|(_, flow)| flow.rate(now)).sum::<f64>();
        let own = self.flows.get(&rank).map_or(0.0, |flow| flow.rate(now));
        ((part * self.rate(now) - urgent) / own.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

impl ServiceAccount {
    fn is_short(&self, now: Millis) -> bool {
        self.short_at.is_some_and(|at| now.since(at) < SHORT_MS)
    }

    /// Returns the requests a second that this many slots serve; 0 if unknown.
    fn capacity(&self, slots: u32) -> f64 {
        self.occupancy_ms.map_or(0.0, |ms| f64::from(slots) * 1_000.0 / ms.max(1.0))
    }

    /// Returns the organisations with arrivals, the largest first, and all other callers.
    fn demands(&self, now: Millis) -> (Vec<(Arc<str>, f64)>, Rest) {
        let (mut named, mut rest) = (Vec::new(), Rest::default());
        for (name, caller) in &self.callers {
            let rate = caller.rate(now);
            match name {
                _ if rate < MIN_RATE => {}
                Some(name) => named.push((name.clone(), rate)),
                None => rest = Rest { rate, count: 1 },
            }
        }
        named.sort_unstable_by(|(a, x), (b, y)| y.total_cmp(x).then_with(|| a.cmp(b)));
        for (_, rate) in named.drain(MAX_LISTED.min(named.len())..) {
            rest = Rest { rate: rest.rate + rate, count: rest.count + 1 };
        }
        (named, rest)
    }

    fn report(&self, service: &str, slots: u32, now: Millis) -> ServiceDemand {
        let (named, rest) = self.demands(now);
        let milli = |rate: f64| (rate * MILLI) as u64;
        let organisations = named.into_iter().map(|(name, rate)| OrganisationDemand {
            name: name.to_string(),
            rate_milli: milli(rate),
        });
        ServiceDemand {
            service: service.to_owned(),
            capacity_milli: milli(self.capacity(slots)),
            short: self.is_short(now),
            organisations: organisations.collect(),
            rest_milli: milli(rest.rate),
            rest_count: rest.count,
        }
    }

    fn set_parts(
        &mut self,
        service: &str,
        parts: Map<Arc<str>, f64>,
        changes: &mut Vec<ShareChange>,
    ) {
        for (name, part) in parts.iter().filter(|(name, _)| !self.parts.contains_key(*name)) {
            changes.push(ShareChange::Over(service.to_owned(), name.clone(), *part));
        }
        for name in self.parts.keys().filter(|name| !parts.contains_key(*name)) {
            changes.push(ShareChange::Within(service.to_owned(), name.clone()));
        }
        self.parts = parts;
    }
}

impl ShareAccount {
    /// Creates the account of the entry with this number.
    pub fn new(seed: u64) -> ShareAccount {
        ShareAccount { seed, ..ShareAccount::default() }
    }

    /// Counts an arrival on a route of this rank, and returns whether it is over its organisation's share.
    ///
    /// Of an organisation over its share, the given part is within it, spread evenly. The first one at an
    /// entry is placed by the entry's number: otherwise the first requests at all entries would be over it.
    pub fn count_arrival(
        &mut self,
        service: &str,
        organisation: Option<&Arc<str>>,
        rank: u8,
        now: Millis,
    ) -> bool {
        let seed = self.seed;
        let account = self.service(service);
        let caller = account.callers.entry(organisation.cloned()).or_default();
        caller.last_arrival = now;
        let first = || Flow { carried: phase(seed, organisation, rank), ..Flow::default() };
        caller.flows.entry(rank).or_insert_with(first).count.add(RATE_DECAY_MS, now);
        let Some(part) = organisation.and_then(|name| account.parts.get(name)) else {
            return false;
        };
        let part = caller.part_of_rank(rank, *part, now);
        let Some(flow) = caller.flows.get_mut(&rank) else { return false };
        flow.carried += part;
        let over = flow.carried < 1.0;
        if !over {
            flow.carried -= 1.0;
        }
        self.over_requests += u64::from(over);
        over
    }

    /// Takes back an arrival that was refused because of its organisation's limit: it asks for no room.
    pub fn uncount(
        &mut self,
        service: &str,
        organisation: Option<&Arc<str>>,
        rank: u8,
        now: Millis,
    ) {
        let caller = self.service(service).callers.get_mut(&organisation.cloned());
        if let Some(flow) = caller.and_then(|caller| caller.flows.get_mut(&rank)) {
            let weight = flow.count.decayed(RATE_DECAY_MS, now).min(1.0);
            flow.count.add_weight(-weight, RATE_DECAY_MS, now);
        }
    }

    /// Records that a request occupied a slot of a service for this long.
    pub fn record_occupancy(&mut self, service: &str, ms: f64) {
        let average = &mut self.service(service).occupancy_ms;
        let known = average.unwrap_or(ms);
        *average = Some(known + OCCUPANCY_WEIGHT * (ms - known));
    }

    /// Returns the milliseconds for which a request occupies a slot of a service; 0 if unknown.
    pub fn occupancy_ms(&self, service: &str) -> f64 {
        self.services.get(service).and_then(|account| account.occupancy_ms).unwrap_or(0.0)
    }

    /// Records that a service is short of room.
    pub fn mark_short(&mut self, service: &str, now: Millis) {
        self.service(service).short_at = Some(now);
    }

    /// Sets the side that divides shares. A new one gets a report at once.
    pub fn set_divider(&mut self, divider: Option<SocketAddr>) {
        if self.divider != divider {
            self.divider = divider;
            self.sent_at = None;
        }
    }

    /// Returns whether a report is due: earlier while a service is short of room.
    pub fn report_due(&self, now: Millis) -> bool {
        let short =
            self.services.values().any(|account| account.told_short || account.is_short(now));
        let interval_ms = if short { SHORT_REPORT_MS } else { REPORT_MS };
        self.divider.is_some() && self.sent_at.is_none_or(|at| now.since(at) >= interval_ms)
    }

    /// Returns the report, and the side that it goes to; `slots` has the slots of a service.
    pub fn take_report(
        &mut self,
        slots: impl Fn(&str) -> u32,
        now: Millis,
    ) -> Option<(SocketAddr, ShareReport)> {
        let divider = self.divider?;
        self.forget_silent(now);
        self.number += 1;
        self.sent_at = Some(now);
        let services = self.services.iter();
        let services = services.map(|(name, account)| account.report(name, slots(name), now));
        Some((divider, ShareReport { number: self.number, services: services.collect() }))
    }

    /// Applies a reply of a side. One of another side, or out of date, has no effect.
    pub fn apply(
        &mut self,
        side: SocketAddr,
        reply: &ShareReply,
        organisations: &Organisations,
        now: Millis,
    ) {
        let current = self.replied < reply.number && reply.number <= self.number;
        if self.divider != Some(side) || !current {
            return;
        }
        self.replied = reply.number;
        self.replied_at = Some(now);
        if self.alone_at.take().is_some() {
            self.changes.push(ShareChange::Regained);
        }
        for (service, account) in &mut self.services {
            let shares = reply.services.iter().find(|shares| shares.service == *service);
            account.told_short = shares.is_some();
            let parts = shares.map(|shares| known_parts(shares, organisations));
            account.set_parts(service, parts.unwrap_or_default(), &mut self.changes);
        }
    }

    /// Divides the entry's own room among its own callers if no side has replied for long. `slots` has the
    /// slots of a service, of which each of `entries` entries uses an equal part.
    pub fn divide_alone(
        &mut self,
        slots: impl Fn(&str) -> u32,
        entries: u32,
        organisations: &Organisations,
        now: Millis,
    ) {
        let silent_ms = now.since(*self.replied_at.get_or_insert(now));
        let due = self.alone_at.is_none_or(|at| now.since(at) >= SHORT_REPORT_MS);
        if silent_ms < ALONE_MS || !due {
            return;
        }
        if self.alone_at.replace(now).is_none() {
            self.changes.push(ShareChange::Alone(silent_ms));
        }
        for (service, account) in &mut self.services {
            account.told_short = false;
            let mut parts = Map::default();
            let capacity = account.capacity(slots(service)) / f64::from(entries.max(1));
            if account.is_short(now) && capacity > 0.0 {
                let (named, rest) = account.demands(now);
                let demand = |(name, rate): (Arc<str>, f64)| {
                    let priority = organisations.named(&name)?.priority.unwrap_or(0);
                    let was_over = account.parts.contains_key(&name);
                    Some(Demand { name, priority, rate, was_over })
                };
                let demands = named.into_iter().filter_map(demand).collect::<Vec<_>>();
                parts.extend(divide(&demands, rest, capacity));
            }
            account.set_parts(service, parts, &mut self.changes);
        }
    }

    /// Drops what is known of organisations that a new configuration does not have.
    pub fn retain_known(&mut self, organisations: &Organisations) {
        let known = |name: &str| organisations.named(name).is_some();
        for account in self.services.values_mut() {
            account.callers.retain(|name, _| name.as_deref().is_none_or(known));
            account.parts.retain(|name, _| known(name));
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of requests over a share so far.
    pub fn over_requests(&self) -> u64 {
        self.over_requests
    }

    fn forget_silent(&mut self, now: Millis) {
        for account in self.services.values_mut() {
            account.callers.retain(|_, caller| now.since(caller.last_arrival) < FORGET_MS);
        }
    }

    fn service(&mut self, service: &str) -> &mut ServiceAccount {
        self.services.entry(service.to_owned()).or_default()
    }
}

/// Returns the parts of a reply that concern known organisations.
fn known_parts(shares: &ServiceShares, organisations: &Organisations) -> Map<Arc<str>, f64> {
    let known = shares.over.iter().filter_map(|over| {
        let name = organisations.named(&over.name)?.name.clone();
        Some((name, f64::from(over.within_milli) / MILLI))
    });
    known.collect()
}

/// Returns where in the series of an organisation's requests an entry begins, from 0 to 1.
fn phase(seed: u64, organisation: Option<&Arc<str>>, rank: u8) -> f64 {
    let name = hash_bytes(organisation.map_or(&[][..], |name| name.as_bytes()));
    let mixed = name.rotate_left(u32::from(rank)) ^ seed;
    hash_bytes(&mixed.to_le_bytes()) as f64 / u64::MAX as f64
}
