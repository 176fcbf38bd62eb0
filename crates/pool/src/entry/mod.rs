//! State machine of the entry role: handles each request from arrival to completion.

mod admit;
mod advertised;
mod backoff;
mod choose;
mod crashes;
mod credit;
mod demand;
mod dispatch;
mod endpoint_limits;
mod load_requests;
mod membership;
mod placement;
mod plan;
mod preload;
mod priority;
mod replicas;
mod resume;
mod retries;
mod rules;
mod shares;
mod stalls;
mod stop;
mod store_claims;
mod store_limit;
mod store_loads;
mod streams;
mod suspects;
mod timers;
mod trials;
mod types;
mod unproven_end;
mod waits;

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use citronrill_base::{Interner, Map, Millis, ModelKey};
use citronrill_decide::LogEvent;

pub use self::crashes::EndpointCheck;
pub use self::rules::classify_response;
pub use self::types::{
    Arrival, Dispatch, EndedBody, EntryEffect, EntryEvent, EntryProfile, FailureKind, Reason,
    Refusal, RequestId, ResponseEnd, ResponseHead, Resume, SideLoss, TokenCount, Verdict,
};
pub use self::waits::WaitCounts;
use self::{
    choose::Choice,
    crashes::Crashes,
    credit::LimitedUse,
    demand::Demand,
    dispatch::MAX_DISPATCHES,
    load_requests::SentLoadRequest,
    plan::Plans,
    preload::PreloadState,
    priority::Priority,
    resume::Losses,
    stop::Stop,
    store_claims::StoreClaims,
    store_limit::StoreLimit,
    streams::{Origin, StreamTracker},
    suspects::Suspects,
    trials::Trial,
    unproven_end::UnprovenEnd,
    waits::{PacedServices, WaitRecords},
};
use crate::{
    cause::Cause,
    config::{RetryPolicy, ServingConfig},
    digest::RequestDigest,
    expected_wait::WaitEstimate,
    limits::{CreditLedger, LimitUsage, RecentPeak, RetryBudget},
    pool::Pool,
    prompt::PromptPart,
    shares::ShareAccount,
    software::{SoftwareKey, StreamKey},
    store_version::StoreVersion,
};

/// Entry count assumed until a side has reported one. Too high a count gives each entry too small a
/// share of the common retry budget, which is safe; too low a count exceeds the budget.
const ASSUMED_ENTRIES: u32 = 8;
/// Lower bound on the reported entry count: right after a start, the other entries have not
/// connected yet.
const MIN_ENTRIES: u32 = 3;
/// Minimum milliseconds before a request's deadline to start any new work for it.
const MIN_REMAINING_MS: u64 = 20;
/// Milliseconds in which every slot of an endpoint becomes free once. A stream runs for about that
/// long, a plain call for less.
const SLOT_TURNOVER_MS: f64 = 500.0;
/// Maximum time that a request waits for a slot, in latency objectives. A request that has waited
/// longer, although its queue was estimated to be shorter, is refused with a retry time.
const QUEUE_TARGETS: u64 = 4;
/// Lower bound, in milliseconds, on the maximum wait given by [`QUEUE_TARGETS`].
const QUEUE_MIN_MS: u64 = 500;
/// Milliseconds that an endpoint with free slots takes to the first event of a stream. A prompt of
/// 9,000 tokens is read in 240 ms.
const FIRST_EVENT_MS: u64 = 250;
/// Processing stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for a model or a free slot.
    Waiting,
    /// Dispatched to an endpoint; no response has started.
    Sent,
    /// The response is being forwarded to the caller.
    Responding,
}

/// A request that is in flight at this entry.
#[derive(Debug, Clone)]
struct Request {
    caller_id: String,
    caller: Option<IpAddr>,
    digest: RequestDigest,
    /// The path, for logs.
    path: String,
    service: String,
    /// The organisation that it belongs to; `None` if its route needs no key.
    organisation: Option<Arc<str>>,
    /// Whether it is beyond its organisation's fair share of its service, as decided at its arrival.
    over_share: bool,
    /// What it takes of its organisation's limit; `None` if there is no limit.
    limited: Option<LimitedUse>,
    retry_policy: RetryPolicy,
    priority: Priority,
    max_attempts: u32,
    target_ms: u64,
    /// Model name; `adapter` is the adapter name, or empty.
    model: String,
    adapter: String,
    /// Model or adapter that an endpoint must have loaded to run the request; `None` for a plain
    /// service.
    required: Option<ModelKey>,
    base: Option<ModelKey>,
    prefix_hash: u64,
    /// The parts of its prompt that other requests may share.
    shared_parts: Vec<PromptPart>,
    arrived: Millis,
    deadline: Millis,
    /// When the caller disconnects if no stream event has arrived; never after `deadline`.
    idle_deadline: Millis,
    stage: Stage,
    /// Time of the last dispatch.
    sent_at: Millis,
    /// How long it was expected to wait at the endpoint at its last dispatch.
    expected: WaitEstimate,
    /// Requests for each slot of its endpoint as it states with its response, or else as known at the last
    /// dispatch; at least 1.
    queue_rounds: f64,
    /// Milliseconds from the last dispatch to the response head.
    head_ms: u64,
    /// Instance that the request is dispatched to; `None` while it waits.
    instance: Option<String>,
    /// Instances that failed or refused the request.
    tried: Vec<String>,
    /// Number of dispatches that may have run the request.
    runs: u32,
    dispatches: u32,
    /// Whether the request has waited for a model or a free slot, or was taken back from an endpoint.
    queued: bool,
    /// Whether the request was counted as a miss: no replica had room.
    missed: bool,
    tokens: TokenCount,
    /// Whether the caller reconnects to a stream of which it has events.
    reconnects: bool,
    /// ID of the caller's attempt that began this stream, if named.
    first_attempt: Option<String>,
    /// Identifies the stream over the caller's attempts.
    stream: StreamKey,
    /// What is known of the software version that began the stream.
    origin: Origin,
    /// Software version of the endpoint of the last dispatch.
    sent_software: Option<SoftwareKey>,
    /// Milliseconds without an event after which the caller disconnects.
    idle_timeout: u64,
    /// Whether the caller has received the response head, so that the response can no longer be
    /// replaced by an error.
    head_sent: bool,
    /// Whether the response that was forwarded is a success.
    succeeded: bool,
    /// Last event that was delivered to the caller.
    last_event: Option<u64>,
    /// Set while it is not known whether its response, which ended with the connection, is whole.
    unproven_end: Option<UnprovenEnd>,
    /// Instance to which the KV cache of the last run was copied.
    backup: Option<String>,
    /// Whether the current response has delivered any bytes.
    has_progress: bool,
    /// Whether credit has been asked for because of an endpoint's limit.
    limit_wanted: bool,
    /// Whether its next dispatch is reserved in the retry budget.
    retry_reserved: bool,
    /// Whether the budget did not permit it when it was last asked for.
    retry_denied: bool,
    /// Number of runs whose connection broke.
    lost_runs: u32,
    /// Progress of its trial, if it may run only as one.
    trial: Option<Trial>,
    /// Whether it waits for a trial at the endpoint that has the copy of its KV cache.
    from_copy: bool,
}

impl Request {
    /// Returns how many milliseconds the request may still wait before dispatch. The rest of the
    /// caller's idle timeout is left to the endpoint for the first event.
    fn wait_ms(&self, now: Millis) -> u64 {
        let bounded = self.required.is_some() && self.idle_deadline < self.deadline;
        let first_event_ms = if bounded { FIRST_EVENT_MS } else { 0 };
        self.idle_deadline.since(now).saturating_sub(first_event_ms)
    }

    /// Records that the request has waited, if an engine is to run it: requests of plain services are
    /// never throttled.
    fn mark_queued(&mut self) {
        self.queued = self.required.is_some();
    }

    /// Returns what may crash endpoints: the request itself, then the parts of its prompt in order.
    fn causes(&self) -> impl Iterator<Item = Cause> {
        let parts = self.shared_parts.iter().copied().map(Cause::Part);
        std::iter::once(Cause::Request(self.digest)).chain(parts)
    }

    /// Returns the milliseconds since the current response started; 0 if it has not.
    fn responding_ms(&self, now: Millis) -> u64 {
        let started = self.stage == Stage::Responding;
        if started { now.since(self.sent_at + self.head_ms) } else { 0 }
    }

    /// Returns whether the latency objective has already passed.
    fn is_late(&self, now: Millis) -> bool {
        now.since(self.arrived) >= self.target_ms
    }

    /// Returns the scheduling key among requests with the same requirements: by priority, then
    /// those first that are within their organisation's share, then those that can still meet their
    /// latency objective.
    fn schedule_key(&self, now: Millis) -> (Priority, bool, bool) {
        (self.priority, self.over_share, self.is_late(now))
    }

    /// Returns whether the request has waited for a slot for the maximum time.
    fn waited_too_long(&self, now: Millis) -> bool {
        now.since(self.arrived) > self.max_queue_ms()
    }

    /// Returns the maximum milliseconds from its arrival for which it waits for a slot.
    fn max_queue_ms(&self) -> u64 {
        (QUEUE_TARGETS * self.target_ms).max(QUEUE_MIN_MS)
    }

    /// Returns the priority in the endpoint's queue, 0 first.
    fn urgency(&self, now: Millis) -> u8 {
        self.priority.urgency(self.is_late(now) || self.over_share)
    }

    /// Returns the refusal reason for a request that can wait no longer: its deadline has passed,
    /// or its model will be loaded too late for the caller's idle timeout but may be ready on a
    /// retry.
    fn late_reason(&self, now: Millis) -> Reason {
        if self.deadline.since(now) < MIN_REMAINING_MS { Reason::Expired } else { Reason::TooLate }
    }
}

/// Routes, queues, dispatches and refuses the requests that callers send to one entry.
#[derive(Debug)]
pub struct PoolEntry {
    profile: EntryProfile,
    now: Millis,
    /// Time of the first event.
    started: Option<Millis>,
    /// Time of the last deadline check.
    last_check: Millis,
    config: Option<Arc<ServingConfig>>,
    /// Whether the platform store has confirmed that this configuration is current.
    config_current: bool,
    pool: Pool,
    names: Interner<ModelKey>,
    requests: BTreeMap<RequestId, Request>,
    budgets: Map<String, RetryBudget>,
    /// Number of entries, as sides reported it.
    entry_peak: RecentPeak,
    load_requests: Map<ModelKey, SentLoadRequest>,
    demand: Demand,
    preload: PreloadState,
    losses: Losses,
    store_limit: StoreLimit,
    store_claims: StoreClaims,
    crashes: Crashes,
    suspects: Suspects,
    streams: StreamTracker,
    ledger: CreditLedger,
    shares: ShareAccount,
    /// When shares are checked next.
    share_check: Millis,
    paced: PacedServices,
    waits: WaitRecords,
    plans: Plans,
    stop: Option<Stop>,
    effects: Vec<EntryEffect>,
}

impl PoolEntry {
    /// Creates an entry without configuration or member list.
    pub fn new(profile: EntryProfile) -> PoolEntry {
        PoolEntry {
            ledger: CreditLedger::new(profile.limits),
            shares: ShareAccount::new(profile.seed),
            share_check: Millis(0),
            profile,
            now: Millis(0),
            started: None,
            last_check: Millis(0),
            config: None,
            config_current: false,
            pool: Pool::default(),
            names: Interner::default(),
            requests: BTreeMap::new(),
            budgets: Map::default(),
            entry_peak: RecentPeak::default(),
            load_requests: Map::default(),
            demand: Demand::default(),
            preload: PreloadState::default(),
            losses: Losses::default(),
            store_limit: StoreLimit::default(),
            store_claims: StoreClaims::default(),
            crashes: Crashes::default(),
            suspects: Suspects::default(),
            streams: StreamTracker::default(),
            paced: PacedServices::default(),
            waits: WaitRecords::default(),
            plans: Plans::default(),
            stop: None,
            effects: Vec::new(),
        }
    }

    /// Returns whether requests can be served: configuration and member list are known.
    pub fn ready(&self) -> bool {
        self.config.is_some() && self.pool.list_version.is_known()
    }

    /// Returns the version of the active configuration; 0 if none is known.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the version of the member list.
    pub fn members_version(&self) -> StoreVersion {
        self.pool.list_version
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns what was counted for each organisation with a limit.
    pub fn limit_usage(&self) -> impl Iterator<Item = LimitUsage> {
        self.ledger.usage()
    }

    /// Processes one event and returns the effects to be carried out.
    pub fn step(&mut self, now: Millis, event: EntryEvent) -> Vec<EntryEffect> {
        self.now = now;
        self.started.get_or_insert(now);
        match event {
            EntryEvent::Config(config) => self.apply_config(config),
            EntryEvent::ConfigCurrent(current) => self.config_current = current,
            EntryEvent::Members(change) => self.apply_members(change),
            EntryEvent::SideReport(address, state) => self.apply_side_state(address, &state),
            EntryEvent::ProbeReply(address) => self.record_probe_reply(address),
            EntryEvent::SideLost(address, loss) => self.side_lost(address, loss),
            EntryEvent::Suspects(address, message) => self.handle_suspects(address, message),
            EntryEvent::Streams(address, message) => self.handle_streams(address, &message),
            EntryEvent::Credit(address, reply) => self.apply_credit(address, &reply),
            EntryEvent::StoreLoads(address, message) => {
                self.apply_store_reply(address, message);
            }
            EntryEvent::Shares(address, message) => self.handle_shares(address, &message),
            EntryEvent::QuarantineRead(update) => self.apply_quarantine(&update),
            EntryEvent::EndpointChecked(address, check) => self.endpoint_checked(address, check),
            EntryEvent::LoadDeclined(address, name) => self.record_decline(address, &name),
            EntryEvent::RequestArrived(arrival) => self.request_arrived(arrival),
            EntryEvent::ResponseHead(id, dispatch, head) => {
                if self.is_current(id, dispatch) {
                    self.response_started(id, head);
                }
            }
            EntryEvent::DispatchFailed(id, dispatch, kind) => {
                if self.is_current(id, dispatch) {
                    self.dispatch_failed(id, kind);
                }
            }
            EntryEvent::Progress(ids) => self.progress(&ids),
            EntryEvent::ResponseEnded(id, end) => {
                if end == ResponseEnd::Broken {
                    self.record_lost_run(id);
                }
                self.response_ended(id, end);
            }
            EntryEvent::StreamBroken(id, last_event) => self.stream_broken(id, last_event),
            EntryEvent::EndUnproven(id, body) => self.end_unproven(id, body),
            EntryEvent::CallerLeft(id) => self.caller_left(id),
            EntryEvent::Stop(wait_ms, end_ms) => self.begin_stop(wait_ms, end_ms),
            EntryEvent::UrgentTick => self.check_deadlines(),
            EntryEvent::Tick => self.tick(),
        }
        self.report_use();
        self.report_store_loads();
        self.report_shares();
        std::mem::take(&mut self.effects)
    }

    /// Applies a configuration. Ignores a version that is not newer, so that an entry never goes
    /// back to an older configuration.
    fn apply_config(&mut self, config: Arc<ServingConfig>) {
        if config.version <= self.config_version() {
            return;
        }
        let old_version = self.config_version();
        self.log(LogEvent::new("text").with("version", config.version).with("old", old_version));
        let services = config.services.iter().map(|service| service.name.clone()).collect();
        self.config = Some(config);
        self.retain_shares();
        let outcome = self.pool.set_services(services, &mut self.names, self.now);
        self.handle_membership(outcome);
        self.update_sides();
        self.schedule_waiting();
    }

    /// Dispatches a waiting request, keeps it waiting, or refuses it.
    fn schedule(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage != Stage::Waiting {
            return;
        }
        if self.quarantine_cause(request).is_some() {
            self.refuse(id, Reason::Quarantined);
            return;
        }
        if self.refuse_unfinishable(id) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        if request.awaits_origin() {
            return;
        }
        if !self.serves_version(request) {
            self.refuse(id, Reason::VersionGone);
            return;
        }
        if !self.take_credit(id) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        if request.wait_ms(self.now) < MIN_REMAINING_MS {
            self.refuse(id, request.late_reason(self.now));
            return;
        }
        if self.awaits_suspects() {
            return;
        }
        if request.from_copy {
            self.request_trial(id);
            return;
        }
        self.want_limited(id);
        let Some(request) = self.requests.get(&id) else { return };
        match self.choose(request) {
            Choice::Dispatch(_) if self.needs_trial(request) => self.request_trial(id),
            Choice::Dispatch(instance) => self.dispatch(id, &instance, false),
            Choice::Confirm(instance) => self.confirm(&instance),
            Choice::Reload => self.request_model(id),
            Choice::Load => {
                self.mark_queued(id);
                self.request_model(id);
            }
            Choice::Full => {
                self.mark_queued(id);
                self.queue_or_refuse(id);
            }
            Choice::Throttle => {}
            Choice::Limited => {
                self.mark_queued(id);
                self.await_limit_or_refuse(id);
            }
            Choice::Backoff => self.await_backoff_or_refuse(id),
            Choice::Refuse(reason) => self.refuse(id, reason),
        }
    }

    fn mark_queued(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.mark_queued();
        }
    }

    /// Keeps a request waiting for a slot, unless it cannot get one in time.
    ///
    /// During a burst beyond the endpoints' capacity, this bounds the queue to what can be served
    /// before the last request's deadline. Later requests are refused at once.
    fn queue_or_refuse(&mut self, id: RequestId) {
        if let Some(base) = self.requests.get(&id).and_then(|request| request.base) {
            self.count_miss(id, base);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let ahead = self.requests_ahead(id, request);
        let holders = self.pool.endpoints.values().filter(|endpoint| {
            endpoint.accepts_requests()
                && !endpoint.backs_off(self.now)
                && endpoint.member.service == request.service
                && request.base.is_none_or(|base| endpoint.inventory.models.contains(&base))
        });
        let slots = holders.map(|endpoint| endpoint.member.slots).sum::<u32>();
        let entries = self.entries();
        let rounds = (ahead + 1) as f64 * f64::from(entries) / f64::from(slots.max(1));
        let wait_ms = request.wait_ms(self.now) as f64;
        let too_long = request.waited_too_long(self.now);
        if rounds * SLOT_TURNOVER_MS > wait_ms - SLOT_TURNOVER_MS || too_long {
            self.refuse(id, Reason::Full);
        }
    }

    /// Returns how many requests before `id` wait for the same endpoints as `request` and go first.
    fn requests_ahead(&self, id: RequestId, request: &Request) -> usize {
        let schedule_key = request.schedule_key(self.now);
        let same = |other: &&Request| {
            other.stage == Stage::Waiting
                && other.service == request.service
                && other.base == request.base
                && other.schedule_key(self.now) <= schedule_key
        };
        self.requests.range(..id).map(|(_, other)| other).filter(same).count()
    }

    /// Returns the number of entries that the sides report.
    fn entries(&self) -> u32 {
        let sides = self.pool.endpoints.values().filter_map(|endpoint| endpoint.side.as_ref());
        let entries = sides.map(|side| side.entry_count).max().filter(|entries| *entries > 0);
        entries.map_or(ASSUMED_ENTRIES, |entries| entries.max(MIN_ENTRIES))
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(EntryEffect::Log(event));
    }
}
