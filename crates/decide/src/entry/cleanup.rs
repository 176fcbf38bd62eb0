//! Giving back what instances that are gone have held.

use std::collections::BTreeMap;

use citronrill_base::{EndpointKey, Set, Txn};
use prost::Message;

use super::{Effect, Entry, Listed, Purpose};
use crate::{
    log::LogEvent,
    rows::{EndpointRow, WEIGHTS, cache_key, endpoint_key, member_key, model_key, share_key},
};

/// An instance counts as gone when the list has been without it for this long, in milliseconds.
///
/// The list lags: an instance that has just started may not be on it yet.
const ABSENT_MS: u64 = 15_000;
/// Ledgers cleaned up in one go: after the loss of a zone, the table must not get them all at once.
const CLEANUP_BATCH: usize = 2;

impl Entry {
    pub(super) fn instances(&mut self, list: Vec<Listed>, out: &mut Vec<Effect>) {
        self.list_seen = true;
        self.listed = list.into_iter().map(|it| (it.peer.name.clone(), it)).collect();
        let endpoints = self.view.endpoints().map(|(_, row)| row.instance.clone());
        let members = self.view.members().map(|(name, _)| name.to_owned());
        let known = endpoints.chain(members).collect::<Set<_>>();
        self.absent.retain(|name, _| known.contains(name) && !self.listed.contains_key(name));
        for name in known {
            if !self.listed.contains_key(&name) {
                self.absent.entry(name).or_insert(self.now);
            }
        }
        self.note_leaving(out);
        self.recount_members();
    }

    /// Forgets an instance's absence when a new side process has claimed its endpoint.
    ///
    /// The list lags: an instance that was gone and is back may be in use before the list has it
    /// again. Its absence up to then says nothing of the new process's replicas.
    pub(super) fn note_owner(&mut self, key: EndpointKey) {
        let Some(row) = self.view.endpoint(key) else { return };
        let (epoch, instance) = (row.epoch, row.instance.clone());
        if self.owners.insert(key, epoch) != Some(epoch) {
            self.absent.remove(&instance);
            self.avoided.remove(&key);
            let contact = self.contact(key);
            contact.silences = 0;
            contact.suspect_until = Default::default();
        }
    }

    fn note_leaving(&mut self, out: &mut Vec<Effect>) {
        let leaving = self.view.endpoints().filter(|(_, row)| {
            let listed = self.listed.get(&row.instance);
            listed.is_some_and(|it| it.leaving) || self.gone(&row.instance)
        });
        let leaving = leaving.map(|(key, _)| key).collect::<Set<_>>();
        for key in &leaving {
            if !self.avoided.contains(key) {
                let name = self.view.endpoint_name(*key).to_owned();
                out.push(Effect::Log(LogEvent::new("avoid").with("endpoint", name)));
            }
        }
        self.avoided = leaving;
    }

    /// Whether the platform says that an instance is gone.
    pub(super) fn gone(&self, instance: &str) -> bool {
        let since = self.absent.get(instance);
        self.list_seen && since.is_some_and(|since| self.now.since(*since) >= ABSENT_MS)
    }

    /// Cleans up ledgers and member rows of gone instances that this process is to look after.
    pub(super) fn clean_up(&mut self, out: &mut Vec<Effect>) {
        if !self.store_up || self.deciding(&Purpose::Cleanup) {
            return;
        }
        let gone = self.view.endpoints().filter(|(key, row)| {
            self.gone(&row.instance) && self.owns(self.view.endpoint_name(*key))
        });
        let gone = gone.map(|(key, row)| (key, row.clone())).take(CLEANUP_BATCH);
        for (key, row) in gone.collect::<Vec<_>>() {
            self.clean_endpoint(key, &row, out);
        }
        if let Some(name) = self.gone_member() {
            let mut txn = Txn::default();
            txn.put(member_key(&name), self.view.member(&name).version, None);
            self.decide(Purpose::Cleanup, None, txn, out);
        }
    }

    fn gone_member(&self) -> Option<String> {
        let mut names = self.view.members().map(|(name, _)| name);
        names.find(|name| self.gone(name) && self.owns(name)).map(str::to_owned)
    }

    /// Deletes a gone endpoint's row and takes its replicas out of every other row at once.
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
            let held = self.view.model(model);
            let mut model_row = held.row.unwrap_or_default();
            model_row.holders.retain(|holder| *holder != name);
            txn.put(model_key(&replica.model), held.version, Some(model_row.encode_to_vec()));
            let share = (replica.org.clone(), replica.bucket);
            *shares.entry(share).or_insert(0) += replica.memory_mb;
        }
        for ((org, bucket), freed) in shares {
            let org_key = self.view.registry.organisations.intern(&org);
            let held = self.view.share(org_key, bucket);
            let mut share = held.row.unwrap_or_default();
            share.used_mb = share.used_mb.saturating_sub(freed);
            txn.put(share_key(&org, bucket), held.version, Some(share.encode_to_vec()));
        }
        let mut weights = self.view.weights.row.clone().unwrap_or_default();
        let before = weights.permits.len() + weights.waiters.len();
        weights.permits.retain(|permit| permit.endpoint != name);
        weights.waiters.retain(|waiter| waiter.endpoint != name);
        if weights.permits.len() + weights.waiters.len() != before {
            let version = self.view.weights.version;
            txn.put(WEIGHTS, version, Some(weights.encode_to_vec()));
        }
        out.push(Effect::Log(LogEvent::new("clean_up").with("endpoint", name)));
        self.decide(Purpose::Cleanup, None, txn, out);
    }
}
