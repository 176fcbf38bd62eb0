//! A small model of many entries that choose among endpoints of different and changing speed.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use citronrill_base::{Millis, hash_bytes};
use citronrill_pool::{
    Candidate, LoadView, OwnView, Pace, ServerLoad, WaitEstimate, WorkTime, choose_by_wait,
};

/// How an entry chooses the endpoint of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Method {
    /// That of the entry: the smaller backlog of two with room that a hash of the request draws.
    TwoChoices,
    /// The shorter wait and work of two that a hash of the request draws.
    TwoByTotal,
    /// The shortest wait and work of all.
    LeastWait,
    /// At random, with odds by free slots and speed.
    RoomShares,
}

/// One setting of the model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setting {
    pub(super) entries: usize,
    pub(super) endpoints: usize,
    pub(super) slots: u32,
    pub(super) work_ms: f64,
    /// Endpoints that can run a request.
    pub(super) holders: usize,
    /// Requests, as a share of what all endpoints complete.
    pub(super) load: f64,
    /// Whether sides report the load of each endpoint every 100 ms, in addition to the responses.
    pub(super) reported: bool,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Outcome {
    pub(super) wait_p50: f64,
    pub(super) wait_p99: f64,
    pub(super) total_p50: f64,
    pub(super) total_p99: f64,
}

const WARM_UP_US: u64 = 3_000_000;
const END_US: u64 = 15_000_000;
const REPORT_US: u64 = 100_000;
/// Share of the endpoints that run at [`SLOW_SPEED`], and of those whose host is shared.
const SLOW_SHARE: f64 = 0.25;
const SLOW_SPEED: f64 = 0.55;
const USUAL_SPEED: f64 = 1.2;
const SHARED_SHARE: f64 = 0.15;
/// Work time on a shared host while another tenant uses it, as a multiple of the usual.
const SHARED_FACTOR: f64 = 2.5;
/// Mean milliseconds for which another tenant uses the host, and for which it does not.
const SHARED_BUSY_MS: f64 = 400.0;
const SHARED_FREE_MS: f64 = 800.0;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { endpoint: usize, request: usize },
    Report { endpoint: usize },
    Shared { endpoint: usize, busy: bool },
}

struct Endpoint {
    speed: f64,
    busy_host: bool,
    running: u32,
    queue: VecDeque<usize>,
}

struct Request {
    entry: usize,
    sent_us: u64,
    started_us: u64,
    expected: WaitEstimate,
}

#[derive(Clone)]
struct Entry {
    views: Vec<LoadView>,
    own: Vec<u32>,
    work: WorkTime,
}

pub(super) struct Model {
    setting: Setting,
    method: Method,
    now_us: u64,
    random: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    numbered: u64,
    endpoints: Vec<Endpoint>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    waits: Vec<f64>,
    totals: Vec<f64>,
}

impl Model {
    /// Runs the model and returns the percentiles over all requests after the warm-up.
    pub(super) fn run(setting: Setting, method: Method, seed: u64) -> Outcome {
        let endpoint = |index: usize| {
            let slow = (index as f64) < (setting.endpoints as f64 * SLOW_SHARE).round();
            let speed = if slow { SLOW_SPEED } else { USUAL_SPEED };
            Endpoint { speed, busy_host: false, running: 0, queue: VecDeque::new() }
        };
        let views = vec![LoadView::default(); setting.endpoints];
        let own = vec![0; setting.endpoints];
        let entry = Entry { views, own, work: WorkTime::default() };
        let mut model = Model {
            setting,
            method,
            now_us: 0,
            random: seed,
            events: BinaryHeap::new(),
            numbered: 0,
            endpoints: (0..setting.endpoints).map(endpoint).collect(),
            entries: vec![entry; setting.entries],
            requests: Vec::new(),
            waits: Vec::new(),
            totals: Vec::new(),
        };
        model.start();
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            if at > END_US {
                break;
            }
            model.now_us = at;
            model.handle(event);
        }
        model.outcome()
    }

    fn start(&mut self) {
        self.add(0, Event::Arrival);
        for endpoint in 0..self.setting.endpoints {
            if self.setting.reported {
                let offset = (self.uniform() * REPORT_US as f64) as u64;
                self.add(offset, Event::Report { endpoint });
            }
        }
        // The slow endpoints are the first ones.
        let shared = (self.setting.endpoints as f64 * SHARED_SHARE).ceil() as usize;
        for endpoint in self.setting.endpoints - shared..self.setting.endpoints {
            self.add(0, Event::Shared { endpoint, busy: true });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Done { endpoint, request } => self.done(endpoint, request),
            Event::Report { endpoint } => {
                let stated = self.stated(endpoint);
                let now = self.now();
                for entry in &mut self.entries {
                    entry.views[endpoint].record_report(stated.requests(), stated.pace, 100, now);
                }
                self.add(REPORT_US, Event::Report { endpoint });
            }
            Event::Shared { endpoint, busy } => {
                self.endpoints[endpoint].busy_host = busy;
                let mean_ms = if busy { SHARED_BUSY_MS } else { SHARED_FREE_MS };
                let next = (self.exponential(mean_ms) * 1_000.0) as u64;
                self.add(next, Event::Shared { endpoint, busy: !busy });
            }
        }
    }

    fn arrive(&mut self) {
        let capacity = |endpoint: &Endpoint| endpoint.speed / self.setting.work_ms;
        let rate = self.endpoints.iter().map(capacity).sum::<f64>()
            * f64::from(self.setting.slots)
            * self.setting.load;
        let next = (self.exponential(1.0 / rate) * 1_000.0) as u64;
        self.add(next, Event::Arrival);
        let entry = (self.uniform() * self.setting.entries as f64) as usize;
        let request = self.requests.len();
        let model = (self.uniform() * 1_000.0) as u64;
        let endpoint = self.choose(entry, request, model);
        let own = self.own(entry, endpoint);
        let now = self.now();
        let at = &mut self.entries[entry];
        let expected = at.views[endpoint].estimate(own, now);
        at.views[endpoint].record_dispatch();
        at.own[endpoint] += 1;
        let (sent_us, started_us) = (self.now_us, self.now_us);
        self.requests.push(Request { entry, sent_us, started_us, expected });
        self.endpoints[endpoint].queue.push_back(request);
        self.begin(endpoint);
    }

    fn choose(&mut self, entry: usize, request: usize, model: u64) -> usize {
        let mut holders = (0..self.setting.endpoints).collect::<Vec<_>>();
        holders.sort_by_key(|holder| mixed(model, *holder));
        holders.truncate(self.setting.holders);
        let now = self.now();
        let estimate = |holder: usize| {
            let own = self.own(entry, holder);
            self.entries[entry].views[holder].estimate(own, now)
        };
        let least = |holders: &[usize]| {
            let total = |holder: &usize| estimate(*holder).total_ms();
            let least = holders.iter().copied().min_by(|a, b| total(a).total_cmp(&total(b)));
            least.unwrap()
        };
        let key = request as u64;
        match self.method {
            Method::LeastWait => {
                // Ties are broken by a hash: the order of the names would send all to one endpoint.
                holders.sort_by_key(|holder| mixed(key, *holder));
                least(&holders)
            }
            Method::TwoChoices => {
                let candidate = |holder: &usize| {
                    let (item, own) = (*holder, self.own(entry, *holder));
                    let cost = self.entries[entry].views[item].backlog_ms(own, now);
                    let has_room = estimate(item).wait_ms <= 0.0;
                    Candidate { item, cost, has_room, draw: mixed(key, item) }
                };
                choose_by_wait(&holders.iter().map(candidate).collect::<Vec<_>>()).unwrap()
            }
            Method::TwoByTotal => {
                holders.sort_by_key(|holder| mixed(key, *holder));
                least(&holders[..holders.len().min(2)])
            }
            Method::RoomShares => {
                let weight = |holder: usize| {
                    let own = self.own(entry, holder);
                    let ahead = self.entries[entry].views[holder].requests_ahead(own, now);
                    let free = (f64::from(self.setting.slots) - ahead).max(0.0);
                    free / estimate(holder).work_ms
                };
                let any = holders.iter().any(|holder| weight(*holder) > 0.0);
                let odds = |holder: usize| {
                    if any { weight(holder) } else { 1.0 / estimate(holder).total_ms() }
                };
                let score = |holder: &usize| {
                    let uniform = (mixed(key, *holder) as f64 + 1.0) / u64::MAX as f64;
                    -uniform.ln() / odds(*holder)
                };
                holders.iter().copied().min_by(|a, b| score(a).total_cmp(&score(b))).unwrap()
            }
        }
    }

    fn begin(&mut self, endpoint: usize) {
        while self.endpoints[endpoint].running < self.setting.slots {
            let Some(request) = self.endpoints[endpoint].queue.pop_front() else { return };
            let vary = 0.5 + self.uniform();
            let at = &mut self.endpoints[endpoint];
            at.running += 1;
            let factor = if at.busy_host { SHARED_FACTOR } else { 1.0 };
            let took = self.setting.work_ms * vary * factor / at.speed;
            self.requests[request].started_us = self.now_us;
            self.add((took * 1_000.0) as u64, Event::Done { endpoint, request });
        }
    }

    fn done(&mut self, endpoint: usize, request: usize) {
        self.endpoints[endpoint].running -= 1;
        let stated = self.stated(endpoint);
        let now = self.now();
        let Request { entry, sent_us, started_us, expected } = self.requests[request];
        let total_us = self.now_us - sent_us;
        let at = &mut self.entries[entry];
        at.own[endpoint] -= 1;
        at.views[endpoint].record_stated(Some(stated), now).unwrap();
        let work_ms = at.views[endpoint].record_response(total_us / 1_000, expected, now);
        at.work.record(work_ms);
        if sent_us > WARM_UP_US {
            self.waits.push((started_us - sent_us) as f64 / 1_000.0);
            self.totals.push(total_us as f64 / 1_000.0);
        }
        self.begin(endpoint);
    }

    fn stated(&self, endpoint: usize) -> ServerLoad {
        let at = &self.endpoints[endpoint];
        let percent = if at.busy_host { 100.0 * SHARED_FACTOR } else { 100.0 };
        ServerLoad {
            running: at.running,
            waiting: at.queue.len() as u32,
            slots: Some(self.setting.slots),
            pace: Pace::from_percent(percent as u32),
        }
    }

    fn own(&self, entry: usize, endpoint: usize) -> OwnView {
        let at = &self.entries[entry];
        let service_ms = at.work.ms().unwrap_or(self.setting.work_ms);
        OwnView { requests: at.own[endpoint], slots: self.setting.slots, service_ms }
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn add(&mut self, after_us: u64, event: Event) {
        self.numbered += 1;
        self.events.push(Reverse((self.now_us + after_us, self.numbered, event)));
    }

    fn uniform(&mut self) -> f64 {
        self.random = hash_bytes(&self.random.to_le_bytes());
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    fn outcome(mut self) -> Outcome {
        self.waits.sort_by(f64::total_cmp);
        self.totals.sort_by(f64::total_cmp);
        let at = |values: &[f64], part: f64| values[(values.len() as f64 * part) as usize];
        Outcome {
            wait_p50: at(&self.waits, 0.5),
            wait_p99: at(&self.waits, 0.99),
            total_p50: at(&self.totals, 0.5),
            total_p99: at(&self.totals, 0.99),
        }
    }
}

fn mixed(key: u64, endpoint: usize) -> u64 {
    hash_bytes(&[key.to_le_bytes(), (endpoint as u64).to_le_bytes()].concat())
}
