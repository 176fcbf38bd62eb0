//! Scheduling by expected wait.

use citronrill_base::Set;

use super::PoolEntry;
use crate::server_load::ServerLoad;

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
}
