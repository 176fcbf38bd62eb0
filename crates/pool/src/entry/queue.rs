//! Requests that wait for a slot: their order, and which of them are refused.

use std::collections::BTreeMap;

use citronrill_base::{Millis, ModelKey, Set, hash_bytes};

use super::{
    ASSUMED_ENTRIES, Choice, MIN_ENTRIES, MIN_REMAINING_MS, PoolEntry, Priority, Reason, Request,
    RequestId, ResponseEnd, Stage, choose::PLAIN_FULL,
};
use crate::{
    admission::{Admission, Candidate, QueueState, admit, has_room},
    endpoint::Endpoint,
    expected_wait::WaitEstimate,
};

/// Milliseconds in which every slot of an endpoint becomes free once. A stream runs for about that
/// long, a plain call for less.
const SLOT_TURNOVER_MS: f64 = 500.0;
/// Maximum time that a request waits for a slot, in latency objectives. A request that has waited
/// longer, although its queue was estimated to be shorter, is refused with a retry time.
const QUEUE_TARGETS: u64 = 4;
/// Lower bound, in milliseconds, on the maximum wait given by [`QUEUE_TARGETS`].
const QUEUE_MIN_MS: u64 = 500;

/// Requests that a plain endpoint runs and queues, in slots: it turns others away. Its queue holds four times its
/// slots.
const PLAIN_ROOM: f64 = 5.0;

/// An entry's part of the room at a plain service's endpoints.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// Its requests there.
    own: u32,
    /// The slots of all endpoints.
    slots: u32,
    /// So many requests are dispatched although the endpoints were last seen full.
    least: u32,
    /// No more requests are dispatched of those that have waited.
    most: u32,
    /// No more requests are dispatched at all: the endpoints turn away what goes beyond their queues.
    room: u32,
}

/// Place of a request in the order of the waiting requests, the first in the order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduleKey {
    class: RequestClass,
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
struct RequestClass {
    priority: Priority,
    over_share: bool,
}

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
    fn must_end(&self) -> bool {
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
    fn is_unstarted(&self) -> bool {
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

    /// Keeps a request waiting that can be served in the time that its caller has left.
    fn admit_or_refuse(&mut self, id: RequestId) {
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
    fn queue_state(&self, request: &Request) -> Option<QueueState> {
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

    /// Returns the least expected wait at the endpoints of a plain service while this entry's share of their
    /// room is in use: the other entries then use theirs as well, whatever load was last seen.
    fn shared_wait_ms(&self, request: &Request, work_ms: f64) -> f64 {
        if request.required.is_some() {
            return 0.0;
        }
        let Shares { own, slots, most, .. } = self.room_shares(request, PLAIN_FULL);
        let rounds = f64::from(most * self.entries()) / f64::from(slots.max(1));
        if own >= most { (rounds - 1.0).max(0.0) * work_ms } else { 0.0 }
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

    /// Returns whether an endpoint has room for a request, by its expected wait: the response comes in time,
    /// and no more than `full` times its slots run and wait there.
    ///
    /// Requests over their organisation's share take free slots only. The room behind the slots is left to
    /// the others.
    pub(super) fn has_room(&self, endpoint: &Endpoint, request: &Request, full: f64) -> bool {
        let WaitEstimate { wait_ms, work_ms } = self.wait_estimate(endpoint);
        let needed_ms = if request.must_end() { work_ms } else { 0.0 };
        if wait_ms + needed_ms > request.wait_ms(self.now) as f64 {
            return false;
        }
        if self.over_share(request) {
            return has_room(wait_ms, work_ms, 0.0);
        }
        let room = has_room(wait_ms, work_ms, full - 1.0);
        if request.required.is_some() {
            return room;
        }
        let Shares { own, least, most, room: own_room, .. } = self.room_shares(request, full);
        let limit = if request.awaits_slot { most } else { own_room };
        own < least || room && own < limit
    }

    /// Returns what this entry may have at the endpoints of a plain service while requests wait for room.
    ///
    /// No side reports the load of a plain endpoint. Entries that wait for room have an old view of it, and all
    /// together they dispatched more than the endpoints' queues hold; those without a request there
    /// learned of no room. Each therefore keeps to its share of the room, whatever load it last saw.
    fn room_shares(&self, request: &Request, full: f64) -> Shares {
        let holders = self.holders(request);
        let (own, slots) = holders.fold((0, 0), |(own, slots), endpoint| {
            (own + endpoint.own_requests, slots + endpoint.member.slots)
        });
        let share = |full: f64| f64::from(slots) * full / f64::from(self.entries());
        let most = (share(full).ceil() as u32).max(1);
        let room = share(PLAIN_ROOM);
        let (least, room) = (most.min(room as u32), (room.ceil() as u32).max(1));
        Shares { own, slots, least, most, room }
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

    /// Returns the endpoints that hold what a request needs and want requests.
    fn holders<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Endpoint> {
        self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests()
                && !endpoint.backs_off(self.now)
                && endpoint.member.service == request.service
                && request.base.is_none_or(|base| endpoint.inventory.models.contains(&base))
        })
    }
}

/// Returns the milliseconds of a caller's time that an endpoint needs after a request has begun.
fn work_ms(request: &Request, queue: &QueueState) -> f64 {
    if request.must_end() { queue.work_ms } else { 0.0 }
}
