//! Scheduling by expected wait.

use std::net::SocketAddr;

use citronrill_base::{Map, Set};
use citronrill_decide::LogEvent;

use super::{FIRST_EVENT_MS, PoolEntry, Request, RequestId, ResponseHead, SLOT_TURNOVER_MS};
use crate::{
    endpoint::Endpoint,
    expected_wait::{BadLoad, OwnView, WaitEstimate, WorkTime},
};

/// Expected response times after which a call has no response because its endpoint hangs: stated queues
/// are exact only to the requests that several entries send at the same moment.
const OVERDUE_FACTOR: f64 = 2.0;

/// Services whose endpoints state how long work takes on their hosts.
#[derive(Debug, Default)]
pub(super) struct PacedServices(Set<String>);

impl PacedServices {
    /// Records that an endpoint of `service` states the pace.
    fn add(&mut self, service: &str) {
        if !self.0.contains(service) {
            self.0.insert(service.to_owned());
        }
    }
}

/// What this entry has measured of each service.
#[derive(Debug, Default)]
pub(super) struct WaitRecords {
    work: Map<String, WorkTime>,
    counts: Map<String, WaitCounts>,
}

/// Dispatches by expected wait, and the sum of the waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitCounts {
    /// Dispatches whose endpoint was chosen by expected wait.
    pub dispatches: u64,
    /// Sum of their expected waits, in milliseconds.
    pub wait_ms: u64,
}

impl PoolEntry {
    /// Returns whether requests of a service are scheduled by expected wait.
    ///
    /// The settings call for it where organisations compete for room, and the endpoints themselves where
    /// they share their hosts: the number of their requests then says little about the wait.
    pub(super) fn by_wait(&self, service: &str) -> bool {
        self.profile.contended || self.paced.0.contains(service)
    }

    /// Returns the dispatches by expected wait of each service.
    pub fn wait_counts(&self) -> impl Iterator<Item = (&str, WaitCounts)> {
        self.waits.counts.iter().map(|(service, counts)| (service.as_str(), *counts))
    }

    /// Returns how long a request waits that is sent to an endpoint now.
    pub(super) fn wait_estimate(&self, endpoint: &Endpoint) -> WaitEstimate {
        endpoint.load_view.estimate(self.own_view(endpoint), self.now)
    }

    fn own_view(&self, endpoint: &Endpoint) -> OwnView {
        OwnView {
            requests: endpoint.own_requests,
            slots: endpoint.member.slots,
            service_ms: self.service_work_ms(&endpoint.member.service),
        }
    }

    /// Returns the average work time of a service in milliseconds at the usual pace.
    pub(super) fn service_work_ms(&self, service: &str) -> f64 {
        self.measured_work_ms(service).unwrap_or_else(|| self.assumed_work_ms(service))
    }

    /// Returns that work time if any response has shown it.
    pub(super) fn measured_work_ms(&self, service: &str) -> Option<f64> {
        self.waits.work.get(service).and_then(WorkTime::ms)
    }

    /// Returns the work time that is assumed until responses show it: that of a stream for an engine, and
    /// the shortest objective for a plain service, whose calls are meant to end within it.
    fn assumed_work_ms(&self, service: &str) -> f64 {
        let Some(config) = &self.config else { return SLOT_TURNOVER_MS };
        if self.is_engine(service) {
            return SLOT_TURNOVER_MS;
        }
        let shortest = config.routes_to(service).map(|route| route.target_ms).min();
        shortest.map_or(SLOT_TURNOVER_MS, |ms| SLOT_TURNOVER_MS.min(ms as f64))
    }

    /// Returns the cost of an endpoint's load and speed, as a share of the slots of an endpoint of usual speed.
    ///
    /// A prompt of an engine that is not full waits only for other prompts, which are read one by one: the
    /// time to the first event shows that. A plain endpoint that hangs shows in calls without a response.
    pub(super) fn wait_cost(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        let own = self.own_view(endpoint);
        let usual_ms = own.service_ms.max(1.0);
        let backlog_ms = endpoint.load_view.backlog_ms(own, self.now);
        let late_ms = if request.required.is_some() {
            endpoint.ttfb_ms(self.now)
        } else {
            let expected_ms = endpoint.load_view.estimate(own, self.now).total_ms();
            (endpoint.unanswered_ms as f64 - expected_ms).max(0.0)
        };
        backlog_ms / usual_ms + late_ms / request.target_ms.max(1) as f64
    }

    /// Returns whether a request is expected to begin at an endpoint at once, and nothing speaks against the
    /// endpoint.
    pub(super) fn has_room_now(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let engine = request.required.is_some();
        let doubtful =
            engine && (endpoint.side_silent(self.now) || endpoint.liveness.maybe_stalled(self.now));
        let waits = self.wait_estimate(endpoint).wait_ms > 0.0 || endpoint.load_ratio() >= 1.0;
        !waits && !doubtful && !endpoint.avoided(self.now) && !endpoint.is_failing()
    }

    /// Returns the time until the first event of a stream that is sent to an engine now, in objectives.
    pub(super) fn late_first_event(&self, endpoint: &Endpoint, target_ms: u64) -> f64 {
        let wait_ms = self.wait_estimate(endpoint).wait_ms;
        let queued_ms = if wait_ms > 0.0 { wait_ms + FIRST_EVENT_MS as f64 } else { 0.0 };
        queued_ms.max(endpoint.ttfb_ms(self.now)) / target_ms.max(1) as f64
    }

    /// Returns for how many milliseconds the endpoint of a request may be without a response; `usual_ms` is
    /// that time without regard to the wait.
    ///
    /// A call is retried as soon as its endpoint must be hanging, and not while it merely queues: a retry
    /// would begin at the end of another queue.
    pub(super) fn unanswered_limit_ms(&self, request: &Request, usual_ms: u64) -> u64 {
        if !self.by_wait(&request.service) {
            return usual_ms;
        }
        let expected = request.expected;
        if request.required.is_some() {
            return usual_ms + expected.wait_ms as u64;
        }
        request.target_ms.max((OVERDUE_FACTOR * expected.total_ms()) as u64)
    }

    /// Counts the dispatch of a request whose endpoint was chosen by wait, and returns the expected wait in
    /// milliseconds; `None` if it was chosen otherwise.
    pub(super) fn count_wait(&mut self, id: RequestId, expected: WaitEstimate) -> Option<u64> {
        let service = &self.requests.get(&id)?.service;
        if !self.by_wait(service) {
            return None;
        }
        let service = service.clone();
        let wait_ms = expected.wait_ms as u64;
        let counts = self.waits.counts.entry(service).or_default();
        counts.dispatches += 1;
        counts.wait_ms += wait_ms;
        Some(wait_ms)
    }

    /// Learns the load and the pace that a response states.
    ///
    /// What another incarnation states, or one that has ended since the dispatch, says nothing of this one.
    pub(super) fn learn_load(&mut self, id: RequestId, head: ResponseHead) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let Some(instance) = request.instance.clone() else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(&instance) else { return };
        if head.is_foreign() || request.sent_at < endpoint.known_since {
            return;
        }
        if head.load.is_some_and(|load| load.pace.is_some()) {
            self.paced.add(&endpoint.member.service);
        }
        // Errors and refusals need not state the load.
        if head.load.is_none() && !head.success() {
            return;
        }
        if let Err(bad) = endpoint.load_view.record_stated(head.load, now) {
            self.log_bad_load(&instance, bad);
        }
    }

    /// Logs once for each incarnation that its figures count as unknown.
    fn log_bad_load(&mut self, instance: &str, bad: BadLoad) {
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        if endpoint.load_view.take_bad_log() {
            let event = LogEvent::new("bad_load").with("instance", instance);
            self.log(event.with("figures", bad.as_str()));
        }
    }

    /// Learns from a side's report whether its endpoint states the pace.
    pub(super) fn learn_pace(&mut self, address: SocketAddr) {
        let endpoint = self.pool.endpoint_at(address).filter(|found| found.load_view.is_paced());
        if let Some(endpoint) = endpoint {
            self.paced.add(&endpoint.member.service);
        }
    }

    /// Records how long a call of a plain service took, of which the response has begun. An error takes
    /// no work.
    pub(super) fn record_call_time(&mut self, id: RequestId) {
        let call = self.requests.get(&id).filter(|request| request.required.is_none());
        if call.is_some_and(|request| request.succeeded) {
            self.record_work(id);
        }
    }

    /// Records how long a stream occupied its slot, which has ended now.
    pub(super) fn record_stream_time(&mut self, id: RequestId) {
        // A resumed stream runs only in part, and an error occupies no slot.
        let whole = |request: &Request| request.succeeded && request.runs == 0;
        let stream = self.requests.get(&id).filter(|request| request.required.is_some());
        if stream.is_some_and(whole) {
            self.record_work(id);
        }
    }

    fn record_work(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(instance) = &request.instance else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        if request.sent_at < endpoint.known_since {
            return;
        }
        let took_ms = self.now.since(request.sent_at);
        let work_ms = endpoint.load_view.record_response(took_ms, request.expected, self.now);
        self.waits.work.entry(request.service.clone()).or_default().record(work_ms);
    }

    fn is_engine(&self, service: &str) -> bool {
        let service = self.config.as_ref().and_then(|config| config.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }
}
