//! Permits to read from the weight store.
//!
//! The store sustains few concurrent loads at full speed and few load starts per second. One row
//! enforces both limits: it has at most `concurrent_loads` permits, and each is held for at least
//! `concurrent_loads / loads_per_second` seconds on its holder's clock, so that clocks need not
//! agree.

use citronrill_base::{Millis, Txn};
use prost::Message;

use super::{Side, SideEffect};
use crate::{
    log::LogEvent,
    rows::{
        EndpointRow, PERMITS, Permit, PermitsRow, Phase, Replica, Waiter, decode, endpoint_key,
    },
};

/// Interval at which the load that is next in line reads the permits, in milliseconds; loads
/// further back read less often.
const POLL_MS: u64 = 300;
const POLL_MAX_MS: u64 = 3_000;
/// Time after which a free permit that the first waiter has not taken is available to any load, in
/// milliseconds.
const FIRST_WAITER_TIMEOUT_MS: u64 = 1_500;
/// Permits unchanged for this time are checked against their holders' ledgers, in milliseconds.
const STALE_MS: u64 = 3_000;
/// A waiter that other loads have passed this many times goes first.
const MAX_PASSED: u32 = 8;

impl Side {
    /// Begins to load a wanted replica that fits, with a permit if it reads from the weight store.
    pub(super) fn begin_load(
        &mut self,
        mut row: EndpointRow,
        replica: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let order = replica.order;
        for started in row.replicas.iter_mut().filter(|replica| replica.order == order) {
            started.phase = Phase::Loading.into();
        }
        if !replica.remote {
            self.write_row(row, out);
            return true;
        }
        let mut permits_row = self.permits_row.row.clone().unwrap_or_default();
        if permits_row.permits.iter().any(|permit| permit.order == order) {
            self.write_row(row, out);
            return true;
        }
        let mut txn = Txn::default();
        if self.permits_unchanged(STALE_MS)
            && !self.drop_stale_permits(&mut permits_row, &mut txn, out)
        {
            return true;
        }
        if !self.can_take_permit(&permits_row, order) {
            return self.wait_for_permit(permits_row, replica, out);
        }
        for waiter in &mut permits_row.waiters {
            waiter.passed += 1;
        }
        permits_row.waiters.retain(|waiter| waiter.order != order);
        permits_row.permits.push(Permit { endpoint: self.profile.endpoint.clone(), order });
        txn.put(PERMITS, self.permits_row.version, Some(permits_row.encode_to_vec()));
        let key = endpoint_key(&self.profile.endpoint);
        txn.put(key, self.row.version, Some(row.encode_to_vec()));
        self.commit(txn, out);
        true
    }

    fn permits_unchanged(&self, limit: u64) -> bool {
        self.now.since(self.permits_changed) >= limit
    }

    /// Returns whether a permit is free and this load may take it.
    ///
    /// The first waiter may be dead or lack memory, so a permit that this process has seen free for
    /// [`FIRST_WAITER_TIMEOUT_MS`] goes to any load. Other changes of the row do not reset that
    /// time: otherwise a busy queue would wait forever behind a stalled first waiter.
    fn can_take_permit(&mut self, permits_row: &PermitsRow, order: u64) -> bool {
        if permits_row.permits.len() as u64 >= permits_row.concurrent_loads.max(1) {
            self.free_since = None;
            return false;
        }
        let free_since = *self.free_since.get_or_insert(self.now);
        let timed_out = self.now.since(free_since) >= FIRST_WAITER_TIMEOUT_MS;
        let rank = |waiter: &&Waiter| (waiter.passed < MAX_PASSED, waiter.urgency, waiter.order);
        let first = permits_row.waiters.iter().min_by_key(rank);
        first.is_none_or(|first| first.order == order) || timed_out
    }

    /// Joins the queue for a permit, or reads the permits again once the polling interval has
    /// passed; returns whether a transaction was started.
    fn wait_for_permit(
        &mut self,
        mut permits_row: PermitsRow,
        replica: &Replica,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        if permits_row.waiters.iter().any(|waiter| waiter.order == replica.order) {
            let earlier =
                permits_row.waiters.iter().filter(|waiter| waiter.urgency < replica.urgency);
            let turns = 1 + earlier.count() as u64 / permits_row.concurrent_loads.max(1);
            if self.now.since(self.last_read) >= (POLL_MS * turns).min(POLL_MAX_MS) {
                self.read_requested = true;
            }
            return false;
        }
        let endpoint = self.profile.endpoint.clone();
        let (order, urgency) = (replica.order, replica.urgency);
        permits_row.waiters.push(Waiter { endpoint, order, urgency, passed: 0 });
        let mut txn = Txn::default();
        txn.put(PERMITS, self.permits_row.version, Some(permits_row.encode_to_vec()));
        self.commit(txn, out);
        true
    }

    /// Drops permits and waiters whose load is no longer in their holder's ledger; returns `false`
    /// while the ledgers are being read.
    ///
    /// A holder that died releases nothing. Its successor, or the entry that cleans up after a
    /// removed instance, changes its ledger, and the permit then belongs to no load. The version of
    /// the holder's row is checked in the same transaction, which protects a load that has just
    /// begun.
    fn drop_stale_permits(
        &mut self,
        permits_row: &mut PermitsRow,
        txn: &mut Txn,
        out: &mut Vec<SideEffect>,
    ) -> bool {
        let own = self.profile.endpoint.clone();
        let others = permits_row.permits.iter().map(|permit| &permit.endpoint);
        let others = others.chain(permits_row.waiters.iter().map(|waiter| &waiter.endpoint));
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
        let before = (permits_row.permits.len(), permits_row.waiters.len());
        let own_row = self.ledger();
        let live = |endpoint: &str, order: u64, loading: bool| {
            let row = if endpoint == own {
                Some(EndpointRow::clone(&own_row))
            } else {
                let cached = self.cached(&endpoint_key(endpoint));
                cached.and_then(|row| decode::<EndpointRow>(&row.body))
            };
            let replica =
                row.and_then(|row| row.replicas.into_iter().find(|replica| replica.order == order));
            replica.is_some_and(|replica| match replica.phase() {
                Phase::Loading => true,
                Phase::Wanted => !loading,
                Phase::Ready | Phase::Unloading => false,
            })
        };
        permits_row.permits.retain(|permit| live(&permit.endpoint, permit.order, true));
        permits_row.waiters.retain(|waiter| live(&waiter.endpoint, waiter.order, false));
        if before != (permits_row.permits.len(), permits_row.waiters.len()) {
            for key in &keys {
                txn.check(key.clone(), self.cache[key].0.version);
            }
            out.push(SideEffect::Log(LogEvent::new("stale_permits_dropped")));
        }
        // The next check must read the ledgers again.
        keys.iter().for_each(|key| drop(self.cache.remove(key)));
        self.permits_changed = self.now;
        true
    }

    /// Adds to `txn` the release of this endpoint's permits whose load has ended and that were held
    /// for the minimum time, and the removal of its waiters that are no longer wanted.
    pub(super) fn add_permit_release(&self, updated_row: &EndpointRow, txn: &mut Txn) {
        let own = &self.profile.endpoint;
        let Some(row) = &self.permits_row.row else { return };
        let holds_permit = row.permits.iter().any(|permit| permit.endpoint == *own);
        if !holds_permit && !row.waiters.iter().any(|waiter| waiter.endpoint == *own) {
            return;
        }
        let mut permits_row = row.clone();
        let before = permits_row.permits.len() + permits_row.waiters.len();
        let phase = |order: u64| {
            updated_row.replicas.iter().find(|replica| replica.order == order).map(Replica::phase)
        };
        let hold_ms = permits_row.concurrent_loads * 1000 / permits_row.loads_per_second.max(1);
        permits_row.permits.retain(|permit| {
            let loading = phase(permit.order) == Some(Phase::Loading);
            permit.endpoint != *own || loading || !self.held_for(permit.order, hold_ms)
        });
        permits_row
            .waiters
            .retain(|waiter| waiter.endpoint != *own || phase(waiter.order) == Some(Phase::Wanted));
        if permits_row.permits.len() + permits_row.waiters.len() != before {
            txn.put(PERMITS, self.permits_row.version, Some(permits_row.encode_to_vec()));
        }
    }

    /// Returns whether this process has seen the permit for at least `hold_ms`.
    fn held_for(&self, order: u64, hold_ms: u64) -> bool {
        self.permit_seen(order).is_some_and(|since| self.now.since(since) >= hold_ms)
    }

    fn permit_seen(&self, order: u64) -> Option<Millis> {
        self.permits_seen.get(&order).copied()
    }

    /// Records when each permit of this endpoint was first seen.
    pub(super) fn record_own_permits(&mut self) {
        let permits = self.permits_row.row.iter().flat_map(|row| &row.permits);
        let own = permits.filter(|permit| permit.endpoint == self.profile.endpoint);
        let orders = own.map(|permit| permit.order).collect::<Vec<_>>();
        self.permits_seen.retain(|order, _| orders.contains(order));
        for order in orders {
            self.permits_seen.entry(order).or_insert(self.now);
        }
    }

    /// Releases permits whose load ended before the minimum holding time had passed, once it has
    /// passed.
    pub(super) fn release_permits(&mut self, row: &EndpointRow, out: &mut Vec<SideEffect>) -> bool {
        self.record_own_permits();
        let mut txn = Txn::default();
        self.add_permit_release(row, &mut txn);
        if txn.writes.is_empty() {
            return false;
        }
        self.commit(txn, out);
        true
    }
}
