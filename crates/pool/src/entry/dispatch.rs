//! Dispatch, retry and completion of requests.

use citronrill_base::hash_bytes;
use citronrill_decide::LogEvent;
use citronrill_wire::UsageReport;

use super::{
    Dispatch, EntryEffect, FailureKind, LimitedUse, PoolEntry, Reason, Refusal, Request, RequestId,
    ResponseEnd, ResponseHead, Resume, Stage, Verdict, classify_response,
};
use crate::{prompt::join_parts, software::SoftwareKey};

/// Maximum dispatches of one request, including refused ones: a backstop in addition to the retry
/// budget.
pub(super) const MAX_DISPATCHES: u32 = 4;
/// Status that guarantees that a request has not run and never will.
const NOT_RUN_STATUS: u16 = 503;
/// Retry time, in milliseconds, while the entry waits for a configuration. A process takes about
/// one second from its start to its first configuration, and calls to an unresponsive platform
/// store are about as far apart.
pub(super) const NO_CONFIG_RETRY_MS: u64 = 1_000;
/// Retry time, in milliseconds, when the entry is stopping: just enough to keep the retries from
/// arriving all at once.
const STOPPING_RETRY_MS: u64 = 50;
/// Retry time, in milliseconds, when no side tells what is left of a limit: another one takes over
/// within about that time.
const LIMIT_UNKNOWN_RETRY_MS: u64 = 500;
/// Divisor of the time until a model is loaded: the retries of its callers are spread over this
/// fraction of that time. An endpoint accepts a whole batch at once, and processes the prompts of
/// one batch while the next batch arrives.
pub(super) const RETRY_SPREAD: u64 = 8;
/// Characters of a path that are logged.
const LOGGED_PATH: usize = 80;
/// Parts of a prompt that are logged.
const LOGGED_PARTS: usize = 8;

impl PoolEntry {
    /// Dispatches a request to `instance`; `copy` means that its run resumes there from a copy of
    /// its KV cache.
    pub(super) fn dispatch(&mut self, id: RequestId, instance: &str, copy: bool) {
        let now = self.now;
        if !self.use_permit(instance) {
            // It waits on.
            return;
        }
        if !self.use_retry(id) {
            self.refuse(id, Reason::Full);
            return;
        }
        let backup = self.requests.get(&id).and_then(|request| self.backup_for(request, instance));
        let backup_address = backup.as_ref().and_then(|backup| self.pool.endpoints.get(backup));
        let backup_address = backup_address.map(|endpoint| endpoint.member.address);
        let (eligible, fleet_load) = self.alternatives(id);
        let expected = self.pool.endpoints.get(instance).map(|to| self.wait_estimate(to));
        let expected = expected.unwrap_or_default();
        let wait_ms = self.count_wait(id, expected);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        request.backup = backup;
        let resume = Resume { last_event: request.last_event, copy };
        endpoint.own_requests += 1;
        endpoint.load += 1;
        endpoint.unreported += 1;
        endpoint.load_view.record_dispatch();
        request.queue_rounds = endpoint.load_ratio().max(1.0);
        request.stage = Stage::Sent;
        request.has_progress = false;
        request.sent_at = now;
        request.expected = expected;
        request.instance = Some(instance.to_owned());
        request.sent_software = Some(endpoint.software);
        request.dispatches += 1;
        let dispatch = Dispatch {
            number: request.dispatches,
            address: endpoint.member.address,
            instance: instance.to_owned(),
            organisation: request.organisation.clone(),
            remaining_ms: request.deadline.since(now),
            urgency: request.urgency(now),
            backup: backup_address,
            resume: (request.head_sent || copy).then_some(resume),
        };
        let event = LogEvent::new("sent")
            .with("id", &request.caller_id)
            .with("to", instance)
            .with("software", &endpoint.member.software)
            .with("org", request.organisation.as_deref().unwrap_or(""))
            .with("model", &request.model)
            .with("adapter", &request.adapter)
            .with("waited_ms", now.since(request.arrived))
            .with("urgency", dispatch.urgency)
            .with("able", eligible)
            .with("load", endpoint.load)
            .with("fleet_load", fleet_load)
            .with("backup", request.backup.as_deref().unwrap_or(""))
            .with("copy", copy)
            .with("list", self.pool.list_version)
            .with("sequence", endpoint.inventory.sequence);
        let event = match wait_ms {
            Some(wait_ms) => event.with("wait_ms", wait_ms),
            None => event,
        };
        let event = request.mark_over_share(event);
        if request.required.is_some() {
            let (model, adapter) = (request.model.clone(), request.adapter.clone());
            let usage = UsageReport { model, adapter, missed: false };
            self.effects.push(EntryEffect::ReportUsage(dispatch.address, usage));
        }
        self.effects.push(EntryEffect::Dispatch(id, dispatch));
        self.log(event);
    }

    /// Returns the number of endpoints that can run a request, and the load of its service. The log
    /// then shows whether an endpoint with a high load was preferred to others or was the only one.
    fn alternatives(&self, id: RequestId) -> (usize, u32) {
        let Some(request) = self.requests.get(&id) else { return (0, 0) };
        let eligible = self
            .pool
            .endpoints
            .values()
            .filter(|endpoint| self.eligible(endpoint, request))
            .count();
        (eligible, self.service_runs(&request.service))
    }

    /// Returns whether an event belongs to the last dispatch of a request.
    ///
    /// After a failover, a response of the first endpoint may still be on its way. Without this
    /// check it would be forwarded as that of the second endpoint, although it is no longer held.
    pub(super) fn is_current(&self, id: RequestId, dispatch: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.stage == Stage::Sent && request.dispatches == dispatch)
    }

    pub(super) fn response_started(&mut self, id: RequestId, head: ResponseHead) {
        let now = self.now;
        self.learn_from_response(id, head);
        self.learn_load(id, head);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let verdict = classify_response(head, request.retry_policy);
        // Once the caller has the head of a successful response, an endpoint's error response can
        // no longer be forwarded: its body would be taken for the rest of the first response.
        let head_sent = request.head_sent;
        let unforwardable = head_sent && verdict == Verdict::Forward && !head.success();
        // Another incarnation may have another software version: its events would not fit.
        let unfit = head.other_incarnation && request.bound_software().is_some();
        let failed = unforwardable || unfit && verdict == Verdict::Forward;
        let verdict = if failed { Verdict::Failed } else { verdict };
        if head.other_incarnation {
            request.sent_software = Some(SoftwareKey::unlisted(&request.caller_id));
        }
        request.succeeded = head.success();
        let endpoint =
            request.instance.as_ref().and_then(|instance| self.pool.endpoints.get_mut(instance));
        if let Some(endpoint) = endpoint {
            endpoint.liveness.record_traffic(now);
            if let Some(load) = head.load {
                endpoint.set_load(load.requests(), now);
                request.queue_rounds = endpoint.load_ratio().max(1.0);
            }
            if verdict == Verdict::Forward {
                request.head_ms = now.since(request.sent_at);
                endpoint.record_ttfb(request.head_ms, now);
            }
            if verdict != Verdict::NotRun {
                endpoint.record_result(verdict == Verdict::Failed || head.status >= 500);
            } else if head.is_rejected() {
                // The endpoint does not have the model that it was known to have. The key is
                // removed until the member list or the side reports something newer; otherwise
                // requests would be dispatched there in a loop.
                let required = request.required;
                endpoint.inventory.keys.retain(|key| Some(*key) != required);
            }
        }
        match verdict {
            Verdict::Forward => {
                // Told first: this process may end as soon as the caller has the first event.
                self.record_origin(id);
                self.record_call_time(id);
                self.forward(id);
            }
            Verdict::NotRun => {
                let stale = request.instance.clone().filter(|_| head.other_incarnation);
                self.retry_or_end(id, false, head.status, false);
                if let Some(instance) = stale {
                    self.log(LogEvent::new("superseded").with("instance", &instance));
                    self.pool.remove(&instance, now);
                    self.update_sides();
                }
            }
            Verdict::Failed => {
                let own_failure = head.signed && !head.misdirected && head.status >= 500;
                self.retry_or_end(id, true, head.status, own_failure && !head_sent);
            }
        }
    }

    pub(super) fn dispatch_failed(&mut self, id: RequestId, kind: FailureKind) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let instance = request.instance.clone().unwrap_or_default();
        if kind == FailureKind::Broken {
            self.record_lost_run(id);
        }
        if let Some(endpoint) = self.pool.endpoints.get_mut(&instance) {
            endpoint.record_result(true);
            if kind == FailureKind::Unreachable {
                endpoint.avoid(now);
            }
        }
        self.retry_or_end(id, kind == FailureKind::Broken, 0, false);
    }

    /// Logs a run whose connection broke, with what identifies the request in other attempts.
    pub(super) fn log_lost_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let instance = request.instance.as_deref().unwrap_or("");
        let own = self.pool.endpoints.get(instance).map_or(0, |endpoint| endpoint.own_requests);
        let caller = request.caller.map(|caller| caller.to_string()).unwrap_or_default();
        let event = LogEvent::new("run_lost")
            .with("id", &request.caller_id)
            .with("from", instance)
            .with("digest", request.digest)
            .with("parts", join_parts(request.shared_parts.iter().take(LOGGED_PARTS)))
            .with("caller", caller)
            .with("path", request.path.chars().take(LOGGED_PATH).collect::<String>())
            .with("model", &request.model)
            .with("tokens", request.tokens.prompt)
            .with("ran_ms", self.now.since(request.sent_at))
            .with("begun", request.stage == Stage::Responding)
            .with("own", own);
        self.log(event);
    }

    /// Retries a request or ends it; `forwardable` means that the endpoint's own error response is
    /// held and can be forwarded to the caller.
    fn retry_or_end(&mut self, id: RequestId, ran: bool, status: u16, forwardable: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += u32::from(ran);
        let runs = request.runs;
        let exhausted = request.dispatches >= MAX_DISPATCHES || runs >= request.max_attempts;
        let barred = exhausted || runs > 0 && !request.retry_policy.may_retry();
        let event = LogEvent::new("failed")
            .with("id", &request.caller_id)
            .with("from", request.instance.as_deref().unwrap_or(""))
            .with("status", status)
            .with("ran", ran)
            .with("sends", request.dispatches)
            .with("barred", barred);
        self.log(event);
        if ran && status == 0 && self.resume_from_copy(id) {
            return;
        }
        let retry = !barred && self.reserve_retry(id);
        if !retry && forwardable {
            self.forward(id);
            return;
        }
        self.detach(id);
        if retry {
            self.schedule(id);
        } else {
            self.refuse(id, if runs > 0 { Reason::Broken } else { Reason::Full });
        }
    }

    fn forward(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Responding;
            self.effects.push(EntryEffect::Forward(id));
        }
    }

    pub(super) fn response_ended(&mut self, id: RequestId, end: ResponseEnd) {
        let complete = end == ResponseEnd::Complete;
        if complete {
            self.record_stream_time(id);
        }
        let instance = self.requests.get(&id).and_then(|request| request.instance.clone());
        if let Some(endpoint) = instance.and_then(|instance| self.pool.endpoints.get_mut(&instance))
        {
            endpoint.record_result(!complete);
        }
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            self.cancel_retry(&request);
            self.record_occupancy(&request, end);
            // An error response does not show that anything began to run.
            if complete && request.succeeded {
                self.clear_suspect(&request);
            }
            self.log(
                LogEvent::new("finished")
                    .with("id", &request.caller_id)
                    .with("from", request.instance.as_deref().unwrap_or(""))
                    .with("complete", complete)
                    .with("head_ms", request.head_ms)
                    .with("took_ms", self.now.since(request.arrived)),
            );
        }
    }

    pub(super) fn caller_left(&mut self, id: RequestId) {
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            self.cancel_retry(&request);
            self.return_waiting_credit(&request);
            let instance = request.instance.as_deref().unwrap_or("");
            let silent = self
                .pool
                .endpoints
                .get(instance)
                .is_some_and(|endpoint| endpoint.side_silent(self.now));
            let event = LogEvent::new("left").with("id", &request.caller_id).with("from", instance);
            let event = event.with("after_ms", self.now.since(request.arrived));
            self.log(
                event.with("begun", request.stage == Stage::Responding).with("silent", silent),
            );
        }
    }

    /// Removes a request from the load counts of its endpoint.
    pub(super) fn release(&mut self, id: RequestId) {
        self.end_trial(id);
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage == Stage::Waiting {
            return;
        }
        let endpoint =
            request.instance.as_ref().and_then(|instance| self.pool.endpoints.get_mut(instance));
        if let Some(endpoint) = endpoint {
            endpoint.own_requests = endpoint.own_requests.saturating_sub(1);
            endpoint.load = endpoint.load.saturating_sub(1);
            endpoint.load_view.record_end();
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, reason: Reason) {
        if self.requests.get(&id).is_some_and(|request| request.head_sent) {
            self.cut(id, reason);
            return;
        }
        self.release(id);
        let Some(request) = self.requests.remove(&id) else { return };
        self.count_refused(&request, reason);
        self.cancel_retry(&request);
        // If the first run broke off and no second endpoint is found, the request may have run: a
        // status that guarantees that it has not would be wrong, whatever prevented the second run.
        let contradicts = request.runs > 0 && reason.status() == NOT_RUN_STATUS;
        let reason = if contradicts { Reason::Broken } else { reason };
        let retry_ms = self.retry_after(reason, &request);
        self.return_credit(&request, reason);
        self.record_share_refusal(&request, reason);
        let (holders, copies, loading) =
            request.base.map_or((0, 0, 0), |base| self.availability(base));
        let first_attempt = request.first_attempt.clone().unwrap_or_default();
        let cause = self.quarantine_cause(&request).filter(|_| reason == Reason::Quarantined);
        let event = LogEvent::new("refused").with("id", &request.caller_id);
        let event = match cause {
            Some(cause) => event.with(cause.field(), cause),
            None => event,
        };
        let event = request.mark_over_share(event);
        self.log(
            event
                .with("reason", reason.as_str())
                .with("status", reason.status())
                .with("org", request.organisation.as_deref().unwrap_or(""))
                .with("units", request.limited.as_ref().map_or(0, LimitedUse::units))
                .with("model", &request.model)
                .with("holders", holders)
                .with("copies", copies)
                .with("coming", loading)
                .with("after_ms", self.now.since(request.arrived))
                .with("sends", request.dispatches)
                .with("runs", request.runs)
                .with("text", self.config_version())
                .with("list", self.pool.list_version)
                .with("first_attempt", first_attempt),
        );
        self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
    }

    /// Returns the milliseconds after which a refused caller may retry.
    ///
    /// The endpoints work off a full queue within about the latency objective, so there is room
    /// again after half of it. A hash of the caller's request ID spreads the retries. If the model
    /// is not loaded, callers retry when it should be ready: earlier retries are refused again, and
    /// most callers retry only once.
    fn retry_after(&self, reason: Reason, request: &Request) -> Option<u64> {
        let soon = || (request.target_ms / 2).max(self.backoff_retry_ms(request));
        let spread = |ms: u64| hash_bytes(request.caller_id.as_bytes()) % (ms + 1);
        match reason {
            Reason::Full | Reason::Backoff => Some(soon() + spread(request.target_ms / 4)),
            Reason::NoEndpoint | Reason::TooLate => {
                let ms = self.ready_ms(request).unwrap_or(0).max(soon());
                Some(ms + spread((request.target_ms / 4).max(ms / RETRY_SPREAD)))
            }
            Reason::NoConfig | Reason::StaleConfig => Some(NO_CONFIG_RETRY_MS),
            Reason::Quarantined => Some(self.quarantine_ms(request)),
            Reason::OverLimit => request.limited.as_ref().map(|limited| limited.retry_ms),
            Reason::LimitUnknown => Some(LIMIT_UNKNOWN_RETRY_MS),
            Reason::EndpointLimit => Some(self.limit_retry_ms(request)),
            // Any other entry can serve it at once.
            Reason::Stopping => Some(STOPPING_RETRY_MS),
            Reason::VersionUnknown
            | Reason::VersionGone
            | Reason::Expired
            | Reason::NoRoute
            | Reason::UnknownKey
            | Reason::NoModel
            | Reason::TimedOut
            | Reason::Broken => None,
        }
    }
}
