//! Endpoints whose instance stands still, and what goes on elsewhere meanwhile.
//!
//! The load pattern that this answers: an instance stands still for seconds under many streams. Nothing there
//! ends before it wakes: whoever was sent there hangs until it leaves, and its run goes on.

use citronrill_decide::LogEvent;

use super::{EntryEffect, PoolEntry, Request, RequestId, SEND_LIMIT, Stage};
use crate::{endpoint::DARK_MS, text::Repeat};

/// Milliseconds between two looks at the clock above which this process itself stood still: what others
/// said meanwhile has not been read yet.
const OWN_PAUSE_MS: u64 = 60;
/// The same without requests, when looks are rarer.
const IDLE_PAUSE_MS: u64 = 260;

impl PoolEntry {
    /// Takes word that answers of these requests have gone on.
    pub(super) fn progress(&mut self, ids: &[RequestId]) {
        for id in ids {
            let Some(request) = self.requests.get_mut(id) else { continue };
            if request.stage != Stage::Passing {
                continue;
            }
            request.moving = true;
            let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
            if let Some(endpoint) = endpoint {
                endpoint.life.hear(self.now);
            }
        }
    }

    /// Leaves out of account what this process has not seen as it stood still itself.
    pub(super) fn excuse_pause(&mut self) {
        let paused = self.now.since(self.ticked);
        let usual = if self.requests.is_empty() { IDLE_PAUSE_MS } else { OWN_PAUSE_MS };
        if paused > usual {
            self.pool.endpoints.values_mut().for_each(|one| one.life.excuse(paused));
        }
    }

    /// Probes the sides of endpoints that have requests and give no sign of life.
    pub(super) fn watch(&mut self) {
        let now = self.now;
        let mut events = Vec::new();
        for (instance, endpoint) in &mut self.pool.endpoints {
            if endpoint.life.take_probe(endpoint.own > 0, now) {
                self.effects.push(EntryEffect::Probe(endpoint.member.address));
            }
            if let Some(silent) = endpoint.life.take_change(now) {
                let event = if silent {
                    LogEvent::new("stands_still")
                } else {
                    LogEvent::new("moves_again")
                };
                let event = event.with("instance", instance);
                let event = event.with("quiet_ms", endpoint.life.quiet_ms(now));
                events.push(event.with("own", endpoint.own));
            }
        }
        events.into_iter().for_each(|event| self.log(event));
    }

    /// Has what may go on elsewhere leave endpoints that stand still.
    ///
    /// A stream that may be resumed goes on after its last event, and what has no answer yet and may run again
    /// is sent again. Anything else stays: the endpoint goes on with it when it wakes, and two would be at
    /// work on one run, also where a copy of its memory is elsewhere.
    pub(super) fn leave_silent(&mut self) {
        let stuck = self.requests.iter().filter(|(_, one)| self.is_stuck(one));
        for id in stuck.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            let passing = request.stage == Stage::Passing;
            if !self.may_run_anew(request) || !self.pay(id) {
                continue;
            }
            if passing {
                self.log_moved(id, true);
                self.effects.push(EntryEffect::Abandon(id));
            } else {
                self.send_elsewhere(id);
            }
        }
    }

    /// Sends a request elsewhere that its endpoint has not begun to answer.
    pub(super) fn send_elsewhere(&mut self, id: RequestId) {
        self.log_moved(id, false);
        self.give_up_on(id);
        self.dispatch(id);
    }

    fn log_moved(&mut self, id: RequestId, begun: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let event = LogEvent::new("moved").with("id", &request.caller);
        let event = event.with("from", request.at.as_deref().unwrap_or(""));
        self.log(event.with("begun", begun));
    }

    /// Whether a request was sent to an endpoint that stands still, and nothing is done about it yet.
    fn is_stuck(&self, request: &Request) -> bool {
        let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get(at));
        let silent = endpoint.is_some_and(|one| one.life.silent(self.now));
        silent && request.stage != Stage::Waiting && !request.paid && request.sends < SEND_LIMIT
    }

    /// Whether a request may begin anew, and an endpoint with room could run it.
    fn may_run_anew(&self, request: &Request) -> bool {
        let allowed = match request.stage {
            Stage::Passing => request.repeat == Repeat::ResumableStream && request.moving,
            Stage::Sent => request.repeat.may_rerun(),
            Stage::Waiting => false,
        };
        allowed && request.runs + 1 < request.attempts && self.has_room_elsewhere(request)
    }

    /// Whether another endpoint that holds what a request needs has a free slot.
    pub(super) fn has_room_elsewhere(&self, request: &Request) -> bool {
        self.pool.endpoints.values().any(|endpoint| {
            Some(&endpoint.member.instance) != request.at.as_ref()
                && self.able(endpoint, request)
                && endpoint.fill() < 1.0
        })
    }

    /// Whether the callers of a model wait for a holder that may only pause.
    ///
    /// An instance that stands still for less than a second serves them sooner than the weight store, or than
    /// their own return after a refusal.
    pub(super) fn holder_pauses(&self, request: &Request) -> bool {
        let Some(base) = request.base else { return false };
        let mut endpoints = self.pool.endpoints.values().filter(|one| {
            one.open()
                && one.member.service == request.service
                && one.holding.models.contains(&base)
        });
        endpoints.any(|one| one.life.silent(self.now) && one.life.quiet_ms(self.now) < DARK_MS)
    }
}
