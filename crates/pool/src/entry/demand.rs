//! How often models are asked for, and what of that is missed.

use citronrill_base::{Map, ModelKey, Set, rendezvous_score};
use citronrill_wire::Usage;

use super::{EntryEffect, PoolEntry, RequestId, placement::HORIZON_S, wants::WAITER_MS};
use crate::{endpoint::Endpoint, rate::Rate};

/// Requests a second from which a model counts as busy: its loss is felt within half a second.
pub(super) const BUSY_RATE: f64 = 2.0;
/// Requests a second at this entry from which its own arrivals tell something of all entries': four
/// within the ten seconds of the slow average.
pub(super) const OWN_RATE: f64 = 0.4;
/// Milliseconds that a refusal costs its caller: it comes back after one or two seconds, once.
pub(super) const REFUSED_MS: f64 = 2_000.0;
/// Misses a second below which a model is no longer fetched for them: less than one in ten seconds.
const MISS_FLOOR: f64 = 0.05;
/// What callers of this entry asked for, by model.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// All requests.
    pub(super) asked: Map<ModelKey, Rate>,
    /// Those that came while no endpoint that is heard held the model.
    away: Map<ModelKey, Rate>,
    /// Those that found no replica with room.
    missed: Map<ModelKey, Rate>,
}

impl PoolEntry {
    /// Counts a request that came.
    pub(super) fn note_asked(&mut self, base: ModelKey) {
        let now = self.now;
        self.demand.asked.entry(base).or_default().add(now);
        if self.live_holders(base).next().is_none() {
            self.demand.away.entry(base).or_default().add(now);
        }
    }

    /// Counts a request, once, that found no replica of its model with room.
    pub(super) fn miss(&mut self, id: RequestId, base: ModelKey) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.missed, true) {
            return;
        }
        let service = request.service.clone();
        self.demand.missed.entry(base).or_default().add(now);
        self.tell_missed(&service, base);
    }

    /// Tells the side that counts for all entries how often a model is missed.
    fn tell_missed(&mut self, service: &str, base: ModelKey) {
        let model = self.names.name(base).to_owned();
        let heard = self.pool.endpoints.values().filter(|one| {
            one.member.service == service && one.fresh_side(self.now).is_some_and(|side| side.sound)
        });
        let counts = heard.max_by_key(|one| rendezvous_score(&model, &one.member.instance));
        let Some(address) = counts.map(|one| one.member.address) else { return };
        let missed = Usage { model, adapter: String::new(), missed: true };
        self.effects.push(EntryEffect::Used(address, missed));
    }

    /// Requests a second for a model that find no replica with room, over all entries.
    pub(super) fn missed(&self, key: ModelKey) -> f64 {
        let own = self.demand.missed.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
        own.max(self.told_missed().filter(|(model, _)| *model == key).map(|(_, rate)| rate).sum())
    }

    /// What sides tell of requests that find no room. As endpoints come and go, two sides may each have
    /// counted a part.
    fn told_missed(&self) -> impl Iterator<Item = (ModelKey, f64)> {
        let sides = self.pool.endpoints.values().filter_map(|one| one.fresh_side(self.now));
        sides.flat_map(|side| side.missed.iter().copied())
    }

    /// The models of which requests find no room.
    pub(super) fn missed_models(&self) -> Set<ModelKey> {
        let own = self.demand.missed.keys().copied();
        own.chain(self.told_missed().map(|(key, _)| key)).collect()
    }

    /// Requests a second for a model, over all entries.
    ///
    /// Sides count what reached them. Requests for a model that is away reach nobody, and by that
    /// count alone it looked idle the moment it came: it was unloaded for a single request of a rare
    /// model while a hundred a second asked for it. So what came to this entry while the model was
    /// away counts for all entries, where it is enough to tell. What comes while it is there does not:
    /// callers are spread unevenly over entries, and the busiest would see twice the demand.
    pub(super) fn rate(&self, key: ModelKey) -> f64 {
        let live = self.pool.endpoints.values().filter(|one| one.fresh_side(self.now).is_some());
        let served = live.map(|endpoint| rate_of(endpoint, key)).sum::<f64>();
        let own = self.demand.away.get(&key).map_or(0.0, |rate| rate.per_s(self.now));
        if own < OWN_RATE { served } else { served.max(own * f64::from(self.entries())) }
    }

    /// Endpoints that hold a model and whose side says that they live.
    pub(super) fn live_holders(&self, key: ModelKey) -> impl Iterator<Item = &Endpoint> {
        self.pool.endpoints.values().filter(move |one| {
            one.open()
                && one.holding.models.contains(&key)
                && one.fresh_side(self.now).is_some_and(|side| side.sound)
                && !one.life.silent(self.now)
        })
    }

    /// Whether another model is missed more often that no endpoint has and that nobody brings in.
    ///
    /// Each load of the model that is under way serves its part of those who miss it now.
    pub(super) fn others_away(&self, key: ModelKey) -> bool {
        let own = self.missed(key) / (1.0 + self.coming(key) as f64);
        let own = own.max(MISS_FLOOR);
        self.missed_models().into_iter().any(|other| {
            other != key
                && self.missed(other) > own
                && !self.wants.contains_key(&other)
                && self.coming(other) == 0
                && self.far(other)
        })
    }

    /// Milliseconds until a model is there that an endpoint brings in for somebody else.
    ///
    /// Entries that ask at the same moment ask different sides. Without a look at what others have
    /// under way, a busy model was brought in by five engines at once, four of them from the weight
    /// store, which carries four loads at full speed and had no room for another model for 6 s.
    pub(super) fn coming_ms(&self, key: ModelKey) -> Option<f64> {
        let sides = self
            .pool
            .endpoints
            .values()
            .filter(|one| one.open() && !one.holding.models.contains(&key));
        let sides = sides.filter_map(|one| one.fresh_side(self.now));
        let loading = sides.filter(|side| side.sound && side.loading.contains(&key));
        let left = loading.map(|side| side.left_ms(self.now));
        left.min().map(|ms| ms as f64)
    }

    /// Endpoints that hold a model, that have a copy of it, and to which it is on its way.
    pub(super) fn nearness(&self, key: ModelKey) -> (usize, usize, usize) {
        let open = self.pool.endpoints.values().filter(|one| one.open());
        let copies = open.filter(|one| one.holding.has_copy(key)).count();
        (self.live_holders(key).count(), copies, self.coming(key))
    }

    /// Endpoints to which a model is on its way, whoever asked for it.
    pub(super) fn coming(&self, key: ModelKey) -> usize {
        let sides = self.pool.endpoints.values().filter_map(|one| {
            let held = one.holding.models.contains(&key);
            one.fresh_side(self.now).filter(|_| !held)
        });
        sides.filter(|side| side.loading.contains(&key)).count()
    }

    /// Models that are asked for often, with their requests a second.
    pub(super) fn busy_models(&self) -> Vec<(ModelKey, f64)> {
        let sides = self.pool.endpoints.values().flat_map(|one| one.side.iter());
        let served = sides.flat_map(|side| side.rates.iter().map(|(key, _)| *key));
        let keys = served.chain(self.demand.away.keys().copied()).collect::<Set<_>>();
        let rates = keys.into_iter().map(|key| (key, self.rate(key)));
        let mut busy = rates.filter(|(_, rate)| *rate >= BUSY_RATE).collect::<Vec<_>>();
        busy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        busy
    }

    /// Asks for the model that was missed most, when the weight store has room.
    ///
    /// Requests whose time is shorter than such a load are refused at once and wait nowhere; without
    /// this their model would never come.
    pub(super) fn fetch_missed(&mut self) {
        let now = self.now;
        self.demand.missed.retain(|_, rate| rate.per_s(now) > MISS_FLOOR);
        let held = |key: &ModelKey| {
            self.wants.contains_key(key)
                || self.coming(*key) > 0
                || self.pool.endpoints.values().any(|one| one.holding.models.contains(key))
        };
        // Only what was missed here: if every entry asked for what all of them miss, engines that load one
        // model at a time would load the same ones twice.
        let missed = self.demand.missed.keys().filter(|key| !held(key));
        let missed = missed.map(|key| (self.missed(*key), *key));
        let most = missed.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let Some((rate, key)) = most else { return };
        let name = self.names.name(key).to_owned();
        let Some(text) = self.text.clone() else { return };
        let mut services = text.services.iter();
        let service = services
            .find(|one| one.engine.as_ref().is_some_and(|engine| engine.model(&name).is_some()));
        let Some(service) = service else { return };
        let worth = (1.0 + rate * HORIZON_S) * WAITER_MS;
        if let Some(place) = self.place(&service.name, &name, key, worth) {
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.ask(key, &place.instance, place.victims, place.ready_ms as u64, ttl_ms);
        }
    }
}

pub(super) fn rate_of(endpoint: &Endpoint, key: ModelKey) -> f64 {
    let rates = endpoint.side.iter().flat_map(|side| side.rates.iter());
    rates.filter(|(model, _)| *model == key).map(|(_, rate)| *rate).sum()
}
