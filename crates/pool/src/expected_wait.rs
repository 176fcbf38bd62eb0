//! How long a request that is sent to an endpoint now waits there.
//!
//! The estimate rests on what the endpoint stated last, how old that is, what this entry has sent there
//! since, and how long work has taken there. The number of requests alone says little where endpoints
//! differ in speed or share their hosts.

use citronrill_base::Millis;

use crate::server_load::{Pace, ServerLoad};

/// Milliseconds in which the weight of a stated pace decays to 1/e: the pace of a shared host changes
/// several times a second.
const PACE_DECAY_MS: f64 = 300.0;
/// Lower bound on the weight of a statement in an endpoint's average pace, so that the average follows
/// a host whose share changes for good.
const PACE_WEIGHT: f64 = 0.05;
/// Lower bound on the weight of a request in an average work time: the mean of about 20 requests, as
/// requests of one service differ by their length.
const WORK_WEIGHT: f64 = 0.05;
/// Requests that an endpoint's own average must rest on to count as much as the service's average.
const PRIOR_SAMPLES: f64 = 2.0;
/// Milliseconds in which the weight of an endpoint's own average decays to 1/e without further requests:
/// ten times as long as the pause between two requests of one entry at one of many engines.
const WORK_DECAY_MS: f64 = 30_000.0;
/// Longest work time that is recorded, in milliseconds: no route allows a longer request.
const MAX_WORK_MS: f64 = 60_000.0;
/// Shortest work time with which a queue drains, in milliseconds: the resolution of the clock.
const MIN_WORK_MS: f64 = 0.5;
/// Endpoints that the hash of a request draws.
const DRAWN: usize = 2;
/// Most requests that an endpoint can be believed to hold. Endpoints queue a few times their slots.
const MAX_REQUESTS: u32 = 100_000;

/// How long a request waits for an endpoint, and how long it then takes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct WaitEstimate {
    /// Milliseconds until a request that is sent now begins to run.
    pub wait_ms: f64,
    /// Milliseconds for which one request occupies a slot at the present pace.
    pub work_ms: f64,
}

impl WaitEstimate {
    /// Returns the milliseconds until a request that is sent now has run.
    pub fn total_ms(self) -> f64 {
        self.wait_ms + self.work_ms
    }

    /// Returns the time until a request has run, in work times: 1 if it begins at once.
    fn rounds(self) -> f64 {
        if self.work_ms > 0.0 { self.total_ms() / self.work_ms } else { 1.0 }
    }
}

/// Why figures of an endpoint's load count as unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadLoad {
    /// They are missing or malformed, although the endpoint has stated its load before.
    Missing,
    /// More requests than any endpoint holds.
    TooMany,
    /// No slots, or more than any endpoint has.
    BadSlots,
    /// The pace is missing or malformed, although the endpoint has stated it before.
    NoPace,
}

impl BadLoad {
    /// Returns the fixed name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BadLoad::Missing => "missing",
            BadLoad::TooMany => "too_many",
            BadLoad::BadSlots => "slots",
            BadLoad::NoPace => "pace",
        }
    }
}

/// Average time for which a request occupies a slot, at the usual pace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTime {
    ms: f64,
    samples: u32,
}

impl WorkTime {
    /// Adds one request that took `ms` at the usual pace.
    pub fn record(&mut self, ms: f64) {
        if !ms.is_finite() || ms < 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(WORK_WEIGHT);
        self.ms += weight * (ms.min(MAX_WORK_MS) - self.ms);
    }

    /// Returns the average in milliseconds, if any request has been recorded.
    pub fn ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.ms)
    }

    /// Returns the average mixed with `prior_ms`, which counts more while the average rests on few requests,
    /// and `age_ms` after the last one.
    ///
    /// An endpoint that was slow once gets fewer requests to show that it is not any more.
    fn mixed_ms(&self, prior_ms: f64, age_ms: u64) -> f64 {
        let decay = (-(age_ms as f64) / WORK_DECAY_MS).exp();
        let samples = f64::from(self.samples).min(1.0 / WORK_WEIGHT) * decay;
        (self.ms * samples + prior_ms * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
    }
}

/// Pace of an endpoint as stated, and its average.
#[derive(Debug, Clone, Copy)]
struct PaceView {
    last: f64,
    at: Millis,
    average: f64,
    statements: u32,
}

impl PaceView {
    fn new() -> PaceView {
        PaceView { last: 1.0, at: Millis(0), average: 1.0, statements: 0 }
    }

    fn record(&mut self, pace: Pace, now: Millis) {
        (self.last, self.at) = (pace.factor(), now);
        // The usual pace counts as a first statement: the first one made may be of a short slowdown.
        self.statements = self.statements.saturating_add(1);
        let weight = (1.0 / f64::from(self.statements.saturating_add(1))).max(PACE_WEIGHT);
        self.average += weight * (self.last - self.average);
    }

    /// Returns the expected pace at `now`: the stated one at first, and the average later.
    fn factor(&self, now: Millis) -> f64 {
        let weight = (-(now.since(self.at) as f64) / PACE_DECAY_MS).exp();
        self.average + weight * (self.last - self.average)
    }
}

/// What this entry counts at an endpoint, from what it knows without a statement.
#[derive(Debug, Clone, Copy)]
pub struct OwnView {
    /// Requests of this entry there that have not ended.
    pub requests: u32,
    /// Slots by the member list.
    pub slots: u32,
    /// Average work time of the service, in milliseconds at the usual pace.
    pub service_ms: f64,
}

/// What is known of the load and the speed of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct LoadView {
    requests: u32,
    slots: Option<u32>,
    stated_at: Millis,
    /// Milliseconds after which a lower load would have been reported, if its side reports changes.
    drain_limit: Option<u64>,
    /// Dispatches of this entry since then, and ends of its requests.
    sent: u32,
    ended: u32,
    pace: PaceView,
    work: WorkTime,
    /// When a work time was last recorded.
    worked_at: Millis,
    /// Whether a response has stated the load.
    stated: bool,
    bad_logged: bool,
}

impl Default for LoadView {
    fn default() -> LoadView {
        LoadView {
            requests: 0,
            slots: None,
            stated_at: Millis(0),
            drain_limit: None,
            sent: 0,
            ended: 0,
            pace: PaceView::new(),
            work: WorkTime::default(),
            worked_at: Millis(0),
            stated: false,
            bad_logged: false,
        }
    }
}

impl LoadView {
    /// Records what a response states.
    ///
    /// # Errors
    /// Figures are missing or cannot be true. They count as unknown; the others are recorded.
    pub fn record_stated(&mut self, load: Option<ServerLoad>, now: Millis) -> Result<(), BadLoad> {
        let Some(load) = load else {
            return if self.stated { Err(BadLoad::Missing) } else { Ok(()) };
        };
        if load.requests() > MAX_REQUESTS {
            return Err(BadLoad::TooMany);
        }
        self.stated = true;
        self.set_requests(load.requests(), self.drain_limit, now);
        let slots = load.slots.filter(|slots| (1..=MAX_REQUESTS).contains(slots));
        self.slots = slots.or(self.slots);
        let paced = self.pace.statements > 0;
        if let Some(pace) = load.pace {
            self.pace.record(pace, now);
        }
        match load {
            ServerLoad { slots: Some(_), .. } if slots.is_none() => Err(BadLoad::BadSlots),
            ServerLoad { pace: None, .. } if paced => Err(BadLoad::NoPace),
            _ => Ok(()),
        }
    }

    /// Records the load that a side reports, which reports a change within `report_ms`, and the pace if
    /// the endpoint states it.
    pub fn record_report(
        &mut self,
        requests: u32,
        pace: Option<Pace>,
        report_ms: u64,
        now: Millis,
    ) {
        self.set_requests(requests, Some(report_ms), now);
        if let Some(pace) = pace {
            self.pace.record(pace, now);
        }
    }

    fn set_requests(&mut self, requests: u32, drain_limit: Option<u64>, now: Millis) {
        self.requests = requests;
        self.drain_limit = drain_limit;
        self.stated_at = now;
        (self.sent, self.ended) = (0, 0);
    }

    /// Returns whether the endpoint has stated the pace.
    pub fn is_paced(&self) -> bool {
        self.pace.statements > 0
    }

    /// Returns whether bad figures are to be logged: once for an incarnation.
    pub fn take_bad_log(&mut self) -> bool {
        !std::mem::replace(&mut self.bad_logged, true)
    }

    /// Counts a dispatch of this entry.
    pub fn record_dispatch(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Counts the end of a request of this entry.
    pub fn record_end(&mut self) {
        self.ended = self.ended.saturating_add(1);
    }

    /// Records that a request took `took_ms`, and returns its work time at the usual pace; `expected` is
    /// the estimate at its dispatch.
    ///
    /// An entry that sends an endpoint a request a second knows its queue only from the response. If that
    /// states a longer queue than was expected, the request is taken to have waited in it.
    ///
    /// If the endpoint states a shorter queue than it has, the time counts as work: the endpoint then
    /// ranks as slow as its requests are.
    pub fn record_response(&mut self, took_ms: u64, expected: WaitEstimate, now: Millis) -> f64 {
        let slots = f64::from(self.slots.unwrap_or(u32::MAX));
        let stated = if self.stated_at == now { f64::from(self.requests) / slots } else { 1.0 };
        let rounds = expected.rounds().max(stated);
        let work_ms = took_ms as f64 / rounds / self.pace.factor(now);
        self.work.record(work_ms);
        self.worked_at = now;
        work_ms
    }

    /// Returns how long a request waits that is sent now.
    pub fn estimate(&self, own: OwnView, now: Millis) -> WaitEstimate {
        let work_ms = self.work_ms(own, now);
        WaitEstimate { wait_ms: (self.backlog_ms(own, now) - work_ms).max(0.0), work_ms }
    }

    /// Returns the milliseconds in which its slots work off what it has and one request more: the wait
    /// and the work time of that request once it is full, and less before.
    pub fn backlog_ms(&self, own: OwnView, now: Millis) -> f64 {
        (self.requests_ahead(own, now) + 1.0) / self.slots(own) * self.work_ms(own, now)
    }

    /// Returns the requests that run or wait there by now.
    ///
    /// What was stated drains at the rate at which its slots become free, but the requests of this entry
    /// are there until they end.
    pub fn requests_ahead(&self, own: OwnView, now: Millis) -> f64 {
        let age_ms = now.since(self.stated_at);
        let age_ms = self.drain_limit.map_or(age_ms, |limit| age_ms.min(limit)) as f64;
        let rounds = age_ms / self.work_ms(own, now).max(MIN_WORK_MS);
        let drained = (rounds * self.slots(own)).max(f64::from(self.ended));
        let known = f64::from(self.requests) + f64::from(self.sent) - drained;
        known.max(f64::from(own.requests))
    }

    fn slots(&self, own: OwnView) -> f64 {
        f64::from(self.slots.unwrap_or(own.slots).max(1))
    }

    fn work_ms(&self, own: OwnView, now: Millis) -> f64 {
        let age_ms = now.since(self.worked_at);
        self.work.mixed_ms(own.service_ms, age_ms) * self.pace.factor(now)
    }
}

/// An endpoint that can run a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<T> {
    /// The endpoint.
    pub item: T,
    /// What a dispatch there costs.
    pub cost: f64,
    /// Whether the request is expected to begin there at once, and nothing else speaks against it.
    pub has_room: bool,
    /// A hash of the request and the endpoint.
    pub draw: u64,
}

/// Chooses an endpoint by expected wait: the cheaper one of two with room that the request's hash draws,
/// or the cheapest of all if none has room.
///
/// All entries see the same endpoint idle at once. If each chose the cheapest one, it would be full before
/// its next report.
pub fn choose_by_wait<T: Copy>(candidates: &[Candidate<T>]) -> Option<T> {
    let mut room = candidates.iter().filter(|candidate| candidate.has_room).collect::<Vec<_>>();
    room.sort_unstable_by_key(|candidate| candidate.draw);
    room.truncate(DRAWN);
    let drawn = if room.is_empty() { candidates.iter().collect() } else { room };
    let best = drawn.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    best.map(|candidate| candidate.item)
}
