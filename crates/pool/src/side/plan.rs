//! Acceptance of load requests, and selection of the models to evict for them.

use citronrill_decide::LogEvent;
use citronrill_wire::{LoadRequest, ModelName};

use super::{EntryLink, OrderKind, PlannedLoad, PoolSide, SideEffect, report::holds};

/// Milliseconds for which a model is kept after it was loaded on request: requests that wait for it
/// at entries are on their way.
const MIN_RESIDENCY_MS: u64 = 300;
/// Maximum number of planned loads; more cannot be completed in time (a load takes over 400 ms).
const MAX_PLANNED_LOADS: usize = 16;

impl PoolSide {
    /// Plans the load that an entry requests, or declines it immediately.
    ///
    /// Room is reserved and eviction candidates are fixed when the request is accepted, and
    /// published to all entries with the next state. Otherwise several entries that act at the same
    /// moment could each rely on the other replicas of a busy model, and all of them would be
    /// unloaded.
    pub(super) fn handle_load_request(&mut self, link: EntryLink, request: LoadRequest) {
        let deadline = self.now + request.ttl_ms;
        let same = |planned: &&mut PlannedLoad| {
            planned.request.model == request.model && planned.request.adapter == request.adapter
        };
        if let Some(planned) = self.plan.iter_mut().find(same) {
            planned.deadline = planned.deadline.max(deadline);
            return;
        }
        let candidates = request.eviction_candidates.clone();
        let current = self.incarnation.start_time().map(|start| start.0);
        let other_incarnation =
            request.started.zip(current).is_some_and(|(requested, current)| requested != current);
        let not_current =
            other_incarnation || !self.incarnation_name.is_current(&request.instance, self.now);
        let evictions = if not_current {
            None
        } else if request.adapter.is_empty() {
            self.choose_evictions(&request)
        } else {
            Some(Vec::new())
        };
        match evictions {
            Some(evictions) if self.plan.len() < MAX_PLANNED_LOADS => {
                self.log(
                    LogEvent::new("planned")
                        .with("model", &request.model)
                        .with("adapter", &request.adapter)
                        .with("victims", evictions.join(","))
                        .with("before", self.plan.len())
                        .with("waiting", request.waiting),
                );
                self.plan.push_back(PlannedLoad {
                    request,
                    deadline,
                    planned_at: self.now,
                    evictions,
                });
            }
            _ => {
                let name = ModelName { model: request.model, adapter: request.adapter };
                let free = self.free_mb();
                let protected = candidates.iter().filter(|name| self.is_protected(name)).count();
                let unloading = candidates.iter().filter(|name| self.is_unloading(name)).count();
                self.log(
                    LogEvent::new("declined")
                        .with("model", &name.model)
                        .with("gone", not_current)
                        .with("free_mb", free as i64)
                        .with("victims", candidates.join(","))
                        .with("stays", protected)
                        .with("leaving", unloading)
                        .with("planned", self.plan.len()),
                );
                self.effects.push(SideEffect::Decline(link, name));
            }
        }
    }

    /// Returns the memory that is free once all planned loads and evictions are complete, in MB.
    fn free_mb(&self) -> f64 {
        let (Some(report), Some(engine)) = (&self.report, self.engine()) else { return 0.0 };
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let pending = self.plan.iter().filter(|planned| planned.request.adapter.is_empty());
        let pending = pending.filter(|planned| !holds(report, &planned.request.model, ""));
        let pending = pending.map(|planned| size(&planned.request.model)).sum::<f64>();
        let freed = self.plan.iter().flat_map(|planned| &planned.evictions).map(|name| size(name));
        let held = report.models.iter().map(|model| size(&model.name)).sum::<f64>();
        engine.weights_mb - held - pending + freed.sum::<f64>()
    }

    /// Returns the models to evict for the requested model, or `None` if it cannot be loaded.
    fn choose_evictions(&self, request: &LoadRequest) -> Option<Vec<String>> {
        let report = self.report.as_ref()?;
        let engine = self.engine()?;
        let size = |name: &str| engine.model(name).map_or(0.0, |spec| spec.weights_mb);
        let spec = engine.model(&request.model)?;
        if holds(report, &request.model, "") && !self.is_unloading(&request.model) {
            return Some(Vec::new());
        }
        let adapters = f64::from(engine.adapter_limit) * spec.adapter_mb;
        let mut free = self.free_mb() - adapters;
        let mut evictions = Vec::new();
        let mut candidates = request.eviction_candidates.iter().filter(|name| {
            holds(report, name, "") && !self.is_unloading(name) && !self.is_protected(name)
        });
        while free < spec.weights_mb {
            let model = candidates.next()?;
            free += size(model);
            evictions.push(model.clone());
        }
        Some(evictions)
    }

    pub(super) fn is_unloading(&self, model: &str) -> bool {
        self.unloading().any(|name| name == model)
    }

    /// Returns the models that are being unloaded or are planned to be.
    pub(super) fn unloading(&self) -> impl Iterator<Item = &String> {
        let ordered = self.model_order.iter().map(|issued| &issued.order);
        let ordered = ordered.filter(|order| order.kind == OrderKind::Unload);
        let planned = self.plan.iter().flat_map(|planned| &planned.evictions);
        ordered.map(|order| &order.model).chain(planned)
    }

    /// Returns whether a model must not be evicted, because it was loaded recently or its load is
    /// planned.
    pub(super) fn is_protected(&self, model: &str) -> bool {
        let loaded_at = self.loaded_at.get(model);
        loaded_at.is_some_and(|at| self.now.since(*at) < MIN_RESIDENCY_MS)
            || self.store_resident(model)
            || self.plan.iter().any(|planned| planned.request.model == model)
    }
}
