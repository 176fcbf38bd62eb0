//! A request that arrives: what the text says of it, or why it is refused at once.

use citronrill_decide::LogEvent;

use super::{
    Arrival, EntryEffect, PoolEntry, Reason, Refusal, Request, Stage,
    exchange::NO_TEXT_RETRY_MS,
    rules::{patience_ms, share},
};

impl PoolEntry {
    /// Takes a request that was read.
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let id = arrival.id;
        match self.admit(&arrival) {
            Ok(request) => {
                let (now, service) = (self.now, request.service.clone());
                self.budget(&service).first(now);
                self.requests.insert(id, request);
                self.dispatch(id);
            }
            Err(reason) => {
                let reason = self.doubted(reason);
                self.log(
                    LogEvent::new("refused")
                        .with("id", arrival.caller)
                        .with("reason", reason.word())
                        .with("text", self.text_version()),
                );
                let waits = matches!(reason, Reason::NoText | Reason::OldText);
                let retry_ms = waits.then_some(NO_TEXT_RETRY_MS);
                self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
            }
        }
    }

    /// What a text that may be old does not know may have been added: that it does not exist is not said.
    fn doubted(&self, reason: Reason) -> Reason {
        match reason {
            Reason::NoRoute | Reason::NoModel if !self.current => Reason::OldText,
            reason => reason,
        }
    }

    /// The request as it is kept, or why it is refused at once.
    fn admit(&mut self, arrival: &Arrival) -> Result<Request, Reason> {
        let text = self.text.clone().ok_or(Reason::NoText)?;
        let route = text.route(&arrival.host, &arrival.path).ok_or(Reason::NoRoute)?;
        let service = share(route, &arrival.caller).ok_or(Reason::NoRoute)?;
        let (model, adapter) = arrival.model.split_once('/').unwrap_or((&arrival.model, ""));
        let engine = text.service(service).and_then(|service| service.engine.as_ref());
        let (mut target, mut base) = (None, None);
        if let Some(engine) = engine {
            engine.model(model).ok_or(Reason::NoModel)?;
            target = Some(self.names.intern(&arrival.model));
            let key = self.names.intern(model);
            self.note_asked(key);
            self.stock.note_asked(key, self.now);
            base = Some(key);
        }
        let allowed = arrival.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let patience = patience_ms(route).unwrap_or(allowed);
        Ok(Request {
            caller: arrival.caller.clone(),
            service: service.to_owned(),
            repeat: route.repeat,
            rank: route.rank,
            attempts: route.attempts.max(1),
            target_ms: route.target_ms,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            target,
            base,
            prefix: arrival.prefix,
            arrived: self.now,
            ends: self.now + allowed,
            patient: self.now + allowed.min(patience),
            stage: Stage::Waiting,
            sent: self.now,
            head_ms: 0,
            at: None,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            missed: false,
            tokens: arrival.tokens,
            patience,
            begun: false,
            after: None,
            backup: None,
            moving: false,
            paid: false,
        })
    }
}
