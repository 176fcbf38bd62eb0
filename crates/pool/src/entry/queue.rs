//! Requests that wait for a slot: their order, and how long they wait.

use citronrill_base::{Millis, ModelKey, Set};

use super::{
    ASSUMED_ENTRIES, Choice, MIN_ENTRIES, PoolEntry, Priority, Reason, Request, RequestId,
    ResponseEnd, Stage,
};

/// Milliseconds in which every slot of an endpoint becomes free once. A stream runs for about that
/// long, a plain call for less.
pub(super) const SLOT_TURNOVER_MS: f64 = 500.0;
/// Maximum time that a request waits for a slot, in latency objectives. A request that has waited
/// longer, although its queue was estimated to be shorter, is refused with a retry time.
const QUEUE_TARGETS: u64 = 4;
/// Lower bound, in milliseconds, on the maximum wait given by [`QUEUE_TARGETS`].
const QUEUE_MIN_MS: u64 = 500;

/// Place of a request in the order of the waiting requests, the first in the order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduleKey {
    pub(super) class: RequestClass,
    turn: Turn,
    /// When it is due; the same for all where requests are not scheduled by expected wait.
    due: Millis,
}

/// When a request is served among those of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// It would be too late after the others.
    Pressing,
    /// It can still meet its latency objective.
    OnTime,
    /// It has missed its latency objective.
    Late,
}

/// What makes a request more urgent than another one, whatever time they have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestClass {
    priority: Priority,
    over_share: bool,
}

impl Request {
    /// Returns whether the latency objective has already passed.
    pub(super) fn is_late(&self, now: Millis) -> bool {
        now.since(self.arrived) >= self.target_ms
    }

    /// Returns the maximum milliseconds from its arrival for which it waits for a slot where requests are
    /// not scheduled by expected wait.
    pub(super) fn max_queue_ms(&self) -> u64 {
        (QUEUE_TARGETS * self.target_ms).max(QUEUE_MIN_MS)
    }

    /// Returns whether the response must have ended when the caller's time is over. A stream must only
    /// have begun: [`Request::wait_ms`] leaves the time for its first event.
    pub(super) fn must_end(&self) -> bool {
        self.required.is_none()
    }

    /// Returns whether the request waits for an endpoint and for nothing else.
    pub(super) fn waits_for_endpoint(&self) -> bool {
        self.stage == Stage::Waiting
            && self.trial.is_none()
            && !self.awaits_credit()
            && !self.awaits_origin()
    }

    /// Returns whether the request waits and has not run.
    pub(super) fn is_unstarted(&self) -> bool {
        self.waits_for_endpoint() && self.runs == 0 && !self.head_sent
    }
}

impl PoolEntry {
    /// Returns the scheduling key among requests with the same requirements: by priority, then
    /// those first that can still meet their latency objective.
    ///
    /// Scheduled by expected wait, requests within their organisation's share precede those over it, and
    /// those with the least time to spare are first. A request that has missed its objective goes after the
    /// others only until it would be too late otherwise, so that a patient caller is not passed over until it
    /// leaves.
    pub(super) fn schedule_key(&self, request: &Request) -> ScheduleKey {
        let (priority, late) = (request.priority, request.is_late(self.now));
        let turn = if late { Turn::Late } else { Turn::OnTime };
        if !self.by_wait(&request.service) {
            let class = RequestClass { priority, over_share: false };
            return ScheduleKey { class, turn, due: Millis(0) };
        }
        let class = RequestClass { priority, over_share: self.over_share(request) };
        if request.pressing {
            return ScheduleKey { class, turn: Turn::Pressing, due: request.idle_deadline };
        }
        let objective = request.arrived + request.target_ms;
        let due = if late { request.idle_deadline } else { objective };
        ScheduleKey { class, turn, due }
    }

    /// Returns whether the request has waited for a slot for the maximum time.
    pub(super) fn waited_too_long(&self, request: &Request) -> bool {
        let waited_ms = self.now.since(request.arrived);
        !self.by_wait(&request.service) && waited_ms > request.max_queue_ms()
    }

    /// Returns how many milliseconds more a request waits for an endpoint to take it.
    pub(super) fn patience_ms(&self, request: &Request) -> u64 {
        let wait_ms = request.wait_ms(self.now);
        if self.by_wait(&request.service) {
            return wait_ms;
        }
        let left = request.max_queue_ms().saturating_sub(self.now.since(request.arrived));
        left.min(wait_ms)
    }

    /// Records whether a request waits for a slot.
    pub(super) fn set_awaits_slot(&mut self, id: RequestId, choice: &Choice) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_slot = matches!(choice, Choice::Full);
        }
    }

    pub(super) fn mark_queued(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.mark_queued();
        }
    }

    /// Keeps a request waiting for a slot, unless it cannot get one in time.
    ///
    /// During a burst beyond the endpoints' capacity, this bounds the queue to what can be served
    /// before the last request's deadline. Later requests are refused at once.
    pub(super) fn queue_or_refuse(&mut self, id: RequestId) {
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.count_miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if self.by_wait(&request.service) {
            self.admit_or_refuse(id);
            return;
        }
        let ahead = self.requests_ahead(id, request);
        let slots = self.holders(request).map(|endpoint| endpoint.member.slots).sum::<u32>();
        let entries = self.entries();
        let rounds = (ahead + 1) as f64 * f64::from(entries) / f64::from(slots.max(1));
        let wait_ms = request.wait_ms(self.now) as f64;
        let too_long = self.waited_too_long(request);
        if rounds * SLOT_TURNOVER_MS > wait_ms - SLOT_TURNOVER_MS || too_long {
            self.refuse(id, Reason::Full);
        }
    }

    /// Returns how many requests before `id` wait for the same endpoints as `request` and go first.
    pub(super) fn requests_ahead(&self, id: RequestId, request: &Request) -> usize {
        let schedule_key = self.schedule_key(request);
        let same = |other: &&Request| {
            other.stage == Stage::Waiting
                && other.service == request.service
                && other.base == request.base
                && self.schedule_key(other) <= schedule_key
        };
        self.requests.range(..id).map(|(_, other)| other).filter(same).count()
    }

    /// Dispatches the waiting requests that go before an arrived one, as far as there is room, so that it
    /// does not take a slot that has become free since the last tick.
    pub(super) fn schedule_before(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !self.by_wait(&request.service) {
            return;
        }
        let (service, base) = (request.service.clone(), request.base);
        let place = Some((self.schedule_key(request), id));
        if self.schedule_line(&service, base, place) {
            // There is no room for the arrived one either.
            if let Some(request) = self.requests.get_mut(&id) {
                request.awaits_slot = true;
            }
        }
    }

    /// Dispatches waiting requests in the place of one that has ended.
    pub(super) fn schedule_after(&mut self, id: RequestId, end: ResponseEnd) {
        let ended = self.requests.get(&id).filter(|request| self.by_wait(&request.service));
        let line = ended.map(|request| (request.service.clone(), request.base));
        self.response_ended(id, end);
        if let Some((service, base)) = line {
            self.schedule_line(&service, base, None);
        }
    }

    /// Dispatches the requests that wait for the same endpoints and go before a place, until there is no room.
    /// Returns whether one of them still waits for a slot.
    fn schedule_line(
        &mut self,
        service: &str,
        base: Option<ModelKey>,
        before: Option<(ScheduleKey, RequestId)>,
    ) -> bool {
        while let Some(first) = self.first_waiting(service, base, before) {
            self.schedule(first);
            let first = self.requests.get(&first);
            if let Some(first) = first.filter(|request| request.stage == Stage::Waiting) {
                return first.awaits_slot;
            }
        }
        false
    }

    fn first_waiting(
        &self,
        service: &str,
        base: Option<ModelKey>,
        before: Option<(ScheduleKey, RequestId)>,
    ) -> Option<RequestId> {
        let waiting = self.requests.iter().filter(|(_, request)| {
            request.waits_for_endpoint()
                && request.awaits_slot
                && request.service == service
                && request.base == base
        });
        let places = waiting.map(|(id, request)| (self.schedule_key(request), *id));
        let places = places.filter(|place| before.is_none_or(|before| *place < before));
        places.min().map(|(_, first)| first)
    }

    /// Returns the number of entries that the sides report.
    pub(super) fn entries(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| endpoint.side.as_ref());
        let entries = sides.map(|side| side.entry_count).max().filter(|entries| *entries > 0);
        entries.map_or(ASSUMED_ENTRIES, |entries| entries.max(MIN_ENTRIES))
    }

    /// Tries to dispatch the waiting requests, the most urgent first.
    ///
    /// If a model is requested more often than its replicas can serve, dispatch in order of arrival
    /// makes every request wait for longer than the objective, and none is answered in time. Late
    /// requests therefore get only the capacity that the others leave.
    ///
    /// Once a request cannot be dispatched, later ones with the same requirements are skipped: the
    /// queue may hold hundreds, and an entry has a fifth of a core. One over its organisation's share
    /// waits for a free slot and so holds back only others over theirs.
    pub(super) fn schedule_waiting(&mut self) {
        let waiting = self.requests.iter().filter(|(_, request)| request.stage == Stage::Waiting);
        let mut order =
            waiting.map(|(id, request)| (self.schedule_key(request), *id)).collect::<Vec<_>>();
        order.sort_unstable();
        let mut blocked = Set::default();
        for (key, id) in order {
            let Some(request) = self.requests.get(&id) else { continue };
            let requirement = (request.service.clone(), request.required, request.bound_software());
            if blocked.contains(&(requirement.clone(), false))
                || key.class.over_share && blocked.contains(&(requirement.clone(), true))
            {
                continue;
            }
            self.schedule(id);
            if self.requests.get(&id).is_some_and(Request::waits_for_endpoint) {
                blocked.insert((requirement, key.class.over_share));
            }
        }
    }

    /// Refuses requests that have waited too long for a slot, while requests that are not late
    /// occupy the slots.
    pub(super) fn refuse_long_waits(&mut self) {
        let too_long = self.requests.iter().filter(|(_, request)| {
            request.stage == Stage::Waiting && request.runs == 0 && self.waited_too_long(request)
        });
        let full = |request: &Request| {
            matches!(self.choose(request), Choice::Full | Choice::Throttle | Choice::Limited)
        };
        let full = too_long.filter(|(_, request)| full(request));
        for id in full.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.refuse(id, Reason::Full);
        }
    }
}
