//! Detection of stalled instances, and failover of their requests.
//!
//! An instance with many open streams may stall for seconds. None of its streams ends before it
//! resumes: its callers hang until they disconnect, and the runs continue.

use citronrill_decide::LogEvent;

use super::{EntryEffect, MAX_DISPATCHES, PoolEntry, Request, RequestId, Stage};
use crate::{config::RetryPolicy, endpoint::SIDE_SILENT_MS};

/// Milliseconds between two deadline checks above which this process itself was paused. Messages
/// that arrived meanwhile have not been read yet.
const OWN_PAUSE_MS: u64 = 60;
/// Equivalent of [`OWN_PAUSE_MS`] while the entry has no requests: it then checks deadlines less
/// often.
const IDLE_PAUSE_MS: u64 = 260;

impl PoolEntry {
    /// Records that the responses of these requests have made progress.
    pub(super) fn progress(&mut self, ids: &[RequestId]) {
        for id in ids {
            let Some(request) = self.requests.get_mut(id) else { continue };
            if request.stage != Stage::Responding {
                continue;
            }
            request.has_progress = true;
            let endpoint = request
                .instance
                .as_ref()
                .and_then(|instance| self.pool.endpoints.get_mut(instance));
            if let Some(endpoint) = endpoint {
                endpoint.liveness.record_traffic(self.now);
            }
        }
    }

    /// Excludes pauses of this process from the liveness timeouts.
    pub(super) fn exclude_pause(&mut self) {
        let paused = self.now.since(self.last_check);
        let limit = if self.requests.is_empty() { IDLE_PAUSE_MS } else { OWN_PAUSE_MS };
        if paused > limit {
            let now = self.now;
            self.pool
                .endpoints
                .values_mut()
                .for_each(|endpoint| endpoint.liveness.exclude_pause(paused, now));
        }
    }

    /// Probes the sides of endpoints that have requests and show no activity.
    pub(super) fn probe_sides(&mut self) {
        let now = self.now;
        let mut events = Vec::new();
        for (instance, endpoint) in &mut self.pool.endpoints {
            if endpoint.liveness.take_probe(endpoint.own_requests > 0, now) {
                self.effects.push(EntryEffect::Probe(endpoint.member.address));
            }
            if let Some(stalled) = endpoint.liveness.take_stall_change(now) {
                let event = if stalled {
                    LogEvent::new("stands_still")
                } else {
                    LogEvent::new("moves_again")
                };
                let event = event.with("instance", instance);
                let event = event.with("quiet_ms", endpoint.liveness.quiet_ms(now));
                events.push(event.with("own", endpoint.own_requests));
            }
        }
        events.into_iter().for_each(|event| self.log(event));
    }

    /// Probes the side of an instance that a request waits for; the reply lets the request go.
    pub(super) fn confirm(&mut self, instance: &str) {
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        if endpoint.liveness.take_confirmation(self.now) {
            self.effects.push(EntryEffect::Probe(endpoint.member.address));
        }
    }

    /// Fails over requests from stalled endpoints where that is permitted.
    ///
    /// A resumable stream continues after its last event, and a request that has no response yet
    /// and may run again is retried. All other requests stay: the endpoint continues with them when
    /// it resumes, and two endpoints would then work on one run, even where a copy of its KV cache
    /// exists elsewhere.
    pub(super) fn fail_over_stalled(&mut self) {
        let stuck = self.requests.iter().filter(|(_, request)| self.is_stuck(request));
        for id in stuck.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            let responding = request.stage == Stage::Responding;
            if !self.may_retry(request) || !self.reserve_retry(id) {
                continue;
            }
            if responding {
                self.log_failover(id, true);
                self.effects.push(EntryEffect::Disconnect(id));
            } else {
                self.fail_over(id);
            }
        }
    }

    /// Retries a request on another endpoint before its current one has started to respond.
    pub(super) fn fail_over(&mut self, id: RequestId) {
        self.log_failover(id, false);
        self.abandon_attempt(id);
        self.schedule(id);
    }

    fn log_failover(&mut self, id: RequestId, responding: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let event = LogEvent::new("moved").with("id", &request.caller_id);
        let event = event.with("from", request.instance.as_deref().unwrap_or(""));
        self.log(event.with("begun", responding));
    }

    /// Returns whether a request is at a stalled endpoint, may be dispatched again, and has no
    /// retry reserved yet.
    fn is_stuck(&self, request: &Request) -> bool {
        let endpoint =
            request.instance.as_ref().and_then(|instance| self.pool.endpoints.get(instance));
        let stalled = endpoint.is_some_and(|endpoint| endpoint.liveness.is_stalled(self.now));
        stalled
            && request.stage != Stage::Waiting
            && !request.retry_reserved
            && request.trial.is_none()
            && request.unproven_end.is_none()
            && request.dispatches < MAX_DISPATCHES
    }

    /// Returns whether a request may be retried, and another endpoint has room for it.
    fn may_retry(&self, request: &Request) -> bool {
        let allowed = match request.stage {
            Stage::Responding => {
                request.retry_policy == RetryPolicy::ResumableStream && request.has_progress
            }
            Stage::Sent => request.retry_policy.may_retry(),
            Stage::Waiting => false,
        };
        allowed && request.runs + 1 < request.max_attempts && self.has_room_elsewhere(request)
    }

    /// Returns whether another endpoint that can run the request has a free slot.
    pub(super) fn has_room_elsewhere(&self, request: &Request) -> bool {
        self.pool.endpoints.values().any(|endpoint| {
            Some(&endpoint.member.instance) != request.instance.as_ref()
                && self.eligible(endpoint, request)
                && self.permits(endpoint)
                && endpoint.load_ratio() < 1.0
        })
    }

    /// Returns whether a stalled holder of a request's model may just be paused.
    ///
    /// An instance that stalls for less than a second serves its callers sooner than a load from
    /// the weight store, or a retry after a refusal.
    pub(super) fn holder_paused(&self, request: &Request) -> bool {
        let Some(base) = request.base else { return false };
        let mut endpoints = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests()
                && endpoint.member.service == request.service
                && endpoint.inventory.models.contains(&base)
        });
        endpoints.any(|endpoint| {
            endpoint.liveness.is_stalled(self.now)
                && endpoint.liveness.quiet_ms(self.now) < SIDE_SILENT_MS
        })
    }
}
