//! Requests whose endpoints have all asked for a backoff.

use super::{PoolEntry, Reason, Request, RequestId};
use crate::endpoint::Endpoint;

impl PoolEntry {
    /// Returns the milliseconds until the first endpoint that could run a request wants one again; 0 if one
    /// does now, and `None` if there is no such endpoint.
    pub(super) fn backoff_ms(&self, request: &Request) -> Option<u64> {
        let able = self.pool.endpoints.values().filter(|endpoint| self.eligible(endpoint, request));
        able.map(|endpoint| endpoint.advertised.backoff_ms(self.now)).min()
    }

    /// Lets a request wait until an endpoint wants requests again, or until its model is loaded at another
    /// one, and refuses it at once if neither comes in time.
    pub(super) fn await_backoff_or_refuse(&mut self, id: RequestId) {
        self.mark_queued(id);
        if self.probe_backoff(id) {
            return;
        }
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.count_miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let backoff_ms = self.backoff_ms(request).unwrap_or(0);
        let loads = self.loads_during_backoff(id, backoff_ms);
        let Some(request) = self.requests.get(&id) else { return };
        let wait_ms = backoff_ms.min(self.probe_wait_ms(request).unwrap_or(u64::MAX));
        if !loads && wait_ms > self.patience_ms(request) {
            self.refuse(id, Reason::Backoff);
        }
    }

    /// Returns for how many milliseconds at most an instance is believed to want no requests.
    ///
    /// Where requests are scheduled by expected wait, this is the longest time that any route grants: no
    /// request that was there when the endpoint asked for the backoff is left after it.
    pub(super) fn max_backoff_ms(&self, instance: &str) -> u64 {
        let endpoint = self.pool.endpoints.get(instance);
        let endpoint = endpoint.filter(|endpoint| self.by_wait(&endpoint.member.service));
        let config = endpoint.and(self.config.as_ref());
        let longest =
            config.and_then(|config| config.routes.iter().map(|route| route.timeout_ms).max());
        longest.unwrap_or(u64::MAX)
    }

    /// Dispatches a request to an endpoint that wants none, as all that could run it want none. Returns
    /// whether it was dispatched.
    ///
    /// Endpoints that turn away one request in twenty and ask for seconds each time would otherwise stay
    /// idle most of the time. Each endpoint gets one request at a time, the next one after twice as long if it
    /// turns that away as well.
    fn probe_backoff(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return false };
        if self.needs_trial(request) {
            return false;
        }
        let due = self.probed(request).filter(|endpoint| endpoint.advertised.probe_ms(now) == 0);
        let due = due.min_by_key(|endpoint| endpoint.advertised.backoff_ms(now));
        let Some(instance) = due.map(|endpoint| endpoint.member.instance.clone()) else {
            return false;
        };
        if let Some(endpoint) = self.pool.endpoints.get_mut(&instance) {
            endpoint.advertised.begin_probe(now);
        }
        self.dispatch(id, &instance, false);
        true
    }

    /// Returns the milliseconds until a request may be dispatched to one of the endpoints before the end of
    /// its backoff; `None` if there is no such endpoint.
    fn probe_wait_ms(&self, request: &Request) -> Option<u64> {
        self.probed(request).map(|endpoint| endpoint.advertised.probe_ms(self.now)).min()
    }

    /// Returns the endpoints that may get a request before the end of their backoffs.
    fn probed<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Endpoint> {
        let by_wait = self.by_wait(&request.service);
        self.pool.endpoints.values().filter(move |endpoint| {
            by_wait
                && self.eligible(endpoint, request)
                && !endpoint.is_limited()
                && !self.needs_confirmation(endpoint, request)
        })
    }

    /// Has a request's adapter, or its model if that is cached, loaded at an endpoint that wants requests,
    /// where that is sooner than the end of the backoff. Returns whether it is being loaded.
    fn loads_during_backoff(&mut self, id: RequestId, backoff_ms: u64) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (Some(required), Some(base)) = (request.required, request.base) else { return false };
        let patience_ms = self.patience_ms(request).min(backoff_ms) as f64;
        let loading = [required, base].into_iter().filter_map(|key| self.load_requests.get(&key));
        if loading.clone().any(|load| !load.is_overdue(self.now)) {
            return true;
        }
        if request.bound_software().is_some() || loading.count() > 0 {
            return false;
        }
        if self.request_adapter(id, required) {
            return true;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let max_loss = self.waiting_count(base) * super::load_requests::DELAY_PER_WAITER_MS;
        let place = self.place(&request.service, &request.model, base, max_loss, None);
        let Some(place) = place.filter(|at| !at.from_store && at.ready_ms < patience_ms) else {
            return false;
        };
        let ready_ms = place.ready_ms as u64;
        let wait_ms = request.wait_ms(self.now);
        self.send_load_request(base, &place.instance, place.evictions, ready_ms, wait_ms);
        true
    }

    /// Returns the milliseconds until an endpoint wants a request like this again, tried or not; 0 if one
    /// does now.
    pub(super) fn backoff_retry_ms(&self, request: &Request) -> u64 {
        let able = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests()
                && endpoint.member.service == request.service
                && request.required.is_none_or(|key| endpoint.inventory.keys.contains(&key))
        });
        let backoffs = able.map(|endpoint: &Endpoint| endpoint.advertised.backoff_ms(self.now));
        backoffs.min().unwrap_or(0)
    }
}
