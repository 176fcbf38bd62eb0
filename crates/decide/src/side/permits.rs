//! Permits to read from the weight store.
//!
//! The store carries few loads at once at full speed and starts few a second. Both limits are kept
//! by one row: at most so many permits, and each held for at least `loads_once / loads_second`
//! seconds of its holder's own clock, so that no clocks need to agree.

use citronrill_base::{Millis, Txn};
use prost::Message;

use super::{Side, SideEffect};
use crate::{
    log::LogEvent,
    rows::{
        EndpointRow, Permit, Phase, Replica, WEIGHTS, Waiter, WeightsRow, decode, endpoint_key,
    },
};

/// How often the permits are read by the load that is next in line, in milliseconds; those behind it
/// read less often.
const POLL_MS: u64 = 300;
const POLL_LIMIT_MS: u64 = 3_000;
/// A free permit that the first in line has not taken for this time goes to the next.
const FIRST_PATIENCE_MS: u64 = 1_500;
/// Permits that have not moved for this time are checked against their holders' ledgers.
const STALE_MS: u64 = 3_000;
/// A waiter that was passed this often goes first.
const PASS_LIMIT: u32 = 8;

impl Side {
    /// Takes a wanted replica with room into its load, with a permit where it needs one.
    pub(super) fn begin_load(
        &mut self,
        mut row: EndpointRow,
        replica: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let order = replica.order;
        for it in row.replicas.iter_mut().filter(|it| it.order == order) {
            it.phase = Phase::Loading.into();
        }
        if !replica.remote {
            self.write_row(row, out);
            return true;
        }
        let mut weights = self.weights.row.clone().unwrap_or_default();
        if weights.permits.iter().any(|permit| permit.order == order) {
            self.write_row(row, out);
            return true;
        }
        let mut txn = Txn::default();
        if self.weights_idle(STALE_MS) && !self.drop_stale(&mut weights, &mut txn, out) {
            return true;
        }
        if !self.may_take(&weights, order) {
            return self.wait_in_line(weights, replica, out);
        }
        for waiter in &mut weights.waiters {
            waiter.passed += 1;
        }
        weights.waiters.retain(|waiter| waiter.order != order);
        weights.permits.push(Permit { endpoint: self.profile.endpoint.clone(), order });
        txn.put(WEIGHTS, self.weights.version, Some(weights.encode_to_vec()));
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(row.encode_to_vec()));
        self.commit(txn, out);
        true
    }

    fn weights_idle(&self, limit: u64) -> bool {
        self.now.since(self.weights_since) >= limit
    }

    /// Whether a permit is free and this load is the next to have it.
    ///
    /// The first in line may be dead, or have no room. A permit that has been free for a while as
    /// this process sees it goes to whoever wants it; what others do to the row meanwhile does not
    /// count, or a busy line would wait for ever behind one that does not move.
    fn may_take(&mut self, weights: &WeightsRow, order: u64) -> bool {
        if weights.permits.len() as u64 >= weights.loads_once.max(1) {
            self.free_since = None;
            return false;
        }
        let free_since = *self.free_since.get_or_insert(self.now);
        let patient = self.now.since(free_since) >= FIRST_PATIENCE_MS;
        let rank = |waiter: &&Waiter| (waiter.passed < PASS_LIMIT, waiter.urgency, waiter.order);
        let first = weights.waiters.iter().min_by_key(rank);
        first.is_none_or(|first| first.order == order) || patient
    }

    /// Stands in line, or looks at the line again after a while; whether something was begun.
    fn wait_in_line(
        &mut self,
        mut weights: WeightsRow,
        replica: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        if weights.waiters.iter().any(|waiter| waiter.order == replica.order) {
            let earlier = weights.waiters.iter().filter(|it| it.urgency < replica.urgency);
            let turns = 1 + earlier.count() as u64 / weights.loads_once.max(1);
            if self.now.since(self.last_read) >= (POLL_MS * turns).min(POLL_LIMIT_MS) {
                self.read_now = true;
            }
            return false;
        }
        let endpoint = self.profile.endpoint.clone();
        let (order, urgency) = (replica.order, replica.urgency);
        weights.waiters.push(Waiter { endpoint, order, urgency, passed: 0 });
        let mut txn = Txn::default();
        txn.put(WEIGHTS, self.weights.version, Some(weights.encode_to_vec()));
        self.commit(txn, out);
        true
    }

    /// Drops permits and waiters whose holder's ledger no longer has them; `false` while the
    /// ledgers are being read.
    ///
    /// A holder that died gives nothing back. Its instance's successor, or the entry that cleans up
    /// after a gone instance, moves its ledger on, and then the permit has no load behind it. The
    /// check of the holder's row in the same transaction keeps a load that has just begun safe.
    fn drop_stale(
        &mut self,
        weights: &mut WeightsRow,
        txn: &mut Txn,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let own = self.profile.endpoint.clone();
        let others = weights.permits.iter().map(|it| &it.endpoint);
        let others = others.chain(weights.waiters.iter().map(|it| &it.endpoint));
        let mut names = others.filter(|name| **name != own).cloned().collect::<Vec<_>>();
        names.sort_unstable();
        names.dedup();
        let keys = names.iter().map(|name| endpoint_key(name)).collect::<Vec<_>>();
        let missing = keys.iter().filter(|key| self.cached(key).is_none()).cloned();
        let missing = missing.collect::<Vec<_>>();
        if !missing.is_empty() {
            self.read(missing, out);
            return false;
        }
        let before = (weights.permits.len(), weights.waiters.len());
        let mine = self.ledger();
        let live = |endpoint: &str, order: u64, loading: bool| {
            let row = if endpoint == own {
                Some(EndpointRow::clone(&mine))
            } else {
                let held = self.cached(&endpoint_key(endpoint));
                held.and_then(|row| decode::<EndpointRow>(&row.body))
            };
            let replica = row.and_then(|row| row.replicas.into_iter().find(|it| it.order == order));
            replica.is_some_and(|it| match it.phase() {
                Phase::Loading => true,
                Phase::Wanted => !loading,
                Phase::Ready | Phase::Unloading => false,
            })
        };
        weights.permits.retain(|it| live(&it.endpoint, it.order, true));
        weights.waiters.retain(|it| live(&it.endpoint, it.order, false));
        if before != (weights.permits.len(), weights.waiters.len()) {
            for key in &keys {
                txn.check(key.clone(), self.cache[key].0.version);
            }
            out.push(SideEffect::Log(LogEvent::new("stale_permits_dropped")));
        }
        // The next look reads the ledgers afresh.
        keys.iter().for_each(|key| drop(self.cache.remove(key)));
        self.weights_since = self.now;
        true
    }

    /// Gives back the permits of loads that have ended and were held long enough.
    pub(super) fn drop_permits(&self, next: &EndpointRow, txn: &mut Txn) {
        let own = &self.profile.endpoint;
        let Some(row) = &self.weights.row else { return };
        let permits = row.permits.iter().any(|it| it.endpoint == *own);
        if !permits && !row.waiters.iter().any(|it| it.endpoint == *own) {
            return;
        }
        let mut weights = row.clone();
        let before = weights.permits.len() + weights.waiters.len();
        let phase = |order: u64| {
            next.replicas.iter().find(|replica| replica.order == order).map(Replica::phase)
        };
        let hold_ms = weights.loads_once * 1000 / weights.loads_second.max(1);
        weights.permits.retain(|it| {
            let loading = phase(it.order) == Some(Phase::Loading);
            it.endpoint != *own || loading || !self.held_for(it.order, hold_ms)
        });
        weights.waiters.retain(|it| it.endpoint != *own || phase(it.order) == Some(Phase::Wanted));
        if weights.permits.len() + weights.waiters.len() != before {
            txn.put(WEIGHTS, self.weights.version, Some(weights.encode_to_vec()));
        }
    }

    /// Whether this process has seen the permit for at least `hold_ms`.
    fn held_for(&self, order: u64, hold_ms: u64) -> bool {
        self.permit_seen(order).is_some_and(|since| self.now.since(since) >= hold_ms)
    }

    fn permit_seen(&self, order: u64) -> Option<Millis> {
        self.permits_seen.get(&order).copied()
    }

    /// Notes when each own permit was first seen.
    pub(super) fn note_permits(&mut self) {
        let permits = self.weights.row.iter().flat_map(|row| &row.permits);
        let own = permits.filter(|it| it.endpoint == self.profile.endpoint);
        let orders = own.map(|it| it.order).collect::<Vec<_>>();
        self.permits_seen.retain(|order, _| orders.contains(order));
        for order in orders {
            self.permits_seen.entry(order).or_insert(self.now);
        }
    }

    /// Gives back permits whose load ended before they had been held long enough.
    pub(super) fn release_permits(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) -> bool {
        self.note_permits();
        let mut txn = Txn::default();
        self.drop_permits(row, &mut txn);
        if txn.writes.is_empty() {
            return false;
        }
        self.commit(txn, out);
        true
    }
}
