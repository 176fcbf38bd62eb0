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
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.count_miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let backoff_ms = self.backoff_ms(request).unwrap_or(0);
        let loads = self.loads_during_backoff(id, backoff_ms);
        let Some(request) = self.requests.get(&id) else { return };
        if !loads && backoff_ms > self.patience_ms(request) {
            self.refuse(id, Reason::Backoff);
        }
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

    /// Returns how many milliseconds more a request waits for an endpoint to take it.
    fn patience_ms(&self, request: &Request) -> u64 {
        let left = request.max_queue_ms().saturating_sub(self.now.since(request.arrived));
        left.min(request.wait_ms(self.now))
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
