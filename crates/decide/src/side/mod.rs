//! Reducer of a side process, which owns the ledger, the engine and the calls of one endpoint.

mod calls;
mod ledger;
mod permits;
mod reconcile;
mod state;
mod types;

use std::sync::Arc;

use citronrill_base::{Map, Millis, Outcome, Row, Txn, hash_bytes};

pub use self::{
    calls::{Admission, Calls, RECORD_LIMIT},
    types::{EngineModel, EngineReport, SideEffect, SideEvent, SideProfile},
};
use crate::{
    call::{CallId, CancelAnswer, Decline, Offer},
    log::LogEvent,
    rows::{Cached, EndpointRow, HEAD, HeadRow, PERMITS, PermitsRow, Phase, decode, endpoint_key},
    view::Versioned,
};

/// An order is sent only if the table confirmed the epoch in reply to a request made at most this
/// long ago, in milliseconds.
pub const VERIFY_MS: u64 = 1_500;
/// Time after which the sender gives up on delivering an order to the engine, in milliseconds.
pub const ORDER_TRANSIT_MS: u64 = 2_000;
/// Time after a takeover from which no order of the predecessor can reach the engine, in
/// milliseconds.
///
/// A predecessor sends its last order at most [`VERIFY_MS`] after its last confirmation, which
/// precedes the successor's claim, and the order is in transit for at most [`ORDER_TRANSIT_MS`].
/// The successor sends no load order to an engine that ignores fencing tokens before this time.
pub const ORDER_TTL_MS: u64 = VERIFY_MS + ORDER_TRANSIT_MS + 500;
/// Interval at which the side reads its own row without a change notification, in milliseconds.
const READ_INTERVAL_MS: u64 = 5_000;
/// Interval at which the engine is asked for its list of models, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Base of the upper bound of the backoff after a conflict, in milliseconds; the bound is twice
/// this after the first conflict and doubles with each further one.
const CONFLICT_BACKOFF_MS: u64 = 20;
const CONFLICT_DOUBLINGS: u32 = 7;
/// How long a row that this side does not own is used after it was read, in milliseconds.
const CACHE_TTL_MS: u64 = 1_000;
/// How long an entry that changed the side's row is sent the later versions, in milliseconds.
const SUBSCRIPTION_MS: u64 = 120_000;
/// Timeout of a request to the table or for the engine's list, in milliseconds.
const TABLE_TIMEOUT_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Starting,
    Serving,
    Draining { give_back: bool },
    Superseded,
    Done,
}

#[derive(Debug)]
struct PendingTxn {
    id: u64,
    txn: Txn,
    sent_at: Millis,
}

#[derive(Debug)]
struct Order {
    model: String,
    load: bool,
    sent_at: Millis,
}

/// Reducer of one side process.
#[derive(Debug)]
pub struct Side {
    profile: SideProfile,
    mode: Mode,
    now: Millis,
    epoch: u64,
    owned_since: Millis,
    verified_at: Option<Millis>,
    row: Versioned<EndpointRow>,
    row_known: bool,
    permits_row: Versioned<PermitsRow>,
    permits_changed: Millis,
    head: Versioned<HeadRow>,
    cache: Map<String, (Row, Millis)>,
    txn: Option<PendingTxn>,
    next_id: u64,
    pending_read: Option<(u64, Millis)>,
    last_read: Millis,
    read_requested: bool,
    engine: Option<EngineReport>,
    list_time: Millis,
    pending_list: Option<Millis>,
    orders: Map<u64, Order>,
    last_order_end: Millis,
    in_doubt: bool,
    conflicts: u32,
    pause_until: Millis,
    failed_loads: Vec<String>,
    cache_changed: Option<Millis>,
    published_cache: Option<Vec<Cached>>,
    ledger: Arc<EndpointRow>,
    wanted_since: Map<u64, Millis>,
    subscribers: Vec<(String, Millis)>,
    free_since: Option<Millis>,
    permits_seen: Map<u64, Millis>,
    calls: Calls,
}

impl Side {
    /// Creates the reducer of a process that has just started.
    pub fn new(profile: SideProfile, now: Millis) -> Side {
        Side {
            profile,
            mode: Mode::Starting,
            now,
            epoch: 0,
            owned_since: now,
            verified_at: None,
            row: Versioned::default(),
            row_known: false,
            permits_row: Versioned::default(),
            permits_changed: now,
            head: Versioned::default(),
            cache: Map::default(),
            txn: None,
            next_id: 0,
            pending_read: None,
            last_read: now,
            read_requested: true,
            engine: None,
            list_time: now,
            pending_list: None,
            orders: Map::default(),
            last_order_end: now,
            in_doubt: false,
            conflicts: 0,
            pause_until: now,
            failed_loads: Vec::new(),
            cache_changed: None,
            published_cache: None,
            ledger: Arc::default(),
            wanted_since: Map::default(),
            subscribers: Vec::new(),
            free_since: None,
            permits_seen: Map::default(),
            calls: Calls::default(),
        }
    }

    /// Processes one event and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Millis, event: SideEvent, out: &mut Vec<SideEffect>) {
        self.now = self.now.max(now);
        self.calls.expire(self.now);
        match event {
            SideEvent::Tick => {}
            SideEvent::Rows(id, rows) => self.read_done(id, rows, out),
            SideEvent::ReadFailed(id) => drop(self.end_read(id)),
            SideEvent::TxnFinished(id, outcome) => self.txn_finished(id, outcome, out),
            SideEvent::EngineListed(report) => self.engine_listed(report),
            SideEvent::OrderDone { order, done } => self.order_done(order, done),
            SideEvent::OrderLost(order) => self.order_lost(order),
            SideEvent::Offer(offer) => self.offer(&offer, out),
            SideEvent::Cancel { id, session, expires } => self.cancel(id, session, expires, out),
            SideEvent::CallEnded(id) => self.calls.ended(now, id),
            SideEvent::RowChanged(from) => self.subscribe(from),
            SideEvent::Drain { give_back } => self.drain(give_back, out),
        }
        self.advance(out);
    }

    /// Ends the pending read if its id is `id`, and returns the time at which it was issued.
    fn end_read(&mut self, id: u64) -> Option<Millis> {
        let (_, asked_at) = self.pending_read.filter(|(current, _)| *current == id)?;
        self.pending_read = None;
        Some(asked_at)
    }

    fn read_done(&mut self, id: u64, rows: Vec<Row>, out: &mut Vec<SideEffect>) {
        let asked_at = self.end_read(id);
        self.apply_rows(rows, asked_at, out);
    }

    /// Applies the rows of a request issued at `asked_at`; `None` if the request has timed out.
    fn apply_rows(&mut self, rows: Vec<Row>, asked_at: Option<Millis>, out: &mut Vec<SideEffect>) {
        let own = endpoint_key(&self.profile.endpoint);
        for row in rows {
            if row.key == own {
                self.apply_own_row(&row, asked_at, out);
            } else if row.key == PERMITS {
                self.apply_permits(&row);
            } else if row.key == HEAD {
                if row.version > self.head.version {
                    self.head = Versioned { version: row.version, row: decode(&row.body) };
                }
            } else {
                self.cache.insert(row.key.clone(), (row, self.now));
            }
        }
    }

    /// Returns a cached row that another process owns, if it was read recently: a transaction based
    /// on an older one would only conflict.
    fn cached(&self, key: &str) -> Option<&Row> {
        let (row, at) = self.cache.get(key)?;
        (self.now.since(*at) < CACHE_TTL_MS).then_some(row)
    }

    /// Applies the side's own row and, if it carries this process's epoch, counts the epoch as
    /// verified at the time of the request.
    ///
    /// A paused process may have been replaced, and find the answer to an earlier read when it
    /// resumes. Such an answer says nothing about the present, so its age is counted from the
    /// request, on the local clock.
    fn apply_own_row(&mut self, row: &Row, asked_at: Option<Millis>, out: &mut Vec<SideEffect>) {
        if row.version < self.row.version {
            return;
        }
        self.row_known = true;
        self.row = Versioned { version: row.version, row: decode(&row.body) };
        self.ledger = Arc::new(self.row.row.clone().unwrap_or_default());
        let row = self.ledger();
        self.failed_loads.retain(|model| row.replica(model).is_some());
        let epoch = row.epoch;
        match self.mode {
            Mode::Starting | Mode::Done => {}
            _ if epoch != self.epoch => self.supersede(out),
            _ => self.verified_at = self.verified_at.max(asked_at),
        }
    }

    fn supersede(&mut self, out: &mut Vec<SideEffect>) {
        if self.mode != Mode::Superseded {
            self.mode = Mode::Superseded;
            self.verified_at = None;
            out.push(SideEffect::Log(LogEvent::new("superseded").with("epoch", self.epoch)));
            out.push(SideEffect::Superseded);
        }
    }

    fn apply_permits(&mut self, row: &Row) {
        if row.version < self.permits_row.version {
            return;
        }
        if row.version > self.permits_row.version {
            self.permits_changed = self.now;
        }
        self.permits_row = Versioned { version: row.version, row: decode(&row.body) };
        self.record_own_permits();
    }

    fn engine_listed(&mut self, report: Option<EngineReport>) {
        let asked_at = self.pending_list.take();
        if let (Some(report), Some(asked_at)) = (report, asked_at) {
            self.list_time = asked_at;
            self.engine = Some(report);
        }
    }

    fn order_done(&mut self, id: u64, done: bool) {
        let Some(order) = self.orders.remove(&id) else { return };
        // The engine's list is authoritative; a refusal only shows that a load failed.
        self.last_order_end = self.now;
        if !done && order.load && !self.failed_loads.contains(&order.model) {
            self.failed_loads.push(order.model);
        }
    }

    /// Drops a lost order; the engine's next list shows its outcome.
    fn order_lost(&mut self, id: u64) {
        if self.orders.remove(&id).is_some() {
            self.last_order_end = self.now;
        }
    }

    /// Decides whether to run an offered call.
    ///
    /// A previous decision takes precedence: a duplicate of a running call that arrives while the
    /// process drains must not be declined, since a decline means that the call never ran.
    fn offer(&mut self, offer: &Offer, out: &mut Vec<SideEffect>) {
        let admission = match (self.calls.previous_decision(offer.id), self.decline_reason(offer)) {
            (Some(admission), _) => admission,
            (None, Some(reason)) => {
                self.calls.record_decline(offer, reason);
                Admission::Declined(reason)
            }
            (None, None) => self.calls.offer(self.now, self.profile.slots, offer),
        };
        out.push(match admission {
            Admission::Run => SideEffect::RunCall(offer.id),
            Admission::Duplicate => SideEffect::AttachCall(offer.id),
            Admission::Declined(reason) => SideEffect::Decline(offer.id, reason),
        });
    }

    /// Returns why a call cannot run here regardless of the load, if so.
    fn decline_reason(&self, offer: &Offer) -> Option<Decline> {
        if offer.session != self.profile.session {
            return Some(Decline::OtherSession);
        }
        if matches!(self.mode, Mode::Draining { .. } | Mode::Superseded | Mode::Done) {
            return Some(Decline::Leaving);
        }
        if self.profile.memory_mb > 0 && !self.serves(&offer.model) {
            return Some(Decline::NotLoaded);
        }
        None
    }

    /// Returns whether the model is ready according to both the ledger and the engine.
    fn serves(&self, model: &str) -> bool {
        let row = self.row.row.as_ref().and_then(|row| row.replica(model));
        row.is_some_and(|replica| replica.phase() == Phase::Ready) && self.engine_has(model, true)
    }

    /// Answers a cancellation; the outcome of a call sent to a predecessor is unknown.
    fn cancel(&mut self, id: CallId, session: u64, expires: u64, out: &mut Vec<SideEffect>) {
        let answer = if session == self.profile.session {
            self.calls.cancel(self.now, id, expires)
        } else {
            CancelAnswer::Unknown
        };
        if answer == CancelAnswer::Ran {
            out.push(SideEffect::AbortCall(id));
        }
        out.push(SideEffect::AnswerCancel(id, answer));
    }

    fn drain(&mut self, give_back: bool, out: &mut Vec<SideEffect>) {
        if matches!(self.mode, Mode::Starting | Mode::Serving | Mode::Draining { .. }) {
            let started = self.mode != Mode::Starting;
            self.mode = Mode::Draining { give_back: give_back && started };
            out.push(SideEffect::Log(LogEvent::new("draining").with("give_back", give_back)));
        }
    }

    fn engine_has(&self, model: &str, ready: bool) -> bool {
        let models = self.engine.iter().flat_map(|report| &report.models);
        models.filter(|held| held.model == model).any(|held| held.ready || !ready)
    }

    /// Issues the reads that are due, then performs the next possible step.
    fn advance(&mut self, out: &mut Vec<SideEffect>) {
        self.read_if_due(out);
        self.list_if_due(out);
        match self.mode {
            Mode::Starting => self.take_over(out),
            Mode::Serving | Mode::Draining { .. } => self.advance_ledger(out),
            Mode::Superseded | Mode::Done => {}
        }
    }

    fn read_if_due(&mut self, out: &mut Vec<SideEffect>) {
        if self.pending_read.is_some_and(|(_, since)| self.now.since(since) >= TABLE_TIMEOUT_MS) {
            self.pending_read = None;
            self.read_requested = true;
        }
        let due = self.read_requested || self.now.since(self.last_read) >= READ_INTERVAL_MS;
        let stopped = matches!(self.mode, Mode::Superseded | Mode::Done);
        if due && self.txn.is_none() && self.pending_read.is_none() && !stopped {
            self.read_requested = false;
            self.last_read = self.now;
            let own = endpoint_key(&self.profile.endpoint);
            self.read(vec![own, PERMITS.to_owned(), HEAD.to_owned()], out);
        }
    }

    fn read(&mut self, keys: Vec<String>, out: &mut Vec<SideEffect>) {
        self.next_id += 1;
        self.pending_read = Some((self.next_id, self.now));
        out.push(SideEffect::Read(self.next_id, keys));
    }

    fn list_if_due(&mut self, out: &mut Vec<SideEffect>) {
        if self.profile.memory_mb == 0 {
            self.engine.get_or_insert_default();
            return;
        }
        let request_pending =
            self.pending_list.is_some_and(|since| self.now.since(since) < TABLE_TIMEOUT_MS);
        let stale = self.engine.is_none() || self.list_time <= self.last_order_end;
        let due = stale || self.now.since(self.list_time) >= LIST_INTERVAL_MS;
        if due && !request_pending && self.mode != Mode::Done {
            self.pending_list = Some(self.now);
            out.push(SideEffect::ListEngine);
        }
    }

    fn commit(&mut self, txn: Txn, out: &mut Vec<SideEffect>) {
        self.next_id += 1;
        let id = self.next_id;
        self.txn = Some(PendingTxn { id, txn: txn.clone(), sent_at: self.now });
        out.push(SideEffect::Commit(id, txn));
    }

    fn txn_finished(&mut self, id: u64, outcome: Outcome, out: &mut Vec<SideEffect>) {
        if self.txn.as_ref().is_none_or(|pending| pending.id != id) {
            return;
        }
        let Some(pending) = self.txn.take() else { return };
        match outcome {
            Outcome::Committed(version) => {
                let rows = pending.txn.writes.into_iter();
                let rows = rows.map(|write| Row { key: write.key, version, body: write.body });
                let rows = rows.collect::<Vec<_>>();
                if self.mode == Mode::Starting {
                    self.claim_confirmed(out);
                }
                let own = endpoint_key(&self.profile.endpoint);
                if let Some(row) = rows.iter().find(|row: &&Row| row.key == own) {
                    self.in_doubt = false;
                    self.announce(row, out);
                }
                self.conflicts = 0;
                self.apply_rows(rows, Some(pending.sent_at), out);
            }
            Outcome::Conflict => self.back_off(),
            Outcome::Unknown => self.mark_in_doubt(),
        }
    }

    fn subscribe(&mut self, from: String) {
        self.read_requested = true;
        let now = self.now;
        self.subscribers
            .retain(|(address, at)| *address != from && now.since(*at) < SUBSCRIPTION_MS);
        self.subscribers.push((from, now));
    }

    /// Sends the side's committed row to the entries that recently changed it.
    fn announce(&self, row: &Row, out: &mut Vec<SideEffect>) {
        let recent =
            self.subscribers.iter().filter(|(_, at)| self.now.since(*at) < SUBSCRIPTION_MS);
        out.extend(recent.map(|(to, _)| SideEffect::Announce(to.clone(), row.clone())));
    }

    /// Discards the cached rows, so that everything is read again before the next decision.
    fn invalidate_cache(&mut self) {
        self.cache.clear();
        self.read_requested = true;
    }

    /// Backs off after a conflict, exponentially and with jitter that differs between sides.
    ///
    /// After a burst, a hundred sides compete for the single row of permits. Without the backoff
    /// all of them would read and write again at once, and all but one would conflict.
    fn back_off(&mut self) {
        self.invalidate_cache();
        self.conflicts = (self.conflicts + 1).min(CONFLICT_DOUBLINGS);
        let name = format!("{}/{}", self.profile.session, self.next_id);
        let limit = CONFLICT_BACKOFF_MS << self.conflicts;
        self.pause_until = self.now + hash_bytes(name.as_bytes()) % limit;
    }

    /// Records that a transaction's outcome is unknown: it may still take effect at any time.
    ///
    /// The transaction may remove a replica from the ledger; a load ordered before then would leave
    /// the engine with a model that the ledger does not have. Orders are held back until another
    /// write to the side's row is confirmed: it advances the version that the lost transaction
    /// checks, which can then no longer take effect.
    fn mark_in_doubt(&mut self) {
        self.in_doubt = true;
        self.invalidate_cache();
    }

    /// Returns the endpoint's row as last read or written.
    fn ledger(&self) -> Arc<EndpointRow> {
        self.ledger.clone()
    }
}
