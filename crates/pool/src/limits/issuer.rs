//! Issues credit to entries.

use citronrill_base::{Map, Millis};
use citronrill_wire::{Credit, CreditReply, CreditReport, EndpointLimit, LimitUse};

use super::{EndpointRate, LimitBounds, bounds::BucketTerms, key::LimitKey, told::ToldLimits};
use crate::{organisation::Organisations, side::EntryLink};

/// Milliseconds after its last report for which an entry counts as a client: entries report every
/// 500 ms.
const CLIENT_MS: u64 = 1_500;
/// Share of a bucket's contents that is kept for requests that wait: credit for requests to come is
/// issued from the rest only, or entries that do not need it would hold it all.
const KEPT_SHARE: f64 = 0.5;
/// Share of a bucket's contents that is divided evenly among all entries, so that the first requests of
/// an organisation at an entry do not wait for credit.
const EVEN_SHARE: f64 = 0.25;
/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// What credit is issued by.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// The organisations and their limits; `None` if there are none or none are known.
    pub organisations: Option<&'a Organisations>,
    /// By how much the limits may be exceeded.
    pub bounds: &'a LimitBounds,
    /// Number of entries that the issuer knows of.
    pub entries: u32,
}

impl Terms<'_> {
    /// Returns the terms of the bucket of a limit; `None` if there is no such limit.
    fn bucket_terms(&self, limit_use: &LimitUse) -> Option<BucketTerms> {
        if let Some(limit) = &limit_use.endpoint {
            return limit.milli.map(|milli| EndpointRate { milli }.terms());
        }
        let organisation = self.organisations?.named(&limit_use.name)?;
        organisation.limit.map(|limit| self.bounds.terms(limit))
    }
}

/// Divides the token bucket of each organisation, and of each endpoint that names a limit, among the entries.
///
/// Two sides may issue credit at the same time while some entries cannot reach one of them. Each
/// refills its buckets in proportion to the entries that report to it, so that both together stay
/// within the limit.
#[derive(Debug, Default)]
pub struct CreditIssuer {
    clients: Map<EntryLink, Client>,
    buckets: Map<LimitKey, Bucket>,
    told: ToldLimits,
    /// When an entry last began to report here: it may have used other credit before.
    joined_at: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct Client {
    reported_at: Millis,
    /// Number of entries that it knows of.
    entries: u32,
}

/// The bucket of one limit. Its contents include the credit that entries hold.
#[derive(Debug)]
struct Bucket {
    contents: f64,
    refilled_at: Millis,
    /// Sum of the credit that entries hold.
    held: f64,
    /// Sum of what entries want to hold.
    wanted: f64,
    holders: Map<EntryLink, Holder>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Holder {
    used: i64,
    held: f64,
    wanted: f64,
}

impl CreditIssuer {
    /// Handles a report of an entry.
    pub fn report(
        &mut self,
        link: EntryLink,
        report: &CreditReport,
        terms: Terms<'_>,
        now: Millis,
    ) -> CreditReply {
        self.add_client(link, report.entries, now);
        let reach = self.reach(terms.entries);
        let settled = self.joined_at.is_some_and(|at| now.since(at) >= terms.bounds.window_ms);
        let mut credits = Vec::new();
        for limit_use in &report.uses {
            if let Some(limit) = &limit_use.endpoint {
                self.told.record(limit, now);
            }
            let key = LimitKey::from(limit_use);
            let Some(bucket_terms) = terms.bucket_terms(limit_use) else {
                self.buckets.remove(&key);
                continue;
            };
            // All entries have reported here for a window, and none has used the limit. What an endpoint got
            // before it named one is unknown.
            let full = settled && !key.is_endpoint();
            let contents = if full { bucket_terms.capacity } else { bucket_terms.start };
            let bucket = self.buckets.entry(key).or_insert_with(|| Bucket::new(contents, now));
            bucket.refill(&bucket_terms, reach.share, now);
            if report.first {
                bucket.forget(link);
            }
            bucket.settle(link, limit_use);
            credits.push(bucket.issue(link, limit_use, bucket_terms.refill, reach));
        }
        CreditReply { number: report.number, credits }
    }

    /// Returns the limits that endpoints have named or lifted of late, as entries have told.
    pub fn endpoint_limits(&self, now: Millis) -> Vec<EndpointLimit> {
        self.told.list(now)
    }

    /// Forgets an entry whose connection has ended.
    pub fn remove(&mut self, link: EntryLink) {
        self.clients.remove(&link);
        for bucket in self.buckets.values_mut() {
            bucket.forget(link);
        }
    }

    fn add_client(&mut self, link: EntryLink, entries: u32, now: Millis) {
        self.clients.retain(|_, client| now.since(client.reported_at) < CLIENT_MS);
        let client = Client { reported_at: now, entries };
        if self.clients.insert(link, client).is_none() {
            self.joined_at = Some(now);
        }
    }

    /// Returns which part of all entries report here.
    fn reach(&self, connected: u32) -> Reach {
        let known = self.clients.values().map(|client| client.entries).max().unwrap_or(0);
        let entries = known.max(connected).max(1);
        let share = self.clients.len() as f64 / f64::from(entries);
        Reach { entries: f64::from(entries), share: share.min(1.0) }
    }
}

/// The entries of the deployment, and the share of them that report to this side.
#[derive(Debug, Clone, Copy)]
struct Reach {
    entries: f64,
    share: f64,
}

impl Bucket {
    fn new(contents: f64, now: Millis) -> Bucket {
        Bucket { contents, refilled_at: now, held: 0.0, wanted: 0.0, holders: Map::default() }
    }

    fn refill(&mut self, terms: &BucketTerms, share: f64, now: Millis) {
        let elapsed_s = now.since(self.refilled_at) as f64 / 1_000.0;
        let capacity = (terms.capacity * share).max(terms.start);
        let refilled = self.contents + terms.refill * share * elapsed_s;
        self.contents = refilled.min(capacity);
        self.refilled_at = now;
    }

    /// Forgets an entry. What it held counts as used: it may have used it, or still do.
    fn forget(&mut self, link: EntryLink) {
        if let Some(holder) = self.holders.remove(&link) {
            self.contents -= holder.held;
            self.held -= holder.held;
            self.wanted -= holder.wanted;
        }
    }

    /// Takes what an entry used since its last report out of the bucket.
    fn settle(&mut self, link: EntryLink, report: &LimitUse) {
        // What it used before its first report was not credit of this side.
        let first = Holder { used: report.used, ..Holder::default() };
        let holder = self.holders.entry(link).or_insert(first);
        self.contents -= (report.used - holder.used) as f64;
        self.held += report.held as f64 - holder.held;
        let wanted = (report.waiting + report.ahead) as f64;
        self.wanted += wanted - holder.wanted;
        *holder = Holder { used: report.used, held: report.held as f64, wanted };
    }

    /// Gives an entry what its waiting requests need, as far as it is there, and some for requests to
    /// come while much is left.
    fn issue(&mut self, link: EntryLink, report: &LimitUse, refill: f64, reach: Reach) -> Credit {
        let mut holder = self.holders.get(&link).copied().unwrap_or_default();
        let free = (self.contents - self.held).max(0.0);
        // In addition to what the entry holds: requests that arrive meanwhile take from that.
        let needed = (report.waiting as f64).min(free);
        let spare = (free - needed - KEPT_SHARE * self.contents.max(0.0)).max(0.0);
        let ahead = (report.ahead as f64).max(EVEN_SHARE * self.contents / reach.entries);
        let extra = (ahead - holder.held).clamp(0.0, spare);
        let more = (needed + extra).floor();
        holder.held += more;
        self.held += more;
        self.holders.insert(link, holder);
        let fair = holder.wanted / self.wanted.max(1.0);
        let endpoint = report.endpoint.is_some();
        let scale = if endpoint { MILLI } else { 1.0 };
        let rate = (refill * reach.share * fair * scale) as u64;
        Credit { name: report.name.clone(), endpoint, units: holder.held as u64, rate }
    }
}
