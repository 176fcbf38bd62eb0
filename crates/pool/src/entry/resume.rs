//! Streams that go on at another endpoint when theirs breaks off.
//!
//! The load pattern that this answers: endpoints crash, or are reclaimed, with long streams open. The
//! caller of such a stream has half an answer, and most streams may not run again. An endpoint can copy
//! the memory of a run to another while it runs; there the run goes on from the copy, and the caller sees
//! a pause.

use std::net::SocketAddr;

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;

use super::{
    EntryEffect, FIRST_EVENT_MS, PoolEntry, Reason, Request, RequestId, SEND_LIMIT, Stage,
    TokenCount,
};
use crate::{
    endpoint::Endpoint,
    tally::Tally,
    text::{EngineSpec, Repeat},
};

/// Milliseconds after which a lost endpoint counts 1/e: endpoints crash in series, as what made one crash
/// goes on for a minute or more.
const LOSS_MEMORY_MS: f64 = 60_000.0;
/// Milliseconds within which losses at one address are one: all streams there break at once, and the next
/// start is heard of soon after.
const ONE_LOSS_MS: u64 = 3_000;
/// Milliseconds that an engine takes for one token of an answer, with a batch half full.
const TOKEN_MS: f64 = 10.0;
/// Bytes whose copying is worth one stream that is not lost. A copy costs bandwidth, and memory at the
/// other endpoint that its own runs then lack: with every stream copied, prompts of 9,000 tokens at 128 KiB each
/// filled the engines, and callers that were late or left outweighed those that were saved. With this
/// figure 3.0 instead of 3.3 in 100 requests went unserved on days with three crashes among nine endpoints
/// (14 days, paired), and 4.7 instead of 5.0 on standard days of 42 endpoints (10 days, paired).
const SAVED_BYTES: f64 = 40e9;

/// Endpoints whose runs were lost, as far as this entry has seen.
#[derive(Debug, Default)]
pub(super) struct Losses {
    by_service: Map<String, Tally>,
    /// When the endpoint at an address was counted last.
    last: Map<SocketAddr, Millis>,
}

impl PoolEntry {
    /// Counts the loss of what ran at `instance`: a stream broke off there, or it has started again.
    pub(super) fn note_loss(&mut self, instance: &str) {
        let now = self.now;
        let Some(endpoint) = self.pool.endpoints.get(instance) else { return };
        self.losses.last.retain(|_, at| now.since(*at) < ONE_LOSS_MS);
        if self.losses.last.insert(endpoint.member.address, now).is_none() {
            let tally = self.losses.by_service.entry(endpoint.member.service.clone()).or_default();
            tally.add(LOSS_MEMORY_MS, now);
        }
    }

    /// Share of a service's endpoints that is lost in a second.
    fn loss_rate(&self, service: &str) -> f64 {
        let tally = self.losses.by_service.get(service);
        let lost = tally.map_or(0.0, |tally| tally.decayed(LOSS_MEMORY_MS, self.now));
        let known = self.pool.endpoints.values().filter(|one| one.member.service == service);
        lost * 1_000.0 / LOSS_MEMORY_MS / known.count().max(1) as f64
    }

    /// Whether a copy of a run's memory is worth what it costs: the chance that the run is cut, which
    /// grows with its length, against the bytes that are copied.
    fn worth_copying(&self, service: &str, engine: &EngineSpec, tokens: TokenCount) -> bool {
        let runs_s = (FIRST_EVENT_MS as f64 + f64::from(tokens.answer) * TOKEN_MS) / 1_000.0;
        let chance = self.loss_rate(service) * runs_s;
        let copied =
            (f64::from(tokens.prompt) + f64::from(tokens.answer)) * engine.token_bytes as f64;
        chance * SAVED_BYTES > copied
    }

    /// The instance to which the memory of a run at `at` is to be copied.
    pub(super) fn backup_for(&self, request: &Request, at: &str) -> Option<String> {
        if !request.repeat.is_stream() {
            return None;
        }
        let engine = self.text.as_ref()?.service(&request.service)?.engine.as_ref()?;
        if !engine.backups || !self.worth_copying(&request.service, engine, request.tokens) {
            return None;
        }
        let able = self.pool.endpoints.values().filter(|one| {
            one.member.instance != at
                && self.able(one, request)
                && !one.dark(self.now)
                && !one.life.suspect(self.now)
                && !one.avoided(self.now)
        });
        let runs = self.runs_of(&request.service);
        let costs = able.map(|one| (self.cost(one, request, runs), one));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, one)| one.member.instance.clone())
    }

    /// Takes the word that an answer broke off after this event.
    pub(super) fn broke(&mut self, id: RequestId, after: Option<u64>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Passing {
            return;
        }
        let at = request.at.clone().unwrap_or_default();
        self.note_loss(&at);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.begun = true;
        request.runs += 1;
        request.after = after.or(request.after);
        // The caller has just had an event, or the head at least.
        request.patient = request.ends.min(now + request.patience);
        if let Some(endpoint) = self.pool.endpoints.get_mut(&at) {
            endpoint.note(true);
        }
        if !self.go_on_from_copy(id) && !self.go_on_anew(id) {
            self.cut(id, Reason::Broken);
        }
    }

    /// Sends a request whose run broke off to the endpoint that has a copy of it; whether there is one.
    ///
    /// That counts as the same run, so it is right for streams that may run once: an endpoint without the
    /// copy says so and runs nothing. Only what has given an event goes on: before that, nothing tells the
    /// copy of a run that has just begun from that of one whose answer was made and lost, and two of a
    /// thousand requests ran twice. Nor does it go on while its last endpoint stands still, which goes on with
    /// the run when it wakes.
    pub(super) fn go_on_from_copy(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let due = request.after.is_some() && request.sends < SEND_LIMIT;
        let Some(backup) = request.backup.clone().filter(|_| due) else { return false };
        let last = request.at.as_ref().and_then(|at| self.pool.endpoints.get(at));
        let stands_still = last.is_some_and(|one| one.life.silent(self.now));
        if stands_still || !self.has_live_copy(request) || !self.pay(id) {
            return false;
        }
        self.leave_endpoint(id);
        self.send(id, &backup, true);
        true
    }

    /// Whether the memory of a run was copied to an endpoint that can go on with it.
    pub(super) fn has_live_copy(&self, request: &Request) -> bool {
        let backup = request.backup.as_ref().and_then(|backup| self.pool.endpoints.get(backup));
        let live = |one: &Endpoint| {
            one.member.service == request.service && one.open() && one.moves(self.now)
        };
        backup.is_some_and(live)
    }

    /// Takes a second sending out of the retry budget, unless that was done for it already.
    pub(super) fn pay(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return false };
        let (paid, service) = (request.paid, request.service.clone());
        let paid = paid || self.budget(&service).take(now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.paid = paid;
        }
        paid
    }

    /// Has a stream that may be resumed go on wherever its model is held; whether it may.
    fn go_on_anew(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let allowed = request.repeat == Repeat::ResumableStream
            && request.runs < request.attempts
            && request.sends < SEND_LIMIT;
        if !allowed || !self.pay(id) {
            return false;
        }
        self.leave_endpoint(id);
        self.dispatch(id);
        true
    }

    /// Takes a request back from its endpoint, which is not tried again.
    pub(super) fn leave_endpoint(&mut self, id: RequestId) {
        self.release(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.extend(request.at.take());
        request.stage = Stage::Waiting;
    }

    /// Ends an answer that has begun and cannot go on: the caller sees that it is not whole.
    pub(super) fn cut(&mut self, id: RequestId, reason: Reason) {
        if let Some(request) = self.requests.get(&id) {
            let event = LogEvent::new("cut").with("id", &request.caller);
            let event = event.with("reason", reason.word()).with("runs", request.runs);
            self.log(event.with("tokens", request.tokens.prompt));
        }
        self.effects.push(EntryEffect::Cut(id));
        self.finish(id, false);
    }
}
