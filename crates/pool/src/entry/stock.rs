//! Copies of models as a stock that is kept.
//!
//! The load pattern that this answers: endpoints are replaced one after the other, and each new one
//! comes with nothing on its disk. A model whose last copy goes away is missed by its callers for as
//! long as the weight store takes, and the store brings back less than one model a second. Most of that
//! time it stands idle before the copies are gone: who waits for the first miss loses those seconds.

use citronrill_base::{Map, Millis, ModelKey};
use citronrill_decide::LogEvent;

use super::{
    PoolEntry,
    demand::{BUSY_RATE, REFUSED_MS},
    placement::Place,
};
use crate::{
    endpoint::Endpoint,
    tally::Tally,
    text::{EngineSpec, ModelSpec},
};

/// Milliseconds between looks at the stock: a load takes seconds, and a look visits every copy.
const LOOK_MS: u64 = 100;
/// Seconds ahead in which a model's next request counts.
const NEXT_USE_S: f64 = 30.0;
/// Milliseconds after which a request counts 1/e in what is known of rarely used models: most of them
/// are asked for every ten or twenty seconds.
const MEMORY_MS: f64 = 40_000.0;
/// Times that the weight store takes for a model over which the loss of its copies is looked ahead:
/// the store may have one more to bring before it.
const LOADS_AHEAD: f64 = 2.0;

/// Milliseconds after which an endpoint that left counts 1/e: a replacement of a service's endpoints goes
/// on for about as long.
const WAVE_MS: f64 = 15_000.0;
/// Milliseconds for which an entry looks on before it acts: right after its start it has heard of few
/// copies, and the rest would be loaded from the weight store although they lie on disks.
const LOOK_ON_MS: u64 = 5_000;

/// What is known of the stock's use and of how fast endpoints go.
#[derive(Debug, Default)]
pub(super) struct Stock {
    looked: Millis,
    /// Endpoints that leave or are gone, by service.
    departures: Map<String, Tally>,
    asked: Map<ModelKey, Tally>,
    began: Option<Millis>,
    /// When the first list was read.
    listed: Option<Millis>,
}

impl Stock {
    /// Counts a request.
    pub(super) fn note_asked(&mut self, key: ModelKey, now: Millis) {
        self.began.get_or_insert(now);
        self.asked.entry(key).or_default().add(MEMORY_MS, now);
    }

    /// Notes that a list was read.
    pub(super) fn note_list(&mut self, now: Millis) {
        self.listed.get_or_insert(now);
    }

    /// Counts an endpoint of `service` that leaves.
    pub(super) fn note_departure(&mut self, service: &str, now: Millis) {
        self.departures.entry(service.to_owned()).or_default().add(WAVE_MS, now);
    }

    /// Requests a second for a model at this entry, over the last [`MEMORY_MS`].
    fn rate(&self, key: ModelKey, now: Millis) -> f64 {
        let seen_ms = self.began.map_or(0, |began| now.since(began)) as f64;
        let span_s = MEMORY_MS / 1_000.0 * (1.0 - (-seen_ms / MEMORY_MS).exp());
        let weight = self.asked.get(&key).map_or(0.0, |asked| asked.decayed(MEMORY_MS, now));
        // In the first seconds one request says little of a rate.
        weight / span_s.max(NEXT_USE_S / 3.0)
    }
}

impl PoolEntry {
    /// Brings in the copy whose lack would cost callers most, while the weight store has room.
    ///
    /// All entries work out the same from what sides tell, and each counts what others have under way.
    pub(super) fn restock(&mut self) {
        if self.now.since(self.stock.looked) < LOOK_MS {
            return;
        }
        self.stock.looked = self.now;
        let Some(text) = self.text.clone() else { return };
        if self.stock.listed.is_none_or(|listed| self.now.since(listed) < LOOK_ON_MS) {
            return;
        }
        for service in &text.services {
            let Some(engine) = &service.engine else { continue };
            let Some((key, gain)) = self.scarcest(&service.name, engine) else { continue };
            let name = self.names.name(key).to_owned();
            let Some(spec) = engine.model(&name) else { continue };
            let Some(place) = self.stock_place(&service.name, engine, spec, key, gain) else {
                continue;
            };
            let event = LogEvent::new("restock").with("model", &name).with("at", &place.instance);
            self.log(event.with("gain_ms", gain as u64));
            let ready_ms = place.ready_ms as u64;
            self.ask(key, &place.instance, place.victims, ready_ms, 2 * ready_ms);
        }
    }

    /// The model whose lack of copies costs most by chance, if that is more than a load does.
    fn scarcest(&self, service: &str, engine: &EngineSpec) -> Option<(ModelKey, f64)> {
        let loads = self.store_loads();
        let limit = self.store.limit();
        if loads >= limit || !self.store_turn() {
            return None;
        }
        // The store's last place is kept for what many callers miss.
        let last = loads + 1 >= limit && limit > 1;
        let leaving = self.leaving_rate(service);
        let copies = self.copies(service);
        let keys = self.stock.asked.keys().copied();
        let known = keys.filter(|key| !self.wants.contains_key(key));
        let gains = known.filter_map(|key| {
            let spec = engine.model(self.names.name(key))?;
            let rate = self.long_rate(key);
            let held = copies.get(&key).copied().unwrap_or(0);
            let price = spec.store_ms as f64 / f64::from(limit);
            let gain = loss(spec, rate, leaving, held) - price;
            (rate >= BUSY_RATE || !last).then_some((key, gain))
        });
        let best = gains.max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))?;
        (best.1 > 0.0).then_some(best)
    }

    /// Requests a second for a model over all entries, also where it is rarely asked for.
    fn long_rate(&self, key: ModelKey) -> f64 {
        let own = self.stock.rate(key, self.now);
        self.rate(key).max(own * f64::from(self.entries()))
    }

    /// Share of a service's endpoints that leave in a second.
    fn leaving_rate(&self, service: &str) -> f64 {
        let open = self.pool.endpoints.values();
        let open = open.filter(|one| one.open() && one.member.service == service).count();
        let departures = self.stock.departures.get(service);
        let left = departures.map_or(0.0, |tally| tally.decayed(WAVE_MS, self.now));
        left * 1_000.0 / WAVE_MS / open.max(1) as f64
    }

    /// Endpoints of a service that have each model or a copy of it, or soon will.
    fn copies(&self, service: &str) -> Map<ModelKey, u32> {
        let mut copies = Map::default();
        let open = self.pool.endpoints.values();
        for endpoint in open.filter(|one| one.open() && one.member.service == service) {
            let holding = &endpoint.holding;
            let kept = holding.models.iter().chain(&holding.in_memory).chain(&holding.on_disk);
            let side = endpoint.fresh_side(self.now);
            let coming = side.iter().flat_map(|side| &side.loading);
            let mut keys = kept.chain(coming).copied().collect::<Vec<_>>();
            keys.sort_unstable();
            keys.dedup();
            for key in keys {
                *copies.entry(key).or_insert(0) += 1;
            }
        }
        copies
    }

    /// The cheapest endpoint for one more copy, where what makes way is worth less than the copy.
    fn stock_place(
        &self,
        service: &str,
        engine: &EngineSpec,
        spec: &ModelSpec,
        key: ModelKey,
        gain: f64,
    ) -> Option<Place> {
        let away_s = spec.store_ms as f64 / 1_000.0;
        let fit = |one: &&Endpoint| {
            one.open() && one.member.service == service && !one.holding.has_copy(key)
        };
        let places = self.pool.endpoints.values().filter(fit);
        let places = places.filter_map(|one| self.place_at(one, engine, spec, key, true));
        let places =
            places.filter(|place| place.victims.is_empty() && place.held_up * away_s < gain);
        places.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }
}

/// Milliseconds that callers lose by chance for want of copies of a model, while `leaving` of the endpoints
/// go in a second.
fn loss(spec: &ModelSpec, rate: f64, leaving: f64, copies: u32) -> f64 {
    let away_s = spec.store_ms as f64 / 1_000.0;
    let goes = 1.0 - (-leaving * away_s * LOADS_AHEAD).exp();
    let asked = 1.0 - (-rate * NEXT_USE_S).exp();
    goes.powi(copies as i32) * asked * (1.0 + rate * away_s) * REFUSED_MS
}
