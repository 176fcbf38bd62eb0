//! Shares of organisations in the room of a service.

use std::{net::SocketAddr, sync::Arc};

use citronrill_base::Millis;
use citronrill_decide::LogEvent;
use citronrill_wire::{ShareKind, ShareMessage};

use super::{EntryEffect, PoolEntry, Reason, Request, ResponseEnd, Stage};
use crate::{endpoint::Endpoint, organisation::Organisations, shares::ShareChange};

/// Milliseconds between two checks whether services are short of room: a fifth of the shorter report
/// interval.
const CHECK_MS: u64 = 50;

impl Request {
    /// Adds to a log line whether the request is over its organisation's share.
    pub(super) fn mark_over_share(&self, event: LogEvent) -> LogEvent {
        if self.over_share { event.with("over_share", true) } else { event }
    }
}

impl PoolEntry {
    /// Returns whether a request is beyond its organisation's fair share of its service.
    pub(super) fn over_share(&self, request: &Request) -> bool {
        request.over_share
    }

    /// Returns the number of requests that were over their organisation's share.
    pub fn over_share_requests(&self) -> u64 {
        self.shares.over_requests()
    }

    /// Returns the organisations that share the room; `None` where none compete.
    fn competitors(&self) -> Option<&Organisations> {
        let organisations = self.config.as_ref()?.organisations.as_ref()?;
        let shared = self.profile.contended && organisations.iter().next().is_some();
        shared.then_some(organisations)
    }

    /// Counts an arriving request, and returns whether it is over its organisation's share.
    pub(super) fn count_share(
        &mut self,
        service: &str,
        organisation: Option<&Arc<str>>,
        rank: u8,
    ) -> bool {
        let competing = self.competitors().is_some();
        competing && self.shares.count_arrival(service, organisation, rank, self.now)
    }

    /// Returns whether an endpoint is known to have a free slot, which a request over its organisation's share
    /// may use. Room in its queue is left for requests within a share.
    ///
    /// An endpoint without a side states its load in responses only. A load that is older than the time for
    /// which a request occupies a slot says nothing about free slots.
    pub(super) fn has_free_slot(&self, endpoint: &Endpoint) -> bool {
        let known = match endpoint.side {
            Some(_) => endpoint.fresh_side(self.now).is_some(),
            None => {
                let occupancy_ms = self.shares.occupancy_ms(&endpoint.member.service);
                endpoint.load_age_ms(self.now) as f64 <= occupancy_ms
            }
        };
        known && endpoint.load() < endpoint.member.slots
    }

    /// Returns whether a request within its share waits for the same endpoints and is not less urgent.
    pub(super) fn within_share_waits(&self, request: &Request) -> bool {
        self.requests.values().any(|other| {
            other.stage == Stage::Waiting
                && !other.over_share
                && other.service == request.service
                && other.required == request.required
                && other.priority <= request.priority
                && !other.awaits_credit()
                && !other.awaits_origin()
        })
    }

    /// Records what a refusal tells about the room of its service.
    pub(super) fn record_share_refusal(&mut self, request: &Request, reason: Reason) {
        if self.competitors().is_none() {
            return;
        }
        let (service, organisation) = (&request.service, request.organisation.as_ref());
        match reason {
            // A full engine says little about the others: they hold other models.
            // One over the share is refused while only the load is unknown.
            Reason::Full if request.required.is_none() && !request.over_share => {
                self.shares.mark_short(service, self.now);
            }
            Reason::OverLimit | Reason::LimitUnknown => {
                let rank = request.priority.route();
                self.shares.uncount(service, organisation, rank, self.now);
            }
            _ => {}
        }
    }

    /// Records for how long a request that was served occupied a slot.
    pub(super) fn record_occupancy(&mut self, request: &Request, end: ResponseEnd) {
        if end == ResponseEnd::Complete && request.succeeded && self.competitors().is_some() {
            let ms = self.now.since(request.sent_at) as f64 / request.queue_rounds;
            self.shares.record_occupancy(&request.service, ms);
        }
    }

    /// Handles a message about shares from a side.
    pub(super) fn handle_shares(&mut self, side: SocketAddr, message: &ShareMessage) {
        let Some(ShareKind::Reply(reply)) = &message.kind else {
            self.log(LogEvent::new("share_unreadable").with("from", side));
            return;
        };
        let Some(config) = self.config.clone() else { return };
        if let Some(organisations) = config.organisations.as_ref() {
            self.shares.apply(side, reply, organisations, self.now);
            self.log_share_changes();
        }
    }

    /// Drops what is known of organisations that the configuration does not have.
    pub(super) fn retain_shares(&mut self) {
        let organisations = self.config.as_ref().and_then(|config| config.organisations.clone());
        self.shares.retain_known(&organisations.unwrap_or_default());
    }

    /// Sends the report on shares that is due, or divides the entry's own room if no side replies.
    pub(super) fn report_shares(&mut self) {
        if self.now < self.share_check || self.competitors().is_none() {
            return;
        }
        self.share_check = self.now + CHECK_MS;
        self.mark_short_services();
        self.shares.set_divider(self.divider());
        let Some(config) = self.config.clone() else { return };
        let Some(organisations) = config.organisations.as_ref() else { return };
        let entries = self.known_entries();
        let now = self.now;
        let slots = |service: &str| slots(self.pool.endpoints.values(), service, now);
        self.shares.divide_alone(slots, entries, organisations, now);
        if self.shares.report_due(now)
            && let Some((side, report)) = self.shares.take_report(slots, now)
        {
            let message = ShareKind::Report(report).into();
            self.effects.push(EntryEffect::Shares(side, message));
        }
        self.log_share_changes();
    }

    /// Records the services that are short of room: their endpoints together have no free slot, or requests
    /// wait for one of a plain service.
    fn mark_short_services(&mut self) {
        let Some(config) = self.config.clone() else { return };
        for service in &config.services {
            let name = &service.name;
            let waits = service.engine.is_none()
                && self.requests.values().any(|request| {
                    request.stage == Stage::Waiting
                        && request.service == *name
                        && !request.over_share
                        && !request.awaits_credit()
                });
            let slots = slots(self.pool.endpoints.values(), name, self.now);
            if waits || slots > 0 && self.service_runs(name) >= slots {
                self.shares.mark_short(name, self.now);
            }
        }
    }

    /// Returns the address of the endpoint whose side divides shares.
    fn divider(&self) -> Option<SocketAddr> {
        self.first_collector(|side| side.divides_shares)
    }

    fn log_share_changes(&mut self) {
        for change in self.shares.take_changes() {
            let event = match change {
                ShareChange::Over(service, organisation, part) => LogEvent::new("over_share")
                    .with("service", service)
                    .with("org", organisation)
                    .with("within", format!("{part:.3}")),
                ShareChange::Within(service, organisation) => {
                    LogEvent::new("within_share").with("service", service).with("org", organisation)
                }
                ShareChange::Alone(silent_ms) => {
                    LogEvent::new("shares_alone").with("silent_ms", silent_ms)
                }
                ShareChange::Regained => LogEvent::new("shares_regained"),
            };
            self.log(event);
        }
    }
}

/// Returns the slots of the endpoints of a service that take requests.
fn slots<'a>(endpoints: impl Iterator<Item = &'a Endpoint>, service: &str, now: Millis) -> u32 {
    let usable = endpoints.filter(|endpoint| {
        endpoint.member.service == service
            && endpoint.accepts_requests()
            && !endpoint.backs_off(now)
    });
    usable.map(|endpoint| endpoint.member.slots).sum()
}
