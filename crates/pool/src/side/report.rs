//! What a report of the endpoint says of models, memory and orders.

use citronrill_base::Millis;
use citronrill_wire::SideState;

use super::{BUSY_POLL_MS, EngineReport, Given, OrderKind};
use crate::{member::full_name, text::EngineSpec};

/// Milliseconds that an unload may wait for its runs: longer than any route lets a request last.
const UNLOAD_MS: u64 = 16_000;

/// Whether two states differ only in what changes all the time.
pub(super) fn same_news(a: &SideState, b: &SideState) -> bool {
    let names = |state: &SideState| {
        let models =
            state.models.iter().map(|one| (one.name.clone(), one.adapters.clone(), one.fixed));
        models.collect::<Vec<_>>()
    };
    a.sequence == b.sequence
        && a.loading == b.loading
        && a.leaving == b.leaving
        && a.sound == b.sound
        && a.store_loads == b.store_loads
        && a.store_slow == b.store_slow
        && a.store_overdue == b.store_overdue
        && a.instance == b.instance
        && a.started == b.started
        && a.text == b.text
        && names(a) == names(b)
}

/// How an order has ended, if it has.
pub(super) fn outcome_of(given: &Given, report: &EngineReport, now: Millis) -> Option<bool> {
    let order = &given.order;
    let there = holds(report, &order.model, &order.adapter);
    let done = match order.kind {
        OrderKind::Load => there,
        OrderKind::Unload => !there,
    };
    if done {
        return Some(true);
    }
    // An unload waits for its runs, and meanwhile the model is still told as held.
    let unloading = order.kind == OrderKind::Unload && now.since(given.at) < UNLOAD_MS;
    let coming = report.pending.contains(&full_name(&order.model, &order.adapter));
    let accepted = report.sequence > order.sequence;
    let over = accepted && !report.busy && !coming && now.since(given.at) > BUSY_POLL_MS;
    (over && !unloading).then_some(false)
}

pub(super) fn holds(report: &EngineReport, model: &str, adapter: &str) -> bool {
    let held = report.models.iter().find(|held| held.name == model);
    held.is_some_and(|held| adapter.is_empty() || held.adapters.iter().any(|one| one == adapter))
}

/// Memory taken by what is held or on its way, in MB.
pub(super) fn used_mb(report: &EngineReport, engine: &EngineSpec) -> f64 {
    let spec = |name: &str| engine.model(name);
    let held = report.models.iter().map(|model| {
        spec(&model.name)
            .map_or(0.0, |spec| spec.weights_mb + spec.adapter_mb * model.adapters.len() as f64)
    });
    let coming = report.pending.iter().filter_map(|name| {
        let (model, _) = name.split_once('/')?;
        spec(model).map(|spec| spec.adapter_mb)
    });
    held.sum::<f64>() + coming.sum::<f64>()
}
