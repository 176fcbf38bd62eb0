//! When the weight store may be asked for a model.

use citronrill_base::ModelKey;
use citronrill_decide::LogEvent;

use super::{
    PoolEntry,
    demand::{BUSY_RATE, OWN_RATE},
    replicas::CROWDED,
};
use crate::endpoint::Endpoint;

/// Requests a second from which a model that nobody has a copy of is brought in before it was missed.
const IN_DEMAND_RATE: f64 = 8.0;
/// Milliseconds of one entry's turn to ask the weight store: a side's word of what it has planned is heard
/// by all entries within a few, and each entry looks every twenty.
const TURN_MS: u64 = 40;
/// Entries up to which they need no turns: few act in the same millisecond.
const FEW_ENTRIES: u64 = 8;
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
        if !self.store_turn() {
            return false;
        }
        let own = if self.far(model) { self.need(model) } else { self.missed(model) };
        let mut others = self.missed_models();
        others.extend(self.demand.asked.keys().copied());
        let before = others.into_iter().filter(|key| {
            *key != model
                && !self.wants.contains_key(key)
                && self.need(*key) > own
                && self.far(*key)
                && self.coming(*key) == 0
        });
        // A load of six seconds for one caller holds up an eighth of the endpoints at most, and never
        // takes the last place: a model that many wait for would stand behind it.
        let limit = self.store.limit();
        let engines = self.pool.endpoints.values().filter(|one| one.side.is_some()).count() as u32;
        let rare = (limit - 1).min(engines / RARE_STORE_SHARE).max(1);
        let limit = if own < BUSY_RATE { rare } else { limit };
        self.store_loads() + (before.count() as u32) < limit
    }

    /// Whether it is this entry's turn to ask the weight store for a model.
    ///
    /// All entries hear at the same moment that the store has room. 68 of them asked for eight models within
    /// a millisecond, before one could hear of another, and each load then took eight times as long.
    pub(super) fn store_turn(&self) -> bool {
        let entries = u64::from(self.entries());
        let turn = (self.now.0 + self.profile.seed % (entries * TURN_MS)) / TURN_MS;
        entries <= FEW_ENTRIES || turn.is_multiple_of(entries)
    }

    /// Requests a second that go unserved, over all entries, while no endpoint has a copy of a model.
    ///
    /// What is missed and what is asked for: right after all copies are lost nothing was missed
    /// yet, and six rare models were asked for in the same millisecond before the busy one.
    fn need(&self, model: ModelKey) -> f64 {
        let own = self.demand.asked.get(&model).map_or(0.0, |rate| rate.per_s(self.now));
        let asked = if own < OWN_RATE { 0.0 } else { own * f64::from(self.entries()) };
        let in_demand = if asked < IN_DEMAND_RATE { 0.0 } else { asked };
        in_demand.max(self.missed(model))
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
        let before = self.store.limit();
        let sides =
            self.pool.endpoints.iter().filter_map(|(id, one)| Some((id, one.side.as_ref()?)));
        for (id, side) in sides {
            if side.store_overdue > 0 {
                self.store.hear_late(side.store_overdue, side.store_concurrent, self.now);
            } else {
                self.store.hear_ended(id, side.store_slow, side.store_concurrent, self.now);
            }
        }
        let limit = self.store.limit();
        if limit != before {
            let loads = self.store_loads();
            let event = LogEvent::new("store_limit").with("limit", limit).with("before", before);
            self.log(event.with("loads", loads));
        }
    }
}
