//! Unloading of idle replicas, and preloading for the next part of the day.

use citronrill_base::{EndpointKey, ModelKey, OrgKey, Txn};
use citronrill_config::{Class, Organisation};
use prost::Message;

use super::{
    Effect, Entry, Purpose, Target,
    coordinator::{PendingDemand, REPORT_MIN_MS},
};
use crate::{
    keepalive::{MAX_GAP_MS, MIN_KEEP_MS, SLOT_MS, TrafficStats, day_slot},
    log::LogEvent,
    rows::{Phase, ShareRow, endpoint_key, model_key},
};

/// Minimum interval between unloads that free an organisation's share, in milliseconds.
const SHARE_UNLOAD_INTERVAL_MS: u64 = 1_000;
/// Maximum time that an idle adapter is kept, in milliseconds.
const ADAPTER_KEEP_MS: u64 = 1_200_000;

impl Entry {
    /// Unloads another replica of an organisation whose share is used up, to make room for `model`.
    /// Returns whether another replica is being unloaded or can be unloaded.
    ///
    /// The side refuses to unload a model that was used recently, so a wrong choice costs only a
    /// write.
    pub(super) fn unload_for_share(&mut self, model: ModelKey, out: &mut Vec<Effect>) -> bool {
        let Some(spec) = self.catalogue.models.get(&model) else { return false };
        let (org, base) = (spec.org, spec.base);
        let org_name = self.view.registry.organisations.name(org);
        let (mut unloading, mut candidates) = (false, Vec::new());
        for (key, row) in self.view.endpoints() {
            for replica in row.replicas.iter().filter(|replica| replica.org == *org_name) {
                let other = self.view.registry.models.get(&replica.model);
                let needed = other.is_none_or(|other| other == model || Some(other) == base);
                match replica.phase() {
                    Phase::Unloading => unloading = true,
                    Phase::Ready if !needed => candidates.extend(other.map(|other| (key, other))),
                    Phase::Ready | Phase::Wanted | Phase::Loading => {}
                }
            }
        }
        let now = self.now;
        if unloading || now.since(self.coordination(model).last_unload) < SHARE_UNLOAD_INTERVAL_MS {
            return unloading || !candidates.is_empty();
        }
        let last_use =
            |candidate: &(EndpointKey, ModelKey)| self.use_reports.get(&candidate.1).copied();
        candidates
            .sort_by_key(|candidate| (last_use(candidate), self.model_name(candidate.1).len()));
        let Some((endpoint, evicted)) = candidates.first().copied() else { return false };
        self.coordination(model).last_unload = now;
        self.unload(evicted, endpoint, "share", out);
        true
    }

    /// Preloads models for a new part of the day, decides pending loads and unloads replicas that
    /// were idle for their keep time.
    pub(super) fn maintain_models(&mut self, minute: u16, out: &mut Vec<Effect>) {
        self.close_slot(minute, out);
        if !self.store_up {
            return;
        }
        let models = self.coordinations.keys().copied().collect::<Vec<_>>();
        for model in models {
            self.decide_load(model, out);
            self.unload_idle(model, out);
        }
    }

    pub(super) fn close_slot(&mut self, minute: u16, out: &mut Vec<Effect>) {
        let slot = day_slot(minute);
        let Some(last) = self.day_slot.replace(slot) else { return };
        if last == slot {
            return;
        }
        for coordination in self.coordinations.values_mut() {
            let active = std::mem::take(&mut coordination.traffic.active);
            coordination.traffic.stats.close_slot(last, active);
        }
        self.preload_models(slot, out);
    }

    /// Preloads models that are likely to be used in the part of the day that begins.
    pub(super) fn preload_models(&mut self, slot: usize, out: &mut Vec<Effect>) {
        if !self.store_up {
            return;
        }
        let mut due = Vec::new();
        for (key, model) in &self.catalogue.models {
            let Some(row) = self.view.model_row(*key) else { continue };
            let Some(org) = self.catalogue.organisations.get(&model.org) else { continue };
            let stats =
                self.coordinations.get(key).map(|coordination| coordination.traffic.stats.clone());
            let stats = stats.unwrap_or_else(|| TrafficStats::from_row(row));
            let likely = self.policies.keep_alive.should_preload(&stats, slot, model, org);
            if likely && row.holders.is_empty() && self.is_coordinator(&model.name) {
                due.push((*key, model.base.is_some()));
            }
        }
        due.sort_unstable_by_key(|(key, adapter)| (*adapter, *key));
        for (model, _) in due {
            let deadline = self.now + SLOT_MS;
            self.coordination(model).demand =
                Some(PendingDemand { deadline, class: Class::Batch, waiting: 1 });
            self.decide_load(model, out);
        }
    }

    pub(super) fn unload_idle(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let ready = self.view.replicas(model).filter(|(_, phase)| *phase == Phase::Ready);
        let ready = ready.map(|(endpoint, _)| endpoint).collect::<Vec<_>>();
        if ready.is_empty() {
            if self.view.replicas(model).next().is_none() {
                self.drop_unloaded(model);
            }
            return;
        }
        let idle = self.now.since(self.coordinations[&model].traffic.last_request);
        if self.queues.contains_key(&Target::Model(model)) {
            return;
        }
        let keep = self.keep_ms(model);
        if idle >= keep {
            return self.unload_next(model, &ready, keep, out);
        }
        let since_overload = self.now.since(self.coordinations[&model].last_overload);
        if ready.len() > 1 && since_overload >= keep {
            self.coordination(model).last_overload = self.now;
            self.unload(model, ready[0], "calm", out);
        }
    }

    /// Unloads one replica of an idle model.
    ///
    /// A side with calls of the model in flight keeps the replica and reports this in its row. The
    /// side is asked again only after another keep time; otherwise a long answer would cost the
    /// platform table two writes per second.
    pub(super) fn unload_next(
        &mut self,
        model: ModelKey,
        ready: &[EndpointKey],
        keep: u64,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let coordination = self.coordination(model);
        coordination.unload_requests.retain(|(_, at)| now.since(*at) < keep.max(REPORT_MIN_MS));
        let due = ready.iter().find(|endpoint| {
            !coordination.unload_requests.iter().any(|(asked, _)| asked == *endpoint)
        });
        let Some(endpoint) = due.copied() else { return };
        coordination.unload_requests.push((endpoint, now));
        self.unload(model, endpoint, "idle", out);
    }

    /// Drops the state of a model without replicas; the next report of use creates it again.
    pub(super) fn drop_unloaded(&mut self, model: ModelKey) {
        let Some(coordination) = self.coordinations.get(&model) else { return };
        // The time of the last request is kept as long as the gap histogram can tell gaps apart.
        let past_max_gap = self.now.since(coordination.traffic.last_request) > MAX_GAP_MS;
        if coordination.demand.is_none() && past_max_gap {
            self.coordinations.remove(&model);
        }
    }

    /// Time that an idle replica of the model is kept, in milliseconds.
    pub(super) fn keep_ms(&self, model: ModelKey) -> u64 {
        let Some(spec) = self.catalogue.models.get(&model) else { return 0 };
        let Some(org) = self.catalogue.organisations.get(&spec.org) else { return 0 };
        if self.used_mb(spec.org) > org.share_mb {
            return MIN_KEEP_MS;
        }
        let stats = &self.coordinations[&model].traffic.stats;
        let Some(base) = spec.base.and_then(|base| self.catalogue.models.get(&base)) else {
            return self.policies.keep_alive.keep_ms(stats, spec, org);
        };
        // An adapter holds a small part of an accelerator, so its idle time is proportionally
        // cheaper. However, each loaded adapter lengthens the endpoint's row, which is sent to
        // every entry.
        let cold_weight = org.cold_weight * base.memory_mb / spec.memory_mb;
        let org = Organisation { cold_weight, ..org.clone() };
        self.policies.keep_alive.keep_ms(stats, spec, &org).min(ADAPTER_KEEP_MS)
    }

    pub(super) fn used_mb(&self, org: OrgKey) -> u64 {
        let parts = 0..self.profile.share_parts;
        let rows = parts.filter_map(|part| self.view.share(org, part).row);
        rows.map(|row: ShareRow| row.used_mb).sum()
    }

    /// Marks a replica and its adapters for unloading, and stores the learned traffic in the
    /// model's row.
    pub(super) fn unload(
        &mut self,
        model: ModelKey,
        endpoint: EndpointKey,
        why: &'static str,
        out: &mut Vec<Effect>,
    ) {
        let busy = self.pending_txns.values().any(|pending| pending.endpoint == Some(endpoint));
        if busy || self.is_pending(&Purpose::Unload(model, endpoint)) {
            return;
        }
        let Some(row) = self.view.endpoint(endpoint) else { return };
        let name = self.model_name(model).to_owned();
        let mut updated_row = row.clone();
        for replica in &mut updated_row.replicas {
            let affected = replica.model == name || replica.base == name;
            if affected && replica.phase() == Phase::Ready {
                replica.phase = Phase::Unloading.into();
            }
        }
        if updated_row == *row {
            return;
        }
        let mut txn = Txn::default();
        let endpoint_name = self.view.endpoint_name(endpoint).to_owned();
        let version = self.view.endpoint_version(endpoint);
        txn.put(endpoint_key(&endpoint_name), version, Some(updated_row.encode_to_vec()));
        if let Some(coordination) = self.coordinations.get(&model) {
            let versioned = self.view.model(model);
            let mut row = versioned.row.unwrap_or_default();
            coordination.traffic.stats.to_row(&mut row);
            txn.put(model_key(&name), versioned.version, Some(row.encode_to_vec()));
        }
        let event = LogEvent::new("unload").with("model", name).with("endpoint", endpoint_name);
        out.push(Effect::Log(event.with("why", why)));
        self.commit(Purpose::Unload(model, endpoint), Some(endpoint), txn, out);
    }
}
