//! The reducer of a side process: it owns one endpoint's ledger, engine and calls.

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
    types::{EngineReport, HeldModel, SideEffect, SideEvent, SideProfile},
};
use crate::{
    call::{CallId, CancelAnswer, Decline, Offer},
    log::LogEvent,
    rows::{Cached, EndpointRow, HEAD, HeadRow, Phase, WEIGHTS, WeightsRow, decode, endpoint_key},
    view::Held,
};

/// An order is given only if the table confirmed the epoch to a request made at most this long ago,
/// in milliseconds.
pub const VERIFY_MS: u64 = 1_500;
/// An order may be on its way to the engine for this long, in milliseconds; then its sender gives up.
pub const ORDER_TRANSIT_MS: u64 = 2_000;
/// After this time no order of a predecessor can reach the engine any more, in milliseconds.
///
/// A predecessor gives its last order at most [`VERIFY_MS`] after its last confirmation, which came
/// before the successor's claim, and the order is on its way for at most [`ORDER_TRANSIT_MS`]. An
/// engine that ignores fencing numbers gets no load order from the successor before that.
pub const ORDER_TTL_MS: u64 = VERIFY_MS + ORDER_TRANSIT_MS + 500;
/// How often the own row is read when nobody says that it changed.
const READ_MS: u64 = 5_000;
/// How often the engine is asked what it holds.
const LIST_MS: u64 = 1_000;
/// The pause after a first conflict at most, in milliseconds; it doubles with each further one.
const CONFLICT_MS: u64 = 20;
const CONFLICT_DOUBLINGS: u32 = 7;
/// How long a row of others is used after it was read, in milliseconds.
const CACHE_MS: u64 = 1_000;
/// How long an entry that has decided something here is told of the own row, in milliseconds.
const POKER_MS: u64 = 120_000;
/// How long to wait for the table before asking again.
const TABLE_PATIENCE_MS: u64 = 3_000;

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
    since: Millis,
}

#[derive(Debug)]
struct Order {
    model: String,
    load: bool,
    since: Millis,
}

/// The reducer.
#[derive(Debug)]
pub struct Side {
    profile: SideProfile,
    mode: Mode,
    now: Millis,
    epoch: u64,
    owned: Millis,
    verified: Option<Millis>,
    row: Held<EndpointRow>,
    row_known: bool,
    weights: Held<WeightsRow>,
    weights_since: Millis,
    head: Held<HeadRow>,
    cache: Map<String, (Row, Millis)>,
    txn: Option<PendingTxn>,
    next_id: u64,
    reading: Option<(u64, Millis)>,
    last_read: Millis,
    read_now: bool,
    engine: Option<EngineReport>,
    listed: Millis,
    listing: Option<Millis>,
    orders: Map<u64, Order>,
    order_done: Millis,
    in_doubt: bool,
    conflicts: u32,
    pause_until: Millis,
    failed: Vec<String>,
    caches_differ: Option<Millis>,
    published: Option<Vec<Cached>>,
    current: Arc<EndpointRow>,
    since: Map<u64, Millis>,
    pokers: Vec<(String, Millis)>,
    free_since: Option<Millis>,
    permits_seen: Map<u64, Millis>,
    calls: Calls,
}

impl Side {
    /// The reducer of a process that has just started.
    pub fn new(profile: SideProfile, now: Millis) -> Side {
        Side {
            profile,
            mode: Mode::Starting,
            now,
            epoch: 0,
            owned: now,
            verified: None,
            row: Held::default(),
            row_known: false,
            weights: Held::default(),
            weights_since: now,
            head: Held::default(),
            cache: Map::default(),
            txn: None,
            next_id: 0,
            reading: None,
            last_read: now,
            read_now: true,
            engine: None,
            listed: now,
            listing: None,
            orders: Map::default(),
            order_done: now,
            in_doubt: false,
            conflicts: 0,
            pause_until: now,
            failed: Vec::new(),
            caches_differ: None,
            published: None,
            current: Arc::default(),
            since: Map::default(),
            pokers: Vec::new(),
            free_since: None,
            permits_seen: Map::default(),
            calls: Calls::default(),
        }
    }

    /// Takes in one event.
    pub fn step(&mut self, now: Millis, event: SideEvent, out: &mut Vec<SideEffect>) {
        self.now = self.now.max(now);
        self.calls.expire(self.now);
        match event {
            SideEvent::Tick => {}
            SideEvent::Rows(id, rows) => self.answered(id, rows, out),
            SideEvent::ReadFailed(id) => drop(self.end_read(id)),
            SideEvent::Committed(id, outcome) => self.committed(id, outcome, out),
            SideEvent::Engine(report) => self.listed(report),
            SideEvent::OrderDone { order, done } => self.order_done(order, done),
            SideEvent::OrderLost(order) => self.order_lost(order),
            SideEvent::Offer(offer) => self.offer(&offer, out),
            SideEvent::Cancel { id, session, expires } => self.cancel(id, session, expires, out),
            SideEvent::Ended(id) => self.calls.ended(now, id),
            SideEvent::Poke(from) => self.poked(from),
            SideEvent::Drain { give_back } => self.drain(give_back, out),
        }
        self.advance(out);
    }

    /// Ends the read that is under way, if `id` names it; gives the time at which it was asked.
    fn end_read(&mut self, id: u64) -> Option<Millis> {
        let (_, asked) = self.reading.filter(|(current, _)| *current == id)?;
        self.reading = None;
        Some(asked)
    }

    fn answered(&mut self, id: u64, rows: Vec<Row>, out: &mut Vec<SideEffect>) {
        let asked = self.end_read(id);
        self.absorb(rows, asked, out);
    }

    /// Takes in rows of a request made at `asked`; `None` if it was given up meanwhile.
    fn absorb(&mut self, rows: Vec<Row>, asked: Option<Millis>, out: &mut Vec<SideEffect>) {
        let own = endpoint_key(&self.profile.endpoint);
        for row in rows {
            if row.key == own {
                self.absorb_own(&row, asked, out);
            } else if row.key == WEIGHTS {
                self.absorb_weights(&row);
            } else if row.key == HEAD {
                if row.version > self.head.version {
                    self.head = Held { version: row.version, row: decode(&row.body) };
                }
            } else {
                self.cache.insert(row.key.clone(), (row, self.now));
            }
        }
    }

    /// A row of others that was read a moment ago; an older one would only lead to a conflict.
    fn cached(&self, key: &str) -> Option<&Row> {
        let (row, at) = self.cache.get(key)?;
        (self.now.since(*at) < CACHE_MS).then_some(row)
    }

    /// Takes in the own row and, if it carries the own epoch, trusts it from the time of asking.
    ///
    /// A process that is paused may be replaced meanwhile, and the answer to a read that it made
    /// before is still waiting for it when it wakes up. The time of asking, on the own clock, shows
    /// that such an answer proves nothing about now.
    fn absorb_own(&mut self, row: &Row, asked: Option<Millis>, out: &mut Vec<SideEffect>) {
        if row.version < self.row.version {
            return;
        }
        self.row_known = true;
        self.row = Held { version: row.version, row: decode(&row.body) };
        self.current = Arc::new(self.row.row.clone().unwrap_or_default());
        let row = self.ledger();
        self.failed.retain(|model| row.replica(model).is_some());
        let epoch = row.epoch;
        match self.mode {
            Mode::Starting | Mode::Done => {}
            _ if epoch != self.epoch => self.supersede(out),
            _ => self.verified = self.verified.max(asked),
        }
    }

    fn supersede(&mut self, out: &mut Vec<SideEffect>) {
        if self.mode != Mode::Superseded {
            self.mode = Mode::Superseded;
            self.verified = None;
            out.push(SideEffect::Log(LogEvent::new("superseded").with("epoch", self.epoch)));
            out.push(SideEffect::Superseded);
        }
    }

    fn absorb_weights(&mut self, row: &Row) {
        if row.version < self.weights.version {
            return;
        }
        if row.version > self.weights.version {
            self.weights_since = self.now;
        }
        self.weights = Held { version: row.version, row: decode(&row.body) };
        self.note_permits();
    }

    fn listed(&mut self, report: Option<EngineReport>) {
        let asked = self.listing.take();
        if let (Some(report), Some(asked)) = (report, asked) {
            self.listed = asked;
            self.engine = Some(report);
        }
    }

    fn order_done(&mut self, id: u64, done: bool) {
        let Some(order) = self.orders.remove(&id) else { return };
        // The engine's list decides what is true; a refusal only says that a load failed.
        self.order_done = self.now;
        if !done && order.load && !self.failed.contains(&order.model) {
            self.failed.push(order.model);
        }
    }

    /// Leaves it to the engine's next list what became of the order.
    fn order_lost(&mut self, id: u64) {
        if self.orders.remove(&id).is_some() {
            self.order_done = self.now;
        }
    }

    /// Decides on a call.
    ///
    /// What was decided before goes first: the copy of a call that runs, coming after the process
    /// has begun to drain, must not be declined as one that never ran.
    fn offer(&mut self, offer: &Offer, out: &mut Vec<SideEffect>) {
        let admission = match (self.calls.decided(offer.id), self.unfit(offer)) {
            (Some(admission), _) => admission,
            (None, Some(why)) => {
                self.calls.refuse(offer, why);
                Admission::Declined(why)
            }
            (None, None) => self.calls.offer(self.now, self.profile.slots, offer),
        };
        out.push(match admission {
            Admission::Run => SideEffect::Run(offer.id),
            Admission::Known => SideEffect::Attach(offer.id),
            Admission::Declined(why) => SideEffect::Decline(offer.id, why),
        });
    }

    /// Why a call cannot run here whatever the load.
    fn unfit(&self, offer: &Offer) -> Option<Decline> {
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

    /// Whether both the ledger and the engine say that the model serves.
    fn serves(&self, model: &str) -> bool {
        let row = self.row.row.as_ref().and_then(|row| row.replica(model));
        row.is_some_and(|replica| replica.phase() == Phase::Ready) && self.engine_has(model, true)
    }

    /// Answers a cancellation. Of a call that a predecessor was sent, this process knows nothing.
    fn cancel(&mut self, id: CallId, session: u64, expires: u64, out: &mut Vec<SideEffect>) {
        let answer = if session == self.profile.session {
            self.calls.cancel(self.now, id, expires)
        } else {
            CancelAnswer::Unknown
        };
        if answer == CancelAnswer::Ran {
            out.push(SideEffect::Stop(id));
        }
        out.push(SideEffect::Cancelled(id, answer));
    }

    fn drain(&mut self, give_back: bool, out: &mut Vec<SideEffect>) {
        if matches!(self.mode, Mode::Starting | Mode::Serving | Mode::Draining { .. }) {
            let started = self.mode != Mode::Starting;
            self.mode = Mode::Draining { give_back: give_back && started };
            out.push(SideEffect::Log(LogEvent::new("draining").with("give_back", give_back)));
        }
    }

    fn engine_has(&self, model: &str, ready: bool) -> bool {
        let held = self.engine.iter().flat_map(|report| &report.held);
        held.filter(|held| held.model == model).any(|held| held.ready || !ready)
    }

    /// Reads what is due, then takes the next thing that can be done.
    fn advance(&mut self, out: &mut Vec<SideEffect>) {
        self.read_due(out);
        self.list_due(out);
        match self.mode {
            Mode::Starting => self.take_over(out),
            Mode::Serving | Mode::Draining { .. } => self.work(out),
            Mode::Superseded | Mode::Done => {}
        }
    }

    fn read_due(&mut self, out: &mut Vec<SideEffect>) {
        if self.reading.is_some_and(|(_, since)| self.now.since(since) >= TABLE_PATIENCE_MS) {
            self.reading = None;
            self.read_now = true;
        }
        let due = self.read_now || self.now.since(self.last_read) >= READ_MS;
        let stopped = matches!(self.mode, Mode::Superseded | Mode::Done);
        if due && self.txn.is_none() && self.reading.is_none() && !stopped {
            self.read_now = false;
            self.last_read = self.now;
            let own = endpoint_key(&self.profile.endpoint);
            self.read(vec![own, WEIGHTS.to_owned(), HEAD.to_owned()], out);
        }
    }

    fn read(&mut self, keys: Vec<String>, out: &mut Vec<SideEffect>) {
        self.next_id += 1;
        self.reading = Some((self.next_id, self.now));
        out.push(SideEffect::Read(self.next_id, keys));
    }

    fn list_due(&mut self, out: &mut Vec<SideEffect>) {
        if self.profile.memory_mb == 0 {
            self.engine.get_or_insert_default();
            return;
        }
        let waits = self.listing.is_some_and(|since| self.now.since(since) < TABLE_PATIENCE_MS);
        let stale = self.engine.is_none() || self.listed <= self.order_done;
        let due = stale || self.now.since(self.listed) >= LIST_MS;
        if due && !waits && self.mode != Mode::Done {
            self.listing = Some(self.now);
            out.push(SideEffect::ListEngine);
        }
    }

    fn commit(&mut self, txn: Txn, out: &mut Vec<SideEffect>) {
        self.next_id += 1;
        let id = self.next_id;
        self.txn = Some(PendingTxn { id, txn: txn.clone(), since: self.now });
        out.push(SideEffect::Commit(id, txn));
    }

    fn committed(&mut self, id: u64, outcome: Outcome, out: &mut Vec<SideEffect>) {
        if self.txn.as_ref().is_none_or(|pending| pending.id != id) {
            return;
        }
        let Some(pending) = self.txn.take() else { return };
        match outcome {
            Outcome::Committed(version) => {
                let rows = pending.txn.writes.into_iter();
                let rows = rows.map(|it| Row { key: it.key, version, body: it.body });
                let rows = rows.collect::<Vec<_>>();
                if self.mode == Mode::Starting {
                    self.own(out);
                }
                let own = endpoint_key(&self.profile.endpoint);
                if let Some(row) = rows.iter().find(|row: &&Row| row.key == own) {
                    self.in_doubt = false;
                    self.announce(row, out);
                }
                self.conflicts = 0;
                self.absorb(rows, Some(pending.since), out);
            }
            Outcome::Conflict => self.back_off(),
            Outcome::Unknown => self.doubt(),
        }
    }

    fn poked(&mut self, from: String) {
        self.read_now = true;
        let now = self.now;
        self.pokers.retain(|(known, at)| *known != from && now.since(*at) < POKER_MS);
        self.pokers.push((from, now));
    }

    /// Hands a confirmed own row to the entries that have decided something here lately.
    fn announce(&self, row: &Row, out: &mut Vec<SideEffect>) {
        let recent = self.pokers.iter().filter(|(_, at)| self.now.since(*at) < POKER_MS);
        out.extend(recent.map(|(to, _)| SideEffect::Announce(to.clone(), row.clone())));
    }

    /// What is known is old: reads all of it again before the next decision.
    fn distrust(&mut self) {
        self.cache.clear();
        self.read_now = true;
    }

    /// Another was faster: waits a while that differs from side to side and doubles.
    ///
    /// After a burst, a hundred sides want the one row of permits. Without the pause all of them read
    /// and write again at once, and all but one in vain.
    fn back_off(&mut self) {
        self.distrust();
        self.conflicts = (self.conflicts + 1).min(CONFLICT_DOUBLINGS);
        let name = format!("{}/{}", self.profile.session, self.next_id);
        let limit = CONFLICT_MS << self.conflicts;
        self.pause_until = self.now + hash_bytes(name.as_bytes()) % limit;
    }

    /// A transaction's outcome is unknown, and it may take effect at any time from now on.
    ///
    /// It may be the one that takes a replica out of the ledger. A load ordered meanwhile would leave
    /// the engine with a model that nobody decided. Orders wait until another write to the own row
    /// is confirmed: it moves the version that the lost transaction checks, which can then no longer
    /// take effect.
    fn doubt(&mut self) {
        self.in_doubt = true;
        self.distrust();
    }

    /// The endpoint's row as last read or written.
    fn ledger(&self) -> Arc<EndpointRow> {
        self.current.clone()
    }
}
