//! Calls between entries and sides, and what the ledger of runs says of them.

use super::*;

impl World {
    pub(super) fn living_side(&self, address: &str) -> Option<SideIndex> {
        self.sides.iter().position(|it| it.alive && it.profile.address == address)
    }

    pub(super) fn offer(&mut self, to: &str, sending: Sending, offer: Offer) {
        let Some(side) = self.living_side(to) else {
            let event = Event::Unsent(sending.id, sending.call);
            return self.tell_call(sending, event);
        };
        self.sides[side].offers.insert(offer.id, sending);
        let life = self.sides[side].life;
        if self.rng.random_bool(self.faults.twice_part) {
            let again = SideEvent::Offer(offer.clone());
            self.schedule(7, Happening::ToSide(side, life, again));
        }
        self.deliver_side(side, life, SideEvent::Offer(offer));
    }

    /// Tells an entry of a call, if that call is still the one that stands for its request.
    pub(super) fn tell_call(&mut self, sending: Sending, event: Event) {
        let delay = self.hop();
        self.schedule(delay, Happening::ToEntry(sending.entry, sending.life, event));
    }

    pub(super) fn call_id(&self, sending: Sending) -> CallId {
        CallId { session: self.entries[sending.entry].session, number: sending.call }
    }

    pub(super) fn declined(&mut self, side: SideIndex, call: CallId, why: Decline) {
        if let Some(sending) = self.sides[side].offers.remove(&call) {
            let load = self.sides[side].core.running() as u32;
            self.tell_call(
                sending,
                Event::Declined { id: sending.id, call: sending.call, why, load },
            );
        }
    }

    pub(super) fn run_call(&mut self, side: SideIndex, life: u64, call: CallId) {
        let Some(sending) = self.sides[side].offers.get(&call).copied() else {
            return self.schedule(1, Happening::RunEnds { side, life, call });
        };
        let Some(caller) = self.callers.get_mut(&sending.id) else {
            return self.schedule(1, Happening::RunEnds { side, life, call });
        };
        caller.runs += 1;
        let model = caller.model.clone();
        let (now, endpoint) = (self.now, self.sides[side].endpoint);
        self.check_run(sending.id, now);
        self.count_idle();
        self.engines[endpoint].begin_call(&model, call);
        let first = self.rng.random_range(20..80);
        self.tell_call_after(first, sending, Event::Began(sending.id, sending.call));
        let caller = self.callers.get_mut(&sending.id);
        if let Some(caller) = caller.filter(|caller| caller.began.is_none()) {
            caller.began = Some(now + first);
        }
        let time = self.rng.random_range(200..3_000);
        self.schedule(time, Happening::RunEnds { side, life, call });
    }

    pub(super) fn tell_call_after(&mut self, delay: u64, sending: Sending, event: Event) {
        self.schedule(delay, Happening::ToEntry(sending.entry, sending.life, event));
    }

    /// What must hold whenever an engine runs a call.
    pub(super) fn check_run(&mut self, id: RequestId, now: u64) {
        let caller = &self.callers[&id];
        if let Some((at, Ending::Refused(refusal))) = caller.ended
            && refusal.ran == citronrill_decide::Ran::No
        {
            let text = format!("{id:?} ran at {now} after it was refused as not run at {at}");
            self.violations.push(text);
        }
        if caller.runs > 1 && !caller.repeatable {
            self.violations.push(format!("{id:?} may run once and ran {} times", caller.runs));
        }
        if let Some(key) = caller.once.filter(|_| !caller.repeatable) {
            let same = self.callers.values().filter(|it| it.once == Some(key));
            let runs = same.filter(|it| it.model == caller.model).map(|it| it.runs).sum::<u32>();
            if runs > 1 {
                self.violations.push(format!("idempotency key {key} ran {runs} times"));
            }
        }
    }

    pub(super) fn run_ends(&mut self, side: SideIndex, life: u64, call: CallId) {
        self.count_idle();
        let endpoint = self.sides[side].endpoint;
        self.engines[endpoint].end_call(call);
        if !self.side_lives(side, life) {
            return;
        }
        if self.sides[side].paused > self.now {
            let delay = self.sides[side].paused - self.now;
            return self.schedule(delay, Happening::RunEnds { side, life, call });
        }
        self.deliver_side(side, life, SideEvent::Ended(call));
        let Some(sending) = self.sides[side].offers.remove(&call) else { return };
        let load = self.sides[side].core.running() as u32;
        let claimed = self.callers.get(&sending.id).and_then(|caller| caller.once);
        let answer = claimed.map(|_| Answer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(b"answer".to_vec()),
        });
        self.whole(sending);
        self.tell_call(sending, Event::Ended { id: sending.id, call: sending.call, load, answer });
    }

    /// The whole answer is on its way to the caller, if the entry still stands for the request.
    pub(super) fn whole(&mut self, sending: Sending) {
        let lives = self.entry_lives(sending.entry, sending.life);
        let open = self.callers.get(&sending.id).is_some_and(|it| it.ended.is_none());
        if lives && open {
            self.end(sending.id, Ending::Whole);
        }
    }

    pub(super) fn end(&mut self, id: RequestId, ending: Ending) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if let Some((at, first)) = caller.ended {
            if first != Ending::Whole {
                let text = format!("{id:?} ended at {at} with {first:?} and again with {ending:?}");
                self.violations.push(text);
            }
            return;
        }
        caller.ended = Some((now, ending));
        if let Ending::Refused(refusal) = ending
            && refusal.ran == citronrill_decide::Ran::No
            && caller.runs > 0
        {
            let text = format!("{id:?} was refused as not run, but ran: {caller:?}");
            self.violations.push(text);
        }
        if !self.options.keep_calls
            && let Some(caller) = self.callers.remove(&id)
        {
            self.finished.push((id.0, caller));
        }
    }

    /// The connection has been silent: ask on another one what became of the call.
    pub(super) fn silence(&mut self, sending: Sending, to: &str, expires: u64) {
        let call = self.call_id(sending);
        let side = self.living_side(to);
        let paused = side.is_some_and(|side| self.sides[side].paused > self.now);
        match side {
            Some(side) if self.sides[side].offers.contains_key(&call) && !paused => {
                // It runs: its frames go on over the new connection.
            }
            Some(_) if !paused => {
                let forward = false;
                let to = to.to_owned();
                let cancel = Happening::CancelCall { to, sending, expires, forward };
                self.schedule(1, cancel);
            }
            _ => {
                let ended = self.callers.get(&sending.id).is_none_or(|it| it.ended.is_some());
                if !ended && self.current_call(sending) {
                    self.tell_call(sending, Event::Lost(sending.id, sending.call));
                }
            }
        }
    }

    /// Whether the request was not sent again meanwhile; the exchange's thread knows.
    pub(super) fn current_call(&self, sending: Sending) -> bool {
        self.entry_lives(sending.entry, sending.life)
            && self.entries[sending.entry].core.current_call(sending.id) == Some(sending.call)
    }

    pub(super) fn cancel_call(&mut self, to: &str, sending: Sending, expires: u64, forward: bool) {
        if !forward && !self.current_call(sending) {
            return;
        }
        let id = self.call_id(sending);
        let Some(side) = self.living_side(to) else { return };
        let expires = match expires {
            u64::MAX => self.now - self.sides[side].start + 1_000,
            expires => expires,
        };
        let life = self.sides[side].life;
        self.sides[side].offers.entry(id).or_insert(sending);
        let session = sending.session;
        self.deliver_side(side, life, SideEvent::Cancel { id, session, expires });
    }

    pub(super) fn cancel_answer(&mut self, side: SideIndex, call: CallId, answer: CancelAnswer) {
        let Some(sending) = self.sides[side].offers.get(&call).copied() else { return };
        if answer == CancelAnswer::NotRun {
            self.sides[side].offers.remove(&call);
        }
        if !self.current_call(sending) {
            return;
        }
        let cancelling = self.entries[sending.entry].core.is_cancelling(sending.id);
        let event = match answer {
            _ if cancelling => Event::Cancelled(sending.id, sending.call, answer),
            CancelAnswer::NotRun => {
                let (id, call, why) = (sending.id, sending.call, Decline::Cancelled);
                Event::Declined { id, call, why, load: 0 }
            }
            CancelAnswer::Ran | CancelAnswer::Unknown => Event::Lost(sending.id, sending.call),
        };
        self.tell_call(sending, event);
    }
}
