//! Timers: deadlines, silent endpoints and queued requests.

use citronrill_base::Set;

use super::{
    Choice, EntryEffect, MIN_REMAINING_MS, PoolEntry, Reason, Request, RequestId, ResponseEnd,
    Stage,
};

/// Time to first byte, in latency objectives, above which a request is retried elsewhere. At two
/// objectives, the response to the retry still arrives within three if the other endpoint takes its
/// usual time.
const UNANSWERED_TARGETS: u64 = 2;
/// Lower bound on that time, in milliseconds: shorter delays are normal.
const UNANSWERED_MIN_MS: u64 = 400;

impl PoolEntry {
    /// Ends requests past their deadlines, and fails over requests from silent endpoints.
    pub(super) fn check_deadlines(&mut self) {
        self.exclude_pause();
        self.last_check = self.now;
        self.check_unproven_ends();
        self.end_inquiries();
        self.end_expired();
        self.refuse_before_disconnect();
        self.refuse_on_stop();
        self.record_unanswered();
        self.probe_sides();
        self.fail_over_stalled();
        self.fail_over_unanswered();
    }

    /// Checks deadlines, then tries to dispatch waiting requests and reviews the placement of
    /// models.
    pub(super) fn tick(&mut self) {
        self.check_deadlines();
        self.refuse_long_waits();
        self.expire_load_requests();
        let outcome = self.pool.apply_deferred(&mut self.names, self.now);
        self.handle_membership(outcome);
        let outcome = self.pool.end_rewrite(&mut self.names, self.now);
        self.handle_membership(outcome);
        self.check_suspects();
        self.check_streams();
        self.log_limits_kept();
        self.pool.delisted.expire(self.now);
        self.forget_old_limits();
        self.pool.endpoints.values_mut().for_each(|endpoint| endpoint.expire_load(self.now));
        self.schedule_waiting();
        self.add_replicas();
        self.load_missed();
        self.preload_scarce();
        self.follow_plans();
    }

    fn end_expired(&mut self) {
        let expired = self.requests.iter().filter(|(_, request)| self.now >= request.deadline);
        let expired = expired.map(|(id, request)| (*id, request.stage, request.runs));
        for (id, stage, runs) in expired.collect::<Vec<_>>() {
            match stage {
                Stage::Waiting if runs == 0 => self.refuse(id, Reason::Expired),
                Stage::Waiting | Stage::Sent => self.refuse(id, Reason::TimedOut),
                Stage::Responding => {
                    self.effects.push(EntryEffect::Abort(id));
                    self.response_ended(id, ResponseEnd::Aborted);
                }
            }
        }
    }

    /// Refuses waiting requests whose callers are about to disconnect.
    ///
    /// A caller of a stream disconnects after some seconds without an event, long before its
    /// deadline. A request held until then gets no response, while one that is refused with a retry
    /// time is served once the model is ready.
    fn refuse_before_disconnect(&mut self) {
        let waiting = self.requests.iter().filter(|(_, request)| request.stage == Stage::Waiting);
        let leaving = waiting.filter(|(_, request)| {
            request.runs == 0 && request.wait_ms(self.now) < MIN_REMAINING_MS
        });
        let leaving = leaving.map(|(id, request)| (*id, request.late_reason(self.now)));
        for (id, reason) in leaving.collect::<Vec<_>>() {
            self.refuse(id, reason);
        }
    }

    /// Records for each endpoint how long its oldest dispatched request has had no response.
    ///
    /// An endpoint that hangs sends no responses, so its time to first byte can only be estimated
    /// from the requests that wait there.
    fn record_unanswered(&mut self) {
        self.pool.endpoints.values_mut().for_each(|endpoint| endpoint.unanswered_ms = 0);
        for request in self.requests.values().filter(|request| request.stage == Stage::Sent) {
            let endpoint = request
                .instance
                .as_ref()
                .and_then(|instance| self.pool.endpoints.get_mut(instance));
            if let Some(endpoint) = endpoint {
                endpoint.unanswered_ms =
                    endpoint.unanswered_ms.max(self.now.since(request.sent_at));
            }
        }
    }

    /// Retries requests elsewhere that an endpoint has not begun to answer for a long time.
    ///
    /// When an endpoint hangs, or its instance has lost power, nothing closes the connection for
    /// seconds. Only requests that may run again are retried, within the retry budget, and the
    /// first dispatch is cancelled.
    fn fail_over_unanswered(&mut self) {
        let unanswered = self.requests.iter().filter(|(_, request)| {
            let limit_ms = (UNANSWERED_TARGETS * request.target_ms).max(UNANSWERED_MIN_MS);
            let limit_ms = self.unanswered_limit_ms(request, limit_ms);
            request.stage == Stage::Sent
                && request.trial.is_none()
                && request.retry_policy.may_retry()
                && request.runs + 1 < request.max_attempts
                && self.now.since(request.sent_at) > limit_ms
        });
        for id in unanswered.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.has_room_elsewhere(request) && self.reserve_retry(id) {
                self.fail_over(id);
            }
        }
    }

    /// Takes a request back from an endpoint that does not respond.
    pub(super) fn abandon_attempt(&mut self, id: RequestId) {
        let now = self.now;
        self.release(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.stage = Stage::Waiting;
        request.mark_queued();
        if let Some(instance) = request.instance.take() {
            if let Some(endpoint) = self.pool.endpoints.get_mut(&instance) {
                endpoint.record_result(true);
                endpoint.record_ttfb(now.since(request.sent_at), now);
            }
            request.tried.push(instance);
        }
    }

    /// Refuses requests that have waited too long for a slot, while requests that are not late
    /// occupy the slots.
    fn refuse_long_waits(&mut self) {
        let too_long = self.requests.iter().filter(|(_, request)| {
            request.stage == Stage::Waiting
                && request.runs == 0
                && request.waited_too_long(self.now)
        });
        let full = |request: &Request| {
            matches!(self.choose(request), Choice::Full | Choice::Throttle | Choice::Limited)
        };
        let full = too_long.filter(|(_, request)| full(request));
        for id in full.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.refuse(id, Reason::Full);
        }
    }

    /// Tries to dispatch the waiting requests, the most urgent first.
    ///
    /// If a model is requested more often than its replicas can serve, dispatch in order of arrival
    /// makes every request wait for longer than the objective, and none is answered in time. Late
    /// requests therefore get only the capacity that the others leave.
    ///
    /// Once a request cannot be dispatched, later ones with the same requirements are skipped: the
    /// queue may hold hundreds, and an entry has a fifth of a core.
    pub(super) fn schedule_waiting(&mut self) {
        let waiting = self.requests.iter().filter(|(_, request)| request.stage == Stage::Waiting);
        let mut order =
            waiting.map(|(id, request)| (request.schedule_key(self.now), *id)).collect::<Vec<_>>();
        order.sort_unstable();
        let mut blocked = Set::default();
        for (_, id) in order {
            let Some(request) = self.requests.get(&id) else { continue };
            let requirement = (request.service.clone(), request.required, request.bound_software());
            if blocked.contains(&requirement) {
                continue;
            }
            self.schedule(id);
            let waits = self.requests.get(&id).is_some_and(|request| {
                request.stage == Stage::Waiting
                    && request.trial.is_none()
                    && !request.awaits_credit()
                    && !request.awaits_origin()
            });
            if waits {
                blocked.insert(requirement);
            }
        }
    }
}
