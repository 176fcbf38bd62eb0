//! An entry's view of one endpoint.

use citronrill_base::{Interner, Millis, ModelKey};
use citronrill_wire::SideState;

use crate::{
    advertised::Advertised,
    delisted::Delisted,
    expected_wait::LoadView,
    incarnation::{IncarnationChange, KnownIncarnation, StartTime},
    liveness::Liveness,
    member::{Member, full_name},
    software::SoftwareKey,
};

/// Milliseconds after which a side's last report no longer counts as fresh: four report intervals
/// of 500 ms, so that one lost message does not make an endpoint's state unknown.
pub(crate) const FRESH_MS: u64 = 2_000;
/// Milliseconds for which an endpoint that could not be reached is avoided while others are
/// available.
const AVOID_MS: u64 = 1_000;
/// Milliseconds without a report from a side after which its endpoint ranks below all others: two
/// report intervals of 500 ms plus a margin.
pub(crate) const SIDE_SILENT_MS: u64 = 1_100;
/// Milliseconds after an endpoint is first listed within which its side reports, if it is up: a
/// lost connection and a reconnect take 250 ms.
const FIRST_REPORT_MS: u64 = 1_200;
/// Milliseconds for which the load that a response reports counts, if no side reports it: the queue of
/// a plain endpoint is worked off in less.
const RESPONSE_LOAD_MS: u64 = 300;
/// Weight of the latest answer in the moving average of the time to first byte.
const TTFB_WEIGHT: f64 = 0.25;
/// Decay time in milliseconds of the average time to first byte: a backlog of prompts is processed
/// within about a second.
const TTFB_DECAY_MS: f64 = 1_500.0;
/// Backoff in milliseconds before a side that declined a load request gets another one from this
/// entry.
pub(crate) const DECLINED_MS: u64 = 150;
/// Weight of the latest result in the failure average: six failures in a row raise it above one
/// half.
const FAILURE_WEIGHT: f64 = 0.12;
/// Failure rate below which an endpoint is considered healthy: single failures are normal.
pub(crate) const FAILURE_TOLERANCE: f64 = 0.2;

/// Models that an endpoint holds, with the sequence number of that information.
#[derive(Debug, Clone, Default)]
pub(crate) struct ModelInventory {
    /// Held models and adapters, by interned full name.
    pub(crate) keys: Vec<ModelKey>,
    /// Held models only.
    pub(crate) models: Vec<ModelKey>,
    /// Models with cached weights in memory.
    pub(crate) in_memory: Vec<ModelKey>,
    /// Models with cached weights on disk.
    pub(crate) on_disk: Vec<ModelKey>,
    /// Number of orders that the endpoint had accepted when the side recorded this inventory; 0 if
    /// the inventory comes from the member list.
    pub(crate) sequence: u64,
}

impl ModelInventory {
    /// Returns the models held according to the member list.
    pub(crate) fn from_member(member: &Member, names: &mut Interner<ModelKey>) -> ModelInventory {
        let mut inventory = ModelInventory::default();
        for model in &member.models {
            inventory.add(&model.name, &model.adapters, names);
        }
        inventory.in_memory = member.in_memory.iter().map(|name| names.intern(name)).collect();
        inventory.on_disk = member.on_disk.iter().map(|name| names.intern(name)).collect();
        inventory
    }

    /// Returns the models held according to a side's report, without those being evicted.
    pub(crate) fn from_state(state: &SideState, names: &mut Interner<ModelKey>) -> ModelInventory {
        let mut inventory =
            ModelInventory { sequence: state.sequence, ..ModelInventory::default() };
        for model in state.models.iter().filter(|model| !state.evicting.contains(&model.name)) {
            inventory.add(&model.name, &model.adapters, names);
        }
        inventory.in_memory = state.in_memory.iter().map(|name| names.intern(name)).collect();
        inventory.on_disk = state.on_disk.iter().map(|name| names.intern(name)).collect();
        inventory
    }

    fn add(&mut self, model: &str, adapters: &[String], names: &mut Interner<ModelKey>) {
        let key = names.intern(model);
        self.models.push(key);
        self.keys.push(key);
        let adapters = adapters.iter().map(|adapter| names.intern(&full_name(model, adapter)));
        self.keys.extend(adapters);
    }

    /// Returns whether the instance has cached weights of a model, in memory or on disk.
    pub(crate) fn has_cached_weights(&self, model: ModelKey) -> bool {
        self.in_memory.contains(&model) || self.on_disk.contains(&model)
    }
}

/// The last report of an endpoint's side.
#[derive(Debug, Clone)]
pub(crate) struct SideView {
    pub(crate) received_at: Millis,
    pub(crate) loading: Vec<ModelKey>,
    pub(crate) evicting: Vec<ModelKey>,
    pub(crate) entry_count: u32,
    pub(crate) healthy: bool,
    pub(crate) load_eta_ms: u64,
    /// Milliseconds from the report until the current order is complete.
    pub(crate) order_eta_ms: u64,
    pub(crate) store_loads: u32,
    pub(crate) store_slowdown: u32,
    /// The duration so far of the current load from the weight store, in thousandths of its usual
    /// time; 0 while it is not late.
    pub(crate) store_overdue: u32,
    /// Concurrent loads from the weight store when the late one was requested, or otherwise the
    /// last one.
    pub(crate) store_concurrent: u32,
    /// Whether the side collects the records of suspects.
    pub(crate) tracks_suspects: bool,
    /// Whether the side issues credit for organisations' limits.
    pub(crate) issues_credit: bool,
    /// Whether the side divides organisations' shares.
    pub(crate) divides_shares: bool,
    /// Whether the side keeps the software versions at which streams began.
    pub(crate) tracks_streams: bool,
    /// Number of entries that the side knows of.
    pub(crate) known_entries: u32,
    /// Requests a second that find no replica with room, for the models that this side counts.
    pub(crate) missed: Vec<(ModelKey, f64)>,
    /// Models that must not be evicted now.
    pub(crate) pinned: Vec<ModelKey>,
    /// Whether the side queues loads from the weight store.
    pub(crate) queues_store_loads: bool,
    /// Models that a recent load from the weight store brought.
    pub(crate) from_store: Vec<ModelKey>,
    /// Requests a second by model.
    pub(crate) rates: Vec<(ModelKey, f64)>,
}

impl SideView {
    /// Returns the milliseconds until all planned loads are complete.
    pub(crate) fn remaining_ms(&self, now: Millis) -> u64 {
        self.load_eta_ms.saturating_sub(now.since(self.received_at))
    }
}

/// One endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) member: Member,
    /// The software version of its incarnation.
    pub(crate) software: SoftwareKey,
    pub(crate) inventory: ModelInventory,
    pub(crate) side: Option<SideView>,
    /// Whether its instance responds.
    pub(crate) liveness: Liveness,
    /// Requests of this entry that run at the endpoint.
    pub(crate) own_requests: u32,
    /// Requests in flight at the endpoint from all entries as last reported, plus later dispatches
    /// of this entry.
    pub(crate) load: u32,
    /// When the load was last reported.
    load_at: Millis,
    /// Dispatches of this entry since the load was last reported.
    pub(crate) unreported: u32,
    /// What it states of its load and pace, and how long its work takes.
    pub(crate) load_view: LoadView,
    /// What it has said of itself in its responses.
    pub(crate) advertised: Advertised,
    pub(crate) avoid_until: Millis,
    /// Until when its side gets no further load requests, because it has just declined one.
    pub(crate) declined_until: Millis,
    pub(crate) failure_rate: f64,
    /// Milliseconds for which the oldest unanswered attempt at the endpoint has been waiting.
    pub(crate) unanswered_ms: u64,
    /// Average recent time to first byte in milliseconds, and when it was last updated.
    ttfb: f64,
    ttfb_at: Millis,
    /// The incarnation that this state belongs to.
    pub(crate) incarnation: KnownIncarnation,
    /// A member list entry for an older incarnation, and since when it has been the latest one.
    pub(crate) deferred: Option<(Member, Millis)>,
    /// Whether only its side has reported this incarnation so far.
    pub(crate) unlisted: bool,
    /// When this entry first recorded this incarnation.
    pub(crate) known_since: Millis,
    /// When it was first listed, unless it has restarted since.
    first_listed: Option<Millis>,
}

impl Endpoint {
    /// Creates an endpoint of which only the member list entry is known.
    pub(crate) fn new(member: Member, now: Millis) -> Endpoint {
        Endpoint {
            software: SoftwareKey::new(&member.service, &member.software),
            member,
            inventory: ModelInventory::default(),
            side: None,
            liveness: Liveness::default(),
            own_requests: 0,
            load: 0,
            load_at: now,
            unreported: 0,
            load_view: LoadView::default(),
            advertised: Advertised::default(),
            avoid_until: Millis(0),
            declined_until: Millis(0),
            failure_rate: 0.0,
            unanswered_ms: 0,
            ttfb: 0.0,
            ttfb_at: Millis(0),
            incarnation: KnownIncarnation::default(),
            deferred: None,
            unlisted: false,
            known_since: now,
            first_listed: Some(now),
        }
    }

    /// Creates an endpoint that only its side has reported so far.
    pub(crate) fn unlisted(member: Member, now: Millis) -> Endpoint {
        let software = SoftwareKey::unlisted(&member.instance);
        Endpoint { unlisted: true, software, ..Endpoint::new(member, now) }
    }

    /// Applies an entry of the member list.
    pub(crate) fn set_member(&mut self, member: Member) {
        self.software = SoftwareKey::new(&member.service, &member.software);
        if member.leaving {
            self.advertised.record_leaving();
        }
        self.member = member;
        self.unlisted = false;
    }

    /// Restores what was kept of it since it was last removed.
    pub(crate) fn restore(&mut self, delisted: Delisted) {
        self.advertised = delisted.advertised;
        self.incarnation = delisted.incarnation;
        self.known_since = delisted.known_since;
    }

    /// Applies the start time in the row with which it is listed again.
    pub(crate) fn set_first_start(&mut self, started: Option<StartTime>, now: Millis) {
        if self.incarnation.update(started, now) == IncarnationChange::New {
            self.advertised = Advertised::default();
            self.known_since = now;
        }
    }

    /// Discards the state of the previous incarnation, except the instance's liveness and the count of
    /// this entry's requests.
    pub(crate) fn reset_for_restart(&mut self, now: Millis) {
        let (own_requests, incarnation, liveness) =
            (self.own_requests, self.incarnation, self.liveness);
        let renewed = Endpoint::new(self.member.clone(), now);
        *self = Endpoint { own_requests, incarnation, liveness, first_listed: None, ..renewed };
    }

    /// Returns the start time of the incarnation that this state belongs to, if known.
    pub(crate) fn started(&self) -> Option<StartTime> {
        self.incarnation.start_time()
    }

    /// Returns whether new requests may be dispatched to the endpoint.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.member.leaving && !self.advertised.is_leaving()
    }

    /// Returns whether it wants no requests of this entry now.
    pub(crate) fn backs_off(&self, now: Millis) -> bool {
        self.advertised.backoff_ms(now) > 0
    }

    /// Returns whether it names a limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.advertised.limit().is_some()
    }

    /// Returns the number of requests known to run or wait at the endpoint.
    pub(crate) fn load(&self) -> u32 {
        self.load.max(self.own_requests)
    }

    /// Stores the number of running and queued requests that the endpoint or its side reported.
    pub(crate) fn set_load(&mut self, load: u32, now: Millis) {
        self.load = load;
        self.load_at = now;
        self.unreported = 0;
    }

    /// Forgets the load that a response reported a while ago, if no side reports it.
    ///
    /// An entry that last saw such an endpoint full sends it nothing and so gets no response with a
    /// newer load. Without this, it refuses all callers of the service from then on.
    pub(crate) fn expire_load(&mut self, now: Millis) {
        if self.side.is_none() && now.since(self.load_at) >= RESPONSE_LOAD_MS {
            self.load = self.own_requests;
        }
    }

    /// Returns the milliseconds since the load was last reported.
    pub(crate) fn load_age_ms(&self, now: Millis) -> u64 {
        now.since(self.load_at)
    }

    /// Returns the load as a fraction of the slots.
    pub(crate) fn load_ratio(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.member.slots.max(1))
    }

    /// Returns whether its side has not reported for more than two report intervals, or cannot
    /// reach the endpoint: the instance may be frozen or gone.
    pub(crate) fn side_silent(&self, now: Millis) -> bool {
        self.side
            .as_ref()
            .is_none_or(|side| !side.healthy || now.since(side.received_at) > SIDE_SILENT_MS)
    }

    /// Returns whether its side reports and its instance responds.
    pub(crate) fn is_responsive(&self, now: Millis) -> bool {
        !self.side_silent(now) && !self.liveness.is_stalled(now)
    }

    /// Returns whether the first report of its side is expected shortly.
    pub(crate) fn awaiting_first_report(&self, now: Millis) -> bool {
        self.side.is_none() && now.since(self.known_since) < FIRST_REPORT_MS
    }

    /// Returns whether only the member list describes it so far, while the first report of its side
    /// is due: the models that it held when it was listed may have been unloaded long ago.
    pub(crate) fn unconfirmed(&self, now: Millis) -> bool {
        let recently_listed = self.first_listed.is_some_and(|at| now.since(at) < FIRST_REPORT_MS);
        self.side.is_none() && recently_listed
    }

    /// Returns the last report of its side, if it is fresh.
    pub(crate) fn fresh_side(&self, now: Millis) -> Option<&SideView> {
        self.side.as_ref().filter(|side| now.since(side.received_at) < FRESH_MS)
    }

    /// Returns the milliseconds until its current order is complete, as far as its side has told.
    pub(crate) fn order_remaining_ms(&self, now: Millis) -> u64 {
        let side = self.fresh_side(now);
        side.map_or(0, |side| side.order_eta_ms.saturating_sub(now.since(side.received_at)))
    }

    /// Updates the average time to first byte with one answer.
    pub(crate) fn record_ttfb(&mut self, ms: u64, now: Millis) {
        self.ttfb = self.ttfb_ms(now) + TTFB_WEIGHT * (ms as f64 - self.ttfb_ms(now));
        self.ttfb_at = now;
    }

    /// Returns the estimated time to first byte in milliseconds, from recent answers.
    ///
    /// Slots in use say little about an engine that takes 64 requests and processes prompts for a
    /// third of them: its batch is far from full while first tokens already wait for a second.
    pub(crate) fn ttfb_ms(&self, now: Millis) -> f64 {
        let average = self.ttfb * (-(now.since(self.ttfb_at) as f64) / TTFB_DECAY_MS).exp();
        average.max(self.unanswered_ms as f64)
    }

    /// Updates the failure average with the result of a request.
    pub(crate) fn record_result(&mut self, failed: bool) {
        self.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// Returns whether it fails more than single requests.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > FAILURE_TOLERANCE
    }

    /// Avoids the endpoint for a while, because it could not be reached.
    pub(crate) fn avoid(&mut self, now: Millis) {
        self.avoid_until = now + AVOID_MS;
    }

    /// Sends its side no load requests for a while, because it has no room.
    pub(crate) fn mark_declined(&mut self, now: Millis) {
        self.declined_until = now + DECLINED_MS;
    }

    /// Returns whether it is avoided while others are available.
    pub(crate) fn avoided(&self, now: Millis) -> bool {
        now < self.avoid_until
    }
}
