//! Taking an endpoint over from a predecessor, and bringing the engine in line with the ledger.

use citronrill_base::Txn;
use prost::Message;

use super::{Mode, ORDER_TTL_MS, Order, Side, SideEffect, VERIFY_MS};
use crate::{
    log::LogEvent,
    rows::{EndpointRow, Phase, Replica, endpoint_key},
};

/// An order without an answer is looked into after its expected time, this many times over.
const ORDER_PATIENCE: u64 = 5;
/// And at least after this time, in milliseconds.
const ORDER_PATIENCE_MS: u64 = 10_000;
/// Ids of orders that no decision asked for have this bit, so that they meet no decided one.
const UNDECIDED: u64 = 1 << 63;

impl Side {
    /// Claims the endpoint once both its row and its engine have been read.
    ///
    /// The epoch rises with every side process; it is the fencing number of each order. The row's
    /// row's version takes part in it, so that it rises over a removal of the row too: an engine that
    /// has seen a higher number would refuse every order of the successor. The row's
    /// replicas are kept as they are: a predecessor that died in the middle of a load leaves its
    /// memory reserved, and what the engine really holds decides what is adopted.
    pub(super) fn take_over(&mut self, out: &mut Vec<SideEffect>) {
        if !self.row_known || self.engine.is_none() || self.txn.is_some() {
            return;
        }
        let mut row = EndpointRow::clone(&self.ledger());
        row.epoch = row.epoch.max(self.row.version) + 1;
        row.address = self.profile.address.clone();
        row.zone = self.profile.zone.clone();
        row.memory_mb = self.profile.memory_mb;
        row.slots = self.profile.slots;
        row.instance = self.profile.instance.clone();
        row.leaving = false;
        let mut txn = Txn::default();
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(row.encode_to_vec()));
        self.epoch = row.epoch;
        self.commit(txn, out);
    }

    /// The claim has been confirmed.
    pub(super) fn own(&mut self, out: &mut Vec<SideEffect>) {
        self.mode = Mode::Serving;
        self.owned = self.now;
        // The predecessor may have ordered something after the engine was asked: ask again.
        self.order_done = self.now;
        out.push(SideEffect::Log(LogEvent::new("owned").with("epoch", self.epoch)));
    }

    /// Gives the engine the orders that the ledger asks for.
    pub(super) fn order_engine(&mut self, out: &mut Vec<SideEffect>) {
        self.forget_lost_orders();
        if !self.may_order() {
            return;
        }
        if self.verified.is_none_or(|asked| self.now.since(asked) > VERIFY_MS) {
            self.verify_for_orders();
            return;
        }
        let row = self.ledger();
        self.unload_undecided(&row, out);
        for replica in &row.replicas {
            match replica.phase() {
                Phase::Loading => self.order_load(&row, replica, out),
                Phase::Unloading => self.order_unload(&row, replica, out),
                Phase::Wanted | Phase::Ready => {}
            }
        }
    }

    /// Whether the engine's list is newer than the last order's end, and no own transaction is on its
    /// way or in doubt: it may take out of the ledger what an order would load.
    fn may_order(&self) -> bool {
        let settled = self.txn.is_none() && !self.in_doubt;
        settled && self.engine.is_some() && self.listed > self.order_done
    }

    /// Has the own row read again if there is an order to give.
    fn verify_for_orders(&mut self) {
        let row = self.ledger();
        let moving = row.replicas.iter().any(|replica| {
            let waits = matches!(replica.phase(), Phase::Loading | Phase::Unloading);
            waits && !self.in_order(&replica.model)
        });
        let undecided = self.engine.iter().flat_map(|report| &report.held);
        let undecided = undecided.filter(|held| row.replica(&held.model).is_none()).count();
        if moving || undecided > 0 {
            self.read_now = true;
        }
    }

    fn forget_lost_orders(&mut self) {
        let row = self.ledger();
        let now = self.now;
        self.orders.retain(|id, order| {
            let replica = row.replicas.iter().find(|replica| replica.order == *id);
            let expected = replica.map_or(0, |replica| replica.load_ms);
            now.since(order.since) < (expected * ORDER_PATIENCE).max(ORDER_PATIENCE_MS)
        });
    }

    pub(super) fn in_order(&self, model: &str) -> bool {
        self.orders.values().any(|order| order.model == model)
    }

    /// Unloads what the engine holds although nobody decided it.
    ///
    /// This meets a predecessor's order that reached the engine late: the ledger does not have the
    /// replica, so its memory is counted nowhere and must be freed before anything is loaded.
    fn unload_undecided(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) {
        let held = self.engine.iter().flat_map(|report| report.held.clone()).collect::<Vec<_>>();
        for held in held {
            if row.replica(&held.model).is_none() && !self.in_order(&held.model) {
                let id = UNDECIDED | citronrill_base::hash_bytes(held.model.as_bytes());
                out.push(SideEffect::Log(
                    LogEvent::new("unload_undecided").with("model", &held.model),
                ));
                self.give_unload(id, held.model, out);
            }
        }
    }

    fn order_load(&mut self, row: &EndpointRow, replica: &Replica, out: &mut Vec<SideEffect>) {
        let model = &replica.model;
        let known = self.engine_has(model, false) || self.failed.contains(model);
        let fenced = self.profile.fencing || self.quiet_since_takeover();
        if known || self.in_order(model) || !fenced {
            return;
        }
        if !self.engine_room(row, replica) {
            return;
        }
        let id = replica.order;
        self.orders.insert(id, Order { model: model.clone(), load: true, since: self.now });
        out.push(SideEffect::Load {
            order: id,
            model: model.clone(),
            base: replica.base.clone(),
            fence: self.epoch,
            memory_mb: replica.memory_mb,
            peak_mb: replica.peak_mb,
        });
    }

    /// Whether no order of a predecessor can reach the engine any more.
    ///
    /// Until then nothing is loaded on an engine that does not check fencing numbers, and nothing is
    /// taken out of the ledger on any: one that checks them knows the new number only from the first
    /// order that carries it.
    pub(super) fn quiet_since_takeover(&self) -> bool {
        self.epoch == 1 || self.now.since(self.owned) >= ORDER_TTL_MS
    }

    /// Whether the engine itself has room for the load's peak.
    ///
    /// The ledger alone would do if engines held only what it says. One that ignores fencing
    /// numbers may hold more for a while, so its own list is counted too: whichever is larger.
    fn engine_room(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let mut total = replica.held_mb();
        for other in row.replicas.iter().filter(|other| other.model != replica.model) {
            total += other.held_mb();
        }
        for held in self.engine.iter().flat_map(|report| &report.held) {
            let counted = row.replica(&held.model).map_or(0, Replica::held_mb);
            total += held.memory_mb.saturating_sub(counted);
        }
        total <= self.profile.memory_mb
    }

    fn order_unload(&mut self, row: &EndpointRow, replica: &Replica, out: &mut Vec<SideEffect>) {
        let model = &replica.model;
        let has_adapters = row.replicas.iter().any(|other| other.base == *model);
        let used = self.calls.running_model(model) > 0;
        if has_adapters || used || self.in_order(model) || !self.engine_has(model, false) {
            return;
        }
        self.give_unload(replica.order, model.clone(), out);
    }

    fn give_unload(&mut self, order: u64, model: String, out: &mut Vec<SideEffect>) {
        self.orders.insert(order, Order { model: model.clone(), load: false, since: self.now });
        out.push(SideEffect::Unload { order, model, fence: self.epoch });
    }
}
