//! A simulated engine on virtual time.

use std::collections::{BTreeMap, BTreeSet};

use citronrill_base::Map;
use citronrill_decide::{
    CallId, EngineModel,
    rows::{Cached, Tier},
};

use crate::simulation::cached;

/// Number of models whose weights stay cached in RAM.
const RAM_CACHE_MODELS: usize = 6;

/// A load order as received by the engine.
#[derive(Debug, Clone)]
pub(crate) struct LoadOrder {
    pub(crate) order: u64,
    pub(crate) model: String,
    pub(crate) base: String,
    pub(crate) fence: u64,
    pub(crate) memory_mb: u64,
    pub(crate) peak_mb: u64,
}

#[derive(Debug, Clone)]
struct ModelState {
    order: u64,
    ready: bool,
    adapter: bool,
    remote: bool,
    will_fail: bool,
    memory_mb: u64,
    loaded_mb: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) memory_mb: u64,
    pub(crate) fencing: bool,
    pub(crate) alive: bool,
    pub(crate) loads: u64,
    pub(crate) remote_loads: u64,
    pub(crate) disk: BTreeSet<String>,
    fence: u64,
    models: BTreeMap<String, ModelState>,
    ram: Vec<String>,
    calls: Map<CallId, String>,
}

impl Engine {
    pub(crate) fn new(memory_mb: u64, fencing: bool) -> Engine {
        Engine {
            memory_mb,
            fencing,
            alive: true,
            loads: 0,
            remote_loads: 0,
            disk: BTreeSet::new(),
            fence: 0,
            models: BTreeMap::new(),
            ram: Vec::new(),
            calls: Map::default(),
        }
    }

    /// Terminates the engine together with its instance.
    pub(crate) fn terminate(&mut self) {
        self.restart();
        self.alive = false;
    }

    /// Restarts the engine with no models loaded; the disk cache stays.
    pub(crate) fn restart(&mut self) {
        self.models.clear();
        self.ram.clear();
        self.calls.clear();
        self.remote_loads = 0;
        self.fence = 0;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Returns the loaded and loading models, with their memory in MB.
    pub(crate) fn models(&self) -> impl Iterator<Item = (&str, u64)> {
        self.models.iter().map(|(model, state)| (model.as_str(), state.memory_mb))
    }

    pub(crate) fn used_mb(&self) -> u64 {
        self.models.values().map(|state| state.memory_mb).sum()
    }

    pub(crate) fn report(&self) -> Vec<EngineModel> {
        let model = |(model, state): (&String, &ModelState)| EngineModel {
            model: model.clone(),
            ready: state.ready,
            memory_mb: state.memory_mb,
        };
        self.models.iter().map(model).collect()
    }

    pub(crate) fn cached(&self) -> Vec<Cached> {
        self.disk.iter().map(|model| cached(model, self.tier(model))).collect()
    }

    pub(crate) fn tier(&self, model: &str) -> Tier {
        if self.ram.iter().any(|cached| cached == model) {
            return Tier::Ram;
        }
        if self.disk.contains(model) { Tier::Disk } else { Tier::Remote }
    }

    /// Returns the number of ready models without running calls, adapters excluded.
    pub(crate) fn idle_bases(&self) -> usize {
        let bases = self.models.iter().filter(|(_, state)| state.ready && !state.adapter);
        bases.filter(|(model, _)| !self.calls.values().any(|called| called == *model)).count()
    }

    /// Begins a load. Returns `false` if the model is already loading or loaded.
    ///
    /// # Errors
    /// The order is refused; the error has a violation if the load would overcommit the memory.
    pub(crate) fn begin_load(
        &mut self,
        order: &LoadOrder,
        tier: Tier,
        will_fail: bool,
    ) -> Result<bool, Option<String>> {
        if !self.alive || (self.fencing && order.fence < self.fence) {
            return Err(None);
        }
        self.fence = self.fence.max(order.fence);
        if self.models.contains_key(&order.model) {
            return Ok(false);
        }
        if !order.base.is_empty() && !self.models.get(&order.base).is_some_and(|base| base.ready) {
            return Err(None);
        }
        let peak = order.peak_mb.max(order.memory_mb);
        if self.used_mb() + peak > self.memory_mb {
            let violation = format!(
                "{order:?} exceeds the memory: {:?} already loaded, {} MB in total",
                self.models, self.memory_mb
            );
            return Err(Some(violation));
        }
        let remote = tier == Tier::Remote;
        self.loads += 1;
        self.remote_loads += u64::from(remote);
        let state = ModelState {
            order: order.order,
            ready: false,
            adapter: !order.base.is_empty(),
            remote,
            will_fail,
            memory_mb: peak,
            loaded_mb: order.memory_mb,
        };
        self.models.insert(order.model.clone(), state);
        Ok(true)
    }

    /// Ends a load. Returns whether the model is ready.
    pub(crate) fn loaded(&mut self, order: u64, model: &str) -> bool {
        let Some(state) = self.models.get_mut(model).filter(|state| state.order == order) else {
            return false;
        };
        if state.ready {
            return true;
        }
        self.remote_loads -= u64::from(state.remote);
        if state.will_fail {
            self.models.remove(model);
            return false;
        }
        state.ready = true;
        state.memory_mb = state.loaded_mb;
        self.disk.insert(model.to_owned());
        self.ram.retain(|cached| cached != model);
        self.ram.push(model.to_owned());
        if self.ram.len() > RAM_CACHE_MODELS {
            self.ram.remove(0);
        }
        true
    }

    /// Unloads a ready model; a load in progress is not aborted. Returns whether the model is gone.
    pub(crate) fn unload(&mut self, model: &str, fence: u64) -> bool {
        if !self.alive || (self.fencing && fence < self.fence) {
            return false;
        }
        self.fence = self.fence.max(fence);
        match self.models.get(model) {
            Some(state) if !state.ready => false,
            _ => {
                self.models.remove(model);
                true
            }
        }
    }

    pub(crate) fn begin_call(&mut self, model: &str, call: CallId) {
        self.calls.insert(call, model.to_owned());
    }

    pub(crate) fn end_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }
}
