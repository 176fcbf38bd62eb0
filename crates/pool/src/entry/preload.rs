//! What is loaded before anybody asks.
//!
//! The load pattern that this answers: a pool is started some ten seconds before its callers come, with room
//! for fewer models than the text names. The weight store stands idle in those seconds, and then needs longer
//! for each model that nobody has than any caller waits.

use citronrill_base::ModelKey;
use citronrill_decide::LogEvent;

use super::{PoolEntry, placement::MISS_MS};
use crate::text::EngineSpec;

/// Milliseconds without a further endpoint in the list until what no endpoint has a copy of is known to be
/// away: endpoints register one after the other, and the list is read every second.
const SETTLE_MS: u64 = 1_500;
/// Milliseconds from the last further endpoint after which nothing more is preloaded: endpoints whose disks
/// hold less than all models would otherwise load them by turns for as long as nobody asks.
const SPAN_MS: u64 = 30_000;
/// Loads at once: a second one tells whether the weight store carries more than one at full speed.
const PRELOADS: u32 = 2;

impl PoolEntry {
    /// Has models brought in that no endpoint has a copy of, while nothing is asked for.
    pub(super) fn preload(&mut self) {
        let settled_ms = self.stock.settled_ms(self.now).unwrap_or(0);
        let due = (SETTLE_MS..SPAN_MS).contains(&settled_ms);
        if !due || self.store_loads() >= PRELOADS || !self.idle() {
            return;
        }
        let Some(text) = self.text.clone() else { return };
        for service in &text.services {
            let Some(engine) = &service.engine else { continue };
            if !self.all_heard(&service.name) {
                continue;
            }
            let Some(key) = self.first_absent(&service.name, engine) else { continue };
            let name = self.names.name(key).to_owned();
            let place = self.place_from(&service.name, &name, key, MISS_MS, true);
            let Some(place) = place else { continue };
            let event = LogEvent::new("preload").with("model", &name).with("at", &place.instance);
            self.log(event);
            let ready_ms = place.ready_ms as u64;
            self.ask(key, &place.instance, place.victims, ready_ms, 2 * ready_ms);
        }
    }

    /// Whether nobody asks for any model.
    fn idle(&self) -> bool {
        let sides = self.pool.endpoints.values().filter_map(|one| one.fresh_side(self.now));
        let asked = sides.flat_map(|side| &side.rates).any(|(_, rate)| *rate > 0.0);
        !asked && self.demand.asked.is_empty()
    }

    /// Whether each engine of a service is heard of.
    fn all_heard(&self, service: &str) -> bool {
        let mut open = self.pool.endpoints.values().filter(|one| one.open());
        open.all(|one| one.member.service != service || one.fresh_side(self.now).is_some())
    }

    /// The first model of the text that no endpoint has, and that nobody brings in.
    fn first_absent(&mut self, service: &str, engine: &EngineSpec) -> Option<ModelKey> {
        let copies = self.copies(service);
        let keys = engine.models.iter().map(|model| self.names.intern(&model.name));
        let keys = keys.collect::<Vec<_>>();
        keys.into_iter().find(|key| !copies.contains_key(key) && !self.wants.contains_key(key))
    }
}
