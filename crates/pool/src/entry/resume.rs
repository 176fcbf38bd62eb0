//! Recovery of streams whose endpoint breaks off.
//!
//! Endpoints crash, or are reclaimed, with long streams open. The caller of such a stream has half
//! a response, and most streams may not run again. An endpoint can copy the KV cache of a run to
//! another endpoint during the run. The other endpoint resumes the run from the copy, and the
//! caller sees a pause.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;

use super::{
    EntryEffect, FIRST_EVENT_MS, MAX_DISPATCHES, PoolEntry, Reason, Request, RequestId,
    ResponseEnd, Stage, TokenCount,
};
use crate::{
    config::{EngineSpec, RetryPolicy},
    decaying_count::DecayingCount,
    endpoint::Endpoint,
};

/// Milliseconds in which the weight of a lost endpoint decays to 1/e. Crashes come in series, because
/// the cause of a crash lasts for a minute or more.
const LOSS_DECAY_MS: f64 = 60_000.0;
/// Milliseconds within which losses at one address count as one: all streams there break at once,
/// and the next incarnation is reported soon after.
const LOSS_WINDOW_MS: u64 = 3_000;
/// Milliseconds that an engine takes for one token of a response with a half-full batch.
const TOKEN_MS: f64 = 10.0;
/// Copied bytes that are worth one saved stream. A copy costs bandwidth, and memory at the other
/// endpoint that its own runs then lack. With every stream copied, prompts of 9,000 tokens at 128
/// KiB each filled the engines, and more callers were late or disconnected than were saved. At this
/// value, 3.0 instead of 3.3 in 100 requests went unserved on days with three crashes among nine
/// endpoints (14 days, paired), and 4.7 instead of 5.0 on standard days of 42 endpoints (10 days,
/// paired).
const SAVED_STREAM_BYTES: f64 = 40e9;

/// Endpoint losses seen by this entry.
#[derive(Debug, Default)]
pub(super) struct Losses {
    by_service: Map<String, DecayingCount>,
    /// When a loss was last recorded, by endpoint address.
    last_loss: Map<SocketAddr, Millis>,
}

impl PoolEntry {
    /// Counts the loss of the runs at `instance`: a stream broke off there, or the endpoint has a
    /// new incarnation.
    pub(super) fn record_loss(&mut self, instance: &str) {
        let now = self.now;
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        self.losses.last_loss.retain(|_, at| now.since(*at) < LOSS_WINDOW_MS);
        if self.losses.last_loss.insert(endpoint.member.address, now).is_none() {
            let count = self.losses.by_service.entry(endpoint.member.service.clone()).or_default();
            count.add(LOSS_DECAY_MS, now);
        }
    }

    /// Returns the share of a service's endpoints that is lost in a second.
    fn loss_rate(&self, service: &str) -> f64 {
        let count = self.losses.by_service.get(service);
        let lost = count.map_or(0.0, |count| count.decayed(LOSS_DECAY_MS, self.now));
        let endpoints =
            self.pool.endpoints.values().filter(|endpoint| endpoint.member.service == service);
        lost * 1_000.0 / LOSS_DECAY_MS / endpoints.count().max(1) as f64
    }

    /// Returns whether a copy of a run's KV cache is worth its cost: the probability that the run
    /// breaks off, which grows with its length, is weighed against the bytes to copy.
    fn worth_copying(&self, service: &str, engine: &EngineSpec, tokens: TokenCount) -> bool {
        let runs_s = (FIRST_EVENT_MS as f64 + f64::from(tokens.answer) * TOKEN_MS) / 1_000.0;
        let chance = self.loss_rate(service) * runs_s;
        let copied =
            (f64::from(tokens.prompt) + f64::from(tokens.answer)) * engine.token_bytes as f64;
        chance * SAVED_STREAM_BYTES > copied
    }

    /// Returns the instance to which the KV cache of a run at `instance` is to be copied.
    pub(super) fn backup_for(&self, request: &Request, instance: &str) -> Option<String> {
        if !request.retry_policy.is_stream() || self.needs_trial(request) {
            return None;
        }
        let engine = self.config.as_ref()?.service(&request.service)?.engine.as_ref()?;
        if !engine.backups || !self.worth_copying(&request.service, engine, request.tokens) {
            return None;
        }
        let software = self.pool.endpoints.get(instance)?.software;
        let eligible = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.member.instance != instance
                && endpoint.software == software
                && self.eligible(endpoint, request)
                && !endpoint.is_limited()
                && !endpoint.side_silent(self.now)
                && !endpoint.liveness.maybe_stalled(self.now)
                && !endpoint.avoided(self.now)
        });
        let runs = self.service_runs(&request.service);
        let costs = eligible.map(|endpoint| (self.cost(endpoint, request, runs), endpoint));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, endpoint)| endpoint.member.instance.clone())
    }

    /// Handles a response that broke off after this event.
    pub(super) fn stream_broken(&mut self, id: RequestId, last_event: Option<u64>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Responding {
            return;
        }
        let instance = request.instance.clone().unwrap_or_default();
        self.record_lost_run(id);
        self.record_loss(&instance);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.head_sent = true;
        request.runs += 1;
        request.last_event = last_event.or(request.last_event);
        request.bind();
        // The caller has just received an event, or at least the head.
        request.idle_deadline = request.deadline.min(now + request.idle_timeout);
        if let Some(endpoint) = self.pool.endpoints.get_mut(&instance) {
            endpoint.record_result(true);
        }
        if !self.resume_from_copy(id) && !self.resume_anywhere(id) {
            self.cut(id, Reason::Broken);
        }
    }

    /// Resumes a run that broke off at the endpoint that has a copy of its KV cache. Returns
    /// whether it was resumed.
    ///
    /// This counts as the same run, so it is permitted for streams that may run only once: an
    /// endpoint without the copy says so and runs nothing. Only a run that has delivered an event
    /// is resumed. Before the first event, the copy of a run that has just begun looks the same as
    /// the copy of a run whose response was completed and lost; when runs were resumed at that
    /// stage, two of a thousand requests ran twice. A run is not resumed while its last endpoint is
    /// stalled, because that endpoint continues with it later.
    pub(super) fn resume_from_copy(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let resumable = request.last_event.is_some() && request.dispatches < MAX_DISPATCHES;
        let Some(backup) = request.backup.clone().filter(|_| resumable) else { return false };
        let last_endpoint =
            request.instance.as_ref().and_then(|instance| self.pool.endpoints.get(instance));
        let stalled = last_endpoint.is_some_and(|endpoint| endpoint.liveness.is_stalled(self.now));
        if stalled || !self.has_live_copy(request) || !self.reserve_retry(id) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let needs_trial = self.needs_trial(request);
        self.detach(id);
        if !needs_trial {
            self.dispatch(id, &backup, true);
        } else if let Some(request) = self.requests.get_mut(&id) {
            request.from_copy = true;
            self.request_trial(id);
        }
        true
    }

    /// Returns whether the KV cache of a run was copied to an endpoint that can resume it.
    pub(super) fn has_live_copy(&self, request: &Request) -> bool {
        let backup = request.backup.as_ref().and_then(|backup| self.pool.endpoints.get(backup));
        let live = |endpoint: &Endpoint| {
            endpoint.member.service == request.service
                && request.fits_software(endpoint)
                && endpoint.accepts_requests()
                && self.permits(endpoint)
                && endpoint.is_responsive(self.now)
        };
        backup.is_some_and(live)
    }

    /// Schedules a resumable stream again, for any endpoint that can run it. Returns false if no
    /// further attempt is permitted.
    fn resume_anywhere(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let allowed = request.retry_policy == RetryPolicy::ResumableStream
            && request.runs < request.max_attempts
            && request.dispatches < MAX_DISPATCHES;
        if !allowed || !self.reserve_retry(id) {
            return false;
        }
        self.detach(id);
        self.schedule(id);
        true
    }

    /// Takes a request back from its endpoint, which is not tried again.
    pub(super) fn detach(&mut self, id: RequestId) {
        self.release(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.extend(request.instance.take());
        request.stage = Stage::Waiting;
        request.mark_queued();
    }

    /// Ends a response that has started and cannot continue: the caller sees that it is incomplete.
    pub(super) fn cut(&mut self, id: RequestId, reason: Reason) {
        if let Some(request) = self.requests.get(&id) {
            let event = LogEvent::new("cut").with("id", &request.caller_id);
            let event = event.with("reason", reason.as_str()).with("runs", request.runs);
            self.log(event.with("tokens", request.tokens.prompt));
        }
        self.effects.push(EntryEffect::Abort(id));
        self.response_ended(id, ResponseEnd::Aborted);
    }
}
