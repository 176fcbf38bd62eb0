//! What time brings: requests that are over, endpoints that are silent, and what waits.

use citronrill_base::Set;

use super::{Choice, EntryEffect, LAST_CALL_MS, PoolEntry, Reason, Request, RequestId, Stage};

/// Latency objectives without a first byte after which a request is moved: at two, what another
/// endpoint answers in its usual time still comes within three.
const SILENT_TARGETS: u64 = 2;
/// Milliseconds below which a silence is no sign of anything.
const SILENT_MIN_MS: u64 = 400;

impl PoolEntry {
    /// Ends what has run out of time, and has requests leave endpoints that are silent.
    pub(super) fn look(&mut self) {
        self.excuse_pause();
        self.ticked = self.now;
        self.end_overdue();
        self.end_impatient();
        self.end_stopped();
        self.note_stalls();
        self.watch();
        self.leave_silent();
        self.move_silent();
    }

    /// Does the same, and looks again at what waits and at what endpoints hold.
    pub(super) fn tick(&mut self) {
        self.look();
        self.end_overlong();
        self.expire_wants();
        let listed = self.pool.settle_starts(&mut self.names, self.now);
        self.note_listed(listed);
        self.retry_waiting();
        self.spread();
        self.fetch_missed();
        self.restock();
    }

    fn end_overdue(&mut self) {
        let over = self.requests.iter().filter(|(_, request)| self.now >= request.ends);
        let over = over.map(|(id, request)| (*id, request.stage, request.runs));
        for (id, stage, runs) in over.collect::<Vec<_>>() {
            match stage {
                Stage::Waiting if runs == 0 => self.refuse(id, Reason::Expired),
                Stage::Waiting | Stage::Sent => self.refuse(id, Reason::TimedOut),
                Stage::Passing => {
                    self.effects.push(EntryEffect::Cut(id));
                    self.finish(id, false);
                }
            }
        }
    }

    /// Refuses what has waited for as long as its caller stays.
    ///
    /// A caller of a stream leaves after some seconds without an event, long before its deadline. Held
    /// until then it gets nothing; told when to come back, it is served once the model is there.
    fn end_impatient(&mut self) {
        let waiting = self.requests.iter().filter(|(_, one)| one.stage == Stage::Waiting);
        let over = waiting.filter(|(_, one)| one.runs == 0 && one.wait_ms(self.now) < LAST_CALL_MS);
        let over = over.map(|(id, one)| (*id, one.late_reason(self.now)));
        for (id, reason) in over.collect::<Vec<_>>() {
            self.refuse(id, reason);
        }
    }

    /// Notes for each endpoint how long its oldest sending has had no answer.
    ///
    /// An endpoint that hangs answers nothing, so no answer tells of it; what waits there does.
    fn note_stalls(&mut self) {
        self.pool.endpoints.values_mut().for_each(|endpoint| endpoint.stall = 0);
        for request in self.requests.values().filter(|one| one.stage == Stage::Sent) {
            let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
            if let Some(endpoint) = endpoint {
                endpoint.stall = endpoint.stall.max(self.now.since(request.sent));
            }
        }
    }

    /// Sends elsewhere what an endpoint has not begun to answer for long.
    ///
    /// The failure it answers: an endpoint hangs, or its instance has lost power, and nothing closes
    /// the connection for seconds. Only what may run again is moved, within the retry budget, and
    /// the first sending is cancelled.
    fn move_silent(&mut self) {
        let silent = self.requests.iter().filter(|(_, one)| {
            let patience = (SILENT_TARGETS * one.target_ms).max(SILENT_MIN_MS);
            one.stage == Stage::Sent
                && one.repeat.may_rerun()
                && one.runs + 1 < one.attempts
                && self.now.since(one.sent) > patience
        });
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.has_room_elsewhere(request) && self.pay(id) {
                self.send_elsewhere(id);
            }
        }
    }

    /// Takes a request back from an endpoint that does not answer it.
    pub(super) fn give_up_on(&mut self, id: RequestId) {
        let now = self.now;
        self.release(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.stage = Stage::Waiting;
        if let Some(at) = request.at.take() {
            if let Some(endpoint) = self.pool.endpoints.get_mut(&at) {
                endpoint.note(true);
                endpoint.note_lag(now.since(request.sent), now);
            }
            request.tried.push(at);
        }
    }

    /// Refuses what has waited for a slot for too long, while those who are not late yet have the slots.
    fn end_overlong(&mut self) {
        let overlong = self.requests.iter().filter(|(_, one)| {
            one.stage == Stage::Waiting && one.runs == 0 && one.overlong(self.now)
        });
        let crowded = |one: &Request| matches!(self.choose(one), Choice::Crowded | Choice::Hold);
        let crowded = overlong.filter(|(_, one)| crowded(one));
        for id in crowded.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.refuse(id, Reason::Full);
        }
    }

    /// In a planned stop, answers what would otherwise be cut off when the process ends.
    ///
    /// The failure it prevents: a request waits for its model at an entry that is being stopped, the
    /// process ends first, and the caller sees a closed connection without knowing whether it ran.
    fn end_stopped(&mut self) {
        let Some(stop) = self.stop else { return };
        let open = self.requests.iter().map(|(id, one)| (*id, one.stage, one.runs));
        for (id, stage, runs) in open.collect::<Vec<_>>() {
            match stage {
                Stage::Waiting if runs == 0 && self.now >= stop.wait => {
                    self.refuse(id, Reason::Stopping);
                }
                Stage::Waiting | Stage::Sent if self.now >= stop.end => {
                    self.refuse(id, Reason::TimedOut);
                }
                Stage::Waiting | Stage::Sent | Stage::Passing => {}
            }
        }
    }

    /// Looks again at what waits, the most urgent first.
    ///
    /// Answers a model that is asked for more often than its replicas can serve. In the order of arrival
    /// everybody waits for longer than the objective and nobody is answered in time; so who is late already
    /// has what is left over by those who are not.
    ///
    /// Of those that need the same, the rest is passed over once one found no place: the queue may
    /// hold hundreds, and an entry has a fifth of a core.
    pub(super) fn retry_waiting(&mut self) {
        let waiting = self.requests.iter().filter(|(_, one)| one.stage == Stage::Waiting);
        let mut order = waiting.map(|(id, one)| (one.turn(self.now), *id)).collect::<Vec<_>>();
        order.sort_unstable();
        let mut blocked = Set::default();
        for (_, id) in order {
            let Some(request) = self.requests.get(&id) else { continue };
            let need = (request.service.clone(), request.target);
            if blocked.contains(&need) {
                continue;
            }
            self.dispatch(id);
            let waits = self.requests.get(&id).is_some_and(|one| one.stage == Stage::Waiting);
            if waits {
                blocked.insert(need);
            }
        }
    }
}
