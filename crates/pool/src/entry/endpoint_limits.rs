//! Limits that endpoints name for the requests of all entries together.
//!
//! A request goes to an endpoint with a limit only with credit of the side that issues it, like one of an
//! organisation with a limit. While there is none, other holders of its model serve it.

use citronrill_base::Millis;
use citronrill_decide::LogEvent;
use citronrill_wire::EndpointLimit;

use super::{PoolEntry, Reason, Request, RequestId, advertised::Statement};
use crate::{
    advertised::NamedLimit,
    endpoint::Endpoint,
    limits::{EndpointRate, Sharing},
};

/// Milliseconds by which the age of what an issuer passes on may be wrong.
const TOLD_SLACK_MS: u64 = 100;
/// Bounds of the retry time, in milliseconds, of requests that a limit holds back.
const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 8_000;

impl PoolEntry {
    /// Takes over the limit that the endpoint named in a response, or that it names none.
    ///
    /// Responses overtake each other: one to an earlier request does not lift or change a limit that one
    /// to a later request named.
    pub(super) fn learn_limit(&mut self, statement: &Statement<'_>) {
        let Statement { instance, said_at, head, .. } = *statement;
        // An unsigned response is not the endpoint's own: it lifts no limit.
        if head.rate.is_none() && !head.signed {
            return;
        }
        if head.rate.is_none() {
            let advertised = self.pool.advertised_mut(instance, said_at);
            if let Some(advertised) = advertised.filter(|known| known.limit().is_none()) {
                advertised.record_limit(NamedLimit { rate: None, said_at });
                return;
            }
        }
        self.set_limit(instance, head.rate, said_at, "id", statement.caller_id);
    }

    /// Takes over the limits that a side passes on.
    pub(super) fn learn_told_limits(&mut self, limits: &[EndpointLimit]) {
        for limit in limits {
            let age_ms = limit.age_ms + TOLD_SLACK_MS;
            let said_at = Millis(self.now.0.saturating_sub(age_ms));
            let rate = limit.milli.map(|milli| EndpointRate { milli });
            self.set_limit(&limit.instance, rate, said_at, "told_ms", &age_ms.to_string());
        }
    }

    fn set_limit(
        &mut self,
        instance: &str,
        rate: Option<EndpointRate>,
        said_at: Millis,
        source: &'static str,
        name: &str,
    ) {
        let now = self.now;
        let Some(advertised) = self.pool.advertised_mut(instance, said_at) else { return };
        let known = advertised.limit();
        if !advertised.record_limit(NamedLimit { rate, said_at }) {
            return;
        }
        self.ledger.set_endpoint(instance, rate, said_at, now);
        if known == rate {
            return;
        }
        let event = LogEvent::new("endpoint_limit").with("instance", instance);
        let event = match rate {
            Some(rate) => event.with("rate", rate),
            None => event.with("rate", "none"),
        };
        self.log(event.with(source, name));
    }

    /// Forgets the limit of the previous incarnation of an endpoint.
    pub(super) fn forget_limit(&mut self, instance: &str) {
        self.ledger.forget_endpoint(instance);
    }

    /// Forgets the limits of endpoints that have left, and those that were lifted a while ago.
    pub(super) fn forget_old_limits(&mut self) {
        let pool = &self.pool;
        self.ledger.retain_endpoints(|instance| pool.remembers(instance), self.now);
    }

    fn sharing(&self) -> Sharing {
        Sharing { entries: self.known_entries(), seed: self.profile.seed }
    }

    /// Returns whether a request may be dispatched to an endpoint now, as far as its limit and backoffs are
    /// concerned.
    pub(super) fn permits(&self, endpoint: &Endpoint) -> bool {
        let limited = endpoint.is_limited()
            && !self.ledger.permits_endpoint(&endpoint.member.instance, self.sharing(), self.now);
        !limited && !endpoint.backs_off(self.now)
    }

    /// Takes what a dispatch to an instance uses of its limit; returns false if there is nothing left, or the
    /// endpoint wants no requests.
    pub(super) fn use_permit(&mut self, instance: &str) -> bool {
        let now = self.now;
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return false };
        if endpoint.backs_off(now) || !endpoint.accepts_requests() {
            return false;
        }
        if endpoint.is_limited() {
            let sharing = self.sharing();
            if !self.ledger.take_endpoint(instance, sharing, now) {
                return false;
            }
        }
        if let Some(endpoint) = self.pool.endpoints.get_mut(instance) {
            endpoint.advertised.record_dispatch(now);
        }
        true
    }

    /// Asks for credit for the endpoint that a request would be dispatched to, if it names a limit.
    pub(super) fn want_limited(&mut self, id: RequestId) {
        if !self.ledger.knows_endpoints() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let runs = self.service_runs(&request.service);
        let best = self.best_endpoint(request, runs, |endpoint| !endpoint.backs_off(self.now));
        let best = best.filter(|endpoint| endpoint.is_limited());
        let Some(instance) = best.map(|endpoint| endpoint.member.instance.clone()) else { return };
        let first = !request.limit_wanted;
        self.ledger.want_endpoint(&instance, first, self.now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.limit_wanted = true;
        }
    }

    /// Keeps a request waiting for credit of the endpoints that could run it, unless it would come too late.
    pub(super) fn await_limit_or_refuse(&mut self, id: RequestId) {
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.count_miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let wait_ms = request.wait_ms(self.now);
        if self.limit_wait_ms(id, request) > wait_ms || request.waited_too_long(self.now) {
            self.refuse(id, Reason::EndpointLimit);
        }
    }

    /// Returns the milliseconds until the limits of the endpoints that could run a request permit it, behind
    /// those that wait here already.
    fn limit_wait_ms(&self, id: RequestId, request: &Request) -> u64 {
        let ahead = self.requests_ahead(id, request) as f64;
        let sharing = self.sharing();
        let limited = self
            .pool
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_limited() && self.eligible(endpoint, request));
        let rates =
            limited.map(|endpoint| self.ledger.endpoint_rate(&endpoint.member.instance, sharing));
        (ahead * 1_000.0 / rates.sum::<f64>().max(0.001)) as u64
    }

    /// Returns the milliseconds after which a request that limits held back may return.
    pub(super) fn limit_retry_ms(&self, request: &Request) -> u64 {
        // Behind all that wait now.
        self.limit_wait_ms(RequestId(u64::MAX), request).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}
