//! Takeover of an endpoint from a predecessor, and reconciliation of the engine with the ledger.

use citronrill_base::Txn;
use prost::Message;

use super::{Mode, ORDER_TTL_MS, Order, Side, SideEffect, VERIFY_MS};
use crate::{
    log::LogEvent,
    rows::{EndpointRow, Phase, Replica, endpoint_key},
};

/// An order without an answer times out after its expected time multiplied by this factor.
const ORDER_TIMEOUT_FACTOR: u64 = 5;
/// Minimum timeout of an order, in milliseconds.
const MIN_ORDER_TIMEOUT_MS: u64 = 10_000;
/// Bit set in the ids of orders that no ledger decision asked for, so that they never collide with
/// the id of a decision.
const UNDECIDED_ORDER_BIT: u64 = 1 << 63;

impl Side {
    /// Claims the endpoint once both its row and the engine's list have been read.
    ///
    /// The epoch increases with every side process and is the fencing token of each order. It is
    /// derived from the row's version too, so that it also increases across a removal of the row:
    /// an engine that has seen a higher number would refuse every order of the successor. The row's
    /// replicas are kept: the memory of a load that the predecessor did not finish stays reserved,
    /// and the engine's list determines which replicas are adopted.
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

    /// Starts to serve after the claim was committed.
    pub(super) fn claim_confirmed(&mut self, out: &mut Vec<SideEffect>) {
        self.mode = Mode::Serving;
        self.owned_since = self.now;
        // The predecessor may have sent an order after the engine's list was requested, so the
        // list is requested again.
        self.last_order_end = self.now;
        out.push(SideEffect::Log(LogEvent::new("owned").with("epoch", self.epoch)));
    }

    /// Sends the engine the orders that the ledger requires.
    pub(super) fn order_engine(&mut self, out: &mut Vec<SideEffect>) {
        self.time_out_orders();
        if !self.can_order() {
            return;
        }
        if self.verified_at.is_none_or(|asked_at| self.now.since(asked_at) > VERIFY_MS) {
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

    /// Returns whether orders may be sent: the engine's list must be newer than the end of the last
    /// order, and no transaction may be in flight or in doubt, since it may remove from the ledger
    /// what an order would load.
    fn can_order(&self) -> bool {
        let settled = self.txn.is_none() && !self.in_doubt;
        settled && self.engine.is_some() && self.list_time > self.last_order_end
    }

    /// Requests a read of the side's row if there is an order to send.
    fn verify_for_orders(&mut self) {
        let row = self.ledger();
        let order_due = row.replicas.iter().any(|replica| {
            let transitional = matches!(replica.phase(), Phase::Loading | Phase::Unloading);
            transitional && !self.order_pending(&replica.model)
        });
        let undecided = self.engine.iter().flat_map(|report| &report.models);
        let undecided = undecided.filter(|held| row.replica(&held.model).is_none()).count();
        if order_due || undecided > 0 {
            self.read_requested = true;
        }
    }

    fn time_out_orders(&mut self) {
        let row = self.ledger();
        let now = self.now;
        self.orders.retain(|id, order| {
            let replica = row.replicas.iter().find(|replica| replica.order == *id);
            let expected = replica.map_or(0, |replica| replica.load_ms);
            now.since(order.sent_at) < (expected * ORDER_TIMEOUT_FACTOR).max(MIN_ORDER_TIMEOUT_MS)
        });
    }

    pub(super) fn order_pending(&self, model: &str) -> bool {
        self.orders.values().any(|order| order.model == model)
    }

    /// Unloads models that the engine holds but the ledger does not have.
    ///
    /// Such a model comes from a predecessor's order that reached the engine late. Its memory is
    /// not counted in the ledger and must be freed before anything is loaded.
    fn unload_undecided(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) {
        let models =
            self.engine.iter().flat_map(|report| report.models.clone()).collect::<Vec<_>>();
        for held in models {
            if row.replica(&held.model).is_none() && !self.order_pending(&held.model) {
                let id = UNDECIDED_ORDER_BIT | citronrill_base::hash_bytes(held.model.as_bytes());
                out.push(SideEffect::Log(
                    LogEvent::new("unload_undecided").with("model", &held.model),
                ));
                self.send_unload(id, held.model, out);
            }
        }
    }

    fn order_load(&mut self, row: &EndpointRow, replica: &Replica, out: &mut Vec<SideEffect>) {
        let model = &replica.model;
        let attempted = self.engine_has(model, false) || self.failed_loads.contains(model);
        let fenced = self.profile.fencing || self.predecessor_orders_expired();
        if attempted || self.order_pending(model) || !fenced {
            return;
        }
        if !self.engine_has_room(row, replica) {
            return;
        }
        let id = replica.order;
        self.orders.insert(id, Order { model: model.clone(), load: true, sent_at: self.now });
        out.push(SideEffect::Load {
            order: id,
            model: model.clone(),
            base: replica.base.clone(),
            fence: self.epoch,
            memory_mb: replica.memory_mb,
            peak_mb: replica.peak_mb,
        });
    }

    /// Returns whether no order of a predecessor can reach the engine any more.
    ///
    /// Until then, an engine that does not check fencing tokens gets no load order, and no replica
    /// is removed from the ledger for any engine: an engine that checks fencing tokens learns the
    /// new token only from the first order that carries it.
    pub(super) fn predecessor_orders_expired(&self) -> bool {
        self.epoch == 1 || self.now.since(self.owned_since) >= ORDER_TTL_MS
    }

    /// Returns whether the engine has room for the peak memory of the load.
    ///
    /// An engine that ignores fencing tokens may temporarily hold more than the ledger says, so
    /// each model counts with the larger of its values in the ledger and in the engine's list.
    fn engine_has_room(&self, row: &EndpointRow, replica: &Replica) -> bool {
        let mut total = replica.held_mb();
        for other in row.replicas.iter().filter(|other| other.model != replica.model) {
            total += other.held_mb();
        }
        for held in self.engine.iter().flat_map(|report| &report.models) {
            let counted = row.replica(&held.model).map_or(0, Replica::held_mb);
            total += held.memory_mb.saturating_sub(counted);
        }
        total <= self.profile.memory_mb
    }

    fn order_unload(&mut self, row: &EndpointRow, replica: &Replica, out: &mut Vec<SideEffect>) {
        let model = &replica.model;
        let has_adapters = row.replicas.iter().any(|other| other.base == *model);
        let used = self.calls.running_model(model) > 0;
        if has_adapters || used || self.order_pending(model) || !self.engine_has(model, false) {
            return;
        }
        self.send_unload(replica.order, model.clone(), out);
    }

    fn send_unload(&mut self, order: u64, model: String, out: &mut Vec<SideEffect>) {
        self.orders.insert(order, Order { model: model.clone(), load: false, sent_at: self.now });
        out.push(SideEffect::Unload { order, model, fence: self.epoch });
    }
}
