//! Letting go of what is idle, and loading ahead of the part of the day.

use citronrill_base::{EndpointKey, ModelKey, OrgKey, Txn};
use citronrill_config::{Class, Organisation};
use prost::Message;

use super::{
    Effect, Entry, Purpose, Target,
    home::{Demanded, REPORT_MIN_MS},
};
use crate::{
    keepalive::{LEARN_MS, Learned, MIN_KEEP_MS, SLOT_MS, day_slot},
    log::LogEvent,
    rows::{Phase, ShareRow, endpoint_key, model_key},
};

/// An organisation's replica is released for another one of it at most this often, in milliseconds.
const RELEASE_MS: u64 = 1_000;
/// An idle adapter is kept for this time at most, in milliseconds.
const ADAPTER_KEEP_MS: u64 = 1_200_000;

impl Entry {
    /// Lets go of another replica of an organisation that has used up its share; whether one is
    /// on its way out.
    ///
    /// The side refuses to unload what was used a moment ago, so a wrong choice costs a write.
    pub(super) fn release_one(&mut self, model: ModelKey, out: &mut Vec<Effect>) -> bool {
        let Some(spec) = self.catalogue.models.get(&model) else { return false };
        let (org, base) = (spec.org, spec.base);
        let org_name = self.view.registry.organisations.name(org);
        let (mut leaving, mut candidates) = (false, Vec::new());
        for (key, row) in self.view.endpoints() {
            for replica in row.replicas.iter().filter(|it| it.org == *org_name) {
                let other = self.view.registry.models.get(&replica.model);
                let needed = other.is_none_or(|other| other == model || Some(other) == base);
                match replica.phase() {
                    Phase::Unloading => leaving = true,
                    Phase::Ready if !needed => candidates.extend(other.map(|it| (key, it))),
                    Phase::Ready | Phase::Wanted | Phase::Loading => {}
                }
            }
        }
        let now = self.now;
        if leaving || now.since(self.home(model).released) < RELEASE_MS {
            return leaving || !candidates.is_empty();
        }
        let used = |it: &(EndpointKey, ModelKey)| self.reports.get(&it.1).copied();
        candidates.sort_by_key(|it| (used(it), self.model_name(it.1).len()));
        let Some((endpoint, victim)) = candidates.first().copied() else { return false };
        self.home(model).released = now;
        self.unload(victim, endpoint, "share", out);
        true
    }

    /// Unloads what has been idle for long enough, and loads ahead of the part of the day.
    pub(super) fn home_chores(&mut self, minute: u16, out: &mut Vec<Effect>) {
        self.close_slot(minute, out);
        if !self.store_up {
            return;
        }
        let models = self.homes.keys().copied().collect::<Vec<_>>();
        for model in models {
            self.decide_load(model, out);
            self.release_idle(model, out);
        }
    }

    pub(super) fn close_slot(&mut self, minute: u16, out: &mut Vec<Effect>) {
        let slot = day_slot(minute);
        let Some(last) = self.slot.replace(slot) else { return };
        if last == slot {
            return;
        }
        for home in self.homes.values_mut() {
            let active = std::mem::take(&mut home.traffic.active);
            home.traffic.learned.close_slot(last, active);
        }
        self.load_ahead(slot, out);
    }

    /// Loads models that are likely to be asked for in the part of the day that begins.
    pub(super) fn load_ahead(&mut self, slot: usize, out: &mut Vec<Effect>) {
        if !self.store_up {
            return;
        }
        let mut due = Vec::new();
        for (key, model) in &self.catalogue.models {
            let Some(row) = self.view.model_row(*key) else { continue };
            let Some(org) = self.catalogue.organisations.get(&model.org) else { continue };
            let learned = self.homes.get(key).map(|home| home.traffic.learned.clone());
            let learned = learned.unwrap_or_else(|| Learned::from_row(row));
            let likely = self.policies.keep.load_ahead(&learned, slot, model, org);
            if likely && row.holders.is_empty() && self.owns(&model.name) {
                due.push((*key, model.base.is_some()));
            }
        }
        due.sort_unstable_by_key(|(key, adapter)| (*adapter, *key));
        for (model, _) in due {
            let deadline = self.now + SLOT_MS;
            self.home(model).demand = Some(Demanded { deadline, class: Class::Batch, waiting: 1 });
            self.decide_load(model, out);
        }
    }

    pub(super) fn release_idle(&mut self, model: ModelKey, out: &mut Vec<Effect>) {
        let ready = self.view.replicas(model).filter(|(_, phase)| *phase == Phase::Ready);
        let ready = ready.map(|(endpoint, _)| endpoint).collect::<Vec<_>>();
        if ready.is_empty() {
            if self.view.replicas(model).next().is_none() {
                self.drop_cold_home(model);
            }
            return;
        }
        let idle = self.now.since(self.homes[&model].traffic.last);
        if self.queues.contains_key(&Target::Model(model)) {
            return;
        }
        let keep = self.keep_ms(model);
        if idle >= keep {
            return self.unload_next(model, &ready, keep, out);
        }
        let calm = self.now.since(self.homes[&model].last_crowded);
        if ready.len() > 1 && calm >= keep {
            self.home(model).last_crowded = self.now;
            self.unload(model, ready[0], "calm", out);
        }
    }

    /// Unloads one of an idle model's replicas.
    ///
    /// A side that still has calls of the model keeps it and says so by its row. It is asked again
    /// only after another keep time: a long answer would else cost the table two writes a second.
    pub(super) fn unload_next(
        &mut self,
        model: ModelKey,
        ready: &[EndpointKey],
        keep: u64,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let home = self.home(model);
        home.asked.retain(|(_, at)| now.since(*at) < keep.max(REPORT_MIN_MS));
        let due = ready.iter().find(|it| !home.asked.iter().any(|(asked, _)| asked == *it));
        let Some(endpoint) = due.copied() else { return };
        home.asked.push((endpoint, now));
        self.unload(model, endpoint, "idle", out);
    }

    /// A model with nothing loaded needs no home until the next report.
    pub(super) fn drop_cold_home(&mut self, model: ModelKey) {
        let Some(home) = self.homes.get(&model) else { return };
        // What was learned of the last gap is kept as long as the gaps that are counted apart.
        let old = self.now.since(home.traffic.last) > LEARN_MS;
        if home.demand.is_none() && old {
            self.homes.remove(&model);
        }
    }

    /// Milliseconds that an idle replica of the model is kept.
    pub(super) fn keep_ms(&self, model: ModelKey) -> u64 {
        let Some(spec) = self.catalogue.models.get(&model) else { return 0 };
        let Some(org) = self.catalogue.organisations.get(&spec.org) else { return 0 };
        if self.used_mb(spec.org) > org.share_mb {
            return MIN_KEEP_MS;
        }
        let learned = &self.homes[&model].traffic.learned;
        let Some(base) = spec.base.and_then(|base| self.catalogue.models.get(&base)) else {
            return self.policies.keep.keep_ms(learned, spec, org);
        };
        // An adapter holds a small part of an accelerator, so its idle time is as much cheaper. Each
        // loaded one lengthens its endpoint's row, though, which goes to every entry.
        let cold_weight = org.cold_weight * base.memory_mb / spec.memory_mb;
        let org = Organisation { cold_weight, ..org.clone() };
        self.policies.keep.keep_ms(learned, spec, &org).min(ADAPTER_KEEP_MS)
    }

    pub(super) fn used_mb(&self, org: OrgKey) -> u64 {
        let parts = 0..self.profile.share_parts;
        let rows = parts.filter_map(|part| self.view.share(org, part).row);
        rows.map(|row: ShareRow| row.used_mb).sum()
    }

    /// Marks a replica for unloading, and keeps what was learned on the model's row.
    pub(super) fn unload(
        &mut self,
        model: ModelKey,
        endpoint: EndpointKey,
        why: &'static str,
        out: &mut Vec<Effect>,
    ) {
        let taken = self.decisions.values().any(|it| it.endpoint == Some(endpoint));
        if taken || self.deciding(&Purpose::Unload(model, endpoint)) {
            return;
        }
        let Some(row) = self.view.endpoint(endpoint) else { return };
        let name = self.model_name(model).to_owned();
        let mut next = row.clone();
        for replica in &mut next.replicas {
            let member = replica.model == name || replica.base == name;
            if member && replica.phase() == Phase::Ready {
                replica.phase = Phase::Unloading.into();
            }
        }
        if next == *row {
            return;
        }
        let mut txn = Txn::default();
        let endpoint_name = self.view.endpoint_name(endpoint).to_owned();
        let version = self.view.endpoint_version(endpoint);
        txn.put(endpoint_key(&endpoint_name), version, Some(next.encode_to_vec()));
        if let Some(home) = self.homes.get(&model) {
            let held = self.view.model(model);
            let mut row = held.row.unwrap_or_default();
            home.traffic.learned.to_row(&mut row);
            txn.put(model_key(&name), held.version, Some(row.encode_to_vec()));
        }
        let event = LogEvent::new("unload").with("model", name).with("endpoint", endpoint_name);
        out.push(Effect::Log(event.with("why", why)));
        self.decide(Purpose::Unload(model, endpoint), Some(endpoint), txn, out);
    }
}
