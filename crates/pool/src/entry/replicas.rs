//! How many replicas a model should have, and when another one is asked for.

use citronrill_base::ModelKey;

use super::{
    PoolEntry,
    demand::REFUSED_MS,
    placement::{HORIZON_S, MISS_MS, Place},
};
use crate::{
    endpoint::Endpoint,
    text::{EngineSpec, ModelSpec},
};

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
/// Share of a second's requests that a spare replica is worth: an endpoint in twenty crashes within
/// the horizon, and its model is away for about as long.
const CRASH_SHARE: f64 = 0.5;
/// Share of the endpoints that leave or crash within [`HORIZON_S`].
const LEAVE_SHARE: f64 = 0.05;
/// Time to the first byte of the quickest replica, as a share of the objective, above which another
/// one is asked for.
const LAGGING: f64 = 1.2;
/// Endpoints to which the weight store brings a model at the same time, at most.
const REPLICAS_COMING: usize = 2;
/// Fill of the least busy replica above which another one is asked for.
pub(super) const CROWDED: f64 = 0.9;
/// Seconds for which the callers of an endpoint that stands still are lost to it: its side's silence
/// shows after one, and those who had an event leave after three.
const HANG_S: f64 = 3.0;
/// Milliseconds for which another replica is still of use: a load from the weight store takes six
/// seconds at least.
const SPREAD_TTL_MS: u64 = 8_000;

impl PoolEntry {
    /// Asks for one more replica of each model that has too few for its demand.
    pub(super) fn spread(&mut self) {
        let Some(text) = self.text.clone() else { return };
        for service in &text.services {
            let Some(engine) = &service.engine else { continue };
            for (key, rate) in self.busy_models() {
                let place = self.replica_place(&service.name, engine, key, rate);
                if let Some(place) = place {
                    let ready_ms = place.ready_ms as u64;
                    self.ask(key, &place.instance, place.victims, ready_ms, SPREAD_TTL_MS);
                }
            }
        }
    }

    /// Where one more replica of a model is to come to, if it is worth what it costs.
    fn replica_place(
        &self,
        service: &str,
        engine: &EngineSpec,
        key: ModelKey,
        rate: f64,
    ) -> Option<Place> {
        let name = self.names.name(key);
        let spec = engine.model(name).filter(|_| !self.wants.contains_key(&key))?;
        let coming = self.coming(key);
        let held = self.live_holders(key).count();
        let strained = coming == 0 && self.strained(key);
        let few = ((held + coming) as f64) < desired(rate, engine.slots) || strained;
        let gain = if few { self.demand_loss(key, rate) } else { spared(rate, held, coming)? };
        let gain = gain + self.sole_copy_loss(key, rate, spec);
        // The failure it prevents: a model in demand has one holder, the weight store stands idle, and
        // no second replica comes, as six seconds of loading outweighed what it saves. Nobody waits
        // for them while a replica serves at its usual pace.
        let served = held > 0 && !strained;
        let cost = |place: &Place| if served { place.spare_cost } else { place.cost };
        let place = self.place(service, name, key, gain).filter(|place| cost(place) < gain);
        place.filter(|place| !place.far || self.replica_due(key, coming))
    }

    /// Milliseconds that callers lose while a model has fewer replicas than its demand needs.
    fn demand_loss(&self, key: ModelKey, rate: f64) -> f64 {
        let missed = self.missed(key);
        MISS_MS * (2.0 + missed * HORIZON_S + rate * CRASH_SHARE)
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

    /// What callers lose, by chance, as only one endpoint has a copy of a model.
    ///
    /// When that endpoint goes, the model is away for as long as the weight store takes: 13 s on one
    /// pool, in which 262 callers of a calm day were refused.
    fn sole_copy_loss(&self, key: ModelKey, rate: f64, spec: &ModelSpec) -> f64 {
        let open = self.pool.endpoints.values().filter(|one| one.open());
        if open.filter(|one| one.holding.has_copy(key)).count() > 1 {
            return 0.0;
        }
        let away_s = spec.store_ms as f64 / 1_000.0;
        LEAVE_SHARE * rate * away_s * REFUSED_MS
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
}

/// Replicas that a busy model should have by its requests a second.
fn desired(rate: f64, slots: u32) -> f64 {
    let each = REPLICA_RATE.min(SLOT_RATE * f64::from(slots.max(1)));
    let spare = if rate > SPARE_RATE { SPARE_REPLICAS } else { 1.0 };
    (rate / each).ceil().max(spare)
}

/// Milliseconds that one more replica spares callers by chance, where the `held` ones carry the load; `None`
/// while another one is `coming`.
fn spared(rate: f64, held: usize, coming: usize) -> Option<f64> {
    let live = held as f64;
    (held > 0 && coming == 0).then(|| hang_loss(rate, live) - hang_loss(rate, live + 1.0))
}

/// Milliseconds that callers of a model lose by chance, within [`HORIZON_S`], as the instance of one of its
/// replicas stands still or crashes.
///
/// The failure that it weighs: half of all streams run at one endpoint, as its model has two holders that
/// carry it well. The instance stands still, and all of them hang until their callers leave: nothing ends a
/// run there before the instance wakes.
fn hang_loss(rate: f64, replicas: f64) -> f64 {
    LEAVE_SHARE * rate / replicas * HANG_S * REFUSED_MS
}
