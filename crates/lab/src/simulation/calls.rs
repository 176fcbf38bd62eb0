//! Calls between entries and sides, and the checks of their execution.

use super::*;

impl Simulation {
    pub(super) fn running_side(&self, address: &str) -> Option<SideIndex> {
        self.sides.iter().position(|side| side.alive && side.profile.address == address)
    }

    pub(super) fn offer(&mut self, to: &str, attempt: Attempt, offer: Offer) {
        let Some(side) = self.running_side(to) else {
            let event = Event::NotSent(attempt.id, attempt.call);
            return self.notify_entry(attempt, event);
        };
        self.sides[side].attempts.insert(offer.id, attempt);
        let incarnation = self.sides[side].incarnation;
        if self.rng.random_bool(self.faults.duplicated_messages) {
            let duplicate = SideEvent::Offer(offer.clone());
            self.schedule(7, SimEvent::ToSide(side, incarnation, duplicate));
        }
        self.deliver_side(side, incarnation, SideEvent::Offer(offer));
    }

    /// Sends an event about a call to its entry, after a network delay.
    pub(super) fn notify_entry(&mut self, attempt: Attempt, event: Event) {
        let delay = self.network_delay();
        self.schedule(delay, SimEvent::ToEntry(attempt.entry, attempt.incarnation, event));
    }

    pub(super) fn call_id(&self, attempt: Attempt) -> CallId {
        CallId { session: self.entries[attempt.entry].session, number: attempt.call }
    }

    pub(super) fn declined(&mut self, side: SideIndex, call: CallId, why: Decline) {
        if let Some(attempt) = self.sides[side].attempts.remove(&call) {
            let load = self.sides[side].reducer.running() as u32;
            self.notify_entry(
                attempt,
                Event::Declined { id: attempt.id, call: attempt.call, why, load },
            );
        }
    }

    pub(super) fn run_call(&mut self, side: SideIndex, incarnation: u64, call: CallId) {
        let Some(attempt) = self.sides[side].attempts.get(&call).copied() else {
            return self.schedule(1, SimEvent::CallFinished { side, incarnation, call });
        };
        let Some(request) = self.requests.get_mut(&attempt.id) else {
            return self.schedule(1, SimEvent::CallFinished { side, incarnation, call });
        };
        request.runs += 1;
        let model = request.model.clone();
        let (now, endpoint) = (self.now, self.sides[side].endpoint);
        self.check_execution(attempt.id, now);
        self.accumulate_idle();
        self.engines[endpoint].begin_call(&model, call);
        let ttfb = self.rng.random_range(20..80);
        self.notify_entry_after(ttfb, attempt, Event::ResponseStarted(attempt.id, attempt.call));
        let request = self.requests.get_mut(&attempt.id);
        if let Some(request) = request.filter(|request| request.first_byte_at.is_none()) {
            request.first_byte_at = Some(now + ttfb);
        }
        let time = self.rng.random_range(200..3_000);
        self.schedule(time, SimEvent::CallFinished { side, incarnation, call });
    }

    pub(super) fn notify_entry_after(&mut self, delay: u64, attempt: Attempt, event: Event) {
        self.schedule(delay, SimEvent::ToEntry(attempt.entry, attempt.incarnation, event));
    }

    /// Checks the invariants of a request whenever an engine runs it.
    pub(super) fn check_execution(&mut self, id: RequestId, now: u64) {
        let request = &self.requests[&id];
        if let Some((at, RequestOutcome::Refused(refusal))) = request.ended
            && refusal.ran == citronrill_decide::Ran::No
        {
            let violation = format!("{id:?} ran at {now} after it was refused as not run at {at}");
            self.violations.push(violation);
        }
        if request.runs > 1 && !request.repeatable {
            self.violations
                .push(format!("{id:?} must not be retried but ran {} times", request.runs));
        }
        if let Some(key) = request.idempotency_key.filter(|_| !request.repeatable) {
            let same = self.requests.values().filter(|other| other.idempotency_key == Some(key));
            let runs = same
                .filter(|other| other.model == request.model)
                .map(|other| other.runs)
                .sum::<u32>();
            if runs > 1 {
                self.violations
                    .push(format!("requests with idempotency key {key} ran {runs} times"));
            }
        }
    }

    pub(super) fn finish_call(&mut self, side: SideIndex, incarnation: u64, call: CallId) {
        self.accumulate_idle();
        let endpoint = self.sides[side].endpoint;
        self.engines[endpoint].end_call(call);
        if !self.side_running(side, incarnation) {
            return;
        }
        if self.sides[side].paused_until > self.now {
            let delay = self.sides[side].paused_until - self.now;
            return self.schedule(delay, SimEvent::CallFinished { side, incarnation, call });
        }
        self.deliver_side(side, incarnation, SideEvent::CallEnded(call));
        let Some(attempt) = self.sides[side].attempts.remove(&call) else { return };
        let load = self.sides[side].reducer.running() as u32;
        let claimed = self.requests.get(&attempt.id).and_then(|request| request.idempotency_key);
        let answer = claimed.map(|_| Answer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(b"answer".to_vec()),
        });
        self.complete(attempt);
        self.notify_entry(
            attempt,
            Event::ResponseFinished { id: attempt.id, call: attempt.call, load, answer },
        );
    }

    /// Completes a request if it is still open and its entry is still running.
    pub(super) fn complete(&mut self, attempt: Attempt) {
        let running = self.entry_running(attempt.entry, attempt.incarnation);
        let open = self.requests.get(&attempt.id).is_some_and(|request| request.ended.is_none());
        if running && open {
            self.record_outcome(attempt.id, RequestOutcome::Completed);
        }
    }

    pub(super) fn record_outcome(&mut self, id: RequestId, outcome: RequestOutcome) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((at, first)) = request.ended {
            if first != RequestOutcome::Completed {
                let violation =
                    format!("{id:?} ended at {at} with {first:?} and again with {outcome:?}");
                self.violations.push(violation);
            }
            return;
        }
        request.ended = Some((now, outcome));
        if let RequestOutcome::Refused(refusal) = outcome
            && refusal.ran == citronrill_decide::Ran::No
            && request.runs > 0
        {
            let violation = format!("{id:?} was refused as not run, but ran: {request:?}");
            self.violations.push(violation);
        }
        if !self.options.keep_finished
            && let Some(request) = self.requests.remove(&id)
        {
            self.finished.push((id.0, request));
        }
    }

    /// Handles a connection without a response: queries the state of the call on another connection.
    pub(super) fn response_timeout(&mut self, attempt: Attempt, to: &str, expires: u64) {
        let call = self.call_id(attempt);
        let side = self.running_side(to);
        let paused = side.is_some_and(|side| self.sides[side].paused_until > self.now);
        match side {
            Some(side) if self.sides[side].attempts.contains_key(&call) && !paused => {
                // The call is running; its frames continue on the new connection.
            }
            Some(_) if !paused => {
                let from_reducer = false;
                let to = to.to_owned();
                let cancel = SimEvent::CancelCall { to, attempt, expires, from_reducer };
                self.schedule(1, cancel);
            }
            _ => {
                let ended =
                    self.requests.get(&attempt.id).is_none_or(|request| request.ended.is_some());
                if !ended && self.is_current(attempt) {
                    self.notify_entry(attempt, Event::ConnectionLost(attempt.id, attempt.call));
                }
            }
        }
    }

    /// Returns whether the attempt is still the current one of its request. In production, the thread
    /// that handles the exchange knows this.
    pub(super) fn is_current(&self, attempt: Attempt) -> bool {
        self.entry_running(attempt.entry, attempt.incarnation)
            && self.entries[attempt.entry].reducer.current_call(attempt.id) == Some(attempt.call)
    }

    pub(super) fn cancel_call(
        &mut self,
        to: &str,
        attempt: Attempt,
        expires: u64,
        from_reducer: bool,
    ) {
        if !from_reducer && !self.is_current(attempt) {
            return;
        }
        let id = self.call_id(attempt);
        let Some(side) = self.running_side(to) else { return };
        let expires = match expires {
            u64::MAX => self.now - self.sides[side].started_at + 1_000,
            expires => expires,
        };
        let incarnation = self.sides[side].incarnation;
        self.sides[side].attempts.entry(id).or_insert(attempt);
        let session = attempt.session;
        self.deliver_side(side, incarnation, SideEvent::Cancel { id, session, expires });
    }

    pub(super) fn cancel_answer(&mut self, side: SideIndex, call: CallId, answer: CancelAnswer) {
        let Some(attempt) = self.sides[side].attempts.get(&call).copied() else { return };
        if answer == CancelAnswer::NotRun {
            self.sides[side].attempts.remove(&call);
        }
        if !self.is_current(attempt) {
            return;
        }
        let cancelling = self.entries[attempt.entry].reducer.is_cancelling(attempt.id);
        let event = match answer {
            _ if cancelling => Event::CancelAnswered(attempt.id, attempt.call, answer),
            CancelAnswer::NotRun => {
                let (id, call, why) = (attempt.id, attempt.call, Decline::Cancelled);
                Event::Declined { id, call, why, load: 0 }
            }
            CancelAnswer::Ran | CancelAnswer::Unknown => {
                Event::ConnectionLost(attempt.id, attempt.call)
            }
        };
        self.notify_entry(attempt, event);
    }
}
