//! Entries before three plain endpoints, and a side that divides shares, on virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use citronrill_base::Millis;
use citronrill_pool::{
    Arrival, Dispatch, EntryEffect, EntryEvent, EntryLink, EntryProfile, KeyDigest, MemberChange,
    Organisation, PoolEntry, PoolSide, Reason, RequestId, ResponseEnd, ResponseHead, ServerLoad,
    ServingConfig, SideEffect, SideEvent, SideLoss,
};
use citronrill_wire::ShareKind;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{
    ENGINE, PLAIN, address, arrival, first_era, member, not_run, ok, organisation, profile, report,
    with_organisations,
};

const ENDPOINTS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 30;
const HOP_MS: u64 = 1;
const TICK_MS: u64 = 20;
/// Milliseconds that callers wait.
const PATIENCE_MS: u64 = 60_000;
/// Requests a second that the endpoints serve.
pub(crate) const CAPACITY: f64 = (ENDPOINTS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;
/// Milliseconds until the member list shows that an endpoint is gone.
const NOTICE_MS: u64 = 400;

/// How the fleet divides shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// By a side.
    Side,
    /// By each entry alone: no side ever replies.
    Alone,
    /// Not at all.
    Off,
}

/// What became of the requests of one organisation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u64,
    pub(crate) served: u64,
    pub(crate) full: u64,
    pub(crate) other: u64,
    /// Longest time from an arrival to its response, in milliseconds.
    pub(crate) slowest_ms: u64,
}

enum Happening {
    Entry(usize, EntryEvent),
    Side(usize, SideEvent),
    Dispatched(usize, RequestId, Dispatch),
    Ended(usize, Run),
    Tick(usize),
}

#[derive(Debug, Clone, Copy)]
struct Run {
    entry: usize,
    id: RequestId,
    number: u32,
}

#[derive(Default)]
struct Worker {
    running: usize,
    waiting: VecDeque<Run>,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) rng: SmallRng,
    pub(crate) tallies: Vec<Tally>,
    /// Requests refused `full` that had arrived before the tallies were last taken, by organisation.
    pub(crate) full_before: Vec<u64>,
    /// When the tallies were last taken.
    taken_at: u64,
    /// Share messages of entries.
    pub(crate) reports: u64,
    /// Bytes of them.
    pub(crate) bytes: u64,
    /// Largest number of organisations that a report lists for a service.
    pub(crate) longest_report: usize,
    /// The side that the last report went to.
    last_divider: usize,
    mode: Mode,
    config: Arc<ServingConfig>,
    entries: Vec<PoolEntry>,
    sides: Vec<PoolSide>,
    side_up: Vec<bool>,
    workers: Vec<Worker>,
    agenda: BTreeMap<(u64, u64), Happening>,
    next: u64,
    /// The organisation and the arrival of each request.
    owners: BTreeMap<RequestId, (usize, u64)>,
}

pub(crate) fn organisations(count: usize) -> Vec<Organisation> {
    (0..count).map(|org| organisation(&format!("org-{org}"), &[org as u128])).collect()
}

impl Fleet {
    pub(crate) fn new(entries: usize, list: Vec<Organisation>, mode: Mode) -> Fleet {
        let count = list.len();
        let tallies = vec![Tally::default(); count];
        let mut fleet = Fleet {
            now: 1_000,
            rng: SmallRng::seed_from_u64(17),
            tallies,
            full_before: vec![0; count],
            taken_at: 0,
            reports: 0,
            bytes: 0,
            longest_report: 0,
            last_divider: 0,
            mode,
            config: patient(1, list),
            entries: Vec::new(),
            sides: (0..2).map(|_| PoolSide::new(ENGINE)).collect(),
            side_up: vec![true; 2],
            workers: (0..ENDPOINTS).map(|_| Worker::default()).collect(),
            agenda: BTreeMap::new(),
            next: 0,
            owners: BTreeMap::new(),
        };
        for side in 0..fleet.sides.len() {
            fleet.start_side(side, entries);
        }
        for entry in 0..entries {
            let contended = mode != Mode::Off;
            let seed = entry as u64 * 7_919;
            fleet.entries.push(PoolEntry::new(EntryProfile { seed, contended, ..profile() }));
            fleet.set_up_entry(entry);
            let first = fleet.now + entry as u64 % TICK_MS;
            fleet.after(first - fleet.now, Happening::Tick(entry));
        }
        fleet
    }

    pub(crate) fn with_seed(mut self, seed: u64) -> Fleet {
        self.rng = SmallRng::seed_from_u64(seed);
        self
    }

    fn start_side(&mut self, side: usize, entries: usize) {
        self.sides[side] = PoolSide::new(ENGINE);
        self.step_side(side, SideEvent::Config(self.config.clone()));
        self.step_side(side, SideEvent::EntryCount(entries as u32));
        for entry in 0..entries {
            let ip = IpAddr::V4(Ipv4Addr::from(0x0a01_0000 + entry as u32));
            self.step_side(side, SideEvent::EntryConnected(EntryLink(entry as u64), ip));
        }
    }

    fn set_up_entry(&mut self, entry: usize) {
        self.step_entry(entry, EntryEvent::Config(self.config.clone()));
        self.step_entry(entry, EntryEvent::ConfigCurrent(true));
        let engines = (0..2).map(|index| member(index, ENGINE, &["m0"]));
        let plain = (0..ENDPOINTS).map(|index| member(index as u8 + 2, PLAIN, &[]));
        let rows = engines.chain(plain).map(|member| (member.instance.clone(), Some(member)));
        let rows = rows.collect();
        let change = MemberChange { complete: true, version: first_era(1), rows };
        self.step_entry(entry, EntryEvent::Members(change));
    }

    /// Replaces an entry by a new one that knows nothing.
    pub(crate) fn restart_entries(&mut self) {
        for entry in 0..self.entries.len() {
            let profile = EntryProfile { seed: entry as u64 * 7_919, contended: true, ..profile() };
            self.entries[entry] = PoolEntry::new(profile);
            self.set_up_entry(entry);
            for side in 0..self.sides.len() {
                self.step_side(side, SideEvent::EntryLost(EntryLink(entry as u64), false));
            }
        }
    }

    /// Kills a side; it stays down.
    pub(crate) fn kill_side(&mut self, side: usize) {
        self.side_up[side] = false;
        for entry in 0..self.entries.len() {
            let lost = EntryEvent::SideLost(address(side as u8), SideLoss::Closed);
            self.after(HOP_MS, Happening::Entry(entry, lost));
            let gone = MemberChange {
                complete: false,
                version: first_era(2 + side as u64),
                rows: vec![(format!("i{side}"), None)],
            };
            self.after(NOTICE_MS, Happening::Entry(entry, EntryEvent::Members(gone)));
        }
    }

    /// Replaces the configuration at all processes.
    pub(crate) fn configure(&mut self, list: Vec<Organisation>) {
        self.config = patient(self.config.version + 1, list);
        for side in 0..self.sides.len() {
            self.step_side(side, SideEvent::Config(self.config.clone()));
        }
        for entry in 0..self.entries.len() {
            self.step_entry(entry, EntryEvent::Config(self.config.clone()));
        }
    }

    /// Runs for some time with these arrivals a second of each organisation; `place` picks the entry.
    pub(crate) fn run(&mut self, for_ms: u64, rates: &[f64], place: impl Fn(usize, f64) -> f64) {
        for _ in 0..for_ms {
            self.now += 1;
            for (org, rate) in rates.iter().enumerate() {
                if self.rng.random_bool((rate / 1_000.0).min(1.0)) {
                    let drawn = place(org, self.rng.random::<f64>()) * self.entries.len() as f64;
                    self.request(drawn as usize, org);
                }
            }
            self.process();
        }
    }

    /// Returns the tallies since the last call.
    pub(crate) fn take(&mut self) -> Vec<Tally> {
        let count = self.tallies.len();
        self.taken_at = self.now;
        self.full_before.fill(0);
        std::mem::replace(&mut self.tallies, vec![Tally::default(); count])
    }

    pub(crate) fn over_requests(&self) -> u64 {
        self.entries.iter().map(PoolEntry::over_share_requests).sum()
    }

    /// Returns the side that divides shares.
    pub(crate) fn divider(&self) -> usize {
        self.last_divider
    }

    fn request(&mut self, entry: usize, org: usize) {
        self.next += 1;
        let id = RequestId(self.next);
        self.owners.insert(id, (org, self.now));
        self.tallies[org].arrived += 1;
        let path = if self.next.is_multiple_of(5) { "/status/x" } else { "/book/x" };
        let key = Some(KeyDigest(org as u128));
        let arrival = Arrival { key, deadline_ms: Some(PATIENCE_MS), ..arrival(id.0, path, "") };
        self.step_entry(entry, EntryEvent::RequestArrived(arrival));
    }

    fn after(&mut self, ms: u64, happening: Happening) {
        self.next += 1;
        self.agenda.insert((self.now + ms, self.next), happening);
    }

    fn process(&mut self) {
        while let Some(next) = self.agenda.first_entry() {
            if next.key().0 > self.now {
                return;
            }
            match next.remove() {
                Happening::Entry(entry, event) => self.step_entry(entry, event),
                Happening::Side(side, event) if self.side_up[side] => self.step_side(side, event),
                Happening::Side(..) => {}
                Happening::Dispatched(entry, id, dispatch) => self.start(entry, id, &dispatch),
                Happening::Ended(worker, run) => self.end(worker, run),
                Happening::Tick(entry) => {
                    self.step_entry(entry, EntryEvent::Tick);
                    for side in 0..if entry == 0 { self.sides.len() } else { 0 } {
                        self.after(0, Happening::Side(side, SideEvent::Tick));
                    }
                    self.after(TICK_MS, Happening::Tick(entry));
                }
            }
        }
    }

    fn step_entry(&mut self, entry: usize, event: EntryEvent) {
        for effect in self.entries[entry].step(Millis(self.now), event) {
            match effect {
                EntryEffect::Dispatch(id, dispatch) => {
                    self.after(HOP_MS, Happening::Dispatched(entry, id, dispatch));
                }
                EntryEffect::Refuse(id, refusal) => {
                    let (org, arrived) = self.owners[&id];
                    let tally = &mut self.tallies[org];
                    match refusal.reason {
                        Reason::Full if arrived < self.taken_at => self.full_before[org] += 1,
                        Reason::Full => tally.full += 1,
                        _ => tally.other += 1,
                    }
                }
                EntryEffect::Forward(id) => {
                    let (org, arrived) = self.owners[&id];
                    let tally = &mut self.tallies[org];
                    tally.served += 1;
                    tally.slowest_ms = tally.slowest_ms.max(self.now - arrived);
                }
                EntryEffect::Shares(to, message) => {
                    self.reports += 1;
                    self.bytes += message.encoded_len() as u64;
                    self.last_divider = side_at(to);
                    let Some(ShareKind::Report(report)) = &message.kind else { panic!() };
                    let listed = report.services.iter().map(|demand| demand.organisations.len());
                    self.longest_report = listed.max().unwrap_or(0).max(self.longest_report);
                    if self.mode == Mode::Side {
                        let event = SideEvent::Shares(EntryLink(entry as u64), message);
                        self.after(HOP_MS, Happening::Side(side_at(to), event));
                    }
                }
                _ => {}
            }
        }
    }

    fn step_side(&mut self, side: usize, event: SideEvent) {
        for effect in self.sides[side].step(Millis(self.now), event) {
            match effect {
                SideEffect::Poll => {
                    let event = SideEvent::Report(Some(report(1, &["m0"])));
                    self.after(HOP_MS, Happening::Side(side, event));
                }
                SideEffect::QueryName(_) => {
                    let event = SideEvent::NameReported(format!("i{side}"));
                    self.after(HOP_MS, Happening::Side(side, event));
                }
                SideEffect::Publish(state) => {
                    for entry in 0..self.entries.len() {
                        let event = EntryEvent::SideReport(address(side as u8), (*state).clone());
                        self.after(HOP_MS, Happening::Entry(entry, event));
                    }
                }
                SideEffect::Shares(link, message) => {
                    let event = EntryEvent::Shares(address(side as u8), message);
                    self.after(HOP_MS, Happening::Entry(link.0 as usize, event));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, entry: usize, id: RequestId, dispatch: &Dispatch) {
        let index = usize::from(worker_at(dispatch.address));
        let run = Run { entry, id, number: dispatch.number };
        let worker = &mut self.workers[index];
        if worker.running < SLOTS {
            worker.running += 1;
            self.after(WORK_MS, Happening::Ended(index, run));
        } else if worker.waiting.len() < QUEUE {
            worker.waiting.push_back(run);
        } else {
            self.respond(index, run, not_run(503));
        }
    }

    fn end(&mut self, index: usize, run: Run) {
        // The load that an endpoint states includes the request that it responds to.
        self.respond(index, run, ok());
        let worker = &mut self.workers[index];
        worker.running -= 1;
        if let Some(next) = worker.waiting.pop_front() {
            worker.running += 1;
            self.after(WORK_MS, Happening::Ended(index, next));
        }
        let ended = EntryEvent::ResponseEnded(run.id, ResponseEnd::Complete);
        self.after(HOP_MS, Happening::Entry(run.entry, ended));
    }

    fn respond(&mut self, index: usize, run: Run, head: ResponseHead) {
        let worker = &self.workers[index];
        let load = ServerLoad {
            running: worker.running as u32,
            waiting: worker.waiting.len() as u32,
            slots: Some(SLOTS as u32),
            pace: None,
        };
        let head = ResponseHead { load: Some(load), ..head };
        let event = EntryEvent::ResponseHead(run.id, run.number, head);
        self.after(HOP_MS, Happening::Entry(run.entry, event));
    }
}

/// A configuration whose callers wait long enough that requests queue at the entry: the estimate of the wait
/// there counts with streams, which occupy a slot for longer than these requests.
fn patient(version: u64, list: Vec<Organisation>) -> Arc<ServingConfig> {
    let mut config = (*with_organisations(version, list)).clone();
    config.routes.iter_mut().for_each(|route| route.timeout_ms = PATIENCE_MS);
    Arc::new(config)
}

fn side_at(at: SocketAddr) -> usize {
    (0..2).find(|side| address(*side) == at).map(usize::from).unwrap()
}

fn worker_at(at: SocketAddr) -> u8 {
    (0..ENDPOINTS as u8).find(|index| address(index + 2) == at).unwrap()
}
