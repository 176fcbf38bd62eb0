//! Which order is given next.

use citronrill_base::Millis;
use citronrill_decide::LogEvent;
use citronrill_wire::Want;

use super::{
    EngineReport, Given, Order, OrderKind, OrderOutcome, Planned, PoolSide, SideEffect, UNSOUND_MS,
    report::{holds, used_mb},
};
use crate::{member::full_name, text::EngineSpec};

/// Milliseconds between the word that a model makes way and its unloading: entries hear it and
/// stop sending, or what is under way to the endpoint would be refused there.
const NOTICE_MS: u64 = 12;
/// Milliseconds for which an adapter stays once used: its request must have begun.
const ADAPTER_STAY_MS: u64 = 150;
/// Milliseconds after which an order that got no answer is given again. It cannot take effect
/// twice: both carry the same expected sequence.
const REPEAT_MS: u64 = 400;

impl PoolSide {
    /// Gives the next orders that are due.
    pub(super) fn advance(&mut self) {
        let now = self.now;
        let Some(report) = self.report.clone() else { return };
        // What an order is under way for stays planned: entries must see it coming.
        let ordered = self.model_order.as_ref().map(|given| given.order.model.clone());
        self.plan.retain(|one| {
            let met = holds(&report, &one.want.model, &one.want.adapter) && one.victims.is_empty();
            let current = ordered.as_ref() == Some(&one.want.model);
            !met && (now < one.until || current)
        });
        if now.since(self.seen) > UNSOUND_MS {
            return;
        }
        self.repeat_silent(&report);
        let Some(text) = self.text.clone() else { return };
        let service = text.service(&self.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return };
        // While a model comes or goes, the endpoint refuses every other order. Adapters take some
        // ten milliseconds and models hundreds at least, so adapters go first.
        if report.busy || self.model_order.is_some() || self.adapter_order.is_some() {
            return;
        }
        let (models, adapters): (Vec<_>, Vec<_>) =
            self.plan.iter().cloned().partition(|one| one.want.adapter.is_empty());
        for planned in adapters.iter().chain(&models) {
            if !self.can_order(&report) {
                return;
            }
            if planned.want.adapter.is_empty() {
                self.pursue_model(planned, &report, engine);
            } else {
                self.pursue_adapter(&planned.want, &report, engine);
            }
        }
    }

    /// Whether the last report shows all that was ordered, so that its sequence can be relied on.
    fn can_order(&self, report: &EngineReport) -> bool {
        let orders = self.model_order.iter().chain(&self.adapter_order);
        self.seen > self.stale_until
            && orders.into_iter().all(|given| report.sequence > given.order.sequence)
    }

    /// Gives an order again that got no answer and has had no effect.
    fn repeat_silent(&mut self, report: &EngineReport) {
        let now = self.now;
        let mut again = Vec::new();
        for given in [&mut self.model_order, &mut self.adapter_order].into_iter().flatten() {
            let silent = given.outcome.is_none_or(|outcome| outcome == OrderOutcome::Unknown);
            let due = silent && now.since(given.at) > REPEAT_MS;
            if due && report.sequence == given.order.sequence {
                given.at = now;
                given.outcome = None;
                again.push(given.order.clone());
            }
        }
        for order in again {
            self.log(LogEvent::new("order_repeated").with("order", order.number));
            self.effects.push(SideEffect::Order(order));
        }
    }

    fn pursue_model(&mut self, planned: &Planned, report: &EngineReport, engine: &EngineSpec) {
        let want = &planned.want;
        let Some(spec) = engine.model(&want.model) else { return };
        if let Some(victim) = planned.victims.first() {
            if self.now.since(planned.at) < NOTICE_MS {
                return;
            }
            self.give(OrderKind::Unload, victim, "", want, report);
            return;
        }
        // Memory is never overcommitted: what is held and on its way counts in full.
        if used_mb(report, engine) + spec.weights_mb > engine.weights_mb {
            self.log(LogEvent::new("no_room").with("model", &want.model));
            self.plan.retain(|one| one.want != *want);
            return;
        }
        if report.has_copy(&want.model) || self.take_store_load(want.fleet, engine) {
            self.give(OrderKind::Load, &want.model, "", want, report);
        }
    }

    fn pursue_adapter(&mut self, want: &Want, report: &EngineReport, engine: &EngineSpec) {
        let Some(spec) = engine.model(&want.model) else { return };
        if !holds(report, &want.model, "")
            || self.is_leaving(&want.model)
            || report.pending.contains(&full_name(&want.model, &want.adapter))
        {
            return;
        }
        let held = report.models.iter().map(|model| model.adapters.len()).sum::<usize>();
        let room = held + report.pending.len() < engine.adapter_limit as usize;
        if room && used_mb(report, engine) + spec.adapter_mb <= engine.weights_mb {
            self.give(OrderKind::Load, &want.model, &want.adapter, want, report);
            return;
        }
        let adapters = report.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| (model.name.clone(), adapter.clone()))
        });
        let last = |model: &str, adapter: &str| {
            self.usage.get(&full_name(model, adapter)).map_or(Millis(0), |usage| usage.last)
        };
        let oldest = adapters.min_by_key(|(model, adapter)| last(model, adapter));
        let Some((model, adapter)) = oldest else { return };
        if self.now.since(last(&model, &adapter)) >= ADAPTER_STAY_MS {
            self.give(OrderKind::Unload, &model, &adapter, want, report);
        }
    }

    /// Takes the right to one load from the weight store.
    ///
    /// Each engine takes its even part of the store's rate, so that all together stay within it
    /// without a message or a call.
    fn take_store_load(&mut self, fleet: u32, engine: &EngineSpec) -> bool {
        let pause_ms = f64::from(fleet.max(1)) * 1_000.0 / engine.loads_per_s.max(0.001);
        let early = |at: Millis| (self.now.since(at) as f64) < pause_ms;
        if self.store_load.is_some_and(early) {
            return false;
        }
        self.store_load = Some(self.now);
        true
    }

    fn give(
        &mut self,
        kind: OrderKind,
        model: &str,
        adapter: &str,
        want: &Want,
        report: &EngineReport,
    ) {
        let Some(token) = self.token else { return };
        self.numbers += 1;
        let order = Order {
            number: self.numbers,
            kind,
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            sequence: report.sequence,
            token,
            instance: want.instance.clone(),
        };
        self.log(
            LogEvent::new("order")
                .with("order", order.number)
                .with("kind", if kind == OrderKind::Load { "load" } else { "unload" })
                .with("model", model)
                .with("adapter", adapter)
                .with("wanted", &want.model)
                .with("waiting", want.waiting)
                .with("sequence", report.sequence)
                .with("age_ms", self.now.since(self.seen)),
        );
        let far = kind == OrderKind::Load && adapter.is_empty() && !report.has_copy(model);
        let concurrent = want.store_loads;
        let given =
            Some(Given { order: order.clone(), at: self.now, outcome: None, far, concurrent });
        if adapter.is_empty() {
            self.model_order = given;
        } else {
            self.adapter_order = given;
        }
        self.effects.push(SideEffect::Order(order));
    }
}
