//! Admission of arriving requests by the configuration.

use citronrill_decide::LogEvent;

use super::{
    Arrival, EntryEffect, PoolEntry, Priority, Reason, Refusal, Request, Stage,
    credit::LimitedUse,
    dispatch::NO_CONFIG_RETRY_MS,
    rules::{idle_timeout_ms, pick_service},
    streams::Origin,
};
use crate::{
    config::{Route, ServingConfig},
    expected_wait::WaitEstimate,
    organisation::Organisation,
    software::StreamKey,
};

impl PoolEntry {
    /// Admits and dispatches a request, or refuses it.
    pub(super) fn request_arrived(&mut self, arrival: Arrival) {
        let id = arrival.id;
        match self.admit(&arrival) {
            Ok(request) => {
                let (now, service) = (self.now, request.service.clone());
                self.budget(&service).record_first(now);
                self.requests.insert(id, request);
                self.inquire_origin(id);
                self.schedule(id);
            }
            Err(reason) => {
                let reason = self.adjust_for_stale(reason);
                self.log(
                    LogEvent::new("refused")
                        .with("id", arrival.caller_id)
                        .with("reason", reason.as_str())
                        .with("text", self.config_version()),
                );
                let waits = matches!(reason, Reason::NoConfig | Reason::StaleConfig);
                let retry_ms = waits.then_some(NO_CONFIG_RETRY_MS);
                self.effects.push(EntryEffect::Refuse(id, Refusal { reason, retry_ms }));
            }
        }
    }

    /// Replaces "not found" by a refusal that allows a retry while the configuration may be out of
    /// date: the route, key or model may have been added.
    fn adjust_for_stale(&self, reason: Reason) -> Reason {
        match reason {
            Reason::NoRoute | Reason::UnknownKey | Reason::NoModel if !self.config_current => {
                Reason::StaleConfig
            }
            reason => reason,
        }
    }

    /// Returns the organisation that a request belongs to; `None` if its route needs no key.
    fn authenticate<'a>(
        config: &'a ServingConfig,
        route: &Route,
        arrival: &Arrival,
    ) -> Result<Option<&'a Organisation>, Reason> {
        let Some(organisations) = config.organisations.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        let holder = arrival.key.and_then(|key| organisations.holder(key));
        holder.map(Some).ok_or(Reason::UnknownKey)
    }

    /// Returns the state of an admitted request, or the reason for its refusal.
    fn admit(&mut self, arrival: &Arrival) -> Result<Request, Reason> {
        let config = self.config.clone().ok_or(Reason::NoConfig)?;
        let route = config.route(&arrival.host, &arrival.path).ok_or(Reason::NoRoute)?;
        let organisation = PoolEntry::authenticate(&config, route, arrival)?;
        // All attempts of one stream go to the same service of a route.
        let stream_id = arrival.first_attempt.as_ref().unwrap_or(&arrival.caller_id);
        let service = pick_service(route, stream_id).ok_or(Reason::NoRoute)?;
        let (model, adapter) = arrival.model.split_once('/').unwrap_or((&arrival.model, ""));
        let engine = config.service(service).and_then(|service| service.engine.as_ref());
        let (mut required, mut base) = (None, None);
        if let Some(engine) = engine {
            engine.model(model).ok_or(Reason::NoModel)?;
            required = Some(self.names.intern(&arrival.model));
            let key = self.names.intern(model);
            self.count_request(key);
            self.preload.count_request(key, self.now);
            base = Some(key);
        }
        let allowed = arrival.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let idle_timeout = idle_timeout_ms(route).unwrap_or(allowed);
        let name = organisation.map(|organisation| organisation.name.clone());
        let over_share = self.count_share(service, name.as_ref(), route.rank);
        Ok(Request {
            caller_id: arrival.caller_id.clone(),
            caller: arrival.caller,
            digest: arrival.digest,
            path: arrival.path.clone(),
            service: service.to_owned(),
            retry_policy: route.retry_policy,
            priority: Priority::new(organisation, route),
            limited: LimitedUse::new(organisation, arrival.tokens),
            organisation: name,
            over_share,
            max_attempts: route.max_attempts.max(1),
            target_ms: route.target_ms,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            required,
            base,
            prefix_hash: arrival.prefix_hash,
            shared_parts: arrival.shared_parts.clone(),
            arrived: self.now,
            deadline: self.now + allowed,
            idle_deadline: self.now + allowed.min(idle_timeout),
            stage: Stage::Waiting,
            sent_at: self.now,
            expected: WaitEstimate::default(),
            queue_rounds: 1.0,
            head_ms: 0,
            instance: None,
            tried: Vec::new(),
            runs: 0,
            dispatches: 0,
            missed: false,
            tokens: arrival.tokens,
            reconnects: arrival.reconnects,
            first_attempt: arrival.first_attempt.clone(),
            stream: StreamKey::new(stream_id),
            origin: Origin::Free,
            sent_software: None,
            idle_timeout,
            head_sent: false,
            succeeded: false,
            last_event: None,
            backup: None,
            has_progress: false,
            limit_wanted: false,
            retry_reserved: false,
            retry_denied: false,
            queued: false,
            lost_runs: 0,
            trial: None,
            from_copy: false,
            unproven_end: None,
        })
    }
}
