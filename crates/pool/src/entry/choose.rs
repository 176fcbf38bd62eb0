//! Which endpoint a request goes to.

use citronrill_base::{ModelKey, hash_bytes};

use super::{PoolEntry, Reason, Request};
use crate::endpoint::Endpoint;

/// What is to be done with a waiting request.
pub(super) enum Choice {
    /// Send it to this instance.
    Send(String),
    /// What it needs must be fetched first.
    Fetch,
    /// What can run it is full.
    Crowded,
    /// What can run it has just had this entry's share of its room.
    Hold,
    /// Nothing can run it in time.
    Refuse(Reason),
}

/// What another zone costs, as a share of the slots: among endpoints about as busy, the one in the
/// same zone saves bytes between zones and half a millisecond each way.
const ZONE_COST: f64 = 0.4;
/// Weight of an endpoint's share of failures: one that fails half of its requests looks as if it
/// ran two batches more.
const FAIL_COST: f64 = 4.0;
/// Share of failures below which an endpoint is not held to be ill: single failures happen.
const FAIL_FREE: f64 = 0.2;
/// What an endpoint that could not be reached costs: it comes after all others.
const AVOID_COST: f64 = 100.0;
/// What an engine costs whose side is silent or cannot reach it: the instance may be gone, which the
/// list tells seconds later.
const DARK_COST: f64 = 3.0;
/// Share of a service's runs that an endpoint may have at no cost: a little more than the even share of
/// a small pool.
const EXPOSED_FREE: f64 = 0.15;
/// What the share beyond that costs: a tenth of all runs weighs as much as another zone.
const EXPOSED_COST: f64 = 4.0;
/// Runs of a service below which shares say nothing: of two runs, one is half.
const EXPOSED_RUNS: u32 = 12;
/// What is gained where the beginning of the prompt is likely kept, as a share of the slots.
const PREFIX_GAIN: f64 = 0.2;
/// Fill at which a plain endpoint takes no more: its slots, and two waves that wait there, which
/// keeps the slots busy and its own queue (four waves) from refusing what several entries send at
/// the same moment.
const PLAIN_FULL: f64 = 3.0;
/// Fill at which an engine takes no more: its batch and a few that wait. What waits at the entry
/// can still go to a replica that is being fetched; what waits at the engine cannot.
const ENGINE_FULL: f64 = 1.25;
/// Fill at which an engine takes no more of what is late already: it gets a slot that is free, and does not
/// stand in the engine's queue before those who can be answered in time.
const LATE_FULL: f64 = 1.0;

impl PoolEntry {
    /// The best endpoint that can run `request` now, or what else is to be done.
    pub(super) fn choose(&self, request: &Request) -> Choice {
        let able = self.pool.endpoints.values().filter(|endpoint| self.able(endpoint, request));
        let runs = self.runs_of(&request.service);
        let costs = able.map(|endpoint| (self.cost(endpoint, request, runs), endpoint));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let full = match request.target {
            Some(_) if request.late(self.now) => LATE_FULL,
            Some(_) => ENGINE_FULL,
            None => PLAIN_FULL,
        };
        match best {
            Some((_, endpoint)) if self.dark_for(endpoint, request) => Choice::Fetch,
            Some((_, endpoint)) if endpoint.fill() < full && self.held_back(endpoint, request) => {
                Choice::Hold
            }
            Some((_, endpoint)) if endpoint.fill() < full => {
                Choice::Send(endpoint.member.instance.clone())
            }
            Some(_) => Choice::Crowded,
            None if request.target.is_some() => Choice::Fetch,
            None => Choice::Refuse(Reason::NoEndpoint),
        }
    }

    /// Whether an adapter is better fetched than used where it is: nothing is heard of that endpoint, and
    /// another holds the model.
    ///
    /// The failure it meets: an instance stands still for six seconds and holds the only copy of an
    /// adapter. Its callers were sent there and left after three seconds of silence, while the adapter
    /// could be brought to another holder of the model in 25 ms.
    fn dark_for(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let Some(base) = request.base.filter(|_| !request.adapter.is_empty()) else { return false };
        endpoint.dark(self.now)
            && self.live_holders(base).any(|one| {
                one.member.service == request.service
                    && !one.dark(self.now)
                    && !one.avoided(self.now)
                    && !request.tried.contains(&one.member.instance)
            })
    }

    pub(super) fn able(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let instance = &endpoint.member.instance;
        endpoint.open()
            && endpoint.member.service == request.service
            && request.target.is_none_or(|target| self.runs_now(endpoint, target))
            && !request.tried.contains(instance)
    }

    /// Whether a request that has waited must wait for the engine's next word of its load.
    ///
    /// When a model that many callers wait for has come, all entries hear of it in the same moment, and each
    /// sees an engine with no load. Together they sent ten times what it takes, and most was refused. So what
    /// has waited goes there an entry's share of the room at a time.
    fn held_back(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let room = f64::from(endpoint.member.slots) * ENGINE_FULL;
        let share = (room / f64::from(self.entries())).ceil() as u32;
        let waited = request.target.is_some() && self.now > request.arrived;
        waited && endpoint.unreported >= share.max(1)
    }

    /// Whether an engine can run what needs a model or adapter: it holds it, and its instance moves.
    fn runs_now(&self, endpoint: &Endpoint, target: ModelKey) -> bool {
        self.holds_now(endpoint, target) && !endpoint.life.silent(self.now)
    }

    /// Whether an engine holds a model or adapter by a word that can be relied on.
    ///
    /// Right after all instances have lost power the list still names what engines held before. Requests that
    /// were sent on its word alone were refused, and used up the retry budget of those that came after.
    fn holds_now(&self, endpoint: &Endpoint, target: ModelKey) -> bool {
        endpoint.holding.keys.contains(&target) && !endpoint.unconfirmed(self.now)
    }

    /// What runs and waits at all endpoints of a service, as far as known.
    pub(super) fn runs_of(&self, service: &str) -> u32 {
        let fleet = self.pool.endpoints.values().filter(|one| one.member.service == service);
        fleet.map(Endpoint::load).sum()
    }

    /// What it costs that an endpoint has so many of its service's `runs`.
    ///
    /// The failure it meets: engines take a hundred requests at once, so that their fill tells little, and
    /// zone and prompt send nearly all callers of a model to one of its holders. Its instance stands still,
    /// and half of all streams hang on it until their callers leave. Beyond its free share an endpoint costs
    /// more than one in another zone, so that the other holders have the rest.
    pub(super) fn exposure(&self, endpoint: &Endpoint, runs: u32) -> f64 {
        let share = f64::from(endpoint.load()) / f64::from(runs.max(EXPOSED_RUNS));
        EXPOSED_COST * (share - EXPOSED_FREE).max(0.0)
    }

    /// What it costs to use an endpoint, in shares of its slots; `runs` are its service's.
    pub(super) fn cost(&self, endpoint: &Endpoint, request: &Request, runs: u32) -> f64 {
        let mut cost = endpoint.fill();
        cost += FAIL_COST * (endpoint.failing - FAIL_FREE).max(0.0);
        if endpoint.member.zone != self.profile.zone {
            cost += ZONE_COST;
        }
        cost += endpoint.lag(self.now) / request.target_ms.max(1) as f64;
        if request.target.is_some() {
            cost += self.exposure(endpoint, runs);
            if endpoint.dark(self.now) || endpoint.life.suspect(self.now) {
                cost += DARK_COST;
            }
        }
        if endpoint.avoided(self.now) {
            cost += AVOID_COST;
        }
        if request.prefix != 0 {
            // Requests with the same prompt prefix lean to the same endpoints, without a message:
            // each entry works out the same order from the names.
            let mixed = hash_bytes(endpoint.member.instance.as_bytes()) ^ request.prefix;
            let lean = hash_bytes(&mixed.to_le_bytes()) as f64 / u64::MAX as f64;
            cost -= PREFIX_GAIN * lean;
        }
        cost
    }
}
