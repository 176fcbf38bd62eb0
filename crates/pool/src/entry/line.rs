//! Admission of waiting requests by the time that their callers have left.
//!
//! The requests that wait for the same endpoints form a line in the order of their deadlines.

use std::collections::BTreeMap;

use citronrill_base::{Millis, ModelKey, Set, hash_bytes};

use super::{MIN_REMAINING_MS, PoolEntry, Reason, Request, RequestId, queue::RequestClass};
use crate::{
    admission::{Admission, Candidate, QueueState, admit},
    expected_wait::WaitEstimate,
};

/// Order in which waiting requests must be served, so that as many as possible are served in time: the earliest
/// deadline first among those of one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LineOrder {
    class: RequestClass,
    /// When its caller leaves.
    leaves: Millis,
    id: RequestId,
}

/// A request in the line for the same endpoints.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    order: LineOrder,
    left_ms: f64,
}

/// A place in the line; the fields are those of [`Candidate`].
#[derive(Debug, Clone, Copy)]
struct PlaceInLine {
    ahead: usize,
    admitted: usize,
    spare_behind: f64,
}

/// What made it certain that a request cannot be served in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    /// Milliseconds until it would begin.
    pub(super) wait_ms: u64,
    /// Milliseconds that its caller has left.
    pub(super) left_ms: u64,
}

impl PoolEntry {
    /// Keeps a request waiting that can be served in the time that its caller has left.
    pub(super) fn admit_or_refuse(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(queue) = self.queue_state(request) else {
            self.refuse(id, Reason::Full);
            return;
        };
        let mut line = self.line(request);
        line.retain(|waiting| waiting.order.id != id);
        let position = line.partition_point(|place| place.order < self.line_order(id, request));
        let mut place = self.place_in(&line, &queue, request, position);
        if request.admitted {
            place = self.kept_place(&line, request);
        }
        let admission = admit(&queue, &self.candidate(request, &queue, &place));
        self.apply_admission(id, admission);
    }

    fn apply_admission(&mut self, id: RequestId, admission: Admission) {
        match admission {
            Admission::Dispatch | Admission::Wait(_) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.admitted = true;
                }
            }
            Admission::Displace => self.displace_for(id),
            Admission::Refuse(_) => self.refuse(id, Reason::Full),
        }
    }

    /// Refuses the least urgent waiting request of a service, and keeps a more urgent one in its place.
    fn displace_for(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(displaced) = self.least_urgent_below(request) else { return };
        if let Some(request) = self.requests.get_mut(&id) {
            request.placed = true;
        }
        self.refuse(displaced, Reason::Displaced);
    }

    /// Returns the least urgent waiting request of a request's service that has not run and is less urgent;
    /// one that waits for the same model, if there is one.
    fn least_urgent_below(&self, request: &Request) -> Option<RequestId> {
        let class = self.schedule_key(request).class;
        let others = self.requests.iter().filter(|(_, other)| {
            other.service == request.service
                && other.is_unstarted()
                && self.schedule_key(other).class > class
        });
        let last = others
            .max_by_key(|(id, other)| (other.base == request.base, self.schedule_key(other), **id));
        last.map(|(id, _)| *id)
    }

    /// Refuses waiting requests as soon as it is certain that they cannot be served in time: more urgent
    /// ones have arrived, or the endpoints take longer than expected. Notes which must be served next.
    ///
    /// The endpoints are visited once for each model that requests wait for.
    pub(super) fn review_waiting(&mut self) {
        let mut pressing = Set::default();
        let mut judged = Vec::new();
        for line in self.lines() {
            let first = line.first().and_then(|place| self.requests.get(&place.order.id));
            let Some(queue) = first.and_then(|request| self.queue_state(request)) else { continue };
            self.judge_line(&line, &queue, &mut judged);
            pressing.extend(self.pressing(&line, &queue));
        }
        for (id, request) in &mut self.requests {
            request.pressing = pressing.contains(id);
        }
        for (id, admission) in judged {
            self.apply_admission(id, admission);
        }
    }

    /// Returns the lines of the requests that wait for a slot, one for each model.
    fn lines(&self) -> Vec<Vec<Waiting>> {
        let waiting = self.requests.iter().filter(|(_, request)| {
            request.is_unstarted() && request.awaits_slot && self.by_wait(&request.service)
        });
        let mut lines: BTreeMap<(&str, Option<ModelKey>), Vec<Waiting>> = BTreeMap::new();
        for (id, request) in waiting {
            let line = lines.entry((request.service.as_str(), request.base)).or_default();
            line.push(self.waiting(*id, request));
        }
        let mut lines = lines.into_values().collect::<Vec<_>>();
        lines.iter_mut().for_each(|line| line.sort_unstable_by_key(|waiting| waiting.order));
        lines
    }

    fn judge_line(
        &self,
        line: &[Waiting],
        queue: &QueueState,
        judged: &mut Vec<(RequestId, Admission)>,
    ) {
        for place in line {
            let Some(request) = self.requests.get(&place.order.id) else { continue };
            let kept = self.kept_place(line, request);
            let admission = admit(queue, &self.candidate(request, queue, &kept));
            if matches!(admission, Admission::Displace | Admission::Refuse(_)) {
                judged.push((place.order.id, admission));
            }
        }
    }

    /// Returns the requests of a line that must be served before all others of their class: one of them, or
    /// one that follows them, has less than a latency objective to spare.
    fn pressing(&self, line: &[Waiting], queue: &QueueState) -> Vec<RequestId> {
        let mut pressing = Vec::new();
        let mut hurried = None;
        for (index, place) in line.iter().enumerate().rev() {
            let Some(request) = self.requests.get(&place.order.id) else { continue };
            let spare_ms = place.left_ms - work_ms(request, queue) - queue.wait_ms(index + 1);
            if spare_ms < request.target_ms as f64 {
                hurried = Some(place.order.class);
            }
            if hurried == Some(place.order.class) {
                pressing.push(place.order.id);
            }
        }
        pressing
    }

    /// Returns the requests that wait for the same endpoints as `request`, in the order in which their callers
    /// must be served.
    fn line(&self, request: &Request) -> Vec<Waiting> {
        let waiting = self.requests.iter().filter(|(_, other)| {
            other.waits_for_endpoint()
                && other.service == request.service
                && other.base == request.base
        });
        let waiting = waiting.map(|(id, other)| self.waiting(*id, other));
        let mut line = waiting.collect::<Vec<_>>();
        line.sort_unstable_by_key(|waiting| waiting.order);
        line
    }

    fn waiting(&self, id: RequestId, request: &Request) -> Waiting {
        Waiting { order: self.line_order(id, request), left_ms: self.left_ms(request) }
    }

    fn line_order(&self, id: RequestId, request: &Request) -> LineOrder {
        let class = self.schedule_key(request).class;
        LineOrder { class, leaves: request.idle_deadline, id }
    }

    /// Returns the milliseconds within which a request must be served, less the time of a tick, after
    /// which it is tried again.
    fn left_ms(&self, request: &Request) -> f64 {
        request.wait_ms(self.now).saturating_sub(MIN_REMAINING_MS) as f64
    }

    /// Returns the place of a request that was admitted: those of its class were considered then, and only
    /// more urgent ones that have come since can make it too late.
    fn kept_place(&self, line: &[Waiting], request: &Request) -> PlaceInLine {
        let class = self.schedule_key(request).class;
        let ahead = line.partition_point(|place| place.order.class < class);
        PlaceInLine { ahead, admitted: line.len(), spare_behind: f64::INFINITY }
    }

    /// Returns what it means for a line if `request` takes this position in it, where it may be already.
    fn place_in(
        &self,
        line: &[Waiting],
        queue: &QueueState,
        request: &Request,
        position: usize,
    ) -> PlaceInLine {
        let class = self.schedule_key(request).class;
        let work_ms = work_ms(request, queue);
        let spare_ms =
            |index: usize, place: &Waiting| place.left_ms - work_ms - queue.wait_ms(index);
        let behind = line.iter().enumerate().skip(position);
        let behind = behind.take_while(|(_, place)| place.order.class == class);
        // One that is too late without it loses nothing.
        let behind = behind.filter(|(index, place)| spare_ms(*index, place) >= 0.0);
        let spares = behind.map(|(index, place)| spare_ms(index + 1, place));
        // The other entries' queues are assumed to be as long as the own one: they may be longer by one.
        PlaceInLine {
            ahead: if position > 0 { position + 1 } else { 0 },
            admitted: line.partition_point(|place| place.order.class <= class),
            spare_behind: spares.fold(f64::INFINITY, f64::min),
        }
    }

    /// Returns the state of the queue for the endpoints that hold what a request needs; `None` if there is
    /// no such endpoint.
    pub(super) fn queue_state(&self, request: &Request) -> Option<QueueState> {
        let entries = self.entries();
        let states = self.holders(request).map(|endpoint| {
            let WaitEstimate { wait_ms, work_ms } = self.wait_estimate(endpoint);
            let rate = f64::from(endpoint.member.slots) / work_ms.max(1.0);
            QueueState { first_ms: wait_ms, rate, work_ms, entries }
        });
        let state = states.reduce(|a, b| QueueState {
            first_ms: a.first_ms.min(b.first_ms),
            rate: a.rate + b.rate,
            work_ms: a.work_ms.min(b.work_ms),
            entries,
        })?;
        let floor_ms = self.shared_wait_ms(request, state.work_ms);
        Some(QueueState { first_ms: state.first_ms.max(floor_ms), ..state })
    }

    /// Returns what decides on the admission of a request at this place in its line.
    fn candidate(&self, request: &Request, queue: &QueueState, place: &PlaceInLine) -> Candidate {
        let candidate = Candidate {
            ahead: place.ahead,
            admitted: place.admitted,
            spare_behind: place.spare_behind,
            left_ms: self.left_ms(request),
            must_end: request.must_end(),
            room: false,
            outranks: false,
            placed: request.placed,
        };
        // Only a request that would be refused looks for one to displace.
        let refused = matches!(admit(queue, &candidate), Admission::Refuse(_));
        let outranks = refused && !request.placed && self.least_urgent_below(request).is_some();
        Candidate { outranks, ..candidate }
    }

    /// Returns what is known of the wait of a request that is refused as the endpoints are full.
    pub(super) fn forecast(&self, request: &Request) -> Option<Forecast> {
        if !self.by_wait(&request.service) {
            return None;
        }
        let queue = self.queue_state(request)?;
        let place = self.place_in(&self.line(request), &queue, request, 0);
        let wait_ms = queue.wait_ms(place.admitted) as u64;
        Some(Forecast { wait_ms, left_ms: request.wait_ms(self.now) })
    }

    /// Returns the milliseconds after which the queue ahead of a request that was refused has drained.
    ///
    /// Those that were refused with it come back over as long a time again, at most a latency objective:
    /// all at once they would find the endpoints full.
    pub(super) fn drained_ms(&self, request: &Request, forecast: &Forecast) -> u64 {
        let spread_ms = forecast.wait_ms.min(request.target_ms);
        let spread_ms = hash_bytes(request.caller_id.as_bytes()) % (spread_ms + 1);
        // An endpoint that turned it away has a longer queue than is known here.
        let known_ms = if request.dispatches > 0 { request.target_ms / 2 } else { 0 };
        forecast.wait_ms.max(known_ms).max(self.backoff_retry_ms(request)) + spread_ms
    }
}

/// Returns the milliseconds of a caller's time that an endpoint needs after a request has begun.
fn work_ms(request: &Request, queue: &QueueState) -> f64 {
    if request.must_end() { queue.work_ms } else { 0.0 }
}
