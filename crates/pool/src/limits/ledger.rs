//! An entry's account of the credit that it holds.

use std::{net::SocketAddr, sync::Arc};

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{CreditReply, CreditReport, LimitUse};

use super::{LimitBounds, bounds::BucketTerms, endpoint_credit::EndpointAccount, key::LimitKey};
use crate::{decaying_count::DecayingCount, organisation::UsageLimit};

/// Milliseconds between two reports to the issuer when nothing changes.
const HEARTBEAT_MS: u64 = 500;
/// Minimum milliseconds between two reports.
const MIN_REPORT_MS: u64 = 10;
/// Milliseconds without a reply after which a report counts as lost.
const REPLY_TIMEOUT_MS: u64 = 150;
/// Milliseconds for which credit may be used after the report that it was issued for.
const LAPSE_MS: u64 = 2_000;
/// Milliseconds for which a request waits for credit while no issuer replies: about as long as it takes
/// to notice that the issuer is lost.
const MAX_WAIT_MS: u64 = 400;
/// Milliseconds of use that an entry wants to hold credit for.
const HORIZON_MS: f64 = 1_000.0;
/// Share of the wanted credit below which an entry asks for more before it runs out.
const LOW_SHARE: f64 = 0.4;
/// Decay time of the rate of use, in milliseconds.
const USE_DECAY_MS: f64 = 1_000.0;
/// Recent requests below which credit for an endpoint is returned: one request, half a second ago.
const UNWANTED: f64 = 0.6;
/// Milliseconds without a refusal after which an organisation is within its limit again.
const WITHIN_MS: u64 = 2_000;
/// Longest retry time, in milliseconds.
const MAX_RETRY_MS: u64 = 8_000;

/// A request of an organisation with a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// Its limit.
    pub limit: UsageLimit,
    /// Units that the request counts as.
    pub units: u64,
    /// When it arrived.
    pub arrived: Millis,
    /// The report that an earlier verdict told it to wait for.
    pub asked: Option<u64>,
}

/// Verdict on a request of an organisation with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charge {
    /// Credit was taken; the request may run.
    Taken,
    /// The request must wait until the issuer has replied to the report with this number.
    Wait(u64),
    /// The organisation is over its limit; there should be credit after these milliseconds.
    Over(u64),
    /// No issuer replies, so nobody knows.
    Unknown,
}

/// What an entry has counted for one organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitUsage {
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// Units that requests have taken.
    pub used: u64,
    /// Requests that were refused because the organisation was over its limit.
    pub refused: u64,
    /// Units of credit that the entry holds.
    pub left: u64,
}

/// The credit that an entry holds, by limit.
#[derive(Debug, Default)]
pub struct CreditLedger {
    bounds: LimitBounds,
    pub(super) accounts: Map<LimitKey, Account>,
    issuer: Option<SocketAddr>,
    /// Whether the credit that is held came from another issuer.
    foreign: bool,
    /// Number of the last report.
    number: u64,
    /// When the last report was sent.
    sent_at: Option<Millis>,
    /// Number of the last report that was replied to.
    replied: u64,
    /// Whether credit is needed before the next heartbeat.
    pub(super) needed: bool,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) terms: BucketTerms,
    /// Set if the limit is an endpoint's.
    pub(super) endpoint: Option<EndpointAccount>,
    used: i64,
    /// `used` in the last report.
    reported: i64,
    /// Number of the last report that was answered for this organisation: a side with an older
    /// configuration may not know it.
    answered: u64,
    /// Units of credit left.
    pub(super) held: f64,
    pub(super) lapses_at: Millis,
    /// Units of requests that wait for credit.
    pub(super) waiting: u64,
    /// Units asked for of late, and requests.
    recent_units: DecayingCount,
    recent_requests: DecayingCount,
    /// Units left for use without an issuer.
    alone: f64,
    alone_at: Millis,
    /// Units a second that the issuer last promised.
    pub(super) rate: f64,
    /// Units for which refused callers were told to return.
    returning: f64,
    returning_at: Millis,
    refused: u64,
    refused_at: Option<Millis>,
}

impl CreditLedger {
    /// Creates a ledger without credit.
    pub fn new(bounds: LimitBounds) -> CreditLedger {
        CreditLedger { bounds, ..CreditLedger::default() }
    }

    /// Sets the side that issues credit. Credit of the previous one is used up until the new one
    /// replies.
    pub fn set_issuer(&mut self, issuer: Option<SocketAddr>) {
        if self.issuer != issuer {
            self.issuer = issuer;
            self.foreign = true;
            self.sent_at = None;
        }
    }

    /// Takes credit for a request; `entries` is the number of entries in the deployment.
    pub fn charge(&mut self, claim: &Claim, entries: u32, now: Millis) -> Charge {
        let Claim { limit, units, asked, .. } = *claim;
        let key = LimitKey::Organisation(claim.organisation.clone());
        let terms = self.bounds.terms(limit);
        let account = self.accounts.entry(key).or_insert_with(|| Account::new(terms, now));
        account.terms = terms;
        if asked.is_none() {
            account.record_demand(units, now);
        } else {
            account.remove_waiting(units);
        }
        if account.take(units, now) {
            self.needed |= account.is_low(now);
            return Charge::Taken;
        }
        if asked.is_some_and(|number| number <= account.answered) {
            return Charge::Over(account.refuse(units, now));
        }
        let waited = now.since(claim.arrived);
        if waited >= REPLY_TIMEOUT_MS && account.take_alone(units, entries, now) {
            return Charge::Taken;
        }
        if waited >= MAX_WAIT_MS {
            return Charge::Unknown;
        }
        account.waiting += units;
        self.needed = true;
        Charge::Wait(asked.unwrap_or(self.number + 1))
    }

    /// Returns the credit of a request that did not run and never will.
    pub fn refund(&mut self, organisation: &Arc<str>, units: u64) {
        if let Some(account) = self.organisation(organisation) {
            account.used -= units as i64;
            account.held += units as f64;
        }
    }

    /// Handles a request that stopped waiting for credit.
    pub fn withdraw(&mut self, organisation: &Arc<str>, units: u64) {
        if let Some(account) = self.organisation(organisation) {
            account.remove_waiting(units);
        }
    }

    /// Returns whether a report is due.
    pub fn report_due(&self, now: Millis) -> bool {
        let since = self.sent_at.map_or(u64::MAX, |sent_at| now.since(sent_at));
        let open = self.replied < self.number && since < REPLY_TIMEOUT_MS;
        let due = since >= HEARTBEAT_MS || self.needed && since >= MIN_REPORT_MS;
        self.issuer.is_some() && due && !open
    }

    /// Returns the report that is due, and the side to send it to.
    pub fn take_report(&mut self, entries: u32, now: Millis) -> Option<(SocketAddr, CreditReport)> {
        let issuer = self.issuer.filter(|_| self.report_due(now))?;
        self.number += 1;
        self.sent_at = Some(now);
        self.needed = false;
        let first = self.foreign;
        let uses = self.accounts.iter_mut().map(|(key, account)| account.report(key, first, now));
        let uses = uses.collect();
        Some((issuer, CreditReport { number: self.number, entries, first, uses }))
    }

    /// Applies a reply; returns whether it was the one to the last report to the current issuer.
    pub fn apply(&mut self, from: SocketAddr, reply: &CreditReply) -> bool {
        let Some(sent_at) = self.sent_at.filter(|_| self.issuer == Some(from)) else {
            return false;
        };
        if reply.number != self.number || self.replied >= self.number {
            return false;
        }
        self.replied = reply.number;
        self.foreign = false;
        for credit in &reply.credits {
            if let Some(account) = self.accounts.get_mut(&LimitKey::from(credit)) {
                let used_since = (account.used - account.reported) as f64;
                account.held = credit.units as f64 - used_since;
                account.lapses_at = sent_at + LAPSE_MS;
                account.answered = reply.number;
                account.rate = credit.rate as f64;
                account.endpoint_answered();
            }
        }
        true
    }

    /// Returns the log lines for organisations that are within their limits again.
    pub fn take_recovered(&mut self, now: Millis) -> Vec<LogEvent> {
        let recovered = self.accounts.iter_mut().filter_map(|(key, account)| {
            let refused_at = account.refused_at?;
            if now.since(refused_at) < WITHIN_MS {
                return None;
            }
            account.refused_at = None;
            let event = LogEvent::new("limit_kept").with("org", key.name());
            Some(event.with("refused", account.refused).with("used", account.used))
        });
        recovered.collect()
    }

    /// Returns whether requests of an organisation are being refused.
    pub fn is_over(&self, organisation: &Arc<str>) -> bool {
        let key = LimitKey::Organisation(organisation.clone());
        self.accounts.get(&key).is_some_and(|account| account.refused_at.is_some())
    }

    fn organisation(&mut self, name: &Arc<str>) -> Option<&mut Account> {
        self.accounts.get_mut(&LimitKey::Organisation(name.clone()))
    }

    /// Returns what was counted for each organisation.
    pub fn usage(&self) -> impl Iterator<Item = LimitUsage> {
        let organisations = self.accounts.iter().filter(|(key, _)| !key.is_endpoint());
        organisations.map(|(key, account)| LimitUsage {
            organisation: key.name().clone(),
            used: account.used.max(0) as u64,
            refused: account.refused,
            left: account.held.max(0.0) as u64,
        })
    }
}

impl Account {
    pub(super) fn new(terms: BucketTerms, now: Millis) -> Account {
        Account {
            terms,
            endpoint: None,
            used: 0,
            reported: 0,
            answered: 0,
            held: 0.0,
            lapses_at: now,
            waiting: 0,
            recent_units: DecayingCount::default(),
            recent_requests: DecayingCount::default(),
            alone: 0.0,
            alone_at: now,
            rate: 0.0,
            returning: 0.0,
            returning_at: now,
            refused: 0,
            refused_at: None,
        }
    }

    fn remove_waiting(&mut self, units: u64) {
        self.waiting = self.waiting.saturating_sub(units);
    }

    pub(super) fn record_demand(&mut self, units: u64, now: Millis) {
        self.recent_units.add_weight(units as f64, USE_DECAY_MS, now);
        self.recent_requests.add(USE_DECAY_MS, now);
    }

    /// Returns the units of the requests that are likely to come soon. A single request, however
    /// large, makes no other likely.
    fn ahead(&self, now: Millis) -> f64 {
        let requests = self.recent_requests.decayed(USE_DECAY_MS, now);
        let mean_units = self.recent_units.decayed(USE_DECAY_MS, now) / requests.max(1.0);
        mean_units * (requests - 1.0).max(0.0) * HORIZON_MS / USE_DECAY_MS
    }

    pub(super) fn drop_lapsed(&mut self, now: Millis) {
        if now >= self.lapses_at {
            self.held = 0.0;
        }
    }

    pub(super) fn take(&mut self, units: u64, now: Millis) -> bool {
        self.drop_lapsed(now);
        let enough = units as f64 <= self.held;
        if enough {
            self.held -= units as f64;
            self.used += units as i64;
        }
        enough
    }

    fn is_low(&self, now: Millis) -> bool {
        self.held < LOW_SHARE * self.ahead(now)
    }

    /// Takes units without credit, within this entry's part of the slack.
    fn take_alone(&mut self, units: u64, entries: u32, now: Millis) -> bool {
        // A bucket that is refilled once in a window gives at most twice its capacity in one.
        let capacity = self.terms.alone / f64::from(entries.max(1)) / 2.0;
        let refill =
            capacity * now.since(self.alone_at) as f64 / self.terms.window_ms.max(1) as f64;
        self.alone = (self.alone + refill).min(capacity);
        self.alone_at = now;
        let enough = units as f64 <= self.alone;
        if enough {
            self.alone -= units as f64;
            self.used += units as i64;
        }
        enough
    }

    /// Counts a refusal; returns the milliseconds after which there should be credit, behind the
    /// callers that were refused before.
    fn refuse(&mut self, units: u64, now: Millis) -> u64 {
        self.refused += 1;
        self.refused_at = Some(now);
        let passed = self.rate * now.since(self.returning_at) as f64 / 1_000.0;
        self.returning = (self.returning - passed).max(0.0) + units as f64;
        self.returning_at = now;
        let ms = self.returning * 1_000.0 / self.rate.max(1.0);
        (ms.ceil() as u64).clamp(1, MAX_RETRY_MS)
    }

    fn report(&mut self, key: &LimitKey, foreign: bool, now: Millis) -> LimitUse {
        self.drop_lapsed(now);
        let ahead = self.ahead(now) as u64;
        if key.is_endpoint() && ahead == 0 && self.waiting == 0 && self.unwanted(now) {
            // Others can use it: an endpoint's bucket holds a few requests.
            self.held = 0.0;
        }
        self.reported = self.used;
        LimitUse {
            name: key.name().to_string(),
            endpoint: self.endpoint.as_ref().map(|endpoint| endpoint.limit(key.name(), now)),
            used: self.used,
            held: if foreign { 0 } else { self.held.max(0.0) as u64 },
            waiting: self.waiting,
            ahead,
        }
    }

    /// Returns whether nothing has been asked for of late.
    fn unwanted(&self, now: Millis) -> bool {
        self.recent_requests.decayed(USE_DECAY_MS, now) < UNWANTED
    }
}
