//! Selection of the next order for the endpoint.

use citronrill_base::Millis;
use citronrill_decide::LogEvent;
use citronrill_wire::LoadRequest;

use super::{
    EngineReport, IssuedOrder, Order, OrderKind, OrderOutcome, PlannedLoad, PoolSide, SideEffect,
    UNHEALTHY_MS,
    report::{holds, used_mb},
};
use crate::{config::EngineSpec, member::full_name};

/// Milliseconds between publishing an eviction and unloading the model. In this time, entries stop
/// dispatching requests for it; otherwise requests in flight would be refused at the endpoint.
const EVICTION_NOTICE_MS: u64 = 12;
/// Milliseconds for which an adapter is kept after its last use, so that the request that uses it
/// has begun.
const MIN_ADAPTER_RESIDENCY_MS: u64 = 150;
/// Milliseconds after which an order without an answer is sent again. It cannot take effect twice,
/// because it is sent again with the same expected sequence.
const ORDER_RETRY_MS: u64 = 400;

impl PoolSide {
    /// Gives the next orders that are due.
    pub(super) fn issue_orders(&mut self) {
        let now = self.now;
        let Some(report) = self.report.clone() else { return };
        // A load whose order is in progress stays planned, so that entries see it as loading.
        let ordered = self.model_order.as_ref().map(|issued| issued.order.model.clone());
        self.plan.retain(|planned| {
            let complete = holds(&report, &planned.request.model, &planned.request.adapter)
                && planned.evictions.is_empty();
            let in_progress = ordered.as_ref() == Some(&planned.request.model);
            !complete && (now < planned.deadline || in_progress)
        });
        if now.since(self.reported_at) > UNHEALTHY_MS {
            return;
        }
        self.retry_unanswered(&report);
        let Some(config) = self.config.clone() else { return };
        let service = config.service(&self.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return };
        // While a model is loaded or unloaded, the endpoint refuses every other order. Adapters
        // take about ten milliseconds and models at least hundreds, so adapters go first.
        if report.busy || self.model_order.is_some() || self.adapter_order.is_some() {
            return;
        }
        let (models, adapters): (Vec<_>, Vec<_>) =
            self.plan.iter().cloned().partition(|planned| planned.request.adapter.is_empty());
        for planned in adapters.iter().chain(&models) {
            if !self.can_order(&report) {
                return;
            }
            if planned.request.adapter.is_empty() {
                self.advance_model_load(planned, &report, engine);
            } else {
                self.advance_adapter_load(&planned.request, &report, engine);
            }
        }
    }

    /// Returns whether the last report includes all orders given, so that its sequence is reliable.
    fn can_order(&self, report: &EngineReport) -> bool {
        let orders = self.model_order.iter().chain(&self.adapter_order);
        self.reported_at > self.stale_until
            && orders.into_iter().all(|issued| report.sequence > issued.order.sequence)
    }

    /// Sends an order again that got no answer and has had no effect.
    fn retry_unanswered(&mut self, report: &EngineReport) {
        let now = self.now;
        let mut retries = Vec::new();
        for issued in [&mut self.model_order, &mut self.adapter_order].into_iter().flatten() {
            let unanswered = issued.outcome.is_none_or(|outcome| outcome == OrderOutcome::Unknown);
            let due = unanswered && now.since(issued.issued_at) > ORDER_RETRY_MS;
            if due && report.sequence == issued.order.sequence {
                issued.issued_at = now;
                issued.outcome = None;
                retries.push(issued.order.clone());
            }
        }
        for order in retries {
            self.log(LogEvent::new("order_repeated").with("order", order.number));
            self.effects.push(SideEffect::Order(order));
        }
    }

    fn advance_model_load(
        &mut self,
        planned: &PlannedLoad,
        report: &EngineReport,
        engine: &EngineSpec,
    ) {
        let request = &planned.request;
        let Some(spec) = engine.model(&request.model) else { return };
        if let Some(model) = planned.evictions.first() {
            if self.now.since(planned.planned_at) < EVICTION_NOTICE_MS {
                return;
            }
            self.issue(OrderKind::Unload, model, "", request, report);
            return;
        }
        // Memory is never overcommitted: held and pending models and adapters count in full.
        if used_mb(report, engine) + spec.weights_mb > engine.weights_mb {
            self.log(LogEvent::new("no_room").with("model", &request.model));
            self.plan.retain(|other| other.request != *request);
            return;
        }
        if report.has_cached_weights(&request.model)
            || self.take_store_permit(request.engine_count, engine)
        {
            self.issue(OrderKind::Load, &request.model, "", request, report);
        }
    }

    fn advance_adapter_load(
        &mut self,
        request: &LoadRequest,
        report: &EngineReport,
        engine: &EngineSpec,
    ) {
        let Some(spec) = engine.model(&request.model) else { return };
        if !holds(report, &request.model, "")
            || self.is_unloading(&request.model)
            || report.pending.contains(&full_name(&request.model, &request.adapter))
        {
            return;
        }
        let held = report.models.iter().map(|model| model.adapters.len()).sum::<usize>();
        let room = held + report.pending.len() < engine.adapter_limit as usize;
        if room && used_mb(report, engine) + spec.adapter_mb <= engine.weights_mb {
            self.issue(OrderKind::Load, &request.model, &request.adapter, request, report);
            return;
        }
        let adapters = report.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| (model.name.clone(), adapter.clone()))
        });
        let last_used = |model: &str, adapter: &str| {
            self.usage.get(&full_name(model, adapter)).map_or(Millis(0), |usage| usage.last_used)
        };
        let least_recent = adapters.min_by_key(|(model, adapter)| last_used(model, adapter));
        let Some((model, adapter)) = least_recent else { return };
        if self.now.since(last_used(&model, &adapter)) >= MIN_ADAPTER_RESIDENCY_MS {
            self.issue(OrderKind::Unload, &model, &adapter, request, report);
        }
    }

    /// Takes a permit for one load from the weight store, if one is available.
    ///
    /// Each engine gets an equal share of the store's rate, so that all together stay within it
    /// without a message or a call.
    fn take_store_permit(&mut self, engine_count: u32, engine: &EngineSpec) -> bool {
        let pause_ms = f64::from(engine_count.max(1)) * 1_000.0 / engine.loads_per_s.max(0.001);
        let early = |at: Millis| (self.now.since(at) as f64) < pause_ms;
        if self.last_store_load.is_some_and(early) {
            return false;
        }
        self.last_store_load = Some(self.now);
        true
    }

    fn issue(
        &mut self,
        kind: OrderKind,
        model: &str,
        adapter: &str,
        request: &LoadRequest,
        report: &EngineReport,
    ) {
        let Some(token) = self.token else { return };
        self.last_number += 1;
        let order = Order {
            number: self.last_number,
            kind,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            sequence: report.sequence,
            token,
            instance: request.instance.clone(),
        };
        self.log(
            LogEvent::new("order")
                .with("order", order.number)
                .with("kind", if kind == OrderKind::Load { "load" } else { "unload" })
                .with("model", model)
                .with("adapter", adapter)
                .with("wanted", &request.model)
                .with("waiting", request.waiting)
                .with("sequence", report.sequence)
                .with("age_ms", self.now.since(self.reported_at)),
        );
        let from_store =
            kind == OrderKind::Load && adapter.is_empty() && !report.has_cached_weights(model);
        let concurrent = request.store_loads;
        let issued = Some(IssuedOrder {
            order: order.clone(),
            issued_at: self.now,
            outcome: None,
            from_store,
            concurrent,
        });
        if adapter.is_empty() {
            self.model_order = issued;
        } else {
            self.adapter_order = issued;
        }
        self.effects.push(SideEffect::Order(order));
    }
}
