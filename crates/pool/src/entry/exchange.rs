//! A request from its first sending to its end.

use citronrill_base::hash_bytes;
use citronrill_decide::LogEvent;
use citronrill_wire::Usage;

use super::{
    AnswerHead, EntryEffect, FailureKind, PoolEntry, Reason, Refusal, Request, RequestId, Resume,
    Sending, Stage, Verdict, judge,
};

/// Sendings of one request at most, refusals included: a backstop beside the budget.
pub(super) const SEND_LIMIT: u32 = 4;
/// The status that promises that a request has not run and never will.
const NOT_RUN_STATUS: u16 = 503;
/// Milliseconds after which a caller may come back to an entry that waits for a text: one second is what
/// a process takes from its start to its first text, and about what passes between two calls to a store
/// that does not answer.
pub(super) const NO_TEXT_RETRY_MS: u64 = 1_000;
/// Milliseconds after which a caller may come back when its entry is stopping: just enough not to
/// come in one wave.
const STOPPING_RETRY_MS: u64 = 50;
/// Part of the time until a model is there over which its callers are spread when they come back: an
/// endpoint takes a batch at once, and reads the prompts of one in the time that the next one adds.
const RETURN_SPREAD: u64 = 8;

impl PoolEntry {
    /// Sends a request to `instance`; `copy` says that its run goes on there from a copy of its memory.
    pub(super) fn send(&mut self, id: RequestId, instance: &str, copy: bool) {
        let now = self.now;
        let backup = self.requests.get(&id).and_then(|one| self.backup_for(one, instance));
        let backup_at = backup.as_ref().and_then(|backup| self.pool.endpoints.get(backup));
        let backup_at = backup_at.map(|one| one.member.address);
        let (able, fleet_load) = self.alternatives(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(instance) else { return };
        request.backup = backup;
        let resume = Resume { after: request.after, copy };
        endpoint.own += 1;
        endpoint.load += 1;
        endpoint.unreported += 1;
        request.stage = Stage::Sent;
        request.moving = false;
        request.paid = false;
        request.sent = now;
        request.at = Some(instance.to_owned());
        request.sends += 1;
        let sending = Sending {
            number: request.sends,
            address: endpoint.member.address,
            instance: instance.to_owned(),
            remaining_ms: request.ends.since(now),
            urgency: request.urgency(now),
            backup: backup_at,
            resume: (request.begun || copy).then_some(resume),
        };
        let event = LogEvent::new("sent")
            .with("id", &request.caller)
            .with("to", instance)
            .with("model", &request.model)
            .with("adapter", &request.adapter)
            .with("waited_ms", now.since(request.arrived))
            .with("urgency", sending.urgency)
            .with("able", able)
            .with("load", endpoint.load)
            .with("fleet_load", fleet_load)
            .with("backup", request.backup.as_deref().unwrap_or(""))
            .with("copy", copy)
            .with("list", self.pool.version)
            .with("sequence", endpoint.holding.sequence);
        if request.target.is_some() {
            let (model, adapter) = (request.model.clone(), request.adapter.clone());
            let used = Usage { model, adapter, missed: false };
            self.effects.push(EntryEffect::Used(sending.address, used));
        }
        self.effects.push(EntryEffect::Send(id, sending));
        self.log(event);
    }

    /// How many endpoints could run a request, and what runs at all endpoints of its service: a log line
    /// with both tells whether an endpoint has much because it was chosen or because it was the only one.
    fn alternatives(&self, id: RequestId) -> (usize, u32) {
        let Some(request) = self.requests.get(&id) else { return (0, 0) };
        let able = self.pool.endpoints.values().filter(|one| self.able(one, request)).count();
        (able, self.runs_of(&request.service))
    }

    /// Whether an event belongs to the last sending of a request.
    ///
    /// A request that is moved may have an answer of its first endpoint on the way; taken for the
    /// second one's, it would be given as an answer that is no longer held.
    pub(super) fn is_current(&self, id: RequestId, sending: u32) -> bool {
        self.requests.get(&id).is_some_and(|one| one.stage == Stage::Sent && one.sends == sending)
    }

    pub(super) fn answer(&mut self, id: RequestId, head: AnswerHead) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let verdict = judge(head, request.repeat);
        // An endpoint's own failure cannot be given any more where the caller has the head of a success:
        // its body would be taken for the rest of the answer.
        let begun = request.begun;
        let spoils = begun && verdict == Verdict::Pass && !head.success();
        let verdict = if spoils { Verdict::Failed } else { verdict };
        let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
        if let Some(endpoint) = endpoint {
            endpoint.life.hear(now);
            if let Some(load) = head.load {
                endpoint.take_load(load);
            }
            if verdict == Verdict::Pass {
                request.head_ms = now.since(request.sent);
                endpoint.note_lag(request.head_ms, now);
            }
            if verdict != Verdict::NotRun {
                endpoint.note(verdict == Verdict::Failed || head.status >= 500);
            } else if head.status == 421 {
                // The endpoint does not hold what was believed: the belief is dropped until the
                // list or the side says something newer, or requests would go there in a loop.
                let target = request.target;
                endpoint.holding.keys.retain(|key| Some(*key) != target);
            }
        }
        match verdict {
            Verdict::Pass => self.pass(id),
            Verdict::NotRun => {
                let gone = request.at.clone().filter(|_| head.elsewhere);
                self.again(id, false, head.status, false);
                if let Some(instance) = gone {
                    self.log(LogEvent::new("superseded").with("instance", &instance));
                    self.pool.remove(&instance);
                    self.tell_sides();
                }
            }
            Verdict::Failed => {
                let own_failure = head.signed && !head.foreign && head.status >= 500;
                self.again(id, true, head.status, own_failure && !begun);
            }
        }
    }

    pub(super) fn fail(&mut self, id: RequestId, kind: FailureKind) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let at = request.at.clone().unwrap_or_default();
        if let Some(endpoint) = self.pool.endpoints.get_mut(&at) {
            endpoint.note(true);
            if kind == FailureKind::Unreached {
                endpoint.avoid(now);
            }
        }
        self.again(id, kind == FailureKind::Broken, 0, false);
    }

    /// Tries a request again, or ends it; `passable` says that the endpoint's own failure is held
    /// and can be given to the caller.
    fn again(&mut self, id: RequestId, ran: bool, status: u16, passable: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += u32::from(ran);
        let runs = request.runs;
        let exhausted = request.sends >= SEND_LIMIT || runs >= request.attempts;
        let barred = exhausted || runs > 0 && !request.repeat.may_rerun();
        let event = LogEvent::new("failed")
            .with("id", &request.caller)
            .with("from", request.at.as_deref().unwrap_or(""))
            .with("status", status)
            .with("ran", ran)
            .with("sends", request.sends)
            .with("barred", barred);
        self.log(event);
        if ran && status == 0 && self.go_on_from_copy(id) {
            return;
        }
        let retry = !barred && self.pay(id);
        if !retry && passable {
            self.pass(id);
            return;
        }
        self.leave_endpoint(id);
        if retry {
            self.dispatch(id);
        } else {
            self.refuse(id, if runs > 0 { Reason::Broken } else { Reason::Full });
        }
    }

    fn pass(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Passing;
            self.effects.push(EntryEffect::Pass(id));
        }
    }

    pub(super) fn finish(&mut self, id: RequestId, complete: bool) {
        let at = self.requests.get(&id).and_then(|request| request.at.clone());
        if let Some(endpoint) = at.and_then(|at| self.pool.endpoints.get_mut(&at)) {
            endpoint.note(!complete);
        }
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            self.log(
                LogEvent::new("finished")
                    .with("id", &request.caller)
                    .with("from", request.at.as_deref().unwrap_or(""))
                    .with("complete", complete)
                    .with("head_ms", request.head_ms)
                    .with("took_ms", self.now.since(request.arrived)),
            );
        }
    }

    pub(super) fn leave(&mut self, id: RequestId) {
        self.release(id);
        if let Some(request) = self.requests.remove(&id) {
            let at = request.at.as_deref().unwrap_or("");
            let silent = self.pool.endpoints.get(at).is_some_and(|one| one.dark(self.now));
            let event = LogEvent::new("left").with("id", &request.caller).with("from", at);
            let event = event.with("after_ms", self.now.since(request.arrived));
            self.log(event.with("begun", request.stage == Stage::Passing).with("silent", silent));
        }
    }

    /// Takes a request off its endpoint's count.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage == Stage::Waiting {
            return;
        }
        let endpoint = request.at.as_ref().and_then(|at| self.pool.endpoints.get_mut(at));
        if let Some(endpoint) = endpoint {
            endpoint.own = endpoint.own.saturating_sub(1);
            endpoint.load = endpoint.load.saturating_sub(1);
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, reason: Reason) {
        if self.requests.get(&id).is_some_and(|request| request.begun) {
            self.cut(id, reason);
            return;
        }
        self.release(id);
        let Some(request) = self.requests.remove(&id) else { return };
        // A request whose first run broke and that then finds no second endpoint has run: a status
        // that promises otherwise would be a lie, whatever stopped the second.
        let lie = request.runs > 0 && reason.status() == NOT_RUN_STATUS;
        let reason = if lie { Reason::Broken } else { reason };
        let retry_ms = self.retry_after(reason, &request);
        let (holders, copies, coming) = request.base.map_or((0, 0, 0), |base| self.nearness(base));
        self.log(
            LogEvent::new("refused")
                .with("id", &request.caller)
                .with("reason", reason.word())
                .with("status", reason.status())
                .with("model", &request.model)
                .with("holders", holders)
                .with("copies", copies)
                .with("coming", coming)
                .with("after_ms", self.now.since(request.arrived))
                .with("sends", request.sends)
                .with("runs", request.runs)
                .with("text", self.text_version())
                .with("list", self.pool.version),
        );
        self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
    }

    /// When a refused caller may come back.
    ///
    /// The endpoints work off a full queue within about the latency objective, so half of that
    /// finds room again without a wave of callers at one moment; the caller's number spreads it. Where
    /// a model is away, its callers come back when it is there: sent back earlier, they are refused
    /// again, and most come back only once.
    fn retry_after(&self, reason: Reason, request: &Request) -> Option<u64> {
        let soon = request.target_ms / 2;
        let spread = |ms: u64| hash_bytes(request.caller.as_bytes()) % (ms + 1);
        match reason {
            Reason::Full => Some(soon + spread(request.target_ms / 4)),
            Reason::NoEndpoint | Reason::TooFar => {
                let ms = self.ready_ms(request).unwrap_or(0).max(soon);
                Some(ms + spread((request.target_ms / 4).max(ms / RETURN_SPREAD)))
            }
            Reason::NoText | Reason::OldText => Some(NO_TEXT_RETRY_MS),
            // Any other entry takes it at once.
            Reason::Stopping => Some(STOPPING_RETRY_MS),
            Reason::Expired
            | Reason::NoRoute
            | Reason::NoModel
            | Reason::TimedOut
            | Reason::Broken => None,
        }
    }
}
