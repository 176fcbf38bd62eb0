//! What endpoints say of themselves in their responses.

use citronrill_base::Millis;
use citronrill_decide::LogEvent;

use super::{PoolEntry, RequestId, ResponseHead};

/// Status of a response to a request that was meant for another endpoint, or for a model that is not there.
const MISDIRECTED_STATUS: u16 = 421;

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
        if head.other_incarnation || head.misdirected || head.status == MISDIRECTED_STATUS {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let Some(instance) = request.instance.clone() else { return };
        let (caller_id, said_at) = (request.caller_id.clone(), request.sent_at);
        let endpoint = self.pool.endpoints.get(&instance);
        if !endpoint.is_some_and(|endpoint| endpoint.may_have_answered(said_at)) {
            return;
        }
        let statement = Statement { instance: &instance, caller_id: &caller_id, said_at, head };
        self.learn_limit(&statement);
        self.learn_leaving(&statement);
        self.learn_backoff(&statement);
    }

    fn learn_leaving(&mut self, statement: &Statement<'_>) {
        if !statement.head.leaving {
            return;
        }
        let Some(endpoint) = self.pool.endpoints.get_mut(statement.instance) else { return };
        if endpoint.advertised.record_leaving() {
            let event = LogEvent::new("endpoint_leaving").with("instance", statement.instance);
            self.log(event.with("id", statement.caller_id));
        }
    }

    fn learn_backoff(&mut self, statement: &Statement<'_>) {
        let Some(backoff_ms) = statement.head.backoff_ms else { return };
        let until = self.now + backoff_ms;
        let Some(endpoint) = self.pool.endpoints.get_mut(statement.instance) else { return };
        if endpoint.advertised.record_backoff(until) {
            let event = LogEvent::new("endpoint_backoff").with("instance", statement.instance);
            self.log(event.with("backoff_ms", backoff_ms).with("id", statement.caller_id));
        }
    }
}
