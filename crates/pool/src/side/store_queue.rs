//! Loads from the weight store: their queue for all entries, and the models that they brought to this endpoint.

use citronrill_base::{Map, Millis};
use citronrill_decide::LogEvent;
use citronrill_wire::{StoreLoadKind, StoreLoadMessage, StoreLoadReply};

use super::{EntryLink, OrderKind, PoolSide, SideEffect};
use crate::store_queue::StoreQueue;

/// A model that a load from the weight store brought.
#[derive(Debug)]
struct Resident {
    /// Until when it must stay loaded.
    stays_until: Millis,
    /// Until when the load is recent.
    recent_until: Millis,
}

/// The queue of loads, used while entries report to this side, and the models that loads brought here.
#[derive(Debug, Default)]
pub(super) struct StoreLoads {
    pub(super) queue: StoreQueue,
    residents: Map<String, Resident>,
}

impl StoreLoads {
    pub(super) fn clear_residents(&mut self) {
        self.residents.clear();
    }
}

impl PoolSide {
    /// Handles an entry's report, and replies to it so that the entry knows that its reports arrive.
    pub(super) fn queue_store_loads(&mut self, link: EntryLink, message: StoreLoadMessage) {
        let Some(StoreLoadKind::Report(report)) = message.kind else { return };
        let number = report.number;
        if self.store_queue.queue.report(link, report, self.now) {
            let reply = StoreLoadReply { number, grants: Vec::new() };
            self.effects.push(SideEffect::StoreLoads(link, reply));
            self.grant_store_loads();
        }
    }

    /// Sends the grants that are due.
    pub(super) fn grant_store_loads(&mut self) {
        let config = self.config.clone();
        let known = |name: &str| {
            config.as_ref().is_none_or(|config| {
                let engines = config.services.iter().filter_map(|service| service.engine.as_ref());
                engines.into_iter().any(|engine| engine.model(name).is_some())
            })
        };
        for stuck in self.store_queue.queue.find_stuck(self.now) {
            let event = LogEvent::new("store_load_stuck").with("model", &stuck.model);
            let event = event.with("instance", &stuck.instance);
            self.log(event.with("late_milli", stuck.late_milli));
        }
        for granted in self.store_queue.queue.grant(known, self.now) {
            let event = LogEvent::new("store_load_granted")
                .with("model", &granted.grant.model)
                .with("grant", granted.grant.number)
                .with("to", granted.link)
                .with("rank", granted.rank)
                .with("waiting", granted.waiting)
                .with("refused_milli", granted.refused_milli)
                .with("under_way", granted.grant.under_way)
                .with("limit", granted.limit);
            self.log(event.with("avoid", granted.grant.avoid.join(",")));
            let reply = StoreLoadReply { number: granted.report, grants: vec![granted.grant] };
            self.effects.push(SideEffect::StoreLoads(granted.link, reply));
        }
    }

    /// Records that a model is loaded, if a load from the weight store that an entry asked to be kept
    /// brought it.
    pub(super) fn record_store_load(&mut self, model: &str) {
        let issued = self.model_order.as_ref().filter(|issued| {
            issued.from_store && issued.order.kind == OrderKind::Load && issued.order.model == model
        });
        let planned = self.plan.iter().find(|planned| planned.request.model == model);
        let residency_ms = planned.map_or(0, |planned| planned.request.residency_ms);
        if issued.is_none() || residency_ms == 0 {
            return;
        }
        let spec = self.engine().and_then(|engine| engine.model(model));
        let recent_ms = spec.map_or(0, |spec| spec.store_ms);
        let resident = Resident {
            stays_until: self.now + residency_ms,
            recent_until: self.now + recent_ms.max(residency_ms),
        };
        self.store_queue.residents.retain(|_, resident| self.now < resident.recent_until);
        self.store_queue.residents.insert(model.to_owned(), resident);
    }

    /// Returns whether callers that were refused for want of the model are still coming back.
    pub(super) fn store_resident(&self, model: &str) -> bool {
        let resident = self.store_queue.residents.get(model);
        resident.is_some_and(|resident| self.now < resident.stays_until)
    }

    /// Returns whether a model came from the weight store no longer ago than such a load takes.
    pub(super) fn came_from_store(&self, model: &str) -> bool {
        let resident = self.store_queue.residents.get(model);
        resident.is_some_and(|resident| self.now < resident.recent_until)
    }
}
