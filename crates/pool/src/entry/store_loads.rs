//! Admission of loads from the weight store.

use citronrill_base::ModelKey;
use citronrill_decide::LogEvent;

use super::{PoolEntry, demand::MIN_LOCAL_RATE, replicas::CROWDED_FILL};
use crate::{config::LATE_LOAD_MILLI, endpoint::Endpoint};

/// Requests per second above which a model without any cached weights is loaded before its first
/// miss.
const IN_DEMAND_RATE: f64 = 8.0;
/// Unserved requests per second from which a model may take the last load slot of the weight store.
const LAST_SLOT_RATE: f64 = 1.0;
/// Milliseconds of one entry's turn to use the weight store. A side's report of its planned loads
/// reaches all entries within a few milliseconds, and each entry checks every 20 ms.
const TURN_MS: u64 = 40;
/// Maximum number of entries that need no turns: so few entries rarely act in the same millisecond.
const MAX_UNORDERED_ENTRIES: u64 = 8;
/// Engines for each load from the weight store that serves a rarely used model. With three such
/// loads on nine engines, a third of the engines took no other order for six seconds.
const ENGINES_PER_RARE_LOAD: u32 = 8;

impl PoolEntry {
    /// Returns whether a load of `model` from the weight store may be requested now.
    ///
    /// When the endpoints have lost their cached weights, the store is the bottleneck, and must
    /// first load the models with the most misses: one more replica of a busy model serves more
    /// callers than any rare model.
    pub(super) fn store_open(&self, model: ModelKey) -> bool {
        if !self.has_store_turn() {
            return false;
        }
        let model_rate = if self.only_in_store(model) {
            self.unserved_rate(model)
        } else {
            self.miss_rate(model)
        };
        let mut others = self.missed_models();
        others.extend(self.demand.requested.keys().copied());
        let ahead = others.into_iter().filter(|key| {
            *key != model
                && !self.load_requests.contains_key(key)
                && self.unserved_rate(*key) > model_rate
                && self.only_in_store(*key)
                && self.loading_count(*key) == 0
        });
        // A load of six seconds for one caller occupies an eighth of the endpoints at most, and
        // never takes the last load slot: a model that many callers wait for would queue behind it.
        let limit = self.store_limit.limit();
        let engines =
            self.pool.endpoints.values().filter(|endpoint| endpoint.side.is_some()).count() as u32;
        let rare_limit = (limit - 1).min(engines / ENGINES_PER_RARE_LOAD).max(1);
        let limit = if model_rate < LAST_SLOT_RATE { rare_limit } else { limit };
        self.store_loads() + (ahead.count() as u32) < limit
    }

    /// Returns whether it is this entry's turn to use the weight store.
    ///
    /// All entries learn at the same moment that the store has capacity. Without turns, 68 entries
    /// requested eight models within a millisecond, before any could learn of another entry's
    /// request, and each load then took eight times as long.
    pub(super) fn has_store_turn(&self) -> bool {
        let entries = u64::from(self.entries());
        let turn = (self.now.0 + self.profile.seed % (entries * TURN_MS)) / TURN_MS;
        entries <= MAX_UNORDERED_ENTRIES || turn.is_multiple_of(entries)
    }

    /// Returns the unserved requests per second, over all entries, while no endpoint has a model's
    /// weights cached.
    ///
    /// Counts misses as well as requests: right after all cached weights were lost, nothing had
    /// been missed yet, and six rare models were requested in the same millisecond before the busy
    /// one.
    fn unserved_rate(&self, model: ModelKey) -> f64 {
        let own = self.demand.requested.get(&model).map_or(0.0, |rate| rate.per_s(self.now));
        let requested = if own < MIN_LOCAL_RATE { 0.0 } else { own * f64::from(self.entries()) };
        let in_demand = if requested < IN_DEMAND_RATE { 0.0 } else { requested };
        in_demand.max(self.miss_rate(model))
    }

    /// Returns whether no endpoint has a model's weights cached, and none that holds the model has
    /// room.
    pub(super) fn only_in_store(&self, model: ModelKey) -> bool {
        let available = |endpoint: &Endpoint| {
            endpoint.accepts_requests()
                && (endpoint.inventory.has_cached_weights(model)
                    || endpoint.inventory.models.contains(&model)
                        && endpoint.load_ratio() < CROWDED_FILL)
        };
        !self.pool.endpoints.values().any(available)
    }

    /// Returns the loads from the weight store that are planned, in progress, or just requested by
    /// this entry.
    pub(super) fn store_loads(&self) -> u32 {
        let sides =
            self.pool.endpoints.values().filter_map(|endpoint| endpoint.fresh_side(self.now));
        let reported = sides.map(|side| side.store_loads).sum::<u32>();
        let unconfirmed = self.load_requests.values().filter(|load_request| {
            load_request.from_store && !load_request.confirmed && !load_request.declined
        });
        reported + unconfirmed.count() as u32
    }

    /// Updates the limit on concurrent loads from the reported load times.
    pub(super) fn update_store_limit(&mut self) {
        let previous = self.store_limit.limit();
        let sides = self
            .pool
            .endpoints
            .iter()
            .filter_map(|(id, endpoint)| Some((id, endpoint.side.as_ref()?)));
        for (id, side) in sides {
            // A load alone that is late says nothing about how many the store carries.
            let late = side.store_overdue > 0 || side.store_slowdown >= LATE_LOAD_MILLI;
            let alone = late && side.store_concurrent == 1;
            if alone && self.pool.endpoints.get(id).is_some_and(|e| self.by_wait(&e.member.service))
            {
                continue;
            }
            if side.store_overdue > 0 {
                self.store_limit.record_late(side.store_overdue, side.store_concurrent, self.now);
            } else {
                self.store_limit.record_finished(
                    id,
                    side.store_slowdown,
                    side.store_concurrent,
                    self.now,
                );
            }
        }
        let limit = self.store_limit.limit();
        if limit != previous {
            let loads = self.store_loads();
            let event = LogEvent::new("store_limit").with("limit", limit).with("before", previous);
            self.log(event.with("loads", loads));
        }
    }
}
