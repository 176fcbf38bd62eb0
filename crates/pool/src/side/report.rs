//! Evaluation of the endpoint's reports: models held, memory used, orders completed.

use citronrill_base::Millis;
use citronrill_wire::SideState;

use super::{BUSY_POLL_MS, EngineReport, IssuedOrder, OrderKind};
use crate::{config::EngineSpec, member::full_name};

/// Milliseconds that an unload may wait for running requests: longer than the timeout of any route.
const UNLOAD_TIMEOUT_MS: u64 = 16_000;

/// Change of the number of requests at an endpoint that is published at once: one request more or
/// less changes no choice.
const MIN_LOAD_CHANGE: u32 = 2;
/// Part of a larger load, or of the pace, by which it must change to be published at once.
const LOAD_CHANGE_DIVISOR: u32 = 4;

/// Returns whether two states differ only in fields that change all the time.
pub(super) fn same_except_load(a: &SideState, b: &SideState) -> bool {
    let names = |state: &SideState| {
        let models = state.models.iter().map(|model| {
            (model.name.clone(), model.adapters.clone(), model.pinned, model.from_store)
        });
        models.collect::<Vec<_>>()
    };
    let limits = |state: &SideState| {
        let limits = state.endpoint_limits.iter();
        limits.map(|limit| (limit.instance.clone(), limit.milli)).collect::<Vec<_>>()
    };
    a.sequence == b.sequence
        && a.loading == b.loading
        && a.evicting == b.evicting
        && a.healthy == b.healthy
        && a.leaving == b.leaving
        && a.store_loads == b.store_loads
        && a.store_slowdown == b.store_slowdown
        && a.store_overdue == b.store_overdue
        && a.instance == b.instance
        && a.started == b.started
        && a.config_version == b.config_version
        && limits(a) == limits(b)
        && names(a) == names(b)
}

/// Returns whether the load or the pace has changed so much that entries would misjudge the endpoint: between
/// two states, several entries that see the same idle endpoint dispatch their next streams there.
pub(super) fn load_moved(published: &SideState, state: &SideState) -> bool {
    let load = |state: &SideState| state.active + state.queued;
    let (old, new) = (load(published), load(state));
    let pace_moved =
        published.pace.abs_diff(state.pace) > published.pace.min(state.pace) / LOAD_CHANGE_DIVISOR;
    pace_moved || old.abs_diff(new) >= MIN_LOAD_CHANGE.max(old / LOAD_CHANGE_DIVISOR)
}

/// Returns how an order has ended (`true` if it succeeded), or `None` if it has not ended.
pub(super) fn order_result(
    issued: &IssuedOrder,
    report: &EngineReport,
    now: Millis,
) -> Option<bool> {
    let order = &issued.order;
    let held = holds(report, &order.model, &order.adapter);
    let done = match order.kind {
        OrderKind::Load => held,
        OrderKind::Unload => !held,
    };
    if done {
        return Some(true);
    }
    // An unload waits for running requests, and the model is reported as held in the meantime.
    let unloading =
        order.kind == OrderKind::Unload && now.since(issued.issued_at) < UNLOAD_TIMEOUT_MS;
    let pending = report.pending.contains(&full_name(&order.model, &order.adapter));
    let accepted = report.sequence > order.sequence;
    let ended = accepted && !report.busy && !pending && now.since(issued.issued_at) > BUSY_POLL_MS;
    (ended && !unloading).then_some(false)
}

pub(super) fn holds(report: &EngineReport, model: &str, adapter: &str) -> bool {
    let held = report.models.iter().find(|held| held.name == model);
    held.is_some_and(|held| adapter.is_empty() || held.adapters.iter().any(|name| name == adapter))
}

/// Returns the memory used by held and pending models and adapters, in MB.
pub(super) fn used_mb(report: &EngineReport, engine: &EngineSpec) -> f64 {
    let spec = |name: &str| engine.model(name);
    let held = report.models.iter().map(|model| {
        spec(&model.name)
            .map_or(0.0, |spec| spec.weights_mb + spec.adapter_mb * model.adapters.len() as f64)
    });
    let pending = report.pending.iter().filter_map(|name| {
        let (model, _) = name.split_once('/')?;
        spec(model).map(|spec| spec.adapter_mb)
    });
    held.sum::<f64>() + pending.sum::<f64>()
}
