//! Limits on organisations' use: what a request takes, and reports to the side that issues credit.

use std::net::SocketAddr;

use citronrill_decide::LogEvent;
use citronrill_wire::CreditReply;

use super::{EntryEffect, PoolEntry, Reason, Request, RequestId, Stage, TokenCount};
use crate::{
    endpoint::SideView,
    limits::{Charge, Claim},
    organisation::{LimitUnit, Organisation, UsageLimit},
};

/// What a request takes of its organisation's limit.
#[derive(Debug, Clone)]
pub(super) struct LimitedUse {
    limit: UsageLimit,
    units: u64,
    /// Whether credit was taken.
    taken: bool,
    /// The report to the issuer that it waits for.
    asked: Option<u64>,
    /// Retry time in milliseconds if it is refused because of the limit.
    pub(super) retry_ms: u64,
}

impl LimitedUse {
    /// Returns what a request takes; `None` if its organisation has no limit.
    pub(super) fn new(
        organisation: Option<&Organisation>,
        tokens: TokenCount,
    ) -> Option<LimitedUse> {
        let limit = organisation?.limit?;
        let units = match limit.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens(plain) if tokens == TokenCount::default() => plain,
            LimitUnit::Tokens(_) => u64::from(tokens.prompt) + u64::from(tokens.answer),
        };
        Some(LimitedUse { limit, units, taken: false, asked: None, retry_ms: 0 })
    }

    pub(super) fn units(&self) -> u64 {
        self.units
    }
}

impl Request {
    /// Returns what the request claims of its organisation's limit; `None` if it needs no more credit.
    fn claim(&self) -> Option<Claim> {
        let limited = self.limited.as_ref().filter(|limited| !limited.taken)?;
        Some(Claim {
            organisation: self.organisation.clone()?,
            limit: limited.limit,
            units: limited.units,
            arrived: self.arrived,
            asked: limited.asked,
        })
    }

    /// Returns whether the request waits for credit.
    pub(super) fn awaits_credit(&self) -> bool {
        self.limited.as_ref().is_some_and(|limited| !limited.taken)
    }
}

impl PoolEntry {
    /// Takes credit for a request that has none yet. Returns whether the request may run now; otherwise
    /// it waits or was refused.
    pub(super) fn take_credit(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(claim) = request.claim() else { return true };
        let was_over = self.ledger.is_over(&claim.organisation);
        let verdict = self.ledger.charge(&claim, self.known_entries(), self.now);
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(limited) = &mut request.limited else { return true };
        limited.asked = None;
        match verdict {
            Charge::Taken => limited.taken = true,
            Charge::Wait(number) => limited.asked = Some(number),
            Charge::Over(retry_ms) => {
                limited.retry_ms = retry_ms;
                if !was_over {
                    self.log_over(&claim);
                }
                self.refuse(id, Reason::OverLimit);
            }
            Charge::Unknown => self.refuse(id, Reason::LimitUnknown),
        }
        verdict == Charge::Taken
    }

    fn log_over(&mut self, claim: &Claim) {
        let event = LogEvent::new("limit_reached")
            .with("org", &claim.organisation)
            .with("units", claim.units)
            .with("rate", claim.limit.rate)
            .with("burst", claim.limit.burst);
        self.log(event);
    }

    /// Returns the credit of a request that is refused for `reason` and so has not run.
    pub(super) fn return_credit(&mut self, request: &Request, reason: Reason) {
        let not_run = matches!(reason.status(), 429 | 503);
        if not_run {
            self.return_or_withdraw(request);
        }
    }

    /// Returns the credit of a request whose caller left while it waited.
    pub(super) fn return_waiting_credit(&mut self, request: &Request) {
        if request.stage == Stage::Waiting && request.runs == 0 {
            self.return_or_withdraw(request);
        }
    }

    fn return_or_withdraw(&mut self, request: &Request) {
        let (Some(organisation), Some(limited)) = (&request.organisation, &request.limited) else {
            return;
        };
        if limited.taken {
            self.ledger.refund(organisation, limited.units);
        } else if limited.asked.is_some() {
            self.ledger.withdraw(organisation, limited.units);
        }
    }

    /// Handles a reply of the side that issues credit.
    pub(super) fn apply_credit(&mut self, side: SocketAddr, reply: &CreditReply) {
        if self.ledger.apply(side, reply) {
            self.schedule_waiting();
        }
    }

    /// Sends the report on limits that is due.
    pub(super) fn report_use(&mut self) {
        if !self.has_limits() && !self.ledger.knows_endpoints() {
            return;
        }
        self.ledger.set_issuer(self.issuer());
        if !self.ledger.report_due(self.now) {
            return;
        }
        if let Some((side, report)) = self.ledger.take_report(self.known_entries(), self.now) {
            self.effects.push(EntryEffect::CreditReport(side, report));
        }
    }

    /// Logs organisations that are within their limits again.
    pub(super) fn log_limits_kept(&mut self) {
        self.ledger.take_recovered(self.now).into_iter().for_each(|event| self.log(event));
    }

    fn has_limits(&self) -> bool {
        let organisations = self.config.as_ref().and_then(|config| config.organisations.as_ref());
        organisations.is_some_and(|all| all.iter().any(|organisation| organisation.limit.is_some()))
    }

    /// Returns the address of the endpoint whose side issues credit.
    fn issuer(&self) -> Option<SocketAddr> {
        self.first_collector(|side| side.issues_credit)
    }

    /// Returns the address of the first collector whose side does what is asked: all entries agree on it.
    pub(super) fn first_collector(&self, does: impl Fn(&SideView) -> bool) -> Option<SocketAddr> {
        let serves = |address: &SocketAddr| {
            let endpoint = self.pool.endpoint_listed_at(*address);
            endpoint.and_then(|endpoint| endpoint.side.as_ref()).is_some_and(&does)
        };
        self.suspects.collectors.iter().copied().find(serves)
    }

    /// Returns the number of entries, with those that a side has lost in silence.
    pub(super) fn known_entries(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| endpoint.side.as_ref());
        sides.map(|side| side.known_entries).max().unwrap_or(0).max(self.entries())
    }
}
