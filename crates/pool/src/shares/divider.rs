//! Divides the room of services among organisations.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use citronrill_base::{Map, Millis};
use citronrill_wire::{OverShare, ServiceDemand, ServiceShares, ShareReply, ShareReport};

use super::level::{Demand, Rest, divide};
use crate::{organisation::Organisations, side::EntryLink};

/// Milliseconds after its last report for which an entry's demand counts: two of the longer report
/// intervals.
const CLIENT_MS: u64 = 2_000;
/// Milliseconds after the first report without a reply. Sums are complete after one report of each entry,
/// and entries report every 250 ms while a service is short of room.
const GATHER_MS: u64 = 500;
/// Milliseconds for which one division is kept: a fifth of the shorter report interval.
const DIVISION_MS: u64 = 50;
/// Largest number of unlisted organisations that is believed.
const MAX_UNLISTED: u32 = 1_000;
/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// Sums what entries report, and divides each service that is short of room.
#[derive(Debug, Default)]
pub struct ShareDivider {
    clients: Map<EntryLink, Client>,
    /// Since when at least one entry has reported.
    began_at: Millis,
    divided_at: Option<Millis>,
    services: Vec<ServiceShares>,
}

#[derive(Debug)]
struct Client {
    number: u64,
    reported_at: Millis,
    services: Vec<ServiceDemand>,
}

/// What all entries have reported of one service.
#[derive(Debug, Default)]
struct ServiceSum {
    short: bool,
    capacities: Vec<u64>,
    rates: BTreeMap<Arc<str>, u64>,
    rest: Rest,
}

impl ShareDivider {
    /// Handles a report of an entry. Returns no reply while the demand of all entries is not known yet, or
    /// if the report is out of date.
    pub fn report(
        &mut self,
        link: EntryLink,
        report: ShareReport,
        organisations: Option<&Organisations>,
        now: Millis,
    ) -> Option<ShareReply> {
        let organisations = organisations?;
        self.clients.retain(|_, client| now.since(client.reported_at) < CLIENT_MS);
        if self.clients.is_empty() {
            self.began_at = now;
            self.divided_at = None;
        }
        if self.clients.get(&link).is_some_and(|client| client.number >= report.number) {
            return None;
        }
        let number = report.number;
        let client = Client { number, reported_at: now, services: report.services };
        self.clients.insert(link, client);
        if now.since(self.began_at) < GATHER_MS {
            return None;
        }
        if self.divided_at.is_none_or(|at| now.since(at) >= DIVISION_MS) {
            self.divided_at = Some(now);
            self.services = self.divide_all(organisations);
        }
        Some(ShareReply { number, services: self.services.clone() })
    }

    /// Forgets an entry whose connection has ended.
    pub fn remove(&mut self, link: EntryLink) {
        self.clients.remove(&link);
    }

    fn divide_all(&self, organisations: &Organisations) -> Vec<ServiceShares> {
        let priority = |organisation: &crate::Organisation| organisation.priority.unwrap_or(0);
        let priorities = organisations
            .iter()
            .map(|organisation| (&*organisation.name, priority(organisation)))
            .collect::<Map<_, _>>();
        let sums = self.sums();
        let short = sums.into_iter().filter(|(_, sum)| sum.short);
        let shares = short.map(|(service, sum)| ServiceShares {
            service: service.to_owned(),
            over: sum.divide(&priorities, self.over_names(service)),
        });
        shares.collect()
    }

    /// Returns the organisations that were over their share of a service at the last division.
    fn over_names(&self, service: &str) -> BTreeSet<&str> {
        let shares = self.services.iter().filter(|shares| shares.service == service);
        shares.flat_map(|shares| &shares.over).map(|over| over.name.as_str()).collect()
    }

    fn sums(&self) -> BTreeMap<&str, ServiceSum> {
        let mut sums = BTreeMap::<&str, ServiceSum>::new();
        for demand in self.clients.values().flat_map(|client| &client.services) {
            sums.entry(&demand.service).or_default().add(demand);
        }
        sums
    }
}

impl ServiceSum {
    fn add(&mut self, demand: &ServiceDemand) {
        self.short |= demand.short;
        self.capacities.extend(Some(demand.capacity_milli).filter(|milli| *milli > 0));
        let mut named = BTreeSet::new();
        for organisation in &demand.organisations {
            // A report names each organisation once.
            if named.insert(&organisation.name) {
                let rate = match self.rates.get_mut(&*organisation.name) {
                    Some(rate) => rate,
                    None => self.rates.entry(organisation.name.as_str().into()).or_default(),
                };
                *rate = rate.saturating_add(organisation.rate_milli);
            }
        }
        if demand.rest_milli > 0 {
            self.rest.rate += demand.rest_milli as f64 / MILLI;
            self.rest.count = self.rest.count.max(demand.rest_count.clamp(1, MAX_UNLISTED));
        }
    }

    /// Returns the organisations over their share. Those that the configuration does not have are dropped.
    fn divide(mut self, priorities: &Map<&str, u8>, was_over: BTreeSet<&str>) -> Vec<OverShare> {
        // The median: an entry that has run few requests knows little of the capacity.
        self.capacities.sort_unstable();
        let Some(capacity) = self.capacities.get(self.capacities.len() / 2) else {
            return Vec::new();
        };
        let demands = self.rates.into_iter().filter_map(|(name, milli)| {
            let priority = *priorities.get(&*name)?;
            let was_over = was_over.contains(&*name);
            Some(Demand { name, priority, rate: milli as f64 / MILLI, was_over })
        });
        let demands = demands.collect::<Vec<_>>();
        let over = divide(&demands, self.rest, *capacity as f64 / MILLI);
        let share = |(name, part): (Arc<str>, f64)| OverShare {
            name: name.to_string(),
            within_milli: (part * MILLI) as u32,
        };
        over.map(share).collect()
    }
}
