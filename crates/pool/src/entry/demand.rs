//! How often models are asked for, and how many replicas that takes.

use citronrill_base::{Map, Millis, ModelKey, Set};

use super::{
    PoolEntry, RequestId,
    placement::{HORIZON_S, MISS_MS},
    wants::WAITER_MS,
};
use crate::{endpoint::Endpoint, rate::Rate, text::ModelSpec};

/// Requests a second for each slot that one replica answers well within its objective: a request
/// takes a slot for half a second, and for three quarters once all are taken. Engines of 24 slots
/// were measured to be full at 34 a second, with 174 ms of waiting at three quarters of the requests.
const SLOT_RATE: f64 = 0.9;
/// Requests a second that one replica answers well whatever its slots, as prompts are read one by one
/// and take 17 ms each: half of the time is left for making tokens.
const REPLICA_RATE: f64 = 30.0;
/// Requests a second from which a model has [`SPARE_REPLICAS`]: its callers feel the crash of its
/// only endpoint at once, and a second copy on a disk brings it back in one second instead of six.
const SPARE_RATE: f64 = 6.0;
/// Replicas of such a model at least.
const SPARE_REPLICAS: f64 = 2.0;
/// Requests a second from which a model counts as busy: its loss is felt within half a second.
pub(super) const BUSY_RATE: f64 = 2.0;
/// Requests a second at this entry from which its own arrivals tell something of all entries': four
/// within the ten seconds of the slow average.
const OWN_RATE: f64 = 0.4;
/// Share of a second's requests that a spare replica is worth: an endpoint in twenty crashes within
/// the horizon, and its model is away for about as long.
const CRASH_SHARE: f64 = 0.5;
/// Share of the endpoints that leave or crash within [`HORIZON_S`].
const LEAVE_SHARE: f64 = 0.05;
/// Milliseconds that a refusal costs its caller: it comes back after one or two seconds, once.
pub(super) const REFUSED_MS: f64 = 2_000.0;
/// Misses a second below which a model is no longer fetched for them: less than one in ten seconds.
const MISS_FLOOR: f64 = 0.05;
/// Time to the first byte of the quickest replica, as a share of the objective, above which another
/// one is asked for.
const LAGGING: f64 = 1.2;
/// Endpoints to which the weight store brings a model at the same time, at most.
const REPLICAS_COMING: usize = 2;
/// Fill of the least busy replica above which another one is asked for.
pub(super) const CROWDED: f64 = 0.9;
/// Milliseconds for which another replica is still of use: a load from the weight store takes six
/// seconds at least.
const SPREAD_TTL_MS: u64 = 8_000;

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

impl Demand {
    /// Requests a second that found no replica with room.
    pub(super) fn missed(&self, key: ModelKey, now: Millis) -> f64 {
        self.missed.get(&key).map_or(0.0, |rate| rate.per_s(now))
    }
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
        if !std::mem::replace(&mut request.missed, true) {
            self.demand.missed.entry(base).or_default().add(now);
        }
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
        })
    }

    /// Asks for one more replica of each model that has too few for its demand.
    ///
    /// Too few are less than its rate needs, or all of them crowded or slow.
    pub(super) fn spread(&mut self) {
        let Some(text) = self.text.clone() else { return };
        for service in &text.services {
            let Some(engine) = &service.engine else { continue };
            for (key, rate) in self.busy_models() {
                let name = self.names.name(key).to_owned();
                if engine.model(&name).is_none() || self.wants.contains_key(&key) {
                    continue;
                }
                let coming = self.coming(key);
                let live = (self.live_holders(key).count() + coming) as f64;
                let strained = coming == 0 && self.strained(key);
                if live >= desired(rate, engine.slots) && !strained {
                    continue;
                }
                // What it costs must be less than what callers lose without it.
                let missed = self.demand.missed(key, self.now);
                let gain = MISS_MS * (2.0 + missed * HORIZON_S + rate * CRASH_SHARE);
                let gain = gain + self.sole_copy_loss(key, rate, engine.model(&name));
                let place = self.place(&service.name, &name, key, gain);
                let place = place.filter(|place| place.cost < gain);
                let place = place.filter(|place| !place.far || self.replica_due(key, coming));
                if let Some(place) = place {
                    let ready_ms = place.ready_ms as u64;
                    self.ask(key, &place.instance, place.victims, ready_ms, SPREAD_TTL_MS);
                }
            }
        }
    }

    /// Whether the weight store may bring one more replica of a model now.
    ///
    /// The failure it prevents: endpoints are replaced one after the other and come with empty disks. The
    /// busiest model was brought to five of them at once, and the next one to six, while the last copies
    /// of other models in demand went away; with eight loads at once each took 13 s instead of 6. One load
    /// of a model at a time goes first, for each model that callers miss, and never more than two.
    fn replica_due(&self, key: ModelKey, coming: usize) -> bool {
        let first = coming == 0 && self.live_holders(key).next().is_none();
        first || coming < REPLICAS_COMING && !self.others_away(key)
    }

    /// Whether another model is missed that no endpoint has and that nobody brings in.
    fn others_away(&self, key: ModelKey) -> bool {
        self.demand.missed.iter().any(|(other, rate)| {
            *other != key
                && rate.per_s(self.now) > MISS_FLOOR
                && !self.wants.contains_key(other)
                && self.coming(*other) == 0
                && self.far(*other)
        })
    }

    /// What callers lose, by chance, as only one endpoint has a copy of a model.
    ///
    /// When that endpoint goes, the model is away for as long as the weight store takes: 13 s on one
    /// pool, in which 262 callers of a calm day were refused.
    fn sole_copy_loss(&self, key: ModelKey, rate: f64, spec: Option<&ModelSpec>) -> f64 {
        let open = self.pool.endpoints.values().filter(|one| one.open());
        if open.filter(|one| one.holding.has_copy(key)).count() > 1 {
            return 0.0;
        }
        let away_s = spec.map_or(0.0, |spec| spec.store_ms as f64 / 1_000.0);
        LEAVE_SHARE * rate * away_s * REFUSED_MS
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
    fn coming(&self, key: ModelKey) -> usize {
        let sides = self.pool.endpoints.values().filter_map(|one| {
            let held = one.holding.models.contains(&key);
            one.fresh_side(self.now).filter(|_| !held)
        });
        sides.filter(|side| side.loading.contains(&key)).count()
    }

    /// Models that are asked for often, with their requests a second.
    fn busy_models(&self) -> Vec<(ModelKey, f64)> {
        let sides = self.pool.endpoints.values().flat_map(|one| one.side.iter());
        let served = sides.flat_map(|side| side.rates.iter().map(|(key, _)| *key));
        let keys = served.chain(self.demand.away.keys().copied()).collect::<Set<_>>();
        let rates = keys.into_iter().map(|key| (key, self.rate(key)));
        let mut busy = rates.filter(|(_, rate)| *rate >= BUSY_RATE).collect::<Vec<_>>();
        busy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        busy
    }

    /// Whether even the least loaded replica of a model is crowded or slow.
    fn strained(&self, key: ModelKey) -> bool {
        let running = self.requests.values().filter(|one| one.base == Some(key));
        let target = running.map(|one| one.target_ms).min();
        let Some(target) = target else { return false };
        let strain = |one: &Endpoint| {
            (one.fill() / CROWDED).max(one.lag(self.now) / target.max(1) as f64 / LAGGING)
        };
        let least = self.live_holders(key).map(strain).fold(f64::INFINITY, f64::min);
        least.is_finite() && least > 1.0
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
                || self.pool.endpoints.values().any(|one| one.holding.models.contains(key))
        };
        let missed = self.demand.missed.iter().filter(|(key, _)| !held(key));
        let most = missed.max_by(|a, b| a.1.per_s(now).total_cmp(&b.1.per_s(now)));
        let Some((key, _)) = most else { return };
        let key = *key;
        let name = self.names.name(key).to_owned();
        let Some(text) = self.text.clone() else { return };
        let mut services = text.services.iter();
        let service = services
            .find(|one| one.engine.as_ref().is_some_and(|engine| engine.model(&name).is_some()));
        let Some(service) = service else { return };
        let missed = self.demand.missed(key, now);
        let worth = (1.0 + missed * HORIZON_S) * WAITER_MS;
        if let Some(place) = self.place(&service.name, &name, key, worth) {
            let ttl_ms = (2.0 * place.ready_ms) as u64;
            self.ask(key, &place.instance, place.victims, place.ready_ms as u64, ttl_ms);
        }
    }
}

/// Replicas that a busy model should have by its requests a second.
fn desired(rate: f64, slots: u32) -> f64 {
    let each = REPLICA_RATE.min(SLOT_RATE * f64::from(slots.max(1)));
    let spare = if rate > SPARE_RATE { SPARE_REPLICAS } else { 1.0 };
    (rate / each).ceil().max(spare)
}

pub(super) fn rate_of(endpoint: &Endpoint, key: ModelKey) -> f64 {
    let rates = endpoint.side.iter().flat_map(|side| side.rates.iter());
    rates.filter(|(model, _)| *model == key).map(|(_, rate)| *rate).sum()
}
