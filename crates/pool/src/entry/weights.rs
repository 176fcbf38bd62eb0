//! When the weight store may be asked for a model.

use citronrill_base::ModelKey;

use super::{PoolEntry, demand::BUSY_RATE, replicas::CROWDED};
use crate::endpoint::Endpoint;

/// Engines for each load from the weight store that serves a rarely used model: with three at once
/// on nine engines, a third of them took no other order for six seconds.
const RARE_STORE_SHARE: u32 = 8;

impl PoolEntry {
    /// Whether the weight store may be asked for `model` now.
    ///
    /// When the endpoints have lost their copies, the store is what binds, and it must bring first
    /// what most requests miss: one more replica of a busy model serves more callers than any rare
    /// one.
    pub(super) fn store_open(&self, model: ModelKey) -> bool {
        // What is missed and what is asked for: right after all copies are lost nothing was missed
        // yet, and six rare models were asked for in the same millisecond before the busy one.
        let need = |key: &ModelKey| {
            let asked = self.demand.asked.get(key).map_or(0.0, |rate| rate.per_s(self.now));
            let busy = if asked < BUSY_RATE { 0.0 } else { asked };
            busy.max(self.demand.missed(*key, self.now))
        };
        let own = need(&model);
        let before = self.demand.asked.keys().filter(|key| {
            **key != model && !self.wants.contains_key(key) && need(key) > own && self.far(**key)
        });
        // A load of six seconds for one caller holds up an eighth of the endpoints at most, and never
        // takes the last place: a model that many wait for would stand behind it.
        let limit = self.store.limit();
        let engines = self.pool.endpoints.values().filter(|one| one.side.is_some()).count() as u32;
        let rare = (limit - 1).min(engines / RARE_STORE_SHARE).max(1);
        let limit = if own < BUSY_RATE { rare } else { limit };
        self.store_loads() + (before.count() as u32) < limit
    }

    /// Whether no endpoint has a copy of a model or holds it with room.
    pub(super) fn far(&self, model: ModelKey) -> bool {
        let near = |one: &Endpoint| {
            one.open()
                && (one.holding.has_copy(model)
                    || one.holding.models.contains(&model) && one.fill() < CROWDED)
        };
        !self.pool.endpoints.values().any(near)
    }

    /// Loads from the weight store that are planned or under way, or that this entry has just asked for.
    pub(super) fn store_loads(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|one| one.fresh_side(self.now));
        let told = sides.map(|side| side.store_loads).sum::<u32>();
        let unseen = self.wants.values().filter(|want| want.far && !want.seen && !want.declined);
        told + unseen.count() as u32
    }

    /// Takes what a finished load from the weight store says of how many the store bears.
    pub(super) fn learn_store(&mut self) {
        let loads = self.store_loads();
        let sides =
            self.pool.endpoints.iter().filter_map(|(id, one)| Some((id, one.side.as_ref()?)));
        let sides = sides.map(|(id, side)| (id.clone(), side.store_slow)).collect::<Vec<_>>();
        for (id, slow) in sides {
            self.store.hear(&id, slow, loads);
        }
    }
}
