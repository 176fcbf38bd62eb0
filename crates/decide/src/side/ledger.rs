//! Phase transitions of the ledger's replicas, one transaction at a time.

use citronrill_base::Txn;
use prost::Message;

use super::{Mode, Side, SideEffect, TABLE_TIMEOUT_MS};
use crate::{
    log::LogEvent,
    placement::{base_ready, fits_now},
    rows::{
        CacheRow, EndpointRow, ModelRow, Phase, Replica, ShareRow, cache_key, decode, endpoint_key,
        model_key, phase_name, share_key,
    },
};

/// Time after which a wanted replica that cannot be loaded is abandoned, in milliseconds.
const WANTED_TIMEOUT_MS: u64 = 60_000;
/// Delay before a change of the cached weights alone is published, in milliseconds.
///
/// The row lists every cached model and is sent to all entries, while an entry that does not know
/// of cached weights only causes a longer load.
const CACHE_PUBLISH_DELAY_MS: u64 = 300_000;
/// A model used within this time is not unloaded, in milliseconds.
const RECENT_USE_MS: u64 = 2_000;

impl Side {
    /// Sends the orders that are due and begins the next ledger transaction, if any.
    pub(super) fn advance_ledger(&mut self, out: &mut Vec<SideEffect>) {
        self.order_engine(out);
        self.time_out_txn();
        let pausing = self.now < self.pause_until;
        if self.txn.is_some() || self.pending_read.is_some() || pausing {
            return;
        }
        if self.resolve_in_doubt(out) {
            return;
        }
        if let Mode::Draining { give_back } = self.mode {
            return self.advance_drain(give_back, out);
        }
        let _ = self.reconcile_ledger(out) || self.start_next_load(out) || self.publish_caches(out);
    }

    /// Rewrites the side's row unchanged, so that an in-doubt transaction can no longer take
    /// effect.
    fn resolve_in_doubt(&mut self, out: &mut Vec<SideEffect>) -> bool {
        if !self.in_doubt || self.row.row.is_none() {
            return false;
        }
        let row = EndpointRow::clone(&self.ledger());
        self.write_row(row, out);
        true
    }

    /// Treats a transaction that timed out as in doubt; its version checks keep a late commit safe.
    fn time_out_txn(&mut self) {
        let timed_out = |since| self.now.since(since) >= TABLE_TIMEOUT_MS;
        if self.txn.as_ref().is_some_and(|pending| timed_out(pending.sent_at)) {
            self.txn = None;
            self.mark_in_doubt();
        }
    }

    fn advance_drain(&mut self, give_back: bool, out: &mut Vec<SideEffect>) {
        let mut row = EndpointRow::clone(&self.ledger());
        if !give_back {
            if self.calls.running() == 0 {
                self.finish(out);
            }
            return;
        }
        let ready = |replica: &Replica| replica.phase() == Phase::Ready;
        if !row.leaving || row.replicas.iter().any(ready) {
            row.leaving = true;
            // A wanted replica holds no memory and is removed directly. A loading one must finish
            // first: the engine holds its peak memory until then, and so must the ledger.
            for replica in row.replicas.iter_mut().filter(|replica| ready(replica)) {
                replica.phase = Phase::Unloading.into();
            }
            return self.write_row(row, out);
        }
        if self.reconcile_ledger(out) || self.calls.running() > 0 || !row.replicas.is_empty() {
            return;
        }
        // The row is kept without replicas: its epoch is the engine's fencing token, and an engine
        // that has seen a higher number would refuse a successor that began at 1 again. Entries
        // remove the row once the instance is no longer in the platform's instance list.
        self.finish(out);
    }

    fn finish(&mut self, out: &mut Vec<SideEffect>) {
        self.mode = Mode::Done;
        out.push(SideEffect::Drained);
    }

    pub(super) fn write_row(&mut self, row: EndpointRow, out: &mut Vec<SideEffect>) {
        let mut txn = Txn::default();
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(row.encode_to_vec()));
        self.commit(txn, out);
    }

    /// Brings the ledger in line with the engine's list; returns whether a step was started.
    fn reconcile_ledger(&mut self, out: &mut Vec<SideEffect>) -> bool {
        if self.list_time <= self.last_order_end || self.engine.is_none() {
            return false;
        }
        let row = self.ledger();
        if self.update_phases(&row, out) || self.release_permits(&row, out) {
            return true;
        }
        let done = row.replicas.iter().find(|replica| self.can_remove(&row, replica)).cloned();
        done.is_some_and(|replica| self.remove_replica(&row, &replica, out))
    }

    /// Updates the phase of every replica for which the engine's list is ahead, in one transaction.
    fn update_phases(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) -> bool {
        let mut updated_row = row.clone();
        for replica in &mut updated_row.replicas {
            let ready = self.engine_has(&replica.model, true);
            match replica.phase() {
                Phase::Loading if ready => replica.phase = Phase::Ready.into(),
                // The engine was restarted and has lost the model, so the replica must be loaded
                // again.
                Phase::Ready if !self.engine_has(&replica.model, false) => {
                    replica.phase = Phase::Wanted.into();
                }
                Phase::Unloading if self.vetoes_unload(row, replica) => {
                    replica.phase = Phase::Ready.into();
                }
                _ => {}
            }
        }
        unload_adapters(&mut updated_row);
        if updated_row == *row {
            return false;
        }
        let mut txn = Txn::default();
        self.add_permit_release(&updated_row, &mut txn);
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(updated_row.encode_to_vec()));
        for (old, new) in row.replicas.iter().zip(&updated_row.replicas) {
            if old.phase != new.phase {
                if new.phase() == Phase::Ready {
                    self.calls.touch(&new.model, self.now);
                }
                let event = LogEvent::new("replica").with("model", &new.model);
                out.push(SideEffect::Log(event.with("phase", phase_name(new.phase()))));
            }
        }
        self.commit(txn, out);
        true
    }

    fn recently_used(&self, model: &str) -> bool {
        self.calls.last_used(model).is_some_and(|last| self.now.since(last) < RECENT_USE_MS)
    }

    /// Returns whether a replica marked for unloading is in use and must stay loaded.
    ///
    /// The view of the deciding entry lags, while this process knows the running calls. Without the
    /// veto, a coordinator with an outdated view would unload a model that callers are using.
    fn vetoes_unload(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let used = |member: &Replica| {
            self.calls.running_model(&member.model) > 0 || self.recently_used(&member.model)
        };
        let in_use = with_adapters(row, replica.order).any(used);
        let still_loaded =
            self.engine_has(&replica.model, true) && !self.order_pending(&replica.model);
        self.mode == Mode::Serving && in_use && still_loaded
    }

    /// Returns whether a replica can be removed from the ledger.
    ///
    /// It stays in the ledger until an engine list requested after the last order no longer has it.
    fn can_remove(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let on_engine = self.engine_has(&replica.model, false);
        let order_pending = self.orders.values().any(|order| order.model == replica.model);
        let has_adapters = row.replicas.iter().any(|other| other.base == replica.model);
        if on_engine || order_pending || has_adapters || !self.predecessor_orders_expired() {
            return false;
        }
        match replica.phase() {
            Phase::Unloading => true,
            Phase::Loading => self.failed_loads.contains(&replica.model),
            Phase::Wanted => row.leaving || self.should_abandon(row, replica),
            Phase::Ready => false,
        }
    }

    fn should_abandon(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let since = self.wanted_since.get(&replica.order).copied().unwrap_or(self.now);
        let base = row.replica(&replica.base).map(Replica::phase);
        let no_base = !replica.base.is_empty() && matches!(base, None | Some(Phase::Unloading));
        no_base || self.now.since(since) >= WANTED_TIMEOUT_MS
    }

    /// Removes a replica from the ledger, its model's row and its organisation's share.
    fn remove_replica(
        &mut self,
        row: &EndpointRow,
        removed: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let model = model_key(&removed.model);
        let share = share_key(&removed.org, removed.share_part);
        let (Some(model_read), Some(share_read)) = (self.cached(&model), self.cached(&share))
        else {
            self.read(vec![model, share], out);
            return true;
        };
        let failed = self.failed_loads.contains(&removed.model);
        let mut next = row.clone();
        next.replicas.retain(|replica| replica.order != removed.order);
        let mut txn = Txn::default();
        let mut model_row = decode::<ModelRow>(&model_read.body).unwrap_or_default();
        model_row.holders.retain(|holder| *holder != self.profile.endpoint);
        model_row.failures = if failed { model_row.failures + 1 } else { 0 };
        txn.put(model, model_read.version, Some(model_row.encode_to_vec()));
        let mut share_row = decode::<ShareRow>(&share_read.body).unwrap_or_default();
        share_row.used_mb = share_row.used_mb.saturating_sub(removed.memory_mb);
        txn.put(share, share_read.version, Some(share_row.encode_to_vec()));
        self.add_permit_release(&next, &mut txn);
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(next.encode_to_vec()));
        self.wanted_since.remove(&removed.order);
        self.calls.forget_model(&removed.model);
        let event = LogEvent::new("removed").with("model", &removed.model).with("failed", failed);
        out.push(SideEffect::Log(event));
        self.commit(txn, out);
        true
    }

    /// Begins the next step for the most urgent wanted replica that allows one: making room,
    /// waiting for a permit, or loading.
    fn start_next_load(&mut self, out: &mut Vec<SideEffect>) -> bool {
        let row = self.ledger();
        let wanted = row.replicas.iter().filter(|replica| replica.phase() == Phase::Wanted);
        let mut wanted = wanted.collect::<Vec<_>>();
        for replica in &wanted {
            self.wanted_since.entry(replica.order).or_insert(self.now);
        }
        wanted.retain(|replica| base_ready(&row, replica));
        wanted.sort_by_key(|replica| (replica.urgency, replica.order));
        // A replica that waits for a permit does not block another that needs none or is next in
        // line.
        for replica in wanted {
            let started = if fits_now(&row, replica) {
                self.begin_load(EndpointRow::clone(&row), replica, out)
            } else {
                self.make_room(EndpointRow::clone(&row), replica, out)
            };
            if started {
                return true;
            }
        }
        false
    }

    /// Marks the replicas that are cheapest to evict for unloading, if that makes enough room.
    ///
    /// The side and not the deciding entry selects them: only the side knows what is in use now.
    fn make_room(
        &mut self,
        mut row: EndpointRow,
        wanted: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let need_mb = row.held_mb() + wanted.peak_mb.max(wanted.memory_mb);
        let freeing = row.replicas.iter().filter(|replica| replica.phase() == Phase::Unloading);
        let freeing = freeing.map(|replica| replica.memory_mb).sum::<u64>();
        let mut missing_mb = need_mb.saturating_sub(freeing).saturating_sub(row.memory_mb);
        let mut evicted = Vec::new();
        let mut candidates = self.idle_replicas(&row, wanted);
        while missing_mb > 0 {
            let Some(candidate) = candidates.pop() else { return false };
            for member in with_adapters(&row, candidate) {
                if !evicted.contains(&member.order) {
                    missing_mb = missing_mb.saturating_sub(member.held_mb());
                    evicted.push(member.order);
                }
            }
        }
        if evicted.is_empty() {
            return false;
        }
        for replica in row.replicas.iter_mut().filter(|replica| evicted.contains(&replica.order)) {
            replica.phase = Phase::Unloading.into();
            let event = LogEvent::new("evict").with("model", &replica.model);
            out.push(SideEffect::Log(event.with("for", &wanted.model)));
        }
        self.write_row(row, out);
        true
    }

    /// Returns the order ids of idle replicas with the best eviction candidate last, by idle time
    /// relative to load time.
    fn idle_replicas(&self, row: &EndpointRow, wanted: &Replica) -> Vec<u64> {
        let mut idle = Vec::new();
        for replica in row.replicas.iter().filter(|replica| replica.phase() == Phase::Ready) {
            let group = row.replicas.iter().filter(|member| member.base == replica.model);
            let mut group = group.chain([replica]);
            let busy = group.any(|member| {
                let in_transition = !matches!(member.phase(), Phase::Ready | Phase::Unloading);
                let running = self.calls.running_model(&member.model) > 0;
                running || in_transition || self.recently_used(&member.model)
            });
            if !busy && replica.model != wanted.base {
                let last_use = self.calls.last_used(&replica.model).unwrap_or_default();
                let idle_ms = self.now.since(last_use);
                idle.push((idle_ms / replica.load_ms.max(1), replica.order));
            }
        }
        idle.sort_unstable();
        idle.into_iter().map(|(_, order)| order).collect()
    }

    /// Publishes the engine's cached weights to the entries, some time after they have changed.
    fn publish_caches(&mut self, out: &mut Vec<SideEffect>) -> bool {
        let Some(report) = &self.engine else { return false };
        let published = self.published_cache.as_ref();
        if published == Some(&report.cached) || (published.is_none() && report.cached.is_empty()) {
            self.cache_changed = None;
            return false;
        }
        let since = *self.cache_changed.get_or_insert(self.now);
        if published.is_some() && self.now.since(since) < CACHE_PUBLISH_DELAY_MS {
            return false;
        }
        let key = cache_key(&self.profile.endpoint);
        let row = CacheRow { cached: report.cached.clone() };
        let Some(cached) = self.cached(&key) else {
            self.read(vec![key], out);
            return true;
        };
        let mut txn = Txn::default();
        txn.put(key, cached.version, Some(row.encode_to_vec()));
        self.published_cache = Some(row.cached);
        self.commit(txn, out);
        true
    }
}

/// Marks the adapters of a base that is being unloaded for unloading too: an adapter that becomes
/// ready in the meantime would otherwise keep the base loaded forever.
fn unload_adapters(row: &mut EndpointRow) {
    let is_unloading = |replica: &&Replica| replica.phase() == Phase::Unloading;
    let unloading = row.replicas.iter().filter(is_unloading).map(|replica| replica.model.clone());
    let unloading = unloading.collect::<Vec<_>>();
    for replica in row.replicas.iter_mut().filter(|replica| replica.phase() == Phase::Ready) {
        if unloading.contains(&replica.base) {
            replica.phase = Phase::Unloading.into();
        }
    }
}

/// Returns a replica and, if it is a base, its adapters.
fn with_adapters(row: &EndpointRow, order: u64) -> impl Iterator<Item = &Replica> {
    let model = row
        .replicas
        .iter()
        .find(|replica| replica.order == order)
        .map(|replica| replica.model.as_str());
    let member =
        move |replica: &&Replica| replica.order == order || Some(replica.base.as_str()) == model;
    row.replicas.iter().filter(member)
}
