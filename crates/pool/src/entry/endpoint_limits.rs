//! Limits that endpoints name for the requests of all entries together.

use citronrill_decide::LogEvent;

use super::{PoolEntry, RequestId};
use crate::{endpoint::NamedLimit, limits::EndpointRate};

impl PoolEntry {
    /// Takes over the limit that the endpoint named in its response to a request, or that it names none.
    ///
    /// Responses overtake each other: one to an earlier request does not lift or change a limit that one
    /// to a later request named.
    pub(super) fn learn_limit(&mut self, id: RequestId, rate: Option<EndpointRate>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (asked_at, caller_id) = (request.sent_at, request.caller_id.clone());
        let Some(instance) = request.instance.clone() else { return };
        let Some(endpoint) = self.pool.endpoints.get_mut(&instance) else { return };
        let known = endpoint.limit;
        if known.is_some_and(|known| known.asked_at > asked_at) {
            return;
        }
        endpoint.limit = rate.map(|rate| NamedLimit { rate, asked_at });
        if known.map(|known| known.rate) == rate {
            return;
        }
        let event = LogEvent::new("endpoint_limit").with("instance", &instance);
        let event = match rate {
            Some(rate) => event.with("rate", rate),
            None => event.with("rate", "none"),
        };
        self.log(event.with("id", caller_id));
    }
}
