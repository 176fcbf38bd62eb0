//! At which holder of a model an adapter is used, and to which it is fetched.

use citronrill_base::rendezvous_score;

use super::{PoolEntry, Request};
use crate::{endpoint::Endpoint, member::full_name};

/// Milliseconds of an order under way that weigh like a whole batch when an adapter is to be fetched:
/// the endpoint takes no other order meanwhile, and half of the objective of a chat is over.
const BUSY_HOLDER_MS: f64 = 250.0;
/// What fetching an adapter costs, as a share of an endpoint's slots. It is less than another zone, so
/// that an adapter that is asked for in each zone comes to a holder of its model in each.
const FETCH_COST: f64 = 0.3;
/// Milliseconds after its arrival within which a request waits for an adapter that an endpoint has
/// elsewhere: fetching takes 25 to 45, and a side that has not done it by then is busy.
const FETCH_WAIT_MS: u64 = 120;

impl PoolEntry {
    /// Whether an adapter is better fetched than used where it is: nothing is heard of that endpoint, and
    /// another holds the model.
    ///
    /// The failure it meets: an instance stands still for six seconds and holds the only copy of an
    /// adapter. Its callers were sent there and left after three seconds of silence, while the adapter
    /// could be brought to another holder of the model in 25 ms.
    pub(super) fn dark_for(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let Some(base) = request.base.filter(|_| !request.adapter.is_empty()) else { return false };
        endpoint.dark(self.now)
            && self.live_holders(base).any(|one| {
                one.member.service == request.service
                    && !one.dark(self.now)
                    && !one.avoided(self.now)
                    && !request.tried.contains(&one.member.instance)
            })
    }

    /// Whether another holder of the model is so much the better place that the adapter is fetched there.
    ///
    /// The failure it meets: each adapter had one holder, whose instance stood still with most streams of the
    /// busiest model; callers that left meanwhile could not be told there, and more than a quarter of all
    /// that left went on running. Replayed 24 times each, 6 days showed it before and none with this; the
    /// worth of days did not change (60 days on three deployments, -0.001 with a standard error of 0.003).
    pub(super) fn cheaper_elsewhere(&self, cost: f64, request: &Request) -> bool {
        let waits = request.sends == 0 && self.now.since(request.arrived) < FETCH_WAIT_MS;
        waits && self.fetchers(request).any(|one| self.cost(one, request) + FETCH_COST < cost)
    }

    /// Where the adapter that a request needs is to be fetched, if a holder of its model is heard.
    pub(super) fn adapter_place(&self, request: &Request) -> Option<String> {
        let used = |one: &Endpoint| self.able(one, request) && !one.dark(self.now);
        let best = if self.pool.endpoints.values().any(used) {
            let cost = |one: &Endpoint| self.cost(one, request);
            self.fetchers(request).min_by(|a, b| cost(a).total_cmp(&cost(b)))
        } else {
            let cost = |one: &Endpoint| self.adapter_cost(one, request);
            self.holders(request).min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        best.map(|one| one.member.instance.clone())
    }

    /// Holders of a request's model that are heard; none if it needs no adapter.
    fn holders(&self, request: &Request) -> impl Iterator<Item = &Endpoint> {
        let base = request.base.filter(|_| !request.adapter.is_empty());
        self.pool.endpoints.values().filter(move |one| {
            let side = one.fresh_side(self.now);
            one.open()
                && one.member.service == request.service
                && !one.dark(self.now)
                && base.is_some_and(|base| {
                    one.holding.keys.contains(&base)
                        && side.is_some_and(|side| !side.leaving.contains(&base))
                })
        })
    }

    /// Those of them that lack the adapter and take an order at once.
    fn fetchers(&self, request: &Request) -> impl Iterator<Item = &Endpoint> {
        self.holders(request).filter(|one| {
            request.target.is_some_and(|target| !one.holding.keys.contains(&target))
                && !one.avoided(self.now)
                && self.order_ms(one) == 0
                && !request.tried.contains(&one.member.instance)
        })
    }

    /// Milliseconds until the order under way at an endpoint has ended.
    fn order_ms(&self, endpoint: &Endpoint) -> u64 {
        let side = endpoint.fresh_side(self.now);
        side.map_or(0, |side| side.order_ms.saturating_sub(self.now.since(side.at)))
    }

    /// What an adapter costs at a holder of its model, in shares of the slots.
    ///
    /// Each adapter leans to the same holder from every entry, so that the holders' few places are
    /// not all taken by the same ones; a holder that waits for a load takes no adapter meanwhile.
    fn adapter_cost(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        let busy = self.order_ms(endpoint);
        let name = full_name(&request.model, &request.adapter);
        let order = rendezvous_score(&name, &endpoint.member.instance) as f64 / u64::MAX as f64;
        endpoint.fill() + busy as f64 / BUSY_HOLDER_MS - order
    }
}
