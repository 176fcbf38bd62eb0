//! A toy engine on virtual time.

use std::collections::{BTreeMap, BTreeSet};

use citronrill_base::Map;
use citronrill_decide::{
    CallId, HeldModel,
    rows::{Cached, Tier},
};

use crate::world::cached;

/// Models whose weights stay in the host's memory.
const RAM_CACHE: usize = 6;

/// An order to load, as it reaches the engine.
#[derive(Debug, Clone)]
pub(crate) struct LoadStart {
    pub(crate) order: u64,
    pub(crate) model: String,
    pub(crate) base: String,
    pub(crate) fence: u64,
    pub(crate) memory_mb: u64,
    pub(crate) peak_mb: u64,
}

#[derive(Debug, Clone)]
struct Held {
    order: u64,
    ready: bool,
    adapter: bool,
    remote: bool,
    fails: bool,
    memory_mb: u64,
    loaded_mb: u64,
}

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) memory_mb: u64,
    pub(crate) fencing: bool,
    pub(crate) alive: bool,
    pub(crate) loads: u64,
    pub(crate) remote_loads: u64,
    pub(crate) disk: BTreeSet<String>,
    fence: u64,
    held: BTreeMap<String, Held>,
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
            held: BTreeMap::new(),
            ram: Vec::new(),
            calls: Map::default(),
        }
    }

    /// Ends with its instance.
    pub(crate) fn lose(&mut self) {
        self.restart();
        self.alive = false;
    }

    /// Starts again with nothing loaded; what is on disk stays.
    pub(crate) fn restart(&mut self) {
        self.held.clear();
        self.ram.clear();
        self.calls.clear();
        self.remote_loads = 0;
        self.fence = 0;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Models that it holds, with their memory in MB.
    pub(crate) fn held(&self) -> impl Iterator<Item = (&str, u64)> {
        self.held.iter().map(|(model, held)| (model.as_str(), held.memory_mb))
    }

    pub(crate) fn used_mb(&self) -> u64 {
        self.held.values().map(|held| held.memory_mb).sum()
    }

    pub(crate) fn report(&self) -> Vec<HeldModel> {
        let model = |(model, held): (&String, &Held)| HeldModel {
            model: model.clone(),
            ready: held.ready,
            memory_mb: held.memory_mb,
        };
        self.held.iter().map(model).collect()
    }

    pub(crate) fn cached(&self) -> Vec<Cached> {
        self.disk.iter().map(|model| cached(model, self.tier(model))).collect()
    }

    pub(crate) fn tier(&self, model: &str) -> Tier {
        if self.ram.iter().any(|it| it == model) {
            return Tier::Ram;
        }
        if self.disk.contains(model) { Tier::Disk } else { Tier::Remote }
    }

    /// Serving models, adapters not counted, on which nothing runs.
    pub(crate) fn idle_bases(&self) -> usize {
        let bases = self.held.iter().filter(|(_, held)| held.ready && !held.adapter);
        bases.filter(|(model, _)| !self.calls.values().any(|it| it == *model)).count()
    }

    /// Begins a load: whether it runs now and was not running before.
    ///
    /// # Errors
    /// The order is refused; with a violation if it would have overcommitted the memory.
    pub(crate) fn begin_load(
        &mut self,
        order: &LoadStart,
        tier: Tier,
        fails: bool,
    ) -> Result<bool, Option<String>> {
        if !self.alive || (self.fencing && order.fence < self.fence) {
            return Err(None);
        }
        self.fence = self.fence.max(order.fence);
        if self.held.contains_key(&order.model) {
            return Ok(false);
        }
        if !order.base.is_empty() && !self.held.get(&order.base).is_some_and(|it| it.ready) {
            return Err(None);
        }
        let peak = order.peak_mb.max(order.memory_mb);
        if self.used_mb() + peak > self.memory_mb {
            let text = format!("{order:?} overcommits: {:?} of {}", self.held, self.memory_mb);
            return Err(Some(text));
        }
        let remote = tier == Tier::Remote;
        self.loads += 1;
        self.remote_loads += u64::from(remote);
        let held = Held {
            order: order.order,
            ready: false,
            adapter: !order.base.is_empty(),
            remote,
            fails,
            memory_mb: peak,
            loaded_mb: order.memory_mb,
        };
        self.held.insert(order.model.clone(), held);
        Ok(true)
    }

    /// A load's time is over; whether the model serves.
    pub(crate) fn loaded(&mut self, order: u64, model: &str) -> bool {
        let Some(held) = self.held.get_mut(model).filter(|it| it.order == order) else {
            return false;
        };
        if held.ready {
            return true;
        }
        self.remote_loads -= u64::from(held.remote);
        if held.fails {
            self.held.remove(model);
            return false;
        }
        held.ready = true;
        held.memory_mb = held.loaded_mb;
        self.disk.insert(model.to_owned());
        self.ram.retain(|it| it != model);
        self.ram.push(model.to_owned());
        if self.ram.len() > RAM_CACHE {
            self.ram.remove(0);
        }
        true
    }

    /// Unloads a model that serves; a load that runs is not broken off.
    pub(crate) fn unload(&mut self, model: &str, fence: u64) -> bool {
        if !self.alive || (self.fencing && fence < self.fence) {
            return false;
        }
        self.fence = self.fence.max(fence);
        match self.held.get(model) {
            Some(held) if !held.ready => false,
            _ => {
                self.held.remove(model);
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
