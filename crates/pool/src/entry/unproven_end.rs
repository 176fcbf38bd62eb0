//! Responses that ended with their connection.
//!
//! Nothing in such a response shows whether it is whole: the connections of an endpoint that crashes are
//! closed in the same way. Its caller has everything that arrived; the end of the response waits until
//! the endpoint was checked, and what cannot be verified does not look complete.

use std::net::SocketAddr;

use citronrill_base::Millis;

use super::{EndedBody, EndpointCheck, EntryEffect, PoolEntry, RequestId, ResponseEnd};

/// Maximum milliseconds for which the end of a response waits for the check of its endpoint. A check
/// takes a round trip and 30 ms; a lost packet costs up to the time to connect, after which one more is made.
const CHECK_MS: u64 = 1_000;
/// Milliseconds between two checks of an endpoint.
const RECHECK_MS: u64 = 100;

/// The end of a response that may have been cut off.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnprovenEnd {
    body: EndedBody,
    /// Until when the check of the endpoint is awaited.
    until: Millis,
    /// When the endpoint is to be checked again.
    recheck: Option<Millis>,
}

impl PoolEntry {
    /// Handles a response that ended with its connection.
    pub(super) fn end_unproven(&mut self, id: RequestId, body: EndedBody) {
        let Some(address) = self.endpoint_address(id) else {
            // The endpoint is known to be gone.
            self.break_body(id, body);
            return;
        };
        let checking = self.unproven_at(address).next().is_some();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let until = request.deadline.min(self.now + CHECK_MS);
        request.unproven_end = Some(UnprovenEnd { body, until, recheck: None });
        if !checking {
            self.effects.push(EntryEffect::CheckEndpoint(address));
        }
    }

    /// Decides about the responses that ended with their connections to an endpoint that was checked.
    pub(super) fn resolve_unproven_ends(&mut self, address: SocketAddr, check: EndpointCheck) {
        for id in self.unproven_at(address).collect::<Vec<_>>() {
            match check {
                EndpointCheck::Refused => self.break_unproven(id),
                EndpointCheck::Accepted => self.finish_unproven(id),
                EndpointCheck::Unknown => self.set_recheck(id, Some(self.now + RECHECK_MS)),
            }
        }
    }

    /// Breaks off the responses that ended with their connections to an endpoint that has crashed.
    pub(super) fn break_unproven_ends(&mut self, instance: &str) {
        let ended = self.requests.iter().filter(|(_, request)| {
            request.unproven_end.is_some() && request.instance.as_deref() == Some(instance)
        });
        for id in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.break_unproven(id);
        }
    }

    /// Checks endpoints again, and breaks off the responses whose endpoints did not reply in time.
    pub(super) fn check_unproven_ends(&mut self) {
        let ends =
            self.requests.iter().filter_map(|(id, request)| Some((*id, request.unproven_end?)));
        let mut checked = Vec::new();
        for (id, end) in ends.collect::<Vec<_>>() {
            if self.now >= end.until {
                self.break_unproven(id);
                continue;
            }
            let due = end.recheck.is_some_and(|at| self.now >= at);
            if let Some(address) = self.endpoint_address(id).filter(|_| due) {
                self.set_recheck(id, None);
                if !checked.contains(&address) {
                    checked.push(address);
                    self.effects.push(EntryEffect::CheckEndpoint(address));
                }
            }
        }
    }

    /// Returns the responses that wait for the check of the endpoint at `address`.
    fn unproven_at(&self, address: SocketAddr) -> impl Iterator<Item = RequestId> {
        let waiting = self.requests.iter().filter(|(_, request)| request.unproven_end.is_some());
        let at = waiting.filter(move |(id, _)| self.endpoint_address(**id) == Some(address));
        at.map(|(id, _)| *id)
    }

    fn endpoint_address(&self, id: RequestId) -> Option<SocketAddr> {
        let instance = self.requests.get(&id)?.instance.as_ref()?;
        Some(self.pool.endpoints.get(instance)?.member.address)
    }

    fn break_unproven(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(end) = request.unproven_end.take() {
            self.break_body(id, end.body);
        }
    }

    /// Breaks off a response: a stream goes on elsewhere, if it may.
    fn break_body(&mut self, id: RequestId, body: EndedBody) {
        match body {
            EndedBody::Events(last_event) => self.stream_broken(id, last_event),
            EndedBody::Plain => {
                self.record_lost_run(id);
                self.effects.push(EntryEffect::Abort(id));
                self.response_ended(id, ResponseEnd::Broken);
            }
        }
    }

    fn finish_unproven(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.unproven_end.take().is_some() {
            self.effects.push(EntryEffect::Finish(id));
            self.response_ended(id, ResponseEnd::Complete);
        }
    }

    fn set_recheck(&mut self, id: RequestId, recheck: Option<Millis>) {
        let end = self.requests.get_mut(&id).and_then(|request| request.unproven_end.as_mut());
        if let Some(end) = end {
            end.recheck = recheck;
        }
    }
}
