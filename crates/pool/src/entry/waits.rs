//! Scheduling by expected wait.

use citronrill_base::Set;

use super::PoolEntry;
use crate::{endpoint::Endpoint, expected_wait::WaitEstimate, server_load::ServerLoad};

/// Milliseconds for which a stream occupies a slot.
const ENGINE_WORK_MS: f64 = 500.0;
/// Milliseconds for which a plain call occupies a slot.
const PLAIN_WORK_MS: f64 = 30.0;

/// Services whose endpoints state how long work takes on their hosts.
#[derive(Debug, Default)]
pub(super) struct PacedServices(Set<String>);

impl PacedServices {
    /// Records the load that an endpoint of `service` states.
    pub(super) fn record(&mut self, service: &str, load: ServerLoad) {
        if load.pace.is_some() && !self.0.contains(service) {
            self.0.insert(service.to_owned());
        }
    }
}

impl PoolEntry {
    /// Returns whether requests of a service are scheduled by expected wait.
    ///
    /// The settings call for it where organisations compete for room, and the endpoints themselves where
    /// they share their hosts: the number of their requests then says little about the wait.
    pub(super) fn by_wait(&self, service: &str) -> bool {
        self.profile.contended || self.paced.0.contains(service)
    }

    /// Returns what a request meets that is sent to an endpoint now, by the load that is known of it.
    pub(super) fn wait_estimate(&self, endpoint: &Endpoint) -> WaitEstimate {
        let engine = self.config.as_ref().is_some_and(|config| {
            let service = config.service(&endpoint.member.service);
            service.is_some_and(|service| service.engine.is_some())
        });
        let work_ms = if engine { ENGINE_WORK_MS } else { PLAIN_WORK_MS };
        let slots = endpoint.member.slots.max(1);
        let queued = (endpoint.load() + 1).saturating_sub(slots);
        WaitEstimate { wait_ms: f64::from(queued) / f64::from(slots) * work_ms, work_ms }
    }
}
