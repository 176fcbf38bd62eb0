//! Selection of the endpoint for a request.

use citronrill_base::{ModelKey, hash_bytes};

use super::{PoolEntry, Reason, Request};
use crate::{
    endpoint::{Endpoint, FAILURE_TOLERANCE},
    expected_wait::{Candidate, choose_by_wait},
};

/// Decision for a waiting request.
pub(super) enum Choice {
    /// Dispatch it to this instance.
    Dispatch(String),
    /// Probe this instance first: nothing was received from it for a while.
    Confirm(String),
    /// Load the required model or adapter first.
    Load,
    /// Load the adapter on another holder first, although an endpoint can run the request.
    Reload,
    /// All endpoints that can run it are full.
    Full,
    /// Wait: all endpoints that can run it have got what they take, by the limits that they name.
    Limited,
    /// Wait: all endpoints that can run it want no requests for a while.
    Backoff,
    /// Wait: the best endpoint has already received this entry's share of its free slots.
    Throttle,
    /// Refuse it: no endpoint can run it in time.
    Refuse(Reason),
}

/// Cost of an endpoint in another zone, as a share of the slots. Between endpoints of similar load,
/// the one in the same zone saves cross-zone traffic and half a millisecond each way.
const ZONE_COST: f64 = 0.4;
/// Weight of the failure rate above [`FAILURE_TOLERANCE`]. An endpoint that fails half of its
/// requests ranks as if it ran 1.2 more batches.
const FAILURE_COST: f64 = 4.0;
/// Cost of an endpoint that could not be reached: it ranks after all others.
const UNREACHABLE_COST: f64 = 100.0;
/// Cost of an engine whose side is silent or cannot reach it, or that may be stalled. The instance
/// may be gone, and the member list shows that only seconds later.
const SILENT_COST: f64 = 3.0;
/// Share of a service's runs that an endpoint may have at no cost: a little more than the even
/// share in a small pool.
pub(super) const CONCENTRATION_FREE_SHARE: f64 = 0.12;
/// Cost of the share beyond that: a twentieth of all runs weighs as much as another zone.
const CONCENTRATION_COST: f64 = 8.0;
/// Lower bound on a service's runs when computing shares: of two runs, one is already half.
const CONCENTRATION_MIN_RUNS: u32 = 12;
/// Weight of a suspect's own order of the endpoints, which is the same at all entries. The requests
/// that were lost with an endpoint are retried at different ones, so that a poison request among them
/// does not crash another endpoint under all of them; its own retries from several entries meet.
const SUSPECT_SPREAD: f64 = 1.5;
/// Benefit of an endpoint that likely has the prompt prefix cached, as a share of the slots.
const PREFIX_GAIN: f64 = 0.2;
/// Concentration cost that loading an adapter on another holder of its model must save: a tenth of
/// all runs.
const RELOAD_GAIN: f64 = 0.8;
/// Milliseconds for which a request waits for its adapter at a less loaded holder, which loads it in
/// about 25 ms.
const RELOAD_WAIT_MS: u64 = 100;
/// Fill level at which a plain endpoint takes no more requests: its slots plus twice as many queued
/// requests. This keeps the slots busy, and keeps the endpoint's own queue, which holds four times
/// its slots, from refusing requests that several entries dispatch at the same moment.
const PLAIN_FULL: f64 = 3.0;
/// Fill level at which an engine takes no more requests: its batch plus a short queue. A request
/// that waits at the entry can still be dispatched to a replica that is being loaded; one that
/// waits at the engine cannot.
const ENGINE_FULL: f64 = 1.25;
/// Fill level at which an engine takes no more late requests. A late request gets a free slot, but
/// does not queue at the engine ahead of requests that can still meet their objective.
const LATE_FULL: f64 = 1.0;

impl PoolEntry {
    /// Selects the best endpoint for `request`, or what to do instead.
    pub(super) fn choose(&self, request: &Request) -> Choice {
        let runs = self.service_runs(&request.service);
        let over = self.over_share(request);
        let best = self.best_endpoint(request, runs, |endpoint| {
            self.permits(endpoint) && (!over || self.has_free_slot(endpoint))
        });
        if over && (best.is_none() || self.within_share_waits(request)) {
            let any = self.best_endpoint(request, runs, |endpoint| self.permits(endpoint));
            return any.map_or_else(|| self.choice_without_endpoint(request), |_| Choice::Full);
        }
        let full = match request.required {
            Some(_) if request.is_late(self.now) => LATE_FULL,
            Some(_) => ENGINE_FULL,
            None => PLAIN_FULL,
        };
        match best {
            Some(endpoint) if self.prefers_reload(endpoint, request, runs) => Choice::Reload,
            Some(endpoint) if endpoint.load_ratio() < full && self.throttled(endpoint, request) => {
                Choice::Throttle
            }
            Some(endpoint)
                if endpoint.load_ratio() < full && self.needs_confirmation(endpoint, request) =>
            {
                Choice::Confirm(endpoint.member.instance.clone())
            }
            Some(endpoint) if endpoint.load_ratio() < full => {
                Choice::Dispatch(endpoint.member.instance.clone())
            }
            Some(_) => Choice::Full,
            None => self.choice_without_endpoint(request),
        }
    }

    /// Returns what to do with a request that no endpoint takes now.
    fn choice_without_endpoint(&self, request: &Request) -> Choice {
        match self.backoff_ms(request) {
            Some(0) => Choice::Limited,
            Some(_) => Choice::Backoff,
            None if request.required.is_some() => Choice::Load,
            None => Choice::Refuse(Reason::NoEndpoint),
        }
    }

    /// Returns the endpoint of the lowest cost of those that can run a request and are `admitted`; `runs` is
    /// the total of its service.
    pub(super) fn best_endpoint(
        &self,
        request: &Request,
        runs: u32,
        admitted: impl Fn(&Endpoint) -> bool,
    ) -> Option<&Endpoint> {
        let endpoints = self.pool.endpoints.values();
        let eligible =
            endpoints.filter(|endpoint| self.eligible(endpoint, request) && admitted(endpoint));
        if self.by_wait(&request.service) {
            let key = hash_bytes(request.caller_id.as_bytes());
            let candidates = eligible.map(|endpoint| Candidate {
                item: endpoint,
                cost: self.cost(endpoint, request, runs),
                has_room: self.has_room_now(endpoint, request),
                draw: endpoint_hash(key, endpoint),
            });
            return choose_by_wait(&candidates.collect::<Vec<_>>());
        }
        let costs = eligible.map(|endpoint| (self.cost(endpoint, request, runs), endpoint));
        costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, endpoint)| endpoint)
    }

    /// Returns whether to load the adapter on another holder of the model, because the endpoint that
    /// has it is silent or runs too large a share of all requests.
    ///
    /// An instance that stalls for six seconds may hold the only copy of an adapter, or most of a
    /// model's adapters. Without this check, all their callers are dispatched there and disconnect
    /// after three seconds, although another holder of the model could load the adapter in 25 ms.
    fn prefers_reload(&self, endpoint: &Endpoint, request: &Request, runs: u32) -> bool {
        if request.adapter.is_empty() {
            return false;
        }
        let silent = endpoint.side_silent(self.now);
        let cost = self.concentration_cost(endpoint, runs);
        let load_request = request.required.and_then(|key| self.load_requests.get(&key));
        let overdue = load_request.is_some_and(|load_request| load_request.is_overdue(self.now));
        let waited = self.now.since(request.arrived) >= RELOAD_WAIT_MS;
        let crowded = cost > RELOAD_GAIN && !silent && !overdue && !waited;
        if !silent && !crowded {
            return false;
        }
        let mut others = self.pool.endpoints.values().filter(|other| {
            self.can_load_adapter(other, request)
                && other.fresh_side(self.now).is_some_and(|side| side.healthy)
                && !other.avoided(self.now)
                && !request.tried.contains(&other.member.instance)
        });
        others.any(|other| {
            silent
                || !other.liveness.maybe_stalled(self.now)
                    && other.order_remaining_ms(self.now) == 0
                    && self.concentration_cost(other, runs) + RELOAD_GAIN < cost
        })
    }

    /// Returns the instances at which a suspect could run as a trial, first those with the fewest
    /// requests: they all fail if it crashes the endpoint.
    pub(super) fn trial_places(&self, request: &Request) -> Vec<String> {
        if request.from_copy {
            let live = self.has_live_copy(request);
            return request.backup.clone().into_iter().filter(|_| live).collect();
        }
        let places = self.pool.endpoints.values().filter(|endpoint| {
            self.eligible(endpoint, request)
                && self.permits(endpoint)
                && endpoint.load_ratio() < LATE_FULL
                && !endpoint.avoided(self.now)
                && !self.needs_confirmation(endpoint, request)
        });
        let mut places = places
            .map(|endpoint| (endpoint.load(), endpoint.member.instance.clone()))
            .collect::<Vec<_>>();
        places.sort_unstable();
        places.into_iter().map(|(_, instance)| instance).collect()
    }

    pub(super) fn eligible(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let instance = &endpoint.member.instance;
        endpoint.accepts_requests()
            && endpoint.member.service == request.service
            && request.fits_software(endpoint)
            && request.required.is_none_or(|required| self.can_run(endpoint, required))
            && !request.tried.contains(instance)
    }

    /// Returns whether the instance must answer a probe before the request is dispatched there.
    ///
    /// A stalled instance accepts connections. Its silence is noticed only after some hundred
    /// milliseconds, and by an entry without streams there after more than a second. Without this
    /// check, the callers that arrive meanwhile hang there until they disconnect.
    fn needs_confirmation(&self, endpoint: &Endpoint, request: &Request) -> bool {
        request.required.is_some() && !endpoint.liveness.is_confirmed(self.now)
    }

    /// Returns whether a request that has waited must wait for the engine's next load report.
    ///
    /// When a model with many waiting callers becomes available, all entries learn of it at the
    /// same moment, and each sees an idle engine. Together they dispatched ten times its capacity,
    /// and most of these requests were refused. Each entry therefore dispatches waiting requests
    /// only up to its share of the capacity between two load reports.
    fn throttled(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let room = f64::from(endpoint.member.slots) * ENGINE_FULL;
        let share = (room / f64::from(self.entries())).ceil() as u32;
        request.queued && endpoint.unreported >= share.max(1)
    }

    /// Returns whether an engine can run requests for a model or adapter: it is loaded there, and
    /// the instance is not stalled.
    fn can_run(&self, endpoint: &Endpoint, required: ModelKey) -> bool {
        self.holds_confirmed(endpoint, required) && !endpoint.liveness.is_stalled(self.now)
    }

    /// Returns whether an engine has a model or adapter loaded, according to a reliable report.
    ///
    /// Right after a power loss of all instances, the member list still names what the engines held
    /// before. Requests dispatched on the member list alone were refused, and used up the retry
    /// budget of later requests.
    fn holds_confirmed(&self, endpoint: &Endpoint, required: ModelKey) -> bool {
        endpoint.inventory.keys.contains(&required) && !endpoint.unconfirmed(self.now)
    }

    /// Returns the number of requests known to run or wait at all endpoints of a service.
    pub(super) fn service_runs(&self, service: &str) -> u32 {
        let fleet =
            self.pool.endpoints.values().filter(|endpoint| endpoint.member.service == service);
        fleet.map(Endpoint::load).sum()
    }

    /// Returns the cost of concentrating a service's `runs` on one endpoint.
    ///
    /// Engines take a hundred requests at once, so their fill level says little, and zone and
    /// prompt prefix send nearly all callers of a model to one of its holders. If that instance
    /// stalls, half of all streams hang until their callers disconnect. Beyond its free share, an
    /// endpoint costs more than one in another zone, so that the other holders get the rest.
    pub(super) fn concentration_cost(&self, endpoint: &Endpoint, runs: u32) -> f64 {
        let share = f64::from(endpoint.load()) / f64::from(runs.max(CONCENTRATION_MIN_RUNS));
        CONCENTRATION_COST * (share - CONCENTRATION_FREE_SHARE).max(0.0)
    }

    /// Returns the cost of an endpoint's load and of the time that it takes to respond.
    fn load_cost(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        if self.by_wait(&request.service) {
            return self.wait_cost(endpoint, request);
        }
        endpoint.load_ratio() + endpoint.ttfb_ms(self.now) / request.target_ms.max(1) as f64
    }

    /// Returns the cost of dispatching to an endpoint, in shares of its slots; `runs` is the total
    /// of its service.
    pub(super) fn cost(&self, endpoint: &Endpoint, request: &Request, runs: u32) -> f64 {
        let mut cost = self.load_cost(endpoint, request);
        cost += FAILURE_COST * (endpoint.failure_rate - FAILURE_TOLERANCE).max(0.0);
        if endpoint.member.zone != self.profile.zone {
            cost += ZONE_COST;
        }
        if request.required.is_some() {
            cost += self.concentration_cost(endpoint, runs);
            if endpoint.side_silent(self.now) || endpoint.liveness.maybe_stalled(self.now) {
                cost += SILENT_COST;
            }
        }
        if endpoint.avoided(self.now) {
            cost += UNREACHABLE_COST;
        }
        if request.lost_runs > 0 {
            cost += SUSPECT_SPREAD * affinity(request.digest.0 as u64, endpoint);
        }
        if request.prefix_hash != 0 {
            // Requests with the same prompt prefix prefer the same endpoints.
            cost -= PREFIX_GAIN * affinity(request.prefix_hash, endpoint);
        }
        cost
    }
}

/// Returns the place of an endpoint in the order of a key, from 0 to 1. Each entry computes the same
/// order from the instance names, without communication.
fn affinity(key: u64, endpoint: &Endpoint) -> f64 {
    endpoint_hash(key, endpoint) as f64 / u64::MAX as f64
}

fn endpoint_hash(key: u64, endpoint: &Endpoint) -> u64 {
    let mixed = hash_bytes(endpoint.member.instance.as_bytes()) ^ key;
    hash_bytes(&mixed.to_le_bytes())
}
