//! Queue of loads from the weight store, over all entries: which model is loaded next, and for which entry.

use citronrill_base::{Map, Millis};
use citronrill_wire::{StoreLoadGrant, StoreLoadReport, StoreLoadSeen, StoreWant};

use crate::side::EntryLink;

/// Milliseconds without a report after which what an entry reported no longer counts: three report
/// intervals.
const REPORT_LIFE_MS: u64 = 1_500;
/// Milliseconds after the first report before anything is granted: every entry has reported by then, and so
/// all loads in progress are known.
const REBUILD_MS: u64 = 500;
/// Milliseconds for which a grant counts as a load in progress until the load is seen.
const LEASE_MS: u64 = 1_000;
/// Milliseconds from a load request until the entries' reports show the load: a state of the side and the
/// shortest interval between two reports, with a margin.
const SEEN_MS: u64 = 250;
/// Milliseconds before a model that an entry could not place is granted to that entry again.
const DECLINED_PAUSE_MS: u64 = 500;
/// Duration so far of a load in thousandths of the time that it should take, from which it counts as one
/// that does not end.
const STUCK_MILLI: f64 = 1_500.0;
/// Lower bound, in milliseconds, on the usual time of a load: guards against a reported time of 0.
const MIN_LOAD_MS: u64 = 1;

/// What one entry reported last.
#[derive(Debug)]
struct EntryReport {
    received_at: Millis,
    report: StoreLoadReport,
}

/// A grant whose load is not seen yet.
#[derive(Debug)]
struct OpenGrant {
    number: u64,
    model: String,
    link: EntryLink,
    granted_at: Millis,
}

/// A load that entries see.
#[derive(Debug)]
struct SeenLoad {
    /// Time that loads beside it may have cost it so far, in thousandths of its usual time.
    allowance: f64,
    updated_at: Millis,
    stuck: bool,
}

/// What all entries together want of a model.
#[derive(Debug)]
struct Demand<'a> {
    model: &'a str,
    rank: u32,
    score: f64,
    waiting: u32,
    refused_milli: u32,
    /// The entries that want it, the one that wants it most first.
    entries: Vec<(f64, EntryLink)>,
}

/// A grant for one entry, with the reasons for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreGrant {
    /// The entry.
    pub link: EntryLink,
    /// The number of its last report.
    pub report: u64,
    /// The grant.
    pub grant: StoreLoadGrant,
    /// Rank of the model's need, as in [`StoreWant::rank`].
    pub rank: u32,
    /// Requests that wait for the model, over all entries.
    pub waiting: u32,
    /// Requests a second that are refused because it is missing, over all entries, in thousandths.
    pub refused_milli: u32,
    /// Maximum number of loads in progress.
    pub limit: u32,
}

/// A load that does not end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StuckLoad {
    /// The model.
    pub model: String,
    /// The instance that loads it.
    pub instance: String,
    /// Time spent so far in thousandths of its usual time.
    pub late_milli: u32,
}

/// Decides which models are loaded from the weight store, by the reports of all entries.
///
/// The state is rebuilt from the reports. Two queues that are in use at the same time each count the loads
/// that are seen, so that each starts at most one load of a model.
#[derive(Debug, Default)]
pub struct StoreQueue {
    reports: Map<EntryLink, EntryReport>,
    grants: Vec<OpenGrant>,
    loads: Map<(String, String), SeenLoad>,
    declined: Vec<(String, EntryLink, Millis)>,
    /// When the first of the current reports arrived.
    first_report: Option<Millis>,
    last_number: u64,
}

impl StoreQueue {
    /// Stores the report of an entry. Returns whether it is newer than the last one.
    pub fn report(&mut self, link: EntryLink, report: StoreLoadReport, now: Millis) -> bool {
        if self.reports.get(&link).is_some_and(|last| report.number <= last.report.number) {
            return false;
        }
        self.expire(now);
        self.first_report.get_or_insert(now);
        for number in &report.declined {
            let declined =
                self.grants.iter().position(|grant| grant.number == *number && grant.link == link);
            if let Some(grant) = declined.map(|place| self.grants.remove(place)) {
                self.declined.push((grant.model, grant.link, now));
            }
        }
        self.reports.insert(link, EntryReport { received_at: now, report });
        true
    }

    /// Removes an entry whose connection has ended. Its grants count until their leases expire: it may
    /// have used them.
    pub fn remove(&mut self, link: EntryLink) {
        self.reports.remove(&link);
    }

    /// Returns the grants that are due. `known` tells whether the configuration has a model.
    pub fn grant(&mut self, known: impl Fn(&str) -> bool, now: Millis) -> Vec<StoreGrant> {
        self.expire(now);
        self.update_loads(now);
        let rebuilt = self.first_report.is_some_and(|first| now.since(first) >= REBUILD_MS);
        let mut granted = Vec::new();
        while let Some(grant) = self.next_grant(&known).filter(|_| rebuilt) {
            self.last_number = grant.grant.number;
            self.grants.push(OpenGrant {
                number: grant.grant.number,
                model: grant.grant.model.clone(),
                link: grant.link,
                granted_at: now,
            });
            granted.push(grant);
        }
        granted
    }

    /// Returns the loads that are newly found not to end. The caller asks this before [`StoreQueue::grant`],
    /// which grants them again.
    pub fn find_stuck(&mut self, now: Millis) -> Vec<StuckLoad> {
        self.expire(now);
        self.update_loads(now);
        let mut found = Vec::new();
        for ((model, instance), late_milli) in self.lateness() {
            let key = (model.clone(), instance.clone());
            let Some(load) = self.loads.get_mut(&key) else { continue };
            if !load.stuck && f64::from(late_milli) >= STUCK_MILLI + load.allowance {
                load.stuck = true;
                found.push(StuckLoad { model, instance, late_milli });
            }
        }
        found
    }

    fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, entry| now.since(entry.received_at) < REPORT_LIFE_MS);
        self.declined.retain(|(_, _, at)| now.since(*at) < DECLINED_PAUSE_MS);
        // The entry may be gone, or what is sent to it is lost: another one gets the next grant.
        let is_expired = |grant: &mut OpenGrant| now.since(grant.granted_at) >= LEASE_MS;
        let expired = self.grants.extract_if(.., is_expired);
        self.declined.extend(expired.map(|grant| (grant.model, grant.link, now)));
        if self.reports.is_empty() {
            self.first_report = None;
            self.loads.clear();
        }
    }

    fn seen(&self) -> impl Iterator<Item = &StoreLoadSeen> {
        self.reports.values().flat_map(|entry| &entry.report.seen)
    }

    /// Returns the loads that entries see, with the longest duration reported of each.
    fn lateness(&self) -> Vec<((String, String), u32)> {
        let mut longest = Map::<(String, String), u32>::default();
        for seen in self.seen() {
            let late = longest.entry((seen.model.clone(), seen.instance.clone())).or_default();
            *late = (*late).max(seen.late_milli);
        }
        longest.into_iter().collect()
    }

    /// Follows the loads that entries see, and how much time the loads beside each may have cost it: with
    /// `n` loads at once, the store gives each at least an `n`th of its speed. A load that does not end may
    /// still take its share.
    fn update_loads(&mut self, now: Millis) {
        let mut current = Map::<(String, String), StoreLoadSeen>::default();
        for seen in self.seen() {
            let key = (seen.model.clone(), seen.instance.clone());
            let load = current.entry(key).or_insert_with(|| seen.clone());
            load.late_milli = load.late_milli.max(seen.late_milli);
            load.concurrent = load.concurrent.max(seen.concurrent);
        }
        self.loads.retain(|key, _| current.contains_key(key));
        let lost_share = 1.0 - 1.0 / current.len().max(1) as f64;
        for (key, seen) in current {
            let load_ms = seen.load_ms.max(MIN_LOAD_MS) as f64;
            let load = self.loads.entry(key).or_insert_with(|| {
                let lost_share = 1.0 - 1.0 / f64::from(seen.concurrent.max(1));
                let allowance = f64::from(seen.late_milli) * lost_share;
                SeenLoad { allowance, updated_at: now, stuck: false }
            });
            let elapsed = now.since(load.updated_at) as f64;
            load.allowance += elapsed * lost_share * 1_000.0 / load_ms;
            load.updated_at = now;
        }
        let is_seen =
            |model: &str| self.loads.iter().any(|((seen, _), load)| seen == model && !load.stuck);
        let open = self.grants.iter().map(|grant| is_seen(&grant.model)).collect::<Vec<_>>();
        let mut open = open.into_iter();
        self.grants.retain(|_| !open.next().unwrap_or(false));
    }

    /// Returns the loads in progress: those seen, and those granted and not seen yet.
    fn under_way(&self) -> u32 {
        let seen = self.loads.values().filter(|load| !load.stuck).count();
        (seen + self.grants.len()) as u32
    }

    /// Returns the maximum number of loads in progress: the lowest that an entry knows. An entry that has
    /// just started learns from the sides' first reports, and a load too many slows down all others.
    fn limit(&self) -> u32 {
        let limits = self.reports.values().map(|entry| entry.report.limit);
        limits.min().unwrap_or(1).max(1)
    }

    fn next_grant(&self, known: &impl Fn(&str) -> bool) -> Option<StoreGrant> {
        let (under_way, limit) = (self.under_way(), self.limit());
        let mut demands = self.demands(known);
        demands.sort_by(|a, b| {
            a.rank.cmp(&b.rank).then(b.score.total_cmp(&a.score)).then(a.model.cmp(b.model))
        });
        let fits = |demand: &&Demand<'_>| {
            // The last place is reserved for models that no endpoint has.
            let reserved = u32::from(demand.rank > 0 && limit > 1);
            under_way + reserved < limit
        };
        let candidates = demands.iter().filter(fits).filter_map(|demand| {
            let mut entries = demand.entries.iter().map(|(_, link)| *link);
            let link = entries.find(|link| !self.has_declined(demand.model, *link))?;
            Some((demand, link))
        });
        let (demand, link) = candidates.into_iter().next()?;
        let stuck =
            self.loads.iter().filter(|((model, _), load)| load.stuck && model == demand.model);
        let report = self.reports.get(&link)?.report.number;
        Some(StoreGrant {
            link,
            report,
            grant: StoreLoadGrant {
                model: demand.model.to_owned(),
                number: self.last_number + 1,
                lease_ms: LEASE_MS - SEEN_MS,
                under_way,
                avoid: stuck.map(|((_, instance), _)| instance.clone()).collect(),
            },
            rank: demand.rank,
            waiting: demand.waiting,
            refused_milli: demand.refused_milli,
            limit,
        })
    }

    fn has_declined(&self, model: &str, link: EntryLink) -> bool {
        self.declined.iter().any(|(declined, by, _)| declined == model && *by == link)
    }

    /// Returns the models that entries want and that have no load in progress.
    ///
    /// Entries that disagree about whether an endpoint has a model see different reports of the sides: a
    /// model that one of them has seen at an endpoint is not missing.
    fn demands(&self, known: &impl Fn(&str) -> bool) -> Vec<Demand<'_>> {
        let mut demands = Map::<&str, Demand<'_>>::default();
        for (link, entry) in &self.reports {
            for want in &entry.report.wanted {
                if !known(&want.model) || self.is_under_way(&want.model) {
                    continue;
                }
                let demand = demands.entry(&want.model).or_insert_with(|| Demand {
                    model: &want.model,
                    rank: want.rank,
                    score: 0.0,
                    waiting: 0,
                    refused_milli: 0,
                    entries: Vec::new(),
                });
                demand.add(*link, want);
            }
        }
        let mut demands = demands.into_values().collect::<Vec<_>>();
        for demand in &mut demands {
            demand.entries.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        }
        demands
    }

    fn is_under_way(&self, model: &str) -> bool {
        self.grants.iter().any(|grant| grant.model == model)
            || self.loads.iter().any(|((seen, _), load)| seen == model && !load.stuck)
    }
}

impl Demand<'_> {
    fn add(&mut self, link: EntryLink, want: &StoreWant) {
        let score = score(want);
        self.rank = self.rank.max(want.rank);
        self.waiting = self.waiting.saturating_add(want.waiting);
        self.refused_milli = self.refused_milli.saturating_add(want.refused_milli);
        // All entries estimate the gain of a further copy from the same reports.
        self.score = if want.rank == 0 { self.score + score } else { self.score.max(score) };
        self.entries.push((score, link));
    }
}

/// Returns the requests that a load serves: those that wait, and those refused while it takes place, which
/// come back. For a model that an endpoint has, the gain in milliseconds.
fn score(want: &StoreWant) -> f64 {
    if want.rank > 0 {
        return f64::from(want.gain_ms);
    }
    let load_s = want.load_ms as f64 / 1_000.0;
    f64::from(want.waiting) + f64::from(want.refused_milli) / 1_000.0 * load_s
}
