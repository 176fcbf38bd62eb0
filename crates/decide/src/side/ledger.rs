//! Moving the ledger's replicas through their phases, one transaction at a time.

use citronrill_base::Txn;
use prost::Message;

use super::{Mode, Side, SideEffect, TABLE_PATIENCE_MS};
use crate::{
    log::LogEvent,
    placement::{base_ready, fits_now},
    rows::{
        CacheRow, EndpointRow, ModelRow, Phase, Replica, ShareRow, cache_key, decode, endpoint_key,
        model_key, phase_word, share_key,
    },
};

/// A wanted replica that cannot be loaded is given up after this time, in milliseconds.
const WANTED_LIMIT_MS: u64 = 60_000;
/// A change of the caches alone is written after this time, in milliseconds.
///
/// The row lists every cached model and goes to all entries, and a copy that they do not know of costs
/// no more than a longer load.
const CACHES_MS: u64 = 300_000;
/// A model used within this time is not unloaded to make room, in milliseconds.
const RECENT_USE_MS: u64 = 2_000;

impl Side {
    /// Does the next thing that the ledger asks for.
    pub(super) fn work(&mut self, out: &mut Vec<SideEffect>) {
        self.order_engine(out);
        self.give_up_slow_txn();
        let pausing = self.now < self.pause_until;
        if self.txn.is_some() || self.reading.is_some() || pausing {
            return;
        }
        if self.settle_doubt(out) {
            return;
        }
        if let Mode::Draining { give_back } = self.mode {
            return self.work_draining(give_back, out);
        }
        let _ = self.settle(out) || self.start_wanted(out) || self.publish_caches(out);
    }

    /// Writes the own row as it is, so that a transaction in doubt cannot take effect any more.
    fn settle_doubt(&mut self, out: &mut Vec<SideEffect>) -> bool {
        if !self.in_doubt || self.row.row.is_none() {
            return false;
        }
        let row = EndpointRow::clone(&self.ledger());
        self.write_row(row, out);
        true
    }

    /// A transaction without an answer counts as unknown; its row versions keep it harmless.
    fn give_up_slow_txn(&mut self) {
        let slow = |since| self.now.since(since) >= TABLE_PATIENCE_MS;
        if self.txn.as_ref().is_some_and(|pending| slow(pending.since)) {
            self.txn = None;
            self.doubt();
        }
    }

    fn work_draining(&mut self, give_back: bool, out: &mut Vec<SideEffect>) {
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
            // What is only wanted holds no memory and is removed as it is. A load is waited for: the
            // engine holds its peak until it ends, and so must the ledger.
            for replica in row.replicas.iter_mut().filter(|replica| ready(replica)) {
                replica.phase = Phase::Unloading.into();
            }
            return self.write_row(row, out);
        }
        if self.settle(out) || self.calls.running() > 0 || !row.replicas.is_empty() {
            return;
        }
        // The row stays, without replicas: its epoch is the engine's fencing number, and a successor
        // that began at 1 again would be refused by an engine that has seen a higher one. Entries
        // remove it when the platform's list is without the instance.
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

    /// Records what the engine has done; whether something was begun.
    fn settle(&mut self, out: &mut Vec<SideEffect>) -> bool {
        if self.listed <= self.order_done || self.engine.is_none() {
            return false;
        }
        let row = self.ledger();
        if self.settle_phases(&row, out) || self.release_permits(&row, out) {
            return true;
        }
        let done = row.replicas.iter().find(|replica| self.may_remove(&row, replica)).cloned();
        done.is_some_and(|replica| self.remove(&row, &replica, out))
    }

    /// Writes every phase that the engine's list has overtaken, in one transaction.
    fn settle_phases(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) -> bool {
        let mut next = row.clone();
        for replica in &mut next.replicas {
            let ready = self.engine_has(&replica.model, true);
            match replica.phase() {
                Phase::Loading if ready => replica.phase = Phase::Ready.into(),
                // The engine was restarted: nothing is held, so the replica waits for its load.
                Phase::Ready if !self.engine_has(&replica.model, false) => {
                    replica.phase = Phase::Wanted.into();
                }
                Phase::Unloading if self.vetoes(row, replica) => {
                    replica.phase = Phase::Ready.into();
                }
                _ => {}
            }
        }
        follow_bases(&mut next);
        if next == *row {
            return false;
        }
        let mut txn = Txn::default();
        self.drop_permits(&next, &mut txn);
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(next.encode_to_vec()));
        for (old, new) in row.replicas.iter().zip(&next.replicas) {
            if old.phase != new.phase {
                if new.phase() == Phase::Ready {
                    self.calls.touch(&new.model, self.now);
                }
                let event = LogEvent::new("replica").with("model", &new.model);
                out.push(SideEffect::Log(event.with("phase", phase_word(new.phase()))));
            }
        }
        self.commit(txn, out);
        true
    }

    fn used_lately(&self, model: &str) -> bool {
        self.calls.last_used(model).is_some_and(|last| self.now.since(last) < RECENT_USE_MS)
    }

    /// Whether a replica that is to be unloaded has been used too recently for that.
    ///
    /// The decider's knowledge lags; this process knows what runs. Without the veto, a home that
    /// has not heard of a use yet would take a model away under its callers.
    fn vetoes(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let used = |member: &Replica| {
            self.calls.running_model(&member.model) > 0 || self.used_lately(&member.model)
        };
        let kept = family_of(row, replica.order).any(used);
        let untouched = self.engine_has(&replica.model, true) && !self.in_order(&replica.model);
        self.mode == Mode::Serving && kept && untouched
    }

    /// Whether a replica's place in the ledger can be given back.
    ///
    /// It stays counted until the engine's own list, asked for after the last order, is without it.
    fn may_remove(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let held = self.engine_has(&replica.model, false);
        let in_order = self.orders.values().any(|order| order.model == replica.model);
        let has_adapters = row.replicas.iter().any(|other| other.base == replica.model);
        if held || in_order || has_adapters || !self.quiet_since_takeover() {
            return false;
        }
        match replica.phase() {
            Phase::Unloading => true,
            Phase::Loading => self.failed.contains(&replica.model),
            Phase::Wanted => row.leaving || self.wanted_in_vain(row, replica),
            Phase::Ready => false,
        }
    }

    fn wanted_in_vain(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let since = self.since.get(&replica.order).copied().unwrap_or(self.now);
        let base = row.replica(&replica.base).map(Replica::phase);
        let no_base = !replica.base.is_empty() && matches!(base, None | Some(Phase::Unloading));
        no_base || self.now.since(since) >= WANTED_LIMIT_MS
    }

    /// Takes a replica out of the ledger, its model's row and its organisation's share.
    fn remove(&mut self, row: &EndpointRow, gone: &Replica, out: &mut Vec<SideEffect>) -> bool {
        let model = model_key(&gone.model);
        let share = share_key(&gone.org, gone.bucket);
        let (Some(model_held), Some(share_held)) = (self.cached(&model), self.cached(&share))
        else {
            self.read(vec![model, share], out);
            return true;
        };
        let failed = self.failed.contains(&gone.model);
        let mut next = row.clone();
        next.replicas.retain(|replica| replica.order != gone.order);
        let mut txn = Txn::default();
        let mut model_row = decode::<ModelRow>(&model_held.body).unwrap_or_default();
        model_row.holders.retain(|holder| *holder != self.profile.endpoint);
        model_row.failures = if failed { model_row.failures + 1 } else { 0 };
        txn.put(model, model_held.version, Some(model_row.encode_to_vec()));
        let mut share_row = decode::<ShareRow>(&share_held.body).unwrap_or_default();
        share_row.used_mb = share_row.used_mb.saturating_sub(gone.memory_mb);
        txn.put(share, share_held.version, Some(share_row.encode_to_vec()));
        self.drop_permits(&next, &mut txn);
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(next.encode_to_vec()));
        self.since.remove(&gone.order);
        self.calls.unloaded(&gone.model);
        let event = LogEvent::new("removed").with("model", &gone.model).with("failed", failed);
        out.push(SideEffect::Log(event));
        self.commit(txn, out);
        true
    }

    /// Moves the most urgent wanted replica that can be on: room, permit, then its load.
    fn start_wanted(&mut self, out: &mut Vec<SideEffect>) -> bool {
        let row = self.ledger();
        let wanted = row.replicas.iter().filter(|it| it.phase() == Phase::Wanted);
        let mut wanted = wanted.collect::<Vec<_>>();
        for replica in &wanted {
            self.since.entry(replica.order).or_insert(self.now);
        }
        wanted.retain(|replica| base_ready(&row, replica));
        wanted.sort_by_key(|replica| (replica.urgency, replica.order));
        // One that waits for its permit does not hold up another that needs none, or is next.
        for replica in wanted {
            let begun = if fits_now(&row, replica) {
                self.begin_load(EndpointRow::clone(&row), replica, out)
            } else {
                self.make_room(EndpointRow::clone(&row), replica, out)
            };
            if begun {
                return true;
            }
        }
        false
    }

    /// Marks the replicas that cost least to lose for unloading, if that makes enough room.
    ///
    /// The side chooses, not the decider: only the side knows at this moment what is in use.
    fn make_room(
        &mut self,
        mut row: EndpointRow,
        wanted: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let need = row.held_mb() + wanted.peak_mb.max(wanted.memory_mb);
        let freeing = row.replicas.iter().filter(|it| it.phase() == Phase::Unloading);
        let freeing = freeing.map(|replica| replica.memory_mb).sum::<u64>();
        let mut short = need.saturating_sub(freeing).saturating_sub(row.memory_mb);
        let mut victims = Vec::new();
        let mut candidates = self.idle_replicas(&row, wanted);
        while short > 0 {
            let Some(victim) = candidates.pop() else { return false };
            for member in family_of(&row, victim) {
                if !victims.contains(&member.order) {
                    short = short.saturating_sub(member.held_mb());
                    victims.push(member.order);
                }
            }
        }
        if victims.is_empty() {
            return false;
        }
        for replica in row.replicas.iter_mut().filter(|it| victims.contains(&it.order)) {
            replica.phase = Phase::Unloading.into();
            let event = LogEvent::new("evict").with("model", &replica.model);
            out.push(SideEffect::Log(event.with("for", &wanted.model)));
        }
        self.write_row(row, out);
        true
    }

    /// Orders of idle replicas, the cheapest to lose last: long unused and quickly loaded again.
    fn idle_replicas(&self, row: &EndpointRow, wanted: &Replica) -> Vec<u64> {
        let mut idle = Vec::new();
        for replica in row.replicas.iter().filter(|it| it.phase() == Phase::Ready) {
            let family = row.replicas.iter().filter(|it| it.base == replica.model);
            let mut family = family.chain([replica]);
            let busy = family.any(|member| {
                let moving = !matches!(member.phase(), Phase::Ready | Phase::Unloading);
                let running = self.calls.running_model(&member.model) > 0;
                running || moving || self.used_lately(&member.model)
            });
            if !busy && replica.model != wanted.base {
                let last = self.calls.last_used(&replica.model).unwrap_or_default();
                let unused = self.now.since(last);
                idle.push((unused / replica.load_ms.max(1), replica.order));
            }
        }
        idle.sort_unstable();
        idle.into_iter().map(|(_, order)| order).collect()
    }

    /// Tells the deciders what the engine has cached, some time after it has changed.
    fn publish_caches(&mut self, out: &mut Vec<SideEffect>) -> bool {
        let Some(report) = &self.engine else { return false };
        let known = self.published.as_ref();
        if known == Some(&report.cached) || (known.is_none() && report.cached.is_empty()) {
            self.caches_differ = None;
            return false;
        }
        let since = *self.caches_differ.get_or_insert(self.now);
        if known.is_some() && self.now.since(since) < CACHES_MS {
            return false;
        }
        let key = cache_key(&self.profile.endpoint);
        let row = CacheRow { cached: report.cached.clone() };
        let Some(held) = self.cached(&key) else {
            self.read(vec![key], out);
            return true;
        };
        let mut txn = Txn::default();
        txn.put(key, held.version, Some(row.encode_to_vec()));
        self.published = Some(row.cached);
        self.commit(txn, out);
        true
    }
}

/// An adapter goes with its base: one that became ready meanwhile would keep it for ever.
fn follow_bases(row: &mut EndpointRow) {
    let leaves = |it: &&Replica| it.phase() == Phase::Unloading;
    let leaving = row.replicas.iter().filter(leaves).map(|it| it.model.clone());
    let leaving = leaving.collect::<Vec<_>>();
    for replica in row.replicas.iter_mut().filter(|it| it.phase() == Phase::Ready) {
        if leaving.contains(&replica.base) {
            replica.phase = Phase::Unloading.into();
        }
    }
}

/// A replica and, if it is a base, the adapters on it.
fn family_of(row: &EndpointRow, order: u64) -> impl Iterator<Item = &Replica> {
    let model = row.replicas.iter().find(|it| it.order == order).map(|it| it.model.as_str());
    let member = move |it: &&Replica| it.order == order || Some(it.base.as_str()) == model;
    row.replicas.iter().filter(member)
}
