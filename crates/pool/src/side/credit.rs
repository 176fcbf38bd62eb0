//! Credit for organisations' limits, issued to entries.

use std::net::IpAddr;

use citronrill_base::Map;
use citronrill_wire::{CreditReport, EndpointLimit};

use super::{EntryLink, PoolSide, SideEffect};
use crate::limits::{CreditIssuer, EntryRoster, LimitBounds, Terms};

/// The credit that this side has issued, and the entries that it knows of.
#[derive(Debug, Default)]
pub(super) struct Limits {
    pub(super) bounds: LimitBounds,
    issuer: CreditIssuer,
    roster: EntryRoster,
    addresses: Map<EntryLink, IpAddr>,
}

impl PoolSide {
    pub(super) fn entry_connected(&mut self, link: EntryLink, ip: IpAddr) {
        self.limits.addresses.insert(link, ip);
        self.limits.roster.add(ip);
    }

    /// Handles the end of an entry's connection.
    pub(super) fn entry_lost(&mut self, link: EntryLink, silent: bool) {
        self.forget_entry(link);
        self.limits.issuer.remove(link);
        self.store_queue.queue.remove(link);
        self.shares.remove(link);
        if let Some(ip) = self.limits.addresses.remove(&link) {
            self.limits.roster.remove(ip, silent, self.now);
        }
    }

    /// Returns the number of entries that this side knows of.
    pub(super) fn known_entries(&self) -> u32 {
        self.limits.roster.count(self.now)
    }

    /// Returns the limits that endpoints have named or lifted of late.
    pub(super) fn endpoint_limits(&self) -> Vec<EndpointLimit> {
        self.limits.issuer.endpoint_limits(self.now)
    }

    /// Replies to an entry's report with the credit that it gets.
    pub(super) fn issue_credit(&mut self, link: EntryLink, report: &CreditReport) {
        let entries = self.known_entries();
        let config = self.config.clone();
        let organisations = config.as_ref().and_then(|config| config.organisations.as_ref());
        let Limits { bounds, issuer, .. } = &mut self.limits;
        let terms = Terms { organisations, bounds, entries };
        let reply = issuer.report(link, report, terms, self.now);
        self.effects.push(SideEffect::Credit(link, reply));
    }
}
