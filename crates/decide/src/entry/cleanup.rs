//! Cleanup of the rows of instances that are gone.

use std::collections::BTreeMap;

use citronrill_base::{EndpointKey, Set, Txn};
use prost::Message;

use super::{Effect, Entry, ListedInstance, Purpose};
use crate::{
    log::LogEvent,
    rows::{EndpointRow, PERMITS, cache_key, endpoint_key, member_key, model_key, share_key},
};

/// An instance counts as gone after it was absent from the instance list for this long, in
/// milliseconds.
///
/// The list lags: it may not contain an instance that has just started.
const ABSENT_MS: u64 = 15_000;
/// Number of ledgers cleaned up at once: the loss of a zone must not send all cleanups to the
/// platform table in one burst.
const CLEANUP_BATCH: usize = 2;

impl Entry {
    pub(super) fn update_instances(&mut self, list: Vec<ListedInstance>, out: &mut Vec<Effect>) {
        self.instances_known = true;
        self.instances =
            list.into_iter().map(|instance| (instance.peer.name.clone(), instance)).collect();
        let endpoints = self.view.endpoints().map(|(_, row)| row.instance.clone());
        let members = self.view.members().map(|(name, _)| name.to_owned());
        let known = endpoints.chain(members).collect::<Set<_>>();
        self.absent_since
            .retain(|name, _| known.contains(name) && !self.instances.contains_key(name));
        for name in known {
            if !self.instances.contains_key(&name) {
                self.absent_since.entry(name).or_insert(self.now);
            }
        }
        self.update_departing(out);
        self.update_members();
    }

    /// Clears an instance's absence and its endpoint's failures when a new side process has taken
    /// over the endpoint.
    ///
    /// The list lags: a returned instance may be in use before the list contains it again. Its
    /// earlier absence does not concern the new process's replicas.
    pub(super) fn update_owner(&mut self, key: EndpointKey) {
        let Some(row) = self.view.endpoint(key) else { return };
        let (epoch, instance) = (row.epoch, row.instance.clone());
        if self.owner_epochs.insert(key, epoch) != Some(epoch) {
            self.absent_since.remove(&instance);
            self.departing.remove(&key);
            let health = self.health_mut(key);
            health.failures = 0;
            health.suspect_until = Default::default();
        }
    }

    fn update_departing(&mut self, out: &mut Vec<Effect>) {
        let leaving = self.view.endpoints().filter(|(_, row)| {
            let listed = self.instances.get(&row.instance);
            listed.is_some_and(|instance| instance.leaving) || self.is_gone(&row.instance)
        });
        let leaving = leaving.map(|(key, _)| key).collect::<Set<_>>();
        for key in &leaving {
            if !self.departing.contains(key) {
                let name = self.view.endpoint_name(*key).to_owned();
                out.push(Effect::Log(LogEvent::new("avoid").with("endpoint", name)));
            }
        }
        self.departing = leaving;
    }

    /// Whether an instance has been absent from the platform's list for long enough to be gone.
    pub(super) fn is_gone(&self, instance: &str) -> bool {
        let since = self.absent_since.get(instance);
        self.instances_known && since.is_some_and(|since| self.now.since(*since) >= ABSENT_MS)
    }

    /// Cleans up the ledgers and member rows of gone instances for which this process is the
    /// coordinator.
    pub(super) fn clean_up(&mut self, out: &mut Vec<Effect>) {
        if !self.store_up || self.is_pending(&Purpose::Cleanup) {
            return;
        }
        let gone = self.view.endpoints().filter(|(key, row)| {
            self.is_gone(&row.instance) && self.is_coordinator(self.view.endpoint_name(*key))
        });
        let gone = gone.map(|(key, row)| (key, row.clone())).take(CLEANUP_BATCH);
        for (key, row) in gone.collect::<Vec<_>>() {
            self.clean_endpoint(key, &row, out);
        }
        if let Some(name) = self.gone_member() {
            let mut txn = Txn::default();
            txn.put(member_key(&name), self.view.member(&name).version, None);
            self.commit(Purpose::Cleanup, None, txn, out);
        }
    }

    fn gone_member(&self) -> Option<String> {
        let mut names = self.view.members().map(|(name, _)| name);
        names.find(|name| self.is_gone(name) && self.is_coordinator(name)).map(str::to_owned)
    }

    /// Deletes a gone endpoint's row and removes its replicas from all other rows, in one
    /// transaction.
    fn clean_endpoint(&mut self, key: EndpointKey, row: &EndpointRow, out: &mut Vec<Effect>) {
        let name = self.view.endpoint_name(key).to_owned();
        let mut txn = Txn::default();
        txn.put(endpoint_key(&name), self.view.endpoint_version(key), None);
        if let Some(version) = self.view.cache_version(key) {
            txn.put(cache_key(&name), version, None);
        }
        let mut shares = BTreeMap::new();
        for replica in &row.replicas {
            let model = self.view.registry.models.intern(&replica.model);
            let versioned = self.view.model(model);
            let mut model_row = versioned.row.unwrap_or_default();
            model_row.holders.retain(|holder| *holder != name);
            txn.put(model_key(&replica.model), versioned.version, Some(model_row.encode_to_vec()));
            let share = (replica.org.clone(), replica.share_part);
            *shares.entry(share).or_insert(0) += replica.memory_mb;
        }
        for ((org, part), freed) in shares {
            let org_key = self.view.registry.organisations.intern(&org);
            let versioned = self.view.share(org_key, part);
            let mut share = versioned.row.unwrap_or_default();
            share.used_mb = share.used_mb.saturating_sub(freed);
            txn.put(share_key(&org, part), versioned.version, Some(share.encode_to_vec()));
        }
        let mut permits_row = self.view.permits_row.row.clone().unwrap_or_default();
        let before = permits_row.permits.len() + permits_row.waiters.len();
        permits_row.permits.retain(|permit| permit.endpoint != name);
        permits_row.waiters.retain(|waiter| waiter.endpoint != name);
        if permits_row.permits.len() + permits_row.waiters.len() != before {
            let version = self.view.permits_row.version;
            txn.put(PERMITS, version, Some(permits_row.encode_to_vec()));
        }
        out.push(Effect::Log(LogEvent::new("clean_up").with("endpoint", name)));
        self.commit(Purpose::Cleanup, None, txn, out);
    }
}
