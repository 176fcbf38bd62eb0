//! What endpoints say of themselves in their responses.

use citronrill_base::Millis;
use citronrill_decide::LogEvent;

use super::{PoolEntry, RequestId, ResponseHead};
use crate::advertised::Advertised;

/// What an endpoint said in the response to one request.
pub(super) struct Statement<'a> {
    pub(super) instance: &'a str,
    /// The request ID assigned by the caller, for logs.
    pub(super) caller_id: &'a str,
    /// When the request was dispatched.
    pub(super) said_at: Millis,
    pub(super) head: ResponseHead,
}

impl PoolEntry {
    /// Takes over what the endpoint says of itself in its response to a request.
    ///
    /// Responses of another incarnation and to another request tell nothing of it. Nor does status 421, which
    /// whatever listens at the address by now may have sent.
    pub(super) fn learn_from_response(&mut self, id: RequestId, head: ResponseHead) {
        if head.is_foreign() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let Some(instance) = request.instance.clone() else { return };
        let (caller_id, said_at) = (request.caller_id.clone(), request.sent_at);
        if self.pool.advertised_mut(&instance, said_at).is_none() {
            return;
        }
        let statement = Statement { instance: &instance, caller_id: &caller_id, said_at, head };
        self.learn_limit(&statement);
        self.learn_leaving(&statement);
        self.learn_backoff(&statement);
    }

    fn learn_leaving(&mut self, statement: &Statement<'_>) {
        let Statement { instance, said_at, head, .. } = *statement;
        let advertised = self.pool.advertised_mut(instance, said_at).filter(|_| head.leaving);
        if advertised.is_some_and(Advertised::record_leaving) {
            self.endpoint_departed(instance, "id", statement.caller_id);
        }
    }

    /// Handles that an endpoint has said that it leaves, before the member list shows it.
    pub(super) fn endpoint_departed(&mut self, instance: &str, source: &'static str, name: &str) {
        let event = LogEvent::new("endpoint_leaving").with("instance", instance);
        self.log(event.with(source, name));
        if let Some(endpoint) = self.pool.endpoints.get(instance) {
            self.preload.count_departure(&endpoint.member.service, self.now);
        }
    }

    fn learn_backoff(&mut self, statement: &Statement<'_>) {
        let Statement { instance, said_at, head, .. } = *statement;
        let until = head.backoff_ms.map(|ms| self.now + ms);
        let Some(advertised) = self.pool.advertised_mut(instance, said_at) else { return };
        let changed = match until {
            Some(until) => advertised.record_backoff(until),
            None if head.not_run => false,
            None => advertised.record_accepted(said_at),
        };
        if changed {
            let event = LogEvent::new("endpoint_backoff").with("instance", instance);
            let event = event.with("backoff_ms", head.backoff_ms.unwrap_or(0));
            self.log(event.with("id", statement.caller_id));
        }
    }
}
